package gateway

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"sync"
	"unique"

	"github.com/jackc/pgx/v5/pgproto3"

	"egretroad/internal/txn"
)

// prepared is a caller's prepared statement.
type prepared struct {
	statement
	wire txn.Statement // the name that backend servers know it by
	// confirmed says that a server accepted it; a failed Parse may be repeated.
	confirmed bool
}

// statementNameBytes is the length of the digest in a statement's name.
const statementNameBytes = 16

// newPrepared derives the statement's name from its SQL and parameter types. The
// digest is cryptographic: a caller must not be able to make two statements that
// share a name, since connections are shared between callers.
func newPrepared(sql string, oids []uint32) *prepared {
	sql = unique.Make(sql).Value()
	h := sha256.New()
	h.Write([]byte(sql))
	var oid [4]byte
	h.Write([]byte{0})
	for _, o := range oids {
		binary.BigEndian.PutUint32(oid[:], o)
		h.Write(oid[:])
	}
	var sum [sha256.Size]byte
	name := "e" + hex.EncodeToString(h.Sum(sum[:0])[:statementNameBytes])
	return &prepared{
		statement: classify(sql),
		wire:      txn.Statement{Name: name, SQL: sql, ParamOIDs: append([]uint32(nil), oids...)},
	}
}

// batch collects the messages for a server up to the next Sync, Flush or local step.
type batch struct {
	messages   *[]byte
	statements []txn.Statement
	parsed     []*prepared // statements whose Parse is among the messages
	unnamed    *prepared   // of parsed: the one that took the unnamed slot
	executed   []statement // in order of their Execute messages
}

var batchPool = sync.Pool{New: func() any { b := make([]byte, 0, 1024); return &b }}

func (b *batch) empty() bool { return b.messages == nil }

func (b *batch) size() int {
	if b.messages == nil {
		return 0
	}
	return len(*b.messages)
}

// add appends a message.
func (b *batch) add(msg pgproto3.FrontendMessage) error {
	if b.messages == nil {
		b.messages = batchPool.Get().(*[]byte)
	}
	encoded, err := msg.Encode(*b.messages)
	if err != nil {
		return &callerError{Code: codeProtocol, Message: "protocol error: " + err.Error()}
	}
	*b.messages = encoded
	return nil
}

// reset forgets the messages and returns their buffer.
func (b *batch) reset() {
	if b.messages != nil && cap(*b.messages) <= keptBufferBytes {
		*b.messages = (*b.messages)[:0]
		batchPool.Put(b.messages)
	}
	b.messages = nil
	b.statements = b.statements[:0]
	b.parsed = b.parsed[:0]
	b.executed = b.executed[:0]
	b.unnamed = nil
}

// use returns the name by which the messages may refer to p, and lists p if an
// earlier batch prepared it.
func (b *batch) use(p *prepared) string {
	if b.unnamed == p {
		return ""
	}
	for _, parsed := range b.parsed {
		if parsed == p {
			return p.wire.Name
		}
	}
	for i := range b.statements {
		if b.statements[i].Name == p.wire.Name {
			return p.wire.Name
		}
	}
	b.statements = append(b.statements, p.wire)
	return p.wire.Name
}
