package sidecar

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/snipestep/snipestep/loadreport"
	"github.com/snipestep/snipestep/routing"
	"github.com/snipestep/snipestep/strikes"
)

// strikeRelay passes strikes between entries, which do not know each other's addresses.
// It keeps them for entries that start.
type strikeRelay struct {
	ledger  *strikes.Ledger
	entries *subscribers
}

func newStrikeRelay(entries *subscribers) *strikeRelay {
	ledger := strikes.NewLedger(routing.QuarantineConfig{}, routing.QuarantineConfig{}, time.Now)
	return &strikeRelay{ledger: ledger, entries: entries}
}

// receive records the strikes of an entry, and returns the datagram to pass on and its
// receivers: all entries, if one of the strikes is new.
func (s *strikeRelay) receive(now time.Time, fleetKey, datagram []byte) (forwarded []byte, to []netip.AddrPort, err error) {
	received, err := loadreport.DecodeStrikes(fleetKey, datagram)
	if err != nil {
		return nil, nil, err
	}
	news, _ := s.ledger.Merge(received)
	if len(news) == 0 {
		return nil, nil, nil
	}
	for addr := range s.entries.active(now) {
		to = append(to, addr)
	}
	return news.Encode(fleetKey), to, nil
}

// snapshot returns the datagram for an entry that has started, nil without strikes.
func (s *strikeRelay) snapshot(fleetKey []byte) []byte {
	known := s.ledger.Snapshot()
	if len(known) == 0 {
		return nil
	}
	return known.Encode(fleetKey)
}

// relayStrikes passes the strikes of an entry on to all entries.
func (r *Reconciler) relayStrikes(ctx context.Context, conn *net.UDPConn, relay *strikeRelay, from netip.AddrPort, datagram []byte) {
	forwarded, to, err := relay.receive(time.Now(), r.config.FleetKey, datagram)
	if err != nil {
		r.deps.Logger.Warn("strikes rejected", "from", from, "error", err)
		return
	}
	for _, entry := range to {
		r.sendStrikes(ctx, conn, entry, forwarded)
	}
}

// sendStrikes sends a datagram of strikes to an entry, nothing if it is empty.
func (r *Reconciler) sendStrikes(ctx context.Context, conn *net.UDPConn, entry netip.AddrPort, datagram []byte) {
	if len(datagram) == 0 {
		return
	}
	if _, err := conn.WriteToUDPAddrPort(datagram, entry); err != nil && ctx.Err() == nil {
		r.deps.Logger.Warn("sending strikes failed", "entry", entry, "error", err)
	}
}
