package primacy

import "time"

// SettleWait is how long the settlement of an epoch waits for VMs that do not respond when
// those that respond have too few statements. It exceeds the time in which VMs that start
// together are up, and leaves most of the time in which a restarted fleet must serve again.
const SettleWait = 3 * time.Second

// MaySettle reports whether the designations of earlier epochs are known well enough to
// settle a new epoch of the store: from then on its records are full evidence again.
// stated holds the VMs that have had evidence in their current run and stated all
// designations that they know, responded all that responded, waited the time since the new
// epoch was noticed.
//
// A designation that was acted on was acknowledged by more than half of the listed VMs, so
// the statements of more than half include it. VMs that responded without having had
// evidence have started since and know nothing more.
func MaySettle(listed []string, stated, responded map[string]bool, waited time.Duration) bool {
	n := countListed(listed, responded)
	switch {
	case len(listed) == 0:
		return false
	case n == len(listed), 2*countListed(listed, stated) > len(listed):
		return true
	case 2*n > len(listed):
		return waited >= SettleWait
	default:
		return waited >= SettleWait+RevocationWait+MinorityWait
	}
}
