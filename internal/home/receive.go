package home

import (
	"bytes"
	"errors"

	"egretroad/internal/backend"
)

// readResponses reads the responses to the batch.
func (x *exchange) readResponses() error {
	for {
		x.addSyntheticResponses()
		if len(x.expected) == 0 {
			return nil
		}
		kind, message, err := x.next()
		if err != nil {
			return err
		}
		if err := x.handleMessage(kind, message); err != nil {
			return err
		}
		if !x.conn.Buffered() {
			if err := x.response.deliverPartial(); err != nil {
				return err
			}
		}
	}
}

var (
	parseComplete = []byte{'1', 0, 0, 0, 4}
	closeComplete = []byte{'3', 0, 0, 0, 4}
)

// addSyntheticResponses adds the responses to messages that were not forwarded to
// the server, up to the next response that the server sends.
func (x *exchange) addSyntheticResponses() {
	for len(x.expected) > 0 && x.expected[0].synthetic {
		if x.expected[0].kind == responseParse {
			x.response.add(parseComplete)
		} else {
			x.response.add(closeComplete)
		}
		x.expected = x.expected[1:]
	}
}

// handleMessage matches a message with the expected response that it belongs to,
// and adds it to the caller's response unless it is hidden.
func (x *exchange) handleMessage(kind byte, message []byte) error {
	switch kind {
	case 'E':
		x.handleError(message)
		return nil
	case 'Z':
		return x.handleReady(message)
	case 'G':
		x.rejectCopyIn()
	case 'C':
		x.inspectCommandTag(message)
	}
	if x.completesExpected(kind) {
		completed := x.expected[0]
		x.expected = x.expected[1:]
		x.updatePreparedStatements(completed)
		if completed.hidden {
			return nil
		}
	}
	if kind == 'C' {
		x.response.addCompletion(message)
		return nil
	}
	x.response.add(message)
	return nil
}

// completesExpected reports whether a message completes the first expected response.
func (x *exchange) completesExpected(kind byte) bool {
	switch x.expected[0].kind {
	case responseParse:
		return kind == '1'
	case responseBind:
		return kind == '2'
	case responseClose:
		return kind == '3'
	case responseDescribe:
		return kind == 'T' || kind == 'n'
	case responseExecute:
		return kind == 'C' || kind == 'I' || kind == 's'
	default:
		return false
	}
}

// updatePreparedStatements updates the connection's list of prepared statements
// after a ParseComplete or CloseComplete.
func (x *exchange) updatePreparedStatements(completed expectedResponse) {
	if completed.name == "" {
		return
	}
	if completed.kind == responseParse {
		x.conn.Statements.Add(completed.name)
	} else {
		x.conn.Statements.Remove(completed.name)
	}
}

// handleError passes an ErrorResponse on and drops the expected responses up to the
// next ReadyForQuery: after an error the server ignores messages until a Sync.
func (x *exchange) handleError(message []byte) {
	x.response.add(message)
	x.response.failed = true
	var e *backend.ServerError
	if errors.As(backend.DecodeError(message), &e) {
		x.lane.discardConn = x.lane.discardConn || isPreparedStatementMismatch(e.Code)
		x.detectRoleLoss(e)
	}
	for len(x.expected) > 0 && x.expected[0].kind != responseReady {
		x.expected = x.expected[1:]
	}
	x.lane.skipping = len(x.expected) == 0
}

// isPreparedStatementMismatch reports whether an error shows that the connection's
// list of prepared statements differs from the server's.
func isPreparedStatementMismatch(code string) bool {
	const duplicateStatement, noSuchStatement = "42P05", "26000"
	return code == duplicateStatement || code == noSuchStatement
}

func (x *exchange) handleReady(message []byte) error {
	if len(x.expected) == 0 || x.expected[0].kind != responseReady || len(message) != messageHeaderBytes+1 {
		return &backend.ProtocolError{Detail: "unexpected ReadyForQuery"}
	}
	x.expected = x.expected[1:]
	x.lane.txStatus = message[messageHeaderBytes]
	x.lane.skipping, x.lane.unsynced = false, false
	x.conn.Answered()
	return nil
}

// copyFail ends a COPY FROM STDIN, for which a batch cannot supply data.
var copyFail = appendCopyFail("COPY FROM STDIN is not supported")

func appendCopyFail(reason string) []byte {
	const lengthField = 4
	out := []byte{'f', 0, 0, 0, byte(lengthField + len(reason) + 1)}
	return append(append(out, reason...), 0)
}

// rejectCopyIn makes the server end a COPY FROM STDIN with an error. A batch that
// contains the data as well as CopyDone or CopyFail ends the COPY itself.
func (x *exchange) rejectCopyIn() {
	if !hasCopyEnd(x.batch.Messages) {
		_, _ = x.conn.Write(copyFail)
	}
}

func hasCopyEnd(messages []byte) bool {
	for len(messages) > 0 {
		message, rest, err := splitMessage(messages)
		if err != nil {
			return false
		}
		if message[0] == 'c' || message[0] == 'f' {
			return true
		}
		messages = rest
	}
	return false
}

// inspectCommandTag tracks commits and statements that change session state. A
// connection with session state that cannot be reset is discarded after the lane.
func (x *exchange) inspectCommandTag(message []byte) {
	tag := message[messageHeaderBytes : len(message)-1]
	switch {
	case bytes.HasPrefix(tag, []byte("SET")), bytes.HasPrefix(tag, []byte("RESET")):
		x.conn.SetSettings(settingsUnknown)
	case bytes.HasPrefix(tag, []byte("COMMIT")):
		x.response.commitSeen = true
	case bytes.HasPrefix(tag, []byte("DISCARD")), bytes.HasPrefix(tag, []byte("DEALLOCATE")),
		bytes.HasPrefix(tag, []byte("PREPARE")), bytes.HasPrefix(tag, []byte("LISTEN")),
		bytes.HasPrefix(tag, []byte("DECLARE")), bytes.HasPrefix(tag, []byte("CREATE TEMP")):
		x.lane.discardConn = true
	}
}
