package session

import (
	"sync"
	"time"

	"egretroad/internal/outcome"
	"egretroad/internal/topology"
)

// ChoiceOptions are the weights of the choice of a server for a read.
type ChoiceOptions struct {
	// DataCentreCost and RegionCost are the delays of a statement to a server of
	// another data centre of the region, and of another region, and back.
	DataCentreCost time.Duration
	RegionCost     time.Duration
	// PrimaryCost is the delay that a read accepts to leave the primary to work
	// that only it can do.
	PrimaryCost time.Duration
	// AvoidBehind and AvoidFailed are how long a server is passed over after it
	// lacked a position, and after it could not be reached.
	AvoidBehind time.Duration
	AvoidFailed time.Duration
	// LoadLifetime is the time in which a learned wait loses its weight.
	LoadLifetime time.Duration
}

// DefaultChoiceOptions returns the defaults.
func DefaultChoiceOptions() ChoiceOptions {
	return ChoiceOptions{
		DataCentreCost: 2 * time.Millisecond, RegionCost: 45 * time.Millisecond, PrimaryCost: 30 * time.Millisecond,
		AvoidBehind: 150 * time.Millisecond, AvoidFailed: 400 * time.Millisecond, LoadLifetime: 300 * time.Millisecond,
	}
}

// learned is what this VM knows of a server from its answers. Times count on
// CLOCK_BOOTTIME.
type learned struct {
	load       time.Duration // wait of the last statement in the server's queue
	loadAt     time.Duration
	running    int // statements of this VM on their way
	behindTill time.Duration
	failedTill time.Duration
}

// need is what a statement asks of a server.
type need struct {
	primary  bool            // only the group's primary will do
	excluded map[string]bool // servers tried in vain
}

// weigh returns the expected delay of a read at a server. It is a pure function.
func (o ChoiceOptions) weigh(self topology.VM, s topology.Server, isPrimary bool, l learned, now time.Duration) time.Duration {
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
	if age := now - l.loadAt; age < o.LoadLifetime {
		cost += l.load * (o.LoadLifetime - age) / o.LoadLifetime
	}
	return cost
}

// pick returns the server for a read: the one with the least expected delay of
// those that are not avoided, else of those that are. It is a pure function.
func (o ChoiceOptions) pick(g *topology.Group, self topology.VM, n need, known func(id string) learned, now time.Duration) (topology.Server, bool) {
	var best topology.Server
	var bestCost time.Duration
	bestAvoided, found := true, false
	for _, s := range g.Servers {
		isPrimary := s.ID == g.Primary
		if n.excluded[s.ID] || n.primary && !isPrimary || s.State == topology.ServerLeaving && !isPrimary {
			continue
		}
		l := known(s.ID)
		avoided := now < l.behindTill || now < l.failedTill
		cost := o.weigh(self, s, isPrimary, l, now)
		if found && (avoided && !bestAvoided || avoided == bestAvoided && cost >= bestCost) {
			continue
		}
		best, bestCost, bestAvoided, found = s, cost, avoided, true
	}
	return best, found
}

// chooser chooses servers and remembers how they answered.
type chooser struct {
	options ChoiceOptions
	self    topology.VM

	mu      sync.Mutex // guards servers
	servers map[string]*learned
}

func newChooser(o ChoiceOptions, self topology.VM) *chooser {
	return &chooser{options: o, self: self, servers: map[string]*learned{}}
}

// choose picks a server and counts a statement on its way to it.
func (c *chooser) choose(g *topology.Group, n need, now time.Duration) (topology.Server, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, found := c.options.pick(g, c.self, n, func(id string) learned { return *c.server(id) }, now)
	if found {
		c.server(s.ID).running++
	}
	return s, found
}

// server returns what is known of a server. The caller holds mu.
func (c *chooser) server(id string) *learned {
	l := c.servers[id]
	if l == nil {
		l = &learned{}
		c.servers[id] = l
	}
	return l
}

// answered notes a statement's end: its wait in the queue, and why it did not
// run if it did not.
func (c *chooser) answered(id string, waited time.Duration, reason outcome.Reason, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.server(id)
	l.running--
	switch reason {
	case "":
		l.load, l.loadAt = waited, now
		l.failedTill = 0
	case outcome.ReasonBehind:
		l.behindTill = now + c.options.AvoidBehind
	case outcome.ReasonQueueFull, outcome.ReasonDeadline, outcome.ReasonMemory:
		l.load, l.loadAt = max(waited, l.load, c.options.LoadLifetime), now
	case outcome.ReasonReplaced:
	default:
		l.failedTill = now + c.options.AvoidFailed
	}
}

// keep forgets servers that no group has.
func (c *chooser) keep(snapshot *topology.Snapshot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.servers {
		if _, _, known := snapshot.FindServer(id); !known {
			delete(c.servers, id)
		}
	}
}

func (c *chooser) dump() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]map[string]any, len(c.servers))
	for id, l := range c.servers {
		out[id] = map[string]any{"load": l.load.String(), "running": l.running}
	}
	return out
}
