package control

import (
	"fmt"
	"maps"
	"sort"
	"time"
)

// Dump is the state of the control machine for operators. Ages are relative to
// the time of the dump.
type Dump struct {
	Self        string            `json:"self"`
	Incarnation uint64            `json:"incarnation"`
	Ready       bool              `json:"ready"`
	Complete    Completeness      `json:"complete"`
	CompleteBy  map[string]string `json:"completeBy"` // by kind; source of the completeness
	InForce     uint64            `json:"inForce"`
	Later       []string          `json:"later,omitempty"` // entries of later configurations than Complete
	Watcher     string            `json:"watcher"`         // first VM to watch the platform's store for this data centre
	Watching    bool              `json:"watching"`        // this VM watches the store
	WatchAgeMS  int64             `json:"watchAgeMs"`      // time since the store last answered the watch on which this VM depends; -1: never
	Listed      []string          `json:"listed"`          // kinds that the store has listed to this VM, which its watch covers
	Answered    map[string]string `json:"answered"`        // by kind; time since the store last answered this VM, or "never"
	Store       string            `json:"store"`           // "ok" or the last error
	Waiting     []string          `json:"waiting"`         // pending work and what it waits for
	Objects     []ObjectDump      `json:"objects"`
	Members     []MemberDump      `json:"members"`
	Homes       map[string]string `json:"homes"` // VM by server
}

// ObjectDump holds the version of an object that is in force and its source.
type ObjectDump struct {
	Object  string `json:"object"`
	Newest  uint64 `json:"newest"`
	InForce uint64 `json:"inForce"`
	AgeMS   int64  `json:"ageMs"`
	From    string `json:"from"`
	Deleted bool   `json:"deleted,omitempty"`
	Fault   string `json:"fault,omitempty"` // why the newest version is not in force
}

// MemberDump holds the membership state of a VM and the reason for it.
type MemberDump struct {
	ID          string `json:"id"`
	DataCentre  string `json:"dataCentre"`
	Status      string `json:"status"`
	Incarnation uint64 `json:"incarnation"`
	Why         string `json:"why"`
	AgeMS       int64  `json:"ageMs"`
	Listed      bool   `json:"listed"`
	TakesHomes  bool   `json:"takesHomes"`
	Monitored   bool   `json:"monitored,omitempty"` // by this VM
	SilentMS    int64  `json:"silentMs,omitempty"`  // of a monitored VM
}

// Dump returns the machine's state. It may only be called on the control goroutine.
func (m *Machine) Dump() Dump {
	return Dump{
		Self:        m.cfg.Self.ID,
		Incarnation: m.self.incarnation,
		Ready:       m.Ready(),
		Complete:    m.complete,
		CompleteBy:  maps.Clone(m.completeFrom),
		InForce:     m.inForceRevision(),
		Later:       m.laterEntries(),
		Watcher:     m.ring.watcher(),
		Watching:    m.watch.watching,
		WatchAgeMS:  m.watchAgeMS(),
		Listed:      m.listedKinds(),
		Answered:    m.answerAges(),
		Store:       m.store.describe(),
		Waiting:     m.pendingWaits(),
		Objects:     m.dumpObjects(),
		Members:     m.dumpMembers(),
		Homes:       m.snapshot.current.Homes,
	}
}

// laterEntries returns name@version of the entries of later configurations than the one up to
// which this VM is complete, by name.
func (m *Machine) laterEntries() []string {
	var entries []string
	for _, r := range m.changedEntries() {
		entries = append(entries, fmt.Sprintf("%s@%d", r.Name, r.Version))
	}
	return entries
}

func (m *Machine) watchAgeMS() int64 {
	contact := m.watchContact()
	if contact == 0 {
		return -1
	}
	return milliseconds(m.now - contact)
}

func (m *Machine) pendingWaits() []string {
	waiting := []string{}
	if !m.Ready() {
		waiting = append(waiting, "catalogue and groups, from the store or a peer")
	}
	if m.awaitsRejoin() {
		waiting = append(waiting, "rejoin in "+(m.self.rejoinAt-m.now).String())
	}
	if m.store.watch.inFlight && m.store.longWatch {
		waiting = append(waiting, "the next change in the store")
	}
	for vm := range m.sync.fetchStarted {
		waiting = append(waiting, "a copy from "+vm)
	}
	for vm := range m.sync.differsSince {
		waiting = append(waiting, "digests equal to those of "+vm)
	}
	if m.status.dirty && m.writesStatus() {
		waiting = append(waiting, "status reports from the data centre's VMs")
	}
	sort.Strings(waiting)
	return waiting
}

func (m *Machine) dumpObjects() []ObjectDump {
	var out []ObjectDump
	for _, o := range m.objects.sorted(func(int) bool { return true }) {
		d := ObjectDump{
			Object:  objectKey{o.record.Kind, o.record.Name}.String(),
			Newest:  o.record.Version,
			InForce: o.inForce,
			AgeMS:   milliseconds(m.now - o.inForceSince),
			From:    o.source,
			Deleted: o.record.Deleted,
		}
		if o.parseErr != nil {
			d.Fault = o.parseErr.Error()
		}
		out = append(out, d)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Object < out[j].Object })
	return out
}

func (m *Machine) dumpMembers() []MemberDump {
	var out []MemberDump
	for _, id := range m.members.ids(func(*member) bool { return true }) {
		peer := m.members.members[id]
		d := MemberDump{
			ID:          id,
			DataCentre:  peer.vm.DataCentre,
			Status:      peer.record.Status.String(),
			Incarnation: peer.record.Incarnation,
			Why:         peer.statusReason,
			AgeMS:       milliseconds(m.now - peer.statusSince),
			Listed:      peer.listed,
			TakesHomes:  peer.eligibleAsHome(),
			Monitored:   m.self.monitored[id],
		}
		if d.Monitored {
			d.SilentMS = milliseconds(m.silentFor(peer))
		}
		out = append(out, d)
	}
	return out
}

func milliseconds(d time.Duration) int64 { return d.Milliseconds() }
