package authority

import (
	"sort"
	"time"

	"egretroad/internal/reducer"
	"egretroad/internal/topology"
	"egretroad/internal/txn"
)

// Steps of a promotion, as logged and dumped. Only stepRevoke and stepPromote
// are recorded in the group: all others follow from the store and the servers.
const (
	stepRevoke     = "revoke_leases"
	stepAwaitLease = "await_leases"
	stepCatchUp    = "catch_up"
	stepFence      = "fence"
	stepChoose     = "choose_candidate"
	stepPromote    = "promote"
	stepPublish    = "publish"
)

// promotion is the coordinator's run of one promotion. Every step is idempotent;
// a run starts from the group's record alone.
type promotion struct {
	f         *failover
	m         *Machine
	db        string
	reason    string
	term      uint64 // the term that fenced and promoted refer to
	startedAt time.Duration
	step      string
	stepAt    time.Duration

	revocation *revocation
	leasesOver bool                             // no lease of the old term is live
	fenced     map[string]topology.ServerStatus // answers to the fence at the present term
	majorityAt time.Duration                    // when a majority was fenced; zero: not yet
	caughtUp   map[string]topology.ServerStatus // status of replicas in a planned promotion
	running    map[string]bool                  // servers with a step under way
	nextTry    map[string]time.Duration         // by server
	promoted   bool
}

func newPromotion(f *failover, db string) *promotion {
	record := f.m.groups[db].group.Promotion
	p := &promotion{
		f: f, m: f.m, db: db, reason: record.Reason, term: record.Term, startedAt: f.m.now,
		running: map[string]bool{}, nextTry: map[string]time.Duration{}, caughtUp: map[string]topology.ServerStatus{},
	}
	p.revocation = newRevocation(p, record)
	p.resetFence()
	return p
}

func (p *promotion) group() *topology.Group      { return &p.m.groups[p.db].group }
func (p *promotion) record() *topology.Promotion { return p.group().Promotion }

// current reports whether this run is still the one that the group names.
func (p *promotion) current() bool {
	g := p.m.groups[p.db]
	return p.f.runs[p.db] == p && g != nil && g.group.Promotion != nil && g.group.Promotion.Coordinator == p.m.self.ID
}

func (p *promotion) resetFence() {
	p.fenced = map[string]topology.ServerStatus{}
	p.majorityAt = 0
	p.promoted = false
}

// groupChanged takes in a new version of the group, still coordinated here.
func (p *promotion) groupChanged(record *topology.Promotion) {
	if record.Term != p.term {
		p.term = record.Term
		p.resetFence()
	}
}

// enter logs the start of a step.
func (p *promotion) enter(step string) {
	if p.step == step {
		return
	}
	if p.step != "" {
		p.m.log("promotion_step_done", "database", p.db, "term", p.record().Term, "step", p.step, "duration", p.m.now-p.stepAt)
	}
	p.step, p.stepAt = step, p.m.now
	p.m.log("promotion_step", "database", p.db, "term", p.record().Term, "step", step, "reason", p.reason)
}

// advance does what the promotion needs next. It may be called at any time.
func (p *promotion) advance() {
	if !p.current() {
		return
	}
	switch {
	case p.promoted:
		p.publish()
	case p.record().Candidate != "":
		p.promote()
	case !p.leasesOver:
		p.endLeases()
	default:
		p.fence()
	}
}

// endLeases revokes the leases of the old term, then waits until none is live:
// each holder has released, or the old primary is fenced, or time has passed.
func (p *promotion) endLeases() {
	if !p.revocation.done() {
		p.enter(stepRevoke)
		p.revocation.advance()
		return
	}
	p.enter(stepAwaitLease)
	over, why := p.leaseState()
	if !over {
		p.revocation.askHolders()
		p.fenceServer(p.record().From)
		return
	}
	p.leasesOver = true
	p.m.log("leases_over", "database", p.db, "term", p.record().FromTerm, "reason", why, "duration", p.m.now-p.stepAt)
	p.fence()
}

