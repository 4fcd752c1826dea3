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

// Load of the writers. It is open-loop: writes arrive at a fixed rate whether or not
// earlier ones have been answered, like those of independent callers.
const (
	arrivalInterval    = 40 * time.Millisecond // per kind and proxy
	maxOutstanding     = 400                   // writes in flight per proxy
	pollInterval       = 5 * time.Millisecond  // between checks of the writers' counts
	writeDeadline      = 5 * time.Second       // deadline of the write kinds of both deployments
	rejoinPollInterval = 50 * time.Millisecond
)

// writers sends inserts to one database through some proxies and records the time of
// each acknowledgement.
type writers struct {
	database string
	cancel   context.CancelFunc
	done     sync.WaitGroup

	mu            sync.Mutex // guards the fields below
	acks          []time.Time
	ackedKeys     []string // keys of acknowledged writes
	failed        int
	unknown       int
	faultTime     time.Time      // zero until a fault is injected
	interrupted   int            // writes in flight at the fault and reported as not run
	failedByError map[string]int // number of failed writes by error text
}

// startWriters starts writes of a kind of work through the given proxies; an empty
// kind selects the database's default. The caller must call stop.
func startWriters(ctx context.Context, proxies []*fleet.Proxy, database, kind string) *writers {
	ctx, cancel := context.WithCancel(ctx)
	w := &writers{database: database, cancel: cancel, failedByError: map[string]int{}}
	for _, p := range proxies {
		w.done.Add(1)
		go w.issueWrites(ctx, p.DSN(database, kind), fmt.Sprintf("%s-%d", p.VM.ID, time.Now().UnixNano()))
	}
	return w
}

// issueWrites starts a write at each interval. A write reuses an idle connection or
// opens a new one.
func (w *writers) issueWrites(ctx context.Context, dsn, prefix string) {
	defer w.done.Done()
	idle := make(chan *pgx.Conn, maxOutstanding)
	outstanding := make(chan struct{}, maxOutstanding)
	var writes sync.WaitGroup
	ticker := time.NewTicker(arrivalInterval)
	defer ticker.Stop()
	for i := 0; ctx.Err() == nil; i++ {
		select {
		case <-ctx.Done():
		case <-ticker.C:
			outstanding <- struct{}{}
			writes.Add(1)
			go func() {
				defer writes.Done()
				w.writeOnce(ctx, dsn, fmt.Sprintf("%s-%d", prefix, i), idle)
				<-outstanding
			}()
		}
	}
	writes.Wait()
	close(idle)
	for conn := range idle {
		closeConn(conn)
	}
}

// writeOnce runs one write and returns its connection to the idle ones.
func (w *writers) writeOnce(ctx context.Context, dsn, key string, idle chan *pgx.Conn) {
	conn := takeIdle(idle)
	if conn == nil {
		var err error
		if conn, err = pgx.Connect(ctx, dsn); err != nil {
			return
		}
	}
	start := time.Now()
	_, err := conn.Exec(ctx, "INSERT INTO kv (key, value) VALUES ($1, 'x')", key)
	if ctx.Err() == nil {
		w.record(key, start, err)
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
	_ = conn.Close(ctx) // only errors of writes are counted
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// record counts the outcome of one write. An unknown outcome is not a failure: the
// write was in flight when the connection to its server was lost.
func (w *writers) record(key string, start time.Time, err error) {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil {
		w.acks = append(w.acks, now)
		w.ackedKeys = append(w.ackedKeys, key)
		return
	}
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) && pgErr.Code == outcome.CodeUnknown {
		w.unknown++
		return
	}
	// The proxy never resends a write that is not repeatable. If the fault rolled
	// one back in flight, the retry is left to its caller.
	if start.Before(w.faultTime) && errors.As(err, &pgErr) && pgErr.Code == outcome.CodeNotRun {
		w.interrupted++
		return
	}
	if now.Sub(start) < writeDeadline {
		w.failed++
		w.failedByError[err.Error()]++
	}
}

// setFaultTime sets the time at which the fault begins.
func (w *writers) setFaultTime(t time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faultTime = t
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

// failureCounts returns the number of failed writes by error text.
func (w *writers) failureCounts() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	counts := make(map[string]int, len(w.failedByError))
	for reason, n := range w.failedByError {
		counts[reason] = n
	}
	return counts
}

// reset clears the counts of acknowledged, failed and unknown writes.
func (w *writers) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.acks, w.ackedKeys, w.failed, w.unknown, w.failedByError = nil, nil, 0, 0, map[string]int{}
}

// acksSince counts the acknowledgements after a time.
func (w *writers) acksSince(t time.Time) int {
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

// longestGap returns the longest time without an acknowledgement between from and
// now.
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
