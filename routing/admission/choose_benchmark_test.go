package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkChooseEndpoint measures one choice of an endpoint with the count of free slots that
// precedes it, for the fleet sizes of the known deployments. Each endpoint holds as many requests
// of the entry as in steady load with 11 entries: one.
func BenchmarkChooseEndpoint(b *testing.B) {
	for _, endpoints := range []int{34, 45, 76, 108} {
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) {
			p := benchmarkPool(endpoints)
			req := newRequest(at(1), 0)
			b.ReportAllocs()
			for b.Loop() {
				if p.chooseEndpoint(at(1), req, p.freeSlots(at(1), nil)) == nil {
					b.Fatal("no endpoint")
				}
			}
		})
	}
}

// benchmarkPool returns a pool of engines in three regions with 12 slots each, of which 8 are
// used.
func benchmarkPool(endpoints int) *Pool {
	p := NewPool(Config{Region: "r0", AgentReports: true, PrefillTokensPerSecond: 100_000, Rand: rand.New(rand.NewPCG(7, 7))})
	var list []Endpoint
	for i := range endpoints {
		list = append(list, Endpoint{ID: fmt.Sprintf("endpoint-%03d", i), Region: fmt.Sprintf("r%d", i%3), Slots: 12, LoadedVersion: 1})
	}
	p.SetEndpoints(at(-10_000), list)
	p.SetEntryCount(11)
	for i, endpoint := range list {
		p.Report(endpoint.ID, Report{ReceivedAt: at(0), LoadedVersion: 1, Running: 8, Slowdown: 1, RoundTrip: 4 * time.Millisecond})
		p.endpoints[endpoint.ID].inFlight[uint64(1_000+i)] = inFlightRequest{sentAt: at(-100), promptTokens: 800}
	}
	return p
}

// BenchmarkChooseFailureDomain is BenchmarkChooseEndpoint with locality, for a request that starts in
// its own failure domain and for one whose own failure domain is full and that another one takes.
func BenchmarkChooseFailureDomain(b *testing.B) {
	for _, endpoints := range []int{34, 108} {
		for _, ownFull := range []bool{false, true} {
			benchmarkFailureDomain(b, endpoints, ownFull)
		}
	}
}

func benchmarkFailureDomain(b *testing.B, endpoints int, ownFull bool) {
	b.Run(fmt.Sprintf("%d/ownFull=%v", endpoints, ownFull), func(b *testing.B) {
		p := benchmarkPool(endpoints)
		p.config.Locality = LocalityConfig{Enabled: true, FailureDomain: "r0"}
		p.locality = newLocality(&p.config)
		for _, id := range p.sortedIDs {
			endpoint := p.endpoints[id]
			endpoint.FailureDomain = endpoint.Region
			if endpoint.Region == "r0" && ownFull {
				endpoint.report.Running = endpoint.Slots
			}
		}
		p.setDomains(at(0))
		req := newRequest(at(1), 0)
		b.ReportAllocs()
		for b.Loop() {
			if p.chooseEndpoint(at(1), req, p.freeSlots(at(1), nil)).Region != "r0" != ownFull {
				b.Fatal("wrong failure domain")
			}
		}
	})
}
