package control

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"egretroad/internal/topology"
)

// Status is the state of a member as the fleet agrees on it. Within one
// incarnation it only rises.
type Status uint8

// Statuses of a member.
const (
	StatusAlive   Status = 0
	StatusLeaving Status = 1 // said farewell: serves what it has, takes no new home
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

// Record is what VMs tell each other of one VM. Of two records of a VM the one
// with the higher incarnation wins, then the one with the higher status.
type Record struct {
	ID          string       `msgpack:"i"`
	Incarnation uint64       `msgpack:"n"` // rises when the VM starts or returns; 0: never heard of
	Status      Status       `msgpack:"s"`
	VM          *topology.VM `msgpack:"v,omitempty"` // addresses; omitted for a VM of the platform's list
}

// after reports whether the record replaces another of the same VM.
func (r Record) supersedes(o Record) bool {
	if r.Incarnation != o.Incarnation {
		return r.Incarnation > o.Incarnation
	}
	return r.Status > o.Status
}

// Silence reports that the sender has not heard a VM's incarnation for the
// silence limit.
type SilenceReport struct {
	ID          string `msgpack:"i"`
	Incarnation uint64 `msgpack:"n"`
}

// Heartbeat is the body of method.Heartbeat.
type Heartbeat struct {
	Incarnation uint64    `msgpack:"n"`
	Complete    uint64    `msgpack:"c,omitempty"` // revision up to which the sender has every object
	Objects     uint64    `msgpack:"o,omitempty"` // digest of the objects
	Members     uint64    `msgpack:"m,omitempty"` // digest of the member records
	Probe       bool      `msgpack:"p,omitempty"` // asks for a heartbeat in return
	Records     []Record  `msgpack:"r,omitempty"` // news of members
	Silent      []SilenceReport `msgpack:"q,omitempty"` // VMs that the sender no longer hears
}

// ObjectRecord is one platform object on the way between VMs.
type ObjectRecord struct {
	Kind    string `msgpack:"k"`
	Name    string `msgpack:"n"`
	Version uint64 `msgpack:"v"`
	Deleted bool   `msgpack:"d,omitempty"`
	Value   []byte `msgpack:"b,omitempty"` // JSON
	// GoodVersion and Good are the last valid value, when Value is not valid.
	LastValidVersion uint64 `msgpack:"gv,omitempty"`
	LastValid        []byte `msgpack:"g,omitempty"`
}

// ObjectNews is the body of method.Objects. A receiver that was complete up
// to Since is then complete up to Revision.
type ObjectUpdate struct {
	Since    uint64         `msgpack:"s"`
	Revision uint64         `msgpack:"r"`
	Objects  []ObjectRecord `msgpack:"o"`
}

// FetchRequest is the body of method.Fetch: the digests of the asker's
// buckets. The answer holds the buckets that differ; without digests, all.
type FetchRequest struct {
	Objects []uint64 `msgpack:"o,omitempty"`
	Members uint64   `msgpack:"m,omitempty"`
}

// FetchReply is a peer's copy of what the asker lacks.
type FetchReply struct {
	Complete uint64         `msgpack:"c"`
	Objects  []ObjectRecord `msgpack:"o,omitempty"`
	Members  []Record       `msgpack:"m,omitempty"`
}

// Report is the body of method.Status: a VM tells the watcher of its data
// centre which revision is in force on it.
type StatusReport struct {
	Revision uint64   `msgpack:"r"`
	Invalid  []string `msgpack:"i,omitempty"` // kind/name@version of objects that it refused
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

// encode returns the msgpack form of a message of this package.
func encode(message any) []byte {
	b, err := msgpack.Marshal(message)
	if err != nil {
		// The messages hold only types that msgpack can encode.
		panic(&MessageError{Method: fmt.Sprintf("%T", message), Cause: err})
	}
	return b
}

// decode reads a message of a method.
func decode(method string, body []byte, message any) error {
	if err := msgpack.Unmarshal(body, message); err != nil {
		return &MessageError{Method: method, Cause: err}
	}
	return nil
}
