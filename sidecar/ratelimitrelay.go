package sidecar

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/snipestep/snipestep/loadreport"
	"github.com/snipestep/snipestep/routing/admission"
)

// rateLimitRelay passes the rate limits of endpoints between entries, and divides them among
// the entries by demand. It belongs to one goroutine.
type rateLimitRelay struct {
	startedAt time.Time
	entries   *subscribers
	notices   map[uint64]admission.RateLimitNotice // By incarnation.
	demands   map[netip.AddrPort]entryDemand
}

// entryDemand is the demand that an entry named last.
type entryDemand struct {
	receivedAt time.Time
	perSecond  map[uint64]float64 // By loadreport.ServiceHash.
}

const (
	// maxRelayedAge is the age up to which a relay keeps a notice. Entries repeat those
	// that still matter.
	maxRelayedAge = 10 * time.Minute
	// maxRelayedNotices bounds the notices of a relay: more endpoints than a large
	// deployment has.
	maxRelayedNotices = 4096
	// rateLimitDemandTTL is how long the demand of an entry is used, which names it every
	// second.
	rateLimitDemandTTL = 3 * time.Second
	// minSharedDemand is added to each demand, in requests per second: the callers of an
	// entry without any may come before its next share.
	minSharedDemand = 1.0
)

func newRateLimitRelay(now time.Time, entries *subscribers) *rateLimitRelay {
	return &rateLimitRelay{
		startedAt: now, entries: entries,
		notices: make(map[uint64]admission.RateLimitNotice), demands: make(map[netip.AddrPort]entryDemand),
	}
}

// receive records the rate limits and the demand of an entry. It returns the entries that
// are to get those of the relay: the sender, and all others if it learnt of a change.
func (r *rateLimitRelay) receive(now time.Time, from netip.AddrPort, received loadreport.RateLimits) []netip.AddrPort {
	r.expire(now)
	r.recordDemand(now, from, received.Demands)
	if !r.merge(now, received.Limits) {
		return []netip.AddrPort{from}
	}
	to := r.sortedEntries(now)
	if !slices.Contains(to, from) {
		to = append(to, from)
	}
	return to
}

// merge records rate limits and reports whether one of them changed.
func (r *rateLimitRelay) merge(now time.Time, limits []loadreport.RateLimit) (changed bool) {
	for _, limit := range limits {
		notice := admission.RateLimitNotice{Limited: limit.Limited, PerSecond: limit.PerSecond, At: now.Add(-limit.Age)}
		known, found := r.notices[limit.Incarnation]
		if found && !notice.ReplacesReported(known) || !found && len(r.notices) >= maxRelayedNotices {
			continue
		}
		r.notices[limit.Incarnation] = notice
		changed = changed || !found || !notice.SameLimit(known)
	}
	return changed
}

func (r *rateLimitRelay) recordDemand(now time.Time, from netip.AddrPort, demands []loadreport.ServiceDemand) {
	perSecond := make(map[uint64]float64, len(demands))
	for _, demand := range demands {
		perSecond[demand.Service] = demand.PerSecond + minSharedDemand
	}
	r.demands[from] = entryDemand{receivedAt: now, perSecond: perSecond}
}

func (r *rateLimitRelay) expire(now time.Time) {
	for incarnation, notice := range r.notices {
		if now.Sub(notice.At) > maxRelayedAge {
			delete(r.notices, incarnation)
		}
	}
	for entry, demand := range r.demands {
		if now.Sub(demand.receivedAt) > rateLimitDemandTTL {
			delete(r.demands, entry)
		}
	}
}

// sortedEntries returns the subscribed entries by address.
func (r *rateLimitRelay) sortedEntries(now time.Time) []netip.AddrPort {
	var addrs []netip.AddrPort
	for addr := range r.entries.active(now) {
		addrs = append(addrs, addr)
	}
	slices.SortFunc(addrs, netip.AddrPort.Compare)
	return addrs
}

// limitsFor returns the newest rate limits for an entry, and its shares for the services of
// which it named its demand.
func (r *rateLimitRelay) limitsFor(now time.Time, entry netip.AddrPort) loadreport.RateLimits {
	limits := loadreport.RateLimits{Shares: r.shares(now, entry)}
	for incarnation, notice := range r.notices {
		limits.Limits = append(limits.Limits, loadreport.RateLimit{
			Incarnation: incarnation, Limited: notice.Limited, PerSecond: notice.PerSecond, Age: now.Sub(notice.At),
		})
	}
	loadreport.SortNewestFirst(limits.Limits)
	return limits
}

// shares returns the shares of an entry. An agent that has just started names none, since
// it does not know all entries yet.
func (r *rateLimitRelay) shares(now time.Time, entry netip.AddrPort) []loadreport.ServiceShare {
	entries := r.sortedEntries(now)
	if now.Sub(r.startedAt) < loadreport.SubscriptionTTL || !slices.Contains(entries, entry) {
		return nil
	}
	var shares []loadreport.ServiceShare
	for service := range r.demands[entry].perSecond {
		lower, upper := r.share(entries, entry, service)
		shares = append(shares, loadreport.ServiceShare{Service: service, Lower: lower, Upper: upper})
	}
	return shares
}

// share returns the interval of one of the entries, by its part of the demand for a service.
// Entries that have not named theirs count with the mean of the others.
func (r *rateLimitRelay) share(entries []netip.AddrPort, entry netip.AddrPort, service uint64) (lower, upper float64) {
	mean, named := 0.0, 0.0
	for _, e := range entries {
		if perSecond, ok := r.demands[e].perSecond[service]; ok {
			mean += perSecond
			named++
		}
	}
	mean /= named // The entry itself has named its demand.
	total := mean * float64(len(entries))
	for _, e := range entries {
		perSecond, ok := r.demands[e].perSecond[service]
		if !ok {
			perSecond = mean
		}
		upper = min(lower+perSecond/total, 1)
		if e == entry {
			break
		}
		lower = upper
	}
	if entry == entries[len(entries)-1] {
		upper = 1 // Whatever the sum was rounded to.
	}
	return lower, upper
}

// relayRateLimits handles the rate limits of an entry.
func (r *Reconciler) relayRateLimits(ctx context.Context, conn *net.UDPConn, relay *rateLimitRelay, from netip.AddrPort, datagram []byte) {
	received, err := loadreport.DecodeRateLimits(r.config.FleetKey, datagram)
	if err != nil {
		r.deps.Logger.Warn("rate limits rejected", "from", from, "error", err)
		return
	}
	for _, entry := range relay.receive(time.Now(), from, received) {
		r.sendRateLimits(ctx, conn, relay, entry)
	}
}

// sendRateLimits sends the known rate limits to an entry.
func (r *Reconciler) sendRateLimits(ctx context.Context, conn *net.UDPConn, relay *rateLimitRelay, entry netip.AddrPort) {
	for _, datagram := range relay.limitsFor(time.Now(), entry).EncodeAll(r.config.FleetKey) {
		if _, err := conn.WriteToUDPAddrPort(datagram, entry); err != nil && ctx.Err() == nil {
			r.deps.Logger.Warn("sending rate limits failed", "entry", entry, "error", err)
		}
	}
}
