package home

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"egretroad/internal/admission"
	"egretroad/internal/gate"
	"egretroad/internal/outcome"
	"egretroad/internal/pool"
	"egretroad/internal/topology"
)

// server holds the state of the home of one backend server: its connection pool,
// admission queue, status poller and open lanes.
type server struct {
	options     Options
	deps        Deps
	id          string
	database    string
	spec        topology.Server // as of newServer; Addr never changes
	pool        *pool.Pool
	status      *statusPoller
	budget      *retryBudget
	view        atomic.Pointer[serverView]
	activeLanes sync.WaitGroup

	gate        *gate.Gate // its mutex guards the fields below
	drainReason outcome.Reason
	statsByKind map[string]*kindStats
	openLanes   map[*lane]struct{}
}

func newServer(options Options, deps Deps, v serverView) *server {
	s := &server{
		options: options, deps: deps, id: v.spec.ID, database: v.group.Database, spec: v.spec,
		budget:      newRetryBudget(options.RetryRatio, options.RetryBurst),
		statsByKind: make(map[string]*kindStats),
		openLanes:   make(map[*lane]struct{}),
	}
	s.view.Store(&v)
	minimum := min(max(1, v.spec.Slots)+options.Pool.Spare, options.Pool.Limit(v.spec.MaxConnections))
	log := deps.Log.With("server", s.id)
	s.pool = pool.New(options.Pool, v.spec.Addr, s.database, options.Pool.Limit(v.spec.MaxConnections), minimum, s.onPoolChange, log)
	s.status = newStatusPoller(s)
	s.gate = gate.New(options.Admission, s.pool.SetDemand)
	return s
}

func (s *server) start() {
	s.configure(*s.view.Load())
	s.status.start()
	s.pool.Start()
}

// update applies a newer snapshot.
func (s *server) update(v serverView) {
	old := s.view.Swap(&v)
	if old.snapshot.Catalogue == v.snapshot.Catalogue && old.group == v.group {
		return
	}
	s.pool.SetLimit(s.options.Pool.Limit(v.spec.MaxConnections))
	s.configure(v)
}

func (s *server) configure(v serverView) {
	s.gate.Step(admission.Event{Type: admission.EventConfigure, Config: admissionConfig(v, s.options.Pool)})
}

// onPoolChange reports the number of open connections to the admission queue, and
// refuses all waiting requests while the server is unreachable.
func (s *server) onPoolChange() {
	s.gate.Lock()
	defer s.gate.Unlock()
	s.gate.StepLocked(admission.Event{Type: admission.EventConnections, Connections: s.pool.Live()})
	if retry, err := s.pool.Down(); err != nil {
		s.gate.RefuseWaitingLocked(outcome.ReasonConnect, retry)
	}
}

// awaitGrant queues an event that requests a slot and waits until the slot is
// granted or refused.
func (s *server) awaitGrant(ctx context.Context, e admission.Event, id admission.ID, stats *kindStats) (admission.Effect, error) {
	isNew := e.Type == admission.EventOffer
	s.gate.Lock()
	if refusal := s.checkAccepting(isNew); refusal != nil {
		s.gate.Unlock()
		return admission.Effect{}, refusal
	}
	if isNew {
		stats.offered++
	}
	w := s.gate.QueueLocked(e, id, func(effect admission.Effect) { stats.recordEffect(effect, isNew) })
	s.gate.Unlock()
	effect, err := s.gate.Receive(ctx, w)
	if err != nil {
		return effect, &outcome.NotRunError{Reason: outcome.ReasonCancelled, Detail: "the caller left the queue", Cause: err}
	}
	return effect, refusalError(effect)
}

// checkAccepting returns an error while the server accepts no new requests: it is
// draining or unreachable. Batches of open lanes (isNew is false) always pass. The
// caller holds the gate's mutex.
func (s *server) checkAccepting(isNew bool) error {
	if !isNew {
		return nil
	}
	if s.drainReason != "" {
		return notRun(s.drainReason, "server "+s.id+" takes no new work here")
	}
	if retry, err := s.pool.Down(); err != nil {
		return &outcome.NotRunError{Reason: outcome.ReasonConnect, Detail: "server " + s.id + " cannot be reached", RetryAfter: retry, Cause: err}
	}
	return nil
}

func refusalError(effect admission.Effect) error {
	if effect.Type == admission.EffectGrant {
		return nil
	}
	return &outcome.NotRunError{
		Reason: effect.Reason, RetryAfter: effect.RetryAfter,
		Detail: "refused after " + effect.Wait.Round(time.Millisecond).String() + " in the queue",
	}
}

// drain refuses new requests, waits for open transactions until ctx ends, then
// rolls back the remaining ones and closes all connections.
func (s *server) drain(ctx context.Context, reason outcome.Reason) {
	s.gate.Lock()
	s.drainReason = reason
	s.gate.RefuseWaitingLocked(reason, 0)
	s.gate.Unlock()
	s.pool.Drain()
	ended := make(chan struct{})
	go func() {
		s.activeLanes.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-ctx.Done():
		s.closeLanes()
		s.waitForLanes(ended)
	}
	s.status.stop()
	s.pool.Close()
	s.gate.Stop()
}

// waitForLanes waits for closed lanes to finish. The wait is bounded: a lane whose
// caller does not read its response finishes late, but it no longer holds a
// connection or slot of the server.
func (s *server) waitForLanes(ended <-chan struct{}) {
	timer := time.NewTimer(s.options.CancelGrace + s.options.RollbackTimeout)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
		s.deps.Log.Warn("lanes_left_open", "server", s.id)
	}
}

// closeLanes closes every open lane, which rolls its transaction back.
func (s *server) closeLanes() {
	s.gate.Lock()
	lanes := make([]*lane, 0, len(s.openLanes))
	for l := range s.openLanes {
		lanes = append(lanes, l)
	}
	s.gate.Unlock()
	for _, l := range lanes {
		l.Close()
	}
}
