package authority

import (
	"time"

	"egretroad/internal/platform"
	"egretroad/internal/topology"
	"egretroad/internal/txn"
)

// StoreOutcome is the outcome of a call to the platform.
type StoreOutcome int

// Outcomes of calls to the platform.
const (
	StoreOK       StoreOutcome = iota // Object is the object that was read or written
	StoreConflict                     // Object is the current object, or zero when it does not exist
	StoreNotFound
	StoreUnknown // no response: a write may have taken effect
)

// StoreResult reports the result of a StoreCall.
type StoreResult struct {
	Op      uint64
	Outcome StoreOutcome
	Object  platform.Object
	Error   string
	Now     time.Duration
}

// EventName implements reducer.Event.
func (StoreResult) EventName() string { return "store_result" }

// LeaseRequestDone reports the result of RequestLeases.
type LeaseRequestDone struct {
	Op          uint64
	RequestedAt time.Duration // read before the request was sent
	Granted     []Lease
	Error       string
	Now         time.Duration
}

// EventName implements reducer.Event.
func (LeaseRequestDone) EventName() string { return "lease_ask_answered" }

// LeaseRequestReceived reports a home's request to this VM as delegate. Call
// identifies the peer call to reply to.
type LeaseRequestReceived struct {
	Call    uint64
	From    string // VM ID
	Request LeaseRequest
	Now     time.Duration
}

// EventName implements reducer.Event.
func (LeaseRequestReceived) EventName() string { return "lease_asked" }

// ReleaseRequestReceived reports that the coordinator of a promotion asked this VM
// to release a lease.
type ReleaseRequestReceived struct {
	Call  uint64
	From  string
	Lease Lease
	Now   time.Duration
}

// EventName implements reducer.Event.
func (ReleaseRequestReceived) EventName() string { return "release_asked" }

// ReleaseRequestDone reports the result of RequestRelease.
type ReleaseRequestDone struct {
	Op       uint64
	Released bool
	Now      time.Duration
}

// EventName implements reducer.Event.
func (ReleaseRequestDone) EventName() string { return "release_answered" }

// EvidenceReceived reports evidence from another VM.
type EvidenceReceived struct {
	From  string
	Items []Evidence
	Now   time.Duration
}

// EventName implements reducer.Event.
func (EvidenceReceived) EventName() string { return "evidence_received" }

// AdminDone reports the result of an administrative step.
type AdminDone struct {
	Op      uint64
	Request txn.AdminRequest
	Status  topology.ServerStatus
	Error   string // empty on success
	Now     time.Duration
}

// EventName implements reducer.Event.
func (AdminDone) EventName() string { return "admin_done" }
