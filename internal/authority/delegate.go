package authority

import (
	"fmt"
	"sort"
	"time"

	"egretroad/internal/platform"
)

// unsettledWrites is the number of unanswered writes whose nonces are kept.
const unsettledWrites = 16

// delegate writes the leases of this VM's data centre on behalf of its homes. It
// acts only when asked, so any VM may be asked: the conditional update keeps two
// delegates apart.
type delegate struct {
	m         *Machine
	known     bool // version and object hold what was read last
	version   uint64
	object    LeaseObject
	seen      map[holderKey]time.Duration // last time that an entry was asked for
	pending   []ask
	calling   bool // a call to the platform is under way
	unsettled []leaseWrite
	nonces    uint64
	failures  int
	nextTry   time.Duration
	lastWrite time.Duration // start of the last write
	writes    uint64
}

type holderKey struct{ vm, database string }

// ask is a home's request that waits for a write.
type ask struct {
	call    uint64
	from    string
	request LeaseRequest
	at      time.Duration
}

// leaseWrite is a write under way or without an answer.
type leaseWrite struct {
	nonce  string
	object LeaseObject
	asks   []ask
}

func newDelegate(m *Machine) *delegate {
	return &delegate{m: m, seen: map[holderKey]time.Duration{}}
}

func (d *delegate) asked(e LeaseAsked) {
	d.pending = append(d.pending, ask{call: e.Call, from: e.From, request: e.Request, at: e.Now})
	d.pump()
}

// pump starts the next call to the platform when one is due.
func (d *delegate) pump() {
	d.expire()
	if d.calling || len(d.pending) == 0 || d.m.now < d.nextTry {
		return
	}
	if !d.known {
		d.calling = true
		d.m.read(platform.KindLease, d.m.self.DataCentre, d.onRead)
		return
	}
	if d.urgent() || d.m.now >= d.lastWrite+d.m.opts.RenewInterval {
		d.write()
	}
}

// expire answers asks whose home has stopped waiting.
func (d *delegate) expire() {
	var kept []ask
	for _, a := range d.pending {
		if d.m.now-a.at < d.m.opts.AskTimeout {
			kept = append(kept, a)
			continue
		}
		d.m.emit(AnswerAsk{Call: a.call})
	}
	d.pending = kept
}

// urgent reports whether an ask changes who holds what; renewals can wait.
func (d *delegate) urgent() bool {
	for _, a := range d.pending {
		for _, l := range a.request.Wanted {
			if d.object.Holders[a.from][l.Database] != l.Term && d.object.allows(l) {
				return true
			}
		}
	}
	return false
}

// write puts every pending ask into one conditional update.
func (d *delegate) write() {
	d.nonces++
	d.writes++
	next := d.object.clone()
	next.Delegate = d.m.self.ID
	next.Nonce = fmt.Sprintf("%s/%s/%d", d.m.self.ID, d.m.incarnation, d.nonces)
	d.forget(next)
	for _, a := range d.pending {
		d.apply(next, a)
	}
	w := leaseWrite{nonce: next.Nonce, object: next, asks: append([]ask(nil), d.pending...)}
	d.calling = true
	d.lastWrite = d.m.now
	d.m.write(platform.KindLease, d.m.self.DataCentre, d.version, next.Encode(), func(r StoreResult) { d.onWritten(w, r) })
}

// forget removes entries that no lease can rest on any longer.
func (d *delegate) forget(next LeaseObject) {
	lifetime := d.m.opts.LeaseTTL + d.m.opts.LeaseMargin
	for vm, leases := range d.object.Holders {
		for db := range leases {
			if d.m.now-d.seen[holderKey{vm, db}] > lifetime {
				next.drop(vm, db)
			}
		}
	}
}

func (d *delegate) apply(next LeaseObject, a ask) {
	for _, db := range a.request.Dropped {
		next.drop(a.from, db)
	}
	for _, l := range a.request.Wanted {
		if next.allows(l) {
			next.set(a.from, l)
			d.seen[holderKey{a.from, l.Database}] = d.m.now
		}
	}
}

