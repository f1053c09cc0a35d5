package loadreport

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

// ClockStamp says when a datagram was sent, and when the last one from its receiver had
// arrived.
type ClockStamp struct {
	// Sent is the sender's clock at sending.
	Sent ClockReading
	// Echo is the Sent of the receiver's last datagram, zero without one.
	Echo ClockReading
	// EchoDelay is the time from the arrival of that datagram to sending.
	EchoDelay time.Duration
}

// ClockReading is a reading of the clock of one run of a process.
type ClockReading struct {
	// Run differs between the runs of processes at an address; 0 is no reading.
	Run uint32
	// SinceStart is the time since the start of the clock, in milliseconds.
	SinceStart uint64
}

// clockStampBytes is the length of an encoded ClockStamp: two readings and a delay in
// milliseconds.
const clockStampBytes = 2*clockReadingBytes + 4

// clockReadingBytes is the length of an encoded ClockReading: run, time since the start.
const clockReadingBytes = 4 + 8

func (s ClockStamp) append(b []byte) []byte {
	b = s.Echo.append(s.Sent.append(b))
	// A negative delay, of a datagram that arrived after now was read, becomes a long
	// one: its receiver rejects the stamp.
	return binary.BigEndian.AppendUint32(b, uint32(min(s.EchoDelay.Milliseconds(), maxMilliseconds)))
}

func decodeClockStamp(b []byte) ClockStamp {
	return ClockStamp{
		Sent:      decodeClockReading(b),
		Echo:      decodeClockReading(b[clockReadingBytes:]),
		EchoDelay: time.Duration(binary.BigEndian.Uint32(b[2*clockReadingBytes:])) * time.Millisecond,
	}
}

func (r ClockReading) append(b []byte) []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint32(b, r.Run), r.SinceStart)
}

func decodeClockReading(b []byte) ClockReading {
	return ClockReading{Run: binary.BigEndian.Uint32(b), SinceStart: binary.BigEndian.Uint64(b[4:])}
}

// ClockExchange bounds from below when the datagrams of peers were sent: not before the
// echoed time of this process's own datagram, plus the time that the peer held it. How
// long a datagram was under way, or waited in a paused process, makes no difference. It
// is safe for concurrent use.
type ClockExchange struct {
	run       uint32
	startedAt time.Time

	mu    sync.Mutex
	peers map[netip.AddrPort]peerClock
}

// peerClock is the last datagram from a peer.
type peerClock struct {
	sent      ClockReading
	arrivedAt time.Time
}

// peerClockTTL is how long the clock of a silent peer is kept.
const peerClockTTL = time.Minute

// NewClockExchange returns an exchange whose clock starts now.
func NewClockExchange(now time.Time) *ClockExchange {
	return &ClockExchange{run: 1 + rand.Uint32N(1<<32-1), startedAt: now, peers: make(map[netip.AddrPort]peerClock)}
}

// Stamp returns the stamp of a datagram to a peer.
func (c *ClockExchange) Stamp(now time.Time, peer netip.AddrPort) ClockStamp {
	peer = unmap(peer)
	c.mu.Lock()
	defer c.mu.Unlock()
	stamp := ClockStamp{Sent: ClockReading{Run: c.run, SinceStart: uint64(now.Sub(c.startedAt).Milliseconds())}}
	if last, known := c.peers[peer]; known {
		stamp.Echo = last.sent
		stamp.EchoDelay = now.Sub(last.arrivedAt)
	}
	return stamp
}

// Receive records the stamp of a datagram that arrived now. It returns the earliest time
// at which the datagram can have been sent, zero if the peer echoes none of this run's.
// started says that it is the first datagram of this run of the peer.
func (c *ClockExchange) Receive(now time.Time, peer netip.AddrPort, stamp ClockStamp) (sentNotBefore time.Time, started bool) {
	peer = unmap(peer)
	c.mu.Lock()
	defer c.mu.Unlock()
	started = c.peers[peer].sent.Run != stamp.Sent.Run
	c.peers[peer] = peerClock{sent: stamp.Sent, arrivedAt: now}
	for addr, last := range c.peers {
		if now.Sub(last.arrivedAt) > peerClockTTL {
			delete(c.peers, addr)
		}
	}
	if stamp.Echo.Run != c.run {
		return time.Time{}, started
	}
	sentNotBefore = c.startedAt.Add(time.Duration(stamp.Echo.SinceStart)*time.Millisecond + stamp.EchoDelay)
	if sentNotBefore.After(now) {
		return time.Time{}, started
	}
	return sentNotBefore, started
}

// unmap returns an address with IPv4 in its own form: a socket for all addresses reports
// senders in that of IPv6.
func unmap(addr netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
}
