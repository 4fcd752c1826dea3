// Package authority decides which home may acknowledge writes of a database and
// when a replica replaces a primary. It is a pure state machine: events in,
// effects as data out. Package run carries the effects out.
//
// A lease on (database, term) lets a home acknowledge writes. The homes of a
// data centre ask one VM, the delegate, which writes all leases of the data
// centre in one conditional update of the platform object lease/<data centre>.
// A promotion first raises the group's term, then revokes the old term in that
// object, so that the delegate's next write meets a conflict and drops it.
package authority

import "time"

// Options holds the timings of leases, detection and promotion.
type Options struct {
	// LeaseTTL is the time that a lease lasts, counted from before the home asked.
	LeaseTTL time.Duration
	// LeaseMargin covers the drift of two clocks over LeaseTTL. The holder
	// gives the lease up this much earlier, the promoter waits this much longer.
	LeaseMargin time.Duration
	// AskInterval is the time between two asks of a home.
	AskInterval time.Duration
	// AskTimeout bounds one ask of a home, and the time that the delegate keeps it.
	AskTimeout time.Duration
	// RenewInterval is the shortest time between two renewals by a delegate.
	RenewInterval time.Duration
	// StoreTimeout bounds one call to the platform.
	StoreTimeout time.Duration
	// StoreRetryMin and StoreRetryMax bound the wait between failed calls.
	StoreRetryMin time.Duration
	StoreRetryMax time.Duration

	// EvidenceInterval is the time between two reports on a healthy replica.
	EvidenceInterval time.Duration
	// EvidenceFresh is the age past which a report is ignored.
	EvidenceFresh time.Duration
	// FailAfter is how long a primary must have failed its home's probes, counted
	// from its last success, while replication stands still.
	FailAfter time.Duration
	// RefuseAfter is how long a primary must refuse its home's connections
	// before replication that goes on no longer counts for it.
	RefuseAfter time.Duration
	// MissingAfter is how long nothing good must be heard of a primary whose
	// home is silent.
	MissingAfter time.Duration
	// HomelessAfter is how long nothing good must be heard of a primary whose
	// data centre has no live VM, also while replication goes on.
	HomelessAfter time.Duration
	// StallAfter is how long replication must stand still on the replicas.
	StallAfter time.Duration
	// InvalidAfter is how long a reachable primary must contradict its role.
	InvalidAfter time.Duration
	// PauseGap is the gap between two ticks past which this VM takes itself for
	// paused and starts its observations anew.
	PauseGap time.Duration
	// RankBackoff is the extra wait of the second, third, ... VM in line.
	RankBackoff time.Duration
	// ResumeAfter is how long a promotion may stand still before another VM
	// takes it over.
	ResumeAfter time.Duration
	// MaxPromotionsPerHour bounds unplanned promotions per database.
	MaxPromotionsPerHour int

	// ReleaseTimeout bounds a request to release a lease.
	ReleaseTimeout time.Duration
	// AdminTimeout bounds one administrative step on a server.
	AdminTimeout time.Duration
	// AdminRetry is the wait before a failed administrative step is repeated.
	AdminRetry time.Duration
	// FenceGrace is the wait for further servers once a majority is fenced.
	FenceGrace time.Duration
	// CatchUpTimeout bounds the wait for a replica in a planned promotion.
	CatchUpTimeout time.Duration
	// PromoteTimeout bounds the promotion of one candidate.
	PromoteTimeout time.Duration
	// FollowRetry is the wait between two attempts to make a server follow.
	FollowRetry time.Duration

	// unsafeSkipFence and unsafeSkipLeaseWait remove a safety rule. Only tests
	// set them, to show that their checks catch the fault.
	unsafeSkipFence     bool
	unsafeSkipLeaseWait bool
}

// DefaultOptions returns the timings for production.
func DefaultOptions() Options {
	return Options{
		LeaseTTL:             1200 * time.Millisecond,
		LeaseMargin:          50 * time.Millisecond,
		AskInterval:          250 * time.Millisecond,
		AskTimeout:           800 * time.Millisecond,
		RenewInterval:        400 * time.Millisecond,
		StoreTimeout:         700 * time.Millisecond,
		StoreRetryMin:        100 * time.Millisecond,
		StoreRetryMax:        1 * time.Second,
		EvidenceInterval:     500 * time.Millisecond,
		EvidenceFresh:        1000 * time.Millisecond,
		FailAfter:            900 * time.Millisecond,
		RefuseAfter:          1200 * time.Millisecond,
		MissingAfter:         1000 * time.Millisecond,
		HomelessAfter:        2000 * time.Millisecond,
		StallAfter:           700 * time.Millisecond,
		InvalidAfter:         1500 * time.Millisecond,
		PauseGap:             500 * time.Millisecond,
		RankBackoff:          400 * time.Millisecond,
		ResumeAfter:          2500 * time.Millisecond,
		MaxPromotionsPerHour: 6,
		ReleaseTimeout:       500 * time.Millisecond,
		AdminTimeout:         700 * time.Millisecond,
		AdminRetry:           100 * time.Millisecond,
		FenceGrace:           100 * time.Millisecond,
		CatchUpTimeout:       3 * time.Second,
		PromoteTimeout:       1500 * time.Millisecond,
		FollowRetry:          500 * time.Millisecond,
	}
}
