package admission

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"egretroad/internal/catalogue"
	"egretroad/internal/outcome"
	"egretroad/internal/rapidseed"
)

func TestMain(m *testing.M) {
	rapidseed.MainWith(m, map[string]string{"rapid.steps": "120", "rapid.nofailfile": "true"})
}

// modelTransaction is the oracle's state of one transaction.
type modelTransaction struct {
	entry    EntryConfig
	state    state
	deadline time.Duration
	sequence int
}

// model is a simple test oracle: it keeps every transaction in a map and recomputes
// every limit from scratch.
type model struct {
	config       *Config
	connections  int
	now          time.Duration
	transactions map[ID]*modelTransaction
	sequence     int
}

func (o *model) count(match func(*modelTransaction) bool) int {
	n := 0
	for _, tx := range o.transactions {
		if match(tx) {
			n++
		}
	}
	return n
}

func holdsSlot(tx *modelTransaction) bool       { return tx.state == stateRunning }
func holdsConnection(tx *modelTransaction) bool { return tx.state != stateWaitingNew }

// urgentRanks returns how many configured ranks are more urgent than r.
func (o *model) urgentRanks(r catalogue.Rank) int {
	seen := map[catalogue.Rank]bool{}
	for _, e := range o.config.Entries {
		if e.Rank < r {
			seen[e.Rank] = true
		}
	}
	return len(seen)
}

func (o *model) slotBound(r catalogue.Rank) int {
	if bound := o.config.Slots - o.urgentRanks(r); bound > 1 || o.urgentRanks(r) == 0 {
		return bound
	}
	return 1
}

func (o *model) canTakeSlot(r catalogue.Rank) bool {
	below := o.count(func(tx *modelTransaction) bool { return holdsSlot(tx) && tx.entry.Rank >= r })
	return o.count(holdsSlot) < o.config.Slots && below < o.slotBound(r)
}

func (o *model) connectionBound(r catalogue.Rank) int {
	reserve := o.urgentRanks(r) * max(1, o.config.ConnectionLimit/connectionsPerReserve)
	return max(min(1, o.config.ConnectionLimit), o.config.ConnectionLimit-reserve)
}

func (o *model) canTakeConnection(e EntryConfig) bool {
	used := o.count(holdsConnection)
	below := o.count(func(tx *modelTransaction) bool { return holdsConnection(tx) && tx.entry.Rank >= e.Rank })
	return used < min(o.connections, o.config.ConnectionLimit) && below < o.connectionBound(e.Rank)
}

func (o *model) entryFull(e EntryConfig) bool {
	running := o.count(func(tx *modelTransaction) bool { return holdsConnection(tx) && tx.entry.Entry == e.Entry })
	return e.Limited && running >= e.MaxConcurrent
}

// grantable reports whether the limits allow granting the transaction now.
func (o *model) grantable(tx *modelTransaction) bool {
	switch tx.state {
	case stateWaitingStatement:
		return o.canTakeSlot(tx.entry.Rank)
	case stateWaitingNew:
		return o.canTakeSlot(tx.entry.Rank) && o.canTakeConnection(tx.entry) && !o.entryFull(tx.entry)
	default:
		return false
	}
}

// apply checks an effect against the oracle and applies it to the oracle's state.
func (o *model) apply(t *rapid.T, e Effect) {
	tx, ok := o.transactions[e.ID]
	if !ok || tx.state != stateWaitingNew && tx.state != stateWaitingStatement {
		t.Fatalf("effect %v for work that is not queued", e)
	}
	if e.Type == EffectRefuse {
		o.refuse(t, tx, e)
		return
	}
	if !o.grantable(tx) {
		t.Fatalf("granted %+v beyond a limit", tx)
	}
	if tx.deadline <= o.now {
		t.Fatalf("granted %+v after its deadline", tx)
	}
	o.checkOrder(t, tx)
	tx.state = stateRunning
}

func (o *model) refuse(t *rapid.T, tx *modelTransaction, e Effect) {
	if e.Reason == "" {
		t.Fatalf("refusal of %d without a reason", e.ID)
	}
	if tx.state == stateWaitingStatement {
		if tx.deadline > o.now {
			t.Fatalf("statement of an open transaction refused before its deadline")
		}
		tx.state = stateIdle
		return
	}
	delete(o.transactions, e.ID)
}

// checkOrder checks the order of a grant without floors: no more urgent work could
// run, and within the rank statements of open transactions go first, oldest first.
func (o *model) checkOrder(t *rapid.T, granted *modelTransaction) {
	for id, other := range o.transactions {
		if other == granted || !o.grantable(other) {
			continue
		}
		if other.entry.Rank < granted.entry.Rank {
			t.Fatalf("rank %d granted before %d of rank %d", granted.entry.Rank, id, other.entry.Rank)
		}
		if other.entry.Rank != granted.entry.Rank || other.state != stateWaitingStatement {
			continue
		}
		if granted.state == stateWaitingNew || other.sequence < granted.sequence {
			t.Fatalf("statement %d of an open transaction was passed over", id)
		}
	}
}

