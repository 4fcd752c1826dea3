package home

import (
	"errors"
	"strconv"
	"time"

	"egretroad/internal/backend"
	"egretroad/internal/outcome"
	"egretroad/internal/topology"
)

// prepareSettlement makes the commit of work that is not repeatable one whose
// outcome can be looked up later: the transaction's ID is known here before the
// commit is sent. A single statement runs in a hidden transaction for that.
func (x *exchange) prepareSettlement(out *[]byte) error {
	if x.l.txStatus == 'T' {
		return x.readTransactionID(out)
	}
	if x.l.txStatus == 'I' && isSingleStatement(x.b) {
		x.wrapped = true
		*out = backend.AppendQuery(*out, "BEGIN")
		*out = backend.AppendQuery(*out, backend.SQLXactID)
	}
	return nil
}

// readTransactionID asks for the ID of an open transaction that is about to
// commit, and waits for it.
func (x *exchange) readTransactionID(out *[]byte) error {
	if x.l.skipping {
		return nil
	}
	if err := x.send(backend.AppendQuery(*out, backend.SQLXactID)); err != nil {
		return x.broken(err)
	}
	*out = (*out)[:0]
	return x.takeTransactionID()
}

func (x *exchange) takeTransactionID() error {
	row, err := backend.ReadRow(x.next)
	var refused *backend.ServerError
	if errors.As(err, &refused) {
		return nil
	}
	if err != nil {
		return x.broken(err)
	}
	if len(row) == 1 {
		x.l.xid, _ = strconv.ParseUint(row[0], 10, 64)
	}
	return nil
}

// readHiddenBegin reads the answers to the hidden BEGIN and the query of the ID.
func (x *exchange) readHiddenBegin() error {
	_, err := backend.ReadRow(x.next)
	var refused *backend.ServerError
	if err != nil && !errors.As(err, &refused) {
		return err
	}
	row, err := backend.ReadRow(x.next)
	if err != nil && !errors.As(err, &refused) {
		return err
	}
	// A server that assigns no transaction ID takes no writes.
	x.readOnly = x.readOnly || err != nil
	if len(row) == 1 {
		x.l.xid, _ = strconv.ParseUint(row[0], 10, 64)
	}
	return nil
}

// commit finds the position after a batch that may have committed, and waits for
// the confirmation of what it committed.
func (x *exchange) commit() (topology.Mark, error) {
	at := asked()
	if x.wrapped {
		if x.l.txStatus == 'T' && x.cancelled {
			x.rollBackHidden()
			return topology.Mark{}, x.l.failed(outcome.ReasonStatementTime, "the deadline passed before the commit", nil, false)
		}
		if x.l.txStatus == 'E' {
			x.rollBackHidden()
			return topology.Mark{}, nil
		}
		if err := x.sendHiddenCommit(); err != nil {
			return topology.Mark{}, err
		}
		if x.answer.failed {
			x.drainStatus()
			return topology.Mark{}, nil
		}
	}
	status, err := x.readStatus(at)
	if err != nil {
		return topology.Mark{}, x.broken(err)
	}
	if !x.committed() {
		return topology.Mark{}, nil
	}
	return x.confirm(status)
}

// drainStatus reads the answer to a status query that is of no more use.
func (x *exchange) drainStatus() {
	if _, err := backend.ReadRow(x.next); err != nil {
		x.l.suspect = true
	}
}

// committed reports whether the batch can have committed anything.
func (x *exchange) committed() bool {
	if x.l.txStatus != 'I' {
		return x.answer.commitSeen
	}
	return x.answer.completed
}

// rollBackHidden ends the hidden transaction of a statement that failed.
func (x *exchange) rollBackHidden() {
	x.unwatch()
	_, err := x.conn.Query("ROLLBACK", time.Now().Add(x.l.s.options.RollbackTimeout))
	x.l.txStatus = 'I'
	if err != nil {
		x.l.suspect = true
	}
}

// sendHiddenCommit commits the hidden transaction. An error of the commit takes
// the place of the statement's completion.
func (x *exchange) sendHiddenCommit() error {
	x.unwatch()
	x.extendDeadline()
	x.commitSent = true
	out := backend.AppendQuery(nil, "COMMIT")
	out = backend.AppendQuery(out, backend.SQLStatus)
	if err := x.send(out); err != nil {
		return x.broken(err)
	}
	for {
		kind, message, err := x.next()
		if err != nil {
			return x.broken(err)
		}
		switch kind {
		case 'E':
			x.answer.replaceCompletion(message)
			var e *backend.ServerError
			if errors.As(backend.DecodeError(message), &e) {
				x.noteRefusal(e)
			}
		case 'Z':
			x.l.txStatus = message[messageHeaderBytes]
			return nil
		}
	}
}

// extendDeadline leaves time for the answer of a commit.
func (x *exchange) extendDeadline() {
	least := time.Now().Add(x.l.s.options.CancelGrace)
	if x.deadline.Before(least) {
		x.deadline = least
	}
	x.conn.SetDeadline(x.deadline)
}

// Answers of pg_xact_status.
const (
	xactCommitted  = "committed"
	xactAborted    = "aborted"
	xactInProgress = "in progress"
)

// settle looks up at the server whether a transaction with a broken commit took
// effect, and returns the batch's outcome: nil when it is committed and confirmed
// and the answer is whole.
func (x *exchange) settle(reason outcome.Reason, cause error) error {
	unknown := &outcome.UnknownError{Reason: reason, Detail: "the connection broke during the commit", Cause: cause}
	switch x.l.s.lookUp(x.l.xid, x.l.request.Term) {
	case xactAborted:
		return x.l.failed(reason, "the connection broke and the server rolled the transaction back", cause, false)
	case xactCommitted:
		return &committedError{unknown: unknown}
	default:
		return unknown
	}
}
