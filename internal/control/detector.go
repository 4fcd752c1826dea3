package control

import (
	"time"

	"egretroad/internal/peer/method"
)

// Times of the membership protocol that follow from the options.
const (
	announcePeriod = 3 * time.Second // how long heartbeats carry the own record after it changed
	falseDetectionWindow    = 2 * time.Minute // false deaths within this time lengthen the wait to rejoin
	undisturbedTime       = 2 * time.Second // how long a VM must have run undisturbed to refute at once
	isolationFactor = 3               // a VM that hears nobody waits this many silence limits
)

// selfState is this VM's own part in the membership protocol.
type selfState struct {
	incarnation   uint64
	announced     bool
	announceUntil time.Duration
	leaving       bool
	rejoinAt      time.Duration // 0: not waiting to rejoin
	falseDetections   []time.Duration
	lastDisturbed     time.Duration // last pause or isolation
	lastReceived      time.Duration // last message of any VM
	silenceBaseline      time.Duration // silence is counted from here at the earliest
	deadProbeCursor    int           // which dead VM is probed next
	monitored       map[string]bool
}

// timers hold when periodic work is due next.
type timers struct {
	heartbeat, farHeartbeat, deadProbe time.Duration
}

func (t *timers) reset(now time.Duration) { *t = timers{now, now, now} }

// heartbeat takes a peer's heartbeat in.
func (m *Machine) handleHeartbeat(from string, h Heartbeat) {
	m.self.lastReceived = m.now
	for _, r := range h.Records {
		m.mergeAndRelay(r, from)
	}
	sender := m.members.members[from]
	if sender == nil {
		return
	}
	sender.lastHeard = m.now
	current := Record{ID: from, Incarnation: h.Incarnation, Status: StatusAlive}
	if h.Incarnation > sender.record.Incarnation {
		m.mergeAndRelay(current, from)
	}
	m.answerHeartbeat(from, h)
	for _, s := range h.Silent {
		m.handleSilenceReport(from, s)
	}
	if sender.reachable() {
		m.compareDigests(from, h)
	}
}

// answerHeartbeat answers probes, and tells a VM that is thought dead so.
func (m *Machine) answerHeartbeat(from string, h Heartbeat) {
	sender := m.members.members[from]
	outdated := sender.record.Status == StatusDead && h.Incarnation <= sender.record.Incarnation
	if !m.self.announced || !h.Probe && !outdated {
		return
	}
	reply := m.newHeartbeat()
	if outdated {
		reply.Records = append(reply.Records, sender.outgoingRecord())
	}
	m.notify([]string{from}, method.Heartbeat, reply)
}

// learn merges a record and passes news from another data centre on.
func (m *Machine) mergeAndRelay(r Record, from string) {
	if m.mergeRecord(r, from) && !m.inOwnDataCentre(from) {
		m.notify(m.localPeers(), method.Heartbeat, m.heartbeatWithRecords(r))
	}
}

// merge takes a record of a peer in and reports whether it was news of another VM.
func (m *Machine) mergeRecord(r Record, from string) bool {
	if r.ID == m.cfg.Self.ID {
		m.handleSelfRecord(r)
		return false
	}
	if !m.members.merge(r, "told by "+from, m.now) {
		return false
	}
	m.log("member_changed", "member", r.ID, "status", r.Status, "incarnation", r.Incarnation, "from", from)
	return true
}

// learnSelf answers records of others about this VM.
func (m *Machine) handleSelfRecord(r Record) {
	own := m.members.members[m.cfg.Self.ID].record
	if !r.supersedes(own) || m.self.leaving && r.Incarnation == own.Incarnation {
		return
	}
	if r.Incarnation > m.self.incarnation {
		m.rejoin(r.Incarnation + 1)
		return
	}
	if r.Status != StatusDead || m.self.rejoinAt != 0 {
		return
	}
	m.handleFalseDetection()
}

// thoughtDead decides when to return: at once if this VM ran undisturbed, else
// after a wait that doubles with each recent false death.
func (m *Machine) handleFalseDetection() {
	recent := m.self.falseDetections[:0]
	for _, at := range m.self.falseDetections {
		if m.now-at < falseDetectionWindow {
			recent = append(recent, at)
		}
	}
	m.self.falseDetections = append(recent, m.now)
	calm := m.now-m.self.lastDisturbed > undisturbedTime
	if calm && len(recent) == 0 {
		m.rejoin(m.self.incarnation + 1)
		return
	}
	wait := m.opts.FirstRejoinDelay
	for range recent {
		wait = min(2*wait, m.opts.MaxRejoinDelay)
	}
	m.self.rejoinAt = m.now + wait
	dead := Record{ID: m.cfg.Self.ID, Incarnation: m.self.incarnation, Status: StatusDead}
	m.members.merge(dead, "other VMs think this VM dead", m.now)
	m.log("self_thought_dead", "incarnation", m.self.incarnation, "rejoin_in", wait)
}

