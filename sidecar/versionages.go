package sidecar

import (
	"context"
	"math"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/snipestep/snipestep/loadreport"
)

// unlimitedInterval is longer than any subscription: only new subscribers are due.
const unlimitedInterval = time.Duration(math.MaxInt64)

// sendVersionAges sends the ages of the declared versions to new subscribers, and to
// all entries when they change and once per VersionAgesInterval while a version is
// pending.
func (r *Reconciler) sendVersionAges(ctx context.Context, conn *net.UDPConn, entries *subscribers) {
	now := r.deps.Now()
	view := r.deps.Directory.View()
	service := r.engineService(view)
	if service == nil {
		return
	}
	declared := view.DeclaredVersion(service.Model)
	ages := loadreport.VersionAgesAt(now, declared, r.config.VersionBound)
	if len(ages) == 0 {
		return
	}
	interval := unlimitedInterval
	if ages.Pending(r.config.VersionBound) {
		interval = loadreport.VersionAgesInterval
	}
	if declarations := declared.Declarations(); !slices.Equal(declarations, r.lastDeclarations) {
		r.lastDeclarations = declarations
		interval = 0
	}
	for _, entry := range entries.takeVersionAgesDue(now, interval) {
		datagram := ages.Encode(service.Model, r.clocks.Stamp(now, entry))
		if _, err := conn.WriteToUDPAddrPort(datagram, entry); err != nil && ctx.Err() == nil {
			r.deps.Logger.Warn("sending the ages of declared versions failed", "entry", entry, "error", err)
		}
	}
}

// applyVersionAges merges the ages of declared versions that an entry knows. An entry that
// has started gets those of this agent next: it can date them only by the echo of its own
// datagram. So does one that learnt of a version late.
func (r *Reconciler) applyVersionAges(now time.Time, from netip.AddrPort, datagram []byte, entries *subscribers) {
	service := r.engineService(r.deps.Directory.View())
	if service == nil {
		return
	}
	decoded, err := loadreport.DecodeVersionAges(datagram)
	if err != nil {
		r.deps.Logger.Warn("malformed ages of declared versions", "from", from, "error", err)
		return
	}
	ages, ok := decoded.Ages(service.Model)
	if !ok {
		return
	}
	sentNotBefore, started := r.clocks.Receive(now, from, decoded.Stamp)
	ages.MergeInto(r.deps.Directory, now, sentNotBefore, service.Model)
	if started || ages.Younger(now, r.deps.Directory.View().DeclaredVersion(service.Model)) {
		entries.requestVersionAges(from)
	}
}
