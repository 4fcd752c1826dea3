package broker

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"egretroad/internal/clock"
	"egretroad/internal/statement"
)

// Limits and delays of the connection pool.
const (
	// maxOpening bounds concurrent attempts to connect, because each occupies a slot of
	// the server for a while.
	maxOpening = 2
	// spareConnections are kept open beyond those in use, so that a new transaction
	// does not wait for a connection to open.
	spareConnections = 1
	// retryInitialDelay and retryMaxDelay bound the back-off after a failed attempt. They
	// are short because a refusal costs a server little, while the connections of a dead
	// home count against the server's limit for seconds.
	retryInitialDelay = 50 * time.Millisecond
	retryMaxDelay     = 200 * time.Millisecond
	// limitRaiseInterval is the time between increments of the effective limit after a
	// refusal by the server. The limit rises from 1 to 8, half of a server's 16
	// connections, within the three seconds for which the connections of a dead home
	// count against the server's limit.
	limitRaiseInterval = 200 * time.Millisecond
	// maxPrepared bounds the prepared statements of a connection.
	maxPrepared = 200
	// verifyInterval is the minimum interval between two verifications of the idle
	// connections, because statements that are merely slow cause them too.
	verifyInterval = time.Second
)

// pooledConn is a connection with its session state at the server.
type pooledConn struct {
	Conn
	settings  map[string]string
	prepared  map[string]bool
	idleSince time.Duration // when it became idle last, on CLOCK_BOOTTIME
}

// connPool is the pool of connections that run statements on one server.
type connPool struct {
	server *server

	mu             sync.Mutex    // guards the fields below
	limit          int           // from the snapshot
	spare          int           // connections to keep open beyond those in use
	idleTimeout    time.Duration // when idle connections are closed; 0: never
	effectiveLimit int           // limit lowered after refusals by the server; at most limit
	nextRaise      time.Duration
	inUse          int // by the admission queue's count
	wanted         int
	open           int      // idle or in use
	opening        []uint64 // attempts to connect, by number, in the order of their start
	attempts       uint64   // number of the last attempt to connect
	idle           []*pooledConn
	nextVerify     time.Duration
	nextAttempt    time.Duration
	backOff        *backoff.ExponentialBackOff
	awaitedAttempt uint64 // number of the last attempt at the first failure since a success; 0: none failed
	lastError      error  // once all attempts up to awaitedAttempt have failed, until a success
	available      chan struct{}
	closed         bool
}

func newConnPool(s *server) *connPool {
	backOff := backoff.NewExponentialBackOff()
	backOff.InitialInterval, backOff.MaxInterval = retryInitialDelay, retryMaxDelay
	return &connPool{server: s, backOff: backOff, available: make(chan struct{})}
}

// configure sets the limit of connections. A stand-in keeps no spare connections and
// closes idle ones soon, since they count against the limit of the server's home.
func (c *connPool) configure(limit int, home bool) {
	c.mu.Lock()
	c.limit, c.effectiveLimit = limit, limit
	c.spare, c.idleTimeout = spareConnections, 0
	if !home {
		c.spare, c.idleTimeout = 0, c.server.options.StandInConnIdleTimeout
	}
	c.mu.Unlock()
	c.maintain()
}

// setDemand sets the number of connections in use and the number that queued work could
// use in addition. The caller may hold the gate's mutex.
func (c *connPool) setDemand(used, wanted int) {
	c.mu.Lock()
	c.inUse, c.wanted = used, wanted
	attempts := c.reserveToOpen()
	c.mu.Unlock()
	c.openAsync(attempts)
}

// reserveToOpen returns the attempts to connect that are to start now and counts them as
// opening. The caller holds mu.
func (c *connPool) reserveToOpen() []uint64 {
	if c.closed || clock.Boottime() < c.nextAttempt {
		return nil
	}
	target := min(c.effectiveLimit, c.inUse+c.wanted+c.spare)
	opening := len(c.opening)
	for range min(target-c.open-opening, maxOpening-opening) {
		c.attempts++
		c.opening = append(c.opening, c.attempts)
	}
	return slices.Clone(c.opening[opening:])
}

func (c *connPool) openAsync(attempts []uint64) {
	for _, attempt := range attempts {
		go c.openOne(attempt)
	}
}

