// Package routing decides which backend server serves a request, and what to do
// after a refusal. It holds no lock, reads no clock and performs no I/O: the
// caller passes the time, counted on its CLOCK_BOOTTIME.
package routing

import (
	"time"

	"egretroad/internal/catalogue"
	"egretroad/internal/topology"
)

// Options are the thresholds of the decisions.
type Options struct {
	// PrimaryCost is the extra delay that a read accepts to leave the primary
	// to writes: a replica that covers the mark sooner than this is preferred.
	PrimaryCost time.Duration
	// MaxMarkWait bounds the wait for a replica to cover a mark.
	MaxMarkWait time.Duration
	// UnknownWait is the wait allowed to a replica whose lag is unknown.
	UnknownWait time.Duration
	// RegionCost and DataCentreCost are the expected delays to a server of
	// another region, and of another data centre of the own region.
	RegionCost     time.Duration
	DataCentreCost time.Duration
	// LeaveLag takes a replica out of the rotation; ReturnLag, measured for
	// ReturnHold, brings it back.
	LeaveLag   time.Duration
	ReturnLag  time.Duration
	ReturnHold time.Duration
	// LeaveRefusals is the number of successive refusals as behind that take a
	// replica out of the rotation.
	LeaveRefusals int
	// ProbeInterval and MaxProbeInterval bound the time between reads that try
	// a replica outside the rotation.
	ProbeInterval    time.Duration
	MaxProbeInterval time.Duration
	// StatusLifetime is the age past which a learned lag counts as unknown.
	StatusLifetime time.Duration
	// EaseIn is the time in which a joining server's share of reads grows to full.
	EaseIn time.Duration
	// AvoidTime keeps reads off a server that refused for reasons of its own.
	AvoidTime time.Duration
}

// DefaultOptions returns the options used unless set otherwise.
func DefaultOptions() Options {
	return Options{
		PrimaryCost:      250 * time.Millisecond,
		MaxMarkWait:      time.Second,
		UnknownWait:      250 * time.Millisecond,
		RegionCost:       20 * time.Millisecond,
		DataCentreCost:   time.Millisecond,
		LeaveLag:         2 * time.Second,
		ReturnLag:        500 * time.Millisecond,
		ReturnHold:       time.Second,
		LeaveRefusals:    3,
		ProbeInterval:    500 * time.Millisecond,
		MaxProbeInterval: 8 * time.Second,
		StatusLifetime:   30 * time.Second,
		EaseIn:           10 * time.Second,
		AvoidTime:        500 * time.Millisecond,
	}
}

// Request describes what is to be routed.
type Request struct {
	Access catalogue.Access
	Rank   catalogue.Rank
	// Mark must be covered by the server that serves the read.
	Mark topology.Mark
	// MarkTime is when Mark was learned; it bounds when the write happened.
	MarkTime time.Duration
	// MaxAge is the staleness that the read accepts; 0: none.
	MaxAge time.Duration
	// Excluded lists server IDs already tried for this request.
	Excluded []string
}

// Decision names the server for a request.
type Decision struct {
	Server  topology.Server
	Primary bool
	Term    uint64
	// MarkWait is the longest time to wait for the server to cover the mark.
	MarkWait time.Duration
	// Probe says that the server is outside the rotation and is being tried.
	Probe bool
}

// excluded reports whether the server was already tried.
func (r Request) excluded(id string) bool {
	for _, x := range r.Excluded {
		if x == id {
			return true
		}
	}
	return false
}
