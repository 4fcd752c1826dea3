package home

import (
	"context"
	"errors"
	"time"

	"egretroad/internal/admission"
	"egretroad/internal/catalogue"
	"egretroad/internal/clock"
	"egretroad/internal/outcome"
	"egretroad/internal/topology"
	"egretroad/internal/txn"
)

// open admits a request and gives it a connection and its first slot.
func (s *server) open(ctx context.Context, r txn.Request) (*lane, error) {
	if r.Timeout <= 0 {
		r.Timeout = s.options.DefaultTimeout
	}
	if r.IdleInTxn <= 0 {
		r.IdleInTxn = s.options.DefaultIdleInTxn
	}
	if err := s.enter(); err != nil {
		return nil, err
	}
	l, err := s.admit(ctx, r)
	if err != nil {
		s.lanes.Done()
		return nil, err
	}
	return l, nil
}

// enter counts a lane, unless the server is being drained.
func (s *server) enter() error {
	s.gate.Lock()
	defer s.gate.Unlock()
	if err := s.refusalNow(true); err != nil {
		return err
	}
	s.lanes.Add(1)
	return nil
}

func (s *server) admit(ctx context.Context, r txn.Request) (*lane, error) {
	deadline := s.gate.Now() + r.Timeout
	if err := s.checkServer(r); err != nil {
		return nil, err
	}
	if err := s.waitCovered(ctx, r); err != nil {
		return nil, err
	}
	s.budget.earn()
	l := s.newLane(r, deadline)
	e := admission.Event{Type: admission.EventOffer, Work: admission.Work{
		ID: l.id, Entry: r.Entry, Kind: r.Kind, Owner: r.Owner, Caller: r.Caller, Rank: r.Rank,
		Deadline: deadline, Bytes: requestBytes(r),
	}}
	if _, err := s.await(ctx, e, l.id, l.stats); err != nil {
		return nil, err
	}
	if err := l.connect(ctx); err != nil {
		s.gate.Withdraw(l.id)
		return nil, err
	}
	l.opened()
	return l, nil
}

// waiterBytes is the memory that waiting work takes besides its strings.
const waiterBytes = 1024

func requestBytes(r txn.Request) int {
	n := waiterBytes + len(r.ID) + len(r.Entry) + len(r.Kind) + len(r.Owner) + len(r.Caller)
	for _, setting := range r.Settings {
		n += len(setting.Name) + len(setting.Value)
	}
	return n
}

// checkServer refuses work that the server must not run.
func (s *server) checkServer(r txn.Request) error {
	v := s.view.Load()
	if v.spec.State == topology.ServerLeaving && !v.isPrimary() {
		return notRun(outcome.ReasonLeaving, "server "+s.id+" is leaving")
	}
	if r.Access == catalogue.AccessRead {
		return nil
	}
	return s.checkPrimary(r)
}

// checkPrimary refuses writes unless the server is the primary of the request's
// term as far as this home knows.
func (s *server) checkPrimary(r txn.Request) error {
	v := s.view.Load()
	switch {
	case r.Term < v.group.Term:
		return notRun(outcome.ReasonReplaced, "the request's term is over")
	case r.Term > v.group.Term:
		return notRun(outcome.ReasonNoPrimary, "this home has not seen the request's term yet")
	case !v.isPrimary():
		return notRun(outcome.ReasonReplaced, "server "+s.id+" is not the primary")
	case v.group.Promotion != nil:
		return notRun(outcome.ReasonNoPrimary, "a promotion is in progress")
	}
	status := s.status.last()
	if status.Term > r.Term || status.Fence > r.Term || status.Role == topology.RoleReplica {
		return notRun(outcome.ReasonReplaced, "server "+s.id+" no longer takes writes of the term")
	}
	if len(v.group.Servers) == 1 && !s.deps.Authority.Held(s.database, r.Term) {
		return notRun(outcome.ReasonUnavailable, "no lease on the term, and no replica that could confirm")
	}
	return nil
}

// waitCovered waits until the server may serve a read, as to its age or mark.
func (s *server) waitCovered(ctx context.Context, r txn.Request) error {
	if r.Access != catalogue.AccessRead {
		return nil
	}
	covered := s.coverage(r)
	if covered == nil || covered(s.status.last()) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, min(r.MarkWait, r.Timeout))
	defer cancel()
	if _, err := s.status.wait(ctx, covered); err != nil {
		var refused *outcome.NotRunError
		if errors.As(err, &refused) {
			return refused
		}
		return &outcome.NotRunError{Reason: outcome.ReasonBehind, Detail: "server " + s.id + " is behind the read's mark or age", Cause: err}
	}
	return nil
}

// coverage returns the condition that a read puts on the server's status, or nil.
func (s *server) coverage(r txn.Request) func(topology.ServerStatus) bool {
	if r.MaxAge > 0 {
		return func(st topology.ServerStatus) bool { return s.youngEnough(st, r.MaxAge) }
	}
	if r.Mark.IsZero() {
		return nil
	}
	return func(st topology.ServerStatus) bool { return st.Covers(r.Mark) }
}

// youngEnough reports whether the server's data is at most maxAge old now. A
// primary's data has an age only under a live lease, as it may be replaced.
func (s *server) youngEnough(st topology.ServerStatus, maxAge time.Duration) bool {
	switch st.Role {
	case topology.RolePrimary:
		return s.deps.Authority.Held(s.database, st.Term)
	case topology.RoleReplica:
		return st.Lag+clock.Boottime()-st.ObservedAt <= maxAge
	default:
		return false
	}
}
