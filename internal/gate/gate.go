// Package gate runs the admission machine of one server: goroutines wait at it for
// a slot, and get the machine's effects. It wakes the machine at deadlines.
package gate

import (
	"context"
	"sync"
	"time"

	"egretroad/internal/admission"
	"egretroad/internal/outcome"
)

// Gate is the queue of one server. Its mutex may guard fields of its owner as well;
// methods whose name ends in Locked are called with it held, all others without.
type Gate struct {
	sync.Mutex // guards the fields below

	machine *admission.Machine
	waits   map[admission.ID]*Wait
	lastID  admission.ID
	timer   *time.Timer
	timerAt time.Duration // 0: not set
	began   time.Time     // the machine's clock counts from here
	demand  func(used, wanted int)
}

// Wait is work that waits for an effect.
type Wait struct {
	id     admission.ID
	isNew  bool
	noted  func(admission.Effect)
	effect chan admission.Effect
}

// New returns a gate without slots. After each step, demand is told how many
// connections are in use and how many more waiting work could use; it is called with
// the gate locked.
func New(options admission.Options, demand func(used, wanted int)) *Gate {
	g := &Gate{
		machine: admission.New(options), waits: map[admission.ID]*Wait{}, began: time.Now(), demand: demand,
	}
	g.timer = time.AfterFunc(time.Hour, g.tick)
	return g
}

// Now returns the time on the machine's clock.
func (g *Gate) Now() time.Duration { return time.Since(g.began) }

// At returns the time at which the machine's clock shows a time.
func (g *Gate) At(now time.Duration) time.Time { return g.began.Add(now) }

// Stop ends the timer.
func (g *Gate) Stop() {
	g.Lock()
	defer g.Unlock()
	g.timer.Stop()
}

// NewIDLocked returns an ID that no work has had.
func (g *Gate) NewIDLocked() admission.ID {
	g.lastID++
	return g.lastID
}

// MachineLocked returns the machine, to be read only.
func (g *Gate) MachineLocked() *admission.Machine { return g.machine }

// Step feeds an event to the machine.
func (g *Gate) Step(e admission.Event) {
	g.Lock()
	defer g.Unlock()
	g.StepLocked(e)
}

// StepLocked feeds an event to the machine.
func (g *Gate) StepLocked(e admission.Event) {
	e.Now = g.Now()
	for _, effect := range g.machine.Step(e) {
		g.deliver(effect)
	}
	g.demand(g.machine.ConnectionDemand())
	at, waiting := g.machine.NextDeadline()
	if !waiting || g.timerAt != 0 && g.timerAt <= at {
		return
	}
	g.timerAt = at
	g.timer.Reset(max(0, at-g.Now()))
}

// deliver hands an effect to the work that waits for it.
func (g *Gate) deliver(effect admission.Effect) {
	w, known := g.waits[effect.ID]
	if !known {
		return
	}
	delete(g.waits, effect.ID)
	if w.noted != nil {
		w.noted(effect)
	}
	w.effect <- effect
}

// tick lets waiting work expire.
func (g *Gate) tick() {
	g.Lock()
	defer g.Unlock()
	g.timerAt = 0
	g.StepLocked(admission.Event{Type: admission.EventTick})
}

// QueueLocked feeds an event that asks for a slot; Receive returns its effect. If
// noted is not nil, it is called with the effect and the gate locked.
func (g *Gate) QueueLocked(e admission.Event, id admission.ID, noted func(admission.Effect)) *Wait {
	w := &Wait{id: id, isNew: e.Type == admission.EventOffer, noted: noted, effect: make(chan admission.Effect, 1)}
	g.waits[id] = w
	g.StepLocked(e)
	return w
}

// Receive waits for the effect. When ctx ends first, the work is withdrawn and the
// error of ctx returned.
func (g *Gate) Receive(ctx context.Context, w *Wait) (admission.Effect, error) {
	select {
	case effect := <-w.effect:
		return effect, nil
	default:
	}
	select {
	case effect := <-w.effect:
		return effect, nil
	case <-ctx.Done():
		g.Withdraw(w.id)
		return admission.Effect{}, ctx.Err()
	}
}

// Withdraw ends work that its caller left while it waited, or just after.
func (g *Gate) Withdraw(id admission.ID) {
	g.Lock()
	defer g.Unlock()
	delete(g.waits, id)
	g.StepLocked(admission.Event{Type: admission.EventEnd, ID: id})
}

// RefuseWaitingLocked refuses all new work that waits.
func (g *Gate) RefuseWaitingLocked(reason outcome.Reason, retryAfter time.Duration) {
	for id, w := range g.waits {
		if !w.isNew {
			continue
		}
		g.deliver(admission.Effect{Type: admission.EffectRefuse, ID: id, Reason: reason, RetryAfter: retryAfter})
		g.StepLocked(admission.Event{Type: admission.EventEnd, ID: id})
	}
}