// checkSettled checks that no work that could run and no expired work is queued.
func (o *model) checkSettled(t *rapid.T, m *Machine) {
	for id, tx := range o.transactions {
		if o.grantable(tx) {
			t.Fatalf("%d could run but is queued: %+v", id, tx)
		}
		if (tx.state == stateWaitingNew || tx.state == stateWaitingStatement) && tx.deadline <= o.now {
			t.Fatalf("%d is queued past its deadline", id)
		}
	}
	if got, want := m.usedSlots, o.count(holdsSlot); got != want {
		t.Fatalf("machine counts %d slots, oracle %d", got, want)
	}
	if got, want := m.usedConnections, o.count(holdsConnection); got != want {
		t.Fatalf("machine counts %d connections, oracle %d", got, want)
	}
}

func drawConfig(t *rapid.T) *Config {
	config := &Config{Slots: rapid.IntRange(1, 6).Draw(t, "slots"), ConnectionLimit: rapid.IntRange(1, 20).Draw(t, "connections")}
	for r := catalogue.RankOrders; r <= catalogue.RankReports; r++ {
		for n := range rapid.IntRange(0, 3).Draw(t, "entries") {
			e := EntryConfig{Entry: fmt.Sprintf("e%d-%d", r, n), Kind: fmt.Sprintf("k%d-%d", r, n%2), Owner: fmt.Sprintf("o%d", n), Rank: r}
			if rapid.Bool().Draw(t, "limited") {
				e.Limited, e.MaxConcurrent = true, rapid.IntRange(0, 4).Draw(t, "max")
			}
			config.Entries = append(config.Entries, e)
		}
	}
	if len(config.Entries) == 0 {
		config.Entries = []EntryConfig{{Entry: "e", Kind: "k", Owner: "o", Rank: catalogue.RankReads}}
	}
	return config
}

// TestMachineAgainstOracle applies random events without floors and checks every
// effect and the state after every event.
func TestMachineAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &model{config: drawConfig(t), connections: 20, transactions: map[ID]*modelTransaction{}}
		m := New(DefaultOptions())
		nextID := ID(0)
		step := func(e Event) {
			e.Now = o.now
			for _, effect := range m.Step(e) {
				o.apply(t, effect)
			}
			o.checkSettled(t, m)
		}
		step(Event{Type: EventConfigure, Config: o.config})
		drawTransaction := func(t *rapid.T, want ...state) (ID, *modelTransaction) {
			var ids []ID
			for id := ID(1); id <= nextID; id++ {
				for _, s := range want {
					if tx, ok := o.transactions[id]; ok && tx.state == s {
						ids = append(ids, id)
					}
				}
			}
			if len(ids) == 0 {
				t.Skip("no such transaction")
			}
			id := rapid.SampledFrom(ids).Draw(t, "id")
			return id, o.transactions[id]
		}
		deadline := func(t *rapid.T) time.Duration {
			return o.now + time.Duration(rapid.IntRange(1, 5000).Draw(t, "deadlineMS"))*time.Millisecond
		}
		step(Event{Type: EventConnections, Connections: o.connections})
		actions := map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				nextID++
				o.sequence++
				e := rapid.SampledFrom(o.config.Entries).Draw(t, "entry")
				at := deadline(t)
				o.transactions[nextID] = &modelTransaction{entry: e, state: stateWaitingNew, deadline: at, sequence: o.sequence}
				step(Event{Type: EventOffer, Work: Work{
					ID: nextID, Entry: e.Entry, Kind: e.Kind, Owner: e.Owner, Rank: e.Rank, Deadline: at,
					Caller: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller"), Bytes: 10,
				}})
			},
			"statement": func(t *rapid.T) {
				id, tx := drawTransaction(t, stateIdle)
				o.sequence++
				tx.state, tx.deadline, tx.sequence = stateWaitingStatement, deadline(t), o.sequence
				step(Event{Type: EventStatement, ID: id, Deadline: tx.deadline})
			},
			"statementEnd": func(t *rapid.T) {
				id, tx := drawTransaction(t, stateRunning, stateWrittenOff)
				tx.state = stateIdle
				step(Event{Type: EventStatementEnd, ID: id})
			},
			"writeOff": func(t *rapid.T) {
				id, tx := drawTransaction(t, stateRunning)
				tx.state = stateWrittenOff
				step(Event{Type: EventWriteOff, ID: id})
			},
			"end": func(t *rapid.T) {
				id, _ := drawTransaction(t, stateRunning, stateIdle, stateWrittenOff, stateWaitingNew, stateWaitingStatement)
				delete(o.transactions, id)
				step(Event{Type: EventEnd, ID: id})
			},
			"connections": func(t *rapid.T) {
				o.connections = rapid.IntRange(0, 20).Draw(t, "live")
				step(Event{Type: EventConnections, Connections: o.connections})
			},
			"time": func(t *rapid.T) {
				o.now += time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond
				step(Event{Type: EventTick})
			},
		}
		// Offers and statements are made more frequent, so that queues build up.
		for _, name := range []string{"offer", "statement", "statementEnd"} {
			actions[name+" again"], actions[name+" once more"] = actions[name], actions[name]
		}
		t.Repeat(actions)
	})
}

