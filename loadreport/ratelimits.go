package loadreport

import (
	"cmp"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RateLimit says whether an endpoint announces a limit on its requests per second.
type RateLimit struct {
	// Incarnation is the directory.IncarnationHash of the endpoint.
	Incarnation uint64
	// Limited says that there is a limit, of PerSecond requests of all entries together.
	Limited   bool
	PerSecond float64
	// Age is the time for which this has been known, in milliseconds up to 49 days.
	Age time.Duration
}

// ServiceDemand is the demand of one entry for a service.
type ServiceDemand struct {
	Service uint64 // The ServiceHash.
	// PerSecond is the number of requests per second that callers send.
	PerSecond float64
}

// ServiceShare is the share of one entry in the rate limits of the endpoints of a service:
// the interval from Lower up to Upper of [0, 1). The intervals of all entries are disjoint.
type ServiceShare struct {
	Service      uint64 // The ServiceHash.
	Lower, Upper float64
}

// RateLimits is what a process knows of the rate limits of endpoints. Entries send it to
// agents with their demand. Agents pass limits that are new to them on to all entries, and
// answer each entry with the limits that they know and with its shares.
type RateLimits struct {
	Demands []ServiceDemand // From entries.
	Shares  []ServiceShare  // From agents.
	Limits  []RateLimit
}

const (
	// rateLimitBytes is the length of an encoded RateLimit: incarnation, requests per
	// second, age, flags.
	rateLimitBytes = 8 + 8 + 4 + 1
	// serviceDemandBytes is the length of an encoded ServiceDemand, serviceShareBytes that
	// of a ServiceShare.
	serviceDemandBytes = 8 + 8
	serviceShareBytes  = 8 + 8 + 8
	// rateLimitsHeaderBytes is the length of the part before the lists: kind, signature,
	// length of the demands, of the shares.
	rateLimitsHeaderBytes = 1 + sha256.Size + 1 + 1
	// MaxRateLimitServices is the largest number of demands, and of shares, in a datagram.
	MaxRateLimitServices = 16
	// MaxRateLimits is the largest number of limits that always fits a datagram.
	MaxRateLimits = (MaxDatagramBytes - rateLimitsHeaderBytes - MaxRateLimitServices*serviceShareBytes) / rateLimitBytes
)

// ServiceHash identifies a service in RateLimits.
func ServiceHash(name string) uint64 {
	return xxhash.Sum64String(name)
}

// limitedFlag is the flag of a RateLimit with a limit.
const limitedFlag = 1

// rateLimitsPurpose separates the signatures of rate limits from those of other datagrams.
const rateLimitsPurpose = "snipestep rate limits"

// IsRateLimits reports whether a datagram holds rate limits.
func IsRateLimits(b []byte) bool {
	return len(b) > 0 && b[0] == kindRateLimits
}

// maxRateLimitDatagrams bounds the datagrams in which limits are sent to one process: enough
// for about 300 endpoints.
const maxRateLimitDatagrams = 8

// EncodeAll returns the limits in as many datagrams as they need, at most
// maxRateLimitDatagrams, each as from Encode with all demands and shares.
func (r RateLimits) EncodeAll(fleetKey []byte) [][]byte {
	if len(r.Limits) <= MaxRateLimits {
		return [][]byte{r.Encode(fleetKey)}
	}
	var datagrams [][]byte
	for limits := range slices.Chunk(r.Limits, MaxRateLimits) {
		if len(datagrams) == maxRateLimitDatagrams {
			break
		}
		part := RateLimits{Demands: r.Demands, Shares: r.Shares, Limits: limits}
		datagrams = append(datagrams, part.Encode(fleetKey))
	}
	return datagrams
}

// Encode returns a datagram signed with the fleet key, since a forged one would keep
// requests from an endpoint. Of longer lists it has the first MaxRateLimits limits and the
// first MaxRateLimitServices demands or shares, of which only one list is sent.
func (r RateLimits) Encode(fleetKey []byte) []byte {
	demands := r.Demands[:min(len(r.Demands), MaxRateLimitServices)]
	shares := r.Shares[:min(len(r.Shares), MaxRateLimitServices)]
	if len(demands) > 0 {
		shares = nil
	}
	body := []byte{byte(len(demands)), byte(len(shares))}
	for _, demand := range demands {
		body = binary.BigEndian.AppendUint64(body, demand.Service)
		body = appendFloat(body, demand.PerSecond)
	}
	for _, share := range shares {
		body = binary.BigEndian.AppendUint64(body, share.Service)
		body = appendFloat(appendFloat(body, share.Lower), share.Upper)
	}
	for _, limit := range r.Limits[:min(len(r.Limits), MaxRateLimits)] {
		body = limit.append(body)
	}
	datagram := append([]byte{kindRateLimits}, sign(fleetKey, rateLimitsPurpose, body)...)
	return append(datagram, body...)
}

func (l RateLimit) append(b []byte) []byte {
	flags := byte(0)
	if l.Limited {
		flags |= limitedFlag
	}
	b = appendFloat(binary.BigEndian.AppendUint64(b, l.Incarnation), l.PerSecond)
	b = binary.BigEndian.AppendUint32(b, uint32(min(max(l.Age, 0).Milliseconds(), maxMilliseconds)))
	return append(b, flags)
}

func decodeRateLimit(b []byte) RateLimit {
	return RateLimit{
		Incarnation: binary.BigEndian.Uint64(b),
		PerSecond:   decodeFloat(b[8:]),
		Age:         time.Duration(binary.BigEndian.Uint32(b[16:])) * time.Millisecond,
		Limited:     b[20]&limitedFlag != 0,
	}
}

// DecodeRateLimits decodes rate limits and verifies their signature. It returns
// *FormatError or *SignatureError.
func DecodeRateLimits(fleetKey, b []byte) (RateLimits, error) {
	if !IsRateLimits(b) || len(b) < rateLimitsHeaderBytes {
		return RateLimits{}, &FormatError{Bytes: len(b)}
	}
	signature, body := b[1:1+sha256.Size], b[1+sha256.Size:]
	demandBytes, shareBytes := int(body[0])*serviceDemandBytes, int(body[1])*serviceShareBytes
	lists := body[2:]
	if len(lists) < demandBytes+shareBytes || (len(lists)-demandBytes-shareBytes)%rateLimitBytes != 0 {
		return RateLimits{}, &FormatError{Bytes: len(b)}
	}
	if !hmac.Equal(signature, sign(fleetKey, rateLimitsPurpose, body)) {
		return RateLimits{}, &SignatureError{Bytes: len(b)}
	}
	var decoded RateLimits
	for part := range slices.Chunk(lists[:demandBytes], serviceDemandBytes) {
		decoded.Demands = append(decoded.Demands, ServiceDemand{Service: binary.BigEndian.Uint64(part), PerSecond: decodeFloat(part[8:])})
	}
	for part := range slices.Chunk(lists[demandBytes:demandBytes+shareBytes], serviceShareBytes) {
		decoded.Shares = append(decoded.Shares, ServiceShare{Service: binary.BigEndian.Uint64(part), Lower: decodeFloat(part[8:]), Upper: decodeFloat(part[16:])})
	}
	for part := range slices.Chunk(lists[demandBytes+shareBytes:], rateLimitBytes) {
		decoded.Limits = append(decoded.Limits, decodeRateLimit(part))
	}
	if !decoded.valid() {
		return RateLimits{}, &FormatError{Bytes: len(b)}
	}
	return decoded, nil
}

// valid reports whether all numbers are in their ranges.
func (r RateLimits) valid() bool {
	for _, demand := range r.Demands {
		if !isRate(demand.PerSecond) {
			return false
		}
	}
	for _, share := range r.Shares {
		// The comparisons are false for what is not a number.
		if !(share.Lower >= 0 && share.Lower <= share.Upper && share.Upper <= 1) {
			return false
		}
	}
	for _, limit := range r.Limits {
		if !isRate(limit.PerSecond) {
			return false
		}
	}
	return true
}

func isRate(perSecond float64) bool {
	return perSecond >= 0 && !math.IsInf(perSecond, 1)
}

func appendFloat(b []byte, f float64) []byte {
	return binary.BigEndian.AppendUint64(b, math.Float64bits(f))
}

func decodeFloat(b []byte) float64 {
	return math.Float64frombits(binary.BigEndian.Uint64(b))
}

// SortNewestFirst sorts limits by age, so that the newest ones fit a datagram.
func SortNewestFirst(limits []RateLimit) {
	slices.SortFunc(limits, func(a, b RateLimit) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Incarnation, b.Incarnation))
	})
}
