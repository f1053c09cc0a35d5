package wire

import "sync/atomic"

// ProtocolFaults counts protocol violations by peers. The zero value is ready to
// use; a nil pointer counts nothing.
type ProtocolFaults struct {
	sessions atomic.Int64
	streams  atomic.Int64
}

// RejectedSessions returns the number of connections closed before or during the
// handshake: the peer had no fleet key, sent malformed data or timed out, or
// too many handshakes were in progress.
func (f *ProtocolFaults) RejectedSessions() int64 {
	return f.sessions.Load()
}

// RejectedStreams returns the number of streams closed because their header was
// malformed, too long or late.
func (f *ProtocolFaults) RejectedStreams() int64 {
	return f.streams.Load()
}

func (f *ProtocolFaults) countSession() {
	if f != nil {
		f.sessions.Add(1)
	}
}

func (f *ProtocolFaults) countStream() {
	if f != nil {
		f.streams.Add(1)
	}
}
