package pgserver

import "github.com/jackc/pgx/v5/pgproto3"

// ensureTxn opens an implicit transaction when none is open.
func (c *conn) ensureTxn() {
	if c.txn != nil {
		return
	}
	value, _ := c.settings.get(settingReadOnly)
	c.txn = &transaction{readOnly: isOn(value)}
}

// control runs BEGIN, COMMIT, ROLLBACK and SET TRANSACTION.
func (c *conn) control(st *statement) (*result, error) {
	switch st.kind {
	case kindBegin:
		if c.block {
			c.warn(codeActiveTransaction, "there is already a transaction in progress")
			return &result{tag: "BEGIN"}, nil
		}
		c.ensureTxn()
		c.block = true
		c.applyModes(st.modes)
		return &result{tag: "BEGIN"}, nil
	case kindSetTransaction:
		c.ensureTxn()
		c.applyModes(st.modes)
		return &result{tag: "SET"}, nil
	case kindRollback:
		if !c.block {
			c.warn("25P01", "there is no transaction in progress")
		}
		c.endTxn(false)
		return &result{tag: "ROLLBACK"}, nil
	}
	if c.failed {
		c.endTxn(false)
		return &result{tag: "ROLLBACK"}, nil
	}
	if !c.block {
		c.warn("25P01", "there is no transaction in progress")
	}
	if err := c.commitTxn(); err != nil {
		return nil, err
	}
	return &result{tag: "COMMIT"}, nil
}

func (c *conn) applyModes(modes []transactionMode) {
	for _, m := range modes {
		switch m {
		case modeReadOnly:
			c.txn.readOnly = true
		case modeReadWrite:
			c.txn.readOnly = false
		}
	}
}

func (c *conn) warn(code, message string) {
	c.backend.Send(&pgproto3.NoticeResponse{
		Severity:            "WARNING",
		SeverityUnlocalized: "WARNING",
		Code:                code,
		Message:             message,
	})
}

// finishImplicit commits the transaction that no BEGIN opened.
func (c *conn) finishImplicit() error {
	if c.block || c.txn == nil {
		return nil
	}
	return c.commitTxn()
}

// commitTxn commits the open transaction; an injected cut may drop the
// connection before or after it is applied.
func (c *conn) commitTxn() error {
	cut := cutNone
	if c.txn != nil && len(c.txn.order) > 0 {
		cut = c.server.nextCommitCut()
	}
	if cut == cutBeforeApply {
		return &connectionLostError{reason: "cut before the commit"}
	}
	var err error
	if c.txn != nil {
		err = c.server.commit(c.txn)
	}
	if cut == cutAfterApply {
		return &connectionLostError{reason: "cut after the commit"}
	}
	c.endTxn(err == nil)
	return err
}

// endTxn ends the open transaction and its block.
func (c *conn) endTxn(committed bool) {
	if c.txn != nil && !committed {
		c.server.rollback(c.txn)
	}
	c.txn = nil
	c.block = false
	c.failed = false
	c.settings.end(committed)
	clear(c.portals)
}

// abort reacts to an error: a block fails until its end, an implicit
// transaction is rolled back at once.
func (c *conn) abort() {
	if !c.block {
		c.endTxn(false)
		return
	}
	c.failed = true
	if c.txn != nil {
		c.server.rollback(c.txn)
	}
}

// session runs statements on the session's settings and prepared statements.
func (c *conn) session(st *statement) (*result, error) {
	inTxn := c.txn != nil
	switch st.kind {
	case kindShow:
		return c.show(st)
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
		c.report(name)
		return &result{tag: "SET"}, nil
	case kindReset:
		if err := c.settings.reset(st.name, inTxn); err != nil {
			return nil, err
		}
		c.report(st.name)
		return &result{tag: "RESET"}, nil
	case kindResetAll:
		c.resetAll(inTxn)
		return &result{tag: "RESET"}, nil
	case kindDiscardAll:
		if c.block {
			return nil, &sqlError{code: codeActiveTransaction, message: "DISCARD ALL cannot run inside a transaction block"}
		}
		c.resetAll(inTxn)
		clear(c.prepared)
		return &result{tag: "DISCARD ALL"}, nil
	case kindDeallocate:
		if _, ok := c.prepared[st.name]; !ok {
			return nil, unknownPrepared(st.name)
		}
		delete(c.prepared, st.name)
		return &result{tag: "DEALLOCATE"}, nil
	}
	clear(c.prepared)
	return &result{tag: "DEALLOCATE ALL"}, nil
}

func (c *conn) resetAll(inTxn bool) {
	changed := c.settings.session
	c.settings.resetAll(inTxn)
	for name := range changed {
		c.report(name)
	}
}

func (c *conn) show(st *statement) (*result, error) {
	value, err := c.settings.get(st.name)
	if err != nil {
		return nil, err
	}
	if st.name == "transaction_read_only" {
		value = "off"
		if c.readOnlyNow() {
			value = "on"
		}
	}
	return &result{columns: st.columns(), rows: [][][]byte{{[]byte(value)}}, tag: "SHOW"}, nil
}

// readOnlyNow reports whether a write would be refused now.
func (c *conn) readOnlyNow() bool {
	s := c.server
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if c.txn != nil {
		return s.writable(c.txn, "") != nil
	}
	value, _ := c.settings.get(settingReadOnly)
	return s.writable(&transaction{readOnly: isOn(value)}, "") != nil
}
