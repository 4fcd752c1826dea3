package authority

import (
	"fmt"
	"sort"
	"time"

	"egretroad/internal/platform"
	"egretroad/internal/reducer"
	"egretroad/internal/topology"
)

// revocation forbids the leases of a replaced term in the lease objects of the
// old primary's data centre, and asks the holders found there to give them up.
type revocation struct {
	p       *promotion
	m       *Machine
	lease   Lease
	waiting map[string]bool          // data centres not yet revoked
	calling map[string]bool          // data centres with a call under way
	nextTry map[string]time.Duration // by data centre
	holders map[string]bool          // by VM ID; true once released
	asking  map[string]bool          // holders with a request under way
	nextAsk map[string]time.Duration // by VM ID
	doneAt  time.Duration            // answer of the last revoking write
}

func newRevocation(p *promotion, record *topology.Promotion) *revocation {
	r := &revocation{
		p: p, m: p.m, lease: Lease{Database: p.db, Term: record.FromTerm},
		waiting: map[string]bool{}, calling: map[string]bool{}, nextTry: map[string]time.Duration{},
		holders: map[string]bool{}, asking: map[string]bool{}, nextAsk: map[string]time.Duration{},
	}
	for _, dc := range leaseCentres(p.group(), record.From) {
		r.waiting[dc] = true
	}
	return r
}

// leaseCentres lists the data centres whose homes may hold a lease: that of the
// old primary, or all of the group when its server is not known.
func leaseCentres(g *topology.Group, from string) []string {
	if s, ok := g.Server(from); ok {
		return []string{s.DataCentre}
	}
	set := map[string]bool{}
	for _, s := range g.Servers {
		set[s.DataCentre] = true
	}
	return sortedKeys(set)
}

func (r *revocation) done() bool { return len(r.waiting) == 0 }

// expiry is the time from which no lease of the old term can be live, whatever
// its holder did: the holder counted from before the delegate's write, which
// came before the revoking write.
func (r *revocation) expiry() time.Duration {
	return r.doneAt + r.m.opts.LeaseTTL + r.m.opts.LeaseMargin
}

// released reports whether every VM that may hold the lease has given it up.
func (r *revocation) released() bool {
	for _, given := range r.holders {
		if !given {
			return false
		}
	}
	return true
}

// advance starts the calls that are due.
func (r *revocation) advance() {
	for _, dc := range sortedKeys(r.waiting) {
		if !r.calling[dc] && r.m.now >= r.nextTry[dc] {
			r.calling[dc] = true
			r.m.read(platform.KindLease, dc, func(s StoreResult) { r.onObject(dc, s) })
		}
	}
}

// onObject takes in the lease object after a read or a conflict.
func (r *revocation) onObject(dc string, s StoreResult) {
	r.calling[dc] = false
	if !r.p.current() || !r.waiting[dc] {
		return
	}
	if s.Outcome == StoreUnknown {
		r.retry(dc, s)
		return
	}
	object, err := DecodeLeaseObject(s.Object.Value)
	if err != nil {
		r.m.alarm("lease_object_invalid", "dataCentre", dc, "error", err)
	}
	if object.Revoked != nil && object.Revoked[r.lease.Database] >= r.lease.Term && s.Object.Version > 0 {
		r.revoked(dc, object)
		return
	}
	r.write(dc, s.Object.Version, object)
}

func (r *revocation) write(dc string, version uint64, object LeaseObject) {
	next := object.clone()
	next.revoke(r.lease.Database, r.lease.Term)
	next.Nonce = fmt.Sprintf("%s/%s/revoke/%d", r.m.self.ID, r.m.incarnation, r.m.nextOp)
	r.calling[dc] = true
	r.m.write(platform.KindLease, dc, version, next.Encode(), func(s StoreResult) {
		if s.Outcome == StoreOK {
			r.calling[dc] = false
			r.revoked(dc, next)
			return
		}
		if s.Outcome == StoreUnknown {
			r.calling[dc] = false
			r.retry(dc, s)
			return
		}
		r.onObject(dc, s)
	})
}

// retry reads the object again after a while; a write that took effect shows there.
func (r *revocation) retry(dc string, s StoreResult) {
	r.nextTry[dc] = r.m.now + r.m.opts.StoreRetryMin
	r.m.log("lease_revocation_unanswered", "database", r.lease.Database, "term", r.lease.Term, "dataCentre", dc, "error", s.Error)
}

func (r *revocation) revoked(dc string, object LeaseObject) {
	if !r.p.current() || !r.waiting[dc] {
		return
	}
	delete(r.waiting, dc)
	r.doneAt = r.m.now
	holders := object.holders(r.lease.Database, r.lease.Term)
	for _, vm := range holders {
		r.holders[vm] = false
	}
	r.m.log("leases_revoked", "database", r.lease.Database, "term", r.lease.Term, "dataCentre", dc, "holders", len(holders))
	r.p.advance()
}

// askHolders asks each holder to give up the lease, again after a failure.
func (r *revocation) askHolders() {
	for _, vm := range r.unreleased() {
		if r.asking[vm] || r.m.now < r.nextAsk[vm] {
			continue
		}
		r.asking[vm] = true
		op := r.m.expect(func(e reducer.Event) { r.onReleased(vm, e.(ReleaseAnswered)) })
		r.m.emit(AskRelease{Op: op, Holder: vm, Lease: r.lease, Timeout: r.m.opts.ReleaseTimeout})
	}
}

func (r *revocation) onReleased(vm string, e ReleaseAnswered) {
	r.asking[vm] = false
	r.nextAsk[vm] = r.m.now + r.m.opts.AdminRetry
	if e.Released {
		r.holders[vm] = true
		r.p.advance()
	}
}

// unreleased lists the holders that have not given the lease up, sorted.
func (r *revocation) unreleased() []string {
	var vms []string
	for vm, given := range r.holders {
		if !given {
			vms = append(vms, vm)
		}
	}
	sort.Strings(vms)
	return vms
}
