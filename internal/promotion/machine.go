package promotion

import (
	"errors"
	"sort"
	"time"

	"egretroad/internal/reducer"
	"egretroad/internal/topology"
)

// phase is the step of a promotion whose result a group waits for.
type phase uint8

const (
	phaseMonitoring phase = iota
	phaseWitnesses
	phaseElection
	phaseClaim
	phasePromotion
)

// groupState is the promotion state of one database group. Points in time are on the
// clock of reducer.Tick.
type groupState struct {
	phase             phase
	reason            string
	probeInFlight     bool
	nextProbe         time.Duration
	unresponsiveSince time.Duration // since when the primary has not responded; 0: it responds
	noPrimarySince    time.Duration // since when the group has had no primary; 0: it has one now
	nextStep          time.Duration // earliest time of the next step
	graceUntil        time.Duration // end of the grace period of lastPromoted
	candidate         string
	refusedServers    map[string]bool // servers that the platform refused since the last reset
	lastPromoted      string          // server promoted last
	dutyClaimed       bool            // this VM has claimed the duty since it became responsible
	nextEarlyClaim    time.Duration   // earliest time of the next claim in advance
}

// Machine is the state machine of promotions. It implements reducer.Machine.
type Machine struct {
	options      Options
	self         string
	now          time.Duration
	snapshot     *topology.Snapshot
	groups       map[string]*groupState
	deregistered map[string]deregisteredReplica // by server ID
	effects      []reducer.Effect
}

// New returns the machine of the VM with ID self.
func New(o Options, self string) *Machine {
	return &Machine{options: o, self: self, groups: map[string]*groupState{}, deregistered: map[string]deregisteredReplica{}}
}

// Step implements reducer.Machine.
func (m *Machine) Step(e reducer.Event) []reducer.Effect {
	m.effects = nil
	switch e := e.(type) {
	case reducer.Tick:
		m.now = e.Now
		m.checkGroups()
	case reducer.SnapshotPublished:
		m.recordDeregistered(m.snapshot, e.Snapshot)
		m.snapshot = e.Snapshot
		m.checkGroups()
	case ProbeResult:
		m.handleProbeResult(e)
	case WitnessReport:
		m.handleWitnessReport(e)
	case ElectionResult:
		m.handleElectionResult(e)
	case ClaimResult:
		m.handleClaimResult(e)
	case PromoteResult:
		m.handlePromoteResult(e)
	}
	return m.effects
}

func (m *Machine) emit(e reducer.Effect) { m.effects = append(m.effects, e) }

func (m *Machine) log(event string, fields ...any) { m.emit(Log{Event: event, Fields: fields}) }

// checkGroups checks every group that this VM is responsible for.
func (m *Machine) checkGroups() {
	if m.snapshot == nil {
		return
	}
	for database := range m.groups {
		if m.snapshot.Groups[database] == nil {
			delete(m.groups, database)
		}
	}
	for _, database := range sortedKeys(m.snapshot.Groups) {
		g := m.snapshot.Groups[database]
		if m.responsibleVM(g) != m.self {
			if state := m.groups[database]; state != nil && state.phase == phaseMonitoring && !state.probeInFlight {
				delete(m.groups, database)
			}
			continue
		}
		if m.groups[database] == nil {
			m.groups[database] = &groupState{refusedServers: map[string]bool{}}
		}
		m.checkGroup(g, m.groups[database])
	}
}

