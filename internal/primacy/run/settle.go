package run

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"egretroad/internal/clock"
	"egretroad/internal/platform"
	"egretroad/internal/primacy"
	"egretroad/internal/promotion"
	"egretroad/internal/topology"
)

const (
	// settleHeadStart is the time for which a VM that has just started leaves the
	// settlement of an epoch to the VM that reads the store for the fleet.
	settleHeadStart = time.Second
	// settleTimeout bounds the writes of a settlement, which is repeated until it succeeds.
	// A write takes a few milliseconds at a healthy store.
	settleTimeout = 400 * time.Millisecond
)

// nameSettledEpoch is the name of the only object of kind epoch.
const nameSettledEpoch = "settled"

// settledEpoch is the value of the object that records the last settled epoch. Once it is
// written, the store has every designation of earlier epochs that may still be in force.
type settledEpoch struct {
	Epoch uint64 `json:"epoch"`
}

// storeState is what a read of the store has found.
type storeState struct {
	epoch         uint64
	versions      map[string]uint64               // by database; versions of the records
	designations  map[string]topology.Designation // by database
	markerVersion uint64                          // version of the record of the settled epoch; 0: there is none
	noticedAt     time.Duration                   // when this VM noticed the epoch, on CLOCK_BOOTTIME
	readable      bool                            // the store responded to the last read
}

// SettledEpoch returns the epoch of the store, or *UnsettledError while its records may be
// incomplete.
func (r *Refresher) SettledEpoch(ctx context.Context) (uint64, error) {
	if r.ledger.ValidUntil() == 0 || !r.ledger.Settled(r.ledger.Epoch()) {
		r.refreshShared(ctx, maxHops)
	}
	epoch := r.ledger.Epoch()
	if !r.ledger.Settled(epoch) {
		return 0, &UnsettledError{Epoch: epoch}
	}
	return epoch, nil
}

// UnsettledError reports that the store has returned from an older copy and may lack
// designations that are in force.
type UnsettledError struct{ Epoch uint64 }

func (e *UnsettledError) Error() string {
	return fmt.Sprintf("the store's records of primaries may be incomplete: its epoch %d is not settled", e.Epoch)
}

// readSettledEpoch reads which epoch was settled last.
func (r *Refresher) readSettledEpoch(ctx context.Context, state *storeState) error {
	o, err := r.deps.Store.Get(ctx, platform.KindEpoch, nameSettledEpoch)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return nil
	}
	if err != nil {
		return err
	}
	var marker settledEpoch
	if err := json.Unmarshal(o.Value, &marker); err != nil {
		r.deps.Log.Error("settled_epoch_unreadable", "version", o.Version, "error", err)
		return nil // it is written again by the settlement
	}
	state.markerVersion = o.Version
	if marker.Epoch == platform.EpochOf(o.Version) {
		r.recordSettled(marker.Epoch, "store")
	}
	return nil
}

func (r *Refresher) recordSettled(epoch uint64, from string) {
	if r.ledger.ConfirmSettled(epoch) {
		r.deps.Log.Info("store_epoch_settled", "epoch", epoch, "from", from)
	}
}

// recordUnsettled keeps the state of an epoch that is not settled for its settlement.
func (r *Refresher) recordUnsettled(state storeState) {
	now := clock.Boottime()
	r.mu.Lock()
	isNew := r.unsettled.epoch != state.epoch
	state.readable = true
	state.noticedAt = r.unsettled.noticedAt
	if isNew {
		state.noticedAt = now
	}
	r.unsettled = state
	r.mu.Unlock()
	if isNew {
		r.deps.Log.Warn("store_epoch_unsettled", "epoch", state.epoch, "designations", len(state.designations))
	}
}

// suspendSettlement suspends the settlement of an epoch until the store responds again.
func (r *Refresher) suspendSettlement() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unsettled.readable = false
}

// pendingSettlement returns the state of the epoch that is to be settled, if there is one.
func (r *Refresher) pendingSettlement() (storeState, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unsettled, r.unsettled.readable && !r.ledger.Settled(r.unsettled.epoch)
}

// leavesSettlementToOthers reports whether this VM, which has had no evidence yet, waits
// for another one to settle the epoch: when the whole fleet starts, one VM asks all others.
func (r *Refresher) leavesSettlementToOthers(snapshot *topology.Snapshot) bool {
	state, pending := r.pendingSettlement()
	return pending && r.ledger.ValidUntil() == 0 && clock.Boottime()-state.noticedAt < settleHeadStart &&
		primacy.Source(r.deps.Self, snapshot.VMs, r.avoided) != ""
}

// settle settles a new epoch of the store once the designations that VMs know have been
// collected: it writes those that the store has lost again, and then records the epoch. It
// reports whether it did.
func (r *Refresher) settle(listed []string, stated, responded map[string]bool) bool {
	state, pending := r.pendingSettlement()
	if !pending || !primacy.MaySettle(listed, stated, responded, clock.Boottime()-state.noticedAt) {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	if !r.restoreLost(ctx, state) {
		return false // the next refresh reads the records again
	}
	value, err := json.Marshal(settledEpoch{Epoch: state.epoch})
	if err != nil {
		panic(err) // a number always encodes
	}
	o, err := platform.PutWithRetry(ctx, r.deps.Store, platform.KindEpoch, nameSettledEpoch, state.markerVersion, value, platform.SameValue(value))
	if err != nil || platform.EpochOf(o.Version) != state.epoch {
		r.deps.Log.Warn("store_epoch_not_settled", "epoch", state.epoch, "written_in", platform.EpochOf(o.Version), "error", err)
		return false
	}
	r.recordSettled(state.epoch, "this VM")
	return true
}

// restoreLost writes the designations of earlier epochs again that the store has lost. It
// reports whether the store has all of them now.
func (r *Refresher) restoreLost(ctx context.Context, state storeState) bool {
	complete := true
	for database, d := range r.ledger.Designations() {
		if platform.EpochOf(d.Token) >= state.epoch || !d.Supersedes(state.designations[database]) {
			continue
		}
		value, err := json.Marshal(promotion.Duty{
			Server: d.Server, Holder: d.Holder, Epoch: platform.EpochOf(d.Token), Token: d.Token, Term: d.Term, Received: d.Received,
			CallsEnded: d.CallsEnded,
		})
		if err != nil {
			panic(err) // strings and numbers always encode
		}
		o, err := platform.PutWithRetry(ctx, r.deps.Store, platform.KindDuty, database, state.versions[database], value, platform.SameValue(value))
		r.deps.Log.Info("designation_restored", "database", database, "server", d.Server, "token", d.Token,
			"stored_token", state.designations[database].Token, "epoch", state.epoch, "error", err)
		complete = complete && err == nil && platform.EpochOf(o.Version) == state.epoch
	}
	return complete
}
