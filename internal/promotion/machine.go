package promotion

import (
	"errors"
	"fmt"
	"slices"
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
	phaseMembers // the record of the members is read before an election
	phaseElection
	phaseCandidateStepDown // a candidate that considers itself the primary must step down first
	phaseClaim
	phaseAcknowledge
	phaseWaiting      // until silent VMs may no longer use the old primary
	phaseConfirmation // whether the designated server has received every acknowledged commit
	phasePromotion
	phasePromotionRetry
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
	attempt           attempt
	refusedServers    map[string]bool // servers that the platform refused since the last reset
	designatedReached bool            // another VM reaches the designated server, so no other is elected
	lastPromoted      string          // server promoted last
	awaitedCalls      uint64          // token whose calls this VM has begun to wait for
	outgoingPrimary   string          // of the election; server ID, empty: failover without one
	replacing         string          // the registered primary at the election; empty: there was none
	electedUnder      uint64          // token of the designation in force when the election began
	members           memberRecord
	waitLogged        string // the last reason to wait that was logged
}

// attempt is one promotion, from the election on.
type attempt struct {
	call         Call
	oldPrimary   string        // server ID; empty: unknown
	term         uint64        // the term that the promotion begins, or a lower one
	received     topology.Mark // log that the elected server has received
	safeAt       time.Duration
	nextStepDown time.Duration
	nextAsk      time.Duration // when silent VMs are asked again
	asking       bool          // they are being asked
	unanswered   bool          // a call of this attempt has had no answer
	// pendingServers are those of earlier designations for which calls may still take effect;
	// callsPendingUntil is when all of them have ended.
	pendingServers    []string
	callsPendingUntil time.Duration
	// stepDownSuffices is set if no VM can use any other server than oldPrimary.
	stepDownSuffices bool
}

// history is what this VM has observed of a group, whoever is responsible for it.
type history struct {
	designation topology.Designation
	lastPrimary string        // last known primary
	changedAt   time.Duration // when the primary or the designation changed last
	leadsSince  time.Duration // since when the designated server has been the known primary; 0: it is not
	callsEnded  bool          // it has been for so long that its calls have ended
	// primaryLostAt is since when no server of the group has been registered as primary; 0: one is.
	primaryLostAt time.Duration
}

// replacedPrimary is a primary that has been replaced and may not know it yet.
type replacedPrimary struct {
	server string
	term   uint64
	next   time.Duration // time of the next attempt to make it a replica
	until  time.Duration // end of the attempts
}

// Machine is the state machine of promotions. It implements reducer.Machine.
type Machine struct {
	options      Options
	self         string
	now          time.Duration
	snapshot     *topology.Snapshot
	groups       map[string]*groupState
	deregistered map[string]deregisteredServer // by server ID
	histories    map[string]history            // by database
	replaced     map[string]replacedPrimary    // by database
	stepDowns    map[string]bool               // databases with a step-down in flight
	ending       map[string]endingCalls        // by database; calls of this VM's last promotion
	effects      []reducer.Effect
}

// New returns the machine of the VM with ID self.
func New(o Options, self string) *Machine {
	return &Machine{
		options: o, self: self, groups: map[string]*groupState{}, deregistered: map[string]deregisteredServer{},
		histories: map[string]history{}, replaced: map[string]replacedPrimary{}, stepDowns: map[string]bool{}, ending: map[string]endingCalls{},
	}
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
		m.recordHistories()
		m.checkGroups()
	case ProbeResult:
		m.handleProbeResult(e)
	case WitnessReport:
		m.handleWitnessReport(e)
	case MembersRead:
		m.handleMembersRead(e)
	case MembersWritten:
		m.handleMembersWritten(e)
	case MembersChecked:
		m.handleMembersChecked(e)
	case ElectionResult:
		m.handleElectionResult(e)
	case CandidateConfirmed:
		m.handleCandidateConfirmed(e)
	case ClaimResult:
		m.handleClaimResult(e)
	case Acknowledged:
		m.handleAcknowledged(e)
	case SteppedDown:
		m.handleSteppedDown(e)
	case PromoteResult:
		m.handlePromoteResult(e)
	case CallsEndRecorded:
		m.handleCallsEndRecorded(e)
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
			if state := m.groups[database]; state != nil && state.phase == phaseMonitoring && !state.probeInFlight && !state.members.inFlight {
				delete(m.groups, database)
			}
			continue
		}
		if m.groups[database] == nil {
			m.groups[database] = &groupState{refusedServers: map[string]bool{}}
		}
		m.checkGroup(g, m.groups[database])
	}
	m.stepDownReplaced()
	m.recordEndedCalls()
}

