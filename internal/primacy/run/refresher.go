// Package run keeps the evidence of package primacy recent: it asks another VM, the
// platform's store or, while the store does not respond, all listed VMs.
package run

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/vmihailenco/msgpack/v5"

	"egretroad/internal/clock"
	"egretroad/internal/coalesce"
	"egretroad/internal/metrics"
	"egretroad/internal/peer"
	"egretroad/internal/peer/method"
	"egretroad/internal/platform"
	"egretroad/internal/primacy"
	"egretroad/internal/promotion"
	"egretroad/internal/topology"
)

// Time limits. One failed request to the source and one consultation of the store and
// the VMs fit into the validity of evidence that is one refreshInterval old.
const (
	// refreshInterval is the time between two refreshes of the evidence.
	refreshInterval = 250 * time.Millisecond
	// startInterval is that time while there has been no evidence since the start.
	startInterval = 50 * time.Millisecond
	// sourceMaxAge is the age up to which a source passes its evidence on without
	// refreshing it first.
	sourceMaxAge = 260 * time.Millisecond
	// sourceTimeout bounds the request to a source, which may consult the store first.
	// After sourceHeadStart the VM consults the store itself as well.
	sourceTimeout   = 350 * time.Millisecond
	sourceHeadStart = 150 * time.Millisecond
	// avoidSource is how long a source that failed is passed over.
	avoidSource = 2 * time.Second
	// storeTimeout bounds a read of the store. A slow store responds within half of it.
	storeTimeout = 400 * time.Millisecond
	// storeHeadStart is how long the store may take before all VMs are asked as well.
	storeHeadStart = 100 * time.Millisecond
	// listInterval is the age of the list of VMs from which on it is read again. The list has
	// to reach all VMs before it is primacy.ListMaxAge old.
	listInterval = 1500 * time.Millisecond
	// statementTimeout bounds the requests to all VMs.
	statementTimeout = 200 * time.Millisecond
	// permitTimeout bounds the wait for recent evidence before a primary is used.
	permitTimeout = 700 * time.Millisecond
	// maxHops is the number of VMs through which evidence passes on from the store.
	maxHops = 2
)

// Deps are the dependencies of a Refresher.
type Deps struct {
	Self    string // ID of this VM
	Store   platform.Store
	Peers   Peers
	Source  topology.Source
	Log     hclog.Logger
	Metrics *metrics.Registry
}

// Peers is the subset of peer.Node that a Refresher uses.
type Peers interface {
	peer.Caller
	peer.Registrar
}

// Refresher keeps a ledger's evidence recent. It implements broker.Guard.
type Refresher struct {
	deps      Deps
	ledger    *primacy.Ledger
	refreshes *prometheus.CounterVec
	denials   *prometheus.CounterVec
	shared    coalesce.Group[int, struct{}] // refreshes by number of hops
	learned   func(database string, d topology.Designation)
	confirmed chan struct{} // closed after the first evidence

	mu           sync.Mutex // guards the fields below
	avoidedUntil map[string]time.Duration
	storeFailing bool
	lapsed       bool       // the evidence had expired at the last refresh
	unsettled    storeState // the last read of an epoch that is not settled
	listReading  bool       // a read of the list of VMs is in flight
	list         listRead   // the last list of VMs that was read
	tenure       primacy.Tenure
	recordedAt   time.Duration // last attempt to write the record of the established VMs
}

// listRead is the result of a read of the list of VMs.
type listRead struct {
	list          primacy.List
	recordVersion uint64        // of the record of the established VMs; 0: there is none
	asOf          time.Duration // before the read, on CLOCK_BOOTTIME
	arrived       time.Duration // on CLOCK_BOOTTIME
}

// request is the request of method.Designations.
type request struct {
	Hops   int           `msgpack:"h"` // VMs between the requester and the store so far
	Known  uint64        `msgpack:"k"` // digest of the designations that the requester knows
	Ended  uint64        `msgpack:"n"` // digest of the designations that it knows to have ended calls
	List   uint64        `msgpack:"l"` // digest of the list of VMs that the requester knows
	Epoch  uint64        `msgpack:"e"` // latest epoch of the store that the requester knows
	MaxAge time.Duration `msgpack:"a"` // older evidence is refreshed first; 0: never
}

