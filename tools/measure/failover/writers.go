package failover

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"egretroad/internal/outcome"
	"egretroad/tools/measure/fleet"
)

// Pace of the writers. Writes arrive at a fixed rate, whether or not earlier
// ones have been answered, as those of independent callers do.
const (
	arrivalInterval = 40 * time.Millisecond // of each kind at each proxy
	maxOutstanding  = 400                   // writes waiting at each proxy
	writePause      = 5 * time.Millisecond  // between two looks at the writers
	writeDeadline   = 5 * time.Second       // of the write kinds of both deployments
	dialRetry       = 50 * time.Millisecond
)

// writers send inserts to one database through some proxies and note when each
// was acknowledged.
type writers struct {
	database string
	cancel   context.CancelFunc
	done     sync.WaitGroup

	mu      sync.Mutex // guards the fields below
	acks    []time.Time
	keys    []string // acknowledged
	failed  int
	unknown int
	reasons map[string]int // failed writes by error
}

// startWriters starts writers of a kind through the given proxies; an empty kind
// is the database's default.
func startWriters(ctx context.Context, proxies []*fleet.Proxy, database, kind string) *writers {
	ctx, cancel := context.WithCancel(ctx)
	w := &writers{database: database, cancel: cancel, reasons: map[string]int{}}
	for _, p := range proxies {
		w.done.Add(1)
		go w.arrive(ctx, p.DSN(database, kind), fmt.Sprintf("%s-%d", p.VM.ID, time.Now().UnixNano()))
	}
	return w
}

// arrive starts a write at each interval, each on a connection of its own or on
// one that an earlier write has left.
func (w *writers) arrive(ctx context.Context, dsn, prefix string) {
	defer w.done.Done()
	idle := make(chan *pgx.Conn, maxOutstanding)
	slots := make(chan struct{}, maxOutstanding)
	var writes sync.WaitGroup
	ticker := time.NewTicker(arrivalInterval)
	defer ticker.Stop()
	for i := 0; ctx.Err() == nil; i++ {
		select {
		case <-ctx.Done():
		case <-ticker.C:
			slots <- struct{}{}
			writes.Add(1)
			go func() {
				defer writes.Done()
				w.writeOnce(ctx, dsn, fmt.Sprintf("%s-%d", prefix, i), idle)
				<-slots
			}()
		}
	}
	writes.Wait()
	close(idle)
	for conn := range idle {
		closeConn(conn)
	}
}

// writeOnce runs one write and leaves its connection for the next.
func (w *writers) writeOnce(ctx context.Context, dsn, key string, idle chan *pgx.Conn) {
	conn := takeIdle(idle)
	if conn == nil {
		var err error
		if conn, err = pgx.Connect(ctx, dsn); err != nil {
			return
		}
	}
	began := time.Now()
	_, err := conn.Exec(ctx, "INSERT INTO kv (key, value) VALUES ($1, 'x')", key)
	if ctx.Err() == nil {
		w.note(key, began, err)
	}
	if conn.IsClosed() {
		return
	}
	select {
	case idle <- conn:
	default:
		closeConn(conn)
	}
}

func takeIdle(idle chan *pgx.Conn) *pgx.Conn {
	select {
	case conn := <-idle:
		return conn
	default:
		return nil
	}
}

func closeConn(conn *pgx.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = conn.Close(ctx) // the writes' errors count
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// note counts the outcome of one write. An unknown outcome is not a failure: the
// write was under way when its server was lost.
func (w *writers) note(key string, began time.Time, err error) {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil {
		w.acks = append(w.acks, now)
		w.keys = append(w.keys, key)
		return
	}
	var refused *pgconn.PgError
	if errors.As(err, &refused) && refused.Code == outcome.CodeUnknown {
		w.unknown++
		return
	}
	if now.Sub(began) < writeDeadline {
		w.failed++
		w.reasons[err.Error()]++
	}
}

func (w *writers) stop() {
	w.cancel()
	w.done.Wait()
}

func (w *writers) totals() (acked, failed, unknown int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.acks), w.failed, w.unknown
}

// failures returns the failed writes by error.
func (w *writers) failures() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := make(map[string]int, len(w.reasons))
	for reason, n := range w.reasons {
		all[reason] = n
	}
	return all
}

// reset forgets what was counted so far.
func (w *writers) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.acks, w.keys, w.failed, w.unknown, w.reasons = nil, nil, 0, 0, map[string]int{}
}

// since counts the acknowledgements after a time.
func (w *writers) since(t time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, ack := range w.acks {
		if ack.After(t) {
			n++
		}
	}
	return n
}

// longestGap returns the longest time without an acknowledgement from shortly
// before a time to now.
func (w *writers) longestGap(from time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	sort.Slice(w.acks, func(i, j int) bool { return w.acks[i].Before(w.acks[j]) })
	last := from
	var longest time.Duration
	for _, ack := range w.acks {
		if ack.Before(from) {
			continue
		}
		longest = max(longest, ack.Sub(last))
		last = ack
	}
	return max(longest, time.Since(last))
}
