package control

import (
	"time"

	"egretroad/internal/peer/method"
)

// Times of the membership protocol that follow from the options.
const (
	announceRepeat = 3 * time.Second // how long heartbeats carry the own record after it changed
	deathMemory    = 2 * time.Minute // false deaths within this time lengthen the wait to rejoin
	calmTime       = 2 * time.Second // how long a VM must have run undisturbed to refute at once
	isolationScale = 3               // a VM that hears nobody waits this many silence limits
)

// selfState is this VM's own part in the membership protocol.
type selfState struct {
	incarnation   uint64
	announced     bool
	announceUntil time.Duration
	leaving       bool
	rejoinAt      time.Duration // 0: not waiting to rejoin
	falseDeaths   []time.Duration
	disturbed     time.Duration // last pause or isolation
	heardAny      time.Duration // last message of any VM
	baseline      time.Duration // silence is counted from here at the earliest
	deadCursor    int           // which dead VM is probed next
	watched       map[string]bool
}

// timers hold when periodic work is due next.
type timers struct {
	heartbeat, farHeartbeat, deadProbe time.Duration
}

func (t *timers) reset(now time.Duration) { *t = timers{now, now, now} }

// heartbeat takes a peer's heartbeat in.
func (m *Machine) heartbeat(from string, h Heartbeat) {
	m.self.heardAny = m.now
	for _, r := range h.Records {
		m.learn(r, from)
	}
	sender := m.members.members[from]
	if sender == nil {
		return
	}
	sender.heard = m.now
	current := Record{ID: from, Incarnation: h.Incarnation, Status: StatusAlive}
	if h.Incarnation > sender.record.Incarnation {
		m.learn(current, from)
	}
	m.answerHeartbeat(from, h)
	for _, s := range h.Silent {
		m.reportedSilent(from, s)
	}
	if sender.serves() {
		m.compare(from, h)
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
		reply.Records = append(reply.Records, sender.share())
	}
	m.notify([]string{from}, method.Heartbeat, reply)
}

// learn merges a record and passes news from another data centre on.
func (m *Machine) learn(r Record, from string) {
	if m.merge(r, from) && !m.inOwnDataCentre(from) {
		m.notify(m.others(), method.Heartbeat, m.withRecords(r))
	}
}

// merge takes a record of a peer in and reports whether it was news of another VM.
func (m *Machine) merge(r Record, from string) bool {
	if r.ID == m.cfg.Self.ID {
		m.learnSelf(r)
		return false
	}
	if !m.members.merge(r, "told by "+from, m.now) {
		return false
	}
	m.log("member_changed", "member", r.ID, "status", r.Status, "incarnation", r.Incarnation, "from", from)
	return true
}

// learnSelf answers records of others about this VM.
func (m *Machine) learnSelf(r Record) {
	own := m.members.members[m.cfg.Self.ID].record
	if !r.after(own) || m.self.leaving && r.Incarnation == own.Incarnation {
		return
	}
	if r.Incarnation > m.self.incarnation {
		m.rejoin(r.Incarnation + 1)
		return
	}
	if r.Status != StatusDead || m.self.rejoinAt != 0 {
		return
	}
	m.thoughtDead()
}

