package broker

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"egretroad/internal/admission"
	"egretroad/internal/clock"
	"egretroad/internal/outcome"
	"egretroad/internal/statement"
	"egretroad/internal/topology"
)

// server is one backend server at a VM that serves it.
type server struct {
	options   Options
	connector Connector
	log       hclog.Logger
	database  string
	spec      topology.Server // as taken; ID, Addr and Born do not change
	view      atomic.Pointer[view]
	health    health
	admin     *admin
	conns     *connections
	began     time.Time // the queue's clock counts from here
	ctx       context.Context
	cancel    context.CancelFunc

	mu       sync.Mutex // guards the fields below
	queue    *admission.Machine
	waiters  map[admission.ID]chan admission.Effect
	nextID   admission.ID
	timer    *time.Timer
	timerAt  time.Duration
	lanes    map[LaneID]*lane
	leaving  time.Duration // when the server was first seen leaving, on CLOCK_BOOTTIME; 0: not
	held     time.Duration // no new work before, on CLOCK_BOOTTIME
	lastWork time.Duration // on CLOCK_BOOTTIME
	running  int           // statements sent and not answered
}

func newServer(ctx context.Context, o Options, c Connector, log hclog.Logger, v view) *server {
	s := &server{
		options: o, connector: c, log: log.With("server", v.spec.ID), database: v.database, spec: v.spec,
		began: time.Now(), queue: admission.New(o.Admission),
		waiters: map[admission.ID]chan admission.Effect{}, lanes: map[LaneID]*lane{},
		lastWork: clock.Boottime(),
	}
	s.ctx, s.cancel = context.WithCancel(ctx)
	s.admin = newAdmin(s)
	s.conns = newConnections(s)
	s.timer = time.AfterFunc(time.Hour, s.tick)
	s.update(v)
	return s
}

// update takes a newer snapshot over.
func (s *server) update(v view) {
	old := s.view.Swap(&v)
	s.mu.Lock()
	if v.spec.State != topology.ServerLeaving {
		s.leaving = 0
	} else if s.leaving == 0 {
		s.leaving = clock.Boottime()
	}
	s.mu.Unlock()
	if old != nil && old.limit == v.limit && old.spec.Slots == v.spec.Slots {
		return
	}
	s.conns.setLimit(v.limit)
	s.step(admission.Event{Type: admission.EventConfigure, Config: &admission.Config{
		Slots: v.spec.Slots, ConnectionLimit: v.limit,
	}})
}

// upkeep ends transactions that were left open, and reports whether this VM has
// stood in for another home long enough without work.
func (s *server) upkeep() bool {
	now := clock.Boottime()
	s.mu.Lock()
	var expired []LaneID
	for id, l := range s.lanes {
		if l.idleFor(now) > l.idleLimit {
			expired = append(expired, id)
		}
	}
	unused := len(s.lanes) == 0 && now-s.lastWork > s.options.IdleStandIn
	s.mu.Unlock()
	for _, id := range expired {
		s.log.Info("transaction_expired", "lane", id.Number, "vm", id.VM)
		s.release(id)
	}
	s.conns.maintain()
	return unused && !s.view.Load().home
}

func (s *server) close() {
	s.cancel()
	s.mu.Lock()
	s.timer.Stop()
	lanes := s.lanes
	s.lanes = map[LaneID]*lane{}
	s.mu.Unlock()
	for _, l := range lanes {
		l.abandon()
	}
	s.conns.close()
	s.admin.close()
}

// note records whether the server answered a question asked at the given time.
func (s *server) note(asked time.Duration, err error) {
	var refused *RefusedError
	var connect *ConnectError
	answered := err == nil || errors.As(err, &refused) || errors.As(err, &connect) && connect.Code != statement.None
	if answered {
		now := clock.Boottime()
		if silent, _ := s.health.silence(now); silent != 0 {
			s.log.Info("server_answers", "silent_for", silent)
		}
		s.health.ok(now)
		return
	}
	if errors.Is(err, context.Canceled) {
		return
	}
	if silent, _ := s.health.silence(clock.Boottime()); silent == 0 {
		s.log.Warn("server_silent", "error", err)
	}
	s.health.fail(asked, err)
}

// position returns a proof of leadership that is young enough.
func (s *server) position(ctx context.Context, maxAge time.Duration) (Proof, error) {
	if p, known := s.health.proven(clock.Boottime()); known && p.Age <= maxAge {
		return p, nil
	}
	type answer struct {
		proof Proof
		err   error
	}
	done := make(chan answer, 1)
	go func() {
		p, err := s.admin.prove(s.ctx)
		done <- answer{p, err}
	}()
	select {
	case a := <-done:
		return a.proof, a.err
	case <-ctx.Done():
		return Proof{}, ctx.Err()
	}
}

