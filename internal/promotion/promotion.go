// Package promotion decides when a replica takes the lead of its database group,
// and which one. It is a pure state machine that runs beside control on its
// goroutine: it performs no I/O and reads no clock; package promotion/run carries
// its effects out.
//
// The platform takes the lead from the old primary at the moment of the
// promotion, wherever that is, so nothing needs to be fenced or waited out. What
// remains is that one VM at a time acts for a group: the home of the group's
// primary, or of its first server while there is no primary. It claims the duty
// for the group in the store; the revision of the claim is the call's token, so
// tokens rise with each claim and no two claims share one. A first claim is made as
// soon as a VM acts for a group: its token serves while the store is away.
package promotion

import (
	"context"
	"fmt"
	"time"

	"egretroad/internal/topology"
)

// Call is a promotion call.
type Call struct {
	Database string // the group
	Server   string // takes over
	Holder   string // VM that holds the duty
	Token    uint64 // of the claim
}

// Promoter makes promotion calls. Errors are *RefusedError, and errors after
// which the call may still take effect.
type Promoter interface {
	Promote(ctx context.Context, call Call) error
}

// RefusedError reports a call that the platform refused: its token was passed by
// another, or the server is not running.
type RefusedError struct {
	Call   Call
	Detail string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("promotion of %s in %s with token %d refused: %.200s", e.Call.Server, e.Call.Database, e.Call.Token, e.Detail)
}

// Duty is the value of the platform object of kind "duty" whose name is a group.
type Duty struct {
	Holder string `json:"holder"` // VM
	Start  uint64 `json:"start"`  // incarnation of the VM
	Claim  uint64 `json:"claim"`  // counts the claims of the incarnation
}

// Options are the thresholds of the decisions.
type Options struct {
	// ProbeInterval is the time between questions to a primary.
	ProbeInterval time.Duration
	// SilenceLimit is the silence of a primary after which other VMs are asked:
	// several probes, and longer than a pause of a busy VM.
	SilenceLimit time.Duration
	// AbsenceLimit is how long a group may have no primary by its servers' account.
	// A new primary registers within milliseconds of its promotion.
	AbsenceLimit time.Duration
	// Settle is the time after a promotion within which the group shows its effect.
	Settle time.Duration
	// Retry is the pause after a step that failed.
	Retry time.Duration
	// ClaimRetry is the pause before a claim ahead of need is tried again.
	ClaimRetry time.Duration
	// ReturnLimit is how long a replica is waited for whose registration ended after
	// its primary fell silent, where commits wait for a replica: it may be the only
	// one that has the last of them. A server that restarts is back within this time.
	ReturnLimit time.Duration
	// Witnesses is the number of other VMs that are asked whether they reach a
	// silent primary.
	Witnesses int
}

// DefaultOptions returns the defaults.
func DefaultOptions() Options {
	return Options{
		ProbeInterval: 300 * time.Millisecond,
		SilenceLimit:  900 * time.Millisecond,
		ReturnLimit:   30 * time.Second,
		AbsenceLimit:  800 * time.Millisecond,
		Settle:        2500 * time.Millisecond,
		Retry:         200 * time.Millisecond,
		ClaimRetry:    5 * time.Second,
		Witnesses:     3,
	}
}

// Probe asks a primary for an answer; the answer is Probed.
type Probe struct{ Database, Server string }

// EffectName implements reducer.Effect.
func (Probe) EffectName() string { return "probe_primary" }

// Probed reports how long a primary has not answered this VM; zero: it answered.
type Probed struct {
	Database, Server string
	Silence          time.Duration
	Err              error
}

// EventName implements reducer.Event.
func (Probed) EventName() string { return "primary_probed" }

// AskWitnesses asks other VMs whether they reach a server; the answer is
// WitnessesAsked.
type AskWitnesses struct {
	Database, Server string
	VMs              []string
}

// EffectName implements reducer.Effect.
func (AskWitnesses) EffectName() string { return "ask_witnesses" }

// WitnessesAsked reports what other VMs said.
type WitnessesAsked struct {
	Database, Server string
	Answered         int
	Reached          int
}

// EventName implements reducer.Event.
func (WitnessesAsked) EventName() string { return "witnesses_asked" }

// Elect asks candidates for their log positions; the answer is Elected. With
// HandOver, the present primary takes no new work meanwhile and the candidate is
// given time to receive the rest of its log.
type Elect struct {
	Database   string
	HandOver   string // server ID of the present primary; empty: it is lost
	Candidates []string
	// Reserve are candidates that are leaving: one is chosen only if it received more.
	Reserve []string
	// Required is the number of candidates that must answer, so that one of them
	// surely has every acknowledged commit; 0: commits are acknowledged without replicas.
	Required int
}

// EffectName implements reducer.Effect.
func (Elect) EffectName() string { return "elect" }

// Elected names the candidate that received most; empty: too few answered, or the
// candidate lacks commits that it must have.
type Elected struct {
	Database, Server string
	Position         topology.Mark
	// Leads says that the server already leads its group.
	Leads bool
}

// EventName implements reducer.Event.
func (Elected) EventName() string { return "elected" }

// Claim claims the duty for a group; the answer is Claimed.
type Claim struct{ Database string }

// EffectName implements reducer.Effect.
func (Claim) EffectName() string { return "claim_duty" }

// Claimed reports a claim. Token is 0 when there is none to use.
type Claimed struct {
	Database string
	Token    uint64
	Err      error
}

// EventName implements reducer.Event.
func (Claimed) EventName() string { return "duty_claimed" }

// Promote makes the promotion call; the answer is Promoted.
type Promote struct{ Call Call }

// EffectName implements reducer.Effect.
func (Promote) EffectName() string { return "promote" }

// Promoted reports the call's outcome.
type Promoted struct {
	Call Call
	Err  error
}

// EventName implements reducer.Event.
func (Promoted) EventName() string { return "promoted" }

// Announce tells control of a server that leads its group, which the servers'
// registrations may not say yet.
type Announce struct{ Database, Server string }

// EffectName implements reducer.Effect.
func (Announce) EffectName() string { return "announce_lead" }

// Log writes one event line.
type Log struct {
	Event  string
	Fields []any // key/value pairs
}

// EffectName implements reducer.Effect.
func (Log) EffectName() string { return "promotion_log" }
