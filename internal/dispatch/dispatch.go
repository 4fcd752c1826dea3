// Package dispatch implements txn.Home for all backend servers of the fleet. Dispatcher
// looks up the home of a server (the VM that admits all work of that server) and calls
// it directly if it is this VM, or through the peer protocol if it is another VM. It
// also serves such calls from peers. It neither retries nor queues.
package dispatch

import (
	"context"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"egretroad/internal/coalesce"
	"egretroad/internal/outcome"
	"egretroad/internal/peer"
	"egretroad/internal/peer/method"
	"egretroad/internal/topology"
	"egretroad/internal/txn"
)

// positionTimeout limits a coalesced query of a primary's log position.
const positionTimeout = 2 * time.Second

// Peers is the subset of peer.Node that the dispatcher uses.
type Peers interface {
	peer.Caller
	peer.Registrar
	OpenLane(vm string, r txn.Request) txn.Lane
}

// Dispatcher implements txn.Home for all homes of the fleet.
type Dispatcher struct {
	source          topology.Source
	localHome       txn.Home
	peers           Peers
	positionQueries coalesce.Group[string, topology.Mark]
}

// New returns a dispatcher and registers its handlers of peer methods. Call SetLocal
// before the handlers can be reached.
func New(source topology.Source, peers Peers) *Dispatcher {
	d := &Dispatcher{source: source, peers: peers}
	peers.Handle(method.Position, d.servePosition)
	peers.Handle(method.WaitApplied, d.serveWaitApplied)
	peers.Handle(method.Admin, d.serveAdmin)
	return d
}

// SetLocal sets the implementation for servers whose home is this VM. Call it before
// the peer node starts.
func (d *Dispatcher) SetLocal(home txn.Home) { d.localHome = home }

// homeOf returns the ID of the VM that is home of a server, and whether it is this VM.
func (d *Dispatcher) homeOf(server string) (vm string, local bool, err error) {
	s := d.source.Snapshot()
	v, ok := s.Home(server)
	if !ok {
		return "", false, &outcome.NotRunError{Reason: outcome.ReasonNoServer, Detail: fmt.Sprintf("server %q has no home VM now", server)}
	}
	return v.ID, v.ID == s.Self, nil
}

// Open implements txn.Home.
func (d *Dispatcher) Open(ctx context.Context, r txn.Request) (txn.Lane, error) {
	vm, local, err := d.homeOf(r.Server)
	if err != nil {
		return nil, err
	}
	if local {
		return d.localHome.Open(ctx, r)
	}
	return d.peers.OpenLane(vm, r), nil
}

// Position implements txn.Home. Concurrent calls on this VM share one query, under the
// conditions that txn.Home states.
func (d *Dispatcher) Position(ctx context.Context, server string) (topology.Mark, error) {
	return d.positionQueries.Do(ctx, server, func() (topology.Mark, error) {
		ctx, cancel := context.WithTimeout(context.Background(), positionTimeout)
		defer cancel()
		vm, local, err := d.homeOf(server)
		if err != nil {
			return topology.Mark{}, err
		}
		if local {
			return d.localHome.Position(ctx, server)
		}
		var response positionResponse
		err = d.call(ctx, vm, method.Position, positionRequest{Server: server}, &response)
		return response.Mark, err
	})
}

// WaitApplied implements txn.Home.
func (d *Dispatcher) WaitApplied(ctx context.Context, server string, mark topology.Mark) (topology.ServerStatus, error) {
	vm, local, err := d.homeOf(server)
	if err != nil {
		return topology.ServerStatus{}, err
	}
	if local {
		return d.localHome.WaitApplied(ctx, server, mark)
	}
	var response statusResponse
	err = d.call(ctx, vm, method.WaitApplied, waitAppliedRequest{Server: server, Mark: mark}, &response)
	return response.Status, err
}

// Admin implements txn.Home.
func (d *Dispatcher) Admin(ctx context.Context, r txn.AdminRequest) (topology.ServerStatus, error) {
	vm, local, err := d.homeOf(r.Server)
	if err != nil {
		return topology.ServerStatus{}, err
	}
	if local {
		return d.localHome.Admin(ctx, r)
	}
	var response statusResponse
	err = d.call(ctx, vm, method.Admin, r, &response)
	return response.Status, err
}

// call makes a unary call to a peer and returns the outcome error of the peer's
// response. If the call itself fails, the error is an *outcome.NotRunError with reason
// home_lost.
func (d *Dispatcher) call(ctx context.Context, vm, method string, request any, response outcomeResponse) error {
	body, err := msgpack.Marshal(request)
	if err != nil {
		return &peer.FrameError{Detail: "encoding " + method, Cause: err}
	}
	responseBody, err := d.peers.Call(ctx, vm, method, body)
	if err != nil {
		return &outcome.NotRunError{Reason: outcome.ReasonHomeLost, Detail: err.Error(), Cause: err}
	}
	if err := msgpack.Unmarshal(responseBody, response); err != nil {
		return &peer.FrameError{Detail: "decoding the answer of " + method, Cause: err}
	}
	return response.outcome()
}
