package gateway

import (
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"egretroad/internal/catalogue"
)

// textOID is the OID of type text, the type of the columns in the proxy's own results.
const textOID = 25

// isLocal reports whether the proxy executes the statement itself. This includes
// the end of a transaction, which it sends to the server as a separate request.
func (st statement) isLocal() bool {
	switch st.Kind {
	case kindEmpty, kindBegin, kindCommit, kindRollback, kindDiscardAll, kindDeallocAll:
		return true
	case kindSet, kindReset:
		return st.setOK && isLocalSetting(st.set.Name)
	case kindShow:
		return isLocalSetting(st.showName)
	}
	return false
}

// localRowDescription returns the row description of a statement that the proxy executes itself.
func (st statement) localRowDescription() pgproto3.BackendMessage {
	if st.Kind != kindShow {
		return &pgproto3.NoData{}
	}
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name: []byte(st.showName), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1,
	}}}
}

// runLocal executes a statement for which isLocal is true.
func (s *session) runLocal(st statement) error {
	if err := s.checkAborted(st); err != nil {
		return err
	}
	switch st.Kind {
	case kindEmpty:
		s.conn.send(&pgproto3.EmptyQueryResponse{})
		return nil
	case kindBegin:
		s.beginTransaction(st)
	case kindCommit, kindRollback:
		return s.endTransaction(st)
	case kindSet, kindReset:
		return s.executeSet(st)
	case kindShow:
		return s.executeShow(st)
	case kindDiscardAll:
		return s.discardAll()
	case kindDeallocAll:
		s.clearStatements()
		s.sendComplete("DEALLOCATE ALL")
	}
	return nil
}

