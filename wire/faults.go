package wire

import "sync/atomic"

// Faults counts what peers sent against the protocol. The zero value is
// ready; a nil one counts nothing.
type Faults struct {
	sessions atomic.Int64
	streams  atomic.Int64
}

// Sessions returns the connections that were closed before they became
// sessions: no proof of the fleet key, garbage, too slow or too many at once.
func (f *Faults) Sessions() int64 {
	return f.sessions.Load()
}

// Streams returns the streams that were closed since their header was
// malformed, too long or late.
func (f *Faults) Streams() int64 {
	return f.streams.Load()
}

func (f *Faults) session() {
	if f != nil {
		f.sessions.Add(1)
	}
}

func (f *Faults) stream() {
	if f != nil {
		f.streams.Add(1)
	}
}
