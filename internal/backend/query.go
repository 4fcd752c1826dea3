package backend

import (
	"encoding/binary"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"egretroad/internal/topology"
)

// AppendQuery appends a simple Query message.
func AppendQuery(dst []byte, sql string) []byte {
	dst = append(dst, 'Q')
	dst = binary.BigEndian.AppendUint32(dst, uint32(4+len(sql)+1))
	dst = append(dst, sql...)
	return append(dst, 0)
}

// AppendSync appends a Sync message.
func AppendSync(dst []byte) []byte { return append(dst, 'S', 0, 0, 0, 4) }

// Row is the first row of a simple query's result; a NULL is an empty string.
type Row []string

// Query runs a simple query and returns its first row, or nil if there is none. Errors
// are *ServerError, after which the connection is still usable, *BrokenError and
// *ProtocolError.
func (c *Conn) Query(sql string, deadline time.Time) (Row, error) {
	c.SetDeadline(deadline)
	if _, err := c.Write(AppendQuery(nil, sql)); err != nil {
		return nil, err
	}
	return c.ReadRow()
}

// Probe checks with a Sync that the server responds, without running a statement.
func (c *Conn) Probe(deadline time.Time) error {
	c.SetDeadline(deadline)
	if _, err := c.Write(AppendSync(nil)); err != nil {
		return err
	}
	_, err := c.ReadRow()
	return err
}

// ReadRow reads messages up to ReadyForQuery and returns the first row.
func (c *Conn) ReadRow() (Row, error) { return ReadRow(c.Next) }

// ReadRow reads messages with next up to ReadyForQuery and returns the first row, or
// nil if there is none. An ErrorResponse is returned as a *ServerError.
func ReadRow(next func() (byte, []byte, error)) (Row, error) {
	var row Row
	var failure error
	for {
		kind, message, err := next()
		if err != nil {
			return nil, err
		}
		switch kind {
		case 'D':
			if row != nil {
				continue
			}
			if row, err = DecodeRow(message); err != nil {
				return nil, err
			}
		case 'E':
			failure = DecodeError(message)
		case 'Z':
			return row, failure
		}
	}
}

// DecodeRow returns the text columns of a DataRow message. Errors are *ProtocolError.
func DecodeRow(message []byte) (Row, error) {
	var data pgproto3.DataRow
	if err := data.Decode(message[messageHeaderBytes:]); err != nil {
		return nil, &ProtocolError{Detail: err.Error()}
	}
	row := make(Row, len(data.Values))
	for i, v := range data.Values {
		row[i] = string(v)
	}
	return row, nil
}

// DecodeError returns an ErrorResponse message as a *ServerError, or a *ProtocolError
// if it is malformed.
func DecodeError(message []byte) error {
	var e pgproto3.ErrorResponse
	if err := e.Decode(message[messageHeaderBytes:]); err != nil {
		return &ProtocolError{Detail: err.Error()}
	}
	return &ServerError{Code: e.Code, Message: e.Message}
}

// Status is the decoded result of SQLStatus.
type Status struct {
	Term           uint64
	Fence          uint64
	Role           topology.Role
	Position       uint64 // bytes of log
	Lag            time.Duration
	Slots          int
	MaxConnections int
}

const statusColumns = 7

// ParseStatus parses the row returned by SQLStatus. Errors are *ProtocolError.
func ParseStatus(row Row) (Status, error) {
	if len(row) != statusColumns {
		return Status{}, &ProtocolError{Detail: "status row with " + strconv.Itoa(len(row)) + " columns"}
	}
	var s Status
	var numbers [statusColumns]int64
	for _, i := range []int{0, 1, 4, 5, 6} {
		n, err := strconv.ParseInt(row[i], 10, 64)
		if err != nil || n < 0 {
			return Status{}, &ProtocolError{Detail: "invalid status column " + strconv.Quote(row[i])}
		}
		numbers[i] = n
	}
	position, err := ParseLSN(row[3])
	if err != nil {
		return Status{}, err
	}
	s.Term, s.Fence = uint64(numbers[0]), uint64(numbers[1])
	s.Role, s.Position = topology.Role(row[2]), position
	s.Lag = time.Duration(numbers[4]) * time.Millisecond
	s.Slots, s.MaxConnections = int(numbers[5]), int(numbers[6])
	return s, nil
}

// ParseLSN parses a log position such as 0/16B3748. Errors are *ProtocolError.
func ParseLSN(text string) (uint64, error) {
	high, low, found := strings.Cut(text, "/")
	h, errHigh := strconv.ParseUint(high, 16, 32)
	l, errLow := strconv.ParseUint(low, 16, 32)
	if !found || errHigh != nil || errLow != nil {
		return 0, &ProtocolError{Detail: "invalid log position " + strconv.Quote(text)}
	}
	return h<<32 | l, nil
}

// ServerStatus converts s to a topology.ServerStatus. observedAt is the time at which
// the query was sent, not when its result came, so that staleness is never
// underestimated.
func (s Status) ServerStatus(server string, observedAt time.Duration) topology.ServerStatus {
	return topology.ServerStatus{
		Server: server, Term: s.Term, Fence: s.Fence, Role: s.Role, Position: s.Position,
		Lag: s.Lag, Reachable: true, ObservedAt: observedAt,
	}
}
