package admission

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkChooseWarmEndpoint chooses among 34 engines with 12 slots, as on the deployment with
// cold endpoints.
func BenchmarkChooseWarmEndpoint(b *testing.B) {
	var ids []string
	for i := range 34 {
		ids = append(ids, fmt.Sprintf("engine-%02d", i))
	}
	benchmarkChoice(b, enginePool(11, ids...))
}

// benchmarkChoice measures a choice in a pool whose endpoints have just reported.
func benchmarkChoice(b *testing.B, p *Pool) {
	now := at(0).Add(time.Millisecond)
	req := newRequest(now, 0)
	b.ReportAllocs()
	for b.Loop() {
		if p.chooseEndpoint(now, req, 400) == nil {
			b.Fatal("no endpoint")
		}
	}
}

// BenchmarkChooseColdEndpoint is the same while all engines are cold.
func BenchmarkChooseColdEndpoint(b *testing.B) {
	var ids []string
	for i := range 34 {
		ids = append(ids, fmt.Sprintf("engine-%02d", i))
	}
	p := coldPool(ids...)
	for _, id := range ids {
		reportStart(p, at(0), id, 0)
		p.cold.states[id].bucket.GiveBack(1)
	}
	benchmarkChoice(b, p)
}
