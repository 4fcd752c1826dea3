package admission

import (
	"time"

	"egretroad/internal/catalogue"
)

// state is the state of a transaction.
type state uint8

const (
	stateWaitingNew       state = iota // waits for a connection and a slot
	stateWaitingStatement              // has a connection, waits for a slot
	stateRunning                       // has a connection and a slot
	stateIdle                          // has a connection
	stateWrittenOff                    // has a connection; its statement is unanswered and its slot released
)

// transaction is a transaction that is queued or open at the server.
type transaction struct {
	work           Work
	state          state
	class          *class
	entryQueue     *entryQueue
	callerQueue    *callerQueue // in stateWaitingNew only
	sequence       uint64       // order of arrival over all queues
	enqueuedAt     time.Duration
	grantedAt      time.Duration
	chargedSeconds float64 // estimated slot time charged at the grant; corrected when the slot is released
	usesFloor      bool    // the running statement is charged to the floor
	expiresAt      time.Duration
	heapIndex      int // in Machine.deadlines
	next           *transaction
	previous       *transaction
	fifo           *fifo
}

func (tx *transaction) less(o *transaction) bool { return tx.expiresAt < o.expiresAt }
func (tx *transaction) index() int               { return tx.heapIndex }
func (tx *transaction) setIndex(at int)          { tx.heapIndex = at }

// fifo is a doubly linked queue of transactions that can remove any of them in O(1).
type fifo struct {
	head, tail *transaction
}

func (q *fifo) push(tx *transaction) {
	tx.fifo, tx.next, tx.previous = q, nil, q.tail
	if q.tail == nil {
		q.head = tx
	} else {
		q.tail.next = tx
	}
	q.tail = tx
}

func (q *fifo) remove(tx *transaction) {
	if tx.previous == nil {
		q.head = tx.next
	} else {
		tx.previous.next = tx.next
	}
	if tx.next == nil {
		q.tail = tx.previous
	} else {
		tx.next.previous = tx.previous
	}
	tx.fifo, tx.next, tx.previous = nil, nil, nil
}

// callerQueue holds the new work of one caller in an entry's queue.
type callerQueue struct {
	name         string
	startTag     float64 // in slot seconds
	heapIndex    int
	transactions fifo
}

func (c *callerQueue) less(o *callerQueue) bool {
	if c.startTag != o.startTag {
		return c.startTag < o.startTag
	}
	return c.transactions.head.sequence < o.transactions.head.sequence
}
func (c *callerQueue) index() int      { return c.heapIndex }
func (c *callerQueue) setIndex(at int) { c.heapIndex = at }

// owner tracks the slot time that one owner has used in a class.
type owner struct {
	startTag float64 // in slot seconds
	entries  []*entryQueue
}

// entryQueue holds the new work of one catalogue entry within a class.
type entryQueue struct {
	name          string
	class         *class
	owner         *owner
	limit         *entryLimit
	maxQueue      int
	waiting       int // queued new work
	heapIndex     int
	virtualTime   float64 // start tag of the caller served last
	callers       indexHeap[*callerQueue]
	callersByName map[string]*callerQueue
	configured    bool
}

func (e *entryQueue) less(o *entryQueue) bool {
	if e.owner.startTag != o.owner.startTag {
		return e.owner.startTag < o.owner.startTag
	}
	return e.name < o.name
}
func (e *entryQueue) index() int      { return e.heapIndex }
func (e *entryQueue) setIndex(at int) { e.heapIndex = at }

// head returns the next transaction; the queue must not be empty.
func (e *entryQueue) head() *transaction { return e.callers.top().transactions.head }

// push adds new work to its caller's queue.
func (e *entryQueue) push(tx *transaction) {
	c, ok := e.callersByName[tx.work.Caller]
	if !ok {
		c = &callerQueue{name: tx.work.Caller, startTag: e.virtualTime, heapIndex: notInHeap}
		e.callersByName[c.name] = c
	}
	tx.callerQueue = c
	c.transactions.push(tx)
	e.callers.add(c)
	e.waiting++
}

// remove takes new work out of the queue. If it was granted, its caller is charged.
func (e *entryQueue) remove(tx *transaction, granted bool) {
	c := tx.callerQueue
	tx.callerQueue = nil
	c.transactions.remove(tx)
	e.waiting--
	if granted {
		e.virtualTime = c.startTag
		c.startTag += tx.chargedSeconds
	}
	if c.transactions.head != nil {
		e.callers.fix(c)
		return
	}
	e.callers.remove(c)
	delete(e.callersByName, c.name)
}

// class is a scheduling class: the work of one kind and rank. Fair queueing between
// classes, owners and callers uses start tags (start-time fair queueing).
type class struct {
	kind         string
	rank         catalogue.Rank
	startTag     float64 // among the classes of its rank, in slot seconds
	virtualTime  float64 // start tag of the owner served last
	owners       map[string]*owner
	eligible     indexHeap[*entryQueue] // entries with new work that are below their concurrency limit
	statements   fifo                   // queued statements of open transactions
	waiting      int                    // queued statements and new work
	running      int                    // running statements
	floorRunning int                    // running statements charged to the floor
	connections  int                    // transactions that hold a connection
	slotSeconds  float64                // used by completed statements
	floor        floor
	service      serviceStats
	codel        codel
}

// hasGrantable reports whether the class has work that its entries' limits allow.
func (c *class) hasGrantable() bool { return c.statements.head != nil || c.eligible.len() > 0 }

// active reports whether the class has queued or running work.
func (c *class) active() bool { return c.waiting > 0 || c.running > 0 }

// chargeOwner adds slot seconds to an owner's start tag.
func (c *class) chargeOwner(o *owner, seconds float64) {
	o.startTag += seconds
	for _, e := range o.entries {
		c.eligible.fix(e)
	}
}

// updateEligibility adds the entry to the heap of eligible entries or removes it. An
// owner behind the class's virtual time is raised to it first, so that it does not
// accumulate unused service while it has no work.
func (c *class) updateEligibility(e *entryQueue) {
	if e.waiting == 0 || e.limit.full() {
		c.eligible.remove(e)
		return
	}
	if e.heapIndex == notInHeap {
		if e.owner.startTag < c.virtualTime {
			c.chargeOwner(e.owner, c.virtualTime-e.owner.startTag)
		}
		c.eligible.add(e)
	}
}
