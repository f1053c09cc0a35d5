package weights

import "time"

// pickerPeer is what a Picker knows of one peer.
type pickerPeer struct {
	region      string
	since       time.Time // When the peer became a target.
	watched     bool      // A neighbour; up and has are known.
	up          bool
	has         Bitmap
	served      int // Chunks that the peer has sent, as it says.
	outstanding int // Requests to the peer.
	downUntil   time.Time
	bannedUntil time.Time
	losses      int // Times lost since it last answered.
	corrupt     int // Corrupt chunks since the last good one.
	// suspectUntil ends the time in which the peer is not relied on to
	// fetch chunks first.
	suspectUntil time.Time
}

// mayFetch reports whether the peer counts as able to fetch chunks first.
func (p *pickerPeer) mayFetch(now time.Time, grace time.Duration) bool {
	if now.Before(p.downUntil) || now.Before(p.suspectUntil) {
		return false
	}
	return !p.watched || p.up || now.Sub(p.since) < grace
}

// mayAsk reports whether the peer may be asked for chunks.
func (p *pickerPeer) mayAsk(now time.Time) bool {
	return !now.Before(p.downUntil) && !now.Before(p.bannedUntil)
}