func (s *session) sendComplete(tag string) {
	s.conn.send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

func (s *session) sendWarning(code, message string) {
	s.conn.send(&pgproto3.NoticeResponse{Severity: "WARNING", SeverityUnlocalized: "WARNING", Code: code, Message: message})
}

// beginTransaction opens a transaction block. BEGIN is sent to the server together
// with the first statement, so that an empty transaction holds no connection and
// SET LOCAL egretroad.work can still set the kind of work.
func (s *session) beginTransaction(st statement) {
	tag := "BEGIN"
	if word, _ := nextKeyword(st.SQL); word == "START" {
		tag = "START TRANSACTION"
	}
	if s.txStatus != txIdle {
		s.sendWarning(codeActiveTxn, "there is already a transaction in progress")
		s.sendComplete(tag)
		return
	}
	s.txStatus = txOpen
	s.pendingBegin = trimStatement(st.SQL)
	s.workAtBegin = s.work
	s.settingsAtBegin = s.settings
	s.sendComplete(tag)
}

// endTransaction executes COMMIT and ROLLBACK.
func (s *session) endTransaction(st statement) error {
	tag := "COMMIT"
	if st.Kind == kindRollback || s.txStatus == txFailed {
		tag = "ROLLBACK"
	}
	switch {
	case s.lane != nil:
		return s.endTransactionOnServer(st)
	case s.txStatus == txIdle:
		s.sendWarning("25P01", "there is no transaction in progress")
	default:
		s.resetTransaction(tag == "COMMIT")
	}
	s.sendComplete(tag)
	return nil
}

// endTransactionOnServer sends the COMMIT or ROLLBACK to the server.
func (s *session) endTransactionOnServer(st statement) error {
	if err := s.batch.add(&pgproto3.Query{String: st.SQL}); err != nil {
		return err
	}
	s.batch.executed = append(s.batch.executed, st)
	rolledBack := st.Kind == kindRollback || s.txStatus == txFailed
	pending := s.conn.pendingBytes()
	err := s.runBatch(batchEndQuery)
	if err == nil || !rolledBack || s.lane != nil {
		return err
	}
	// The lane was lost and the transaction rolled back with it, as the caller requested.
	s.conn.truncate(min(pending, s.conn.pendingBytes()))
	s.resetTransaction(false)
	s.sendComplete("ROLLBACK")
	return nil
}

// resetTransaction returns the session to the idle status. Unless the transaction
// was committed, it restores the settings from before BEGIN.
func (s *session) resetTransaction(committed bool) {
	if !committed && s.txStatus != txIdle {
		if s.work != s.workAtBegin {
			s.work = s.workAtBegin
		}
		s.settings = s.settingsAtBegin
	}
	s.txStatus = txIdle
	s.pendingBegin = ""
	s.txnWork = nil
	s.clearPortals()
}

// checkAborted rejects statements in a failed transaction. While the transaction is
// open on a server, statements for the server are left for it to reject.
func (s *session) checkAborted(st statement) error {
	switch {
	case s.txStatus != txFailed, st.Kind == kindCommit, st.Kind == kindRollback, st.Kind == kindEmpty:
		return nil
	case s.lane != nil && !st.isLocal() && st.Kind != kindUnsupported:
		return nil
	}
	return errTxnAborted
}

// checkAccess rejects statements that may write if the kind of work is read-only.
func (s *session) checkAccess(st statement) error {
	e := s.txnEntry
	if s.lane == nil {
		var err error
		if e, err = s.resolveEntry(); err != nil {
			return err
		}
	}
	if e.Access != catalogue.AccessRead || st.Kind != kindOther {
		return nil
	}
	word, _ := nextKeyword(st.SQL)
	return &callerError{
		Code:    codeReadOnly,
		Message: fmt.Sprintf("cannot execute %.20s: kind of work %q only reads", word, e.Kind),
		Hint:    "Name a kind of work that writes by SET egretroad.work, or SET LOCAL at the start of the transaction.",
	}
}

// executeSet executes SET and RESET of a setting that the proxy manages.
func (s *session) executeSet(st statement) error {
	cmd := st.set
	tag := "SET"
	if st.Kind == kindReset {
		tag = "RESET"
	}
	if cmd.Default {
		cmd.Value = ""
	}
	if cmd.Local {
		if err := s.executeSetLocal(cmd); err != nil {
			return err
		}
		s.sendComplete(tag)
		return nil
	}
	before := s.work
	if err := s.setLocalSetting(cmd.Name, cmd.Value); err != nil {
		return err
	}
	if err := s.checkWork(); err != nil {
		s.work = before
		s.entryCatalogue = nil
		return err
	}
	s.sendComplete(tag)
	return nil
}

// executeSetLocal executes SET LOCAL of a setting that the proxy manages.
func (s *session) executeSetLocal(c setCommand) error {
	switch {
	case s.txStatus == txIdle:
		s.sendWarning("25P01", "SET LOCAL can only be used in transaction blocks")
		return nil
	case c.Name != settingWork:
		return s.setLocalSetting(c.Name, c.Value)
	case s.lane != nil:
		return &callerError{
			Code: codeActiveTxn, Message: "SET LOCAL egretroad.work must come before the first statement of the transaction",
			Hint: "Send it right after BEGIN.",
		}
	}
	work := c.Value
	before := s.txnWork
	s.txnWork = &work
	if c.Default {
		s.txnWork = nil
	}
	if err := s.checkWork(); err != nil {
		s.txnWork = before
		return err
	}
	return nil
}

// executeShow executes SHOW of a setting that the proxy manages.
func (s *session) executeShow(st statement) error {
	value, err := s.localSettingValue(st.showName)
	if err != nil {
		return err
	}
	if s.inSimpleQuery {
		s.conn.send(st.localRowDescription())
	}
	s.conn.send(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
	s.sendComplete("SHOW")
	return nil
}

// discardAll executes DISCARD ALL, with which connection pools reset a session.
func (s *session) discardAll() error {
	if s.txStatus != txIdle {
		return &callerError{Code: codeActiveTxn, Message: "DISCARD ALL cannot run inside a transaction block"}
	}
	s.clearStatements()
	s.settings = nil
	s.work = ""
	s.entryCatalogue = nil
	s.sendComplete("DISCARD ALL")
	return nil
}

func (s *session) clearStatements() {
	s.namedStatements = nil
	s.unnamedStatement = nil
	s.clearPortals()
}

// recordSettings stores the session settings that a server accepted, for use on
// later lanes.
func (s *session) recordSettings(executed []statement) {
	for _, st := range executed {
		if (st.Kind != kindSet && st.Kind != kindReset) || !st.setOK || st.set.Local || st.set.Transaction {
			continue
		}
		switch {
		case st.set.All:
			s.settings = nil
		case st.set.Default:
			s.settings = withoutSetting(s.settings, st.set.Name)
		default:
			s.settings = withSetting(s.settings, st.set.Name, strings.Clone(st.set.Value))
		}
	}
}
