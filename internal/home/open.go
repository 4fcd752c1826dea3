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

// open admits a request and returns a lane that holds a connection and a slot.
func (s *server) open(ctx context.Context, r txn.Request) (*lane, error) {
	if r.Timeout <= 0 {
		r.Timeout = s.options.DefaultTimeout
	}
	if r.IdleInTxn <= 0 {
		r.IdleInTxn = s.options.DefaultIdleInTxn
	}
	if err := s.reserveLane(); err != nil {
		return nil, err
	}
	l, err := s.admit(ctx, r)
	if err != nil {
		s.activeLanes.Done()
		return nil, err
	}
	return l, nil
}

// reserveLane adds one to the lanes that drain waits for, or returns an error when the
// server accepts no new requests.
func (s *server) reserveLane() error {
	s.gate.Lock()
	defer s.gate.Unlock()
	if err := s.checkAccepting(true); err != nil {
		return err
	}
	s.activeLanes.Add(1)
	return nil
}

func (s *server) admit(ctx context.Context, r txn.Request) (*lane, error) {
	deadline := s.gate.Now() + r.Timeout
	if err := s.checkServer(r); err != nil {
		return nil, err
	}
	if err := s.waitUntilFresh(ctx, r); err != nil {
		return nil, err
	}
	s.budget.deposit()
	l := s.newLane(r, deadline)
	e := admission.Event{Type: admission.EventOffer, Work: admission.Work{
		ID: l.id, Entry: r.Entry, Kind: r.Kind, Owner: r.Owner, Caller: r.Caller, Rank: r.Rank,
		Deadline: deadline, Bytes: requestBytes(r),
	}}
	if _, err := s.awaitGrant(ctx, e, l.id, l.stats); err != nil {
		return nil, err
	}
	if err := l.connect(ctx); err != nil {
		s.gate.Withdraw(l.id)
		return nil, err
	}
	l.register()
	return l, nil
}

// waiterOverheadBytes is the memory of a queued request without its strings.
const waiterOverheadBytes = 1024

func requestBytes(r txn.Request) int {
	n := waiterOverheadBytes + len(r.ID) + len(r.Entry) + len(r.Kind) + len(r.Owner) + len(r.Caller)
	for _, setting := range r.Settings {
		n += len(setting.Name) + len(setting.Value)
	}
	return n
}

// checkServer returns an error when the server must not run the request.
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

// checkPrimary returns an error unless the server is the primary of the request's
// term according to the current snapshot and the latest status.
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
	status := s.status.latest()
	if status.Term > r.Term || status.Fence > r.Term || status.Role == topology.RoleReplica {
		return notRun(outcome.ReasonReplaced, "server "+s.id+" no longer takes writes of the term")
	}
	if len(v.group.Servers) == 1 && !s.deps.Authority.HoldsLease(s.database, r.Term) {
		return notRun(outcome.ReasonUnavailable, "no lease on the term, and no replica that could confirm")
	}
	return nil
}

// waitUntilFresh waits until the server's data meets the read's mark (session
// consistency token: database, term, log position) or maximum age.
func (s *server) waitUntilFresh(ctx context.Context, r txn.Request) error {
	if r.Access != catalogue.AccessRead {
		return nil
	}
	isFresh := s.freshnessCondition(r)
	if isFresh == nil || isFresh(s.status.latest()) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, min(r.MarkWait, r.Timeout))
	defer cancel()
	if _, err := s.status.wait(ctx, isFresh); err != nil {
		var notRunErr *outcome.NotRunError
		if errors.As(err, &notRunErr) {
			return notRunErr
		}
		return &outcome.NotRunError{Reason: outcome.ReasonBehind, Detail: "server " + s.id + " is behind the read's mark or age", Cause: err}
	}
	return nil
}

// freshnessCondition returns the condition that the server's status must meet
// before the read may run, or nil if there is none.
func (s *server) freshnessCondition(r txn.Request) func(topology.ServerStatus) bool {
	if r.MaxAge > 0 {
		return func(st topology.ServerStatus) bool { return s.withinMaxAge(st, r.MaxAge) }
	}
	if r.Mark.IsZero() {
		return nil
	}
	return func(st topology.ServerStatus) bool { return st.Covers(r.Mark) }
}

// withinMaxAge reports whether the server's data is at most maxAge old now. A
// primary counts as current only under a live lease: without one it may have been
// replaced.
func (s *server) withinMaxAge(st topology.ServerStatus, maxAge time.Duration) bool {
	switch st.Role {
	case topology.RolePrimary:
		return s.deps.Authority.HoldsLease(s.database, st.Term)
	case topology.RoleReplica:
		return st.Lag+clock.Boottime()-st.ObservedAt <= maxAge
	default:
		return false
	}
}
