package wire

import "sync/atomic"

// ProtocolFaults counts what peers sent against the protocol. The zero value is
// ready; a nil one counts nothing.
type ProtocolFaults struct {
	sessions atomic.Int64
	streams  atomic.Int64
}

// RejectedSessions returns the connections that were closed before they became
// sessions: no proof of the fleet key, garbage, too slow or too many at once.
func (f *ProtocolFaults) RejectedSessions() int64 {
	return f.sessions.Load()
}

// RejectedStreams returns the streams that were closed since their header was
// malformed, too long or late.
func (f *ProtocolFaults) RejectedStreams() int64 {
	return f.streams.Load()
}

func (f *ProtocolFaults) session() {
	if f != nil {
		f.sessions.Add(1)
	}
}

func (f *ProtocolFaults) stream() {
	if f != nil {
		f.streams.Add(1)
	}
}
