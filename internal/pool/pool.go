// Package pool implements the connection pool of one backend server. A Pool opens
// connections ahead of demand, a few at a time, and stays within the server's connection
// limit. It probes idle connections, replaces broken ones and backs off after failed
// connects. It does not schedule requests; package admission does.
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

// Options holds a pool's parameters.
type Options struct {
	Backend backend.Options
	// Spare is the number of idle connections kept in addition to those in use.
	Spare int
	// ReservedConnections is the number of the server's connections that stay unused,
	// not counting the admin connection.
	ReservedConnections int
	// MaxOpening limits the number of connections that are opened concurrently.
	MaxOpening int
	// RetryMin and RetryMax bound the back-off after a failed connect.
	RetryMin time.Duration
	RetryMax time.Duration
	// RaiseInterval is the time between increments of the pool's limit after the server
	// refused a connection because of its own limit.
	RaiseInterval time.Duration
	// ProbeIdleTime is the time since the last answer after which an idle connection is
	// probed.
	ProbeIdleTime time.Duration
	ProbeTimeout  time.Duration
	// IdleTimeout is the time without use after which a surplus connection is closed.
	IdleTimeout time.Duration
	// MaxStatements limits the number of prepared statements of a connection.
	MaxStatements int
}

// DefaultOptions returns the default parameters.
func DefaultOptions() Options {
	return Options{
		Backend:             backend.DefaultOptions(),
		Spare:               2,
		ReservedConnections: 1,
		MaxOpening:          4,
		RetryMin:            50 * time.Millisecond,
		RetryMax:            2 * time.Second,
		RaiseInterval:       time.Second,
		ProbeIdleTime:       2 * time.Second,
		ProbeTimeout:        500 * time.Millisecond,
		IdleTimeout:         30 * time.Second,
		MaxStatements:       200,
	}
}

// adminConnections is the number of the server's connections that its home uses for
// administrative requests, outside the pool.
const adminConnections = 1

// Limit returns how many of a server's maximum connections the pool may use.
func (o Options) Limit(maxConnections int) int {
	return max(1, maxConnections-adminConnections-o.ReservedConnections)
}

// ClosedError is returned by operations on a closed pool.
type ClosedError struct{ Addr string }

func (e *ClosedError) Error() string {
	return fmt.Sprintf("pool of backend server %s is closed", e.Addr)
}

// Pool is the connection pool of one backend server. It is safe for concurrent use.
type Pool struct {
	options  Options
	addr     string
	database string
	log      hclog.Logger
	onChange func() // called without locks when Live or Down may have changed

	ctx        context.Context
	cancel     context.CancelFunc
	wake       chan struct{}
	goroutines sync.WaitGroup

	mu                sync.Mutex // guards the fields below
	limit             int        // configured limit
	currentLimit      int        // adaptive limit, lowered when the server refuses connections; at most limit
	nextRaise         time.Time
	minConnections    int
	usedConnections   int // as reported by SetDemand
	wantedConnections int // further connections that queued work could use
	idle              []*Conn
	live              int // open: idle, in use or being probed
	opening           int
	maxOpening        int // concurrent connects currently allowed
	nextRetry         time.Time
	retryBackoff      *backoff.ExponentialBackOff
	lastConnectError  error
	available         chan struct{} // closed when a connection becomes idle
	closed            bool
	stats             Stats
}

// Stats holds a pool's counters of connections. Refused counts all failed connects;
// Broken counts discarded connections, including those whose probe failed.
type Stats struct {
	Opened      uint64 `json:"opened"`
	Refused     uint64 `json:"refused"`
	Broken      uint64 `json:"broken"`
	ProbeFailed uint64 `json:"probeFailed"`
	Closed      uint64 `json:"closed"`
}

// New returns a pool for a server. The pool opens no connections until Start, and then
// keeps at least minConnections open, within limit.
func New(options Options, addr, database string, limit, minConnections int, onChange func(), log hclog.Logger) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = options.RetryMin, options.RetryMax
	return &Pool{
		options: options, addr: addr, database: database, log: log, onChange: onChange,
		ctx: ctx, cancel: cancel, wake: make(chan struct{}, 1),
		limit: limit, currentLimit: limit, minConnections: minConnections, maxOpening: 1, retryBackoff: retry,
		available: make(chan struct{}),
	}
}

