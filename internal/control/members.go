package control

import (
	"encoding/binary"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"egretroad/internal/platform"
	"egretroad/internal/topology"
)

// deadRecordTTL is how long the record of a dead VM outside the platform's list
// is kept, so that a late message does not bring the VM back.
const deadRecordTTL = 10 * time.Minute

// pruneInterval is the time between two removals of expired records.
const pruneInterval = time.Minute

// member is the locally known state of one VM.
type member struct {
	record        Record
	vm            topology.VM   // addresses; ID is empty when they are unknown
	listed        bool          // in the platform's list
	listedLeaving bool          // marked leaving in the platform's list
	delistAt      time.Duration // when it is no longer listed, unless a list has it before; 0: it is in the last list
	statusSince   time.Duration
	statusReason  string // reason for the status, shown in the dump

	lastHeartbeat  time.Duration            // last heartbeat received from the VM itself
	monitoredSince time.Duration            // when this VM started to monitor it
	lastProbed     time.Duration            // last probe sent to it
	silenceReports map[string]time.Duration // when each monitor last reported it silent
}

// reachable reports whether the VM is not dead and its addresses are known.
func (m *member) reachable() bool { return m.record.Status != StatusDead && m.vm.ID != "" }

// eligibleAsHome reports whether the VM may be the home of backend servers.
func (m *member) eligibleAsHome() bool {
	return m.reachable() && m.record.Status == StatusAlive && !m.listedLeaving
}

// inDigest reports whether the digest includes the record. The record of a dead VM
// that left the platform's list is excluded because VMs prune it at different times.
func (m *member) inDigest() bool { return m.listed || m.record.Status != StatusDead }

// memberTable holds the members of the fleet by VM ID.
type memberTable struct {
	members            map[string]*member
	listReceived       bool          // the platform's list has been received
	listEpoch          uint64        // epoch of the store in the last list
	nextDelist         time.Duration // when VMs missing from the list are declared dead; 0: none is missing
	digest             uint64
	digestStale        bool // the digest must be recomputed
	pruneDue           time.Duration
	changedDataCentres map[string]bool // data centres whose VMs changed since the last update of the ring
}

func newMemberTable() memberTable {
	return memberTable{members: make(map[string]*member), changedDataCentres: make(map[string]bool)}
}

// merge stores a record if it supersedes the known one, and reports whether it did.
func (t *memberTable) merge(r Record, reason string, now time.Duration) bool {
	m := t.members[r.ID]
	if m == nil {
		m = &member{statusSince: now, statusReason: reason}
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
	m.record, m.statusSince, m.statusReason = r, now, reason
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

// applyVMList merges the platform's list of VMs. VMs of the first list are assumed
// alive until the failure detector finds otherwise; VMs that appear in later
// lists are recorded as dead until they announce themselves. A VM that is gone from
// the list is declared dead, after restoredTTL if the list is the first of a new epoch.
func (t *memberTable) applyVMList(list *platform.VMList, restoredTTL, now time.Duration) {
	first := !t.listReceived
	epoch := platform.EpochOf(list.Revision)
	newEpoch := !first && epoch > t.listEpoch
	t.listReceived, t.listEpoch = true, max(t.listEpoch, epoch)
	listed := make(map[string]bool, len(list.VMs))
	for _, vm := range list.VMs {
		listed[vm.ID] = true
		t.applyListEntry(vm, first, now)
	}
	for id, m := range t.members {
		switch {
		case listed[id]:
			m.delistAt = 0
		case m.listed && newEpoch:
			m.delistAt = now + restoredTTL
			t.nextDelist = m.delistAt
		case m.listed && m.delistAt == 0:
			t.delist(m, now)
		}
	}
}

// delistMissing declares the VMs dead that have been missing from the list for too long.
func (t *memberTable) delistMissing(now time.Duration) {
	if t.nextDelist == 0 || now < t.nextDelist {
		return
	}
	t.nextDelist = 0
	for _, m := range t.members {
		if m.delistAt != 0 && now >= m.delistAt {
			t.delist(m, now)
		}
	}
}

func (t *memberTable) delist(m *member, now time.Duration) {
	m.listed, m.delistAt = false, 0
	t.merge(Record{ID: m.record.ID, Incarnation: m.record.Incarnation, Status: StatusDead}, "removed from the platform's list", now)
	t.markChanged(m)
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

// prune removes the records of dead VMs outside the platform's list after
// deadRecordTTL.
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

// currentDigest returns the XOR of the hashes of the records that inDigest includes.
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

// outgoingRecords returns every record, sorted by ID. Records outside the digest
// are included: a VM that was removed from the platform's list must become known as
// dead to VMs that still consider it alive.
func (t *memberTable) outgoingRecords() []Record {
	var out []Record
	for _, id := range t.ids(func(*member) bool { return true }) {
		out = append(out, t.members[id].outgoingRecord())
	}
	return out
}

// outgoingRecord returns the record to send to peers. It includes the addresses of a
// VM outside the platform's list, since receivers may not have them.
func (m *member) outgoingRecord() Record {
	r := m.record
	r.VM = nil
	if !m.listed && m.vm.ID != "" {
		vm := m.vm
		r.VM = &vm
	}
	return r
}

// ids returns the sorted IDs of the members for which match returns true.
func (t *memberTable) ids(match func(*member) bool) []string {
	var ids []string
	for id, m := range t.members {
		if match(m) {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// reachableIn returns the sorted IDs of the reachable VMs of a data centre.
func (t *memberTable) reachableIn(dc string) []string {
	return t.ids(func(m *member) bool { return m.reachable() && m.vm.DataCentre == dc })
}

// eligibleHomes returns the sorted IDs of the VMs of a data centre that may be homes.
func (t *memberTable) eligibleHomes(dc string) []string {
	return t.ids(func(m *member) bool { return m.eligibleAsHome() && m.vm.DataCentre == dc })
}

// dataCentres returns the sorted data centres that have a reachable VM.
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
