package routing

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/snipestep/snipestep/core"
)

// candidate is the part of an endpoint's state that Choose reads.
type candidate struct {
	index           int32
	credits         [core.RankCount]int32
	staleAtUnixNano int64
	sent            *SentCounter
	load            [core.RankCount]float64 // Running calls and those queued up to the rank, per slot.
	loadPerCall     float64                 // Load that one more call adds.
	acceptsNew      bool
	draining        bool // Takes only continuations.
	local           bool
	idHash          uint64
	manifest        core.Digest
}

func newCandidate(e *tableEndpoint, config TableConfig) candidate {
	c := candidate{
		staleAtUnixNano: e.ReportedAt.Add(config.StaleAfter).UnixNano(),
		sent:            e.sent,
		loadPerCall:     1 / float64(max(e.Slots, 1)),
		acceptsNew:      !e.Draining && !e.Leaving,
		draining:        e.Draining && !e.Leaving,
		local:           e.Location.Region == config.Region,
		idHash:          xxhash.Sum64String(string(e.ID)),
		manifest:        e.Model.Manifest,
	}
	calls := e.Running
	for rank, queued := range e.Queued {
		calls += queued
		c.load[rank] = float64(calls) * c.loadPerCall
		c.credits[rank] = int32(min(e.Credits[rank], math.MaxInt32))
	}
	return c
}

// serves reports whether the candidate serves the version that a request
// needs.
func (c *candidate) serves(v neededVersion) bool {
	return v.any || c.manifest == v.manifest
}

// neededVersion is the version of a model that a request needs.
type neededVersion struct {
	any      bool
	manifest core.Digest
}

func (r *Request) version() neededVersion {
	return neededVersion{
		any:      r.Service != "" || r.Model.Manifest.IsZero(),
		manifest: r.Model.Manifest,
	}
}
