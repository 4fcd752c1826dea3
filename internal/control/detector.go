package control

import (
	"time"

	"egretroad/internal/peer/method"
)

// Fixed times of the membership protocol.
const (
	announcePeriod       = 3 * time.Second // how long heartbeats carry this VM's record after it changed
	falseDetectionWindow = 2 * time.Minute // false detections within this time double the rejoin delay
	undisturbedTime      = 2 * time.Second // time without a pause or isolation required to rejoin immediately
	isolationFactor      = 3               // an isolated VM declares others dead after this many silence limits
)

// selfState is the membership state of this VM itself.
type selfState struct {
	incarnation     uint64
	announced       bool
	announceUntil   time.Duration
	leaving         bool
	rejoinAt        time.Duration // 0: no rejoin scheduled
	falseDetections []time.Duration
	lastDisturbed   time.Duration // last pause or isolation of this VM
	lastReceived    time.Duration // last message from any VM
	silenceBaseline time.Duration // silence is measured from this time or later
	deadProbeCursor int           // index of the dead VM to probe next
	monitored       map[string]bool
}

// timers holds the next due times of the periodic messages.
type timers struct {
	heartbeat, farHeartbeat, deadProbe time.Duration
}

func (t *timers) reset(now time.Duration) { *t = timers{now, now, now} }

// handleHeartbeat processes a peer's heartbeat: member records, silence reports
// and digests.
func (m *Machine) handleHeartbeat(from string, h Heartbeat) {
	m.self.lastReceived = m.now
	for _, r := range h.Records {
		m.mergeAndRelay(r, from)
	}
	sender := m.members.members[from]
	if sender == nil {
		return
	}
	sender.lastHeartbeat = m.now
	current := Record{ID: from, Incarnation: h.Incarnation, Status: StatusAlive}
	if h.Incarnation > sender.record.Incarnation {
		m.mergeAndRelay(current, from)
	}
	m.recordWatchContact(from, h)
	m.replyToHeartbeat(from, h)
	for _, s := range h.Silent {
		m.handleSilenceReport(from, s)
	}
	if sender.reachable() {
		m.compareDigests(from, h)
	}
}

// replyToHeartbeat replies to probes, and sends a VM that is recorded as dead its
// own record so that it can rejoin.
func (m *Machine) replyToHeartbeat(from string, h Heartbeat) {
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

// mergeAndRelay merges a record and relays a new one from another data centre to
// the VMs of this one.
func (m *Machine) mergeAndRelay(r Record, from string) {
	if m.mergeRecord(r, from) && !m.inOwnDataCentre(from) {
		m.notify(m.localPeers(), method.Heartbeat, m.heartbeatWithRecords(r))
	}
}

// mergeRecord merges a record received from a peer. It reports whether the record
// changed what is known of another VM.
func (m *Machine) mergeRecord(r Record, from string) bool {
	if r.ID == m.cfg.Self.ID {
		m.handleSelfRecord(r)
		return false
	}
	if !m.members.merge(r, "reported by "+from, m.now) {
		return false
	}
	m.log("member_changed", "member", r.ID, "status", r.Status, "incarnation", r.Incarnation, "from", from)
	return true
}

// handleSelfRecord reacts to a peer's record of this VM: it rejoins with a higher
// incarnation, or schedules that, if the record supersedes its own.
func (m *Machine) handleSelfRecord(r Record) {
	own := m.members.members[m.cfg.Self.ID].record
	if !r.supersedes(own) || m.self.leaving && r.Incarnation == own.Incarnation {
		return
	}
	if r.Incarnation > m.self.incarnation {
		m.rejoin(r.Incarnation + 1)
		return
	}
	if r.Status != StatusDead || m.awaitsRejoin() {
		return
	}
	m.handleFalseDetection()
}

// handleFalseDetection rejoins immediately if this VM ran undisturbed and was not
// recently declared dead, and otherwise after a delay that doubles with each recent
// false detection.
func (m *Machine) handleFalseDetection() {
	recent := m.self.falseDetections[:0]
	for _, detectedAt := range m.self.falseDetections {
		if m.now-detectedAt < falseDetectionWindow {
			recent = append(recent, detectedAt)
		}
	}
	m.self.falseDetections = append(recent, m.now)
	undisturbed := m.now-m.self.lastDisturbed > undisturbedTime
	if undisturbed && len(recent) == 0 {
		m.rejoin(m.self.incarnation + 1)
		return
	}
	wait := m.opts.FirstRejoinDelay
	for range recent {
		wait = min(2*wait, m.opts.MaxRejoinDelay)
	}
	m.self.rejoinAt = m.now + wait
	dead := Record{ID: m.cfg.Self.ID, Incarnation: m.self.incarnation, Status: StatusDead}
	m.members.merge(dead, "declared dead by other VMs", m.now)
	m.log("self_thought_dead", "incarnation", m.self.incarnation, "rejoin_in", wait)
	m.reportWatchState()
}

// awaitsRejoin reports whether the other VMs hold this one for dead and it waits before it
// rejoins.
func (m *Machine) awaitsRejoin() bool { return m.self.rejoinAt != 0 }

func (m *Machine) rejoinWhenDue() {
	if m.awaitsRejoin() && m.now >= m.self.rejoinAt {
		m.rejoin(m.self.incarnation + 1)
	}
}

// rejoin starts a new incarnation, which announceWhenReady then announces.
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
	m.reportWatchState()
	m.self.announced = false
}

