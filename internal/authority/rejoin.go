package authority

import (
	"time"

	"egretroad/internal/reducer"
	"egretroad/internal/topology"
	"egretroad/internal/txn"
)

// rejoin makes own servers follow the group's primary: the others after a
// promotion, a returning old primary, and a joining server. It acts on what the
// servers say, so nothing is left behind by a coordinator that dies.
type rejoin struct {
	m       *Machine
	running map[string]bool          // servers with a step under way
	nextTry map[string]time.Duration // by server
}

func newRejoin(m *Machine) *rejoin {
	return &rejoin{m: m, running: map[string]bool{}, nextTry: map[string]time.Duration{}}
}

func (r *rejoin) tick() {
	r.m.index()
	for _, db := range r.m.watched {
		g := &r.m.groups[db].group
		primary, ok := g.Server(g.Primary)
		if !ok || g.Promotion != nil {
			continue
		}
		for _, s := range g.Servers {
			if s.ID != primary.ID && r.m.own[s.ID] {
				r.check(g, s.ID, primary)
			}
		}
	}
}

// check starts a follow step when the server is not a replica of the term.
func (r *rejoin) check(g *topology.Group, server string, primary topology.Server) {
	e, ok := r.m.evidence.reachable(server)
	follows := e.Status.Role == topology.RoleReplica && e.Status.Term >= g.Term
	if !ok || follows || r.running[server] || r.m.now < r.nextTry[server] {
		return
	}
	r.running[server] = true
	r.nextTry[server] = r.m.now + r.m.opts.FollowRetry
	before := e.Status
	startedAt := r.m.now
	request := txn.AdminRequest{Server: server, Op: txn.AdminFollow, Term: g.Term, Primary: primary.Addr}
	op := r.m.expect(func(ev reducer.Event) { r.done(g.Database, before, startedAt, ev.(AdminDone)) })
	r.m.emit(RunAdmin{Op: op, Request: request, Timeout: r.m.opts.AdminTimeout})
}

func (r *rejoin) done(db string, before topology.ServerStatus, startedAt time.Duration, e AdminDone) {
	server := e.Request.Server
	r.running[server] = false
	if e.Error != "" {
		r.m.log("follow_failed", "database", db, "server", server, "term", e.Request.Term, "error", e.Error)
		return
	}
	r.m.log("server_follows", "database", db, "server", server, "term", e.Request.Term,
		"roleBefore", before.Role, "termBefore", before.Term, "droppedBytes", e.Status.Dropped, "duration", r.m.now-startedAt)
	if before.Role == topology.RolePrimary {
		r.m.emit(LogEvent{Name: "old_primary_rejoined", Alarm: e.Status.Dropped > 0, Fields: []any{
			"database", db, "server", server, "term", e.Request.Term, "droppedBytes", e.Status.Dropped,
		}})
	}
}
