package pgserver

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgtype"
)

type column struct {
	name string
	oid  uint32
}

func (c column) size() int16 {
	if c.oid == pgtype.Int8OID || c.oid == pgtype.XID8OID {
		return 8
	}
	return -1
}

// result is the outcome of one statement: its rows, as text, and its command tag. columns
// is nil for commands that return no rows.
type result struct {
	columns []column
	rows    [][][]byte
	tag     string
}

var (
	valueColumns  = []column{{"value", pgtype.TextOID}}
	rowColumns    = []column{{"key", pgtype.TextOID}, {"value", pgtype.TextOID}}
	countColumns  = []column{{"count", pgtype.Int8OID}}
	statusColumns = []column{
		{"term", pgtype.Int8OID}, {"fence", pgtype.Int8OID}, {"role", pgtype.TextOID}, {"position", pgtype.TextOID},
		{"lag_ms", pgtype.Int8OID}, {"slots", pgtype.Int8OID}, {"max_connections", pgtype.Int8OID},
	}
	functionColumns = map[statementKind][]column{
		kindSleep:      {{"pg_sleep", pgtype.TextOID}},
		kindFence:      {{"group_fence", pgtype.Int8OID}},
		kindPromote:    {{"group_promote", pgtype.TextOID}},
		kindFollow:     {{"group_follow", pgtype.Int8OID}},
		kindXactID:     {{"pg_current_xact_id", pgtype.XID8OID}},
		kindXactStatus: {{"pg_xact_status", pgtype.TextOID}},
	}
)

// resultColumns returns the columns of the statement's result, or nil if it has no rows.
func (st *statement) resultColumns() []column {
	switch st.kind {
	case kindSelectValue:
		return valueColumns
	case kindSelectAll:
		return rowColumns
	case kindCount:
		return countColumns
	case kindStatus:
		return statusColumns
	case kindShow:
		return []column{{st.name, pgtype.TextOID}}
	}
	return functionColumns[st.kind]
}

// checkAborted returns an error inside an aborted transaction block, unless the statement
// ends it.
func (c *conn) checkAborted(st *statement) error {
	if c.txnFailed && st.kind != kindCommit && st.kind != kindRollback {
		return &sqlError{
			code:    codeTransactionAborted,
			message: "current transaction is aborted, commands ignored until end of transaction block",
		}
	}
	return nil
}

// run executes a statement, counts it and records it in the group's history.
func (c *conn) run(st *statement, args []*string) (*result, error) {
	if err := c.checkAborted(st); err != nil {
		return nil, err
	}
	c.server.stats.statements.Add(1)
	c.startStatement()
	event := c.recordStatement(st, args)
	r, err := c.dispatch(st, args)
	c.endStatement()
	c.recordOutcome(event, err)
	return r, err
}

func (c *conn) dispatch(st *statement, args []*string) (*result, error) {
	switch st.kind {
	case kindBegin, kindCommit, kindRollback, kindSetTransaction:
		return c.runTransactionControl(st)
	case kindShow, kindSet, kindReset, kindResetAll, kindDiscardAll, kindDeallocate, kindDeallocateAll:
		return c.runSessionCommand(st)
	}
	values, err := st.operandValues(args)
	if err != nil {
		return nil, err
	}
	c.ensureTxn()
	switch st.kind {
	case kindStatus, kindFence, kindPromote, kindFollow, kindXactID, kindXactStatus:
		return c.runAdminFunction(st, values)
	case kindInsert, kindUpsert, kindUpsertExcluded, kindUpdate, kindDelete:
		return c.runWrite(st, values)
	}
	return c.runRead(st, values)
}

// operandValues returns the operands as text. NULL arguments are an error because kv has
// no nullable column.
func (st *statement) operandValues(args []*string) ([]string, error) {
	values := make([]string, len(st.operands))
	for i, o := range st.operands {
		values[i] = o.literal
		if o.param == 0 {
			continue
		}
		if args[o.param-1] == nil {
			return nil, &sqlError{code: codeNotNull, message: "null value is not allowed"}
		}
		values[i] = *args[o.param-1]
	}
	return values, nil
}

// occupySlot waits for an execution slot and occupies it for the service time plus extra.
func (c *conn) occupySlot(extra time.Duration) error {
	if err := c.server.slots.acquire(c); err != nil {
		return err
	}
	defer c.server.slots.release()
	_, _, serviceTime := c.server.injectedDelays()
	return c.sleepInterruptible(serviceTime + extra)
}

func (c *conn) runRead(st *statement, values []string) (*result, error) {
	var extra time.Duration
	if st.kind == kindSleep {
		seconds, err := strconv.ParseFloat(values[0], 64)
		if err != nil {
			return nil, &sqlError{code: codeInvalidText, message: "invalid input syntax for type double precision"}
		}
		extra = time.Duration(seconds * float64(time.Second))
	}
	if err := c.occupySlot(extra); err != nil {
		return nil, err
	}
	s := c.server
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if c.txn.abortedByRoleChange {
		return nil, errRoleChanged
	}
	s.applyDueRecords(time.Now())
	s.countRead()
	r := &result{columns: st.resultColumns()}
	switch st.kind {
	case kindSelectValue:
		if v, ok := s.readRow(c.txn, values[0]); ok {
			r.rows = [][][]byte{{[]byte(v)}}
		}
	case kindSelectAll:
		rows := s.visibleRows(c.txn)
		for _, key := range slices.Sorted(maps.Keys(rows)) {
			r.rows = append(r.rows, [][]byte{[]byte(key), []byte(rows[key])})
		}
	case kindCount:
		r.rows = [][][]byte{{formatUint(uint64(len(s.visibleRows(c.txn))))}}
	case kindSleep:
		r.rows = [][][]byte{{{}}}
	}
	r.tag = "SELECT " + strconv.Itoa(len(r.rows))
	return r, nil
}

