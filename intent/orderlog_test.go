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

func (l *orderLog) runRounds(count int) {
	for range count {
		orders := intent.Reconcile(l.doc, l.fleet.view(), intent.ReconcileConfig{})
		for _, o := range orders {
			l.fleet.accept(o)
		}
		l.writeLine(fmt.Sprintf("%s, %d available", describeOrders(orders), l.available()))
		for _, id := range l.fleet.ids() {
			l.fleet.advance(id)
		}
	}
}

func (l *orderLog) available() int {
	n := 0
	for _, a := range l.fleet.agents {
		if a.Available() {
			n++
		}
	}
	return n
}

func (l *orderLog) writeEvent(text string) {
	l.writeLine("# " + text)
}

func (l *orderLog) writeLine(text string) {
	l.WriteString(text + "\n")
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
	log := &orderLog{fleet: f, doc: doc}
	log.writeEvent("push v2")
	doc.Placements[0].Model = modelRef("m", "v2")
	log.runRounds(4)
	log.writeEvent("v3 in mid-push")
	doc.Placements[0].Model = modelRef("m", "v3")
	log.runRounds(4)
	log.writeEvent("an endpoint that swapped and one that did not are replaced")
	f.replace("i-0000")
	f.replace("i-0008")
	log.runRounds(3)
	log.writeEvent("drain two endpoints in mid-push")
	doc.Stops = []fleet.Stop{{Instances: f.ids()[:2], Drain: true}}
	log.runRounds(2)
	log.writeEvent("resume")
	doc.Stops = nil
	log.runRounds(4)
	assert.Equal(t, len(intent.Reconcile(doc, f.view(), intent.ReconcileConfig{})), 0)
	golden.Assert(t, log.String(), "push.golden")
}

func BenchmarkMakePlan(b *testing.B) {
	f := newFakeFleet(1300)
	doc := &fleet.Document{Placements: []fleet.Placement{{Model: modelRef("m", "v1")}}}
	f.converge(doc)
	view := f.view()
	for b.Loop() {
		if _, err := intent.MakePlan(doc, view, placeV2Intent(), start, "p"); err != nil {
			b.Fatal(err)
		}
	}
}
