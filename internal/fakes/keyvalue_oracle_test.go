package fakes_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/snipestep/snipestep/backing"
	"github.com/snipestep/snipestep/internal/fakes"
)

// keyValueOracle is a reference implementation with a lease of its own for each
// key.
type keyValueOracle struct {
	values    map[string]string
	versions  map[string]uint64
	expiresAt map[string]time.Time
}

func (o *keyValueOracle) version(key string, now time.Time) uint64 {
	expiresAt, leased := o.expiresAt[key]
	if leased && !expiresAt.After(now) {
		delete(o.values, key)
		delete(o.expiresAt, key)
	}
	if _, found := o.values[key]; !found {
		return 0
	}
	return o.versions[key]
}

func (o *keyValueOracle) put(key, value string) {
	o.values[key] = value
	o.versions[key]++
	delete(o.expiresAt, key)
}

// oracleRun applies the same operations to a service and to the oracle.
type oracleRun struct {
	ctx     context.Context
	clock   *manualClock
	service *fakes.KeyValue
	client  *backing.HTTPKeyValue
	oracle  *keyValueOracle
	down    bool
}

func newOracleRun(ctx context.Context, clock *manualClock, service *fakes.KeyValue, server *httptest.Server) *oracleRun {
	return &oracleRun{
		ctx:     ctx,
		clock:   clock,
		service: service,
		client:  backing.NewHTTPKeyValue(backing.HTTPConfig{BaseURL: server.URL, Client: server.Client()}),
		oracle:  &keyValueOracle{values: map[string]string{}, versions: map[string]uint64{}, expiresAt: map[string]time.Time{}},
	}
}

func drawKey(t *rapid.T) string {
	return rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key")
}

func (r *oracleRun) version(key string) uint64 {
	return r.oracle.version(key, r.clock.Now())
}

// checkWrite checks the error of a write and applies it to the oracle.
func (r *oracleRun) checkWrite(t *rapid.T, err error, apply func()) {
	if r.down {
		assert.Assert(t, isUnavailable(err), "got %v", err)
		return
	}
	var unknown *backing.UnknownOutcomeError
	if !errors.As(err, &unknown) {
		assert.NilError(t, err)
	}
	apply()
}

func (r *oracleRun) swap(t *rapid.T) {
	key, value := drawKey(t), rapid.String().Draw(t, "value")
	_, err := r.client.CompareAndSwap(r.ctx, key, r.version(key), []byte(value), 0)
	r.checkWrite(t, err, func() { r.oracle.put(key, value) })
}

func (r *oracleRun) swapWithLease(t *rapid.T) {
	key := drawKey(t)
	lease, err := r.client.Grant(r.ctx, time.Minute)
	if err != nil {
		return
	}
	_, err = r.client.CompareAndSwap(r.ctx, key, r.version(key), nil, lease)
	r.checkWrite(t, err, func() {
		r.oracle.put(key, "")
		r.oracle.expiresAt[key] = r.clock.Now().Add(time.Minute)
	})
}

func (r *oracleRun) swapWrongVersion(t *rapid.T) {
	key := drawKey(t)
	_, err := r.client.CompareAndSwap(r.ctx, key, r.version(key)+1, nil, 0)
	var conflict *backing.ConflictError
	assert.Assert(t, r.down || errors.As(err, &conflict), "got %v", err)
}

func (r *oracleRun) remove(t *rapid.T) {
	key := drawKey(t)
	version := r.version(key)
	if version == 0 {
		return
	}
	r.checkWrite(t, r.client.Delete(r.ctx, key, version), func() {
		delete(r.oracle.values, key)
		delete(r.oracle.expiresAt, key)
	})
}

func (r *oracleRun) advanceClock(t *rapid.T) {
	r.clock.Advance(time.Duration(rapid.IntRange(0, 90).Draw(t, "seconds")) * time.Second)
}

func (r *oracleRun) setOutage(t *rapid.T) {
	r.down = rapid.Bool().Draw(t, "down")
	r.service.SetDown(r.down)
}

func (r *oracleRun) dropResponses(t *rapid.T) {
	r.service.SetDroppedResponseRatio(rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "ratio"), 1)
}

// check compares the content of the service with the oracle.
func (r *oracleRun) check(t *rapid.T) {
	for _, key := range []string{"a", "b"} {
		entry, err := r.client.Get(r.ctx, key)
		want := r.version(key)
		switch {
		case r.down:
			assert.Assert(t, isUnavailable(err), "got %v", err)
		case want == 0:
			assert.ErrorIs(t, err, backing.ErrKeyNotFound)
		default:
			assert.NilError(t, err)
			assert.Equal(t, entry.Version, want)
			assert.Equal(t, string(entry.Value), r.oracle.values[key])
		}
	}
}

// TestKeyValueAgainstOracle writes with correct and wrong versions, drops
// responses, lets leases expire and has outages. A write whose response was
// dropped must have taken effect.
func TestKeyValueAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := newManualClock()
		service := fakes.NewKeyValue(clock.Now)
		server := httptest.NewServer(service)
		defer server.Close()
		r := newOracleRun(t.Context(), clock, service, server)
		t.Repeat(map[string]func(*rapid.T){
			"swap":                      r.swap,
			"swap with a lease":         r.swapWithLease,
			"swap with a wrong version": r.swapWrongVersion,
			"delete":                    r.remove,
			"pass time":                 r.advanceClock,
			"outage":                    r.setOutage,
			"drop responses":            r.dropResponses,
			"":                          r.check,
		})
	})
}

func isUnavailable(err error) bool {
	var unavailable *backing.UnavailableError
	return errors.As(err, &unavailable)
}
