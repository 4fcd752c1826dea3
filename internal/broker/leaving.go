package broker

import (
	"time"

	"egretroad/internal/clock"
	"egretroad/internal/topology"
)

// leavingTimes records since when servers have been leaving, for as long as the process runs:
// the time that a leaving primary may still be used must not begin anew when this VM becomes its
// home or stands in for it.
type leavingTimes map[string]leavingTime // by server ID

// leavingTime is what this VM has seen of a server's leave.
type leavingTime struct {
	born    int64 // of the server
	leaving bool
	since   time.Duration // on CLOCK_BOOTTIME; 0: it was leaving when this VM first saw it
	asked   int           // how often other VMs have been asked for it
}

// record records the states of all servers in a snapshot and forgets the other servers.
func (t leavingTimes) record(snapshot *topology.Snapshot, now time.Duration) {
	registered := map[string]bool{}
	for _, g := range snapshot.Groups {
		for _, s := range g.Servers {
			registered[s.ID] = true
			t.recordServer(s, now)
		}
	}
	for id := range t {
		if !registered[id] {
			delete(t, id)
		}
	}
}

func (t leavingTimes) recordServer(s topology.Server, now time.Duration) {
	old, known := t[s.ID]
	known = known && old.born == s.Born
	next := leavingTime{born: s.Born, leaving: s.State == topology.ServerLeaving}
	switch {
	case next.leaving && known && old.leaving:
		next.since, next.asked = old.since, old.asked
	case next.leaving && known:
		next.since = now
	}
	t[s.ID] = next
}

// maxLeavingQuestions is how often other VMs are asked since when a server has been leaving, once
// per round of maintenance.
const maxLeavingQuestions = 10

// unknownLeaves returns the leaving primaries that this VM serves and of which it does not know
// since when they have been leaving, and counts that other VMs are asked. The caller holds mu.
func (m *Manager) unknownLeaves() []topology.Server {
	var servers []topology.Server
	for id, s := range m.servers {
		t := m.leaving[id]
		if t.leaving && t.since == 0 && t.asked < maxLeavingQuestions && s.view.Load().primary {
			t.asked++
			m.leaving[id] = t
			servers = append(servers, s.view.Load().spec)
		}
	}
	return servers
}

func (m *Manager) setAskLeave(ask func(topology.Server)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.askLeave = ask
}

// leavingFor returns for how long a server has been leaving; false if this VM does not know.
func (m *Manager) leavingFor(id string, born int64) (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.leaving[id]
	if !t.leaving || t.since == 0 || t.born != born {
		return 0, false
	}
	return clock.Boottime() - t.since, true
}

// learnLeave applies what another VM knows of a server's leave.
func (m *Manager) learnLeave(id string, born int64, since time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.leaving[id]
	if !t.leaving || t.since != 0 || t.born != born {
		return
	}
	t.since = since
	m.leaving[id] = t
	if s := m.servers[id]; s != nil {
		v := *s.view.Load()
		v.leaving = t
		s.applyView(v)
	}
	m.log.Info("leave_learned", "server", id, "leaving_for", clock.Boottime()-since)
}

// mayLead reports whether a leaving primary may still get new work. One that was leaving before
// this VM knew it may have been for any time.
func (t leavingTime) mayLead(now, grace time.Duration) bool {
	return !t.leaving || t.since != 0 && now-t.since <= grace
}
