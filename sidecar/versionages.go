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
	now := time.Now()
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
	datagram := ages.Encode(service.Model)
	for _, entry := range entries.takeVersionAgesDue(now, interval) {
		if _, err := conn.WriteToUDPAddrPort(datagram, entry); err != nil && ctx.Err() == nil {
			r.deps.Logger.Warn("sending the ages of declared versions failed", "entry", entry, "error", err)
		}
	}
}

// applyVersionAges merges the ages of declared versions that an entry knows.
func (r *Reconciler) applyVersionAges(now time.Time, from netip.AddrPort, datagram []byte) {
	service := r.engineService(r.deps.Directory.View())
	if service == nil {
		return
	}
	decoded, err := loadreport.DecodeVersionAges(datagram)
	if err != nil {
		r.deps.Logger.Warn("malformed ages of declared versions", "from", from, "error", err)
		return
	}
	if ages, ok := decoded.Ages(service.Model); ok {
		ages.MergeInto(r.deps.Directory, now, service.Model)
	}
}
