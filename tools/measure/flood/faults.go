package flood

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"egretroad/internal/outcome"
	"egretroad/internal/standin/deployment"
	"egretroad/tools/measure/fleet"
	"egretroad/tools/measure/report"
)

// Sizes and times of the measurement with faults.
const (
	faultProxies    = 6
	faultDatabase   = "orders1"
	ordersCallers   = 48
	readsCallers    = 48
	reportsCallers  = 800
	loadBeforeFault = 3 * time.Second  // before the first fault
	loadAfterStop   = 13 * time.Second // after the primary has stopped
	loadAfterKill   = 10 * time.Second // after a proxy was killed
	callerTimeout   = 8 * time.Second
)

// maxGap is the stated target for the gap in work while a primary is replaced.
const maxGap = 16 * time.Second

// RunFaults floods real proxies with reports, stops a primary and then kills a proxy.
// It measures the longest gaps in orders and reads.
func RunFaults(ctx context.Context, env *report.Env) (*report.Report, error) {
	o := deployment.DefaultOptions()
	o.Proxies, o.Seed, o.ServiceTime = faultProxies, env.Seed, shortService
	f, err := fleet.Start(ctx, fleet.Options{Binary: env.Binary, Deployment: o, LogLevel: "error"})
	if err != nil {
		return nil, err
	}
	defer f.Stop()
	m := &faultRun{env: env, fleet: f}
	if err := m.run(ctx); err != nil {
		return nil, err
	}
	return m.report(), nil
}

// faultRun is one run of the flood with faults.
type faultRun struct {
	env              *report.Env
	fleet            *fleet.Fleet
	orders           *callers
	reads            *callers
	reports          *callers
	primaryStoppedAt time.Time
	proxyKilledAt    time.Time
	finishedAt       time.Time
}

func (m *faultRun) run(ctx context.Context) error {
	m.orders = newCallers(m.fleet, "orders", ordersCallers, ordersFlow())
	m.reads = newCallers(m.fleet, "stock", readsCallers, readsFlow("stock", "", ""))
	m.reports = newCallers(m.fleet, "reports", reportsCallers, reportsFlow())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	capacity := 2 / shortService.Seconds()
	var done sync.WaitGroup
	for i, c := range []*callers{m.orders, m.reads, m.reports} {
		rate := []float64{quietOrders, quietReads, maxMultiple * shortService.Seconds() / reportService.Seconds()}[i] * capacity
		rng := rand.New(rand.NewPCG(m.env.Seed, uint64(i)))
		done.Add(1)
		go func() {
			defer done.Done()
			c.run(ctx, rate, rng)
		}()
	}
	err := m.injectFaults(ctx)
	m.finishedAt = time.Now()
	cancel()
	done.Wait()
	return err
}