// Start starts opening connections in the background.
func (p *Pool) Start() {
	p.goroutines.Add(1)
	go p.run()
}

// Close closes idle connections immediately and those in use when they are put back.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	p.live -= len(idle)
	p.notifyWaiters()
	p.mu.Unlock()
	p.cancel()
	for _, c := range idle {
		c.CloseGracefully()
	}
	p.goroutines.Wait()
}

// SetLimit changes the maximum number of connections.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	p.currentLimit = limit
	p.limit = limit
	p.mu.Unlock()
	p.wakeMaintenance()
}

// Drain closes idle connections, and those in use when they are put back. The pool
// opens no more connections.
func (p *Pool) Drain() {
	p.mu.Lock()
	p.limit, p.currentLimit, p.minConnections = 0, 0, 0
	p.mu.Unlock()
	p.wakeMaintenance()
}

// SetDemand sets how many connections are in use and how many more queued work could
// use.
func (p *Pool) SetDemand(used, wanted int) {
	p.mu.Lock()
	p.usedConnections, p.wantedConnections = used, wanted
	short := p.live+p.opening < p.targetConnections()
	p.mu.Unlock()
	if short {
		p.wakeMaintenance()
	}
}

// Live returns the number of open connections.
func (p *Pool) Live() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.live
}

// Down returns the time until the next connect attempt and the last connect error if
// the pool has no connection and the last attempt failed, and otherwise a nil error.
func (p *Pool) Down() (time.Duration, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.live > 0 || p.lastConnectError == nil {
		return 0, nil
	}
	return max(0, time.Until(p.nextRetry)), p.lastConnectError
}

// Stats returns the pool's counters.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// Take returns an idle connection, preferably one with the given settings. It blocks
// until a connection is idle. Errors are *ClosedError and ctx.Err().
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

// TryTake returns an idle connection, preferably one with the given settings, or nil if
// none is idle. Errors are *ClosedError.
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
	c.lastUse = time.Now()
	return c, nil, nil
}

// Put returns a connection to the pool. It must have no outstanding answers and no open
// transaction.
func (p *Pool) Put(c *Conn) {
	p.mu.Lock()
	if p.closed || p.live > p.currentLimit {
		p.live--
		p.stats.Closed++
		p.mu.Unlock()
		c.CloseGracefully()
		p.onChange()
		return
	}
	p.idle = append(p.idle, c)
	p.notifyWaiters()
	p.mu.Unlock()
}

// Discard closes a connection that is broken or in an unknown state.
func (p *Pool) Discard(c *Conn) {
	c.Close()
	p.mu.Lock()
	p.live--
	p.stats.Broken++
	p.mu.Unlock()
	p.wakeMaintenance()
	p.onChange()
}

// Suspect requests an immediate probe of every idle connection, after another connection
// to the server has gone silent.
func (p *Pool) Suspect() {
	p.mu.Lock()
	for _, c := range p.idle {
		c.lastAnswer = time.Time{}
	}
	p.mu.Unlock()
	p.wakeMaintenance()
}

// notifyWaiters wakes the goroutines blocked in Take. The caller must hold mu.
func (p *Pool) notifyWaiters() {
	close(p.available)
	p.available = make(chan struct{})
}

// wakeMaintenance wakes the maintenance goroutine.
func (p *Pool) wakeMaintenance() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// targetConnections returns how many connections should be open. The caller must hold
// mu.
func (p *Pool) targetConnections() int {
	return min(p.currentLimit, max(p.minConnections, p.usedConnections+p.wantedConnections+p.options.Spare))
}

// maintenanceInterval is the time between two rounds of maintenance.
const maintenanceInterval = 250 * time.Millisecond

func (p *Pool) run() {
	defer p.goroutines.Done()
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
		timer.Reset(p.nextInterval())
	}
}

