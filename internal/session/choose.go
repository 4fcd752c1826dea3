package session

import (
	"sync"
	"time"

	"egretroad/internal/outcome"
	"egretroad/internal/topology"
)

// SelectionOptions are the costs and penalties used to select a server for a read.
type SelectionOptions struct {
	// DataCentreCost is the round-trip time to a server in another data centre of
	// the same region, RegionCost that to a server in another region.
	DataCentreCost time.Duration
	RegionCost     time.Duration
	// PrimaryCost is the extra delay a read accepts in order to keep the primary free
	// for statements that only the primary can run.
	PrimaryCost time.Duration
	// AvoidLagging is how long a server is avoided after it had not replayed a
	// required log position, AvoidUnreachable how long after it could not be reached.
	AvoidLagging     time.Duration
	AvoidUnreachable time.Duration
	// QueueWaitLifetime is the time over which the weight of a reported queue wait
	// decays linearly to zero.
	QueueWaitLifetime time.Duration
}

// DefaultSelectionOptions returns the defaults.
func DefaultSelectionOptions() SelectionOptions {
	return SelectionOptions{
		DataCentreCost: 2 * time.Millisecond, RegionCost: 45 * time.Millisecond, PrimaryCost: 30 * time.Millisecond,
		AvoidLagging: 150 * time.Millisecond, AvoidUnreachable: 400 * time.Millisecond, QueueWaitLifetime: 300 * time.Millisecond,
	}
}

// serverStats holds what this VM has observed of a server from its replies. Times are
// on CLOCK_BOOTTIME.
type serverStats struct {
	queueWait        time.Duration // queue wait reported with the latest reply
	queueWaitAt      time.Duration
	inFlight         int // statements that this VM has sent and that are unanswered
	laggingUntil     time.Duration
	unreachableUntil time.Duration
}

// serverConstraints restrict the servers that may run a statement.
type serverConstraints struct {
	primaryOnly bool            // only the group's primary may run it
	excluded    map[string]bool // IDs of servers whose attempts failed
}

// expectedDelay estimates the delay of a read on a server. It has no side effects.
func (o SelectionOptions) expectedDelay(self topology.VM, s topology.Server, isPrimary bool, stats serverStats, now time.Duration) time.Duration {
	var cost time.Duration
	switch {
	case s.DataCentre == self.DataCentre:
	case s.Region == self.Region:
		cost = o.DataCentreCost
	default:
		cost = o.RegionCost
	}
	if isPrimary {
		cost += o.PrimaryCost
	}
	if age := now - stats.queueWaitAt; age < o.QueueWaitLifetime {
		cost += stats.queueWait * (o.QueueWaitLifetime - age) / o.QueueWaitLifetime
	}
	return cost
}

// pick returns the server with the least expected delay. Avoided servers are used
// only when no other server is eligible. It has no side effects besides those of statsOf.
func (o SelectionOptions) pick(g *topology.Group, self topology.VM, constraints serverConstraints, statsOf func(id string) serverStats, now time.Duration) (topology.Server, bool) {
	var best topology.Server
	var bestCost time.Duration
	bestAvoided, found := true, false
	for _, s := range g.Servers {
		isPrimary := s.ID == g.Primary
		if constraints.excluded[s.ID] || constraints.primaryOnly && !isPrimary || s.State == topology.ServerLeaving && !isPrimary {
			continue
		}
		stats := statsOf(s.ID)
		avoided := now < stats.laggingUntil || now < stats.unreachableUntil
		cost := o.expectedDelay(self, s, isPrimary, stats, now)
		if found && (avoided && !bestAvoided || avoided == bestAvoided && cost >= bestCost) {
			continue
		}
		best, bestCost, bestAvoided, found = s, cost, avoided, true
	}
	return best, found
}

// serverSelector selects servers for statements and tracks statistics of their replies.
type serverSelector struct {
	options SelectionOptions
	self    topology.VM

	mu       sync.Mutex // guards byServer
	byServer map[string]*serverStats
}

func newServerSelector(o SelectionOptions, self topology.VM) *serverSelector {
	return &serverSelector{options: o, self: self, byServer: map[string]*serverStats{}}
}

// selectServer picks a server and counts one more statement in flight to it. Each
// successful call must be followed by one call of recordResult.
func (sel *serverSelector) selectServer(g *topology.Group, constraints serverConstraints, now time.Duration) (topology.Server, bool) {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	s, found := sel.options.pick(g, sel.self, constraints, func(id string) serverStats { return *sel.stats(id) }, now)
	if found {
		sel.stats(s.ID).inFlight++
	}
	return s, found
}

// stats returns the statistics of a server, creating them if needed. The caller holds mu.
func (sel *serverSelector) stats(id string) *serverStats {
	stats := sel.byServer[id]
	if stats == nil {
		stats = &serverStats{}
		sel.byServer[id] = stats
	}
	return stats
}

// recordResult records the end of a statement: its queue wait and, if it did not run,
// the reason.
func (sel *serverSelector) recordResult(id string, waited time.Duration, reason outcome.Reason, now time.Duration) {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	stats := sel.stats(id)
	stats.inFlight--
	switch reason {
	case "":
		stats.queueWait, stats.queueWaitAt = waited, now
		stats.unreachableUntil = 0
	case outcome.ReasonBehind:
		stats.laggingUntil = now + sel.options.AvoidLagging
	case outcome.ReasonQueueFull, outcome.ReasonDeadline, outcome.ReasonMemory:
		stats.queueWait, stats.queueWaitAt = max(waited, stats.queueWait, sel.options.QueueWaitLifetime), now
	case outcome.ReasonReplaced:
	default:
		stats.unreachableUntil = now + sel.options.AvoidUnreachable
	}
}

// prune deletes the statistics of servers that are in no group of the snapshot.
func (sel *serverSelector) prune(snapshot *topology.Snapshot) {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	for id := range sel.byServer {
		if _, _, known := snapshot.FindServer(id); !known {
			delete(sel.byServer, id)
		}
	}
}

func (sel *serverSelector) dump() any {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	out := make(map[string]map[string]any, len(sel.byServer))
	for id, stats := range sel.byServer {
		out[id] = map[string]any{"load": stats.queueWait.String(), "running": stats.inFlight}
	}
	return out
}
