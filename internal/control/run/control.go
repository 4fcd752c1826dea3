// Package run runs the control machine of a proxy. Control feeds events from the
// platform, the peers and the clock to the machine on one goroutine, executes the
// machine's effects and publishes its snapshots. Further machines, such as that of
// promotion, can run on the same goroutine.
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

// Options sets the intervals and the initial state of the control goroutine.
type Options struct {
	Machine     control.Options
	Tick        time.Duration // interval of the machines' ticks
	Seeds       []topology.VM // VMs from the settings, from which a copy is fetched at start
	Incarnation uint64        // 0: the wall clock in milliseconds
}

// DefaultOptions returns the options of a proxy.
func DefaultOptions() Options {
	return Options{Machine: control.DefaultOptions(), Tick: 50 * time.Millisecond}
}

// Deps holds the dependencies of a Control.
type Deps struct {
	Self      topology.VM
	Store     platform.Store
	Peers     peer.Caller
	Registrar peer.Registrar
	Publisher *topology.Publisher
	// RegisterSelf writes this VM's entry in the list of VMs; nil if VMs do not do that.
	RegisterSelf func(ctx context.Context) error
	Machines     []reducer.Machine  // further machines on the same goroutine
	Executors    []reducer.Executor // executors of the further machines
	Log          hclog.Logger
	Metrics      *metrics.Registry
}

// Control runs the control machine and any further machines on one goroutine.
type Control struct {
	machine  *control.Machine
	runtime  *reducer.Runtime
	executor *executor
	stopOnce sync.Once
}

// New registers the peer handlers and returns a Control that is not yet started.
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

// register registers the peer methods that control serves.
func (c *Control) register(r peer.Registrar) {
	for _, method := range []string{method.Heartbeat, method.Objects, method.Status, method.PrimaryClaim} {
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

// Post enqueues an event for the machines. After Stop it drops the event.
func (c *Control) Post(e reducer.Event) { c.runtime.Post(e) }

// Inspect runs f on the control goroutine and waits for it, for dumps of the further
// machines.
func (c *Control) Inspect(f func()) { c.runtime.Inspect(f) }

// Leave announces the shutdown of this VM: other VMs take over its homes while it
// drains. It returns once the announcement is queued.
func (c *Control) Leave() {
	c.runtime.Post(control.Leaving{})
	c.runtime.Inspect(func() {})
}

// Stop announces the shutdown, stops the control goroutine, cancels calls in flight
// and waits for them until ctx is done. Repeated calls only wait.
func (c *Control) Stop(ctx context.Context) error {
	c.stopOnce.Do(func() {
		c.Leave()
		c.executor.stop()
		c.runtime.Stop()
	})
	return c.executor.wait(ctx)
}

// Dump returns the machine's state for operators, as a control.Dump.
func (c *Control) Dump() any {
	var d control.Dump
	c.runtime.Inspect(func() { d = c.machine.Dump() })
	return d
}
