package authority

import (
	"time"

	"egretroad/internal/topology"
)

// State is a dump of the machine for operators. Durations are in nanoseconds.
type State struct {
	Now       time.Duration        `json:"now"`
	Leases    map[string]LeaseDump `json:"leases"` // by database
	Delegate  DelegateDump         `json:"delegate"`
	Evidence  map[string]Evidence  `json:"evidence"` // by server
	Suspected map[string]string    `json:"suspected"`
	Runs      map[string]RunDump   `json:"promotions"` // coordinated here, by database
	// Recorded lists the promotions in progress of the watched groups.
	Recorded map[string]topology.Promotion `json:"recorded"`
}

// LeaseDump shows one lease of this VM.
type LeaseDump struct {
	Term      uint64        `json:"term"`
	Remaining time.Duration `json:"remaining"`
}

// DelegateDump shows the work of this VM as delegate.
type DelegateDump struct {
	VM       string      `json:"vm"` // delegate of this data centre
	Version  uint64      `json:"version"`
	Waiting  int         `json:"waiting"`
	Writes   uint64      `json:"writes"`
	Failures int         `json:"failures"`
	Object   LeaseObject `json:"object"`
}

// RunDump shows a promotion and what it waits for.
type RunDump struct {
	Term        uint64        `json:"term"`
	Reason      string        `json:"reason"`
	Step        string        `json:"step"`
	InStep      time.Duration `json:"inStep"`
	Duration    time.Duration `json:"duration"`
	Candidate   string        `json:"candidate,omitempty"`
	Fenced      []string      `json:"fenced"`
	WaitingFor  []string      `json:"waitingFor"`
	LeaseExpiry time.Duration `json:"leaseExpiry"` // time left until the old leases are over
}

// Dump describes the machine. It may only be called on the control goroutine.
func (m *Machine) Dump() State {
	s := State{
		Now: m.now, Leases: map[string]LeaseDump{}, Evidence: map[string]Evidence{},
		Suspected: map[string]string{}, Runs: map[string]RunDump{}, Recorded: map[string]topology.Promotion{},
		Delegate: DelegateDump{
			VM: m.delegateOf(m.self.DataCentre), Version: m.delegate.version, Waiting: len(m.delegate.pending),
			Writes: m.delegate.writes, Failures: m.delegate.failures, Object: m.delegate.object.clone(),
		},
	}
	for db, h := range m.holder.held {
		s.Leases[db] = LeaseDump{Term: h.Term, Remaining: h.Until - m.now}
	}
	for server, r := range m.evidence.reports {
		s.Evidence[server] = r.evidence
	}
	for db, suspect := range m.failover.suspects {
		s.Suspected[db] = suspect.verdict.reason
	}
	for db, p := range m.failover.runs {
		s.Runs[db] = p.dump()
	}
	m.index()
	for _, db := range m.watched {
		if record := m.groups[db].group.Promotion; record != nil {
			s.Recorded[db] = *record
		}
	}
	return s
}

func (p *promotion) dump() RunDump {
	d := RunDump{Reason: p.reason, Step: p.step, InStep: p.m.now - p.stepAt, Duration: p.m.now - p.startedAt}
	if p.current() {
		d.Term, d.Candidate = p.record().Term, p.record().Candidate
	}
	for server := range p.fenced {
		d.Fenced = append(d.Fenced, server)
	}
	switch p.step {
	case stepRevoke:
		d.WaitingFor = sortedKeys(p.revocation.waiting)
	case stepAwaitLease:
		d.WaitingFor = p.revocation.unreleased()
		d.LeaseExpiry = p.revocation.expiry() - p.m.now
	default:
		d.WaitingFor = p.busyServers()
	}
	return d
}

// busyServers lists the servers with a step under way.
func (p *promotion) busyServers() []string {
	set := map[string]bool{}
	for server, busy := range p.running {
		if busy {
			set[server] = true
		}
	}
	return sortedKeys(set)
}
