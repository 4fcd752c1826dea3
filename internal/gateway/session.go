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

// Transaction statuses, as sent in ReadyForQuery.
const (
	txIdle   = 'I'
	txOpen   = 'T'
	txFailed = 'E'
)

// session is the state of one caller's connection. The connection's goroutine
// owns it, except for the fields that mu guards.
type session struct {
	gateway       *Gateway
	context       context.Context // parent of the request contexts
	conn          *wireConn
	user          string
	database      string
	appName       string
	pid           uint32
	secret        uint32
	requestPrefix string // prefix of request IDs
	callerName    string // identifies the session in the queues of homes
	requestCount  uint64 // requests sent so far, the suffix of request IDs

	work           string  // kind of work of the session; empty: the database's default
	txnWork        *string // kind of work set by SET LOCAL for the transaction; nil: none
	workAtBegin    string  // work at BEGIN, restored by ROLLBACK
	entry          catalogue.Entry
	entryCatalogue *catalogue.Catalogue // the catalogue from which entry was resolved
	entryKind      string

	settings        []txn.Setting
	settingsAtBegin []txn.Setting // settings at BEGIN, restored by ROLLBACK

	namedStatements  map[string]*preparedStatement
	unnamedStatement *preparedStatement
	namedPortals     map[string]*preparedStatement
	unnamedPortal    *preparedStatement
	batch            batch

	txStatus      byte
	pendingBegin  string // SQL of a BEGIN that was not sent to a server yet
	lane          txn.Lane
	awaitingSync  bool // messages were sent on the lane after its last Sync
	laneAnswered  bool // a batch of the transaction was answered on the lane
	inSimpleQuery bool // the request in progress is a Query
	skipUntilSync bool // after an error, messages are ignored until Sync
	txnEntry      catalogue.Entry
	lastServer    string // server of the last request

	drainDeadline time.Time // when a drain ends an idle open transaction; zero: no limit

	mark          topology.Mark
	markUpdatedAt time.Duration // when mark was last advanced
	markComplete  bool          // mark covers every earlier write of the caller

	mu            sync.Mutex // guards the fields below
	cancelRunning context.CancelFunc
	runningLane   txn.Lane
	cancelled     bool
	inProgress    bool
}

// serve processes messages until the session ends.
func (s *session) serve() {
	defer s.release()
	for {
		if err := s.awaitInput(); err != nil {
			s.endWithError(err)
			return
		}
		msg, err := s.conn.receive()
		if err != nil {
			s.endWithError(err)
			return
		}
		if _, ok := msg.(*pgproto3.Terminate); ok {
			return
		}
		if err := s.handleMessage(msg); err != nil {
			s.endWithError(err)
			return
		}
	}
}

// errDraining ends an idle session during a drain.
var errDraining error = errShuttingDown

// awaitInput waits for the first byte of a message without holding buffers.
func (s *session) awaitInput() error {
	for {
		if s.conn.buffered() > 0 {
			return nil
		}
		if s.gateway.draining.Load() && s.idle() {
			if s.conn.pollInput() {
				return nil
			}
			return errDraining
		}
		if s.gateway.draining.Load() && s.drainDeadline.IsZero() {
			s.setDrainDeadline()
		}
		if s.gateway.drainEnded.Load() { // set before the read is interrupted
			return errDraining
		}
		err := s.conn.waitForInput()
		if err == nil {
			s.clearDrainDeadline()
			return nil
		}
		if !isTimeout(err) || !s.gateway.draining.Load() {
			return err
		}
		if !s.drainDeadline.IsZero() && !time.Now().Before(s.drainDeadline) {
			return errDraining // the transaction exceeded its idle limit
		}
		s.setDrainDeadline()
	}
}

// setDrainDeadline limits how long an open transaction may stay idle during a drain.
func (s *session) setDrainDeadline() {
	limit := s.txnEntry.IdleInTxn.Duration()
	if limit <= 0 {
		limit = s.gateway.options.DefaultIdleInTxn
	}
	s.drainDeadline = time.Now().Add(limit)
	_ = s.conn.netConn.SetReadDeadline(s.drainDeadline)
}

// clearDrainDeadline removes the limit once the caller has sent something.
func (s *session) clearDrainDeadline() {
	if !s.drainDeadline.IsZero() {
		s.drainDeadline = time.Time{}
		_ = s.conn.netConn.SetReadDeadline(time.Time{})
	}
}

// idle reports whether the session has nothing in progress. A transaction whose
// BEGIN was not sent to a server yet counts as idle.
func (s *session) idle() bool {
	return s.lane == nil && !s.skipUntilSync && s.batch.empty()
}

