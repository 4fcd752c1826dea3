package broker

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"egretroad/internal/admission"
	"egretroad/internal/clock"
	"egretroad/internal/metrics"
	"egretroad/internal/outcome"
	"egretroad/internal/statement"
	"egretroad/internal/topology"
)

// Options are the parameters of a Manager.
type Options struct {
	Admission admission.Options
	// ConnectTimeout bounds an attempt to connect, which takes a busy server tens of
	// milliseconds.
	ConnectTimeout time.Duration
	// ProbeTimeout bounds a command that the proxy issues itself.
	ProbeTimeout time.Duration
	// VerifyTimeout bounds the check that an idle connection responds.
	VerifyTimeout time.Duration
	// HomeConnectionShare is the fraction of a server's connection limit that its home
	// uses. The rest is left for a new home that takes over while the connections of a
	// dead one still count, for VMs that stand in, and for the admin connection.
	HomeConnectionShare float64
	// StandInConnections bounds the connections of a VM that stands in for the home.
	StandInConnections int
	// DefaultConnections is the connection limit if the catalogue sets none.
	DefaultConnections int
	// StandInIdleTimeout is how long a VM that stands in keeps the state of an unused
	// server, StandInConnIdleTimeout how long it keeps unused connections to it. The home
	// of a server needs them when it returns.
	StandInIdleTimeout     time.Duration
	StandInConnIdleTimeout time.Duration
	// LeavingPrimaryGrace is how long a leaving primary accepts new work while a replica
	// is promoted. It must be within the time that the platform allows for leaving.
	LeavingPrimaryGrace time.Duration
	// MaintenanceInterval is the time between two rounds of maintenance.
	MaintenanceInterval time.Duration
}

// reserveAbove is the mean statement time at or above which less urgent work must leave
// slots free for urgent work. It is a fifth of the shortest latency objective of a
// deployment: urgent work that waits this long for a statement to end still meets its
// objective.
const reserveAbove = 100 * time.Millisecond

// overdueFactor and overdueMin define when a response is overdue. The slowest
// statements of a deployment take 8 times the mean of their kind.
const (
	overdueFactor = 8
	overdueMin    = 80 * time.Millisecond
)

// DefaultOptions returns the options of a production deployment.
func DefaultOptions() Options {
	queue := admission.DefaultOptions()
	queue.ReserveAbove = reserveAbove
	queue.OverdueFactor, queue.OverdueMin = overdueFactor, overdueMin
	return Options{
		Admission:              queue,
		ConnectTimeout:         time.Second,
		ProbeTimeout:           500 * time.Millisecond,
		VerifyTimeout:          250 * time.Millisecond,
		HomeConnectionShare:    0.5,
		StandInConnections:     2,
		DefaultConnections:     8,
		StandInIdleTimeout:     3 * time.Second,
		StandInConnIdleTimeout: 300 * time.Millisecond,
		LeavingPrimaryGrace:    5 * time.Second,
		MaintenanceInterval:    200 * time.Millisecond,
	}
}

// Manager implements Broker for the servers that this VM connects to itself, as their
// home or as a stand-in.
type Manager struct {
	options   Options
	source    topology.Source
	connector Connector
	guard     Guard
	log       hclog.Logger
	metrics   *homeMetrics
	ctx       context.Context
	cancel    context.CancelFunc

	mu      sync.Mutex // guards the fields below
	servers map[string]*server
	leaving leavingTimes
	// askLeave asks other VMs since when a server has been leaving; nil: there are none.
	askLeave func(topology.Server)
}

var _ Broker = (*Manager)(nil)

// New returns a manager and registers its metrics. Call Start to follow the topology.
func New(o Options, source topology.Source, connector Connector, guard Guard, log hclog.Logger, registry *metrics.Registry) *Manager {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Manager{
		options: o, source: source, connector: connector, guard: guard, log: log, metrics: newHomeMetrics(registry),
		ctx: ctx, cancel: cancel, servers: map[string]*server{}, leaving: leavingTimes{},
	}
	registry.MustRegister(&collector{manager: m})
	return m
}

// Start follows the published snapshots until Stop.
func (m *Manager) Start() { go m.followSnapshots() }

// Stop closes all connections, which rolls open transactions back.
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

// applySnapshot adds the servers that this VM is the home of, updates those it serves,
// and removes those that left or were replaced and stand-ins that are no longer used.
func (m *Manager) applySnapshot(snapshot *topology.Snapshot) {
	m.mu.Lock()
	defer m.mu.Unlock()
	defer m.askUnknownLeaves()
	m.leaving.record(snapshot, clock.Boottime())
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
		s.applyView(m.newView(snapshot, g, spec))
		if s.maintain() {
			delete(m.servers, id)
			s.close()
			m.log.Info("stand_in_ended", "server", id)
		}
	}
}

// askUnknownLeaves asks other VMs for what this one does not know. The caller holds mu.
func (m *Manager) askUnknownLeaves() {
	if m.askLeave == nil {
		return
	}
	for _, spec := range m.unknownLeaves() {
		go m.askLeave(spec)
	}
}

