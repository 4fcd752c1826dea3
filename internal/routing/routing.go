// Package routing selects the backend server for a request, and the next step after a
// refusal. Writes go to the group's primary. Reads go to the server with the least
// expected delay, including the time to cover the request's mark (session consistency
// token: database, term, log position). Table holds the state of the servers as one
// proxy knows it.
//
// The package takes no lock, reads no clock and performs no I/O. Its users pass the
// time, as read from CLOCK_BOOTTIME.
package routing

import (
	"time"

	"egretroad/internal/catalogue"
	"egretroad/internal/topology"
)

// Options holds the parameters of routing decisions.
type Options struct {
	// PrimaryPenalty is added to the expected delay of reads on the primary, to keep
	// it free for writes: a replica that covers the mark sooner is preferred.
	PrimaryPenalty time.Duration
	// MaxMarkWait limits the wait for a replica to cover a mark.
	MaxMarkWait time.Duration
	// UnknownLagWait limits the wait for a replica whose lag is unknown. It is also
	// the margin on waits that are estimated.
	UnknownLagWait time.Duration
	// RegionDelay and DataCentreDelay are the expected delays to a server in another
	// region, and in another data centre of the same region.
	RegionDelay     time.Duration
	DataCentreDelay time.Duration
	// A replica leaves the rotation when its lag exceeds LeaveLag. It returns when its
	// lag has been at most ReturnLag for ReturnHold.
	LeaveLag   time.Duration
	ReturnLag  time.Duration
	ReturnHold time.Duration
	// LeaveBehindRefusals is the number of consecutive refusals with reason "behind"
	// that remove a replica from the rotation.
	LeaveBehindRefusals int
	// ProbeInterval and MaxProbeInterval bound the back-off between reads that probe a
	// replica outside the rotation.
	ProbeInterval    time.Duration
	MaxProbeInterval time.Duration
	// StatusMaxAge is the age from which a reported lag is treated as unknown.
	StatusMaxAge time.Duration
	// JoinRampUp is the time over which a joining server's share of reads grows from
	// zero to full.
	JoinRampUp time.Duration
	// AvoidTime is how long reads avoid a server that refused a request for a reason
	// of its own, such as a full queue or a lost connection.
	AvoidTime time.Duration
}

// DefaultOptions returns the default parameters.
func DefaultOptions() Options {
	return Options{
		PrimaryPenalty:      250 * time.Millisecond,
		MaxMarkWait:         time.Second,
		UnknownLagWait:      250 * time.Millisecond,
		RegionDelay:         20 * time.Millisecond,
		DataCentreDelay:     time.Millisecond,
		LeaveLag:            2 * time.Second,
		ReturnLag:           500 * time.Millisecond,
		ReturnHold:          time.Second,
		LeaveBehindRefusals: 3,
		ProbeInterval:       500 * time.Millisecond,
		MaxProbeInterval:    8 * time.Second,
		StatusMaxAge:        30 * time.Second,
		JoinRampUp:          10 * time.Second,
		AvoidTime:           500 * time.Millisecond,
	}
}

// Request describes a request to route.
type Request struct {
	Access catalogue.Access
	Rank   catalogue.Rank
	// Mark must be covered by the server that serves the read.
	Mark topology.Mark
	// MarkTime is when Mark was received; its write happened no later than that.
	MarkTime time.Duration
	// MaxAge is the staleness that the read accepts; 0: none.
	MaxAge time.Duration
	// Excluded lists the IDs of servers that were already tried for this request.
	Excluded []string
}

// Decision is the selected server for a request.
type Decision struct {
	Server  topology.Server
	Primary bool
	Term    uint64
	// MarkWait is the maximum time to wait for the server to cover the mark.
	MarkWait time.Duration
	// Probe marks a read that tests a server outside the rotation.
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
