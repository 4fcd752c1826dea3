package run

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"egretroad/internal/peer"
	"egretroad/internal/peer/method"
	"egretroad/internal/platform"
	"egretroad/internal/primacy"
	"egretroad/internal/promotion"
	"egretroad/internal/reducer"
)

// claimRequest is the request of method.Claim: a conditional write of a group's duty.
type claimRequest struct {
	Database string         `msgpack:"d"`
	Known    uint64         `msgpack:"t"` // token of the newest designation that the requester knows
	Duty     promotion.Duty `msgpack:"y"`
	Ended    uint64         `msgpack:"n"` // token of a designation whose calls the requester knows to have ended
}

// claimResponse is the response of method.Claim.
type claimResponse struct {
	Token  uint64   `msgpack:"v"`           // of the claim; 0: it was not written
	Listed []string `msgpack:"l,omitempty"` // VMs in the list, read after the claim was written
	// Established and Departed are those of primacy.FreshList.
	Established []string `msgpack:"e,omitempty"`
	Departed    []string `msgpack:"r,omitempty"`
	Detail      string   `msgpack:"d,omitempty"`
	// Duty is the record of the claim as it was written.
	Duty promotion.Duty `msgpack:"u"`
}

// OtherEpochError reports a claim that the store has executed in another epoch than that
// for which it was made.
type OtherEpochError struct {
	Database  string
	Want, Got uint64
}

func (e *OtherEpochError) Error() string {
	return fmt.Sprintf("claim for %s was made in epoch %d of the store and executed in epoch %d", e.Database, e.Want, e.Got)
}

// claimDuty writes a claim, through another VM if this one cannot reach the store. A
// claim that conflicts with a newer one fails, and the newer designation is recorded.
func (x *Executor) claimDuty(ctx context.Context, e promotion.ClaimDuty) reducer.Event {
	epoch, err := x.deps.Primacy.SettledEpoch(ctx)
	if err != nil {
		return promotion.ClaimResult{Database: e.Database, Err: err}
	}
	x.mu.Lock()
	x.claimCount++
	duty := promotion.Duty{Server: e.Server, Holder: x.deps.Self, Incarnation: x.deps.Incarnation, Claim: x.claimCount, Epoch: epoch, Term: e.Term, Received: e.Received, Uncalled: true}
	x.mu.Unlock()
	request := claimRequest{Database: e.Database, Known: x.deps.Primacy.Ledger().Designation(e.Database).Token, Duty: duty, Ended: e.EndedToken}
	written, err := x.writeClaim(ctx, request)
	var unavailable *platform.UnavailableError
	if errors.As(err, &unavailable) {
		written, err = x.writeClaimThroughPeer(ctx, request, err)
	}
	if err != nil {
		return promotion.ClaimResult{Database: e.Database, Err: err}
	}
	x.mu.Lock()
	x.uncalled[e.Database] = uncalledClaim{token: written.Token, duty: written.Duty}
	x.mu.Unlock()
	x.deps.Primacy.Record(e.Database, duty.WithToken(written.Token))
	return promotion.ClaimResult{Database: e.Database, Token: written.Token, PendingServers: written.Duty.Pending}
}

// writeClaim writes a claim to the store and returns its token, without a list of VMs. A
// claim that the store has executed in another epoch than that for which it was made counts
// as not written: it may have replaced any record.
func (x *Executor) writeClaim(ctx context.Context, r claimRequest) (claimResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	current, err := x.deps.Store.Get(ctx, platform.KindDuty, r.Database)
	var missing *platform.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return claimResponse{}, err
	}
	if current.Version != 0 {
		replaced, err := x.recordStored(r.Database, current)
		if r.Known != 0 && (err != nil || replaced.Designation(current.Version).Token > r.Known) {
			return claimResponse{}, &platform.ConflictError{Kind: platform.KindDuty, Name: r.Database, Current: current}
		}
		r.Duty.Pending = replaced.PendingServers(current.Version, r.Ended)
	}
	value, err := json.Marshal(r.Duty)
	if err != nil {
		return claimResponse{}, &platform.InvalidValueError{Kind: platform.KindDuty, Name: r.Database, Cause: err}
	}
	o, err := platform.PutWithRetry(ctx, x.deps.Store, platform.KindDuty, r.Database, current.Version, value, platform.SameValue(value))
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		o, err = x.resolveConflict(r.Database, value, conflict)
	}
	if err != nil {
		return claimResponse{}, err
	}
	if epoch := platform.EpochOf(o.Version); epoch != r.Duty.Epoch {
		return claimResponse{}, &OtherEpochError{Database: r.Database, Want: r.Duty.Epoch, Got: epoch}
	}
	return claimResponse{Token: r.Duty.Designation(o.Version).Token, Duty: r.Duty}, nil
}

