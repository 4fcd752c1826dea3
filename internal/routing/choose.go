package routing

import (
	"time"

	"egretroad/internal/catalogue"
	"egretroad/internal/outcome"
	"egretroad/internal/topology"
)

// Choose returns the server for a request. self is the VM that asks. Errors are
// *outcome.NotRunError with reason no_primary or no_server.
func (t *Table) Choose(g *topology.Group, self topology.VM, r Request, now time.Duration) (Decision, error) {
	if r.Access == catalogue.AccessRead {
		return t.chooseRead(g, self, r, now)
	}
	return choosePrimary(g, r)
}

// choosePrimary returns the group's primary for a write.
func choosePrimary(g *topology.Group, r Request) (Decision, error) {
	s, ok := usablePrimary(g)
	if !ok {
		return Decision{}, noPrimary(g)
	}
	if r.excluded(s.ID) {
		return Decision{}, &outcome.NotRunError{Reason: outcome.ReasonNoPrimary, Detail: "the primary of " + g.Database + " refused the request"}
	}
	return Decision{Server: s, Primary: true, Term: g.Term}, nil
}

// usablePrimary returns the primary unless a promotion is in progress. A
// leaving primary still serves: its writes have nowhere else to go until a
// promotion replaces it.
func usablePrimary(g *topology.Group) (topology.Server, bool) {
	if g.Promotion != nil || g.Primary == "" {
		return topology.Server{}, false
	}
	return g.Server(g.Primary)
}

// isPrimary reports whether the server is the primary, or was until the
// promotion in progress.
func isPrimary(g *topology.Group, id string) bool {
	return id == g.Primary || (g.Promotion != nil && id == g.Promotion.From)
}

func noPrimary(g *topology.Group) error {
	return &outcome.NotRunError{Reason: outcome.ReasonNoPrimary, Detail: "database " + g.Database + " has no primary at the moment"}
}

// candidate is a server with the delay that a read there is expected to take.
type candidate struct {
	decision Decision
	cost     time.Duration
}

// chooseRead returns the server with the least expected delay. Replicas outside
// the rotation are tried now and then, and whenever nothing else is left.
func (t *Table) chooseRead(g *topology.Group, self topology.VM, r Request, now time.Duration) (Decision, error) {
	var best, last *candidate
	for _, s := range g.Servers {
		if r.excluded(s.ID) {
			continue
		}
		c, ok := t.weigh(g, self, s, r, now)
		if !ok {
			last = cheaper(last, c)
			continue
		}
		if c.decision.Probe {
			return c.decision, nil
		}
		best = cheaper(best, c)
	}
	if best == nil {
		best = last
	}
	if best == nil {
		return Decision{}, &outcome.NotRunError{Reason: outcome.ReasonNoServer, Detail: "no server of database " + g.Database + " can serve the read"}
	}
	return best.decision, nil
}

func cheaper(a, b *candidate) *candidate {
	if a == nil || (b != nil && b.cost < a.cost) {
		return b
	}
	return a
}

// weigh returns the server as a candidate. It is false for a server that should
// only be used when no other is left; the candidate is then nil when the server
// must not be used at all.
func (t *Table) weigh(g *topology.Group, self topology.VM, s topology.Server, r Request, now time.Duration) (*candidate, bool) {
	cost := t.distance(self, s)
	learned := t.server(s.ID)
	if isPrimary(g, s.ID) {
		return t.weighPrimary(g, s, learned, cost, now)
	}
	if s.State == topology.ServerLeaving {
		return nil, false
	}
	wait, fits := t.markWait(learned, r, now)
	c := &candidate{
		decision: Decision{Server: s, Term: g.Term, MarkWait: wait.allowed},
		cost:     cost + wait.expected,
	}
	switch {
	case now < learned.AvoidUntil:
		return c, false
	case learned.Out && !t.fitsAge(learned, r, now):
		if t.admitProbe(learned, now) {
			c.decision.Probe = true
			c.decision.MarkWait = 0
			return c, true
		}
		return c, false
	case !fits:
		return c, false
	case s.State == topology.ServerJoining && !t.admitJoining(learned, now):
		return c, false
	}
	return c, true
}

// weighPrimary prices the primary, which serves reads that replicas cannot.
func (t *Table) weighPrimary(g *topology.Group, s topology.Server, learned *Server, cost, now time.Duration) (*candidate, bool) {
	if _, ok := usablePrimary(g); !ok {
		return nil, false
	}
	c := &candidate{decision: Decision{Server: s, Primary: true, Term: g.Term}, cost: cost + t.options.PrimaryCost}
	if s.State == topology.ServerLeaving {
		// Reads go elsewhere while another server can take them.
		c.cost += t.options.MaxMarkWait
	}
	return c, now >= learned.AvoidUntil
}

// wait is the time until a replica covers a request's mark.
type wait struct {
	expected time.Duration
	allowed  time.Duration
}

// markWait estimates how long the replica needs to cover the mark: it applies a
// write made at MarkTime by MarkTime plus its lag. It is false when the replica
// is expected to take longer than is allowed.
func (t *Table) markWait(s *Server, r Request, now time.Duration) (wait, bool) {
	if r.Mark.IsZero() || t.fitsAge(s, r, now) {
		return wait{allowed: t.options.UnknownWait}, true
	}
	lag, known := t.lag(s, now)
	if !known {
		return wait{expected: 0, allowed: t.options.UnknownWait}, true
	}
	if s.Status.Covers(r.Mark) {
		return wait{allowed: t.options.UnknownWait}, true
	}
	expected := max(0, r.MarkTime+lag-now)
	if expected > t.options.MaxMarkWait {
		return wait{expected: expected, allowed: t.options.MaxMarkWait}, false
	}
	allowed := min(2*expected+t.options.UnknownWait, t.options.MaxMarkWait)
	return wait{expected: expected, allowed: allowed}, true
}

// fitsAge reports whether the replica's last measured staleness lies within the
// age that the read accepts. The home measures it again before the read runs.
func (t *Table) fitsAge(s *Server, r Request, now time.Duration) bool {
	if r.MaxAge <= 0 {
		return false
	}
	lag, known := t.lag(s, now)
	return known && lag <= r.MaxAge
}

// distance is the expected delay to a server by its place.
func (t *Table) distance(self topology.VM, s topology.Server) time.Duration {
	switch {
	case s.DataCentre == self.DataCentre:
		return 0
	case s.Region == self.Region:
		return t.options.DataCentreCost
	default:
		return t.options.RegionCost
	}
}