func (m *Machine) rejoinWhenDue() {
	if m.self.rejoinAt != 0 && m.now >= m.self.rejoinAt {
		m.rejoin(m.self.incarnation + 1)
	}
}

// rejoin announces this VM alive in a new incarnation.
func (m *Machine) rejoin(incarnation uint64) {
	m.self.rejoinAt = 0
	m.self.incarnation = incarnation
	status := StatusAlive
	if m.self.leaving {
		status = StatusLeaving
	}
	vm := m.cfg.Self
	m.members.merge(Record{ID: vm.ID, Incarnation: incarnation, Status: status, VM: &vm}, "this VM", m.now)
	m.log("self_rejoined", "incarnation", incarnation)
	m.self.announced = false
}

// announceWhenReady tells the fleet of this VM once it can serve.
func (m *Machine) announceWhenReady() {
	if m.self.announced || !m.Ready() || m.self.rejoinAt != 0 {
		return
	}
	m.self.announced = true
	m.self.announceUntil = m.now + announcePeriod
	m.broadcast(m.selfRecord())
}

// leave says farewell: others take this VM's homes over at once.
func (m *Machine) announceLeaving() {
	if m.self.leaving {
		return
	}
	m.self.leaving = true
	r := Record{ID: m.cfg.Self.ID, Incarnation: m.self.incarnation, Status: StatusLeaving}
	m.members.merge(r, "this VM shuts down", m.now)
	m.self.announceUntil = m.now + announcePeriod
	m.broadcast(m.selfRecord())
	m.log("self_leaving", "incarnation", m.self.incarnation)
}

// broadcast sends records to this data centre and to one VM of each other one,
// which passes them on.
func (m *Machine) broadcast(records ...Record) {
	m.notify(m.localPeers(), method.Heartbeat, m.heartbeatWithRecords(records...))
	m.notify(m.ring.relays, method.Heartbeat, m.heartbeatWithRecords(records...))
}

// newHeartbeat carries the own record after it changed, and as long as this VM is
// not in the platform's list: receivers may not know its addresses.
func (m *Machine) newHeartbeat() Heartbeat {
	h := Heartbeat{
		Incarnation: m.self.incarnation,
		Complete:    m.completeRevision,
		Objects:     m.objects.digest,
		Members:     m.members.currentDigest(),
	}
	if m.now < m.self.announceUntil || !m.members.members[m.cfg.Self.ID].listed {
		h.Records = []Record{m.selfRecord()}
	}
	return h
}

func (m *Machine) heartbeatWithRecords(records ...Record) Heartbeat {
	h := m.newHeartbeat()
	h.Records = append(h.Records, records...)
	return h
}

// sendHeartbeats sends what is due; a VM that cannot serve yet sends none.
func (m *Machine) sendHeartbeats() {
	if !m.self.announced || m.self.rejoinAt != 0 {
		return
	}
	if m.now >= m.timers.heartbeat {
		m.timers.heartbeat = m.now + m.opts.Heartbeat
		m.notify(m.ring.successors, method.Heartbeat, m.newHeartbeat())
	}
	if m.now >= m.timers.farHeartbeat {
		m.timers.farHeartbeat = m.now + m.opts.FarHeartbeat
		h := m.newHeartbeat()
		h.Probe = true
		m.notify(m.ring.farPeers, method.Heartbeat, h)
		m.probeDead()
	}
}

// probeDead tells one dead VM of this data centre in turn that it is thought
// dead, so that two sides of a healed partition find each other.
func (m *Machine) probeDead() {
	dead := m.members.ids(func(x *member) bool {
		return x.listed && x.vm.DataCentre == m.dataCentre() && x.record.Status == StatusDead && x.vm.ID != m.cfg.Self.ID
	})
	if len(dead) == 0 {
		return
	}
	m.self.deadProbeCursor++
	vm := dead[m.self.deadProbeCursor%len(dead)]
	h := m.heartbeatWithRecords(m.members.members[vm].outgoingRecord())
	h.Probe = true
	m.notify([]string{vm}, method.Heartbeat, h)
}

// resumed counts silence anew after a pause of this VM.
func (m *Machine) handlePause(gap time.Duration) {
	m.self.silenceBaseline = m.now
	m.self.lastDisturbed = m.now
	m.log("control_paused", "gap", gap)
}

