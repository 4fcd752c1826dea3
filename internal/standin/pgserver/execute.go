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

// result is the answer of one statement; columns is nil for commands.
type result struct {
	columns []column
	rows    [][][]byte
	tag     string
}

var (
	valueColumns  = []column{{"value", pgtype.TextOID}}
	allColumns    = []column{{"key", pgtype.TextOID}, {"value", pgtype.TextOID}}
	countColumns  = []column{{"count", pgtype.Int8OID}}
	statusColumns = []column{
		{"term", pgtype.Int8OID}, {"fence", pgtype.Int8OID}, {"role", pgtype.TextOID}, {"position", pgtype.TextOID},
		{"lag_ms", pgtype.Int8OID}, {"slots", pgtype.Int8OID}, {"max_connections", pgtype.Int8OID},
	}
	functionColumns = map[kind][]column{
		kindSleep:      {{"pg_sleep", pgtype.TextOID}},
		kindFence:      {{"group_fence", pgtype.Int8OID}},
		kindPromote:    {{"group_promote", pgtype.TextOID}},
		kindFollow:     {{"group_follow", pgtype.Int8OID}},
		kindXactID:     {{"pg_current_xact_id", pgtype.XID8OID}},
		kindXactStatus: {{"pg_xact_status", pgtype.TextOID}},
	}
)

// columns returns the columns of the statement's answer, or nil.
func (st *statement) columns() []column {
	switch st.kind {
	case kindSelectValue:
		return valueColumns
	case kindSelectAll:
		return allColumns
	case kindCount:
		return countColumns
	case kindStatus:
		return statusColumns
	case kindShow:
		return []column{{st.name, pgtype.TextOID}}
	}
	return functionColumns[st.kind]
}

// checkAborted refuses everything but the end of an aborted transaction.
func (c *conn) checkAborted(st *statement) error {
	if c.failed && st.kind != kindCommit && st.kind != kindRollback {
		return &sqlError{
			code:    codeAborted,
			message: "current transaction is aborted, commands ignored until end of transaction block",
		}
	}
	return nil
}

// run executes a statement in the connection's transaction.
func (c *conn) run(st *statement, args []*string) (*result, error) {
	if err := c.checkAborted(st); err != nil {
		return nil, err
	}
	c.server.stats.statements.Add(1)
	c.startStatement()
	event := c.recordStatement(st, args)
	r, err := c.dispatch(st, args)
	c.endStatement()
	c.recordEnd(event, err)
	return r, err
}

func (c *conn) dispatch(st *statement, args []*string) (*result, error) {
	switch st.kind {
	case kindBegin, kindCommit, kindRollback, kindSetTransaction:
		return c.control(st)
	case kindShow, kindSet, kindReset, kindResetAll, kindDiscardAll, kindDeallocate, kindDeallocateAll:
		return c.session(st)
	}
	values, err := st.values(args)
	if err != nil {
		return nil, err
	}
	c.ensureTxn()
	switch st.kind {
	case kindStatus, kindFence, kindPromote, kindFollow, kindXactID, kindXactStatus:
		return c.admin(st, values)
	case kindInsert, kindUpsert, kindUpsertExcluded, kindUpdate, kindDelete:
		return c.write(st, values)
	}
	return c.read(st, values)
}

// values returns the operands' text. NULL is refused by this table.
func (st *statement) values(args []*string) ([]string, error) {
	all := make([]string, len(st.operands))
	for i, o := range st.operands {
		all[i] = o.literal
		if o.param == 0 {
			continue
		}
		if args[o.param-1] == nil {
			return nil, &sqlError{code: codeNotNull, message: "null value is not allowed"}
		}
		all[i] = *args[o.param-1]
	}
	return all, nil
}

// useSlot holds a slot for the service time, or for the given longer time.
func (c *conn) useSlot(longer time.Duration) error {
	if err := c.server.slots.acquire(c); err != nil {
		return err
	}
	defer c.server.slots.release()
	_, _, service := c.server.delays()
	return c.sleep(service + longer)
}

