package authority

import (
	"time"

	"egretroad/internal/topology"
)

// State is a snapshot of the machine for operators. Durations are in nanoseconds.
type State struct {
	Now        time.Duration            `json:"now"`
	Leases     map[string]LeaseDump     `json:"leases"` // by database
	Delegate   DelegateDump             `json:"delegate"`
	Evidence   map[string]Evidence      `json:"evidence"` // by server
	Suspected  map[string]string        `json:"suspected"`
	Promotions map[string]PromotionDump `json:"promotions"` // coordinated by this VM, by database
	// RecordedPromotions holds the promotions in progress of the watched groups,
	// by database.
	RecordedPromotions map[string]topology.Promotion `json:"recorded"`
}

// LeaseDump describes a lease that this VM holds.
type LeaseDump struct {
	Term      uint64        `json:"term"`
	Remaining time.Duration `json:"remaining"`
}

// DelegateDump describes the state of this VM as delegate.
type DelegateDump struct {
	VM       string      `json:"vm"` // delegate of this data centre
	Version  uint64      `json:"version"`
	Waiting  int         `json:"waiting"`
	Writes   uint64      `json:"writes"`
	Failures int         `json:"failures"`
	Object   LeaseObject `json:"object"`
}

// PromotionDump describes a promotion and what it waits for.
type PromotionDump struct {
	Term         uint64        `json:"term"`
	Reason       string        `json:"reason"`
	Step         string        `json:"step"`
	StepDuration time.Duration `json:"inStep"`
	Duration     time.Duration `json:"duration"`
	Candidate    string        `json:"candidate,omitempty"`
	Fenced       []string      `json:"fenced"`
	WaitingFor   []string      `json:"waitingFor"`
	LeaseExpiry  time.Duration `json:"leaseExpiry"` // time until the old leases have expired
}

// Dump returns a snapshot of the machine. It may only be called on the control
// goroutine.
func (m *Machine) Dump() State {
	s := State{
		Now: m.now, Leases: map[string]LeaseDump{}, Evidence: map[string]Evidence{},
		Suspected: map[string]string{}, Promotions: map[string]PromotionDump{}, RecordedPromotions: map[string]topology.Promotion{},
		Delegate: DelegateDump{
			VM: m.delegateOf(m.self.DataCentre), Version: m.delegate.version, Waiting: len(m.delegate.pending),
			Writes: m.delegate.writes, Failures: m.delegate.failures, Object: m.delegate.object.clone(),
		},
	}
	for db, lease := range m.holder.leases {
		s.Leases[db] = LeaseDump{Term: lease.Term, Remaining: lease.ExpiresAt - m.now}
	}
	for server, r := range m.detector.reports {
		s.Evidence[server] = r.evidence
	}
	for db, suspect := range m.failover.suspicions {
		s.Suspected[db] = suspect.decision.reason
	}
	for db, p := range m.failover.promotions {
		s.Promotions[db] = p.dump()
	}
	m.refreshIndex()
	for _, db := range m.watchedDatabases {
		if record := m.groups[db].group.Promotion; record != nil {
			s.RecordedPromotions[db] = *record
		}
	}
	return s
}

func (p *promotion) dump() PromotionDump {
	d := PromotionDump{Reason: p.reason, Step: p.step, StepDuration: p.m.now - p.stepStartedAt, Duration: p.m.now - p.startedAt}
	if p.isCurrent() {
		d.Term, d.Candidate = p.record().Term, p.record().Candidate
	}
	for server := range p.fenced {
		d.Fenced = append(d.Fenced, server)
	}
	switch p.step {
	case stepRevoke:
		d.WaitingFor = sortedKeys(p.revocation.pending)
	case stepAwaitLease:
		d.WaitingFor = p.revocation.unreleased()
		d.LeaseExpiry = p.revocation.latestExpiry() - p.m.now
	default:
		d.WaitingFor = p.serversInFlight()
	}
	return d
}

// serversInFlight lists the servers with an administrative step in flight, sorted.
func (p *promotion) serversInFlight() []string {
	set := map[string]bool{}
	for server, inFlight := range p.stepInFlight {
		if inFlight {
			set[server] = true
		}
	}
	return sortedKeys(set)
}
