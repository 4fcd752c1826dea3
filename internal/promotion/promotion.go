// Package promotion decides when a database group needs a new primary and which
// replica to promote. Machine is a pure state machine on the control goroutine: it
// performs no I/O and reads no clock. Package promotion/run executes its effects.
//
// One VM at a time acts for a group: the home of the primary (the VM that owns its
// connections and queue) or, while the group has no primary, the VM that made the last
// claim or the home of the first server.
//
// That VM elects a replica and claims the group's duty, a record in the platform's store
// that designates the elected server. The version of the claim is the fencing token of
// the promotion call: tokens increase with each claim, and no two claims share one. A
// claim that could not be written permits no promotion, since a token from an earlier
// claim may be lower than one that another VM has sent.
//
// Some platforms do not stop the old primary. Before the call, every VM must therefore
// have stopped using it, or the old primary must have become a replica; package primacy
// defines how long the promotion waits for VMs that do not respond.
package promotion

import (
	"context"
	"fmt"
	"slices"
	"time"

	"egretroad/internal/platform"
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
	Server      string `json:"server"` // the designated primary; empty in records of earlier versions
	Holder      string `json:"holder"` // VM
	Incarnation uint64 `json:"start"`  // incarnation of the VM
	Claim       uint64 `json:"claim"`  // number of the claim within the incarnation
	Epoch       uint64 `json:"epoch"`  // of the store, in which the claim was made
	// Token is the token of a designation that was written again, because the store had lost
	// it or its calls have ended; 0 in a claim, whose token is its version.
	Token uint64 `json:"token,omitempty"`
	// Term and Received are those of the designation.
	Term     uint64        `json:"term,omitempty"`
	Received topology.Mark `json:"received"`
	// CallsEnded is that of the designation. A record with it names its token.
	CallsEnded bool `json:"callsEnded,omitempty"`
	// Uncalled is set in a claim, until its holder is about to make the first promotion call. The
	// holder clears it with a conditional write, so once another claim has replaced this one, no
	// call for it is made.
	Uncalled bool `json:"uncalled,omitempty"`
	// Pending are the servers of earlier designations whose calls may still take effect, in a
	// claim that is uncalled.
	Pending []string `json:"pending,omitempty"`
}

// PendingServers returns the servers for which calls may still take effect when a claim
// replaces the duty. ended is the token of a designation whose calls are known to have ended.
func (d Duty) PendingServers(version, ended uint64) []string {
	pending := slices.Clone(d.Pending)
	mayBeCalled := !d.Uncalled && !d.CallsEnded && d.Designation(version).Token != ended
	if mayBeCalled && d.Server != "" && !slices.Contains(pending, d.Server) {
		pending = append(pending, d.Server)
	}
	return pending
}

// Called returns the record of a claim with the given token whose calls begin. Calls of earlier
// designations for other servers have ended by then, and those for the same one end with its
// own.
func (d Duty) Called(token uint64) Duty {
	d.Token, d.Uncalled, d.Pending = token, false, nil
	return d
}

// Designation returns the designation that a duty with the given version records. Its
// epoch is that of the claim: a record that the store has kept from an earlier epoch has a
// version of the epoch in which it is read.
func (d Duty) Designation(version uint64) topology.Designation {
	token := d.Token
	if token == 0 {
		token = platform.MakeVersion(d.Epoch, platform.RevisionOf(version))
	}
	return d.WithToken(token)
}

// WithToken returns the designation that a duty records under a token.
func (d Duty) WithToken(token uint64) topology.Designation {
	return topology.Designation{Server: d.Server, Holder: d.Holder, Token: token, Term: d.Term, Received: d.Received, CallsEnded: d.CallsEnded}
}

// SupersededError reports a promotion that was given up because another VM has made a
// newer claim.
type SupersededError struct {
	Call  Call
	Newer topology.Designation
}

func (e *SupersededError) Error() string {
	return fmt.Sprintf("promotion of %s in %s with token %d given up: %s has designated %s with token %d",
		e.Call.Server, e.Call.Database, e.Call.Token, e.Newer.Holder, e.Newer.Server, e.Newer.Token)
}

// UnansweredError reports a promotion call without a response. The platform may execute it
// later.
type UnansweredError struct {
	Call  Call
	Cause error
}

func (e *UnansweredError) Error() string {
	return fmt.Sprintf("promotion of %s in %s with token %d was not answered: %s", e.Call.Server, e.Call.Database, e.Call.Token, e.Cause)
}

func (e *UnansweredError) Unwrap() error { return e.Cause }

