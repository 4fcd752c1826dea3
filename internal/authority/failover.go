package authority

import (
	"time"

	"egretroad/internal/platform"
	"egretroad/internal/topology"
)

// Intervals of failover that are not configurable.
const (
	promotionWindow          = time.Hour        // window of MaxPromotionsPerHour
	alarmInterval            = time.Minute      // between two alarms on a database
	plannedPromotionInterval = 30 * time.Second // retry delay if a planned promotion kept the primary
	groupWriteRetry          = 500 * time.Millisecond
)

// failover starts, resumes and supervises the promotions of the watched groups.
type failover struct {
	m               *Machine
	promotions      map[string]*promotion      // coordinated by this VM, by database
	suspicions      map[string]*suspicion      // by database
	writing         map[string]bool            // databases with a group write in flight
	nextWriteAt     map[string]time.Duration   // by database
	unplannedStarts map[string][]time.Duration // times of observed unplanned promotions, by database
	nextAlarmAt     map[string]time.Duration   // by database
	nextPlannedAt   map[string]time.Duration   // earliest time of the next planned promotion, by database
	reading         map[string]bool            // databases with a group read in flight
}

// suspicion is a decision to promote and the time since which its reason has held.
type suspicion struct {
	decision promotionDecision
	since    time.Duration
}

func newFailover(m *Machine) *failover {
	return &failover{
		m: m, promotions: map[string]*promotion{}, suspicions: map[string]*suspicion{}, writing: map[string]bool{},
		nextWriteAt: map[string]time.Duration{}, unplannedStarts: map[string][]time.Duration{},
		nextAlarmAt: map[string]time.Duration{}, nextPlannedAt: map[string]time.Duration{}, reading: map[string]bool{},
	}
}

func (f *failover) tick() {
	f.m.refreshIndex()
	for _, db := range f.m.watchedDatabases {
		g := f.m.groups[db]
		if g == nil {
			continue
		}
		if g.group.Promotion != nil {
			f.supervise(db, g)
			continue
		}
		f.checkPrimary(db, g)
	}
	for _, db := range f.coordinatedDatabases() {
		if p := f.promotions[db]; p != nil {
			p.advance()
		}
	}
}

// coordinatedDatabases lists the databases whose promotion this VM coordinates,
// sorted.
func (f *failover) coordinatedDatabases() []string {
	set := map[string]bool{}
	for db := range f.promotions {
		set[db] = true
	}
	return sortedKeys(set)
}

// checkPrimary starts a promotion once it has been needed for the wait that
// corresponds to this VM's coordinator rank.
func (f *failover) checkPrimary(db string, g *groupState) {
	decision := f.m.detector.decidePromotion(g)
	s := f.suspicions[db]
	if decision.reason == "" {
		if s != nil {
			f.m.log("suspicion_cleared", "database", db, "term", g.group.Term, "reason", s.decision.reason, "duration", f.m.now-s.since)
			delete(f.suspicions, db)
		}
		return
	}
	if s == nil || s.decision.reason != decision.reason {
		s = &suspicion{since: f.m.now}
		f.suspicions[db] = s
		f.m.log("primary_suspected", "database", db, "term", g.group.Term, "server", g.group.Primary, "reason", decision.reason, "blocked", decision.blocked)
	}
	s.decision = decision
	rank := f.m.coordinatorRank(&g.group, g.group.Primary)
	if rank < 0 || f.m.now < s.since+time.Duration(rank)*f.m.opts.RankBackoff {
		return
	}
	if f.writing[db] || f.m.now < f.nextWriteAt[db] || !f.mayPromote(db, g, decision) {
		return
	}
	f.startPromotion(db, g, decision)
}

// mayPromote reports whether a needed promotion may start now. It raises an alarm
// when the promotion is blocked or the hourly limit is reached.
func (f *failover) mayPromote(db string, g *groupState, decision promotionDecision) bool {
	switch {
	case decision.blocked != "":
		f.alarm(db, "promotion_blocked", "term", g.group.Term, "reason", decision.reason, "blocked", decision.blocked)
		return false
	case decision.planned:
		return f.m.now >= f.nextPlannedAt[db]
	case f.recentUnplanned(db) >= f.m.opts.MaxPromotionsPerHour:
		f.alarm(db, "promotion_bound_reached", "term", g.group.Term, "reason", decision.reason, "perHour", f.m.opts.MaxPromotionsPerHour)
		return false
	}
	return true
}

func (f *failover) alarm(db, event string, fields ...any) {
	if f.m.now < f.nextAlarmAt[db] {
		return
	}
	f.nextAlarmAt[db] = f.m.now + alarmInterval
	f.m.alarm(event, append([]any{"database", db}, fields...)...)
}

// recentUnplanned counts the unplanned promotions within promotionWindow.
func (f *failover) recentUnplanned(db string) int {
	var kept []time.Duration
	for _, at := range f.unplannedStarts[db] {
		if f.m.now-at < promotionWindow {
			kept = append(kept, at)
		}
	}
	f.unplannedStarts[db] = kept
	return len(kept)
}

