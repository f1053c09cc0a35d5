package wire_test

import (
	"encoding/json"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/wire"
)

// BenchmarkMessageBytes reports the encoded size of the messages whose number
// grows with the fleet, without frames, tags and headers.
func BenchmarkMessageBytes(b *testing.B) {
	model := &wire.ModelRef{Model: "local-model", Version: "v1"}
	counts := []uint32{3, 2, 1}
	messages := map[string]proto.Message{
		"peer": &wire.Peer{
			Instance: "model-0123", Region: "region-1", FailureDomain: "domain-7",
			ChunkAddr: "10.20.130.140:7002",
		},
		"status": &wire.AgentStatus{
			Instance: "model-0123", Incarnation: 1 << 60, Serving: model, Fetching: model,
			ChunksHave: 60, ChunksTotal: 64, Running: 6, Slots: 8, Generation: 1800, Fence: 12,
		},
		"datagram": &wire.Datagram{
			Instance: "model-0123", Incarnation: 1 << 60, Sequence: 1 << 20, Generation: 1800,
			Load: &wire.AgentLoad{
				Slots: 8, Serving: model, MeanServiceMs: 900,
				Running: counts, Queued: counts, Credits: counts,
			},
		},
	}
	for name, message := range messages {
		b.Run(name, func(b *testing.B) { reportBytes(b, func() ([]byte, error) { return proto.Marshal(message) }) })
	}
	listed := core.Instance{
		ID: "model-0123", Role: core.RoleModel,
		Location:    core.Location{Region: "region-1", FailureDomain: "domain-7"},
		SessionAddr: "10.20.130.140:7000", DatagramAddr: "10.20.130.140:7001", ChunkAddr: "10.20.130.140:7002",
	}
	b.Run("listed-instance", func(b *testing.B) { reportBytes(b, func() ([]byte, error) { return json.Marshal(listed) }) })
}

func reportBytes(b *testing.B, encode func() ([]byte, error)) {
	b.Helper()
	var size int
	for b.Loop() {
		encoded, err := encode()
		if err != nil {
			b.Fatal(err)
		}
		size = len(encoded)
	}
	b.ReportMetric(float64(size), "encoded_bytes")
}
