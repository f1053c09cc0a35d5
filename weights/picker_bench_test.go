package weights

import (
	"fmt"
	"testing"
)

// BenchmarkNext measures one call of Next in a transfer in which neighbours hold
// half of the chunks and all requests but one are in flight.
func BenchmarkNext(b *testing.B) {
	for _, chunks := range []int{64, 1024, 16384} {
		b.Run(fmt.Sprintf("chunks=%d", chunks), func(b *testing.B) {
			targets := testTargets(100)
			p := NewPicker(PickerConfig{Self: targets[0], OriginRegion: "r1", Manifest: testManifest, Chunks: chunks}, testStart)
			p.SetTargets(testStart, targets)
			for _, id := range p.Neighbours(testStart) {
				has := NewBitmap(chunks)
				for i := 0; i < chunks; i += 2 {
					has.Add(i)
				}
				p.PeerUp(testStart, id, has, 0)
			}
			requests := p.Next(testStart)
			for b.Loop() {
				p.removeRequest(requests[0].Chunk, requests[0].Source)
				requests = p.Next(testStart)
				if len(requests) == 0 {
					b.Fatal("nothing requested")
				}
			}
		})
	}
}