func sortedKeys(groups map[string]*topology.Group) []string {
	keys := make([]string, 0, len(groups))
	for k := range groups {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// responsibleVM returns the VM that acts for a group: the home of its primary, or of its
// first server while the group has no primary.
func (m *Machine) responsibleVM(g *topology.Group) string {
	if g.Primary != "" {
		return m.snapshot.Homes[g.Primary]
	}
	return m.snapshot.Homes[g.Servers[0].ID]
}

// checkGroup probes the primary and starts the next step of a promotion when it is due.
func (m *Machine) checkGroup(g *topology.Group, s *groupState) {
	primary, known := g.Server(g.Primary)
	if known {
		s.noPrimarySince = 0
	} else if s.noPrimarySince == 0 {
		s.noPrimarySince = m.now
	}
	if known && !s.probeInFlight && m.now >= s.nextProbe {
		s.probeInFlight = true
		m.emit(Probe{Database: g.Database, Server: primary.ID})
	}
	if s.phase != phaseMonitoring || m.now < s.nextStep {
		return
	}
	// Give a server that was just promoted time to register as primary.
	if m.now < s.graceUntil && (!known || primary.ID != s.lastPromoted) {
		return
	}
	if !s.dutyClaimed && m.now >= s.nextEarlyClaim && s.unresponsiveSince == 0 {
		s.phase, s.candidate = phaseClaim, ""
		m.emit(ClaimDuty{Database: g.Database})
		return
	}
	switch {
	case !known && m.now-s.noPrimarySince >= m.options.NoPrimaryLimit:
		m.startElection(g, s, "no server is registered as primary", "")
	case known && primary.State == topology.ServerLeaving:
		m.startElection(g, s, "the primary is leaving", primary.ID)
	case known && m.unresponsiveFor(s) >= m.options.UnresponsiveLimit:
		m.queryWitnesses(g, s, primary)
	}
}

// unresponsiveFor returns for how long the primary has not responded. The value grows
// while a probe is in flight, because a probe of a dead server ends only at its time-out.
func (m *Machine) unresponsiveFor(s *groupState) time.Duration {
	if s.unresponsiveSince == 0 {
		return 0
	}
	return m.now - s.unresponsiveSince
}

// queryWitnesses asks other VMs whether they reach an unresponsive primary.
func (m *Machine) queryWitnesses(g *topology.Group, s *groupState, primary topology.Server) {
	vms := m.selectWitnesses(primary)
	if len(vms) == 0 {
		m.startElection(g, s, "the primary is unresponsive and there is no other VM to confirm it", "")
		return
	}
	s.phase = phaseWitnesses
	m.emit(QueryWitnesses{Database: g.Database, Server: primary.ID, VMs: vms})
}

// selectWitnesses returns the IDs of other VMs, spread over as many data centres as
// possible.
func (m *Machine) selectWitnesses(primary topology.Server) []string {
	var ids []string
	for id := range m.snapshot.VMs {
		if id != m.self {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	perDataCentre := map[string]int{}
	rankInDataCentre := map[string]int{}
	for _, id := range ids {
		dc := m.snapshot.VMs[id].DataCentre
		rankInDataCentre[id] = perDataCentre[dc]
		perDataCentre[dc]++
	}
	sort.SliceStable(ids, func(i, j int) bool { return rankInDataCentre[ids[i]] < rankInDataCentre[ids[j]] })
	return ids[:min(len(ids), m.options.WitnessCount)]
}

// handleProbeResult records whether the primary responds.
func (m *Machine) handleProbeResult(e ProbeResult) {
	s := m.groups[e.Database]
	if s == nil {
		return
	}
	s.probeInFlight, s.unresponsiveSince = false, 0
	if e.UnresponsiveFor > 0 {
		s.unresponsiveSince = m.now - e.UnresponsiveFor
	}
	s.nextProbe = m.now + m.options.ProbeInterval
	if g := m.snapshot.Groups[e.Database]; g == nil || g.Primary != e.Server {
		s.unresponsiveSince = 0
	}
}

// handleWitnessReport starts an election if witnesses responded and none of them
// reached the primary. If no witness responded, this VM itself may be partitioned from
// the others, so it does nothing.
func (m *Machine) handleWitnessReport(e WitnessReport) {
	s, g := m.groupInPhase(e.Database, phaseWitnesses)
	if s == nil {
		return
	}
	s.phase, s.nextStep = phaseMonitoring, m.now+m.options.RetryDelay
	m.log("primary_silent", "database", e.Database, "server", e.Server, "silence", m.unresponsiveFor(s),
		"witnesses", e.Responded, "reached_by", e.Reached)
	if e.Responded == 0 || e.Reached > 0 || g.Primary != e.Server || s.unresponsiveSince == 0 {
		return
	}
	m.startElection(g, s, "the primary is unresponsive", "")
}

// groupInPhase returns the state of a group and the group itself, or nils if the group
// is gone or in another phase.
func (m *Machine) groupInPhase(database string, p phase) (*groupState, *topology.Group) {
	s := m.groups[database]
	g := m.snapshot.Groups[database]
	if s == nil || s.phase != p {
		return nil, nil
	}
	if g == nil {
		delete(m.groups, database)
		return nil, nil
	}
	return s, g
}

// startElection starts the search for the replica that has received the most log. With
// synchronous replication a quorum of replicas must respond, so that at least one of
// them has each acknowledged commit; leaving replicas count towards it.
func (m *Machine) startElection(g *topology.Group, s *groupState, reason, outgoingPrimary string) {
	e := Elect{Database: g.Database, OutgoingPrimary: outgoingPrimary}
	syncReplicas := m.snapshot.Catalogue.Group(g.Database).SyncReplicas
	replicas := 0
	for _, server := range g.Servers {
		if server.ID == g.Primary {
			continue
		}
		replicas++
		switch {
		case s.refusedServers[server.ID]:
		case server.State != topology.ServerLeaving:
			e.Candidates = append(e.Candidates, server.ID)
		case syncReplicas > 0:
			e.LeavingCandidates = append(e.LeavingCandidates, server.ID)
		}
	}
	replicas += m.missingReplicas(g, s)
	if syncReplicas > 0 {
		e.Quorum = max(replicas-syncReplicas+1, 1)
	}
	if candidates := len(e.Candidates) + len(e.LeavingCandidates); candidates == 0 || candidates < e.Quorum {
		m.log("promotion_waits", "database", g.Database, "reason", reason, "candidates", candidates, "required", e.Quorum)
		clear(s.refusedServers)
		s.nextStep = m.now + m.options.RetryDelay
		return
	}
	s.phase, s.reason = phaseElection, reason
	m.log("promotion_began", "database", g.Database, "primary", g.Primary, "reason", reason,
		"silence", m.unresponsiveFor(s), "candidates", e.Candidates, "required", e.Quorum, "revision", m.snapshot.Revision)
	m.emit(e)
}

// deregisteredReplica is a replica whose registration ended without a planned leave.
type deregisteredReplica struct {
	database string
	at       time.Duration
}

// recordDeregistered compares two consecutive snapshots and records the replicas whose
// registration ended. It skips servers that left as planned: elections need not wait
// for them.
func (m *Machine) recordDeregistered(old, next *topology.Snapshot) {
	for server, replica := range m.deregistered {
		if _, _, returned := next.FindServer(server); returned || m.now-replica.at > m.options.ReplicaReturnLimit {
			delete(m.deregistered, server)
		}
	}
	if old == nil {
		return
	}
	for database, g := range next.Groups {
		previous := old.Groups[database]
		if previous == nil || previous == g {
			continue
		}
		for _, server := range previous.Servers {
			_, registered := g.Server(server.ID)
			if !registered && server.ID != previous.Primary && server.State != topology.ServerLeaving {
				m.deregistered[server.ID] = deregisteredReplica{database: database, at: m.now}
			}
		}
	}
}

// missingReplicas counts the replicas whose registration ended after the group lost its
// primary. They were in service until then and may have acknowledged commits.
func (m *Machine) missingReplicas(g *topology.Group, s *groupState) int {
	lostAt := m.now - m.unresponsiveFor(s)
	if s.noPrimarySince != 0 {
		lostAt = s.noPrimarySince
	}
	n := 0
	for _, replica := range m.deregistered {
		if replica.database == g.Database && replica.at >= lostAt && m.now-replica.at <= m.options.ReplicaReturnLimit {
			n++
		}
	}
	return n
}

func (m *Machine) handleElectionResult(e ElectionResult) {
	s, g := m.groupInPhase(e.Database, phaseElection)
	if s == nil {
		return
	}
	if e.AlreadyPrimary {
		m.emit(AnnouncePrimary{Database: e.Database, Server: e.Server})
	}
	if e.Server == "" || e.AlreadyPrimary || m.reasonGone(g, s) {
		m.log("promotion_given_up", "database", e.Database, "candidate", e.Server, "leads", e.AlreadyPrimary)
		s.phase, s.nextStep = phaseMonitoring, m.now+m.options.RetryDelay
		return
	}
	s.phase, s.candidate = phaseClaim, e.Server
	m.emit(ClaimDuty{Database: e.Database})
}

// reasonGone reports whether the group no longer needs a promotion: it has a primary
// that responds and is not leaving.
func (m *Machine) reasonGone(g *topology.Group, s *groupState) bool {
	primary, known := g.Server(g.Primary)
	return known && primary.State != topology.ServerLeaving && s.unresponsiveSince == 0
}

func (m *Machine) handleClaimResult(e ClaimResult) {
	s, g := m.groupInPhase(e.Database, phaseClaim)
	if s == nil {
		return
	}
	s.dutyClaimed = s.dutyClaimed || e.Err == nil && e.Token != 0
	if s.candidate == "" {
		s.phase, s.nextEarlyClaim = phaseMonitoring, m.now+m.options.EarlyClaimRetryDelay
		return
	}
	if e.Token == 0 {
		m.log("duty_not_claimed", "database", e.Database, "error", e.Err)
		s.phase, s.nextStep = phaseMonitoring, m.now+m.options.RetryDelay
		return
	}
	if m.reasonGone(g, s) {
		m.log("promotion_given_up", "database", e.Database, "candidate", s.candidate, "leads", false)
		s.phase, s.nextStep = phaseMonitoring, m.now+m.options.RetryDelay
		return
	}
	s.phase = phasePromotion
	m.emit(Promote{Call: Call{Database: e.Database, Server: s.candidate, Holder: m.self, Token: e.Token}})
}

func (m *Machine) handlePromoteResult(e PromoteResult) {
	s, _ := m.groupInPhase(e.Call.Database, phasePromotion)
	if s == nil {
		return
	}
	m.log("promotion_called", "database", e.Call.Database, "server", e.Call.Server, "token", e.Call.Token,
		"reason", s.reason, "error", e.Err)
	s.phase = phaseMonitoring
	var refused *RefusedError
	if errors.As(e.Err, &refused) {
		s.refusedServers[e.Call.Server] = true
		s.nextStep = m.now + m.options.RetryDelay
		return
	}
	if e.Err != nil {
		s.nextStep = m.now + m.options.RetryDelay
		return
	}
	m.emit(AnnouncePrimary{Database: e.Call.Database, Server: e.Call.Server})
	clear(s.refusedServers)
	s.lastPromoted, s.graceUntil, s.unresponsiveSince, s.noPrimarySince = e.Call.Server, m.now+m.options.PromotionGrace, 0, 0
}
