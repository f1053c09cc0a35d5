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
	listInterval = time.Second
	tickInterval = 250 * time.Millisecond
	// publishInterval gathers the load reports of one new table.
	publishInterval = 10 * time.Millisecond
	datagramBuffer  = 4096
	baselineCredit  = 1 << 20
	// minEntriesPerAgent is the number of entries that each agent has on
	// average at least.
	minEntriesPerAgent = 4
)

// routes owns the view of the fleet and the table of endpoints. One goroutine
// writes; the request path reads the published table and view.
type routes struct {
	cfg        Config
	list       func(ctx context.Context) ([]core.Instance, error)
	now        func() time.Time
	pool       *sessionPool
	table      atomic.Pointer[routing.Table]
	membership *fleet.Membership
	datagrams  chan *wire.Datagram
	listed     chan []core.Instance
	// changed signals a new table, holds at most one.
	changed chan struct{}
	// onAgent takes generations and strikes that agents show.
	onAgent func(d *wire.Datagram)

	old    atomic.Int64                    // Old or refused datagrams.
	subset atomic.Pointer[[]core.Instance] // Agents with sessions.

	// Owned by the loop.
	states map[core.InstanceID]routing.EndpointState
	// dirty says that reports came since the last table.
	dirty bool
	// lastEntries and lastAgents are what the subset was chosen from.
	lastEntries, lastAgents []core.Instance
}

func newRoutes(cfg Config, deps Deps, pool *sessionPool) *routes {
	r := &routes{
		cfg:        cfg,
		list:       deps.InstanceList.Instances,
		now:        deps.Now,
		pool:       pool,
		membership: fleet.NewMembership(fleet.DefaultTiming),
		datagrams:  make(chan *wire.Datagram, datagramBuffer),
		listed:     make(chan []core.Instance, 1),
		changed:    make(chan struct{}, 1),
		states:     make(map[core.InstanceID]routing.EndpointState),
	}
	r.subset.Store(&[]core.Instance{})
	r.table.Store(routing.NewTable(r.tableConfig(), nil, nil))
	return r
}

// receive takes a datagram on the event loop of the plane. It drops it when
// the loop is behind; the next report replaces it.
func (r *routes) receive(d *wire.Datagram) {
	select {
	case r.datagrams <- d:
	default:
	}
}

// run handles lists, datagrams and time until ctx ends.
func (r *routes) run(ctx context.Context) {
	go r.pollList(ctx)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	batch := time.NewTimer(publishInterval)
	defer batch.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case instances := <-r.listed:
			r.membership.ApplyInstanceList(instances, r.now())
			r.reselect()
			r.publish()
		case d := <-r.datagrams:
			r.heard(d)
			if !r.dirty {
				r.dirty = true
				batch.Reset(publishInterval)
			}
		case <-batch.C:
			r.publish()
		case <-tick.C:
			r.membership.Tick(r.now())
			r.dropDead()
			r.publish()
		}
	}
}

