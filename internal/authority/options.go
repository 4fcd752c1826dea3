// Package authority decides which home may acknowledge writes of a database and
// when a replica is promoted to primary. Its main type, Machine, is a pure state
// machine: it consumes events and returns effects as data. Package run executes
// the effects.
//
// The home of a server is the VM that connects to it and probes it. A term
// numbers the successive primaries of a database group (its epoch). A lease on
// (database, term) lets a home acknowledge writes. The homes of a data centre
// request leases from one VM, the delegate, which writes all leases of the data
// centre in one compare-and-swap of the platform object lease/<data centre>. A
// promotion, run by one VM as its coordinator, first increments the group's term,
// then revokes the old term in that object, so that the delegate's next write
// conflicts and drops the old leases.
package authority

import "time"

// Options holds the timings of leases, detection and promotion.
type Options struct {
	// LeaseTTL is the lifetime of a lease, counted from before the home sent its
	// request.
	LeaseTTL time.Duration
	// LeaseMargin covers the drift between two clocks over LeaseTTL. The holder
	// stops using the lease this much earlier; the coordinator of a promotion
	// waits this much longer.
	LeaseMargin time.Duration
	// LeaseRequestInterval is the interval between two lease requests of a home.
	LeaseRequestInterval time.Duration
	// LeaseRequestTimeout bounds one lease request of a home, and how long the
	// delegate queues it.
	LeaseRequestTimeout time.Duration
	// RenewInterval is the minimum interval between two renewals by a delegate.
	RenewInterval time.Duration
	// StoreTimeout bounds one call to the platform.
	StoreTimeout time.Duration
	// StoreRetryMin and StoreRetryMax bound the back-off between failed calls.
	StoreRetryMin time.Duration
	StoreRetryMax time.Duration

	// EvidenceInterval is the interval between two reports on a healthy replica.
	EvidenceInterval time.Duration
	// EvidenceMaxAge is the age beyond which a report is ignored.
	EvidenceMaxAge time.Duration
	// FailedAfter is how long a primary must have failed its home's probes, counted
	// from its last success, before it counts as failed while replication is stalled.
	FailedAfter time.Duration
	// RefusedAfter is how long a primary must refuse its home's connections
	// before it counts as failed even though replication continues.
	RefusedAfter time.Duration
	// MissingAfter is the time since the primary was last reported reachable after
	// which it counts as failed, if its home is silent and replication is stalled.
	MissingAfter time.Duration
	// HomelessAfter is the time since the primary was last reported reachable after
	// which it counts as failed, if its data centre has no live VM. It applies even
	// while replication continues.
	HomelessAfter time.Duration
	// StalledAfter is how long a replica must make no progress before its
	// replication counts as stalled.
	StalledAfter time.Duration
	// InvalidAfter is how long the role or term of a reachable primary must
	// differ from the group object before the primary counts as failed.
	InvalidAfter time.Duration
	// PauseGap is the gap between two ticks beyond which this VM assumes that it
	// was paused and resets its observations.
	PauseGap time.Duration
	// RankBackoff is the additional wait per rank, so that the second and later
	// VMs in coordinator order start only if the earlier ones do not.
	RankBackoff time.Duration
	// ResumeAfter is how long the group object may stay unchanged during a
	// promotion before another VM takes the promotion over.
	ResumeAfter time.Duration
	// MaxPromotionsPerHour limits unplanned promotions per database.
	MaxPromotionsPerHour int

	// ReleaseTimeout bounds a request to release a lease.
	ReleaseTimeout time.Duration
	// AdminTimeout bounds one administrative step on a server.
	AdminTimeout time.Duration
	// AdminRetryInterval is the wait before a failed administrative step is retried.
	AdminRetryInterval time.Duration
	// FenceGrace is the wait for further servers once a majority is fenced.
	FenceGrace time.Duration
	// CatchUpTimeout bounds the wait for a replica in a planned promotion.
	CatchUpTimeout time.Duration
	// PromoteTimeout bounds the promotion of one candidate.
	PromoteTimeout time.Duration
	// FollowRetryInterval is the wait between two attempts to make a server follow.
	FollowRetryInterval time.Duration

	// unsafeSkipFence and unsafeSkipLeaseWait each disable a safety rule. Only
	// tests set them, to prove that the tests' checks detect the violation.
	unsafeSkipFence     bool
	unsafeSkipLeaseWait bool
}

// DefaultOptions returns the production timings.
func DefaultOptions() Options {
	return Options{
		LeaseTTL:             1200 * time.Millisecond,
		LeaseMargin:          50 * time.Millisecond,
		LeaseRequestInterval: 250 * time.Millisecond,
		LeaseRequestTimeout:  800 * time.Millisecond,
		RenewInterval:        400 * time.Millisecond,
		StoreTimeout:         700 * time.Millisecond,
		StoreRetryMin:        100 * time.Millisecond,
		StoreRetryMax:        1 * time.Second,
		EvidenceInterval:     500 * time.Millisecond,
		EvidenceMaxAge:       1000 * time.Millisecond,
		FailedAfter:          900 * time.Millisecond,
		RefusedAfter:         1200 * time.Millisecond,
		MissingAfter:         1000 * time.Millisecond,
		HomelessAfter:        2000 * time.Millisecond,
		StalledAfter:         700 * time.Millisecond,
		InvalidAfter:         1500 * time.Millisecond,
		PauseGap:             500 * time.Millisecond,
		RankBackoff:          400 * time.Millisecond,
		ResumeAfter:          2500 * time.Millisecond,
		MaxPromotionsPerHour: 6,
		ReleaseTimeout:       500 * time.Millisecond,
		AdminTimeout:         700 * time.Millisecond,
		AdminRetryInterval:   100 * time.Millisecond,
		FenceGrace:           100 * time.Millisecond,
		CatchUpTimeout:       3 * time.Second,
		PromoteTimeout:       1500 * time.Millisecond,
		FollowRetryInterval:  500 * time.Millisecond,
	}
}
