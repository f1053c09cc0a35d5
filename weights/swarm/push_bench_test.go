package swarm

import (
	"fmt"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"github.com/snipestep/snipestep/telemetry"
)

// Link rates in bytes per second.
const (
	benchInstanceRate = 400e6 / 8
	benchOriginRate   = 800e6 / 8
	benchRegionRate   = 20e6 / 8
)

// BenchmarkPush distributes 16 MB to nodes in three regions over shaped links.
// The ideal is the time that one copy takes over one region link.
func BenchmarkPush(b *testing.B) {
	for _, n := range []int{8, 16, 32, 64, 128} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) { benchmarkPush(b, n, 16<<20, 256<<10) })
	}
}

func benchmarkPush(b *testing.B, n, size, chunkSize int) {
	m := newTestModel(b, "1", size, chunkSize)
	for b.Loop() {
		f := newTestFleet(b, m)
		f.origin.limiter = newLimiter(benchOriginRate)
		f.instanceRate, f.regionRate = benchInstanceRate, benchRegionRate
		f.addNodes(n)
		start := time.Now()
		f.fetchAndVerify(m)
		f.reportMetrics(b, m, time.Since(start))
		for _, node := range f.nodes {
			f.stopNode(node)
		}
	}
}

func (f *testFleet) reportMetrics(b *testing.B, m testModel, elapsed time.Duration) {
	size := float64(m.manifest.Size)
	ideal := size / float64(rate.Limit(benchRegionRate))
	var maxRegionCopies, maxInstanceCopies float64
	for _, bytes := range f.regionBytes {
		maxRegionCopies = max(maxRegionCopies, float64(bytes)/size)
	}
	originBytes := float64(f.origin.servedBytes.Load())
	var receivedBytes, maxControlBytes float64
	for _, n := range f.nodes {
		maxControlBytes = max(maxControlBytes, float64(n.counter(telemetry.MetricChunkControlBytes+"+")))
		receivedBytes += float64(n.receivedBytes.Load())
		maxInstanceCopies = max(maxInstanceCopies, float64(n.receivedBytes.Load()+n.sentBytes.Load())/size)
	}
	b.ReportMetric(elapsed.Seconds()/ideal, "ratio_to_ideal")
	b.ReportMetric(maxControlBytes/elapsed.Seconds(), "control_bytes/s")
	b.ReportMetric(originBytes/size, "origin_copies")
	b.ReportMetric(maxRegionCopies, "region_link_copies")
	b.ReportMetric(maxInstanceCopies, "instance_link_copies")
	b.ReportMetric((receivedBytes+originBytes)/size/float64(len(f.nodes)), "received_copies")
}
