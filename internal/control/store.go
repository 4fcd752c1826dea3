package control

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"time"

	"egretroad/internal/platform"
)

// storeCall is the state of one kind of periodic call to the platform's store.
type storeCall struct {
	inFlight     bool
	due          time.Duration
	failures     int
	failingSince time.Duration
	lastErr      error
}

// storeState is the state of all calls to the platform's store.
type storeState struct {
	catalogue      storeCall
	groups         storeCall
	vms            storeCall
	watch          storeCall
	longWatch      bool            // the call in flight is a long-polling watch, not a poll
	stage          watchStage      // the next call on the way to a working watch
	watchCancelled bool            // the watch in flight was cancelled
	listed         map[string]bool // kinds that a watch covers: the store has listed them, and has the changes since
	epoch          uint64          // epoch of the last list; 0: none, or the store has no epochs
}

// storeKinds returns the kinds of objects that VMs read from the store.
func (m *Machine) storeKinds() []string {
	return []string{platform.KindCatalogue, m.opts.groupKind()}
}

// describe returns the last error of a failing call, or "ok", for logs and dumps.
func (s *storeState) describe() string {
	for _, c := range []*storeCall{&s.catalogue, &s.groups, &s.watch, &s.vms} {
		if c.lastErr != nil {
			return c.lastErr.Error()
		}
	}
	return "ok"
}

// listCall returns the state of the lists of a kind.
func (m *Machine) listCall(kind string) *storeCall {
	if kind == m.opts.groupKind() {
		return &m.store.groups
	}
	return &m.store.catalogue
}

// startDueCalls starts the store calls that are due. While watches or lists fail, probes
// tell when the store responds again, and no other call is made.
func (m *Machine) startDueCalls() {
	if m.store.stage == stageProbe && m.Ready() {
		m.callWhenDue(&m.store.watch, ProbeStore{})
		return
	}
	m.callWhenDue(&m.store.vms, ListVMs{})
	m.listUnlistedKinds()
	m.watchListedKinds()
}

// listUnlistedKinds lists the kinds that a watch does not cover. How this VM became ready
// does not matter: the copy of another VM is no position to watch from. A VM that is ready
// and does not watch lists them instead of a poll.
func (m *Machine) listUnlistedKinds() {
	if m.Ready() && !m.watch.watching && m.now < m.store.watch.due {
		return
	}
	for _, kind := range m.storeKinds() {
		if !m.store.listed[kind] {
			m.callWhenDue(m.listCall(kind), ListObjects{Kind: kind})
		}
	}
}

// watchListedKinds watches the kinds that have been listed. It waits for the first list of
// the others to end.
func (m *Machine) watchListedKinds() {
	kinds := m.listedKinds()
	if !m.Ready() || len(kinds) == 0 {
		return
	}
	for _, kind := range m.storeKinds() {
		if c := m.listCall(kind); !m.store.listed[kind] && c.inFlight && c.failures == 0 {
			return
		}
	}
	wait := m.watchWait()
	if m.callWhenDue(&m.store.watch, WatchObjects{Kinds: kinds, Since: m.complete.lowest(), Wait: wait}) {
		m.store.longWatch = wait > 0
	}
}

func (m *Machine) callWhenDue(c *storeCall, call interface{ EffectName() string }) bool {
	if c.inFlight || m.now < c.due {
		return false
	}
	c.inFlight = true
	m.emit(call)
	return true
}

// finishCall records the result of a call and schedules the next one: after next on
// success, after an exponential back-off with jitter on failure.
func (m *Machine) finishCall(c *storeCall, err error, next time.Duration) {
	c.inFlight = false
	if err == nil {
		if c.failures > 0 {
			m.log("store_call_answered", "failures", c.failures, "down_for", m.now-c.failingSince)
		}
		c.failures, c.lastErr = 0, nil
		c.due = m.now + next
		return
	}
	wait := m.opts.InitialBackoff
	for i := 0; i < c.failures && wait < m.opts.MaxBackoff; i++ {
		wait *= 2
	}
	if c.failures == 0 {
		m.log("store_call_failed", "error", err)
	}
	if c.failures == 0 {
		c.failingSince = m.now
	}
	c.failures++
	c.lastErr = err
	c.due = m.now + m.jitter(min(wait, m.opts.MaxBackoff))
}

