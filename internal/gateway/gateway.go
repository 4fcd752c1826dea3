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

	"egretroad/internal/bytebudget"
	"egretroad/internal/catalogue"
	"egretroad/internal/outcome"
	"egretroad/internal/routing"
	"egretroad/internal/topology"
)

// Gateway serves the callers of one proxy. Its methods are safe for concurrent use.
type Gateway struct {
	options     Options
	deps        Deps
	auth        *authenticator
	counters    *counters
	memory      *bytebudget.Budget
	retryBudget *rate.Limiter
	backendPool sync.Pool // of *pooledBackend
	waiting     atomic.Int64
	draining    atomic.Bool
	drainEnded  atomic.Bool // the drain timed out: open transactions end
	instanceID  string      // random ID of this process, a prefix of request IDs
	context     context.Context
	stop        context.CancelFunc

	mu        sync.Mutex // guards the fields below
	sessions  map[uint32]*session
	listeners map[net.Listener]struct{}
	nextPID   uint32
	drained   chan struct{} // closed when the last session ends during a drain

	routesMu      sync.Mutex // guards the fields below
	routingTable  *routing.Table
	tableRevision uint64 // revision of the snapshot that routingTable was last pruned with
}

// New returns a gateway. It accepts no connections until Serve is called.
func New(o Options, d Deps) *Gateway {
	ctx, stop := context.WithCancel(context.Background())
	g := &Gateway{
		options: o, deps: d, context: ctx, stop: stop, instanceID: rand.Text() + "-",
		auth:         newAuthenticator(o),
		memory:       bytebudget.New(o.MaxBufferedBytes),
		retryBudget:  rate.NewLimiter(rate.Limit(o.RetriesPerSecond), o.RetryBurst),
		sessions:     map[uint32]*session{},
		listeners:    map[net.Listener]struct{}{},
		drained:      make(chan struct{}),
		routingTable: routing.NewTable(o.Routing),
	}
	g.backendPool.New = func() any { return newPooledBackend(o.MaxMessageBytes) }
	g.counters = newCounters(d.Metrics, g)
	return g
}

// Serve accepts connections on l until the gateway is closed or drained. Errors
// are *ServeError.
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

// acceptBackoff is the delay after a failed accept, for example when the process
// has run out of file descriptors.
const acceptBackoff = 50 * time.Millisecond

func isTemporary(err error) bool {
	var ne net.Error
	return errors.As(err, &ne)
}

// serveConn runs one connection until it ends.
func (g *Gateway) serveConn(conn net.Conn) {
	w := newWireConn(g, conn)
	defer g.recoverPanic(w)
	s, err := g.startSession(w)
	if err != nil {
		g.rejectStartup(w, err)
		return
	}
	defer g.unregister(s)
	ctx, stop := context.WithCancel(g.context)
	defer stop()
	s.context = ctx
	s.serve()
}

// recoverPanic closes one connection after a panic so that the other sessions of
// the proxy keep running.
func (g *Gateway) recoverPanic(w *wireConn) {
	panicValue := recover()
	if panicValue == nil {
		return
	}
	g.counters.panics.Add(1)
	g.deps.Log.Error("session_panic", "caller", w.netConn.RemoteAddr(), "fault", panicValue, "stack", string(debug.Stack()))
	w.close()
}

// rejectStartup reports to the caller why startup failed and closes the connection.
func (g *Gateway) rejectStartup(w *wireConn, err error) {
	var callerErr *callerError
	switch {
	case errors.As(err, &callerErr):
		w.send(callerErr.response())
		w.closeAfterError()
	default:
		w.close()
	}
}

// register adds a session and assigns its process ID and the names derived from it.
func (g *Gateway) register(s *session) error {
	proxyNumber := ProxyNumber(g.deps.Source.Snapshot().Self)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining.Load() {
		return errNotAccepting
	}
	if len(g.sessions) >= g.options.MaxConnections {
		return errTooManyConnections
	}
	for {
		g.nextPID = (g.nextPID + 1) & sessionMask
		s.pid = proxyNumber<<sessionBits | g.nextPID
		if _, inUse := g.sessions[s.pid]; !inUse {
			g.sessions[s.pid] = s
			s.callerName = s.user + "@" + strconv.FormatUint(uint64(s.pid), 36)
			s.requestPrefix = g.instanceID + strconv.FormatUint(uint64(s.pid), 36) + "-"
			return nil
		}
	}
}

