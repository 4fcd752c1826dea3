package home

import (
	"context"

	"egretroad/internal/backend"
	"egretroad/internal/topology"
)

// SQLSTATEs of a server that is not, or no longer, a primary: a write is refused,
// or a transaction is rolled back because the server's role has changed.
const (
	codeReadOnly      = "25006"
	codeSerialization = "40001"
)

// noteRefusal remembers that the server may have lost its role.
func (x *exchange) noteRefusal(e *backend.ServerError) {
	if x.askStatus && (e.Code == codeReadOnly || e.Code == codeSerialization) {
		x.readOnly = true
	}
}

// replaced reports whether the server refused the whole transaction because it
// is no longer the primary of the request's term. Nothing of it took effect then.
func (x *exchange) replaced() bool {
	if !x.readOnly || !x.l.first || x.l.txStatus != 'I' || x.answer.delivered || x.answer.commitSeen {
		return false
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), x.l.s.options.StatusTimeout)
	defer cancel()
	status, err := x.l.s.status.wait(ctx, nil)
	return err == nil && (status.Role != topology.RolePrimary || status.Term != x.l.request.Term)
}
