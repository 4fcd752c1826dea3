package primacy

import "time"

// EstablishedRecord is the value of the object that records which VMs are established: their
// entries in the list of VMs have been there for at least ListWindow. It outlives every
// process, so a VM that has restarted is established if it was, and one that has joined
// lately is not, whatever is left of those that have seen it join.
//
// A registration identifies the creation of an entry, and no two creations have the same
// one. An entry that is in the record stays established for as long as it exists. One that is
// created again under the same name has another registration.
type EstablishedRecord struct {
	// Epoch is that of the store for which the record holds. A store that has returned from an
	// older copy may have lost or brought back entries.
	Epoch uint64            `json:"epoch"`
	VMs   map[string]string `json:"vms"` // registrations by VM ID
}

// List is the list of VMs as it was read from the store.
type List struct {
	IDs           []string
	Epoch         uint64            // of the store
	Registrations map[string]string // of the listed VMs, by ID; none for entries of earlier versions
	Record        EstablishedRecord // zero if there is none or it cannot be read
}

// Recorded reports whether the list has a record of the established VMs.
func (l List) Recorded() bool { return l.Record.VMs != nil && l.Record.Epoch == l.Epoch }

// Established returns the listed VMs that are established.
func (l List) Established() []string {
	var ids []string
	for _, id := range l.IDs {
		if l.Recorded() && l.isRecorded(id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// Departed returns the recorded VMs whose entries are gone or have been created again, in
// whatever epoch they were recorded: a promotion that counts one too many only waits longer.
func (l List) Departed() []string {
	var ids []string
	for id := range l.Record.VMs {
		if !l.isRecorded(id) {
			ids = append(ids, id)
		}
	}
	return ids
}

func (l List) isRecorded(id string) bool {
	registration := l.Registrations[id]
	return registration != "" && l.Record.VMs[id] == registration
}

// Tenure observes the lists of VMs that a process reads and determines which VMs are
// established. An entry that has the same registration in two lists has existed throughout
// the time between them, so the reads may be any time apart. The zero value has observed
// nothing.
type Tenure struct {
	list  List
	asOf  time.Duration            // of list, on CLOCK_BOOTTIME
	since map[string]time.Duration // when the listed entries were first seen, by VM ID
	gone  map[string]time.Duration // when the departed VMs were first missed, by VM ID
}

// Observe takes over a list that was requested at asOf and has arrived, unless it is older
// than the last.
func (t *Tenure) Observe(l List, asOf, arrived time.Duration) {
	if t.since != nil && (asOf <= t.asOf || l.Epoch < t.list.Epoch) {
		return
	}
	last := *t
	*t = Tenure{list: l, asOf: asOf, since: map[string]time.Duration{}, gone: map[string]time.Duration{}}
	sameEpoch := l.Epoch == last.list.Epoch
	for _, id := range l.IDs {
		at, seen := last.since[id]
		if !seen || !sameEpoch || last.list.Registrations[id] != l.Registrations[id] {
			at = arrived
		}
		t.since[id] = at
	}
	for _, id := range l.Departed() {
		at, missed := last.gone[id]
		if !missed || !sameEpoch || last.list.Record.VMs[id] != l.Record.VMs[id] {
			at = arrived
		}
		t.gone[id] = at
	}
}

// NextRecord returns the record that the store should have, and whether it has to be written
// now. VMs that have left stay in it for ListWindow: while evidence that was counted with them
// is valid, a promotion has to know of them. A change waits for VMs that become established
// soon, so that VMs that start together share one write: at most for batch.
func (t *Tenure) NextRecord(batch time.Duration) (next EstablishedRecord, isDue bool) {
	next = EstablishedRecord{Epoch: t.list.Epoch, VMs: map[string]string{}}
	recorded, soon, overdue := t.list.Recorded(), false, time.Duration(0)
	for id, at := range t.gone {
		if age := t.asOf - at; age <= ListWindow {
			next.VMs[id] = t.list.Record.VMs[id]
		} else {
			overdue = max(overdue, age-ListWindow)
		}
	}
	for id, at := range t.since {
		age, registration := t.asOf-at, t.list.Registrations[id]
		switch {
		case registration == "":
		case recorded && t.list.isRecorded(id):
			next.VMs[id] = registration
		case age > ListWindow:
			next.VMs[id] = registration
			overdue = max(overdue, age-ListWindow)
		case age > ListWindow-batch:
			soon = true
		}
	}
	return next, overdue > 0 && (!soon || overdue >= batch)
}
