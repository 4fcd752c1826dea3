package authority

import (
	"time"

	"egretroad/internal/reducer"
	"egretroad/internal/topology"
)

// minAppliedAdvance is the smallest advance of a replica's applied time that counts
// as progress; smaller advances are probe jitter.
const minAppliedAdvance = 20 * time.Millisecond

// failureDetector collects evidence on the servers of the watched groups: probes of
// this VM's own servers, and reports from the homes of the groups' other servers.
// It decides from them whether a group needs a promotion.
type failureDetector struct {
	m              *Machine
	probes         map[string]*probeHistory // by own server
	reports        map[string]report        // latest report, by server
	lastReachable  map[string]time.Duration // time of the last report that a server was reachable
	outbox         map[string][]Evidence    // by VM ID
	observingSince time.Duration            // earlier observations do not count
	roleMismatches map[string]*roleMismatch // by primary whose role or term differs from the group object
}

// probeHistory summarizes the probes of an own server.
type probeHistory struct {
	status          topology.ServerStatus
	lastError       string
	lastSuccessAt   time.Duration // zero if no probe succeeded since the last reset
	failingSince    time.Duration // zero while probes succeed
	lastProgressAt  time.Duration // last replication progress
	appliedUpTo     time.Duration // time up to which the server has applied the log
	reportedAt      time.Duration
	reportedFailure bool
	everSucceeded   bool
}

// report is evidence with its sender and time of arrival.
type report struct {
	evidence   Evidence
	from       string
	receivedAt time.Duration
}

// roleMismatch records since when the role of a reachable primary differs from
// the group object.
type roleMismatch struct {
	term  uint64
	since time.Duration
}

func newFailureDetector(m *Machine) *failureDetector {
	return &failureDetector{
		m: m, probes: map[string]*probeHistory{}, reports: map[string]report{}, lastReachable: map[string]time.Duration{},
		outbox: map[string][]Evidence{}, roleMismatches: map[string]*roleMismatch{},
	}
}

// resetObservations restarts all durations at the first tick and after a pause of
// this VM.
func (d *failureDetector) resetObservations() {
	d.observingSince = d.m.now
	d.reports = map[string]report{}
	d.roleMismatches = map[string]*roleMismatch{}
	for _, p := range d.probes {
		p.lastProgressAt = d.m.now
		p.lastSuccessAt = 0
		if p.failingSince > 0 {
			p.failingSince = d.m.now
		}
	}
}

// onProbe processes a probe of an own server.
func (d *failureDetector) onProbe(e reducer.ServerObserved) {
	server := e.Status.Server
	if e.From != d.m.self.ID || !d.m.isHomeOf(server) {
		return
	}
	p := d.probes[server]
	if p == nil {
		p = &probeHistory{lastProgressAt: e.Now}
		d.probes[server] = p
	}
	if e.Err != "" || !e.Status.Reachable {
		p.recordFailure(e)
	} else {
		p.recordSuccess(e)
	}
	d.recordEvidence(d.m.self.ID, p.evidence(server, d.m.now))
	d.queueReports(server, p)
}

func (p *probeHistory) recordFailure(e reducer.ServerObserved) {
	if p.failingSince == 0 {
		p.failingSince = e.Now
		if p.lastSuccessAt > 0 {
			p.failingSince = p.lastSuccessAt
		}
	}
	p.lastError = e.Err
	if p.lastError == "" {
		p.lastError = "unreachable"
	}
}

func (p *probeHistory) recordSuccess(e reducer.ServerObserved) {
	appliedUpTo := e.Now - e.Status.Lag
	progressed := !p.everSucceeded || e.Status.Position != p.status.Position || e.Status.Term != p.status.Term
	if appliedUpTo > p.appliedUpTo+minAppliedAdvance {
		progressed = true
		p.appliedUpTo = appliedUpTo
	}
	if progressed || e.Status.Role == topology.RolePrimary {
		p.lastProgressAt = e.Now
	}
	p.everSucceeded = true
	p.lastSuccessAt = e.Now
	p.status = e.Status
	p.lastError, p.failingSince = "", 0
}

