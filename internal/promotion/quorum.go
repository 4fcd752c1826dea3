package promotion

import (
	"sort"
	"time"

	"egretroad/internal/topology"
)

// deregisteredServer is a server whose registration has ended.
type deregisteredServer struct {
	Member
	database string
	at       time.Duration
}

// recordDeregistered compares two consecutive snapshots and records the servers whose
// registration ended. The record of the members in the store may lack those that were
// registered only shortly.
func (m *Machine) recordDeregistered(old, next *topology.Snapshot) {
	for server, ended := range m.deregistered {
		if _, _, returned := next.FindServer(server); returned || m.now-ended.at > m.options.ReplicaReturnLimit {
			delete(m.deregistered, server)
		}
	}
	if old == nil {
		return
	}
	for database, previous := range old.Groups {
		g := next.Groups[database]
		if g == nil {
			g = &topology.Group{} // all its registrations have ended
		}
		for _, server := range previous.Servers {
			if _, registered := g.Server(server.ID); !registered {
				m.deregistered[server.ID] = deregisteredServer{Member: newMember(server), database: database, at: m.now}
			}
		}
	}
}

// quorum is what an election must know of a group with synchronous replication.
type quorum struct {
	required             int // candidates that must respond; 0: commits are acknowledged without replicas
	requiredWithPosition int // the same, if the position of the outgoing primary is known
	missing              []string
	givenUp              []string // missing servers without which the election goes on
}

// quorum returns how many servers must respond so that one of them has every commit that the
// group has acknowledged, whatever VMs acknowledged them. Each of these commits is in the logs
// of the primary of its time and of SyncReplicas others. The servers that count are the
// recorded members and those that this VM has seen since.
func (m *Machine) quorum(g *topology.Group, s *groupState) quorum {
	replicas, known := m.syncReplicas(g.Database)
	r := &s.members
	switch {
	case !known && r.version == 0 || known && replicas == 0:
		return quorum{}
	case !known:
		replicas = r.members.SyncReplicas
	case r.version != 0:
		replicas = min(replicas, r.members.SyncReplicas)
	}
	isPrimary := func(id string) bool { return id == g.Primary || m.isReplaced(g, id) }
	registered := countReplicas(g, isPrimary)
	q := quorum{requiredWithPosition: max(registered-replicas+1, 1), missing: m.missingServers(g, r)}
	if r.version != 0 {
		q.required = max(len(g.Servers)+len(q.missing)-replicas, 1)
	} else {
		q.required = m.quorumWithoutRecord(g, registered, replicas, q.missing)
	}
	if countReplicas(g, func(id string) bool { return id == g.Primary }) < q.required && m.returnLimitPassed(g, s) {
		q.required, q.givenUp = q.requiredWithPosition, q.missing
	}
	return q
}

// quorumWithoutRecord returns how many servers must respond if there is no record of the
// members. The primary of the last commits may be unknown then: all replicas but those that a
// commit does not need must respond. A group of fewer servers than a commit needs is not known
// completely.
func (m *Machine) quorumWithoutRecord(g *topology.Group, registered, replicas int, missing []string) int {
	n := registered
	for _, id := range missing {
		if id != m.histories[g.Database].lastPrimary {
			n++
		}
	}
	if len(g.Servers)+len(missing) <= replicas {
		return replicas + 1
	}
	return max(n-replicas+1, 1)
}

// countReplicas counts the servers of a group for which isPrimary is false.
func countReplicas(g *topology.Group, isPrimary func(id string) bool) int {
	n := 0
	for _, server := range g.Servers {
		if !isPrimary(server.ID) {
			n++
		}
	}
	return n
}

// missingServers returns the servers that may have acknowledged commits and are not
// registered, but for those that have handed their log on.
func (m *Machine) missingServers(g *topology.Group, r *memberRecord) []string {
	var missing []string
	for _, member := range r.members.Servers {
		_, registered := g.Server(member.ID)
		if !registered && !handedOn(g, member) {
			missing = append(missing, member.ID)
		}
	}
	for id, ended := range m.deregistered {
		if ended.database == g.Database && m.now-ended.at <= m.options.ReplicaReturnLimit && !r.members.has(id) && !handedOn(g, ended.Member) {
			missing = append(missing, id)
		}
	}
	sort.Strings(missing)
	return missing
}

// returnLimitPassed reports whether the group has been without a responding primary for so
// long that missing members are not waited for any longer.
func (m *Machine) returnLimitPassed(g *topology.Group, s *groupState) bool {
	lost := m.unresponsiveFor(s)
	if lostAt := m.histories[g.Database].primaryLostAt; lostAt != 0 {
		lost = max(lost, m.now-lostAt)
	}
	return lost >= m.options.ReplicaReturnLimit
}

// electionNeeded reports whether the reason of an election still holds after the record of the
// members has been read.
func (m *Machine) electionNeeded(g *topology.Group, s *groupState) bool {
	if s.outgoingPrimary != "" {
		return g.Primary == s.outgoingPrimary
	}
	return !m.reasonGone(g, s)
}
