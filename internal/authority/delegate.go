package authority

import (
	"fmt"
	"sort"
	"time"

	"egretroad/internal/platform"
)

// maxUnansweredWrites is the number of writes with an unknown result whose nonces
// are kept.
const maxUnansweredWrites = 16

// delegate writes the leases of this VM's data centre on behalf of its homes. Any
// VM can serve as delegate, because it acts only on request and the compare-and-swap
// serializes concurrent delegates.
type delegate struct {
	m             *Machine
	loaded        bool // version and object hold the last known state of the lease object
	version       uint64
	object        LeaseObject
	lastRequested map[leaseKey]time.Duration // last request for, or read of, each entry
	pending       []pendingRequest
	callInFlight  bool // a call to the platform is in flight
	unanswered    []leaseWrite
	nonceCount    uint64
	failures      int
	nextCallAt    time.Duration
	lastWriteAt   time.Duration // start time of the last write
	writes        uint64
}

type leaseKey struct{ vm, database string }

// pendingRequest is a lease request of a home that waits for a write.
type pendingRequest struct {
	call       uint64
	vm         string
	request    LeaseRequest
	receivedAt time.Duration
}

// leaseWrite is a write that is in flight or whose result is unknown.
type leaseWrite struct {
	nonce    string
	object   LeaseObject
	requests []pendingRequest
}

func newDelegate(m *Machine) *delegate {
	return &delegate{m: m, lastRequested: map[leaseKey]time.Duration{}}
}

func (d *delegate) onRequest(e LeaseRequestReceived) {
	d.pending = append(d.pending, pendingRequest{call: e.Call, vm: e.From, request: e.Request, receivedAt: e.Now})
	d.startNextCall()
}

// startNextCall starts the next call to the platform if one is due and none is in
// flight.
func (d *delegate) startNextCall() {
	d.expirePending()
	if d.callInFlight || len(d.pending) == 0 || d.m.now < d.nextCallAt {
		return
	}
	if !d.loaded {
		d.callInFlight = true
		d.m.readObject(platform.KindLease, d.m.self.DataCentre, d.onRead)
		return
	}
	if d.hasUrgentRequest() || d.m.now >= d.lastWriteAt+d.m.opts.RenewInterval {
		d.writeLeases()
	}
}

// expirePending replies to requests whose home has stopped waiting.
func (d *delegate) expirePending() {
	var kept []pendingRequest
	for _, req := range d.pending {
		if d.m.now-req.receivedAt < d.m.opts.LeaseRequestTimeout {
			kept = append(kept, req)
			continue
		}
		d.m.emit(ReplyLeases{Call: req.call})
	}
	d.pending = kept
}

// hasUrgentRequest reports whether a pending request would change the holders or
// terms in the object. Plain renewals can wait for RenewInterval.
func (d *delegate) hasUrgentRequest() bool {
	for _, req := range d.pending {
		for _, l := range req.request.Wanted {
			if d.object.Holders[req.vm][l.Database] != l.Term && d.object.allows(l) {
				return true
			}
		}
	}
	return false
}

// writeLeases applies all pending requests in one conditional update.
func (d *delegate) writeLeases() {
	d.nonceCount++
	d.writes++
	next := d.object.clone()
	next.Delegate = d.m.self.ID
	next.Nonce = fmt.Sprintf("%s/%s/%d", d.m.self.ID, d.m.incarnation, d.nonceCount)
	d.removeExpired(next)
	for _, req := range d.pending {
		d.applyRequest(next, req)
	}
	w := leaseWrite{nonce: next.Nonce, object: next, requests: append([]pendingRequest(nil), d.pending...)}
	d.callInFlight = true
	d.lastWriteAt = d.m.now
	d.m.writeObject(platform.KindLease, d.m.self.DataCentre, d.version, next.Encode(), func(r StoreResult) { d.onWritten(w, r) })
}

// removeExpired removes entries whose leases have certainly expired.
func (d *delegate) removeExpired(next LeaseObject) {
	lifetime := d.m.opts.LeaseTTL + d.m.opts.LeaseMargin
	for vm, leases := range d.object.Holders {
		for db := range leases {
			if d.m.now-d.lastRequested[leaseKey{vm, db}] > lifetime {
				next.dropLease(vm, db)
			}
		}
	}
}

