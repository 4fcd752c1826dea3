package home

import (
	"context"
	"expvar"
	"sync"

	"egretroad/internal/outcome"
	"egretroad/internal/topology"
	"egretroad/internal/txn"
)

// Manager implements txn.Home for the servers that this VM is home of.
type Manager struct {
	options Options
	deps    Deps
	ctx     context.Context
	cancel  context.CancelFunc
	done    sync.WaitGroup
	drains  sync.WaitGroup // servers that this VM is no longer home of

	mu       sync.RWMutex // guards the fields below
	servers  map[string]*server
	draining map[*server]struct{}
	stopping bool
}

var _ txn.Home = (*Manager)(nil)

// New returns a manager that is not started yet.
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

// Start takes up the servers of the snapshot in force and follows its changes.
func (m *Manager) Start() {
	changed := m.deps.Source.Changed()
	m.follow(m.deps.Source.Snapshot())
	m.done.Add(1)
	go m.watch(changed)
}

func (m *Manager) watch(changed <-chan struct{}) {
	defer m.done.Done()
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-changed:
		}
		changed = m.deps.Source.Changed()
		m.follow(m.deps.Source.Snapshot())
	}
}

// follow makes the set of servers that of the snapshot.
func (m *Manager) follow(snapshot *topology.Snapshot) {
	if snapshot == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopping {
		return
	}
	mine := make(map[string]bool)
	for _, g := range snapshot.Groups {
		for _, spec := range g.Servers {
			if snapshot.Homes[spec.ID] == m.deps.Self {
				mine[spec.ID] = true
				m.take(view{snapshot: snapshot, group: g, spec: spec})
			}
		}
	}
	for id, s := range m.servers {
		if !mine[id] {
			m.drop(id, s, outcome.ReasonNotHome)
		}
	}
}

// take starts a server or brings it up to date. The caller holds mu.
func (m *Manager) take(v view) {
	s, known := m.servers[v.spec.ID]
	if known && s.spec.Addr == v.spec.Addr && s.database == v.group.Database {
		s.update(v)
		return
	}
	if known {
		m.drop(v.spec.ID, s, outcome.ReasonNotHome)
	}
	s = newServer(m.options, m.deps, v)
	m.servers[v.spec.ID] = s
	s.start()
	m.deps.Log.Info("home_taken", "server", v.spec.ID, "addr", v.spec.Addr)
}

// drop drains a server in the background. The caller holds mu.
func (m *Manager) drop(id string, s *server, reason outcome.Reason) {
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

// Stop refuses new work, lets running transactions end until ctx ends, then
// closes everything.
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
	m.done.Wait()
}

// waitDrains waits until ctx ends for servers whose home has moved before.
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

// find returns a server of this home.
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

// Open implements txn.Home.
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
// home, *outcome.FailedError, and *backend.ConnectError or *backend.BrokenError
// when the step may have been taken.
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
