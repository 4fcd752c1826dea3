package broker

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cespare/xxhash/v2"

	"egretroad/internal/clock"
	"egretroad/internal/statement"
)

// Bounds on opening connections.
const (
	// maxOpening bounds the connections opened at the same time: each takes a slot
	// of the server for a while.
	maxOpening = 2
	// spareConnections are kept open beyond those in use, so that a transaction
	// that begins does not wait for one.
	spareConnections = 1
	// retryFirst and retryMax bound the wait after a connection was not to be had: a
	// refusal costs a server little, and a dead home's connections count for seconds.
	retryFirst = 50 * time.Millisecond
	retryMax   = 200 * time.Millisecond
	// raiseInterval is the time between steps by which a limit lowered by the
	// server's refusal rises again: from one to half of 16 within the three seconds
	// that a dead home's connections count.
	raiseInterval = 200 * time.Millisecond
	// maxPrepared bounds the prepared statements of a connection.
	maxPrepared = 200
)

// pooled is a connection with what the server remembers for it.
type pooled struct {
	Conn
	settings map[string]string
	prepared map[string]bool
}

// connections are the connections for work to one server.
type connections struct {
	s *server

	mu       sync.Mutex // guards the fields below
	limit    int        // by the snapshot
	lowered  int        // by refusals of the server; at most limit
	raiseAt  time.Duration
	used     int // as the queue counts
	wanted   int
	open     int // idle or in use
	opening  int
	idle     []*pooled
	retryAt  time.Duration
	retry    *backoff.ExponentialBackOff
	failure  error // of the last attempt
	arrived  chan struct{}
	finished bool
}

func newConnections(s *server) *connections {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = retryFirst, retryMax
	return &connections{s: s, retry: retry, arrived: make(chan struct{})}
}

func (c *connections) setLimit(limit int) {
	c.mu.Lock()
	c.limit, c.lowered = limit, limit
	c.mu.Unlock()
	c.maintain()
}

// demand tells how many connections are in use and how many more waiting work
// could use. The caller may hold the gate's mutex.
func (c *connections) demand(used, wanted int) {
	c.mu.Lock()
	c.used, c.wanted = used, wanted
	n := c.toOpen()
	c.mu.Unlock()
	c.start(n)
}

// toOpen counts the connections to open now as opening. The caller holds mu.
func (c *connections) toOpen() int {
	if c.finished || clock.Boottime() < c.retryAt {
		return 0
	}
	target := min(c.lowered, c.used+c.wanted+spareConnections)
	n := max(0, min(target-c.open-c.opening, maxOpening-c.opening))
	c.opening += n
	return n
}

func (c *connections) start(n int) {
	for range n {
		go c.openOne()
	}
}

func (c *connections) openOne() {
	asked := clock.Boottime()
	ctx, cancel := context.WithTimeout(c.s.ctx, c.s.options.ConnectTimeout)
	conn, err := c.s.connector.Connect(ctx, c.s.database, c.s.spec)
	cancel()
	c.s.note(asked, err)
	c.s.meters.connected(err)
	c.mu.Lock()
	c.opening--
	if err != nil {
		c.failed(err)
	} else if c.finished {
		conn.Close()
	} else {
		c.open++
		c.failure = nil
		c.retry.Reset()
		c.idle = append(c.idle, &pooled{Conn: conn, settings: map[string]string{}, prepared: map[string]bool{}})
		c.signal()
	}
	c.mu.Unlock()
	c.changed()
}

// failed plans the next attempt. The caller holds mu.
func (c *connections) failed(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	now := clock.Boottime()
	c.failure = err
	c.retryAt = now + c.retry.NextBackOff()
	if connectCode(err) == statement.TooManyConnections {
		c.lowered = max(1, min(c.lowered, c.open))
		c.raiseAt = now + raiseInterval
	}
	c.s.log.Warn("connect_failed", "open", c.open, "limit", c.lowered, "error", err)
}

