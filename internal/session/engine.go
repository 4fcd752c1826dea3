package session

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/time/rate"

	"egretroad/internal/broker"
	"egretroad/internal/bytebudget"
	"egretroad/internal/catalogue"
	"egretroad/internal/clock"
	"egretroad/internal/metrics"
	"egretroad/internal/statement"
	"egretroad/internal/topology"
)

// Options are the time-outs and limits of sessions.
type Options struct {
	// MaxSessions is the maximum number of caller connections.
	MaxSessions int
	// MaxStateBytes is the maximum total size of the sessions' values and prepared
	// statements.
	MaxStateBytes int64
	// MaxMessageBytes is the maximum total size of the messages that are being received or
	// run. Messages that fit a connection's buffer do not count.
	MaxMessageBytes int64
	// MaxReplyBytes is the size of the replies being sent from which on no statements are run:
	// callers that do not read keep theirs in memory. Replies up to largeReplyBytes do not
	// count.
	MaxReplyBytes int64
	// IdleInTxn is the idle-in-transaction time-out of catalogue entries that set none.
	IdleInTxn time.Duration
	// NoPrimaryWait is how long a statement waits while its group has no primary: a
	// promotion completes about two seconds after the crash.
	NoPrimaryWait time.Duration
	// RetryBackoff is the first back-off after every eligible server has refused;
	// later ones grow exponentially up to RetryBackoffMax.
	RetryBackoff    time.Duration
	RetryBackoffMax time.Duration
	// StalenessMargin is subtracted from a route's maximum staleness when a proven
	// position is selected for a read.
	StalenessMargin time.Duration
	// SuccessLogRate is the maximum number of log lines per second for successful
	// statements: twice the rate of one VM on a quiet day. Failed statements are always
	// logged.
	SuccessLogRate float64
	Selection      SelectionOptions
}

// DefaultOptions returns the defaults.
func DefaultOptions() Options {
	return Options{
		MaxSessions: 3500, MaxStateBytes: 32 << 20, MaxMessageBytes: 32 << 20, MaxReplyBytes: 32 << 20, IdleInTxn: 5 * time.Second, NoPrimaryWait: 3500 * time.Millisecond,
		RetryBackoff: 50 * time.Millisecond, RetryBackoffMax: 200 * time.Millisecond, StalenessMargin: 50 * time.Millisecond, SuccessLogRate: 100,
		Selection: DefaultSelectionOptions(),
	}
}

// newRetryBackoff returns the back-off between rounds of attempts of one statement. It
// is jittered, so that waiting statements do not retry in lockstep.
func (o Options) newRetryBackoff() backoff.BackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = o.RetryBackoff, o.RetryBackoffMax
	return b
}

// Engine runs all sessions of this VM. It is safe for concurrent use.
type Engine struct {
	options     Options
	self        string
	incarnation uint64 // of the process; part of lane IDs
	source      topology.Source
	broker      broker.Broker
	log         hclog.Logger
	newConn     func(net.Conn, *bytebudget.Budget) Conn
	messages    *bytebudget.Budget
	positions   *positionCache
	selector    *serverSelector
	metrics     statementMetrics

	lastLane          atomic.Uint64
	lastSessionID     atomic.Uint64
	successLogLimiter *rate.Limiter
	drainStarted      atomic.Bool
	transactionsEnded atomic.Bool  // transactions go on no longer
	stateBytes        atomic.Int64 // total size of the sessions' values and prepared statements
	stopAt            atomic.Int64 // when a stop gives statements up, on CLOCK_BOOTTIME; 0: there is none
	replyBytes        atomic.Int64 // size of the large replies that are being sent
	active            sync.WaitGroup

	mu       sync.Mutex // guards sessions
	sessions map[*session]struct{}
}

// Deps are the dependencies of an Engine.
type Deps struct {
	Self        topology.VM
	Incarnation uint64 // incarnation of the process
	Source      topology.Source
	Broker      broker.Broker
	NewConn     func(net.Conn, *bytebudget.Budget) Conn
	Log         hclog.Logger
	Metrics     *metrics.Registry
}

// New returns an engine without sessions.
func New(o Options, d Deps) *Engine {
	e := &Engine{
		options: o, self: d.Self.ID, incarnation: d.Incarnation, source: d.Source, broker: d.Broker, log: d.Log, newConn: d.NewConn,
		messages:          bytebudget.New(o.MaxMessageBytes),
		selector:          newServerSelector(o.Selection, d.Self),
		successLogLimiter: rate.NewLimiter(rate.Limit(o.SuccessLogRate), int(o.SuccessLogRate)),
		sessions:          map[*session]struct{}{},
	}
	e.positions = newPositionCache(e)
	e.metrics = newStatementMetrics(d.Metrics)
	d.Metrics.Gauge("session_state_bytes", "Size of the sessions' values and prepared statements.", func() float64 { return float64(e.stateBytes.Load()) })
	d.Metrics.Gauge("reply_bytes", "Size of the large replies that are being sent to callers.", func() float64 { return float64(e.replyBytes.Load()) })
	d.Metrics.Gauge("message_bytes", "Memory of the callers' messages that are being received or run.", func() float64 { return float64(e.messages.Used()) })
	d.Metrics.Gauge("sessions", "Callers' sessions.", func() float64 { return float64(e.Sessions()) })
	return e
}

