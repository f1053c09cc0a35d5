package loadreport

import (
	"encoding/binary"
	"time"
)

// Timestamp is a time on the monotonic clock of the entry that set it, in
// milliseconds. It wraps after 65 s, far beyond SubscriptionTTL.
type Timestamp uint16

// TimestampAt returns the timestamp for a time since the start of the entry's
// clock.
func TimestampAt(sinceStart time.Duration) Timestamp {
	return Timestamp(sinceStart.Milliseconds())
}

// Echo returns the timestamp of a subscription to its entry, which computes the
// round-trip time to the agent from it.
type Echo struct {
	Known     bool // A subscription has arrived.
	Timestamp Timestamp
	// AgentDelay is the time between the arrival of the subscription and the report,
	// at most SubscriptionTTL.
	AgentDelay time.Duration
}

// RoundTrip returns the network round-trip time for a report that arrives at a
// time since the start of the entry's clock.
func (e Echo) RoundTrip(sinceStart time.Duration) time.Duration {
	elapsed := time.Duration(TimestampAt(sinceStart)-e.Timestamp) * time.Millisecond
	return max(elapsed-e.AgentDelay, 0)
}

// Order returns a number that increases with the time at which reports were sent: they
// echo the newest subscription, with a growing delay. sinceStart is as for RoundTrip.
func (e Echo) Order(sinceStart time.Duration) int64 {
	age := int64(TimestampAt(sinceStart) - e.Timestamp)
	subscribedMS := sinceStart.Milliseconds() - age
	return subscribedMS*SubscriptionTTL.Milliseconds() + e.AgentDelay.Milliseconds()
}

func (e Echo) append(b []byte) []byte {
	b = binary.BigEndian.AppendUint16(b, uint16(e.Timestamp))
	return binary.BigEndian.AppendUint16(b, uint16(min(e.AgentDelay, SubscriptionTTL).Milliseconds()))
}

func decodeEcho(known bool, b []byte) Echo {
	if !known {
		return Echo{}
	}
	return Echo{
		Known:      true,
		Timestamp:  Timestamp(binary.BigEndian.Uint16(b)),
		AgentDelay: time.Duration(binary.BigEndian.Uint16(b[2:])) * time.Millisecond,
	}
}
