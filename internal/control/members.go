package control

import (
	"encoding/binary"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"egretroad/internal/topology"
)

// forgetAfter is how long the record of a dead VM outside the platform's list
// is kept, so that a late message does not bring the VM back.
const forgetAfter = 10 * time.Minute

// forgetInterval is the time between two searches for such records.
const forgetInterval = time.Minute

// member is one VM as this VM knows it.
type member struct {
	record  Record
	vm      topology.VM // addresses; no ID when they are not known
	listed  bool        // in the platform's list
	leaving bool        // marked leaving in the platform's list
	since   time.Duration
	why     string // evidence for the status, for the dump

	heard     time.Duration            // last message from the VM itself
	monitored time.Duration            // since when this VM monitors it
	probed    time.Duration            // last probe sent to it
	reports   map[string]time.Duration // when each monitor last reported it silent
}

// serves reports whether the VM is thought to answer.
func (m *member) serves() bool { return m.record.Status != StatusDead && m.vm.ID != "" }

// takesHomes reports whether the VM may be home of servers.
func (m *member) takesHomes() bool {
	return m.serves() && m.record.Status == StatusAlive && !m.leaving
}

// counts reports whether the record is part of the digest. The record of a dead
// VM that left the platform's list is not, as VMs forget it at different times.
func (m *member) counts() bool { return m.listed || m.record.Status != StatusDead }

// memberTable holds what is known of every VM.
type memberTable struct {
	members   map[string]*member
	listed    bool // the platform's list has been seen
	digest    uint64
	stale     bool // the digest must be computed again
	forgetDue time.Duration
	changed   map[string]bool // data centres whose live VMs changed since the last snapshot
}

func newMemberTable() memberTable {
	return memberTable{members: make(map[string]*member), changed: make(map[string]bool)}
}

// merge takes a record in unless one at least as late is known.
func (t *memberTable) merge(r Record, why string, now time.Duration) bool {
	m := t.members[r.ID]
	if m == nil {
		m = &member{since: now, why: why}
		m.adoptAddresses(r)
		m.record = r
		t.members[r.ID] = m
		t.touch(m)
		return true
	}
	if !r.after(m.record) {
		return false
	}
	m.adoptAddresses(r)
	m.record, m.since, m.why = r, now, why
	m.reports = nil
	t.touch(m)
	return true
}

func (m *member) adoptAddresses(r Record) {
	if r.VM != nil && r.VM.ID == r.ID && !m.listed {
		m.vm = *r.VM
	}
}

func (t *memberTable) touch(m *member) {
	t.stale = true
	t.changed[m.vm.DataCentre] = true
}

// applyList takes the platform's list of VMs in. The VMs of the first list are
// thought alive until a monitor misses them; later ones when they announce
// themselves.
func (t *memberTable) applyList(vms []topology.VM, now time.Duration) {
	first := !t.listed
	t.listed = true
	seen := make(map[string]bool, len(vms))
	for _, vm := range vms {
		seen[vm.ID] = true
		t.list(vm, first, now)
	}
	for id, m := range t.members {
		if m.listed && !seen[id] {
			m.listed = false
			t.merge(Record{ID: id, Incarnation: m.record.Incarnation, Status: StatusDead}, "gone from the platform's list", now)
			t.touch(m)
		}
	}
}

func (t *memberTable) list(vm topology.VM, first bool, now time.Duration) {
	m := t.members[vm.ID]
	if m == nil {
		status, why := StatusDead, "listed by the platform, not yet announced"
		if first {
			status, why = StatusAlive, "listed by the platform at the start"
		}
		t.merge(Record{ID: vm.ID, Status: status}, why, now)
		m = t.members[vm.ID]
	}
	leaving := vm.State == topology.VMLeaving
	if m.listed && m.vm == vm && m.leaving == leaving {
		return
	}
	m.vm, m.listed, m.leaving = vm, true, leaving
	t.touch(m)
}

// forget drops dead VMs that left the platform's list long ago.
func (t *memberTable) forget(now time.Duration) {
	if now < t.forgetDue {
		return
	}
	t.forgetDue = now + forgetInterval
	for id, m := range t.members {
		if !m.counts() && now-m.since > forgetAfter {
			delete(t.members, id)
		}
	}
}

// sum returns the digest of the records that count.
func (t *memberTable) sum() uint64 {
	if !t.stale {
		return t.digest
	}
	t.stale, t.digest = false, 0
	for _, m := range t.members {
		if m.counts() {
			t.digest ^= recordHash(m.record)
		}
	}
	return t.digest
}

func recordHash(r Record) uint64 {
	b := make([]byte, 0, len(r.ID)+9)
	b = append(b, r.ID...)
	b = binary.BigEndian.AppendUint64(b, r.Incarnation)
	b = append(b, byte(r.Status))
	return xxhash.Sum64(b)
}

// records returns every record, sorted by ID. Those outside the digest are among
// them: a VM that thinks another dead by the platform's list must tell those that
// think it alive.
func (t *memberTable) records() []Record {
	var out []Record
	for _, id := range t.ids(func(*member) bool { return true }) {
		out = append(out, t.members[id].share())
	}
	return out
}

// share returns the record with the addresses that receivers may lack.
func (m *member) share() Record {
	r := m.record
	r.VM = nil
	if !m.listed && m.vm.ID != "" {
		vm := m.vm
		r.VM = &vm
	}
	return r
}

// ids returns the sorted IDs of the members that keep chooses.
func (t *memberTable) ids(keep func(*member) bool) []string {
	var ids []string
	for id, m := range t.members {
		if keep(m) {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// serving returns the sorted IDs of the VMs of a data centre thought to answer.
func (t *memberTable) serving(dc string) []string {
	return t.ids(func(m *member) bool { return m.serves() && m.vm.DataCentre == dc })
}

// eligible returns the sorted IDs of the VMs of a data centre that may be homes.
func (t *memberTable) eligible(dc string) []string {
	return t.ids(func(m *member) bool { return m.takesHomes() && m.vm.DataCentre == dc })
}

// dataCentres returns the sorted data centres that have a VM thought to answer.
func (t *memberTable) dataCentres() []string {
	seen := map[string]bool{}
	for _, m := range t.members {
		if m.serves() {
			seen[m.vm.DataCentre] = true
		}
	}
	names := make([]string, 0, len(seen))
	for dc := range seen {
		names = append(names, dc)
	}
	sort.Strings(names)
	return names
}
