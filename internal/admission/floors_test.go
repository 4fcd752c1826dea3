package admission

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"egretroad/internal/catalogue"
	"egretroad/internal/outcome"
	"egretroad/internal/simtime"
)

// workload is a stream of work in a simulation that always has work queued.
type workload struct {
	entry   EntryConfig
	service time.Duration
	callers int
}

// simulation runs workloads on one machine in simulated time.
type simulation struct {
	m              *Machine
	workloads      []workload
	now            time.Duration
	nextID         ID
	workloadOf     map[ID]int        // index of the workload, by transaction
	completions    simtime.Queue[ID] // scheduled ends of transactions
	slotTime       []time.Duration   // slot time used, by workload
	grantsByCaller map[string]int    // completed grants, by caller
}

func newSimulation(options Options, slots int, loads []workload) *simulation {
	s := &simulation{m: New(options), workloads: loads, workloadOf: map[ID]int{}, slotTime: make([]time.Duration, len(loads)), grantsByCaller: map[string]int{}}
	config := &Config{Slots: slots, ConnectionLimit: 100}
	for _, l := range loads {
		config.Entries = append(config.Entries, l.entry)
	}
	s.step(Event{Type: EventConfigure, Config: config})
	s.step(Event{Type: EventConnections, Connections: 100})
	const waitingPerCaller = 3
	for n, l := range loads {
		for c := range l.callers {
			for range waitingPerCaller {
				s.offer(n, c)
			}
		}
	}
	return s
}

func (s *simulation) offer(n, caller int) {
	s.nextID++
	l := s.workloads[n]
	s.workloadOf[s.nextID] = n
	s.step(Event{Type: EventOffer, Work: Work{
		ID: s.nextID, Entry: l.entry.Entry, Kind: l.entry.Kind, Owner: l.entry.Owner, Rank: l.entry.Rank,
		Caller: fmt.Sprintf("%s-%d", l.entry.Entry, caller), Deadline: s.now + time.Hour, Bytes: 1,
	}})
}

func (s *simulation) step(e Event) {
	e.Now = s.now
	for _, effect := range s.m.Step(e) {
		if effect.Type == EffectGrant {
			s.completions.Add(s.now+s.workloads[s.workloadOf[effect.ID]].service, effect.ID)
		}
	}
}

func (s *simulation) run(until time.Duration) {
	for at, id, due := s.completions.Next(until); due; at, id, due = s.completions.Next(until) {
		s.now = at
		n := s.workloadOf[id]
		s.slotTime[n] += s.workloads[n].service
		caller := s.m.transactions[id].work.Caller
		s.grantsByCaller[caller]++
		s.step(Event{Type: EventEnd, ID: id})
		var index int
		_, _ = fmt.Sscanf(caller, s.workloads[n].entry.Entry+"-%d", &index)
		s.offer(n, index)
	}
	s.now = until
}

func simulationOptions() Options {
	o := DefaultOptions()
	o.Policy = PolicyQueueLength
	o.MaxQueueAge = time.Hour
	return o
}

// TestFloorsAreKept overloads a server with several kinds and checks that each gets
// at least its floor of the slot time and that no slot is idle.
func TestFloorsAreKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(2, 6).Draw(t, "slots")
		var loads []workload
		unassigned := 0.9 * float64(slots-1) / float64(slots) // one slot is reserved for the most urgent rank
		for n := range rapid.IntRange(2, 5).Draw(t, "loads") {
			share := math.Floor(unassigned*100*rapid.Float64Range(0, 0.6).Draw(t, "share")) / 100
			unassigned -= share
			name := fmt.Sprintf("k%d", n)
			loads = append(loads, workload{
				entry:   EntryConfig{Entry: name, Kind: name, Owner: name, Rank: catalogue.RankOrders, Floor: share},
				service: time.Duration(rapid.IntRange(1, 100).Draw(t, "serviceMS")) * time.Millisecond,
				callers: 3,
			})
			if n > 0 {
				loads[n].entry.Rank = catalogue.RankReads
			}
		}
		s := newSimulation(simulationOptions(), slots, loads)
		const length = 10 * time.Second
		s.run(length)
		total := time.Duration(0)
		for n, l := range loads {
			total += s.slotTime[n]
			want := l.entry.Floor * float64(slots) * length.Seconds()
			slack := 2*0.1*float64(slots) + 0.02*want
			if s.slotTime[n].Seconds() < want-slack {
				t.Fatalf("%s got %.2f of %.2f slot seconds: %+v", l.entry.Kind, s.slotTime[n].Seconds(), want, s.m.Status())
			}
		}
		if idle := float64(slots)*length.Seconds() - total.Seconds(); idle > 0.1*float64(slots) {
			t.Fatalf("%.2f slot seconds were idle", idle)
		}
	})
}

// TestUnusedFloorGoesToOthers checks that other kinds use the whole server while the
// kind with a floor has no work, and that the kind gets its full floor once it has
// work: service that it received while slots were free must not count as debt.
func TestUnusedFloorGoesToOthers(t *testing.T) {
	g := NewWithT(t)
	orders := workload{entry: EntryConfig{Entry: "orders", Kind: "orders", Owner: "o", Rank: catalogue.RankOrders}, service: 10 * time.Millisecond, callers: 4}
	reports := workload{entry: EntryConfig{Entry: "reports", Kind: "reports", Owner: "r", Rank: catalogue.RankReports, Floor: 0.25}, service: 50 * time.Millisecond}
	s := newSimulation(simulationOptions(), 4, []workload{orders, reports})
	s.run(5 * time.Second)
	g.Expect(s.slotTime[0]).To(BeNumerically("~", 20*time.Second, 100*time.Millisecond))
	s.offer(1, 0)
	s.offer(1, 0)
	s.run(10 * time.Second)
	g.Expect(s.slotTime[1]).To(BeNumerically("~", 5*time.Second, 500*time.Millisecond))
}

