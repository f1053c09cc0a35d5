package entry

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
	"github.com/snipestep/snipestep/routing"
	"github.com/snipestep/snipestep/wire"
)

const (
	instanceListInterval   = time.Second
	membershipTickInterval = 250 * time.Millisecond
	// tablePublishInterval is how long load reports are batched into one table.
	tablePublishInterval = 10 * time.Millisecond
	datagramBuffer       = 4096
	baselineCredits      = 1 << 20 // core.PolicyBaseline sends calls without a credit limit.
	// minEntriesPerAgent is the least average number of entries with sessions to
	// an agent.
	minEntriesPerAgent = 4
)

// routes maintains the membership, the routing table of endpoints and this
// entry's subset of agents. The goroutine of run writes them; the request path
// reads the published table and view.
type routes struct {
	cfg           Config
	listInstances func(ctx context.Context) ([]core.Instance, error)
	now           func() time.Time
	pool          *sessionPool
	table         atomic.Pointer[routing.Table]
	membership    *fleet.Membership
	datagrams     chan *wire.Datagram
	instanceLists chan []core.Instance
	// tableChanged signals a new table; capacity 1.
	tableChanged chan struct{}
	// onDatagram handles the generations and strikes in datagrams; may be nil.
	onDatagram func(d *wire.Datagram)

	rejectedDatagrams atomic.Int64                    // Stale or refused datagrams.
	subset            atomic.Pointer[[]core.Instance] // Agents with sessions.

	// The fields below are owned by run.
	endpointStates map[core.InstanceID]routing.EndpointState
	// reportsPending is set if reports arrived since the last table.
	reportsPending bool
	// lastEntries and lastAgents are those from which the subset was chosen.
	lastEntries, lastAgents []core.Instance
}

func newRoutes(cfg Config, deps Deps, pool *sessionPool) *routes {
	r := &routes{
		cfg:            cfg,
		listInstances:  deps.InstanceList.Instances,
		now:            deps.Now,
		pool:           pool,
		membership:     fleet.NewMembership(fleet.DefaultTiming),
		datagrams:      make(chan *wire.Datagram, datagramBuffer),
		instanceLists:  make(chan []core.Instance, 1),
		tableChanged:   make(chan struct{}, 1),
		endpointStates: make(map[core.InstanceID]routing.EndpointState),
	}
	r.subset.Store(&[]core.Instance{})
	r.table.Store(routing.NewTable(r.tableConfig(), nil, nil))
	return r
}

// receive queues a datagram; the transport's event loop calls it. When run lags
// behind, receive drops the datagram; the agent's next report replaces it.
func (r *routes) receive(d *wire.Datagram) {
	select {
	case r.datagrams <- d:
	default:
	}
}

// run handles instance lists, datagrams and timers until ctx ends.
func (r *routes) run(ctx context.Context) {
	go r.pollInstanceList(ctx)
	tick := time.NewTicker(membershipTickInterval)
	defer tick.Stop()
	batch := time.NewTimer(tablePublishInterval)
	defer batch.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case instances := <-r.instanceLists:
			r.membership.ApplyInstanceList(instances, r.now())
			r.updateSubset()
			r.publishTable()
		case d := <-r.datagrams:
			r.handleDatagram(d)
			if !r.reportsPending {
				r.reportsPending = true
				batch.Reset(tablePublishInterval)
			}
		case <-batch.C:
			r.publishTable()
		case <-tick.C:
			r.membership.Tick(r.now())
			r.dropDeadSessions()
			r.publishTable()
		}
	}
}