// countRead counts a read under the server's current role. Caller holds Group.mu.
func (s *Server) countRead() {
	if s.role == rolePrimary {
		s.stats.primaryReads.Add(1)
		return
	}
	s.stats.replicaReads.Add(1)
}

// visibleRows returns all rows as the transaction sees them, with its own writes. The
// result may be the server's own map: do not modify it. Caller holds Group.mu.
func (s *Server) visibleRows(t *transaction) map[string]string {
	if len(t.writes) == 0 {
		return s.rows
	}
	rows := maps.Clone(s.rows)
	for k, v := range t.writes {
		if v == nil {
			delete(rows, k)
		} else {
			rows[k] = *v
		}
	}
	return rows
}

// runWrite runs a statement that changes one row. It checks the transaction and the role
// again after waiting for the row lock and the slot, because a failover may happen
// meanwhile.
func (c *conn) runWrite(st *statement, values []string) (*result, error) {
	key, value := values[0], ""
	switch st.kind {
	case kindUpdate:
		key, value = values[1], values[0]
	case kindInsert, kindUpsert, kindUpsertExcluded:
		value = values[1]
	}
	s := c.server
	s.group.mu.Lock()
	err := s.checkWritable(c.txn, writeCommandTags[st.kind])
	s.group.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if err := s.lockRow(c, c.txn, key); err != nil {
		return nil, err
	}
	if err := c.occupySlot(0); err != nil {
		return nil, err
	}
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if c.txn.abortedByRoleChange {
		return nil, errRoleChanged
	}
	if err := s.checkWritable(c.txn, writeCommandTags[st.kind]); err != nil {
		return nil, err
	}
	return s.applyWrite(c.txn, st.kind, key, value, values)
}

var writeCommandTags = map[statementKind]string{
	kindInsert: "INSERT", kindUpsert: "INSERT", kindUpsertExcluded: "INSERT", kindUpdate: "UPDATE", kindDelete: "DELETE",
}

// applyWrite buffers a row change in the transaction and returns its command tag. Caller
// holds Group.mu.
func (s *Server) applyWrite(t *transaction, k statementKind, key, value string, values []string) (*result, error) {
	_, exists := s.readRow(t, key)
	switch k {
	case kindInsert:
		if exists {
			return nil, &sqlError{
				code:    codeDuplicateKey,
				message: "duplicate key value violates unique constraint \"kv_pkey\"",
			}
		}
	case kindUpsert:
		if exists {
			value = values[2]
		}
	case kindUpdate, kindDelete:
		if !exists {
			return &result{tag: writeCommandTags[k] + " 0"}, nil
		}
	}
	switch k {
	case kindDelete:
		s.bufferWrite(t, key, nil)
		return &result{tag: "DELETE 1"}, nil
	case kindUpdate:
		s.bufferWrite(t, key, &value)
		return &result{tag: "UPDATE 1"}, nil
	}
	s.bufferWrite(t, key, &value)
	return &result{tag: "INSERT 0 1"}, nil
}

// runAdminFunction runs a group_* function or one of the transaction ID functions.
func (c *conn) runAdminFunction(st *statement, values []string) (*result, error) {
	s := c.server
	r := &result{columns: st.resultColumns(), tag: "SELECT 1"}
	if st.kind == kindStatus {
		r.rows = [][][]byte{s.statusRow()}
		return r, nil
	}
	var numericArg uint64
	if len(values) > 0 {
		n, err := strconv.ParseUint(values[0], 10, 64)
		if err != nil {
			return nil, &sqlError{code: codeInvalidText, message: "invalid input syntax for a number: " + strconv.Quote(values[0])}
		}
		numericArg = n
	}
	var value []byte
	var err error
	switch st.kind {
	case kindFence:
		value = formatUint(s.raiseFence(numericArg))
	case kindPromote:
		var position string
		position, err = s.promote(numericArg)
		value = []byte(position)
	case kindFollow:
		var bytesDropped uint64
		bytesDropped, err = s.follow(numericArg, values[1])
		value = formatUint(bytesDropped)
	case kindXactID:
		value, err = s.currentXID(c.txn)
	case kindXactStatus:
		value, err = s.xactStatus(numericArg)
	}
	if err != nil {
		return nil, err
	}
	r.rows = [][][]byte{{value}}
	return r, nil
}

// recordStatement adds a statement to the group's history when it starts. It returns nil
// when recording is off.
func (c *conn) recordStatement(st *statement, args []*string) *StatementEvent {
	if !c.server.group.recording.Load() {
		return nil
	}
	e := &StatementEvent{At: time.Now(), Server: c.server.spec.ID, Conn: c.pid, SQL: st.sql}
	for _, a := range args {
		if a != nil {
			e.Args = append(e.Args, *a)
		}
	}
	c.server.group.appendEvent(e)
	return e
}

// recordOutcome completes a statement's event with its transaction ID and SQLSTATE.
func (c *conn) recordOutcome(e *StatementEvent, err error) {
	if e == nil {
		return
	}
	c.server.group.mu.Lock()
	defer c.server.group.mu.Unlock()
	if c.txn != nil {
		e.XID = c.txn.xid
	}
	if sqlErr, ok := err.(*sqlError); ok {
		e.Code = sqlErr.code
	}
}
