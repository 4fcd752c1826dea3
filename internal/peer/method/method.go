// Package method lists the names of the calls and one-way messages between proxies.
// The packages that serve a method define its message types.
package method

// Methods of unary calls and one-way messages. Each comment names the package that
// defines the body and registers the handler.
const (
	Position          = "position"     // dispatch
	WaitApplied       = "wait_applied" // dispatch
	Admin             = "admin"        // dispatch
	Cancel            = "cancel"       // gateway: a cancel request received by another VM than the session's
	Heartbeat         = "heartbeat"    // control: one-way
	Objects           = "objects"      // control: one-way, relayed platform objects
	Fetch             = "fetch"        // control: the peer's copy of all platform objects
	Status            = "status"       // control: configuration version in force, for apply --wait
	Evidence          = "evidence"     // authority: one-way, server health as observed by a home
	LeaseRequest      = "lease_ask"    // authority: homes request leases from the data centre's delegate
	Statement         = "statement"    // broker: one statement of a session
	LaneRelease       = "lane_release" // broker: one-way, a session releases a lane
	Proof             = "proof"        // broker: a proven log position of the primary
	ReplicationStatus = "standing"     // broker: replication status as reported by a server
	Leave             = "leave"        // broker: for how long a server has been leaving
	PrimaryClaim      = "lead"         // control: one-way, a VM has observed that a server is the primary of its group
	Reach             = "reach"        // promotion: checks whether a VM reaches a server
	Designations      = "designations" // primacy: the designated primaries that a VM knows
	Acknowledge       = "acknowledge"  // promotion: a VM stops using any other primary of a group than the designated one
	StepDown          = "step_down"    // promotion: a VM tells a replaced primary to become a replica
	Claim             = "claim"        // promotion: writes a claim for a VM that cannot reach the store
	ReadRecord        = "record"       // promotion: reads a record of a group for a VM that cannot reach the store
	WriteRecord       = "record_put"   // promotion: writes a record of a group for a VM that cannot reach the store
	Release           = "release"      // authority: a lease holder releases (database, term)
)

// MayRepeat reports whether a one-way message may arrive late or twice: its effect does not
// depend on when it arrives. The others state what held when they were sent.
func MayRepeat(name string) bool {
	return name == Objects || name == PrimaryClaim || name == LaneRelease
}
