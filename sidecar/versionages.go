package sidecar

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/snipestep/snipestep/loadreport"
)

// sendVersionAges sends the ages of the declared versions to new subscribers, and to
// all entries once per VersionAgesInterval while a version is pending.
func (r *Reconciler) sendVersionAges(ctx context.Context, conn *net.UDPConn, entries *subscribers) {
	now := time.Now()
	view := r.deps.Directory.View()
	service := r.engineService(view)
	if service == nil {
		return
	}
	ages := loadreport.VersionAgesAt(now, view.DeclaredVersion(service.Model), r.config.VersionBound)
	if len(ages) == 0 {
		return
	}
	datagram := ages.Encode()
	for _, entry := range entries.takeVersionAgesDue(now, ages.Pending(r.config.VersionBound)) {
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
	ages, err := loadreport.DecodeVersionAges(datagram)
	if err != nil {
		r.deps.Logger.Warn("malformed ages of declared versions", "from", from, "error", err)
		return
	}
	ages.MergeInto(r.deps.Directory, now, service.Model)
}
