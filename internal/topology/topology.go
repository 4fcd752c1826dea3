// Package topology holds the immutable description of the fleet on which decisions are
// based: VMs, database groups, backend servers, marks (session consistency tokens) and
// the published Snapshot. The package performs no I/O and reads no clock.
package topology

import (
	"time"
)

// VMState is the state of an entry VM as the platform's VM list reports it.
type VMState string

// States of an entry VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is an entry VM, which runs one proxy process.
type VM struct {
	ID         string  `json:"id" msgpack:"id"`
	DataCentre string  `json:"dataCentre" msgpack:"dc"`
	Region     string  `json:"region" msgpack:"region"`
	PeerAddr   string  `json:"peerAddr" msgpack:"peer"`     // IP:port of the peer listener
	CallerAddr string  `json:"callerAddr" msgpack:"caller"` // IP:port of the PostgreSQL listener
	State      VMState `json:"state" msgpack:"state"`
}

// ServerState is the lifecycle state that the operator has set for a backend server.
type ServerState string

// States of a backend server.
const (
	ServerActive  ServerState = "active"
	ServerJoining ServerState = "joining"
	ServerLeaving ServerState = "leaving"
)

// Server is a backend server of a database group.
type Server struct {
	ID             string      `json:"id"` // unique in the fleet, e.g. "orders1-a"
	Addr           string      `json:"addr"`
	DataCentre     string      `json:"dataCentre"`
	Region         string      `json:"region"`
	State          ServerState `json:"state"`
	Slots          int         `json:"slots"`          // maximum number of concurrent statements
	MaxConnections int         `json:"maxConnections"` // maximum number of connections, including the admin connection
	// Born distinguishes starts of a server under the same ID. It is the start time in
	// Unix milliseconds; 0: not given.
	Born int64 `json:"born,omitempty"`
}

// Registration is the value of the platform object of kind "server", with which a
// server registers itself. The object is named after the server's ID.
type Registration struct {
	Server   Server `json:"server"`
	Database string `json:"database"` // the group
	Role     Role   `json:"role"`
}

// Group is the value of the platform object of kind "group": one database with its
// backend servers and its primary. Term, the epoch of the primary, increases with every
// promotion. During a promotion, Promotion is set, Term is the term being established
// and Primary is empty; Promotion.From names the primary of the previous term.
type Group struct {
	Database  string     `json:"database"`
	Term      uint64     `json:"term"`
	Primary   string     `json:"primary"` // server ID
	Servers   []Server   `json:"servers"`
	Promotion *Promotion `json:"promotion,omitempty"`
	// TermStarts lists the most recent terms, oldest first, with the log position at
	// which each began. LogTerm derives from it the term that a server's log has reached.
	TermStarts []TermStart `json:"termStarts,omitempty"`
	// Designation is the newest known choice of the primary, where servers register
	// themselves. While its server is not the primary yet, Primary is empty.
	Designation Designation `json:"-"`
}

// TermStart records the log position of a primary at its promotion.
type TermStart struct {
	Term     uint64 `json:"term"`
	Position uint64 `json:"position"`
}

// LogTerm returns the latest term whose log the server is known to have. A server that
// starts to follow a new primary reports the new term at once, but its log belongs to
// that term only from the term's start position on. LogTerm is 0 before any promotion.
func (g *Group) LogTerm(s ServerStatus) uint64 {
	var term uint64
	for _, start := range g.TermStarts {
		if start.Term <= s.Term && start.Position <= s.Position && start.Term > term {
			term = start.Term
		}
	}
	return term
}

// Promotion records the progress of a promotion, so that any proxy can resume it.
type Promotion struct {
	Coordinator string `json:"coordinator"` // VM ID
	Term        uint64 `json:"term"`        // the term being established
	Step        string `json:"step"`
	Reason      string `json:"reason"`
	From        string `json:"from,omitempty"`      // server ID of the replaced primary; empty: none
	FromTerm    uint64 `json:"fromTerm,omitempty"`  // term of the replaced primary
	Candidate   string `json:"candidate,omitempty"` // server ID
	Position    uint64 `json:"position,omitempty"`  // candidate's log position
}

// Server returns the server with the given ID.
func (g *Group) Server(id string) (Server, bool) {
	for _, s := range g.Servers {
		if s.ID == id {
			return s, true
		}
	}
	return Server{}, false
}

// Role is a backend server's replication role.
type Role string

// Roles of a backend server.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
	RoleFenced  Role = "fenced" // rejects work of terms below Fence and does not follow a primary yet
	RoleUnknown Role = ""
)

// ServerStatus is the observed status of one backend server. ObservedAt is on the
// observer's CLOCK_BOOTTIME and must not be compared between VMs.
type ServerStatus struct {
	Server     string        `json:"server" msgpack:"s"`
	Term       uint64        `json:"term" msgpack:"t"`
	Fence      uint64        `json:"fence" msgpack:"f"` // lowest term the server accepts
	Role       Role          `json:"role" msgpack:"r"`
	Position   uint64        `json:"position" msgpack:"p"` // last log position applied
	Lag        time.Duration `json:"lag" msgpack:"l"`      // replication lag; zero on a primary
	Reachable  bool          `json:"reachable" msgpack:"u"`
	ObservedAt time.Duration `json:"observedAt" msgpack:"o"`
	Dropped    uint64        `json:"dropped,omitempty" msgpack:"x,omitempty"` // bytes of log discarded; set by AdminFollow only
}

// Covers reports whether a read on a server with this status sees everything up to mark
// m. A server never covers a mark of a later term than its own.
func (s ServerStatus) Covers(m Mark) bool {
	if m.Term == 0 {
		return true
	}
	if s.Term < m.Term {
		return false
	}
	return s.Position >= m.Position
}