// recordHistories records changes of the primaries and the designations.
func (m *Machine) recordHistories() {
	for database := range m.histories {
		if m.snapshot.Groups[database] == nil {
			delete(m.histories, database)
		}
	}
	for database, g := range m.snapshot.Groups {
		h, known := m.histories[database]
		if !known || !h.designation.Same(g.Designation) || g.Primary != "" && g.Primary != h.lastPrimary {
			h.changedAt = m.now
		}
		h = m.recordLead(h, g)
		h.designation = g.Designation
		switch {
		case g.Primary != "":
			h.lastPrimary, h.primaryLostAt = g.Primary, 0
		case h.primaryLostAt == 0:
			h.primaryLostAt = max(m.now, 1)
		}
		m.histories[database] = h
	}
}

// recordLead records since when the designated server of a group has been its primary.
func (m *Machine) recordLead(h history, g *topology.Group) history {
	h.callsEnded = h.designation.Same(g.Designation) && (h.callsEnded || m.leadsForLong(h))
	leads := g.Designation.Server != "" && g.Primary == g.Designation.Server
	switch {
	case !leads:
		h.leadsSince = 0
	case h.leadsSince == 0 || !h.designation.Same(g.Designation):
		h.leadsSince = max(m.now, 1)
	}
	return h
}

