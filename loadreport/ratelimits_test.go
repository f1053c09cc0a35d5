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
	known := []loadreport.RateLimit{
		{Incarnation: 1, Limited: true, PerSecond: 2.6, Age: 300 * time.Millisecond},
		{Incarnation: 1<<64 - 1, Age: time.Hour},
	}
	for _, limits := range []loadreport.RateLimits{
		{},
		{Limits: known},
		{Demands: []loadreport.ServiceDemand{{Service: 1, PerSecond: 17.5}, {Service: 2}}, Limits: known},
		{Shares: []loadreport.ServiceShare{{Service: 1, Lower: 0.25, Upper: 1}, {Service: 2}}, Limits: known},
	} {
		decoded, err := loadreport.DecodeRateLimits(testKey, limits.Encode(testKey))
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, limits)
	}
}

func TestMostRateLimitsFitADatagram(t *testing.T) {
	datagram := loadreport.RateLimits{
		Shares: make([]loadreport.ServiceShare, loadreport.MaxRateLimitServices+1),
		Limits: make([]loadreport.RateLimit, loadreport.MaxRateLimits+1),
	}.Encode(testKey)
	assert.Assert(t, len(datagram) <= loadreport.MaxDatagramBytes)
	decoded, err := loadreport.DecodeRateLimits(testKey, datagram)
	assert.NilError(t, err)
	assert.Equal(t, len(decoded.Limits), loadreport.MaxRateLimits)
	assert.Equal(t, len(decoded.Shares), loadreport.MaxRateLimitServices)
}

// Guards against limits that no other entry learns of because there are many.
func TestManyRateLimitsTakeSeveralDatagrams(t *testing.T) {
	all := loadreport.RateLimits{
		Demands: []loadreport.ServiceDemand{{Service: 1, PerSecond: 2}},
		Limits:  make([]loadreport.RateLimit, 3*loadreport.MaxRateLimits-1),
	}
	limits := 0
	for _, datagram := range all.EncodeAll(testKey) {
		decoded, err := loadreport.DecodeRateLimits(testKey, datagram)
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded.Demands, all.Demands)
		limits += len(decoded.Limits)
	}
	assert.Equal(t, limits, len(all.Limits))
	assert.Equal(t, len(loadreport.RateLimits{Demands: all.Demands}.EncodeAll(testKey)), 1)
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
	share := func(lower, upper float64) []byte {
		return loadreport.RateLimits{Shares: []loadreport.ServiceShare{{Service: 1, Lower: lower, Upper: upper}}}.Encode(testKey)
	}
	demand := loadreport.RateLimits{Demands: []loadreport.ServiceDemand{{Service: 1, PerSecond: math.NaN()}}}.Encode(testKey)
	whole := limits(1)
	for _, datagram := range [][]byte{
		nil, whole[:1], whole[:20], whole[:len(whole)-1], limits(math.NaN()), limits(math.Inf(1)), limits(-1), share(0.5, 0.4), share(0, 1.1), share(math.NaN(), 1), demand, loadreport.Report{}.Encode(),
	} {
		_, err := loadreport.DecodeRateLimits(testKey, datagram)
		assert.Assert(t, errors.As(err, &formatErr))
	}
	_, err := loadreport.DecodeReport(whole)
	assert.Assert(t, errors.As(err, &formatErr), "a build that does not know rate limits drops them")
}

func FuzzDecodeRateLimits(f *testing.F) {
	f.Add(loadreport.RateLimits{Demands: []loadreport.ServiceDemand{{Service: 1, PerSecond: 3}}, Limits: []loadreport.RateLimit{{Incarnation: 1, Limited: true, PerSecond: 2}}}.Encode(testKey))
	f.Fuzz(func(t *testing.T, datagram []byte) {
		limits, err := loadreport.DecodeRateLimits(testKey, datagram)
		if err == nil {
			again, err := loadreport.DecodeRateLimits(testKey, limits.Encode(testKey))
			assert.NilError(t, err)
			assert.DeepEqual(t, again, limits)
		}
	})
}
