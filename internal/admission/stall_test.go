package admission

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A server that answers nothing for a second, as while its primary is replaced, must
// not have that pause taken for its grant rate: work that can still meet its deadline
// stays queued.
func TestStallDoesNotLowerGrantRate(t *testing.T) {
	g := NewWithT(t)
	m := New(DefaultOptions())
	m.Step(Event{Type: EventConfigure, Config: &Config{Slots: 1, ConnectionLimit: 5, Entries: []EntryConfig{
		{Entry: "orders", Kind: "orders", Rank: 1, MaxQueue: 1000},
	}}})
	offer := func(id ID, now time.Duration) []Effect {
		m.Step(Event{Type: EventTick, Now: now})
		return m.Step(Event{Type: EventOffer, Now: now, Work: Work{ID: id, Entry: "orders", Kind: "orders", Rank: 1, Deadline: now + 5*time.Second}})
	}
	for i := range 50 {
		for _, e := range offer(ID(i+1), time.Duration(i)*20*time.Millisecond) {
			g.Expect(e.Type).NotTo(Equal(EffectRefuse), "work %d", i+1)
		}
	}
}
