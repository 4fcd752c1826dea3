package gateway

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"egretroad/internal/catalogue"
	"egretroad/internal/txn"
)

// query serves a message of the simple protocol.
func (s *session) query(sql string) error {
	if s.skipping {
		return nil
	}
	s.simple = true
	err := s.runQuery(sql)
	s.simple = false
	if err != nil {
		s.fail(err)
	}
	s.batch.reset()
	s.unnamed = nil
	if s.tx == txIdle {
		s.forgetPortals()
	}
	return s.ready()
}

func (s *session) runQuery(sql string) error {
	if err := s.sendOn(); err != nil {
		return err
	}
	if s.skipping {
		return nil // a server's error in what came before ends this request too
	}
	parts := splitStatements(sql)
	statements := make([]statement, 0, 1)
	for _, part := range parts {
		st := classify(part)
		if st.Kind == kindRefused {
			if err := s.checkAborted(st); err != nil {
				return err
			}
			return errUnsupported(st.Refuse)
		}
		statements = append(statements, st)
	}
	if len(statements) == 1 && statements[0].local() {
		return s.runLocal(statements[0])
	}
	for _, st := range statements {
		if err := s.checkPart(st, len(statements) > 1); err != nil {
			return err
		}
	}
	if err := s.batch.add(&pgproto3.Query{String: sql}); err != nil {
		return err
	}
	s.batch.executed = append(s.batch.executed, statements...)
	return s.runCollected(runQuery)
}

// checkPart checks a statement of a simple query before any is sent.
func (s *session) checkPart(st statement, several bool) error {
	if several && st.local() {
		switch st.Kind {
		case kindBegin, kindCommit, kindRollback, kindEmpty:
		default:
			return errUnsupported(refuseMulti)
		}
	}
	if s.tx == txFailed && s.lane == nil {
		return errAborted
	}
	if (st.Kind == kindSet || st.Kind == kindReset) && !st.setOK {
		return &callerError{Code: codeSyntax, Message: "this form of SET is not supported through egretroad", Hint: "Use SET name = value."}
	}
	if st.setOK && st.set.Name == "client_encoding" && !st.set.Default && !isDefaultValue("client_encoding", st.set.Value) {
		return errEncoding(st.set.Value)
	}
	return s.checkAccess(st)
}

// runMode says how the collected messages end.
type runMode int

const (
	runSync  runMode = iota // by Sync
	runFlush                // by Flush: the implicit transaction goes on
	runQuery                // they are a Query
)

var (
	encodedSync, _  = (&pgproto3.Sync{}).Encode(nil)
	encodedFlush, _ = (&pgproto3.Flush{}).Encode(nil)
)

// runBatch sends the collected messages of the extended protocol.
func (s *session) runBatch(flush bool) error {
	if flush {
		return s.runCollected(runFlush)
	}
	return s.runCollected(runSync)
}

// runCollected sends the collected messages and delivers their answer.
func (s *session) runCollected(mode runMode) error {
	if s.batch.messages == nil {
		s.batch.messages = batchPool.Get().(*[]byte)
	}
	switch mode {
	case runSync:
		*s.batch.messages = append(*s.batch.messages, encodedSync...)
	case runFlush:
		*s.batch.messages = append(*s.batch.messages, encodedFlush...)
	}
	b := txn.Batch{
		Messages:   *s.batch.messages,
		Statements: s.batch.statements,
		Flush:      mode == runFlush,
		MayCommit:  s.mayCommit(mode),
	}
	result, err := s.perform(b)
	if err == nil {
		s.settle(mode, result)
	}
	s.batch.reset()
	return err
}

// mayCommit reports whether the collected messages can commit a write.
func (s *session) mayCommit(mode runMode) bool {
	if mode == runFlush || s.readsOnly() {
		return false
	}
	if s.tx == txIdle {
		return true
	}
	for _, st := range s.batch.executed {
		if st.endsTransaction() {
			return true
		}
	}
	return false
}

// readsOnly reports whether the request's kind of work only reads.
func (s *session) readsOnly() bool {
	if s.lane != nil {
		return s.entryTxn.Access == catalogue.AccessRead
	}
	e, err := s.resolve()
	return err == nil && e.Access == catalogue.AccessRead
}

// settle takes the result of a batch into the session's state.
func (s *session) settle(mode runMode, r txn.Result) {
	if mode == runFlush && r.TxStatus == 0 {
		s.laneOpen = true
		s.skipping = s.skipping || r.Failed
		return
	}
	s.laneOpen = false
	for _, p := range s.batch.parsed {
		p.confirmed = p.confirmed || !r.Failed
	}
	before, settingsBefore := s.tx, s.settings
	if !r.Failed {
		s.record(s.batch.executed)
	}
	switch r.TxStatus {
	case txIdle:
		s.dropLane()
		s.finishTransaction(!r.Failed && !(before == txFailed) && !s.rolledBack())
	default:
		if before == txIdle {
			s.workBefore, s.settingsBefore = s.work, settingsBefore
		}
		s.tx = r.TxStatus
		s.begin = ""
	}
	if r.Failed && !s.simple {
		s.skipping = true
	}
}

// rolledBack reports whether the batch ended its transaction by ROLLBACK.
func (s *session) rolledBack() bool {
	n := len(s.batch.executed)
	return n > 0 && s.batch.executed[n-1].Kind == kindRollback
}