// thoughtDead decides when to return: at once if this VM ran undisturbed, else
// after a wait that doubles with each recent false death.
func (m *Machine) thoughtDead() {
	recent := m.self.falseDeaths[:0]
	for _, at := range m.self.falseDeaths {
		if m.now-at < deathMemory {
			recent = append(recent, at)
		}
	}
	m.self.falseDeaths = append(recent, m.now)
	calm := m.now-m.self.disturbed > calmTime
	if calm && len(recent) == 0 {
		m.rejoin(m.self.incarnation + 1)
		return
	}
	wait := m.opts.RejoinFirst
	for range recent {
		wait = min(2*wait, m.opts.RejoinMax)
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
	m.self.announceUntil = m.now + announceRepeat
	m.broadcast(m.selfRecord())
}

// leave says farewell: others take this VM's homes over at once.
func (m *Machine) leave() {
	if m.self.leaving {
		return
	}
	m.self.leaving = true
	r := Record{ID: m.cfg.Self.ID, Incarnation: m.self.incarnation, Status: StatusLeaving}
	m.members.merge(r, "this VM shuts down", m.now)
	m.self.announceUntil = m.now + announceRepeat
	m.broadcast(m.selfRecord())
	m.log("self_leaving", "incarnation", m.self.incarnation)
}

// broadcast sends records to this data centre and to one VM of each other one,
// which passes them on.
func (m *Machine) broadcast(records ...Record) {
	m.notify(m.others(), method.Heartbeat, m.withRecords(records...))
	m.notify(m.ring.relays, method.Heartbeat, m.withRecords(records...))
}

// newHeartbeat carries the own record after it changed, and as long as this VM is
// not in the platform's list: receivers may not know its addresses.
func (m *Machine) newHeartbeat() Heartbeat {
	h := Heartbeat{
		Incarnation: m.self.incarnation,
		Complete:    m.complete,
		Objects:     m.objects.digest,
		Members:     m.members.sum(),
	}
	if m.now < m.self.announceUntil || !m.members.members[m.cfg.Self.ID].listed {
		h.Records = []Record{m.selfRecord()}
	}
	return h
}

func (m *Machine) withRecords(records ...Record) Heartbeat {
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
		m.notify(m.ring.targets, method.Heartbeat, m.newHeartbeat())
	}
	if m.now >= m.timers.farHeartbeat {
		m.timers.farHeartbeat = m.now + m.opts.FarHeartbeat
		h := m.newHeartbeat()
		h.Probe = true
		m.notify(m.ring.far, method.Heartbeat, h)
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
	m.self.deadCursor++
	vm := dead[m.self.deadCursor%len(dead)]
	h := m.withRecords(m.members.members[vm].share())
	h.Probe = true
	m.notify([]string{vm}, method.Heartbeat, h)
}

// resumed counts silence anew after a pause of this VM.
func (m *Machine) resumed(gap time.Duration) {
	m.self.baseline = m.now
	m.self.disturbed = m.now
	m.log("control_paused", "gap", gap)
}

// startMonitoring counts the silence of newly monitored VMs from now.
func (m *Machine) startMonitoring() {
	for _, id := range m.ring.watched {
		if !m.self.watched[id] {
			m.members.members[id].monitored = m.now
		}
	}
	m.self.watched = make(map[string]bool, len(m.ring.watched))
	for _, id := range m.ring.watched {
		m.self.watched[id] = true
	}
}

// silence returns how long a monitored VM has not been heard.
func (m *Machine) silence(x *member) time.Duration {
	return m.now - max(x.heard, x.since, x.monitored, m.self.baseline)
}

// detect probes monitored VMs that are silent and reports those that stay so.
func (m *Machine) detect() {
	if !m.self.announced || m.self.rejoinAt != 0 {
		return
	}
	var silent []string
	for _, id := range m.ring.watched {
		x := m.members.members[id]
		quiet := m.silence(x)
		if quiet >= m.opts.ProbeAfter && m.now-x.probed >= m.opts.Heartbeat {
			m.probe(x)
		}
		if quiet >= m.opts.SilenceLimit {
			silent = append(silent, id)
		}
	}
	if len(silent) > 0 && m.isolated() {
		m.self.disturbed = m.now
	}
	for _, id := range silent {
		m.foundSilent(id)
	}
}

// isolated reports whether this VM hears nobody, so that the fault may be its own.
func (m *Machine) isolated() bool {
	return m.now-max(m.self.heardAny, m.self.baseline) >= m.opts.SilenceLimit
}

// probe asks a silent VM for a heartbeat and tells its other monitors.
func (m *Machine) probe(x *member) {
	x.probed = m.now
	h := m.newHeartbeat()
	h.Probe = true
	m.notify([]string{x.record.ID}, method.Heartbeat, h)
	if m.silence(x) < m.opts.SilenceLimit {
		return
	}
	h.Probe = false
	h.Silent = []Silence{{ID: x.record.ID, Incarnation: x.record.Incarnation}}
	monitors := without(m.ring.monitorsOf(x.record.ID, m.opts.Monitors), m.cfg.Self.ID)
	m.notify(monitors, method.Heartbeat, h)
}

func (m *Machine) foundSilent(id string) {
	x := m.members.members[id]
	m.noteReport(x, m.cfg.Self.ID)
	m.judge(x)
}

// reportedSilent takes another monitor's report in.
func (m *Machine) reportedSilent(from string, s Silence) {
	x := m.members.members[s.ID]
	if x == nil || s.ID == m.cfg.Self.ID || s.Incarnation != x.record.Incarnation {
		return
	}
	m.noteReport(x, from)
	m.judge(x)
}

func (m *Machine) noteReport(x *member, from string) {
	if x.reports == nil {
		x.reports = make(map[string]time.Duration)
	}
	x.reports[from] = m.now
}

// judge declares a VM dead once enough of its monitors report it. Monitors that
// are silent themselves do not count towards what is needed.
func (m *Machine) judge(x *member) {
	if x.record.Status == StatusDead || m.silence(x) < m.opts.SilenceLimit {
		return
	}
	if m.isolated() && m.silence(x) < isolationScale*m.opts.SilenceLimit {
		return
	}
	able, reporting := 0, 0
	for _, id := range m.ring.monitorsOf(x.record.ID, m.opts.Monitors) {
		if !m.findsSilent(id) {
			able++
		}
		if at, ok := x.reports[id]; ok && m.now-at <= m.opts.SilenceLimit {
			reporting++
		}
	}
	if reporting < max(1, min(m.opts.Quorum, able)) {
		return
	}
	dead := Record{ID: x.record.ID, Incarnation: x.record.Incarnation, Status: StatusDead}
	m.members.merge(dead, "silent to its monitors", m.now)
	m.alarm("member_dead", "member", dead.ID, "incarnation", dead.Incarnation, "monitors", reporting)
	m.broadcast(x.share())
}

// findsSilent reports whether this VM itself monitors another and misses it.
func (m *Machine) findsSilent(id string) bool {
	for _, watched := range m.ring.watched {
		if watched == id {
			return m.silence(m.members.members[id]) >= m.opts.SilenceLimit
		}
	}
	return false
}