func sortedKeys(groups map[string]*topology.Group) []string {
	keys := make([]string, 0, len(groups))
	for k := range groups {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// responsibleVM returns the VM that acts for a group: the home of its primary or, while
// the group has no primary, first the VM that made the last claim, then the home of the
// group's first server.
func (m *Machine) responsibleVM(g *topology.Group) string {
	if g.Primary != "" {
		return m.snapshot.Homes[g.Primary]
	}
	_, live := m.snapshot.VMs[g.Designation.Holder]
	if live && m.now-m.histories[g.Database].changedAt < m.options.HolderLimit {
		return g.Designation.Holder
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
	m.maintainMembers(g, s)
	if s.phase != phaseMonitoring || m.now < s.nextStep {
		m.continueAttempt(g, s)
		return
	}
	// Give a server that was just promoted time to register as primary.
	if m.now < s.graceUntil && (!known || primary.ID != s.lastPromoted) {
		return
	}
	switch {
	case !known && m.now-s.noPrimarySince >= m.options.NoPrimaryLimit:
		m.replaceMissingPrimary(g, s)
	case known && primary.State == topology.ServerLeaving && m.callsMayBePending(g):
		// It goes on serving meanwhile.
		if s.awaitedCalls != g.Designation.Token {
			s.awaitedCalls = g.Designation.Token
			m.log("promotion_waits", "database", g.Database, "reason", "calls for the primary may still take effect", "token", g.Designation.Token)
		}
		s.nextStep = m.now + m.options.RetryDelay
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

// reasonMissing is the reason of a promotion in a group without a primary.
const reasonMissing = "no server is registered as primary"

// replaceMissingPrimary acts for a group without a primary. Its designated server may be
// the primary without this VM knowing, so other VMs are asked whether they reach it.
func (m *Machine) replaceMissingPrimary(g *topology.Group, s *groupState) {
	designated, registered := g.Server(g.Designation.Server)
	if !registered || s.refusedServers[designated.ID] {
		m.startElection(g, s, reasonMissing, "")
		return
	}
	m.queryWitnesses(g, s, designated)
}

// queryWitnesses asks other VMs whether they reach an unresponsive primary.
func (m *Machine) queryWitnesses(g *topology.Group, s *groupState, primary topology.Server) {
	vms := m.selectWitnesses()
	if len(vms) == 0 {
		m.startElection(g, s, "the primary is unresponsive and there is no other VM to confirm it", "")
		return
	}
	s.phase = phaseWitnesses
	m.emit(QueryWitnesses{Database: g.Database, Server: primary.ID, VMs: vms})
}

// selectWitnesses returns the IDs of the VMs to ask whether they reach the primary.
func (m *Machine) selectWitnesses() []string {
	ids := SpreadOverDataCentres(m.snapshot.VMs, m.self)
	return ids[:min(len(ids), m.options.WitnessCount)]
}

// SpreadOverDataCentres returns the IDs of all VMs but self. Each prefix of the result
// covers as many data centres as possible.
func SpreadOverDataCentres(vms map[string]topology.VM, self string) []string {
	var ids []string
	for id := range vms {
		if id != self {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	perDataCentre := map[string]int{}
	rankInDataCentre := map[string]int{}
	for _, id := range ids {
		dc := vms[id].DataCentre
		rankInDataCentre[id] = perDataCentre[dc]
		perDataCentre[dc]++
	}
	sort.SliceStable(ids, func(i, j int) bool { return rankInDataCentre[ids[i]] < rankInDataCentre[ids[j]] })
	return ids
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
	if g.Primary == "" && e.Responded > 0 {
		s.designatedReached = e.Reached > 0 && g.Designation.Server == e.Server
		m.startElection(g, s, reasonMissing, "")
		return
	}
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

// startElection starts the search for the replica that has received the most log. In groups
// with synchronous replication it reads the record of the members first.
func (m *Machine) startElection(g *topology.Group, s *groupState, reason, outgoingPrimary string) {
	s.reason, s.outgoingPrimary = reason, outgoingPrimary
	if !slices.Contains(m.snapshot.Listed, m.self) {
		// Other VMs would not ask this one for the designations that it makes.
		m.log("promotion_waits", "database", g.Database, "reason", reason, "listed", false)
		s.nextStep = m.now + m.options.RetryDelay
		return
	}
	replicas, known := m.syncReplicas(g.Database)
	if known && replicas == 0 || m.hasRecentRecord(&s.members) {
		m.elect(g, s)
		return
	}
	s.phase = phaseMembers
	if !s.members.inFlight {
		m.readMembers(g.Database, s)
	}
}

// elect asks the candidates for their positions, if they suffice for an election.
func (m *Machine) elect(g *topology.Group, s *groupState) {
	e, missing := m.newElection(g, s, g.Primary)
	required := e.Required(e.OutgoingPrimary != "")
	if candidates := len(e.Candidates) + len(e.LeavingCandidates); candidates == 0 || candidates < required {
		m.logWait(g, s, s.reason, missing, candidates, required)
		clear(s.refusedServers)
		s.nextStep = m.now + m.options.RetryDelay
		return
	}
	s.phase, s.waitLogged, s.replacing, s.electedUnder = phaseElection, "", g.Primary, g.Designation.Token
	m.log("promotion_began", "database", g.Database, "primary", g.Primary, "reason", s.reason,
		"silence", m.unresponsiveFor(s), "candidates", e.Candidates, "required", e.Quorum, "missing", missing, "revision", m.snapshot.Revision)
	m.emit(e)
}

// newElection returns an election among the registered servers but one, and the servers that
// are missing. With synchronous replication a quorum must respond, so that at least one of the
// candidates has each acknowledged commit; leaving replicas count towards it.
func (m *Machine) newElection(g *topology.Group, s *groupState, primary string) (e Elect, missing []string) {
	e = Elect{Database: g.Database, OutgoingPrimary: s.outgoingPrimary}
	if _, registered := g.Server(g.Designation.Server); registered && !s.refusedServers[g.Designation.Server] {
		e.Designation = g.Designation
	}
	q := m.quorum(g, s)
	e.Quorum, e.QuorumWithPosition, e.GivenUp = q.required, q.requiredWithPosition, q.givenUp
	for _, server := range g.Servers {
		switch {
		case server.ID == primary || s.refusedServers[server.ID]:
		case server.State != topology.ServerLeaving:
			e.Candidates = append(e.Candidates, server.ID)
			if g.Primary == "" && server.ID == g.Designation.Server {
				e.Preferred, e.PreferredOnly = server.ID, s.designatedReached
			}
		case q.required > 0:
			e.LeavingCandidates = append(e.LeavingCandidates, server.ID)
		}
	}
	return e, q.missing
}

// logWait logs why an election waits, once for each set of servers.
func (m *Machine) logWait(g *topology.Group, s *groupState, reason string, missing []string, candidates, required int) {
	text := fmt.Sprint(reason, missing, candidates, required)
	if text == s.waitLogged {
		return
	}
	s.waitLogged = text
	m.log("promotion_waits", "database", g.Database, "reason", reason, "candidates", candidates, "required", required,
		"missing", missing, "at_most", m.options.ReplicaReturnLimit)
}

// isReplaced reports whether a server is the primary that the designation of a group
// without a primary replaces.
func (m *Machine) isReplaced(g *topology.Group, server string) bool {
	return g.Primary == "" && g.Designation.Server != "" && server == m.histories[g.Database].lastPrimary
}

func (m *Machine) handleElectionResult(e ElectionResult) {
	s, g := m.groupInPhase(e.Database, phaseElection)
	if s == nil {
		return
	}
	if g.Designation.Token != s.electedUnder {
		// Another VM has acted meanwhile, as after a pause of this one.
		m.log("promotion_given_up", "database", e.Database, "candidate", e.Server, "token", g.Designation.Token, "began_with", s.electedUnder)
		s.phase, s.nextStep = phaseMonitoring, m.now+m.options.RetryDelay
		return
	}
	designated := g.Designation.Server
	isPrimary := e.AlreadyPrimary && (designated == "" || designated == e.Server)
	if isPrimary {
		m.emit(AnnouncePrimary{Database: e.Database, Server: e.Server})
	}
	if e.Server == "" || isPrimary || m.reasonGone(g, s) {
		m.log("promotion_given_up", "database", e.Database, "candidate", e.Server, "leads", e.AlreadyPrimary)
		s.phase, s.nextStep = phaseMonitoring, m.now+m.options.RetryDelay
		return
	}
	old := m.histories[g.Database].lastPrimary
	s.attempt = attempt{
		call: Call{Database: e.Database, Server: e.Server, Holder: m.self}, oldPrimary: old, term: e.Term + 1, received: e.Position,
		stepDownSuffices: old != "" && old != e.Server && (designated == "" || designated == old),
	}
	if e.AlreadyPrimary {
		// It may have been replaced without knowing: until its promotion, it must refuse
		// the writes of VMs that learn of its designation.
		s.phase = phaseCandidateStepDown
		m.stepDown(StepDown{Database: e.Database, Server: e.Server, Term: s.attempt.term, Candidate: true, Token: s.electedUnder})
		return
	}
	m.claim(s)
}

func (m *Machine) claim(s *groupState) {
	s.phase = phaseClaim
	a := &s.attempt
	m.emit(ClaimDuty{Database: a.call.Database, Server: a.call.Server, Term: a.term, Received: a.received, EndedToken: m.endedToken(a.call.Database)})
}

// reasonGone reports whether the group no longer needs a promotion: it has a primary
// that responds and is not leaving.
func (m *Machine) reasonGone(g *topology.Group, s *groupState) bool {
	primary, known := g.Server(g.Primary)
	return known && primary.State != topology.ServerLeaving && s.unresponsiveSince == 0
}

func (m *Machine) handleClaimResult(e ClaimResult) {
	s, _ := m.groupInPhase(e.Database, phaseClaim)
	if s == nil {
		return
	}
	if e.Token == 0 {
		m.log("duty_not_claimed", "database", e.Database, "error", e.Err)
		s.phase, s.nextStep = phaseMonitoring, m.now+m.options.RetryDelay
		return
	}
	// The designation is in force now, so the promotion continues even if the old primary
	// responds again.
	a := &s.attempt
	a.call.Token, a.pendingServers = e.Token, e.PendingServers
	s.phase = phaseAcknowledge
	m.emit(m.acknowledge(a))
}

// designation returns the designation that the attempt has recorded.
func (a *attempt) designation() topology.Designation {
	return topology.Designation{Server: a.call.Server, Holder: a.call.Holder, Token: a.call.Token, Term: a.term, Received: a.received}
}

// replacedServer returns the server to make a replica; empty if there is none.
func (a *attempt) replacedServer() string {
	if a.oldPrimary == a.call.Server {
		return ""
	}
	return a.oldPrimary
}

func (m *Machine) handleAcknowledged(e Acknowledged) {
	s := m.groups[e.Database]
	if s == nil || s.attempt.call.Token != e.Token {
		return
	}
	switch s.phase {
	case phaseAcknowledge:
		if s, _ = m.groupInPhase(e.Database, phaseAcknowledge); s != nil {
			m.beginWait(s, e)
		}
	case phaseWaiting:
		m.shortenWait(s, e)
	}
}

// beginWait makes the promotion call, or waits until silent VMs may no longer use the old
// primary and earlier calls can no longer take effect.
func (m *Machine) beginWait(s *groupState, e Acknowledged) {
	a := &s.attempt
	safeAt := m.awaitPendingCalls(a, e.SafeAt)
	wait := safeAt > m.now && !(e.SteppedDown && a.stepDownSuffices)
	m.log("designation_acknowledged", "database", e.Database, "server", a.call.Server, "token", e.Token,
		"old_primary", a.oldPrimary, "silent", e.Silent, "stepped_down", e.SteppedDown, "waits", wait, "safe_in", max(0, safeAt-m.now), "calls_pending_for", a.pendingServers)
	if !wait {
		m.confirm(s)
		return
	}
	s.phase = phaseWaiting
	a.safeAt, a.nextStepDown = safeAt, m.now
	a.nextAsk, a.asking = m.now+m.options.AskAgainInterval, false
}

// shortenWait applies the answers of VMs that were asked again. What was safe before remains
// safe.
func (m *Machine) shortenWait(s *groupState, e Acknowledged) {
	a := &s.attempt
	a.nextAsk, a.asking = m.now+m.options.AskAgainInterval, false
	pendingUntil := a.callsPendingUntil
	a.safeAt = min(a.safeAt, m.awaitPendingCalls(a, e.SafeAt))
	a.callsPendingUntil = min(a.callsPendingUntil, pendingUntil)
	if a.safeAt <= m.now || e.SteppedDown && a.stepDownSuffices {
		m.log("promotion_wait_ended", "database", e.Database, "silent", e.Silent, "old_primary", a.oldPrimary)
		m.confirm(s)
	}
}

// awaitPendingCalls returns when the promotion call may be sent. Calls of earlier designations
// may be sent until safeAt, and take effect until LateCallLimit later: they must not follow a
// call for another server.
func (m *Machine) awaitPendingCalls(a *attempt, safeAt time.Duration) time.Duration {
	if len(a.pendingServers) == 0 {
		return safeAt
	}
	a.callsPendingUntil = max(safeAt, m.now) + m.options.LateCallLimit
	if !slices.ContainsFunc(a.pendingServers, func(server string) bool { return server != a.call.Server }) {
		return safeAt
	}
	a.stepDownSuffices = false
	return a.callsPendingUntil
}

// continueAttempt continues an attempt that waits for a point in time.
func (m *Machine) continueAttempt(g *topology.Group, s *groupState) {
	a := &s.attempt
	switch {
	case s.phase == phaseWaiting && m.now >= a.safeAt:
		m.confirm(s)
	case s.phase == phaseWaiting:
		m.continueWait(g, a)
	case s.phase == phasePromotionRetry && g.Primary == a.call.Server && g.Designation.Token == a.call.Token:
		m.completePromotion(s) // an unanswered call has taken effect
	case s.phase == phasePromotionRetry && m.now >= s.nextStep:
		m.promote(s)
	}
}

// continueWait repeats what may end the wait of an attempt early.
func (m *Machine) continueWait(g *topology.Group, a *attempt) {
	if a.stepDownSuffices && m.now >= a.nextStepDown {
		a.nextStepDown = m.now + m.options.StepDownInterval
		m.stepDown(StepDown{Database: g.Database, Server: a.oldPrimary, Term: a.term})
	}
	if !a.asking && m.now >= a.nextAsk {
		a.asking = true
		m.emit(m.acknowledge(a))
	}
}

// acknowledge returns the effect that asks all VMs to acknowledge an attempt's designation.
func (m *Machine) acknowledge(a *attempt) Acknowledge {
	return Acknowledge{Database: a.call.Database, OldPrimary: a.replacedServer(), Term: a.term, Designation: a.designation()}
}

// confirm checks that the designated server still has every acknowledged commit: VMs may have
// acknowledged commits of the old primary after the election, until they learned of the
// designation, and servers may have joined. Groups without synchronous replication promise
// nothing here.
func (m *Machine) confirm(s *groupState) {
	call := s.attempt.call
	g := m.snapshot.Groups[call.Database]
	if g == nil {
		delete(m.groups, call.Database)
		return
	}
	e, missing := m.newElection(g, s, s.replacing)
	if e.Quorum == 0 {
		m.promote(s)
		return
	}
	s.phase = phaseConfirmation
	m.log("promotion_confirming", "database", call.Database, "server", call.Server, "token", call.Token, "candidates", e.Candidates, "required", e.Quorum, "missing", missing)
	m.emit(ConfirmCandidate{Elect: e, Server: call.Server})
}

func (m *Machine) handleCandidateConfirmed(e CandidateConfirmed) {
	s, _ := m.groupInPhase(e.Database, phaseConfirmation)
	if s == nil {
		return
	}
	if e.Complete {
		m.promote(s)
		return
	}
	m.log("candidate_incomplete", "database", e.Database, "server", e.Server, "token", s.attempt.call.Token)
	m.endCalls(&s.attempt, false) // no call was made, and another claim of this VM follows
	s.phase, s.nextStep = phaseMonitoring, m.now+m.options.RetryDelay
}

func (m *Machine) promote(s *groupState) {
	s.phase = phasePromotion
	m.emit(Promote{Call: s.attempt.call})
}

// stepDown starts a step-down unless one is in flight for the group.
func (m *Machine) stepDown(e StepDown) {
	if m.stepDowns[e.Database] {
		return
	}
	m.stepDowns[e.Database] = true
	m.emit(e)
}

func (m *Machine) handleSteppedDown(e SteppedDown) {
	delete(m.stepDowns, e.Database)
	if s, _ := m.groupInPhase(e.Database, phaseCandidateStepDown); s != nil {
		if e.Done && e.Server == s.attempt.call.Server {
			m.claim(s)
			return
		}
		s.phase, s.nextStep = phaseMonitoring, m.now+m.options.RetryDelay
	}
	if !e.Done {
		return
	}
	if r, pending := m.replaced[e.Database]; pending && r.server == e.Server {
		m.log("old_primary_stepped_down", "database", e.Database, "server", e.Server)
		delete(m.replaced, e.Database)
	}
	s, _ := m.groupInPhase(e.Database, phaseWaiting)
	if s != nil && s.attempt.stepDownSuffices && s.attempt.oldPrimary == e.Server {
		m.log("promotion_wait_ended", "database", e.Database, "old_primary", e.Server)
		m.confirm(s)
	}
}

// stepDownReplaced repeats the attempts to make replaced primaries replicas.
func (m *Machine) stepDownReplaced() {
	for database, r := range m.replaced {
		g := m.snapshot.Groups[database]
		registered := false
		if g != nil {
			_, registered = g.Server(r.server)
		}
		if !registered || g.Designation.Server == r.server || m.now > r.until {
			delete(m.replaced, database)
			continue
		}
		if m.now >= r.next {
			r.next = m.now + m.options.StepDownInterval
			m.replaced[database] = r
			m.stepDown(StepDown{Database: database, Server: r.server, Term: r.term})
		}
	}
}

func (m *Machine) handlePromoteResult(e PromoteResult) {
	s, _ := m.groupInPhase(e.Call.Database, phasePromotion)
	if s == nil {
		return
	}
	m.log("promotion_called", "database", e.Call.Database, "server", e.Call.Server, "token", e.Call.Token,
		"reason", s.reason, "error", e.Err)
	s.phase, s.nextStep = phaseMonitoring, m.now+m.options.RetryDelay
	s.attempt.unanswered = s.attempt.unanswered || e.Unanswered
	var refused *RefusedError
	var superseded *SupersededError
	switch {
	case errors.As(e.Err, &refused):
		s.refusedServers[e.Call.Server] = true
		m.endCalls(&s.attempt, false) // another claim of this VM follows
		return
	case errors.As(e.Err, &superseded):
		return
	case e.Err != nil:
		// The call may still take effect: no other server must be chosen meanwhile.
		s.phase = phasePromotionRetry
		return
	}
	m.completePromotion(s)
}

// completePromotion ends an attempt whose server has been promoted.
func (m *Machine) completePromotion(s *groupState) {
	call := s.attempt.call
	s.phase, s.nextStep = phaseMonitoring, m.now+m.options.RetryDelay
	m.emit(AnnouncePrimary{Database: call.Database, Server: call.Server})
	m.endCalls(&s.attempt, true)
	clear(s.refusedServers)
	if old := s.attempt.replacedServer(); old != "" {
		m.replaced[call.Database] = replacedPrimary{server: old, term: s.attempt.term, next: m.now, until: m.now + m.options.StepDownLimit}
	}
	s.lastPromoted, s.graceUntil, s.unresponsiveSince, s.noPrimarySince = call.Server, m.now+m.options.PromotionGrace, 0, 0
}
