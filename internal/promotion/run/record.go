package run

import (
	"context"
	"errors"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"egretroad/internal/peer"
	"egretroad/internal/peer/method"
	"egretroad/internal/platform"
)

// recordRequest is the request of method.ReadRecord and method.WriteRecord: access to a record
// of a group in the store. Only writes use Version and Value.
type recordRequest struct {
	Kind     string `msgpack:"k"` // one of recordKinds
	Database string `msgpack:"d"`
	Version  uint64 `msgpack:"v,omitempty"` // that the record must have; 0: there must be none
	Value    []byte `msgpack:"m,omitempty"`
}

// recordKinds are the kinds of objects that VMs access for each other.
var recordKinds = []string{platform.KindMembers, platform.KindDuty}

// recordResponse is the response of both: the record, read or written. If a write conflicts, it
// is the current record, and Conflict is set.
type recordResponse struct {
	Version  uint64 `msgpack:"v"` // 0: there is no record
	Value    []byte `msgpack:"m,omitempty"`
	Conflict bool   `msgpack:"c,omitempty"`
	Detail   string `msgpack:"d,omitempty"` // why the call failed; empty on success
}

// readRecord reads a record, through another VM if this one cannot reach the store.
func (x *Executor) readRecord(ctx context.Context, r recordRequest) (recordResponse, error) {
	response, err := x.readRecordHere(ctx, r)
	if isUnavailable(err) {
		return x.accessThroughPeer(ctx, method.ReadRecord, r, err)
	}
	return response, err
}

// writeRecord replaces a record that has the given version, through another VM if this one
// cannot reach the store. Another version is a *platform.ConflictError.
func (x *Executor) writeRecord(ctx context.Context, r recordRequest) (recordResponse, error) {
	response, err := x.writeRecordHere(ctx, r)
	if isUnavailable(err) {
		return x.accessThroughPeer(ctx, method.WriteRecord, r, err)
	}
	return response, err
}

func isUnavailable(err error) bool {
	var unavailable *platform.UnavailableError
	return errors.As(err, &unavailable)
}

func (x *Executor) readRecordHere(ctx context.Context, r recordRequest) (recordResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	o, err := x.deps.Store.Get(ctx, r.Kind, r.Database)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return recordResponse{}, nil
	}
	return recordResponse{Version: o.Version, Value: o.Value}, err
}

func (x *Executor) writeRecordHere(ctx context.Context, r recordRequest) (recordResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	o, err := platform.PutWithRetry(ctx, x.deps.Store, r.Kind, r.Database, r.Version, r.Value, platform.SameValue(r.Value))
	return recordResponse{Version: o.Version, Value: r.Value}, err
}

// accessThroughPeer has another VM access a record. cause is the error of this VM's own attempt.
func (x *Executor) accessThroughPeer(ctx context.Context, name string, r recordRequest, cause error) (recordResponse, error) {
	err := cause
	for _, vm := range x.claimWriters() {
		ctx, cancel := context.WithTimeout(ctx, claimTimeout)
		var response recordResponse
		callErr := peer.CallMsgpack(ctx, x.deps.Peers, vm, name, &r, &response)
		cancel()
		switch {
		case callErr == nil && response.Conflict:
			return recordResponse{}, &platform.ConflictError{Kind: r.Kind, Name: r.Database, Current: platform.Object{
				Kind: r.Kind, Name: r.Database, Version: response.Version, Value: response.Value,
			}}
		case callErr == nil && response.Detail == "":
			return response, nil
		case callErr != nil:
			err = callErr
		}
		x.deps.Log.Warn("record_not_accessed_by_peer", "database", r.Database, "kind", r.Kind, "vm", vm, "method", name, "detail", response.Detail, "error", callErr)
	}
	return recordResponse{}, err
}

func (x *Executor) serveReadRecord(ctx context.Context, _ string, body []byte) ([]byte, error) {
	return serveRecord(ctx, body, x.readRecordHere)
}

func (x *Executor) serveWriteRecord(ctx context.Context, _ string, body []byte) ([]byte, error) {
	return serveRecord(ctx, body, x.writeRecordHere)
}

// serveRecord accesses a record for another VM.
func serveRecord(ctx context.Context, body []byte, access func(context.Context, recordRequest) (recordResponse, error)) ([]byte, error) {
	var r recordRequest
	if err := peer.DecodeBody(body, &r); err != nil {
		return nil, err
	}
	if !slices.Contains(recordKinds, r.Kind) {
		return nil, &platform.InvalidValueError{Kind: r.Kind, Name: r.Database, Cause: errors.New("not a record of a group")}
	}
	response, err := access(ctx, r)
	var conflict *platform.ConflictError
	switch {
	case errors.As(err, &conflict):
		response = recordResponse{Version: conflict.Current.Version, Value: conflict.Current.Value, Conflict: true, Detail: err.Error()}
	case err != nil:
		response.Detail = err.Error()
	}
	return msgpack.Marshal(&response)
}
