package locality

import (
	"slices"
	"time"
)

const (
	// offerFrom and offerUntil are the fractions of free slots from which a failure domain offers
	// slots and below which it stops. Between them the state before holds, so that views which
	// differ a little do not make entries change their minds. Offers leave offerUntil free. With
	// 0.03 and 0.01, 0.17 of the requests left while all failure domains were full in simulation,
	// and fewer were on time than with these.
	offerFrom  = 0.10
	offerUntil = 0.05
	// usableUntil and usableFrom are the fractions of usable slots below which the own failure
	// domain is too small to hold requests back, and from which it does so again.
	usableUntil = 0.5
	usableFrom  = 0.6
	// maxOverdueEndpoints is the number of endpoints that owe the first event of a stream from
	// which a failure domain offers nothing: the link to it may be cut for requests while reports
	// still come. One such endpoint may be slow by itself.
	maxOverdueEndpoints = 2
)

// Sums are the sums over the endpoints of one failure domain that may get requests.
type Sums struct {
	// Slots counts the slots of endpoints with and without recent reports, Free those that are
	// free by recent reports alone.
	Slots, Free int
	// Uncovered counts the requests that this entry has sent there and that no report covers.
	Uncovered int
	// Overdue counts the endpoints that owe the first event of a stream to this entry.
	Overdue int
}

// Verdict says whether a request may be sent to a failure domain, and if not, why.
type Verdict string

// The verdicts.
const (
	// MayLeave: the request may be sent there.
	MayLeave Verdict = ""
	// KeptNoOffer: the failure domain offers no slots.
	KeptNoOffer Verdict = "no_offer"
	// KeptPartUsed: this entry has used its part of the offer.
	KeptPartUsed Verdict = "part_used"
	// KeptByCost: the request is not expected to wait longer than the cost of leaving.
	KeptByCost Verdict = "cost"
	// KeptByQueue: a request that goes before it is queued.
	KeptByQueue Verdict = "queue"
	// KeptNoEndpoint: no endpoint of a failure domain to which the request may leave can take it.
	KeptNoEndpoint Verdict = "no_endpoint"
)

// Change is the begin or the end of an offer.
type Change struct {
	FailureDomain string
	Offers        bool
	Slots, Free   int
	Overdue       int
}

// domain is the state of one failure domain.
type domain struct {
	name string
	// offers holds between offerUntil and offerFrom.
	offers bool
	part   float64
	sums   Sums
}

// Router decides for one entry and one service. It is not safe for concurrent use.
type Router struct {
	own           string
	pricePerKB    time.Duration
	domains       []domain
	ownIsTooSmall bool
	changes       []Change
}

// NewRouter returns a router for an entry in a failure domain. pricePerKB is the wait that a
// kilobyte to another failure domain is worth.
func NewRouter(own string, pricePerKB time.Duration) *Router {
	return &Router{own: own, pricePerKB: pricePerKB}
}

// SetDomains replaces the list of failure domains. Later calls name them by their index. The state
// of those that stay is kept.
func (r *Router) SetDomains(names []string) {
	next := make([]domain, len(names))
	for i, name := range names {
		next[i].name = name
		if known := slices.IndexFunc(r.domains, func(d domain) bool { return d.name == name }); known >= 0 {
			next[i] = r.domains[known]
		}
	}
	r.domains = next
}

// maxChanges bounds the changes that are kept until TakeChanges.
const maxChanges = 64

// Update sets the offers from the sums of all failure domains. entries is the number of entries
// that share the endpoints, 0 if unknown: then nothing is offered.
func (r *Router) Update(sums []Sums, entries int) {
	full := 0
	for i := range r.domains {
		d := &r.domains[i]
		d.sums = sums[i]
		offered := d.offers
		d.offers = d.offersNow() && entries > 0
		if d.offers != offered && d.name != r.own && len(r.changes) < maxChanges {
			r.changes = append(r.changes, Change{FailureDomain: d.name, Offers: d.offers, Slots: d.sums.Slots, Free: d.sums.Free, Overdue: d.sums.Overdue})
		}
		// In the main only entries whose own failure domain is full send requests away.
		if !d.offers || d.name == r.own {
			full++
		}
	}
	for i := range r.domains {
		d := &r.domains[i]
		d.part = 0
		if d.offers {
			offer := float64(d.sums.Free) - offerUntil*float64(d.sums.Slots)
			d.part = max(1, offer/max(1, float64(entries*full)/float64(len(r.domains))))
		}
	}
}

// offersNow reports whether the failure domain has slots to spare.
func (d *domain) offersNow() bool {
	if d.sums.Free == 0 || d.sums.Overdue >= maxOverdueEndpoints {
		return false
	}
	free, slots := float64(d.sums.Free), float64(d.sums.Slots)
	if d.offers {
		return free >= offerUntil*slots
	}
	return free >= offerFrom*slots
}

// UpdateOwn sets how many of the slots of the entry's own failure domain are usable. slots counts
// those of listed endpoints that have or had weights.
func (r *Router) UpdateOwn(usable, slots int) {
	threshold := usableUntil
	if r.ownIsTooSmall {
		threshold = usableFrom
	}
	r.ownIsTooSmall = slots == 0 || float64(usable) < threshold*float64(slots)
}

// OwnIsTooSmall reports whether the own failure domain has too few usable slots to hold requests
// back: every failure domain counts as the own one then.
func (r *Router) OwnIsTooSmall() bool {
	return r.ownIsTooSmall
}

// TooSmallWithout reports whether it would be too small for a request that may not use a part of
// the usable slots.
func TooSmallWithout(unusable, usable, slots int) bool {
	return unusable > 0 && float64(usable-unusable) < usableUntil*float64(slots)
}

// Unused returns how many further requests this entry may send to a failure domain until reports
// cover some.
func (r *Router) Unused(domainIndex int) int {
	d := &r.domains[domainIndex]
	return max(int(d.part)-d.sums.Uncovered, 0)
}

// Cost returns the wait that leaving has to save: the network delay, the delay of late first
// responses, and the price of the bytes.
func (r *Router) Cost(roundTrip, lateResponse time.Duration, kilobytes float64) time.Duration {
	return roundTrip + lateResponse + time.Duration(float64(r.pricePerKB)*kilobytes)
}

// MayLeave decides on a request that no sound endpoint of the own failure domain can start now.
func (r *Router) MayLeave(domainIndex int, ownWait, cost time.Duration) Verdict {
	switch {
	case !r.domains[domainIndex].offers:
		return KeptNoOffer
	case r.Unused(domainIndex) == 0:
		return KeptPartUsed
	case ownWait <= cost:
		return KeptByCost
	default:
		return MayLeave
	}
}

// RecordSent counts a request that is sent to a failure domain until the next Update.
func (r *Router) RecordSent(domainIndex int) {
	r.domains[domainIndex].sums.Uncovered++
}

// Offer returns the part of this entry in the offer of a failure domain, in slots.
func (r *Router) Offer(domainIndex int) float64 {
	return r.domains[domainIndex].part
}

// TakeChanges returns the begins and ends of offers since the last call.
func (r *Router) TakeChanges() []Change {
	changes := r.changes
	r.changes = nil
	return changes
}
