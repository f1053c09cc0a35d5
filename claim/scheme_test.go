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

// storeLatency is the latency of a key-value service call in benchmarks.
const storeLatency = 3 * time.Millisecond

// shortTTL makes entries expire early in a benchmark, so that most of it runs
// with as many deletes as writes. It is shorter than syncInterval, so the number
// of reads cannot be compared with that of other benchmarks.
const shortTTL = 500 * time.Millisecond

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

// scheme is a way to keep claims in the store.
type scheme interface {
	claim(ctx context.Context, key string)
	report(ctx context.Context, key string)
}

// keyPerClaim writes one key of the store for each claim, and again for its outcome
// and its removal.
type keyPerClaim struct {
	kv backing.KeyValue
}

func (s keyPerClaim) claim(ctx context.Context, key string) {
	_, _ = s.kv.CompareAndSwap(ctx, key, 0, nil, 0)
}

func (s keyPerClaim) report(ctx context.Context, key string) {
	entry, _ := s.kv.List(ctx, key, "", 1)
	version, _ := s.kv.CompareAndSwap(ctx, key, entry[0].Version, nil, 0)
	_ = s.kv.Delete(ctx, key, version)
}

// shardedLog is the scheme of this package.
type shardedLog []*Owner

func (s shardedLog) claim(ctx context.Context, key string) {
	o := s[ShardOf(key, len(s))]
	_, _ = o.Claim(ctx, Request{Key: key, ClaimID: key, RequestDigest: core.Digest{}})
}

func (s shardedLog) report(ctx context.Context, key string) {
	o := s[ShardOf(key, len(s))]
	_ = o.Report(ctx, Outcome{Key: key, ClaimID: key, Status: 200})
}

// benchmarkScheme claims b.N keys at a steady rate and reports the store's calls and
// the latency of claims.
func benchmarkScheme(b *testing.B, kv *testKeyValue, s scheme, claimsPerSecond int) {
	var calls sync.WaitGroup
	latencies := make([]time.Duration, b.N)
	ticker := time.NewTicker(time.Second / time.Duration(claimsPerSecond))
	defer ticker.Stop()
	b.ResetTimer()
	for i := range b.N {
		<-ticker.C
		calls.Go(func() {
			key := fmt.Sprintf("key-%08d", i)
			started := time.Now()
			s.claim(b.Context(), key)
			latencies[i] = time.Since(started)
			s.report(b.Context(), key)
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
	for _, claimsPerSecond := range []int{20, 100, 500, 2000} {
		b.Run(fmt.Sprintf("key/rate=%d", claimsPerSecond), func(b *testing.B) {
			kv := newTestKeyValue()
			benchmarkScheme(b, kv, keyPerClaim{kv: slowKeyValue{kv}}, claimsPerSecond)
		})
		b.Run(fmt.Sprintf("aged/shards=%d/rate=%d", DefaultShards, claimsPerSecond), func(b *testing.B) {
			short := OwnerConfig{TTL: shortTTL, ClockSkew: time.Millisecond}
			benchmarkShardedLog(b, short, DefaultShards, claimsPerSecond)
		})
		for _, shards := range []int{4, 8, 16} {
			b.Run(fmt.Sprintf("log/shards=%d/rate=%d", shards, claimsPerSecond), func(b *testing.B) {
				benchmarkShardedLog(b, OwnerConfig{}, shards, claimsPerSecond)
			})
		}
	}
}

func benchmarkShardedLog(b *testing.B, config OwnerConfig, shards, claimsPerSecond int) {
	kv := newTestKeyValue()
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	s := make(shardedLog, shards)
	for shard := range s {
		config.Shard = shard
		config.KeyValue = slowKeyValue{kv}
		s[shard] = NewOwner(config)
		running.Go(func() { _ = s[shard].Run(ctx) })
	}
	benchmarkScheme(b, kv, s, claimsPerSecond)
	stop()
	running.Wait()
}
