package admission

import "egretroad/internal/outcome"

// dispatch grants queued work until no more can run.
func (m *Machine) dispatch() {
	for m.waiting > 0 && m.usedSlots < m.serverSize.slots {
		tx, byFloor := m.selectNext()
		if tx == nil {
			return
		}
		if m.missesDeadline(tx) || m.droppedByCoDel(tx) {
			m.refuse(tx, outcome.ReasonDeadline, m.retryAfter(tx.entryQueue))
			continue
		}
		m.grant(tx, byFloor)
	}
}

// missesDeadline reports whether new work is expected to reach its deadline before
// it completes. If nothing of its kind is running, the work is run anyway, so that
// the service time is measured again.
func (m *Machine) missesDeadline(tx *transaction) bool {
	if m.options.Policy != PolicyDeadline || tx.state != stateWaitingNew || tx.class.running == 0 {
		return false
	}
	return tx.expiresAt-m.now < toDuration(tx.class.service.mean)
}

// droppedByCoDel applies PolicyCoDel to new work at the head of its queue.
func (m *Machine) droppedByCoDel(tx *transaction) bool {
	if m.options.Policy != PolicyCoDel || tx.state != stateWaitingNew {
		return false
	}
	return tx.class.codel.shouldDrop(m.now, m.now-tx.enqueuedAt, m.options.CoDelTarget, m.options.CoDelInterval)
}

// selectNext returns the next transaction to grant, and whether the grant is charged
// to its kind's floor.
func (m *Machine) selectNext() (*transaction, bool) {
	switch m.options.Order {
	case OrderArrival:
		return m.selectByArrival(), false
	case OrderFloorsThenRank:
		if tx := m.selectByFloor(); tx != nil {
			return tx, true
		}
	}
	return m.selectByRank(), false
}

// selectByFloor returns the next transaction of the kind that has been owed its
// floor the longest, at least Options.FloorGrace.
func (m *Machine) selectByFloor() *transaction {
	longestOwed := m.options.FloorGrace.Seconds()
	var best *transaction
	for _, c := range m.classes {
		owed := c.floor.owedSeconds(m.serverSize.slots)
		if owed <= longestOwed {
			continue
		}
		if tx := m.selectInClass(c); tx != nil {
			longestOwed, best = owed, tx
		}
	}
	return best
}

// selectByRank returns the next transaction of the most urgent rank that can run.
func (m *Machine) selectByRank() *transaction {
	for at := 0; at < len(m.classes); {
		end := at
		for end < len(m.classes) && m.classes[end].rank == m.classes[at].rank {
			end++
		}
		if tx := m.selectInRank(m.classes[at:end]); tx != nil {
			return tx
		}
		at = end
	}
	return nil
}

// selectInRank selects among the classes of one rank: statements of open
// transactions by arrival, then new work of the class with the least slot time.
func (m *Machine) selectInRank(classes []*class) *transaction {
	if !m.canTakeSlot(classes[0]) {
		return nil
	}
	var oldest *transaction
	for _, c := range classes {
		if tx := c.statements.head; tx != nil && (oldest == nil || tx.sequence < oldest.sequence) {
			oldest = tx
		}
	}
	if oldest != nil {
		return oldest
	}
	var best *class
	for _, c := range classes {
		if c.eligible.len() == 0 || !m.canTakeConnection(c) {
			continue
		}
		if best == nil || c.startTag < best.startTag {
			best = c
		}
	}
	if best == nil {
		return nil
	}
	m.raiseIdleTags(classes, best.startTag)
	return best.eligible.top().head()
}

// raiseIdleTags raises the start tags of idle classes, so that a class does not
// accumulate unused service while it has no work.
func (m *Machine) raiseIdleTags(classes []*class, tag float64) {
	for _, c := range classes {
		if !c.active() {
			c.startTag = max(c.startTag, tag)
		}
	}
}

// selectInClass returns the next transaction of a class that can run, or nil.
func (m *Machine) selectInClass(c *class) *transaction {
	if !c.hasGrantable() || !m.canTakeSlot(c) {
		return nil
	}
	if tx := c.statements.head; tx != nil {
		return tx
	}
	if !m.canTakeConnection(c) {
		return nil
	}
	return c.eligible.top().head()
}

// selectByArrival returns the transaction that arrived first, for OrderArrival.
// Callers of one entry are still served by fair queueing.
func (m *Machine) selectByArrival() *transaction {
	var best *transaction
	for _, c := range m.classes {
		for _, e := range c.eligible.nodes {
			if tx := e.head(); m.canTakeConnection(c) && (best == nil || tx.sequence < best.sequence) {
				best = tx
			}
		}
		if tx := c.statements.head; tx != nil && (best == nil || tx.sequence < best.sequence) {
			best = tx
		}
	}
	return best
}
