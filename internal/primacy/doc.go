// Package primacy decides whether this VM may use a server as the primary of its group.
//
// A promotion does not stop the old primary on every platform: it may go on accepting
// writes from VMs that still reach it. The proxies therefore stop using it themselves,
// before the promotion call. The choice of a group's primary is recorded in the
// platform's store as a topology.Designation. A VM uses a server as the primary only
// while it knows, from evidence that is recent enough, that no other server is
// designated:
//
//   - Evidence is full if it was read from the store, or if every listed VM has responded
//     and more than half have stated the designations that they know. It is valid for
//     Validity.
//   - Evidence is partial if at least half of the listed VMs have stated them. It serves
//     while the store is unavailable and some VM is silent, and ends MinorityWait after
//     the last full evidence.
//
// The list of VMs is read from the store with the designations and passed on with them.
//
// The VM that promotes first records the designation, then reads the list of VMs and asks
// every listed VM to acknowledge it. A VM that has acknowledged uses no other server. For
// VMs that do not respond it waits until their evidence has expired: RevocationWait if more
// than half of the VMs that were listed at any time within ListWindow have acknowledged and
// been listed throughout, otherwise MinorityWait in addition. Which VMs have been listed
// throughout is remembered by processes that have run for that long, and recorded in the
// store (EstablishedRecord), which outlives them. The wait ends early when the
// old primary itself confirms that it is a replica now.
//
// A response of a server is checked after it has arrived: a commit is acknowledged only
// if the evidence is valid at that time. No step depends on how long a message or a
// paused process takes, only on CLOCK_BOOTTIME advancing at the same rate on all VMs.
//
// All decisions here are pure: callers pass the time. Package primacy/run does the I/O.
package primacy

import "time"

const (
	// Validity is how long evidence permits the use of a primary, counted from before
	// the request that obtained it was sent.
	Validity = time.Second
	// RevocationWait is how long a promotion waits for the evidence of silent VMs to
	// expire. It exceeds Validity by the drift of the clocks.
	RevocationWait = Validity + 100*time.Millisecond
	// MinorityWait is how long partial evidence can extend the last full evidence.
	MinorityWait = 10 * time.Second
	// ListMaxAge is how much older than the designations the list of VMs may be from which
	// partial evidence is counted.
	ListMaxAge = 3 * time.Second
	// ListWindow is the age that a list of VMs may have while evidence that was counted from
	// it is valid. It exceeds the sum of the above by the drift of the clocks.
	ListWindow = MinorityWait + ListMaxAge + time.Second
)