// Options are the time limits and thresholds of the state machine.
type Options struct {
	// ProbeInterval is the time between the end of a probe of the primary and the next.
	ProbeInterval time.Duration
	// UnresponsiveLimit is how long a primary may be unresponsive before other VMs are
	// queried. They probe it for as long again, so an election starts after about a second
	// without a response.
	UnresponsiveLimit time.Duration
	// NoPrimaryLimit is how long the servers' registrations may show no primary before
	// an election starts. A new primary registers within milliseconds of its promotion.
	NoPrimaryLimit time.Duration
	// PromotionGrace is how long a promoted server may take to register as primary
	// before another promotion may start.
	PromotionGrace time.Duration
	// RetryDelay is the pause after a failed step.
	RetryDelay time.Duration
	// HolderLimit is how long the VM that made the last claim remains responsible for a
	// group without a primary. It covers the longest wait of a promotion by a majority.
	HolderLimit time.Duration
	// AskAgainInterval is the time between two requests to acknowledge a designation while a
	// promotion waits for silent VMs.
	AskAgainInterval time.Duration
	// StepDownInterval is the time between two attempts to make a replaced primary a
	// replica, StepDownLimit how long they continue after the promotion.
	StepDownInterval time.Duration
	StepDownLimit    time.Duration
	// LateCallLimit is how long after it was sent the platform may execute a promotion call
	// that it has not answered. CallsLimit is how long a promoted server is registered as
	// primary before its calls count as ended even if their VM has not recorded it: the VM
	// repeats them for less than the difference.
	LateCallLimit time.Duration
	CallsLimit    time.Duration
	// RecordRetryDelay is the pause after a failed record of ended calls.
	RecordRetryDelay time.Duration
	// ReplicaReturnLimit is how long an election waits for members of the group that are not
	// registered, from the loss of the primary on. It applies to groups with synchronous
	// replication, where such a member may be the only one that has the last commits. A
	// restarting server is back within this time. It is also how long a member must be missing
	// to count as gone.
	ReplicaReturnLimit time.Duration
	// WitnessCount is the number of other VMs that are asked whether they reach an
	// unresponsive primary.
	WitnessCount int
}