// refusal returns why no new work is taken at all; nil when it is.
func (s *server) refusal() *Result {
	s.mu.Lock()
	leaving := s.leaving
	s.mu.Unlock()
	if s.handsOver() {
		return s.refuseHandOver()
	}
	if leaving != 0 && (!s.view.Load().primary || clock.Boottime()-leaving > s.options.LeavingPrimary) {
		return &Result{Outcome: NotRun, Reason: outcome.ReasonLeaving, Detail: "server " + s.spec.ID + " is leaving"}
	}
	if cause := s.conns.down(); cause != nil {
		return &Result{Outcome: NotRun, Reason: outcome.ReasonConnect, Detail: cause.Error(), Code: connectCode(cause)}
	}
	return nil
}

func (s *server) hold(until time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = until
}

// handsOver reports whether a replica takes over from the server just now.
func (s *server) handsOver() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.handsOverLocked()
}

func (s *server) handsOverLocked() bool {
	return s.held > clock.Boottime() && s.view.Load().primary
}

func (s *server) refuseHandOver() *Result {
	return &Result{Outcome: NotRun, Reason: outcome.ReasonNoPrimary, Detail: "server " + s.spec.ID + " hands its lead over"}
}

// sending counts a statement on its way. It reports false, and counts nothing, for
// one that commits while the server hands over: its commit could be acknowledged and
// miss the server that takes over.
func (s *server) sending(commits bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if commits && s.handsOverLocked() {
		return false
	}
	s.running++
	return true
}

// answered counts a statement that is no longer on its way.
func (s *server) answered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// quiet reports whether no statement is on its way.
func (s *server) quiet() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running == 0
}

// connectCode returns the server's reason to refuse a connection.
func connectCode(err error) statement.Code {
	var refused *ConnectError
	if errors.As(err, &refused) {
		return refused.Code
	}
	return statement.None
}

// now returns the time on the queue's clock.
func (s *server) now() time.Duration { return time.Since(s.began) }

// step feeds an event to the queue.
func (s *server) step(e admission.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stepLocked(e)
}

func (s *server) stepLocked(e admission.Event) {
	e.Now = s.now()
	for _, effect := range s.queue.Step(e) {
		if w, waiting := s.waiters[effect.ID]; waiting {
			delete(s.waiters, effect.ID)
			w <- effect
		}
	}
	s.conns.demand(s.queue.ConnectionDemand())
	at, waiting := s.queue.NextDeadline()
	if waiting && (s.timerAt == 0 || at < s.timerAt) {
		s.timerAt = at
		s.timer.Reset(max(0, at-s.now()))
	}
}

// tick lets waiting work expire.
func (s *server) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timerAt = 0
	s.stepLocked(admission.Event{Type: admission.EventTick})
}

// connectionsChanged tells the queue how many connections are open, and refuses
// what waits while there is none to be had.
func (s *server) connectionsChanged(open int, down error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stepLocked(admission.Event{Type: admission.EventConnections, Connections: open})
	if down == nil {
		return
	}
	for id, w := range s.waiters {
		delete(s.waiters, id)
		w <- admission.Effect{Type: admission.EffectRefuse, ID: id, Reason: outcome.ReasonConnect}
		s.stepLocked(admission.Event{Type: admission.EventEnd, ID: id})
	}
}

// await feeds an event that asks for a slot and waits for its effect.
func (s *server) await(ctx context.Context, e admission.Event, id admission.ID) (admission.Effect, error) {
	w := make(chan admission.Effect, 1)
	s.mu.Lock()
	s.waiters[id] = w
	s.stepLocked(e)
	s.mu.Unlock()
	select {
	case effect := <-w:
		return effect, nil
	case <-ctx.Done():
		s.mu.Lock()
		delete(s.waiters, id)
		s.stepLocked(admission.Event{Type: admission.EventEnd, ID: id})
		s.mu.Unlock()
		return admission.Effect{}, ctx.Err()
	}
}

// busy returns the number of statements that run or wait and of open transactions.
func (s *server) busy() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	used, _ := s.queue.ConnectionDemand()
	return used + s.queue.Waiting()
}

// dump returns the state for operators.
func (s *server) dump() map[string]any {
	now := clock.Boottime()
	silence, cause := s.health.silence(now)
	proof, _ := s.health.proven(now)
	v := s.view.Load()
	s.mu.Lock()
	defer s.mu.Unlock()
	used, wanted := s.queue.ConnectionDemand()
	return map[string]any{
		"database": s.database, "home": v.home, "primary": v.primary, "born": s.spec.Born,
		"waiting": s.queue.Waiting(), "used": used, "wanted": wanted, "limit": v.limit, "transactions": len(s.lanes),
		"silence": silence.String(), "error": cause, "proof": proof.Mark, "proofAge": proof.Age.String(),
	}
}