// startMonitoring counts the silence of newly monitored VMs from now.
func (m *Machine) updateMonitored() {
	for _, id := range m.ring.predecessors {
		if !m.self.monitored[id] {
			m.members.members[id].monitoredSince = m.now
		}
	}
	m.self.monitored = make(map[string]bool, len(m.ring.predecessors))
	for _, id := range m.ring.predecessors {
		m.self.monitored[id] = true
	}
}

// silence returns how long a monitored VM has not been heard.
func (m *Machine) silentFor(x *member) time.Duration {
	return m.now - max(x.lastHeard, x.statusSince, x.monitoredSince, m.self.silenceBaseline)
}

// detect probes monitored VMs that are silent and reports those that stay so.
func (m *Machine) detectFailures() {
	if !m.self.announced || m.self.rejoinAt != 0 {
		return
	}
	var silent []string
	for _, id := range m.ring.predecessors {
		x := m.members.members[id]
		quiet := m.silentFor(x)
		if quiet >= m.opts.ProbeAfter && m.now-x.lastProbed >= m.opts.Heartbeat {
			m.probe(x)
		}
		if quiet >= m.opts.SilenceLimit {
			silent = append(silent, id)
		}
	}
	if len(silent) > 0 && m.isolated() {
		m.self.lastDisturbed = m.now
	}
	for _, id := range silent {
		m.recordOwnReport(id)
	}
}

// isolated reports whether this VM hears nobody, so that the fault may be its own.
func (m *Machine) isolated() bool {
	return m.now-max(m.self.lastReceived, m.self.silenceBaseline) >= m.opts.SilenceLimit
}

// probe asks a silent VM for a heartbeat and tells its other monitors.
func (m *Machine) probe(x *member) {
	x.lastProbed = m.now
	h := m.newHeartbeat()
	h.Probe = true
	m.notify([]string{x.record.ID}, method.Heartbeat, h)
	if m.silentFor(x) < m.opts.SilenceLimit {
		return
	}
	h.Probe = false
	h.Silent = []SilenceReport{{ID: x.record.ID, Incarnation: x.record.Incarnation}}
	monitors := without(m.ring.monitorsOf(x.record.ID, m.opts.Monitors), m.cfg.Self.ID)
	m.notify(monitors, method.Heartbeat, h)
}

func (m *Machine) recordOwnReport(id string) {
	x := m.members.members[id]
	m.recordSilenceReport(x, m.cfg.Self.ID)
	m.declareDeadOnQuorum(x)
}

// reportedSilent takes another monitor's report in.
func (m *Machine) handleSilenceReport(from string, s SilenceReport) {
	x := m.members.members[s.ID]
	if x == nil || s.ID == m.cfg.Self.ID || s.Incarnation != x.record.Incarnation {
		return
	}
	m.recordSilenceReport(x, from)
	m.declareDeadOnQuorum(x)
}

func (m *Machine) recordSilenceReport(x *member, from string) {
	if x.silenceReports == nil {
		x.silenceReports = make(map[string]time.Duration)
	}
	x.silenceReports[from] = m.now
}

// judge declares a VM dead once enough of its monitors report it. Monitors that
// are silent themselves do not count towards what is needed.
func (m *Machine) declareDeadOnQuorum(x *member) {
	if x.record.Status == StatusDead || m.silentFor(x) < m.opts.SilenceLimit {
		return
	}
	if m.isolated() && m.silentFor(x) < isolationFactor*m.opts.SilenceLimit {
		return
	}
	able, reporting := 0, 0
	for _, id := range m.ring.monitorsOf(x.record.ID, m.opts.Monitors) {
		if !m.suspects(id) {
			able++
		}
		if at, ok := x.silenceReports[id]; ok && m.now-at <= m.opts.SilenceLimit {
			reporting++
		}
	}
	if reporting < max(1, min(m.opts.Quorum, able)) {
		return
	}
	dead := Record{ID: x.record.ID, Incarnation: x.record.Incarnation, Status: StatusDead}
	m.members.merge(dead, "silent to its monitors", m.now)
	m.alarm("member_dead", "member", dead.ID, "incarnation", dead.Incarnation, "monitors", reporting)
	m.broadcast(x.outgoingRecord())
}

// findsSilent reports whether this VM itself monitors another and misses it.
func (m *Machine) suspects(id string) bool {
	for _, watched := range m.ring.predecessors {
		if watched == id {
			return m.silentFor(m.members.members[id]) >= m.opts.SilenceLimit
		}
	}
	return false
}
