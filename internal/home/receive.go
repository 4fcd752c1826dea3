package home

import (
	"bytes"
	"errors"

	"egretroad/internal/backend"
)

// readAnswers reads the answers to the batch.
func (x *exchange) readAnswers() error {
	for {
		x.emitSynthetic()
		if len(x.expected) == 0 {
			return nil
		}
		kind, message, err := x.next()
		if err != nil {
			return err
		}
		if err := x.take(kind, message); err != nil {
			return err
		}
		if !x.conn.Buffered() {
			if err := x.answer.stream(); err != nil {
				return err
			}
		}
	}
}

var (
	parseComplete = []byte{'1', 0, 0, 0, 4}
	closeComplete = []byte{'3', 0, 0, 0, 4}
)

// emitSynthetic gives the answers that the server was not asked for.
func (x *exchange) emitSynthetic() {
	for len(x.expected) > 0 && x.expected[0].synthetic {
		if x.expected[0].kind == answerParse {
			x.answer.add(parseComplete)
		} else {
			x.answer.add(closeComplete)
		}
		x.expected = x.expected[1:]
	}
}

// take matches a message with the answer that it belongs to.
func (x *exchange) take(kind byte, message []byte) error {
	switch kind {
	case 'E':
		x.takeError(message)
		return nil
	case 'Z':
		return x.takeReady(message)
	case 'G':
		x.refuseCopyIn()
	case 'C':
		x.noteTag(message)
	}
	if x.ends(kind) {
		done := x.expected[0]
		x.expected = x.expected[1:]
		x.noteStatement(done)
		if done.hidden {
			return nil
		}
	}
	if kind == 'C' {
		x.answer.addCompletion(message)
		return nil
	}
	x.answer.add(message)
	return nil
}

// ends reports whether a message ends the first expected answer.
func (x *exchange) ends(kind byte) bool {
	switch x.expected[0].kind {
	case answerParse:
		return kind == '1'
	case answerBind:
		return kind == '2'
	case answerClose:
		return kind == '3'
	case answerDescribe:
		return kind == 'T' || kind == 'n'
	case answerExecute:
		return kind == 'C' || kind == 'I' || kind == 's'
	default:
		return false
	}
}

// noteStatement keeps the connection's list of prepared statements.
func (x *exchange) noteStatement(done expected) {
	if done.name == "" {
		return
	}
	if done.kind == answerParse {
		x.conn.Statements.Add(done.name)
	} else {
		x.conn.Statements.Remove(done.name)
	}
}

// takeError passes an error on; the server ignores the rest up to a Sync.
func (x *exchange) takeError(message []byte) {
	x.answer.add(message)
	x.answer.failed = true
	var e *backend.ServerError
	if errors.As(backend.DecodeError(message), &e) {
		x.l.suspect = x.l.suspect || staleStatement(e.Code)
		x.noteRefusal(e)
	}
	for len(x.expected) > 0 && x.expected[0].kind != answerReady {
		x.expected = x.expected[1:]
	}
	x.l.skipping = len(x.expected) == 0
}

// staleStatement reports whether an error says that the list of prepared
// statements is wrong.
func staleStatement(code string) bool {
	const duplicateStatement, noSuchStatement = "42P05", "26000"
	return code == duplicateStatement || code == noSuchStatement
}

func (x *exchange) takeReady(message []byte) error {
	if len(x.expected) == 0 || x.expected[0].kind != answerReady || len(message) != messageHeaderBytes+1 {
		return &backend.ProtocolError{Detail: "unexpected ReadyForQuery"}
	}
	x.expected = x.expected[1:]
	x.l.txStatus = message[messageHeaderBytes]
	x.l.skipping, x.l.unsynced = false, false
	x.conn.Answered()
	return nil
}

// copyFail ends a COPY FROM STDIN, which no batch can feed.
var copyFail = appendCopyFail("COPY FROM STDIN is not supported")

func appendCopyFail(reason string) []byte {
	const lengthField = 4
	out := []byte{'f', 0, 0, 0, byte(lengthField + len(reason) + 1)}
	return append(append(out, reason...), 0)
}

// refuseCopyIn makes the server end a COPY FROM STDIN with an error. A batch
// that carries the data already ends it by itself.
func (x *exchange) refuseCopyIn() {
	if !hasCopyEnd(x.b.Messages) {
		_, _ = x.conn.Write(copyFail)
	}
}

func hasCopyEnd(messages []byte) bool {
	for len(messages) > 0 {
		message, rest, err := cutMessage(messages)
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

// noteTag watches for statements that leave traces in the session.
func (x *exchange) noteTag(message []byte) {
	tag := message[messageHeaderBytes : len(message)-1]
	switch {
	case bytes.HasPrefix(tag, []byte("SET")), bytes.HasPrefix(tag, []byte("RESET")):
		x.conn.SetSettings(settingsUnknown)
	case bytes.HasPrefix(tag, []byte("COMMIT")):
		x.answer.commitSeen = true
	case bytes.HasPrefix(tag, []byte("DISCARD")), bytes.HasPrefix(tag, []byte("DEALLOCATE")),
		bytes.HasPrefix(tag, []byte("PREPARE")), bytes.HasPrefix(tag, []byte("LISTEN")),
		bytes.HasPrefix(tag, []byte("DECLARE")), bytes.HasPrefix(tag, []byte("CREATE TEMP")):
		x.l.suspect = true
	}
}
