package admission

import (
	"slices"
	"strings"

	"egretroad/internal/catalogue"
)

// configure takes over a new Config. Waiting and running work stays.
func (m *Machine) configure(config *Config) {
	m.size.slots = config.Slots
	m.size.connectionLimit = config.ConnectionLimit
	for _, c := range m.classes {
		c.floor.share = 0
	}
	for _, e := range m.entries {
		e.configured = false
	}
	for _, ec := range config.Entries {
		m.configureEntry(ec)
	}
	m.removeUnused()
	m.countUrgentRanks()
}

func (m *Machine) configureEntry(ec EntryConfig) {
	l := m.limitOf(ec.Entry)
	l.limited, l.max = ec.Limited, ec.MaxConcurrent
	l.setRate(ec.RatePerSecond, m.now)
	e := m.entries[ec.Entry]
	if e == nil || e.class.kind != ec.Kind || e.class.rank != ec.Rank {
		e = m.addEntry(ec.Entry, ec.Kind, ec.Owner, ec.Rank)
	}
	e.configured = true
	e.maxQueue = ec.MaxQueue
	if e.maxQueue <= 0 {
		e.maxQueue = m.options.DefaultQueueLength
	}
	e.class.floor.share = max(e.class.floor.share, ec.Floor)
	e.class.update(e)
}

// entryOf returns the queue of new work. Work of an entry that the newest Config
// lacks is served without limits.
func (m *Machine) entryOf(w Work) *entry {
	if e, known := m.entries[w.Entry]; known {
		return e
	}
	e := m.addEntry(w.Entry, w.Kind, w.Owner, w.Rank)
	e.maxQueue = m.options.DefaultQueueLength
	m.countUrgentRanks()
	return e
}

// addEntry makes a queue. A queue of the same name keeps its waiting work until
// that is done.
func (m *Machine) addEntry(name, kind, ownerName string, rank catalogue.Rank) *entry {
	c := m.classOf(kind, rank)
	o, known := c.owners[ownerName]
	if !known {
		o = &owner{tag: c.virtual}
		c.owners[ownerName] = o
	}
	e := &entry{
		name: name, class: c, owner: o, limit: m.limitOf(name),
		heapAt: notInHeap, byName: make(map[string]*caller),
	}
	o.entries = append(o.entries, e)
	e.limit.queues = append(e.limit.queues, e)
	m.entries[name] = e
	return e
}

func (m *Machine) limitOf(name string) *limit {
	l, known := m.limits[name]
	if !known {
		l = &limit{refilled: m.now}
		m.limits[name] = l
	}
	return l
}

func (m *Machine) classOf(kind string, rank catalogue.Rank) *class {
	rank = min(max(rank, catalogue.RankOrders), catalogue.RankReports)
	for _, c := range m.classes {
		if c.kind == kind && c.rank == rank {
			return c
		}
	}
	c := &class{kind: kind, rank: rank, owners: make(map[string]*owner)}
	c.service.mean = m.options.InitialService.Seconds()
	m.classes = append(m.classes, c)
	slices.SortFunc(m.classes, func(a, b *class) int {
		if a.rank != b.rank {
			return int(a.rank - b.rank)
		}
		return strings.Compare(a.kind, b.kind)
	})
	return c
}

// removeUnused forgets entries and classes that no Config and no work names.
func (m *Machine) removeUnused() {
	for name, e := range m.entries {
		l := m.limits[name]
		if !e.configured && e.waiting == 0 && l.running == 0 {
			delete(m.entries, name)
			delete(m.limits, name)
		}
		l.queues = slices.DeleteFunc(l.queues, func(q *entry) bool { return q != e && q.waiting == 0 })
	}
	m.classes = slices.DeleteFunc(m.classes, func(c *class) bool {
		return !c.active() && c.connections == 0 && !m.classInUse(c)
	})
}

func (m *Machine) classInUse(c *class) bool {
	for _, e := range m.entries {
		if e.class == c {
			return true
		}
	}
	return false
}

// countUrgentRanks notes for each rank how many of the server's ranks go first.
func (m *Machine) countUrgentRanks() {
	var present [ranks]bool
	for _, c := range m.classes {
		present[c.rank] = true
	}
	urgent := 0
	for r := 0; r < ranks; r++ {
		m.size.urgentRanks[r] = urgent
		if present[r] {
			urgent++
		}
	}
}
