// Package pool keeps the connections to one backend server: opened ahead of
// need but never many at once, bounded by the server's limit, probed while idle
// and replaced when they break.
package pool

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/hashicorp/go-hclog"

	"egretroad/internal/backend"
)

// Options are a pool's parameters.
type Options struct {
	Backend backend.Options
	// Spare is the number of idle connections kept beyond those in use.
	Spare int
	// Reserve is the number of the server's connections that stay unused, the
	// admin connection not counted.
	Reserve int
	// MaxOpening bounds the connections that are being opened at the same time.
	MaxOpening int
	// RetryMin and RetryMax bound the wait after a refused connection.
	RetryMin time.Duration
	RetryMax time.Duration
	// RaiseInterval is the time between two steps by which a pool that met the
	// server's limit grows again.
	RaiseInterval time.Duration
	// ProbeAfter is the time without use after which a connection is probed.
	ProbeAfter   time.Duration
	ProbeTimeout time.Duration
	// IdleTimeout closes spare connections that have not been used for that long.
	IdleTimeout time.Duration
	// MaxStatements bounds the prepared statements of a connection.
	MaxStatements int
}

// DefaultOptions returns the defaults.
func DefaultOptions() Options {
	return Options{
		Backend:       backend.DefaultOptions(),
		Spare:         2,
		Reserve:       1,
		MaxOpening:    4,
		RetryMin:      50 * time.Millisecond,
		RetryMax:      2 * time.Second,
		RaiseInterval: time.Second,
		ProbeAfter:    2 * time.Second,
		ProbeTimeout:  500 * time.Millisecond,
		IdleTimeout:   30 * time.Second,
		MaxStatements: 200,
	}
}

// adminConnections is the number of the server's connections that the home
// keeps for administrative steps.
const adminConnections = 1

// Limit returns how many connections work may use of a server's maximum.
func (o Options) Limit(maxConnections int) int {
	return max(1, maxConnections-adminConnections-o.Reserve)
}

// ClosedError reports a pool that has been closed.
type ClosedError struct{ Addr string }

func (e *ClosedError) Error() string {
	return fmt.Sprintf("pool of backend server %s is closed", e.Addr)
}

// Pool is safe for concurrent use.
type Pool struct {
	options  Options
	addr     string
	database string
	log      hclog.Logger
	changed  func() // tells that Live or Down may have changed; called without locks

	ctx  context.Context
	stop context.CancelFunc
	wake chan struct{}
	done sync.WaitGroup

	mu        sync.Mutex // guards the fields below
	limit     int        // by the server's size
	lowered   int        // limit found by refusals; at most limit
	raiseAt   time.Time
	minimum   int
	used      int // in use, as the queue counts
	wanted    int // further ones that waiting work could use
	idle      []*Conn
	live      int // open: idle, in use or being probed
	opening   int
	parallel  int // connections that may be opened at the same time
	retryAt   time.Time
	retry     *backoff.ExponentialBackOff
	lastError error
	available chan struct{} // closed when a connection becomes idle
	closed    bool
	stats     Stats
}

// Stats counts what a pool has done.
type Stats struct {
	Opened      uint64 `json:"opened"`
	Refused     uint64 `json:"refused"`
	Broken      uint64 `json:"broken"`
	ProbeFailed uint64 `json:"probeFailed"`
	Closed      uint64 `json:"closed"`
}

// New returns a pool for a server that is not started yet. minimum is the number
// of connections that are opened at start.
func New(options Options, addr, database string, limit, minimum int, changed func(), log hclog.Logger) *Pool {
	ctx, stop := context.WithCancel(context.Background())
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = options.RetryMin, options.RetryMax
	return &Pool{
		options: options, addr: addr, database: database, log: log, changed: changed,
		ctx: ctx, stop: stop, wake: make(chan struct{}, 1),
		limit: limit, lowered: limit, minimum: minimum, parallel: 1, retry: retry,
		available: make(chan struct{}),
	}
}

// Start begins to open connections.
func (p *Pool) Start() {
	p.done.Add(1)
	go p.run()
}

