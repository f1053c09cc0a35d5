package sidecar

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/loadreport"
)

// stateTimeout bounds one state request to the local engine.
const stateTimeout = 400 * time.Millisecond

// subscribers holds the entries that subscribed to load reports. It is safe for
// concurrent use.
type subscribers struct {
	mu     sync.Mutex
	byAddr map[netip.AddrPort]subscriber
}

// subscriber holds the last subscription of an entry.
type subscriber struct {
	receivedAt   time.Time
	subscription loadreport.Subscription
	// versionAgesSentAt is when VersionAges were last sent, by Deps.Now; zero if they
	// are due at once.
	versionAgesSentAt time.Time
}

// demandTTL returns how long the demand of the last subscription is valid.
func (s subscriber) demandTTL() time.Duration {
	if s.subscription.SameRegion {
		return loadreport.DemandTTL
	}
	return loadreport.RemoteDemandTTL
}

// echo returns the echo of the last subscription.
func (s subscriber) echo(now time.Time) loadreport.Echo {
	return loadreport.Echo{Known: true, Timestamp: s.subscription.Timestamp, AgentDelay: now.Sub(s.receivedAt)}
}

// add records a subscription. It reports whether the entry is new or has restarted: the
// timestamps of an entry count from its start. That they also wrap, about once a minute,
// only makes an entry look restarted.
func (s *subscribers) add(now time.Time, from netip.AddrPort, subscription loadreport.Subscription) (started bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous, known := s.byAddr[from]
	started = !known || subscription.Timestamp < previous.subscription.Timestamp
	s.byAddr[from] = subscriber{receivedAt: now, subscription: subscription, versionAgesSentAt: previous.versionAgesSentAt}
	return started
}

// takeVersionAgesDue returns the entries to which VersionAges are due, and counts them
// as sent: those that are new, and those whose last ones are interval ago.
func (s *subscribers) takeVersionAgesDue(now time.Time, interval time.Duration) []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	var due []netip.AddrPort
	for addr, sub := range s.byAddr {
		if sub.versionAgesSentAt.IsZero() || now.Sub(sub.versionAgesSentAt) >= interval {
			sub.versionAgesSentAt = now
			s.byAddr[addr] = sub
			due = append(due, addr)
		}
	}
	return due
}

// requestVersionAges makes VersionAges due to an entry that has subscribed.
func (s *subscribers) requestVersionAges(entry netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sub, known := s.byAddr[entry]; known {
		sub.versionAgesSentAt = time.Time{}
		s.byAddr[entry] = sub
	}
}

// totalDemand returns the weighted demand of the requests that are queued at all
// entries.
func (s *subscribers) totalDemand(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for _, sub := range s.byAddr {
		if now.Sub(sub.receivedAt) <= sub.demandTTL() {
			total += sub.subscription.Demand
		}
	}
	return total
}

// active returns the entries whose subscription has not expired, and removes the
// others.
func (s *subscribers) active(now time.Time) map[netip.AddrPort]subscriber {
	s.mu.Lock()
	defer s.mu.Unlock()
	active := make(map[netip.AddrPort]subscriber, len(s.byAddr))
	for addr, sub := range s.byAddr {
		if now.Sub(sub.receivedAt) > loadreport.SubscriptionTTL {
			delete(s.byAddr, addr)
			continue
		}
		active[addr] = sub
	}
	return active
}

// runReporter polls the engine's state and reports its load to the entries until ctx
// ends.
func (r *Reconciler) runReporter(ctx context.Context) {
	conn, err := loadreport.Listen(ctx, r.config.DatagramAddr)
	if err != nil {
		r.deps.Logger.Error("listening for the datagrams of entries failed", "error", err)
		return
	}
	entries := &subscribers{byAddr: make(map[netip.AddrPort]subscriber)}
	go r.receiveDatagrams(ctx, conn, entries)
	ticker := time.NewTicker(loadreport.PollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.refreshEngineState(ctx)
			r.sendVersionAges(ctx, conn, entries)
			r.sendReports(ctx, conn, entries)
		}
	}
}

// receiveDatagrams handles the subscriptions and agent configurations of entries until
// ctx ends.
func (r *Reconciler) receiveDatagrams(ctx context.Context, conn *net.UDPConn, entries *subscribers) {
	relay := newStrikeRelay(entries)
	rateLimits := newRateLimitRelay(time.Now(), entries)
	buffer := make([]byte, loadreport.MaxDatagramBytes)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			r.deps.Logger.Warn("receiving a datagram failed", "error", err)
			continue
		}
		if loadreport.IsAgentConfig(buffer[:n]) {
			r.applyAgentConfig(buffer[:n])
			continue
		}
		if loadreport.IsEngineList(buffer[:n]) {
			r.applyEngineListPart(buffer[:n])
			continue
		}
		if loadreport.IsVersionAges(buffer[:n]) {
			r.applyVersionAges(r.deps.Now(), from, buffer[:n], entries)
			continue
		}
		if loadreport.IsStrikes(buffer[:n]) {
			r.relayStrikes(ctx, conn, relay, from, buffer[:n])
			continue
		}
		if loadreport.IsRateLimits(buffer[:n]) {
			r.relayRateLimits(ctx, conn, rateLimits, from, buffer[:n])
			continue
		}
		subscription, err := loadreport.DecodeSubscription(buffer[:n])
		if err != nil {
			r.deps.Logger.Warn("malformed subscription to load reports", "from", from, "error", err)
			continue
		}
		if started := entries.add(time.Now(), from, subscription); started {
			r.sendStrikes(ctx, conn, from, relay.snapshot(r.config.FleetKey))
			if len(rateLimits.notices) > 0 {
				r.sendRateLimits(ctx, conn, rateLimits, from)
			}
		}
	}
}

