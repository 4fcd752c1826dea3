package run

import (
	"context"
	"encoding/json"

	"egretroad/internal/platform"
	"egretroad/internal/promotion"
	"egretroad/internal/reducer"
)

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
