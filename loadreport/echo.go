package loadreport

import (
	"encoding/binary"
	"time"
)

// Stamp is a moment on the steady clock of the entry that set it, in
// milliseconds; it wraps after 65 s, far beyond the life of an ask.
type Stamp uint16

// StampAt returns the stamp of a moment after the start of the entry's clock.
func StampAt(sinceStart time.Duration) Stamp {
	return Stamp(sinceStart.Milliseconds())
}

// Echo is the answer to the stamp of an ask: with it the entry knows how long
// the way to the agent and back takes.
type Echo struct {
	Known bool // An ask has come.
	Stamp Stamp
	// Kept is how long ago the ask came, up to AskLife.
	Kept time.Duration
}

// RoundTrip returns the time on the way, of a report that arrives at a moment
// after the start of the entry's clock.
func (e Echo) RoundTrip(sinceStart time.Duration) time.Duration {
	passed := time.Duration(StampAt(sinceStart)-e.Stamp) * time.Millisecond
	return max(passed-e.Kept, 0)
}

func (e Echo) append(b []byte) []byte {
	b = binary.BigEndian.AppendUint16(b, uint16(e.Stamp))
	return binary.BigEndian.AppendUint16(b, uint16(min(e.Kept, AskLife).Milliseconds()))
}

func decodeEcho(known bool, b []byte) Echo {
	if !known {
		return Echo{}
	}
	return Echo{
		Known: true,
		Stamp: Stamp(binary.BigEndian.Uint16(b)),
		Kept:  time.Duration(binary.BigEndian.Uint16(b[2:])) * time.Millisecond,
	}
}
