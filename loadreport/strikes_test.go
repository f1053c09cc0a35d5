package loadreport_test

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/loadreport"
)

var testKey = []byte("key")

func TestStrikesRoundTrip(t *testing.T) {
	strikes := loadreport.Strikes{
		{Fingerprint: 1, Crash: 2, Age: 300 * time.Millisecond},
		{Fingerprint: 1 << 63, Crash: 1<<64 - 1, Age: time.Hour, Late: true},
		{Fingerprint: 3, Crash: 4, Absolved: true},
		{Fingerprint: 5, Crash: 4, Part: true},
		{Fingerprint: 6, Crash: 4, Part: true, Shared: true},
		{Fingerprint: 7, Crash: 4, Part: true, Weak: true},
	}
	decoded, err := loadreport.DecodeStrikes(testKey, strikes.Encode(testKey))
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, strikes)
}

func TestMostStrikesFitADatagram(t *testing.T) {
	datagram := make(loadreport.Strikes, loadreport.MaxStrikes+1).Encode(testKey)
	assert.Assert(t, len(datagram) <= loadreport.MaxDatagramBytes)
	decoded, err := loadreport.DecodeStrikes(testKey, datagram)
	assert.NilError(t, err)
	assert.Equal(t, len(decoded), loadreport.MaxStrikes)
}

// Guards against datagrams from elsewhere that make entries refuse a caller.
func TestForgedStrikesAreRejected(t *testing.T) {
	datagram := loadreport.Strikes{{Fingerprint: 1, Crash: 2}}.Encode([]byte("other"))
	var signatureErr *loadreport.SignatureError
	_, err := loadreport.DecodeStrikes(testKey, datagram)
	assert.Assert(t, errors.As(err, &signatureErr))
	datagram = loadreport.Strikes{{Fingerprint: 1, Crash: 2}}.Encode(testKey)
	datagram[len(datagram)-5]++
	_, err = loadreport.DecodeStrikes(testKey, datagram)
	assert.Assert(t, errors.As(err, &signatureErr))
}

func TestMalformedStrikesAreRejected(t *testing.T) {
	var formatErr *loadreport.FormatError
	whole := loadreport.Strikes{{Fingerprint: 1, Crash: 2}}.Encode(testKey)
	for _, datagram := range [][]byte{nil, whole[:1], whole[:20], whole[:len(whole)-1], loadreport.Report{}.Encode()} {
		_, err := loadreport.DecodeStrikes(testKey, datagram)
		assert.Assert(t, errors.As(err, &formatErr))
	}
	_, err := loadreport.DecodeReport(whole)
	assert.Assert(t, errors.As(err, &formatErr), "a build that does not know strikes drops them")
}

func FuzzDecodeStrikes(f *testing.F) {
	f.Add(loadreport.Strikes{{Fingerprint: 1, Crash: 2}}.Encode(testKey))
	f.Fuzz(func(t *testing.T, datagram []byte) {
		strikes, err := loadreport.DecodeStrikes(testKey, datagram)
		if err == nil {
			again, err := loadreport.DecodeStrikes(testKey, strikes.Encode(testKey))
			assert.NilError(t, err)
			assert.DeepEqual(t, again, strikes)
		}
	})
}
