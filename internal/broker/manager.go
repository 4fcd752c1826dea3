package broker

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"egretroad/internal/admission"
	"egretroad/internal/clock"
	"egretroad/internal/metrics"
	"egretroad/internal/outcome"
	"egretroad/internal/topology"
)

// Options are the parameters of the homes.
type Options struct {
	Admission admission.Options
	// ConnectTimeout bounds the opening of a connection, which takes a busy server
	// tens of milliseconds.
	ConnectTimeout time.Duration
	// ProbeTimeout bounds a statement of the proxy's own.
	ProbeTimeout time.Duration
	// HomeShare is the part of a server's limit on connections that its home uses.
	// The rest is for a home that takes over while those of a dead one still count,
	// for VMs that stand in, and for the proof connection.
	HomeConnectionShare float64
	// StandInConnections bounds the connections of a VM that is not the home.
	StandInConnections int
	// DefaultConnections is the limit of a server that names none.
	DefaultConnections int
	// IdleStandIn is how long a VM that is not the home keeps connections unused.
	StandInIdleTimeout time.Duration
	// LeavingPrimary is how long a leaving primary may take new work while a
	// replica takes over; within the time that the platform allows.
	LeavingPrimaryGrace time.Duration
	// Maintenance is the time between two rounds of upkeep.
	MaintenanceInterval time.Duration
}

// reserveAbove is a fifth of the shortest objective of the deployments that this was
// measured on: urgent work that waits so long for one statement to end is not late.
const reserveAbove = 100 * time.Millisecond

// overdueFactor and overdueMin say when an answer is overdue: the longest of the
// statements that these deployments send take 8 times the mean of their kind.
const (
	overdueFactor = 8
	overdueMin    = 80 * time.Millisecond
)

// DefaultOptions returns the defaults.
func DefaultOptions() Options {
	queue := admission.DefaultOptions()
	queue.ReserveAbove = reserveAbove
	queue.OverdueFactor, queue.OverdueMin = overdueFactor, overdueMin
	return Options{
		Admission:           queue,
		ConnectTimeout:      time.Second,
		ProbeTimeout:        500 * time.Millisecond,
		HomeConnectionShare: 0.5,
		StandInConnections:  2,
		DefaultConnections:  8,
		StandInIdleTimeout:  3 * time.Second,
		LeavingPrimaryGrace: 5 * time.Second,
		MaintenanceInterval: 200 * time.Millisecond,
	}
}

// Manager implements Broker for servers that this VM can reach.
type Manager struct {
	options   Options
	source    topology.Source
	connector Connector
	log       hclog.Logger
	metrics   *homeMetrics
	ctx       context.Context
	cancel    context.CancelFunc

	mu      sync.Mutex // guards servers
	servers map[string]*server
}

var _ Broker = (*Manager)(nil)

// New returns a manager that is not started yet.
func New(o Options, source topology.Source, connector Connector, log hclog.Logger, registry *metrics.Registry) *Manager {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Manager{
		options: o, source: source, connector: connector, log: log, metrics: newHomeMetrics(registry),
		ctx: ctx, cancel: cancel, servers: map[string]*server{},
	}
	registry.Collect(&collector{m: m})
	return m
}

// Start follows the snapshots in force until Stop.
func (m *Manager) Start() { go m.followSnapshots() }

// Stop closes every connection.
func (m *Manager) Stop() {
	m.cancel()
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, s := range m.servers {
		s.close()
		delete(m.servers, id)
	}
}

func (m *Manager) followSnapshots() {
	ticker := time.NewTicker(m.options.MaintenanceInterval)
	defer ticker.Stop()
	changed := m.source.Changed()
	for {
		m.applySnapshot(m.source.Snapshot())
		select {
		case <-m.ctx.Done():
			return
		case <-ticker.C:
		case <-changed:
			changed = m.source.Changed()
		}
	}
}

// follow takes up the servers that this VM is home of, and gives up what it no
// longer serves.
func (m *Manager) applySnapshot(snapshot *topology.Snapshot) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, g := range snapshot.Groups {
		for _, spec := range g.Servers {
			if snapshot.Homes[spec.ID] == snapshot.Self {
				m.ensureServer(snapshot, g, spec)
			}
		}
	}
	for id, s := range m.servers {
		g, spec, known := snapshot.FindServer(id)
		if !known || spec.Born != s.spec.Born || spec.Addr != s.spec.Addr {
			delete(m.servers, id)
			s.close()
			m.log.Info("server_dropped", "server", id, "registered", known, "born", s.spec.Born)
			continue
		}
		s.applyView(newView(m.options, snapshot, g, spec))
		if s.maintain() {
			delete(m.servers, id)
			s.close()
			m.log.Info("stand_in_ended", "server", id)
		}
	}
}