// evidence returns a report on an own server as of now.
func (p *probeHistory) evidence(server string, now time.Duration) Evidence {
	e := Evidence{Status: p.status, Error: p.lastError, StalledFor: now - p.lastProgressAt}
	e.Status.Server = server
	e.Status.Reachable = p.lastError == ""
	if p.lastError != "" {
		e.FailingFor = now - p.failingSince
	}
	return e
}

// queueReports queues reports for the homes of the group's other servers: after
// each probe of a primary or of an unhealthy server, otherwise every
// EvidenceInterval.
func (d *failureDetector) queueReports(server string, p *probeHistory) {
	now := d.m.now
	unhealthy := p.lastError != "" || now-p.lastProgressAt > d.m.opts.StalledAfter/2
	urgent := unhealthy || p.reportedFailure || p.status.Role == topology.RolePrimary
	if !urgent && p.reportedAt > 0 && now-p.reportedAt < d.m.opts.EvidenceInterval {
		return
	}
	p.reportedAt, p.reportedFailure = now, unhealthy
	g := d.m.groups[d.m.databaseOf[server]]
	sent := map[string]bool{d.m.self.ID: true}
	for _, s := range g.group.Servers {
		vm := d.m.snapshot.Homes[s.ID]
		if vm == "" || sent[vm] {
			continue
		}
		sent[vm] = true
		d.outbox[vm] = append(d.outbox[vm], p.evidence(server, now))
	}
}

// sendReports sends the queued reports, one message per VM.
func (d *failureDetector) sendReports() {
	recipients := map[string]bool{}
	for vm := range d.outbox {
		recipients[vm] = true
	}
	for _, vm := range sortedKeys(recipients) {
		d.m.emit(SendEvidence{To: vm, Items: d.outbox[vm]})
	}
	clear(d.outbox)
}

func (d *failureDetector) onEvidence(e EvidenceReceived) {
	d.m.refreshIndex()
	for _, item := range e.Items {
		if _, known := d.m.databaseOf[item.Status.Server]; known {
			d.recordEvidence(e.From, item)
		}
	}
}

func (d *failureDetector) recordEvidence(from string, item Evidence) {
	server := item.Status.Server
	d.reports[server] = report{evidence: item, from: from, receivedAt: d.m.now}
	if item.Error == "" {
		d.lastReachable[server] = d.m.now
	}
	d.trackRoleMismatch(item.Status, item.Error == "")
}

// trackRoleMismatch records since when the role or term of a reachable primary
// differs from the group object.
func (d *failureDetector) trackRoleMismatch(s topology.ServerStatus, reachable bool) {
	g := d.m.groups[d.m.databaseOf[s.Server]]
	if g == nil || g.group.Primary != s.Server || !reachable {
		return
	}
	if s.Role == topology.RolePrimary && s.Term == g.group.Term {
		delete(d.roleMismatches, s.Server)
		return
	}
	if mismatch := d.roleMismatches[s.Server]; mismatch == nil || mismatch.term != g.group.Term {
		d.roleMismatches[s.Server] = &roleMismatch{term: g.group.Term, since: d.m.now}
	}
}

// freshEvidence returns the latest report on a server unless it is older than
// EvidenceMaxAge. A reported failure is assumed to continue since the report.
func (d *failureDetector) freshEvidence(server string) (Evidence, bool) {
	latest, ok := d.reports[server]
	if !ok || d.m.now-latest.receivedAt > d.m.opts.EvidenceMaxAge {
		return Evidence{}, false
	}
	e := latest.evidence
	if e.Error != "" {
		e.FailingFor += d.m.now - latest.receivedAt
	}
	return e, true
}

// reachableEvidence returns the fresh evidence on a server that its home can reach.
func (d *failureDetector) reachableEvidence(server string) (Evidence, bool) {
	e, ok := d.freshEvidence(server)
	return e, ok && e.Error == ""
}

// timeSinceReachable returns the time since a server was last reported reachable,
// at most the time since notBefore.
func (d *failureDetector) timeSinceReachable(server string, notBefore time.Duration) time.Duration {
	return d.m.now - max(d.lastReachable[server], d.observingSince, notBefore)
}
