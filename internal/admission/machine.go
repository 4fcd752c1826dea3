package admission

import (
	"time"

	"egretroad/internal/outcome"
)

// Machine is the admission state of one server. It is not safe for concurrent
// use.
type Machine struct {
	options           Options
	size              size
	connections       int // open and usable
	usedConnections   int
	usedSlots         int
	connectionsByRank rankSet
	slotsByRank       rankSet
	classes           []*class // by rank, then kind
	entries           map[string]*entry
	limits            map[string]*limit
	items             map[ID]*item
	deadlines         indexHeap[*item]
	waiting           int
	queuedBytes       int
	sequence          uint64
	now               time.Duration
	effects           []Effect
}

// New returns a machine without slots; an EventConfigure gives it its size.
func New(options Options) *Machine {
	return &Machine{
		options: options,
		entries: make(map[string]*entry),
		limits:  make(map[string]*limit),
		items:   make(map[ID]*item),
	}
}

// Step takes an event and returns its effects, in order. The slice is valid
// until the next call. Events that name an unknown ID, or that do not fit its
// state, have no effect of their own.
func (m *Machine) Step(e Event) []Effect {
	m.effects = m.effects[:0]
	m.advance(e.Now)
	m.expire()
	switch e.Type {
	case EventTick:
	case EventOffer:
		m.offer(e.Work)
	case EventStatement:
		m.statement(e.ID, e.Deadline)
	case EventStatementEnd:
		m.statementEnd(e.ID)
	case EventEnd:
		m.end(e.ID)
	case EventWriteOff:
		m.writeOff(e.ID)
	case EventConnections:
		m.connections = e.Connections
	case EventConfigure:
		m.configure(e.Config)
	}
	m.dispatch()
	return m.effects
}

// NextDeadline returns the earliest time at which waiting work expires.
func (m *Machine) NextDeadline() (time.Duration, bool) {
	if m.deadlines.len() == 0 {
		return 0, false
	}
	return m.deadlines.top().expires, true
}

// ConnectionDemand returns how many connections are in use, and how many more
// the waiting new work could use at once.
func (m *Machine) ConnectionDemand() (used, wanted int) {
	for _, c := range m.classes {
		wanted += min(c.eligible.len(), m.size.slots)
	}
	return m.usedConnections, min(wanted, m.size.slots)
}

// Waiting returns the number of waiting transactions and statements.
func (m *Machine) Waiting() int { return m.waiting }

// advance moves the time and the floors' credits.
func (m *Machine) advance(now time.Duration) {
	if now <= m.now {
		return
	}
	for _, c := range m.classes {
		c.advance(now-m.now, m.size.slots, m.options.CreditWindow)
	}
	m.now = now
}

// expire refuses work whose deadline has come.
func (m *Machine) expire() {
	for m.deadlines.len() > 0 {
		i := m.deadlines.top()
		if i.expires > m.now {
			return
		}
		m.refuse(i, outcome.ReasonDeadline, m.retryAfter(i.entry))
	}
}

