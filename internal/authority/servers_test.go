package authority

import (
	"encoding/json"
	"time"

	"egretroad/internal/platform"
	"egretroad/internal/topology"
	"egretroad/internal/txn"
)

// logEntry is a committed write.
type logEntry struct {
	id   uint64
	term uint64
}

// simServer simulates a backend server with its administrative steps.
type simServer struct {
	w          *world
	id, dc     string
	up         bool
	stalled    bool // replication to this server is stalled
	log        []logEntry
	term       uint64
	fence      uint64
	role       topology.Role
	source     string
	caughtUpAt time.Duration // last time that it had the whole log of a live primary
}

func newSimServer(w *world, id, dc string) *simServer {
	return &simServer{w: w, id: id, dc: dc, up: true, term: 1, role: topology.RoleReplica, source: "s-a", caughtUpAt: w.now}
}

func decodeGroup(o platform.Object) topology.Group {
	var g topology.Group
	if err := json.Unmarshal(o.Value, &g); err != nil {
		panic(&ObjectError{Kind: o.Kind, Cause: err})
	}
	return g
}

func (s *simServer) status() topology.ServerStatus {
	st := topology.ServerStatus{
		Server: s.id, Term: s.term, Fence: s.fence, Role: s.role, Position: uint64(len(s.log)), Reachable: true,
	}
	if s.role != topology.RolePrimary {
		st.Lag = s.w.now - s.caughtUpAt
	}
	return st
}

// admin runs an administrative step. The second result is the error, empty on
// success.
func (s *simServer) admin(r txn.AdminRequest) (topology.ServerStatus, string) {
	switch r.Op {
	case txn.AdminFence:
		if r.Term < s.fence || r.Term < s.term {
			return s.status(), "fence is higher than the term"
		}
		if r.Term > s.term {
			s.role = topology.RoleFenced
		}
		s.fence = r.Term
	case txn.AdminPromote:
		if s.role == topology.RolePrimary && s.term == r.Term {
			break
		}
		if s.fence != r.Term || s.term >= r.Term {
			return s.status(), "fence does not match the term"
		}
		s.role, s.term = topology.RolePrimary, r.Term
	case txn.AdminFollow:
		return s.follow(r)
	}
	return s.status(), ""
}

func (s *simServer) follow(r txn.AdminRequest) (topology.ServerStatus, string) {
	p := s.w.servers[r.Primary]
	if r.Term < s.term || r.Term < s.fence || s.role == topology.RolePrimary && s.term == r.Term {
		return s.status(), "term has ended"
	}
	if !p.up || !s.w.connected(s.dc, p.dc) || p.role != topology.RolePrimary || p.term != r.Term {
		return s.status(), "primary does not respond"
	}
	before := len(s.log)
	common := 0
	for common < before && common < len(p.log) && s.log[common] == p.log[common] {
		common++
	}
	s.log = append([]logEntry(nil), s.log[:common]...)
	s.role, s.term, s.fence, s.source = topology.RoleReplica, r.Term, r.Term, r.Primary
	st := s.status()
	st.Dropped = uint64(before - common)
	return st, ""
}

// replicate copies log entries from each replica's source to the replica.
func (w *world) replicate() {
	for _, id := range w.serverIDs {
		s := w.servers[id]
		p := w.servers[s.source]
		if !s.up || s.stalled || s.role != topology.RoleReplica || s.fence > s.term {
			continue
		}
		// A fenced source still sends the log that it has.
		if !p.up || !w.connected(s.dc, p.dc) || p.term != s.term {
			continue
		}
		n := min(len(p.log)-len(s.log), 1+w.rng.IntN(6))
		if n > 0 {
			s.log = append(s.log, p.log[len(s.log):len(s.log)+n]...)
		}
		if len(s.log) == len(p.log) && p.role == topology.RolePrimary {
			s.caughtUpAt = w.now
		}
	}
}

// writeThroughHomes sends a write through every VM that considers itself the home
// of the primary.
func (w *world) writeThroughHomes() {
	for _, vm := range w.vms {
		if vm.up && !vm.paused {
			vm.write()
		}
	}
}

// write commits a write on the server that this VM considers the primary and, after
// a network delay, starts its confirmation.
func (v *simVM) write() {
	g := v.machine.groups[testDatabase]
	if g == nil || g.group.Promotion != nil || !v.machine.isHomeOf(g.group.Primary) {
		return
	}
	s := v.w.servers[g.group.Primary]
	if !s.up || s.role != topology.RolePrimary || s.term != g.group.Term || s.fence > s.term {
		return
	}
	v.w.nextWrite++
	entry := logEntry{id: v.w.nextWrite, term: s.term}
	s.log = append(s.log, entry)
	mark := topology.Mark{Database: testDatabase, Term: s.term, Position: uint64(len(s.log))}
	byReplica := v.w.rng.IntN(3) == 0
	v.whenRunning(v.w.networkDelay(), func() { v.confirm(entry, mark, byReplica) })
}

// confirm acknowledges a write by a lease or by replicas, with the rules of package
// run.
func (v *simVM) confirm(entry logEntry, mark topology.Mark, byReplica bool) {
	if !byReplica && v.table.HoldsLease(mark.Database, mark.Term, v.clock()) {
		v.acknowledgeByLease(entry)
		return
	}
	quorum := v.table.Quorums[mark.Database]
	confirmations := 0
	for _, server := range quorum.ReplicasInTerm(mark.Term) {
		s := v.w.servers[server]
		v.w.after(v.w.networkDelay(), func() {
			if !s.up || !v.w.connected(v.dc, s.dc) || s.term != mark.Term || uint64(len(s.log)) < mark.Position {
				return
			}
			v.whenRunning(v.w.networkDelay(), func() {
				confirmations++
				if confirmations == quorum.Required {
					v.w.acknowledged = append(v.w.acknowledged, acknowledgedWrite{id: entry.id, term: entry.term, byReplica: true})
					v.w.checkCurrentPrimary()
				}
			})
		})
	}
}

// checkCurrentPrimary checks that the current primary has all confirmed writes,
// including one confirmed only after the promotion.
func (w *world) checkCurrentPrimary() {
	g := w.group()
	if p := w.servers[g.Primary]; p != nil && p.term == g.Term && p.role == topology.RolePrimary {
		w.checkConfirmedWritesPresent(p)
	}
}

func (v *simVM) acknowledgeByLease(entry logEntry) {
	g := v.w.group()
	publishedTerm := uint64(1)
	for _, s := range g.TermStarts {
		publishedTerm = max(publishedTerm, s.Term)
	}
	if entry.term < publishedTerm {
		v.w.recordViolation("%s acknowledged write %d of term %d under a lease after term %d had a primary", v.id, entry.id, entry.term, publishedTerm)
	}
	if entry.term < v.w.maxLeaseTerm {
		v.w.recordViolation("%s acknowledged write %d of term %d after a write of term %d", v.id, entry.id, entry.term, v.w.maxLeaseTerm)
	}
	v.w.maxLeaseTerm = max(v.w.maxLeaseTerm, entry.term)
	v.w.acknowledged = append(v.w.acknowledged, acknowledgedWrite{id: entry.id, term: entry.term})
}
