package home

import (
	"context"
	"expvar"
	"sync"

	"egretroad/internal/outcome"
	"egretroad/internal/topology"
	"egretroad/internal/txn"
)

// Manager implements txn.Home for the servers whose home is this VM. It is safe for
// concurrent use.
type Manager struct {
	options    Options
	deps       Deps
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	drains     sync.WaitGroup // drains in progress of servers whose home has moved

	mu       sync.RWMutex // guards the fields below
	servers  map[string]*server
	draining map[*server]struct{}
	stopping bool
}

var _ txn.Home = (*Manager)(nil)

// New returns a manager. Call Start before use.
func New(options Options, deps Deps) *Manager {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Manager{
		options: options, deps: deps, ctx: ctx, cancel: cancel,
		servers: make(map[string]*server), draining: make(map[*server]struct{}),
	}
	if deps.Metrics != nil {
		deps.Metrics.Set("home", "servers", expvar.Func(m.Dump))
	}
	return m
}

// Start starts the servers of the current topology snapshot and watches for new
// snapshots.
func (m *Manager) Start() {
	changed := m.deps.Source.Changed()
	m.syncServers(m.deps.Source.Snapshot())
	m.goroutines.Add(1)
	go m.watch(changed)
}

func (m *Manager) watch(changed <-chan struct{}) {
	defer m.goroutines.Done()
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-changed:
		}
		changed = m.deps.Source.Changed()
		m.syncServers(m.deps.Source.Snapshot())
	}
}

// syncServers starts, updates and drains servers so that the running set matches
// the snapshot.
func (m *Manager) syncServers(snapshot *topology.Snapshot) {
	if snapshot == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopping {
		return
	}
	owned := make(map[string]bool)
	for _, g := range snapshot.Groups {
		for _, spec := range g.Servers {
			if snapshot.Homes[spec.ID] == m.deps.Self {
				owned[spec.ID] = true
				m.startOrUpdate(serverView{snapshot: snapshot, group: g, spec: spec})
			}
		}
	}
	for id, s := range m.servers {
		if !owned[id] {
			m.startDrain(id, s, outcome.ReasonNotHome)
		}
	}
}

// startOrUpdate starts a server, or applies the new snapshot to a running one. A
// server whose address or database has changed is replaced. The caller holds mu.
func (m *Manager) startOrUpdate(v serverView) {
	s, known := m.servers[v.spec.ID]
	if known && s.spec.Addr == v.spec.Addr && s.database == v.group.Database {
		s.update(v)
		return
	}
	if known {
		m.startDrain(v.spec.ID, s, outcome.ReasonNotHome)
	}
	s = newServer(m.options, m.deps, v)
	m.servers[v.spec.ID] = s
	s.start()
	m.deps.Log.Info("home_taken", "server", v.spec.ID, "addr", v.spec.Addr)
}

// startDrain removes a server and drains it in the background. The caller holds mu.
func (m *Manager) startDrain(id string, s *server, reason outcome.Reason) {
	delete(m.servers, id)
	m.draining[s] = struct{}{}
	m.drains.Add(1)
	go func() {
		defer m.drains.Done()
		ctx, cancel := context.WithTimeout(m.ctx, m.options.DrainTimeout)
		defer cancel()
		s.drain(ctx, reason)
		m.mu.Lock()
		delete(m.draining, s)
		m.mu.Unlock()
		m.deps.Log.Info("home_dropped", "server", id)
	}()
}

// Stop shuts down gracefully: it refuses new requests, waits for open transactions
// until ctx ends, then closes all connections.
func (m *Manager) Stop(ctx context.Context) {
	m.mu.Lock()
	m.stopping = true
	servers := m.servers
	m.servers = make(map[string]*server)
	m.mu.Unlock()
	var drained sync.WaitGroup
	for _, s := range servers {
		drained.Add(1)
		go func() {
			defer drained.Done()
			s.drain(ctx, outcome.ReasonShuttingDown)
		}()
	}
	drained.Wait()
	m.waitDrains(ctx)
	m.cancel()
	m.drains.Wait()
	m.goroutines.Wait()
}

// waitDrains waits, at most until ctx ends, for the drains that began before Stop.
func (m *Manager) waitDrains(ctx context.Context) {
	ended := make(chan struct{})
	go func() {
		m.drains.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-ctx.Done():
	}
}

// find returns a running server by ID. Errors are *outcome.NotRunError.
func (m *Manager) find(id string) (*server, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if s, known := m.servers[id]; known {
		return s, nil
	}
	if m.stopping {
		return nil, notRun(outcome.ReasonShuttingDown, "this proxy is shutting down")
	}
	return nil, notRun(outcome.ReasonNotHome, "this proxy is not home of server "+id)
}

// Open implements txn.Home. Errors are *outcome.NotRunError.
func (m *Manager) Open(ctx context.Context, r txn.Request) (txn.Lane, error) {
	s, err := m.find(r.Server)
	if err != nil {
		return nil, err
	}
	l, err := s.open(ctx, r)
	if err != nil {
		return nil, err
	}
	return l, nil
}

// Position implements txn.Home. Errors are *outcome.NotRunError.
func (m *Manager) Position(ctx context.Context, server string) (topology.Mark, error) {
	s, err := m.find(server)
	if err != nil {
		return topology.Mark{}, err
	}
	return s.position(ctx)
}

// WaitApplied implements txn.Home. Errors are *outcome.NotRunError.
func (m *Manager) WaitApplied(ctx context.Context, server string, mark topology.Mark) (topology.ServerStatus, error) {
	s, err := m.find(server)
	if err != nil {
		return topology.ServerStatus{}, err
	}
	return s.waitApplied(ctx, mark)
}

// Admin implements txn.Home. Errors are *outcome.NotRunError when this VM is not
// the server's home, *outcome.FailedError when the server refused the step, and
// *backend.ConnectError or *backend.BrokenError when the step may have run.
func (m *Manager) Admin(ctx context.Context, r txn.AdminRequest) (topology.ServerStatus, error) {
	s, err := m.find(r.Server)
	if err != nil {
		return topology.ServerStatus{}, err
	}
	return s.runAdmin(ctx, r)
}

func notRun(reason outcome.Reason, detail string) *outcome.NotRunError {
	return &outcome.NotRunError{Reason: reason, Detail: detail}
}
