package authority

import (
	"sort"
	"time"

	"egretroad/internal/reducer"
)

// leaseHolder acquires and renews the leases of the databases whose primary has
// this VM as its home.
type leaseHolder struct {
	m               *Machine
	leases          map[string]HeldLease // by database
	released        map[string]uint64    // highest term released on request, by database
	pendingDrops    map[string]bool      // databases whose lease the delegate must remove
	requestInFlight bool
	nextRequestAt   time.Duration
	quorums         map[string]WriteQuorum
}

func newLeaseHolder(m *Machine) *leaseHolder {
	return &leaseHolder{
		m: m, leases: map[string]HeldLease{}, released: map[string]uint64{}, pendingDrops: map[string]bool{},
	}
}

// wantedLeases lists the leases that this VM should hold, sorted.
func (h *leaseHolder) wantedLeases() []Lease {
	h.m.refreshIndex()
	var leases []Lease
	for _, db := range h.m.watchedDatabases {
		if l, ok := h.wantedLease(db); ok {
			leases = append(leases, l)
		}
	}
	return leases
}

// wantedLease returns the lease that this VM should hold on a database, if any.
func (h *leaseHolder) wantedLease(db string) (Lease, bool) {
	g := h.m.groups[db]
	if g == nil || g.group.Promotion != nil || !h.m.isHomeOf(g.group.Primary) {
		return Lease{}, false
	}
	if g.group.Term <= h.released[db] {
		return Lease{}, false
	}
	return Lease{Database: db, Term: g.group.Term}, true
}

// reconcile drops leases of terms that have ended and requests new ones
// immediately. A lease on a server whose home has moved is kept until it expires,
// so that requests in progress can complete.
func (h *leaseHolder) reconcile() {
	changed := false
	for _, db := range h.leasedDatabases() {
		if !h.m.hasPrimaryInTerm(db, h.leases[db].Term) {
			h.dropLease(db)
			changed = true
		}
	}
	for _, l := range h.wantedLeases() {
		if h.leases[l.Database].Term != l.Term {
			h.nextRequestAt = 0
		}
	}
	if changed {
		h.publishTable()
	}
	h.requestLeases()
}

// leasedDatabases lists the databases on which this VM holds a lease, sorted.
func (h *leaseHolder) leasedDatabases() []string {
	set := make(map[string]bool, len(h.leases))
	for db := range h.leases {
		set[db] = true
	}
	return sortedKeys(set)
}

func (h *leaseHolder) dropLease(db string) {
	h.m.log("lease_dropped", "database", db, "term", h.leases[db].Term)
	delete(h.leases, db)
	h.pendingDrops[db] = true
}

func (h *leaseHolder) tick() {
	for _, db := range h.leasedDatabases() {
		if lease := h.leases[db]; h.m.now >= lease.ExpiresAt {
			h.m.log("lease_lapsed", "database", db, "term", lease.Term)
			delete(h.leases, db)
		}
	}
	h.requestLeases()
}

// requestLeases sends one request for all wanted leases unless a request is in
// flight.
func (h *leaseHolder) requestLeases() {
	if h.requestInFlight || h.m.lastTick == 0 || h.m.now < h.nextRequestAt {
		return
	}
	wanted := h.wantedLeases()
	for _, l := range wanted {
		delete(h.pendingDrops, l.Database)
	}
	if len(wanted) == 0 && len(h.pendingDrops) == 0 {
		return
	}
	request := LeaseRequest{Wanted: wanted, Dropped: sortedKeys(h.pendingDrops)}
	h.requestInFlight = true
	h.nextRequestAt = h.m.now + h.m.opts.LeaseRequestInterval
	op := h.m.registerOp(func(e reducer.Event) { h.onReply(e.(LeaseRequestDone), request.Dropped) })
	h.m.emit(RequestLeases{Op: op, Delegate: h.m.delegateOf(h.m.self.DataCentre), Request: request, Timeout: h.m.opts.LeaseRequestTimeout})
}

// onReply stores granted leases. Their lifetime counts from the time at which the
// request was sent.
func (h *leaseHolder) onReply(e LeaseRequestDone, dropped []string) {
	h.requestInFlight = false
	if e.Error != "" {
		h.m.log("lease_ask_failed", "error", e.Error)
		return
	}
	for _, db := range dropped {
		delete(h.pendingDrops, db)
	}
	expiresAt := e.RequestedAt + h.m.opts.LeaseTTL - h.m.opts.LeaseMargin
	changed := false
	for _, l := range e.Granted {
		if want, ok := h.wantedLease(l.Database); !ok || want != l || h.m.now >= expiresAt {
			continue
		}
		if h.leases[l.Database].Term != l.Term {
			h.m.log("lease_held", "database", l.Database, "term", l.Term, "duration", expiresAt-h.m.now)
		}
		h.leases[l.Database] = HeldLease{Term: l.Term, ExpiresAt: expiresAt}
		changed = true
	}
	if changed {
		h.publishTable()
	}
	h.requestLeases()
}

// onReleaseRequest releases a lease permanently, then replies.
func (h *leaseHolder) onReleaseRequest(e ReleaseRequestReceived) {
	db := e.Lease.Database
	h.released[db] = max(h.released[db], e.Lease.Term)
	if lease, ok := h.leases[db]; ok && lease.Term <= e.Lease.Term {
		h.dropLease(db)
		h.publishTable()
	}
	h.m.log("lease_released", "database", db, "term", e.Lease.Term, "to", e.From)
	h.m.emit(ReplyReleased{Call: e.Call})
}

// groupChanged updates the write quorum of a group. It copies the map, because
// request goroutines read the published one.
func (h *leaseHolder) groupChanged(db string) {
	next := make(map[string]WriteQuorum, len(h.quorums)+1)
	for name, q := range h.quorums {
		next[name] = q
	}
	if g := h.m.groups[db]; g != nil {
		next[db] = newWriteQuorum(&g.group, next[db])
	} else {
		delete(next, db)
	}
	h.quorums = next
	h.publishTable()
}

func (h *leaseHolder) publishTable() {
	t := &LeaseTable{Leases: make(map[string]HeldLease, len(h.leases)), Quorums: h.quorums}
	for db, lease := range h.leases {
		t.Leases[db] = lease
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
