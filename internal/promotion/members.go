package promotion

import (
	"cmp"
	"slices"
	"time"

	"egretroad/internal/platform"
	"egretroad/internal/topology"
)

// Members is the value of the platform object of kind "members", named after a database
// group with synchronous replicas. Invariant: each commit that the group has acknowledged is
// in the logs of more than SyncReplicas of the servers. So if all but SyncReplicas of them
// report their positions, one of them has every acknowledged commit, whatever VMs and servers
// have seen of each other before.
//
// A server is added as soon as it is registered. It is removed only once SyncReplicas other
// members are known to have received everything that it may have acknowledged.
type Members struct {
	SyncReplicas int      `json:"syncReplicas"` // replicas that a commit needed, at least, since the record exists
	Servers      []Member `json:"servers"`      // ordered by ID
}

// Member is a server that may have acknowledged commits of its group.
type Member struct {
	ID   string `json:"id"`
	Addr string `json:"addr"` // IP:port
	// Leaving is set once the server has announced its end. A server that starts at its
	// address afterwards has its log.
	Leaving bool `json:"leaving,omitempty"`
}

func newMember(s topology.Server) Member {
	return Member{ID: s.ID, Addr: s.Addr, Leaving: s.State == topology.ServerLeaving}
}

// has reports whether a server is a member.
func (r Members) has(id string) bool {
	return slices.ContainsFunc(r.Servers, func(s Member) bool { return s.ID == id })
}

// equal reports whether two records are the same.
func (r Members) equal(o Members) bool {
	return r.SyncReplicas == o.SyncReplicas && slices.Equal(r.Servers, o.Servers)
}