// TestOwnersAndCallersShareFairly has one owner offer far more work than the other
// owners of the kind. Owners must get equal slot time, and callers of an owner an
// equal number of grants.
func TestOwnersAndCallersShareFairly(t *testing.T) {
	g := NewWithT(t)
	owner := func(name string, callers int, service time.Duration) workload {
		return workload{entry: EntryConfig{Entry: name, Kind: "reads", Owner: name, Rank: catalogue.RankReads}, service: service, callers: callers}
	}
	s := newSimulation(simulationOptions(), 3, []workload{
		owner("flood", 50, 10*time.Millisecond), owner("a", 4, 40*time.Millisecond), owner("b", 8, 5*time.Millisecond),
	})
	s.run(20 * time.Second)
	for n := range s.slotTime {
		g.Expect(s.slotTime[n]).To(BeNumerically("~", 20*time.Second, 400*time.Millisecond), "owner %d", n)
	}
	g.Expect(s.grantsByCaller["b-0"]).To(BeNumerically("~", s.grantsByCaller["b-1"], 3))
}

// TestExpectedWaitRefuses overloads a queue with work that has short deadlines. Work
// that could not be served in time must be refused on arrival; accepted work must be
// served.
func TestExpectedWaitRefuses(t *testing.T) {
	g := NewWithT(t)
	m := New(DefaultOptions())
	m.Step(Event{Type: EventConfigure, Config: &Config{Slots: 2, ConnectionLimit: 10}})
	m.Step(Event{Type: EventConnections, Connections: 10})
	const service, deadline = 10 * time.Millisecond, 200 * time.Millisecond
	var ends simtime.Queue[ID]
	counts := map[outcome.Reason]int{}
	accepted, served := map[ID]bool{}, 0
	collect := func(now time.Duration, effects []Effect) {
		for _, e := range effects {
			if e.Type == EffectGrant {
				ends.Add(now+service, e.ID)
				served++
				continue
			}
			if accepted[e.ID] {
				counts["expired"]++
			}
			counts[e.Reason]++
			g.Expect(e.RetryAfter).To(BeNumerically(">", 0))
		}
	}
	const offers = 5000
	for id := ID(1); id <= offers; id++ {
		now := time.Duration(id) * time.Millisecond // 1000 per second; the capacity is 200 per second
		for at, ended, due := ends.Next(now); due; at, ended, due = ends.Next(now) {
			collect(at, m.Step(Event{Type: EventEnd, Now: at, ID: ended}))
		}
		before := m.Waiting()
		collect(now, m.Step(Event{Type: EventOffer, Now: now, Work: Work{ID: id, Entry: "e", Kind: "k", Owner: "o", Caller: fmt.Sprint(id), Rank: 1, Deadline: now + deadline}}))
		accepted[id] = m.Waiting() > before
	}
	g.Expect(served).To(BeNumerically(">", 980)) // 5 s at 200 per second
	g.Expect(counts[outcome.ReasonDeadline]).To(BeNumerically(">", 3500))
	g.Expect(counts["expired"]).To(BeNumerically("<", 20))
	g.Expect(m.Waiting()).To(BeNumerically("<", 40))
}

// BenchmarkDecision measures one offer and one end at several queue lengths.
func BenchmarkDecision(b *testing.B) {
	for _, waiting := range []int{10, 1000, 100_000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			benchmarkDecision(b, waiting)
		})
	}
}

func benchmarkDecision(b *testing.B, waiting int) {
	options := simulationOptions()
	options.DefaultQueueLength, options.MaxQueueBytes = 1_000_000, 1<<40
	m := New(options)
	config := &Config{Slots: 2, ConnectionLimit: 14}
	const entries = 6
	for n := range entries {
		config.Entries = append(config.Entries, EntryConfig{Entry: fmt.Sprint("e", n), Kind: fmt.Sprint("k", n/2), Owner: fmt.Sprint("o", n), Rank: catalogue.Rank(1 + n/2), Floor: 0.1})
	}
	m.Step(Event{Type: EventConfigure, Config: config})
	m.Step(Event{Type: EventConnections, Connections: 14})
	callers := make([]string, 10_000)
	for i := range callers {
		callers[i] = fmt.Sprint("caller", i)
	}
	now := time.Duration(0)
	id := ID(0)
	var running []ID
	offer := func() {
		id++
		now += time.Microsecond
		e := config.Entries[int(id)%entries]
		for _, effect := range m.Step(Event{Type: EventOffer, Now: now, Work: Work{ID: id, Entry: e.Entry, Kind: e.Kind, Owner: e.Owner, Rank: e.Rank, Caller: callers[int(id)%len(callers)], Deadline: now + time.Hour}}) {
			running = append(running, effect.ID)
		}
	}
	for range waiting {
		offer()
	}
	b.ReportAllocs()
	for b.Loop() {
		offer()
		end := running[0]
		running = running[1:]
		now += time.Microsecond
		for _, effect := range m.Step(Event{Type: EventEnd, Now: now, ID: end}) {
			running = append(running, effect.ID)
		}
	}
}