func (d *delegate) onRead(r StoreResult) {
	d.calling = false
	switch r.Outcome {
	case StoreOK, StoreNotFound:
		d.succeeded()
		d.adopt(r.Object)
	default:
		d.failed(r)
	}
	d.pump()
}

func (d *delegate) onWritten(w leaseWrite, r StoreResult) {
	d.calling = false
	switch r.Outcome {
	case StoreOK:
		d.succeeded()
		d.version, d.object = r.Object.Version, w.object
		d.unsettled = nil
		d.grant(w)
	case StoreConflict, StoreNotFound:
		d.succeeded()
		d.unsettled = append(d.unsettled, w)
		d.m.log("lease_write_conflict", "dataCentre", d.m.self.DataCentre, "version", d.version, "current", r.Object.Version)
		d.adopt(r.Object)
	default:
		d.unsettled = append(d.unsettled, w)
		if len(d.unsettled) > unsettledWrites {
			d.unsettled = d.unsettled[1:]
		}
		d.failed(r)
	}
	d.pump()
}

// adopt takes in the object that the platform holds now. An own write whose
// answer was lost is recognised by its nonce.
func (d *delegate) adopt(o platform.Object) {
	object, err := DecodeLeaseObject(o.Value)
	if err != nil {
		d.m.alarm("lease_object_invalid", "dataCentre", d.m.self.DataCentre, "error", err)
		object, _ = DecodeLeaseObject(nil)
	}
	d.known, d.version, d.object = true, o.Version, object
	for vm, leases := range object.Holders {
		for db := range leases {
			d.seen[holderKey{vm, db}] = d.m.now
		}
	}
	d.prune()
	for _, w := range d.unsettled {
		if w.nonce == object.Nonce {
			d.m.log("lease_write_recognised", "dataCentre", d.m.self.DataCentre, "version", o.Version)
			d.grant(w)
		}
	}
	d.unsettled = nil
}

// prune drops times of entries that the object no longer has.
func (d *delegate) prune() {
	for k := range d.seen {
		if _, ok := d.object.Holders[k.vm][k.database]; !ok {
			delete(d.seen, k)
		}
	}
}

// grant answers the asks of a write that took effect, where they still wait.
func (d *delegate) grant(w leaseWrite) {
	done := map[uint64]bool{}
	for _, a := range w.asks {
		done[a.call] = true
	}
	var kept []ask
	for _, a := range d.pending {
		if !done[a.call] {
			kept = append(kept, a)
			continue
		}
		d.m.emit(AnswerAsk{Call: a.call, Reply: LeaseReply{Granted: granted(w.object, a)}})
	}
	d.pending = kept
}

// granted lists the wishes of an ask that the object holds.
func granted(o LeaseObject, a ask) []Lease {
	var leases []Lease
	for _, l := range a.request.Wanted {
		if o.allows(l) && o.Holders[a.from][l.Database] == l.Term {
			leases = append(leases, l)
		}
	}
	sort.Slice(leases, func(i, j int) bool { return leases[i].Database < leases[j].Database })
	return leases
}

func (d *delegate) succeeded() { d.failures, d.nextTry = 0, 0 }

// failed delays the next call, longer with each failure.
func (d *delegate) failed(r StoreResult) {
	wait := backoff(d.m.opts, d.failures)
	d.failures++
	d.nextTry = d.m.now + wait
	d.m.log("lease_write_unanswered", "dataCentre", d.m.self.DataCentre, "retryAfter", wait, "error", r.Error)
}

// backoff returns the wait after a number of failures in a row.
func backoff(o Options, failures int) time.Duration {
	wait := o.StoreRetryMin
	for range failures {
		wait *= 2
		if wait >= o.StoreRetryMax {
			return o.StoreRetryMax
		}
	}
	return wait
}