func (c *connPool) openOne(attempt uint64) {
	sentAt := clock.Boottime()
	ctx, cancel := context.WithTimeout(c.server.ctx, c.server.options.ConnectTimeout)
	conn, err := c.server.connector.Connect(ctx, c.server.database, c.server.spec)
	cancel()
	c.server.recordResponse(sentAt, err)
	c.server.metrics.observeConnect(err)
	c.mu.Lock()
	c.opening = slices.DeleteFunc(c.opening, func(other uint64) bool { return other == attempt })
	if err != nil {
		c.scheduleRetry(err)
	} else if c.closed {
		conn.Close()
	} else {
		c.open++
		c.awaitedAttempt, c.lastError = 0, nil
		c.backOff.Reset()
		c.effectiveLimit = min(c.effectiveLimit+1, c.limit)
		c.idle = append(c.idle, &pooledConn{
			Conn: conn, settings: map[string]string{}, prepared: map[string]bool{}, idleSince: clock.Boottime(),
		})
		c.wakeWaiters()
	}
	c.mu.Unlock()
	c.reportOpen()
}

// scheduleRetry sets the time of the next attempt and lowers the effective limit if the
// server refused the connection as one too many. The server counts as unavailable only
// once the attempts that were pending at the first failure have failed as well. The caller
// holds mu.
func (c *connPool) scheduleRetry(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	now := clock.Boottime()
	if c.awaitedAttempt == 0 {
		c.awaitedAttempt = c.attempts
	}
	if len(c.opening) == 0 || c.opening[0] > c.awaitedAttempt {
		c.lastError = err
	}
	c.nextAttempt = now + c.backOff.NextBackOff()
	if connectRefusalCode(err) == statement.TooManyConnections {
		c.effectiveLimit = max(1, min(c.effectiveLimit, c.open))
		c.nextRaise = now + limitRaiseInterval
	}
	c.server.log.Warn("connect_failed", "open", c.open, "limit", c.effectiveLimit, "error", err)
}

// reportOpen reports the number of open connections to the admission queue and opens
// more if needed.
func (c *connPool) reportOpen() {
	c.mu.Lock()
	open := c.open
	c.mu.Unlock()
	c.server.updateConnections(open, c.unavailableCause())
	c.maintain()
}

// size returns the number of open connections and their current limit.
func (c *connPool) size() (open, limit int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open, c.effectiveLimit
}

// isOpen reports whether a connection is open.
func (c *connPool) isOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open > 0
}

// unavailableCause returns the error of the last attempt to connect if no connection is
// open, otherwise nil.
func (c *connPool) unavailableCause() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open > 0 {
		return nil
	}
	return c.lastError
}

// maintain raises a lowered limit step by step, opens missing connections, and closes
// surplus ones and those that have been idle for too long.
func (c *connPool) maintain() {
	c.mu.Lock()
	now := clock.Boottime()
	if c.effectiveLimit < c.limit && now > c.nextRaise {
		c.effectiveLimit++
		c.nextRaise = now + limitRaiseInterval
	}
	attempts := c.reserveToOpen()
	var surplus []*pooledConn
	isSurplus := func(p *pooledConn) bool {
		return c.open > c.effectiveLimit || c.idleTimeout > 0 && now-p.idleSince > c.idleTimeout
	}
	for len(c.idle) > 0 && isSurplus(c.idle[0]) {
		surplus = append(surplus, c.idle[0])
		c.idle = c.idle[1:]
		c.open--
	}
	open := c.open
	c.mu.Unlock()
	c.openAsync(attempts)
	for _, p := range surplus {
		p.Close()
	}
	if len(surplus) > 0 {
		c.server.updateConnections(open, nil)
	}
}

// wakeWaiters wakes the goroutines that wait in acquire. The caller holds mu.
func (c *connPool) wakeWaiters() {
	close(c.available)
	c.available = make(chan struct{})
}

// acquire returns an idle connection, preferably one that needs no reset for the
// settings, and waits while there is none. It discards connections that the server has
// closed.
func (c *connPool) acquire(ctx context.Context, settings []statement.Setting) (*pooledConn, error) {
	for {
		c.mu.Lock()
		p := c.takeIdle(settings)
		available := c.available
		c.mu.Unlock()
		if p == nil {
			select {
			case <-available:
			case <-ctx.Done():
				return nil, ctx.Err()
			}
			continue
		}
		if p.Idle() {
			return p, nil
		}
		c.discard(p)
	}
}

