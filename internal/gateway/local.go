package gateway

import (
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"egretroad/internal/catalogue"
)

// textOID is the type of the columns that the proxy answers itself.
const textOID = 25

// local reports whether the proxy answers the statement itself, or sends it on
// as a request of its own (the end of a transaction).
func (st statement) local() bool {
	switch st.Kind {
	case kindEmpty, kindBegin, kindCommit, kindRollback, kindDiscardAll, kindDeallocAll:
		return true
	case kindSet, kindReset:
		return st.setOK && isLocalSetting(st.set.Name)
	case kindShow:
		return isLocalSetting(st.show)
	}
	return false
}

// localRows describes the rows of a statement that the proxy answers itself.
func (st statement) localRows() pgproto3.BackendMessage {
	if st.Kind != kindShow {
		return &pgproto3.NoData{}
	}
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name: []byte(st.show), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1,
	}}}
}

// runLocal executes a statement for which local is true.
func (s *session) runLocal(st statement) error {
	if err := s.checkAborted(st); err != nil {
		return err
	}
	switch st.Kind {
	case kindEmpty:
		s.wire.send(&pgproto3.EmptyQueryResponse{})
		return nil
	case kindBegin:
		s.beginTransaction(st)
	case kindCommit, kindRollback:
		return s.endTransaction(st)
	case kindSet, kindReset:
		return s.setStatement(st)
	case kindShow:
		return s.showStatement(st)
	case kindDiscardAll:
		return s.discardAll()
	case kindDeallocAll:
		s.forgetStatements()
		s.complete("DEALLOCATE ALL")
	}
	return nil
}

func (s *session) complete(tag string) {
	s.wire.send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

func (s *session) warn(code, message string) {
	s.wire.send(&pgproto3.NoticeResponse{Severity: "WARNING", SeverityUnlocalized: "WARNING", Code: code, Message: message})
}

// beginTransaction opens a transaction block. The server sees BEGIN together
// with the first statement, so that no connection is held until there is work,
// and SET LOCAL egretroad.work can still choose the kind.
func (s *session) beginTransaction(st statement) {
	tag := "BEGIN"
	if word, _ := keyword(st.SQL); word == "START" {
		tag = "START TRANSACTION"
	}
	if s.tx != txIdle {
		s.warn(codeActiveTxn, "there is already a transaction in progress")
		s.complete(tag)
		return
	}
	s.tx = txOpen
	s.begin = trim(st.SQL)
	s.workBefore = s.work
	s.settingsBefore = s.settings
	s.complete(tag)
}

// endTransaction serves COMMIT and ROLLBACK.
func (s *session) endTransaction(st statement) error {
	tag := "COMMIT"
	if st.Kind == kindRollback || s.tx == txFailed {
		tag = "ROLLBACK"
	}
	switch {
	case s.lane != nil:
		return s.endOnServer(st)
	case s.tx == txIdle:
		s.warn("25P01", "there is no transaction in progress")
	default:
		s.finishTransaction(tag == "COMMIT")
	}
	s.complete(tag)
	return nil
}

// endOnServer sends the statement that ends the transaction.
func (s *session) endOnServer(st statement) error {
	if err := s.batch.add(&pgproto3.Query{String: st.SQL}); err != nil {
		return err
	}
	s.batch.executed = append(s.batch.executed, st)
	rolledBack := st.Kind == kindRollback || s.tx == txFailed
	pending := s.wire.pending()
	err := s.runCollected(runQuery)
	if err == nil || !rolledBack || s.lane != nil {
		return err
	}
	// The lane is lost, and with it the transaction: that is what the caller asked for.
	s.wire.truncate(min(pending, s.wire.pending()))
	s.finishTransaction(false)
	s.complete("ROLLBACK")
	return nil
}

// finishTransaction returns the session to the idle state.
func (s *session) finishTransaction(committed bool) {
	if !committed && s.tx != txIdle {
		if s.work != s.workBefore {
			s.work = s.workBefore
		}
		s.settings = s.settingsBefore
	}
	s.tx = txIdle
	s.begin = ""
	s.txnWork = nil
	s.forgetPortals()
}

// checkAborted refuses statements in a failed transaction. Those for a server
// are left to it while it has the transaction.
func (s *session) checkAborted(st statement) error {
	switch {
	case s.tx != txFailed, st.Kind == kindCommit, st.Kind == kindRollback, st.Kind == kindEmpty:
		return nil
	case s.lane != nil && !st.local() && st.Kind != kindRefused:
		return nil
	}
	return errAborted
}

// checkAccess refuses statements that write under a kind of work that reads.
func (s *session) checkAccess(st statement) error {
	e := s.entryTxn
	if s.lane == nil {
		var err error
		if e, err = s.resolve(); err != nil {
			return err
		}
	}
	if e.Access != catalogue.AccessRead || st.Kind != kindOther {
		return nil
	}
	word, _ := keyword(st.SQL)
	return &callerError{
		Code:    codeReadOnly,
		Message: fmt.Sprintf("cannot execute %.20s: kind of work %q only reads", word, e.Kind),
		Hint:    "Name a kind of work that writes by SET egretroad.work, or SET LOCAL at the start of the transaction.",
	}
}

// setStatement changes a setting of the proxy.
func (s *session) setStatement(st statement) error {
	c := st.set
	tag := "SET"
	if st.Kind == kindReset {
		tag = "RESET"
	}
	if c.Default {
		c.Value = ""
	}
	if c.Local {
		if err := s.setForTransaction(c); err != nil {
			return err
		}
		s.complete(tag)
		return nil
	}
	before := s.work
	if err := s.setLocal(c.Name, c.Value); err != nil {
		return err
	}
	if err := s.checkWork(); err != nil {
		s.work = before
		s.entryCatalogue = nil
		return err
	}
	s.complete(tag)
	return nil
}

// setForTransaction serves SET LOCAL.
func (s *session) setForTransaction(c setCommand) error {
	switch {
	case s.tx == txIdle:
		s.warn("25P01", "SET LOCAL can only be used in transaction blocks")
		return nil
	case c.Name != settingWork:
		return s.setLocal(c.Name, c.Value)
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

// showStatement answers SHOW of a setting of the proxy.
func (s *session) showStatement(st statement) error {
	value, err := s.show(st.show)
	if err != nil {
		return err
	}
	if s.simple {
		s.wire.send(st.localRows())
	}
	s.wire.send(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
	s.complete("SHOW")
	return nil
}

// discardAll resets the session, as connection pools ask for.
func (s *session) discardAll() error {
	if s.tx != txIdle {
		return &callerError{Code: codeActiveTxn, Message: "DISCARD ALL cannot run inside a transaction block"}
	}
	s.forgetStatements()
	s.settings = nil
	s.work = ""
	s.entryCatalogue = nil
	s.complete("DISCARD ALL")
	return nil
}

func (s *session) forgetStatements() {
	s.named = nil
	s.unnamed = nil
	s.forgetPortals()
}

// record keeps session settings that a server accepted.
func (s *session) record(executed []statement) {
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
