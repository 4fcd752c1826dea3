// Package restart measures the availability of each kind of work while all proxies are
// killed and replaced one after the other under load. It checks that no acknowledged
// write is lost.
package restart

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5"

	"egretroad/internal/standin/deployment"
	"egretroad/tools/measure/fleet"
	"egretroad/tools/measure/report"
)

// Sizes, times and the bound of the measurement.
const (
	proxies              = 9
	gapLimitMS           = 2000
	callersPerKind       = 2 // callers per database and kind of work
	warmUp               = 2 * time.Second
	downTime             = 2 * time.Second        // from the kill until the replacement of the VM starts
	pauseBetweenRestarts = 500 * time.Millisecond // after a replacement serves, before the next kill
	operationTimeout     = 4 * time.Second        // after which a caller abandons an operation
	callerPause          = 5 * time.Millisecond
)

// workKind is a kind of work of the load.
type workKind struct {
	name  string
	write bool
}

// load runs the callers and records their results.
type load struct {
	fleet   *fleet.Fleet
	seed    uint64
	proxyUp []atomic.Bool // by index of the proxy: whether callers connect to it
	nextKey atomic.Int64

	mu          sync.Mutex // guards the fields below
	lastSuccess map[string]time.Time
	longestGaps map[string]time.Duration
	acked       map[string]map[string]bool // keys of acknowledged writes by database
	succeeded   int
	failed      int
}

// Run measures one deployment.
func Run(ctx context.Context, env *report.Env) (*report.Report, error) {
	o := deployment.DefaultOptions()
	o.Proxies, o.Seed = proxies, env.Seed
	kinds := []workKind{{"orders", true}, {"stock", false}, {"grants", false}, {"reports", false}}
	if env.Deployment == deployment.CabraRonda {
		o.Name = env.Deployment
		kinds = []workKind{{"tallies", true}, {"routes", false}, {"reports", false}}
	}
	f, err := fleet.Start(ctx, fleet.Options{Binary: env.Binary, Deployment: o})
	if err != nil {
		return nil, err
	}
	defer f.Stop()
	l := &load{
		fleet: f, seed: env.Seed, proxyUp: make([]atomic.Bool, proxies),
		lastSuccess: map[string]time.Time{}, longestGaps: map[string]time.Duration{}, acked: map[string]map[string]bool{},
	}
	for i := range l.proxyUp {
		l.proxyUp[i].Store(true)
	}
	return l.measure(ctx, env, kinds)
}

func (l *load) measure(ctx context.Context, env *report.Env, kinds []workKind) (*report.Report, error) {
	callers, stop := l.start(ctx, kinds)
	defer callers.Wait()
	defer stop()
	time.Sleep(warmUp)
	l.resetGaps()
	for i, p := range l.fleet.Proxies {
		l.proxyUp[i].Store(false)
		p.Kill()
		time.Sleep(downTime)
		if err := p.Start(ctx); err != nil {
			return nil, err
		}
		l.proxyUp[i].Store(true)
		time.Sleep(pauseBetweenRestarts)
		env.Logf("replaced=%s", p.VM.ID)
	}
	l.closeGaps()
	stop()
	callers.Wait()
	return l.report(env, kinds), nil
}

func (l *load) report(env *report.Env, kinds []workKind) *report.Report {
	r := report.New("restart", env.Seed)
	for _, k := range kinds {
		worst := time.Duration(0)
		for _, database := range l.fleet.Databases() {
			worst = max(worst, l.longestGaps[database+"/"+k.name])
		}
		r.AtMost("longest_stop_"+k.name+"_ms", float64(worst.Milliseconds()), gapLimitMS)
	}
	acked, lost := l.countLost()
	r.Exactly("lost_acknowledged", float64(lost), 0)
	r.AtLeast("acknowledged_writes", float64(acked), 1)
	r.Set("operations", float64(l.succeeded))
	r.Set("operations_not_done", float64(l.failed))
	return r
}

// countLost returns the number of acknowledged writes and of those that are missing at
// the primaries.
func (l *load) countLost() (acked, lost int) {
	for database, keys := range l.acked {
		data := l.fleet.Groups[database].Primary().Data()
		for key := range keys {
			acked++
			if _, found := data[key]; !found {
				lost++
			}
		}
	}
	return acked, lost
}

// start starts the callers. They stop when the returned function is called.
func (l *load) start(ctx context.Context, kinds []workKind) (*sync.WaitGroup, context.CancelFunc) {
	ctx, stop := context.WithCancel(ctx)
	var callers sync.WaitGroup
	number := uint64(0)
	for _, database := range l.fleet.Databases() {
		l.acked[database] = map[string]bool{}
		for _, k := range kinds {
			for range callersPerKind {
				number++
				c := &caller{load: l, database: database, kind: k, rand: rand.New(rand.NewPCG(l.seed, number))}
				callers.Go(func() { c.run(ctx) })
			}
		}
	}
	return &callers, stop
}

func (l *load) resetGaps() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for key := range l.lastSuccess {
		l.lastSuccess[key] = now
	}
	l.longestGaps = map[string]time.Duration{}
}

// closeGaps treats the time since the last success of each kind as a gap.
func (l *load) closeGaps() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, last := range l.lastSuccess {
		l.longestGaps[key] = max(l.longestGaps[key], time.Since(last))
	}
}

func (l *load) recordSuccess(key string) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if last, found := l.lastSuccess[key]; found {
		l.longestGaps[key] = max(l.longestGaps[key], now.Sub(last))
	}
	l.lastSuccess[key] = now
	l.succeeded++
}

// caller repeats one kind of work. It connects to a random running proxy and reconnects
// after a failure.
type caller struct {
	load     *load
	database string
	kind     workKind
	rand     *rand.Rand
	conn     *pgx.Conn
}

func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !c.runOperation(ctx) {
			c.load.mu.Lock()
			c.load.failed++
			c.load.mu.Unlock()
			c.disconnect()
		}
		time.Sleep(callerPause)
	}
	c.disconnect()
}

func (c *caller) disconnect() {
	if c.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = c.conn.Close(ctx) // the proxy may have been killed
	c.conn = nil
}

// runOperation runs one operation, connecting first if needed, and reports whether it
// succeeded.
func (c *caller) runOperation(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	if c.conn == nil && !c.connect(ctx) {
		return false
	}
	if !c.execute(ctx) {
		return false
	}
	c.load.recordSuccess(c.database + "/" + c.kind.name)
	return true
}

func (c *caller) connect(ctx context.Context) bool {
	i := c.rand.IntN(proxies)
	if !c.load.proxyUp[i].Load() {
		return false
	}
	conn, err := pgx.Connect(ctx, c.load.fleet.Proxies[i].DSN(c.database, c.kind.name))
	if err != nil {
		return false
	}
	c.conn = conn
	return true
}

func (c *caller) execute(ctx context.Context) bool {
	if !c.kind.write {
		var n int
		return c.conn.QueryRow(ctx, "SELECT count(*) FROM kv").Scan(&n) == nil
	}
	key := fmt.Sprintf("restart-%d", c.load.nextKey.Add(1))
	if _, err := c.conn.Exec(ctx, "INSERT INTO kv (key, value) VALUES ($1, $2)", key, "x"); err != nil {
		return false
	}
	c.load.mu.Lock()
	defer c.load.mu.Unlock()
	c.load.acked[c.database][key] = true
	return true
}
