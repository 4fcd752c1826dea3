package gateway

import (
	"fmt"
	"io"

	"github.com/jackc/pgx/v5/pgproto3"
)

// messageTooLargeError reports a frontend message over the size limit.
type messageTooLargeError struct{ Bytes, Limit int }

func (e *messageTooLargeError) Error() string {
	return fmt.Sprintf("message of %d bytes is larger than the limit of %d bytes", e.Bytes, e.Limit)
}

// memoryError reports that the gateway has reached its limit of buffered bytes.
type memoryError struct{}

func (*memoryError) Error() string { return "the proxy's limit of buffered request bytes is reached" }

// pooledBackend is a pgproto3 backend that is reused for one connection after another.
type pooledBackend struct {
	*pgproto3.Backend
	reader io.Reader
}

func newPooledBackend(maxBody int) *pooledBackend {
	p := &pooledBackend{}
	p.Backend = pgproto3.NewBackend(p, io.Discard)
	p.SetMaxBodyLen(maxBody)
	return p
}

// Read implements io.Reader on the attached connection.
func (p *pooledBackend) Read(b []byte) (int, error) { return p.reader.Read(b) }

func (p *pooledBackend) attach(r io.Reader) *pooledBackend {
	p.reader = r
	return p
}
