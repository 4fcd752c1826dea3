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

// server is one backend server at its home.
type server struct {
	options  Options
	deps     Deps
	id       string
	database string
	spec     topology.Server // as taken; Addr does not change
	pool     *pool.Pool
	status   *statusLoop
	budget   *retryBudget
	view     atomic.Pointer[view]
	lanes    sync.WaitGroup

	gate      *gate.Gate // its mutex guards the fields below
	refuse    outcome.Reason
	kinds     map[string]*kindStats
	openLanes map[*lane]struct{}
}

func newServer(options Options, deps Deps, v view) *server {
	s := &server{
		options: options, deps: deps, id: v.spec.ID, database: v.group.Database, spec: v.spec,
		budget:    newRetryBudget(options.RetryShare, options.RetryBurst),
		kinds:     make(map[string]*kindStats),
		openLanes: make(map[*lane]struct{}),
	}
	s.view.Store(&v)
	minimum := min(max(1, v.spec.Slots)+options.Pool.Spare, options.Pool.Limit(v.spec.MaxConnections))
	log := deps.Log.With("server", s.id)
	s.pool = pool.New(options.Pool, v.spec.Addr, s.database, options.Pool.Limit(v.spec.MaxConnections), minimum, s.poolChanged, log)
	s.status = newStatusLoop(s)
	s.gate = gate.New(options.Admission, s.pool.SetDemand)
	return s
}

func (s *server) start() {
	s.configure(*s.view.Load())
	s.status.start()
	s.pool.Start()
}

// update takes over a newer snapshot.
func (s *server) update(v view) {
	old := s.view.Swap(&v)
	if old.snapshot.Catalogue == v.snapshot.Catalogue && old.group == v.group {
		return
	}
	s.pool.SetLimit(s.options.Pool.Limit(v.spec.MaxConnections))
	s.configure(v)
}

func (s *server) configure(v view) {
	s.gate.Step(admission.Event{Type: admission.EventConfigure, Config: admissionConfig(v, s.options.Pool)})
}

// poolChanged tells the machine how many connections there are, and refuses all
// new work while the server cannot be reached.
func (s *server) poolChanged() {
	s.gate.Lock()
	defer s.gate.Unlock()
	s.gate.StepLocked(admission.Event{Type: admission.EventConnections, Connections: s.pool.Live()})
	if retry, err := s.pool.Down(); err != nil {
		s.gate.RefuseWaitingLocked(outcome.ReasonConnect, retry)
	}
}

// await feeds an event that asks for a grant and waits for its effect.
func (s *server) await(ctx context.Context, e admission.Event, id admission.ID, stats *kindStats) (admission.Effect, error) {
	isNew := e.Type == admission.EventOffer
	s.gate.Lock()
	if reason := s.refusalNow(isNew); reason != nil {
		s.gate.Unlock()
		return admission.Effect{}, reason
	}
	if isNew {
		stats.offered++
	}
	w := s.gate.QueueLocked(e, id, func(effect admission.Effect) { stats.count(effect, isNew) })
	s.gate.Unlock()
	effect, err := s.gate.Receive(ctx, w)
	if err != nil {
		return effect, &outcome.NotRunError{Reason: outcome.ReasonCancelled, Detail: "the caller left the queue", Cause: err}
	}
	return effect, refusalError(effect)
}

// refusalNow returns why no new work is taken at all. The caller holds the gate's mutex.
func (s *server) refusalNow(isNew bool) error {
	if !isNew {
		return nil
	}
	if s.refuse != "" {
		return notRun(s.refuse, "server "+s.id+" takes no new work here")
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

// drain refuses new work and lets open transactions end until ctx ends.
func (s *server) drain(ctx context.Context, reason outcome.Reason) {
	s.gate.Lock()
	s.refuse = reason
	s.gate.RefuseWaitingLocked(reason, 0)
	s.gate.Unlock()
	s.pool.Drain()
	ended := make(chan struct{})
	go func() {
		s.lanes.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-ctx.Done():
		s.closeLanes()
		s.waitClosed(ended)
	}
	s.status.stop()
	s.pool.Close()
	s.gate.Stop()
}

// waitClosed waits for lanes that were closed. One whose caller takes no answer
// keeps nothing of the server and is not waited for.
func (s *server) waitClosed(ended <-chan struct{}) {
	timer := time.NewTimer(s.options.CancelGrace + s.options.RollbackTimeout)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
		s.deps.Log.Warn("lanes_left_open", "server", s.id)
	}
}

// closeLanes ends every open transaction.
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
