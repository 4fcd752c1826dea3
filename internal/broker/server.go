package broker

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"egretroad/internal/admission"
	"egretroad/internal/clock"
	"egretroad/internal/gate"
	"egretroad/internal/outcome"
	"egretroad/internal/statement"
	"egretroad/internal/topology"
)

// server is this VM's side of one backend server: its queue, connections, open lanes
// and failure detector.
type server struct {
	options   Options
	connector Connector
	guard     Guard
	log       hclog.Logger
	metrics   *homeMetrics
	database  string
	spec      topology.Server // as of creation; ID, Addr and Born do not change
	view      atomic.Pointer[view]
	health    health
	admin     *adminConn
	pool      *connPool
	ctx       context.Context
	cancel    context.CancelFunc

	gate           *gate.Gate // its mutex guards the fields below
	lanes          map[LaneID]*lane
	suspendedUntil time.Duration // end of the suspension for a hand-over, on CLOCK_BOOTTIME
	lastWork       time.Duration // on CLOCK_BOOTTIME
	inFlight       int           // statements sent whose response is outstanding
}

func newServer(ctx context.Context, o Options, c Connector, guard Guard, log hclog.Logger, metrics *homeMetrics, v view) *server {
	s := &server{
		options: o, connector: c, guard: guard, log: log.With("server", v.spec.ID), database: v.database, spec: v.spec,
		metrics: metrics, lanes: map[LaneID]*lane{}, lastWork: clock.Boottime(),
	}
	s.ctx, s.cancel = context.WithCancel(ctx)
	s.admin = newAdminConn(s)
	s.pool = newConnPool(s)
	s.gate = gate.New(o.Admission, s.pool.setDemand)
	s.applyView(v)
	return s
}

// applyView applies a newer snapshot.
func (s *server) applyView(v view) {
	old := s.view.Swap(&v)
	if old != nil && old.limit == v.limit && old.home == v.home && old.spec.Slots == v.spec.Slots {
		return
	}
	s.pool.configure(v.limit, v.home)
	s.gate.Step(admission.Event{Type: admission.EventConfigure, Config: &admission.Config{
		Slots: v.spec.Slots, ConnectionLimit: v.limit,
	}})
}

// maintain rolls back transactions that exceeded their idle time-out and maintains the
// pool. It reports whether this VM is a stand-in that has been unused for long enough
// to be removed.
func (s *server) maintain() bool {
	now := clock.Boottime()
	s.gate.Lock()
	var expired []LaneID
	for id, l := range s.lanes {
		if l.idleFor(now) > l.idleTimeout {
			expired = append(expired, id)
		}
	}
	unused := len(s.lanes) == 0 && now-s.lastWork > s.options.StandInIdleTimeout
	s.gate.Unlock()
	for _, id := range expired {
		s.log.Info("transaction_expired", "lane", id.Number, "vm", id.VM)
		go s.releaseLane(id) // waits for the response to the rollback
	}
	s.pool.maintain()
	if s.view.Load().home {
		return false
	}
	s.admin.closeIdle(now - s.options.StandInConnIdleTimeout)
	return unused
}

// close refuses further work and closes all connections: at once those that run no
// statement, the others in the background when their statement has ended.
func (s *server) close() {
	s.cancel()
	s.gate.Stop()
	s.gate.Lock()
	lanes := s.lanes
	s.lanes = map[LaneID]*lane{}
	s.gate.Unlock()
	for _, l := range lanes {
		go l.closeConn()
	}
	s.pool.close()
	s.admin.close()
}

// recordResponse records whether the server responded to a request sent at sentAt. A
// refusal is a response; a cancelled request says nothing about the server.
func (s *server) recordResponse(sentAt time.Duration, err error) {
	var refused *RefusedError
	var connect *ConnectError
	responded := err == nil || errors.As(err, &refused) || errors.As(err, &connect) && connect.Code != statement.NoError
	if responded {
		now := clock.Boottime()
		if unresponsive, _ := s.health.unresponsiveFor(now); unresponsive != 0 {
			s.log.Info("server_answers", "silent_for", unresponsive)
		}
		s.health.recordSuccess(now)
		return
	}
	if errors.Is(err, context.Canceled) {
		return
	}
	if unresponsive, _ := s.health.unresponsiveFor(clock.Boottime()); unresponsive == 0 {
		s.log.Warn("server_silent", "error", err)
	}
	s.health.recordFailure(sentAt, err)
}

// permitPrimary returns nil if the server may be used as the primary of its group now,
// otherwise the result for a statement that needs the primary.
func (s *server) permitPrimary(ctx context.Context) *Result {
	if err := s.guard.Permit(ctx, s.database, s.spec.ID); err != nil {
		return &Result{Outcome: NotRun, Reason: outcome.ReasonNoPrimary, Detail: err.Error()}
	}
	return nil
}

// recordProof caches a position that a request sent at sentAt returned, unless the
// server may have been replaced by then.
func (s *server) recordProof(p Proof, sentAt time.Duration) bool {
	if !s.guard.Permitted(s.database, s.spec.ID) {
		return false
	}
	s.health.recordProof(p, sentAt)
	return true
}

