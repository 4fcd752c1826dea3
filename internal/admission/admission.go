// Package admission decides which work a backend server does next. It is a pure
// state machine of one server: events with the time go in, effects come out. It
// reads no clock, starts no goroutine and performs no I/O.
//
// Two resources are shared out: a connection for a transaction's length and a
// slot for a statement's. The order is: kinds that are owed part of their floor,
// then rank, then kinds of one rank by slot time used, then owners of a kind,
// then callers of an owner. Within a rank, a statement of an open transaction
// goes before new work. Ranks below a server's most urgent one never hold all
// slots of a server that has at least two, unless their statements are short
// (Options.ReserveAbove).
//
// Slots are also not held back: while a slot, a connection and eligible work are
// there, work is granted.
package admission

import (
	"time"

	"egretroad/internal/catalogue"
	"egretroad/internal/outcome"
)

// ID names one transaction at a server.
type ID uint64

// Work describes a transaction, or a single statement, that asks to run.
type Work struct {
	ID       ID
	Entry    string // catalogue entry
	Kind     string
	Owner    string
	Caller   string
	Rank     catalogue.Rank
	Deadline time.Duration // on the clock of Event.Now
	Bytes    int           // memory that it takes while it waits
}

// EventType tells events apart.
type EventType uint8

// Types of events.
const (
	// EventTick only tells the time.
	EventTick EventType = iota
	// EventOffer brings new Work. It is granted or refused by an effect.
	EventOffer
	// EventStatement asks a slot for the next statement of transaction ID.
	EventStatement
	// EventStatementEnd gives the slot of transaction ID back; it stays open.
	EventStatementEnd
	// EventEnd ends transaction ID in whatever state, without an effect for it.
	EventEnd
	// EventWriteOff gives the slot of transaction ID to others while its statement
	// still waits for an answer. See Machine.OverdueAfter.
	EventWriteOff
	// EventConnections tells how many connections are open and usable.
	EventConnections
	// EventConfigure brings a new Config.
	EventConfigure
)

// Event is one input of the machine.
type Event struct {
	Type        EventType
	Now         time.Duration // never falls
	Work        Work          // of EventOffer
	ID          ID            // of EventStatement, EventStatementEnd, EventEnd, EventWriteOff
	Deadline    time.Duration // of EventStatement
	Connections int           // of EventConnections
	Config      *Config       // of EventConfigure
}

// EffectType tells effects apart.
type EffectType uint8

// Types of effects.
const (
	// EffectGrant gives a slot, and to new work a connection.
	EffectGrant EffectType = iota
	// EffectRefuse ends the wait of ID. New work is forgotten; an open
	// transaction stays open, without a slot.
	EffectRefuse
)

// Effect is one output of the machine.
type Effect struct {
	Type       EffectType
	ID         ID
	Reason     outcome.Reason // of EffectRefuse
	RetryAfter time.Duration  // of EffectRefuse
	Wait       time.Duration  // time since the work asked
}

// Policy selects how overload is refused.
type Policy uint8

// Refusal policies.
const (
	// PolicyDeadline refuses work whose expected wait passes its deadline.
	PolicyDeadline Policy = iota
	// PolicyQueueLength refuses only when the queue is full.
	PolicyQueueLength
	// PolicyCoDel drops from the queue's head while the wait stays above a target.
	PolicyCoDel
)

// Order selects the order of grants.
type Order uint8

// Orders of grants. The last two are baselines for measurements.
const (
	OrderFloorsThenRank Order = iota
	OrderRankOnly
	OrderArrival
)

// Options are the machine's fixed parameters.
type Options struct {
	Policy Policy
	Order  Order
	// WaitShare is the part of the time to the deadline that may pass in the queue.
	WaitShare float64
	// DefaultQueueLength bounds an entry's queue when the entry names no bound.
	DefaultQueueLength int
	// MaxQueueBytes bounds the memory of all waiting work.
	MaxQueueBytes int
	// MaxQueueAge bounds the time that work waits.
	MaxQueueAge time.Duration
	// FloorGrace is how long a kind is owed its floor before it goes before rank.
	FloorGrace time.Duration
	// CreditWindow bounds how much unused floor a busy kind can save up.
	CreditWindow time.Duration
	// InitialService is the service time assumed before one is measured.
	InitialService time.Duration
	// ReserveAbove is the mean time of a kind's statements from which slots are kept
	// for more urgent ranks. Urgent work can wait for shorter ones to end. 0: always.
	ReserveAbove time.Duration
	// OverdueFactor times the mean time of a kind's statements, and OverdueMin at
	// least, is the time after which an answer counts as overdue. 0: never.
	OverdueFactor float64
	OverdueMin    time.Duration
	// CoDelTarget and CoDelInterval are the parameters of PolicyCoDel.
	CoDelTarget   time.Duration
	CoDelInterval time.Duration
}

// DefaultOptions returns the defaults.
func DefaultOptions() Options {
	return Options{
		WaitShare:          0.8,
		DefaultQueueLength: 1000,
		MaxQueueBytes:      16 << 20,
		MaxQueueAge:        30 * time.Second,
		FloorGrace:         50 * time.Millisecond,
		CreditWindow:       time.Second,
		InitialService:     5 * time.Millisecond,
		CoDelTarget:        20 * time.Millisecond,
		CoDelInterval:      200 * time.Millisecond,
	}
}

// Config is what an operator can change: the server's size and the entries that
// the server may serve.
type Config struct {
	Slots           int
	ConnectionLimit int // connections that may be open for work
	Entries         []EntryConfig
}

// EntryConfig holds the limits of one catalogue entry on this server.
type EntryConfig struct {
	Entry    string
	Kind     string
	Owner    string
	Rank     catalogue.Rank
	Floor    float64 // guaranteed share of the slots, 0 to 1; of a kind's entries the highest counts
	MaxQueue int     // waiting transactions; 0: the default
	// Limited says that MaxConcurrent holds; 0 then refuses everything.
	Limited       bool
	MaxConcurrent int
	RatePerSecond float64 // 0: no limit
}
