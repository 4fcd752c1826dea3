package promotion

import (
	"errors"
	"sort"
	"time"

	"egretroad/internal/reducer"
	"egretroad/internal/topology"
)

// phase says which answer a group waits for.
type phase uint8

const (
	watching phase = iota
	asking         // witnesses
	electing
	claiming
	promoting
)

// group is the state of one database group.
type group struct {
	phase     phase
	reason    string
	probing   bool
	probeDue  time.Duration
	silent    time.Duration // since when the primary has not answered; 0: it answers
	absent    time.Duration // since when the group has had no primary; 0: it has one
	due       time.Duration // no new step before
	settled   time.Duration // no new promotion before
	candidate string
	refused   map[string]bool // servers that the platform refused in this round
	target    string          // last server promoted
	claimed   bool            // this VM has claimed the duty since it acts for the group
	claimDue  time.Duration   // no claim ahead of need before
}

// Machine implements reducer.Machine.
type Machine struct {
	options  Options
	self     string
	now      time.Duration
	snapshot *topology.Snapshot
	groups   map[string]*group
	ended    map[string]endedReplica // by server
	effects  []reducer.Effect
}

// New returns a machine of a VM.
func New(o Options, self string) *Machine {
	return &Machine{options: o, self: self, groups: map[string]*group{}, ended: map[string]endedReplica{}}
}

// Step implements reducer.Machine.
func (m *Machine) Step(e reducer.Event) []reducer.Effect {
	m.effects = nil
	switch e := e.(type) {
	case reducer.Tick:
		m.now = e.Now
		m.watchAll()
	case reducer.SnapshotPublished:
		m.noteEnded(m.snapshot, e.Snapshot)
		m.snapshot = e.Snapshot
		m.watchAll()
	case Probed:
		m.probed(e)
	case WitnessesAsked:
		m.witnessed(e)
	case Elected:
		m.elected(e)
	case Claimed:
		m.claimed(e)
	case Promoted:
		m.promoted(e)
	}
	return m.effects
}

func (m *Machine) emit(e reducer.Effect) { m.effects = append(m.effects, e) }

func (m *Machine) log(event string, fields ...any) { m.emit(Log{Event: event, Fields: fields}) }

