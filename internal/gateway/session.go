package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"egretroad/internal/catalogue"
	"egretroad/internal/mark"
	"egretroad/internal/outcome"
	"egretroad/internal/topology"
	"egretroad/internal/txn"
)

// Transaction states, as in ReadyForQuery.
const (
	txIdle   = 'I'
	txOpen   = 'T'
	txFailed = 'E'
)

// session is the state of one caller's connection. Its goroutine owns it, but
// for the fields that mu guards.
type session struct {
	gateway  *Gateway
	context  context.Context // parent of its requests' contexts
	wire     *wire
	user     string
	database string
	app      string
	pid      uint32
	secret   uint32
	id       string // prefix of the IDs of its requests
	caller   string // name in the homes' queues
	requests uint64 // requests sent so far, for their IDs

	work           string // kind of work of the session; empty: the database's default
	txnWork        *string
	workBefore     string // work at BEGIN, restored by ROLLBACK
	entry          catalogue.Entry
	entryCatalogue *catalogue.Catalogue // the catalogue that entry was resolved in
	entryKind      string

	settings       []txn.Setting
	settingsBefore []txn.Setting // settings at BEGIN, restored by ROLLBACK

	named   map[string]*prepared
	unnamed *prepared
	portals map[string]*prepared
	portal  *prepared // the unnamed portal
	batch   batch

	tx       byte
	begin    string // SQL of a BEGIN that no server has seen yet
	lane     txn.Lane
	laneOpen bool // lane holds messages that no Sync has ended
	laneUsed bool // a batch of the transaction was answered on the lane
	simple   bool // the request in progress is a Query
	skipping bool // messages are skipped until Sync, after an error
	entryTxn catalogue.Entry
	server   string // that served the last request

	drainUntil time.Time // end of an idle open transaction in a drain; zero: none

	mark      topology.Mark
	markTime  time.Duration // when mark was learned
	markKnown bool          // mark covers every earlier write of the caller

	mu         sync.Mutex // guards the fields below
	running    context.CancelFunc
	runLane    txn.Lane
	cancelled  bool
	inProgress bool
}

// loop serves the session until it ends.
func (s *session) loop() {
	defer s.end()
	for {
		if err := s.awaitInput(); err != nil {
			s.finish(err)
			return
		}
		msg, err := s.wire.receive()
		if err != nil {
			s.finish(err)
			return
		}
		if _, ok := msg.(*pgproto3.Terminate); ok {
			return
		}
		if err := s.handle(msg); err != nil {
			s.finish(err)
			return
		}
	}
}

// errDraining ends an idle session during a drain.
var errDraining error = errShutdown

// awaitInput waits for the first byte of a message, without buffers.
func (s *session) awaitInput() error {
	for {
		if s.wire.buffered() > 0 {
			return nil
		}
		if s.gateway.draining.Load() && s.idle() {
			if s.wire.poll() {
				return nil
			}
			return errDraining
		}
		err := s.wire.wait()
		if err == nil {
			s.unboundDrain()
			return nil
		}
		if !isTimeout(err) || !s.gateway.draining.Load() {
			return err
		}
		if !s.drainUntil.IsZero() && !time.Now().Before(s.drainUntil) {
			return errDraining // the transaction was idle for too long
		}
		s.boundDrain()
	}
}

// boundDrain bounds the time that an open transaction may be idle in a drain.
func (s *session) boundDrain() {
	limit := s.entryTxn.IdleInTxn.Duration()
	if limit <= 0 {
		limit = s.gateway.options.DefaultIdleInTxn
	}
	s.drainUntil = time.Now().Add(limit)
	_ = s.wire.conn.SetReadDeadline(s.drainUntil)
}

// unboundDrain removes the bound once the caller has sent something.
func (s *session) unboundDrain() {
	if !s.drainUntil.IsZero() {
		s.drainUntil = time.Time{}
		_ = s.wire.conn.SetReadDeadline(time.Time{})
	}
}

// idle reports whether nothing of the session is in progress. A transaction
// that no server has seen counts as nothing.
func (s *session) idle() bool {
	return s.lane == nil && !s.skipping && s.batch.empty()
}

// finish reports the error that ends the session, if the caller can read it.
func (s *session) finish(err error) {
	var c *callerError
	if !errors.As(err, &c) {
		if isConnectionError(err) {
			s.wire.close()
			return
		}
		c = errProtocol(err)
	}
	if c.Code == codeProtocol {
		s.gateway.counters.protocolErrors.Add(1)
	}
	s.closeLane()
	s.wire.send(c.response())
	s.wire.closeAfterError()
}

