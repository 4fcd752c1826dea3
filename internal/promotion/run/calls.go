package run

import (
	"context"
	"encoding/json"
	"errors"

	"egretroad/internal/platform"
	"egretroad/internal/promotion"
	"egretroad/internal/reducer"
)

// uncalledClaim is a claim of this VM before its first promotion call.
type uncalledClaim struct {
	token uint64
	duty  promotion.Duty
}

// recordCalled records in the store that the calls of this VM's claim begin, unless it has done
// so. It fails if another claim has replaced this one: no call must be made then, since the
// other VM does not wait for it.
func (x *Executor) recordCalled(ctx context.Context, call promotion.Call) error {
	x.mu.Lock()
	claim, uncalled := x.uncalled[call.Database]
	x.mu.Unlock()
	if !uncalled || claim.token != call.Token {
		return nil
	}
	value, err := json.Marshal(claim.duty.Called(call.Token))
	if err != nil {
		return &platform.InvalidValueError{Kind: platform.KindDuty, Name: call.Database, Cause: err}
	}
	// The token of a claim is its version.
	_, err = x.writeRecord(ctx, recordRequest{Kind: platform.KindDuty, Database: call.Database, Version: call.Token, Value: value})
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) && conflict.Current.Version != 0 {
		stored, unreadable := x.recordStored(call.Database, conflict.Current)
		d := stored.Designation(conflict.Current.Version)
		switch {
		case unreadable != nil: // logged
		case d.Token != call.Token:
			return &promotion.SupersededError{Call: call, Newer: d}
		case !stored.Uncalled:
			err = nil // an earlier attempt has written it, without a response
		}
	}
	if err != nil {
		x.deps.Log.Warn("promotion_call_not_recorded", "database", call.Database, "server", call.Server, "token", call.Token, "error", err)
		return err
	}
	x.mu.Lock()
	delete(x.uncalled, call.Database)
	x.mu.Unlock()
	return nil
}

// recordCallsEnded records in the store that the calls of a designation have ended, unless
// there is a newer one.
func (x *Executor) recordCallsEnded(ctx context.Context, e promotion.RecordCallsEnded) reducer.Event {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	return promotion.CallsEndRecorded{Database: e.Database, Token: e.Designation.Token, Err: x.writeCallsEnded(ctx, e)}
}

func (x *Executor) writeCallsEnded(ctx context.Context, e promotion.RecordCallsEnded) error {
	current, err := x.deps.Store.Get(ctx, platform.KindDuty, e.Database)
	if err != nil {
		return err
	}
	var duty promotion.Duty
	if err := json.Unmarshal(current.Value, &duty); err != nil {
		return &platform.InvalidValueError{Kind: platform.KindDuty, Name: e.Database, Cause: err}
	}
	if !duty.Designation(current.Version).Same(e.Designation) {
		x.deps.Log.Info("calls_ended_of_earlier_designation", "database", e.Database, "token", e.Designation.Token, "version", current.Version)
		return nil
	}
	duty.Token, duty.CallsEnded = e.Designation.Token, true
	value, err := json.Marshal(duty)
	if err != nil {
		return &platform.InvalidValueError{Kind: platform.KindDuty, Name: e.Database, Cause: err}
	}
	if _, err := platform.PutWithRetry(ctx, x.deps.Store, platform.KindDuty, e.Database, current.Version, value, platform.SameValue(value)); err != nil {
		return err
	}
	x.deps.Primacy.Record(e.Database, duty.WithToken(duty.Token))
	return nil
}