// DefaultOptions returns the options of a production deployment.
func DefaultOptions() Options {
	return Options{
		ProbeInterval:      300 * time.Millisecond,
		UnresponsiveLimit:  500 * time.Millisecond,
		ReplicaReturnLimit: 30 * time.Second,
		NoPrimaryLimit:     800 * time.Millisecond,
		PromotionGrace:     2500 * time.Millisecond,
		RetryDelay:         200 * time.Millisecond,
		HolderLimit:        5 * time.Second,
		AskAgainInterval:   time.Second,
		StepDownInterval:   500 * time.Millisecond,
		StepDownLimit:      30 * time.Second,
		LateCallLimit:      8 * time.Second,
		CallsLimit:         12 * time.Second,
		RecordRetryDelay:   time.Second,
		WitnessCount:       3,
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
	// Preferred is the candidate that is elected if it responds; empty: none. It was
	// designated before, and a call to promote it may still take effect.
	Preferred string
	// PreferredOnly is set if other VMs reach the preferred candidate: no other one is
	// elected, whether or not it responds to this VM.
	PreferredOnly bool
	// Designation is the designation in force, if its server is registered and the platform
	// has not refused its promotion. No server is elected whose log this promotion has
	// rolled back.
	Designation topology.Designation
	// Quorum is the number of candidates that must respond so that at least one of
	// them has every acknowledged commit; 0: commits are acknowledged without replicas.
	Quorum int
	// QuorumWithPosition is the number of candidates that must respond if the position of the
	// outgoing primary is known, which the elected one must have received.
	QuorumWithPosition int
	// GivenUp are the members that the election does not wait for any longer. Commits that
	// only they have are lost.
	GivenUp []string
}

// Discards reports whether the promotion of the designation in force has rolled back a part of
// the log that a candidate has received, or may have. term is the highest term that any
// candidate reports. Where commits are acknowledged with replicas, a promotion that no
// candidate has followed may never have been called, and discards nothing.
func (e Elect) Discards(server string, received topology.Mark, term uint64) bool {
	if server == e.Designation.Server || e.Quorum > 0 && term < e.Designation.Term {
		return false
	}
	return e.Designation.Discards(received)
}

// Required returns how many candidates must respond.
func (e Elect) Required(positionKnown bool) int {
	if positionKnown {
		return e.QuorumWithPosition
	}
	return e.Quorum
}

// EffectName implements reducer.Effect.
func (Elect) EffectName() string { return "elect" }

// ElectionResult names the candidate that has received the most log. Server is empty
// if too few candidates responded or the best one lacks commits that it must have.
type ElectionResult struct {
	Database, Server string
	Position         topology.Mark
	Term             uint64 // highest term that a candidate has reported
	// AlreadyPrimary reports that the server is already the primary of its group.
	AlreadyPrimary bool
}

// EventName implements reducer.Event.
func (ElectionResult) EventName() string { return "elected" }

// ConfirmCandidate asks the candidates of an election for their positions once more, when no VM
// acknowledges commits of the old primary any longer. The result is a CandidateConfirmed.
type ConfirmCandidate struct {
	Elect
	Server string // the elected one
}

// EffectName implements reducer.Effect.
func (ConfirmCandidate) EffectName() string { return "confirm_candidate" }

// CandidateConfirmed reports whether an elected server has received every acknowledged commit.
type CandidateConfirmed struct {
	Database, Server string
	Complete         bool
}

// EventName implements reducer.Event.
func (CandidateConfirmed) EventName() string { return "candidate_confirmed" }

// ClaimDuty claims the duty for a group and designates a server. The result is a
// ClaimResult.
type ClaimDuty struct {
	Database, Server string
	Term             uint64        // term that the promotion begins, or a lower one
	Received         topology.Mark // log that the server has received
	EndedToken       uint64        // token of the last designation if its calls are known to have ended
}

// EffectName implements reducer.Effect.
func (ClaimDuty) EffectName() string { return "claim_duty" }

// ClaimResult reports the outcome of a claim. Token is 0 if it was not written.
type ClaimResult struct {
	Database string
	Token    uint64
	Err      error
	// PendingServers are the servers of earlier designations for which calls may still take
	// effect.
	PendingServers []string
}

// EventName implements reducer.Event.
func (ClaimResult) EventName() string { return "duty_claimed" }

// Acknowledge asks all listed VMs to acknowledge a designation, and to make the old
// primary a replica if they are connected to it. The result is an Acknowledged.
type Acknowledge struct {
	Database    string
	Designation topology.Designation
	OldPrimary  string // server ID; empty: unknown
	Term        uint64 // term from which on the old primary is replaced
}

// EffectName implements reducer.Effect.
func (Acknowledge) EffectName() string { return "acknowledge" }

// Acknowledged reports which VMs have acknowledged a designation so far. The promotion call is
// safe from SafeAt on, or at once if SteppedDown.
type Acknowledged struct {
	Database    string
	Token       uint64
	Silent      []string      // listed VMs that have not acknowledged
	SafeAt      time.Duration // when the permissions of silent VMs have expired, on CLOCK_BOOTTIME; 0: no VM is silent
	SteppedDown bool          // the old primary is a replica now
}

// EventName implements reducer.Event.
func (Acknowledged) EventName() string { return "acknowledged" }

// StepDown asks all VMs that are connected to a replaced primary to make it a replica.
// The result is a SteppedDown.
type StepDown struct {
	Database, Server string
	Term             uint64 // term from which on the server is replaced
	// Candidate is set for an elected server that considers itself the primary. It must not step
	// down if there is a newer designation than the one with this token: it may be the primary
	// that another VM has promoted meanwhile.
	Candidate bool
	Token     uint64
}

// EffectName implements reducer.Effect.
func (StepDown) EffectName() string { return "step_down" }

// SteppedDown reports whether a replaced primary has confirmed that it is a replica.
type SteppedDown struct {
	Database, Server string
	Done             bool
}

// EventName implements reducer.Event.
func (SteppedDown) EventName() string { return "stepped_down" }

// Promote makes the promotion call. The result is a PromoteResult.
type Promote struct{ Call Call }

// EffectName implements reducer.Effect.
func (Promote) EffectName() string { return "promote" }

// PromoteResult reports the outcome of the promotion call.
type PromoteResult struct {
	Call       Call
	Err        error
	Unanswered bool // the platform may still execute an attempt that it has not answered
}

// EventName implements reducer.Event.
func (PromoteResult) EventName() string { return "promoted" }

// RecordCallsEnded records in the store that the calls of a designation have ended. The
// result is a CallsEndRecorded.
type RecordCallsEnded struct {
	Database    string
	Designation topology.Designation
}

// EffectName implements reducer.Effect.
func (RecordCallsEnded) EffectName() string { return "record_calls_ended" }

// CallsEndRecorded reports the result of RecordCallsEnded. A newer designation in the store
// is no error.
type CallsEndRecorded struct {
	Database string
	Token    uint64
	Err      error
}

// EventName implements reducer.Event.
func (CallsEndRecorded) EventName() string { return "calls_end_recorded" }

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