func (d *delegate) applyRequest(next LeaseObject, req pendingRequest) {
	for _, db := range req.request.Dropped {
		next.dropLease(req.vm, db)
	}
	for _, l := range req.request.Wanted {
		if next.allows(l) {
			next.setLease(req.vm, l)
			d.lastRequested[leaseKey{req.vm, l.Database}] = d.m.now
		}
	}
}

func (d *delegate) onRead(r StoreResult) {
	d.callInFlight = false
	switch r.Outcome {
	case StoreOK, StoreNotFound:
		d.resetBackoff()
		d.loadObject(r.Object)
	default:
		d.scheduleRetry(r)
	}
	d.startNextCall()
}

func (d *delegate) onWritten(w leaseWrite, r StoreResult) {
	d.callInFlight = false
	switch r.Outcome {
	case StoreOK:
		d.resetBackoff()
		d.version, d.object = r.Object.Version, w.object
		d.unanswered = nil
		d.replyGranted(w)
	case StoreConflict, StoreNotFound:
		d.resetBackoff()
		d.unanswered = append(d.unanswered, w)
		d.m.log("lease_write_conflict", "dataCentre", d.m.self.DataCentre, "version", d.version, "current", r.Object.Version)
		d.loadObject(r.Object)
	default:
		d.unanswered = append(d.unanswered, w)
		if len(d.unanswered) > maxUnansweredWrites {
			d.unanswered = d.unanswered[1:]
		}
		d.scheduleRetry(r)
	}
	d.startNextCall()
}

// loadObject replaces the cached object by the platform's current one. A write of
// this delegate whose response was lost is recognised by its nonce.
func (d *delegate) loadObject(o platform.Object) {
	object, err := DecodeLeaseObject(o.Value)
	if err != nil {
		d.m.alarm("lease_object_invalid", "dataCentre", d.m.self.DataCentre, "error", err)
		object, _ = DecodeLeaseObject(nil)
	}
	d.loaded, d.version, d.object = true, o.Version, object
	for vm, leases := range object.Holders {
		for db := range leases {
			d.lastRequested[leaseKey{vm, db}] = d.m.now
		}
	}
	d.pruneRequestTimes()
	for _, w := range d.unanswered {
		if w.nonce == object.Nonce {
			d.m.log("lease_write_recognised", "dataCentre", d.m.self.DataCentre, "version", o.Version)
			d.replyGranted(w)
		}
	}
	d.unanswered = nil
}

// pruneRequestTimes removes the times of entries that the object no longer has.
func (d *delegate) pruneRequestTimes() {
	for k := range d.lastRequested {
		if _, ok := d.object.Holders[k.vm][k.database]; !ok {
			delete(d.lastRequested, k)
		}
	}
}

// replyGranted replies to those requests of a successful write that are still
// pending.
func (d *delegate) replyGranted(w leaseWrite) {
	done := map[uint64]bool{}
	for _, req := range w.requests {
		done[req.call] = true
	}
	var kept []pendingRequest
	for _, req := range d.pending {
		if !done[req.call] {
			kept = append(kept, req)
			continue
		}
		d.m.emit(ReplyLeases{Call: req.call, Reply: LeaseReply{Granted: grantedLeases(w.object, req)}})
	}
	d.pending = kept
}

// grantedLeases lists the leases of a request that the object grants, sorted by
// database.
func grantedLeases(o LeaseObject, req pendingRequest) []Lease {
	var leases []Lease
	for _, l := range req.request.Wanted {
		if o.allows(l) && o.Holders[req.vm][l.Database] == l.Term {
			leases = append(leases, l)
		}
	}
	sort.Slice(leases, func(i, j int) bool { return leases[i].Database < leases[j].Database })
	return leases
}

func (d *delegate) resetBackoff() { d.failures, d.nextCallAt = 0, 0 }

// scheduleRetry delays the next call with exponential back-off.
func (d *delegate) scheduleRetry(r StoreResult) {
	wait := storeBackoff(d.m.opts, d.failures)
	d.failures++
	d.nextCallAt = d.m.now + wait
	d.m.log("lease_write_unanswered", "dataCentre", d.m.self.DataCentre, "retryAfter", wait, "error", r.Error)
}

// storeBackoff returns the wait after a number of consecutive earlier failures.
func storeBackoff(o Options, failures int) time.Duration {
	wait := o.StoreRetryMin
	for range failures {
		wait *= 2
		if wait >= o.StoreRetryMax {
			return o.StoreRetryMax
		}
	}
	return wait
}
