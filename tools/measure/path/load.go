package path

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5"
	"golang.org/x/sync/errgroup"

	"egretroad/tools/measure/fleet"
)

// Range of the latency histogram in microseconds, and its significant digits.
const (
	minLatencyMicros = 1
	maxLatencyMicros = 60_000_000
	latencyDigits    = 3
)

// loadResult holds the latencies and errors of one load run.
type loadResult struct {
	mu         sync.Mutex // guards the fields below
	histogram  *hdrhistogram.Histogram
	errors     int64
	firstError string
	elapsed    time.Duration
}

func newLoadResult() *loadResult {
	return &loadResult{histogram: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)}
}

func (l *loadResult) count() int64 { return l.histogram.TotalCount() }

func (l *loadResult) latencyMillis(percentile float64) float64 {
	return float64(l.histogram.ValueAtPercentile(percentile)) / 1000
}

func (l *loadResult) perSecond() float64 { return float64(l.count()) / l.elapsed.Seconds() }

func (l *loadResult) add(h *hdrhistogram.Histogram, errs int64, first error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.histogram.Merge(h)
	l.errors += errs
	if first != nil && l.firstError == "" {
		l.firstError = first.Error()
	}
}

// insertTestRow writes the row that all loads read.
func insertTestRow(ctx context.Context, dsn string) error {
	conn, err := pgx.Connect(ctx, dsn)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close(ctx) }() // only the error of the write matters
	_, err = conn.Exec(ctx, setupStatement)
	return err
}

// readTimes runs n reads on one connection.
func readTimes(ctx context.Context, dsn string, n int) error {
	conn, err := pgx.Connect(ctx, dsn)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close(ctx) }() // only errors of the reads matter
	for range n {
		if err := readOnce(ctx, conn); err != nil {
			return err
		}
	}
	return nil
}

func readOnce(ctx context.Context, conn *pgx.Conn) error {
	var value string
	return conn.QueryRow(ctx, readStatement, "path").Scan(&value)
}

// runLoad lets n concurrent callers read in a closed loop for the given time. The time
// to connect is not measured.
func runLoad(ctx context.Context, dsn string, n int, d time.Duration) (*loadResult, error) {
	conns := make([]*pgx.Conn, n)
	var connecting errgroup.Group
	connecting.SetLimit(32)
	for i := range conns {
		connecting.Go(func() (err error) {
			if conns[i], err = pgx.Connect(ctx, dsn); err == nil {
				err = readOnce(ctx, conns[i])
			}
			return err
		})
	}
	if err := connecting.Wait(); err != nil {
		return nil, err
	}
	result := newLoadResult()
	start := time.Now()
	var callers sync.WaitGroup
	for _, conn := range conns {
		callers.Add(1)
		go func() {
			defer callers.Done()
			defer func() { _ = conn.Close(ctx) }() // the load is over
			result.add(runCaller(ctx, conn, start.Add(d)))
		}()
	}
	callers.Wait()
	result.elapsed = time.Since(start)
	return result, nil
}

// runCaller reads in a closed loop on one connection until the given time and returns
// the latencies, the number of errors and the first error.
func runCaller(ctx context.Context, conn *pgx.Conn, until time.Time) (h *hdrhistogram.Histogram, errs int64, first error) {
	h = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)
	for start := time.Now(); start.Before(until) && ctx.Err() == nil; start = time.Now() {
		if err := readOnce(ctx, conn); err != nil {
			errs++
			if first == nil {
				first = err
			}
			continue
		}
		_ = h.RecordValue(max(time.Since(start).Microseconds(), minLatencyMicros)) // far below the maximum
	}
	return h, errs, first
}

// connectIdle opens n connections that stay idle after one read. The caller must call
// closeAll, also after an error.
func connectIdle(ctx context.Context, dsn string, n int) (closeAll func(), err error) {
	conns := make([]*pgx.Conn, n)
	closeAll = func() {
		for _, c := range conns {
			if c != nil {
				_ = c.Close(ctx) // the measurement is over
			}
		}
	}
	var g errgroup.Group
	g.SetLimit(32)
	for i := range conns {
		g.Go(func() (err error) {
			if conns[i], err = pgx.Connect(ctx, dsn); err == nil {
				err = readOnce(ctx, conns[i])
			}
			return err
		})
	}
	return closeAll, g.Wait()
}

// lanesOpened returns the number of lanes that a proxy has opened: transactions that it
// forwarded to proxies on other VMs.
func lanesOpened(ctx context.Context, p *fleet.Proxy) (int64, error) {
	var vars struct {
		Peer struct {
			LanesOpened int64 `json:"lanes_opened"`
		} `json:"peer"`
	}
	err := p.JSON(ctx, "/debug/vars", &vars)
	return vars.Peer.LanesOpened, err
}
