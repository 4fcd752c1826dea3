package topology

// Designation is the recorded choice of a group's primary. Each promotion records a new
// one before it calls the platform; the one with the highest token is in force.
type Designation struct {
	Server string `msgpack:"s"` // server ID; empty: the record names none
	Holder string `msgpack:"h"` // VM that made the choice and promotes the server
	Token  uint64 `msgpack:"t"` // version of the claim, also the fencing token of the promotion
}

// Supersedes reports whether the designation is newer than another one of its group. Two
// claims of one group share a token only if one of them was lost with the store's data and
// its revision was given out again; all VMs then prefer the same one.
func (d Designation) Supersedes(o Designation) bool {
	return d.Token > o.Token || d.Token == o.Token && d.Holder > o.Holder
}
