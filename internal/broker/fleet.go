package broker

import (
	"context"
	"errors"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"egretroad/internal/clock"
	"egretroad/internal/outcome"
	"egretroad/internal/peer"
	"egretroad/internal/peer/method"
	"egretroad/internal/statement"
	"egretroad/internal/topology"
)

// remoteCallMargin is added to the statement's time-outs for a call to another VM. It
// covers two network crossings between regions and a scheduling pause.
const remoteCallMargin = 300 * time.Millisecond

// Peers is the subset of peer.Node that Fleet uses.
type Peers interface {
	peer.Caller
	peer.Registrar
	// CallAnswering is like Call, but fails without sending while the VM is unresponsive.
	CallAnswering(ctx context.Context, vm, method string, body []byte) ([]byte, error)
}

// Fleet implements Broker by forwarding requests to the homes of the servers. If a home
// is unreachable, or cannot reach its server, this VM stands in for it.
type Fleet struct {
	local  *Manager
	source topology.Source
	peers  Peers
}

var _ Broker = (*Fleet)(nil)

// NewFleet returns a fleet and registers its peer methods.
func NewFleet(local *Manager, source topology.Source, peers Peers) *Fleet {
	f := &Fleet{local: local, source: source, peers: peers}
	peers.Handle(method.Statement, f.serveRun)
	peers.Handle(method.LaneRelease, f.serveRelease)
	peers.Handle(method.Proof, f.serveProof)
	peers.Handle(method.Standing, f.serveStatus)
	return f
}

// Run implements Broker.
func (f *Fleet) Run(ctx context.Context, r Request) Result {
	if r.Joined {
		return f.runAt(ctx, r, r.Via)
	}
	self := f.source.Snapshot().Self
	home, remote := f.remoteHome(r.Server)
	if !remote {
		return f.runAt(ctx, r, self)
	}
	result := f.runAt(ctx, r, home)
	if result.Outcome == NotRun && shouldStandIn(result) && ctx.Err() == nil {
		return f.runAt(ctx, r, self)
	}
	return result
}

// remoteHome returns the VM that is the home of a server; false if this VM is the home
// or the server has none.
func (f *Fleet) remoteHome(server string) (string, bool) {
	snapshot := f.source.Snapshot()
	home, known := snapshot.Home(server)
	return home.ID, known && home.ID != snapshot.Self
}

// shouldStandIn reports whether this VM may succeed where the home failed with the given
// result. A connection that the server itself refused would be refused to any VM.
func shouldStandIn(r Result) bool {
	switch r.Reason {
	case outcome.ReasonHomeLost, outcome.ReasonNoServer:
		return true
	case outcome.ReasonConnect:
		return r.Code == statement.None
	default:
		return false
	}
}

func (f *Fleet) runAt(ctx context.Context, r Request, vm string) Result {
	var result Result
	if vm == f.source.Snapshot().Self {
		result = f.local.Run(ctx, r)
	} else {
		result = f.runRemote(ctx, r, vm)
	}
	result.Via = vm
	return result
}

func (f *Fleet) runRemote(ctx context.Context, r Request, vm string) Result {
	ctx, cancel := context.WithTimeout(ctx, r.QueueFor+r.RunFor+remoteCallMargin)
	defer cancel()
	var result Result
	body, err := msgpack.Marshal(&r)
	if err != nil {
		return Result{Outcome: NotRun, Reason: outcome.ReasonUnavailable, Detail: err.Error()}
	}
	raw, err := f.sendStatement(ctx, r, vm, body)
	if err == nil {
		err = msgpack.Unmarshal(raw, &result)
	}
	if err == nil {
		return result
	}
	var unreachable *peer.UnreachableError
	if errors.As(err, &unreachable) && unreachable.Unsent {
		return Result{Outcome: NotRun, Reason: outcome.ReasonHomeLost, Detail: err.Error()}
	}
	return Result{Outcome: Lost, Reason: outcome.ReasonHomeLost, Detail: err.Error()}
}

// sendStatement sends a statement to its home. A statement that opens a lane fails
// without being sent while the home is unresponsive, so that this VM can stand in.
func (f *Fleet) sendStatement(ctx context.Context, r Request, vm string, body []byte) ([]byte, error) {
	if r.Joined {
		return f.peers.Call(ctx, vm, method.Statement, body)
	}
	return f.peers.CallAnswering(ctx, vm, method.Statement, body)
}

