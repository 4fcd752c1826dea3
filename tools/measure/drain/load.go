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

const (
	keyPrefix      = "drain-"
	requestTimeout = 40 * time.Second
	reconnectDelay = 20 * time.Millisecond
	codeShutdown   = "57P01"
	codeStarting   = "57P03"
)

// load is the callers' work and what came of it.
type load struct {
	fleet   *fleet.Fleet
	seed    uint64
	cancel  context.CancelFunc
	callers sync.WaitGroup

	answered    atomic.Int64
	reconnected atomic.Int64 // requests sent again after the caller was told to reconnect
	refused     atomic.Int64 // not run
	interrupted atomic.Int64 // unknown, or the connection broke without a word
	failed      atomic.Int64 // a server's own error, such as a duplicate key

	mu       sync.Mutex          // guards the fields below
	acked    map[string][]string // acknowledged keys by database
	firstErr error               // the first outcome that counts against the bounds
}

func newLoad(f *fleet.Fleet, seed uint64) *load {
	return &load{fleet: f, seed: seed, acked: map[string][]string{}}
}

// start begins the work of all callers.
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

// stop lets each caller end its request.
func (l *load) stop() {
	l.cancel()
	l.callers.Wait()
}

func (l *load) summary() string {
	return fmt.Sprintf("answered %d, moved %d, refused %d, cut %d, failed %d, first: %v",
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

// owns reports whether a key was written by the load.
func (l *load) isLoadKey(key string) bool { return strings.HasPrefix(key, keyPrefix) }

// caller keeps one request in progress at a time.
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

// request runs one request to its end, over as many proxies as it takes.
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

// connect opens a connection to any proxy that takes one.
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
		_ = c.conn.Close(context.Background()) // the connection is of no use any more
		c.conn = nil
	}
}

// send runs a write, a transaction that writes, or a read.
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

// count records an outcome other than an answer.
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