// Close closes idle connections now and those in use when they come back.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	p.live -= len(idle)
	p.signal()
	p.mu.Unlock()
	p.stop()
	for _, c := range idle {
		c.CloseGracefully()
	}
	p.done.Wait()
}

// SetLimit changes the bound on connections.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	p.lowered = limit
	p.limit = limit
	p.mu.Unlock()
	p.poke()
}

// Drain closes idle connections, and each other one when it comes back.
func (p *Pool) Drain() {
	p.mu.Lock()
	p.limit, p.lowered, p.minimum = 0, 0, 0
	p.mu.Unlock()
	p.poke()
}

// SetDemand tells how many connections are in use and how many more waiting work
// could use.
func (p *Pool) SetDemand(used, wanted int) {
	p.mu.Lock()
	p.used, p.wanted = used, wanted
	short := p.live+p.opening < p.target()
	p.mu.Unlock()
	if short {
		p.poke()
	}
}

// Live returns the number of open connections.
func (p *Pool) Live() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.live
}

// Down returns the last connect error and the time until the next attempt when
// the pool has no connection and the last attempt failed.
func (p *Pool) Down() (time.Duration, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.live > 0 || p.lastError == nil {
		return 0, nil
	}
	return max(0, time.Until(p.retryAt)), p.lastError
}

// Stats returns the pool's counters.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// Take returns an idle connection, if possible one with the given settings. It
// waits while there is none. Errors are *ClosedError and the context's.
func (p *Pool) Take(ctx context.Context, settings string) (*Conn, error) {
	for {
		c, wait, err := p.tryTake(settings)
		if c != nil || err != nil {
			return c, err
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// TryTake returns an idle connection, or nil when there is none. Errors are
// *ClosedError.
func (p *Pool) TryTake(settings string) (*Conn, error) {
	c, _, err := p.tryTake(settings)
	return c, err
}

func (p *Pool) tryTake(settings string) (*Conn, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, &ClosedError{Addr: p.addr}
	}
	last := len(p.idle) - 1
	if last < 0 {
		return nil, p.available, nil
	}
	at := last
	for i := last; i >= 0; i-- {
		if p.idle[i].settings == settings {
			at = i
			break
		}
	}
	c := p.idle[at]
	p.idle = append(p.idle[:at], p.idle[at+1:]...)
	c.lastWork = time.Now()
	return c, nil, nil
}

// Put gives a connection back. It must have no answer outstanding and no open
// transaction.
func (p *Pool) Put(c *Conn) {
	p.mu.Lock()
	if p.closed || p.live > p.lowered {
		p.live--
		p.stats.Closed++
		p.mu.Unlock()
		c.CloseGracefully()
		p.changed()
		return
	}
	p.idle = append(p.idle, c)
	p.signal()
	p.mu.Unlock()
}

// Discard closes a connection whose state is not certain.
func (p *Pool) Discard(c *Conn) {
	c.Close()
	p.mu.Lock()
	p.live--
	p.stats.Broken++
	p.mu.Unlock()
	p.poke()
	p.changed()
}

// Suspect has every idle connection probed at once, after one to the same server
// went silent.
func (p *Pool) Suspect() {
	p.mu.Lock()
	for _, c := range p.idle {
		c.answered = time.Time{}
	}
	p.mu.Unlock()
	p.poke()
}

// signal wakes those that wait in Take. The caller holds mu.
func (p *Pool) signal() {
	close(p.available)
	p.available = make(chan struct{})
}

// poke wakes the maintenance goroutine.
func (p *Pool) poke() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// target returns how many connections should be open. The caller holds mu.
func (p *Pool) target() int {
	return min(p.lowered, max(p.minimum, p.used+p.wanted+p.options.Spare))
}

// maintenanceInterval is the time between two rounds of upkeep.
const maintenanceInterval = 250 * time.Millisecond

func (p *Pool) run() {
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
		p.maintain()
		timer.Reset(p.pause())
	}
}

// pause returns the time until the next round.
func (p *Pool) pause() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	wait := time.Until(p.retryAt)
	if p.live+p.opening < p.target() && wait > 0 && wait < maintenanceInterval {
		return wait
	}
	return maintenanceInterval
}

