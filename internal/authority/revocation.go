package authority

import (
	"fmt"
	"sort"
	"time"

	"egretroad/internal/platform"
	"egretroad/internal/reducer"
	"egretroad/internal/topology"
)

// revocation revokes the leases of the old term in the lease object of the old
// primary's data centre, and asks the holders listed there to release them.
type revocation struct {
	p               *promotion
	m               *Machine
	lease           Lease
	pending         map[string]bool          // data centres whose lease object is not yet updated
	callInFlight    map[string]bool          // data centres with a store call in flight
	nextCallAt      map[string]time.Duration // by data centre
	holders         map[string]bool          // by VM ID; true once the VM has released
	releaseInFlight map[string]bool          // holders with a release request in flight
	nextReleaseAt   map[string]time.Duration // by VM ID
	revokedAt       time.Duration            // response to the last revoking write
}

func newRevocation(p *promotion, record *topology.Promotion) *revocation {
	r := &revocation{
		p: p, m: p.m, lease: Lease{Database: p.db, Term: record.FromTerm},
		pending: map[string]bool{}, callInFlight: map[string]bool{}, nextCallAt: map[string]time.Duration{},
		holders: map[string]bool{}, releaseInFlight: map[string]bool{}, nextReleaseAt: map[string]time.Duration{},
	}
	for _, dc := range leaseDataCentres(p.group(), record.From) {
		r.pending[dc] = true
	}
	return r
}

// leaseDataCentres lists the data centres whose homes may hold a lease: that of the
// old primary, or all of the group's when the old primary is unknown.
func leaseDataCentres(g *topology.Group, from string) []string {
	if s, ok := g.Server(from); ok {
		return []string{s.DataCentre}
	}
	set := map[string]bool{}
	for _, s := range g.Servers {
		set[s.DataCentre] = true
	}
	return sortedKeys(set)
}

func (r *revocation) complete() bool { return len(r.pending) == 0 }

// latestExpiry returns the time from which no lease of the old term can be valid
// even if no holder responds: a holder counts its lease from before the delegate's
// write, which preceded the revoking write.
func (r *revocation) latestExpiry() time.Duration {
	return r.revokedAt + r.m.opts.LeaseTTL + r.m.opts.LeaseMargin
}

// allReleased reports whether every VM that may hold the lease has released it.
func (r *revocation) allReleased() bool {
	for _, released := range r.holders {
		if !released {
			return false
		}
	}
	return true
}

// advance starts the store calls that are due.
func (r *revocation) advance() {
	for _, dc := range sortedKeys(r.pending) {
		if !r.callInFlight[dc] && r.m.now >= r.nextCallAt[dc] {
			r.callInFlight[dc] = true
			r.m.readObject(platform.KindLease, dc, func(result StoreResult) { r.onObject(dc, result) })
		}
	}
}

// onObject processes the lease object after a read or a conflict.
func (r *revocation) onObject(dc string, result StoreResult) {
	r.callInFlight[dc] = false
	if !r.p.isCurrent() || !r.pending[dc] {
		return
	}
	if result.Outcome == StoreUnknown {
		r.scheduleRetry(dc, result)
		return
	}
	object, err := DecodeLeaseObject(result.Object.Value)
	if err != nil {
		r.m.alarm("lease_object_invalid", "dataCentre", dc, "error", err)
	}
	if object.Revoked != nil && object.Revoked[r.lease.Database] >= r.lease.Term && result.Object.Version > 0 {
		r.onRevoked(dc, object)
		return
	}
	r.writeRevocation(dc, result.Object.Version, object)
}

func (r *revocation) writeRevocation(dc string, version uint64, object LeaseObject) {
	next := object.clone()
	next.revoke(r.lease.Database, r.lease.Term)
	next.Nonce = fmt.Sprintf("%s/%s/revoke/%d", r.m.self.ID, r.m.incarnation, r.m.nextOp)
	r.callInFlight[dc] = true
	r.m.writeObject(platform.KindLease, dc, version, next.Encode(), func(result StoreResult) {
		if result.Outcome == StoreOK {
			r.callInFlight[dc] = false
			r.onRevoked(dc, next)
			return
		}
		if result.Outcome == StoreUnknown {
			r.callInFlight[dc] = false
			r.scheduleRetry(dc, result)
			return
		}
		r.onObject(dc, result)
	})
}

// scheduleRetry schedules another read of the object after StoreRetryMin. The read
// shows whether a write without a response took effect.
func (r *revocation) scheduleRetry(dc string, result StoreResult) {
	r.nextCallAt[dc] = r.m.now + r.m.opts.StoreRetryMin
	r.m.log("lease_revocation_unanswered", "database", r.lease.Database, "term", r.lease.Term, "dataCentre", dc, "error", result.Error)
}

func (r *revocation) onRevoked(dc string, object LeaseObject) {
	if !r.p.isCurrent() || !r.pending[dc] {
		return
	}
	delete(r.pending, dc)
	r.revokedAt = r.m.now
	holders := object.holders(r.lease.Database, r.lease.Term)
	for _, vm := range holders {
		r.holders[vm] = false
	}
	r.m.log("leases_revoked", "database", r.lease.Database, "term", r.lease.Term, "dataCentre", dc, "holders", len(holders))
	r.p.advance()
}

// requestReleases asks each holder to release the lease and retries after a
// failure.
func (r *revocation) requestReleases() {
	for _, vm := range r.unreleased() {
		if r.releaseInFlight[vm] || r.m.now < r.nextReleaseAt[vm] {
			continue
		}
		r.releaseInFlight[vm] = true
		op := r.m.registerOp(func(e reducer.Event) { r.onReleased(vm, e.(ReleaseRequestDone)) })
		r.m.emit(RequestRelease{Op: op, Holder: vm, Lease: r.lease, Timeout: r.m.opts.ReleaseTimeout})
	}
}

func (r *revocation) onReleased(vm string, e ReleaseRequestDone) {
	r.releaseInFlight[vm] = false
	r.nextReleaseAt[vm] = r.m.now + r.m.opts.AdminRetryInterval
	if e.Released {
		r.holders[vm] = true
		r.p.advance()
	}
}

// unreleased lists the holders that have not released the lease, sorted.
func (r *revocation) unreleased() []string {
	var vms []string
	for vm, released := range r.holders {
		if !released {
			vms = append(vms, vm)
		}
	}
	sort.Strings(vms)
	return vms
}
