package reducer

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// eventBuffer is the number of events that can be queued before Post blocks.
const eventBuffer = 4096

// Runtime owns the control goroutine, which passes events to the machines in order and
// hands their effects to the executors.
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

// NewRuntime returns a runtime that sends a Tick at each interval of tick. now must read
// CLOCK_BOOTTIME. Call Start to run it.
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

// Stop stops the control goroutine and waits for it to end.
func (r *Runtime) Stop() {
	r.stop()
	r.wg.Wait()
}

// Post queues an event. It blocks while the queue is full and drops the event once the
// runtime has stopped. It is safe for concurrent use.
func (r *Runtime) Post(e Event) {
	select {
	case r.events <- e:
	case <-r.ctx.Done():
	}
}

// Inspect runs f on the control goroutine, for state dumps. f must not block. After the
// runtime has stopped, Inspect returns without running f.
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

// step processes one event and then the events that executors post while handling its
// effects.
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

// execute hands an effect to the first executor that accepts it.
func (r *Runtime) execute(effect Effect, post func(Event)) {
	for _, x := range r.executors {
		if x.Execute(r.ctx, effect, post) {
			return
		}
	}
	r.log.Error("effect_without_executor", "effect", effect.EffectName())
}
