package gateway

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"egretroad/internal/catalogue"
	"egretroad/internal/txn"
)

// handleQuery processes a message of the simple query protocol.
func (s *session) handleQuery(sql string) error {
	if s.skipUntilSync {
		return nil
	}
	s.inSimpleQuery = true
	err := s.runSimpleQuery(sql)
	s.inSimpleQuery = false
	if err != nil {
		s.failRequest(err)
	}
	s.batch.reset()
	s.unnamedStatement = nil
	if s.txStatus == txIdle {
		s.clearPortals()
	}
	return s.sendReady()
}

func (s *session) runSimpleQuery(sql string) error {
	if err := s.flushBatch(); err != nil {
		return err
	}
	if s.skipUntilSync {
		return nil // an error in the messages before the query ends this request too
	}
	parts := splitStatements(sql)
	statements := make([]statement, 0, 1)
	for _, part := range parts {
		st := classify(part)
		if st.Kind == kindUnsupported {
			if err := s.checkAborted(st); err != nil {
				return err
			}
			return unsupportedError(st.Unsupported)
		}
		statements = append(statements, st)
	}
	if len(statements) == 1 && statements[0].isLocal() {
		return s.runLocal(statements[0])
	}
	for _, st := range statements {
		if err := s.checkStatement(st, len(statements) > 1); err != nil {
			return err
		}
	}
	if err := s.batch.add(&pgproto3.Query{String: sql}); err != nil {
		return err
	}
	s.batch.executed = append(s.batch.executed, statements...)
	return s.runBatch(batchEndQuery)
}

// checkStatement checks a statement before it is sent to a server. All statements
// of a simple query are checked before the query is sent.
func (s *session) checkStatement(st statement, multiple bool) error {
	if multiple && st.isLocal() {
		switch st.Kind {
		case kindBegin, kindCommit, kindRollback, kindEmpty:
		default:
			return unsupportedError(unsupportedMulti)
		}
	}
	if s.txStatus == txFailed && s.lane == nil {
		return errTxnAborted
	}
	if (st.Kind == kindSet || st.Kind == kindReset) && !st.setOK {
		return &callerError{Code: codeSyntax, Message: "this form of SET is not supported through egretroad", Hint: "Use SET name = value."}
	}
	if st.setOK && st.set.Name == "client_encoding" && !st.set.Default && !isDefaultValue("client_encoding", st.set.Value) {
		return unsupportedEncodingError(st.set.Value)
	}
	return s.checkAccess(st)
}

// batchEnd is the way in which a batch ends.
type batchEnd int

const (
	batchEndSync  batchEnd = iota // with a Sync
	batchEndFlush                 // with a Flush; the implicit transaction stays open
	batchEndQuery                 // without either: the batch is a Query message
)

var (
	encodedSync, _  = (&pgproto3.Sync{}).Encode(nil)
	encodedFlush, _ = (&pgproto3.Flush{}).Encode(nil)
)

// runExtendedBatch sends the collected messages of the extended query protocol.
func (s *session) runExtendedBatch(flush bool) error {
	if flush {
		return s.runBatch(batchEndFlush)
	}
	return s.runBatch(batchEndSync)
}

// runBatch sends the collected messages and forwards the response to the caller.
func (s *session) runBatch(mode batchEnd) error {
	if s.batch.messages == nil {
		s.batch.messages = batchPool.Get().(*[]byte)
	}
	switch mode {
	case batchEndSync:
		*s.batch.messages = append(*s.batch.messages, encodedSync...)
	case batchEndFlush:
		*s.batch.messages = append(*s.batch.messages, encodedFlush...)
	}
	b := txn.Batch{
		Messages:   *s.batch.messages,
		Statements: s.batch.statements,
		Flush:      mode == batchEndFlush,
		MayCommit:  s.mayCommit(mode),
	}
	result, err := s.execute(b)
	if err == nil {
		s.applyResult(mode, result)
	}
	s.batch.reset()
	return err
}

// mayCommit reports whether the batch can commit a write.
func (s *session) mayCommit(mode batchEnd) bool {
	if mode == batchEndFlush || s.isReadOnly() {
		return false
	}
	if s.txStatus == txIdle {
		return true
	}
	for _, st := range s.batch.executed {
		if st.commitsTransaction() {
			return true
		}
	}
	return false
}

// isReadOnly reports whether the request's kind of work is read-only.
func (s *session) isReadOnly() bool {
	if s.lane != nil {
		return s.txnEntry.Access == catalogue.AccessRead
	}
	e, err := s.resolveEntry()
	return err == nil && e.Access == catalogue.AccessRead
}

// applyResult updates the session with the result of a batch.
func (s *session) applyResult(mode batchEnd, r txn.Result) {
	if mode == batchEndFlush && r.TxStatus == 0 {
		s.awaitingSync = true
		s.skipUntilSync = s.skipUntilSync || r.Failed
		return
	}
	s.awaitingSync = false
	for _, p := range s.batch.parsed {
		p.accepted = p.accepted || !r.Failed
	}
	before, settingsBefore := s.txStatus, s.settings
	if !r.Failed {
		s.recordSettings(s.batch.executed)
	}
	switch r.TxStatus {
	case txIdle:
		s.clearLane()
		s.resetTransaction(!r.Failed && !(before == txFailed) && !s.endedByRollback())
	default:
		if before == txIdle {
			s.workAtBegin, s.settingsAtBegin = s.work, settingsBefore
		}
		s.txStatus = r.TxStatus
		s.pendingBegin = ""
	}
	if r.Failed && !s.inSimpleQuery {
		s.skipUntilSync = true
	}
}

// endedByRollback reports whether the last statement of the batch is a ROLLBACK.
func (s *session) endedByRollback() bool {
	n := len(s.batch.executed)
	return n > 0 && s.batch.executed[n-1].Kind == kindRollback
}
