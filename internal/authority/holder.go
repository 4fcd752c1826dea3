package authority

import (
	"sort"
	"time"

	"egretroad/internal/reducer"
)

// holder keeps the leases of the primaries that this VM is home of.
type holder struct {
	m        *Machine
	held     map[string]Holding // by database
	given    map[string]uint64  // highest term given up on request, by database
	dropped  map[string]bool    // databases that the delegate must forget
	asking   bool
	nextAsk  time.Duration
	electors map[string]Electors
}

func newHolder(m *Machine) *holder {
	return &holder{
		m: m, held: map[string]Holding{}, given: map[string]uint64{}, dropped: map[string]bool{},
	}
}

// wanted lists the leases that this VM should hold, sorted.
func (h *holder) wanted() []Lease {
	h.m.index()
	var leases []Lease
	for _, db := range h.m.watched {
		if l, ok := h.wants(db); ok {
			leases = append(leases, l)
		}
	}
	return leases
}

// wants returns the lease that this VM should hold on a database, if any.
func (h *holder) wants(db string) (Lease, bool) {
	g := h.m.groups[db]
	if g == nil || g.group.Promotion != nil || !h.m.isOwn(g.group.Primary) {
		return Lease{}, false
	}
	if g.group.Term <= h.given[db] {
		return Lease{}, false
	}
	return Lease{Database: db, Term: g.group.Term}, true
}

// review drops leases of terms that have ended and asks for new ones at once. A
// lease on a server whose home has moved is kept until it lapses, for the
// requests in progress.
func (h *holder) review() {
	changed := false
	for _, db := range h.databases() {
		if !h.m.serves(db, h.held[db].Term) {
			h.drop(db)
			changed = true
		}
	}
	for _, l := range h.wanted() {
		if h.held[l.Database].Term != l.Term {
			h.nextAsk = 0
		}
	}
	if changed {
		h.publish()
	}
	h.ask()
}

// databases lists the databases with a lease, sorted.
func (h *holder) databases() []string {
	set := make(map[string]bool, len(h.held))
	for db := range h.held {
		set[db] = true
	}
	return sortedKeys(set)
}

func (h *holder) drop(db string) {
	h.m.log("lease_dropped", "database", db, "term", h.held[db].Term)
	delete(h.held, db)
	h.dropped[db] = true
}

func (h *holder) tick() {
	for _, db := range h.databases() {
		if have := h.held[db]; h.m.now >= have.Until {
			h.m.log("lease_lapsed", "database", db, "term", have.Term)
			delete(h.held, db)
		}
	}
	h.ask()
}

// ask sends one request for all wanted leases, unless one is under way.
func (h *holder) ask() {
	if h.asking || h.m.lastTick == 0 || h.m.now < h.nextAsk {
		return
	}
	wanted := h.wanted()
	for _, l := range wanted {
		delete(h.dropped, l.Database)
	}
	if len(wanted) == 0 && len(h.dropped) == 0 {
		return
	}
	request := LeaseRequest{Wanted: wanted, Dropped: sortedKeys(h.dropped)}
	h.asking = true
	h.nextAsk = h.m.now + h.m.opts.AskInterval
	op := h.m.expect(func(e reducer.Event) { h.onAnswer(e.(AskAnswered), request.Dropped) })
	h.m.emit(AskDelegate{Op: op, Delegate: h.m.delegateOf(h.m.self.DataCentre), Request: request, Timeout: h.m.opts.AskTimeout})
}

// onAnswer counts granted leases from the time at which the request was sent.
func (h *holder) onAnswer(e AskAnswered, dropped []string) {
	h.asking = false
	if e.Error != "" {
		h.m.log("lease_ask_failed", "error", e.Error)
		return
	}
	for _, db := range dropped {
		delete(h.dropped, db)
	}
	until := e.AskedAt + h.m.opts.LeaseTTL - h.m.opts.LeaseMargin
	changed := false
	for _, l := range e.Granted {
		if want, ok := h.wants(l.Database); !ok || want != l || h.m.now >= until {
			continue
		}
		if h.held[l.Database].Term != l.Term {
			h.m.log("lease_held", "database", l.Database, "term", l.Term, "duration", until-h.m.now)
		}
		h.held[l.Database] = Holding{Term: l.Term, Until: until}
		changed = true
	}
	if changed {
		h.publish()
	}
	h.ask()
}

// releaseAsked gives a lease up for good, then answers.
func (h *holder) releaseAsked(e ReleaseAsked) {
	db := e.Lease.Database
	h.given[db] = max(h.given[db], e.Lease.Term)
	if have, ok := h.held[db]; ok && have.Term <= e.Lease.Term {
		h.drop(db)
		h.publish()
	}
	h.m.log("lease_released", "database", db, "term", e.Lease.Term, "to", e.From)
	h.m.emit(AnswerRelease{Call: e.Call})
}

// groupChanged takes in the servers that confirm a group's writes. The map is
// copied, because traffic reads the published one.
func (h *holder) groupChanged(db string) {
	next := make(map[string]Electors, len(h.electors)+1)
	for name, e := range h.electors {
		next[name] = e
	}
	if g := h.m.groups[db]; g != nil {
		next[db] = electors(&g.group, next[db])
	} else {
		delete(next, db)
	}
	h.electors = next
	h.publish()
}

func (h *holder) publish() {
	t := &Table{Leases: make(map[string]Holding, len(h.held)), Groups: h.electors}
	for db, have := range h.held {
		t.Leases[db] = have
	}
	h.m.emit(PublishTable{Table: t})
}

func sortedKeys(set map[string]bool) []string {
	keys := make([]string, 0, len(set))
	for k := range set {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
