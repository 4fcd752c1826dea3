package primacy

import (
	"slices"
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
// VM outside the list counts for nothing, but one that has announced itself must respond.
func Cover(listed, announced []string, stated, responded map[string]bool) Coverage {
	n := countListed(listed, stated)
	switch {
	case len(listed) == 0:
		return CoverageNone
	case countListed(listed, responded) == len(listed) && countListed(announced, responded) == len(announced) && 2*n > len(listed):
		return CoverageFull
	case 2*n >= len(listed):
		return CoveragePartial
	default:
		return CoverageNone
	}
}

// FreshList is a list of VMs that was read after a designation was recorded.
type FreshList struct {
	IDs []string
	// Established are those of IDs that the store's record has, and Departed the VMs in the
	// record whose entries are gone or have been created again.
	Established, Departed []string
}

// Fresh returns what a promotion needs of a list.
func (l List) Fresh() FreshList {
	return FreshList{IDs: l.IDs, Established: l.Established(), Departed: l.Departed()}
}

// Members are the VMs whose evidence a promotion must revoke.
type Members struct {
	Listed  []string        // in a list read after the designation was recorded, or announced since; empty: unknown
	Changed map[string]bool // VMs that are known to have joined or left the list within ListWindow
	// Known is set if Changed has all such VMs.
	Known bool
	// Established are the listed VMs that the store's record has, and Departed those that it
	// has and that are not listed any more, or anew.
	Established, Departed map[string]bool
}

// Include adds a VM's knowledge of the list and its changes. Where its list differs, VMs have
// joined or left since it knew it.
func (m *Members) Include(h ListHistory) {
	if len(h.Listed) > 0 {
		m.includeDifferences(h.Listed)
	}
	for _, id := range h.Changed {
		m.Changed[id] = true
	}
	m.Known = m.Known || h.Complete
}

func (m *Members) includeDifferences(listed []string) {
	for _, id := range listed {
		if !slices.Contains(m.Listed, id) {
			m.Changed[id] = true
		}
	}
	for _, id := range m.Listed {
		if !slices.Contains(listed, id) {
			m.Changed[id] = true
		}
	}
}

// stayed reports whether a listed VM has been listed throughout ListWindow: no VM remembers
// otherwise, and the store's record says so or some VM remembers all changes.
func (m *Members) stayed(id string) bool {
	return !m.Changed[id] && !m.Departed[id] && (m.Known || m.Established[id])
}

// left returns the number of VMs that have left the list within ListWindow and may be
// running. One whose entry was created again counts as well: evidence may be counted from a
// list without the new entry.
func (m *Members) left() int {
	n := len(m.Departed)
	for id := range m.Changed {
		if !m.Departed[id] && !slices.Contains(m.Listed, id) {
			n++
		}
	}
	return n
}

// Acknowledgement is the acknowledgement of a designation by a VM.
type Acknowledgement struct {
	VM string
	At time.Duration // when it arrived, on CLOCK_BOOTTIME
}

// SafeAt returns when a promotion may follow acknowledgements, in the order of their
// arrival; 0: at once. A later one may shorten the wait.
func SafeAt(m Members, acks []Acknowledgement) time.Duration {
	safeAt, acked := time.Duration(0), map[string]bool{}
	for _, a := range acks {
		acked[a.VM] = true
		wait := PromotionWait(m, acked)
		if wait == 0 {
			return 0
		}
		if at := a.At + wait; safeAt == 0 || at < safeAt {
			safeAt = at
		}
	}
	return safeAt
}

// PromotionWait returns how long a promotion must wait after the VMs in acked have
// acknowledged its designation. Partial evidence comes from at least half of the VMs of a
// list that may be as old as ListWindow. RevocationWait is enough if every such set of VMs
// has one that acknowledged: VMs that may have joined meanwhile do not count as such, and
// VMs that left count as silent.
func PromotionWait(m Members, acked map[string]bool) time.Duration {
	if len(m.Listed) == 0 {
		return RevocationWait + MinorityWait
	}
	t := m.Tally(acked)
	switch {
	case len(t.Silent)+t.Left == 0:
		return 0
	case len(t.Stayed) > len(t.Silent)+t.Left:
		return RevocationWait
	default:
		return RevocationWait + MinorityWait
	}
}

// Tally is what the wait of a promotion depends on.
type Tally struct {
	Stayed []string // VMs that acknowledged and were listed throughout ListWindow
	Silent []string // listed VMs that did not acknowledge
	Left   int      // VMs that left the list within ListWindow
}

// Tally sorts the VMs by what they contribute, after those in acked have acknowledged.
func (m Members) Tally(acked map[string]bool) Tally {
	t := Tally{Left: m.left()}
	for _, id := range m.Listed {
		switch {
		case !acked[id]:
			t.Silent = append(t.Silent, id)
		case m.stayed(id):
			t.Stayed = append(t.Stayed, id)
		}
	}
	return t
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
