package session

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/time/rate"

	"egretroad/internal/broker"
	"egretroad/internal/catalogue"
	"egretroad/internal/metrics"
	"egretroad/internal/statement"
	"egretroad/internal/topology"
)

// Options are the times and bounds of sessions.
type Options struct {
	// MaxSessions bounds the callers' connections.
	MaxSessions int
	// IdleInTxn bounds the pauses inside a transaction whose entry names no bound.
	IdleInTxn time.Duration
	// GapWait is how long work waits for a group that has no primary: a promotion
	// takes about two seconds from the crash.
	GapWait time.Duration
	// RetryPause is the first pause before servers are tried again after each refused;
	// later ones grow to RetryPauseMax.
	RetryPause    time.Duration
	RetryPauseMax time.Duration
	// SampleMargin is added to the age at which a proven position is too old.
	SampleMargin time.Duration
	// SuccessLines bounds the log lines of successes a second: twice a VM's share of
	// a calm day. Statements that did not succeed always have theirs.
	SuccessLines float64
	Choice       ChoiceOptions
}

// DefaultOptions returns the defaults.
func DefaultOptions() Options {
	return Options{
		MaxSessions: 3500, IdleInTxn: 5 * time.Second, GapWait: 3500 * time.Millisecond,
		RetryPause: 50 * time.Millisecond, RetryPauseMax: 200 * time.Millisecond, SampleMargin: 50 * time.Millisecond, SuccessLines: 100,
		Choice: DefaultChoiceOptions(),
	}
}

// retryPauses returns the pauses between the rounds of tries of one statement. They
// differ between statements, so that those that wait do not come back together.
func (o Options) retryPauses() backoff.BackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = o.RetryPause, o.RetryPauseMax
	return b
}

// Engine serves every session of this VM.
type Engine struct {
	options Options
	self    string
	start   uint64 // incarnation, for lane IDs
	source  topology.Source
	broker  broker.Broker
	log     hclog.Logger
	wire    func(net.Conn) Conn
	marks   *samples
	chooser *chooser
	counts  counts

	lanes        atomic.Uint64
	ids          atomic.Uint64
	successLines *rate.Limiter
	stopping     atomic.Bool
	serving      sync.WaitGroup

	mu       sync.Mutex // guards sessions
	sessions map[*session]struct{}
}

// Deps are the parts that sessions work with.
type Deps struct {
	Self    topology.VM
	Start   uint64 // incarnation of the process
	Source  topology.Source
	Broker  broker.Broker
	Wire    func(net.Conn) Conn
	Log     hclog.Logger
	Metrics *metrics.Registry
}

// New returns an engine without sessions.
func New(o Options, d Deps) *Engine {
	e := &Engine{
		options: o, self: d.Self.ID, start: d.Start, source: d.Source, broker: d.Broker, log: d.Log, wire: d.Wire,
		chooser:      newChooser(o.Choice, d.Self),
		successLines: rate.NewLimiter(rate.Limit(o.SuccessLines), int(o.SuccessLines)),
		sessions:     map[*session]struct{}{},
	}
	e.marks = newSamples(e)
	e.counts = newCounts(d.Metrics)
	d.Metrics.Gauge("sessions", "Callers' sessions.", func() float64 { return float64(e.Sessions()) })
	return e
}

// Serve accepts callers until the listener is closed.
func (e *Engine) Serve(listener net.Listener) error {
	ended := make(chan struct{})
	defer close(ended)
	go e.forgetServers(ended)
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		s := &session{e: e, id: e.ids.Add(1), conn: e.wire(conn)}
		if !e.begun(s) {
			e.log.Warn("session_refused", "session", s.id, "limit", e.options.MaxSessions)
			_ = s.conn.Fail(statement.Busy, "too many sessions") // the connection is closed
			_ = s.conn.Close()                                   // as above
			continue
		}
		go s.serve()
	}
}

// forgetServers drops what was learned of servers that are gone.
func (e *Engine) forgetServers(ended <-chan struct{}) {
	for {
		changed := e.source.Changed()
		e.chooser.keep(e.source.Snapshot())
		select {
		case <-changed:
		case <-ended:
			return
		}
	}
}

func (e *Engine) begun(s *session) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.sessions) >= e.options.MaxSessions {
		return false
	}
	e.sessions[s] = struct{}{}
	e.serving.Add(1)
	return true
}

func (e *Engine) ended(s *session) {
	e.mu.Lock()
	delete(e.sessions, s)
	e.mu.Unlock()
	e.serving.Done()
}

func (e *Engine) closing() bool { return e.stopping.Load() }

// Drain ends sessions between their operations, and waits until none is left or
// ctx ends.
func (e *Engine) Drain(ctx context.Context) error {
	e.stopping.Store(true)
	e.interruptIdle()
	unused := time.AfterFunc(firstStatement, e.interruptUnused)
	defer unused.Stop()
	done := make(chan struct{})
	go func() {
		e.serving.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// interruptIdle ends the sessions that wait for their next operation.
func (e *Engine) interruptIdle() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for s := range e.sessions {
		s.interrupt()
	}
}

// interruptUnused ends the sessions whose first statement has not come.
func (e *Engine) interruptUnused() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for s := range e.sessions {
		s.interruptUnused()
	}
}

// RollBackOpen ends the transactions that wait for their caller's next statement
// at a stop, half of whose time has passed.
func (e *Engine) RollBackOpen() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for s := range e.sessions {
		_ = s.conn.SetReadDeadline(time.Now()) // one that answers a statement reads later
	}
}

// entry returns the entry that serves a database.
func (e *Engine) entry(database string) (catalogue.Entry, error) {
	return e.source.Snapshot().Catalogue.Resolve(database, "", "")
}

func (e *Engine) newLane() broker.LaneID {
	return broker.LaneID{VM: e.self, Start: e.start, Number: e.lanes.Add(1)}
}

// Sessions returns the number of sessions.
func (e *Engine) Sessions() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.sessions)
}

// Dump returns the state for operators.
func (e *Engine) Dump() any {
	return map[string]any{"sessions": e.Sessions(), "servers": e.chooser.dump(), "proofs": e.marks.dump()}
}
