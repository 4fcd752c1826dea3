package authority

import (
	"time"

	"egretroad/internal/txn"
)

// StoreCall reads a platform object or, when Write is set, updates it if its
// version is IfVersion.
type StoreCall struct {
	Op        uint64
	Kind      string
	Name      string
	Write     bool
	IfVersion uint64
	Value     []byte
	Timeout   time.Duration
}

// EffectName implements reducer.Effect.
func (StoreCall) EffectName() string { return "store_call" }

// RequestLeases requests leases from the delegate of the data centre.
type RequestLeases struct {
	Op       uint64
	Delegate string // VM ID
	Request  LeaseRequest
	Timeout  time.Duration
}

// EffectName implements reducer.Effect.
func (RequestLeases) EffectName() string { return "ask_delegate" }

// ReplyLeases replies to a home's lease request.
type ReplyLeases struct {
	Call  uint64
	Reply LeaseReply
}

// EffectName implements reducer.Effect.
func (ReplyLeases) EffectName() string { return "answer_ask" }

// RequestRelease asks a holder to release a lease.
type RequestRelease struct {
	Op      uint64
	Holder  string // VM ID
	Lease   Lease
	Timeout time.Duration
}

// EffectName implements reducer.Effect.
func (RequestRelease) EffectName() string { return "ask_release" }

// ReplyReleased confirms to the coordinator of a promotion that the lease is
// released. It must be executed after any PublishTable emitted before it.
type ReplyReleased struct{ Call uint64 }

// EffectName implements reducer.Effect.
func (ReplyReleased) EffectName() string { return "answer_release" }

// SendEvidence sends reports on this VM's servers to another VM.
type SendEvidence struct {
	To    string // VM ID
	Items []Evidence
}

// EffectName implements reducer.Effect.
func (SendEvidence) EffectName() string { return "send_evidence" }

// RunAdmin runs an administrative step through the server's home.
type RunAdmin struct {
	Op      uint64
	Request txn.AdminRequest
	Timeout time.Duration
}

// EffectName implements reducer.Effect.
func (RunAdmin) EffectName() string { return "run_admin" }

// PublishTable replaces the lease table that request goroutines read.
type PublishTable struct{ Table *LeaseTable }

// EffectName implements reducer.Effect.
func (PublishTable) EffectName() string { return "publish_table" }

// LogEvent writes one event to the log and increments its counter.
type LogEvent struct {
	Name   string
	Alarm  bool // logged at error level
	Fields []any
}

// EffectName implements reducer.Effect.
func (LogEvent) EffectName() string { return "log_event" }
