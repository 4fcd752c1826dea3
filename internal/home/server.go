package home

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"egretroad/internal/admission"
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
	began    time.Time // the machine's clock counts from here
	view     atomic.Pointer[view]
	lanes    sync.WaitGroup

	mu        sync.Mutex // guards the fields below
	machine   *admission.Machine
	waiters   map[admission.ID]*waiter
	nextID    admission.ID
	timer     *time.Timer
	timerAt   time.Duration // 0: not set
	refuse    outcome.Reason
	kinds     map[string]*kindStats
	openLanes map[*lane]struct{}
}

// waiter is work that waits for an effect.
type waiter struct {
	effect chan admission.Effect
	isNew  bool
	stats  *kindStats
}

func newServer(options Options, deps Deps, v view) *server {
	s := &server{
		options: options, deps: deps, id: v.spec.ID, database: v.group.Database, spec: v.spec,
		budget: newRetryBudget(options.RetryShare, options.RetryBurst), began: time.Now(),
		machine:   admission.New(options.Admission),
		waiters:   make(map[admission.ID]*waiter),
		kinds:     make(map[string]*kindStats),
		openLanes: make(map[*lane]struct{}),
	}
	s.view.Store(&v)
	minimum := min(max(1, v.spec.Slots)+options.Pool.Spare, options.Pool.Limit(v.spec.MaxConnections))
	log := deps.Log.With("server", s.id)
	s.pool = pool.New(options.Pool, v.spec.Addr, s.database, options.Pool.Limit(v.spec.MaxConnections), minimum, s.poolChanged, log)
	s.status = newStatusLoop(s)
	s.timer = time.AfterFunc(time.Hour, s.tick)
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
	s.step(admission.Event{Type: admission.EventConfigure, Config: admissionConfig(v, s.options.Pool)})
}

// now returns the time on the machine's clock.
func (s *server) now() time.Duration { return time.Since(s.began) }

// step feeds an event to the machine.
func (s *server) step(e admission.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stepLocked(e)
}

func (s *server) stepLocked(e admission.Event) {
	e.Now = s.now()
	for _, effect := range s.machine.Step(e) {
		s.deliver(effect)
	}
	s.afterStep()
}

// deliver hands an effect to the work that waits for it.
func (s *server) deliver(effect admission.Effect) {
	w, known := s.waiters[effect.ID]
	if !known {
		return
	}
	delete(s.waiters, effect.ID)
	w.stats.count(effect, w.isNew)
	w.effect <- effect
}

// afterStep tells the pool what is needed and sets the timer for deadlines.
func (s *server) afterStep() {
	s.pool.SetDemand(s.machine.ConnectionDemand())
	at, waiting := s.machine.NextDeadline()
	if !waiting || s.timerAt != 0 && s.timerAt <= at {
		return
	}
	s.timerAt = at
	s.timer.Reset(max(0, at-s.now()))
}

// tick lets waiting work expire.
func (s *server) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timerAt = 0
	s.stepLocked(admission.Event{Type: admission.EventTick})
}

// poolChanged tells the machine how many connections there are, and refuses all
// new work while the server cannot be reached.
func (s *server) poolChanged() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stepLocked(admission.Event{Type: admission.EventConnections, Connections: s.pool.Live()})
	if retry, err := s.pool.Down(); err != nil {
		s.refuseWaiting(outcome.ReasonConnect, retry)
	}
}

// refuseWaiting refuses all new work that waits. The caller holds mu.
func (s *server) refuseWaiting(reason outcome.Reason, retry time.Duration) {
	for id, w := range s.waiters {
		if !w.isNew {
			continue
		}
		s.deliver(admission.Effect{Type: admission.EffectRefuse, ID: id, Reason: reason, RetryAfter: retry})
		s.stepLocked(admission.Event{Type: admission.EventEnd, ID: id})
	}
}

// await feeds an event that asks for a grant and waits for its effect.
func (s *server) await(ctx context.Context, e admission.Event, id admission.ID, stats *kindStats) (admission.Effect, error) {
	w := &waiter{effect: make(chan admission.Effect, 1), isNew: e.Type == admission.EventOffer, stats: stats}
	s.mu.Lock()
	if reason := s.refusalNow(w.isNew); reason != nil {
		s.mu.Unlock()
		return admission.Effect{}, reason
	}
	s.waiters[id] = w
	if w.isNew {
		stats.offered++
	}
	s.stepLocked(e)
	s.mu.Unlock()
	select {
	case effect := <-w.effect:
		return effect, refusalError(effect)
	default:
	}
	select {
	case effect := <-w.effect:
		return effect, refusalError(effect)
	case <-ctx.Done():
		s.withdraw(id)
		return admission.Effect{}, &outcome.NotRunError{Reason: outcome.ReasonCancelled, Detail: "the caller left the queue", Cause: ctx.Err()}
	}
}

// refusalNow returns why no new work is taken at all. The caller holds mu.
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

// withdraw ends work that its caller left while it waited, or just after.
func (s *server) withdraw(id admission.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiters, id)
	s.stepLocked(admission.Event{Type: admission.EventEnd, ID: id})
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
	s.mu.Lock()
	s.refuse = reason
	s.refuseWaiting(reason, 0)
	s.mu.Unlock()
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
	s.mu.Lock()
	s.timer.Stop()
	s.mu.Unlock()
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
	s.mu.Lock()
	lanes := make([]*lane, 0, len(s.openLanes))
	for l := range s.openLanes {
		lanes = append(lanes, l)
	}
	s.mu.Unlock()
	for _, l := range lanes {
		l.Close()
	}
}