// TestNothingStarves ends running work until the queue is empty. All accepted work
// must be granted or refused exactly once, and no state may be left over.
func TestNothingStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := drawConfig(t)
		for i := range config.Entries {
			config.Entries[i].Floor = float64(rapid.IntRange(0, 30).Draw(t, "floor")) / 100
			config.Entries[i].MaxConcurrent = max(1, config.Entries[i].MaxConcurrent)
		}
		m := New(DefaultOptions())
		now := time.Duration(0)
		offered := map[ID]bool{}
		answered := map[ID]bool{}
		running := []ID{}
		step := func(e Event) {
			e.Now = now
			for _, effect := range m.Step(e) {
				if answered[effect.ID] {
					t.Fatalf("%d was answered twice", effect.ID)
				}
				answered[effect.ID] = true
				if effect.Type == EffectGrant {
					running = append(running, effect.ID)
				}
			}
		}
		step(Event{Type: EventConfigure, Config: config})
		step(Event{Type: EventConnections, Connections: config.ConnectionLimit})
		offers := rapid.IntRange(1, 200).Draw(t, "offers")
		for id := ID(1); id <= ID(offers); id++ {
			e := rapid.SampledFrom(config.Entries).Draw(t, "entry")
			offered[id] = true
			step(Event{Type: EventOffer, Work: Work{ID: id, Entry: e.Entry, Kind: e.Kind, Owner: e.Owner, Rank: e.Rank, Caller: "c", Deadline: now + time.Hour, Bytes: 1}})
		}
		for rounds := 0; len(running) > 0 && rounds <= offers; rounds++ {
			now += time.Millisecond
			id := running[0]
			running = running[1:]
			step(Event{Type: EventEnd, ID: id})
		}
		if len(answered) != len(offered) || m.Waiting() != 0 {
			t.Fatalf("%d of %d answered, %d queued", len(answered), len(offered), m.Waiting())
		}
		if m.usedSlots != 0 || m.usedConnections != 0 || m.queuedBytes != 0 || len(m.transactions) != 0 {
			t.Fatalf("left over: %+v", m.Status())
		}
	})
}

func TestRefusalReasons(t *testing.T) {
	g := NewWithT(t)
	options := DefaultOptions()
	options.MaxQueueBytes = 100
	m := New(options)
	m.Step(Event{Type: EventConfigure, Config: &Config{Slots: 1, ConnectionLimit: 5, Entries: []EntryConfig{
		{Entry: "short", Kind: "short", Rank: 1, MaxQueue: 2},
		{Entry: "none", Kind: "none", Rank: 1, Limited: true},
		{Entry: "rate", Kind: "rate", Rank: 1, RatePerSecond: 2},
	}}})
	id := ID(0)
	offer := func(entry string, bytes int, deadline time.Duration) outcome.Reason {
		id++
		effects := m.Step(Event{Type: EventOffer, Work: Work{ID: id, Entry: entry, Kind: entry, Rank: 1, Deadline: deadline, Bytes: bytes}})
		if len(effects) == 0 {
			return ""
		}
		return effects[0].Reason
	}
	g.Expect(offer("none", 1, time.Second)).To(Equal(outcome.ReasonConcurrency))
	g.Expect(offer("short", 1, 0)).To(Equal(outcome.ReasonDeadline))
	g.Expect(offer("short", 1, time.Second)).To(BeEmpty())
	g.Expect(offer("short", 1, time.Second)).To(BeEmpty())
	g.Expect(offer("short", 1, time.Second)).To(Equal(outcome.ReasonQueueFull))
	g.Expect(offer("rate", 1, time.Second)).To(BeEmpty())
	g.Expect(offer("rate", 1, time.Second)).To(BeEmpty())
	g.Expect(offer("rate", 1, time.Second)).To(Equal(outcome.ReasonRateLimit))
	g.Expect(offer("other", 200, time.Second)).To(Equal(outcome.ReasonMemory))
	expired := m.Step(Event{Type: EventTick, Now: time.Second})
	g.Expect(expired).To(HaveLen(4))
	g.Expect(expired[0].Reason).To(Equal(outcome.ReasonDeadline))
	g.Expect(expired[0].RetryAfter).To(BeNumerically(">", 0))
}
