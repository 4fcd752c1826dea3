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

// preparedStatement is a prepared statement of a caller.
type preparedStatement struct {
	statement
	serverStatement txn.Statement // the statement as prepared on backend servers
	// accepted is set once a server has accepted the statement. Until then the
	// caller may send Parse again under the same name.
	accepted bool
}

// statementNameBytes is the length of the digest in a statement name.
const statementNameBytes = 16

// newPreparedStatement derives the statement name from the SQL and the parameter
// types. The digest is cryptographic because server connections are shared: a
// caller must not be able to craft two statements with the same name.
func newPreparedStatement(sql string, oids []uint32) *preparedStatement {
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
	return &preparedStatement{
		statement:       classify(sql),
		serverStatement: txn.Statement{Name: name, SQL: sql, ParamOIDs: append([]uint32(nil), oids...)},
	}
}

// batch collects messages for a server until the next Sync, Flush or message that
// the proxy answers itself.
type batch struct {
	messages   *[]byte
	statements []txn.Statement
	parsed     []*preparedStatement // statements whose Parse is in the batch
	unnamed    *preparedStatement   // the one in parsed that is the unnamed statement
	executed   []statement          // in the order of the Execute messages
}

var batchPool = sync.Pool{New: func() any { b := make([]byte, 0, 1024); return &b }}

func (b *batch) empty() bool { return b.messages == nil }

func (b *batch) size() int {
	if b.messages == nil {
		return 0
	}
	return len(*b.messages)
}

// add appends an encoded message.
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

// reset empties the batch and returns its buffer to the pool.
func (b *batch) reset() {
	if b.messages != nil && cap(*b.messages) <= maxPooledBufferBytes {
		*b.messages = (*b.messages)[:0]
		batchPool.Put(b.messages)
	}
	b.messages = nil
	b.statements = b.statements[:0]
	b.parsed = b.parsed[:0]
	b.executed = b.executed[:0]
	b.unnamed = nil
}

// statementName returns the name by which messages of the batch refer to p. If the
// batch does not prepare p itself, it adds p to the statements that the server
// connection must have prepared.
func (b *batch) statementName(p *preparedStatement) string {
	if b.unnamed == p {
		return ""
	}
	for _, parsed := range b.parsed {
		if parsed == p {
			return p.serverStatement.Name
		}
	}
	for i := range b.statements {
		if b.statements[i].Name == p.serverStatement.Name {
			return p.serverStatement.Name
		}
	}
	b.statements = append(b.statements, p.serverStatement)
	return p.serverStatement.Name
}