func (r *routes) pollList(ctx context.Context) {
	tick := time.NewTicker(listInterval)
	defer tick.Stop()
	for {
		instances, err := r.list(ctx)
		if err == nil {
			select {
			case r.listed <- instances:
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

// heard takes one datagram of an agent.
func (r *routes) heard(d *wire.Datagram) {
	result := r.membership.HandleHeartbeat(heartbeatOf(d), r.now())
	if result == fleet.HeartbeatStale || result == fleet.HeartbeatRefused {
		r.old.Add(1)
		return
	}
	if r.onAgent != nil {
		r.onAgent(d)
	}
	member, ok := r.membership.View().Find(core.InstanceID(d.GetInstance()))
	if !ok || d.GetLoad() == nil {
		return
	}
	r.states[member.Instance.ID] = r.stateOf(member, d)
}

func heartbeatOf(d *wire.Datagram) fleet.Heartbeat {
	return fleet.Heartbeat{
		Instance:    core.InstanceID(d.GetInstance()),
		Incarnation: d.GetIncarnation(),
		Sequence:    d.GetSequence(),
		Generation:  core.Generation(d.GetGeneration()),
		Leaving:     d.GetLeaving(),
		SessionAddr: d.GetSessionAddr(),
	}
}

func (r *routes) stateOf(member fleet.Member, d *wire.Datagram) routing.EndpointState {
	load := d.GetLoad()
	state := routing.EndpointState{
		ID:          member.Instance.ID,
		Location:    member.Instance.Location,
		Service:     member.Instance.Service,
		Model:       wire.ModelRefFromProto(load.GetServing()),
		Slots:       int(load.GetSlots()),
		MeanService: time.Duration(load.GetMeanServiceMs()) * time.Millisecond,
		Draining:    load.GetDraining(),
		Leaving:     d.GetLeaving(),
		Prefixes:    load.GetCachedPrefixes(),
		ReportedAt:  r.now(),
	}
	for rank := range core.RankCount {
		state.Running += int(at(load.GetRunning(), rank))
		state.Queued[rank] = int(at(load.GetQueued(), rank))
		state.Credits[rank] = int(at(load.GetCredits(), rank))
		if r.cfg.Policy == core.PolicyBaseline {
			state.Credits[rank] = baselineCredit
		}
	}
	return state
}

func at(values []uint32, i int) uint32 {
	if i >= len(values) {
		return 0
	}
	return values[i]
}

// reselect chooses the agents of this entry and connects to new ones. Models
// and each plain service are chosen apart, so that a service with few replicas
// is not crowded out.
func (r *routes) reselect() {
	view := r.membership.View()
	entries := view.Usable(core.RoleEntry)
	agents := view.Usable(core.RoleModel, core.RolePlain)
	if !slices.Equal(entries, r.lastEntries) || !slices.Equal(agents, r.lastAgents) {
		r.lastEntries, r.lastAgents = entries, agents
		r.choose(entries, agents)
	}
	r.connectAll()
}

// choose computes the subset, which takes milliseconds in a large fleet.
func (r *routes) choose(entries, agents []core.Instance) {
	chosen := make([]core.Instance, 0, r.cfg.SubsetSize)
	for _, group := range byService(agents) {
		size := subsetSize(r.cfg.SubsetSize, len(entries), len(group))
		chosen = append(chosen, fleet.Subset(r.cfg.Instance, entries, group, size)...)
	}
	r.subset.Store(&chosen)
}

// connectAll opens the sessions of the subset that are missing and closes
// those that are neither of the subset nor in use.
func (r *routes) connectAll() {
	chosen := *r.subset.Load()
	pinned := make(map[core.InstanceID]bool, len(chosen))
	for _, agent := range chosen {
		pinned[agent.ID] = true
		if r.pool.open(agent.ID) == nil {
			go r.connect(agent)
		}
	}
	r.pool.sweep(pinned)
}

// byService groups agents by their plain service; models are one group.
func byService(agents []core.Instance) map[string][]core.Instance {
	groups := make(map[string][]core.Instance)
	for _, a := range agents {
		groups[a.Service] = append(groups[a.Service], a)
	}
	return groups
}

// subsetSize returns how many of the agents an entry connects to: the wanted
// number, or more where fewer entries would leave agents without enough.
func subsetSize(wanted, entries, agents int) int {
	entries = max(1, entries)
	covering := (minEntriesPerAgent*agents + entries - 1) / entries
	return max(wanted, covering)
}

func (r *routes) connect(agent core.Instance) {
	_, _ = r.pool.get(context.Background(), agent)
}

// publish makes a new table of the agents that may get calls.
func (r *routes) publish() {
	r.dirty = false
	view := r.membership.View()
	states := make([]routing.EndpointState, 0, len(r.states))
	for id, state := range r.states {
		member, ok := view.Find(id)
		if !ok {
			delete(r.states, id)
			continue
		}
		if r.callable(member) {
			state.Leaving = state.Leaving || member.Leaving
			states = append(states, state)
		}
	}
	r.table.Store(routing.NewTable(r.tableConfig(), states, r.table.Load()))
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// dropDead closes the sessions to instances that stopped sending heartbeats,
// so that calls there end without waiting for the connection's timeout.
func (r *routes) dropDead() {
	for _, m := range r.membership.View().Instances {
		if m.State == fleet.MemberDead {
			r.pool.drop(m.Instance.ID)
		}
	}
}

func (r *routes) callable(m fleet.Member) bool {
	return m.Listed && m.State == fleet.MemberAlive && r.pool.open(m.Instance.ID) != nil
}

func (r *routes) tableConfig() routing.TableConfig {
	entries := 1
	if r.membership != nil {
		entries = max(1, len(r.membership.View().Usable(core.RoleEntry)))
	}
	return routing.TableConfig{Region: r.cfg.Instance.Location.Region, Entries: entries}
}

// entries returns the live entries, this one included.
func (r *routes) entries() []core.Instance {
	return r.membership.View().Usable(core.RoleEntry)
}
