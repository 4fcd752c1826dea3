// Package reducer runs the control state of a process as deterministic state machines.
// One goroutine, owned by Runtime, passes each Event to every Machine in order and hands
// the resulting Effects to Executors. Machines are pure: they read no clock, start no
// goroutines and perform no I/O. Executors perform the side effects and post the results
// as new events.
package reducer

import (
	"context"
	"time"

	"egretroad/internal/topology"
)

// Event is an input of a machine.
type Event interface{ EventName() string }

// Effect describes a side effect that a machine requests.
type Effect interface{ EffectName() string }

// Machine is a pure state machine. Step is not safe for concurrent use.
type Machine interface {
	Step(Event) []Effect
}

// Executor performs effects. Execute returns false for effects that belong to other
// executors. It must not block: work that waits runs in its own goroutine and reports
// its result with Runtime.Post. The function post queues an event for processing in the
// current step and must not be called after Execute has returned.
type Executor interface {
	Execute(ctx context.Context, e Effect, post func(Event)) bool
}

// Tick reports the current time on CLOCK_BOOTTIME to the machines.
type Tick struct {
	Now time.Duration
}

// EventName implements Event.
func (Tick) EventName() string { return "tick" }

// ObjectChanged reports the state of a platform object that was read from the store,
// received from a watch or relayed by another VM.
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

// ServerObserved reports the status of a backend server, measured by this VM or reported
// by the server's home.
type ServerObserved struct {
	Status topology.ServerStatus
	From   string // VM ID
	Now    time.Duration
	Err    string // non-empty if the probe failed: a stable keyword such as "refused" or "timeout"
}

// EventName implements Event.
func (ServerObserved) EventName() string { return "server_observed" }

// SnapshotPublished reports a new topology snapshot from control to the other machines.
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
