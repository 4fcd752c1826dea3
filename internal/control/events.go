package control

import (
	"time"

	"egretroad/internal/platform"
	"egretroad/internal/topology"
)

// ObjectsListed reports the result of ListObjects: all objects of one kind.
type ObjectsListed struct {
	Kind string
	List platform.ObjectList
	Err  error
}

// EventName implements reducer.Event.
func (ObjectsListed) EventName() string { return "objects_listed" }

// ObjectsWatched reports the result of a watch or a poll for changes of some kinds; nil: of
// all.
type ObjectsWatched struct {
	Kinds    []string
	Since    uint64
	Response platform.WatchResponse
	Err      error
}

// EventName implements reducer.Event.
func (ObjectsWatched) EventName() string { return "objects_watched" }

// VMsListed reports the result of ListVMs.
type VMsListed struct {
	List platform.VMList
	Err  error
}

// EventName implements reducer.Event.
func (VMsListed) EventName() string { return "vms_listed" }

// PeerFetched reports the result of FetchCopy.
type PeerFetched struct {
	From    string
	Request FetchRequest
	Reply   FetchReply
	Err     error
}

// EventName implements reducer.Event.
func (PeerFetched) EventName() string { return "peer_fetched" }

// FetchRequested reports a peer's fetch. The machine replies with ReplyToFetch and the
// same RequestID.
type FetchRequested struct {
	RequestID uint64
	Request   FetchRequest
}

// EventName implements reducer.Event.
func (FetchRequested) EventName() string { return "peer_asked" }

// StatusWritten reports the result of WriteStatus. Version is the latest known
// version of the status object, also after an error.
type StatusWritten struct {
	Version uint64
	Err     error
}

// EventName implements reducer.Event.
func (StatusWritten) EventName() string { return "status_written" }

// Leaving requests that this VM announces its shutdown to the other VMs.
type Leaving struct{}

// EventName implements reducer.Event.
func (Leaving) EventName() string { return "leaving" }

// Notify sends a one-way message to peers, without acknowledgement.
type Notify struct {
	To     []string // VM IDs
	Method string
	Body   []byte
}

// EffectName implements reducer.Effect.
func (Notify) EffectName() string { return "notify" }

// ShareObject passes an object that came into force to the other machines of this
// process, as a reducer.ObjectChanged event.
type ShareObject struct {
	Record ObjectRecord
	From   string
}

// EffectName implements reducer.Effect.
func (ShareObject) EffectName() string { return "share_object" }

// ListObjects lists all objects of a kind. The result is ObjectsListed.
type ListObjects struct{ Kind string }

// EffectName implements reducer.Effect.
func (ListObjects) EffectName() string { return "list_objects" }

// WatchObjects requests the changes of some kinds after revision Since and waits up to Wait
// for one. The result is ObjectsWatched.
type WatchObjects struct {
	Kinds []string
	Since uint64
	Wait  time.Duration
}

// EffectName implements reducer.Effect.
func (WatchObjects) EffectName() string { return "watch_objects" }

// ProbeStore checks with a call of little cost whether the store responds. The result is
// StoreProbed.
type ProbeStore struct{}

// EffectName implements reducer.Effect.
func (ProbeStore) EffectName() string { return "probe_store" }

// StoreProbed reports the result of ProbeStore.
type StoreProbed struct{ Err error }

// EventName implements reducer.Event.
func (StoreProbed) EventName() string { return "store_probed" }

// CancelWatch cancels a waiting watch, which then returns an error.
type CancelWatch struct{}

// EffectName implements reducer.Effect.
func (CancelWatch) EffectName() string { return "cancel_watch" }

// RegisterSelf writes this VM's entry in the platform's list of VMs, which lacks it. There
// is no result: the next list shows whether it succeeded.
type RegisterSelf struct{}

// EffectName implements reducer.Effect.
func (RegisterSelf) EffectName() string { return "register_self" }

// ListVMs reads the platform's list of VMs. The result is VMsListed.
type ListVMs struct{}

// EffectName implements reducer.Effect.
func (ListVMs) EffectName() string { return "list_vms" }

// FetchCopy requests a peer's copy of objects and members. The result is
// PeerFetched.
type FetchCopy struct {
	From    string
	Request FetchRequest
}

// EffectName implements reducer.Effect.
func (FetchCopy) EffectName() string { return "fetch_copy" }

// ReplyToFetch sends the reply to a peer's fetch; see FetchRequested.
type ReplyToFetch struct {
	RequestID uint64
	Reply     FetchReply
}

// EffectName implements reducer.Effect.
func (ReplyToFetch) EffectName() string { return "answer_fetch" }

// WriteStatus replaces the status object of the data centre, provided that its
// version is IfVersion. The result is StatusWritten.
type WriteStatus struct {
	IfVersion uint64
	Status    DataCentreStatus
}

// EffectName implements reducer.Effect.
func (WriteStatus) EffectName() string { return "write_status" }

// Publish makes a new snapshot available to readers and the other machines.
type Publish struct {
	Snapshot *topology.Snapshot
	Ready    bool // the snapshot contains the catalogue and the groups
}

// EffectName implements reducer.Effect.
func (Publish) EffectName() string { return "publish" }

// Log writes one structured log line.
type Log struct {
	Alarm  bool // requires an operator's attention
	Event  string
	Fields []any // key/value pairs
}

// EffectName implements reducer.Effect.
func (Log) EffectName() string { return "log" }
