package primacy

import (
	"sort"
	"time"

	"egretroad/internal/topology"
)

// Coverage is the kind of evidence that the statements of some VMs amount to.
type Coverage uint8

// Coverages.
const (
	CoverageNone Coverage = iota
	CoveragePartial
	CoverageFull
)

// Cover returns the coverage of the VMs that have stated what they know, including this
// VM, and of those that responded. Only a VM with a complete ledger states anything. A VM
// that responds without one has started recently and may have forgotten what it had
// acknowledged; more than half of the VMs remember every designation that was acted on. A
// VM outside the list counts for nothing.
func Cover(listed []string, stated, responded map[string]bool) Coverage {
	n := countListed(listed, stated)
	switch {
	case len(listed) == 0:
		return CoverageNone
	case countListed(listed, responded) == len(listed) && 2*n > len(listed):
		return CoverageFull
	case 2*n >= len(listed):
		return CoveragePartial
	default:
		return CoverageNone
	}
}

// PromotionWait returns how long a promotion must wait after the listed VMs in acked have
// acknowledged its designation. Any two sets of which one has more than half of the VMs
// and the other at least half share a VM, so a majority bounds partial evidence too.
func PromotionWait(listed []string, acked map[string]bool) time.Duration {
	n := countListed(listed, acked)
	switch {
	case len(listed) > 0 && n == len(listed):
		return 0
	case 2*n > len(listed):
		return RevocationWait
	default:
		return RevocationWait + MinorityWait
	}
}

func countListed(listed []string, in map[string]bool) int {
	n := 0
	for _, id := range listed {
		if in[id] {
			n++
		}
	}
	return n
}

// Source returns the VM from which a VM gets its evidence; empty if it consults the
// store itself. Evidence passes from one VM of the fleet to one VM of each data centre,
// and from there to the others, so calls to the store do not grow with the fleet.
// avoided VMs are passed over.
func Source(self string, vms map[string]topology.VM, avoided func(vm string) bool) string {
	ids := make([]string, 0, len(vms))
	for id, vm := range vms {
		if id == self || vm.State != topology.VMLeaving && !avoided(id) {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	dc := vms[self].DataCentre
	for _, id := range ids {
		if vms[id].DataCentre != dc {
			continue
		}
		if id != self {
			return id
		}
		break
	}
	if len(ids) == 0 || ids[0] == self {
		return ""
	}
	return ids[0]
}
