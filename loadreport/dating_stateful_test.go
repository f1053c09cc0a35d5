package loadreport_test

import (
	"fmt"
	"log/slog"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/loadreport"
)

const (
	datedModel   = "m"
	datedVersion = 2
	// datingTolerance is the rounding of reported ages and delays.
	datingTolerance = 2 * time.Millisecond
	// initialVersionAge is longer than any run of the model, so that the guess of a
	// process that starts is never too young.
	initialVersionAge = time.Hour
	// datingSteps is the number of steps of a run.
	datingSteps = 100
)

// datingModel drives processes that read a store and report the ages of a version to each
// other, and checks the bounds of its declaration. The store is never away.
type datingModel struct {
	now        time.Time
	declaredAt time.Time // Zero until the version is declared.
	processes  []*datingProcess
	datagrams  []datedDatagram // Under way.
}

// datingProcess is a process with a clock of its own.
type datingProcess struct {
	addr        netip.AddrPort
	clockOffset time.Duration
	directory   *directory.Directory
	clocks      *loadreport.ClockExchange
	// answeredAt is the process's time of the call with the last answer, zero before.
	answeredAt time.Time
	hasRead    bool
}

// datedDatagram is a datagram with its receiver.
type datedDatagram struct {
	data     []byte
	from, to *datingProcess
}

func (m *datingModel) start(p *datingProcess, clockOffset time.Duration) {
	*p = datingProcess{addr: p.addr, clockOffset: clockOffset, directory: directory.New(slog.New(slog.DiscardHandler))}
	p.clocks = loadreport.NewClockExchange(m.localTime(p))
}

func (m *datingModel) localTime(p *datingProcess) time.Time {
	return m.now.Add(p.clockOffset)
}

func drawDuration(t *rapid.T, longest time.Duration, label string) time.Duration {
	return time.Duration(rapid.Int64Range(0, longest.Microseconds()).Draw(t, label)) * time.Microsecond
}

func (m *datingModel) drawProcess(t *rapid.T) *datingProcess {
	return m.processes[rapid.IntRange(0, len(m.processes)-1).Draw(t, "process")]
}

// read reads the store. The answer is composed between the call and its arrival.
func (m *datingModel) read(t *rapid.T) {
	p := m.drawProcess(t)
	calledAt := m.localTime(p)
	m.now = m.now.Add(drawDuration(t, 300*time.Millisecond, "until composed"))
	names := !m.declaredAt.IsZero()
	m.now = m.now.Add(drawDuration(t, 300*time.Millisecond, "until read"))
	if names && !p.hasRead {
		p.hasRead = true
		if p.answeredAt.IsZero() {
			p.directory.SetInitialVersion(m.localTime(p), datedModel, datedVersion, initialVersionAge)
		} else {
			p.directory.SetDeclaration(datedModel, directory.Declaration{Version: datedVersion, NotBefore: p.answeredAt, NotAfter: m.localTime(p)})
		}
	}
	p.answeredAt = calledAt
	p.directory.SetStoreContact(calledAt, time.Time{})
}

func (m *datingModel) declare(*rapid.T) {
	if !m.declaredAt.IsZero() {
		return
	}
	m.declaredAt = m.now
}

func (m *datingModel) send(t *rapid.T) {
	from, to := m.drawProcess(t), m.drawProcess(t)
	now := m.localTime(from)
	ages := loadreport.VersionAgesAt(now, from.directory.View().DeclaredVersion(datedModel), testBound)
	m.datagrams = append(m.datagrams, datedDatagram{data: ages.Encode(datedModel, from.clocks.Stamp(now, to.addr)), from: from, to: to})
}

// deliver delivers a datagram, which may have waited for long and may come again.
func (m *datingModel) deliver(t *rapid.T) {
	if len(m.datagrams) == 0 {
		return
	}
	d := m.datagrams[rapid.IntRange(0, len(m.datagrams)-1).Draw(t, "datagram")]
	decoded, err := loadreport.DecodeVersionAges(d.data)
	assert.NilError(t, err)
	ages, ok := decoded.Ages(datedModel)
	assert.Assert(t, ok)
	now := m.localTime(d.to)
	sentNotBefore, _ := d.to.clocks.Receive(now, d.from.addr, decoded.Stamp)
	ages.MergeInto(d.to.directory, now, sentNotBefore, datedModel)
}

func (m *datingModel) wait(t *rapid.T) {
	m.now = m.now.Add(drawDuration(t, 3*time.Second, "wait"))
}

// restart restarts a process; datagrams to and from its former run are still under way.
func (m *datingModel) restart(t *rapid.T) {
	m.start(m.drawProcess(t), drawDuration(t, time.Hour, "clock"))
}

// check asserts that the version counts from no later than its declaration, and that
// nobody is taken to have read it before.
func (m *datingModel) check(t *rapid.T) {
	for _, p := range m.processes {
		declared := p.directory.View().DeclaredVersion(datedModel)
		if declared.Version != datedVersion {
			continue
		}
		local := m.declaredAt.Add(p.clockOffset)
		assert.Assert(t, !declared.NotAfter.Before(local.Add(-datingTolerance)), "read %v before the declaration", local.Sub(declared.NotAfter))
		if !p.answeredAt.IsZero() || !declared.NotBefore.IsZero() {
			assert.Assert(t, !declared.CountsFrom().After(local.Add(datingTolerance)), "counts from %v after the declaration", declared.CountsFrom().Sub(local))
		}
	}
}

// Guards against a version that looks younger than it is, whatever processes miss, are
// paused, restart, or hear late, twice or in another order.
func TestVersionNeverCountsFromAfterItsDeclaration(t *testing.T) {
	type step = func(*datingModel, *rapid.T)
	steps := slices.Concat(
		slices.Repeat([]step{(*datingModel).read, (*datingModel).send, (*datingModel).deliver}, 5),
		[]step{(*datingModel).declare, (*datingModel).wait, (*datingModel).wait, (*datingModel).restart},
	)
	rapid.Check(t, func(t *rapid.T) {
		m := &datingModel{now: testNow}
		for i := range rapid.IntRange(2, 3).Draw(t, "processes") {
			p := &datingProcess{addr: netip.MustParseAddrPort(fmt.Sprintf("127.0.0.%d:1", i+1))}
			m.start(p, drawDuration(t, time.Hour, "clock"))
			m.processes = append(m.processes, p)
		}
		for range datingSteps {
			rapid.SampledFrom(steps).Draw(t, "step")(m, t)
			m.check(t)
		}
	})
}
