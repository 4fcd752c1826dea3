package home

import (
	"bytes"
	"encoding/binary"

	"egretroad/internal/backend"
	"egretroad/internal/pool"
	"egretroad/internal/txn"
)

// answerKind says which message ends one expected answer.
type answerKind uint8

const (
	answerParse answerKind = iota
	answerBind
	answerClose
	answerDescribe
	answerExecute
	answerReady // ends a Sync or a Query
)

// expected is one answer that the server, or the home in its place, gives.
type expected struct {
	kind      answerKind
	hidden    bool   // not for the caller
	synthetic bool   // given by the home
	name      string // prepared statement
}

// messageHeaderBytes is the length of a message's type and length fields.
const messageHeaderBytes = 5

// rewriteBatch appends what has to be sent for a batch to out, and returns the
// answers to expect. skipping says that the server ignores messages up to a Sync.
func rewriteBatch(out []byte, b txn.Batch, statements *pool.Statements, skipping bool) ([]byte, []expected, error) {
	answers := make([]expected, 0, 8)
	if !skipping {
		out, answers = prepareMissing(out, answers, b.Statements, statements)
	}
	rest := b.Messages
	for len(rest) > 0 {
		message, after, err := cutMessage(rest)
		if err != nil {
			return nil, nil, err
		}
		rest = after
		if skipping && message[0] != 'S' {
			out = append(out, message...)
			continue
		}
		skipping = false
		answer, expects, forward := classify(message, statements)
		if answer.kind == answerParse && answer.name != "" && isPrepared(answers, answer.name) {
			answer.synthetic, forward = true, false
		}
		if forward {
			out = append(out, message...)
		}
		if expects {
			answers = append(answers, answer)
		}
	}
	return out, answers, nil
}

// prepareMissing prepares the statements that the connection lacks, and closes
// those that are then too many and have not been used for long.
func prepareMissing(out []byte, answers []expected, needed []txn.Statement, statements *pool.Statements) ([]byte, []expected) {
	missing := 0
	for _, st := range needed {
		if !statements.Use(st.Name) {
			missing++
		}
	}
	for _, name := range statements.Oldest(missing) {
		if isNeeded(needed, name) {
			continue
		}
		out = appendNamed(out, 'C', name)
		answers = append(answers, expected{kind: answerClose, hidden: true, name: name})
	}
	for _, st := range needed {
		if statements.Use(st.Name) || isPrepared(answers, st.Name) {
			continue
		}
		out = appendParse(out, st)
		answers = append(answers, expected{kind: answerParse, hidden: true, name: st.Name})
	}
	return out, answers
}

// isPrepared reports whether the batch itself prepares the statement already.
func isPrepared(answers []expected, name string) bool {
	for _, a := range answers {
		if a.kind == answerParse && a.name == name {
			return true
		}
	}
	return false
}

func isNeeded(needed []txn.Statement, name string) bool {
	for _, st := range needed {
		if st.Name == name {
			return true
		}
	}
	return false
}

// appendNamed appends a Close of a prepared statement.
func appendNamed(out []byte, kind byte, name string) []byte {
	const lengthAndTarget = 4 + 1
	out = append(out, kind)
	out = binary.BigEndian.AppendUint32(out, uint32(lengthAndTarget+len(name)+1))
	out = append(out, 'S')
	out = append(out, name...)
	return append(out, 0)
}

func appendParse(out []byte, st txn.Statement) []byte {
	const lengthField, countField, oidBytes = 4, 2, 4
	size := lengthField + len(st.Name) + 1 + len(st.SQL) + 1 + countField + oidBytes*len(st.ParamOIDs)
	out = append(out, 'P')
	out = binary.BigEndian.AppendUint32(out, uint32(size))
	out = append(append(out, st.Name...), 0)
	out = append(append(out, st.SQL...), 0)
	out = binary.BigEndian.AppendUint16(out, uint16(len(st.ParamOIDs)))
	for _, oid := range st.ParamOIDs {
		out = binary.BigEndian.AppendUint32(out, oid)
	}
	return out
}

// cutMessage splits the first message off.
func cutMessage(b []byte) (message, rest []byte, err error) {
	if len(b) < messageHeaderBytes {
		return nil, nil, &backend.ProtocolError{Detail: "cut frontend message"}
	}
	size := int(binary.BigEndian.Uint32(b[1:])) + 1
	if size < messageHeaderBytes || size > len(b) {
		return nil, nil, &backend.ProtocolError{Detail: "frontend message of a wrong length"}
	}
	return b[:size], b[size:], nil
}

// classify tells the answer to a frontend message and whether to forward it.
func classify(message []byte, statements *pool.Statements) (answer expected, expects, forward bool) {
	switch message[0] {
	case 'P':
		name := cString(message[messageHeaderBytes:])
		if name == "" {
			return expected{kind: answerParse}, true, true
		}
		known := statements.Use(name)
		return expected{kind: answerParse, name: name, synthetic: known}, true, !known
	case 'B':
		return expected{kind: answerBind}, true, true
	case 'D':
		return expected{kind: answerDescribe}, true, true
	case 'E':
		return expected{kind: answerExecute}, true, true
	case 'C':
		return classifyClose(message)
	case 'S', 'Q':
		return expected{kind: answerReady}, true, true
	default:
		return expected{}, false, true
	}
}

// classifyClose keeps named statements prepared, as other sessions share them.
func classifyClose(message []byte) (answer expected, expects, forward bool) {
	body := message[messageHeaderBytes:]
	if len(body) > 1 && body[0] == 'S' && body[1] != 0 {
		return expected{kind: answerClose, synthetic: true}, true, false
	}
	return expected{kind: answerClose}, true, true
}

// cString returns the bytes up to the first zero.
func cString(b []byte) string {
	if end := bytes.IndexByte(b, 0); end >= 0 {
		return string(b[:end])
	}
	return string(b)
}
