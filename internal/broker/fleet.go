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

// Peers is the subset of peer.Node that Router uses.
type Peers interface {
	peer.Caller
	peer.Registrar
	// CallIfResponsive is like Call, but fails without sending while the VM is unresponsive.
	CallIfResponsive(ctx context.Context, vm, method string, body []byte) ([]byte, error)
}

// Router implements Broker by forwarding requests to the homes of the servers. If a home
// is unreachable, or cannot reach its server, this VM stands in for it.
type Router struct {
	local  *Manager
	source topology.Source
	peers  Peers
}

var _ Broker = (*Router)(nil)

// NewRouter returns a router and registers its peer methods.
func NewRouter(local *Manager, source topology.Source, peers Peers) *Router {
	rt := &Router{local: local, source: source, peers: peers}
	peers.Handle(method.Statement, rt.serveRun)
	peers.Handle(method.LaneRelease, rt.serveRelease)
	peers.Handle(method.Proof, rt.serveProof)
	peers.Handle(method.ReplicationStatus, rt.serveStatus)
	peers.Handle(method.Leave, rt.serveLeave)
	local.setAskLeave(rt.askLeave)
	return rt
}

// Run implements Broker.
func (rt *Router) Run(ctx context.Context, r Request) Result {
	if r.InTransaction {
		return rt.runAt(ctx, r, r.Via)
	}
	self := rt.source.Snapshot().Self
	home, remote := rt.remoteHome(r.Server)
	if !remote {
		return rt.runAt(ctx, r, self)
	}
	result := rt.runAt(ctx, r, home)
	if result.Outcome == NotRun && shouldStandIn(result) && ctx.Err() == nil {
		return rt.runAt(ctx, r, self)
	}
	return result
}

// remoteHome returns the VM that is the home of a server; false if this VM is the home
// or the server has none.
func (rt *Router) remoteHome(server string) (string, bool) {
	snapshot := rt.source.Snapshot()
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
		return r.Code == statement.NoError
	default:
		return false
	}
}

func (rt *Router) runAt(ctx context.Context, r Request, vm string) Result {
	var result Result
	if vm == rt.source.Snapshot().Self {
		result = rt.local.Run(ctx, r)
	} else {
		result = rt.runRemote(ctx, r, vm)
	}
	result.Via = vm
	return result
}

func (rt *Router) runRemote(ctx context.Context, r Request, vm string) Result {
	ctx, cancel := context.WithTimeout(ctx, r.QueueTimeout+r.StatementTimeout+remoteCallMargin)
	defer cancel()
	var result Result
	body, err := msgpack.Marshal(&r)
	if err != nil {
		return Result{Outcome: NotRun, Reason: outcome.ReasonUnavailable, Detail: err.Error()}
	}
	raw, err := rt.sendStatement(ctx, r, vm, body)
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
	return Result{Outcome: OutcomeUnknown, Reason: outcome.ReasonHomeLost, Detail: err.Error()}
}

// sendStatement sends a statement to its home. A statement that opens a lane fails
// without being sent while the home is unresponsive, so that this VM can stand in.
func (rt *Router) sendStatement(ctx context.Context, r Request, vm string, body []byte) ([]byte, error) {
	if r.InTransaction {
		return rt.peers.Call(ctx, vm, method.Statement, body)
	}
	return rt.peers.CallIfResponsive(ctx, vm, method.Statement, body)
}

func (rt *Router) serveRun(ctx context.Context, _ string, body []byte) ([]byte, error) {
	var r Request
	if err := peer.DecodeBody(body, &r); err != nil {
		return nil, err
	}
	result := rt.local.Run(ctx, r)
	return msgpack.Marshal(&result)
}

// releaseNotice is the message of method.LaneRelease.
type releaseNotice struct {
	Server string `msgpack:"s"`
	Lane   LaneID `msgpack:"l"`
}

// Release implements Broker.
func (rt *Router) Release(via, server string, lane LaneID) {
	if via == rt.source.Snapshot().Self {
		go rt.local.Release(via, server, lane)
		return
	}
	body, err := msgpack.Marshal(releaseNotice{Server: server, Lane: lane})
	if err != nil {
		rt.local.log.Error("release_not_sent", "server", server, "error", err)
		return
	}
	rt.peers.Notify(via, method.LaneRelease, body)
}

func (rt *Router) serveRelease(_ context.Context, from string, body []byte) ([]byte, error) {
	var notice releaseNotice
	if err := peer.DecodeBody(body, &notice); err != nil {
		return nil, err
	}
	go rt.local.Release(from, notice.Server, notice.Lane)
	return nil, nil
}

// proofRequest is the request of method.Proof.
type proofRequest struct {
	Server string        `msgpack:"s"`
	MaxAge time.Duration `msgpack:"a"`
}

