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

// replicaRetryInterval is the wait before a replica that failed is queried again.
const replicaRetryInterval = 50 * time.Millisecond

// WriteConfirmer decides whether a write may be acknowledged, by a lease or by
// replicas. It implements txn.Authority and is safe for concurrent use.
type WriteConfirmer struct {
	fleet txn.Home
	now   func() time.Duration

	mu        sync.Mutex // serializes publish
	published atomic.Pointer[publishedTable]

	byLease, byReplica, unconfirmed *expvar.Int
}

// publishedTable is a lease table with a channel that is closed when another table
// replaces it.
type publishedTable struct {
	table    *authority.LeaseTable
	replaced chan struct{}
}

func newWriteConfirmer(deps Deps) *WriteConfirmer {
	w := &WriteConfirmer{
		fleet: deps.Fleet, now: deps.Now,
		byLease:     deps.Metrics.Int(metricGroup, "writes_confirmed_by_lease"),
		byReplica:   deps.Metrics.Int(metricGroup, "writes_confirmed_by_replica"),
		unconfirmed: deps.Metrics.Int(metricGroup, "writes_unconfirmed"),
	}
	w.published.Store(&publishedTable{table: &authority.LeaseTable{}, replaced: make(chan struct{})})
	return w
}

func (w *WriteConfirmer) publish(t *authority.LeaseTable) {
	w.mu.Lock()
	defer w.mu.Unlock()
	previous := w.published.Swap(&publishedTable{table: t, replaced: make(chan struct{})})
	close(previous.replaced)
}

// dropLeases drops all leases and returns the databases that had one.
func (w *WriteConfirmer) dropLeases() []string {
	table, _ := w.load()
	var databases []string
	for db := range table.Leases {
		databases = append(databases, db)
	}
	w.publish(&authority.LeaseTable{Quorums: table.Quorums})
	return databases
}

// load returns the current table and a channel that is closed when it is replaced.
func (w *WriteConfirmer) load() (*authority.LeaseTable, <-chan struct{}) {
	p := w.published.Load()
	return p.table, p.replaced
}

// Held implements txn.Authority.
func (w *WriteConfirmer) Held(database string, term uint64) bool {
	table, _ := w.load()
	return table.HoldsLease(database, term, w.now())
}

// Confirm implements txn.Authority. It checks the lease after the server's
// response. A write that no lease covers waits until enough replicas have applied
// it or the lease is renewed in the same term.
func (w *WriteConfirmer) Confirm(ctx context.Context, m topology.Mark, policy catalogue.Confirm) error {
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

// confirmByReplicas queries the replicas until enough have applied the mark, or a
// lease covers the write.
func (w *WriteConfirmer) confirmByReplicas(ctx context.Context, m topology.Mark, useLease bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	poll := newReplicaPoll(w.fleet, m)
	for {
		table, changed := w.load()
		if useLease && table.HoldsLease(m.Database, m.Term, w.now()) {
			w.byLease.Add(1)
			return nil
		}
		quorum := table.Quorums[m.Database]
		poll.start(ctx, quorum.ReplicasInTerm(m.Term))
		if poll.countApplied() >= quorum.Required && quorum.Required > 0 {
			w.byReplica.Add(1)
			return nil
		}
		if poll.allFailed(quorum.ReplicasInTerm(m.Term)) && quorum.Term > m.Term {
			return unconfirmedError(outcome.ReasonReplaced, m, poll.joinedError())
		}
		select {
		case <-ctx.Done():
			return unconfirmedError(outcome.ReasonUnconfirmed, m, errors.Join(ctx.Err(), poll.joinedError()))
		case <-changed:
		case <-poll.progress:
		case <-time.After(replicaRetryInterval):
		}
	}
}

func unconfirmedError(reason outcome.Reason, m topology.Mark, cause error) error {
	return &outcome.UnknownError{
		Reason: reason,
		Detail: fmt.Sprintf("write of database %s at term %d position %d has no lease and no replica's confirmation", m.Database, m.Term, m.Position),
		Cause:  cause,
	}
}
