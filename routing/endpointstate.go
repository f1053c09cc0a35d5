package routing

import (
	"time"

	"github.com/snipestep/snipestep/core"
)

// EndpointState is an endpoint's state as of its agent's last load report.
type EndpointState struct {
	ID       core.InstanceID
	Location core.Location
	// Service is the name of a plain service; empty for a model endpoint.
	Service string
	// Model is what a model endpoint serves.
	Model core.ModelRef
	Slots int
	// Running counts running calls of all ranks.
	Running int
	// Queued counts waiting calls by rank, most urgent first.
	Queued [core.RankCount]int
	// Credits is how many calls of each rank this entry may send after the
	// report.
	Credits [core.RankCount]int
	// MeanServiceTime is the mean time that one call occupies a slot.
	MeanServiceTime time.Duration
	Draining        bool
	Leaving         bool
	// Prefixes are hashes of prompt prefixes that the engine may have
	// cached.
	Prefixes []uint64
	// ReportedAt is when the report was received.
	ReportedAt time.Time
}
