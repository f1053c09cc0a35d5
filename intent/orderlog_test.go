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

// orderLog carries out orders in rounds and records them.
type orderLog struct {
	strings.Builder
	fleet *fakeFleet
	doc   *fleet.Document
}

func (s *orderLog) runRounds(count int) {
	for range count {
		orders := intent.Reconcile(s.doc, s.fleet.view(), intent.ReconcileConfig{})
		for _, o := range orders {
			s.fleet.accept(o)
		}
		s.writeLine(fmt.Sprintf("%s, %d available", describeOrders(orders), s.available()))
		for _, id := range s.fleet.ids() {
			s.fleet.advance(id)
		}
	}
}

func (s *orderLog) available() int {
	n := 0
	for _, a := range s.fleet.agents {
		if a.Available() {
			n++
		}
	}
	return n
}

func (s *orderLog) writeEvent(text string) {
	s.writeLine("# " + text)
}

func (s *orderLog) writeLine(text string) {
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

func TestPushOrders(t *testing.T) {
	f, doc := convergedFleet(t, 9)
	s := &orderLog{fleet: f, doc: doc}
	s.writeEvent("push v2")
	doc.Placements[0].Model = ref("m", "v2")
	s.runRounds(4)
	s.writeEvent("v3 in mid-push")
	doc.Placements[0].Model = ref("m", "v3")
	s.runRounds(4)
	s.writeEvent("an endpoint that swapped and one that did not are replaced")
	f.replace("i-0000")
	f.replace("i-0008")
	s.runRounds(3)
	s.writeEvent("drain two endpoints in mid-push")
	doc.Stops = []fleet.Stop{{Instances: f.ids()[:2], Drain: true}}
	s.runRounds(2)
	s.writeEvent("resume")
	doc.Stops = nil
	s.runRounds(4)
	assert.Equal(t, len(intent.Reconcile(doc, f.view(), intent.ReconcileConfig{})), 0)
	golden.Assert(t, s.String(), "push.golden")
}

func BenchmarkMakePlan(b *testing.B) {
	f := newFakeFleet(1300)
	doc := &fleet.Document{Placements: []fleet.Placement{{Model: ref("m", "v1")}}}
	f.converge(doc)
	view := f.view()
	for b.Loop() {
		if _, err := intent.MakePlan(doc, view, placeV2Intent(), start, "p"); err != nil {
			b.Fatal(err)
		}
	}
}
