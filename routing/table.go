package routing

import (
	"slices"
	"time"

	"github.com/snipestep/snipestep/core"
)

// DefaultStaleAfter is the greatest age of a load report whose endpoint may be
// chosen.
const DefaultStaleAfter = 3 * time.Second

// TableConfig configures a Table.
type TableConfig struct {
	// Region is the entry's own region.
	Region string
	// StaleAfter is the greatest age of a load report; DefaultStaleAfter if
	// 0.
	StaleAfter time.Duration
	// Entries is the number of entries that share the endpoints; 1 if 0.
	Entries int
}

// Table is a snapshot of the endpoints that an entry may call. Only its counts
// of sent calls change. It is safe for concurrent use; publish it through an
// atomic.Pointer.
type Table struct {
	config    TableConfig
	endpoints []tableEndpoint
	targets   map[target][]candidate
}

type tableEndpoint struct {
	EndpointState
	sent *SentCounter
}

// target identifies a plain service or a model.
type target struct {
	service string
	model   string
}

// NewTable returns a snapshot of the states. Endpoints whose report is the
// same as in the previous table keep their counts of sent calls; a newer
// report starts at zero. previous may be nil.
func NewTable(config TableConfig, states []EndpointState, previous *Table) *Table {
	if config.StaleAfter <= 0 {
		config.StaleAfter = DefaultStaleAfter
	}
	config.Entries = max(config.Entries, 1)
	t := &Table{
		config:    config,
		endpoints: make([]tableEndpoint, 0, len(states)),
		targets:   make(map[target][]candidate),
	}
	counts := previous.sentByID()
	for _, state := range states {
		t.add(state, counts[state.ID])
	}
	return t
}

type previousCount struct {
	sent       *SentCounter
	reportedAt time.Time
}

func (t *Table) sentByID() map[core.InstanceID]previousCount {
	if t == nil {
		return nil
	}
	previous := make(map[core.InstanceID]previousCount, len(t.endpoints))
	for i := range t.endpoints {
		e := &t.endpoints[i]
		previous[e.ID] = previousCount{sent: e.sent, reportedAt: e.ReportedAt}
	}
	return previous
}

func (t *Table) add(state EndpointState, previous previousCount) {
	e := tableEndpoint{EndpointState: state, sent: previous.sent}
	if e.sent == nil || !state.ReportedAt.Equal(previous.reportedAt) {
		e.sent = new(SentCounter)
	}
	key := target{service: state.Service}
	if state.Service == "" {
		key.model = state.Model.Model
	}
	c := newCandidate(&e, t.config)
	c.index = int32(len(t.endpoints))
	t.targets[key] = append(t.targets[key], c)
	t.endpoints = append(t.endpoints, e)
}

// candidates returns the endpoints that serve the request's service or model,
// in any state and version.
func (t *Table) candidates(r *Request) []candidate {
	if r.Service != "" {
		return t.targets[target{service: r.Service}]
	}
	return t.targets[target{model: r.Model.Model}]
}

// Len returns the number of endpoints.
func (t *Table) Len() int {
	return len(t.endpoints)
}

// Endpoint returns the state at index.
func (t *Table) Endpoint(index int) EndpointState {
	return t.endpoints[index].EndpointState
}

// Reserve counts a call sent to the endpoint at index against its credits. It
// returns false and counts nothing if no credit is left.
func (t *Table) Reserve(index int, rank core.Rank) bool {
	e := &t.endpoints[index]
	if int(e.sent.add(rank).of(rank)) > e.Credits[rank] {
		e.sent.remove(rank)
		return false
	}
	return true
}

// Release returns the credit of a reservation whose call has ended or was not
// sent.
func (t *Table) Release(index int, rank core.Rank) {
	t.endpoints[index].sent.remove(rank)
}

// Serves reports whether any endpoint, in any state, serves the service or
// model. A zero manifest matches every version.
func (t *Table) Serves(service string, model core.ModelRef) bool {
	r := Request{Service: service, Model: model}
	candidates := t.candidates(&r)
	version := r.version()
	return slices.ContainsFunc(candidates, func(c candidate) bool {
		return c.serves(version)
	})
}

// Capacity returns this entry's share of a target's capacity and of the calls
// queued there by rank: the totals over the eligible endpoints, divided by the
// number of entries. Start rates are left zero.
func (t *Table) Capacity(r Request, policies Policies, now time.Time) (Capacity, [core.RankCount]int) {
	var capacity Capacity
	var queued [core.RankCount]int
	var slotSeconds float64
	candidates := t.candidates(&r)
	version := r.version()
	for i := range candidates {
		if !candidates[i].serves(version) || !t.eligible(&candidates[i], &r, now.UnixNano()) {
			continue
		}
		e := &t.endpoints[candidates[i].index]
		slots := float64(e.Slots)
		capacity.Slots += slots
		slotSeconds += slots * e.MeanServiceTime.Seconds()
		for rank, n := range e.Queued {
			queued[rank] += n
		}
	}
	if capacity.Slots > 0 {
		capacity.MeanServiceTime = time.Duration(slotSeconds / capacity.Slots * float64(time.Second))
	}
	entries := float64(t.config.Entries)
	capacity.Slots /= entries
	for rank, p := range policies {
		capacity.Guaranteed[rank] = p.GuaranteedShare * capacity.Slots
		queued[rank] /= t.config.Entries
	}
	return capacity, queued
}
