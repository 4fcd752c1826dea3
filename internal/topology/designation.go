package topology

// Designation is the recorded choice of a group's primary. Each promotion records a new
// one before it calls the platform; the one with the highest token is in force.
type Designation struct {
	Server string `msgpack:"s"` // server ID; empty: the record names none
	Holder string `msgpack:"h"` // VM that made the choice and promotes the server
	Token  uint64 `msgpack:"t"` // version of the claim, also the fencing token of the promotion
	// Term is the term that the promotion begins, or a lower one; 0: unknown. Received is the
	// end of the server's log at its election: the promotion rolls back what other servers
	// have received beyond it.
	Term     uint64 `msgpack:"n,omitempty"`
	Received Mark   `msgpack:"l"`
	// CallsEnded is set once no call to the platform for this promotion can take effect any
	// more: each has been answered or has passed its time limit.
	CallsEnded bool `msgpack:"e,omitempty"`
}

// Same reports whether both designations record the same choice.
func (d Designation) Same(o Designation) bool {
	return d.Server == o.Server && d.Holder == o.Holder && d.Token == o.Token
}

// Discards reports whether the promotion that the designation records has rolled back a part
// of the log that another server has received up to a position, or may have.
func (d Designation) Discards(received Mark) bool {
	if d.Term == 0 || received.Term >= d.Term {
		return false
	}
	return received.Term != d.Received.Term || received.Position > d.Received.Position
}

// Supersedes reports whether the designation is newer than another one of its group. Two
// claims of one group share a token only if one of them was lost with the store's data and
// its revision was given out again; all VMs then prefer the same one. A designation whose
// calls have ended supersedes itself without this mark.
func (d Designation) Supersedes(o Designation) bool {
	if d.Same(o) {
		return d.CallsEnded && !o.CallsEnded
	}
	return d.Token > o.Token || d.Token == o.Token && d.Holder > o.Holder
}
