// Package control is the pure state machine of a proxy's control plane. Machine
// replicates the platform's objects (catalogue entries, groups, server registrations)
// between VMs, detects failed VMs, assigns each backend server a home (the VM that
// runs the server's connection pool) and builds the immutable snapshot that traffic
// reads. It has no clock, starts no goroutine and performs no I/O: events go into
// Step, and package control/run executes the effects that Step returns.
package control

import (
	"time"

	"egretroad/internal/peer/method"
	"egretroad/internal/platform"
	"egretroad/internal/reducer"
)

// Sources of objects; any other source is the ID of a VM.
const (
	sourceStore = "store"
	sourceWatch = "watch"
)

// Machine implements reducer.Machine.
type Machine struct {
	cfg     Config
	opts    Options
	now     time.Duration
	started bool
	effects []reducer.Effect

	objects       objectTable
	complete      Completeness
	listedOnce    map[string]bool   // kinds that the store has listed since the start, also without any object
	completeFrom  map[string]string // by kind; source of the completeness, for logs and dumps
	members       memberTable
	ring          ring
	self          selfState
	timers        timers
	store         storeState
	watch         watchState
	follow        followState
	outdated      outdatedState
	document      documentState
	sync          syncState
	status        statusState
	snapshot      snapshotState
	registrations registrations
	pickCounter   uint64 // incremented on each use, so that jitter and pickNext vary
}

// New returns a machine that starts on the first reducer.Tick.
func New(cfg Config) *Machine {
	return &Machine{
		cfg:           cfg,
		opts:          cfg.Options,
		objects:       newObjectTable(cfg.Options),
		listedOnce:    map[string]bool{},
		completeFrom:  map[string]string{},
		members:       newMemberTable(),
		self:          selfState{incarnation: cfg.Incarnation},
		store:         storeState{listed: map[string]bool{}},
		watch:         newWatchState(),
		document:      newDocumentState(),
		sync:          newSyncState(),
		status:        newStatusState(),
		snapshot:      newSnapshotState(cfg.Self.ID),
		registrations: newRegistrations(),
	}
}

// Step implements reducer.Machine.
func (m *Machine) Step(e reducer.Event) []reducer.Effect {
	m.effects = nil
	if !m.started && !allowedBeforeStart(e) {
		return nil
	}
	switch e := e.(type) {
	case reducer.Tick:
		m.tick(e.Now)
	case reducer.PeerMessage:
		m.handlePeerMessage(e)
	case reducer.ObjectChanged:
		m.handleObjectChanged(e)
	case ObjectsListed:
		m.handleObjectsListed(e)
	case ObjectsWatched:
		m.handleObjectsWatched(e)
	case VMsListed:
		m.handleVMsListed(e)
	case StoreProbed:
		m.handleStoreProbed(e)
	case PeerFetched:
		m.handlePeerFetched(e)
	case FetchRequested:
		m.handleFetchRequested(e)
	case StatusWritten:
		m.handleStatusWritten(e)
	case Leaving:
		m.announceLeaving()
	case PrimaryDesignated:
		m.handlePrimaryDesignated(e)
	case PrimaryFound:
		m.handlePrimaryFound(e)
	default:
		return nil
	}
	m.updateDerivedState()
	return m.effects
}

// allowedBeforeStart reports whether an event is processed before the first tick.
func allowedBeforeStart(e reducer.Event) bool {
	switch e.(type) {
	case reducer.Tick, FetchRequested:
		return true
	default:
		return false
	}
}

// Ready reports whether the catalogue and the groups are known.
func (m *Machine) Ready() bool {
	return m.isKnown(platform.KindCatalogue) && m.isKnown(m.opts.groupKind())
}

// isKnown reports whether every object of a kind is known up to some revision. Revision 0,
// before the first object, is known from the store only: for another VM it may be over.
func (m *Machine) isKnown(kind string) bool { return m.completeUpTo(kind) > 0 || m.listedOnce[kind] }

// tick runs the periodic work that is due.
func (m *Machine) tick(now time.Duration) {
	gap := now - m.now
	m.now = now
	if !m.started {
		m.start()
		return
	}
	if gap > m.opts.PauseLimit {
		m.handlePause(gap)
	}
	m.rejoinWhenDue()
	m.sendHeartbeats()
	m.detectFailures()
	m.startDueCalls()
	m.fetchWhenDue()
	m.writeStatusWhenDue()
	m.members.delistMissing(now)
	m.members.prune(now)
	m.dropLapsedServers()
	m.endRefutedClaims()
	m.detectSilentDataCentres()
	m.reportFollowing()
	m.reportOutdatedObjects()
}