// end releases what the session holds.
func (s *session) end() {
	s.closeLane()
	s.batch.reset()
	s.wire.close()
	s.wire.release()
}

func (s *session) closeLane() {
	if s.lane != nil {
		s.lane.Close()
		s.dropLane()
	}
}

func (s *session) dropLane() {
	s.lane = nil
	s.laneOpen = false
	s.laneUsed = false
}

// handle serves one message. An error ends the session.
func (s *session) handle(msg pgproto3.FrontendMessage) error {
	switch m := msg.(type) {
	case *pgproto3.Query:
		return s.query(m.String)
	case *pgproto3.Sync:
		return s.sync()
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return nil // left over from a COPY that was refused
	case *pgproto3.FunctionCall:
		s.fail(&callerError{Code: codeUnsupported, Message: "function calls by message are not supported through egretroad", Hint: "Use SELECT."})
		return s.ready()
	case *pgproto3.PasswordMessage:
		return errProtocol(&unexpectedMessageError{Want: "no password message now"})
	}
	if s.skipping {
		return nil
	}
	if err := s.extended(msg); err != nil {
		s.fail(err)
		s.skipping = true
	}
	if s.batch.size() > s.gateway.options.MaxBatchBytes {
		return errProtocol(&messageTooLargeError{Bytes: s.batch.size(), Limit: s.gateway.options.MaxBatchBytes})
	}
	return nil
}

// fail reports an error of a request and settles the transaction's state.
func (s *session) fail(err error) {
	s.batch.reset()
	c := s.gateway.describe(err, s.entry)
	s.wire.send(c.response())
	if s.tx != txFailed {
		s.closeLane()
		s.begin = ""
	}
	if s.tx == txOpen {
		s.tx = txFailed
	}
}

// ready ends a request: everything so far is sent to the caller.
func (s *session) ready() error {
	s.skipping = false
	s.wire.unreserve()
	s.wire.send(&pgproto3.ReadyForQuery{TxStatus: s.tx})
	return s.wire.flush()
}

// cancel stops the request in progress. Any goroutine may call it.
func (s *session) cancel() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.inProgress {
		return
	}
	s.cancelled = true
	if s.runLane != nil {
		s.runLane.Cancel()
		return
	}
	s.running()
}

// raiseMark takes a mark into account. From then on the caller's earlier writes
// are known to be covered.
func (s *session) raiseMark(m topology.Mark) {
	if m.IsZero() {
		return
	}
	s.mark = topology.Max(s.mark, m)
	s.markTime = s.gateway.deps.Now()
	s.markKnown = true
}

// resolve returns the entry of the session's kind of work.
func (s *session) resolve() (catalogue.Entry, error) {
	kind := s.work
	if s.txnWork != nil {
		kind = *s.txnWork
	}
	c := s.gateway.deps.Source.Snapshot().Catalogue
	if c == s.entryCatalogue && kind == s.entryKind {
		return s.entry, nil
	}
	if c == nil {
		return catalogue.Entry{}, &outcome.NotRunError{Reason: outcome.ReasonUnavailable, Detail: "the catalogue is not known yet"}
	}
	e, err := c.Resolve(s.database, kind, s.user)
	if err != nil {
		return catalogue.Entry{}, &outcome.NotRunError{Reason: outcome.ReasonUnknownWork, Detail: err.Error(), Cause: err}
	}
	s.entry, s.entryCatalogue, s.entryKind = e, c, kind
	return e, nil
}

// checkWork refuses a kind of work that the catalogue does not have.
func (s *session) checkWork() error {
	_, err := s.resolve()
	var notRun *outcome.NotRunError
	if errors.As(err, &notRun) && notRun.Reason == outcome.ReasonUnknownWork {
		return &callerError{
			Code: codeInvalidValue, Message: notRun.Detail, Detail: detail(true, notRun.Reason, outcomeNotRun),
			Hint: "Name a kind of work of the catalogue by the parameter egretroad.work.",
		}
	}
	// While the catalogue is unknown, requests are refused one by one.
	return nil
}

// show returns the value of a setting that the proxy keeps.
func (s *session) show(name string) (string, error) {
	switch name {
	case settingApp:
		return s.app, nil
	case settingMark:
		return mark.Encode(s.gateway.options.FleetKey, s.mark), nil
	case settingServer:
		return s.server, nil
	case settingWork:
		e, err := s.resolve()
		return e.Kind, err
	}
	return "", &callerError{Code: codeUnknownSetting, Message: "unrecognized configuration parameter \"" + name + "\""}
}