// retryAfter suggests when to send refused work again.
func (m *Machine) retryAfter(e *entry) time.Duration {
	wait, _ := m.expectedWait(e, m.now)
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// Bounds on the hint when to retry.
const (
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// offer queues new work or refuses it.
func (m *Machine) offer(w Work) {
	if _, known := m.items[w.ID]; known {
		return
	}
	e := m.entryOf(w)
	if reason, retry := m.refusal(e, w); reason != "" {
		m.effects = append(m.effects, Effect{Type: EffectRefuse, ID: w.ID, Reason: reason, RetryAfter: retry})
		return
	}
	e.limit.takeToken()
	i := &item{work: w, class: e.class, entry: e, heapAt: notInHeap}
	m.items[w.ID] = i
	m.enqueue(i, w.Deadline)
	e.push(i)
	e.class.update(e)
	m.queuedBytes += w.Bytes
}

// refusal returns why new work cannot even wait, or "".
func (m *Machine) refusal(e *entry, w Work) (outcome.Reason, time.Duration) {
	switch {
	case w.Deadline <= m.now:
		return outcome.ReasonDeadline, m.retryAfter(e)
	case e.limit.limited && e.limit.max <= 0:
		return outcome.ReasonConcurrency, maxRetryAfter
	case e.waiting >= e.maxQueue:
		return outcome.ReasonQueueFull, m.retryAfter(e)
	case m.queuedBytes+w.Bytes > m.options.MaxQueueBytes:
		return outcome.ReasonMemory, m.retryAfter(e)
	}
	if m.options.Policy == PolicyDeadline && e.class.waiting > 0 {
		wait, ahead := m.expectedWait(e, m.now)
		allowed := time.Duration(float64(w.Deadline-m.now)*m.options.WaitShare) - seconds(e.class.service.mean)
		if ahead > 0 && wait > allowed {
			return outcome.ReasonDeadline, min(max(wait-allowed, minRetryAfter), maxRetryAfter)
		}
	}
	if wait := e.limit.tokenWait(m.now); wait > 0 {
		return outcome.ReasonRateLimit, wait
	}
	return "", 0
}

// enqueue makes an item wait until a deadline.
func (m *Machine) enqueue(i *item, deadline time.Duration) {
	m.sequence++
	i.sequence = m.sequence
	i.asked = m.now
	i.expires = min(deadline, m.now+m.options.MaxQueueAge)
	m.deadlines.add(i)
	m.waiting++
	i.class.waiting++
	i.class.service.queued(m.now)
}

// statement makes the next statement of an open transaction wait for a slot.
func (m *Machine) statement(id ID, deadline time.Duration) {
	i := m.items[id]
	if i == nil || i.state != stateIdle {
		return
	}
	i.state = stateWaitingStatement
	m.enqueue(i, deadline)
	i.class.statements.push(i)
}

// statementEnd gives a slot back.
func (m *Machine) statementEnd(id ID) {
	i := m.items[id]
	switch {
	case i == nil:
	case i.state == stateRunning:
		m.releaseSlot(i)
		i.state = stateIdle
	case i.state == stateWrittenOff:
		i.state = stateIdle
	}
}

// OverdueAfter returns how long the running statement of a transaction may take
// before its answer counts as overdue; false when that is never so. If the server
// answers others then, the answer is most likely lost and the server's slot free:
// the slot can be written off.
func (m *Machine) OverdueAfter(id ID) (time.Duration, bool) {
	i := m.items[id]
	if i == nil || i.state != stateRunning || m.options.OverdueFactor <= 0 {
		return 0, false
	}
	return max(m.options.OverdueMin, seconds(m.options.OverdueFactor*i.class.service.mean)), true
}

// writeOff gives a slot back whose statement has not been answered. The time so far
// counts as service, so that a server that turned slow is not taken for one that
// loses answers.
func (m *Machine) writeOff(id ID) {
	i := m.items[id]
	if i == nil || i.state != stateRunning {
		return
	}
	m.releaseSlot(i)
	i.state = stateWrittenOff
}

// end ends a transaction in any state.
func (m *Machine) end(id ID) {
	i := m.items[id]
	if i == nil {
		return
	}
	switch i.state {
	case stateWaitingNew:
		m.unqueue(i, false)
	case stateWaitingStatement:
		m.unqueue(i, false)
		m.releaseConnection(i)
	case stateRunning:
		m.releaseSlot(i)
		m.releaseConnection(i)
	case stateIdle, stateWrittenOff:
		m.releaseConnection(i)
	}
	delete(m.items, id)
}

// refuse ends the wait of an item with an effect.
func (m *Machine) refuse(i *item, reason outcome.Reason, retry time.Duration) {
	open := i.state == stateWaitingStatement
	m.unqueue(i, false)
	if open {
		i.state = stateIdle
	} else {
		delete(m.items, i.work.ID)
	}
	m.effects = append(m.effects, Effect{
		Type: EffectRefuse, ID: i.work.ID, Reason: reason, RetryAfter: retry, Wait: m.now - i.asked,
	})
}

// unqueue takes a waiting item out of its queue.
func (m *Machine) unqueue(i *item, granted bool) {
	c := i.class
	m.deadlines.remove(i)
	m.waiting--
	c.waiting--
	if i.state == stateWaitingStatement {
		i.queue.remove(i)
	} else {
		i.entry.take(i, granted)
		c.update(i.entry)
		m.queuedBytes -= i.work.Bytes
	}
	if granted {
		c.service.granted(m.now, c.waiting > 0)
	} else if c.waiting == 0 {
		c.service.busy = false
	}
}

// grant gives a waiting item a slot, and a connection to new work.
func (m *Machine) grant(i *item, byFloor bool) {
	c := i.class
	i.charged = c.service.mean
	if i.state == stateWaitingNew {
		m.unqueue(i, true)
		c.virtual = max(c.virtual, i.entry.owner.tag)
		m.takeConnection(i)
	} else {
		m.unqueue(i, true)
	}
	i.state, i.granted, i.byFloor = stateRunning, m.now, byFloor
	m.usedSlots++
	m.slotsByRank[c.rank]++
	c.running++
	if byFloor {
		c.floorRunning++
	}
	c.tag += i.charged
	c.charge(i.entry.owner, i.charged)
	m.effects = append(m.effects, Effect{Type: EffectGrant, ID: i.work.ID, Wait: m.now - i.asked})
}

func (m *Machine) takeConnection(i *item) {
	m.usedConnections++
	m.connectionsByRank[i.class.rank]++
	i.class.connections++
	i.entry.limit.running++
	i.entry.limit.update()
}

func (m *Machine) releaseConnection(i *item) {
	m.usedConnections--
	m.connectionsByRank[i.class.rank]--
	i.class.connections--
	i.entry.limit.running--
	i.entry.limit.update()
}

func (m *Machine) releaseSlot(i *item) {
	c := i.class
	used := (m.now - i.granted).Seconds()
	m.usedSlots--
	m.slotsByRank[c.rank]--
	c.running--
	if i.byFloor {
		c.floorRunning--
	}
	c.slotSeconds += used
	c.service.ended(used)
	c.tag += used - i.charged
	c.charge(i.entry.owner, used-i.charged)
}
