// Package loadreport holds the datagrams between entries and the agents beside
// endpoints. An entry asks an agent for reports; the agent reports the load of
// its endpoint for a while to every entry that asked. Nothing is acknowledged
// and nothing is stored: a lost datagram is replaced by the next one. The
// sender's IP number says which instance a datagram is about.
package loadreport

import (
	"encoding/binary"
	"fmt"
	"time"
)

const (
	// Interval is the pause between two looks of an agent at its endpoint: a
	// place comes free there about every 80 ms.
	Interval = 50 * time.Millisecond
	// Repeat is the pause after which a report is sent although nothing
	// changed.
	Repeat = 200 * time.Millisecond
	// AskInterval is the pause between two asks of an entry.
	AskInterval = 500 * time.Millisecond
	// BusyAskInterval is the same while requests wait at the entry.
	BusyAskInterval = 100 * time.Millisecond
	// DemandLife is how long the demand of an ask counts.
	DemandLife = 3 * BusyAskInterval
	// AskLife is how long an ask counts; three may be lost.
	AskLife = 4 * AskInterval
	// MaxBytes bounds a datagram of this package: it fits one packet.
	MaxBytes = 1200
)

// The first byte of a datagram.
const (
	kindReport = 1
	kindAsk    = 2
	kindBrief  = 3
)

// The flags of a report.
const (
	closedFlag = 1 << iota
	unbriefedFlag
	echoFlag
)

// paceUnit is the part of a pace that one step of its byte stands for.
const paceUnit = 0.1

// reportBytes is the length of a report: kind, flags, running, waiting, pace,
// entries, held, declared, age, closes in, demand, stamp, kept.
const reportBytes = 2 + 2 + 2 + 1 + 1 + 4 + 4 + 1 + 1 + 2 + 2 + 2

// askBytes is the length of an ask: kind, demand, stamp.
const askBytes = 1 + 2 + 2

// timeUnit is what one step of a time's byte stands for; the last value of the
// byte stands for a time that is not known.
const (
	timeUnit    = 100 * time.Millisecond
	unknownTime = 255
)

// Report is the load of one endpoint over all entries.
type Report struct {
	Running int // 0 to 65,535, as Waiting.
	Waiting int
	// Pace is how many times slower than usual the endpoint works, in tenths,
	// up to 25.5.
	Pace float64
	// Closed says that the endpoint takes nothing new for the moment.
	Closed bool
	// Unbriefed says that the agent knows no document and needs a Brief.
	Unbriefed bool
	// Held is the version of the weights that is whole at the endpoint.
	Held uint64
	// Entries is how many entries ask for reports, up to 255.
	Entries int
	// Declared is the declared version that the agent knows of, and Age how
	// long ago it was declared, in steps of 100 ms up to 25.4 s; -1 stands for
	// not known.
	Declared uint64
	Age      time.Duration
	// ClosesIn is when the endpoint will close for a change of its weights,
	// in the same steps; Unknown if it will not soon.
	ClosesIn time.Duration
	// Demand is what waits at all entries together, in the entries' own
	// weights, up to 65,535.
	Demand int
	// Echo answers the last ask of the entry that gets the report.
	Echo Echo
}

// Unknown stands in a Report for a time that is not known.
const Unknown = -1

// FormatError reports a datagram that cannot be decoded.
type FormatError struct {
	Bytes int
}

// Error implements error.
func (e *FormatError) Error() string {
	return fmt.Sprintf("datagram of %d bytes is malformed", e.Bytes)
}

// Encode returns the report's datagram.
func (r Report) Encode() []byte {
	flags := byte(0)
	if r.Closed {
		flags |= closedFlag
	}
	if r.Unbriefed {
		flags |= unbriefedFlag
	}
	if r.Echo.Known {
		flags |= echoFlag
	}
	b := append(make([]byte, 0, reportBytes), kindReport, flags)
	b = binary.BigEndian.AppendUint16(b, uint16(min(r.Running, 1<<16-1)))
	b = binary.BigEndian.AppendUint16(b, uint16(min(r.Waiting, 1<<16-1)))
	b = append(b, byte(min(r.Pace/paceUnit+paceUnit, 255)), byte(min(r.Entries, 255)))
	b = binary.BigEndian.AppendUint32(b, uint32(r.Held))
	b = binary.BigEndian.AppendUint32(b, uint32(r.Declared))
	b = append(b, encodeTime(r.Age), encodeTime(r.ClosesIn))
	b = binary.BigEndian.AppendUint16(b, uint16(min(r.Demand, 1<<16-1)))
	return r.Echo.append(b)
}

func encodeTime(d time.Duration) byte {
	if d < 0 {
		return unknownTime
	}
	return byte(min(d/timeUnit, unknownTime-1))
}

func decodeTime(b byte) time.Duration {
	if b == unknownTime {
		return Unknown
	}
	return time.Duration(b) * timeUnit
}

// Decode decodes a report. It returns *FormatError.
func Decode(b []byte) (Report, error) {
	if len(b) != reportBytes || b[0] != kindReport {
		return Report{}, &FormatError{Bytes: len(b)}
	}
	return Report{
		Declared:  uint64(binary.BigEndian.Uint32(b[12:])),
		Age:       decodeTime(b[16]),
		ClosesIn:  decodeTime(b[17]),
		Demand:    int(binary.BigEndian.Uint16(b[18:])),
		Closed:    b[1]&closedFlag != 0,
		Unbriefed: b[1]&unbriefedFlag != 0,
		Running:   int(binary.BigEndian.Uint16(b[2:])),
		Waiting:   int(binary.BigEndian.Uint16(b[4:])),
		Pace:      float64(b[6]) * paceUnit,
		Entries:   int(b[7]),
		Held:      uint64(binary.BigEndian.Uint32(b[8:])),
		Echo:      decodeEcho(b[1]&echoFlag != 0, b[20:]),
	}, nil
}