func (r *routes) pollInstanceList(ctx context.Context) {
	tick := time.NewTicker(instanceListInterval)
	defer tick.Stop()
	for {
		instances, err := r.listInstances(ctx)
		if err == nil {
			select {
			case r.instanceLists <- instances:
			case <-ctx.Done():
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// handleDatagram applies one datagram from an agent.
func (r *routes) handleDatagram(datagram *wire.Datagram) {
	result := r.membership.HandleHeartbeat(heartbeatOf(datagram), r.now())
	if result == fleet.HeartbeatStale || result == fleet.HeartbeatRefused {
		r.rejectedDatagrams.Add(1)
		return
	}
	if r.onDatagram != nil {
		r.onDatagram(datagram)
	}
	member, ok := r.membership.View().Find(core.InstanceID(datagram.GetInstance()))
	if !ok || datagram.GetLoad() == nil {
		return
	}
	r.endpointStates[member.Instance.ID] = r.newEndpointState(member, datagram)
}

func heartbeatOf(datagram *wire.Datagram) fleet.Heartbeat {
	return fleet.Heartbeat{
		Instance:    core.InstanceID(datagram.GetInstance()),
		Incarnation: datagram.GetIncarnation(),
		Sequence:    datagram.GetSequence(),
		Generation:  core.Generation(datagram.GetGeneration()),
		Leaving:     datagram.GetLeaving(),
		SessionAddr: datagram.GetSessionAddr(),
	}
}

func (r *routes) newEndpointState(member fleet.Member, datagram *wire.Datagram) routing.EndpointState {
	load := datagram.GetLoad()
	state := routing.EndpointState{
		ID:              member.Instance.ID,
		Location:        member.Instance.Location,
		Service:         member.Instance.Service,
		Model:           wire.ModelRefFromProto(load.GetServing()),
		Slots:           int(load.GetSlots()),
		MeanServiceTime: time.Duration(load.GetMeanServiceMs()) * time.Millisecond,
		Draining:        load.GetDraining(),
		Leaving:         datagram.GetLeaving(),
		Prefixes:        load.GetCachedPrefixes(),
		ReportedAt:      r.now(),
	}
	for rank := range core.RankCount {
		state.Running += int(valueAt(load.GetRunning(), rank))
		state.Queued[rank] = int(valueAt(load.GetQueued(), rank))
		state.Credits[rank] = int(valueAt(load.GetCredits(), rank))
		if r.cfg.Policy == core.PolicyBaseline {
			state.Credits[rank] = baselineCredits
		}
	}
	return state
}

func valueAt(values []uint32, i int) uint32 {
	if i >= len(values) {
		return 0
	}
	return values[i]
}

// updateSubset chooses this entry's agents and connects to new ones.
func (r *routes) updateSubset() {
	view := r.membership.View()
	entries := view.Usable(core.RoleEntry)
	agents := view.Usable(core.RoleModel, core.RolePlain)
	if !slices.Equal(entries, r.lastEntries) || !slices.Equal(agents, r.lastAgents) {
		r.lastEntries, r.lastAgents = entries, agents
		r.selectSubset(entries, agents)
	}
	r.updateSessions()
}

// selectSubset computes the subset, which takes milliseconds in a large fleet.
// Models and each plain service are chosen separately, so that a service with
// few replicas is not crowded out.
func (r *routes) selectSubset(entries, agents []core.Instance) {
	chosen := make([]core.Instance, 0, r.cfg.SubsetSize)
	for _, group := range groupByService(agents) {
		size := subsetSize(r.cfg.SubsetSize, len(entries), len(group))
		chosen = append(chosen, fleet.Subset(r.cfg.Instance, entries, group, size)...)
	}
	r.subset.Store(&chosen)
}

// updateSessions opens missing sessions to agents of the subset and closes idle
// sessions to others.
func (r *routes) updateSessions() {
	chosen := *r.subset.Load()
	pinned := make(map[core.InstanceID]bool, len(chosen))
	for _, agent := range chosen {
		pinned[agent.ID] = true
		if r.pool.lookup(agent.ID) == nil {
			go r.connect(agent)
		}
	}
	r.pool.closeIdle(pinned)
}

// groupByService groups agents by their plain service; models form one group.
func groupByService(agents []core.Instance) map[string][]core.Instance {
	groups := make(map[string][]core.Instance)
	for _, a := range agents {
		groups[a.Service] = append(groups[a.Service], a)
	}
	return groups
}

// subsetSize returns the number of agents that an entry connects to: the
// configured number, or more if minEntriesPerAgent requires it.
func subsetSize(configured, entries, agents int) int {
	entries = max(1, entries)
	required := (minEntriesPerAgent*agents + entries - 1) / entries
	return max(configured, required)
}

func (r *routes) connect(agent core.Instance) {
	_, _ = r.pool.get(context.Background(), agent)
}

// publishTable publishes a new table of the agents that may get calls.
func (r *routes) publishTable() {
	r.reportsPending = false
	view := r.membership.View()
	states := make([]routing.EndpointState, 0, len(r.endpointStates))
	for id, state := range r.endpointStates {
		member, ok := view.Find(id)
		if !ok {
			delete(r.endpointStates, id)
			continue
		}
		if r.isCallable(member) {
			state.Leaving = state.Leaving || member.Leaving
			states = append(states, state)
		}
	}
	r.table.Store(routing.NewTable(r.tableConfig(), states, r.table.Load()))
	select {
	case r.tableChanged <- struct{}{}:
	default:
	}
}

// dropDeadSessions closes the sessions to instances that stopped sending
// heartbeats, so that calls there end without waiting for the connection's
// timeout.
func (r *routes) dropDeadSessions() {
	for _, m := range r.membership.View().Instances {
		if m.State == fleet.MemberDead {
			r.pool.closeSession(m.Instance.ID)
		}
	}
}

func (r *routes) isCallable(m fleet.Member) bool {
	return m.Listed && m.State == fleet.MemberAlive && r.pool.lookup(m.Instance.ID) != nil
}

func (r *routes) tableConfig() routing.TableConfig {
	entries := 1
	if r.membership != nil {
		entries = max(1, len(r.membership.View().Usable(core.RoleEntry)))
	}
	return routing.TableConfig{Region: r.cfg.Instance.Location.Region, Entries: entries}
}

// liveEntries returns the live entries, including this one.
func (r *routes) liveEntries() []core.Instance {
	return r.membership.View().Usable(core.RoleEntry)
}
