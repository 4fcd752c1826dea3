package primacy

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// vmList is the list of VMs in the store and its recent changes. Times are on
// CLOCK_BOOTTIME.
type vmList struct {
	ids     []string // sorted
	digest  uint64   // of the above; 0: no list is known
	asOf    time.Duration
	since   time.Duration            // asOf of the first list
	changed map[string]time.Duration // VMs that joined or left, and when this is known to have happened
	// joinedAt is when this process created the entry of its VM; 0: it has not.
	joinedAt time.Duration
}

// merge takes a list over unless it is older than the known one.
func (l *vmList) merge(ids []string, asOf time.Duration) {
	if l.digest != 0 && asOf <= l.asOf {
		return
	}
	ids = slices.Sorted(slices.Values(ids))
	digest := hashList(ids)
	switch {
	case l.digest == 0:
		l.since, l.changed = asOf, map[string]time.Duration{}
	case l.digest != digest:
		l.recordChanges(ids, asOf)
	}
	l.ids, l.digest, l.asOf = ids, digest, asOf
}

func (l *vmList) contains(id string) bool {
	_, listed := slices.BinarySearch(l.ids, id)
	return listed
}

func (l *vmList) recordChanges(ids []string, asOf time.Duration) {
	for id, at := range l.changed {
		if asOf-at > ListWindow {
			delete(l.changed, id)
		}
	}
	for _, id := range ids {
		if !l.contains(id) {
			l.changed[id] = asOf
		}
	}
	for _, id := range l.ids {
		if _, listed := slices.BinarySearch(ids, id); !listed {
			l.changed[id] = asOf
		}
	}
}

// hashList returns the hash of a sorted list of VMs, which is not 0.
func hashList(ids []string) uint64 { return max(1, xxhash.Sum64String(strings.Join(ids, "\x00"))) }

// ListHistory states the list of VMs and which VMs joined or left it, as far as a VM knows.
type ListHistory struct {
	Listed   []string `msgpack:"l,omitempty"` // none if the requester knows the same list
	Changed  []string `msgpack:"c,omitempty"` // VMs that joined or left within ListWindow
	Complete bool     `msgpack:"k,omitempty"` // the VM has known the list during all of ListWindow
}

// history returns the changes as of now that a VM knows, for a requester that knows the list
// with the given digest. Others may have missed that its entry was gone in between.
func (l *vmList) history(self string, now time.Duration, known uint64) ListHistory {
	var h ListHistory
	if known != l.digest {
		h.Listed = l.ids
	}
	for id, at := range l.changed {
		if now-at <= ListWindow {
			h.Changed = append(h.Changed, id)
		}
	}
	if l.joinedAt != 0 && now-l.joinedAt <= ListWindow && !slices.Contains(h.Changed, self) {
		h.Changed = append(h.Changed, self)
	}
	h.Complete = l.digest != 0 && now-l.since >= ListWindow && now-l.asOf <= ListMaxAge
	return h
}
