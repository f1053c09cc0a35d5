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

// rateLimitRelay passes the rate limits of endpoints between entries, and tells each entry
// its position among them. It belongs to one goroutine.
type rateLimitRelay struct {
	startedAt time.Time
	entries   *subscribers
	notices   map[uint64]admission.RateLimitNotice // By incarnation.
}

const (
	// maxRelayedAge is the age up to which a relay keeps a notice. Entries repeat those
	// that still matter.
	maxRelayedAge = 10 * time.Minute
	// maxRelayedNotices bounds the notices of a relay: more endpoints than a large
	// deployment has.
	maxRelayedNotices = 4096
)

func newRateLimitRelay(now time.Time, entries *subscribers) *rateLimitRelay {
	return &rateLimitRelay{startedAt: now, entries: entries, notices: make(map[uint64]admission.RateLimitNotice)}
}

// receive records the rate limits of an entry. It returns the entries that are to get
// those of the relay: the sender, and all others if it learnt of a change.
func (r *rateLimitRelay) receive(now time.Time, from netip.AddrPort, received loadreport.RateLimits) []netip.AddrPort {
	r.expire(now)
	changed := false
	for _, limit := range received.Limits {
		notice := admission.RateLimitNotice{Limited: limit.Limited, PerSecond: limit.PerSecond, At: now.Add(-limit.Age)}
		known, found := r.notices[limit.Incarnation]
		if found && !notice.ReplacesReported(known) || !found && len(r.notices) >= maxRelayedNotices {
			continue
		}
		r.notices[limit.Incarnation] = notice
		changed = changed || !found || !notice.SameLimit(known)
	}
	if !changed {
		return []netip.AddrPort{from}
	}
	to := r.sortedEntries(now)
	if !slices.Contains(to, from) {
		to = append(to, from)
	}
	return to
}

func (r *rateLimitRelay) expire(now time.Time) {
	for incarnation, notice := range r.notices {
		if now.Sub(notice.At) > maxRelayedAge {
			delete(r.notices, incarnation)
		}
	}
}

// sortedEntries returns the subscribed entries in the order of their positions.
func (r *rateLimitRelay) sortedEntries(now time.Time) []netip.AddrPort {
	var addrs []netip.AddrPort
	for addr := range r.entries.active(now) {
		addrs = append(addrs, addr)
	}
	slices.SortFunc(addrs, netip.AddrPort.Compare)
	return addrs
}

// limitsFor returns the newest rate limits for an entry.
func (r *rateLimitRelay) limitsFor(now time.Time, entry netip.AddrPort) loadreport.RateLimits {
	var limits loadreport.RateLimits
	addrs := r.sortedEntries(now)
	// An agent that has just started does not know all entries yet.
	if position := slices.Index(addrs, entry); position >= 0 && now.Sub(r.startedAt) >= loadreport.SubscriptionTTL {
		limits.Entries, limits.Position = len(addrs), position
	}
	for incarnation, notice := range r.notices {
		limits.Limits = append(limits.Limits, loadreport.RateLimit{
			Incarnation: incarnation, Limited: notice.Limited, PerSecond: notice.PerSecond, Age: now.Sub(notice.At),
		})
	}
	loadreport.SortNewestFirst(limits.Limits)
	return limits
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
	datagram := relay.limitsFor(time.Now(), entry).Encode(r.config.FleetKey)
	if _, err := conn.WriteToUDPAddrPort(datagram, entry); err != nil && ctx.Err() == nil {
		r.deps.Logger.Warn("sending rate limits failed", "entry", entry, "error", err)
	}
}