// handleObjectsListed merges a complete list. Known objects that are absent from it
// were deleted at its revision or before. A list of a lower revision than that up to which
// every object is known is outdated: the store may have returned from an older copy. An
// update relayed from a list carries no revision range, because it omits deletions of
// objects that this VM never knew but the receiver may know.
func (m *Machine) handleObjectsListed(e ObjectsListed) {
	c := m.listCall(e.Kind)
	m.finishCall(c, e.Err, 0)
	if e.Err != nil {
		m.probeAfterFailedList(c)
		return
	}
	m.log("kind_listed", "kind", e.Kind, "revision", e.List.Revision, "objects", len(e.List.Objects))
	m.recordAnswer(e.Kind, m.now)
	m.noticeEpoch(platform.EpochOf(e.List.Revision))
	wasReady := m.Ready()
	var changed []ObjectRecord
	if complete := m.completeUpTo(e.Kind); m.isDocument(e.Kind) {
		m.mergeDocument(e.Kind, e.List, sourceStore, "list of the store")
	} else if e.List.Revision < complete {
		m.log("list_outdated", "kind", e.Kind, "revision", e.List.Revision, "complete", complete)
	} else {
		changed = m.mergeObjects(toRecords(e.List.Objects), sourceStore, e.List.Revision)
		changed = append(changed, m.mergeObjects(m.deletionsFromList(e.Kind, e.List), sourceStore, e.List.Revision)...)
	}
	m.listedOnce[e.Kind] = true
	m.raiseComplete(e.Kind, e.List.Revision, "list of the store")
	if !wasReady && m.Ready() {
		m.log("catalogue_from_store", "revision", m.complete.lowest())
	}
	m.watchFromList(e.Kind)
	if wasReady && len(changed) <= maxRelayedObjects {
		m.relayObjects(changed, sourceStore)
	}
}

// probeAfterFailedList makes a VM that is ready probe the store before it lists again, unless
// a watch in flight will tell more.
func (m *Machine) probeAfterFailedList(list *storeCall) {
	if !m.Ready() || m.store.watch.inFlight {
		return
	}
	m.store.stage = stageProbe
	m.store.watch.due = max(m.store.watch.due, list.due)
}

// watchFromList makes the next watch cover a kind that was listed. A watch in flight without
// it ends.
func (m *Machine) watchFromList(kind string) {
	m.store.listed[kind] = true
	m.store.watch.due = m.now
	m.cancelLongWatch()
	m.reportWatchState()
	m.announceWatchContact()
}

// cancelLongWatch ends a watch that waits for changes.
func (m *Machine) cancelLongWatch() {
	if m.store.watch.inFlight && m.store.longWatch {
		m.store.longWatch, m.store.watchCancelled = false, true
		m.emit(CancelWatch{})
	}
}

// listAgain makes the kinds of a watch be listed again, because the store cannot tell their
// changes.
func (m *Machine) listAgain(kinds []string) {
	for _, kind := range kinds {
		delete(m.store.listed, kind)
		m.listCall(kind).due = m.now
	}
	m.reportWatchState()
}

// noticeEpoch reads the list of VMs at once when the store has returned from an older copy
// since it was listed, or since another VM listed it for the copy that this one started with:
// VMs that registered since are missing from it.
func (m *Machine) noticeEpoch(epoch uint64) {
	if epoch <= m.store.epoch {
		return
	}
	if known := max(m.store.epoch, platform.EpochOf(m.complete.Groups)); known != 0 && known < epoch {
		m.alarm("store_restored", "epoch", epoch, "previous", known, "catalogue", m.complete.Catalogue, "groups", m.complete.Groups)
		m.store.vms.due = m.now
	}
	m.store.epoch = epoch
}

// deletionsFromList returns deletion records for known objects absent from a list of a
// kind.
func (m *Machine) deletionsFromList(kind string, list platform.ObjectList) []ObjectRecord {
	present := make(map[string]bool, len(list.Objects))
	for _, o := range list.Objects {
		present[o.Name] = true
	}
	var deletions []ObjectRecord
	for key, o := range m.objects.objects {
		if key.kind == kind && !present[key.name] && !o.record.Deleted && o.record.Version <= list.Revision {
			deletions = append(deletions, ObjectRecord{Kind: key.kind, Name: key.name, Version: list.Revision, Deleted: true})
		}
	}
	return deletions
}

