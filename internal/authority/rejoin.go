package authority

import (
	"time"

	"egretroad/internal/reducer"
	"egretroad/internal/topology"
	"egretroad/internal/txn"
)

// rejoiner makes own servers follow the group's primary: replicas after a promotion,
// a returning old primary, and a joining server. It acts on the state that the
// servers report, so it needs no cleanup after a coordinator crash.
type rejoiner struct {
	m             *Machine
	stepInFlight  map[string]bool          // by server
	nextAttemptAt map[string]time.Duration // by server
}

func newRejoiner(m *Machine) *rejoiner {
	return &rejoiner{m: m, stepInFlight: map[string]bool{}, nextAttemptAt: map[string]time.Duration{}}
}

func (r *rejoiner) tick() {
	r.m.refreshIndex()
	for _, db := range r.m.watchedDatabases {
		g := &r.m.groups[db].group
		primary, ok := g.Server(g.Primary)
		if !ok || g.Promotion != nil {
			continue
		}
		for _, s := range g.Servers {
			if s.ID != primary.ID && r.m.ownServers[s.ID] {
				r.followIfNeeded(g, s.ID, primary)
			}
		}
	}
}

// followIfNeeded starts a follow step when the server is reachable but not a
// replica in the current term.
func (r *rejoiner) followIfNeeded(g *topology.Group, server string, primary topology.Server) {
	e, ok := r.m.detector.reachableEvidence(server)
	follows := e.Status.Role == topology.RoleReplica && e.Status.Term >= g.Term
	if !ok || follows || r.stepInFlight[server] || r.m.now < r.nextAttemptAt[server] {
		return
	}
	r.stepInFlight[server] = true
	r.nextAttemptAt[server] = r.m.now + r.m.opts.FollowRetryInterval
	statusBefore := e.Status
	startedAt := r.m.now
	request := txn.AdminRequest{Server: server, Op: txn.AdminFollow, Term: g.Term, Primary: primary.Addr}
	op := r.m.registerOp(func(ev reducer.Event) { r.onFollowDone(g.Database, statusBefore, startedAt, ev.(AdminDone)) })
	r.m.emit(RunAdmin{Op: op, Request: request, Timeout: r.m.opts.AdminTimeout})
}

func (r *rejoiner) onFollowDone(db string, statusBefore topology.ServerStatus, startedAt time.Duration, e AdminDone) {
	server := e.Request.Server
	r.stepInFlight[server] = false
	if e.Error != "" {
		r.m.log("follow_failed", "database", db, "server", server, "term", e.Request.Term, "error", e.Error)
		return
	}
	r.m.log("server_follows", "database", db, "server", server, "term", e.Request.Term,
		"roleBefore", statusBefore.Role, "termBefore", statusBefore.Term, "droppedBytes", e.Status.Dropped, "duration", r.m.now-startedAt)
	if statusBefore.Role == topology.RolePrimary {
		r.m.emit(LogEvent{Name: "old_primary_rejoined", Alarm: e.Status.Dropped > 0, Fields: []any{
			"database", db, "server", server, "term", e.Request.Term, "droppedBytes", e.Status.Dropped,
		}})
	}
}
