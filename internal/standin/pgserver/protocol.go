package pgserver

import (
	"encoding/binary"
	"errors"
	"math"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
)

// preparedStatement is a named or unnamed prepared statement.
type preparedStatement struct {
	statement *statement
	oids      []uint32
}

// portal is a prepared statement bound to arguments. The first Execute runs it; later
// ones send the remaining rows.
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

// handle processes one message after startup. An error ends the connection.
func (c *conn) handle(msg pgproto3.FrontendMessage) error {
	switch msg.(type) {
	case *pgproto3.Terminate:
		return &connectionLostError{reason: "terminate"}
	case *pgproto3.Sync:
		return c.sync()
	case *pgproto3.Flush:
		return c.backend.Flush()
	}
	if c.skipUntilSync {
		return nil
	}
	switch m := msg.(type) {
	case *pgproto3.Query:
		return c.simpleQuery(m.String)
	case *pgproto3.Parse:
		return c.finishExtended(c.parse(m))
	case *pgproto3.Bind:
		return c.finishExtended(c.bind(m))
	case *pgproto3.Describe:
		return c.finishExtended(c.describe(m))
	case *pgproto3.Execute:
		return c.finishExtended(c.execute(m))
	case *pgproto3.Close:
		return c.finishExtended(c.closeObject(m))
	}
	c.sendFatal(codeProtocol, "unexpected frontend message")
	return &connectionLostError{reason: "protocol"}
}

// finishExtended ends an extended-query message. On an error it reports the error and
// skips the messages up to the next Sync, as the protocol demands.
func (c *conn) finishExtended(err error) error {
	if err == nil {
		return nil
	}
	c.skipUntilSync = true
	return c.reportError(err)
}

// reportError sends an SQL error to the client and aborts the transaction. It returns
// any other error, because that ends the connection.
func (c *conn) reportError(err error) error {
	var sqlErr *sqlError
	if !errors.As(err, &sqlErr) {
		return err
	}
	c.abortTxn()
	c.backend.Send(sqlErr.response())
	return nil
}

// sync handles Sync: it commits an implicit transaction and sends ReadyForQuery.
func (c *conn) sync() error {
	c.skipUntilSync = false
	if err := c.commitImplicit(); err != nil {
		if err := c.reportError(err); err != nil {
			return err
		}
	}
	return c.sendReady()
}

// simpleQuery handles Query: it runs the statements, reports an error if one fails, and
// sends ReadyForQuery.
func (c *conn) simpleQuery(sql string) error {
	delete(c.prepared, "")
	if err := c.runSimpleQuery(sql); err != nil {
		if err := c.reportError(err); err != nil {
			return err
		}
	}
	return c.sendReady()
}

func (c *conn) runSimpleQuery(sql string) error {
	statements, err := parseStatements(sql)
	if err != nil {
		return err
	}
	if len(statements) == 0 {
		c.backend.Send(emptyQuery)
		return nil
	}
	for i, st := range statements {
		if len(st.params) > 0 {
			return &sqlError{code: "42P02", message: "there is no parameter $1"}
		}
		r, err := c.run(st, nil)
		if err != nil {
			return err
		}
		if i == len(statements)-1 {
			if err := c.commitImplicit(); err != nil {
				return err
			}
		}
		if r.columns != nil {
			c.backend.Send(&pgproto3.RowDescription{Fields: fieldDescriptions(r.columns, nil)})
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
	c.prepared[m.Name] = &preparedStatement{statement: st, oids: oids}
	c.backend.Send(parseComplete)
	return nil
}

func (c *conn) bind(m *pgproto3.Bind) error {
	p, ok := c.prepared[m.PreparedStatement]
	if !ok {
		return unknownPreparedError(m.PreparedStatement)
	}
	if err := c.checkAborted(p.statement); err != nil {
		return err
	}
	if len(m.Parameters) != len(p.oids) {
		return &sqlError{code: codeProtocol, message: "bind message supplies a wrong number of parameters"}
	}
	args := make([]*string, len(m.Parameters))
	for i, raw := range m.Parameters {
		value, err := decodeParameter(raw, formatCode(m.ParameterFormatCodes, i), p.oids[i])
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
			return unknownPreparedError(m.Name)
		}
		c.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: p.oids})
		c.sendRowDescription(p.statement, nil)
		return nil
	}
	p, ok := c.portals[m.Name]
	if !ok {
		return unknownPortalError(m.Name)
	}
	c.sendRowDescription(p.statement, p.formats)
	return nil
}

func (c *conn) sendRowDescription(st *statement, formats []int16) {
	columns := st.resultColumns()
	if columns == nil {
		c.backend.Send(noData)
		return
	}
	c.backend.Send(&pgproto3.RowDescription{Fields: fieldDescriptions(columns, formats)})
}

func (c *conn) execute(m *pgproto3.Execute) error {
	p, ok := c.portals[m.Portal]
	if !ok {
		return unknownPortalError(m.Portal)
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
	suspended := m.MaxRows > 0 && len(rows) > int(m.MaxRows)
	if suspended {
		rows = rows[:m.MaxRows]
	}
	p.sent += len(rows)
	if err := c.sendRows(p.result, rows, p.formats); err != nil {
		return err
	}
	if suspended {
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

// rowsPerFlush bounds how much of a response is buffered for a slow client.
const rowsPerFlush = 1000

func (c *conn) sendRows(r *result, rows [][][]byte, formats []int16) error {
	for i, row := range rows {
		c.backend.Send(&pgproto3.DataRow{Values: encodeRow(r.columns, row, formats)})
		if i%rowsPerFlush == rowsPerFlush-1 {
			if err := c.backend.Flush(); err != nil {
				return err
			}
		}
	}
	return nil
}

func unknownPreparedError(name string) error {
	return &sqlError{code: codeUnknownStatement, message: "prepared statement " + strconv.Quote(name) + " does not exist"}
}

func unknownPortalError(name string) error {
	return &sqlError{code: codeUnknownPortal, message: "portal " + strconv.Quote(name) + " does not exist"}
}

// formatCode returns the format code of field i. By the protocol's rules no codes mean
// text for all fields, and a single code applies to all fields.
func formatCode(codes []int16, i int) int16 {
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

// decodeParameter returns a parameter's value as text, or nil for NULL.
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

// encodeRow converts 64-bit integers from text to binary where the client asked for it.
func encodeRow(columns []column, row [][]byte, formats []int16) [][]byte {
	if len(formats) == 0 {
		return row
	}
	values := make([][]byte, len(row))
	for i, v := range row {
		values[i] = v
		is64Bit := columns[i].oid == pgtype.Int8OID || columns[i].oid == pgtype.XID8OID
		if v != nil && is64Bit && formatCode(formats, i) == pgproto3.BinaryFormat {
			n, _ := strconv.ParseUint(string(v), 10, 64)
			values[i] = binary.BigEndian.AppendUint64(nil, n)
		}
	}
	return values
}

// fieldDescriptions returns the field descriptions of a RowDescription message.
func fieldDescriptions(columns []column, formats []int16) []pgproto3.FieldDescription {
	descriptions := make([]pgproto3.FieldDescription, len(columns))
	for i, col := range columns {
		descriptions[i] = pgproto3.FieldDescription{
			Name:         []byte(col.name),
			DataTypeOID:  col.oid,
			DataTypeSize: col.size(),
			TypeModifier: -1,
			Format:       formatCode(formats, i),
		}
	}
	return descriptions
}
