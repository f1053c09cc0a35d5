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

// keyValueOracle is a key-value service with one lease per key.
type keyValueOracle struct {
	values   map[string]string
	versions map[string]uint64
	ends     map[string]time.Time
}

func (o *keyValueOracle) version(key string, now time.Time) uint64 {
	ends, leased := o.ends[key]
	if leased && !ends.After(now) {
		delete(o.values, key)
		delete(o.ends, key)
	}
	if _, found := o.values[key]; !found {
		return 0
	}
	return o.versions[key]
}

func (o *keyValueOracle) put(key, value string) {
	o.values[key] = value
	o.versions[key]++
	delete(o.ends, key)
}

// oracleRun compares a service with the oracle.
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
		oracle:  &keyValueOracle{values: map[string]string{}, versions: map[string]uint64{}, ends: map[string]time.Time{}},
	}
}

func drawKey(t *rapid.T) string {
	return rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key")
}

func (r *oracleRun) version(key string) uint64 {
	return r.oracle.version(key, r.clock.Now())
}

// settle checks the error of a write and applies it to the oracle.
func (r *oracleRun) settle(t *rapid.T, err error, apply func()) {
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
	k, value := drawKey(t), rapid.String().Draw(t, "value")
	_, err := r.client.CompareAndSwap(r.ctx, k, r.version(k), []byte(value), 0)
	r.settle(t, err, func() { r.oracle.put(k, value) })
}

func (r *oracleRun) swapWithLease(t *rapid.T) {
	k := drawKey(t)
	lease, err := r.client.Grant(r.ctx, time.Minute)
	if err != nil {
		return
	}
	_, err = r.client.CompareAndSwap(r.ctx, k, r.version(k), nil, lease)
	r.settle(t, err, func() {
		r.oracle.put(k, "")
		r.oracle.ends[k] = r.clock.Now().Add(time.Minute)
	})
}

func (r *oracleRun) swapWrongVersion(t *rapid.T) {
	k := drawKey(t)
	_, err := r.client.CompareAndSwap(r.ctx, k, r.version(k)+1, nil, 0)
	var conflict *backing.ConflictError
	assert.Assert(t, r.down || errors.As(err, &conflict), "got %v", err)
}

func (r *oracleRun) remove(t *rapid.T) {
	k := drawKey(t)
	version := r.version(k)
	if version == 0 {
		return
	}
	r.settle(t, r.client.Delete(r.ctx, k, version), func() {
		delete(r.oracle.values, k)
		delete(r.oracle.ends, k)
	})
}

func (r *oracleRun) passTime(t *rapid.T) {
	r.clock.Advance(time.Duration(rapid.IntRange(0, 90).Draw(t, "seconds")) * time.Second)
}

func (r *oracleRun) outage(t *rapid.T) {
	r.down = rapid.Bool().Draw(t, "down")
	r.service.SetDown(r.down)
}

func (r *oracleRun) loseAnswers(t *rapid.T) {
	r.service.SetLoseAnswerRatio(rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "ratio"), 1)
}

// check compares what the service holds.
func (r *oracleRun) check(t *rapid.T) {
	for _, k := range []string{"a", "b"} {
		entry, err := r.client.Get(r.ctx, k)
		want := r.version(k)
		switch {
		case r.down:
			assert.Assert(t, isUnavailable(err), "got %v", err)
		case want == 0:
			assert.ErrorIs(t, err, backing.ErrKeyNotFound)
		default:
			assert.NilError(t, err)
			assert.Equal(t, entry.Version, want)
			assert.Equal(t, string(entry.Value), r.oracle.values[k])
		}
	}
}

// TestKeyValueAgainstOracle writes with right and wrong versions, loses
// answers, lapses leases and has outages, and settles each lost answer by
// reading back.
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
			"pass time":                 r.passTime,
			"outage":                    r.outage,
			"lose answers":              r.loseAnswers,
			"":                          r.check,
		})
	})
}

func isUnavailable(err error) bool {
	var unavailable *backing.UnavailableError
	return errors.As(err, &unavailable)
}
