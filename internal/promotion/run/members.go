package run

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"egretroad/internal/clock"
	"egretroad/internal/platform"
	"egretroad/internal/promotion"
	"egretroad/internal/reducer"
)

// readMembers reads the record of a group's members, through another VM if this one cannot
// reach the store.
func (x *Executor) readMembers(ctx context.Context, e promotion.ReadMembers) reducer.Event {
	response, err := x.readRecord(ctx, recordRequest{Kind: platform.KindMembers, Database: e.Database})
	result := promotion.MembersRead{Database: e.Database, Version: response.Version, Err: err}
	if err == nil && response.Version != 0 {
		if err := json.Unmarshal(response.Value, &result.Members); err != nil {
			result.Err = &platform.InvalidValueError{Kind: platform.KindMembers, Name: e.Database, Cause: err}
		}
	}
	return result
}

// writeMembers replaces the record of a group's members, through another VM if this one cannot
// reach the store.
func (x *Executor) writeMembers(ctx context.Context, e promotion.WriteMembers) reducer.Event {
	result := promotion.MembersWritten{Database: e.Database, Members: e.Members}
	value, err := json.Marshal(e.Members)
	if err != nil {
		result.Err = &platform.InvalidValueError{Kind: platform.KindMembers, Name: e.Database, Cause: err}
		return result
	}
	response, err := x.writeRecord(ctx, recordRequest{Kind: platform.KindMembers, Database: e.Database, Version: e.Version, Value: value})
	result.Version, result.Err = response.Version, err
	return result
}

// checkMembers checks whether enough replicas have received all that a primary has committed
// by the beginning of the check, and gives them time to receive it.
func (x *Executor) checkMembers(ctx context.Context, e promotion.CheckMembers) reducer.Event {
	result := promotion.MembersChecked{Database: e.Database, Next: e.Next}
	proof, err := x.deps.Router.ProvePosition(ctx, e.Primary, 0)
	if err != nil {
		x.deps.Log.Warn("members_not_checked", "database", e.Database, "primary", e.Primary, "error", err)
		return result
	}
	result.Position = proof.Mark
	deadline := clock.Boottime() + catchUpTimeout
	for {
		result.Received = x.receivedBy(ctx, e, result)
		result.Proven = len(result.Received) >= e.Required
		if result.Proven || clock.Boottime() > deadline {
			return result
		}
		time.Sleep(catchUpPollInterval)
	}
}

// receivedBy returns the replicas that have received the position of a check.
func (x *Executor) receivedBy(ctx context.Context, e promotion.CheckMembers, checked promotion.MembersChecked) []string {
	ctx, cancel := context.WithTimeout(ctx, candidateTimeout)
	defer cancel()
	var mu sync.Mutex // guards received
	var received []string
	var calls sync.WaitGroup
	for _, id := range e.Replicas {
		calls.Go(func() {
			status, err := x.deps.Router.ReplicationStatus(ctx, id)
			if err != nil {
				x.deps.Log.Debug("replica_silent", "database", e.Database, "server", id, "error", err)
				return
			}
			if !status.Received.Less(checked.Position) && status.Received.Term == checked.Position.Term {
				mu.Lock()
				defer mu.Unlock()
				received = append(received, id)
			}
		})
	}
	calls.Wait()
	return received
}