// New returns a refresher and registers its peer method.
func New(d Deps) *Refresher {
	r := &Refresher{
		deps: d, ledger: primacy.NewLedger(d.Self, clock.Boottime()), avoidedUntil: map[string]time.Duration{}, confirmed: make(chan struct{}), learned: func(string, topology.Designation) {},
		refreshes: d.Metrics.Counter("primacy_refreshes_total", "Refreshes of the evidence that permits the use of primaries.", "source", "result"),
		denials:   d.Metrics.Counter("primacy_denials_total", "Statements that were not permitted to use a primary.", "reason"),
	}
	d.Metrics.Gauge("primacy_valid_seconds", "Time until the permission to use primaries expires.", func() float64 {
		return (r.ledger.ValidUntil() - clock.Boottime()).Seconds()
	})
	d.Metrics.Gauge("primacy_store_epoch", "Latest known epoch of the store; it rises when the store returns from an older copy.", func() float64 {
		return float64(r.ledger.Epoch())
	})
	d.Peers.Handle(method.Designations, r.serve)
	return r
}

// Ledger returns the ledger that the refresher keeps recent.
func (r *Refresher) Ledger() *primacy.Ledger { return r.ledger }

// OnLearned sets the function that receives each designation that this VM learns. Call
// it before Run.
func (r *Refresher) OnLearned(f func(database string, d topology.Designation)) { r.learned = f }

// Record merges a designation that this VM made or was told of.
func (r *Refresher) Record(database string, d topology.Designation) {
	r.announce(r.ledger.Merge(map[string]topology.Designation{database: d}), "vm")
}

func (r *Refresher) announce(added map[string]topology.Designation, from string) {
	for database, d := range added {
		r.deps.Log.Info("primary_designated", "database", database, "server", d.Server, "holder", d.Holder, "token", d.Token, "calls_ended", d.CallsEnded, "from", from)
		r.learned(database, d)
	}
}

