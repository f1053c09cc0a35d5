package claim

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/snipestep/snipestep/backing"
	"github.com/snipestep/snipestep/core"
)

// storeLatency is the time of one call of the key-value service in benchmarks.
const storeLatency = 3 * time.Millisecond

// agedTTL makes most of a benchmark run with as many deletes as writes. The
// second between syncs is longer, so that reads are not comparable.
const agedTTL = 500 * time.Millisecond

// slowKeyValue adds latency to a key-value service.
type slowKeyValue struct {
	*testKeyValue
}

func (kv slowKeyValue) List(ctx context.Context, prefix, after string, limit int) ([]backing.KeyValueEntry, error) {
	time.Sleep(storeLatency)
	return kv.testKeyValue.List(ctx, prefix, after, limit)
}

func (kv slowKeyValue) CompareAndSwap(ctx context.Context, key string, version uint64, value []byte, lease backing.LeaseID) (uint64, error) {
	time.Sleep(storeLatency)
	return kv.testKeyValue.CompareAndSwap(ctx, key, version, value, lease)
}

func (kv slowKeyValue) Delete(ctx context.Context, key string, version uint64) error {
	time.Sleep(storeLatency)
	return kv.testKeyValue.Delete(ctx, key, version)
}

// way claims a key and then reports its outcome.
type way interface {
	claim(ctx context.Context, key string)
	report(ctx context.Context, key string)
}

// keyWay writes one key of the store for each claim, and again for its outcome
// and its removal.
type keyWay struct {
	kv backing.KeyValue
}

func (w keyWay) claim(ctx context.Context, key string) {
	_, _ = w.kv.CompareAndSwap(ctx, key, 0, nil, 0)
}

func (w keyWay) report(ctx context.Context, key string) {
	entry, _ := w.kv.List(ctx, key, "", 1)
	version, _ := w.kv.CompareAndSwap(ctx, key, entry[0].Version, nil, 0)
	_ = w.kv.Delete(ctx, key, version)
}

// logWay is the package's own.
type logWay []*Owner

func (w logWay) claim(ctx context.Context, key string) {
	o := w[ShardOf(key, len(w))]
	_, _ = o.Claim(ctx, Request{Key: key, Claim: key, RequestDigest: core.Digest{}})
}

func (w logWay) report(ctx context.Context, key string) {
	o := w[ShardOf(key, len(w))]
	_ = o.Report(ctx, Outcome{Key: key, Claim: key, Status: 200})
}

// measure offers b.N keys at a steady rate and reports the store's calls and
// the latency of claims.
func measure(b *testing.B, kv *testKeyValue, w way, perSecond int) {
	var calls sync.WaitGroup
	latencies := make([]time.Duration, b.N)
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tick.Stop()
	b.ResetTimer()
	for i := range b.N {
		<-tick.C
		calls.Go(func() {
			key := fmt.Sprintf("key-%08d", i)
			started := time.Now()
			w.claim(b.Context(), key)
			latencies[i] = time.Since(started)
			w.report(b.Context(), key)
		})
	}
	calls.Wait()
	elapsed := b.Elapsed().Seconds()
	slices.Sort(latencies)
	b.ReportMetric(float64(kv.writes)/float64(b.N), "writes/claim")
	b.ReportMetric(float64(kv.writes)/elapsed, "writes/s")
	b.ReportMetric(float64(kv.reads)/elapsed, "reads/s")
	b.ReportMetric(float64(latencies[b.N/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(latencies[b.N*95/100].Microseconds())/1000, "p95-ms")
	b.ReportMetric(0, "ns/op")
}

func BenchmarkWays(b *testing.B) {
	for _, perSecond := range []int{20, 100, 500, 2000} {
		b.Run(fmt.Sprintf("key/rate=%d", perSecond), func(b *testing.B) {
			kv := newTestKeyValue()
			measure(b, kv, keyWay{kv: slowKeyValue{kv}}, perSecond)
		})
		b.Run(fmt.Sprintf("aged/shards=%d/rate=%d", DefaultShards, perSecond), func(b *testing.B) {
			short := OwnerConfig{TTL: agedTTL, ClockSkew: time.Millisecond}
			benchmarkLog(b, short, DefaultShards, perSecond)
		})
		for _, shards := range []int{4, 8, 16} {
			b.Run(fmt.Sprintf("log/shards=%d/rate=%d", shards, perSecond), func(b *testing.B) {
				benchmarkLog(b, OwnerConfig{}, shards, perSecond)
			})
		}
	}
}

func benchmarkLog(b *testing.B, config OwnerConfig, shards, perSecond int) {
	kv := newTestKeyValue()
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	w := make(logWay, shards)
	for shard := range w {
		config.Shard = shard
		config.KeyValue = slowKeyValue{kv}
		w[shard] = NewOwner(config)
		running.Go(func() { _ = w[shard].Run(ctx) })
	}
	measure(b, kv, w, perSecond)
	stop()
	running.Wait()
}
