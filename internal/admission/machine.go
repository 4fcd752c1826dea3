package admission

import (
	"time"

	"egretroad/internal/outcome"
)

// Machine is the admission state machine of one server. It is not safe for
// concurrent use.
type Machine struct {
	options           Options
	serverSize        serverSize
	connections       int // open and usable
	usedConnections   int
	usedSlots         int
	connectionsByRank rankCounts
	slotsByRank       rankCounts
	classes           []*class // sorted by rank, then kind
	entryQueues       map[string]*entryQueue
	limits            map[string]*entryLimit
	transactions      map[ID]*transaction
	deadlines         indexHeap[*transaction]
	waiting           int
	queuedBytes       int
	sequence          uint64
	now               time.Duration
	effects           []Effect
}

// New returns a machine without slots. An EventConfigure sets its capacity.
func New(options Options) *Machine {
	return &Machine{
		options:      options,
		entryQueues:  make(map[string]*entryQueue),
		limits:       make(map[string]*entryLimit),
		transactions: make(map[ID]*transaction),
	}
}

// Step processes an event and returns the resulting effects, in order. The slice is
// valid until the next call. An event for an unknown ID, or one that is not valid in
// the transaction's state, only advances the time.
func (m *Machine) Step(e Event) []Effect {
	m.effects = m.effects[:0]
	m.advanceTime(e.Now)
	m.refuseExpired()
	switch e.Type {
	case EventTick:
	case EventOffer:
		m.offer(e.Work)
	case EventStatement:
		m.queueStatement(e.ID, e.Deadline)
	case EventStatementEnd:
		m.endStatement(e.ID)
	case EventEnd:
		m.endTransaction(e.ID)
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

// NextDeadline returns the earliest time at which queued work expires, or false if
// no work is queued.
func (m *Machine) NextDeadline() (time.Duration, bool) {
	if m.deadlines.len() == 0 {
		return 0, false
	}
	return m.deadlines.top().expiresAt, true
}

// ConnectionDemand returns how many connections are in use, and how many more the
// queued new work could use immediately.
func (m *Machine) ConnectionDemand() (used, wanted int) {
	for _, c := range m.classes {
		wanted += min(c.eligible.len(), m.serverSize.slots)
	}
	return m.usedConnections, min(wanted, m.serverSize.slots)
}

// Waiting returns the number of queued transactions and statements.
func (m *Machine) Waiting() int { return m.waiting }

// advanceTime advances the time and the floors' credits.
func (m *Machine) advanceTime(now time.Duration) {
	if now <= m.now {
		return
	}
	for _, c := range m.classes {
		c.accrueFloorCredit(now-m.now, m.serverSize.slots, m.options.CreditWindow)
	}
	m.now = now
}

// refuseExpired refuses queued work that has reached its deadline.
func (m *Machine) refuseExpired() {
	for m.deadlines.len() > 0 {
		tx := m.deadlines.top()
		if tx.expiresAt > m.now {
			return
		}
		m.refuse(tx, outcome.ReasonDeadline, m.retryAfter(tx.entryQueue))
	}
}

// retryAfter returns the retry hint for refused work.
func (m *Machine) retryAfter(e *entryQueue) time.Duration {
	wait, _ := m.expectedWait(e, m.now)
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// Bounds of the retry hint.
const (
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// offer queues or refuses new work.
func (m *Machine) offer(w Work) {
	if _, ok := m.transactions[w.ID]; ok {
		return
	}
	e := m.entryQueueFor(w)
	if reason, retry := m.refusalReason(e, w); reason != "" {
		m.effects = append(m.effects, Effect{Type: EffectRefuse, ID: w.ID, Reason: reason, RetryAfter: retry})
		return
	}
	e.limit.takeToken()
	tx := &transaction{work: w, class: e.class, entryQueue: e, heapIndex: notInHeap}
	m.transactions[w.ID] = tx
	m.enqueue(tx, w.Deadline)
	e.push(tx)
	e.class.updateEligibility(e)
	m.queuedBytes += w.Bytes
}

// refusalReason returns why new work cannot be queued and a retry hint, or "".
func (m *Machine) refusalReason(e *entryQueue, w Work) (outcome.Reason, time.Duration) {
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
		allowed := time.Duration(float64(w.Deadline-m.now)*m.options.WaitShare) - toDuration(e.class.service.mean)
		if ahead > 0 && wait > allowed {
			return outcome.ReasonDeadline, min(max(wait-allowed, minRetryAfter), maxRetryAfter)
		}
	}
	if wait := e.limit.tokenWait(m.now); wait > 0 {
		return outcome.ReasonRateLimit, wait
	}
	return "", 0
}

// enqueue records a transaction as waiting until a deadline.
func (m *Machine) enqueue(tx *transaction, deadline time.Duration) {
	m.sequence++
	tx.sequence = m.sequence
	tx.enqueuedAt = m.now
	tx.expiresAt = min(deadline, m.now+m.options.MaxQueueAge)
	m.deadlines.add(tx)
	m.waiting++
	tx.class.waiting++
	tx.class.service.recordQueued(m.now)
}

// queueStatement queues the next statement of an open transaction for a slot.
func (m *Machine) queueStatement(id ID, deadline time.Duration) {
	tx := m.transactions[id]
	if tx == nil || tx.state != stateIdle {
		return
	}
	tx.state = stateWaitingStatement
	m.enqueue(tx, deadline)
	tx.class.statements.push(tx)
}

// endStatement releases the slot of a statement that ended.
func (m *Machine) endStatement(id ID) {
	tx := m.transactions[id]
	switch {
	case tx == nil:
	case tx.state == stateRunning:
		m.releaseSlot(tx)
		tx.state = stateIdle
	case tx.state == stateWrittenOff:
		tx.state = stateIdle
	}
}

// OverdueAfter returns how long the running statement of a transaction may take
// before it is overdue, or false if it is never overdue. If the server has answered
// other statements by then, the answer is most likely lost and the slot is free on
// the server, so the caller of OverdueAfter can write the slot off.
func (m *Machine) OverdueAfter(id ID) (time.Duration, bool) {
	tx := m.transactions[id]
	if tx == nil || tx.state != stateRunning || m.options.OverdueFactor <= 0 {
		return 0, false
	}
	return max(m.options.OverdueMin, toDuration(m.options.OverdueFactor*tx.class.service.mean)), true
}

// writeOff releases the slot of an unanswered statement. The elapsed time counts as
// service time and raises the overdue threshold, so that a server that became slow
// is not mistaken for one that loses answers.
func (m *Machine) writeOff(id ID) {
	tx := m.transactions[id]
	if tx == nil || tx.state != stateRunning {
		return
	}
	m.releaseSlot(tx)
	tx.state = stateWrittenOff
}

// endTransaction ends a transaction in any state.
func (m *Machine) endTransaction(id ID) {
	tx := m.transactions[id]
	if tx == nil {
		return
	}
	switch tx.state {
	case stateWaitingNew:
		m.dequeue(tx, false)
	case stateWaitingStatement:
		m.dequeue(tx, false)
		m.releaseConnection(tx)
	case stateRunning:
		m.releaseSlot(tx)
		m.releaseConnection(tx)
	case stateIdle, stateWrittenOff:
		m.releaseConnection(tx)
	}
	delete(m.transactions, id)
}

// refuse removes a transaction from its queue and emits an EffectRefuse.
func (m *Machine) refuse(tx *transaction, reason outcome.Reason, retry time.Duration) {
	open := tx.state == stateWaitingStatement
	m.dequeue(tx, false)
	if open {
		tx.state = stateIdle
	} else {
		delete(m.transactions, tx.work.ID)
	}
	m.effects = append(m.effects, Effect{
		Type: EffectRefuse, ID: tx.work.ID, Reason: reason, RetryAfter: retry, Wait: m.now - tx.enqueuedAt,
	})
}

// dequeue removes a waiting transaction from its queue.
func (m *Machine) dequeue(tx *transaction, granted bool) {
	c := tx.class
	m.deadlines.remove(tx)
	m.waiting--
	c.waiting--
	if tx.state == stateWaitingStatement {
		tx.fifo.remove(tx)
	} else {
		tx.entryQueue.remove(tx, granted)
		c.updateEligibility(tx.entryQueue)
		m.queuedBytes -= tx.work.Bytes
	}
	if granted {
		c.service.recordGrant(m.now, c.waiting > 0)
	} else if c.waiting == 0 {
		c.service.backlogged = false
	}
}

// grant gives a waiting transaction a slot, and for new work also a connection.
func (m *Machine) grant(tx *transaction, byFloor bool) {
	c := tx.class
	tx.chargedSeconds = c.service.mean
	if tx.state == stateWaitingNew {
		m.dequeue(tx, true)
		c.virtualTime = max(c.virtualTime, tx.entryQueue.owner.startTag)
		m.takeConnection(tx)
	} else {
		m.dequeue(tx, true)
	}
	tx.state, tx.grantedAt, tx.usesFloor = stateRunning, m.now, byFloor
	m.usedSlots++
	m.slotsByRank[c.rank]++
	c.running++
	if byFloor {
		c.floorRunning++
	}
	c.startTag += tx.chargedSeconds
	c.chargeOwner(tx.entryQueue.owner, tx.chargedSeconds)
	m.effects = append(m.effects, Effect{Type: EffectGrant, ID: tx.work.ID, Wait: m.now - tx.enqueuedAt})
}

func (m *Machine) takeConnection(tx *transaction) {
	m.usedConnections++
	m.connectionsByRank[tx.class.rank]++
	tx.class.connections++
	tx.entryQueue.limit.running++
	tx.entryQueue.limit.updateQueues()
}

func (m *Machine) releaseConnection(tx *transaction) {
	m.usedConnections--
	m.connectionsByRank[tx.class.rank]--
	tx.class.connections--
	tx.entryQueue.limit.running--
	tx.entryQueue.limit.updateQueues()
}

func (m *Machine) releaseSlot(tx *transaction) {
	c := tx.class
	used := (m.now - tx.grantedAt).Seconds()
	m.usedSlots--
	m.slotsByRank[c.rank]--
	c.running--
	if tx.usesFloor {
		c.floorRunning--
	}
	c.slotSeconds += used
	c.service.recordService(used)
	c.startTag += used - tx.chargedSeconds
	c.chargeOwner(tx.entryQueue.owner, used-tx.chargedSeconds)
}
