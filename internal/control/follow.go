package control

import (
	"maps"
	"slices"
	"time"
)

// followState is the state of the alarm of a VM that learns of no changes: neither its own
// watch on the store nor one of another VM on which it depends is answered.
type followState struct {
	lost      bool          // the alarm has been raised
	lastAlarm time.Duration // when it was last raised
}

// reportFollowing raises an alarm, and repeats it, while no watch on which this VM depends
// is answered. Until the VM is ready, logWaiting reports what it lacks.
func (m *Machine) reportFollowing() {
	if !m.Ready() {
		return
	}
	unconfirmed := m.now - max(m.requiredContact(), m.watch.startedAt, m.self.silenceBaseline)
	switch {
	case unconfirmed <= m.opts.FollowLimit:
		if m.follow.lost {
			m.follow.lost = false
			m.log("store_followed", "watching", m.watch.watching, "listed", m.listedKinds())
		}
	case !m.follow.lost || m.now-m.follow.lastAlarm >= m.opts.WaitingLogInterval:
		m.follow = followState{lost: true, lastAlarm: m.now}
		m.alarm("store_not_followed", "watching", m.watch.watching, "contact_age", m.ageOf(m.requiredContact()),
			"answered", m.answerAges(), "listed", m.listedKinds(), "store", m.store.describe())
	}
}

// listedKinds returns the kinds that the store has listed to this VM, sorted. A watch covers
// only these.
func (m *Machine) listedKinds() []string { return slices.Sorted(maps.Keys(m.store.listed)) }

// answerAges returns for each kind how long ago the store last answered this VM.
func (m *Machine) answerAges() map[string]string {
	ages := map[string]string{}
	for _, kind := range m.storeKinds() {
		ages[kind] = m.ageOf(m.watch.answered[kind])
	}
	return ages
}

// ageOf returns the age of a time on CLOCK_BOOTTIME, or "never" for 0.
func (m *Machine) ageOf(at time.Duration) string {
	if at == 0 {
		return "never"
	}
	return (m.now - at).String()
}

// outdatedState is the state of the alarm about objects that are read but not in force.
type outdatedState struct {
	reported  ObjectsState
	nextCount time.Duration // when the objects are counted again
	lastAlarm time.Duration // when it was last raised; 0: there are none
}

// outdatedCountInterval is the time between two counts of the objects that are not in force.
const outdatedCountInterval = time.Second

// ObjectsState counts, for metrics, the objects whose newest version is invalid. What is in
// force for them differs from what was read.
type ObjectsState struct {
	Invalid      int
	WithoutValue int // those among them of which nothing is in force, as after a start
}

// EffectName implements reducer.Effect.
func (ObjectsState) EffectName() string { return "objects_state" }

// reportOutdatedObjects raises an alarm, and repeats it, while the newest version of objects is
// invalid. A running VM goes on with their last valid version; one that starts has none.
func (m *Machine) reportOutdatedObjects() {
	if m.now < m.outdated.nextCount {
		return
	}
	m.outdated.nextCount = m.now + outdatedCountInterval
	state := ObjectsState{Invalid: m.objects.invalidCount, WithoutValue: len(m.objects.bucketsWithoutValue())}
	if state != m.outdated.reported {
		m.outdated.reported = state
		m.emit(state)
	}
	switch {
	case state.Invalid == 0:
		m.outdated.lastAlarm = 0
	case m.outdated.lastAlarm == 0 || m.now-m.outdated.lastAlarm >= m.opts.WaitingLogInterval:
		m.outdated.lastAlarm = max(m.now, 1)
		m.alarm("objects_not_in_force", "invalid", state.Invalid, "without_value", state.WithoutValue, "objects", m.objects.invalidObjects())
	}
}
