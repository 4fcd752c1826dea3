package home

import (
	"errors"
	"strconv"
	"time"

	"egretroad/internal/backend"
	"egretroad/internal/outcome"
	"egretroad/internal/topology"
)

// prepareCommitLookup obtains the transaction ID before the commit of a
// non-repeatable request is sent, so that the outcome can be queried if the
// connection breaks during the commit. A single statement outside a transaction is
// wrapped in a hidden transaction for this.
func (x *exchange) prepareCommitLookup(out *[]byte) error {
	if x.lane.txStatus == 'T' {
		return x.queryTransactionID(out)
	}
	if x.lane.txStatus == 'I' && isSingleStatement(x.batch) {
		x.hiddenTxn = true
		*out = backend.AppendQuery(*out, "BEGIN")
		*out = backend.AppendQuery(*out, backend.SQLXactID)
	}
	return nil
}

// queryTransactionID queries the ID of the open transaction, which is about to
// commit, and waits for the response.
func (x *exchange) queryTransactionID(out *[]byte) error {
	if x.lane.skipping {
		return nil
	}
	if err := x.send(backend.AppendQuery(*out, backend.SQLXactID)); err != nil {
		return x.connectionError(err)
	}
	*out = (*out)[:0]
	return x.receiveTransactionID()
}

func (x *exchange) receiveTransactionID() error {
	row, err := backend.ReadRow(x.next)
	var serverErr *backend.ServerError
	if errors.As(err, &serverErr) {
		return nil
	}
	if err != nil {
		return x.connectionError(err)
	}
	if len(row) == 1 {
		x.lane.xid, _ = strconv.ParseUint(row[0], 10, 64)
	}
	return nil
}

// readHiddenBegin reads the responses to the hidden BEGIN and the transaction ID
// query.
func (x *exchange) readHiddenBegin() error {
	_, err := backend.ReadRow(x.next)
	var serverErr *backend.ServerError
	if err != nil && !errors.As(err, &serverErr) {
		return err
	}
	row, err := backend.ReadRow(x.next)
	if err != nil && !errors.As(err, &serverErr) {
		return err
	}
	// A server that does not assign transaction IDs does not accept writes.
	x.mayBeReplaced = x.mayBeReplaced || err != nil
	if len(row) == 1 {
		x.lane.xid, _ = strconv.ParseUint(row[0], 10, 64)
	}
	return nil
}

// commitAndConfirm ends a batch that can commit: it commits the hidden transaction
// if there is one, reads the log position after the commit and waits until the write
// is confirmed. It returns the zero mark when nothing was committed.
func (x *exchange) commitAndConfirm() (topology.Mark, error) {
	queriedAt := statusTime()
	if x.hiddenTxn {
		if x.lane.txStatus == 'T' && x.cancelled {
			x.rollBackHidden()
			return topology.Mark{}, x.lane.batchError(outcome.ReasonStatementTime, "the deadline passed before the commit", nil, false)
		}
		if x.lane.txStatus == 'E' {
			x.rollBackHidden()
			return topology.Mark{}, nil
		}
		if err := x.sendHiddenCommit(); err != nil {
			return topology.Mark{}, err
		}
		if x.response.failed {
			x.discardStatus()
			return topology.Mark{}, nil
		}
	}
	status, err := x.readStatus(queriedAt)
	if err != nil {
		return topology.Mark{}, x.connectionError(err)
	}
	if !x.mayHaveCommitted() {
		return topology.Mark{}, nil
	}
	return x.confirmWrite(status)
}

// discardStatus reads and ignores the response to a status query.
func (x *exchange) discardStatus() {
	if _, err := backend.ReadRow(x.next); err != nil {
		x.lane.discardConn = true
	}
}

// mayHaveCommitted reports whether the batch may have committed anything.
func (x *exchange) mayHaveCommitted() bool {
	if x.lane.txStatus != 'I' {
		return x.response.commitSeen
	}
	return x.response.completed
}

// rollBackHidden rolls back the hidden transaction of a failed statement.
func (x *exchange) rollBackHidden() {
	x.unwatchContext()
	_, err := x.conn.Query("ROLLBACK", time.Now().Add(x.lane.server.options.RollbackTimeout))
	x.lane.txStatus = 'I'
	if err != nil {
		x.lane.discardConn = true
	}
}

// sendHiddenCommit commits the hidden transaction. If the commit fails, its error
// replaces the statement's CommandComplete.
func (x *exchange) sendHiddenCommit() error {
	x.unwatchContext()
	x.extendCommitDeadline()
	x.commitSent = true
	out := backend.AppendQuery(nil, "COMMIT")
	out = backend.AppendQuery(out, backend.SQLStatus)
	if err := x.send(out); err != nil {
		return x.connectionError(err)
	}
	for {
		kind, message, err := x.next()
		if err != nil {
			return x.connectionError(err)
		}
		switch kind {
		case 'E':
			x.response.replaceCompletion(message)
			var e *backend.ServerError
			if errors.As(backend.DecodeError(message), &e) {
				x.detectRoleLoss(e)
			}
		case 'Z':
			x.lane.txStatus = message[messageHeaderBytes]
			return nil
		}
	}
}

// extendCommitDeadline extends the deadline so that the server has at least
// CancelGrace to respond to the commit.
func (x *exchange) extendCommitDeadline() {
	minDeadline := time.Now().Add(x.lane.server.options.CancelGrace)
	if x.deadline.Before(minDeadline) {
		x.deadline = minDeadline
	}
	x.conn.SetDeadline(x.deadline)
}

// Results of pg_xact_status.
const (
	xactCommitted  = "committed"
	xactAborted    = "aborted"
	xactInProgress = "in progress"
)

// resolveCommit asks the server whether a transaction took effect whose connection
// broke during the commit. It returns a *outcome.NotRunError if the transaction was
// rolled back, a *resolvedCommitError if it was committed, and a
// *outcome.UnknownError if that cannot be determined.
func (x *exchange) resolveCommit(reason outcome.Reason, cause error) error {
	unknown := &outcome.UnknownError{Reason: reason, Detail: "the connection broke during the commit", Cause: cause}
	switch x.lane.server.pollTransactionStatus(x.lane.xid, x.lane.request.Term) {
	case xactAborted:
		return x.lane.batchError(reason, "the connection broke and the server rolled the transaction back", cause, false)
	case xactCommitted:
		return &resolvedCommitError{unknown: unknown}
	default:
		return unknown
	}
}
