// Package loadreport defines the datagrams between entries and the agents on the
// instances of endpoints. An entry subscribes to the reports of an agent; the agent
// sends the load of its endpoint to every entry whose subscription has not expired.
// Nothing is acknowledged or stored: the next datagram replaces a lost one. The
// sender's IP address identifies the instance that a report is about. Both sides tell
// each other the ages of declared versions, and entries tell all other entries through
// agents which requests were running at crashes and which endpoints limit their requests.
package loadreport

import (
	"encoding/binary"
	"fmt"
	"time"
)

const (
	// PollInterval is how often an agent polls its endpoint: a slot becomes free
	// there about every 80 ms.
	PollInterval = 50 * time.Millisecond
	// RefreshInterval is the interval of reports while nothing changes.
	RefreshInterval = 200 * time.Millisecond
	// MaxDatagramsPerSecond bounds the reports of an agent, and the subscriptions of an entry,
	// that are sent because of changes: with headers, they are the 10 kB/s of the target for
	// control traffic of an instance.
	MaxDatagramsPerSecond = 166
	// SubscribeInterval is how often an entry renews its subscriptions.
	SubscribeInterval = 500 * time.Millisecond
	// BusySubscribeInterval applies while requests are queued at the entry.
	BusySubscribeInterval = 100 * time.Millisecond
	// DemandTTL is how long the demand of a subscription is valid.
	DemandTTL = 3 * BusySubscribeInterval
	// RemoteDemandTTL is the same for an entry in another region, which may renew its
	// subscription only every SubscribeInterval.
	RemoteDemandTTL = 3 * SubscribeInterval
	// SubscriptionTTL is how long a subscription is valid; three renewals may be lost.
	SubscriptionTTL = 4 * SubscribeInterval
	// MaxDatagramBytes bounds a datagram of this package, so that it fits one packet.
	MaxDatagramBytes = 1200
)

// The first byte of a datagram.
const (
	kindReport       = 1
	kindSubscription = 2
	kindAgentConfig  = 3
	// 4 was the kind of version ages without clock stamps.
	kindStrikes     = 5
	kindVersionAges = 6
	kindRateLimits  = 7
	kindEngineList  = 8
)

// The flags of a report.
const (
	closedFlag = 1 << iota
	needsConfigFlag
	echoFlag
	wantsEnginesFlag
	startKnownFlag
	startSeenFlag
	settledFlag
)

// slowdownUnit is the resolution of an encoded slowdown.
const slowdownUnit = 0.1

// reportBytes is the length of a report: kind, flags, running, waiting,
// slowdown, entries, loaded version, declared version, start age, closes in,
// demand, timestamp, agent delay, engine list.
const reportBytes = 2 + 2 + 2 + 1 + 1 + 4 + 4 + 1 + 1 + 2 + 2 + 2 + 8

// subscriptionBytes is the length of a subscription: kind, flags, demand, timestamp.
const subscriptionBytes = 2 + 2 + 2

// Durations are encoded in one byte as multiples of durationUnit;
// unknownDurationByte encodes UnknownDuration.
const (
	durationUnit        = 100 * time.Millisecond
	unknownDurationByte = 255
)

// Report is the load of one endpoint over all entries.
type Report struct {
	Running int // Requests that occupy a slot, at most 65,535.
	Waiting int // Requests that are queued at the endpoint, at most 65,535.
	// Slowdown is the factor by which the endpoint is slower than normal, in steps
	// of 0.1 up to 25.5.
	Slowdown float64
	// Closed says that the endpoint accepts no new requests at present.
	Closed bool
	// NeedsConfig says that the agent has no document and needs an AgentConfig.
	NeedsConfig bool
	// LoadedVersion is the version of the weights that is completely loaded, 0 for
	// none.
	LoadedVersion uint64
	// Entries is the number of entries with a valid subscription, at most 255.
	Entries int
	// Settled says that the agent has run for SubscriptionTTL without a gap, so that Entries
	// counts all entries that reach it.
	Settled bool
	// DeclaredVersion is the declared version that the agent knows. Builds that know
	// VersionAges do not read it.
	DeclaredVersion uint64
	// Start tells since when the endpoint runs.
	Start StartAge
	// ClosesIn is the time until the endpoint closes to change its weights, in
	// the same steps; UnknownDuration if that is not soon.
	ClosesIn time.Duration
	// Demand is the weighted demand of the requests queued at all entries, at
	// most 65,535.
	Demand int
	// Echo belongs to the last subscription of the entry that gets the report.
	Echo Echo
	// WantsEngines asks the entry for its EngineList if that is not the one with the digest
	// EngineListDigest, which the agent has.
	WantsEngines     bool
	EngineListDigest uint64
}

