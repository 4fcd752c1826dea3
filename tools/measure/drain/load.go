package drain

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"egretroad/internal/outcome"
	"egretroad/tools/measure/fleet"
	"egretroad/tools/measure/report"
)

// Parameters of the load, and SQLSTATEs that tell a caller to reconnect.
const (
	keyPrefix      = "drain-"
	requestTimeout = 40 * time.Second
	reconnectDelay = 20 * time.Millisecond
	codeShutdown   = "57P01" // admin_shutdown
	codeStarting   = "57P03" // cannot_connect_now
)

// load runs the callers and counts the outcomes of their requests.
type load struct {
	fleet   *fleet.Fleet
	seed    uint64
	cancel  context.CancelFunc
	callers sync.WaitGroup

	answered    atomic.Int64
	reconnected atomic.Int64 // resent requests after the caller was told to reconnect
	refused     atomic.Int64 // reported as not run
	interrupted atomic.Int64 // unknown outcome, or the connection broke without an error message
	failed      atomic.Int64 // an error of the backend server, such as a duplicate key

	mu       sync.Mutex          // guards the fields below
	acked    map[string][]string // acknowledged keys by database
	firstErr error               // the first outcome that violates a bound
}

func newLoad(f *fleet.Fleet, seed uint64) *load {
	return &load{fleet: f, seed: seed, acked: map[string][]string{}}
}

// start starts all callers.
func (l *load) start(ctx context.Context) {
	ctx, l.cancel = context.WithCancel(ctx)
	for i := range callers {
		c := &caller{load: l, number: i, rng: rand.New(rand.NewPCG(l.seed, uint64(i)))}
		databases := l.fleet.Databases()
		c.database = databases[i%len(databases)]
		l.callers.Add(1)
		go func() {
			defer l.callers.Done()
			c.run(ctx)
		}()
	}
}

// stop stops the callers after their current requests and waits for them.
func (l *load) stop() {
	l.cancel()
	l.callers.Wait()
}

func (l *load) summary() string {
	return fmt.Sprintf("answered %d, moved %d, refused %d, cut %d, failed %d, first error: %v",
		l.answered.Load(), l.reconnected.Load(), l.refused.Load(), l.interrupted.Load(), l.failed.Load(), l.firstFailure())
}

func (l *load) firstFailure() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.firstErr
}

func (l *load) report(r *report.Report) {
	r.Set("callers", callers)
	r.Set("answered", float64(l.answered.Load()))
	r.Set("moved", float64(l.reconnected.Load()))
	r.AtLeast("restarts", float64(len(l.fleet.Proxies)), 2)
	r.Exactly("cut", float64(l.interrupted.Load()), 0)
	r.Exactly("refused", float64(l.refused.Load()), 0)
	r.Exactly("failed", float64(l.failed.Load()), 0)
}

func (l *load) acknowledgedKeys(database string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.acked[database]
}

// isLoadKey reports whether the load wrote a key.
func (l *load) isLoadKey(key string) bool { return strings.HasPrefix(key, keyPrefix) }

// caller issues one request at a time, in a closed loop.
type caller struct {
	load     *load
	number   int
	database string
	rng      *rand.Rand
	conn     *pgx.Conn
	requests int
}

func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.request()
	}
	c.disconnect()
}

// request runs one request to completion. It moves to another proxy whenever the caller
// is told to reconnect.
func (c *caller) request() {
	c.requests++
	key := fmt.Sprintf("%s%d-%d", keyPrefix, c.number, c.requests)
	operation := c.rng.IntN(3)
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if !c.connect(ctx) {
			continue
		}
		err := c.send(ctx, operation, key)
		if err == nil {
			c.recordAnswer(operation, key)
			return
		}
		if !c.mustReconnect(err) {
			c.recordFailure(err)
			return
		}
		c.load.reconnected.Add(1)
		c.disconnect()
	}
	c.recordFailure(ctx.Err())
}

// connect opens a connection to a random proxy unless the caller has one. On failure it
// waits for reconnectDelay and returns false.
func (c *caller) connect(ctx context.Context) bool {
	if c.conn != nil && !c.conn.IsClosed() {
		return true
	}
	p := c.load.fleet.Proxies[c.rng.IntN(len(c.load.fleet.Proxies))]
	conn, err := pgx.Connect(ctx, p.DSN(c.database, ""))
	if err != nil {
		sleep(ctx, reconnectDelay)
		return false
	}
	c.conn = conn
	return true
}

func (c *caller) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close(context.Background()) // close errors do not matter
		c.conn = nil
	}
}

// send runs a single write (operation 0), a write in a transaction (1) or a read (2).
func (c *caller) send(ctx context.Context, operation int, key string) error {
	const insert = "INSERT INTO kv (key, value) VALUES ($1, $2)"
	switch operation {
	case 0:
		_, err := c.conn.Exec(ctx, insert, key, key)
		return err
	case 1:
		return pgx.BeginFunc(ctx, c.conn, func(tx pgx.Tx) error {
			_, err := tx.Exec(ctx, insert, key, key)
			return err
		})
	}
	var value string
	err := c.conn.QueryRow(ctx, "SELECT value FROM kv WHERE key = $1", key).Scan(&value)
	if errors.Is(err, pgx.ErrNoRows) {
		return nil
	}
	return err
}

func (c *caller) mustReconnect(err error) bool {
	var pgErr *pgconn.PgError
	return errors.As(err, &pgErr) && (pgErr.Code == codeShutdown || pgErr.Code == codeStarting)
}

func (c *caller) recordAnswer(operation int, key string) {
	l := c.load
	l.answered.Add(1)
	if operation == 2 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acked[c.database] = append(l.acked[c.database], key)
}

// recordFailure counts an outcome other than an answer.
func (c *caller) recordFailure(err error) {
	l := c.load
	var pgErr *pgconn.PgError
	switch {
	case !errors.As(err, &pgErr), pgErr.Code == outcome.CodeUnknown:
		l.interrupted.Add(1)
		c.disconnect()
	case pgErr.Code == outcome.CodeNotRun:
		l.refused.Add(1)
	default:
		l.failed.Add(1)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.firstErr == nil {
		l.firstErr = err
	}
}
