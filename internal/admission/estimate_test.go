package admission

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestStallRefusesNoWorkWithTimeLeft offers work to a home that has just taken over a
// server and is still opening its first connections. Guards against counting that
// delay once per grant, which would refuse work whose deadline is still far away.
func TestStallRefusesNoWorkWithTimeLeft(t *testing.T) {
	g := NewWithT(t)
	m := New(DefaultOptions())
	m.Step(Event{Type: EventConfigure, Config: &Config{Slots: 2, ConnectionLimit: 10}})
	const callers, deadline, service = 200, 5 * time.Second, time.Millisecond
	refused, granted := 0, []ID(nil)
	collect := func(effects []Effect) {
		for _, e := range effects {
			switch e.Type {
			case EffectRefuse:
				refused++
			case EffectGrant:
				granted = append(granted, e.ID)
			}
		}
	}
	offer := func(id ID, now time.Duration) {
		collect(m.Step(Event{Type: EventOffer, Now: now, Work: Work{ID: id, Entry: "e", Kind: "k", Owner: "o", Caller: "c", Rank: 1, Deadline: now + deadline}}))
	}
	for id := ID(1); id <= callers; id++ {
		offer(id, time.Duration(id)*2*time.Millisecond)
	}
	now := callers * 2 * time.Millisecond
	collect(m.Step(Event{Type: EventConnections, Now: now, Connections: 10}))
	for id := ID(callers + 1); len(granted) > 0; id++ {
		end := granted[0]
		granted = granted[1:]
		now += service
		collect(m.Step(Event{Type: EventEnd, Now: now, ID: end}))
		if id <= 2*callers {
			offer(id, now)
		}
	}
	g.Expect(refused).To(BeZero())
	g.Expect(m.Waiting()).To(BeZero())
}
