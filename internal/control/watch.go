package control

import (
	"slices"
	"time"

	"egretroad/internal/peer/method"
	"egretroad/internal/platform"
)

// watchState is what this VM knows of the watches on the platform's store. In a small
// fleet every VM watches, in a larger one a VM of each data centre. Membership does not
// tell whether the store serves a VM: another VM takes over when the contact of those
// before it in ring.watchers has become too old.
type watchState struct {
	watching  bool                     // this VM watches the store
	answered  map[string]time.Duration // by kind; when the store last answered this VM
	contacts  map[string]time.Duration // by VM of this data centre; when the store last answered its watch
	announced time.Duration            // contact of which this VM last told the others
	startedAt time.Duration            // when the machine started; no contact is expected before
}

func newWatchState() watchState {
	return watchState{answered: map[string]time.Duration{}, contacts: map[string]time.Duration{}}
}

// watchStage is the next call on the way to a working watch.
type watchStage uint8

const (
	stageWatch watchStage = iota // a watch that waits for changes
	stageProbe                   // a probe of the store, after a watch of this or another VM has failed
	stagePoll                    // a watch that does not wait, so that success shows at once
)

// WatchState reports what a VM knows of the watch on the platform's store, for metrics.
// Contact is when the store last answered the watch on which the VM depends, on
// CLOCK_BOOTTIME; 0: never since the start of the process. Kinds is the number of kinds of
// objects that a watch of this VM covers, because the store has listed them to it.
// AwaitsRejoin is set while the other VMs hold this one for dead.
type WatchState struct {
	Watching     bool
	Contact      time.Duration
	Kinds        int
	AwaitsRejoin bool
}

// EffectName implements reducer.Effect.
func (WatchState) EffectName() string { return "watch_state" }

// everyVMWatches reports whether the fleet is so small that no VM depends on another one's
// watch.
func (m *Machine) everyVMWatches() bool {
	return len(m.members.members) <= m.opts.MaxVMsAllWatching
}

// isWatcher reports whether this VM watches the store. A VM that the store does not serve
// leaves it to any VM that it serves, so that only the first of the order goes on probing. A
// VM that the others hold for dead gets no changes from them.
func (m *Machine) isWatcher() bool {
	if m.everyVMWatches() || m.awaitsRejoin() {
		return true
	}
	rank := slices.Index(m.ring.watchers, m.cfg.Self.ID)
	switch {
	case rank < 0: // leaving
		return m.now >= m.takeoverAt(len(m.ring.watchers), m.ring.watchers)
	case rank == 0:
		return true
	case m.now-m.ownContact() <= m.opts.WatchContactLimit:
		return m.now >= m.takeoverAt(rank, m.ring.watchers[:rank])
	default:
		return m.now >= m.takeoverAt(rank, m.ring.watchers)
	}
}

// takeoverAt returns when the VM at a rank of ring.watchers takes over, unless a watch of
// one of the others is answered meanwhile.
func (m *Machine) takeoverAt(rank int, others []string) time.Duration {
	contact := max(m.watch.startedAt, m.self.silenceBaseline)
	for _, vm := range others {
		contact = max(contact, m.watch.contacts[vm])
	}
	return contact + m.opts.WatchContactLimit + min(time.Duration(rank)*m.opts.TakeoverStep, m.opts.MaxTakeoverDelay)
}

// ownContact returns when the store last answered this VM for both kinds; 0: never.
func (m *Machine) ownContact() time.Duration {
	return min(m.watch.answered[platform.KindCatalogue], m.watch.answered[m.opts.groupKind()])
}

// watchContact returns when the store last answered a watch on which this VM depends.
func (m *Machine) watchContact() time.Duration {
	contact := m.ownContact()
	for _, at := range m.watch.contacts {
		contact = max(contact, at)
	}
	return contact
}

