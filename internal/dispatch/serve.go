package dispatch

import (
	"context"
	"errors"

	"github.com/vmihailenco/msgpack/v5"

	"egretroad/internal/outcome"
	"egretroad/internal/peer"
	"egretroad/internal/topology"
	"egretroad/internal/txn"
)

// positionQuery is the body of MethodPosition.
type positionQuery struct {
	Server string `msgpack:"s"`
}

// waitQuery is the body of MethodWaitApplied.
type waitQuery struct {
	Server string        `msgpack:"s"`
	Mark   topology.Mark `msgpack:"m"`
}

// answerer is an answer that can carry an outcome error.
type answerer interface{ outcome() error }

// failure is the part of an answer that carries an outcome error.
type failure struct {
	Err    *peer.WireError `msgpack:"e"`
	Failed *serverError    `msgpack:"f"`
}

// serverError is the wire form of outcome.FailedError.
type serverError struct {
	Code    string `msgpack:"c"`
	Message string `msgpack:"m"`
}

func newFailure(err error) failure {
	if err == nil {
		return failure{}
	}
	var failed *outcome.FailedError
	if errors.As(err, &failed) {
		return failure{Failed: &serverError{Code: failed.Code, Message: failed.Message}}
	}
	w := peer.EncodeError(err)
	return failure{Err: &w}
}

func (f failure) outcome() error {
	if f.Failed != nil {
		return &outcome.FailedError{Code: f.Failed.Code, Message: f.Failed.Message}
	}
	if f.Err != nil {
		return f.Err.Err()
	}
	return nil
}

// positionAnswer answers MethodPosition.
type positionAnswer struct {
	Failure failure       `msgpack:"e"`
	Mark    topology.Mark `msgpack:"m"`
}

func (a *positionAnswer) outcome() error { return a.Failure.outcome() }

// statusAnswer answers MethodWaitApplied and MethodAdmin.
type statusAnswer struct {
	Failure failure               `msgpack:"e"`
	Status  topology.ServerStatus `msgpack:"s"`
}

func (a *statusAnswer) outcome() error { return a.Failure.outcome() }

func (d *Dispatcher) servePosition(ctx context.Context, _ string, body []byte) ([]byte, error) {
	var q positionQuery
	if err := peer.DecodeBody(body, &q); err != nil {
		return nil, err
	}
	mark, err := d.local.Position(ctx, q.Server)
	return msgpack.Marshal(&positionAnswer{Failure: newFailure(err), Mark: mark})
}

func (d *Dispatcher) serveWaitApplied(ctx context.Context, _ string, body []byte) ([]byte, error) {
	var q waitQuery
	if err := peer.DecodeBody(body, &q); err != nil {
		return nil, err
	}
	status, err := d.local.WaitApplied(ctx, q.Server, q.Mark)
	return msgpack.Marshal(&statusAnswer{Failure: newFailure(err), Status: status})
}

func (d *Dispatcher) serveAdmin(ctx context.Context, _ string, body []byte) ([]byte, error) {
	var r txn.AdminRequest
	if err := peer.DecodeBody(body, &r); err != nil {
		return nil, err
	}
	status, err := d.local.Admin(ctx, r)
	return msgpack.Marshal(&statusAnswer{Failure: newFailure(err), Status: status})
}