func (f *Fleet) serveRun(ctx context.Context, _ string, body []byte) ([]byte, error) {
	var r Request
	if err := peer.DecodeBody(body, &r); err != nil {
		return nil, err
	}
	result := f.local.Run(ctx, r)
	return msgpack.Marshal(&result)
}

// releaseNotice is the message of method.LaneRelease.
type releaseNotice struct {
	Server string `msgpack:"s"`
	Lane   LaneID `msgpack:"l"`
}

// Release implements Broker.
func (f *Fleet) Release(via, server string, lane LaneID) {
	if via == f.source.Snapshot().Self {
		go f.local.Release(via, server, lane)
		return
	}
	body, err := msgpack.Marshal(releaseNotice{Server: server, Lane: lane})
	if err != nil {
		f.local.log.Error("release_not_sent", "server", server, "error", err)
		return
	}
	f.peers.Notify(via, method.LaneRelease, body)
}

func (f *Fleet) serveRelease(_ context.Context, from string, body []byte) ([]byte, error) {
	var notice releaseNotice
	if err := peer.DecodeBody(body, &notice); err != nil {
		return nil, err
	}
	go f.local.Release(from, notice.Server, notice.Lane)
	return nil, nil
}

// proofRequest is the request of method.Proof.
type proofRequest struct {
	Server string        `msgpack:"s"`
	MaxAge time.Duration `msgpack:"a"`
}

// proofTimeout bounds a request for a proof.
const proofTimeout = 1200 * time.Millisecond

// Position implements Broker. The age of a remote proof includes the time of the call.
func (f *Fleet) Position(ctx context.Context, server string, maxAge time.Duration) (Proof, error) {
	ctx, cancel := context.WithTimeout(ctx, proofTimeout)
	defer cancel()
	home, remote := f.remoteHome(server)
	if !remote {
		return f.local.Position(ctx, server, maxAge)
	}
	sentAt := clock.Boottime()
	var response proofResponse
	err := peer.Ask(ctx, f.peers, home, method.Proof, &proofRequest{Server: server, MaxAge: maxAge}, &response)
	if err == nil && response.Code != statement.None {
		return Proof{}, &RefusedError{Code: response.Code, Detail: response.Detail}
	}
	if err == nil && response.Detail == "" {
		response.Proof.Age += clock.Boottime() - sentAt
		return response.Proof, nil
	}
	return f.local.Position(ctx, server, maxAge)
}

// proofResponse is the response of method.Proof.
type proofResponse struct {
	Proof  Proof          `msgpack:"p"`
	Code   statement.Code `msgpack:"c,omitempty"` // of the server's refusal
	Detail string         `msgpack:"d,omitempty"` // why there is no proof; empty on success
}

func (f *Fleet) serveProof(ctx context.Context, _ string, body []byte) ([]byte, error) {
	var request proofRequest
	if err := peer.DecodeBody(body, &request); err != nil {
		return nil, err
	}
	var response proofResponse
	proof, err := f.local.Position(ctx, request.Server, request.MaxAge)
	var refused *RefusedError
	switch {
	case errors.As(err, &refused):
		response.Code, response.Detail = refused.Code, refused.Detail
	case err != nil:
		response.Detail = err.Error()
	default:
		response.Proof = proof
	}
	return msgpack.Marshal(&response)
}

// Standing implements Broker.
func (f *Fleet) Standing(ctx context.Context, server string) (Standing, error) {
	if home, remote := f.remoteHome(server); remote {
		var response statusResponse
		err := peer.Ask(ctx, f.peers, home, method.Standing, server, &response)
		if err == nil && response.Detail == "" {
			return response.Standing, nil
		}
	}
	return f.local.Standing(ctx, server)
}

// statusResponse is the response of method.Standing.
type statusResponse struct {
	Standing Standing `msgpack:"s"`
	Detail   string   `msgpack:"d,omitempty"` // why there is no status; empty on success
}

func (f *Fleet) serveStatus(ctx context.Context, _ string, body []byte) ([]byte, error) {
	var server string
	if err := peer.DecodeBody(body, &server); err != nil {
		return nil, err
	}
	var response statusResponse
	status, err := f.local.Standing(ctx, server)
	if err != nil {
		response.Detail = err.Error()
	}
	response.Standing = status
	return msgpack.Marshal(&response)
}