func (p *promotion) leaseState() (bool, string) {
	_, oldFenced := p.fenced[p.record().From]
	switch {
	case p.m.opts.unsafeSkipLeaseWait:
		return true, "skipped"
	case oldFenced:
		return true, "old_primary_fenced"
	case p.revocation.released():
		return true, "released"
	case p.m.now >= p.revocation.expiry():
		return true, "expired"
	}
	return false, ""
}

// fence raises the fence of the group's servers until a majority has answered.
func (p *promotion) fence() {
	if p.mustCatchUp() {
		p.enter(stepCatchUp)
		p.pollReplicas()
		return
	}
	p.enter(stepFence)
	for _, s := range p.group().Servers {
		p.fenceServer(s.ID)
	}
	if p.fenceComplete() {
		p.choose()
	}
}

func (p *promotion) fenceServer(server string) {
	if _, done := p.fenced[server]; done || server == "" || p.skipsFence(server) {
		return
	}
	p.admin(server, txn.AdminFence, p.onFenced)
}

func (p *promotion) onFenced(e AdminDone) {
	if !p.current() || e.Request.Term != p.record().Term {
		return
	}
	if e.Error != "" {
		p.m.log("fence_failed", "database", p.db, "term", e.Request.Term, "server", e.Request.Server, "error", e.Error)
		return
	}
	status := e.Status
	status.Fence = e.Request.Term
	p.fenced[e.Request.Server] = status
	p.m.log("server_fenced", "database", p.db, "term", e.Request.Term, "server", e.Request.Server,
		"logTerm", status.Term, "position", status.Position)
	if p.majorityAt == 0 && len(p.fenced) >= majority(len(p.group().Servers)) {
		p.majorityAt = p.m.now
	}
	p.advance()
}

// fenceComplete reports whether a majority is fenced and the others have
// answered or had their time.
func (p *promotion) fenceComplete() bool {
	if p.m.opts.unsafeSkipFence {
		return p.useEvidence()
	}
	if p.majorityAt == 0 {
		return false
	}
	return p.m.now >= p.majorityAt+p.m.opts.FenceGrace || p.onlyUnreachableLeft()
}

// skipsFence reports whether a test leaves a server unfenced.
func (p *promotion) skipsFence(server string) bool {
	return p.m.opts.unsafeSkipFence && server != p.record().Candidate
}

// useEvidence takes reported positions in place of fenced ones. It exists for
// the test that shows that the fence is needed.
func (p *promotion) useEvidence() bool {
	for _, s := range p.group().Servers {
		if e, ok := p.m.evidence.reachable(s.ID); ok && s.ID != p.record().From {
			p.fenced[s.ID] = e.Status
		}
	}
	return len(p.fenced) > 0
}

// onlyUnreachableLeft reports whether each server without a fence fails its
// home's probes.
func (p *promotion) onlyUnreachableLeft() bool {
	for _, s := range p.group().Servers {
		if _, done := p.fenced[s.ID]; done {
			continue
		}
		if e, heard := p.m.evidence.fresh(s.ID); !heard || e.Error == "" {
			return false
		}
	}
	return true
}

// choose records the most advanced of the fenced servers as candidate.
func (p *promotion) choose() {
	p.enter(stepChoose)
	best := p.best()
	next := *p.group()
	record := *next.Promotion
	record.Candidate, record.Position, record.Step = best.Server, best.Position, stepPromote
	next.Promotion = &record
	p.write(next, "candidate_chosen", "server", best.Server, "logTerm", next.LogTerm(best), "position", best.Position)
}

// best returns the most advanced of the fenced servers: the latest term of its
// log, then the position in it. Among equals an active
// one goes before others, and another server before the old primary.
func (p *promotion) best() topology.ServerStatus {
	var all []topology.ServerStatus
	for server, s := range p.fenced {
		s.Server = server
		all = append(all, s)
	}
	sort.Slice(all, func(i, j int) bool {
		a, b := all[i], all[j]
		switch {
		case p.group().LogTerm(a) != p.group().LogTerm(b):
			return p.group().LogTerm(a) > p.group().LogTerm(b)
		case a.Position != b.Position:
			return a.Position > b.Position
		case p.preference(a.Server) != p.preference(b.Server):
			return p.preference(a.Server) < p.preference(b.Server)
		}
		return a.Server < b.Server
	})
	return all[0]
}

