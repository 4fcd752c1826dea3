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
const deadRecordTTL = 10 * time.Minute

// forgetInterval is the time between two searches for such records.
const pruneInterval = time.Minute

// member is one VM as this VM knows it.
type member struct {
	record  Record
	vm      topology.VM // addresses; no ID when they are not known
	listed  bool        // in the platform's list
	listedLeaving bool        // marked leaving in the platform's list
	statusSince   time.Duration
	statusReason     string // evidence for the status, for the dump

	lastHeard     time.Duration            // last message from the VM itself
	monitoredSince time.Duration            // since when this VM monitors it
	lastProbed    time.Duration            // last probe sent to it
	silenceReports   map[string]time.Duration // when each monitor last reported it silent
}

// serves reports whether the VM is thought to answer.
func (m *member) reachable() bool { return m.record.Status != StatusDead && m.vm.ID != "" }

// takesHomes reports whether the VM may be home of servers.
func (m *member) eligibleAsHome() bool {
	return m.reachable() && m.record.Status == StatusAlive && !m.listedLeaving
}

// counts reports whether the record is part of the digest. The record of a dead
// VM that left the platform's list is not, as VMs forget it at different times.
func (m *member) inDigest() bool { return m.listed || m.record.Status != StatusDead }

// memberTable holds what is known of every VM.
type memberTable struct {
	members   map[string]*member
	listReceived    bool // the platform's list has been seen
	digest    uint64
	digestStale     bool // the digest must be computed again
	pruneDue time.Duration
	changedDataCentres   map[string]bool // data centres whose live VMs changed since the last snapshot
}

func newMemberTable() memberTable {
	return memberTable{members: make(map[string]*member), changedDataCentres: make(map[string]bool)}
}

// merge takes a record in unless one at least as late is known.
func (t *memberTable) merge(r Record, why string, now time.Duration) bool {
	m := t.members[r.ID]
	if m == nil {
		m = &member{statusSince: now, statusReason: why}
		m.setAddresses(r)
		m.record = r
		t.members[r.ID] = m
		t.markChanged(m)
		return true
	}
	if !r.supersedes(m.record) {
		return false
	}
	m.setAddresses(r)
	m.record, m.statusSince, m.statusReason = r, now, why
	m.silenceReports = nil
	t.markChanged(m)
	return true
}

func (m *member) setAddresses(r Record) {
	if r.VM != nil && r.VM.ID == r.ID && !m.listed {
		m.vm = *r.VM
	}
}

func (t *memberTable) markChanged(m *member) {
	t.digestStale = true
	t.changedDataCentres[m.vm.DataCentre] = true
}

// applyList takes the platform's list of VMs in. The VMs of the first list are
// thought alive until a monitor misses them; later ones when they announce
// themselves.
func (t *memberTable) applyList(vms []topology.VM, now time.Duration) {
	first := !t.listReceived
	t.listReceived = true
	seen := make(map[string]bool, len(vms))
	for _, vm := range vms {
		seen[vm.ID] = true
		t.applyListEntry(vm, first, now)
	}
	for id, m := range t.members {
		if m.listed && !seen[id] {
			m.listed = false
			t.merge(Record{ID: id, Incarnation: m.record.Incarnation, Status: StatusDead}, "gone from the platform's list", now)
			t.markChanged(m)
		}
	}
}

func (t *memberTable) applyListEntry(vm topology.VM, first bool, now time.Duration) {
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
	if m.listed && m.vm == vm && m.listedLeaving == leaving {
		return
	}
	m.vm, m.listed, m.listedLeaving = vm, true, leaving
	t.markChanged(m)
}

// forget drops dead VMs that left the platform's list long ago.
func (t *memberTable) prune(now time.Duration) {
	if now < t.pruneDue {
		return
	}
	t.pruneDue = now + pruneInterval
	for id, m := range t.members {
		if !m.inDigest() && now-m.statusSince > deadRecordTTL {
			delete(t.members, id)
		}
	}
}

// sum returns the digest of the records that count.
func (t *memberTable) currentDigest() uint64 {
	if !t.digestStale {
		return t.digest
	}
	t.digestStale, t.digest = false, 0
	for _, m := range t.members {
		if m.inDigest() {
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
func (t *memberTable) outgoingRecords() []Record {
	var out []Record
	for _, id := range t.ids(func(*member) bool { return true }) {
		out = append(out, t.members[id].outgoingRecord())
	}
	return out
}

// share returns the record with the addresses that receivers may lack.
func (m *member) outgoingRecord() Record {
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
func (t *memberTable) reachableIn(dc string) []string {
	return t.ids(func(m *member) bool { return m.reachable() && m.vm.DataCentre == dc })
}

// eligible returns the sorted IDs of the VMs of a data centre that may be homes.
func (t *memberTable) eligibleHomes(dc string) []string {
	return t.ids(func(m *member) bool { return m.eligibleAsHome() && m.vm.DataCentre == dc })
}

// dataCentres returns the sorted data centres that have a VM thought to answer.
func (t *memberTable) dataCentres() []string {
	seen := map[string]bool{}
	for _, m := range t.members {
		if m.reachable() {
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
