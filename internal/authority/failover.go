package authority

import (
	"time"

	"egretroad/internal/platform"
	"egretroad/internal/topology"
)

// Timings of the failover's own bookkeeping.
const (
	promotionWindow = time.Hour        // window of MaxPromotionsPerHour
	alarmInterval   = time.Minute      // between two alarms of one kind on a database
	plannedRetry    = 30 * time.Second // after a planned promotion that kept the primary
	claimRetry      = 500 * time.Millisecond
)

// failover starts, resumes and watches the promotions of the watched groups.
type failover struct {
	m          *Machine
	runs       map[string]*promotion      // promotions that this VM coordinates
	suspects   map[string]*suspicion      // by database
	claiming   map[string]bool            // databases with a group write under way
	nextClaim  map[string]time.Duration   // by database
	started    map[string][]time.Duration // unplanned promotions seen, by database
	nextAlarm  map[string]time.Duration   // by database
	nextPlan   map[string]time.Duration   // earliest planned promotion, by database
	readGroups map[string]bool            // databases with a group read under way
}

// suspicion is a verdict that has held since a time.
type suspicion struct {
	verdict verdict
	since   time.Duration
}

func newFailover(m *Machine) *failover {
	return &failover{
		m: m, runs: map[string]*promotion{}, suspects: map[string]*suspicion{}, claiming: map[string]bool{},
		nextClaim: map[string]time.Duration{}, started: map[string][]time.Duration{},
		nextAlarm: map[string]time.Duration{}, nextPlan: map[string]time.Duration{}, readGroups: map[string]bool{},
	}
}

func (f *failover) tick() {
	f.m.index()
	for _, db := range f.m.watched {
		g := f.m.groups[db]
		if g == nil {
			continue
		}
		if g.group.Promotion != nil {
			f.supervise(db, g)
			continue
		}
		f.detect(db, g)
	}
	for _, db := range f.running() {
		if p := f.runs[db]; p != nil {
			p.advance()
		}
	}
}

// running lists the databases whose promotion this VM coordinates, sorted.
func (f *failover) running() []string {
	set := map[string]bool{}
	for db := range f.runs {
		set[db] = true
	}
	return sortedKeys(set)
}

// detect starts a promotion once its need has held for this VM's turn.
func (f *failover) detect(db string, g *groupState) {
	v := f.m.evidence.judge(g)
	s := f.suspects[db]
	if v.reason == "" {
		if s != nil {
			f.m.log("suspicion_cleared", "database", db, "term", g.group.Term, "reason", s.verdict.reason, "duration", f.m.now-s.since)
			delete(f.suspects, db)
		}
		return
	}
	if s == nil || s.verdict.reason != v.reason {
		s = &suspicion{since: f.m.now}
		f.suspects[db] = s
		f.m.log("primary_suspected", "database", db, "term", g.group.Term, "server", g.group.Primary, "reason", v.reason, "blocked", v.blocked)
	}
	s.verdict = v
	rank := f.m.rank(&g.group, g.group.Primary)
	if rank < 0 || f.m.now < s.since+time.Duration(rank)*f.m.opts.RankBackoff {
		return
	}
	if f.claiming[db] || f.m.now < f.nextClaim[db] || !f.allowed(db, g, v) {
		return
	}
	f.claim(db, g, v)
}

// allowed checks what forbids a needed promotion, and raises the alarm.
func (f *failover) allowed(db string, g *groupState, v verdict) bool {
	switch {
	case v.blocked != "":
		f.alarm(db, "promotion_blocked", "term", g.group.Term, "reason", v.reason, "blocked", v.blocked)
		return false
	case v.planned:
		return f.m.now >= f.nextPlan[db]
	case f.recent(db) >= f.m.opts.MaxPromotionsPerHour:
		f.alarm(db, "promotion_bound_reached", "term", g.group.Term, "reason", v.reason, "perHour", f.m.opts.MaxPromotionsPerHour)
		return false
	}
	return true
}

func (f *failover) alarm(db, event string, fields ...any) {
	if f.m.now < f.nextAlarm[db] {
		return
	}
	f.nextAlarm[db] = f.m.now + alarmInterval
	f.m.alarm(event, append([]any{"database", db}, fields...)...)
}

// recent counts the unplanned promotions of the last hour.
func (f *failover) recent(db string) int {
	var kept []time.Duration
	for _, at := range f.started[db] {
		if f.m.now-at < promotionWindow {
			kept = append(kept, at)
		}
	}
	f.started[db] = kept
	return len(kept)
}

// claim writes the group with the next term and a record of the promotion.
func (f *failover) claim(db string, g *groupState, v verdict) {
	next := g.group
	next.Term++
	next.Primary = ""
	next.Promotion = &topology.Promotion{
		Coordinator: f.m.self.ID, Term: next.Term, Reason: v.reason, Step: stepRevoke,
		From: g.group.Primary, FromTerm: g.group.Term,
	}
	if v.planned {
		f.nextPlan[db] = f.m.now + plannedRetry
	}
	f.m.log("promotion_claim", "database", db, "term", next.Term, "from", g.group.Primary, "reason", v.reason)
	f.writeGroup(db, g.version, next)
}

