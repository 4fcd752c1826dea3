// Package catalogue defines the operators' catalogue: one Entry for each kind of
// work, with its rank (priority class), deadline, limits and consistency
// requirements. Entry.Check validates an entry, DecodeObject decodes one from its
// platform object, and Catalogue is the immutable index in which proxies look up
// the entry of a transaction. The package does not access the platform.
package catalogue

import (
	"sort"
	"time"
)

// Rank is the priority class of a kind of work; lower numbers are more urgent.
type Rank int

// Ranks of work.
const (
	RankOrders  Rank = 1
	RankReads   Rank = 2
	RankReports Rank = 3
)

// Access is the access mode of a kind of work.
type Access string

// Access modes.
const (
	AccessRead  Access = "read"
	AccessWrite Access = "write"
)

// Confirm is the condition under which a write is acknowledged.
type Confirm string

// Confirmation policies.
const (
	ConfirmAny     Confirm = "any"     // a live lease, or a replica that has applied the write
	ConfirmReplica Confirm = "replica" // a replica has applied the write
)

// Millis is a duration in milliseconds, encoded in JSON as a number.
type Millis int64

// Duration converts to a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Entry is one catalogue entry. It is stored as the value of the platform object
// of kind "catalogue" with the name Entry.Name.
type Entry struct {
	Name       string   `json:"name"`            // object name, unique
	Kind       string   `json:"kind"`            // kind of work that callers name
	Owner      string   `json:"owner"`           // who is responsible for the work
	Users      []string `json:"users,omitempty"` // caller names that the entry serves; empty: all
	Database   string   `json:"database"`
	Default    bool     `json:"default,omitempty"` // used for callers that do not name a kind
	Rank       Rank     `json:"rank"`
	Access     Access   `json:"access"`
	MaxAge     Millis   `json:"maxAgeMs,omitempty"` // staleness that a read tolerates; 0: read-your-writes
	Repeatable bool     `json:"repeatable"`
	Confirm    Confirm  `json:"confirm,omitempty"`
	// FloorPercent is the share of each server's slots reserved for the kind while it has work.
	FloorPercent   int     `json:"floorPercent,omitempty"`
	MaxConcurrent  int     `json:"maxConcurrent,omitempty"`  // concurrent transactions across the fleet; 0: no limit
	RatePerSecond  float64 `json:"ratePerSecond,omitempty"`  // transactions started across the fleet; 0: no limit
	Deadline       Millis  `json:"deadlineMs"`               // from arrival of the request to its response
	IdleInTxn      Millis  `json:"idleInTxnMs,omitempty"`    // idle time-out inside an open transaction
	MaxQueueLength int     `json:"maxQueueLength,omitempty"` // queued transactions per server; 0: the default
	// Group is the database group that serves the entry; empty: Database.
	Group string `json:"group,omitempty"`
	// LatencyObjective is the latency objective of a whole operation; 0: none.
	LatencyObjective Millis `json:"objectiveMs,omitempty"`
	// Freshness is the consistency of reads beyond MaxAge; empty: read-your-writes.
	Freshness Freshness `json:"freshness,omitempty"`
	// ServerConnections limits the connections to one server of the group; 0: the server's own limit.
	ServerConnections int `json:"serverConnections,omitempty"`
	// SyncReplicas is the number of replicas that must receive a commit before the group's primary acknowledges it.
	SyncReplicas int `json:"syncReplicas,omitempty"`
}

// Freshness defines which commits a read must see.
type Freshness string

// Freshness levels.
const (
	FreshLatest Freshness = "latest" // every commit acknowledged before the read
	FreshOwn    Freshness = "own"    // the session's own commits, and others older than MaxAge
	FreshAge    Freshness = "age"    // commits older than MaxAge
)

// GroupName returns the database group that serves the entry.
func (e Entry) GroupName() string {
	if e.Group != "" {
		return e.Group
	}
	return e.Database
}

// Catalogue is an immutable index of valid entries. It is safe for concurrent use.
type Catalogue struct {
	entries      map[string]Entry
	namesByKind  map[kindKey][]string
	defaultKinds map[string]string
	groups       map[string]Group
}

// Group holds the settings that apply to every server of a database group: the
// strictest values among the group's entries.
type Group struct {
	ServerConnections int // smallest connection limit per server; 0: none
	SyncReplicas      int // largest number of replicas required for a commit
}

type kindKey struct{ database, kind string }

// New indexes entries. Entries must have passed Entry.Check; a later entry
// replaces an earlier one with the same name.
func New(entries []Entry) *Catalogue {
	c := &Catalogue{
		entries:      make(map[string]Entry, len(entries)),
		namesByKind:  make(map[kindKey][]string),
		defaultKinds: make(map[string]string),
		groups:       make(map[string]Group),
	}
	for _, e := range entries {
		c.entries[e.Name] = e
	}
	for _, name := range c.Names() {
		e := c.entries[name]
		key := kindKey{e.Database, e.Kind}
		c.namesByKind[key] = append(c.namesByKind[key], name)
		if _, hasDefault := c.defaultKinds[e.Database]; e.Default && !hasDefault {
			c.defaultKinds[e.Database] = e.Kind
		}
		c.groups[e.GroupName()] = c.groups[e.GroupName()].mergeEntry(e)
	}
	return c
}

func (g Group) mergeEntry(e Entry) Group {
	if e.ServerConnections > 0 && (g.ServerConnections == 0 || e.ServerConnections < g.ServerConnections) {
		g.ServerConnections = e.ServerConnections
	}
	g.SyncReplicas = max(g.SyncReplicas, e.SyncReplicas)
	return g
}

// Group returns the settings of a database group; zero if the group is unknown or
// c is nil.
func (c *Catalogue) Group(name string) Group {
	if c == nil {
		return Group{}
	}
	return c.groups[name]
}

// HasGroup reports whether an entry names a database group.
func (c *Catalogue) HasGroup(name string) bool {
	_, found := c.groups[name]
	return found
}

// Len returns the number of entries.
func (c *Catalogue) Len() int { return len(c.entries) }

// Names returns the sorted names of all entries.
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

// Resolve returns the entry for a user's kind of work on a database. An empty
// kind selects the database's default kind. An entry that lists the user takes
// precedence over one that serves all users. Errors are *UnknownKindError and
// *UserNotServedError.
func (c *Catalogue) Resolve(database, kind, user string) (Entry, error) {
	if kind == "" {
		kind = c.defaultKinds[database]
	}
	names := c.namesByKind[kindKey{database, kind}]
	if len(names) == 0 {
		return Entry{}, &UnknownKindError{Database: database, Kind: kind, Known: c.Kinds(database)}
	}
	var unrestricted *Entry
	for _, n := range names {
		e := c.entries[n]
		if len(e.Users) == 0 && unrestricted == nil {
			unrestricted = &e
		}
		for _, u := range e.Users {
			if u == user {
				return e, nil
			}
		}
	}
	if unrestricted == nil {
		return Entry{}, &UserNotServedError{Database: database, Kind: kind, User: user}
	}
	return *unrestricted, nil
}

// Kinds returns the kinds of work of a database, sorted.
func (c *Catalogue) Kinds(database string) []string {
	var kinds []string
	for k := range c.namesByKind {
		if k.database == database {
			kinds = append(kinds, k.kind)
		}
	}
	sort.Strings(kinds)
	return kinds
}
