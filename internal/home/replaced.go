package home

import (
	"context"

	"egretroad/internal/backend"
	"egretroad/internal/outcome"
	"egretroad/internal/topology"
)

// SQLSTATEs that a server returns when it is not, or is no longer, the primary: it
// rejects a write, or it rolls a transaction back because its role has changed.
const (
	codeReadOnly      = "25006"
	codeSerialization = "40001"
)

// detectRoleLoss records that an error may mean that the server lost its role.
func (x *exchange) detectRoleLoss(e *backend.ServerError) {
	if x.queryStatus && (e.Code == codeReadOnly || e.Code == codeSerialization) {
		x.mayBeReplaced = true
	}
}

// primaryReplaced reports whether the server rejected the whole transaction because
// it is no longer the primary of the request's term. If so, no statement of the
// transaction took effect.
func (x *exchange) primaryReplaced() bool {
	if !x.mayBeReplaced || !x.lane.firstBatch || x.lane.txStatus != 'I' || x.response.delivered || x.response.commitSeen {
		return false
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), x.lane.server.options.StatusTimeout)
	defer cancel()
	status, err := x.lane.server.status.wait(ctx, nil)
	return err == nil && (status.Role != topology.RolePrimary || status.Term != x.lane.request.Term)
}

// replacedError returns the error of a request that a replaced primary rejected.
// Sent is set because its bytes were sent: a non-repeatable request fails at the
// caller instead of being retried.
func (x *exchange) replacedError() error {
	return &outcome.NotRunError{
		Reason: outcome.ReasonReplaced, Sent: true,
		Detail: "server " + x.lane.server.id + " no longer takes writes of the term",
	}
}
