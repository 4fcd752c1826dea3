// Package catalogue defines the operators' catalogue: its entries, their
// checks, and the immutable index that the proxies look kinds of work up in.
package catalogue

import (
	"sort"
	"time"
)

// Rank orders kinds of work by urgency; the lower number goes first.
type Rank int

// Ranks of work.
const (
	RankOrders  Rank = 1
	RankReads   Rank = 2
	RankReports Rank = 3
)

// Access says whether a kind reads or writes.
type Access string

// Access modes.
const (
	AccessRead  Access = "read"
	AccessWrite Access = "write"
)

// Confirm says what must hold before a write is acknowledged.
type Confirm string

// Confirmation policies.
const (
	ConfirmAny     Confirm = "any"     // a live lease or a replica
	ConfirmReplica Confirm = "replica" // a replica has applied the write
)

// Millis is a duration that is written in JSON as a number of milliseconds.
type Millis int64

// Duration converts to a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Entry is one catalogue entry, the value of a platform object of kind
// "catalogue" whose name is Entry.Name.
type Entry struct {
	Name       string   `json:"name"`            // object name, unique
	Kind       string   `json:"kind"`            // kind of work that callers name
	Owner      string   `json:"owner"`           // who answers for the work
	Users      []string `json:"users,omitempty"` // caller names the entry serves; empty: all
	Database   string   `json:"database"`
	Default    bool     `json:"default,omitempty"` // kind of callers that name none
	Rank       Rank     `json:"rank"`
	Access     Access   `json:"access"`
	MaxAge     Millis   `json:"maxAgeMs,omitempty"` // age of data that a read accepts; 0: must see own writes
	Repeatable bool     `json:"repeatable"`
	Confirm    Confirm  `json:"confirm,omitempty"`
	// FloorPercent is the share of each server's slots guaranteed to the kind while it has work.
	FloorPercent   int     `json:"floorPercent,omitempty"`
	MaxConcurrent  int     `json:"maxConcurrent,omitempty"`  // transactions in the whole fleet; 0: no limit
	RatePerSecond  float64 `json:"ratePerSecond,omitempty"`  // transactions in the whole fleet; 0: no limit
	Deadline       Millis  `json:"deadlineMs"`               // from arrival to answer
	IdleInTxn      Millis  `json:"idleInTxnMs,omitempty"`    // idle time inside an open transaction
	MaxQueueLength int     `json:"maxQueueLength,omitempty"` // waiting transactions per server; 0: the default
	// Group is the database group that serves the entry; empty: Database.
	Group string `json:"group,omitempty"`
	// Objective is the latency that callers are promised for a whole operation; 0: none.
	Objective Millis `json:"objectiveMs,omitempty"`
	// Freshness says what reads must see beyond MaxAge; empty: own writes.
	Freshness Freshness `json:"freshness,omitempty"`
	// ServerConnections bounds the connections to one server of the group; 0: the server's own figure.
	ServerConnections int `json:"serverConnections,omitempty"`
	// SyncReplicas is the number of replicas that have a commit before the group's primary acknowledges it.
	SyncReplicas int `json:"syncReplicas,omitempty"`
}

// Freshness says which commits a read must see.
type Freshness string

// Kinds of freshness.
const (
	FreshLatest Freshness = "latest" // every commit acknowledged before the read
	FreshOwn    Freshness = "own"    // the session's commits, and others by age
	FreshAge    Freshness = "age"    // commits older than MaxAge
)

// GroupName returns the database group that serves the entry.
func (e Entry) GroupName() string {
	if e.Group != "" {
		return e.Group
	}
	return e.Database
}

// Catalogue is an immutable index of valid entries.
type Catalogue struct {
	entries map[string]Entry
	byKind  map[kindKey][]string
	byDB    map[string]string
	groups  map[string]Group
}

// Group is what the entries of a database group say of its servers.
type Group struct {
	ServerConnections int // least bound on the connections to one server; 0: none
	SyncReplicas      int // most replicas that have a commit before it is acknowledged
}

type kindKey struct{ database, kind string }

// New indexes entries. Entries must have passed Entry.Check; a later entry
// replaces an earlier one with the same name.
func New(entries []Entry) *Catalogue {
	c := &Catalogue{
		entries: make(map[string]Entry, len(entries)),
		byKind:  make(map[kindKey][]string),
		byDB:    make(map[string]string),
		groups:  make(map[string]Group),
	}
	for _, e := range entries {
		c.entries[e.Name] = e
	}
	for _, name := range c.Names() {
		e := c.entries[name]
		k := kindKey{e.Database, e.Kind}
		c.byKind[k] = append(c.byKind[k], name)
		if _, set := c.byDB[e.Database]; e.Default && !set {
			c.byDB[e.Database] = e.Kind
		}
		c.groups[e.GroupName()] = c.groups[e.GroupName()].with(e)
	}
	return c
}

func (g Group) with(e Entry) Group {
	if e.ServerConnections > 0 && (g.ServerConnections == 0 || e.ServerConnections < g.ServerConnections) {
		g.ServerConnections = e.ServerConnections
	}
	g.SyncReplicas = max(g.SyncReplicas, e.SyncReplicas)
	return g
}

// Group returns what is known of a database group; zero for an unknown one, or
// without a catalogue.
func (c *Catalogue) Group(name string) Group {
	if c == nil {
		return Group{}
	}
	return c.groups[name]
}

// Names returns the entries' names in order.
func (c *Catalogue) Names() []string {
	names := make([]string, 0, len(c.entries))
	for n := range c.entries {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// Entry returns the entry of the given name.
func (c *Catalogue) Entry(name string) (Entry, bool) {
	e, ok := c.entries[name]
	return e, ok
}

// Resolve returns the entry that serves a kind of work of a user on a database.
// An empty kind means the database's default kind. An entry that names the user
// goes before one that serves all users.
func (c *Catalogue) Resolve(database, kind, user string) (Entry, error) {
	if kind == "" {
		kind = c.byDB[database]
	}
	names := c.byKind[kindKey{database, kind}]
	if len(names) == 0 {
		return Entry{}, &UnknownWorkError{Database: database, Kind: kind, Known: c.Kinds(database)}
	}
	var open *Entry
	for _, n := range names {
		e := c.entries[n]
		if len(e.Users) == 0 && open == nil {
			open = &e
		}
		for _, u := range e.Users {
			if u == user {
				return e, nil
			}
		}
	}
	if open == nil {
		return Entry{}, &UserNotServedError{Database: database, Kind: kind, User: user}
	}
	return *open, nil
}

// Kinds returns the kinds of work of a database, sorted.
func (c *Catalogue) Kinds(database string) []string {
	var kinds []string
	for k := range c.byKind {
		if k.database == database {
			kinds = append(kinds, k.kind)
		}
	}
	sort.Strings(kinds)
	return kinds
}
