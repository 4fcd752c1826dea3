package authority

import (
	"time"

	"egretroad/internal/txn"
)

// StoreCall reads a platform object, or writes it when Write is set.
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

// AskDelegate asks the delegate of the data centre for leases.
type AskDelegate struct {
	Op       uint64
	Delegate string // VM ID
	Request  LeaseRequest
	Timeout  time.Duration
}

// EffectName implements reducer.Effect.
func (AskDelegate) EffectName() string { return "ask_delegate" }

// AnswerAsk answers a home's call.
type AnswerAsk struct {
	Call  uint64
	Reply LeaseReply
}

// EffectName implements reducer.Effect.
func (AnswerAsk) EffectName() string { return "answer_ask" }

// AskRelease asks a holder to give up a lease.
type AskRelease struct {
	Op      uint64
	Holder  string // VM ID
	Lease   Lease
	Timeout time.Duration
}

// EffectName implements reducer.Effect.
func (AskRelease) EffectName() string { return "ask_release" }

// AnswerRelease tells a promoter that the lease is given up. It must be carried
// out after an earlier PublishTable.
type AnswerRelease struct{ Call uint64 }

// EffectName implements reducer.Effect.
func (AnswerRelease) EffectName() string { return "answer_release" }

// SendEvidence sends reports on own servers to another VM.
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

// PublishTable replaces the lease table that traffic reads.
type PublishTable struct{ Table *Table }

// EffectName implements reducer.Effect.
func (PublishTable) EffectName() string { return "publish_table" }

// LogEvent writes one event line and counts it.
type LogEvent struct {
	Name   string
	Alarm  bool // logged as an error
	Fields []any
}

// EffectName implements reducer.Effect.
func (LogEvent) EffectName() string { return "log_event" }
