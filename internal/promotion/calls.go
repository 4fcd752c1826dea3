package promotion

import (
	"time"

	"egretroad/internal/topology"
)

// endingCalls are the calls of a promotion that this VM has made. Points in time are on the
// clock of reducer.Tick.
type endingCalls struct {
	designation topology.Designation
	endAt       time.Duration // when no call can take effect any more
	record      bool          // the end is to be recorded in the store
	inFlight    bool
	nextAttempt time.Duration
}

// callsMayBePending reports whether calls for the designated server of a group may still
// take effect. If another server were promoted meanwhile, a late call would replace it
// without any VM knowing.
func (m *Machine) callsMayBePending(g *topology.Group) bool {
	h := m.histories[g.Database]
	return g.Designation.Token != 0 && !g.Designation.CallsEnded && !m.endedHere(g.Database, g.Designation.Token) &&
		!h.callsEnded && !m.leadsForLong(h)
}

// endedHere reports whether this VM has made the calls of a designation and they have ended.
func (m *Machine) endedHere(database string, token uint64) bool {
	calls, made := m.ending[database]
	return made && calls.designation.Token == token && m.now >= calls.endAt
}

// leadsForLong reports whether the designated server has been registered as primary for
// CallsLimit.
func (m *Machine) leadsForLong(h history) bool {
	return h.leadsSince != 0 && m.now-h.leadsSince >= m.options.CallsLimit
}

// endedToken returns the token of a group's designation if its calls have ended; otherwise 0.
func (m *Machine) endedToken(database string) uint64 {
	g := m.snapshot.Groups[database]
	if g == nil || m.callsMayBePending(g) {
		return 0
	}
	return g.Designation.Token
}

// endCalls notes that this VM makes no further call for an attempt.
func (m *Machine) endCalls(a *attempt, record bool) {
	endAt := m.now
	if a.unanswered {
		endAt = m.now + m.options.LateCallLimit
	}
	m.ending[a.call.Database] = endingCalls{
		designation: a.designation(), endAt: max(endAt, a.callsPendingUntil), record: record,
	}
}

// recordEndedCalls records ended calls in the store, so that the next promotion need not
// wait for them.
func (m *Machine) recordEndedCalls() {
	for database, calls := range m.ending {
		if m.snapshot.Groups[database] == nil {
			delete(m.ending, database)
			continue
		}
		if !calls.record || calls.inFlight || m.now < max(calls.endAt, calls.nextAttempt) {
			continue
		}
		calls.inFlight = true
		m.ending[database] = calls
		m.emit(RecordCallsEnded{Database: database, Designation: calls.designation})
	}
}

func (m *Machine) handleCallsEndRecorded(e CallsEndRecorded) {
	calls, known := m.ending[e.Database]
	if !known || calls.designation.Token != e.Token {
		return
	}
	calls.inFlight, calls.record, calls.nextAttempt = false, e.Err != nil, m.now+m.options.RecordRetryDelay
	m.ending[e.Database] = calls
	m.log("promotion_calls_ended", "database", e.Database, "server", calls.designation.Server, "token", e.Token, "error", e.Err)
}