// Run refreshes the evidence until ctx ends.
func (r *Refresher) Run(ctx context.Context) {
	ticker := time.NewTicker(startInterval)
	defer ticker.Stop()
	starting := true
	for {
		r.refreshShared(ctx, 0)
		r.logLapse()
		if starting && r.ledger.ValidUntil() != 0 {
			starting = false
			close(r.confirmed)
			ticker.Reset(refreshInterval)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Confirmed returns a channel that is closed once this VM has had evidence.
func (r *Refresher) Confirmed() <-chan struct{} { return r.confirmed }

// logLapse logs when the evidence expires and when it is valid again.
func (r *Refresher) logLapse() {
	now := clock.Boottime()
	lapsed := now >= r.ledger.ValidUntil()
	r.mu.Lock()
	changed := lapsed != r.lapsed
	r.lapsed = lapsed
	r.mu.Unlock()
	if !changed {
		return
	}
	e := r.ledger.Evidence(now, r.ledger.Known())
	r.deps.Log.Warn("primary_use_permitted", "permitted", !lapsed, "confirmed", e.HasFull, "full_age", e.FullAge, "partial_age", e.PartialAge)
}

// Permit implements broker.Guard. It refreshes expired evidence first.
func (r *Refresher) Permit(ctx context.Context, database, server string) error {
	err := r.ledger.Check(database, server, clock.Boottime())
	var expired *primacy.ExpiredError
	var unlisted *primacy.UnlistedError
	if errors.As(err, &expired) || errors.As(err, &unlisted) {
		ctx, cancel := context.WithTimeout(ctx, permitTimeout)
		defer cancel()
		r.refreshShared(ctx, 0)
		err = r.ledger.Check(database, server, clock.Boottime())
	}
	switch {
	case errors.As(err, &expired):
		r.denials.WithLabelValues("expired").Inc()
	case errors.As(err, &unlisted):
		r.denials.WithLabelValues("unlisted").Inc()
	case err != nil:
		r.denials.WithLabelValues("superseded").Inc()
	}
	return err
}

// Permitted implements broker.Guard.
func (r *Refresher) Permitted(database, server string) bool {
	return r.ledger.Check(database, server, clock.Boottime()) == nil
}

// refreshShared refreshes the evidence. Concurrent callers share one refresh.
func (r *Refresher) refreshShared(ctx context.Context, hops int) {
	_, err := r.shared.Do(ctx, hops, func() (struct{}, error) {
		r.refresh(hops)
		return struct{}{}, nil
	})
	if err != nil {
		r.refreshes.WithLabelValues("shared", "timeout").Inc()
	}
}

// refresh gets evidence from this VM's source or, if there is none or it does not respond
// soon, from the store and the other VMs. The first evidence after a start comes from the
// store, because other VMs may be starting too. So does that of a VM that is not listed,
// because the list of others is older than its registration.
func (r *Refresher) refresh(hops int) {
	snapshot := r.deps.Source.Snapshot()
	source := ""
	if hops < maxHops && r.ledger.ValidUntil() != 0 {
		source = primacy.Source(r.deps.Self, snapshot.VMs, r.avoided)
	}
	if source == "" || !r.askSource(source, hops) {
		r.consult(snapshot)
	}
}

// askSource asks this VM's source and reports whether it responded soon with evidence
// that is valid.
func (r *Refresher) askSource(source string, hops int) bool {
	answered := make(chan bool, 1)
	go func() {
		e, err := r.ask(context.Background(), source, request{Hops: hops + 1, MaxAge: sourceMaxAge}, sourceTimeout)
		ok := err == nil && e.HasFull && r.valid()
		if ok && e.Digest != r.ledger.Digest() {
			r.readStore() // writes again what the store may have lost and the source does not know
		}
		if ok {
			r.refreshes.WithLabelValues("vm", "ok").Inc()
		} else {
			r.refreshes.WithLabelValues("vm", "failed").Inc()
			r.avoid(source)
		}
		answered <- ok
	}()
	headStart := time.NewTimer(sourceHeadStart)
	defer headStart.Stop()
	select {
	case ok := <-answered:
		return ok
	case <-headStart.C:
		return false
	}
}

func (r *Refresher) valid() bool { return clock.Boottime() < r.ledger.ValidUntil() }

func (r *Refresher) avoided(vm string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return clock.Boottime() < r.avoidedUntil[vm]
}

func (r *Refresher) avoid(vm string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Boottime()
	for id, until := range r.avoidedUntil {
		if until < now {
			delete(r.avoidedUntil, id)
		}
	}
	r.avoidedUntil[vm] = now + avoidSource
}

// ask requests the evidence of one VM and adopts it.
func (r *Refresher) ask(ctx context.Context, vm string, q request, timeout time.Duration) (primacy.Evidence, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var e primacy.Evidence
	known := r.ledger.Known()
	q.Known, q.Ended, q.List, q.Epoch = known.Designations, known.Ended, known.List, r.ledger.Epoch()
	sentAt := clock.Boottime()
	if err := peer.CallMsgpack(ctx, r.deps.Peers, vm, method.Designations, &q, &e); err != nil {
		r.deps.Log.Debug("designations_not_received", "vm", vm, "error", err)
		return primacy.Evidence{}, err
	}
	r.announce(r.ledger.Adopt(e, sentAt), vm)
	return e, nil
}

// serve answers a request for this VM's evidence.
func (r *Refresher) serve(ctx context.Context, _ string, body []byte) ([]byte, error) {
	var q request
	if err := peer.DecodeBody(body, &q); err != nil {
		return nil, err
	}
	r.ledger.ConfirmEpoch(q.Epoch)
	known := primacy.Known{Designations: q.Known, Ended: q.Ended, List: q.List}
	e := r.ledger.Evidence(clock.Boottime(), known)
	if q.MaxAge > 0 && (!e.HasFull || e.PartialAge > q.MaxAge) {
		r.refreshShared(ctx, min(max(q.Hops, 1), maxHops))
		e = r.ledger.Evidence(clock.Boottime(), known)
	}
	return msgpack.Marshal(&e)
}

// consult reads the store. If it does not respond soon, it asks all listed VMs as well.
func (r *Refresher) consult(snapshot *topology.Snapshot) {
	read := make(chan bool, 1)
	go func() { read <- r.readStore() }()
	headStart := time.NewTimer(storeHeadStart)
	defer headStart.Stop()
	reading := true
	select {
	case ok := <-read:
		if ok {
			return
		}
		reading = false
	case <-headStart.C:
	}
	if r.leavesSettlementToOthers(snapshot) {
		return
	}
	if r.askAll(snapshot) || !reading {
		return
	}
	select {
	case <-read:
	case <-time.After(storeTimeout):
	}
}

// readStore reads all designations from the store. They are full evidence if the store's
// epoch is settled.
func (r *Refresher) readStore() bool {
	if r.ledger.ListsSelf() {
		r.readListIfDue()
	} else {
		_, _ = r.ReadList() // its error is logged; the next read of the store repeats it
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	sentAt := clock.Boottime()
	state, err := r.listDesignations(ctx)
	if err == nil && !r.ledger.Settled(state.epoch) {
		// The list may be older than the settlement.
		if err = r.readSettledEpoch(ctx, &state); err == nil && r.ledger.Settled(state.epoch) {
			sentAt = clock.Boottime()
			state, err = r.listDesignations(ctx)
		}
	}
	r.recordStoreResult(err)
	switch {
	case err != nil:
		r.refreshes.WithLabelValues("store", "failed").Inc()
		r.suspendSettlement()
		return false
	case !r.ledger.Settled(state.epoch):
		r.refreshes.WithLabelValues("store", "unsettled").Inc()
		r.recordUnsettled(state)
		return false
	}
	r.restoreLost(ctx, state)
	r.ledger.ConfirmFull(sentAt)
	r.confirmList(sentAt)
	r.refreshes.WithLabelValues("store", "ok").Inc()
	return true
}

// listDesignations reads and merges the designations in the store.
func (r *Refresher) listDesignations(ctx context.Context) (storeState, error) {
	list, err := r.deps.Store.List(ctx, platform.KindDuty)
	if err != nil {
		return storeState{}, err
	}
	state := storeState{
		epoch: platform.EpochOf(list.Revision), versions: map[string]uint64{}, designations: map[string]topology.Designation{},
	}
	for _, o := range list.Objects {
		var duty promotion.Duty
		if err := json.Unmarshal(o.Value, &duty); err != nil {
			// The record may designate any server, so it cannot confirm the use of one.
			r.deps.Log.Error("duty_unreadable", "database", o.Name, "version", o.Version, "error", err)
			return storeState{}, err
		}
		state.versions[o.Name], state.designations[o.Name] = o.Version, duty.Designation(o.Version)
	}
	r.announce(r.ledger.Merge(state.designations), "store")
	r.ledger.ConfirmEpoch(state.epoch)
	return state, nil
}

// recordStoreResult logs when the store stops or resumes responding.
func (r *Refresher) recordStoreResult(err error) {
	r.mu.Lock()
	changed := r.storeFailing != (err != nil)
	r.storeFailing = err != nil
	r.mu.Unlock()
	if changed {
		r.deps.Log.Info("designations_read", "from", "store", "error", err)
	}
}

// askAll asks every VM that is listed or has announced itself for its evidence. It reports
// whether the responses amount to valid evidence.
func (r *Refresher) askAll(snapshot *topology.Snapshot) bool {
	type answer struct {
		vm                string
		responded, stated bool
	}
	asked := union(r.ledger.Listed(), snapshot.Listed)
	sentAt := clock.Boottime()
	answers := make(chan answer, len(asked))
	pending := 0
	for _, vm := range asked {
		if vm == r.deps.Self {
			continue
		}
		pending++
		go func() {
			e, err := r.ask(context.Background(), vm, request{}, statementTimeout)
			answers <- answer{vm: vm, responded: err == nil, stated: e.Complete}
		}()
	}
	stated := map[string]bool{r.deps.Self: r.ledger.Complete()}
	responded := map[string]bool{r.deps.Self: true}
	for range pending {
		a := <-answers
		stated[a.vm], responded[a.vm] = a.stated, a.responded
	}
	listed := r.ledger.Listed() // a response may have brought a newer one
	if len(listed) == 0 {
		listed = snapshot.Listed
	}
	coverage := primacy.Cover(listed, snapshot.Listed, stated, responded)
	switch coverage {
	case primacy.CoverageFull:
		r.ledger.ConfirmFull(sentAt)
	case primacy.CoveragePartial:
		r.ledger.ConfirmPartial(sentAt)
	}
	result := "failed"
	if coverage != primacy.CoverageNone {
		result = "ok"
	}
	r.refreshes.WithLabelValues("all_vms", result).Inc()
	if r.settle(snapshot.Listed, stated, responded) {
		return r.readStore()
	}
	return r.valid()
}
