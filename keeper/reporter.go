package keeper

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/loadreport"
)

// stateTimeout bounds one question to the engine on the own instance.
const stateTimeout = 400 * time.Millisecond

// subscribers holds the entries that asked for reports. It is safe for
// concurrent use.
type subscribers struct {
	mu   sync.Mutex
	asks map[netip.AddrPort]subscriber
}

// subscriber is what an entry asked last.
type subscriber struct {
	at  time.Time
	ask loadreport.Ask
}

// echo is the answer to the last ask.
func (s subscriber) echo(now time.Time) loadreport.Echo {
	return loadreport.Echo{Known: true, Stamp: s.ask.Stamp, Kept: now.Sub(s.at)}
}

func (s *subscribers) add(now time.Time, from netip.AddrPort, ask loadreport.Ask) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asks[from] = subscriber{at: now, ask: ask}
}

// demand returns what waits at all entries.
func (s *subscribers) demand(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for _, ask := range s.asks {
		if now.Sub(ask.at) <= loadreport.DemandLife {
			total += ask.ask.Demand
		}
	}
	return total
}

// live returns the entries whose ask still counts.
func (s *subscribers) live(now time.Time) map[netip.AddrPort]subscriber {
	s.mu.Lock()
	defer s.mu.Unlock()
	live := make(map[netip.AddrPort]subscriber, len(s.asks))
	for at, ask := range s.asks {
		if now.Sub(ask.at) > loadreport.AskLife {
			delete(s.asks, at)
			continue
		}
		live[at] = ask
	}
	return live
}

// report asks the engine for its load and sends it to the entries until ctx
// ends.
func (k *Keeper) report(ctx context.Context) {
	conn, err := loadreport.Listen(ctx, k.config.DatagramAddr)
	if err != nil {
		k.deps.Logger.Error("listening for entries failed", "error", err)
		return
	}
	entries := &subscribers{asks: make(map[netip.AddrPort]subscriber)}
	go k.readAsks(ctx, conn, entries)
	ticker := time.NewTicker(loadreport.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			k.refreshState(ctx)
			k.sendReports(ctx, conn, entries)
		}
	}
}

func (k *Keeper) readAsks(ctx context.Context, conn *net.UDPConn, entries *subscribers) {
	buffer := make([]byte, loadreport.MaxBytes)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			k.deps.Logger.Warn("reading an ask for load reports failed", "error", err)
			continue
		}
		if loadreport.IsBrief(buffer[:n]) {
			k.takeBrief(buffer[:n])
			continue
		}
		ask, err := loadreport.DecodeAsk(buffer[:n])
		if err != nil {
			k.deps.Logger.Warn("ask for load reports not usable", "from", from, "error", err)
			continue
		}
		entries.add(time.Now(), from, ask)
	}
}

// refreshState asks the engine for its state. An engine that does not answer
// counts as holding nothing.
func (k *Keeper) refreshState(ctx context.Context) {
	service := k.service(k.deps.Directory.View())
	if service == nil {
		return
	}
	limited, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	state, err := k.deps.Engine.State(limited, service.Engine.Layers)
	old := k.state.Load()
	if err != nil {
		if ctx.Err() == nil && old != nil {
			k.deps.Logger.Warn("engine does not answer", "error", err)
			k.state.Store(nil)
		}
		return
	}
	if old == nil || old.Held != state.Held || old.Born != state.Born {
		k.deps.Logger.Info("engine state", "held", state.Held, "busy", state.Busy, "born", state.Born)
	}
	k.state.Store(&state)
}

func (k *Keeper) sendReports(ctx context.Context, conn *net.UDPConn, entries *subscribers) {
	now := time.Now()
	to := entries.live(now)
	report := loadreport.Report{Closed: true, Entries: len(to), Demand: entries.demand(now)}
	report.Unbriefed = k.deps.Directory.View().Document == nil
	if state := k.state.Load(); state != nil {
		report.Running = state.Running
		report.Waiting = state.Waiting
		report.Pace = state.Pace
		report.Held = state.Held
		report.Closed = k.closing.Load() || state.Busy
	}
	k.addDeclared(now, &report)
	same := report
	same.Age = k.reported.Age // It grows all the time.
	if (same.ClosesIn < 0) == (k.reported.ClosesIn < 0) {
		same.ClosesIn = k.reported.ClosesIn // It shrinks all the time.
	}
	if same == k.reported && now.Sub(k.reportedAt) < loadreport.Repeat {
		return
	}
	k.reported = report
	k.reportedAt = now
	for at, entry := range to {
		report.Echo = entry.echo(now)
		if _, err := conn.WriteToUDPAddrPort(report.Encode(), at); err != nil && ctx.Err() == nil {
			k.deps.Logger.Warn("sending a load report failed", "entry", at, "error", err)
		}
	}
}

// addDeclared tells which version is declared and for how long, for entries
// that have just started.
func (k *Keeper) addDeclared(now time.Time, report *loadreport.Report) {
	report.Age = loadreport.Unknown
	view := k.deps.Directory.View()
	service := k.service(view)
	if service == nil {
		return
	}
	declared := view.VersionOf(service.Model)
	report.Declared = declared.Version
	if !declared.Guessed && !declared.Since.IsZero() {
		report.Age = now.Sub(declared.Since)
	}
	report.ClosesIn = k.closesIn(now, view, declared)
}

// closeNotice is how long before its turn an engine says when it will close:
// longer than nine in ten streams last.
const closeNotice = 2500 * time.Millisecond

// closesIn returns the time to the engine's turn to change its version, or
// loadreport.Unknown if that is far off.
func (k *Keeper) closesIn(now time.Time, view *directory.View, declared directory.Declared) time.Duration {
	state := k.state.Load()
	if state == nil || state.Held == 0 {
		return loadreport.Unknown
	}
	at, _, ok := k.turn(view, declared, state)
	if !ok || at.Sub(now) > closeNotice {
		return loadreport.Unknown
	}
	return max(at.Sub(now), 0)
}