// handleObjectsWatched merges the result of a watch or poll and relays the changes.
// A compacted revision triggers a new list of all objects, and so does a kind that the
// store's client has not listed.
func (m *Machine) handleObjectsWatched(e ObjectsWatched) {
	if e.Kinds == nil {
		e.Kinds = m.storeKinds()
	}
	cancelled := m.store.watchCancelled
	m.store.longWatch, m.store.watchCancelled = false, false
	var compacted *platform.CompactedError
	if errors.As(e.Err, &compacted) {
		m.finishCall(&m.store.watch, nil, 0)
		m.listAgain(e.Kinds)
		return
	}
	var notListed *platform.NotListedError
	if errors.As(e.Err, &notListed) {
		m.listAgain([]string{notListed.Kind})
	}
	next := m.opts.MinWatchInterval
	if !m.watch.watching {
		next = m.jitter(m.opts.PollInterval)
	}
	if cancelled && e.Err != nil {
		m.finishCall(&m.store.watch, nil, next)
		return
	}
	m.finishCall(&m.store.watch, e.Err, next)
	if e.Err != nil {
		m.store.stage = stageProbe
		return
	}
	m.store.stage = stageWatch
	for _, kind := range m.storeKinds() {
		if e.Response.Ranges == nil && !slices.Contains(e.Kinds, kind) {
			continue
		}
		if e.Response.Answers(kind) {
			m.recordAnswer(kind, m.answeredAt(e.Response, kind))
		}
		m.mergeWatched(kind, e.Response.Range(kind, e.Since), e.Response.Objects)
	}
	m.announceWatchContact()
}

// answeredAt returns when the store gave the answer for a kind in the response to a watch.
func (m *Machine) answeredAt(response platform.WatchResponse, kind string) time.Duration {
	if at, kept := response.AnsweredAt[kind]; kept {
		return at
	}
	return m.now
}

// mergeWatched merges the changes of one kind in a range of revisions. The relayed update
// has every object changed since the revision up to which this VM was complete, also those
// that a peer had sent already: a receiver may lack them.
func (m *Machine) mergeWatched(kind string, covered platform.RevisionRange, objects []platform.Object) {
	var watched []platform.Object
	for _, o := range objects {
		if o.Kind == kind {
			watched = append(watched, o)
		}
	}
	if covered.Full {
		m.mergeDocument(kind, platform.ObjectList{Revision: covered.Revision, Objects: watched}, sourceWatch, "watch")
		return
	}
	since := m.completeUpTo(kind)
	changed := m.mergeObjects(toRecords(watched), sourceWatch, covered.Revision)
	if covered.Since <= since {
		m.raiseComplete(kind, covered.Revision, fmt.Sprintf("watch since %d", covered.Since))
	}
	if len(changed) > 0 {
		m.relay(ObjectUpdate{Kind: kind, Since: since, Revision: m.completeUpTo(kind), Objects: m.objects.changedSince(kind, since)}, sourceWatch)
	}
}

// withoutKnownValues returns the records whose value differs from the known one, so that
// an object which did not change keeps its version.
func (m *Machine) withoutKnownValues(records []ObjectRecord) []ObjectRecord {
	var differing []ObjectRecord
	for _, r := range records {
		o := m.objects.objects[objectKey{r.Kind, r.Name}]
		if o == nil || o.record.Deleted || !bytes.Equal(o.record.Value, r.Value) {
			differing = append(differing, r)
		}
	}
	return differing
}

// handleVMsListed merges the platform's list of VMs as a replicated object. A list
// with the same VMs is ignored, and so is an empty list when other VMs are known.
func (m *Machine) handleVMsListed(e VMsListed) {
	next := m.jitter(m.opts.VMsPollInterval)
	if m.watch.watching || !m.Ready() {
		next = m.jitter(m.opts.WatcherVMsInterval)
	}
	m.finishCall(&m.store.vms, e.Err, next)
	if e.Err != nil {
		return
	}
	if m.sameVMs(e.List) {
		m.registerIfMissing(e.List.VMs)
		return
	}
	if len(e.List.VMs) == 0 && len(m.members.members) > 1 {
		m.alarm("vm_list_empty", "revision", e.List.Revision)
		return
	}
	changed := m.mergeObjects([]ObjectRecord{vmsRecord(e.List)}, sourceStore, e.List.Revision)
	m.relayObjects(changed, sourceStore)
}
