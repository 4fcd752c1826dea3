package authority

import (
	"time"

	"egretroad/internal/topology"
)

// LeaseTable is an immutable snapshot that request goroutines use to decide
// whether a write may be acknowledged.
type LeaseTable struct {
	Leases  map[string]HeldLease   // by database
	Quorums map[string]WriteQuorum // by database
}

// HeldLease is a lease that this VM holds.
type HeldLease struct {
	Term      uint64
	ExpiresAt time.Duration // exclusive, on this VM's CLOCK_BOOTTIME
}

// WriteQuorum describes the servers that can confirm a database's writes by
// replication.
type WriteQuorum struct {
	Term          uint64 // of the group object
	Servers       []string
	Required      int               // replicas that form a majority together with the primary
	PrimaryByTerm map[uint64]string // primaries of the most recent terms
}

// ReplicasInTerm lists the servers other than the primary of the term. It returns
// nil when that primary is unknown, because the primary could otherwise be counted
// as a replica.
func (q WriteQuorum) ReplicasInTerm(term uint64) []string {
	primary, known := q.PrimaryByTerm[term]
	if !known {
		return nil
	}
	return exclude(q.Servers, primary)
}

// HoldsLease reports whether a lease on (database, term) is valid at now.
func (t *LeaseTable) HoldsLease(database string, term uint64, now time.Duration) bool {
	lease, ok := t.Leases[database]
	return ok && lease.Term == term && now < lease.ExpiresAt
}

// majority returns the size of the smallest majority of the servers.
func majority(servers int) int { return servers/2 + 1 }

// maxPrimaryTerms is the number of terms for which WriteQuorum keeps the primary.
const maxPrimaryTerms = 8

// newWriteQuorum returns the write quorum of a group. It carries over the primaries
// of recent terms from previous.
func newWriteQuorum(g *topology.Group, previous WriteQuorum) WriteQuorum {
	q := WriteQuorum{Term: g.Term, Required: max(1, majority(len(g.Servers))-1), PrimaryByTerm: map[uint64]string{}}
	for _, s := range g.Servers {
		q.Servers = append(q.Servers, s.ID)
	}
	for term, server := range previous.PrimaryByTerm {
		if term+maxPrimaryTerms > g.Term {
			q.PrimaryByTerm[term] = server
		}
	}
	switch {
	case g.Primary != "":
		q.PrimaryByTerm[g.Term] = g.Primary
	case g.Promotion != nil && g.Promotion.From != "":
		q.PrimaryByTerm[g.Promotion.FromTerm] = g.Promotion.From
	}
	return q
}