// provenPosition returns a proof that is at most maxAge old, requesting a new one if the
// cached one is older.
func (s *server) provenPosition(ctx context.Context, maxAge time.Duration) (Proof, error) {
	if p, known := s.health.lastProof(clock.Boottime()); known && p.Age <= maxAge {
		return p, nil
	}
	type proofResult struct {
		proof Proof
		err   error
	}
	done := make(chan proofResult, 1)
	go func() {
		p, err := s.admin.provePrimary(s.ctx)
		done <- proofResult{p, err}
	}()
	select {
	case result := <-done:
		return result.proof, result.err
	case <-ctx.Done():
		return Proof{}, ctx.Err()
	}
}

// newWorkRefusal returns the result for new work if the server accepts none, otherwise
// nil.
func (s *server) newWorkRefusal() *Result {
	if s.handingOver() {
		return s.handOverRefusal()
	}
	if v := s.view.Load(); v.leaving.leaving && !(v.primary && v.leaving.mayLead(clock.Boottime(), s.options.LeavingPrimaryGrace)) {
		return &Result{Outcome: NotRun, Reason: outcome.ReasonLeaving, Detail: "server " + s.spec.ID + " is leaving"}
	}
	if cause := s.pool.unavailableCause(); cause != nil {
		return &Result{Outcome: NotRun, Reason: outcome.ReasonConnect, Detail: cause.Error(), Code: connectRefusalCode(cause)}
	}
	return nil
}

func (s *server) suspendNewWork(until time.Duration) {
	s.gate.Lock()
	defer s.gate.Unlock()
	s.suspendedUntil = until
}

// handingOver reports whether a hand-over from this primary to a replica is in progress.
func (s *server) handingOver() bool {
	s.gate.Lock()
	defer s.gate.Unlock()
	return s.handingOverLocked()
}

func (s *server) handingOverLocked() bool {
	return s.suspendedUntil > clock.Boottime() && s.view.Load().primary
}

func (s *server) handOverRefusal() *Result {
	return &Result{Outcome: NotRun, Reason: outcome.ReasonNoPrimary, Detail: "server " + s.spec.ID + " hands its lead over"}
}

// beginInFlight counts a statement as in flight. It refuses, by returning false, a
// statement that commits during a hand-over: the commit could be acknowledged and yet be
// missing on the new primary.
func (s *server) beginInFlight(commits bool) bool {
	s.gate.Lock()
	defer s.gate.Unlock()
	if commits && s.handingOverLocked() {
		return false
	}
	s.inFlight++
	return true
}

// endInFlight reverts beginInFlight.
func (s *server) endInFlight() {
	s.gate.Lock()
	defer s.gate.Unlock()
	s.inFlight--
}

// noneInFlight reports whether no statement is in flight.
func (s *server) noneInFlight() bool {
	s.gate.Lock()
	defer s.gate.Unlock()
	return s.inFlight == 0
}

// connectRefusalCode returns the code with which the server refused a connection, or
// NoError if the server did not refuse it.
func connectRefusalCode(err error) statement.Code {
	var refused *ConnectError
	if errors.As(err, &refused) {
		return refused.Code
	}
	return statement.NoError
}

// updateConnections informs the admission queue of the number of open connections. A
// non-nil unavailable means that no connection can be opened: the queued work is refused.
func (s *server) updateConnections(open int, unavailable error) {
	s.gate.Lock()
	defer s.gate.Unlock()
	s.gate.StepLocked(admission.Event{Type: admission.EventConnections, Connections: open})
	if unavailable != nil {
		s.gate.RefuseWaitingLocked(outcome.ReasonConnect, 0)
	}
}

// awaitSlot passes an event that requests a slot to the queue and waits for its effect.
func (s *server) awaitSlot(ctx context.Context, e admission.Event, id admission.ID) (admission.Effect, error) {
	s.gate.Lock()
	w := s.gate.QueueLocked(e, id, nil)
	s.gate.Unlock()
	return s.gate.Receive(ctx, w)
}

// activeWork returns the number of statements that run or wait and of open transactions.
func (s *server) activeWork() int {
	s.gate.Lock()
	defer s.gate.Unlock()
	used, _ := s.gate.MachineLocked().ConnectionDemand()
	return used + s.gate.MachineLocked().Waiting()
}

// dump returns the state for the diagnostic dump.
func (s *server) dump() map[string]any {
	now := clock.Boottime()
	unresponsive, lastError := s.health.unresponsiveFor(now)
	proof, _ := s.health.lastProof(now)
	v := s.view.Load()
	s.gate.Lock()
	defer s.gate.Unlock()
	used, wanted := s.gate.MachineLocked().ConnectionDemand()
	return map[string]any{
		"database": s.database, "home": v.home, "primary": v.primary, "born": s.spec.Born,
		"waiting": s.gate.MachineLocked().Waiting(), "used": used, "wanted": wanted, "limit": v.limit, "transactions": len(s.lanes),
		"silence": unresponsive.String(), "error": lastError, "proof": proof.Mark, "proofAge": proof.Age.String(),
	}
}
