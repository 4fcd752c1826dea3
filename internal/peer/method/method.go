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
	Release     = "release"      // authority: a holder gives up (database, term)
)