// changed tells the server what there is.
func (c *connections) changed() {
	c.mu.Lock()
	open := c.open
	c.mu.Unlock()
	c.s.connectionsChanged(open, c.down())
	c.maintain()
}

// down returns why no connection is to be had; nil while there is one.
func (c *connections) down() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open > 0 {
		return nil
	}
	return c.failure
}

// maintain opens connections that are due and closes surplus ones.
func (c *connections) maintain() {
	c.mu.Lock()
	now := clock.Boottime()
	if c.lowered < c.limit && now > c.raiseAt {
		c.lowered++
		c.raiseAt = now + raiseInterval
	}
	n := c.toOpen()
	var surplus []*pooled
	for c.open > c.lowered && len(c.idle) > 0 {
		surplus = append(surplus, c.idle[0])
		c.idle = c.idle[1:]
		c.open--
	}
	open := c.open
	c.mu.Unlock()
	c.start(n)
	for _, p := range surplus {
		p.Close()
	}
	if len(surplus) > 0 {
		c.s.connectionsChanged(open, nil)
	}
}

// signal wakes those that wait in take. The caller holds mu.
func (c *connections) signal() {
	close(c.arrived)
	c.arrived = make(chan struct{})
}

// take returns an idle connection, if possible one that has the settings, and
// waits while there is none. One that the server has closed is passed over.
func (c *connections) take(ctx context.Context, settings []statement.Setting) (*pooled, error) {
	for {
		c.mu.Lock()
		p := c.pick(settings)
		wait := c.arrived
		c.mu.Unlock()
		if p == nil {
			select {
			case <-wait:
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

// pick takes the last used idle connection whose values need no reset. The
// caller holds mu.
func (c *connections) pick(settings []statement.Setting) *pooled {
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

// put gives a connection back that has no transaction and no answer outstanding.
func (c *connections) put(p *pooled) {
	c.mu.Lock()
	if c.finished || c.open > c.lowered {
		c.open--
		c.mu.Unlock()
		p.Close()
		c.changed()
		return
	}
	c.idle = append(c.idle, p)
	c.signal()
	c.mu.Unlock()
}

// discard closes a connection whose state is not certain.
func (c *connections) discard(p *pooled) {
	p.Close()
	c.mu.Lock()
	c.open--
	c.mu.Unlock()
	c.changed()
}

func (c *connections) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finished = true
	for _, p := range c.idle {
		p.Close()
	}
	c.open -= len(c.idle)
	c.idle = nil
}

// needsReset reports whether the connection has values that the session lacks.
func (p *pooled) needsReset(settings []statement.Setting) bool {
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

// adapt returns the statements that give the connection a session's values and
// the prepared statement, and notes them as done.
func (p *pooled) adapt(r Request) []statement.Command {
	var commands []statement.Command
	if p.needsReset(r.Settings) || len(p.prepared) >= maxPrepared {
		commands = append(commands, own(statement.Reset))
		clear(p.settings)
		clear(p.prepared)
	}
	for _, s := range r.Settings {
		if value, set := p.settings[s.Name]; set && value == s.Value {
			continue
		}
		p.settings[s.Name] = s.Value
		c := own(statement.Set)
		c.Name, c.Value = s.Name, s.Value
		commands = append(commands, c)
	}
	if r.Prepared == nil {
		return commands
	}
	name := preparedName(*r.Prepared)
	if !p.prepared[name] {
		p.prepared[name] = true
		c := own(statement.Prepare)
		c.Name, c.Value, c.Writes = name, r.Prepared.Shape, r.Prepared.Writes
		commands = append(commands, c)
	}
	return commands
}

// preparedName names a prepared statement by what it does, so that sessions can
// share it.
func preparedName(p statement.Prepared) string {
	access := "r"
	if p.Writes {
		access = "w"
	}
	return strings.Join([]string{"e", access, strconv.FormatUint(xxhash.Sum64String(p.Shape), 36)}, "")
}
