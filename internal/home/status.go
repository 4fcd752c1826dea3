package home

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"egretroad/internal/backend"
	"egretroad/internal/clock"
	"egretroad/internal/outcome"
	"egretroad/internal/reducer"
	"egretroad/internal/topology"
)

// statusPoller polls a server's status. The result of a query goes to all callers that
// were waiting when the query was sent, so that concurrent callers share one query.
type statusPoller struct {
	server  *server
	admin   *adminConn
	ctx     context.Context
	cancel  context.CancelFunc
	done    sync.WaitGroup
	wake    chan struct{}
	current atomic.Pointer[topology.ServerStatus]

	mu      sync.Mutex // guards waiters
	waiters map[*statusWaiter]struct{}
}

// statusWaiter is a caller that waits for a status that meets a condition. A nil
// condition accepts the result, or the error, of the first query that is sent after
// the call.
type statusWaiter struct {
	condition func(topology.ServerStatus) bool
	result    chan statusResult
}

type statusResult struct {
	status topology.ServerStatus
	err    error
}

func newStatusPoller(s *server) *statusPoller {
	ctx, cancel := context.WithCancel(context.Background())
	p := &statusPoller{
		server: s, ctx: ctx, cancel: cancel, wake: make(chan struct{}, 1),
		waiters: make(map[*statusWaiter]struct{}),
		admin:   newAdminConn(s.options.Pool.Backend, s.spec.Addr, s.database),
	}
	p.current.Store(&topology.ServerStatus{Server: s.id})
	return p
}

func (p *statusPoller) start() {
	p.done.Add(1)
	go p.run()
}

func (p *statusPoller) stop() {
	p.cancel()
	p.done.Wait()
	p.admin.close()
}

// latest returns the last known status; Reachable is false when the latest query
// failed.
func (p *statusPoller) latest() topology.ServerStatus { return *p.current.Load() }

func (p *statusPoller) run() {
	defer p.done.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-timer.C:
		case <-p.wake:
		}
		p.poll()
		timer.Reset(p.nextDelay())
	}
}

// nextDelay returns the time until the next query, unless a new waiter triggers one
// earlier.
func (p *statusPoller) nextDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiters) > 0 {
		return p.server.options.PollInterval
	}
	return p.server.options.StatusInterval
}

// poll runs one status query and passes the result to the callers waiting for it.
func (p *statusPoller) poll() {
	waiting := p.pendingWaiters()
	ctx, cancel := context.WithTimeout(p.ctx, p.server.options.StatusTimeout)
	defer cancel()
	queriedAt := clock.Boottime()
	row, err := p.admin.query(ctx, backend.SQLStatus)
	var status topology.ServerStatus
	if err == nil {
		var measured backend.Status
		measured, err = backend.ParseStatus(row)
		status = measured.ServerStatus(p.server.id, queriedAt)
	}
	if p.ctx.Err() != nil {
		return
	}
	p.publish(status, err)
	p.notifyWaiters(waiting, statusResult{status: status, err: err})
}

func (p *statusPoller) pendingWaiters() []*statusWaiter {
	p.mu.Lock()
	defer p.mu.Unlock()
	waiting := make([]*statusWaiter, 0, len(p.waiters))
	for w := range p.waiters {
		waiting = append(waiting, w)
	}
	return waiting
}

// publish stores the result of a query and reports it through Deps.OnStatus.
func (p *statusPoller) publish(status topology.ServerStatus, err error) {
	observed := reducer.ServerObserved{From: p.server.deps.Self, Now: clock.Boottime(), Status: status}
	if err != nil {
		observed.Err = backend.CauseOf(err)
		failed := p.latest()
		failed.Reachable = false
		p.current.Store(&failed)
		observed.Status = topology.ServerStatus{Server: p.server.id, ObservedAt: observed.Now}
		p.server.pool.ProbeIdle()
	} else {
		p.storeIfNewer(status)
	}
	if p.server.deps.OnStatus != nil {
		p.server.deps.OnStatus(observed)
	}
}

// storeIfNewer stores a status, from poll or from a query sent with a batch, unless
// the stored one is newer.
func (p *statusPoller) storeIfNewer(status topology.ServerStatus) {
	for {
		old := p.current.Load()
		if old.ObservedAt > status.ObservedAt {
			return
		}
		if p.current.CompareAndSwap(old, &status) {
			return
		}
	}
}

// notifyWaiters sends the result to the waiters whose condition it meets.
func (p *statusPoller) notifyWaiters(waiting []*statusWaiter, result statusResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range waiting {
		if _, pending := p.waiters[w]; !pending {
			continue
		}
		if w.condition != nil && (result.err != nil || !w.condition(result.status)) {
			continue
		}
		delete(p.waiters, w)
		w.result <- result
	}
}

// wait returns the first status that meets the condition, from a query sent after
// the call. A nil condition accepts any result.
func (p *statusPoller) wait(ctx context.Context, condition func(topology.ServerStatus) bool) (topology.ServerStatus, error) {
	w := &statusWaiter{condition: condition, result: make(chan statusResult, 1)}
	p.mu.Lock()
	p.waiters[w] = struct{}{}
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
	select {
	case r := <-w.result:
		return r.status, r.err
	case <-ctx.Done():
		p.removeWaiter(w)
		return topology.ServerStatus{}, ctx.Err()
	case <-p.ctx.Done():
		p.removeWaiter(w)
		return topology.ServerStatus{}, notRun(outcome.ReasonNotHome, "this proxy is no longer home of server "+p.server.id)
	}
}

func (p *statusPoller) removeWaiter(w *statusWaiter) {
	p.mu.Lock()
	delete(p.waiters, w)
	p.mu.Unlock()
}
