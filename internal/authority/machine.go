package authority

import (
	"encoding/json"
	"sort"
	"time"

	"egretroad/internal/platform"
	"egretroad/internal/reducer"
	"egretroad/internal/topology"
)

// Machine is the reducer of write authority for one VM. It implements
// reducer.Machine; all methods must run on the control goroutine.
type Machine struct {
	opts        Options
	self        topology.VM
	incarnation string // unique per start of this VM

	now            time.Duration
	lastTick       time.Duration
	nextOp         uint64
	resultHandlers map[uint64]func(reducer.Event) // handlers of results of effects in flight, by op
	effects        []reducer.Effect

	snapshot         *topology.Snapshot
	groups           map[string]*groupState // by database
	databaseOf       map[string]string      // by server ID
	ownServers       map[string]bool        // servers whose home is this VM
	watchedDatabases []string               // databases with an own server, sorted
	indexStale       bool                   // databaseOf, ownServers and watchedDatabases must be rebuilt

	holder   *leaseHolder
	delegate *delegate
	detector *failureDetector
	rejoiner *rejoiner
	failover *failover
}

// groupState is the last known group object, with its version for conditional
// updates.
type groupState struct {
	version   uint64
	group     topology.Group
	changedAt time.Duration
}

// NewMachine returns the machine of one VM. incarnation must be unique per start of
// the VM.
func NewMachine(opts Options, self topology.VM, incarnation string) *Machine {
	m := &Machine{
		opts: opts, self: self, incarnation: incarnation,
		resultHandlers: map[uint64]func(reducer.Event){}, groups: map[string]*groupState{},
		snapshot: &topology.Snapshot{Self: self.ID}, indexStale: true,
	}
	m.holder = newLeaseHolder(m)
	m.delegate = newDelegate(m)
	m.detector = newFailureDetector(m)
	m.rejoiner = newRejoiner(m)
	m.failover = newFailover(m)
	return m
}

// Step implements reducer.Machine.
func (m *Machine) Step(e reducer.Event) []reducer.Effect {
	m.effects = nil
	switch e := e.(type) {
	case reducer.Tick:
		m.tick(e.Now)
	case reducer.SnapshotPublished:
		m.snapshot = e.Snapshot
		m.indexStale = true
		m.holder.reconcile()
	case reducer.ObjectChanged:
		m.objectChanged(e)
	case reducer.ServerObserved:
		m.advanceClock(e.Now)
		m.detector.onProbe(e)
	case EvidenceReceived:
		m.advanceClock(e.Now)
		m.detector.onEvidence(e)
	case LeaseRequestReceived:
		m.advanceClock(e.Now)
		m.delegate.onRequest(e)
	case ReleaseRequestReceived:
		m.advanceClock(e.Now)
		m.holder.onReleaseRequest(e)
	case StoreResult:
		m.advanceClock(e.Now)
		m.handleResult(e.Op, e)
	case LeaseRequestDone:
		m.advanceClock(e.Now)
		m.handleResult(e.Op, e)
	case ReleaseRequestDone:
		m.advanceClock(e.Now)
		m.handleResult(e.Op, e)
	case AdminDone:
		m.advanceClock(e.Now)
		m.handleResult(e.Op, e)
	}
	return m.effects
}

func (m *Machine) tick(now time.Duration) {
	m.advanceClock(now)
	m.detectPause(now)
	m.holder.tick()
	m.delegate.startNextCall()
	m.detector.sendReports()
	m.rejoiner.tick()
	m.failover.tick()
}

// detectPause resets all observations at the first tick and after a pause.
func (m *Machine) detectPause(now time.Duration) {
	first := m.lastTick == 0
	gap := now - m.lastTick
	m.lastTick = now
	if first {
		for _, g := range m.groups {
			g.changedAt = now
		}
	} else if gap <= m.opts.PauseGap {
		return
	} else {
		m.log("observation_restarted", "reason", "paused", "duration", gap)
	}
	m.detector.resetObservations()
}

// advanceClock moves the time forward, never back: events may arrive out of order.
func (m *Machine) advanceClock(now time.Duration) { m.now = max(m.now, now) }

