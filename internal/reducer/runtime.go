package reducer

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// eventBuffer is the number of events that wait for the control goroutine
// before Post blocks its caller.
const eventBuffer = 4096

// Runtime owns the control goroutine: it feeds events to every machine in order
// and hands effects to the executors.
type Runtime struct {
	machines    []Machine
	executors   []Executor
	now         func() time.Duration
	tick        time.Duration
	log         hclog.Logger
	events      chan Event
	inspections chan func()
	stop        context.CancelFunc
	ctx         context.Context
	wg          sync.WaitGroup
}

// NewRuntime returns a runtime that sends a Tick at each tick interval. now
// reads CLOCK_BOOTTIME.
func NewRuntime(machines []Machine, executors []Executor, now func() time.Duration, tick time.Duration, log hclog.Logger) *Runtime {
	ctx, cancel := context.WithCancel(context.Background())
	return &Runtime{
		machines: machines, executors: executors, now: now, tick: tick, log: log,
		events: make(chan Event, eventBuffer), inspections: make(chan func()), stop: cancel, ctx: ctx,
	}
}

// Start starts the control goroutine.
func (r *Runtime) Start() {
	r.wg.Add(1)
	go r.loop()
}

// Stop ends the control goroutine and waits for it.
func (r *Runtime) Stop() {
	r.stop()
	r.wg.Wait()
}

// Post queues an event. It drops the event once the runtime has stopped.
func (r *Runtime) Post(e Event) {
	select {
	case r.events <- e:
	case <-r.ctx.Done():
	}
}

// Inspect runs f on the control goroutine, for state dumps. f must be short.
// It returns without running f once the runtime has stopped.
func (r *Runtime) Inspect(f func()) {
	finished := make(chan struct{})
	select {
	case r.inspections <- func() { f(); close(finished) }:
		<-finished
	case <-r.ctx.Done():
	}
}

func (r *Runtime) loop() {
	defer r.wg.Done()
	ticker := time.NewTicker(r.tick)
	defer ticker.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
			r.step(Tick{Now: r.now()})
		case e := <-r.events:
			r.step(e)
		case f := <-r.inspections:
			f()
		}
	}
}

// step feeds one event, then the events that its effects bring at once.
func (r *Runtime) step(first Event) {
	pending := []Event{first}
	post := func(e Event) { pending = append(pending, e) }
	for len(pending) > 0 {
		e := pending[0]
		pending = pending[1:]
		for _, m := range r.machines {
			for _, effect := range m.Step(e) {
				r.execute(effect, post)
			}
		}
	}
}

// execute hands an effect to the first executor that takes it. post may only be
// called during Execute; later results are reported with Runtime.Post.
func (r *Runtime) execute(effect Effect, post func(Event)) {
	for _, x := range r.executors {
		if x.Execute(r.ctx, effect, post) {
			return
		}
	}
	r.log.Error("effect_without_executor", "effect", effect.EffectName())
}
