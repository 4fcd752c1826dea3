package gateway

import (
	"fmt"
	"io"
	"sync/atomic"

	"github.com/jackc/pgx/v5/pgproto3"
)

// memoryLimit counts bytes against a limit.
type memoryLimit struct {
	limit int64
	used  atomic.Int64
}

// take reserves n bytes; it is false when the limit would be passed.
func (m *memoryLimit) take(n int64) bool {
	if m.used.Add(n) > m.limit {
		m.used.Add(-n)
		return false
	}
	return true
}

func (m *memoryLimit) give(n int64) { m.used.Add(-n) }

// messageTooLargeError reports a frontend message over the size limit.
type messageTooLargeError struct{ Bytes, Limit int }

func (e *messageTooLargeError) Error() string {
	return fmt.Sprintf("message of %d bytes is larger than the limit of %d bytes", e.Bytes, e.Limit)
}

// memoryError reports that the gateway holds as many bytes as it may.
type memoryError struct{}

func (*memoryError) Error() string { return "the proxy's limit of buffered request bytes is reached" }

// pooledBackend is a pgproto3 backend that can be attached to one wire after another.
type pooledBackend struct {
	*pgproto3.Backend
	source io.Reader
}

func newPooledBackend(maxBody int) *pooledBackend {
	p := &pooledBackend{}
	p.Backend = pgproto3.NewBackend(p, io.Discard)
	p.SetMaxBodyLen(maxBody)
	return p
}

// Read implements io.Reader.
func (p *pooledBackend) Read(b []byte) (int, error) { return p.source.Read(b) }

func (p *pooledBackend) attach(r io.Reader) *pooledBackend {
	p.source = r
	return p
}