// ensureServer returns a server and adds it first if this VM does not serve it yet. If
// the server has restarted or moved, it replaces the old one. The caller holds mu.
func (m *Manager) ensureServer(snapshot *topology.Snapshot, g *topology.Group, spec topology.Server) *server {
	if s := m.servers[spec.ID]; s != nil && s.spec.Born == spec.Born && s.spec.Addr == spec.Addr {
		return s
	}
	if old := m.servers[spec.ID]; old != nil {
		old.close()
	}
	m.leaving.recordServer(spec, clock.Boottime())
	v := m.newView(snapshot, g, spec)
	s := newServer(m.ctx, m.options, m.connector, m.guard, m.log, m.metrics, v)
	m.servers[spec.ID] = s
	m.log.Info("server_taken", "server", spec.ID, "born", spec.Born, "addr", spec.Addr, "home", v.home, "revision", snapshot.Revision)
	return s
}

// findOrAdd returns a server of the current snapshot and adds it first if this VM does
// not serve it yet.
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

// servedServer returns a server that this VM already serves, or nil.
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

// ProvePosition implements Broker.
func (m *Manager) ProvePosition(ctx context.Context, server string, maxAge time.Duration) (Proof, error) {
	s, err := m.findOrAdd(server)
	if err != nil {
		return Proof{}, err
	}
	return s.provenPosition(ctx, maxAge)
}

// ReplicationStatus implements Broker.
func (m *Manager) ReplicationStatus(ctx context.Context, server string) (ReplicationStatus, error) {
	s, err := m.findOrAdd(server)
	if err != nil {
		return ReplicationStatus{}, err
	}
	return s.admin.replicationStatus(ctx)
}

// Connected reports whether this VM has a connection to a server.
func (m *Manager) Connected(server string) bool {
	s := m.servedServer(server)
	return s != nil && s.pool.isOpen()
}

// StepDown makes a server that is the primary of a lower term a replica. It returns the
// server's status afterwards.
func (m *Manager) StepDown(ctx context.Context, server string, term uint64) (ReplicationStatus, error) {
	s, err := m.findOrAdd(server)
	if err != nil {
		return ReplicationStatus{}, err
	}
	return s.admin.stepDown(ctx, term)
}

// UnresponsiveFor returns the time since the first request to a server that had no
// response, and the last error; zero while the server responds.
func (m *Manager) UnresponsiveFor(server string) (time.Duration, error) {
	s, err := m.findOrAdd(server)
	if err != nil {
		return 0, err
	}
	return s.health.unresponsiveFor(clock.Boottime())
}

// Probe checks that a server responds, whatever its role.
func (m *Manager) Probe(ctx context.Context, server string) error {
	s, err := m.findOrAdd(server)
	if err != nil {
		return err
	}
	_, err = s.provenPosition(ctx, 0)
	var refused *RefusedError
	var notPermitted *NotPermittedError
	if errors.As(err, &refused) || errors.As(err, &notPermitted) || connectRefusalCode(err) != statement.NoError {
		return nil // the server responded
	}
	return err
}

// SuspendNewWork makes a primary refuse new work during a hand-over, until a time on
// CLOCK_BOOTTIME at the latest.
func (m *Manager) SuspendNewWork(server string, until time.Duration) {
	if s := m.servedServer(server); s != nil {
		s.suspendNewWork(until)
	}
}

// AwaitNoneInFlight waits until no statement is in flight at a server. It returns false
// if ctx ends first.
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

// inFlightPollInterval is the time between checks for statements in flight.
const inFlightPollInterval = 5 * time.Millisecond

// view is the part of a snapshot that concerns one server.
type view struct {
	database string
	spec     topology.Server
	home     bool // this VM is the server's home
	primary  bool // as registered by the server
	limit    int  // connections of this VM that run statements
	leaving  leavingTime
}

// newView returns the view of a server. The caller holds mu.
func (m *Manager) newView(snapshot *topology.Snapshot, g *topology.Group, spec topology.Server) view {
	v := view{
		database: g.Database, spec: spec, home: snapshot.Homes[spec.ID] == snapshot.Self,
		primary: g.Primary == spec.ID, limit: m.options.StandInConnections, leaving: m.leaving[spec.ID],
	}
	if v.home {
		connections := snapshot.Catalogue.Group(g.Database).ServerConnections
		if connections == 0 {
			connections = m.options.DefaultConnections
		}
		v.limit = max(1, int(float64(connections)*m.options.HomeConnectionShare))
	}
	return v
}

// Drain waits until this VM has no running or queued work, or until ctx ends.
func (m *Manager) Drain(ctx context.Context) {
	for m.activeWork() > 0 {
		select {
		case <-ctx.Done():
			m.log.Warn("lanes_cut", "open", m.activeWork())
			return
		case <-time.After(drainPollInterval):
		}
	}
}

// drainPollInterval is the time between checks for open work during a graceful shutdown.
const drainPollInterval = 20 * time.Millisecond

func (m *Manager) activeWork() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, s := range m.servers {
		n += s.activeWork()
	}
	return n
}

// Dump returns the state of each server for the diagnostic dump, by server ID.
func (m *Manager) Dump() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]any, len(m.servers))
	for id, s := range m.servers {
		out[id] = s.dump()
	}
	return out
}
