package fakes_test

import (
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/snipestep/snipestep/internal/fakes"
	"github.com/snipestep/snipestep/platform"
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

// TestKeyValueAgainstOracle writes with right and wrong versions, loses
// answers, lapses leases and has outages, and settles each lost answer by
// reading back.
func TestKeyValueAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := newManualClock()
		service := fakes.NewKeyValue(clock.Now)
		server := httptest.NewServer(service)
		defer server.Close()
		client := platform.NewHTTPKeyValue(platform.HTTPConfig{BaseURL: server.URL, Client: server.Client()})
		oracle := &keyValueOracle{values: map[string]string{}, versions: map[string]uint64{}, ends: map[string]time.Time{}}
		ctx := t.Context()
		key := rapid.SampledFrom([]string{"a", "b"})
		down := false

		settle := func(t *rapid.T, err error, apply func()) {
			if down {
				assert.Assert(t, isUnavailable(err), "got %v", err)
				return
			}
			var unknown *platform.UnknownOutcomeError
			if !errors.As(err, &unknown) {
				assert.NilError(t, err)
			}
			apply()
		}
		t.Repeat(map[string]func(*rapid.T){
			"swap": func(t *rapid.T) {
				k, value := key.Draw(t, "key"), rapid.String().Draw(t, "value")
				_, err := client.CompareAndSwap(ctx, k, oracle.version(k, clock.Now()), []byte(value), 0)
				settle(t, err, func() { oracle.put(k, value) })
			},
			"swap with a lease": func(t *rapid.T) {
				k := key.Draw(t, "key")
				lease, err := client.Grant(ctx, time.Minute)
				if err != nil {
					return
				}
				_, err = client.CompareAndSwap(ctx, k, oracle.version(k, clock.Now()), nil, lease)
				settle(t, err, func() {
					oracle.put(k, "")
					oracle.ends[k] = clock.Now().Add(time.Minute)
				})
			},
			"swap with a wrong version": func(t *rapid.T) {
				k := key.Draw(t, "key")
				_, err := client.CompareAndSwap(ctx, k, oracle.version(k, clock.Now())+1, nil, 0)
				var conflict *platform.ConflictError
				assert.Assert(t, down || errors.As(err, &conflict), "got %v", err)
			},
			"delete": func(t *rapid.T) {
				k := key.Draw(t, "key")
				version := oracle.version(k, clock.Now())
				if version == 0 {
					return
				}
				settle(t, client.Delete(ctx, k, version), func() {
					delete(oracle.values, k)
					delete(oracle.ends, k)
				})
			},
			"pass time": func(t *rapid.T) {
				clock.Advance(time.Duration(rapid.IntRange(0, 90).Draw(t, "seconds")) * time.Second)
			},
			"outage": func(t *rapid.T) {
				down = rapid.Bool().Draw(t, "down")
				service.SetDown(down)
			},
			"lose answers": func(t *rapid.T) {
				service.SetLoseAnswerRatio(rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "ratio"), 1)
			},
			"": func(t *rapid.T) {
				for _, k := range []string{"a", "b"} {
					entry, err := client.Get(ctx, k)
					want := oracle.version(k, clock.Now())
					switch {
					case down:
						assert.Assert(t, isUnavailable(err), "got %v", err)
					case want == 0:
						assert.ErrorIs(t, err, platform.ErrKeyNotFound)
					default:
						assert.NilError(t, err)
						assert.Equal(t, entry.Version, want)
						assert.Equal(t, string(entry.Value), oracle.values[k])
					}
				}
			},
		})
	})
}

func isUnavailable(err error) bool {
	var unavailable *platform.UnavailableError
	return errors.As(err, &unavailable)
}
