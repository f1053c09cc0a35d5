package loadreport

import (
	"cmp"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"math"
	"slices"
	"time"
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

// RateLimits is what a process knows of the rate limits of endpoints. Entries send it to
// agents, which pass what is new to them on to all entries and answer each with what they
// know.
type RateLimits struct {
	// Entries is the number of entries that subscribe to the sending agent, and Position
	// that of the receiver among them, from 0, in the order of their addresses. Entries
	// is 0 if the sender is no agent or does not know yet.
	Entries, Position int
	Limits            []RateLimit
}

const (
	// rateLimitBytes is the length of an encoded RateLimit: incarnation, requests per
	// second, age, flags.
	rateLimitBytes = 8 + 8 + 4 + 1
	// rateLimitsHeaderBytes is the length of the part before the limits: kind, signature,
	// entries, position.
	rateLimitsHeaderBytes = 1 + sha256.Size + 2 + 2
	// MaxRateLimits is the largest number of limits in a datagram.
	MaxRateLimits = (MaxDatagramBytes - rateLimitsHeaderBytes) / rateLimitBytes
)

// limitedFlag is the flag of a RateLimit with a limit.
const limitedFlag = 1

// rateLimitsPurpose separates the signatures of rate limits from those of other datagrams.
const rateLimitsPurpose = "snipestep rate limits"

// IsRateLimits reports whether a datagram holds rate limits.
func IsRateLimits(b []byte) bool {
	return len(b) > 0 && b[0] == kindRateLimits
}

// Encode returns a datagram with the first MaxRateLimits limits, signed with the fleet key:
// a forged one would keep requests from an endpoint.
func (r RateLimits) Encode(fleetKey []byte) []byte {
	limits := r.Limits[:min(len(r.Limits), MaxRateLimits)]
	body := make([]byte, 0, rateLimitsHeaderBytes+len(limits)*rateLimitBytes)
	body = binary.BigEndian.AppendUint16(body, uint16(min(r.Entries, math.MaxUint16)))
	body = binary.BigEndian.AppendUint16(body, uint16(min(r.Position, math.MaxUint16)))
	for _, limit := range limits {
		flags := byte(0)
		if limit.Limited {
			flags |= limitedFlag
		}
		body = binary.BigEndian.AppendUint64(body, limit.Incarnation)
		body = binary.BigEndian.AppendUint64(body, math.Float64bits(limit.PerSecond))
		body = binary.BigEndian.AppendUint32(body, uint32(min(max(limit.Age, 0).Milliseconds(), maxMilliseconds)))
		body = append(body, flags)
	}
	datagram := append([]byte{kindRateLimits}, sign(fleetKey, rateLimitsPurpose, body)...)
	return append(datagram, body...)
}

// DecodeRateLimits decodes rate limits and verifies their signature. It returns
// *FormatError or *SignatureError.
func DecodeRateLimits(fleetKey, b []byte) (RateLimits, error) {
	if !IsRateLimits(b) || len(b) < rateLimitsHeaderBytes || (len(b)-rateLimitsHeaderBytes)%rateLimitBytes != 0 {
		return RateLimits{}, &FormatError{Bytes: len(b)}
	}
	signature, body := b[1:1+sha256.Size], b[1+sha256.Size:]
	if !hmac.Equal(signature, sign(fleetKey, rateLimitsPurpose, body)) {
		return RateLimits{}, &SignatureError{Bytes: len(b)}
	}
	decoded := RateLimits{
		Entries:  int(binary.BigEndian.Uint16(body)),
		Position: int(binary.BigEndian.Uint16(body[2:])),
	}
	for body = body[4:]; len(body) > 0; body = body[rateLimitBytes:] {
		limit := RateLimit{
			Incarnation: binary.BigEndian.Uint64(body),
			PerSecond:   math.Float64frombits(binary.BigEndian.Uint64(body[8:])),
			Age:         time.Duration(binary.BigEndian.Uint32(body[16:])) * time.Millisecond,
			Limited:     body[20]&limitedFlag != 0,
		}
		if math.IsNaN(limit.PerSecond) || math.IsInf(limit.PerSecond, 0) || limit.PerSecond < 0 {
			return RateLimits{}, &FormatError{Bytes: len(b)}
		}
		decoded.Limits = append(decoded.Limits, limit)
	}
	return decoded, nil
}

// SortNewestFirst sorts limits by age, so that the newest ones fit a datagram.
func SortNewestFirst(limits []RateLimit) {
	slices.SortFunc(limits, func(a, b RateLimit) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Incarnation, b.Incarnation))
	})
}
