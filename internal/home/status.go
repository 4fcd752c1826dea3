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

// statusLoop measures a server's status in rounds. A round serves every caller
// that arrived before it began, so any number of callers cost one query.
type statusLoop struct {
	s       *server
	admin   *adminConn
	ctx     context.Context
	cancel  context.CancelFunc
	done    sync.WaitGroup
	wake    chan struct{}
	current atomic.Pointer[topology.ServerStatus]

	mu      sync.Mutex // guards waiters
	waiters map[*statusWaiter]struct{}
}

// statusWaiter waits for a round. With a nil condition the first round that
// begins after its arrival serves it, failed or not.
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
		s: s, ctx: ctx, cancel: cancel, wake: make(chan struct{}, 1),
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

// last returns the status measured last; Reachable is false when the newest
// round failed.
func (l *statusLoop) last() topology.ServerStatus { return *l.current.Load() }

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
		l.round()
		timer.Reset(l.pause())
	}
}

// pause returns the time until the next round without a new waiter.
func (l *statusLoop) pause() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiters) > 0 {
		return l.s.options.PollInterval
	}
	return l.s.options.StatusInterval
}

// round runs one status query and serves those that wait for it.
func (l *statusLoop) round() {
	waiting := l.snapshot()
	ctx, cancel := context.WithTimeout(l.ctx, l.s.options.StatusTimeout)
	defer cancel()
	asked := clock.Boottime()
	row, err := l.admin.query(ctx, backend.SQLStatus)
	var status topology.ServerStatus
	if err == nil {
		var measured backend.Status
		measured, err = backend.ParseStatus(row)
		status = measured.ServerStatus(l.s.id, asked)
	}
	if l.ctx.Err() != nil {
		return
	}
	l.publish(status, err)
	l.serve(waiting, statusResult{status: status, err: err})
}

func (l *statusLoop) snapshot() []*statusWaiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	waiting := make([]*statusWaiter, 0, len(l.waiters))
	for w := range l.waiters {
		waiting = append(waiting, w)
	}
	return waiting
}

// publish stores a round's outcome and reports it to control.
func (l *statusLoop) publish(status topology.ServerStatus, err error) {
	observed := reducer.ServerObserved{From: l.s.deps.Self, Now: clock.Boottime(), Status: status}
	if err != nil {
		observed.Err = backend.CauseOf(err)
		failed := l.last()
		failed.Reachable = false
		l.current.Store(&failed)
		observed.Status = topology.ServerStatus{Server: l.s.id, ObservedAt: observed.Now}
		l.s.pool.Suspect()
	} else {
		l.offer(status)
	}
	if l.s.deps.Observe != nil {
		l.s.deps.Observe(observed)
	}
}

// offer takes a status that was measured by a round or along with a statement.
func (l *statusLoop) offer(status topology.ServerStatus) {
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

// serve answers the waiters that the round satisfies.
func (l *statusLoop) serve(waiting []*statusWaiter, result statusResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range waiting {
		if _, still := l.waiters[w]; !still {
			continue
		}
		if w.condition != nil && (result.err != nil || !w.condition(result.status)) {
			continue
		}
		delete(l.waiters, w)
		w.result <- result
	}
}

// wait returns the status of a round that began after the call and that meets
// the condition, if there is one.
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
		l.forget(w)
		return topology.ServerStatus{}, ctx.Err()
	case <-l.ctx.Done():
		l.forget(w)
		return topology.ServerStatus{}, notRun(outcome.ReasonNotHome, "this proxy is no longer home of server "+l.s.id)
	}
}

func (l *statusLoop) forget(w *statusWaiter) {
	l.mu.Lock()
	delete(l.waiters, w)
	l.mu.Unlock()
}
