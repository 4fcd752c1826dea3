package authority

import (
	"encoding/json"
	"sort"
	"time"

	"egretroad/internal/platform"
	"egretroad/internal/reducer"
	"egretroad/internal/topology"
)

// Machine is the reducer of write authority. It implements reducer.Machine.
type Machine struct {
	opts        Options
	self        topology.VM
	incarnation string // differs between two starts of this VM

	now      time.Duration
	lastTick time.Duration
	nextOp   uint64
	waiting  map[uint64]func(reducer.Event) // results of effects under way, by op
	out      []reducer.Effect

	snapshot *topology.Snapshot
	groups   map[string]*groupState // by database
	servers  map[string]string      // server ID to database
	own      map[string]bool        // servers that this VM is home of
	watched  []string               // databases with an own server, sorted
	dirty    bool                   // servers, own and watched must be built anew

	holder   *holder
	delegate *delegate
	evidence *evidenceBook
	rejoin   *rejoin
	failover *failover
}

// groupState is a group as last read, with its version for conditional updates.
type groupState struct {
	version   uint64
	group     topology.Group
	changedAt time.Duration
}

// NewMachine returns the machine of one VM. incarnation must differ between two
// starts of the VM.
func NewMachine(opts Options, self topology.VM, incarnation string) *Machine {
	m := &Machine{
		opts: opts, self: self, incarnation: incarnation,
		waiting: map[uint64]func(reducer.Event){}, groups: map[string]*groupState{},
		snapshot: &topology.Snapshot{Self: self.ID}, dirty: true,
	}
	m.holder = newHolder(m)
	m.delegate = newDelegate(m)
	m.evidence = newEvidenceBook(m)
	m.rejoin = newRejoin(m)
	m.failover = newFailover(m)
	return m
}

// Step implements reducer.Machine.
func (m *Machine) Step(e reducer.Event) []reducer.Effect {
	m.out = nil
	switch e := e.(type) {
	case reducer.Tick:
		m.tick(e.Now)
	case reducer.SnapshotPublished:
		m.snapshot = e.Snapshot
		m.dirty = true
		m.holder.review()
	case reducer.ObjectChanged:
		m.objectChanged(e)
	case reducer.ServerObserved:
		m.setNow(e.Now)
		m.evidence.observed(e)
	case EvidenceReceived:
		m.setNow(e.Now)
		m.evidence.received(e)
	case LeaseAsked:
		m.setNow(e.Now)
		m.delegate.asked(e)
	case ReleaseAsked:
		m.setNow(e.Now)
		m.holder.releaseAsked(e)
	case StoreResult:
		m.setNow(e.Now)
		m.resume(e.Op, e)
	case AskAnswered:
		m.setNow(e.Now)
		m.resume(e.Op, e)
	case ReleaseAnswered:
		m.setNow(e.Now)
		m.resume(e.Op, e)
	case AdminDone:
		m.setNow(e.Now)
		m.resume(e.Op, e)
	}
	return m.out
}

func (m *Machine) tick(now time.Duration) {
	m.setNow(now)
	m.checkPause(now)
	m.holder.tick()
	m.delegate.pump()
	m.evidence.flush()
	m.rejoin.tick()
	m.failover.tick()
}

// checkPause starts all observations anew at the first tick and after a pause.
func (m *Machine) checkPause(now time.Duration) {
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
	m.evidence.restart()
}

// setNow moves the time forward; events may arrive out of order.
func (m *Machine) setNow(now time.Duration) { m.now = max(m.now, now) }

// emit adds an effect to the answer of the current step.
func (m *Machine) emit(e reducer.Effect) { m.out = append(m.out, e) }

// expect registers the handler of an effect's result and returns its number.
func (m *Machine) expect(f func(reducer.Event)) uint64 {
	m.nextOp++
	m.waiting[m.nextOp] = f
	return m.nextOp
}

func (m *Machine) resume(op uint64, e reducer.Event) {
	f, ok := m.waiting[op]
	if !ok {
		return
	}
	delete(m.waiting, op)
	f(e)
}

// read emits a read of a platform object.
func (m *Machine) read(kind, name string, done func(StoreResult)) {
	op := m.expect(func(e reducer.Event) { done(e.(StoreResult)) })
	m.emit(StoreCall{Op: op, Kind: kind, Name: name, Timeout: m.opts.StoreTimeout})
}

// write emits a conditional update of a platform object.
func (m *Machine) write(kind, name string, ifVersion uint64, value []byte, done func(StoreResult)) {
	op := m.expect(func(e reducer.Event) { done(e.(StoreResult)) })
	m.emit(StoreCall{
		Op: op, Kind: kind, Name: name, Write: true, IfVersion: ifVersion, Value: value, Timeout: m.opts.StoreTimeout,
	})
}

// log emits one event line.
func (m *Machine) log(name string, fields ...any) { m.emit(LogEvent{Name: name, Fields: fields}) }

// alarm emits one event line that operators must see.
func (m *Machine) alarm(name string, fields ...any) {
	m.emit(LogEvent{Name: name, Alarm: true, Fields: fields})
}

func (m *Machine) objectChanged(e reducer.ObjectChanged) {
	if e.Kind != platform.KindGroup {
		return
	}
	m.learnGroup(platform.Object{Kind: e.Kind, Name: e.Name, Version: e.Version, Deleted: e.Deleted, Value: e.Value})
}

// learnGroup takes in a group object of any source; older versions are ignored.
func (m *Machine) learnGroup(o platform.Object) {
	known := m.groups[o.Name]
	if o.Version == 0 || known != nil && o.Version <= known.version {
		return
	}
	m.dirty = true
	if o.Deleted {
		delete(m.groups, o.Name)
		m.holder.groupChanged(o.Name)
		m.holder.review()
		return
	}
	next := &groupState{version: o.Version, changedAt: m.now}
	if err := json.Unmarshal(o.Value, &next.group); err != nil {
		m.alarm("group_object_invalid", "database", o.Name, "error", &ObjectError{Kind: o.Kind, Cause: err})
		return
	}
	m.groups[o.Name] = next
	m.failover.groupChanged(o.Name, known, next)
	m.holder.groupChanged(o.Name)
	m.holder.review()
}

// index builds the maps that follow from the groups and the snapshot.
func (m *Machine) index() {
	if !m.dirty {
		return
	}
	m.dirty = false
	m.servers = map[string]string{}
	m.own = map[string]bool{}
	m.watched = nil
	for db, g := range m.groups {
		mine := false
		for _, s := range g.group.Servers {
			m.servers[s.ID] = db
			if m.snapshot.Homes[s.ID] == m.self.ID {
				m.own[s.ID] = true
				mine = true
			}
		}
		if mine {
			m.watched = append(m.watched, db)
		}
	}
	sort.Strings(m.watched)
}

// isOwn reports whether this VM is home of a server.
func (m *Machine) isOwn(server string) bool {
	m.index()
	return m.own[server]
}

// serves reports whether a group has a primary in the given term.
func (m *Machine) serves(db string, term uint64) bool {
	g := m.groups[db]
	return g != nil && g.group.Promotion == nil && g.group.Term == term
}
