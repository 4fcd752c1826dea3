package control

import (
	"bytes"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"egretroad/internal/platform"
	"egretroad/internal/topology"
)

// Status is the replicated membership status of a VM. Within one incarnation it
// only increases.
type Status uint8

// Statuses of a member, in the order in which they supersede each other.
const (
	StatusAlive   Status = 0
	StatusLeaving Status = 1 // shutting down: finishes its work, takes no new homes
	StatusDead    Status = 2
)

func (s Status) String() string {
	switch s {
	case StatusAlive:
		return "alive"
	case StatusLeaving:
		return "leaving"
	default:
		return "dead"
	}
}

// Record is the replicated membership record of one VM. Of two records of a VM the
// one with the higher incarnation wins, then the one with the higher status.
type Record struct {
	ID          string       `msgpack:"i"`
	Incarnation uint64       `msgpack:"n"` // increases when the VM starts or rejoins; 0: known from the platform's list only
	Status      Status       `msgpack:"s"`
	VM          *topology.VM `msgpack:"v,omitempty"` // addresses; omitted for a VM of the platform's list
}

// supersedes reports whether the record replaces another record of the same VM.
func (r Record) supersedes(o Record) bool {
	if r.Incarnation != o.Incarnation {
		return r.Incarnation > o.Incarnation
	}
	return r.Status > o.Status
}

// SilenceReport states that the sender has received nothing from an incarnation of a
// VM for longer than the silence limit.
type SilenceReport struct {
	ID          string `msgpack:"i"`
	Incarnation uint64 `msgpack:"n"`
}

// Heartbeat is the body of method.Heartbeat. It carries digests for anti-entropy and
// piggybacks membership changes.
type Heartbeat struct {
	Incarnation uint64          `msgpack:"n"`
	Complete    Completeness    `msgpack:"k"`           // of the sender
	Objects     uint64          `msgpack:"o,omitempty"` // digest of the platform objects
	Members     uint64          `msgpack:"m,omitempty"` // digest of the member records
	Probe       bool            `msgpack:"p,omitempty"` // requests a heartbeat in reply
	Records     []Record        `msgpack:"r,omitempty"` // changed member records
	Silent      []SilenceReport `msgpack:"q,omitempty"` // VMs that exceeded the sender's silence limit
	Watching    bool            `msgpack:"w,omitempty"` // the sender watches the store for its data centre
	WatchAge    time.Duration   `msgpack:"a,omitempty"` // if Watching: time since the store last responded to its watch
}

// ObjectRecord is one platform object as replicated between VMs. A record of a server has
// the order of its last write.
type ObjectRecord struct {
	Kind    string `msgpack:"k"`
	Name    string `msgpack:"n"`
	Version uint64 `msgpack:"v"`
	Deleted bool   `msgpack:"d,omitempty"`
	Value   []byte `msgpack:"b,omitempty"` // JSON
	platform.WriteOrder
	// LastValidVersion and LastValid hold the last valid version and its value if
	// Value is not valid.
	LastValidVersion uint64 `msgpack:"gv,omitempty"`
	LastValid        []byte `msgpack:"g,omitempty"`
}

// supersedes reports whether a record replaces another one of its object. Between epochs of
// the store the order of the writer comes before the version: when the store has returned
// from an older copy, a later version may hold an older value until the writer has written
// again. Within an epoch the version decides, whatever another writer put into an entry.
func (r ObjectRecord) supersedes(o ObjectRecord) bool {
	sameEpoch := platform.EpochOf(r.Version) == platform.EpochOf(o.Version)
	if !sameEpoch && r.IsKnown() && o.IsKnown() && r.WriteOrder != o.WriteOrder {
		return r.Compare(o.WriteOrder) > 0
	}
	return r.Version > o.Version
}

// isSameWrite reports whether two records of an object hold the value of the same write.
func (r ObjectRecord) isSameWrite(o ObjectRecord) bool {
	return r.IsKnown() && r.WriteOrder == o.WriteOrder && !r.Deleted && !o.Deleted && bytes.Equal(r.Value, o.Value)
}

// Completeness holds, by kind, the revision up to which a VM knows every change; 0 if it
// knows none, or if there was none when the store listed the kind. Each kind has a revision
// of its own, because a message with all changes of one kind may lack those of the other.
type Completeness struct {
	Catalogue uint64 `msgpack:"c" json:"catalogue"`
	Groups    uint64 `msgpack:"g" json:"groups"` // groups, or the registrations from which they are built
}

// of returns the entry of a kind; nil if the kind has none.
func (c *Completeness) of(kind string) *uint64 {
	switch kind {
	case platform.KindCatalogue:
		return &c.Catalogue
	case platform.KindGroup, platform.KindServer:
		return &c.Groups
	default:
		return nil
	}
}

// lowest returns the revision up to which every change of every kind is known.
func (c Completeness) lowest() uint64 { return min(c.Catalogue, c.Groups) }

// ObjectUpdate is the body of method.Objects. A receiver that knows every object of Kind
// up to revision Since knows every one up to Revision after merging the update. Without a
// Kind, the update states nothing about other objects than those that it contains.
type ObjectUpdate struct {
	Kind     string         `msgpack:"k,omitempty"`
	Since    uint64         `msgpack:"f,omitempty"`
	Revision uint64         `msgpack:"t,omitempty"`
	Objects  []ObjectRecord `msgpack:"o"`
}

// FetchRequest is the body of method.Fetch: the requester's digest of each object
// bucket. The reply holds the buckets that differ, or all without digests.
type FetchRequest struct {
	Objects []uint64 `msgpack:"o,omitempty"`
	Members uint64   `msgpack:"m,omitempty"`
}

// FetchReply holds the objects and members that differ from the requester's digests.
// Objects holds every object of the buckets in Buckets that its sender knows; those of an
// earlier version do not tell Buckets.
type FetchReply struct {
	Complete Completeness   `msgpack:"k"` // of the sender; zero if more buckets differ
	Buckets  bucketSet      `msgpack:"b,omitempty"`
	Objects  []ObjectRecord `msgpack:"o,omitempty"`
	// Later holds the entries that belong to later documents than Complete, whatever their buckets.
	Later   []ObjectRecord `msgpack:"l,omitempty"`
	Members []Record       `msgpack:"m,omitempty"`
}

// StatusReport is the body of method.Status. A VM sends it to the watcher of its
// data centre to report the revision that is in force on it.
type StatusReport struct {
	Revision uint64   `msgpack:"r"`
	Invalid  []string `msgpack:"i,omitempty"` // kind/name@version of objects rejected as invalid
}

// MessageError reports a peer's message that cannot be decoded.
type MessageError struct {
	Method string
	Cause  error
}

func (e *MessageError) Error() string {
	return fmt.Sprintf("message of method %s cannot be decoded: %v", e.Method, e.Cause)
}

// Unwrap returns the cause.
func (e *MessageError) Unwrap() error { return e.Cause }

// encode returns the msgpack encoding of a message of this package.
func encode(message any) []byte {
	b, err := msgpack.Marshal(message)
	if err != nil {
		// The messages hold only types that msgpack can encode.
		panic(&MessageError{Method: fmt.Sprintf("%T", message), Cause: err})
	}
	return b
}

// decode decodes the msgpack body of a message.
func decode(method string, body []byte, message any) error {
	if err := msgpack.Unmarshal(body, message); err != nil {
		return &MessageError{Method: method, Cause: err}
	}
	return nil
}
