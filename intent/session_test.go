package intent_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/snipestep/snipestep/fleet"
	"github.com/snipestep/snipestep/intent"
)

// sessionLog carries out orders round by round and writes them down.
type sessionLog struct {
	strings.Builder
	fleet *fleetModel
	doc   *fleet.Document
}

func (s *sessionLog) rounds(count int) {
	for range count {
		orders := intent.Reconcile(s.doc, s.fleet.view(), intent.ReconcileConfig{})
		for _, o := range orders {
			s.fleet.take(o)
		}
		s.line(fmt.Sprintf("%s, %d available", describeOrders(orders), s.available()))
		for _, id := range s.fleet.ids() {
			s.fleet.step(id)
		}
	}
}

func (s *sessionLog) available() int {
	n := 0
	for _, a := range s.fleet.agents {
		if a.Available() {
			n++
		}
	}
	return n
}

func (s *sessionLog) event(text string) {
	s.line("# " + text)
}

func (s *sessionLog) line(text string) {
	s.WriteString(text + "\n")
}

func describeOrders(orders []intent.Order) string {
	if len(orders) == 0 {
		return "nothing"
	}
	var parts []string
	for _, o := range orders {
		parts = append(parts, strings.TrimSpace(fmt.Sprintf("%s %s %s", o.Kind, o.Instance, o.Model.Version)))
	}
	return strings.Join(parts, ", ")
}

func TestPushSession(t *testing.T) {
	f, doc := settledFleet(t, 9)
	s := &sessionLog{fleet: f, doc: doc}
	s.event("push v2")
	doc.Placements[0].Model = ref("m", "v2")
	s.rounds(4)
	s.event("v3 in mid-push")
	doc.Placements[0].Model = ref("m", "v3")
	s.rounds(4)
	s.event("an endpoint that swapped and one that did not are replaced")
	f.replace("i-0000")
	f.replace("i-0008")
	s.rounds(3)
	s.event("drain two endpoints in mid-push")
	doc.Stops = []fleet.Stop{{Instances: f.ids()[:2], Drain: true}}
	s.rounds(2)
	s.event("resume")
	doc.Stops = nil
	s.rounds(4)
	assert.Equal(t, len(intent.Reconcile(doc, f.view(), intent.ReconcileConfig{})), 0)
	golden.Assert(t, s.String(), "push.golden")
}

func BenchmarkMakePlan(b *testing.B) {
	f := newFleetModel(1300)
	doc := &fleet.Document{Placements: []fleet.Placement{{Model: ref("m", "v1")}}}
	f.settle(doc)
	view := f.view()
	for b.Loop() {
		if _, err := intent.MakePlan(doc, view, placeV2(), start, "p"); err != nil {
			b.Fatal(err)
		}
	}
}