func (p *Pool) maintain() {
	now := time.Now()
	p.mu.Lock()
	if p.lowered < p.limit && now.After(p.raiseAt) {
		p.lowered++
		p.raiseAt = now.Add(p.options.RaiseInterval)
	}
	open := p.startOpening(now)
	probe := p.takeForProbe(now)
	surplus := p.takeSurplus(now)
	p.mu.Unlock()
	for range open {
		p.done.Add(1)
		go p.open()
	}
	for _, c := range probe {
		p.done.Add(1)
		go p.probe(c)
	}
	for _, c := range surplus {
		c.CloseGracefully()
	}
	if len(surplus) > 0 {
		p.changed()
	}
}

// startOpening returns how many connections to open now. The caller holds mu.
func (p *Pool) startOpening(now time.Time) int {
	if p.closed || now.Before(p.retryAt) {
		return 0
	}
	n := min(p.target()-p.live-p.opening, p.parallel-p.opening)
	if n <= 0 {
		return 0
	}
	p.opening += n
	return n
}

func (p *Pool) open() {
	defer p.done.Done()
	c, err := backend.Connect(p.ctx, p.options.Backend, p.addr, p.database)
	p.mu.Lock()
	p.opening--
	if err != nil {
		p.connectFailed(err)
		p.mu.Unlock()
		p.changed()
		return
	}
	if p.closed {
		p.mu.Unlock()
		c.Close()
		return
	}
	p.opened(c)
	p.mu.Unlock()
	p.changed()
	p.poke()
}

// opened takes in a new connection. The caller holds mu.
func (p *Pool) opened(c *backend.Conn) {
	p.lastError = nil
	p.retry.Reset()
	p.parallel = min(p.parallel*2, p.options.MaxOpening)
	p.live++
	p.stats.Opened++
	p.idle = append(p.idle, newConn(c, p.options.MaxStatements))
	p.signal()
}

// connectFailed plans the next attempt. The caller holds mu.
func (p *Pool) connectFailed(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	now := time.Now()
	p.lastError = err
	p.parallel = 1
	p.retryAt = now.Add(p.retry.NextBackOff())
	p.stats.Refused++
	if backend.CauseOf(err) == backend.CauseTooManyConnections {
		p.lowered = max(1, min(p.lowered, p.live))
		p.raiseAt = now.Add(p.options.RaiseInterval)
	}
	p.log.Warn("backend_connect_failed", "addr", p.addr, "cause", backend.CauseOf(err), "error", err)
}

// takeForProbe takes idle connections that have not been used for a while out of
// the pool. The caller holds mu.
func (p *Pool) takeForProbe(now time.Time) []*Conn {
	var due []*Conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Sub(c.answered) > p.options.ProbeAfter {
			due = append(due, c)
		} else {
			kept = append(kept, c)
		}
	}
	p.idle = kept
	return due
}

// probe puts a connection back when it answers.
func (p *Pool) probe(c *Conn) {
	defer p.done.Done()
	if err := c.Probe(time.Now().Add(p.options.ProbeTimeout)); err != nil {
		p.log.Warn("backend_connection_silent", "addr", p.addr, "cause", backend.CauseOf(err))
		p.mu.Lock()
		p.stats.ProbeFailed++
		p.mu.Unlock()
		p.Discard(c)
		return
	}
	c.Answered()
	p.Put(c)
}

// takeSurplus takes idle connections that are no longer needed. The caller holds mu.
func (p *Pool) takeSurplus(now time.Time) []*Conn {
	var surplus []*Conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		over := p.live > p.lowered || p.live > p.target() && now.Sub(c.lastWork) > p.options.IdleTimeout
		if !over {
			kept = append(kept, c)
			continue
		}
		surplus = append(surplus, c)
		p.live--
		p.stats.Closed++
	}
	p.idle = kept
	return surplus
}
