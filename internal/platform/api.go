// Package platform defines the platform's object API: JSON over HTTP with versioned
// objects, conditional updates (optimistic concurrency) and long-poll watches. It
// holds the API's types and paths, the Store interface, its typed errors, and PutWithRetry
// and DeleteWithRetry, which retry conditional changes safely.
//
// Package objectclient implements Store over HTTP.
package platform

import (
	"cmp"
	"context"
	"encoding/json"
	"time"

	"egretroad/internal/topology"
)

// Kinds of objects.
const (
	KindCatalogue = "catalogue" // value: catalogue.Entry
	KindGroup     = "group"     // value: topology.Group; name: the database
	KindLease     = "lease"     // value: authority.LeaseObject; name: the data centre
	KindStatus    = "status"    // value: a data centre's status, read by operators; name: the data centre
	KindServer    = "server"    // value: topology.Registration, written by the server itself; name: the server's ID
	KindDuty      = "duty"      // value: promotion.Duty, which VM may promote servers of the group; name: the group
	KindMembers   = "members"   // value: promotion.Members, which servers may have acknowledged commits of the group; name: the group
	KindEpoch     = "epoch"     // value: primacy/run.settledEpoch, the last epoch whose designations are complete
	KindVMs       = "vms"       // on the users' platform, entries of VMs (topology.VM), written by the VMs, and NameEstablished
	KindHistory   = "history"   // value: operate.History, past changes of a catalogue entry; name: the entry
)

// Paths of the API. Objects are at PathObjects + kind + "/" + name.
//
//	GET    /v1/objects/{kind}                      ObjectList
//	GET    /v1/objects/{kind}/{name}               Object, or 404
//	PUT    /v1/objects/{kind}/{name}               body PutRequest; Object, or 409 with the current Object (zero if it does not exist)
//	DELETE /v1/objects/{kind}/{name}?ifVersion=N   Object, or 409
//	GET    /v1/watch?since=REV&waitMs=N&kinds=A,B  WatchResponse, or 410 if REV is compacted; without kinds: every kind
//	GET    /v1/vms                                 VMList, possibly stale
const (
	PathObjects = "/v1/objects/"
	PathWatch   = "/v1/watch"
	PathVMs     = "/v1/vms"
)

// MaxValueBytes is the maximum size of an object's value.
const MaxValueBytes = 1 << 20

// Object is a versioned object. Version is the store's revision at the object's
// last change, so versions are ordered across all objects of a kind. On the users'
// platform, that of a catalogue entry is the version of the operator's configuration, and
// all others contain the store's epoch (see MakeVersion).
type Object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Deleted bool            `json:"deleted,omitempty"`
	Value   json.RawMessage `json:"value,omitempty"`
	WriteOrder
}

// WriteOrder orders the values that one writer gives an object, independently of the
// store. The zero value means that the order is unknown.
type WriteOrder struct {
	Started uint64 `json:"-" msgpack:"ws,omitempty"` // start of the writer, in Unix milliseconds
	Count   uint64 `json:"-" msgpack:"wc,omitempty"` // writes since its start
}

// IsKnown reports whether the order is known.
func (w WriteOrder) IsKnown() bool { return w != WriteOrder{} }

// Compare returns a negative number if w is before o, zero if they are equal, and a
// positive number if w is after o.
func (w WriteOrder) Compare(o WriteOrder) int {
	return cmp.Or(cmp.Compare(w.Started, o.Started), cmp.Compare(w.Count, o.Count))
}

// ObjectList holds all objects of a kind at a store revision.
type ObjectList struct {
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
}

// PutRequest is the body of a conditional update. IfVersion 0 creates the object.
type PutRequest struct {
	IfVersion uint64          `json:"ifVersion"`
	Value     json.RawMessage `json:"value"`
}

// WatchResponse lists the objects changed after the requested revision, oldest first.
// It is empty when the wait ended without a change. Revision is where the next watch
// continues.
type WatchResponse struct {
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
	// Ranges holds, by kind, the range of revisions whose changes Objects contains, for
	// stores that watch each kind on its own. A kind that was answered without a change may
	// have an empty range. If it is nil, the range of every kind is that from the requested
	// revision to Revision.
	Ranges map[string]RevisionRange `json:"-"`
	// AnsweredAt holds, by kind, when the store answered, on CLOCK_BOOTTIME: an answer may have
	// been kept for some time. A kind that it lacks was answered just now.
	AnsweredAt map[string]time.Duration `json:"-"`
}

// RevisionRange is a range of revisions, without Since and with Revision.
type RevisionRange struct {
	Since, Revision uint64
	Full            bool // the response has every object of the kind as of Revision, like a list
}

// Range returns the range of a kind's changes in a response to a watch since a revision.
// It is empty if the response does not cover the kind.
func (r WatchResponse) Range(kind string, since uint64) RevisionRange {
	if r.Ranges == nil {
		return RevisionRange{Since: since, Revision: r.Revision}
	}
	return r.Ranges[kind]
}

// Answers reports whether the store has answered for a kind, with or without a change.
func (r WatchResponse) Answers(kind string) bool {
	if r.Ranges == nil {
		return true
	}
	_, answered := r.Ranges[kind]
	return answered
}

// NameEstablished is the name of the object of kind KindVMs that records which VMs have been
// listed for long (primacy.EstablishedRecord). It is there so that it is read with the list.
const NameEstablished = "established-vms"

// VMList is the platform's list of entry VMs. It may be stale.
type VMList struct {
	Revision uint64        `json:"revision"`
	VMs      []topology.VM `json:"vms"`
	// Registrations identify the creation of the VMs' entries, by VM ID, on the users'
	// platform. Entries of earlier versions have none.
	Registrations map[string]string `json:"-"`
	Established   Object            `json:"-"` // NameEstablished; zero if there is none
}

// Store is the object API. It returns *ConflictError, *NotFoundError,
// *CompactedError, *RejectedError, or *UnavailableError when the outcome is unknown
// and the call may have taken effect.
type Store interface {
	Get(ctx context.Context, kind, name string) (Object, error)
	List(ctx context.Context, kind string) (ObjectList, error)
	Put(ctx context.Context, kind, name string, ifVersion uint64, value []byte) (Object, error)
	Delete(ctx context.Context, kind, name string, ifVersion uint64) (Object, error)
	// Watch waits up to wait for changes of the given kinds after a revision. A store that
	// watches each kind from its last list returns *NotListedError for a kind without one.
	Watch(ctx context.Context, kinds []string, since uint64, wait time.Duration) (WatchResponse, error)
	VMs(ctx context.Context) (VMList, error)
	// Probe checks whether the store responds, with the call of the least cost.
	Probe(ctx context.Context) error
}