// recordStored records the designation in a stored record, and returns the record.
func (x *Executor) recordStored(database string, o platform.Object) (promotion.Duty, error) {
	var duty promotion.Duty
	if err := json.Unmarshal(o.Value, &duty); err != nil {
		x.deps.Log.Warn("conflicting_claim_unreadable", "database", database, "version", o.Version, "error", err)
		return promotion.Duty{}, err
	}
	x.deps.Primacy.Record(database, duty.Designation(o.Version))
	return duty, nil
}

// resolveConflict returns the conflicting object if it is the claim itself, written by an
// attempt whose response was lost. Otherwise it records the other VM's designation.
func (x *Executor) resolveConflict(database string, value []byte, conflict *platform.ConflictError) (platform.Object, error) {
	if own, err := platform.SameValue(value)(context.Background(), conflict.Current); err == nil && own && conflict.Current.Version != 0 {
		return conflict.Current, nil
	}
	if conflict.Current.Version != 0 {
		_, _ = x.recordStored(database, conflict.Current) // its error is logged; the conflict is returned
	}
	return platform.Object{}, conflict
}

// writeClaimThroughPeer has another VM write the claim. cause is the error of this VM's
// own attempt.
func (x *Executor) writeClaimThroughPeer(ctx context.Context, r claimRequest, cause error) (claimResponse, error) {
	err := cause
	for _, vm := range x.claimWriters() {
		ctx, cancel := context.WithTimeout(ctx, claimTimeout)
		var response claimResponse
		callErr := peer.CallMsgpack(ctx, x.deps.Peers, vm, method.Claim, &r, &response)
		cancel()
		if callErr == nil && response.Token != 0 && response.Duty.Server != "" { // one of an earlier version returns no duty
			x.keepPeerList(response.Token, primacy.FreshList{IDs: response.Listed, Established: response.Established, Departed: response.Departed})
			x.deps.Log.Info("claim_written_by_peer", "database", r.Database, "vm", vm, "token", response.Token, "cause", cause)
			return response, nil
		}
		x.deps.Log.Warn("claim_not_written_by_peer", "database", r.Database, "vm", vm, "detail", response.Detail, "error", callErr)
		if callErr != nil {
			err = callErr
		}
	}
	return claimResponse{}, err
}

// keepPeerList keeps the list of VMs for the acknowledgement of a claim. Claims that were
// given up leave theirs behind, so older ones are dropped.
func (x *Executor) keepPeerList(token uint64, list primacy.FreshList) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(x.peerLists) >= maxPeerLists {
		clear(x.peerLists)
	}
	x.peerLists[token] = list
}

// takePeerList returns the list that was kept for a claim; false if there is none.
func (x *Executor) takePeerList(token uint64) (primacy.FreshList, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	list, found := x.peerLists[token]
	delete(x.peerLists, token)
	return list, found
}

// maxPeerLists is the number of lists of VMs that are kept. Without its list, a promotion
// waits longer.
const maxPeerLists = 16

// maxClaimWriters is the number of VMs that are asked to write a claim.
const maxClaimWriters = 2

// claimWriters returns the VMs to ask for the write of a claim, from different data
// centres if possible: a partition often cuts a whole data centre off.
func (x *Executor) claimWriters() []string {
	snapshot := x.deps.Source.Snapshot()
	candidates := promotion.SpreadOverDataCentres(snapshot.VMs, snapshot.Self)
	return candidates[:min(len(candidates), maxClaimWriters)]
}

// serveClaim writes a claim for another VM.
func (x *Executor) serveClaim(ctx context.Context, from string, body []byte) ([]byte, error) {
	var r claimRequest
	if err := peer.DecodeBody(body, &r); err != nil {
		return nil, err
	}
	if r.Duty.Holder != from {
		return nil, &platform.InvalidValueError{Kind: platform.KindDuty, Name: r.Database, Cause: errors.New("not a claim of VM " + from)}
	}
	response, err := x.writeClaim(ctx, r)
	if err != nil {
		response.Detail = err.Error()
	} else {
		x.deps.Primacy.Record(r.Database, r.Duty.WithToken(response.Token))
		list, _ := x.deps.Primacy.ReadList() // its error is logged; without a list, the promotion waits longer
		fresh := list.Fresh()
		response.Listed, response.Established, response.Departed = fresh.IDs, fresh.Established, fresh.Departed
	}
	return msgpack.Marshal(&response)
}
