package gate_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"egretroad/internal/admission"
	"egretroad/internal/catalogue"
	"egretroad/internal/gate"
	"egretroad/internal/outcome"
)

// newGate returns a gate for a server with one slot.
func newGate() *gate.Gate {
	g := gate.New(admission.DefaultOptions(), func(int, int) {})
	g.Step(admission.Event{Type: admission.EventConfigure, Config: &admission.Config{Slots: 1, ConnectionLimit: 4}})
	g.Step(admission.Event{Type: admission.EventConnections, Connections: 4})
	return g
}

func offer(g *gate.Gate, timeout time.Duration, onEffect func(admission.Effect)) (admission.ID, *gate.Waiter) {
	g.Lock()
	defer g.Unlock()
	id := g.NewIDLocked()
	return id, g.QueueLocked(admission.Event{Type: admission.EventOffer, Work: admission.Work{
		ID: id, Entry: "e", Kind: "e", Owner: "e", Caller: "c", Rank: catalogue.RankOrders, Deadline: g.Now() + timeout,
	}}, id, onEffect)
}

func TestEndedWorkFreesSlotForQueuedWork(t *testing.T) {
	g := NewWithT(t)
	q := newGate()
	defer q.Stop()
	first, w := offer(q, time.Minute, nil)
	effect, err := q.Receive(context.Background(), w)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(effect.Type).To(Equal(admission.EffectGrant))
	calls := 0
	_, w = offer(q, time.Minute, func(admission.Effect) { calls++ })
	q.Step(admission.Event{Type: admission.EventEnd, ID: first})
	effect, err = q.Receive(context.Background(), w)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(effect.Type).To(Equal(admission.EffectGrant))
	g.Expect(calls).To(Equal(1))
}

func TestTimerExpiresQueuedWork(t *testing.T) {
	g := NewWithT(t)
	q := newGate()
	defer q.Stop()
	offer(q, time.Minute, nil)
	_, w := offer(q, 20*time.Millisecond, nil)
	effect, err := q.Receive(context.Background(), w)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(effect.Reason).To(Equal(outcome.ReasonDeadline))
}

// A caller that is cancelled while its work is queued must not keep a slot, a connection
// or a place in the queue.
func TestWithdrawnWorkFreesItsResources(t *testing.T) {
	g := NewWithT(t)
	q := newGate()
	defer q.Stop()
	first, _ := offer(q, time.Minute, nil)
	_, w := offer(q, time.Minute, nil)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := q.Receive(ctx, w)
	g.Expect(err).To(MatchError(context.Canceled))
	q.Step(admission.Event{Type: admission.EventEnd, ID: first})
	q.Lock()
	defer q.Unlock()
	g.Expect(q.MachineLocked().Waiting()).To(BeZero())
	used, _ := q.MachineLocked().ConnectionDemand()
	g.Expect(used).To(BeZero())
}

func TestRefuseWaitingEmptiesQueue(t *testing.T) {
	g := NewWithT(t)
	q := newGate()
	defer q.Stop()
	offer(q, time.Minute, nil)
	_, w := offer(q, time.Minute, nil)
	q.Lock()
	q.RefuseWaitingLocked(outcome.ReasonConnect, time.Second)
	g.Expect(q.MachineLocked().Waiting()).To(BeZero())
	q.Unlock()
	effect, err := q.Receive(context.Background(), w)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(effect.Reason).To(Equal(outcome.ReasonConnect))
	g.Expect(effect.RetryAfter).To(Equal(time.Second))
}