// start reads the store and fetches copies from seed VMs in parallel. The machine
// becomes ready with whichever succeeds first.
func (m *Machine) start() {
	m.started, m.watch.startedAt = true, m.now
	m.timers.reset(m.now)
	m.startVMListWait()
	m.sync.lastWaitingLog = m.now - m.opts.WaitingLogInterval + firstWaitingLog
	vm := m.cfg.Self
	m.members.merge(Record{ID: vm.ID, Incarnation: m.self.incarnation, VM: &vm}, "this VM", m.now)
	m.snapshot.addSeedVMs(m.cfg.Self, m.cfg.Seeds)
	m.publishNow()
	m.startDueCalls()
	m.fetchFromSeeds()
}

// updateDerivedState updates the ring, the snapshot and the pending announcements
// and reports after an event.
func (m *Machine) updateDerivedState() {
	if !m.started {
		return
	}
	if len(m.members.changedDataCentres) > 0 {
		m.ring = buildRing(&m.members, m.cfg.Self.ID, m.cfg.Self.DataCentre, m.opts.Monitors, m.opts.FarPeers)
		m.snapshot.markMembersChanged(m.members.changedDataCentres)
		m.members.changedDataCentres = make(map[string]bool)
		m.updateMonitored()
		m.markStatusDirty()
	}
	m.updateWatchRole()
	m.endVMListWait()
	m.announceWhenReady()
	m.sendReport()
	m.publishWhenDue()
}

// handlePeerMessage decodes and dispatches a peer's one-way message.
func (m *Machine) handlePeerMessage(e reducer.PeerMessage) {
	m.recordContact(e.From)
	var err error
	switch e.Method {
	case method.Heartbeat:
		var h Heartbeat
		if err = decode(e.Method, e.Body, &h); err == nil {
			m.handleHeartbeat(e.From, h)
		}
	case method.Objects:
		var update ObjectUpdate
		if err = decode(e.Method, e.Body, &update); err == nil {
			m.handleObjectUpdate(e.From, update)
		}
	case method.PrimaryClaim:
		var claim PrimaryClaim
		if err = decode(e.Method, e.Body, &claim); err == nil {
			m.mergePrimaryClaim(claim, e.From)
		}
	case method.Status:
		var r StatusReport
		if err = decode(e.Method, e.Body, &r); err == nil {
			m.handleReport(e.From, r)
		}
	}
	if err != nil {
		m.alarm("peer_message_invalid", "from", e.From, "error", err)
	}
}

func (m *Machine) emit(e reducer.Effect) { m.effects = append(m.effects, e) }

func (m *Machine) notify(to []string, method string, message any) {
	if len(to) > 0 {
		m.emit(Notify{To: to, Method: method, Body: encode(message)})
	}
}

func (m *Machine) log(event string, fields ...any) { m.emit(Log{Event: event, Fields: fields}) }

func (m *Machine) alarm(event string, fields ...any) {
	m.emit(Log{Alarm: true, Event: event, Fields: fields})
}

// jitter varies a duration by up to 25% in either direction. It is deterministic:
// the same machine given the same events returns the same values.
func (m *Machine) jitter(d time.Duration) time.Duration {
	m.pickCounter++
	const steps = 1024
	draw := time.Duration(versionHash(m.cfg.Self.ID, m.pickCounter) % steps)
	return d*3/4 + d/2*draw/steps
}

func (m *Machine) dataCentre() string { return m.cfg.Self.DataCentre }

// localPeers returns the other VMs of this data centre that are not dead.
func (m *Machine) localPeers() []string { return excluding(m.ring.order, m.cfg.Self.ID) }

func (m *Machine) inOwnDataCentre(vm string) bool {
	peer := m.members.members[vm]
	return peer != nil && peer.vm.DataCentre == m.dataCentre()
}

func excluding(ids []string, id string) []string {
	kept := make([]string, 0, len(ids))
	for _, other := range ids {
		if other != id {
			kept = append(kept, other)
		}
	}
	return kept
}

// selfRecord returns this VM's record including its addresses.
func (m *Machine) selfRecord() Record {
	r := m.members.members[m.cfg.Self.ID].record
	vm := m.cfg.Self
	r.VM = &vm
	return r
}
