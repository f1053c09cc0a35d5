package routing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/core"
)

var testModel = core.ModelRef{Model: "m", Version: "1", Manifest: core.Digest{1}}

func endpoints(n int) []EndpointState {
	states := make([]EndpointState, n)
	for i := range states {
		states[i] = EndpointState{
			ID:         core.InstanceID(fmt.Sprintf("endpoint-%d", i)),
			Location:   core.Location{Region: []string{"dar", "arusha"}[i%2]},
			Model:      testModel,
			Slots:      8,
			Credits:    [core.RankCount]int{8, 8, 8},
			ReportedAt: epoch,
		}
	}
	return states
}

func newTestTable(states []EndpointState) *Table {
	return NewTable(TableConfig{Region: "dar"}, states, nil)
}

func modelRequest() Request {
	return Request{Rank: core.RankNormal, Model: core.ModelRef{Model: "m"}}
}

func TestChooseSkipsIneligibleEndpoints(t *testing.T) {
	cases := map[string]func(e *EndpointState, r *Request){
		"draining": func(e *EndpointState, _ *Request) { e.Draining = true },
		"leaving":  func(e *EndpointState, _ *Request) { e.Leaving = true },
		"stale":    func(e *EndpointState, _ *Request) { e.ReportedAt = epoch.Add(-DefaultStaleAfter - 1) },
		"excluded": func(e *EndpointState, r *Request) { r.Exclude = []core.InstanceID{e.ID} },
		"service":  func(e *EndpointState, _ *Request) { e.Service = "m" },
		"model":    func(e *EndpointState, _ *Request) { e.Model.Model = "other" },
		"version": func(_ *EndpointState, r *Request) {
			r.Model = core.ModelRef{Model: "m", Version: "2", Manifest: core.Digest{2}}
		},
		"credit":  func(e *EndpointState, _ *Request) { e.Credits = [core.RankCount]int{8, 0, 8} },
		"suspect": func(e *EndpointState, r *Request) { e.Running, r.Suspect = 3, true },
	}
	for name, change := range cases {
		states := endpoints(1)
		request := modelRequest()
		_, ok := Choose(newTestTable(states), request, 1, epoch)
		assert.Assert(t, ok)
		change(&states[0], &request)
		_, ok = Choose(newTestTable(states), request, 1, epoch)
		assert.Assert(t, !ok, name)
	}
}

func TestChooseSpreadsByLoadAndRegion(t *testing.T) {
	table := newTestTable(endpoints(8))
	rnd := rand.New(rand.NewPCG(1, 1))
	sent := make([]int, table.Len())
	const calls = 24
	for range calls {
		i, ok := Choose(table, modelRequest(), rnd.Uint64(), epoch)
		assert.Assert(t, ok && table.Reserve(i, core.RankNormal))
		sent[i]++
	}
	local, remote := 0, 0
	for i, n := range sent {
		assert.Assert(t, n <= 2*calls/len(sent), "endpoint %d got %d of %v", i, n, sent)
		if i%2 == 0 {
			local += n
		} else {
			remote += n
		}
	}
	assert.Assert(t, local > remote && remote > 0, "local %d, remote %d", local, remote)
}

func TestChooseKeepsAPrefixUntilItsEndpointIsLoaded(t *testing.T) {
	states := endpoints(8)
	request := modelRequest()
	request.Prefix = 77
	table := newTestTable(states)
	first, _ := Choose(table, request, 1, epoch)
	again, _ := Choose(table, request, 2, epoch)
	assert.Equal(t, first, again)
	states[first].Running = 8
	moved, ok := Choose(newTestTable(states), request, 3, epoch)
	assert.Assert(t, ok && moved != first)
	other := slices.IndexFunc(states, func(e EndpointState) bool {
		return e.Location.Region == "dar" && e.ID != states[first].ID && e.ID != states[moved].ID
	})
	states[other].Prefixes = []uint64{77}
	cached, _ := Choose(newTestTable(states), request, 4, epoch)
	assert.Equal(t, cached, other)
}

func TestCreditsLastUntilTheNextReport(t *testing.T) {
	states := endpoints(1)
	states[0].Credits[core.RankNormal] = 1
	table := newTestTable(states)
	assert.Assert(t, table.Reserve(0, core.RankNormal))
	assert.Assert(t, !table.Reserve(0, core.RankNormal))
	same := NewTable(table.config, states, table)
	assert.Assert(t, !same.Reserve(0, core.RankNormal))
	states[0].ReportedAt = epoch.Add(time.Second)
	next := NewTable(table.config, states, same)
	assert.Assert(t, next.Reserve(0, core.RankNormal))
	next.Release(0, core.RankNormal)
	assert.Assert(t, next.Reserve(0, core.RankNormal))
}

func BenchmarkChoose(b *testing.B) {
	for _, prefix := range []uint64{0, 77} {
		b.Run(fmt.Sprintf("prefix=%d", prefix), func(b *testing.B) {
			table := newTestTable(endpoints(64))
			request := modelRequest()
			request.Prefix = prefix
			rnd := rand.New(rand.NewPCG(1, 1))
			b.ReportAllocs()
			for b.Loop() {
				Choose(table, request, rnd.Uint64(), epoch)
			}
		})
	}
}

func BenchmarkQueue(b *testing.B) {
	config := simulationConfig()
	config.MaxWaiting = 0
	config.Policies[core.RankNormal].Patience = 0
	q := NewQueue(config)
	const waiting, organisations = 10_000, 100
	offer := func(id uint64) {
		c := Call{ID: id, Rank: core.RankNormal, ExpectedTokens: callTokens}
		c.Organisation = core.OrganisationID(fmt.Sprint(id % organisations))
		if _, err := q.Offer(epoch, c); err != nil {
			b.Fatal(err)
		}
	}
	for id := range uint64(waiting) {
		offer(id)
	}
	id := uint64(waiting)
	b.ReportAllocs()
	for b.Loop() {
		offer(id)
		id++
		c, _ := q.Next(epoch)
		q.RecordTokens(c.ID, callTokens)
		q.Done(epoch, c.ID)
	}
}