// startPromotion writes the group with the next term and a record of the promotion
// that names this VM as coordinator.
func (f *failover) startPromotion(db string, g *groupState, decision promotionDecision) {
	next := g.group
	next.Term++
	next.Primary = ""
	next.Promotion = &topology.Promotion{
		Coordinator: f.m.self.ID, Term: next.Term, Reason: decision.reason, Step: stepRevoke,
		From: g.group.Primary, FromTerm: g.group.Term,
	}
	if decision.planned {
		f.nextPlannedAt[db] = f.m.now + plannedPromotionInterval
	}
	f.m.log("promotion_claim", "database", db, "term", next.Term, "from", g.group.Primary, "reason", decision.reason)
	f.writeGroup(db, g.version, next)
}

// takeOver makes this VM the coordinator of an unfinished promotion.
func (f *failover) takeOver(db string, g *groupState) {
	next := g.group
	record := *g.group.Promotion
	previous := record.Coordinator
	record.Coordinator = f.m.self.ID
	next.Promotion = &record
	f.m.log("promotion_take_over", "database", db, "term", next.Term, "from", previous, "reason", record.Reason, "duration", f.m.now-g.changedAt)
	f.writeGroup(db, g.version, next)
}

// writeGroup updates a group object conditionally. Whatever the outcome, the
// machine continues from the object that the platform then holds.
func (f *failover) writeGroup(db string, version uint64, next topology.Group) {
	f.writing[db] = true
	f.m.writeObject(platform.KindGroup, db, version, encodeJSON(next), func(r StoreResult) {
		f.writing[db] = false
		f.onGroupResult(db, r)
	})
}

// onGroupResult processes the result of a group write.
func (f *failover) onGroupResult(db string, r StoreResult) {
	switch r.Outcome {
	case StoreOK:
		f.m.updateGroup(r.Object)
	case StoreConflict, StoreNotFound:
		f.m.log("group_write_conflict", "database", db, "current", r.Object.Version)
		if g := f.m.groups[db]; g != nil && r.Object.Version <= g.version {
			f.nextWriteAt[db] = f.m.now + groupWriteRetry
		}
		f.m.updateGroup(r.Object)
	case StoreUnknown:
		f.m.log("group_call_unanswered", "database", db, "error", r.Error)
		f.nextWriteAt[db] = f.m.now + groupWriteRetry
		f.readGroup(db)
	}
	if p := f.promotions[db]; p != nil {
		p.advance()
	}
}

// readGroup reads a group after a lost response. A read without a response is not
// retried: a conflict of the next write returns the current object.
func (f *failover) readGroup(db string) {
	if f.reading[db] {
		return
	}
	f.reading[db] = true
	f.m.readObject(platform.KindGroup, db, func(r StoreResult) {
		f.reading[db] = false
		if r.Outcome == StoreOK {
			f.m.updateGroup(r.Object)
		}
	})
}

// supervise resumes a promotion that names this VM as coordinator, and takes over
// one whose coordinator is not live or makes no progress.
func (f *failover) supervise(db string, g *groupState) {
	record := g.group.Promotion
	if record.Coordinator == f.m.self.ID {
		f.startRun(db, g)
		return
	}
	rank := f.m.coordinatorRank(&g.group, record.From)
	if rank < 0 || f.writing[db] || f.m.now < f.nextWriteAt[db] {
		return
	}
	wait := f.m.opts.ResumeAfter
	if _, live := f.m.snapshot.VMs[record.Coordinator]; !live {
		wait = f.m.opts.RankBackoff
	}
	wait += time.Duration(rank) * f.m.opts.RankBackoff
	if f.m.now-g.changedAt < wait || f.m.detector.requireMajority(g, promotionDecision{}).blocked != "" {
		return
	}
	f.takeOver(db, g)
}

// startRun starts the local run of a promotion that names this VM as coordinator.
func (f *failover) startRun(db string, g *groupState) {
	if f.promotions[db] != nil {
		return
	}
	record := g.group.Promotion
	f.m.log("promotion_started", "database", db, "term", record.Term, "from", record.From, "reason", record.Reason, "candidate", record.Candidate)
	p := newPromotion(f, db)
	f.promotions[db] = p
	p.advance()
}

// groupChanged processes a new version of a group. previous is nil for the first.
func (f *failover) groupChanged(db string, previous, current *groupState) {
	record := current.group.Promotion
	if record != nil && (previous == nil || previous.group.Promotion == nil) {
		delete(f.suspicions, db)
		if !isPlanned(record.Reason) {
			f.unplannedStarts[db] = append(f.unplannedStarts[db], f.m.now)
		}
	}
	if p := f.promotions[db]; p != nil {
		f.updateRun(db, p, current)
		return
	}
	if record != nil && record.Coordinator == f.m.self.ID {
		f.startRun(db, current)
	}
}

// updateRun ends the local run when the promotion has completed or another VM
// coordinates it, and otherwise passes the new record to it.
func (f *failover) updateRun(db string, p *promotion, current *groupState) {
	record := current.group.Promotion
	switch {
	case record == nil:
		f.m.log("promotion_done", "database", db, "term", current.group.Term, "primary", current.group.Primary,
			"reason", p.reason, "duration", f.m.now-p.startedAt)
		delete(f.promotions, db)
	case record.Coordinator != f.m.self.ID:
		f.m.log("promotion_handed_over", "database", db, "term", record.Term, "to", record.Coordinator)
		delete(f.promotions, db)
	default:
		p.groupChanged(record)
	}
}

func isPlanned(reason string) bool { return reason == ReasonLeaving || reason == ReasonNoPrimary }