// UnknownDuration is the value of an unknown duration in a Report.
const UnknownDuration = -1

// FormatError reports a datagram that cannot be decoded.
type FormatError struct {
	Bytes int
}

// Error implements error.
func (e *FormatError) Error() string {
	return fmt.Sprintf("datagram of %d bytes is malformed", e.Bytes)
}

// Encode returns the report as a datagram.
func (r Report) Encode() []byte {
	flags := byte(0)
	if r.Closed {
		flags |= closedFlag
	}
	if r.NeedsConfig {
		flags |= needsConfigFlag
	}
	if r.Echo.Known {
		flags |= echoFlag
	}
	if r.WantsEngines {
		flags |= wantsEnginesFlag
	}
	if r.Settled {
		flags |= settledFlag
	}
	flags |= r.Start.flags()
	b := append(make([]byte, 0, reportBytes), kindReport, flags)
	b = binary.BigEndian.AppendUint16(b, uint16(min(r.Running, 1<<16-1)))
	b = binary.BigEndian.AppendUint16(b, uint16(min(r.Waiting, 1<<16-1)))
	// The conversion to a byte truncates; the added 0.1 makes up for a quotient that
	// was rounded down.
	b = append(b, byte(min(r.Slowdown/slowdownUnit+slowdownUnit, 255)), byte(min(r.Entries, 255)))
	b = binary.BigEndian.AppendUint32(b, uint32(r.LoadedVersion))
	b = binary.BigEndian.AppendUint32(b, uint32(r.DeclaredVersion))
	b = append(b, encodeDuration(r.Start.Age), encodeDuration(r.ClosesIn))
	b = binary.BigEndian.AppendUint16(b, uint16(min(r.Demand, 1<<16-1)))
	return binary.BigEndian.AppendUint64(r.Echo.append(b), r.EngineListDigest)
}

// encodeDuration encodes a duration beyond the range as unknown: a shorter one would
// make an endpoint appear to have started later than it did.
func encodeDuration(d time.Duration) byte {
	if d < 0 || d/durationUnit >= unknownDurationByte {
		return unknownDurationByte
	}
	return byte(d / durationUnit)
}

func decodeDuration(b byte) time.Duration {
	if b == unknownDurationByte {
		return UnknownDuration
	}
	return time.Duration(b) * durationUnit
}

// DecodeReport decodes a report. It returns *FormatError for any other datagram.
func DecodeReport(b []byte) (Report, error) {
	if len(b) != reportBytes || b[0] != kindReport {
		return Report{}, &FormatError{Bytes: len(b)}
	}
	return Report{
		DeclaredVersion:  uint64(binary.BigEndian.Uint32(b[12:])),
		Start:            decodeStartAge(b[1], b[16]),
		ClosesIn:         decodeDuration(b[17]),
		Demand:           int(binary.BigEndian.Uint16(b[18:])),
		Closed:           b[1]&closedFlag != 0,
		NeedsConfig:      b[1]&needsConfigFlag != 0,
		WantsEngines:     b[1]&wantsEnginesFlag != 0,
		Settled:          b[1]&settledFlag != 0,
		Running:          int(binary.BigEndian.Uint16(b[2:])),
		Waiting:          int(binary.BigEndian.Uint16(b[4:])),
		Slowdown:         float64(b[6]) * slowdownUnit,
		Entries:          int(b[7]),
		LoadedVersion:    uint64(binary.BigEndian.Uint32(b[8:])),
		Echo:             decodeEcho(b[1]&echoFlag != 0, b[20:]),
		EngineListDigest: binary.BigEndian.Uint64(b[24:]),
	}, nil
}
