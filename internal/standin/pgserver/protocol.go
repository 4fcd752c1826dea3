package pgserver

import (
	"encoding/binary"
	"errors"
	"math"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
)

// prepared is a named or unnamed prepared statement.
type prepared struct {
	statement *statement
	oids      []uint32
}

// portal is a bound statement, executed on its first Execute.
type portal struct {
	statement *statement
	args      []*string
	formats   []int16
	result    *result // nil until executed
	sent      int     // rows sent so far
}

var (
	parseComplete   = &pgproto3.ParseComplete{}
	bindComplete    = &pgproto3.BindComplete{}
	closeComplete   = &pgproto3.CloseComplete{}
	noData          = &pgproto3.NoData{}
	emptyQuery      = &pgproto3.EmptyQueryResponse{}
	portalSuspended = &pgproto3.PortalSuspended{}
)

// handle processes one message. An error ends the connection.
func (c *conn) handle(msg pgproto3.FrontendMessage) error {
	switch msg.(type) {
	case *pgproto3.Terminate:
		return &connectionLostError{reason: "terminate"}
	case *pgproto3.Sync:
		return c.sync()
	case *pgproto3.Flush:
		return c.backend.Flush()
	}
	if c.skip {
		return nil
	}
	switch m := msg.(type) {
	case *pgproto3.Query:
		return c.query(m.String)
	case *pgproto3.Parse:
		return c.extended(c.parse(m))
	case *pgproto3.Bind:
		return c.extended(c.bind(m))
	case *pgproto3.Describe:
		return c.extended(c.describe(m))
	case *pgproto3.Execute:
		return c.extended(c.execute(m))
	case *pgproto3.Close:
		return c.extended(c.closeObject(m))
	}
	c.sendFatal(codeProtocol, "unexpected frontend message")
	return &connectionLostError{reason: "protocol"}
}

// extended reports an error of an extended message and skips up to Sync.
func (c *conn) extended(err error) error {
	if err == nil {
		return nil
	}
	c.skip = true
	return c.fail(err)
}

// fail sends an error to the client and aborts the transaction. A lost
// connection is returned.
func (c *conn) fail(err error) error {
	var sqlErr *sqlError
	if !errors.As(err, &sqlErr) {
		return err
	}
	c.abort()
	c.backend.Send(sqlErr.response())
	return nil
}

// sync ends an implicit transaction and answers ReadyForQuery.
func (c *conn) sync() error {
	c.skip = false
	if err := c.finishImplicit(); err != nil {
		if err := c.fail(err); err != nil {
			return err
		}
	}
	return c.ready()
}

// query runs a simple query.
func (c *conn) query(sql string) error {
	delete(c.prepared, "")
	if err := c.runQuery(sql); err != nil {
		if err := c.fail(err); err != nil {
			return err
		}
	}
	return c.ready()
}

func (c *conn) runQuery(sql string) error {
	all, err := parseAll(sql)
	if err != nil {
		return err
	}
	if len(all) == 0 {
		c.backend.Send(emptyQuery)
		return nil
	}
	for i, st := range all {
		if len(st.params) > 0 {
			return &sqlError{code: "42P02", message: "there is no parameter $1"}
		}
		r, err := c.run(st, nil)
		if err != nil {
			return err
		}
		if i == len(all)-1 {
			if err := c.finishImplicit(); err != nil {
				return err
			}
		}
		if r.columns != nil {
			c.backend.Send(&pgproto3.RowDescription{Fields: fields(r.columns, nil)})
		}
		if err := c.sendRows(r, r.rows, nil); err != nil {
			return err
		}
		c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(r.tag)})
	}
	return nil
}

func (c *conn) parse(m *pgproto3.Parse) error {
	if _, exists := c.prepared[m.Name]; exists && m.Name != "" {
		return &sqlError{code: codeDuplicateStatement, message: "prepared statement " + strconv.Quote(m.Name) + " already exists"}
	}
	st, err := parseSingle(m.Query)
	if err != nil {
		return err
	}
	if err := c.checkAborted(st); err != nil {
		return err
	}
	oids := append([]uint32(nil), st.params...)
	for i, oid := range m.ParameterOIDs {
		if i < len(oids) && oid != 0 {
			oids[i] = oid
		}
	}
	c.prepared[m.Name] = &prepared{statement: st, oids: oids}
	c.backend.Send(parseComplete)
	return nil
}

func (c *conn) bind(m *pgproto3.Bind) error {
	p, ok := c.prepared[m.PreparedStatement]
	if !ok {
		return unknownPrepared(m.PreparedStatement)
	}
	if err := c.checkAborted(p.statement); err != nil {
		return err
	}
	if len(m.Parameters) != len(p.oids) {
		return &sqlError{code: codeProtocol, message: "bind message supplies a wrong number of parameters"}
	}
	args := make([]*string, len(m.Parameters))
	for i, raw := range m.Parameters {
		value, err := decodeParameter(raw, formatOf(m.ParameterFormatCodes, i), p.oids[i])
		if err != nil {
			return err
		}
		args[i] = value
	}
	c.portals[m.DestinationPortal] = &portal{
		statement: p.statement,
		args:      args,
		formats:   append([]int16(nil), m.ResultFormatCodes...),
	}
	c.backend.Send(bindComplete)
	return nil
}