func (m *faultRun) injectFaults(ctx context.Context) error {
	if err := sleep(ctx, loadBeforeFault); err != nil {
		return err
	}
	m.primaryStoppedAt = time.Now()
	if err := m.fleet.Fault("stop-primary", faultDatabase); err != nil {
		return err
	}
	m.env.Logf("event=primary_stopped")
	if err := sleep(ctx, loadAfterStop); err != nil {
		return err
	}
	killedProxy := m.fleet.Proxies[len(m.fleet.Proxies)-1]
	m.proxyKilledAt = time.Now()
	killedProxy.Kill()
	m.env.Logf("event=proxy_killed vm=%s", killedProxy.VM.ID)
	return sleep(ctx, loadAfterKill)
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (m *faultRun) report() *report.Report {
	r := report.New("flood-faults", m.env.Seed)
	r.AtMost("failover.orders_gap_ms", millis(m.orders.longestGap(m.primaryStoppedAt, m.proxyKilledAt)), millis(maxGap))
	r.AtMost("failover.reads_gap_ms", millis(m.reads.longestGap(m.primaryStoppedAt, m.proxyKilledAt)), millis(maxGap))
	r.AtMost("dead_proxy.orders_gap_ms", millis(m.orders.longestGap(m.proxyKilledAt, m.finishedAt)), millis(maxGap))
	r.AtMost("dead_proxy.reads_gap_ms", millis(m.reads.longestGap(m.proxyKilledAt, m.finishedAt)), millis(maxGap))
	for name, c := range map[string]*callers{"orders": m.orders, "reads": m.reads, "reports": m.reports} {
		r.Set(name+".answered", float64(len(c.answered)))
		r.Set(name+".not_run", float64(c.notRun))
		r.Set(name+".unknown", float64(c.unknown))
		r.Set(name+".other", float64(c.other))
	}
	notRun, lost := m.countContradictions()
	r.Exactly("not_run_but_seen", float64(notRun), 0)
	r.Exactly("acknowledged_but_lost", float64(lost), 0)
	for _, s := range m.fleet.Groups[faultDatabase].Servers() {
		stats := s.Stats()
		r.AtMost("connections."+s.ID(), float64(stats.MaxConns), float64(s.Spec().MaxConnections))
		r.Set("statements."+s.ID(), float64(stats.MaxConcurrent))
		r.Set("connections_refused."+s.ID(), float64(stats.RefusedConns))
	}
	return r
}

// countContradictions compares the outcomes reported to callers with the primary's
// rows. It counts stored writes that were reported as not run and acknowledged writes
// that are missing.
func (m *faultRun) countContradictions() (notRunButSeen, lost int) {
	data := m.fleet.Groups[faultDatabase].Primary().Data()
	for key, result := range m.orders.outcomes {
		_, stored := data[key]
		if result == outcomeNotRun && stored {
			notRunButSeen++
		}
		if result == outcomeAnswered && !stored {
			lost++
		}
	}
	return notRunButSeen, lost
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// callerOutcome is the outcome of a request as reported to its caller.
type callerOutcome int

const (
	outcomeAnswered callerOutcome = iota
	outcomeNotRun
	outcomeUnknown
	outcomeOther // the connection to the proxy broke, or the server returned an error
)

// callers is a pool of sessions that offer one kind of work.
type callers struct {
	fleet *fleet.Fleet
	kind  string
	flow  flow
	idle  chan *session

	mu       sync.Mutex // guards the fields below
	answered []time.Time
	notRun   int
	unknown  int
	other    int
	outcomes map[string]callerOutcome
}

// session is a caller with its connection.
type session struct {
	proxy int // index of the proxy of the last connection attempt
	conn  *pgconn.PgConn
}

func newCallers(f *fleet.Fleet, kind string, count int, load flow) *callers {
	c := &callers{fleet: f, kind: kind, flow: load, idle: make(chan *session, count), outcomes: map[string]callerOutcome{}}
	for n := range count {
		c.idle <- &session{proxy: n % len(f.Proxies)}
	}
	return c
}

// run issues requests at the arrivals of a Poisson process until ctx ends, then closes
// all sessions. An arrival waits for an idle session.
func (c *callers) run(ctx context.Context, rate float64, rng *rand.Rand) {
	var running sync.WaitGroup
	next := time.Now()
	for n := 0; ; n++ {
		next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		if sleep(ctx, time.Until(next)) != nil {
			break
		}
		select {
		case s := <-c.idle:
			running.Add(1)
			go func() {
				defer running.Done()
				c.record(n, c.send(s, n))
				c.idle <- s
			}()
		case <-ctx.Done():
		}
	}
	running.Wait()
	for range cap(c.idle) {
		if s := <-c.idle; s.conn != nil {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_ = s.conn.Close(ctx) // the measurement is over
			cancel()
		}
	}
}

func (c *callers) key(n int) string { return fmt.Sprintf("flood-%d", n) }

func (c *callers) sql(n int) string {
	if c.kind == "orders" {
		return fmt.Sprintf("INSERT INTO kv (key, value) VALUES ('%s', 'v')", c.key(n))
	}
	return c.flow.sql(n)
}

// send runs one request. If the session's connection is broken, it first connects to
// the next proxy.
func (c *callers) send(s *session, n int) error {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	if s.conn == nil || s.conn.IsClosed() {
		s.proxy = (s.proxy + 1) % len(c.fleet.Proxies)
		conn, err := pgconn.Connect(ctx, c.fleet.Proxies[s.proxy].DSN(faultDatabase, c.kind))
		if err != nil {
			s.conn = nil
			return &notSentError{Cause: err}
		}
		s.conn = conn
	}
	_, err := s.conn.Exec(ctx, c.sql(n)).ReadAll()
	return err
}

// notSentError reports a request that was not sent because no connection to a proxy
// could be opened.
type notSentError struct{ Cause error }

func (e *notSentError) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *notSentError) Unwrap() error { return e.Cause }

// record counts the outcome of request n.
func (c *callers) record(n int, err error) {
	result := outcomeOther
	var pgErr *pgconn.PgError
	switch {
	case err == nil:
		result = outcomeAnswered
	case errors.As(err, new(*notSentError)):
		result = outcomeNotRun
	case errors.As(err, &pgErr) && pgErr.Code == outcome.CodeNotRun:
		result = outcomeNotRun
	case errors.As(err, &pgErr) && pgErr.Code == outcome.CodeUnknown:
		result = outcomeUnknown
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[c.key(n)] = result
	switch result {
	case outcomeAnswered:
		c.answered = append(c.answered, time.Now())
	case outcomeNotRun:
		c.notRun++
	case outcomeUnknown:
		c.unknown++
	default:
		c.other++
	}
}

// longestGap returns the longest time without an answer between from and to.
func (c *callers) longestGap(from, to time.Time) time.Duration {
	last, longest := from, time.Duration(0)
	for _, at := range c.answered {
		if at.Before(from) || at.After(to) {
			continue
		}
		longest = max(longest, at.Sub(last))
		last = at
	}
	return max(longest, to.Sub(last))
}
