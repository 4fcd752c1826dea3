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

// statusLoop polls a server's status. The result of a query goes to all callers that
// were waiting when the query was sent, so that concurrent callers share one query.
type statusLoop struct {
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

func newStatusLoop(s *server) *statusLoop {
	ctx, cancel := context.WithCancel(context.Background())
	l := &statusLoop{
		server: s, ctx: ctx, cancel: cancel, wake: make(chan struct{}, 1),
		waiters: make(map[*statusWaiter]struct{}),
		admin:   newAdminConn(s.options.Pool.Backend, s.spec.Addr, s.database),
	}
	l.current.Store(&topology.ServerStatus{Server: s.id})
	return l
}

func (l *statusLoop) start() {
	l.done.Add(1)
	go l.run()
}

func (l *statusLoop) stop() {
	l.cancel()
	l.done.Wait()
	l.admin.close()
}

// latest returns the last known status; Reachable is false when the latest query
// failed.
func (l *statusLoop) latest() topology.ServerStatus { return *l.current.Load() }

func (l *statusLoop) run() {
	defer l.done.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-timer.C:
		case <-l.wake:
		}
		l.poll()
		timer.Reset(l.nextDelay())
	}
}

// nextDelay returns the time until the next query, unless a new waiter triggers one
// earlier.
func (l *statusLoop) nextDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiters) > 0 {
		return l.server.options.PollInterval
	}
	return l.server.options.StatusInterval
}

// poll runs one status query and passes the result to the callers waiting for it.
func (l *statusLoop) poll() {
	waiting := l.pendingWaiters()
	ctx, cancel := context.WithTimeout(l.ctx, l.server.options.StatusTimeout)
	defer cancel()
	queriedAt := clock.Boottime()
	row, err := l.admin.query(ctx, backend.SQLStatus)
	var status topology.ServerStatus
	if err == nil {
		var measured backend.Status
		measured, err = backend.ParseStatus(row)
		status = measured.ServerStatus(l.server.id, queriedAt)
	}
	if l.ctx.Err() != nil {
		return
	}
	l.publish(status, err)
	l.notifyWaiters(waiting, statusResult{status: status, err: err})
}

func (l *statusLoop) pendingWaiters() []*statusWaiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	waiting := make([]*statusWaiter, 0, len(l.waiters))
	for w := range l.waiters {
		waiting = append(waiting, w)
	}
	return waiting
}

// publish stores the result of a query and reports it through Deps.Observe.
func (l *statusLoop) publish(status topology.ServerStatus, err error) {
	observed := reducer.ServerObserved{From: l.server.deps.Self, Now: clock.Boottime(), Status: status}
	if err != nil {
		observed.Err = backend.CauseOf(err)
		failed := l.latest()
		failed.Reachable = false
		l.current.Store(&failed)
		observed.Status = topology.ServerStatus{Server: l.server.id, ObservedAt: observed.Now}
		l.server.pool.Suspect()
	} else {
		l.storeIfNewer(status)
	}
	if l.server.deps.Observe != nil {
		l.server.deps.Observe(observed)
	}
}

// storeIfNewer stores a status, from poll or from a query sent with a batch, unless
// the stored one is newer.
func (l *statusLoop) storeIfNewer(status topology.ServerStatus) {
	for {
		old := l.current.Load()
		if old.ObservedAt > status.ObservedAt {
			return
		}
		if l.current.CompareAndSwap(old, &status) {
			return
		}
	}
}

// notifyWaiters sends the result to the waiters whose condition it meets.
func (l *statusLoop) notifyWaiters(waiting []*statusWaiter, result statusResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range waiting {
		if _, pending := l.waiters[w]; !pending {
			continue
		}
		if w.condition != nil && (result.err != nil || !w.condition(result.status)) {
			continue
		}
		delete(l.waiters, w)
		w.result <- result
	}
}

// wait returns the first status that meets the condition, from a query sent after
// the call. A nil condition accepts any result.
func (l *statusLoop) wait(ctx context.Context, condition func(topology.ServerStatus) bool) (topology.ServerStatus, error) {
	w := &statusWaiter{condition: condition, result: make(chan statusResult, 1)}
	l.mu.Lock()
	l.waiters[w] = struct{}{}
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
	select {
	case r := <-w.result:
		return r.status, r.err
	case <-ctx.Done():
		l.removeWaiter(w)
		return topology.ServerStatus{}, ctx.Err()
	case <-l.ctx.Done():
		l.removeWaiter(w)
		return topology.ServerStatus{}, notRun(outcome.ReasonNotHome, "this proxy is no longer the home of server "+l.server.id)
	}
}

func (l *statusLoop) removeWaiter(w *statusWaiter) {
	l.mu.Lock()
	delete(l.waiters, w)
	l.mu.Unlock()
}