func (g *Gateway) unregister(s *session) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.sessions, s.pid)
	if len(g.sessions) == 0 && g.draining.Load() {
		g.signalDrained()
	}
}

// signalDrained must be called with mu held.
func (g *Gateway) signalDrained() {
	select {
	case <-g.drained:
	default:
		close(g.drained)
	}
}

// Drain ends idle sessions with an error that tells the caller to reconnect to
// another proxy, lets requests and transactions in progress finish, and returns
// when no session is left or, after a last notice to open transactions, when ctx has
// ended. New connections are rejected during the drain; the listeners close at its
// end. Errors are *DrainError.
func (g *Gateway) Drain(ctx context.Context) error {
	startedAt := time.Now()
	g.mu.Lock()
	g.draining.Store(true)
	if len(g.sessions) == 0 {
		g.signalDrained()
	}
	for _, s := range g.sessions {
		s.conn.interruptRead()
	}
	g.mu.Unlock()
	g.deps.Log.Info("drain_started")
	var err error
	select {
	case <-g.drained:
	case <-ctx.Done():
		err = &DrainError{Sessions: g.sessionCount(), Waited: time.Since(startedAt), Cause: ctx.Err()}
		g.endOpenTransactions()
	}
	g.closeListeners()
	g.deps.Log.Info("drain_ended", "sessions", g.sessionCount(), "waited", time.Since(startedAt))
	return err
}

// endNoticeTime is how long sessions may take to tell their callers that a drain has timed
// out.
const endNoticeTime = time.Second

// endOpenTransactions ends the sessions whose transaction waits for its caller, with an
// error. Those that run a request are cut off by Close.
func (g *Gateway) endOpenTransactions() {
	g.drainEnded.Store(true)
	g.mu.Lock()
	for _, s := range g.sessions {
		s.conn.interruptRead()
	}
	g.mu.Unlock()
	select {
	case <-g.drained:
	case <-time.After(endNoticeTime):
	}
}

// Close closes the listeners and all connections immediately.
func (g *Gateway) Close() {
	g.stop()
	g.closeListeners()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.sessions {
		_ = s.conn.netConn.Close()
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

// chooseServer routes a request according to the given topology snapshot.
func (g *Gateway) chooseServer(snap *topology.Snapshot, database string, r routing.Request) (routing.Decision, error) {
	group, ok := snap.Groups[database]
	if !ok {
		return routing.Decision{}, &outcome.NotRunError{Reason: outcome.ReasonNoServer, Detail: "database " + database + " has no servers"}
	}
	g.routesMu.Lock()
	defer g.routesMu.Unlock()
	if g.tableRevision != snap.Revision {
		g.tableRevision = snap.Revision
		g.pruneTable(snap)
	}
	return g.routingTable.Choose(group, snap.VMs[snap.Self], r, g.deps.Now())
}

// pruneTable removes servers that are no longer in any group.
func (g *Gateway) pruneTable(snap *topology.Snapshot) {
	serverIDs := map[string]bool{}
	for _, group := range snap.Groups {
		for _, s := range group.Servers {
			serverIDs[s.ID] = true
		}
	}
	g.routingTable.Retain(func(id string) bool { return serverIDs[id] })
}

// recordStatus stores the server status that came with a response.
func (g *Gateway) recordStatus(st topology.ServerStatus) {
	g.routesMu.Lock()
	defer g.routesMu.Unlock()
	g.routingTable.RecordStatus(st, g.deps.Now())
}

// recordRefusal records that a server's home rejected a request.
func (g *Gateway) recordRefusal(server string, reason outcome.Reason) {
	g.routesMu.Lock()
	defer g.routesMu.Unlock()
	g.routingTable.RecordRefusal(server, reason, g.deps.Now())
}

// admitWaiter admits a request to the set of those waiting for a retry. It returns
// false when too many wait already. Less urgent ranks have lower limits, so that
// they are shed first.
func (g *Gateway) admitWaiter(rank catalogue.Rank) bool {
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

func (g *Gateway) releaseWaiter() { g.waiting.Add(-1) }
