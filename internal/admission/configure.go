package admission

import (
	"slices"
	"strings"

	"egretroad/internal/catalogue"
)

// configure applies a new Config. Queued and running work is not affected.
func (m *Machine) configure(config *Config) {
	m.serverSize.slots = config.Slots
	m.serverSize.connectionLimit = config.ConnectionLimit
	for _, c := range m.classes {
		c.floor.share = 0
	}
	for _, e := range m.entryQueues {
		e.configured = false
	}
	for _, ec := range config.Entries {
		m.configureEntry(ec)
	}
	m.removeUnused()
	m.updateUrgentRanks()
}

func (m *Machine) configureEntry(ec EntryConfig) {
	l := m.limitFor(ec.Entry)
	l.limited, l.max = ec.Limited, ec.MaxConcurrent
	l.setRate(ec.RatePerSecond, m.now)
	e := m.entryQueues[ec.Entry]
	if e == nil || e.class.kind != ec.Kind || e.class.rank != ec.Rank {
		e = m.addEntryQueue(ec.Entry, ec.Kind, ec.Owner, ec.Rank)
	}
	e.configured = true
	e.maxQueue = ec.MaxQueue
	if e.maxQueue <= 0 {
		e.maxQueue = m.options.DefaultQueueLength
	}
	e.class.floor.share = max(e.class.floor.share, ec.Floor)
	e.class.updateEligibility(e)
}

// entryQueueFor returns the queue for new work. Work of an entry that is not in the
// current Config is served without limits.
func (m *Machine) entryQueueFor(w Work) *entryQueue {
	if e, ok := m.entryQueues[w.Entry]; ok {
		return e
	}
	e := m.addEntryQueue(w.Entry, w.Kind, w.Owner, w.Rank)
	e.maxQueue = m.options.DefaultQueueLength
	m.updateUrgentRanks()
	return e
}

// addEntryQueue adds a queue. It replaces a queue of the same name, which still
// drains the work that it holds.
func (m *Machine) addEntryQueue(name, kind, ownerName string, rank catalogue.Rank) *entryQueue {
	c := m.classFor(kind, rank)
	o, ok := c.owners[ownerName]
	if !ok {
		o = &owner{startTag: c.virtualTime}
		c.owners[ownerName] = o
	}
	e := &entryQueue{
		name: name, class: c, owner: o, limit: m.limitFor(name),
		heapIndex: notInHeap, callersByName: make(map[string]*callerQueue),
	}
	o.entries = append(o.entries, e)
	e.limit.queues = append(e.limit.queues, e)
	m.entryQueues[name] = e
	return e
}

func (m *Machine) limitFor(name string) *entryLimit {
	l, ok := m.limits[name]
	if !ok {
		l = &entryLimit{refilled: m.now}
		m.limits[name] = l
	}
	return l
}

func (m *Machine) classFor(kind string, rank catalogue.Rank) *class {
	rank = min(max(rank, catalogue.RankOrders), catalogue.RankReports)
	for _, c := range m.classes {
		if c.kind == kind && c.rank == rank {
			return c
		}
	}
	c := &class{kind: kind, rank: rank, owners: make(map[string]*owner)}
	c.service.mean = m.options.InitialServiceTime.Seconds()
	m.classes = append(m.classes, c)
	slices.SortFunc(m.classes, func(a, b *class) int {
		if a.rank != b.rank {
			return int(a.rank - b.rank)
		}
		return strings.Compare(a.kind, b.kind)
	})
	return c
}

// removeUnused deletes entry queues and classes that have no work and are not in
// the current Config.
func (m *Machine) removeUnused() {
	for name, e := range m.entryQueues {
		l := m.limits[name]
		if !e.configured && e.waiting == 0 && l.running == 0 {
			delete(m.entryQueues, name)
			delete(m.limits, name)
		}
		l.queues = slices.DeleteFunc(l.queues, func(q *entryQueue) bool { return q != e && q.waiting == 0 })
	}
	m.classes = slices.DeleteFunc(m.classes, func(c *class) bool {
		return !c.active() && c.connections == 0 && !m.classInUse(c)
	})
}

func (m *Machine) classInUse(c *class) bool {
	for _, e := range m.entryQueues {
		if e.class == c {
			return true
		}
	}
	return false
}

// updateUrgentRanks counts, for each rank, the more urgent ranks that have a class.
func (m *Machine) updateUrgentRanks() {
	var present [rankCount]bool
	for _, c := range m.classes {
		present[c.rank] = true
	}
	urgent := 0
	for r := 0; r < rankCount; r++ {
		m.serverSize.urgentRanks[r] = urgent
		if present[r] {
			urgent++
		}
	}
}
