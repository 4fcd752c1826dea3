package primacy

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"egretroad/internal/topology"
)

// SupersededError reports a server that is not the designated primary of its group.
type SupersededError struct {
	Database, Server string
	Designated       topology.Designation
}

func (e *SupersededError) Error() string {
	return fmt.Sprintf("server %s is no longer the primary of %s: %s is designated with token %d",
		e.Server, e.Database, e.Designated.Server, e.Designated.Token)
}

// ExpiredError reports that the evidence of this VM is too old to use any primary.
type ExpiredError struct {
	Age time.Duration // of the last evidence; negative: there has been none
}

func (e *ExpiredError) Error() string {
	if e.Age < 0 {
		return "the designated primaries have not been confirmed yet"
	}
	return fmt.Sprintf("the designated primaries were last confirmed %s ago", e.Age.Round(time.Millisecond))
}

// UnlistedError reports that the list of VMs lacks this VM, so that it may not hear of new
// designations.
type UnlistedError struct{ VM string }

func (e *UnlistedError) Error() string { return "VM " + e.VM + " is not in the list of VMs" }

// Evidence states which designations are known, and as of when. Times are ages, so that
// the evidence can be passed between VMs.
type Evidence struct {
	// Designations are all that the sender knows, by database; none if the requester knows
	// the same ones.
	Designations map[string]topology.Designation `msgpack:"d,omitempty"`
	Digest       uint64                          `msgpack:"g"`           // of all designations that the sender knows
	Epoch        uint64                          `msgpack:"e,omitempty"` // latest epoch of the store that the sender knows
	Settled      uint64                          `msgpack:"s,omitempty"` // latest settled epoch that the sender knows
	HasFull      bool                            `msgpack:"f"`
	Complete     bool                            `msgpack:"c"` // the sender has known all designations at some time since its start
	FullAge      time.Duration                   `msgpack:"a"` // since the last full evidence, if HasFull
	PartialAge   time.Duration                   `msgpack:"p"` // since the last evidence of either kind, if HasFull
	// Listed is the list of VMs that the sender knows; none if the requester knows the same one.
	Listed     []string      `msgpack:"l,omitempty"`
	ListDigest uint64        `msgpack:"h,omitempty"` // of the list; 0: the sender knows none
	ListAge    time.Duration `msgpack:"i,omitempty"` // since the list was read from the store
}

// Known identifies what a VM knows, so that it is not sent again.
type Known struct {
	Designations uint64 // digest
	Ended        uint64 // digest of the designations whose calls have ended
	List         uint64 // digest of the list of VMs
}

// Ledger holds the designations that this VM knows and the time of its evidence. The
// newest designation of a group always replaces older ones, so the order of updates does
// not matter. It is safe for concurrent use. Times are on CLOCK_BOOTTIME.
type Ledger struct {
	self      string        // ID of this VM
	startedAt time.Duration // start of this process

	mu           sync.Mutex // guards the fields below
	designations map[string]topology.Designation
	digest       uint64 // XOR over the designations' hashes
	ended        uint64 // the same over the marks that their calls have ended
	epoch        uint64 // latest known epoch of the store
	settled      uint64 // latest known epoch that is settled
	hasFull      bool
	fullAt       time.Duration // as of when all designations were known
	partialAt    time.Duration // as of when at least half of the VMs knew no newer ones
	list         vmList
}

// NewLedger returns an empty ledger, which permits nothing.
func NewLedger(self string, startedAt time.Duration) *Ledger {
	return &Ledger{self: self, startedAt: startedAt, designations: map[string]topology.Designation{}}
}

// Merge adds designations and returns those that were new.
func (l *Ledger) Merge(designations map[string]topology.Designation) map[string]topology.Designation {
	l.mu.Lock()
	defer l.mu.Unlock()
	var added map[string]topology.Designation
	for database, d := range designations {
		if !d.Supersedes(l.designations[database]) {
			continue
		}
		l.digest ^= hashDesignation(database, l.designations[database]) ^ hashDesignation(database, d)
		l.ended ^= hashEnd(database, l.designations[database]) ^ hashEnd(database, d)
		l.designations[database] = d
		if added == nil {
			added = map[string]topology.Designation{}
		}
		added[database] = d
	}
	return added
}

