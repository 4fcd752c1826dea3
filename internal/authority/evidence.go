package authority

import (
	"time"

	"egretroad/internal/reducer"
	"egretroad/internal/topology"
)

// horizonStep is the advance of a replica's applied time that counts as
// progress; smaller ones are jitter of the probe.
const horizonStep = 20 * time.Millisecond

// evidenceBook keeps what is known of the servers of the watched groups: own
// probes, and reports of the homes of the groups' other servers.
type evidenceBook struct {
	m        *Machine
	probes   map[string]*probe         // own servers
	reports  map[string]report         // newest report on each server
	lastGood map[string]time.Duration  // last report that a server was reachable
	outbox   map[string][]Evidence     // by VM ID
	since    time.Duration             // observations before this time do not count
	role     map[string]*contradiction // primaries that contradict the group object
}

// probe is the history of an own server.
type probe struct {
	status       topology.ServerStatus
	err          string
	goodAt       time.Duration // last success; zero: none
	failingSince time.Duration // zero while probes succeed
	movedAt      time.Duration // last progress of replication
	horizon      time.Duration // time up to which everything was applied
	sentAt       time.Duration
	sentBad      bool
	succeeded    bool
}

// report is evidence with the time of its arrival.
type report struct {
	evidence Evidence
	from     string
	at       time.Duration
}

// contradiction is a reachable server whose role differs from the group's.
type contradiction struct {
	term  uint64
	since time.Duration
}

func newEvidenceBook(m *Machine) *evidenceBook {
	return &evidenceBook{
		m: m, probes: map[string]*probe{}, reports: map[string]report{}, lastGood: map[string]time.Duration{},
		outbox: map[string][]Evidence{}, role: map[string]*contradiction{},
	}
}

// restart forgets how long conditions have held: at the start and after a pause
// of this VM.
func (b *evidenceBook) restart() {
	b.since = b.m.now
	b.reports = map[string]report{}
	b.role = map[string]*contradiction{}
	for _, p := range b.probes {
		p.movedAt = b.m.now
		p.goodAt = 0
		if p.failingSince > 0 {
			p.failingSince = b.m.now
		}
	}
}

// observed takes in a probe of an own server.
func (b *evidenceBook) observed(e reducer.ServerObserved) {
	server := e.Status.Server
	if e.From != b.m.self.ID || !b.m.isOwn(server) {
		return
	}
	p := b.probes[server]
	if p == nil {
		p = &probe{movedAt: e.Now}
		b.probes[server] = p
	}
	if e.Err != "" || !e.Status.Reachable {
		p.fail(e)
	} else {
		p.succeed(e)
	}
	b.record(b.m.self.ID, p.evidence(server, b.m.now))
	b.queue(server, p)
}

func (p *probe) fail(e reducer.ServerObserved) {
	if p.failingSince == 0 {
		p.failingSince = e.Now
		if p.goodAt > 0 {
			p.failingSince = p.goodAt
		}
	}
	p.err = e.Err
	if p.err == "" {
		p.err = "unreachable"
	}
}

func (p *probe) succeed(e reducer.ServerObserved) {
	horizon := e.Now - e.Status.Lag
	moved := !p.succeeded || e.Status.Position != p.status.Position || e.Status.Term != p.status.Term
	if horizon > p.horizon+horizonStep {
		moved = true
		p.horizon = horizon
	}
	if moved || e.Status.Role == topology.RolePrimary {
		p.movedAt = e.Now
	}
	p.succeeded = true
	p.goodAt = e.Now
	p.status = e.Status
	p.err, p.failingSince = "", 0
}

// evidence describes an own server as of now.
func (p *probe) evidence(server string, now time.Duration) Evidence {
	e := Evidence{Status: p.status, Error: p.err, StalledFor: now - p.movedAt}
	e.Status.Server = server
	e.Status.Reachable = p.err == ""
	if p.err != "" {
		e.FailingFor = now - p.failingSince
	}
	return e
}

// queue prepares reports to the homes of the group's other servers: after each
// probe of a primary and while something is wrong, else at EvidenceInterval.
func (b *evidenceBook) queue(server string, p *probe) {
	now := b.m.now
	bad := p.err != "" || now-p.movedAt > b.m.opts.StallAfter/2
	urgent := bad || p.sentBad || p.status.Role == topology.RolePrimary
	if !urgent && p.sentAt > 0 && now-p.sentAt < b.m.opts.EvidenceInterval {
		return
	}
	p.sentAt, p.sentBad = now, bad
	g := b.m.groups[b.m.servers[server]]
	sent := map[string]bool{b.m.self.ID: true}
	for _, s := range g.group.Servers {
		vm := b.m.snapshot.Homes[s.ID]
		if vm == "" || sent[vm] {
			continue
		}
		sent[vm] = true
		b.outbox[vm] = append(b.outbox[vm], p.evidence(server, now))
	}
}

// flush sends the queued reports, one message per VM.
func (b *evidenceBook) flush() {
	waiting := map[string]bool{}
	for vm := range b.outbox {
		waiting[vm] = true
	}
	for _, vm := range sortedKeys(waiting) {
		b.m.emit(SendEvidence{To: vm, Items: b.outbox[vm]})
	}
	clear(b.outbox)
}

func (b *evidenceBook) received(e EvidenceReceived) {
	b.m.index()
	for _, item := range e.Items {
		if _, known := b.m.servers[item.Status.Server]; known {
			b.record(e.From, item)
		}
	}
}

func (b *evidenceBook) record(from string, item Evidence) {
	server := item.Status.Server
	b.reports[server] = report{evidence: item, from: from, at: b.m.now}
	if item.Error == "" {
		b.lastGood[server] = b.m.now
	}
	b.checkRole(item.Status, item.Error == "")
}

// checkRole notes since when a reachable primary contradicts its role.
func (b *evidenceBook) checkRole(s topology.ServerStatus, reachable bool) {
	g := b.m.groups[b.m.servers[s.Server]]
	if g == nil || g.group.Primary != s.Server || !reachable {
		return
	}
	if s.Role == topology.RolePrimary && s.Term == g.group.Term {
		delete(b.role, s.Server)
		return
	}
	if c := b.role[s.Server]; c == nil || c.term != g.group.Term {
		b.role[s.Server] = &contradiction{term: g.group.Term, since: b.m.now}
	}
}

// fresh returns the newest report on a server unless it is too old. A failure
// lasts until better news comes.
func (b *evidenceBook) fresh(server string) (Evidence, bool) {
	r, ok := b.reports[server]
	if !ok || b.m.now-r.at > b.m.opts.EvidenceFresh {
		return Evidence{}, false
	}
	e := r.evidence
	if e.Error != "" {
		e.FailingFor += b.m.now - r.at
	}
	return e, true
}

// reachable returns the fresh evidence on a server that answers its home.
func (b *evidenceBook) reachable(server string) (Evidence, bool) {
	e, ok := b.fresh(server)
	return e, ok && e.Error == ""
}

// quietFor is the time since anything good was heard of a server, at most the
// time since from.
func (b *evidenceBook) quietFor(server string, from time.Duration) time.Duration {
	return b.m.now - max(b.lastGood[server], b.since, from)
}