func (c *conn) describe(m *pgproto3.Describe) error {
	if m.ObjectType == 'S' {
		p, ok := c.prepared[m.Name]
		if !ok {
			return unknownPrepared(m.Name)
		}
		c.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: p.oids})
		c.sendDescription(p.statement, nil)
		return nil
	}
	p, ok := c.portals[m.Name]
	if !ok {
		return unknownPortal(m.Name)
	}
	c.sendDescription(p.statement, p.formats)
	return nil
}

func (c *conn) sendDescription(st *statement, formats []int16) {
	columns := st.columns()
	if columns == nil {
		c.backend.Send(noData)
		return
	}
	c.backend.Send(&pgproto3.RowDescription{Fields: fields(columns, formats)})
}

func (c *conn) execute(m *pgproto3.Execute) error {
	p, ok := c.portals[m.Portal]
	if !ok {
		return unknownPortal(m.Portal)
	}
	if p.statement.kind == kindEmpty {
		c.backend.Send(emptyQuery)
		return nil
	}
	if p.result == nil {
		r, err := c.run(p.statement, p.args)
		if err != nil {
			return err
		}
		p.result = r
	}
	rows := p.result.rows[p.sent:]
	limited := m.MaxRows > 0 && len(rows) > int(m.MaxRows)
	if limited {
		rows = rows[:m.MaxRows]
	}
	p.sent += len(rows)
	if err := c.sendRows(p.result, rows, p.formats); err != nil {
		return err
	}
	if limited {
		c.backend.Send(portalSuspended)
		return nil
	}
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(p.result.tag)})
	return nil
}

func (c *conn) closeObject(m *pgproto3.Close) error {
	if m.ObjectType == 'S' {
		delete(c.prepared, m.Name)
	} else {
		delete(c.portals, m.Name)
	}
	c.backend.Send(closeComplete)
	return nil
}

// flushEveryRows bounds the answer that is buffered for a slow client.
const flushEveryRows = 1000

func (c *conn) sendRows(r *result, rows [][][]byte, formats []int16) error {
	for i, row := range rows {
		c.backend.Send(&pgproto3.DataRow{Values: encodeRow(r.columns, row, formats)})
		if i%flushEveryRows == flushEveryRows-1 {
			if err := c.backend.Flush(); err != nil {
				return err
			}
		}
	}
	return nil
}

func unknownPrepared(name string) error {
	return &sqlError{code: codeUnknownStatement, message: "prepared statement " + strconv.Quote(name) + " does not exist"}
}

func unknownPortal(name string) error {
	return &sqlError{code: codeUnknownPortal, message: "portal " + strconv.Quote(name) + " does not exist"}
}

// formatOf returns the format code of field i by the protocol's rules.
func formatOf(codes []int16, i int) int16 {
	switch {
	case len(codes) == 0:
		return pgproto3.TextFormat
	case len(codes) == 1:
		return codes[0]
	case i < len(codes):
		return codes[i]
	}
	return pgproto3.TextFormat
}

// decodeParameter returns a parameter's text; nil for NULL.
func decodeParameter(raw []byte, format int16, oid uint32) (*string, error) {
	if raw == nil {
		return nil, nil
	}
	text := string(raw)
	if format == pgproto3.TextFormat {
		return &text, nil
	}
	switch {
	case oid == pgtype.Int8OID && len(raw) == 8:
		text = strconv.FormatInt(int64(binary.BigEndian.Uint64(raw)), 10)
	case oid == pgtype.Int4OID && len(raw) == 4:
		text = strconv.FormatInt(int64(int32(binary.BigEndian.Uint32(raw))), 10)
	case oid == pgtype.Int2OID && len(raw) == 2:
		text = strconv.FormatInt(int64(int16(binary.BigEndian.Uint16(raw))), 10)
	case oid == pgtype.Float8OID && len(raw) == 8:
		text = strconv.FormatFloat(math.Float64frombits(binary.BigEndian.Uint64(raw)), 'g', -1, 64)
	case oid == pgtype.Float4OID && len(raw) == 4:
		text = strconv.FormatFloat(float64(math.Float32frombits(binary.BigEndian.Uint32(raw))), 'g', -1, 32)
	case oid == pgtype.TextOID || oid == pgtype.VarcharOID || oid == pgtype.ByteaOID || oid == pgtype.UnknownOID:
	default:
		return nil, &sqlError{code: "22P03", message: "incorrect binary data format in bind parameter"}
	}
	return &text, nil
}

// encodeRow converts the text of binary columns.
func encodeRow(columns []column, row [][]byte, formats []int16) [][]byte {
	if len(formats) == 0 {
		return row
	}
	values := make([][]byte, len(row))
	for i, v := range row {
		values[i] = v
		wide := columns[i].oid == pgtype.Int8OID || columns[i].oid == pgtype.XID8OID
		if v != nil && wide && formatOf(formats, i) == pgproto3.BinaryFormat {
			n, _ := strconv.ParseUint(string(v), 10, 64)
			values[i] = binary.BigEndian.AppendUint64(nil, n)
		}
	}
	return values
}

// fields describes columns to the client.
func fields(columns []column, formats []int16) []pgproto3.FieldDescription {
	all := make([]pgproto3.FieldDescription, len(columns))
	for i, col := range columns {
		all[i] = pgproto3.FieldDescription{
			Name:         []byte(col.name),
			DataTypeOID:  col.oid,
			DataTypeSize: col.size(),
			TypeModifier: -1,
			Format:       formatOf(formats, i),
		}
	}
	return all
}