// emit adds an effect to the result of the current step.
func (m *Machine) emit(e reducer.Effect) { m.effects = append(m.effects, e) }

// registerOp registers the handler of an effect's result and returns the op that
// identifies the effect.
func (m *Machine) registerOp(f func(reducer.Event)) uint64 {
	m.nextOp++
	m.resultHandlers[m.nextOp] = f
	return m.nextOp
}

func (m *Machine) handleResult(op uint64, e reducer.Event) {
	f, ok := m.resultHandlers[op]
	if !ok {
		return
	}
	delete(m.resultHandlers, op)
	f(e)
}

// readObject emits a read of a platform object.
func (m *Machine) readObject(kind, name string, done func(StoreResult)) {
	op := m.registerOp(func(e reducer.Event) { done(e.(StoreResult)) })
	m.emit(StoreCall{Op: op, Kind: kind, Name: name, Timeout: m.opts.StoreTimeout})
}

// writeObject emits a conditional update of a platform object.
func (m *Machine) writeObject(kind, name string, ifVersion uint64, value []byte, done func(StoreResult)) {
	op := m.registerOp(func(e reducer.Event) { done(e.(StoreResult)) })
	m.emit(StoreCall{
		Op: op, Kind: kind, Name: name, Write: true, IfVersion: ifVersion, Value: value, Timeout: m.opts.StoreTimeout,
	})
}

// log emits a log event.
func (m *Machine) log(name string, fields ...any) { m.emit(LogEvent{Name: name, Fields: fields}) }

// alarm emits a log event that operators must see.
func (m *Machine) alarm(name string, fields ...any) {
	m.emit(LogEvent{Name: name, Alarm: true, Fields: fields})
}

func (m *Machine) objectChanged(e reducer.ObjectChanged) {
	if e.Kind != platform.KindGroup {
		return
	}
	m.updateGroup(platform.Object{Kind: e.Kind, Name: e.Name, Version: e.Version, Deleted: e.Deleted, Value: e.Value})
}

// updateGroup stores a group object from any source. It ignores versions that are
// not newer than the known one.
func (m *Machine) updateGroup(o platform.Object) {
	previous := m.groups[o.Name]
	if o.Version == 0 || previous != nil && o.Version <= previous.version {
		return
	}
	m.indexStale = true
	if o.Deleted {
		delete(m.groups, o.Name)
		m.holder.groupChanged(o.Name)
		m.holder.reconcile()
		return
	}
	next := &groupState{version: o.Version, changedAt: m.now}
	if err := json.Unmarshal(o.Value, &next.group); err != nil {
		m.alarm("group_object_invalid", "database", o.Name, "error", &ObjectError{Kind: o.Kind, Cause: err})
		return
	}
	m.groups[o.Name] = next
	m.failover.groupChanged(o.Name, previous, next)
	m.holder.groupChanged(o.Name)
	m.holder.reconcile()
}

// refreshIndex rebuilds the maps derived from the groups and the snapshot if they
// are stale.
func (m *Machine) refreshIndex() {
	if !m.indexStale {
		return
	}
	m.indexStale = false
	m.databaseOf = map[string]string{}
	m.ownServers = map[string]bool{}
	m.watchedDatabases = nil
	for db, g := range m.groups {
		hasOwnServer := false
		for _, s := range g.group.Servers {
			m.databaseOf[s.ID] = db
			if m.snapshot.Homes[s.ID] == m.self.ID {
				m.ownServers[s.ID] = true
				hasOwnServer = true
			}
		}
		if hasOwnServer {
			m.watchedDatabases = append(m.watchedDatabases, db)
		}
	}
	sort.Strings(m.watchedDatabases)
}

// isHomeOf reports whether this VM is the home of a server.
func (m *Machine) isHomeOf(server string) bool {
	m.refreshIndex()
	return m.ownServers[server]
}

// hasPrimaryInTerm reports whether a group is in the given term and has no promotion
// in progress.
func (m *Machine) hasPrimaryInTerm(db string, term uint64) bool {
	g := m.groups[db]
	return g != nil && g.group.Promotion == nil && g.group.Term == term
}