func (p *promotion) preference(server string) int {
	s, _ := p.group().Server(server)
	switch {
	case s.State != topology.ServerActive:
		return 2
	case server == p.record().From:
		return 1
	}
	return 0
}

// promote makes the candidate primary, or gives it up after PromoteTimeout.
func (p *promotion) promote() {
	p.enter(stepPromote)
	if p.m.now-p.stepAt > p.m.opts.PromoteTimeout {
		p.giveUpCandidate()
		return
	}
	if p.m.opts.unsafeSkipFence && p.fenced[p.record().Candidate].Fence != p.record().Term {
		delete(p.fenced, p.record().Candidate)
		p.fenceServer(p.record().Candidate)
		return
	}
	p.admin(p.record().Candidate, txn.AdminPromote, p.onPromoted)
}

func (p *promotion) onPromoted(e AdminDone) {
	if !p.current() || e.Request.Term != p.record().Term || e.Request.Server != p.record().Candidate {
		return
	}
	if e.Error != "" {
		p.m.log("promote_failed", "database", p.db, "term", e.Request.Term, "server", e.Request.Server, "error", e.Error)
		return
	}
	p.promoted = true
	p.m.log("server_promoted", "database", p.db, "term", e.Request.Term, "server", e.Request.Server, "position", e.Status.Position)
	p.advance()
}

// giveUpCandidate moves to the next term, in which the servers are fenced anew.
func (p *promotion) giveUpCandidate() {
	next := *p.group()
	record := *next.Promotion
	failed := record.Candidate
	next.Term++
	record.Term, record.Candidate, record.Position, record.Step = next.Term, "", 0, stepRevoke
	next.Promotion = &record
	p.write(next, "candidate_given_up", "server", failed)
}

// publish names the new primary and ends the promotion.
func (p *promotion) publish() {
	p.enter(stepPublish)
	next := *p.group()
	next.Primary = p.record().Candidate
	next.TermStarts = termStarts(next.TermStarts, topology.TermStart{Term: next.Term, Position: p.record().Position})
	next.Promotion = nil
	p.write(next, "primary_published", "server", next.Primary)
}

// keptTermStarts is the number of terms whose starts the group object keeps.
const keptTermStarts = 16

func termStarts(before []topology.TermStart, last topology.TermStart) []topology.TermStart {
	starts := append(append([]topology.TermStart(nil), before...), last)
	if len(starts) > keptTermStarts {
		starts = starts[len(starts)-keptTermStarts:]
	}
	return starts
}

// write updates the group unless a write is under way.
func (p *promotion) write(next topology.Group, event string, fields ...any) {
	if p.f.claiming[p.db] || p.f.readGroups[p.db] || p.m.now < p.f.nextClaim[p.db] {
		return
	}
	p.m.log(event, append([]any{"database", p.db, "term", next.Term, "reason", p.reason}, fields...)...)
	p.f.writeGroup(p.db, p.m.groups[p.db].version, next)
}

// admin runs an administrative step on a server, one at a time, with retries.
func (p *promotion) admin(server string, op txn.AdminOp, done func(AdminDone)) {
	if p.running[server] || p.m.now < p.nextTry[server] {
		return
	}
	p.running[server] = true
	request := txn.AdminRequest{Server: server, Op: op, Term: p.record().Term}
	number := p.m.expect(func(e reducer.Event) {
		p.running[server] = false
		result := e.(AdminDone)
		if result.Error != "" {
			p.nextTry[server] = p.m.now + p.m.opts.AdminRetry
		}
		done(result)
	})
	p.m.emit(RunAdmin{Op: number, Request: request, Timeout: p.m.opts.AdminTimeout})
}