// proofTimeout bounds a request for a proof.
const proofTimeout = 1200 * time.Millisecond

// ProvePosition implements Broker. The age of a remote proof includes the time of the call.
func (rt *Router) ProvePosition(ctx context.Context, server string, maxAge time.Duration) (Proof, error) {
	ctx, cancel := context.WithTimeout(ctx, proofTimeout)
	defer cancel()
	home, remote := rt.remoteHome(server)
	if !remote {
		return rt.local.ProvePosition(ctx, server, maxAge)
	}
	sentAt := clock.Boottime()
	var response proofResponse
	err := peer.CallMsgpack(ctx, rt.peers, home, method.Proof, &proofRequest{Server: server, MaxAge: maxAge}, &response)
	if err == nil && response.Code != statement.NoError {
		return Proof{}, &RefusedError{Code: response.Code, Detail: response.Detail}
	}
	if err == nil && response.Detail == "" {
		response.Proof.Age += clock.Boottime() - sentAt
		return response.Proof, nil
	}
	return rt.local.ProvePosition(ctx, server, maxAge)
}

// proofResponse is the response of method.Proof.
type proofResponse struct {
	Proof  Proof          `msgpack:"p"`
	Code   statement.Code `msgpack:"c,omitempty"` // of the server's refusal
	Detail string         `msgpack:"d,omitempty"` // why there is no proof; empty on success
}

func (rt *Router) serveProof(ctx context.Context, _ string, body []byte) ([]byte, error) {
	var request proofRequest
	if err := peer.DecodeBody(body, &request); err != nil {
		return nil, err
	}
	var response proofResponse
	proof, err := rt.local.ProvePosition(ctx, request.Server, request.MaxAge)
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

// ReplicationStatus implements Broker.
func (rt *Router) ReplicationStatus(ctx context.Context, server string) (ReplicationStatus, error) {
	if home, remote := rt.remoteHome(server); remote {
		var response statusResponse
		err := peer.CallMsgpack(ctx, rt.peers, home, method.ReplicationStatus, server, &response)
		if err == nil && response.Detail == "" {
			return response.Status, nil
		}
	}
	return rt.local.ReplicationStatus(ctx, server)
}

// statusResponse is the response of method.ReplicationStatus.
type statusResponse struct {
	Status ReplicationStatus `msgpack:"s"`
	Detail string            `msgpack:"d,omitempty"` // why there is no status; empty on success
}

func (rt *Router) serveStatus(ctx context.Context, _ string, body []byte) ([]byte, error) {
	var server string
	if err := peer.DecodeBody(body, &server); err != nil {
		return nil, err
	}
	var response statusResponse
	status, err := rt.local.ReplicationStatus(ctx, server)
	if err != nil {
		response.Detail = err.Error()
	}
	response.Status = status
	return msgpack.Marshal(&response)
}

// leaveRequest is the request of method.Leave: for how long a server has been leaving.
type leaveRequest struct {
	Server string `msgpack:"s"`
	Born   int64  `msgpack:"b"`
}

// leaveResponse is the response of method.Leave.
type leaveResponse struct {
	Known bool          `msgpack:"k"`
	For   time.Duration `msgpack:"f"`
}

// maxLeaveSources is the number of VMs that are asked at a time for how long a server has been
// leaving, and leaveTimeout bounds the question.
const (
	maxLeaveSources = 4
	leaveTimeout    = 300 * time.Millisecond
)

// askLeave asks other VMs for how long a server has been leaving. The time of the call counts
// as a part of it.
func (rt *Router) askLeave(spec topology.Server) {
	ctx, cancel := context.WithTimeout(rt.local.ctx, leaveTimeout)
	defer cancel()
	snapshot := rt.source.Snapshot()
	asked := 0
	for id := range snapshot.VMs {
		if id == snapshot.Self || asked == maxLeaveSources {
			continue
		}
		asked++
		go func() {
			sentAt := clock.Boottime()
			var response leaveResponse
			err := peer.CallMsgpack(ctx, rt.peers, id, method.Leave, &leaveRequest{Server: spec.ID, Born: spec.Born}, &response)
			if err != nil {
				rt.local.log.Debug("leave_unknown", "server", spec.ID, "vm", id, "error", err)
			} else if response.Known {
				rt.local.learnLeave(spec.ID, spec.Born, sentAt-response.For)
			}
		}()
	}
	<-ctx.Done()
}

func (rt *Router) serveLeave(_ context.Context, _ string, body []byte) ([]byte, error) {
	var request leaveRequest
	if err := peer.DecodeBody(body, &request); err != nil {
		return nil, err
	}
	age, known := rt.local.leavingFor(request.Server, request.Born)
	return msgpack.Marshal(&leaveResponse{Known: known, For: age})
}
