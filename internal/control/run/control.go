// Package run runs the control machine of a proxy: it carries the machine's
// effects out against the platform and the peers, and publishes its snapshots.
package run

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"egretroad/internal/clock"
	"egretroad/internal/control"
	"egretroad/internal/metrics"
	"egretroad/internal/peer"
	"egretroad/internal/peer/method"
	"egretroad/internal/platform"
	"egretroad/internal/reducer"
	"egretroad/internal/topology"
)

// Options sets the times of the control goroutine.
type Options struct {
	Machine     control.Options
	Tick        time.Duration // between ticks of the machines
	Seeds       []topology.VM // VMs of the settings, asked for a copy at the start
	Incarnation uint64        // 0: the wall clock in milliseconds
}

// DefaultOptions returns the options of a proxy.
func DefaultOptions() Options {
	return Options{Machine: control.DefaultOptions(), Tick: 50 * time.Millisecond}
}

// Deps are the parts that control works with.
type Deps struct {
	Self      topology.VM
	Store     platform.Store
	Peers     peer.Caller
	Registrar peer.Registrar
	Publisher *topology.Publisher
	Machines  []reducer.Machine  // further machines on the same goroutine
	Executors []reducer.Executor // of the further machines
	Log       hclog.Logger
	Metrics   *metrics.Registry
}

// Control runs the control machine.
type Control struct {
	machine  *control.Machine
	runtime  *reducer.Runtime
	executor *executor
	stopOnce sync.Once
}

// New registers the peer handlers and returns a control that is not started yet.
func New(o Options, d Deps) *Control {
	if o.Incarnation == 0 {
		o.Incarnation = uint64(time.Now().UnixMilli())
	}
	machine := control.New(control.Config{
		Options:     o.Machine,
		Self:        d.Self,
		Incarnation: o.Incarnation,
		Seeds:       o.Seeds,
	})
	c := &Control{machine: machine, executor: newExecutor(o, d)}
	machines := append([]reducer.Machine{machine}, d.Machines...)
	executors := append([]reducer.Executor{c.executor}, d.Executors...)
	c.runtime = reducer.NewRuntime(machines, executors, clock.Boottime, o.Tick, d.Log)
	c.executor.post = c.runtime.Post
	c.register(d.Registrar)
	return c
}

// register takes the methods of control.
func (c *Control) register(r peer.Registrar) {
	for _, method := range []string{method.Heartbeat, method.Objects, method.Status, method.Lead} {
		r.Handle(method, func(_ context.Context, from string, body []byte) ([]byte, error) {
			c.runtime.Post(reducer.PeerMessage{From: from, Method: method, Body: body, Now: clock.Boottime()})
			return nil, nil
		})
	}
	r.Handle(method.Fetch, c.executor.serveFetch)
}

// Start starts the control goroutine.
func (c *Control) Start() {
	c.runtime.Start()
	c.runtime.Post(reducer.Tick{Now: clock.Boottime()})
}

// Ready returns a channel that is closed once a snapshot with the catalogue and
// the groups is published.
func (c *Control) Ready() <-chan struct{} { return c.executor.ready }

// Post queues an event for the machines.
func (c *Control) Post(e reducer.Event) { c.runtime.Post(e) }

// Inspect runs f on the control goroutine, for dumps of the further machines.
func (c *Control) Inspect(f func()) { c.runtime.Inspect(f) }

// Leave says farewell: other VMs take this VM's homes over, while this VM goes
// on serving what it has. It returns once the farewell is queued.
func (c *Control) Leave() {
	c.runtime.Post(control.Leaving{})
	c.runtime.Inspect(func() {})
}

// Stop says farewell and ends the control goroutine and its calls.
func (c *Control) Stop(ctx context.Context) error {
	c.stopOnce.Do(func() {
		c.Leave()
		c.executor.stop()
		c.runtime.Stop()
	})
	return c.executor.wait(ctx)
}

// Dump returns the state for operators.
func (c *Control) Dump() any {
	var d control.Dump
	c.runtime.Inspect(func() { d = c.machine.Dump() })
	return d
}
