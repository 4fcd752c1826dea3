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

// positionRequest is the request body of method.Position.
type positionRequest struct {
	Server string `msgpack:"s"`
}

// waitAppliedRequest is the request body of method.WaitApplied.
type waitAppliedRequest struct {
	Server string        `msgpack:"s"`
	Mark   topology.Mark `msgpack:"m"`
}

// outcomeResponse is a response body that can carry an outcome error.
type outcomeResponse interface{ outcome() error }

// responseError carries the outcome error of a response.
type responseError struct {
	Err    *peer.WireError `msgpack:"e"`
	Failed *failedError    `msgpack:"f"`
}

// failedError is the wire format of outcome.FailedError.
type failedError struct {
	Code    string `msgpack:"c"`
	Message string `msgpack:"m"`
}

func newResponseError(err error) responseError {
	if err == nil {
		return responseError{}
	}
	var failed *outcome.FailedError
	if errors.As(err, &failed) {
		return responseError{Failed: &failedError{Code: failed.Code, Message: failed.Message}}
	}
	w := peer.EncodeError(err)
	return responseError{Err: &w}
}

func (e responseError) outcome() error {
	if e.Failed != nil {
		return &outcome.FailedError{Code: e.Failed.Code, Message: e.Failed.Message}
	}
	if e.Err != nil {
		return e.Err.Err()
	}
	return nil
}

// positionResponse is the response body of method.Position.
type positionResponse struct {
	Failure responseError `msgpack:"e"`
	Mark    topology.Mark `msgpack:"m"`
}

func (r *positionResponse) outcome() error { return r.Failure.outcome() }

// statusResponse is the response body of method.WaitApplied and method.Admin.
type statusResponse struct {
	Failure responseError         `msgpack:"e"`
	Status  topology.ServerStatus `msgpack:"s"`
}

func (r *statusResponse) outcome() error { return r.Failure.outcome() }

func (d *Dispatcher) servePosition(ctx context.Context, _ string, body []byte) ([]byte, error) {
	var request positionRequest
	if err := peer.DecodeBody(body, &request); err != nil {
		return nil, err
	}
	mark, err := d.localHome.Position(ctx, request.Server)
	return msgpack.Marshal(&positionResponse{Failure: newResponseError(err), Mark: mark})
}

func (d *Dispatcher) serveWaitApplied(ctx context.Context, _ string, body []byte) ([]byte, error) {
	var request waitAppliedRequest
	if err := peer.DecodeBody(body, &request); err != nil {
		return nil, err
	}
	status, err := d.localHome.WaitApplied(ctx, request.Server, request.Mark)
	return msgpack.Marshal(&statusResponse{Failure: newResponseError(err), Status: status})
}

func (d *Dispatcher) serveAdmin(ctx context.Context, _ string, body []byte) ([]byte, error) {
	var r txn.AdminRequest
	if err := peer.DecodeBody(body, &r); err != nil {
		return nil, err
	}
	status, err := d.localHome.Admin(ctx, r)
	return msgpack.Marshal(&statusResponse{Failure: newResponseError(err), Status: status})
}
