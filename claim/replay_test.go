package claim

import (
	"context"
	"fmt"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/snipestep/snipestep/backing"
	"github.com/snipestep/snipestep/core"
)

// BenchmarkReplay replays the longest log that the default TTL, clock skew and
// batch interval allow when there are as many deletes as writes.
func BenchmarkReplay(b *testing.B) {
	const records = 10
	entries := int((DefaultTTL + defaultClockSkew) / (2 * DefaultBatchInterval))
	kv := newTestKeyValue()
	l := newShardLog(OwnerConfig{KeyValue: kv, StoreTimeout: time.Second})
	now := time.Now()
	for i := range entries {
		d := newDraft(fmt.Sprintf("%036d", i), now)
		for k := range records {
			claimID := fmt.Sprintf("%036d", i*records+k)
			d.add(claimedRecord(keyDigest(claimID), claimID, core.Digest{}, now), nil)
		}
		if _, err := l.create(context.Background(), logEntry{sequence: uint64(i), batch: d.batch}); err != nil {
			b.Fatal(err)
		}
	}
	heapBefore := heapBytes()
	var o *Owner
	for b.Loop() {
		o = NewOwner(OwnerConfig{KeyValue: pagedKeyValue{slowKeyValue{kv}, l}})
		if err := o.sync(context.Background(), 0); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(heapBytes()-heapBefore)/float64(len(o.state.claims)), "bytes/key")
	b.ReportMetric(float64(entries), "entries")
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// pagedKeyValue lists a gapless log. Its cost grows with the page and not with the
// log.
type pagedKeyValue struct {
	slowKeyValue
	log *shardLog
}

func (kv pagedKeyValue) List(_ context.Context, prefix, after string, limit int) ([]backing.KeyValueEntry, error) {
	time.Sleep(storeLatency)
	from := uint64(0)
	if after != "" {
		last, _ := strconv.ParseUint(strings.TrimPrefix(after, prefix), 10, 64)
		from = last + 1
	}
	var page []backing.KeyValueEntry
	for len(page) < limit {
		entry, ok := kv.entries[kv.log.key(from+uint64(len(page)))]
		if !ok {
			break
		}
		page = append(page, entry)
	}
	return page, nil
}
