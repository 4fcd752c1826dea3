package authority

import (
	"time"

	"egretroad/internal/platform"
	"egretroad/internal/topology"
	"egretroad/internal/txn"
)

// StoreOutcome says how a call to the platform ended.
type StoreOutcome int

// Outcomes of a call to the platform.
const (
	StoreOK       StoreOutcome = iota // Object is the object read or written
	StoreConflict                     // Object is the current object, zero when it does not exist
	StoreNotFound
	StoreUnknown // no answer: a write may have taken effect
)

// StoreResult reports the end of a StoreCall.
type StoreResult struct {
	Op      uint64
	Outcome StoreOutcome
	Object  platform.Object
	Error   string
	Now     time.Duration
}

// EventName implements reducer.Event.
func (StoreResult) EventName() string { return "store_result" }

// AskAnswered reports the end of an AskDelegate.
type AskAnswered struct {
	Op      uint64
	AskedAt time.Duration // read before the request was sent
	Granted []Lease
	Error   string
	Now     time.Duration
}

// EventName implements reducer.Event.
func (AskAnswered) EventName() string { return "lease_ask_answered" }

// LeaseAsked reports a home's request to this VM as delegate. Call names the
// call to answer.
type LeaseAsked struct {
	Call    uint64
	From    string // VM ID
	Request LeaseRequest
	Now     time.Duration
}

// EventName implements reducer.Event.
func (LeaseAsked) EventName() string { return "lease_asked" }

// ReleaseAsked reports a promoter's request to this VM to give up a lease.
type ReleaseAsked struct {
	Call  uint64
	From  string
	Lease Lease
	Now   time.Duration
}

// EventName implements reducer.Event.
func (ReleaseAsked) EventName() string { return "release_asked" }

// ReleaseAnswered reports the end of an AskRelease.
type ReleaseAnswered struct {
	Op       uint64
	Released bool
	Now      time.Duration
}

// EventName implements reducer.Event.
func (ReleaseAnswered) EventName() string { return "release_answered" }

// EvidenceReceived reports evidence from another VM.
type EvidenceReceived struct {
	From  string
	Items []Evidence
	Now   time.Duration
}

// EventName implements reducer.Event.
func (EvidenceReceived) EventName() string { return "evidence_received" }

// AdminDone reports the end of an administrative step.
type AdminDone struct {
	Op      uint64
	Request txn.AdminRequest
	Status  topology.ServerStatus
	Error   string // empty: the step succeeded
	Now     time.Duration
}

// EventName implements reducer.Event.
func (AdminDone) EventName() string { return "admin_done" }
