package primacy

import (
	"fmt"
	"maps"
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
}

// Ledger holds the designations that this VM knows and the time of its evidence. The
// newest designation of a group always replaces older ones, so the order of updates does
// not matter. It is safe for concurrent use. Times are on CLOCK_BOOTTIME.
type Ledger struct {
	startedAt time.Duration // start of this process

	mu           sync.Mutex // guards the fields below
	designations map[string]topology.Designation
	digest       uint64 // XOR over the designations' hashes
	epoch        uint64 // latest known epoch of the store
	settled      uint64 // latest known epoch that is settled
	hasFull      bool
	fullAt       time.Duration // as of when all designations were known
	partialAt    time.Duration // as of when at least half of the VMs knew no newer ones
}

// NewLedger returns an empty ledger, which permits nothing.
func NewLedger(startedAt time.Duration) *Ledger {
	return &Ledger{startedAt: startedAt, designations: map[string]topology.Designation{}}
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
func (l *Ledger) Digest() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.digest
}

// Adopt merges evidence that another VM sent in response to a request that left this VM
// at sentAt. It returns the designations that were new.
func (l *Ledger) Adopt(e Evidence, sentAt time.Duration) map[string]topology.Designation {
	added := l.Merge(e.Designations)
	l.ConfirmEpoch(e.Epoch)
	l.ConfirmSettled(e.Settled)
	if e.HasFull && e.FullAge >= 0 && e.PartialAge >= 0 {
		l.ConfirmFull(sentAt - e.FullAge)
		l.ConfirmPartial(sentAt - e.PartialAge)
	}
	return added
}

// Evidence returns the evidence of this VM as of now, for a requester that knows the
// designations with the given digest.
func (l *Ledger) Evidence(now time.Duration, known uint64) Evidence {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := Evidence{Digest: l.digest, Epoch: l.epoch, Settled: l.settled, HasFull: l.hasFull, Complete: l.isComplete(), FullAge: now - l.fullAt, PartialAge: now - l.partialAt}
	if known != l.digest {
		e.Designations = maps.Clone(l.designations)
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

// ValidUntil returns when the evidence expires; zero if there has been none.
func (l *Ledger) ValidUntil() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.validUntil()
}

func (l *Ledger) validUntil() time.Duration {
	if !l.hasFull {
		return 0
	}
	return max(l.fullAt+Validity, min(l.partialAt+Validity, l.fullAt+MinorityWait))
}

// Check returns nil if a server may be used as the primary of its group at now,
// otherwise *SupersededError or *ExpiredError.
func (l *Ledger) Check(database, server string, now time.Duration) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d := l.designations[database]; d.Server != "" && d.Server != server {
		return &SupersededError{Database: database, Server: server, Designated: d}
	}
	if !l.hasFull {
		return &ExpiredError{Age: -1}
	}
	if now >= l.validUntil() {
		return &ExpiredError{Age: now - l.partialAt}
	}
	return nil
}
