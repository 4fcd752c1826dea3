package authority

import (
	"sort"
	"time"

	"egretroad/internal/reducer"
	"egretroad/internal/topology"
	"egretroad/internal/txn"
)

// Steps of a promotion, as logged and dumped. The group object records only
// stepRevoke and stepPromote; the others are derived from the store and the servers.
const (
	stepRevoke     = "revoke_leases"
	stepAwaitLease = "await_leases"
	stepCatchUp    = "catch_up"
	stepFence      = "fence"
	stepChoose     = "choose_candidate"
	stepPromote    = "promote"
	stepPublish    = "publish"
)

// promotion is the coordinator's run of one promotion. Every step is idempotent, and
// the run needs no state beyond the record in the group object, so any coordinator
// can resume it.
type promotion struct {
	f             *failover
	m             *Machine
	db            string
	reason        string
	term          uint64 // term to which fenced and promoted refer
	startedAt     time.Duration
	step          string
	stepStartedAt time.Duration

	revocation       *revocation
	leasesEnded      bool                             // no lease of the old term is valid any more
	fenced           map[string]topology.ServerStatus // servers fenced in the current term
	majorityFencedAt time.Duration                    // zero until a majority is fenced
	replicaStatus    map[string]topology.ServerStatus // by replica, in a planned promotion
	stepInFlight     map[string]bool                  // by server
	nextAttemptAt    map[string]time.Duration         // by server
	promoted         bool
}

func newPromotion(f *failover, db string) *promotion {
	record := f.m.groups[db].group.Promotion
	p := &promotion{
		f: f, m: f.m, db: db, reason: record.Reason, term: record.Term, startedAt: f.m.now,
		stepInFlight: map[string]bool{}, nextAttemptAt: map[string]time.Duration{}, replicaStatus: map[string]topology.ServerStatus{},
	}
	p.revocation = newRevocation(p, record)
	p.resetFence()
	return p
}

func (p *promotion) group() *topology.Group      { return &p.m.groups[p.db].group }
func (p *promotion) record() *topology.Promotion { return p.group().Promotion }

// isCurrent reports whether this run is still active and the group object names
// this VM as coordinator.
func (p *promotion) isCurrent() bool {
	g := p.m.groups[p.db]
	return p.f.promotions[p.db] == p && g != nil && g.group.Promotion != nil && g.group.Promotion.Coordinator == p.m.self.ID
}

func (p *promotion) resetFence() {
	p.fenced = map[string]topology.ServerStatus{}
	p.majorityFencedAt = 0
	p.promoted = false
}

// groupChanged processes a new record of a promotion that this VM still
// coordinates. A new term requires new fences.
func (p *promotion) groupChanged(record *topology.Promotion) {
	if record.Term != p.term {
		p.term = record.Term
		p.resetFence()
	}
}

// enterStep sets the current step and logs the change.
func (p *promotion) enterStep(step string) {
	if p.step == step {
		return
	}
	if p.step != "" {
		p.m.log("promotion_step_done", "database", p.db, "term", p.record().Term, "step", p.step, "duration", p.m.now-p.stepStartedAt)
	}
	p.step, p.stepStartedAt = step, p.m.now
	p.m.log("promotion_step", "database", p.db, "term", p.record().Term, "step", step, "reason", p.reason)
}

// advance starts the work that the promotion needs next. It may be called at any
// time.
func (p *promotion) advance() {
	if !p.isCurrent() {
		return
	}
	switch {
	case p.promoted:
		p.publishPrimary()
	case p.record().Candidate != "":
		p.promoteCandidate()
	case !p.leasesEnded:
		p.endLeases()
	default:
		p.fenceServers()
	}
}

// endLeases revokes the leases of the old term, then waits until none is valid:
// every holder has released its lease, the old primary is fenced, or the leases
// have expired.
func (p *promotion) endLeases() {
	if !p.revocation.complete() {
		p.enterStep(stepRevoke)
		p.revocation.advance()
		return
	}
	p.enterStep(stepAwaitLease)
	ended, reason := p.leaseEndReason()
	if !ended {
		p.revocation.requestReleases()
		p.fenceServer(p.record().From)
		return
	}
	p.leasesEnded = true
	p.m.log("leases_over", "database", p.db, "term", p.record().FromTerm, "reason", reason, "duration", p.m.now-p.stepStartedAt)
	p.fenceServers()
}

