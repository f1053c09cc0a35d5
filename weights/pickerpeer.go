package weights

import "time"

// pickerPeer is a Picker's state of one peer.
type pickerPeer struct {
	region             string
	targetSince        time.Time // When the peer became a target.
	watched            bool      // Selected by Neighbours.
	up                 bool      // Connected.
	chunks             Bitmap    // Chunks that the connected peer holds.
	served             int       // Chunks that the peer reports as sent.
	inFlight           int       // Requests to the peer.
	downUntil          time.Time
	bannedUntil        time.Time
	consecutiveLosses  int // Times lost since it last answered.
	consecutiveCorrupt int // Corrupt chunks since the last valid one.
	// suspectUntil ends the period in which the peer does not count as
	// available to fetch.
	suspectUntil time.Time
}

// availableAsFetcher reports whether the peer is expected to fetch chunks into
// the region. A watched peer has the grace period to connect.
func (p *pickerPeer) availableAsFetcher(now time.Time, grace time.Duration) bool {
	if now.Before(p.downUntil) || now.Before(p.suspectUntil) {
		return false
	}
	return !p.watched || p.up || now.Sub(p.targetSince) < grace
}

// usable reports whether chunks may be requested from the peer.
func (p *pickerPeer) usable(now time.Time) bool {
	return !now.Before(p.downUntil) && !now.Before(p.bannedUntil)
}
