package control

import (
	"errors"
	"time"

	"egretroad/internal/platform"
)

// storeCall is one kind of call to the store that repeats.
type storeCall struct {
	busy     bool
	due      time.Duration
	failures int
	failedAt time.Duration
	err      error
}

// storeState says which calls to the store are waiting or due.
type storeState struct {
	catalogue storeCall
	groups    storeCall
	vms       storeCall
	watch     storeCall
	watching  bool              // the waiting watch is a long one
	cancelled bool              // the waiting watch was cancelled
	listed    map[string]uint64 // revision of the last list by kind
	relist    bool              // the store no longer keeps the revision to watch from
}

// describe says whether the store answers, for logs and dumps.
func (s *storeState) describe() string {
	for _, c := range []*storeCall{&s.catalogue, &s.groups, &s.watch, &s.vms} {
		if c.err != nil {
			return c.err.Error()
		}
	}
	return "ok"
}

// watcher reports whether this VM watches the store for its data centre.
func (m *Machine) watcher() bool {
	return len(m.members.members) <= m.opts.WatchAllUpTo || m.ring.watcher == m.cfg.Self.ID
}

// callStore starts the calls that are due.
func (m *Machine) callStore() {
	if !m.Ready() || m.store.relist {
		m.callWhenDue(&m.store.catalogue, ListObjects{Kind: platform.KindCatalogue})
		m.callWhenDue(&m.store.groups, ListObjects{Kind: m.opts.groupKind()})
	}
	m.callWhenDue(&m.store.vms, ListVMs{})
	if !m.Ready() || m.store.relist {
		return
	}
	wait := time.Duration(0)
	if m.watcher() {
		wait = m.opts.WatchWait
	}
	if m.callWhenDue(&m.store.watch, WatchObjects{Since: m.complete, Wait: wait}) {
		m.store.watching = wait > 0
	}
}

func (m *Machine) callWhenDue(c *storeCall, call interface{ EffectName() string }) bool {
	if c.busy || m.now < c.due {
		return false
	}
	c.busy = true
	m.emit(call)
	return true
}

// ended notes the end of a call and when the next is due.
func (m *Machine) ended(c *storeCall, err error, next time.Duration) {
	c.busy = false
	if err == nil {
		if c.failures > 0 {
			m.log("store_call_answered", "failures", c.failures, "down_for", m.now-c.failedAt)
		}
		c.failures, c.err = 0, nil
		c.due = m.now + next
		return
	}
	wait := m.opts.RetryFirst
	for i := 0; i < c.failures && wait < m.opts.RetryMax; i++ {
		wait *= 2
	}
	if c.failures == 0 {
		m.log("store_call_failed", "error", err)
	}
	if c.failures == 0 {
		c.failedAt = m.now
	}
	c.failures++
	c.err = err
	c.due = m.now + m.jitter(min(wait, m.opts.RetryMax))
}

// watcherChanged starts or ends the long watch when the duty moves.
func (m *Machine) watcherChanged() {
	switch {
	case m.store.watch.busy && m.store.watching && !m.watcher():
		m.store.watching, m.store.cancelled = false, true
		m.emit(CancelWatch{})
	case !m.store.watch.busy && m.watcher() && m.store.watch.failures == 0:
		m.store.watch.due = m.now
		m.store.vms.due = min(m.store.vms.due, m.now)
	}
}

// objectsListed takes a complete list in: known objects that it lacks were
// deleted at its revision at the latest. A list does not show deletions to those
// that have other objects, so what is relayed of it completes nobody.
func (m *Machine) objectsListed(e ObjectsListed) {
	c := &m.store.catalogue
	if e.Kind == m.opts.groupKind() {
		c = &m.store.groups
	}
	m.ended(c, e.Err, m.opts.RetryMax)
	if e.Err != nil {
		return
	}
	wasReady := m.Ready()
	news := m.accept(records(e.List.Objects), fromStore)
	news = append(news, m.accept(m.missingFrom(e), fromStore)...)
	if m.store.listed == nil {
		m.store.listed = make(map[string]uint64)
	}
	m.store.listed[e.Kind] = e.List.Revision
	m.listsComplete()
	if wasReady && len(news) <= maxRelayedObjects {
		m.relay(news, 0, 0, fromStore)
	}
}

// missingFrom returns deletions of the objects that a list lacks.
func (m *Machine) missingFrom(e ObjectsListed) []ObjectRecord {
	present := make(map[string]bool, len(e.List.Objects))
	for _, o := range e.List.Objects {
		present[o.Name] = true
	}
	var gone []ObjectRecord
	for key, o := range m.objects.objects {
		if key.kind == e.Kind && !present[key.name] && !o.record.Deleted && o.record.Version <= e.List.Revision {
			gone = append(gone, ObjectRecord{Kind: key.kind, Name: key.name, Version: e.List.Revision, Deleted: true})
		}
	}
	return gone
}

// listsComplete raises the complete revision once both kinds were listed.
func (m *Machine) listsComplete() {
	c, okCatalogue := m.store.listed[platform.KindCatalogue]
	g, okGroups := m.store.listed[m.opts.groupKind()]
	if !okCatalogue || !okGroups {
		return
	}
	if !m.Ready() {
		m.log("catalogue_from_store", "revision", min(c, g))
	}
	m.complete = max(m.complete, min(c, g), 1)
	m.store.relist = false
	m.store.listed = nil
	m.store.watch.due = m.now
}

// objectsWatched takes the answer of a watch or poll in.
func (m *Machine) objectsWatched(e ObjectsWatched) {
	cancelled := m.store.cancelled
	m.store.watching, m.store.cancelled = false, false
	var compacted *platform.CompactedError
	if errors.As(e.Err, &compacted) {
		m.ended(&m.store.watch, nil, 0)
		m.store.relist = true
		m.store.catalogue.due, m.store.groups.due = m.now, m.now
		return
	}
	next := m.opts.WatchPace
	if !m.watcher() {
		next = m.jitter(m.opts.PollInterval)
	}
	if cancelled && e.Err != nil {
		m.ended(&m.store.watch, nil, next)
		return
	}
	m.ended(&m.store.watch, e.Err, next)
	if e.Err != nil {
		return
	}
	since := m.complete
	watched := records(e.Reply.Objects)
	news := m.accept(watched, fromWatch)
	if e.Since <= m.complete {
		m.complete = max(m.complete, e.Reply.Revision)
	}
	if len(news) > 0 {
		m.relay(m.held(watched), since, m.complete, fromWatch)
	}
}

// vmsListed takes the platform's list of VMs in as an object that spreads. A
// list with the same VMs is not news.
func (m *Machine) vmsListed(e VMsListed) {
	next := m.jitter(m.opts.VMsPoll)
	if m.watcher() || !m.Ready() {
		next = m.jitter(m.opts.VMsInterval)
	}
	m.ended(&m.store.vms, e.Err, next)
	if e.Err != nil || m.sameVMs(e.List) {
		return
	}
	if len(e.List.VMs) == 0 && len(m.members.members) > 1 {
		m.alarm("vm_list_empty", "revision", e.List.Revision)
		return
	}
	news := m.accept([]ObjectRecord{vmsRecord(e.List)}, fromStore)
	m.relay(news, 0, 0, fromStore)
}