// watchAll looks at every group that this VM acts for.
func (m *Machine) watchAll() {
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
		if m.actor(g) != m.self {
			if state := m.groups[database]; state != nil && state.phase == watching && !state.probing {
				delete(m.groups, database)
			}
			continue
		}
		if m.groups[database] == nil {
			m.groups[database] = &group{refused: map[string]bool{}}
		}
		m.watch(g, m.groups[database])
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

// actor returns the VM that acts for a group.
func (m *Machine) actor(g *topology.Group) string {
	if g.Primary != "" {
		return m.snapshot.Homes[g.Primary]
	}
	return m.snapshot.Homes[g.Servers[0].ID]
}

// watch starts a promotion when one is due.
func (m *Machine) watch(g *topology.Group, s *group) {
	primary, known := g.Server(g.Primary)
	if known {
		s.absent = 0
	} else if s.absent == 0 {
		s.absent = m.now
	}
	if known && !s.probing && m.now >= s.probeDue {
		s.probing = true
		m.emit(Probe{Database: g.Database, Server: primary.ID})
	}
	if s.phase != watching || m.now < s.due {
		return
	}
	// A server that was promoted and does not show as primary yet is given time.
	if m.now < s.settled && (!known || primary.ID != s.target) {
		return
	}
	if !s.claimed && m.now >= s.claimDue && s.silent == 0 {
		s.phase, s.candidate = claiming, ""
		m.emit(Claim{Database: g.Database})
		return
	}
	switch {
	case !known && m.now-s.absent >= m.options.AbsenceLimit:
		m.elect(g, s, "no server is primary", "")
	case known && primary.State == topology.ServerLeaving:
		m.elect(g, s, "the primary is leaving", primary.ID)
	case known && m.silence(s) >= m.options.SilenceLimit:
		m.ask(g, s, primary)
	}
}

// silence returns how long the primary has not answered. It grows while a question
// is open: a probe of a dead server ends only with its time.
func (m *Machine) silence(s *group) time.Duration {
	if s.silent == 0 {
		return 0
	}
	return m.now - s.silent
}

// ask lets other VMs say whether they reach a silent primary.
func (m *Machine) ask(g *topology.Group, s *group, primary topology.Server) {
	vms := m.witnesses(primary)
	if len(vms) == 0 {
		m.elect(g, s, "the primary is silent, and there is no other VM", "")
		return
	}
	s.phase = asking
	m.emit(AskWitnesses{Database: g.Database, Server: primary.ID, VMs: vms})
}

// witnesses picks other VMs, of different data centres first.
func (m *Machine) witnesses(primary topology.Server) []string {
	var ids []string
	for id := range m.snapshot.VMs {
		if id != m.self {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	seen := map[string]int{}
	order := map[string]int{}
	for _, id := range ids {
		dc := m.snapshot.VMs[id].DataCentre
		order[id] = seen[dc]
		seen[dc]++
	}
	sort.SliceStable(ids, func(i, j int) bool { return order[ids[i]] < order[ids[j]] })
	return ids[:min(len(ids), m.options.Witnesses)]
}

// probed notes whether the primary answers.
func (m *Machine) probed(e Probed) {
	s := m.groups[e.Database]
	if s == nil {
		return
	}
	s.probing, s.silent = false, 0
	if e.Silence > 0 {
		s.silent = m.now - e.Silence
	}
	s.probeDue = m.now + m.options.ProbeInterval
	if g := m.snapshot.Groups[e.Database]; g == nil || g.Primary != e.Server {
		s.silent = 0
	}
}

// witnessed promotes when no other VM reaches the primary either. A VM that no
// witness answers may itself be cut off, and does nothing.
func (m *Machine) witnessed(e WitnessesAsked) {
	s, g := m.state(e.Database, asking)
	if s == nil {
		return
	}
	s.phase, s.due = watching, m.now+m.options.Retry
	m.log("primary_silent", "database", e.Database, "server", e.Server, "silence", m.silence(s),
		"witnesses", e.Answered, "reached_by", e.Reached)
	if e.Answered == 0 || e.Reached > 0 || g.Primary != e.Server || s.silent == 0 {
		return
	}
	m.elect(g, s, "the primary is silent", "")
}

// state returns a group that waits in a phase; nil when it does not.
func (m *Machine) state(database string, p phase) (*group, *topology.Group) {
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

// elect looks for the replica that received most. Where commits are acknowledged
// once replicas have them, enough replicas must answer that one of them has each
// acknowledged commit, and a leaving replica counts too.
func (m *Machine) elect(g *topology.Group, s *group, reason, handOver string) {
	e := Elect{Database: g.Database, HandOver: handOver}
	synchronous := m.snapshot.Catalogue.Group(g.Database).SyncReplicas
	replicas := 0
	for _, server := range g.Servers {
		if server.ID == g.Primary {
			continue
		}
		replicas++
		switch {
		case s.refused[server.ID]:
		case server.State != topology.ServerLeaving:
			e.Candidates = append(e.Candidates, server.ID)
		case synchronous > 0:
			e.Reserve = append(e.Reserve, server.ID)
		}
	}
	replicas += m.missing(g, s)
	if synchronous > 0 {
		e.Required = max(replicas-synchronous+1, 1)
	}
	if candidates := len(e.Candidates) + len(e.Reserve); candidates == 0 || candidates < e.Required {
		m.log("promotion_waits", "database", g.Database, "reason", reason, "candidates", candidates, "required", e.Required)
		clear(s.refused)
		s.due = m.now + m.options.Retry
		return
	}
	s.phase, s.reason = electing, reason
	m.log("promotion_began", "database", g.Database, "primary", g.Primary, "reason", reason,
		"silence", m.silence(s), "candidates", e.Candidates, "required", e.Required, "revision", m.snapshot.Revision)
	m.emit(e)
}

// endedReplica is a replica whose registration ended.
type endedReplica struct {
	database string
	at       time.Duration
}

// noteEnded notes the replicas whose registration ended, by two snapshots that
// follow each other. Servers that left in order are not waited for.
func (m *Machine) noteEnded(old, next *topology.Snapshot) {
	for id, ended := range m.ended {
		if _, _, back := next.FindServer(id); back || m.now-ended.at > m.options.ReturnLimit {
			delete(m.ended, id)
		}
	}
	if old == nil {
		return
	}
	for database, g := range next.Groups {
		was := old.Groups[database]
		if was == nil || was == g {
			continue
		}
		for _, server := range was.Servers {
			_, registered := g.Server(server.ID)
			if !registered && server.ID != was.Primary && server.State != topology.ServerLeaving {
				m.ended[server.ID] = endedReplica{database: database, at: m.now}
			}
		}
	}
}

// missing returns the number of replicas whose registration ended after the group
// lost its primary: they served until then, and commits may have waited for them.
func (m *Machine) missing(g *topology.Group, s *group) int {
	lost := m.now - m.silence(s)
	if s.absent != 0 {
		lost = s.absent
	}
	n := 0
	for _, ended := range m.ended {
		if ended.database == g.Database && ended.at >= lost && m.now-ended.at <= m.options.ReturnLimit {
			n++
		}
	}
	return n
}

func (m *Machine) elected(e Elected) {
	s, g := m.state(e.Database, electing)
	if s == nil {
		return
	}
	if e.Leads {
		m.emit(Announce{Database: e.Database, Server: e.Server})
	}
	if e.Server == "" || e.Leads || m.recovered(g, s) {
		m.log("promotion_given_up", "database", e.Database, "candidate", e.Server, "leads", e.Leads)
		s.phase, s.due = watching, m.now+m.options.Retry
		return
	}
	s.phase, s.candidate = claiming, e.Server
	m.emit(Claim{Database: e.Database})
}

// recovered reports whether the reason for the promotion is gone.
func (m *Machine) recovered(g *topology.Group, s *group) bool {
	primary, known := g.Server(g.Primary)
	return known && primary.State != topology.ServerLeaving && s.silent == 0
}

func (m *Machine) claimed(e Claimed) {
	s, g := m.state(e.Database, claiming)
	if s == nil {
		return
	}
	s.claimed = s.claimed || e.Err == nil && e.Token != 0
	if s.candidate == "" {
		s.phase, s.claimDue = watching, m.now+m.options.ClaimRetry
		return
	}
	if e.Token == 0 {
		m.log("duty_not_claimed", "database", e.Database, "error", e.Err)
		s.phase, s.due = watching, m.now+m.options.Retry
		return
	}
	if m.recovered(g, s) {
		m.log("promotion_given_up", "database", e.Database, "candidate", s.candidate, "leads", false)
		s.phase, s.due = watching, m.now+m.options.Retry
		return
	}
	s.phase = promoting
	m.emit(Promote{Call: Call{Database: e.Database, Server: s.candidate, Holder: m.self, Token: e.Token}})
}

func (m *Machine) promoted(e Promoted) {
	s, _ := m.state(e.Call.Database, promoting)
	if s == nil {
		return
	}
	m.log("promotion_called", "database", e.Call.Database, "server", e.Call.Server, "token", e.Call.Token,
		"reason", s.reason, "error", e.Err)
	s.phase = watching
	var refused *RefusedError
	if errors.As(e.Err, &refused) {
		s.refused[e.Call.Server] = true
		s.due = m.now + m.options.Retry
		return
	}
	if e.Err != nil {
		s.due = m.now + m.options.Retry
		return
	}
	m.emit(Announce{Database: e.Call.Database, Server: e.Call.Server})
	clear(s.refused)
	s.target, s.settled, s.silent, s.absent = e.Call.Server, m.now+m.options.Settle, 0, 0
}
