package admission

import "egretroad/internal/outcome"

// dispatch grants work until nothing more fits.
func (m *Machine) dispatch() {
	for m.waiting > 0 && m.usedSlots < m.size.slots {
		i, byFloor := m.choose()
		if i == nil {
			return
		}
		if m.tooLate(i) || m.dropsAtHead(i) {
			m.refuse(i, outcome.ReasonDeadline, m.retryAfter(i.entry))
			continue
		}
		m.grant(i, byFloor)
	}
}

// tooLate reports whether new work would likely be cancelled at its deadline
// before it is done. A kind of which nothing runs is tried all the same, so that
// its service time is measured anew.
func (m *Machine) tooLate(i *item) bool {
	if m.options.Policy != PolicyDeadline || i.state != stateWaitingNew || i.class.running == 0 {
		return false
	}
	return i.expires-m.now < seconds(i.class.service.mean)
}

// dropsAtHead applies PolicyCoDel to new work.
func (m *Machine) dropsAtHead(i *item) bool {
	if m.options.Policy != PolicyCoDel || i.state != stateWaitingNew {
		return false
	}
	return i.class.codel.drop(m.now, m.now-i.asked, m.options.CoDelTarget, m.options.CoDelInterval)
}

// choose returns the next item to grant, and whether it uses its kind's floor.
func (m *Machine) choose() (*item, bool) {
	switch m.options.Order {
	case OrderArrival:
		return m.earliest(), false
	case OrderFloorsThenRank:
		if i := m.mostOwed(); i != nil {
			return i, true
		}
	}
	return m.byRank(), false
}

// mostOwed returns the next item of the kind that has waited longest for its floor.
func (m *Machine) mostOwed() *item {
	longest := m.options.FloorGrace.Seconds()
	var best *item
	for _, c := range m.classes {
		owed := c.floor.owedFor(m.size.slots)
		if owed <= longest {
			continue
		}
		if i := m.first(c); i != nil {
			longest, best = owed, i
		}
	}
	return best
}

// byRank returns the next item of the most urgent rank that can run.
func (m *Machine) byRank() *item {
	for at := 0; at < len(m.classes); {
		end := at
		for end < len(m.classes) && m.classes[end].rank == m.classes[at].rank {
			end++
		}
		if i := m.inRank(m.classes[at:end]); i != nil {
			return i
		}
		at = end
	}
	return nil
}

// inRank chooses between the classes of one rank: statements of open
// transactions by arrival, then new work of the class that used least.
func (m *Machine) inRank(classes []*class) *item {
	if !m.hasSlot(classes[0]) {
		return nil
	}
	var oldest *item
	for _, c := range classes {
		if i := c.statements.head; i != nil && (oldest == nil || i.sequence < oldest.sequence) {
			oldest = i
		}
	}
	if oldest != nil {
		return oldest
	}
	var best *class
	for _, c := range classes {
		if c.eligible.len() == 0 || !m.hasConnection(c) {
			continue
		}
		if best == nil || c.tag < best.tag {
			best = c
		}
	}
	if best == nil {
		return nil
	}
	m.levelTags(classes, best.tag)
	return best.eligible.top().head()
}

// levelTags lets no class save up service while it has no work.
func (m *Machine) levelTags(classes []*class, tag float64) {
	for _, c := range classes {
		if !c.active() {
			c.tag = max(c.tag, tag)
		}
	}
}

// first returns the class's next item that fits, or nil.
func (m *Machine) first(c *class) *item {
	if !c.backlogged() || !m.hasSlot(c) {
		return nil
	}
	if i := c.statements.head; i != nil {
		return i
	}
	if !m.hasConnection(c) {
		return nil
	}
	return c.eligible.top().head()
}

// earliest returns the item that arrived first, for OrderArrival. Between the
// callers of an entry the order is that of their own queues.
func (m *Machine) earliest() *item {
	var best *item
	for _, c := range m.classes {
		for _, e := range c.eligible.nodes {
			if i := e.head(); m.hasConnection(c) && (best == nil || i.sequence < best.sequence) {
				best = i
			}
		}
		if i := c.statements.head; i != nil && (best == nil || i.sequence < best.sequence) {
			best = i
		}
	}
	return best
}
