package wire

import "sync/atomic"

// Faults counts protocol violations by peers. The zero value is ready to use;
// a nil pointer counts nothing.
type Faults struct {
	sessions atomic.Int64
	streams  atomic.Int64
}

// Sessions returns the number of connections closed before or during the
// handshake: the peer had no fleet key, sent malformed data or timed out, or
// too many handshakes were in progress.
func (f *Faults) Sessions() int64 {
	return f.sessions.Load()
}

// Streams returns the number of streams closed because their header was
// malformed, too long or late.
func (f *Faults) Streams() int64 {
	return f.streams.Load()
}

func (f *Faults) countSession() {
	if f != nil {
		f.sessions.Add(1)
	}
}

func (f *Faults) countStream() {
	if f != nil {
		f.streams.Add(1)
	}
}
