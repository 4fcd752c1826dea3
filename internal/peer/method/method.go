// Package method names the calls and one-way messages between proxies.
package method

// Methods of unary calls and one-way messages. The package named in a comment
// defines the body and registers the handler.
const (
	Position    = "position"     // dispatch
	WaitApplied = "wait_applied" // dispatch
	Admin       = "admin"        // dispatch
	Cancel      = "cancel"       // gateway: a cancel request that landed elsewhere
	Heartbeat   = "heartbeat"    // control: one-way
	Objects     = "objects"      // control: one-way, relayed platform objects
	Fetch       = "fetch"        // control: a peer's copy of all objects
	Status      = "status"       // control: version in force, for apply --wait
	Evidence    = "evidence"     // authority: one-way, server health as a home sees it
	LeaseAsk    = "lease_ask"    // authority: homes ask the data centre's delegate
	Statement   = "statement"    // broker: one statement of a session
	LaneRelease = "lane_release" // broker: one-way, a session has no further use for a lane
	Proof       = "proof"        // broker: a position of the leading server
	Standing    = "standing"     // broker: a server's own account of its place
	Lead        = "lead"         // control: one-way, a server that leads its group by a VM's own account
	Reach       = "reach"        // promotion: whether a VM reaches a server
	Release     = "release"      // authority: a holder gives up (database, term)
)