// hashDesignation returns the hash of a group's designation; 0 if there is none.
func hashDesignation(database string, d topology.Designation) uint64 {
	if d == (topology.Designation{}) {
		return 0
	}
	return xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%s\x00%d", database, d.Server, d.Holder, d.Token))
}

// hashEnd returns the hash of the mark that the calls of a designation have ended; 0 if
// there is none.
func hashEnd(database string, d topology.Designation) uint64 {
	if !d.CallsEnded {
		return 0
	}
	return xxhash.Sum64String(fmt.Sprintf("%s\x00%d", database, d.Token))
}

// ConfirmFull records that every designation made before asOf has been merged.
func (l *Ledger) ConfirmFull(asOf time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.hasFull || asOf > l.fullAt {
		l.hasFull, l.fullAt = true, asOf
	}
	l.partialAt = max(l.partialAt, asOf)
}

// ConfirmPartial records that the designations known to at least half of the listed VMs
// as of asOf have been merged.
func (l *Ledger) ConfirmPartial(asOf time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partialAt = max(l.partialAt, asOf)
}

// ConfirmEpoch records that the store has been in an epoch. A designation of an earlier
// one must not be acted on any more: the store may have lost it.
func (l *Ledger) ConfirmEpoch(epoch uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.epoch = max(l.epoch, epoch)
}

// ConfirmSettled records that an epoch of the store is settled: the store has every
// designation that may be in force.
func (l *Ledger) ConfirmSettled(epoch uint64) (isNew bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	isNew = epoch > l.settled
	l.epoch, l.settled = max(l.epoch, epoch), max(l.settled, epoch)
	return isNew
}

// Settled reports whether an epoch is settled. A store without epochs, which is always in
// epoch 0, loses nothing.
func (l *Ledger) Settled(epoch uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return epoch <= l.settled
}

// Epoch returns the latest known epoch of the store.
func (l *Ledger) Epoch() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.epoch
}

// Digest returns the digest of the designations.
func (l *Ledger) Digest() uint64 { return l.Known().Designations }

// Known returns what this VM knows.
func (l *Ledger) Known() Known {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Known{Designations: l.digest, Ended: l.ended, List: l.list.digest}
}

// ConfirmList records the list of VMs as of asOf. It must come from a settled epoch.
func (l *Ledger) ConfirmList(ids []string, asOf time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list.merge(ids, asOf)
}

// RecordJoin records that this process has created the entry of its VM in the list, or may
// have. An entry that was there before proves nothing about the time since its creation.
func (l *Ledger) RecordJoin(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list.joinedAt = now
}

// Listed returns the known list of VMs; none if there has been no list. Callers must not
// modify it.
func (l *Ledger) Listed() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.list.ids
}

// ListsSelf reports whether this VM is in the known list of VMs. Otherwise promotions do
// not ask it to acknowledge a designation, so it may use no primary.
func (l *Ledger) ListsSelf() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.list.contains(l.self)
}

// ListedAt returns as of when the list of VMs is known; zero if there has been none.
func (l *Ledger) ListedAt() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.list.asOf
}

// ListHistory returns the list of VMs and its recent changes, for a requester that knows
// the list with the given digest.
func (l *Ledger) ListHistory(now time.Duration, known uint64) ListHistory {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.list.history(l.self, now, known)
}

