package gateway

import (
	"context"
	"crypto/rand"
	"errors"
	"net"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"egretroad/internal/catalogue"
	"egretroad/internal/outcome"
	"egretroad/internal/routing"
	"egretroad/internal/topology"
)

// Gateway serves callers of one proxy. Its methods are safe for concurrent use.
type Gateway struct {
	options  Options
	deps     Deps
	auth     *authenticator
	counters *counters
	memory   memoryLimit
	budget   *rate.Limiter
	backends sync.Pool // of *pooledBackend
	waiting  atomic.Int64
	draining atomic.Bool
	instance string // of this process, a prefix of request IDs
	context  context.Context
	stop     context.CancelFunc

	mu        sync.Mutex // guards the fields below
	sessions  map[uint32]*session
	listeners map[net.Listener]struct{}
	nextPID   uint32
	empty     chan struct{} // closed when the last session ends during a drain

	routes   sync.Mutex // guards the fields below
	table    *routing.Table
	revision uint64 // of the snapshot that the table was last pruned by
}

// New returns a gateway that serves the listeners passed to Serve.
func New(o Options, d Deps) *Gateway {
	ctx, stop := context.WithCancel(context.Background())
	g := &Gateway{
		options: o, deps: d, context: ctx, stop: stop, instance: rand.Text() + "-",
		auth:      newAuthenticator(o),
		memory:    memoryLimit{limit: o.MaxBufferedBytes},
		budget:    rate.NewLimiter(rate.Limit(o.RetriesPerSecond), o.RetryBurst),
		sessions:  map[uint32]*session{},
		listeners: map[net.Listener]struct{}{},
		empty:     make(chan struct{}),
		table:     routing.NewTable(o.Routing),
	}
	g.backends.New = func() any { return newPooledBackend(o.MaxMessageBytes) }
	g.counters = newCounters(d.Metrics, g)
	return g
}

// Serve accepts callers until the gateway is closed or drained. Errors are *ServeError.
func (g *Gateway) Serve(l net.Listener) error {
	g.mu.Lock()
	g.listeners[l] = struct{}{}
	g.mu.Unlock()
	for {
		conn, err := l.Accept()
		if err == nil {
			go g.serveConn(conn)
			continue
		}
		if g.context.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if !isTemporary(err) {
			return &ServeError{Cause: err}
		}
		g.deps.Log.Warn("accept_failed", "error", err)
		time.Sleep(acceptBackoff)
	}
}

// acceptBackoff is the pause after a failed accept, for example for lack of file descriptors.
const acceptBackoff = 50 * time.Millisecond

func isTemporary(err error) bool {
	var ne net.Error
	return errors.As(err, &ne)
}

// serveConn runs one connection until it ends.
func (g *Gateway) serveConn(conn net.Conn) {
	w := newWire(g, conn)
	defer g.contain(w)
	s, err := g.startSession(w)
	if err != nil {
		g.endStartup(w, err)
		return
	}
	defer g.unregister(s)
	ctx, stop := context.WithCancel(g.context)
	defer stop()
	s.context = ctx
	s.loop()
}

// contain ends one connection after a fault in the program, so that the others
// of the proxy go on.
func (g *Gateway) contain(w *wire) {
	fault := recover()
	if fault == nil {
		return
	}
	g.counters.panics.Add(1)
	g.deps.Log.Error("session_panic", "caller", w.conn.RemoteAddr(), "fault", fault, "stack", string(debug.Stack()))
	w.close()
}

// endStartup reports why a connection did not become a session.
func (g *Gateway) endStartup(w *wire, err error) {
	var c *callerError
	switch {
	case errors.As(err, &c):
		w.send(c.response())
		w.closeAfterError()
	default:
		w.close()
	}
}

