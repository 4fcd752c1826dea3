// Package gate runs the admission state machine of one server for concurrent use.
// Goroutines queue work at a Gate and block until the machine grants or refuses it. The
// gate feeds the machine with events, one at a time, and wakes it when queued work
// reaches its deadline. All admission decisions are made in package admission.
package gate

import (
	"context"
	"sync"
	"time"

	"egretroad/internal/admission"
	"egretroad/internal/outcome"
)

// Gate is the admission queue of one server. Its mutex may also guard fields of the
// struct that owns the gate. Methods whose name ends in Locked must be called with the
// mutex held, all others without.
type Gate struct {
	sync.Mutex // guards the fields below

	machine       *admission.Machine
	waiters       map[admission.ID]*Waiter
	lastID        admission.ID
	timer         *time.Timer
	timerDeadline time.Duration // on the machine's clock; 0: timer not set
	start         time.Time     // zero of the machine's clock
	onDemand      func(used, wanted int)
}

// Waiter is queued work whose effect is pending.
type Waiter struct {
	id       admission.ID
	newWork  bool
	onEffect func(admission.Effect)
	effects  chan admission.Effect
}

// New returns a gate without slots. After each step it calls onDemand, with the gate
// locked, with the number of connections in use and the number of further connections
// that queued work could use.
func New(options admission.Options, onDemand func(used, wanted int)) *Gate {
	g := &Gate{
		machine: admission.New(options), waiters: map[admission.ID]*Waiter{}, start: time.Now(), onDemand: onDemand,
	}
	g.timer = time.AfterFunc(time.Hour, g.expire)
	return g
}

// Now returns the time on the machine's clock.
func (g *Gate) Now() time.Duration { return time.Since(g.start) }

// At converts a time on the machine's clock to a time.Time.
func (g *Gate) At(now time.Duration) time.Time { return g.start.Add(now) }

// Stop stops the deadline timer.
func (g *Gate) Stop() {
	g.Lock()
	defer g.Unlock()
	g.timer.Stop()
}

// NewIDLocked returns an ID that was not used before.
func (g *Gate) NewIDLocked() admission.ID {
	g.lastID++
	return g.lastID
}

// MachineLocked returns the machine, for read access only.
func (g *Gate) MachineLocked() *admission.Machine { return g.machine }

// Step applies an event to the machine. See StepLocked.
func (g *Gate) Step(e admission.Event) {
	g.Lock()
	defer g.Unlock()
	g.StepLocked(e)
}

// StepLocked applies an event to the machine at the current time, delivers the effects
// to the waiters and sets the timer for the next deadline.
func (g *Gate) StepLocked(e admission.Event) {
	e.Now = g.Now()
	for _, effect := range g.machine.Step(e) {
		g.deliver(effect)
	}
	g.onDemand(g.machine.ConnectionDemand())
	at, waiting := g.machine.NextDeadline()
	if !waiting || g.timerDeadline != 0 && g.timerDeadline <= at {
		return
	}
	g.timerDeadline = at
	g.timer.Reset(max(0, at-g.Now()))
}

// deliver sends an effect to its waiter, if there is one.
func (g *Gate) deliver(effect admission.Effect) {
	w, ok := g.waiters[effect.ID]
	if !ok {
		return
	}
	delete(g.waiters, effect.ID)
	if w.onEffect != nil {
		w.onEffect(effect)
	}
	w.effects <- effect
}

// expire is the timer's function: it lets queued work expire.
func (g *Gate) expire() {
	g.Lock()
	defer g.Unlock()
	g.timerDeadline = 0
	g.StepLocked(admission.Event{Type: admission.EventTick})
}

// QueueLocked applies an event that requests a slot for id. Receive returns the
// resulting effect. If onEffect is not nil, it is called with the effect while the gate
// is locked.
func (g *Gate) QueueLocked(e admission.Event, id admission.ID, onEffect func(admission.Effect)) *Waiter {
	w := &Waiter{id: id, newWork: e.Type == admission.EventOffer, onEffect: onEffect, effects: make(chan admission.Effect, 1)}
	g.waiters[id] = w
	g.StepLocked(e)
	return w
}

// Receive waits for the effect. If ctx ends first, it withdraws the work and returns
// ctx.Err().
func (g *Gate) Receive(ctx context.Context, w *Waiter) (admission.Effect, error) {
	select {
	case effect := <-w.effects:
		return effect, nil
	default:
	}
	select {
	case effect := <-w.effects:
		return effect, nil
	case <-ctx.Done():
		g.Withdraw(w.id)
		return admission.Effect{}, ctx.Err()
	}
}

// Withdraw ends work that its caller abandoned while it was queued or just after it was
// granted.
func (g *Gate) Withdraw(id admission.ID) {
	g.Lock()
	defer g.Unlock()
	delete(g.waiters, id)
	g.StepLocked(admission.Event{Type: admission.EventEnd, ID: id})
}

// RefuseWaitingLocked refuses all queued new work. Statements of open transactions stay
// queued.
func (g *Gate) RefuseWaitingLocked(reason outcome.Reason, retryAfter time.Duration) {
	for id, w := range g.waiters {
		if !w.newWork {
			continue
		}
		g.deliver(admission.Effect{Type: admission.EffectRefuse, ID: id, Reason: reason, RetryAfter: retryAfter})
		g.StepLocked(admission.Event{Type: admission.EventEnd, ID: id})
	}
}
