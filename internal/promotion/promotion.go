// Package promotion decides when a database group needs a new primary and which
// replica to promote. Machine is a pure state machine on the control goroutine: it
// performs no I/O and reads no clock. Package promotion/run executes its effects.
//
// The platform demotes the old primary at the moment of the promotion, wherever that
// server is, so the proxy neither fences it nor waits for a lease to expire. It only
// has to ensure that one VM at a time acts for a group: the home of the primary (the
// VM that owns its connections and queue), or the home of the first server while the
// group has no primary.
//
// That VM claims the group's duty, an ownership record in the platform's store. The
// revision of the claim is the fencing token of the promotion call: tokens increase
// with each claim, and no two claims share one. A VM makes its first claim as soon as
// it becomes responsible for a group, so that it holds a token if the store is
// unavailable when a promotion becomes necessary.
package promotion

import (
	"context"
	"fmt"
	"time"

	"egretroad/internal/topology"
)

// Call holds the arguments of a promotion call to the platform.
type Call struct {
	Database string // the group
	Server   string // server to promote
	Holder   string // VM that holds the duty
	Token    uint64 // fencing token: revision of the holder's claim
}

// Promoter makes promotion calls. A *RefusedError means that the call had no effect;
// after any other error it may still take effect.
type Promoter interface {
	Promote(ctx context.Context, call Call) error
}

// RefusedError reports a promotion call that the platform refused because it has
// seen a higher token or because the server is not running.
type RefusedError struct {
	Call   Call
	Detail string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("promotion of %s in %s with token %d refused: %.200s", e.Call.Server, e.Call.Database, e.Call.Token, e.Detail)
}

// Duty is the value of the platform object of kind "duty". The object is named after
// a database group and records which VM may promote a server of that group.
type Duty struct {
	Holder string `json:"holder"` // VM
	Start  uint64 `json:"start"`  // incarnation of the VM
	Claim  uint64 `json:"claim"`  // number of the claim within the incarnation
}

// Options are the time limits and thresholds of the state machine.
type Options struct {
	// ProbeInterval is the time between the end of a probe of the primary and the next.
	ProbeInterval time.Duration
	// UnresponsiveLimit is how long a primary may be unresponsive before other VMs are
	// queried. It spans several probes and is longer than a pause of a busy VM.
	UnresponsiveLimit time.Duration
	// NoPrimaryLimit is how long the servers' registrations may show no primary before
	// an election starts. A new primary registers within milliseconds of its promotion.
	NoPrimaryLimit time.Duration
	// PromotionGrace is how long a promoted server may take to register as primary
	// before another promotion may start.
	PromotionGrace time.Duration
	// RetryDelay is the pause after a failed step.
	RetryDelay time.Duration
	// EarlyClaimRetryDelay is the pause between attempts to claim the duty in advance.
	EarlyClaimRetryDelay time.Duration
	// ReplicaReturnLimit is how long an election waits for a replica whose registration
	// ended after its primary became unresponsive. It applies to groups with
	// synchronous replication, where this replica may be the only one that has the last
	// commits. A restarting server is back within this time.
	ReplicaReturnLimit time.Duration
	// WitnessCount is the number of other VMs that are asked whether they reach an
	// unresponsive primary.
	WitnessCount int
}

// DefaultOptions returns the options of a production deployment.
func DefaultOptions() Options {
	return Options{
		ProbeInterval:        300 * time.Millisecond,
		UnresponsiveLimit:    900 * time.Millisecond,
		ReplicaReturnLimit:   30 * time.Second,
		NoPrimaryLimit:       800 * time.Millisecond,
		PromotionGrace:       2500 * time.Millisecond,
		RetryDelay:           200 * time.Millisecond,
		EarlyClaimRetryDelay: 5 * time.Second,
		WitnessCount:         3,
	}
}

// Probe checks whether a primary responds. The result is a ProbeResult.
type Probe struct{ Database, Server string }

// EffectName implements reducer.Effect.
func (Probe) EffectName() string { return "probe_primary" }

// ProbeResult reports for how long a primary has not responded to this VM; zero means
// that it responds.
type ProbeResult struct {
	Database, Server string
	UnresponsiveFor  time.Duration
	Err              error
}

// EventName implements reducer.Event.
func (ProbeResult) EventName() string { return "primary_probed" }

// QueryWitnesses asks other VMs whether they reach a server. The result is a
// WitnessReport.
type QueryWitnesses struct {
	Database, Server string
	VMs              []string
}

// EffectName implements reducer.Effect.
func (QueryWitnesses) EffectName() string { return "ask_witnesses" }

// WitnessReport counts the VMs that responded to QueryWitnesses and those among them
// that reached the server.
type WitnessReport struct {
	Database, Server string
	Responded        int
	Reached          int
}

// EventName implements reducer.Event.
func (WitnessReport) EventName() string { return "witnesses_asked" }

// Elect asks candidates for their log positions. The result is an ElectionResult. For
// a planned hand-over, OutgoingPrimary names the current primary: it accepts no new
// work during the election, and the candidate gets time to receive the rest of its log.
type Elect struct {
	Database        string
	OutgoingPrimary string // server ID of the current primary; empty: failover without one
	Candidates      []string
	// LeavingCandidates are about to leave: one of them is elected only if it has
	// received more log than every candidate that stays.
	LeavingCandidates []string
	// Quorum is the number of candidates that must respond so that at least one of
	// them has every acknowledged commit; 0: commits are acknowledged without replicas.
	Quorum int
}

// EffectName implements reducer.Effect.
func (Elect) EffectName() string { return "elect" }

// ElectionResult names the candidate that has received the most log. Server is empty
// if too few candidates responded or the best one lacks commits that it must have.
type ElectionResult struct {
	Database, Server string
	Position         topology.Mark
	// AlreadyPrimary reports that the server is already the primary of its group.
	AlreadyPrimary bool
}

// EventName implements reducer.Event.
func (ElectionResult) EventName() string { return "elected" }

// ClaimDuty claims the duty for a group. The result is a ClaimResult.
type ClaimDuty struct{ Database string }

// EffectName implements reducer.Effect.
func (ClaimDuty) EffectName() string { return "claim_duty" }

// ClaimResult reports the outcome of a claim. Token is 0 if this VM holds no usable
// token. Token and Err are both set if an earlier token remains usable while the
// store is unavailable.
type ClaimResult struct {
	Database string
	Token    uint64
	Err      error
}

// EventName implements reducer.Event.
func (ClaimResult) EventName() string { return "duty_claimed" }

// Promote makes the promotion call. The result is a PromoteResult.
type Promote struct{ Call Call }

// EffectName implements reducer.Effect.
func (Promote) EffectName() string { return "promote" }

// PromoteResult reports the outcome of the promotion call.
type PromoteResult struct {
	Call Call
	Err  error
}

// EventName implements reducer.Event.
func (PromoteResult) EventName() string { return "promoted" }

// AnnouncePrimary informs control of a group's primary before the servers'
// registrations show it.
type AnnouncePrimary struct{ Database, Server string }

// EffectName implements reducer.Effect.
func (AnnouncePrimary) EffectName() string { return "announce_lead" }

// Log writes one structured log event.
type Log struct {
	Event  string
	Fields []any // key/value pairs
}

// EffectName implements reducer.Effect.
func (Log) EffectName() string { return "promotion_log" }