// take returns the server, adding it if need be. The caller holds mu.
func (m *Manager) ensureServer(snapshot *topology.Snapshot, g *topology.Group, spec topology.Server) *server {
	if s := m.servers[spec.ID]; s != nil && s.spec.Born == spec.Born && s.spec.Addr == spec.Addr {
		return s
	}
	if old := m.servers[spec.ID]; old != nil {
		old.close()
	}
	v := newView(m.options, snapshot, g, spec)
	s := newServer(m.ctx, m.options, m.connector, m.log, m.metrics, v)
	m.servers[spec.ID] = s
	m.log.Info("server_taken", "server", spec.ID, "born", spec.Born, "addr", spec.Addr, "home", v.home, "revision", snapshot.Revision)
	return s
}

// find returns a server that the snapshot in force contains.
func (m *Manager) findOrAdd(id string) (*server, error) {
	snapshot := m.source.Snapshot()
	g, spec, known := snapshot.FindServer(id)
	if !known || m.ctx.Err() != nil {
		return nil, &UnknownServerError{Server: id}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ensureServer(snapshot, g, spec), nil
}

// served returns a server that this VM serves already, or nil.
func (m *Manager) servedServer(id string) *server {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.servers[id]
}

// Run implements Broker.
func (m *Manager) Run(ctx context.Context, r Request) Result {
	s, err := m.findOrAdd(r.Server)
	if err != nil {
		return Result{Outcome: NotRun, Reason: outcome.ReasonNoServer, Detail: err.Error()}
	}
	return s.run(ctx, r)
}

// Release implements Broker.
func (m *Manager) Release(_, server string, lane LaneID) {
	if s := m.servedServer(server); s != nil {
		s.releaseLane(lane)
	}
}

// Position implements Broker.
func (m *Manager) Position(ctx context.Context, server string, maxAge time.Duration) (Proof, error) {
	s, err := m.findOrAdd(server)
	if err != nil {
		return Proof{}, err
	}
	return s.provenPosition(ctx, maxAge)
}

// Standing implements Broker.
func (m *Manager) Standing(ctx context.Context, server string) (Standing, error) {
	s, err := m.findOrAdd(server)
	if err != nil {
		return Standing{}, err
	}
	return s.admin.replicationStatus(ctx)
}

// Silence returns how long a server has not answered this VM while it was asked,
// and the last error; zero while it answers.
func (m *Manager) UnresponsiveFor(server string) (time.Duration, error) {
	s, err := m.findOrAdd(server)
	if err != nil {
		return 0, err
	}
	return s.health.unresponsiveFor(clock.Boottime())
}

// Probe asks a server for an answer, whatever its role.
func (m *Manager) Probe(ctx context.Context, server string) error {
	s, err := m.findOrAdd(server)
	if err != nil {
		return err
	}
	_, err = s.provenPosition(ctx, 0)
	if refused, ok := err.(*RefusedError); ok && refused != nil {
		return nil
	}
	return err
}

// Hold lets a server take no new work until a time on CLOCK_BOOTTIME, while a
// replica takes over from it.
func (m *Manager) SuspendNewWork(server string, until time.Duration) {
	if s := m.servedServer(server); s != nil {
		s.suspendNewWork(until)
	}
}

// Quiesce waits until no statement is on its way to a server that hands over, or
// ctx ends; it reports whether that is so.
func (m *Manager) AwaitNoneInFlight(ctx context.Context, server string) bool {
	s := m.servedServer(server)
	for s != nil && !s.noneInFlight() {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(inFlightPollInterval):
		}
	}
	return true
}

// quiescePoll is the time between two looks at statements on their way.
const inFlightPollInterval = 5 * time.Millisecond

// view is what a server takes from a snapshot.
type view struct {
	database string
	spec     topology.Server
	home     bool // this VM is the server's home
	primary  bool // as the server registered itself
	limit    int  // connections for work
}

func newView(o Options, snapshot *topology.Snapshot, g *topology.Group, spec topology.Server) view {
	v := view{
		database: g.Database, spec: spec, home: snapshot.Homes[spec.ID] == snapshot.Self,
		primary: g.Primary == spec.ID, limit: o.StandInConnections,
	}
	if v.home {
		connections := snapshot.Catalogue.Group(g.Database).ServerConnections
		if connections == 0 {
			connections = o.DefaultConnections
		}
		v.limit = max(1, int(float64(connections)*o.HomeConnectionShare))
	}
	return v
}

// Drain waits until no transaction is open here, or ctx ends.
func (m *Manager) Drain(ctx context.Context) {
	for m.openLanes() > 0 {
		select {
		case <-ctx.Done():
			m.log.Warn("lanes_cut", "open", m.openLanes())
			return
		case <-time.After(drainPollInterval):
		}
	}
}

// drainPoll is the time between two looks at open transactions during a stop.
const drainPollInterval = 20 * time.Millisecond

func (m *Manager) openLanes() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, s := range m.servers {
		n += s.activeWork()
	}
	return n
}

// Dump returns the state for operators.
func (m *Manager) Dump() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]any, len(m.servers))
	for id, s := range m.servers {
		out[id] = s.dump()
	}
	return out
}