// with returns the record with a server added or changed.
func (r Members) with(server Member) Members {
	next := r.without([]string{server.ID})
	next.Servers = append(next.Servers, server)
	slices.SortFunc(next.Servers, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return next
}

// without returns the record without the given servers.
func (r Members) without(ids []string) Members {
	next := Members{SyncReplicas: r.SyncReplicas}
	for _, s := range r.Servers {
		if !slices.Contains(ids, s.ID) {
			next.Servers = append(next.Servers, s)
		}
	}
	return next
}

// memberRecord is what the VM that acts for a group knows of its record of members. Points in
// time are on the clock of reducer.Tick.
type memberRecord struct {
	read     bool
	readAt   time.Duration
	epoch    uint64 // of the store, at the time of the read
	version  uint64 // 0: there is no record
	stored   Members
	members  Members // stored, and those that the store has lost
	inFlight bool    // a read, a write or a check
	nextStep time.Duration
	// nextCheck is when members may be checked for removal again.
	nextCheck time.Duration
	// absentSince is since when this VM has missed the registrations of members.
	absentSince map[string]time.Duration
}

// ReadMembers reads the record of a group's members from the store. The result is a
// MembersRead.
type ReadMembers struct{ Database string }

// EffectName implements reducer.Effect.
func (ReadMembers) EffectName() string { return "read_members" }

// MembersRead reports the record of a group's members. Version is 0 if there is none.
type MembersRead struct {
	Database string
	Version  uint64
	Members  Members
	Err      error
}

// EventName implements reducer.Event.
func (MembersRead) EventName() string { return "members_read" }

// WriteMembers replaces the record of a group's members if it has the given version; 0
// creates it. The result is a MembersWritten.
type WriteMembers struct {
	Database string
	Version  uint64
	Members  Members
}

// EffectName implements reducer.Effect.
func (WriteMembers) EffectName() string { return "write_members" }

// MembersWritten reports the result of WriteMembers.
type MembersWritten struct {
	Database string
	Version  uint64 // of the written record
	Members  Members
	Err      error
}

// EventName implements reducer.Event.
func (MembersWritten) EventName() string { return "members_written" }

// CheckMembers checks whether enough replicas have received all that the primary has
// committed. The result is a MembersChecked.
type CheckMembers struct {
	Database, Primary string
	Replicas          []string // registered members
	Required          int      // replicas that must have received it
	Next              Members  // the record that this permits
}

// EffectName implements reducer.Effect.
func (CheckMembers) EffectName() string { return "check_members" }

// MembersChecked reports whether Required replicas have received at least Position, which the
// primary reported after the check had begun.
type MembersChecked struct {
	Database string
	Next     Members
	Position topology.Mark
	Received []string // replicas that have received Position
	Proven   bool
}

// EventName implements reducer.Event.
func (MembersChecked) EventName() string { return "members_checked" }

// syncReplicas returns how many replicas of a group must have received a commit before it is
// acknowledged. known is false if no entry of the catalogue names the group.
func (m *Machine) syncReplicas(database string) (replicas int, known bool) {
	if m.snapshot.Catalogue == nil {
		return 0, false
	}
	return m.snapshot.Catalogue.Group(database).SyncReplicas, m.snapshot.Catalogue.HasGroup(database)
}

// hasRecentRecord reports whether the record was read or written so recently that an election
// need not read it again.
func (m *Machine) hasRecentRecord(r *memberRecord) bool {
	return r.read && !r.inFlight && m.now-r.readAt < m.options.RecordRetryDelay && r.epoch == platform.EpochOf(m.snapshot.Revision)
}

// maintainMembers keeps the record of a group's members up to date while it has a primary.
func (m *Machine) maintainMembers(g *topology.Group, s *groupState) {
	required, _ := m.syncReplicas(g.Database)
	r := &s.members
	if required == 0 || g.Primary == "" || r.inFlight || m.now < r.nextStep {
		return
	}
	if !r.read || r.epoch != platform.EpochOf(m.snapshot.Revision) {
		m.readMembers(g.Database, s)
		return
	}
	m.recordAbsences(g, r)
	next := r.members
	if r.version == 0 {
		next.SyncReplicas = required
	}
	next.SyncReplicas = min(next.SyncReplicas, required)
	for _, server := range g.Servers {
		next = next.with(newMember(server))
	}
	if r.version == 0 || !next.equal(r.stored) {
		m.writeMembers(g.Database, s, next)
		return
	}
	m.checkRemovals(g, s, required)
}

func (m *Machine) readMembers(database string, s *groupState) {
	s.members.inFlight = true
	m.emit(ReadMembers{Database: database})
}

func (m *Machine) writeMembers(database string, s *groupState, next Members) {
	s.members.inFlight = true
	m.emit(WriteMembers{Database: database, Version: s.members.version, Members: next})
}

// recordAbsences records since when members are not registered.
func (m *Machine) recordAbsences(g *topology.Group, r *memberRecord) {
	for id := range r.absentSince {
		if _, registered := g.Server(id); registered || !r.members.has(id) {
			delete(r.absentSince, id)
		}
	}
	for _, member := range r.members.Servers {
		_, registered := g.Server(member.ID)
		if _, noted := r.absentSince[member.ID]; !registered && !noted {
			r.absentSince[member.ID] = m.now
		}
	}
}

// checkRemovals starts a check of the replicas if members can be removed, or the number of
// synchronous replicas has risen. A member whose address another server has taken over receives
// nothing any more. Any other one may still do so while its registration is missing, and counts
// as gone after ReplicaReturnLimit.
func (m *Machine) checkRemovals(g *topology.Group, s *groupState, required int) {
	if m.now < s.members.nextCheck {
		return
	}
	var gone []string
	for _, member := range s.members.members.Servers {
		since, absent := s.members.absentSince[member.ID]
		if absent && (handedOn(g, member) || m.now-since >= m.options.ReplicaReturnLimit) {
			gone = append(gone, member.ID)
		}
	}
	if len(gone) == 0 && s.members.members.SyncReplicas >= required {
		return
	}
	next := s.members.members.without(gone)
	next.SyncReplicas = required
	e := CheckMembers{Database: g.Database, Primary: g.Primary, Required: required, Next: next}
	for _, server := range g.Servers {
		if server.ID != g.Primary {
			e.Replicas = append(e.Replicas, server.ID)
		}
	}
	s.members.nextCheck = m.now + m.options.RecordRetryDelay
	if len(e.Replicas) >= required {
		s.members.inFlight = true
		m.emit(e)
	}
}

func (m *Machine) handleMembersRead(e MembersRead) {
	s, g := m.groups[e.Database], m.snapshot.Groups[e.Database]
	if s == nil {
		return
	}
	m.applyMembersRead(&s.members, e)
	if g == nil {
		return
	}
	if s, _ := m.groupInPhase(e.Database, phaseMembers); s != nil {
		s.phase = phaseMonitoring
		if !m.electionNeeded(g, s) {
			return
		}
		if e.Err != nil && !m.returnLimitPassed(g, s) {
			m.logWait(g, s, "the record of the members cannot be read", nil, 0, 0)
			s.nextStep = m.now + m.options.RetryDelay
			return
		}
		m.elect(g, s)
		return
	}
	m.maintainMembers(g, s)
}

// applyMembersRead applies a record. A store that has returned from an older copy may lack
// members that this VM has recorded in an earlier epoch.
func (m *Machine) applyMembersRead(r *memberRecord, e MembersRead) {
	r.inFlight = false
	if e.Err != nil {
		m.log("members_not_read", "database", e.Database, "error", e.Err)
		r.nextStep = m.now + m.options.RecordRetryDelay
		return
	}
	epoch := platform.EpochOf(m.snapshot.Revision)
	members := e.Members
	if r.read && r.epoch != epoch {
		for _, member := range r.members.Servers {
			if !members.has(member.ID) {
				members = members.with(member)
				m.log("member_missing_in_store", "database", e.Database, "server", member.ID, "version", e.Version)
			}
		}
	}
	r.read, r.readAt, r.epoch, r.version, r.stored, r.members = true, m.now, epoch, e.Version, e.Members, members
	if r.absentSince == nil {
		r.absentSince = map[string]time.Duration{}
	}
}

func (m *Machine) handleMembersWritten(e MembersWritten) {
	s := m.groups[e.Database]
	if s == nil {
		return
	}
	r := &s.members
	r.inFlight = false
	defer m.resumeElection(e.Database, s)
	if e.Err != nil {
		m.log("members_not_written", "database", e.Database, "servers", memberIDs(e.Members), "error", e.Err)
		r.read, r.nextStep = false, m.now+m.options.RecordRetryDelay
		return
	}
	r.version, r.stored, r.members, r.readAt = e.Version, e.Members, e.Members, m.now
	m.log("members_recorded", "database", e.Database, "servers", memberIDs(e.Members), "sync_replicas", e.Members.SyncReplicas, "version", e.Version)
}

func (m *Machine) handleMembersChecked(e MembersChecked) {
	s, g := m.groups[e.Database], m.snapshot.Groups[e.Database]
	if s == nil {
		return
	}
	s.members.inFlight = false
	if s.phase == phaseMembers {
		m.resumeElection(e.Database, s)
		return
	}
	if !e.Proven {
		m.log("members_kept", "database", e.Database, "servers", memberIDs(s.members.members), "position", e.Position.Position, "received_by", e.Received)
		return
	}
	if g == nil || g.Primary == "" || !s.members.read {
		return
	}
	for _, member := range s.members.members.Servers {
		if _, registered := g.Server(member.ID); registered && !e.Next.has(member.ID) {
			return // it has come back meanwhile
		}
	}
	m.log("members_replaceable", "database", e.Database, "servers", memberIDs(e.Next), "position", e.Position.Position, "received_by", e.Received)
	m.writeMembers(e.Database, s, e.Next)
}

// resumeElection continues an election that waited for a write or a check of the record.
func (m *Machine) resumeElection(database string, s *groupState) {
	if s.phase == phaseMembers && !s.members.inFlight {
		m.readMembers(database, s)
	}
}

// handedOn reports whether a member has ended as planned and the server that has started at its
// address has its log.
func handedOn(g *topology.Group, member Member) bool {
	return member.Leaving && slices.ContainsFunc(g.Servers, func(s topology.Server) bool { return s.Addr == member.Addr && s.ID != member.ID })
}

func memberIDs(r Members) []string {
	var ids []string
	for _, s := range r.Servers {
		ids = append(ids, s.ID)
	}
	return ids
}