// nextInterval returns the time until the next round of maintenance.
func (p *Pool) nextInterval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	wait := time.Until(p.nextRetry)
	if p.live+p.opening < p.targetConnections() && wait > 0 && wait < maintenanceInterval {
		return wait
	}
	return maintenanceInterval
}

func (p *Pool) maintain() {
	now := time.Now()
	p.mu.Lock()
	if p.currentLimit < p.limit && now.After(p.nextRaise) {
		p.currentLimit++
		p.nextRaise = now.Add(p.options.RaiseInterval)
	}
	toOpen := p.reserveOpening(now)
	toProbe := p.removeForProbe(now)
	surplus := p.removeSurplus(now)
	p.mu.Unlock()
	for range toOpen {
		p.goroutines.Add(1)
		go p.connect()
	}
	for _, c := range toProbe {
		p.goroutines.Add(1)
		go p.probe(c)
	}
	for _, c := range surplus {
		c.CloseGracefully()
	}
	if len(surplus) > 0 {
		p.onChange()
	}
}

// reserveOpening returns how many connections to open now and counts them as opening.
// The caller must hold mu.
func (p *Pool) reserveOpening(now time.Time) int {
	if p.closed || now.Before(p.nextRetry) {
		return 0
	}
	n := min(p.targetConnections()-p.live-p.opening, p.maxOpening-p.opening)
	if n <= 0 {
		return 0
	}
	p.opening += n
	return n
}

func (p *Pool) connect() {
	defer p.goroutines.Done()
	c, err := backend.Connect(p.ctx, p.options.Backend, p.addr, p.database)
	p.mu.Lock()
	p.opening--
	if err != nil {
		p.connectFailed(err)
		p.mu.Unlock()
		p.onChange()
		return
	}
	if p.closed {
		p.mu.Unlock()
		c.Close()
		return
	}
	p.connected(c)
	p.mu.Unlock()
	p.onChange()
	p.wakeMaintenance()
}

// connected adds a new connection to the pool. The caller must hold mu.
func (p *Pool) connected(c *backend.Conn) {
	p.lastConnectError = nil
	p.retryBackoff.Reset()
	p.maxOpening = min(p.maxOpening*2, p.options.MaxOpening)
	p.live++
	p.stats.Opened++
	p.idle = append(p.idle, newConn(c, p.options.MaxStatements))
	p.notifyWaiters()
}

// connectFailed schedules the next attempt after a failed connect, and lowers the
// pool's limit if the server has too many connections. The caller must hold mu.
func (p *Pool) connectFailed(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	now := time.Now()
	p.lastConnectError = err
	p.maxOpening = 1
	p.nextRetry = now.Add(p.retryBackoff.NextBackOff())
	p.stats.Refused++
	if backend.CauseOf(err) == backend.CauseTooManyConnections {
		p.currentLimit = max(1, min(p.currentLimit, p.live))
		p.nextRaise = now.Add(p.options.RaiseInterval)
	}
	p.log.Warn("backend_connect_failed", "addr", p.addr, "cause", backend.CauseOf(err), "error", err)
}

// removeForProbe removes the idle connections that are due for a probe from the pool.
// The caller must hold mu.
func (p *Pool) removeForProbe(now time.Time) []*Conn {
	var due []*Conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Sub(c.lastAnswer) > p.options.ProbeIdleTime {
			due = append(due, c)
		} else {
			kept = append(kept, c)
		}
	}
	p.idle = kept
	return due
}

// probe sends a probe on a connection, and puts it back if the server answers.
func (p *Pool) probe(c *Conn) {
	defer p.goroutines.Done()
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

// removeSurplus removes the idle connections that exceed the limit, or exceed the target
// and have not been used for IdleTimeout. The caller must hold mu.
func (p *Pool) removeSurplus(now time.Time) []*Conn {
	var surplus []*Conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		remove := p.live > p.currentLimit || p.live > p.targetConnections() && now.Sub(c.lastUse) > p.options.IdleTimeout
		if !remove {
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