// requiredContact returns when the store last answered a watch that tells this VM of
// changes; 0: never. A VM that the others hold for dead depends on its own one.
func (m *Machine) requiredContact() time.Duration {
	if m.awaitsRejoin() {
		return m.ownContact()
	}
	return m.watchContact()
}

// hasWatchContact reports whether the store serves a watch on which this VM depends.
func (m *Machine) hasWatchContact() bool {
	return m.now-m.requiredContact() <= m.opts.WatchContactLimit
}

// watchWorksInOwnDataCentre reports whether the store serves a VM of this data centre that
// watches it and relays what it reads.
func (m *Machine) watchWorksInOwnDataCentre() bool {
	return m.now-m.watchContact() <= m.opts.WatchContactLimit
}

// watchWait returns how long the next watch waits for a change.
func (m *Machine) watchWait() time.Duration {
	switch {
	case !m.watch.watching || m.store.stage == stagePoll:
		return 0
	case m.everyVMWatches():
		return m.opts.WatchTimeout
	default:
		return m.opts.SharedWatchTimeout
	}
}

// recordAnswer records when the store has answered a list or a watch of a kind.
func (m *Machine) recordAnswer(kind string, at time.Duration) {
	m.watch.answered[kind] = max(m.watch.answered[kind], min(at, m.now))
	m.reportWatchState()
}

func (m *Machine) reportWatchState() {
	m.emit(WatchState{Watching: m.watch.watching, Contact: m.watchContact(), Kinds: len(m.listedKinds()), AwaitsRejoin: m.awaitsRejoin()})
}

// announceWatchContact tells the other VMs of the data centre that they need not watch.
func (m *Machine) announceWatchContact() {
	contact := m.ownContact()
	age := m.now - contact
	if !m.watch.watching || m.everyVMWatches() || m.awaitsRejoin() || age > m.opts.WatchContactLimit || contact-m.watch.announced < m.opts.MinContactInterval {
		return
	}
	m.watch.announced = contact
	h := m.newHeartbeat()
	h.Watching, h.WatchAge = true, age
	m.notify(m.localPeers(), method.Heartbeat, h)
}

// recordWatchContact records the contact in the heartbeat of a watcher of this data centre.
func (m *Machine) recordWatchContact(from string, h Heartbeat) {
	if h.Watching && m.inOwnDataCentre(from) {
		m.watch.contacts[from] = max(m.watch.contacts[from], m.now-h.WatchAge)
		m.reportWatchState()
	}
}

// handleStoreProbed processes the result of a probe. The failures of the watch still count
// until a watch succeeds.
func (m *Machine) handleStoreProbed(e StoreProbed) {
	if e.Err != nil {
		m.finishCall(&m.store.watch, e.Err, 0)
		return
	}
	m.store.stage = stagePoll
	m.store.watch.inFlight = false
	if m.watch.watching {
		m.store.watch.due = m.now
	} else {
		m.store.watch.due = m.now + m.jitter(m.opts.PollInterval)
	}
}

// updateWatchRole starts the watch when this VM becomes a watcher, and cancels it when it
// ceases to be one. A VM that takes over probes the store first: it may be refused as well.
func (m *Machine) updateWatchRole() {
	watching := m.isWatcher()
	if watching == m.watch.watching {
		return
	}
	m.watch.watching = watching
	m.log("watch_role", "watching", watching, "contact_age", m.ageOf(m.watchContact()), "listed", m.listedKinds())
	m.reportWatchState()
	switch {
	case !watching && m.store.watch.inFlight && m.store.longWatch:
		m.cancelLongWatch()
	case !watching:
		m.store.watch.due = m.now + m.jitter(m.opts.PollInterval)
	default:
		if m.Ready() && m.ring.watcher() != m.cfg.Self.ID && !m.everyVMWatches() {
			m.store.stage = stageProbe
		}
		m.store.watch.due = m.now
		m.store.vms.due = min(m.store.vms.due, m.now)
	}
}
