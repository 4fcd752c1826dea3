package admission

import (
	"time"

	"egretroad/internal/catalogue"
)

// state is where a transaction stands.
type state uint8

const (
	stateWaitingNew       state = iota // wants a connection and a slot
	stateWaitingStatement              // has a connection, wants a slot
	stateRunning                       // has both
	stateIdle                          // has a connection
	stateWrittenOff                    // has a connection; its statement is not answered
)

// item is one transaction at the server.
type item struct {
	work     Work
	state    state
	class    *class
	entry    *entry
	caller   *caller // while it waits as new work
	sequence uint64  // order of arrival in its queue
	asked    time.Duration
	granted  time.Duration
	charged  float64 // slot seconds charged at the grant
	byFloor  bool    // the running statement uses the floor
	expires  time.Duration
	heapAt   int // place in the heap of deadlines
	next     *item
	previous *item
	queue    *fifo
}

func (i *item) before(o *item) bool { return i.expires < o.expires }
func (i *item) index() int          { return i.heapAt }
func (i *item) setIndex(at int)     { i.heapAt = at }

// fifo is a queue of items with removal from the middle in O(1).
type fifo struct {
	head, tail *item
}

func (q *fifo) push(i *item) {
	i.queue, i.next, i.previous = q, nil, q.tail
	if q.tail == nil {
		q.head = i
	} else {
		q.tail.next = i
	}
	q.tail = i
}

func (q *fifo) remove(i *item) {
	if i.previous == nil {
		q.head = i.next
	} else {
		i.previous.next = i.next
	}
	if i.next == nil {
		q.tail = i.previous
	} else {
		i.next.previous = i.previous
	}
	i.queue, i.next, i.previous = nil, nil, nil
}

// caller holds the new work of one caller under one entry.
type caller struct {
	name   string
	tag    float64 // start tag, in slot seconds
	heapAt int
	queue  fifo
}

func (c *caller) before(o *caller) bool {
	if c.tag != o.tag {
		return c.tag < o.tag
	}
	return c.queue.head.sequence < o.queue.head.sequence
}
func (c *caller) index() int      { return c.heapAt }
func (c *caller) setIndex(at int) { c.heapAt = at }

// owner keeps the slot time that an owner has used of a kind.
type owner struct {
	tag     float64 // start tag, in slot seconds
	entries []*entry
}

// entry is the queue of one catalogue entry within a class.
type entry struct {
	name       string
	class      *class
	owner      *owner
	limit      *limit
	maxQueue   int
	waiting    int // new work
	heapAt     int
	virtual    float64 // tag of the caller served last
	callers    indexHeap[*caller]
	byName     map[string]*caller
	configured bool
}

func (e *entry) before(o *entry) bool {
	if e.owner.tag != o.owner.tag {
		return e.owner.tag < o.owner.tag
	}
	return e.name < o.name
}
func (e *entry) index() int      { return e.heapAt }
func (e *entry) setIndex(at int) { e.heapAt = at }

// head returns the entry's next new work; there must be some.
func (e *entry) head() *item { return e.callers.top().queue.head }

// push queues new work.
func (e *entry) push(i *item) {
	c, known := e.byName[i.work.Caller]
	if !known {
		c = &caller{name: i.work.Caller, tag: e.virtual, heapAt: notInHeap}
		e.byName[c.name] = c
	}
	i.caller = c
	c.queue.push(i)
	e.callers.add(c)
	e.waiting++
}

// take removes new work from the queue, granted or not.
func (e *entry) take(i *item, granted bool) {
	c := i.caller
	i.caller = nil
	c.queue.remove(i)
	e.waiting--
	if granted {
		e.virtual = c.tag
		c.tag += i.charged
	}
	if c.queue.head != nil {
		e.callers.fix(c)
		return
	}
	e.callers.remove(c)
	delete(e.byName, c.name)
}

// class is the work of one kind and rank.
type class struct {
	kind         string
	rank         catalogue.Rank
	tag          float64 // start tag among the classes of its rank, in slot seconds
	virtual      float64 // tag of the owner served last
	owners       map[string]*owner
	eligible     indexHeap[*entry] // entries with new work and below their limit
	statements   fifo              // statements of open transactions
	waiting      int               // statements and new work
	running      int               // statements
	floorRunning int               // of these, those that use the floor
	connections  int               // transactions that have a connection
	slotSeconds  float64           // used by ended statements
	floor        floor
	service      serviceTime
	codel        codel
}

// backlogged reports whether the class has work that could be granted.
func (c *class) backlogged() bool { return c.statements.head != nil || c.eligible.len() > 0 }

// active reports whether the class has work.
func (c *class) active() bool { return c.waiting > 0 || c.running > 0 }

// charge adds slot seconds to an owner's tag.
func (c *class) charge(o *owner, seconds float64) {
	o.tag += seconds
	for _, e := range o.entries {
		c.eligible.fix(e)
	}
}

// update puts the entry into the heap of eligible entries or takes it out.
func (c *class) update(e *entry) {
	if e.waiting == 0 || e.limit.full() {
		c.eligible.remove(e)
		return
	}
	if e.heapAt == notInHeap {
		if e.owner.tag < c.virtual {
			c.charge(e.owner, c.virtual-e.owner.tag)
		}
		c.eligible.add(e)
	}
}