// acceptRetryDelay is the pause after a failed accept, which happens for example when the
// process runs out of file descriptors.
const acceptRetryDelay = 20 * time.Millisecond

// Serve accepts callers until the listener is closed, and returns its error.
func (e *Engine) Serve(listener net.Listener) error {
	closed := make(chan struct{})
	defer close(closed)
	go e.pruneServers(closed)
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			e.log.Warn("accept_failed", "error", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		s := &session{engine: e, id: e.lastSessionID.Add(1), conn: e.newConn(conn, e.messages)}
		if !e.register(s) {
			e.log.Warn("session_refused", "session", s.id, "limit", e.options.MaxSessions)
			_ = s.conn.SendFatalError(statement.Busy, "too many sessions") // the session ends in any case
			_ = s.conn.Close()                                             // likewise
			continue
		}
		go s.serve()
	}
}

// pruneServers deletes the statistics of removed servers whenever the snapshot changes.
func (e *Engine) pruneServers(closed <-chan struct{}) {
	for {
		changed := e.source.Changed()
		e.selector.prune(e.source.Snapshot())
		select {
		case <-changed:
		case <-closed:
			return
		}
	}
}

func (e *Engine) register(s *session) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.sessions) >= e.options.MaxSessions {
		return false
	}
	e.sessions[s] = struct{}{}
	e.active.Add(1)
	return true
}

func (e *Engine) unregister(s *session) {
	e.mu.Lock()
	delete(e.sessions, s)
	e.mu.Unlock()
	e.active.Done()
}

// reserveState counts the growth of a session's state in bytes, which may be negative. It
// reports false, and counts nothing, if the total would exceed its maximum.
func (e *Engine) reserveState(growth int) bool {
	if total := e.stateBytes.Add(int64(growth)); growth > 0 && total > e.options.MaxStateBytes {
		e.stateBytes.Add(-int64(growth))
		return false
	}
	return true
}

func (e *Engine) draining() bool { return e.drainStarted.Load() }

// answerMargin is the end of a drain, reserved for the answers to statements that are given
// up.
const answerMargin = 200 * time.Millisecond

// beforeStop returns the earlier of a point in time and the one at which a stop gives
// statements up, both on CLOCK_BOOTTIME.
func (e *Engine) beforeStop(at time.Duration) time.Duration {
	if stopAt := time.Duration(e.stopAt.Load()); stopAt != 0 {
		return min(at, stopAt)
	}
	return at
}

// Drain ends sessions as they become idle outside a transaction, and waits until none
// is left or ctx ends. Statements that are sent or retried meanwhile end before ctx does.
func (e *Engine) Drain(ctx context.Context) error {
	if deadline, limited := ctx.Deadline(); limited {
		e.stopAt.Store(int64(clock.Boottime() + time.Until(deadline) - answerMargin))
	}
	e.drainStarted.Store(true)
	e.interruptIdle()
	awaitingFirst := time.AfterFunc(firstStatementTimeout, e.interruptAwaitingFirst)
	defer awaitingFirst.Stop()
	done := make(chan struct{})
	go func() {
		e.active.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// interruptIdle ends the sessions that are idle outside a transaction.
func (e *Engine) interruptIdle() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for s := range e.sessions {
		s.interruptIfIdle()
	}
}

// interruptAwaitingFirst ends the sessions whose first statement has not arrived.
func (e *Engine) interruptAwaitingFirst() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for s := range e.sessions {
		s.interruptIfAwaitingFirst()
	}
}

// EndTransactions rolls back the transactions that wait for their caller's next statement,
// and the others when their statement has been answered. It is called when half of the
// shutdown grace period has passed.
func (e *Engine) EndTransactions() {
	e.transactionsEnded.Store(true)
	e.mu.Lock()
	defer e.mu.Unlock()
	for s := range e.sessions {
		_ = s.conn.SetReadDeadline(time.Now()) // a session that runs a statement checks transactionsEnded before its next read
	}
}

// entry returns the catalogue entry (route) of a database.
func (e *Engine) entry(database string) (catalogue.Entry, error) {
	return e.source.Snapshot().Catalogue.Resolve(database, "", "")
}

func (e *Engine) newLane() broker.LaneID {
	return broker.LaneID{VM: e.self, Incarnation: e.incarnation, Number: e.lastLane.Add(1)}
}

// Sessions returns the number of open sessions.
func (e *Engine) Sessions() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.sessions)
}

// Dump returns the engine's state for the operator's dump command.
func (e *Engine) Dump() any {
	return map[string]any{"sessions": e.Sessions(), "servers": e.selector.dump(), "proofs": e.positions.dump()}
}
