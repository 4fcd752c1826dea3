package run

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"egretroad/internal/authority"
	"egretroad/internal/catalogue"
	"egretroad/internal/outcome"
	"egretroad/internal/topology"
	"egretroad/internal/txn"
)

// replicaRetry is the wait before replicas that refused are asked again.
const replicaRetry = 50 * time.Millisecond

// Writes decides whether a write may be acknowledged. It implements
// txn.Authority and is safe for concurrent use.
type Writes struct {
	fleet txn.Home
	now   func() time.Duration

	mu        sync.Mutex // serialises publish
	published atomic.Pointer[publication]

	byLease, byReplica, unconfirmed *expvar.Int
}

// publication is a table with a channel that is closed when it is replaced.
type publication struct {
	table    *authority.Table
	replaced chan struct{}
}

func newWrites(deps Deps) *Writes {
	w := &Writes{
		fleet: deps.Fleet, now: deps.Now,
		byLease:     deps.Metrics.Int(metricGroup, "writes_confirmed_by_lease"),
		byReplica:   deps.Metrics.Int(metricGroup, "writes_confirmed_by_replica"),
		unconfirmed: deps.Metrics.Int(metricGroup, "writes_unconfirmed"),
	}
	w.published.Store(&publication{table: &authority.Table{}, replaced: make(chan struct{})})
	return w
}

func (w *Writes) publish(t *authority.Table) {
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.published.Swap(&publication{table: t, replaced: make(chan struct{})})
	close(before.replaced)
}

// clear drops every lease and returns the databases concerned.
func (w *Writes) clear() []string {
	table, _ := w.current()
	var held []string
	for db := range table.Leases {
		held = append(held, db)
	}
	w.publish(&authority.Table{Groups: table.Groups})
	return held
}

// current returns the table in force and a channel closed at the next change.
func (w *Writes) current() (*authority.Table, <-chan struct{}) {
	p := w.published.Load()
	return p.table, p.replaced
}

// Held implements txn.Authority.
func (w *Writes) Held(database string, term uint64) bool {
	table, _ := w.current()
	return table.Held(database, term, w.now())
}

// Confirm implements txn.Authority. The lease is checked after the server's
// answer; a write that it does not cover waits for replicas, or for the lease
// to be renewed in the same term.
func (w *Writes) Confirm(ctx context.Context, m topology.Mark, policy catalogue.Confirm) error {
	useLease := policy != catalogue.ConfirmReplica
	if useLease && w.Held(m.Database, m.Term) {
		w.byLease.Add(1)
		return nil
	}
	err := w.confirmByReplicas(ctx, m, useLease)
	if err != nil {
		w.unconfirmed.Add(1)
	}
	return err
}

// confirmByReplicas asks the replicas until enough have applied the mark.
func (w *Writes) confirmByReplicas(ctx context.Context, m topology.Mark, useLease bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	poll := newPoll(w.fleet, m)
	for {
		table, changed := w.current()
		if useLease && table.Held(m.Database, m.Term, w.now()) {
			w.byLease.Add(1)
			return nil
		}
		group := table.Groups[m.Database]
		poll.start(ctx, group.Candidates(m.Term))
		if poll.applied() >= group.Needed && group.Needed > 0 {
			w.byReplica.Add(1)
			return nil
		}
		if poll.refusedBy(group.Candidates(m.Term)) && group.Term > m.Term {
			return unconfirmed(outcome.ReasonReplaced, m, poll.cause())
		}
		select {
		case <-ctx.Done():
			return unconfirmed(outcome.ReasonUnconfirmed, m, errors.Join(ctx.Err(), poll.cause()))
		case <-changed:
		case <-poll.progress:
		case <-time.After(replicaRetry):
		}
	}
}

func unconfirmed(reason outcome.Reason, m topology.Mark, cause error) error {
	return &outcome.UnknownError{
		Reason: reason,
		Detail: fmt.Sprintf("write of database %s at term %d position %d has no lease and no replica's confirmation", m.Database, m.Term, m.Position),
		Cause:  cause,
	}
}
