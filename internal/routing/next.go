package routing

import (
	"egretroad/internal/catalogue"
	"egretroad/internal/outcome"
	"egretroad/internal/topology"
)

// Next says what to do after a refusal.
type Next int

// Steps after a refusal.
const (
	// GiveUp reports the refusal to the caller.
	GiveUp Next = iota
	// TryOther sends the request to another server at once.
	TryOther
	// WaitAndRetry waits for a change of topology or a backoff, then tries
	// again with every server allowed.
	WaitAndRetry
)

// After returns the step after a request that provably did not run was refused.
// more says whether a server that has not been tried is left.
func After(access catalogue.Access, reason outcome.Reason, more bool) Next {
	switch reason {
	case outcome.ReasonBehind:
		if more {
			return TryOther
		}
		return WaitAndRetry
	case outcome.ReasonQueueFull:
		// Another replica may have room; waiting here would only add load.
		if access == catalogue.AccessRead && more {
			return TryOther
		}
		return GiveUp
	case outcome.ReasonNoPrimary, outcome.ReasonNoServer, outcome.ReasonNotHome, outcome.ReasonHomeLost,
		outcome.ReasonLeaving, outcome.ReasonShuttingDown, outcome.ReasonConnect, outcome.ReasonConnLost,
		outcome.ReasonReplaced, outcome.ReasonMarkUnknown, outcome.ReasonUnavailable:
		if access == catalogue.AccessRead && more {
			return TryOther
		}
		return WaitAndRetry
	default:
		return GiveUp
	}
}

// Left reports whether a server that may serve the request was not tried yet.
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