// announceWhenReady broadcasts this VM's record once it can serve.
func (m *Machine) announceWhenReady() {
	if m.self.announced || !m.Ready() || m.awaitsRejoin() {
		return
	}
	m.self.announced = true
	m.self.announceUntil = m.now + announcePeriod
	m.broadcast(m.selfRecord())
}

// announceLeaving broadcasts that this VM shuts down, so that other VMs take over
// its homes without waiting for the failure detector.
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

// broadcast sends records to the VMs of this data centre and to one VM of each
// other data centre, which relays them there.
func (m *Machine) broadcast(records ...Record) {
	m.notify(m.localPeers(), method.Heartbeat, m.heartbeatWithRecords(records...))
	m.notify(m.ring.relays, method.Heartbeat, m.heartbeatWithRecords(records...))
}

// newHeartbeat returns a heartbeat with this VM's digests. It includes this VM's
// record for a while after a change, and as long as the VM is not in the platform's
// list, since receivers may not know its addresses.
func (m *Machine) newHeartbeat() Heartbeat {
	h := Heartbeat{
		Incarnation: m.self.incarnation,
		Complete:    m.statedCompleteness(),
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

// sendHeartbeats sends the heartbeats that are due. A VM that cannot serve yet
// sends none.
func (m *Machine) sendHeartbeats() {
	if !m.self.announced || m.awaitsRejoin() {
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

// probeDead sends the next dead VM of this data centre, or of one without a live VM, in
// round-robin order, its own record as dead. This lets the two sides of a healed
// partition reconnect. The record of this VM goes with it: a VM that registered and that
// the store has refused since knows no other VM.
func (m *Machine) probeDead() {
	live := map[string]bool{}
	for _, dc := range m.members.dataCentres() {
		live[dc] = true
	}
	dead := m.members.ids(func(peer *member) bool {
		isOurs := peer.vm.DataCentre == m.dataCentre() || !live[peer.vm.DataCentre]
		return peer.listed && isOurs && peer.record.Status == StatusDead && peer.vm.ID != m.cfg.Self.ID
	})
	if len(dead) == 0 {
		return
	}
	m.self.deadProbeCursor++
	vm := dead[m.self.deadProbeCursor%len(dead)]
	self := m.members.members[m.cfg.Self.ID].record
	self.VM = &m.cfg.Self
	h := m.heartbeatWithRecords(m.members.members[vm].outgoingRecord(), self)
	h.Probe = true
	m.notify([]string{vm}, method.Heartbeat, h)
}

// handlePause restarts the measurement of silence after this VM was paused.
func (m *Machine) handlePause(gap time.Duration) {
	m.self.silenceBaseline = m.now
	m.self.lastDisturbed = m.now
	m.log("control_paused", "gap", gap)
}

// updateMonitored updates the set of monitored VMs. The silence of newly monitored
// VMs is measured from now.
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

// silentFor returns the time since the last message from a monitored VM.
func (m *Machine) silentFor(peer *member) time.Duration {
	return m.now - max(peer.lastHeartbeat, peer.statusSince, peer.monitoredSince, m.self.silenceBaseline)
}

// detectFailures probes monitored VMs that are silent, and reports those that
// exceed the silence limit.
func (m *Machine) detectFailures() {
	if !m.self.announced || m.awaitsRejoin() {
		return
	}
	var silent []string
	for _, id := range m.ring.predecessors {
		peer := m.members.members[id]
		silence := m.silentFor(peer)
		if silence >= m.opts.ProbeAfter && m.now-peer.lastProbed >= m.opts.Heartbeat {
			m.probe(peer)
		}
		if silence >= m.opts.SilenceLimit {
			silent = append(silent, id)
		}
	}
	if len(silent) > 0 && m.isolated() {
		m.self.lastDisturbed = m.now
	}
	for _, id := range silent {
		m.reportSilent(id)
	}
}

// isolated reports whether this VM receives no messages at all, in which case the
// fault may be its own.
func (m *Machine) isolated() bool {
	return m.now-max(m.self.lastReceived, m.self.silenceBaseline) >= m.opts.SilenceLimit
}

// probe requests a heartbeat from a silent VM. Beyond the silence limit it also
// reports the VM as silent to its other monitors.
func (m *Machine) probe(peer *member) {
	peer.lastProbed = m.now
	h := m.newHeartbeat()
	h.Probe = true
	m.notify([]string{peer.record.ID}, method.Heartbeat, h)
	if m.silentFor(peer) < m.opts.SilenceLimit {
		return
	}
	h.Probe = false
	h.Silent = []SilenceReport{{ID: peer.record.ID, Incarnation: peer.record.Incarnation}}
	monitors := excluding(m.ring.monitorsOf(peer.record.ID, m.opts.Monitors), m.cfg.Self.ID)
	m.notify(monitors, method.Heartbeat, h)
}

func (m *Machine) reportSilent(id string) {
	peer := m.members.members[id]
	m.recordSilenceReport(peer, m.cfg.Self.ID)
	m.declareDeadOnQuorum(peer)
}

// handleSilenceReport processes another monitor's report. It ignores reports about an
// incarnation other than the known one.
func (m *Machine) handleSilenceReport(from string, s SilenceReport) {
	peer := m.members.members[s.ID]
	if peer == nil || s.ID == m.cfg.Self.ID || s.Incarnation != peer.record.Incarnation {
		return
	}
	m.recordSilenceReport(peer, from)
	m.declareDeadOnQuorum(peer)
}

func (m *Machine) recordSilenceReport(peer *member, from string) {
	if peer.silenceReports == nil {
		peer.silenceReports = make(map[string]time.Duration)
	}
	peer.silenceReports[from] = m.now
}

// declareDeadOnQuorum declares a VM dead once a quorum of its monitors reports it
// silent. Monitors that are silent themselves lower the number of reports required.
func (m *Machine) declareDeadOnQuorum(peer *member) {
	if peer.record.Status == StatusDead || m.silentFor(peer) < m.opts.SilenceLimit {
		return
	}
	if m.isolated() && m.silentFor(peer) < isolationFactor*m.opts.SilenceLimit {
		return
	}
	healthy, reporting := 0, 0
	for _, id := range m.ring.monitorsOf(peer.record.ID, m.opts.Monitors) {
		if !m.suspects(id) {
			healthy++
		}
		if at, ok := peer.silenceReports[id]; ok && m.now-at <= m.opts.SilenceLimit {
			reporting++
		}
	}
	if reporting < max(1, min(m.opts.Quorum, healthy)) {
		return
	}
	dead := Record{ID: peer.record.ID, Incarnation: peer.record.Incarnation, Status: StatusDead}
	m.members.merge(dead, "reported silent by its monitors", m.now)
	m.alarm("member_dead", "member", dead.ID, "incarnation", dead.Incarnation, "monitors", reporting)
	m.broadcast(peer.outgoingRecord())
}

// suspects reports whether this VM monitors the given VM and has measured silence
// beyond the limit.
func (m *Machine) suspects(id string) bool {
	for _, monitored := range m.ring.predecessors {
		if monitored == id {
			return m.silentFor(m.members.members[id]) >= m.opts.SilenceLimit
		}
	}
	return false
}
