// Package reducer runs the control state of a process: one goroutine passes
// every event to the machines in order, and hands their effects to executors.
// Machines are pure: no clock, no goroutine, no I/O.
package reducer

import (
	"context"
	"time"

	"egretroad/internal/topology"
)

// Event is an input of a machine.
type Event interface{ EventName() string }

// Effect is an action that a machine asks for, described as data.
type Effect interface{ EffectName() string }

// Machine is a pure state machine. Step may only be called by one goroutine.
type Machine interface {
	Step(Event) []Effect
}

// Executor carries effects out. Execute must not block: work that waits runs in
// its own goroutine and reports by Runtime.Post. post queues an event at once
// and may only be called before Execute returns. Execute returns false for
// effects of other executors.
type Executor interface {
	Execute(ctx context.Context, e Effect, post func(Event)) bool
}

// Tick tells the machines the time. Now counts on CLOCK_BOOTTIME.
type Tick struct {
	Now time.Duration
}

// EventName implements Event.
func (Tick) EventName() string { return "tick" }

// ObjectChanged reports a platform object that was read, watched or relayed.
type ObjectChanged struct {
	Kind    string
	Name    string
	Version uint64
	Deleted bool
	Value   []byte // JSON
	From    string // "store", "watch", or the ID of the VM that relayed it
}

// EventName implements Event.
func (ObjectChanged) EventName() string { return "object_changed" }

// ServerObserved reports the status of a backend server, measured here or
// reported by the server's home.
type ServerObserved struct {
	Status topology.ServerStatus
	From   string // VM ID
	Now    time.Duration
	Err    string // non-empty: the probe failed; a stable word such as "refused", "timeout"
}

// EventName implements Event.
func (ServerObserved) EventName() string { return "server_observed" }

// SnapshotPublished reports a new snapshot of control to the other machines.
type SnapshotPublished struct {
	Snapshot *topology.Snapshot
}

// EventName implements Event.
func (SnapshotPublished) EventName() string { return "snapshot_published" }

// PeerMessage reports a one-way message from another VM.
type PeerMessage struct {
	From   string // VM ID
	Method string
	Body   []byte // msgpack
	Now    time.Duration
}

// EventName implements Event.
func (PeerMessage) EventName() string { return "peer_message" }