// leaseEndReason reports whether no lease of the old term is valid any more, and why.
func (p *promotion) leaseEndReason() (bool, string) {
	_, oldFenced := p.fenced[p.record().From]
	switch {
	case p.m.opts.unsafeSkipLeaseWait:
		return true, "skipped"
	case oldFenced:
		return true, "old_primary_fenced"
	case p.revocation.allReleased():
		return true, "released"
	case p.m.now >= p.revocation.latestExpiry():
		return true, "expired"
	}
	return false, ""
}

// fenceServers raises the fencing token of the group's servers to the new term and
// chooses a candidate once enough of them are fenced.
func (p *promotion) fenceServers() {
	if p.awaitsCatchUp() {
		p.enterStep(stepCatchUp)
		p.pollReplicas()
		return
	}
	p.enterStep(stepFence)
	for _, s := range p.group().Servers {
		p.fenceServer(s.ID)
	}
	if p.fenceComplete() {
		p.chooseCandidate()
	}
}

func (p *promotion) fenceServer(server string) {
	if _, fenced := p.fenced[server]; fenced || server == "" || p.skipsFence(server) {
		return
	}
	p.runAdmin(server, txn.AdminFence, p.onFenced)
}

func (p *promotion) onFenced(e AdminDone) {
	if !p.isCurrent() || e.Request.Term != p.record().Term {
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
	if p.majorityFencedAt == 0 && len(p.fenced) >= majority(len(p.group().Servers)) {
		p.majorityFencedAt = p.m.now
	}
	p.advance()
}

// fenceComplete reports whether a majority is fenced and each remaining server is
// unreachable or FenceGrace has passed.
func (p *promotion) fenceComplete() bool {
	if p.m.opts.unsafeSkipFence {
		return p.useReportedPositions()
	}
	if p.majorityFencedAt == 0 {
		return false
	}
	return p.m.now >= p.majorityFencedAt+p.m.opts.FenceGrace || p.onlyUnreachableUnfenced()
}

// skipsFence reports whether a test option leaves a server unfenced.
func (p *promotion) skipsFence(server string) bool {
	return p.m.opts.unsafeSkipFence && server != p.record().Candidate
}

// useReportedPositions substitutes reported positions for those of fenced servers.
// It exists for the test that proves that fencing is needed.
func (p *promotion) useReportedPositions() bool {
	for _, s := range p.group().Servers {
		if e, ok := p.m.detector.reachableEvidence(s.ID); ok && s.ID != p.record().From {
			p.fenced[s.ID] = e.Status
		}
	}
	return len(p.fenced) > 0
}

// onlyUnreachableUnfenced reports whether every server that is not fenced fails its
// home's probes.
func (p *promotion) onlyUnreachableUnfenced() bool {
	for _, s := range p.group().Servers {
		if _, fenced := p.fenced[s.ID]; fenced {
			continue
		}
		if e, fresh := p.m.detector.freshEvidence(s.ID); !fresh || e.Error == "" {
			return false
		}
	}
	return true
}

// chooseCandidate records the most advanced of the fenced servers as candidate in
// the group object.
func (p *promotion) chooseCandidate() {
	p.enterStep(stepChoose)
	best := p.bestCandidate()
	next := *p.group()
	record := *next.Promotion
	record.Candidate, record.Position, record.Step = best.Server, best.Position, stepPromote
	next.Promotion = &record
	p.writeGroup(next, "candidate_chosen", "server", best.Server, "logTerm", next.LogTerm(best), "position", best.Position)
}

// bestCandidate returns the most advanced of the fenced servers: the one with the
// latest log term, then the highest position in it. Ties go to active servers first,
// then to servers other than the old primary.
func (p *promotion) bestCandidate() topology.ServerStatus {
	var candidates []topology.ServerStatus
	for server, s := range p.fenced {
		s.Server = server
		candidates = append(candidates, s)
	}
	sort.Slice(candidates, func(i, j int) bool {
		a, b := candidates[i], candidates[j]
		switch {
		case p.group().LogTerm(a) != p.group().LogTerm(b):
			return p.group().LogTerm(a) > p.group().LogTerm(b)
		case a.Position != b.Position:
			return a.Position > b.Position
		case p.candidatePreference(a.Server) != p.candidatePreference(b.Server):
			return p.candidatePreference(a.Server) < p.candidatePreference(b.Server)
		}
		return a.Server < b.Server
	})
	return candidates[0]
}

// candidatePreference ranks candidates with equal logs; lower is better.
func (p *promotion) candidatePreference(server string) int {
	s, _ := p.group().Server(server)
	switch {
	case s.State != topology.ServerActive:
		return 2
	case server == p.record().From:
		return 1
	}
	return 0
}

// promoteCandidate makes the candidate primary, or abandons it after PromoteTimeout.
func (p *promotion) promoteCandidate() {
	p.enterStep(stepPromote)
	if p.m.now-p.stepStartedAt > p.m.opts.PromoteTimeout {
		p.abandonCandidate()
		return
	}
	if p.m.opts.unsafeSkipFence && p.fenced[p.record().Candidate].Fence != p.record().Term {
		delete(p.fenced, p.record().Candidate)
		p.fenceServer(p.record().Candidate)
		return
	}
	p.runAdmin(p.record().Candidate, txn.AdminPromote, p.onPromoted)
}

func (p *promotion) onPromoted(e AdminDone) {
	if !p.isCurrent() || e.Request.Term != p.record().Term || e.Request.Server != p.record().Candidate {
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

// abandonCandidate moves the promotion to the next term, in which the servers are
// fenced again and a new candidate is chosen.
func (p *promotion) abandonCandidate() {
	next := *p.group()
	record := *next.Promotion
	failed := record.Candidate
	next.Term++
	record.Term, record.Candidate, record.Position, record.Step = next.Term, "", 0, stepRevoke
	next.Promotion = &record
	p.writeGroup(next, "candidate_given_up", "server", failed)
}

// publishPrimary records the new primary in the group object and ends the
// promotion.
func (p *promotion) publishPrimary() {
	p.enterStep(stepPublish)
	next := *p.group()
	next.Primary = p.record().Candidate
	next.TermStarts = appendTermStart(next.TermStarts, topology.TermStart{Term: next.Term, Position: p.record().Position})
	next.Promotion = nil
	p.writeGroup(next, "primary_published", "server", next.Primary)
}

// maxTermStarts is the number of terms whose start positions the group object
// keeps.
const maxTermStarts = 16

func appendTermStart(previous []topology.TermStart, last topology.TermStart) []topology.TermStart {
	starts := append(append([]topology.TermStart(nil), previous...), last)
	if len(starts) > maxTermStarts {
		starts = starts[len(starts)-maxTermStarts:]
	}
	return starts
}

// writeGroup updates the group object unless a write or read is in flight or the
// retry delay has not passed.
func (p *promotion) writeGroup(next topology.Group, event string, fields ...any) {
	if p.f.writing[p.db] || p.f.reading[p.db] || p.m.now < p.f.nextWriteAt[p.db] {
		return
	}
	p.m.log(event, append([]any{"database", p.db, "term", next.Term, "reason", p.reason}, fields...)...)
	p.f.writeGroup(p.db, p.m.groups[p.db].version, next)
}

// runAdmin starts an administrative step on a server unless one is in flight there.
// After a failure it waits for AdminRetryInterval.
func (p *promotion) runAdmin(server string, op txn.AdminOp, done func(AdminDone)) {
	if p.stepInFlight[server] || p.m.now < p.nextAttemptAt[server] {
		return
	}
	p.stepInFlight[server] = true
	request := txn.AdminRequest{Server: server, Op: op, Term: p.record().Term}
	opID := p.m.registerOp(func(e reducer.Event) {
		p.stepInFlight[server] = false
		result := e.(AdminDone)
		if result.Error != "" {
			p.nextAttemptAt[server] = p.m.now + p.m.opts.AdminRetryInterval
		}
		done(result)
	})
	p.m.emit(RunAdmin{Op: opID, Request: request, Timeout: p.m.opts.AdminTimeout})
}
