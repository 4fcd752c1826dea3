package authority

import (
	"encoding/json"
	"time"

	"egretroad/internal/platform"
	"egretroad/internal/topology"
	"egretroad/internal/txn"
)

// logEntry is one committed write.
type logEntry struct {
	id   uint64
	term uint64
}

// simServer is a backend server with the platform's group functions.
type simServer struct {
	w        *world
	id, dc   string
	up       bool
	stalled  bool // replication to this server stands still
	log      []logEntry
	term     uint64
	fence    uint64
	role     topology.Role
	source   string
	syncedAt time.Duration // when it last had everything of a live primary
}

func newSimServer(w *world, id, dc string) *simServer {
	return &simServer{w: w, id: id, dc: dc, up: true, term: 1, role: topology.RoleReplica, source: "s-a", syncedAt: w.now}
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
		st.Lag = s.w.now - s.syncedAt
	}
	return st
}

// admin runs an administrative step; the second result is the refusal.
func (s *simServer) admin(r txn.AdminRequest) (topology.ServerStatus, string) {
	switch r.Op {
	case txn.AdminFence:
		if r.Term < s.fence || r.Term < s.term {
			return s.status(), "fence is higher"
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
			return s.status(), "fence is not the term"
		}
		s.role, s.term = topology.RolePrimary, r.Term
	case txn.AdminFollow:
		return s.follow(r)
	}
	return s.status(), ""
}

func (s *simServer) follow(r txn.AdminRequest) (topology.ServerStatus, string) {
	p := s.w.server[r.Primary]
	if r.Term < s.term || r.Term < s.fence || s.role == topology.RolePrimary && s.term == r.Term {
		return s.status(), "term is over"
	}
	if !p.up || !s.w.reaches(s.dc, p.dc) || p.role != topology.RolePrimary || p.term != r.Term {
		return s.status(), "primary does not answer"
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

// replicate moves log from primaries to the replicas that follow them.
func (w *world) replicate() {
	for _, id := range w.order {
		s := w.server[id]
		p := w.server[s.source]
		if !s.up || s.stalled || s.role != topology.RoleReplica || s.fence > s.term {
			continue
		}
		// A fenced source still hands out the log that it has.
		if !p.up || !w.reaches(s.dc, p.dc) || p.term != s.term {
			continue
		}
		n := min(len(p.log)-len(s.log), 1+w.rng.IntN(6))
		if n > 0 {
			s.log = append(s.log, p.log[len(s.log):len(s.log)+n]...)
		}
		if len(s.log) == len(p.log) && p.role == topology.RolePrimary {
			s.syncedAt = w.now
		}
	}
}

// writeSomewhere sends a write through each VM that takes itself for the home
// of the primary.
func (w *world) writeSomewhere() {
	for _, vm := range w.vms {
		if vm.up && !vm.paused {
			vm.write()
		}
	}
}

// write commits on the server that this VM takes for the primary, then checks
// after a while whether it may acknowledge.
func (v *simVM) write() {
	g := v.machine.groups[testDatabase]
	if g == nil || g.group.Promotion != nil || !v.machine.isOwn(g.group.Primary) {
		return
	}
	s := v.w.server[g.group.Primary]
	if !s.up || s.role != topology.RolePrimary || s.term != g.group.Term || s.fence > s.term {
		return
	}
	v.w.nextWrite++
	entry := logEntry{id: v.w.nextWrite, term: s.term}
	s.log = append(s.log, entry)
	mark := topology.Mark{Database: testDatabase, Term: s.term, Position: uint64(len(s.log))}
	byReplica := v.w.rng.IntN(3) == 0
	v.whenRunning(v.w.delay(), func() { v.confirm(entry, mark, byReplica) })
}

// confirm follows the rules of package run: a lease, or replicas.
func (v *simVM) confirm(entry logEntry, mark topology.Mark, byReplica bool) {
	if !byReplica && v.table.Held(mark.Database, mark.Term, v.clock()) {
		v.ackByLease(entry)
		return
	}
	group := v.table.Groups[mark.Database]
	answers := 0
	for _, server := range group.Candidates(mark.Term) {
		s := v.w.server[server]
		v.w.after(v.w.delay(), func() {
			if !s.up || !v.w.reaches(v.dc, s.dc) || s.term != mark.Term || uint64(len(s.log)) < mark.Position {
				return
			}
			v.whenRunning(v.w.delay(), func() {
				answers++
				if answers == group.Needed {
					v.w.acked = append(v.w.acked, ackedWrite{id: entry.id, term: entry.term, byReplica: true})
					v.w.checkNewestPrimary()
				}
			})
		})
	}
}

// checkNewestPrimary checks a confirmation that comes after a promotion.
func (w *world) checkNewestPrimary() {
	g := w.group()
	if p := w.server[g.Primary]; p != nil && p.term == g.Term && p.role == topology.RolePrimary {
		w.checkKept(p)
	}
}

func (v *simVM) ackByLease(entry logEntry) {
	g := v.w.group()
	published := uint64(1)
	for _, s := range g.TermStarts {
		published = max(published, s.Term)
	}
	if entry.term < published {
		v.w.violate("%s acknowledged write %d of term %d under a lease after term %d had a primary", v.id, entry.id, entry.term, published)
	}
	if entry.term < v.w.topLease {
		v.w.violate("%s acknowledged write %d of term %d after a write of term %d", v.id, entry.id, entry.term, v.w.topLease)
	}
	v.w.topLease = max(v.w.topLease, entry.term)
	v.w.acked = append(v.w.acked, ackedWrite{id: entry.id, term: entry.term})
}