// refreshEngineState polls the engine's state, and clears it if the engine does not
// answer.
func (r *Reconciler) refreshEngineState(ctx context.Context) {
	service := r.engineService(r.deps.Directory.View())
	if service == nil {
		return
	}
	timeoutCtx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	state, err := r.deps.Engine.State(timeoutCtx, service.Engine.Layers)
	old := r.engineState.Load()
	if err != nil {
		if ctx.Err() == nil && old != nil {
			r.deps.Logger.Warn("engine does not answer", "error", err)
			r.engineState.Store(nil)
		}
		return
	}
	if old == nil || old.LoadedVersion != state.LoadedVersion || old.StartUnixMS != state.StartUnixMS {
		r.deps.Logger.Info("engine state changed", "held", state.LoadedVersion, "busy", state.OrderInProgress, "born", state.StartUnixMS)
	}
	r.engineState.Store(&state)
	r.engineStart.answered(time.Now(), state.StartUnixMS, old == nil)
}

// sendReports sends a load report to the subscribed entries if the load has changed or
// RefreshInterval has passed.
func (r *Reconciler) sendReports(ctx context.Context, conn *net.UDPConn, entries *subscribers) {
	now := time.Now()
	recipients := entries.active(now)
	report := loadreport.Report{Closed: true, Entries: len(recipients), Demand: entries.totalDemand(now)}
	report.NeedsConfig = r.deps.Directory.View().Document == nil
	provider, provided := chooseProvider(r.config.Name, recipients)
	r.engines.setProvided(provided)
	report.EngineListDigest = r.engines.digest.Load()
	if state := r.engineState.Load(); state != nil {
		report.Running = state.Running
		report.Waiting = state.Waiting
		report.Slowdown = state.Slowdown
		report.LoadedVersion = state.LoadedVersion
		report.Closed = r.switching.Load() || state.OrderInProgress
	}
	r.addDeclaredVersion(r.deps.Now(), &report)
	report.Start = r.engineStart.age(now)
	report.Settled = r.engineStart.settled(now)
	// Reports are equal if they differ only in durations that change all the time.
	normalised := report
	if normalised.Start.Follows(r.lastReport.Start) {
		normalised.Start = r.lastReport.Start
	}
	if (normalised.ClosesIn < 0) == (r.lastReport.ClosesIn < 0) {
		normalised.ClosesIn = r.lastReport.ClosesIn
	}
	if normalised == r.lastReport && now.Sub(r.lastRefreshAt) < loadreport.RefreshInterval {
		return
	}
	isRefresh := now.Sub(r.lastRefreshAt) >= loadreport.RefreshInterval
	selected := r.pace.selectRecipients(now, recipients, isRefresh || tellsMoreThanLoad(normalised, r.lastReport))
	if len(selected) == len(recipients) {
		r.lastRefreshAt = now
	}
	r.lastReport = report
	for addr, entry := range selected {
		report.Echo = entry.echo(now)
		report.WantsEngines = provided && addr == provider && r.engines.ask(now)
		if _, err := conn.WriteToUDPAddrPort(report.Encode(), addr); err != nil && ctx.Err() == nil {
			r.deps.Logger.Warn("sending a load report failed", "entry", addr, "error", err)
		}
	}
}

// addDeclaredVersion adds the declared version to a report, for entries of builds that know
// no loadreport.VersionAges, and the time until the engine closes for it.
func (r *Reconciler) addDeclaredVersion(now time.Time, report *loadreport.Report) {
	view := r.deps.Directory.View()
	service := r.engineService(view)
	if service == nil {
		return
	}
	declared := view.DeclaredVersion(service.Model)
	report.DeclaredVersion = declared.Version
	report.ClosesIn = r.timeToSwitch(now, view, declared)
}

// switchNotice is how long before a version switch load reports announce it: nine in
// ten streams are shorter.
const switchNotice = 2500 * time.Millisecond

// timeToSwitch returns the time until the engine's scheduled version switch, or
// loadreport.UnknownDuration if there is none within switchNotice.
func (r *Reconciler) timeToSwitch(now time.Time, view *directory.View, declared directory.DeclaredVersion) time.Duration {
	state := r.engineState.Load()
	if state == nil || state.LoadedVersion == 0 {
		return loadreport.UnknownDuration
	}
	switchAt, _, ok := r.scheduledSwitch(now, view, declared, state)
	if !ok || switchAt.Sub(now) > switchNotice {
		return loadreport.UnknownDuration
	}
	return max(switchAt.Sub(now), 0)
}
