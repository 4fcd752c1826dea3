package routing

import (
	"time"

	"egretroad/internal/catalogue"
	"egretroad/internal/outcome"
	"egretroad/internal/topology"
)

// Choose returns the server for a request from the VM self. Errors are
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
		return Decision{}, noPrimaryError(g)
	}
	if r.excluded(s.ID) {
		return Decision{}, &outcome.NotRunError{Reason: outcome.ReasonNoPrimary, Detail: "the primary of " + g.Database + " refused the request"}
	}
	return Decision{Server: s, Primary: true, Term: g.Term}, nil
}

// usablePrimary returns the primary unless a promotion is in progress. A leaving
// primary stays usable: no other server can take its writes until a promotion
// replaces it.
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

func noPrimaryError(g *topology.Group) error {
	return &outcome.NotRunError{Reason: outcome.ReasonNoPrimary, Detail: "database " + g.Database + " has no primary at the moment"}
}

// candidate is a server with the expected delay of a read on it.
type candidate struct {
	decision      Decision
	expectedDelay time.Duration
}

// chooseRead returns the server with the least expected delay. Replicas outside the
// rotation are probed from time to time, and are used when no other server is left.
func (t *Table) chooseRead(g *topology.Group, self topology.VM, r Request, now time.Duration) (Decision, error) {
	var best, fallback *candidate
	for _, s := range g.Servers {
		if r.excluded(s.ID) {
			continue
		}
		c, preferred := t.evaluate(g, self, s, r, now)
		if !preferred {
			fallback = fasterOf(fallback, c)
			continue
		}
		if c.decision.Probe {
			return c.decision, nil
		}
		best = fasterOf(best, c)
	}
	if best == nil {
		best = fallback
	}
	if best == nil {
		return Decision{}, &outcome.NotRunError{Reason: outcome.ReasonNoServer, Detail: "no server of database " + g.Database + " can serve the read"}
	}
	return best.decision, nil
}

// fasterOf returns the candidate with the lower expected delay. Either may be nil.
func fasterOf(a, b *candidate) *candidate {
	if a == nil || (b != nil && b.expectedDelay < a.expectedDelay) {
		return b
	}
	return a
}

// evaluate returns the server as a candidate, and true if it is a regular choice. If it
// returns false, the candidate is a last resort, or nil if the server must not be used.
func (t *Table) evaluate(g *topology.Group, self topology.VM, s topology.Server, r Request, now time.Duration) (*candidate, bool) {
	delay := t.networkDelay(self, s)
	view := t.serverView(s.ID)
	if isPrimary(g, s.ID) {
		return t.evaluatePrimary(g, s, view, delay, now)
	}
	if s.State == topology.ServerLeaving {
		return nil, false
	}
	estimate, withinLimit := t.estimateMarkWait(view, r, now)
	c := &candidate{
		decision:      Decision{Server: s, Term: g.Term, MarkWait: estimate.limit},
		expectedDelay: delay + estimate.expected,
	}
	switch {
	case now < view.AvoidUntil:
		return c, false
	case view.Out && !t.withinMaxAge(view, r, now):
		if t.admitProbe(view, now) {
			c.decision.Probe = true
			c.decision.MarkWait = 0
			return c, true
		}
		return c, false
	case !withinLimit:
		return c, false
	case s.State == topology.ServerJoining && !t.admitJoining(view, now):
		return c, false
	}
	return c, true
}

// evaluatePrimary evaluates the primary for a read. Its extra delay makes reads prefer
// replicas that can serve them.
func (t *Table) evaluatePrimary(g *topology.Group, s topology.Server, view *ServerView, delay, now time.Duration) (*candidate, bool) {
	if _, ok := usablePrimary(g); !ok {
		return nil, false
	}
	c := &candidate{decision: Decision{Server: s, Primary: true, Term: g.Term}, expectedDelay: delay + t.options.PrimaryPenalty}
	if s.State == topology.ServerLeaving {
		// Reads prefer any other server that can serve them.
		c.expectedDelay += t.options.MaxMarkWait
	}
	return c, now >= view.AvoidUntil
}

// markWait is the expected time until a replica covers a request's mark, and the limit
// on waiting for it.
type markWait struct {
	expected time.Duration
	limit    time.Duration
}

// estimateMarkWait estimates how long the replica needs to cover the mark: it applies a
// write made at MarkTime no later than MarkTime plus its lag. It returns false if the
// expected wait exceeds MaxMarkWait.
func (t *Table) estimateMarkWait(view *ServerView, r Request, now time.Duration) (markWait, bool) {
	if r.Mark.IsZero() || t.withinMaxAge(view, r, now) {
		return markWait{limit: t.options.UnknownLagWait}, true
	}
	lag, known := t.freshLag(view, now)
	if !known {
		return markWait{expected: 0, limit: t.options.UnknownLagWait}, true
	}
	if view.Status.Covers(r.Mark) {
		return markWait{limit: t.options.UnknownLagWait}, true
	}
	expected := max(0, r.MarkTime+lag-now)
	if expected > t.options.MaxMarkWait {
		return markWait{expected: expected, limit: t.options.MaxMarkWait}, false
	}
	allowed := min(2*expected+t.options.UnknownLagWait, t.options.MaxMarkWait)
	return markWait{expected: expected, limit: allowed}, true
}

// withinMaxAge reports whether the replica's last known staleness is within the
// read's MaxAge. The server's home checks the staleness again before the read runs.
func (t *Table) withinMaxAge(view *ServerView, r Request, now time.Duration) bool {
	if r.MaxAge <= 0 {
		return false
	}
	lag, known := t.freshLag(view, now)
	return known && lag <= r.MaxAge
}

// networkDelay returns the expected network delay to a server, by its location.
func (t *Table) networkDelay(self topology.VM, s topology.Server) time.Duration {
	switch {
	case s.DataCentre == self.DataCentre:
		return 0
	case s.Region == self.Region:
		return t.options.DataCentreDelay
	default:
		return t.options.RegionDelay
	}
}