// takeIdle removes and returns the most recently used idle connection that needs no
// reset for the settings, else the most recently used one, or nil. The caller holds mu.
func (c *connPool) takeIdle(settings []statement.Setting) *pooledConn {
	last := len(c.idle) - 1
	if last < 0 {
		return nil
	}
	at := last
	for i := last; i >= 0; i-- {
		if !c.idle[i].needsReset(settings) {
			at = i
			break
		}
	}
	p := c.idle[at]
	c.idle = append(c.idle[:at], c.idle[at+1:]...)
	return p
}

// release returns a connection to the pool. It must have no open transaction and no
// outstanding reply.
func (c *connPool) release(p *pooledConn) {
	c.mu.Lock()
	if c.closed || c.open > c.effectiveLimit {
		c.open--
		c.mu.Unlock()
		p.Close()
		c.reportOpen()
		return
	}
	p.idleSince = clock.Boottime()
	c.idle = append(c.idle, p)
	c.wakeWaiters()
	c.mu.Unlock()
}

// verifyIdle checks that the connections respond that have been idle since the given time,
// and closes the others: a statement that was sent then has no response, and connections
// that were open at that time may have gone silent together.
func (c *connPool) verifyIdle(since time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := clock.Boottime(); now >= c.nextVerify {
		c.nextVerify = now + verifyInterval
	} else {
		return
	}
	var kept []*pooledConn
	for _, p := range c.idle {
		if p.idleSince > since {
			kept = append(kept, p)
		} else {
			go c.verify(p)
		}
	}
	c.idle = kept
}

// verify sends a command that occupies no slot on a connection that was taken from the pool,
// and returns it if there is a response.
func (c *connPool) verify(p *pooledConn) {
	replies, err := p.Run(time.Now().Add(c.server.options.VerifyTimeout), proxyCommand(statement.Reset))
	if err != nil || !replies[0].OK() {
		c.server.log.Info("idle_connection_silent", "error", err)
		c.discard(p)
		return
	}
	clear(p.settings)
	clear(p.prepared)
	c.release(p)
}

// discard closes a connection whose state is unknown.
func (c *connPool) discard(p *pooledConn) {
	p.Close()
	c.mu.Lock()
	c.open--
	c.mu.Unlock()
	c.reportOpen()
}

func (c *connPool) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, p := range c.idle {
		p.Close()
	}
	c.open -= len(c.idle)
	c.idle = nil
}

// needsReset reports whether the connection has settings that the session lacks.
func (p *pooledConn) needsReset(settings []statement.Setting) bool {
	if len(p.settings) == 0 {
		return false
	}
	found := 0
	for _, s := range settings {
		if _, set := p.settings[s.Name]; set {
			found++
		}
	}
	return found < len(p.settings)
}

// sessionCommands returns the commands that apply the session's settings and the
// prepared statement to the connection, and records them as applied.
func (p *pooledConn) sessionCommands(r Request) []statement.Command {
	var commands []statement.Command
	if p.needsReset(r.Settings) || len(p.prepared) >= maxPrepared {
		commands = append(commands, proxyCommand(statement.Reset))
		clear(p.settings)
		clear(p.prepared)
	}
	for _, s := range r.Settings {
		if value, set := p.settings[s.Name]; set && value == s.Value {
			continue
		}
		p.settings[s.Name] = s.Value
		c := proxyCommand(statement.Set)
		c.Name, c.Value = s.Name, s.Value
		commands = append(commands, c)
	}
	if r.Prepared == nil {
		return commands
	}
	name := preparedName(*r.Prepared)
	if !p.prepared[name] {
		p.prepared[name] = true
		c := proxyCommand(statement.Prepare)
		c.Name, c.Value, c.Writes = name, r.Prepared.Text, r.Prepared.Writes
		commands = append(commands, c)
	}
	return commands
}

// preparedNameBytes is the length of the hash in the name of a prepared statement.
const preparedNameBytes = 16

// preparedName derives the name of a prepared statement from its text and access mode,
// so that sessions can share it. Callers choose the texts, so the hash must resist
// collisions.
func preparedName(p statement.Prepared) string {
	access := "r"
	if p.Writes {
		access = "w"
	}
	hash := sha256.Sum256([]byte(p.Text))
	return "e" + access + hex.EncodeToString(hash[:preparedNameBytes])
}
