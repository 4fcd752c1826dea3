package control

import (
	"time"

	"egretroad/internal/platform"
	"egretroad/internal/topology"
)

// ObjectsListed reports a complete list of one kind.
type ObjectsListed struct {
	Kind string
	List platform.ObjectList
	Err  error
}

// EventName implements reducer.Event.
func (ObjectsListed) EventName() string { return "objects_listed" }

// ObjectsWatched reports the answer of a watch or of a poll.
type ObjectsWatched struct {
	Since uint64
	Reply platform.WatchReply
	Err   error
}

// EventName implements reducer.Event.
func (ObjectsWatched) EventName() string { return "objects_watched" }

// VMsListed reports the platform's list of VMs.
type VMsListed struct {
	List platform.VMList
	Err  error
}

// EventName implements reducer.Event.
func (VMsListed) EventName() string { return "vms_listed" }

// PeerFetched reports a peer's copy.
type PeerFetched struct {
	From  string
	Reply FetchReply
	Err   error
}

// EventName implements reducer.Event.
func (PeerFetched) EventName() string { return "peer_fetched" }

// PeerAsked asks for the answer to a peer's fetch; it is given as AnswerFetch
// with the same Ask.
type FetchRequested struct {
	RequestID     uint64
	Request FetchRequest
}

// EventName implements reducer.Event.
func (FetchRequested) EventName() string { return "peer_asked" }

// StatusWritten reports the write of the data centre's status object. Version is
// the object's version as far as it is known now, also after an error.
type StatusWritten struct {
	Version uint64
	Err     error
}

// EventName implements reducer.Event.
func (StatusWritten) EventName() string { return "status_written" }

// Leaving makes this VM say farewell.
type Leaving struct{}

// EventName implements reducer.Event.
func (Leaving) EventName() string { return "leaving" }

// Notify sends a one-way message to peers.
type Notify struct {
	To     []string // VM IDs
	Method string
	Body   []byte
}

// EffectName implements reducer.Effect.
func (Notify) EffectName() string { return "notify" }

// ShareObject gives an object in force to the other machines, as a
// reducer.ObjectChanged.
type ShareObject struct {
	Record ObjectRecord
	From   string
}

// EffectName implements reducer.Effect.
func (ShareObject) EffectName() string { return "share_object" }

// ListObjects lists a kind of object; the answer is ObjectsListed.
type ListObjects struct{ Kind string }

// EffectName implements reducer.Effect.
func (ListObjects) EffectName() string { return "list_objects" }

// WatchObjects asks for changes after Since; the answer is ObjectsWatched.
type WatchObjects struct {
	Since uint64
	Wait  time.Duration
}

// EffectName implements reducer.Effect.
func (WatchObjects) EffectName() string { return "watch_objects" }

// CancelWatch ends a waiting watch; its answer still comes, as an error.
type CancelWatch struct{}

// EffectName implements reducer.Effect.
func (CancelWatch) EffectName() string { return "cancel_watch" }

// ListVMs reads the platform's list of VMs; the answer is VMsListed.
type ListVMs struct{}

// EffectName implements reducer.Effect.
func (ListVMs) EffectName() string { return "list_vms" }

// FetchCopy asks a peer for its copy; the answer is PeerFetched.
type FetchCopy struct {
	From    string
	Request FetchRequest
}

// EffectName implements reducer.Effect.
func (FetchCopy) EffectName() string { return "fetch_copy" }

// AnswerFetch answers PeerAsked.
type RespondToFetch struct {
	RequestID   uint64
	Reply FetchReply
}

// EffectName implements reducer.Effect.
func (RespondToFetch) EffectName() string { return "answer_fetch" }

// WriteStatus replaces the status object of the data centre; the answer is
// StatusWritten.
type WriteStatus struct {
	IfVersion uint64
	Status    DataCentreStatus
}

// EffectName implements reducer.Effect.
func (WriteStatus) EffectName() string { return "write_status" }

// Publish hands a new snapshot to readers and to the other machines.
type Publish struct {
	Snapshot *topology.Snapshot
	Ready    bool // the snapshot contains the catalogue and the groups
}

// EffectName implements reducer.Effect.
func (Publish) EffectName() string { return "publish" }

// Log writes one event line.
type Log struct {
	Alarm  bool // needs an operator
	Event  string
	Fields []any // key/value pairs
}

// EffectName implements reducer.Effect.
func (Log) EffectName() string { return "log" }
