package ingress

import "time"

const (
	// LineBytes is what a header line takes in memory beside its bytes. Lines of distinct names
	// are the costliest: an entry of a map, its key and a slice of one value.
	LineBytes = 128
	// DefaultMemory is the default bound of what callers make a process hold: a ninth of the
	// memory of the smallest known entry, 184 MB. The collector lets the heap double, and answers
	// have a budget of their own.
	DefaultMemory = 20 << 20
	// DefaultHeadBytes bounds a header section while no document sets a limit.
	DefaultHeadBytes = 64 << 10

	// maxHeaderCharge is more than what one legal header section and its copy are charged.
	maxHeaderCharge = 2 << 20
	// uncountedBytes is the part of the charge of each connection that is not counted, so that
	// ordinary requests are not refused because others hold much.
	uncountedBytes = 8 << 10
	// readBufferBytes is the size of the buffer through which net/http reads. Up to so many bytes
	// of what follows a header section are read together with it.
	readBufferBytes = 4 << 10
	// refusalWriteTimeout bounds the writing of a refusal that the package writes itself. It
	// fits into any send buffer that is not full.
	refusalWriteTimeout = 100 * time.Millisecond
	// evictionTime is how long an evicted connection may take to write its refusal and close: more
	// than lingerTime, for which net/http waits before it closes.
	evictionTime = 2 * time.Second
	// maxLingering and the others bound the connections that are still read after a refusal, so
	// that it is not lost by a reset.
	maxLingering   = 64
	lingerTime     = 500 * time.Millisecond
	maxLingerBytes = 64 << 10
	// minWait is how long a connection may wait for a header section, or the rest of it, before it
	// can be closed for a new one: longer than most round trips.
	minWait = 200 * time.Millisecond
	// writeBytes is the size of the pieces in which answers are written, each of which has
	// writeTimeout. The send buffer is so small that a caller that takes 5 kB a second is seen to
	// take something in that time: a blocked writer wakes when a third of the buffer is free,
	// which Linux makes twice as large.
	writeBytes      = 4 << 10
	writeTimeout    = 10 * time.Second
	sendBufferBytes = 64 << 10
)

// Limits lists all limits.
var Limits = []Limit{LimitHeadBytes, LimitMemory, LimitConnections, LimitWriteTime}

// Limit names a limit that a caller met.
type Limit string

// The limits.
const (
	LimitHeadBytes   Limit = "head_bytes"
	LimitMemory      Limit = "memory"
	LimitConnections Limit = "connections"
	LimitWriteTime   Limit = "write_time"
)

// Config configures a Listener.
type Config struct {
	// Memory bounds the charge of all connections together; 0 means DefaultMemory.
	Memory int
	// MaxBodyBytes returns the size of the largest body, nil if no handler reads one. Memory is
	// raised so that two such bodies, each with the copy that is made while it grows, and a
	// header section fit.
	MaxBodyBytes func() int64
	// MaxConns bounds the open connections; 0 means DefaultMaxConns.
	MaxConns int
	// MaxHeadBytes returns the largest header section; 0 means DefaultHeadBytes.
	MaxHeadBytes func() int
	// HeaderCopies is how many copies of a request's header are held while it is served.
	HeaderCopies int
	// Report counts the connections that met a limit; nil for no counts.
	Report *Report
}
