// Package admission schedules the work of one backend server and sheds load when
// the server is overloaded. Machine is a pure state machine: it takes timestamped
// Events and returns Effects. It reads no clock, starts no goroutine and performs
// no I/O.
//
// The machine allocates two resources: a connection for the duration of a
// transaction, and a slot (permission to execute) for the duration of a statement.
// Work is granted in this order: kinds owed part of their floor (guaranteed share
// of the slots), then by rank (priority, most urgent first), then fair queueing by
// slot time between kinds of a rank, owners of a kind, and callers of an owner.
// Within a rank, statements of open transactions go before new work. On a server
// with at least two slots, ranks below the most urgent one never hold all slots,
// unless their statements are short (Options.ReserveAbove).
//
// Apart from these reservations scheduling is work-conserving: the machine grants
// work whenever a slot, a connection and eligible work are available.
package admission

import (
	"time"

	"egretroad/internal/catalogue"
	"egretroad/internal/outcome"
)

// ID identifies one transaction at a server.
type ID uint64

// Work describes a transaction, or a single statement, that requests admission.
type Work struct {
	ID       ID
	Entry    string // catalogue entry
	Kind     string
	Owner    string
	Caller   string
	Rank     catalogue.Rank
	Deadline time.Duration // on the clock of Event.Now
	Bytes    int           // memory held while queued
}

// EventType is the type of an Event.
type EventType uint8

// Event types.
const (
	// EventTick only advances the time.
	EventTick EventType = iota
	// EventOffer queues new Work. An effect grants or refuses it.
	EventOffer
	// EventStatement requests a slot for the next statement of transaction ID.
	EventStatement
	// EventStatementEnd releases the slot of transaction ID, which stays open.
	EventStatementEnd
	// EventEnd ends transaction ID in any state, without an effect for it.
	EventEnd
	// EventWriteOff releases the slot of transaction ID while its statement is
	// still unanswered. See Machine.OverdueAfter.
	EventWriteOff
	// EventConnections sets the number of open, usable connections.
	EventConnections
	// EventConfigure applies a new Config.
	EventConfigure
)

// Event is an input of the machine. The comments say which types use a field.
type Event struct {
	Type        EventType
	Now         time.Duration // must not decrease
	Work        Work          // EventOffer
	ID          ID            // EventStatement, EventStatementEnd, EventEnd, EventWriteOff
	Deadline    time.Duration // EventStatement
	Connections int           // EventConnections
	Config      *Config       // EventConfigure
}

// EffectType is the type of an Effect.
type EffectType uint8

// Effect types.
const (
	// EffectGrant grants a slot, and for new work also a connection.
	EffectGrant EffectType = iota
	// EffectRefuse removes ID from its queue. New work is discarded; an open
	// transaction stays open, without a slot.
	EffectRefuse
)

// Effect is an output of the machine.
type Effect struct {
	Type       EffectType
	ID         ID
	Reason     outcome.Reason // EffectRefuse
	RetryAfter time.Duration  // EffectRefuse
	Wait       time.Duration  // time spent in the queue
}

// Policy selects the load-shedding policy.
type Policy uint8

// Load-shedding policies.
const (
	// PolicyDeadline refuses work that is expected to wait past its deadline.
	PolicyDeadline Policy = iota
	// PolicyQueueLength refuses work only when the queue is full.
	PolicyQueueLength
	// PolicyCoDel drops work at the queue's head while the queueing delay stays
	// above a target.
	PolicyCoDel
)

// Order selects the scheduling order.
type Order uint8

// Scheduling orders. The last two serve as baselines in measurements; they also ignore
// the reservations for urgent ranks and floors.
const (
	OrderFloorsThenRank Order = iota
	OrderRankOnly
	OrderArrival
)

// Options holds the machine's fixed parameters.
type Options struct {
	Policy Policy
	Order  Order
	// WaitShare is the fraction of the time to the deadline that work may spend in
	// the queue.
	WaitShare float64
	// DefaultQueueLength limits the queue of an entry that sets no MaxQueue.
	DefaultQueueLength int
	// MaxQueueBytes limits the memory of all queued work.
	MaxQueueBytes int
	// MaxQueueAge limits the time that work stays queued.
	MaxQueueAge time.Duration
	// FloorGrace is how long a kind must be owed its floor before its work takes
	// precedence over rank.
	FloorGrace time.Duration
	// CreditWindow limits the unused floor that a busy kind can accumulate, as time
	// at its floor rate.
	CreditWindow time.Duration
	// InitialServiceTime is the service time assumed before one is measured.
	InitialServiceTime time.Duration
	// ReserveAbove is the mean service time from which a kind's statements must
	// leave slots to more urgent ranks. Urgent work can wait for shorter statements
	// to end. 0 applies the reservation to every kind.
	ReserveAbove time.Duration
	// An unanswered statement is overdue after OverdueFactor times the mean service
	// time of its kind, but not before OverdueMin. If OverdueFactor is 0, statements
	// are never overdue.
	OverdueFactor float64
	OverdueMin    time.Duration
	// CoDelTarget and CoDelInterval are the parameters of PolicyCoDel.
	CoDelTarget   time.Duration
	CoDelInterval time.Duration
}

// DefaultOptions returns the default options: PolicyDeadline, OrderFloorsThenRank,
// and no statement ever overdue.
func DefaultOptions() Options {
	return Options{
		WaitShare:          0.8,
		DefaultQueueLength: 1000,
		MaxQueueBytes:      16 << 20,
		MaxQueueAge:        30 * time.Second,
		FloorGrace:         50 * time.Millisecond,
		CreditWindow:       time.Second,
		InitialServiceTime: 5 * time.Millisecond,
		CoDelTarget:        20 * time.Millisecond,
		CoDelInterval:      200 * time.Millisecond,
	}
}

// Config is the part of the configuration that can change at run time: the
// server's capacity and the catalogue entries that it serves.
type Config struct {
	Slots           int
	ConnectionLimit int // maximum connections used by admitted work
	Entries         []EntryConfig
}

// EntryConfig holds the scheduling parameters and limits of one catalogue entry on this
// server. Kind groups entries that share a floor.
type EntryConfig struct {
	Entry    string
	Kind     string
	Owner    string
	Rank     catalogue.Rank
	Floor    float64 // guaranteed share of the slots, 0 to 1; the highest of a kind's entries applies
	MaxQueue int     // maximum queued transactions; 0: Options.DefaultQueueLength
	// Limited enables MaxConcurrent; a MaxConcurrent of 0 then refuses all work.
	Limited       bool
	MaxConcurrent int
	RatePerSecond float64 // 0: no limit
}