// endWithError closes the connection. It first sends the error to the caller,
// unless the connection itself failed.
func (s *session) endWithError(err error) {
	var callerErr *callerError
	if !errors.As(err, &callerErr) {
		if isConnectionError(err) {
			s.conn.close()
			return
		}
		callerErr = protocolError(err)
	}
	if callerErr.Code == codeProtocol {
		s.gateway.counters.protocolErrors.Add(1)
	}
	s.closeLane()
	s.conn.send(callerErr.response())
	s.conn.closeAfterError()
}

// release frees the session's lane, buffers and connection.
func (s *session) release() {
	s.closeLane()
	s.batch.reset()
	s.conn.close()
	s.conn.releaseBuffers()
}

func (s *session) closeLane() {
	if s.lane != nil {
		s.lane.Close()
		s.clearLane()
	}
}

func (s *session) clearLane() {
	s.lane = nil
	s.awaitingSync = false
	s.laneAnswered = false
}

// handleMessage processes one message. An error ends the session.
func (s *session) handleMessage(msg pgproto3.FrontendMessage) error {
	switch m := msg.(type) {
	case *pgproto3.Query:
		return s.handleQuery(m.String)
	case *pgproto3.Sync:
		return s.handleSync()
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return nil // the rest of a COPY that was rejected
	case *pgproto3.FunctionCall:
		s.failRequest(&callerError{Code: codeUnsupported, Message: "function calls by message are not supported through egretroad", Hint: "Use SELECT."})
		return s.sendReady()
	case *pgproto3.PasswordMessage:
		return protocolError(&unexpectedMessageError{Want: "no password message now"})
	}
	if s.skipUntilSync {
		return nil
	}
	if err := s.handleExtended(msg); err != nil {
		s.failRequest(err)
		s.skipUntilSync = true
	}
	if s.batch.size() > s.gateway.options.MaxBatchBytes {
		return protocolError(&messageTooLargeError{Bytes: s.batch.size(), Limit: s.gateway.options.MaxBatchBytes})
	}
	return nil
}

// failRequest sends the error of a request to the caller and updates the
// transaction status.
func (s *session) failRequest(err error) {
	s.batch.reset()
	c := s.gateway.toCallerError(err, s.entry)
	s.conn.send(c.response())
	if s.txStatus != txFailed {
		s.closeLane()
		s.pendingBegin = ""
	}
	if s.txStatus == txOpen {
		s.txStatus = txFailed
	}
}

// sendReady ends a request with ReadyForQuery and flushes the response.
func (s *session) sendReady() error {
	s.skipUntilSync = false
	s.conn.releaseReserved()
	s.conn.send(&pgproto3.ReadyForQuery{TxStatus: s.txStatus})
	return s.conn.flush()
}

// cancel cancels the request in progress, if any. Any goroutine may call it.
func (s *session) cancel() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.inProgress {
		return
	}
	s.cancelled = true
	if s.runningLane != nil {
		s.runningLane.Cancel()
		return
	}
	s.cancelRunning()
}

// advanceMark merges m into the session's mark, which then covers all earlier
// writes of the caller.
func (s *session) advanceMark(m topology.Mark) {
	if m.IsZero() {
		return
	}
	s.mark = topology.Max(s.mark, m)
	s.markUpdatedAt = s.gateway.deps.Now()
	s.markComplete = true
}

// resolveEntry returns the catalogue entry of the session's kind of work.
func (s *session) resolveEntry() (catalogue.Entry, error) {
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

// checkWork returns an error if the catalogue has no such kind of work.
func (s *session) checkWork() error {
	_, err := s.resolveEntry()
	var notRun *outcome.NotRunError
	if errors.As(err, &notRun) && notRun.Reason == outcome.ReasonUnknownWork {
		return &callerError{
			Code: codeInvalidValue, Message: notRun.Detail, Detail: errorDetail(true, notRun.Reason, outcomeNotRun),
			Hint: "Name a kind of work of the catalogue by the parameter egretroad.work.",
		}
	}
	// Until the catalogue is loaded, each request is rejected on its own.
	return nil
}

// localSettingValue returns the value of a setting that the proxy manages.
func (s *session) localSettingValue(name string) (string, error) {
	switch name {
	case settingApp:
		return s.appName, nil
	case settingMark:
		return mark.Encode(s.gateway.options.FleetKey, s.mark), nil
	case settingServer:
		return s.lastServer, nil
	case settingWork:
		e, err := s.resolveEntry()
		return e.Kind, err
	}
	return "", &callerError{Code: codeUnknownSetting, Message: "unrecognized configuration parameter \"" + name + "\""}
}
