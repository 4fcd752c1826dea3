package broker

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"egretroad/internal/clock"
	"egretroad/internal/outcome"
	"egretroad/internal/peer"
	"egretroad/internal/peer/method"
	"egretroad/internal/statement"
	"egretroad/internal/topology"
)

// callMargin is what a call to another VM may take beyond the statement's own
// times: two crossings between regions and a scheduling pause.
const callMargin = 300 * time.Millisecond

// Peers is the part of peer.Node that the fleet uses.
type Peers interface {
	peer.Caller
	peer.Registrar
	// CallAnswering is Call that fails, unsent, while the VM does not answer.
	CallAnswering(ctx context.Context, vm, method string, body []byte) ([]byte, error)
}

// Fleet implements Broker over the homes of all VMs. Where the home of a server
// is not to be reached, or cannot reach its server, this VM stands in.
type Fleet struct {
	local  *Manager
	source topology.Source
	peers  Peers
}

var _ Broker = (*Fleet)(nil)

// NewFleet registers the peer methods.
func NewFleet(local *Manager, source topology.Source, peers Peers) *Fleet {
	f := &Fleet{local: local, source: source, peers: peers}
	peers.Handle(method.Statement, f.serveRun)
	peers.Handle(method.LaneRelease, f.serveRelease)
	peers.Handle(method.Proof, f.serveProof)
	peers.Handle(method.Standing, f.serveStanding)
	return f
}

// Run implements Broker.
func (f *Fleet) Run(ctx context.Context, r Request) Result {
	snapshot := f.source.Snapshot()
	if r.Joined {
		return f.runVia(ctx, r, r.Via)
	}
	home, known := snapshot.Home(r.Server)
	if !known || home.ID == snapshot.Self {
		return f.runVia(ctx, r, snapshot.Self)
	}
	result := f.runVia(ctx, r, home.ID)
	if result.Outcome == NotRun && homeFailed(result) && ctx.Err() == nil {
		return f.runVia(ctx, r, snapshot.Self)
	}
	return result
}

// homeFailed reports whether another VM may do better than the home that gave
// the result. A server's own refusal of connections holds for every VM.
func homeFailed(r Result) bool {
	switch r.Reason {
	case outcome.ReasonHomeLost, outcome.ReasonNoServer, outcome.ReasonNotHome:
		return true
	case outcome.ReasonConnect:
		return r.Code == statement.None
	default:
		return false
	}
}

func (f *Fleet) runVia(ctx context.Context, r Request, vm string) Result {
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
	ctx, cancel := context.WithTimeout(ctx, r.QueueFor+r.RunFor+callMargin)
	defer cancel()
	var result Result
	body, err := msgpack.Marshal(&r)
	if err != nil {
		return Result{Outcome: NotRun, Reason: outcome.ReasonUnavailable, Detail: err.Error()}
	}
	raw, err := f.callHome(ctx, r, vm, body)
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

// callHome sends a statement. One that opens a lane goes to another VM while the
// home does not answer.
func (f *Fleet) callHome(ctx context.Context, r Request, vm string, body []byte) ([]byte, error) {
	if r.Joined {
		return f.peers.Call(ctx, vm, method.Statement, body)
	}
	return f.peers.CallAnswering(ctx, vm, method.Statement, body)
}

// call makes a unary call with msgpack bodies.
func (f *Fleet) call(ctx context.Context, vm, name string, query, reply any) error {
	body, err := msgpack.Marshal(query)
	if err != nil {
		return fmt.Errorf("encoding %s: %w", name, err)
	}
	raw, err := f.peers.Call(ctx, vm, name, body)
	if err != nil {
		return err
	}
	if err := msgpack.Unmarshal(raw, reply); err != nil {
		return fmt.Errorf("decoding the answer of %s: %w", name, err)
	}
	return nil
}

func (f *Fleet) serveRun(ctx context.Context, _ string, body []byte) ([]byte, error) {
	var r Request
	if err := msgpack.Unmarshal(body, &r); err != nil {
		return nil, &peer.FrameError{Detail: "decoding a statement", Cause: err}
	}
	result := f.local.Run(ctx, r)
	return msgpack.Marshal(&result)
}

// releaseNotice is the body of method.LaneRelease.
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
	var n releaseNotice
	if err := msgpack.Unmarshal(body, &n); err != nil {
		return nil, &peer.FrameError{Detail: "decoding a release", Cause: err}
	}
	go f.local.Release(from, n.Server, n.Lane)
	return nil, nil
}

