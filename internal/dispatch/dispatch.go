// Package dispatch reaches the home of a backend server, on this VM or on
// another, and implements txn.Home for the whole fleet.
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

// positionTimeout bounds one coalesced query of a primary's position.
const positionTimeout = 2 * time.Second

// Peers is the part of peer.Node that the dispatcher uses.
type Peers interface {
	peer.Caller
	peer.Registrar
	OpenLane(vm string, r txn.Request) txn.Lane
}

// Dispatcher implements txn.Home over all homes of the fleet.
type Dispatcher struct {
	source    topology.Source
	local     txn.Home
	peers     Peers
	positions coalesce.Group[string, topology.Mark]
}

// New returns a dispatcher and registers its peer methods.
func New(source topology.Source, peers Peers) *Dispatcher {
	d := &Dispatcher{source: source, peers: peers}
	peers.Handle(method.Position, d.servePosition)
	peers.Handle(method.WaitApplied, d.serveWaitApplied)
	peers.Handle(method.Admin, d.serveAdmin)
	return d
}

// SetLocal sets the homes on this VM. Call it before the peer node starts.
func (d *Dispatcher) SetLocal(local txn.Home) { d.local = local }

// home returns the VM that is home of a server, and whether that is this VM.
func (d *Dispatcher) home(server string) (vm string, local bool, err error) {
	s := d.source.Snapshot()
	v, ok := s.Home(server)
	if !ok {
		return "", false, &outcome.NotRunError{Reason: outcome.ReasonNoServer, Detail: fmt.Sprintf("server %q has no home VM now", server)}
	}
	return v.ID, v.ID == s.Self, nil
}

// Open implements txn.Home.
func (d *Dispatcher) Open(ctx context.Context, r txn.Request) (txn.Lane, error) {
	vm, local, err := d.home(r.Server)
	if err != nil {
		return nil, err
	}
	if local {
		return d.local.Open(ctx, r)
	}
	return d.peers.OpenLane(vm, r), nil
}

// Position implements txn.Home. Callers on this VM share one query.
func (d *Dispatcher) Position(ctx context.Context, server string) (topology.Mark, error) {
	return d.positions.Do(ctx, server, func() (topology.Mark, error) {
		ctx, cancel := context.WithTimeout(context.Background(), positionTimeout)
		defer cancel()
		vm, local, err := d.home(server)
		if err != nil {
			return topology.Mark{}, err
		}
		if local {
			return d.local.Position(ctx, server)
		}
		var a positionAnswer
		err = d.call(ctx, vm, method.Position, positionQuery{Server: server}, &a)
		return a.Mark, err
	})
}

// WaitApplied implements txn.Home.
func (d *Dispatcher) WaitApplied(ctx context.Context, server string, m topology.Mark) (topology.ServerStatus, error) {
	vm, local, err := d.home(server)
	if err != nil {
		return topology.ServerStatus{}, err
	}
	if local {
		return d.local.WaitApplied(ctx, server, m)
	}
	var a statusAnswer
	err = d.call(ctx, vm, method.WaitApplied, waitQuery{Server: server, Mark: m}, &a)
	return a.Status, err
}

// Admin implements txn.Home.
func (d *Dispatcher) Admin(ctx context.Context, r txn.AdminRequest) (topology.ServerStatus, error) {
	vm, local, err := d.home(r.Server)
	if err != nil {
		return topology.ServerStatus{}, err
	}
	if local {
		return d.local.Admin(ctx, r)
	}
	var a statusAnswer
	err = d.call(ctx, vm, method.Admin, r, &a)
	return a.Status, err
}

// call makes a unary call and returns the outcome error of the other side.
func (d *Dispatcher) call(ctx context.Context, vm, method string, query any, answer answerer) error {
	body, err := msgpack.Marshal(query)
	if err != nil {
		return &peer.FrameError{Detail: "encoding " + method, Cause: err}
	}
	reply, err := d.peers.Call(ctx, vm, method, body)
	if err != nil {
		return &outcome.NotRunError{Reason: outcome.ReasonHomeLost, Detail: err.Error(), Cause: err}
	}
	if err := msgpack.Unmarshal(reply, answer); err != nil {
		return &peer.FrameError{Detail: "decoding the answer of " + method, Cause: err}
	}
	return answer.outcome()
}
