// Package platform is the contract of the platform's object API: JSON over HTTP
// with versions, conditional updates and long-poll watches. Package objectclient
// is its client.
package platform

import (
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
	KindStatus    = "status"    // value: status of a data centre, for operators; name: the data centre
	KindServer    = "server"    // value: topology.Registration, written by the server itself; name: the server's ID
	KindDuty      = "duty"      // value: promotion.Duty, who may promote servers of a group; name: the group
	KindHistory   = "history"   // value: operate.History, the changes of one catalogue entry; name: the entry
)

// Paths of the API. Objects are at PathObjects + kind + "/" + name.
//
//	GET    /v1/objects/{kind}                      ObjectList
//	GET    /v1/objects/{kind}/{name}               Object, or 404
//	PUT    /v1/objects/{kind}/{name}               body PutRequest; Object, or 409 with the current Object (a zero Object when it does not exist)
//	DELETE /v1/objects/{kind}/{name}?ifVersion=N   Object, or 409
//	GET    /v1/watch?since=REV&waitMs=N&kinds=A,B  WatchReply, or 410 when REV is no longer kept; without kinds: every kind
//	GET    /v1/vms                                 VMList, which lags
const (
	PathObjects = "/v1/objects/"
	PathWatch   = "/v1/watch"
	PathVMs     = "/v1/vms"
)

// MaxValueBytes is the largest value of an object.
const MaxValueBytes = 1 << 20

// Object is one versioned object. Version is the store's revision at the
// object's last change, so it rises over all objects.
type Object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Deleted bool            `json:"deleted,omitempty"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// ObjectList is the list of a kind at a revision.
type ObjectList struct {
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
}

// PutRequest is a conditional update. IfVersion 0 creates the object.
type PutRequest struct {
	IfVersion uint64          `json:"ifVersion"`
	Value     json.RawMessage `json:"value"`
}

// WatchReply lists the objects changed after the given revision, oldest first;
// it is empty when the wait ended without a change.
type WatchReply struct {
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
}

// VMList is the platform's lagging list of entry VMs.
type VMList struct {
	Revision uint64        `json:"revision"`
	VMs      []topology.VM `json:"vms"`
}

// Store is the object API. Errors are *ConflictError, *NotFoundError,
// *CompactedError, *UnavailableError (the call may have taken effect) and
// *RejectedError.
type Store interface {
	Get(ctx context.Context, kind, name string) (Object, error)
	List(ctx context.Context, kind string) (ObjectList, error)
	Put(ctx context.Context, kind, name string, ifVersion uint64, value []byte) (Object, error)
	Delete(ctx context.Context, kind, name string, ifVersion uint64) (Object, error)
	Watch(ctx context.Context, since uint64, wait time.Duration) (WatchReply, error)
	VMs(ctx context.Context) (VMList, error)
}