// takeOver makes this VM the coordinator of a promotion left midway.
func (f *failover) takeOver(db string, g *groupState) {
	next := g.group
	record := *g.group.Promotion
	previous := record.Coordinator
	record.Coordinator = f.m.self.ID
	next.Promotion = &record
	f.m.log("promotion_take_over", "database", db, "term", next.Term, "from", previous, "reason", record.Reason, "duration", f.m.now-g.changedAt)
	f.writeGroup(db, g.version, next)
}

// writeGroup updates a group object. Whatever the outcome, the machine goes on
// from the object that the platform then holds.
func (f *failover) writeGroup(db string, version uint64, next topology.Group) {
	f.claiming[db] = true
	f.m.write(platform.KindGroup, db, version, encodeJSON(next), func(r StoreResult) {
		f.claiming[db] = false
		f.settle(db, r)
	})
}

// settle takes in the result of a group write or read.
func (f *failover) settle(db string, r StoreResult) {
	switch r.Outcome {
	case StoreOK:
		f.m.learnGroup(r.Object)
	case StoreConflict, StoreNotFound:
		f.m.log("group_write_conflict", "database", db, "current", r.Object.Version)
		if g := f.m.groups[db]; g != nil && r.Object.Version <= g.version {
			f.nextClaim[db] = f.m.now + claimRetry
		}
		f.m.learnGroup(r.Object)
	case StoreUnknown:
		f.m.log("group_call_unanswered", "database", db, "error", r.Error)
		f.nextClaim[db] = f.m.now + claimRetry
		f.readGroup(db)
	}
	if p := f.runs[db]; p != nil {
		p.advance()
	}
}

// readGroup reads a group back after a lost answer. A read without an answer is
// not repeated here: the next write settles by conflict.
func (f *failover) readGroup(db string) {
	if f.readGroups[db] {
		return
	}
	f.readGroups[db] = true
	f.m.read(platform.KindGroup, db, func(r StoreResult) {
		f.readGroups[db] = false
		if r.Outcome == StoreOK {
			f.m.learnGroup(r.Object)
		}
	})
}

// supervise resumes a promotion that this VM recorded, and takes over one whose
// coordinator is gone or stands still.
func (f *failover) supervise(db string, g *groupState) {
	record := g.group.Promotion
	if record.Coordinator == f.m.self.ID {
		f.adopt(db, g)
		return
	}
	rank := f.m.rank(&g.group, record.From)
	if rank < 0 || f.claiming[db] || f.m.now < f.nextClaim[db] {
		return
	}
	wait := f.m.opts.ResumeAfter
	if _, live := f.m.snapshot.VMs[record.Coordinator]; !live {
		wait = f.m.opts.RankBackoff
	}
	wait += time.Duration(rank) * f.m.opts.RankBackoff
	if f.m.now-g.changedAt < wait || f.m.evidence.requireMajority(g, verdict{}).blocked != "" {
		return
	}
	f.takeOver(db, g)
}

// adopt starts the local run of a promotion that names this VM.
func (f *failover) adopt(db string, g *groupState) {
	if f.runs[db] != nil {
		return
	}
	record := g.group.Promotion
	f.m.log("promotion_started", "database", db, "term", record.Term, "from", record.From, "reason", record.Reason, "candidate", record.Candidate)
	p := newPromotion(f, db)
	f.runs[db] = p
	p.advance()
}

// groupChanged follows a group from one version to the next.
func (f *failover) groupChanged(db string, before, now *groupState) {
	record := now.group.Promotion
	if record != nil && (before == nil || before.group.Promotion == nil) {
		delete(f.suspects, db)
		if !isPlanned(record.Reason) {
			f.started[db] = append(f.started[db], f.m.now)
		}
	}
	if p := f.runs[db]; p != nil {
		f.followRun(db, p, now)
		return
	}
	if record != nil && record.Coordinator == f.m.self.ID {
		f.adopt(db, now)
	}
}

// followRun ends the local run when another VM coordinates or the promotion is over.
func (f *failover) followRun(db string, p *promotion, now *groupState) {
	record := now.group.Promotion
	switch {
	case record == nil:
		f.m.log("promotion_done", "database", db, "term", now.group.Term, "primary", now.group.Primary,
			"reason", p.reason, "duration", f.m.now-p.startedAt)
		delete(f.runs, db)
	case record.Coordinator != f.m.self.ID:
		f.m.log("promotion_handed_over", "database", db, "term", record.Term, "to", record.Coordinator)
		delete(f.runs, db)
	default:
		p.groupChanged(record)
	}
}

func isPlanned(reason string) bool { return reason == ReasonLeaving || reason == ReasonNoPrimary }
