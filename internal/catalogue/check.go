package catalogue

import (
	"errors"
	"fmt"
	"regexp"
)

// Limits on entry fields. Names ending in MS are in milliseconds.
const (
	MaxNameBytes     = 63
	MaxUsers         = 1000
	MaxAgeLimitMS    = 24 * 3600 * 1000
	MaxDeadlineMS    = 3600 * 1000
	MaxConcurrency   = 1_000_000
	MaxRatePerSecond = 10_000_000
	MaxQueue         = 100_000
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]*$`)

// Check validates the entry and returns all violations joined; each is a
// *FieldError.
func (e Entry) Check() error {
	var errs []error
	addError := func(field string, value any, want string) {
		errs = append(errs, &FieldError{Entry: e.Name, Field: field, Value: fmt.Sprintf("%v", value), Want: want})
	}
	checkName := func(field, value string) {
		if len(value) > MaxNameBytes || !namePattern.MatchString(value) {
			addError(field, fmt.Sprintf("%.80q", value), fmt.Sprintf("1 to %d of a-z 0-9 . _ - starting with a letter or digit", MaxNameBytes))
		}
	}
	checkRange := func(field string, value, low, high int64, unit string) {
		if value < low || value > high {
			addError(field, value, fmt.Sprintf("%d to %d%s", low, high, unit))
		}
	}
	checkName("name", e.Name)
	checkName("kind", e.Kind)
	checkName("owner", e.Owner)
	checkName("database", e.Database)
	checkRange("users", int64(len(e.Users)), 0, MaxUsers, " names")
	for _, u := range e.Users {
		if u == "" || len(u) > MaxNameBytes {
			addError("users", fmt.Sprintf("%.80q", u), fmt.Sprintf("names of 1 to %d bytes", MaxNameBytes))
		}
	}
	checkRange("rank", int64(e.Rank), int64(RankOrders), int64(RankReports), "")
	if e.Access != AccessRead && e.Access != AccessWrite {
		addError("access", fmt.Sprintf("%.80q", e.Access), `"read" or "write"`)
	}
	checkRange("maxAgeMs", int64(e.MaxAge), 0, MaxAgeLimitMS, " ms")
	checkRange("objectiveMs", int64(e.Objective), 0, MaxDeadlineMS, " ms")
	checkRange("serverConnections", int64(e.ServerConnections), 0, MaxConcurrency, " connections")
	checkRange("syncReplicas", int64(e.SyncReplicas), 0, MaxConcurrency, " replicas")
	if len(e.Group) > MaxNameBytes {
		addError("group", fmt.Sprintf("%.80q", e.Group), fmt.Sprintf("at most %d bytes", MaxNameBytes))
	}
	switch e.Freshness {
	case "", FreshLatest, FreshOwn, FreshAge:
	default:
		addError("freshness", fmt.Sprintf("%.80q", e.Freshness), `"latest", "own" or "age"`)
	}
	if e.Access == AccessWrite && e.MaxAge != 0 && e.Freshness == "" {
		addError("maxAgeMs", e.MaxAge, "0 for a write kind")
	}
	switch e.Confirm {
	case "", ConfirmAny:
	case ConfirmReplica:
		if e.Access == AccessRead {
			addError("confirm", e.Confirm, "none for a read kind")
		}
	default:
		addError("confirm", fmt.Sprintf("%.80q", e.Confirm), `"any" or "replica"`)
	}
	checkRange("floorPercent", int64(e.FloorPercent), 0, 100, " percent")
	checkRange("maxConcurrent", int64(e.MaxConcurrent), 0, MaxConcurrency, " transactions")
	if !(e.RatePerSecond >= 0 && e.RatePerSecond <= MaxRatePerSecond) {
		addError("ratePerSecond", e.RatePerSecond, fmt.Sprintf("0 to %d transactions a second", MaxRatePerSecond))
	}
	checkRange("deadlineMs", int64(e.Deadline), 1, MaxDeadlineMS, " ms")
	checkRange("idleInTxnMs", int64(e.IdleInTxn), 0, MaxDeadlineMS, " ms")
	checkRange("maxQueueLength", int64(e.MaxQueueLength), 0, MaxQueue, " transactions")
	return errors.Join(errs...)
}
