package pgserver

import "github.com/jackc/pgx/v5/pgproto3"

// ensureTxn opens a transaction if none is open. The transaction is implicit until BEGIN
// sets inBlock.
func (c *conn) ensureTxn() {
	if c.txn != nil {
		return
	}
	value, _ := c.settings.get(settingReadOnly)
	c.txn = &transaction{readOnly: isOn(value)}
}

// runTransactionControl runs BEGIN, COMMIT, ROLLBACK and SET TRANSACTION.
func (c *conn) runTransactionControl(st *statement) (*result, error) {
	switch st.kind {
	case kindBegin:
		if c.inBlock {
			c.sendWarning(codeActiveTransaction, "there is already a transaction in progress")
			return &result{tag: "BEGIN"}, nil
		}
		c.ensureTxn()
		c.inBlock = true
		c.applyTransactionModes(st.modes)
		return &result{tag: "BEGIN"}, nil
	case kindSetTransaction:
		c.ensureTxn()
		c.applyTransactionModes(st.modes)
		return &result{tag: "SET"}, nil
	case kindRollback:
		if !c.inBlock {
			c.sendWarning("25P01", "there is no transaction in progress")
		}
		c.endTxn(false)
		return &result{tag: "ROLLBACK"}, nil
	}
	if c.txnFailed {
		c.endTxn(false)
		return &result{tag: "ROLLBACK"}, nil
	}
	if !c.inBlock {
		c.sendWarning("25P01", "there is no transaction in progress")
	}
	if err := c.commitTxn(); err != nil {
		return nil, err
	}
	return &result{tag: "COMMIT"}, nil
}

func (c *conn) applyTransactionModes(modes []transactionMode) {
	for _, m := range modes {
		switch m {
		case modeReadOnly:
			c.txn.readOnly = true
		case modeReadWrite:
			c.txn.readOnly = false
		}
	}
}

func (c *conn) sendWarning(code, message string) {
	c.backend.Send(&pgproto3.NoticeResponse{
		Severity:            "WARNING",
		SeverityUnlocalized: "WARNING",
		Code:                code,
		Message:             message,
	})
}

// commitImplicit commits the open transaction unless it is in a transaction block.
func (c *conn) commitImplicit() error {
	if c.inBlock || c.txn == nil {
		return nil
	}
	return c.commitTxn()
}

// commitTxn commits the open transaction. Fault injection may drop the connection before
// or after the commit is applied, so that the client does not learn the outcome.
func (c *conn) commitTxn() error {
	cut := cutNone
	if c.txn != nil && len(c.txn.writeOrder) > 0 {
		cut = c.server.drawCommitCut()
	}
	if cut == cutBeforeApply {
		return &connectionLostError{reason: "injected cut before the commit was applied"}
	}
	var err error
	if c.txn != nil {
		err = c.server.commit(c.txn)
	}
	if cut == cutAfterApply {
		return &connectionLostError{reason: "injected cut after the commit was applied"}
	}
	c.endTxn(err == nil)
	return err
}

// endTxn ends the open transaction and its block, with the settings and portals that are
// bound to it.
func (c *conn) endTxn(committed bool) {
	if c.txn != nil && !committed {
		c.server.rollback(c.txn)
	}
	c.txn = nil
	c.inBlock = false
	c.txnFailed = false
	c.settings.endTransaction(committed)
	clear(c.portals)
}

// abortTxn handles an error in a transaction. It rolls the transaction back; a transaction
// block stays aborted until the client ends it.
func (c *conn) abortTxn() {
	if !c.inBlock {
		c.endTxn(false)
		return
	}
	c.txnFailed = true
	if c.txn != nil {
		c.server.rollback(c.txn)
	}
}

// runSessionCommand runs the statements that read or change the session's settings and
// prepared statements: SHOW, SET, RESET, DISCARD and DEALLOCATE.
func (c *conn) runSessionCommand(st *statement) (*result, error) {
	inTxn := c.txn != nil
	switch st.kind {
	case kindShow:
		return c.showSetting(st)
	case kindSet:
		name, value := st.name, st.operands[0].literal
		if value == "default" {
			return &result{tag: "SET"}, c.settings.reset(name, inTxn)
		}
		if name == "transaction_read_only" {
			c.ensureTxn()
			c.txn.readOnly = isOn(value)
			return &result{tag: "SET"}, nil
		}
		if err := c.settings.set(name, value, st.local, inTxn); err != nil {
			return nil, err
		}
		c.sendParameterStatus(name)
		return &result{tag: "SET"}, nil
	case kindReset:
		if err := c.settings.reset(st.name, inTxn); err != nil {
			return nil, err
		}
		c.sendParameterStatus(st.name)
		return &result{tag: "RESET"}, nil
	case kindResetAll:
		c.resetAllSettings(inTxn)
		return &result{tag: "RESET"}, nil
	case kindDiscardAll:
		if c.inBlock {
			return nil, &sqlError{code: codeActiveTransaction, message: "DISCARD ALL cannot run inside a transaction block"}
		}
		c.resetAllSettings(inTxn)
		clear(c.prepared)
		return &result{tag: "DISCARD ALL"}, nil
	case kindDeallocate:
		if _, ok := c.prepared[st.name]; !ok {
			return nil, unknownPreparedError(st.name)
		}
		delete(c.prepared, st.name)
		return &result{tag: "DEALLOCATE"}, nil
	}
	clear(c.prepared)
	return &result{tag: "DEALLOCATE ALL"}, nil
}

func (c *conn) resetAllSettings(inTxn bool) {
	changed := c.settings.sessionValues
	c.settings.resetAll(inTxn)
	for name := range changed {
		c.sendParameterStatus(name)
	}
}

func (c *conn) showSetting(st *statement) (*result, error) {
	value, err := c.settings.get(st.name)
	if err != nil {
		return nil, err
	}
	if st.name == "transaction_read_only" {
		value = "off"
		if c.effectiveReadOnly() {
			value = "on"
		}
	}
	return &result{columns: st.resultColumns(), rows: [][][]byte{{[]byte(value)}}, tag: "SHOW"}, nil
}

// effectiveReadOnly reports whether the server would refuse a write on this connection
// now, because of its role, the transaction's mode or the session's default.
func (c *conn) effectiveReadOnly() bool {
	s := c.server
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if c.txn != nil {
		return s.checkWritable(c.txn, "") != nil
	}
	value, _ := c.settings.get(settingReadOnly)
	return s.checkWritable(&transaction{readOnly: isOn(value)}, "") != nil
}
