package run

import (
	"context"
	"errors"
	"sync"
	"time"

	"egretroad/internal/topology"
	"egretroad/internal/txn"
)

// replicaPoll queries replicas in parallel until they have applied a mark (session
// consistency token: database, term, log position).
type replicaPoll struct {
	fleet    txn.Home
	mark     topology.Mark
	progress chan struct{} // signalled after each response

	mu           sync.Mutex // guards queries and appliedCount
	queries      map[string]*replicaQuery
	appliedCount int
}

// replicaQuery is the state of the query to one replica.
type replicaQuery struct {
	inFlight bool
	applied  bool
	err      error
	retryAt  time.Time
}

func newReplicaPoll(fleet txn.Home, m topology.Mark) *replicaPoll {
	return &replicaPoll{fleet: fleet, mark: m, progress: make(chan struct{}, 1), queries: map[string]*replicaQuery{}}
}

// start queries the servers that have not applied the mark, have no query in flight
// and are past their retry time.
func (p *replicaPoll) start(ctx context.Context, servers []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, server := range servers {
		q := p.queries[server]
		if q == nil {
			q = &replicaQuery{}
			p.queries[server] = q
		}
		if q.inFlight || q.applied || time.Now().Before(q.retryAt) {
			continue
		}
		q.inFlight = true
		go p.query(ctx, server, q)
	}
}

func (p *replicaPoll) query(ctx context.Context, server string, q *replicaQuery) {
	status, err := p.fleet.WaitApplied(ctx, server, p.mark)
	if err == nil && (status.Term != p.mark.Term || status.Position < p.mark.Position) {
		err = &NotAppliedError{Status: status, Mark: p.mark}
	}
	p.mu.Lock()
	q.inFlight = false
	q.err = err
	q.retryAt = time.Now().Add(replicaRetryInterval)
	if err == nil {
		q.applied = true
		p.appliedCount++
	}
	p.mu.Unlock()
	select {
	case p.progress <- struct{}{}:
	default:
	}
}

// countApplied returns the number of replicas that have applied the mark.
func (p *replicaPoll) countApplied() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.appliedCount
}

// allFailed reports whether the last response of every server was an error.
func (p *replicaPoll) allFailed(servers []string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, server := range servers {
		q := p.queries[server]
		if q == nil || q.err == nil {
			return false
		}
	}
	return true
}

// joinedError joins the last errors of the replicas.
func (p *replicaPoll) joinedError() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	var errs []error
	for _, q := range p.queries {
		if q.err != nil {
			errs = append(errs, q.err)
		}
	}
	return errors.Join(errs...)
}
