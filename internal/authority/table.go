package authority

import (
	"time"

	"egretroad/internal/topology"
)

// Table is the immutable view that traffic goroutines check writes against.
type Table struct {
	Leases map[string]Holding  // by database
	Groups map[string]Electors // by database
}

// Holding is a lease of this VM.
type Holding struct {
	Term  uint64
	Until time.Duration // on this VM's CLOCK_BOOTTIME; not valid at or after it
}

// Electors are the servers that can confirm a database's writes by replication.
type Electors struct {
	Term      uint64 // of the group object
	Servers   []string
	Needed    int               // servers besides the primary that make a majority with it
	Primaries map[uint64]string // primary by term, for the last terms
}

// Candidates lists the servers other than the primary of the term. It returns
// nothing when that primary is not known: it could be taken for a replica.
func (e Electors) Candidates(term uint64) []string {
	primary, known := e.Primaries[term]
	if !known {
		return nil
	}
	return without(e.Servers, primary)
}

// Held reports whether a lease on (database, term) is live at now.
func (t *Table) Held(database string, term uint64, now time.Duration) bool {
	h, ok := t.Leases[database]
	return ok && h.Term == term && now < h.Until
}

// majority returns the smallest number of servers that is more than half.
func majority(servers int) int { return servers/2 + 1 }

// keptPrimaries is the number of terms whose primaries are remembered.
const keptPrimaries = 8

// electors returns the servers of a group that can confirm its writes. before is
// what was known of the group earlier.
func electors(g *topology.Group, before Electors) Electors {
	e := Electors{Term: g.Term, Needed: max(1, majority(len(g.Servers))-1), Primaries: map[uint64]string{}}
	for _, s := range g.Servers {
		e.Servers = append(e.Servers, s.ID)
	}
	for term, server := range before.Primaries {
		if term+keptPrimaries > g.Term {
			e.Primaries[term] = server
		}
	}
	switch {
	case g.Primary != "":
		e.Primaries[g.Term] = g.Primary
	case g.Promotion != nil && g.Promotion.From != "":
		e.Primaries[g.Promotion.FromTerm] = g.Promotion.From
	}
	return e
}
