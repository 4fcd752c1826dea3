package catalogue

import (
	"errors"
	"fmt"
	"regexp"
	"strings"
	"unicode"
)

// Limits on the fields of entries in force. Names ending in MS are in milliseconds.
const (
	MaxNameBytes     = 63
	MaxDatabaseBytes = 255
	MaxUsers         = 1000
	// MaxPeriodMS is ten years. No process lasts that long, so that a longer period is none that
	// could be observed, and sums of periods fit in a time.Duration.
	MaxPeriodMS      = 10 * 365 * 24 * 3600 * 1000
	MaxConcurrency   = 1_000_000
	MaxRatePerSecond = 10_000_000
	MaxQueue         = 100_000
)

// Narrower limits on what operators enter: longer periods are typing errors, and servers end
// a transaction that has been idle for an hour themselves.
const (
	MaxAgeInputMS      = 24 * 3600 * 1000
	MaxDeadlineInputMS = 3600 * 1000
)

// limits are the limits on the fields that differ between entries in force and input.
type limits struct {
	database      func(name string) bool
	wantDatabase  string
	age, deadline int64 // in ms
	groupBytes    int
}

// Databases and groups of entries in force are named by whoever runs the platform.
var inForceLimits = limits{
	database: isDatabaseName, wantDatabase: fmt.Sprintf("1 to %d bytes without blanks and control characters", MaxDatabaseBytes),
	age: MaxPeriodMS, deadline: MaxPeriodMS, groupBytes: MaxDatabaseBytes,
}

var inputLimits = limits{
	database: isName, wantDatabase: wantName, age: MaxAgeInputMS, deadline: MaxDeadlineInputMS, groupBytes: MaxNameBytes,
}

const wantName = "1 to 63 of a-z 0-9 . _ - starting with a letter or digit"

// isName reports whether a text is a valid name of an entry, a kind or an owner.
func isName(text string) bool { return len(text) <= MaxNameBytes && namePattern.MatchString(text) }

// isDatabaseName reports whether a text can be the database with which callers connect.
func isDatabaseName(text string) bool {
	return text != "" && len(text) <= MaxDatabaseBytes &&
		!strings.ContainsFunc(text, func(r rune) bool { return unicode.IsSpace(r) || unicode.IsControl(r) })
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]*$`)

// Check validates an entry of the store and returns all violations joined; each is a
// *FieldError.
func (e Entry) Check() error { return e.check(inForceLimits) }

// CheckInput validates an entry that an operator enters. It is Check with narrower limits.
func (e Entry) CheckInput() error { return e.check(inputLimits) }

func (e Entry) check(l limits) error {
	var errs []error
	addError := func(field string, value any, want string) {
		errs = append(errs, &FieldError{Entry: e.Name, Field: field, Value: fmt.Sprintf("%v", value), Want: want})
	}
	checkName := func(field, value string) {
		if !isName(value) {
			addError(field, fmt.Sprintf("%.80q", value), wantName)
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
	if !l.database(e.Database) {
		addError("database", fmt.Sprintf("%.80q", e.Database), l.wantDatabase)
	}
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
	checkRange("maxAgeMs", int64(e.MaxAge), 0, l.age, " ms")
	checkRange("objectiveMs", int64(e.LatencyObjective), 0, l.deadline, " ms")
	checkRange("serverConnections", int64(e.ServerConnections), 0, MaxConcurrency, " connections")
	checkRange("syncReplicas", int64(e.SyncReplicas), 0, MaxConcurrency, " replicas")
	if len(e.Group) > l.groupBytes {
		addError("group", fmt.Sprintf("%.80q", e.Group), fmt.Sprintf("at most %d bytes", l.groupBytes))
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
	checkRange("deadlineMs", int64(e.Deadline), 1, l.deadline, " ms")
	checkRange("idleInTxnMs", int64(e.IdleInTxn), 0, l.deadline, " ms")
	checkRange("maxQueueLength", int64(e.MaxQueueLength), 0, MaxQueue, " transactions")
	return errors.Join(errs...)
}
