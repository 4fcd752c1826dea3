package routing

import (
	"egretroad/internal/catalogue"
	"egretroad/internal/outcome"
	"egretroad/internal/topology"
)

// Step is what to do after a refusal.
type Step int

// Steps after a refusal.
const (
	// ReturnError returns the refusal to the caller.
	ReturnError Step = iota
	// TryOther sends the request to another server immediately.
	TryOther
	// WaitAndRetry waits for a topology change or a back-off, then retries with no
	// server excluded.
	WaitAndRetry
)

// After returns the step after the refusal of a request that provably did not run.
// untried reports whether a usable server that has not been tried is left.
func After(access catalogue.Access, reason outcome.Reason, untried bool) Step {
	switch reason {
	case outcome.ReasonBehind:
		if untried {
			return TryOther
		}
		return WaitAndRetry
	case outcome.ReasonQueueFull:
		// Another replica may have room in its queue. A retry here would only add load.
		if access == catalogue.AccessRead && untried {
			return TryOther
		}
		return ReturnError
	case outcome.ReasonNoPrimary, outcome.ReasonNoServer, outcome.ReasonNotHome, outcome.ReasonHomeLost,
		outcome.ReasonLeaving, outcome.ReasonShuttingDown, outcome.ReasonConnect, outcome.ReasonConnLost,
		outcome.ReasonReplaced, outcome.ReasonMarkUnknown, outcome.ReasonUnavailable:
		if access == catalogue.AccessRead && untried {
			return TryOther
		}
		return WaitAndRetry
	default:
		return ReturnError
	}
}

// Left reports whether an untried server is left that may serve the request.
func Left(g *topology.Group, r Request) bool {
	if s, ok := usablePrimary(g); ok && !r.excluded(s.ID) {
		return true
	}
	if r.Access != catalogue.AccessRead {
		return false
	}
	for _, s := range g.Servers {
		if !isPrimary(g, s.ID) && s.State != topology.ServerLeaving && !r.excluded(s.ID) {
			return true
		}
	}
	return false
}