// proofQuery is the body of method.Proof.
type proofQuery struct {
	Server string        `msgpack:"s"`
	MaxAge time.Duration `msgpack:"a"`
}

// proofTimeout bounds a question for a proof.
const proofTimeout = 1200 * time.Millisecond

// Position implements Broker. The age counts from this VM's question at the
// latest.
func (f *Fleet) Position(ctx context.Context, server string, maxAge time.Duration) (Proof, error) {
	ctx, cancel := context.WithTimeout(ctx, proofTimeout)
	defer cancel()
	snapshot := f.source.Snapshot()
	home, known := snapshot.Home(server)
	if !known || home.ID == snapshot.Self {
		return f.local.Position(ctx, server, maxAge)
	}
	asked := clock.Boottime()
	var answer proofAnswer
	err := f.call(ctx, home.ID, method.Proof, &proofQuery{Server: server, MaxAge: maxAge}, &answer)
	if err == nil && answer.Code != statement.None {
		return Proof{}, &RefusedError{Code: answer.Code, Detail: answer.Detail}
	}
	if err == nil && answer.Detail == "" {
		answer.Proof.Age += clock.Boottime() - asked
		return answer.Proof, nil
	}
	return f.local.Position(ctx, server, maxAge)
}

// proofAnswer answers method.Proof.
type proofAnswer struct {
	Proof  Proof          `msgpack:"p"`
	Code   statement.Code `msgpack:"c,omitempty"` // of the server's refusal
	Detail string         `msgpack:"d,omitempty"` // why there is no proof; empty: there is
}

func (f *Fleet) serveProof(ctx context.Context, _ string, body []byte) ([]byte, error) {
	var q proofQuery
	if err := msgpack.Unmarshal(body, &q); err != nil {
		return nil, &peer.FrameError{Detail: "decoding a question for a proof", Cause: err}
	}
	var answer proofAnswer
	proof, err := f.local.Position(ctx, q.Server, q.MaxAge)
	var refused *RefusedError
	switch {
	case errors.As(err, &refused):
		answer.Code, answer.Detail = refused.Code, refused.Detail
	case err != nil:
		answer.Detail = err.Error()
	default:
		answer.Proof = proof
	}
	return msgpack.Marshal(&answer)
}

// Standing implements Broker.
func (f *Fleet) Standing(ctx context.Context, server string) (Standing, error) {
	snapshot := f.source.Snapshot()
	home, known := snapshot.Home(server)
	if known && home.ID != snapshot.Self {
		var answer standingAnswer
		err := f.call(ctx, home.ID, method.Standing, server, &answer)
		if err == nil && answer.Detail == "" {
			return answer.Standing, nil
		}
	}
	return f.local.Standing(ctx, server)
}

// standingAnswer answers method.Standing.
type standingAnswer struct {
	Standing Standing `msgpack:"s"`
	Detail   string   `msgpack:"d,omitempty"` // why there is none; empty: there is
}

func (f *Fleet) serveStanding(ctx context.Context, _ string, body []byte) ([]byte, error) {
	var server string
	if err := msgpack.Unmarshal(body, &server); err != nil {
		return nil, &peer.FrameError{Detail: "decoding a question for a standing", Cause: err}
	}
	var answer standingAnswer
	standing, err := f.local.Standing(ctx, server)
	if err != nil {
		answer.Detail = err.Error()
	}
	answer.Standing = standing
	return msgpack.Marshal(&answer)
}