// register adds a session and gives it its process ID.
func (g *Gateway) register(s *session) error {
	self := ProxyNumber(g.deps.Source.Snapshot().Self)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining.Load() {
		return errStarting
	}
	if len(g.sessions) >= g.options.MaxConnections {
		return errTooManyConnections
	}
	for {
		g.nextPID = (g.nextPID + 1) & sessionMask
		s.pid = self<<sessionBits | g.nextPID
		if _, taken := g.sessions[s.pid]; !taken {
			g.sessions[s.pid] = s
			s.caller = s.user + "@" + strconv.FormatUint(uint64(s.pid), 36)
			s.id = g.instance + strconv.FormatUint(uint64(s.pid), 36) + "-"
			return nil
		}
	}
}

func (g *Gateway) unregister(s *session) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.sessions, s.pid)
	if len(g.sessions) == 0 && g.draining.Load() {
		g.closeEmpty()
	}
}

// closeEmpty must be called with mu held.
func (g *Gateway) closeEmpty() {
	select {
	case <-g.empty:
	default:
		close(g.empty)
	}
}

// Drain ends idle sessions with an error that sends them to another proxy, lets
// work in progress finish, and returns when no session is left. New connections
// are refused meanwhile, then the listeners close. Errors are *DrainError.
func (g *Gateway) Drain(ctx context.Context) error {
	began := time.Now()
	g.mu.Lock()
	g.draining.Store(true)
	if len(g.sessions) == 0 {
		g.closeEmpty()
	}
	for _, s := range g.sessions {
		s.wire.wake()
	}
	g.mu.Unlock()
	g.deps.Log.Info("drain_started")
	var err error
	select {
	case <-g.empty:
	case <-ctx.Done():
		err = &DrainError{Sessions: g.sessionCount(), Waited: time.Since(began), Cause: ctx.Err()}
	}
	g.closeListeners()
	g.deps.Log.Info("drain_ended", "sessions", g.sessionCount(), "waited", time.Since(began))
	return err
}

// Close ends every session at once.
func (g *Gateway) Close() {
	g.stop()
	g.closeListeners()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.sessions {
		_ = s.wire.conn.Close()
	}
}

func (g *Gateway) closeListeners() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for l := range g.listeners {
		_ = l.Close()
	}
}

func (g *Gateway) sessionCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.sessions)
}

// choose routes a request by the snapshot in force.
func (g *Gateway) choose(snap *topology.Snapshot, database string, r routing.Request) (routing.Decision, error) {
	group, ok := snap.Groups[database]
	if !ok {
		return routing.Decision{}, &outcome.NotRunError{Reason: outcome.ReasonNoServer, Detail: "database " + database + " has no servers"}
	}
	g.routes.Lock()
	defer g.routes.Unlock()
	if g.revision != snap.Revision {
		g.revision = snap.Revision
		g.prune(snap)
	}
	return g.table.Choose(group, snap.VMs[snap.Self], r, g.deps.Now())
}

// prune forgets servers that no group has any more.
func (g *Gateway) prune(snap *topology.Snapshot) {
	known := map[string]bool{}
	for _, group := range snap.Groups {
		for _, s := range group.Servers {
			known[s.ID] = true
		}
	}
	g.table.Keep(func(id string) bool { return known[id] })
}

// learn records the status that came with an answer.
func (g *Gateway) learn(st topology.ServerStatus) {
	g.routes.Lock()
	defer g.routes.Unlock()
	g.table.Learn(st, g.deps.Now())
}

// refused records a refusal by a server's home.
func (g *Gateway) refused(server string, reason outcome.Reason) {
	g.routes.Lock()
	defer g.routes.Unlock()
	g.table.Refused(server, reason, g.deps.Now())
}

// enterWait counts a request as waiting for another try; it is false when too
// many wait. The less urgent the rank, the sooner it is turned away.
func (g *Gateway) enterWait(rank catalogue.Rank) bool {
	limit := int64(g.options.MaxWaiting)
	switch {
	case rank >= catalogue.RankReports:
		limit = limit / 2
	case rank == catalogue.RankReads:
		limit = limit * 3 / 4
	}
	if g.waiting.Add(1) > limit {
		g.waiting.Add(-1)
		return false
	}
	return true
}

func (g *Gateway) leaveWait() { g.waiting.Add(-1) }
