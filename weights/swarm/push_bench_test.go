package swarm

import (
	"fmt"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"github.com/snipestep/snipestep/telemetry"
)

// Rates of the links in bytes a second.
const (
	benchInstanceRate = 400e6 / 8
	benchOriginRate   = 800e6 / 8
	benchRegionRate   = 20e6 / 8
)

// BenchmarkPush pushes 16 MB to nodes in three regions over shaped links. The
// ideal is the time of one copy over one region link.
func BenchmarkPush(b *testing.B) {
	for _, n := range []int{8, 16, 32, 64, 128} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) { benchmarkPush(b, n, 16<<20, 256<<10) })
	}
}

func benchmarkPush(b *testing.B, n, size, chunkSize int) {
	m := newTestModel(b, "1", size, chunkSize)
	for b.Loop() {
		f := newTestFleet(b, m)
		f.origin.link = limiter(benchOriginRate)
		f.instanceRate, f.regionRate = benchInstanceRate, benchRegionRate
		f.grow(n)
		start := time.Now()
		f.push(m)
		f.report(b, m, time.Since(start))
		for _, node := range f.nodes {
			f.stop(node)
		}
	}
}

func (f *testFleet) report(b *testing.B, m testModel, elapsed time.Duration) {
	size := float64(m.manifest.Size)
	ideal := size / float64(rate.Limit(benchRegionRate))
	var region, instance float64
	for _, bytes := range f.regionBytes {
		region = max(region, float64(bytes)/size)
	}
	origin := float64(f.origin.served.Load())
	var in, control float64
	for _, n := range f.nodes {
		control = max(control, float64(n.counter(telemetry.MetricChunkControlBytes+"+")))
		in += float64(n.in.Load())
		instance = max(instance, float64(n.in.Load()+n.out.Load())/size)
	}
	b.ReportMetric(elapsed.Seconds()/ideal, "ratio_to_ideal")
	b.ReportMetric(control/elapsed.Seconds(), "control_bytes/s")
	b.ReportMetric(origin/size, "origin_copies")
	b.ReportMetric(region, "region_link_copies")
	b.ReportMetric(instance, "instance_link_copies")
	b.ReportMetric((in+origin)/size/float64(len(f.nodes)), "received_copies")
}