func (c *conn) read(st *statement, values []string) (*result, error) {
	var longer time.Duration
	if st.kind == kindSleep {
		seconds, err := strconv.ParseFloat(values[0], 64)
		if err != nil {
			return nil, &sqlError{code: codeBadText, message: "invalid input syntax for type double precision"}
		}
		longer = time.Duration(seconds * float64(time.Second))
	}
	if err := c.useSlot(longer); err != nil {
		return nil, err
	}
	s := c.server
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if c.txn.doomed {
		return nil, errRoleChanged
	}
	s.advance(time.Now())
	s.countRead()
	r := &result{columns: st.columns()}
	switch st.kind {
	case kindSelectValue:
		if v, ok := s.get(c.txn, values[0]); ok {
			r.rows = [][][]byte{{[]byte(v)}}
		}
	case kindSelectAll:
		rows := s.visible(c.txn)
		for _, key := range slices.Sorted(maps.Keys(rows)) {
			r.rows = append(r.rows, [][]byte{[]byte(key), []byte(rows[key])})
		}
	case kindCount:
		r.rows = [][][]byte{{decimal(uint64(len(s.visible(c.txn))))}}
	case kindSleep:
		r.rows = [][][]byte{{{}}}
	}
	r.tag = "SELECT " + strconv.Itoa(len(r.rows))
	return r, nil
}

// countRead counts a read by the server's role. Caller holds Group.mu.
func (s *Server) countRead() {
	if s.role == rolePrimary {
		s.stats.primaryReads.Add(1)
		return
	}
	s.stats.replicaReads.Add(1)
}

// visible returns all rows as the transaction sees them. Caller holds Group.mu.
func (s *Server) visible(t *transaction) map[string]string {
	if len(t.writes) == 0 {
		return s.data
	}
	rows := maps.Clone(s.data)
	for k, v := range t.writes {
		if v == nil {
			delete(rows, k)
		} else {
			rows[k] = *v
		}
	}
	return rows
}

// write runs a statement that changes one row.
func (c *conn) write(st *statement, values []string) (*result, error) {
	key, value := values[0], ""
	switch st.kind {
	case kindUpdate:
		key, value = values[1], values[0]
	case kindInsert, kindUpsert, kindUpsertExcluded:
		value = values[1]
	}
	s := c.server
	s.group.mu.Lock()
	err := s.writable(c.txn, writeCommands[st.kind])
	s.group.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if err := s.lockRow(c, c.txn, key); err != nil {
		return nil, err
	}
	if err := c.useSlot(0); err != nil {
		return nil, err
	}
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if c.txn.doomed {
		return nil, errRoleChanged
	}
	if err := s.writable(c.txn, writeCommands[st.kind]); err != nil {
		return nil, err
	}
	return s.changeRow(c.txn, st.kind, key, value, values)
}

var writeCommands = map[kind]string{
	kindInsert: "INSERT", kindUpsert: "INSERT", kindUpsertExcluded: "INSERT", kindUpdate: "UPDATE", kindDelete: "DELETE",
}

// changeRow applies a write to the transaction. Caller holds Group.mu.
func (s *Server) changeRow(t *transaction, k kind, key, value string, values []string) (*result, error) {
	_, exists := s.get(t, key)
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
			return &result{tag: writeCommands[k] + " 0"}, nil
		}
	}
	switch k {
	case kindDelete:
		s.put(t, key, nil)
		return &result{tag: "DELETE 1"}, nil
	case kindUpdate:
		s.put(t, key, &value)
		return &result{tag: "UPDATE 1"}, nil
	}
	s.put(t, key, &value)
	return &result{tag: "INSERT 0 1"}, nil
}

// admin runs an administrative function.
func (c *conn) admin(st *statement, values []string) (*result, error) {
	s := c.server
	r := &result{columns: st.columns(), tag: "SELECT 1"}
	if st.kind == kindStatus {
		r.rows = [][][]byte{s.status()}
		return r, nil
	}
	var number uint64
	if len(values) > 0 {
		n, err := strconv.ParseUint(values[0], 10, 64)
		if err != nil {
			return nil, &sqlError{code: codeBadText, message: "invalid input syntax for a number: " + strconv.Quote(values[0])}
		}
		number = n
	}
	var cell []byte
	var err error
	switch st.kind {
	case kindFence:
		cell = decimal(s.raiseFence(number))
	case kindPromote:
		var position string
		position, err = s.promote(number)
		cell = []byte(position)
	case kindFollow:
		var bytes uint64
		bytes, err = s.follow(number, values[1])
		cell = decimal(bytes)
	case kindXactID:
		cell, err = s.xactID(c.txn)
	case kindXactStatus:
		cell, err = s.xactStatus(number)
	}
	if err != nil {
		return nil, err
	}
	r.rows = [][][]byte{{cell}}
	return r, nil
}

// recordStatement records a statement as it starts; it returns nil when the
// group does not record.
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
	c.server.group.record(e)
	return e
}

// recordEnd completes the record of a statement.
func (c *conn) recordEnd(e *StatementEvent, err error) {
	if e == nil {
		return
	}
	c.server.group.mu.Lock()
	defer c.server.group.mu.Unlock()
	if c.txn != nil {
		e.XID = c.txn.xid
	}
	if failure, ok := err.(*sqlError); ok {
		e.Code = failure.code
	}
}