// Members returns the VMs whose evidence a promotion must revoke. fresh is a list of VMs
// that was read after the designation was recorded, empty if it could not be read;
// announced are VMs that have announced themselves.
func (l *Ledger) Members(fresh FreshList, announced []string, now time.Duration) Members {
	m := Members{Changed: map[string]bool{}, Established: map[string]bool{}, Departed: map[string]bool{}}
	if len(fresh.IDs) == 0 {
		return m
	}
	m.Listed = slices.Clone(fresh.IDs)
	for _, id := range fresh.Established {
		m.Established[id] = true
	}
	for _, id := range fresh.Departed {
		m.Departed[id] = true
	}
	for _, id := range announced {
		if !slices.Contains(fresh.IDs, id) {
			m.Listed, m.Changed[id] = append(m.Listed, id), true
		}
	}
	m.Include(l.ListHistory(now, 0))
	return m
}

// Adopt merges evidence that another VM sent in response to a request that left this VM
// at sentAt. It returns the designations that were new.
func (l *Ledger) Adopt(e Evidence, sentAt time.Duration) map[string]topology.Designation {
	added := l.Merge(e.Designations)
	l.ConfirmEpoch(e.Epoch)
	l.ConfirmSettled(e.Settled)
	l.adoptList(e, sentAt)
	if e.HasFull && e.FullAge >= 0 && e.PartialAge >= 0 {
		l.ConfirmFull(sentAt - e.FullAge)
		l.ConfirmPartial(sentAt - e.PartialAge)
	}
	return added
}

// adoptList takes over the list of VMs in evidence, or its time if the list is the known one.
func (l *Ledger) adoptList(e Evidence, sentAt time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case e.ListDigest == 0 || e.ListAge < 0:
	case e.ListDigest == l.list.digest:
		l.list.asOf = max(l.list.asOf, sentAt-e.ListAge)
	case len(e.Listed) > 0:
		l.list.merge(e.Listed, sentAt-e.ListAge)
	}
}

// Evidence returns the evidence of this VM as of now, without what the requester knows.
func (l *Ledger) Evidence(now time.Duration, known Known) Evidence {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := Evidence{Digest: l.digest, Epoch: l.epoch, Settled: l.settled, HasFull: l.hasFull, Complete: l.isComplete(), FullAge: now - l.fullAt, PartialAge: now - l.partialAt}
	if known.Designations != l.digest || known.Ended != l.ended {
		e.Designations = maps.Clone(l.designations)
	}
	if l.list.digest != 0 {
		e.ListDigest, e.ListAge = l.list.digest, now-l.list.asOf
		if known.List != l.list.digest {
			e.Listed = l.list.ids
		}
	}
	return e
}

// Complete reports whether this VM has known every designation at some time since its
// start, so that it knows each one that it has ever acknowledged. Evidence from before its
// start, which it may have got from another VM, does not show that.
func (l *Ledger) Complete() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isComplete()
}

func (l *Ledger) isComplete() bool { return l.hasFull && l.fullAt > l.startedAt }

// Designations returns the newest known designation of each group.
func (l *Ledger) Designations() map[string]topology.Designation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.designations)
}

// Designation returns the newest known designation of a group; zero if there is none.
func (l *Ledger) Designation(database string) topology.Designation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.designations[database]
}

// ValidUntil returns when the evidence expires; zero if there has been none or this VM is
// not listed.
func (l *Ledger) ValidUntil() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.validUntil()
}

func (l *Ledger) validUntil() time.Duration {
	if !l.hasFull || !l.list.contains(l.self) {
		return 0
	}
	return max(l.fullAt+Validity, min(l.partialAt+Validity, min(l.fullAt, l.list.asOf+ListMaxAge)+MinorityWait))
}

// Check returns nil if a server may be used as the primary of its group at now,
// otherwise *SupersededError, *ExpiredError or *UnlistedError.
func (l *Ledger) Check(database, server string, now time.Duration) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d := l.designations[database]; d.Server != "" && d.Server != server {
		return &SupersededError{Database: database, Server: server, Designated: d}
	}
	if !l.hasFull {
		return &ExpiredError{Age: -1}
	}
	if !l.list.contains(l.self) {
		return &UnlistedError{VM: l.self}
	}
	if now >= l.validUntil() {
		return &ExpiredError{Age: now - l.partialAt}
	}
	return nil
}
