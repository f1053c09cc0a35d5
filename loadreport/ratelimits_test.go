package loadreport_test

import (
	"errors"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/loadreport"
)

func TestRateLimitsRoundTrip(t *testing.T) {
	limits := loadreport.RateLimits{Entries: 30, Position: 29, Limits: []loadreport.RateLimit{
		{Incarnation: 1, Limited: true, PerSecond: 2.6, Age: 300 * time.Millisecond},
		{Incarnation: 1<<64 - 1, Age: time.Hour},
	}}
	decoded, err := loadreport.DecodeRateLimits(testKey, limits.Encode(testKey))
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, limits)
}

func TestMostRateLimitsFitADatagram(t *testing.T) {
	datagram := loadreport.RateLimits{Limits: make([]loadreport.RateLimit, loadreport.MaxRateLimits+1)}.Encode(testKey)
	assert.Assert(t, len(datagram) <= loadreport.MaxDatagramBytes)
	decoded, err := loadreport.DecodeRateLimits(testKey, datagram)
	assert.NilError(t, err)
	assert.Equal(t, len(decoded.Limits), loadreport.MaxRateLimits)
}

// Guards against datagrams from elsewhere that keep requests from an endpoint.
func TestForgedRateLimitsAreRejected(t *testing.T) {
	limits := loadreport.RateLimits{Limits: []loadreport.RateLimit{{Incarnation: 1, Limited: true, PerSecond: 1}}}
	var signatureErr *loadreport.SignatureError
	_, err := loadreport.DecodeRateLimits(testKey, limits.Encode([]byte("other")))
	assert.Assert(t, errors.As(err, &signatureErr))
	datagram := limits.Encode(testKey)
	datagram[len(datagram)-5]++
	_, err = loadreport.DecodeRateLimits(testKey, datagram)
	assert.Assert(t, errors.As(err, &signatureErr))
}

func TestMalformedRateLimitsAreRejected(t *testing.T) {
	var formatErr *loadreport.FormatError
	limits := func(perSecond float64) []byte {
		return loadreport.RateLimits{Limits: []loadreport.RateLimit{{Incarnation: 1, Limited: true, PerSecond: perSecond}}}.Encode(testKey)
	}
	whole := limits(1)
	for _, datagram := range [][]byte{
		nil, whole[:1], whole[:20], whole[:len(whole)-1], limits(math.NaN()), limits(math.Inf(1)), limits(-1), loadreport.Report{}.Encode(),
	} {
		_, err := loadreport.DecodeRateLimits(testKey, datagram)
		assert.Assert(t, errors.As(err, &formatErr))
	}
	_, err := loadreport.DecodeReport(whole)
	assert.Assert(t, errors.As(err, &formatErr), "a build that does not know rate limits drops them")
}

func FuzzDecodeRateLimits(f *testing.F) {
	f.Add(loadreport.RateLimits{Entries: 1, Limits: []loadreport.RateLimit{{Incarnation: 1, Limited: true, PerSecond: 2}}}.Encode(testKey))
	f.Fuzz(func(t *testing.T, datagram []byte) {
		limits, err := loadreport.DecodeRateLimits(testKey, datagram)
		if err == nil {
			again, err := loadreport.DecodeRateLimits(testKey, limits.Encode(testKey))
			assert.NilError(t, err)
			assert.DeepEqual(t, again, limits)
		}
	})
}
