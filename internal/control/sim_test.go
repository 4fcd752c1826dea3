package control_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"time"

	"egretroad/internal/catalogue"
	"egretroad/internal/control"
	"egretroad/internal/platform"
	"egretroad/internal/reducer"
	"egretroad/internal/topology"
)

const simTick = 50 * time.Millisecond

// fakeStore is an in-memory fake of the platform.
type fakeStore struct {
	revision uint64
	objects  map[string]platform.Object
	vms      []topology.VM
	vmsRev   uint64
	down     bool
	calls    int
	// compacted is the revision up to which the store has forgotten its history.
	compacted uint64
}

func (s *fakeStore) put(kind, name string, value any) uint64 {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.putRaw(kind, name, raw)
}

func (s *fakeStore) putRaw(kind, name string, raw []byte) uint64 {
	s.revision++
	s.objects[kind+"/"+name] = platform.Object{Kind: kind, Name: name, Version: s.revision, Value: raw}
	return s.revision
}

func (s *fakeStore) delete(kind, name string) {
	s.revision++
	s.objects[kind+"/"+name] = platform.Object{Kind: kind, Name: name, Version: s.revision, Deleted: true}
}

func (s *fakeStore) list(kind string) platform.ObjectList {
	l := platform.ObjectList{Revision: s.revision}
	for _, o := range s.objects {
		if o.Kind == kind && !o.Deleted {
			l.Objects = append(l.Objects, o)
		}
	}
	sort.Slice(l.Objects, func(i, j int) bool { return l.Objects[i].Name < l.Objects[j].Name })
	return l
}

func (s *fakeStore) changesSince(rev uint64) platform.WatchResponse {
	r := platform.WatchResponse{Revision: s.revision}
	for _, o := range s.objects {
		if o.Version > rev && o.Kind != platform.KindStatus {
			r.Objects = append(r.Objects, o)
		}
	}
	sort.Slice(r.Objects, func(i, j int) bool { return r.Objects[i].Version < r.Objects[j].Version })
	return r
}

func (s *fakeStore) setVMs(vms []topology.VM) {
	s.vms = vms
	s.vmsRev++
}

// node is one VM of a simulation: its machine, and the state of its fake executor.
type node struct {
	vm             topology.VM
	machine        *control.Machine
	up             bool
	paused         bool
	snapshot       *topology.Snapshot
	ready          bool
	watch          *control.WatchObjects // watch in flight
	watchEnd       time.Duration
	watches        int                      // watches and polls started
	cursors        map[string]uint64        // by kind; revision after which the next watch reports, if kinds are watched apart
	kindEnds       map[string]time.Duration // by kind; end of its watch in flight, if kinds are watched apart
	answered       map[string]time.Duration // by kind; when the store last answered a list, or a watch after one
	disturbedAt    time.Duration            // when a fault last affected the VM
	starts         uint64
	pausedEvents   []reducer.Event // arrived while paused
	pendingFetches map[uint64]func(control.FetchReply)
	nextRequestID  uint64
	highestInForce map[string]uint64 // by object; highest version seen in force
	revision       uint64            // highest snapshot revision seen
	logs           []string
	objects        control.ObjectsState
	alarms         map[string]int // by event
}

// sim runs machines over a fake store and network in virtual time.
type sim struct {
	now         time.Duration
	store       *fakeStore
	nodes       map[string]*node
	ids         []string
	partitioned map[string]bool // data centres partitioned from the store and all other data centres
	refused     map[string]bool // VMs that the store refuses
	kindsDown   map[string]bool // kinds whose lists and watches the store refuses
	muted, deaf map[string]bool // VMs whose one-way messages get lost, and VMs to which they get lost
	silent      bool            // the store's refused calls end at their time-out, not at once
	queue       []delivery
	messages    int
	opts        control.Options
	seeds       []topology.VM
	watchApart  bool          // each kind has a watch of its own, since a cursor of its own
	lossPercent uint64        // share of the one-way messages that get lost
	storeDelay  time.Duration // additional response time of the store
	lostAnswers uint64        // percentage of the store's answers that get lost
	afterTick   func()        // called after each tick; nil: nothing
	fail        func(format string, args ...any)
}

type delivery struct {
	at  time.Duration
	run func()
}

func newSim(dataCentres, vmsEach, databases int, fail func(string, ...any)) *sim {
	s := &sim{
		now:   time.Hour,
		store: &fakeStore{objects: map[string]platform.Object{}},
		nodes: map[string]*node{}, partitioned: map[string]bool{}, refused: map[string]bool{}, kindsDown: map[string]bool{}, muted: map[string]bool{}, deaf: map[string]bool{},
		opts: control.DefaultOptions(), fail: fail,
	}
	var vms []topology.VM
	for d := range dataCentres {
		for i := range vmsEach {
			vms = append(vms, simVM(d, i))
		}
	}
	s.store.setVMs(vms)
	for i := range databases {
		s.store.put(platform.KindGroup, simDatabase(i), simGroup(i, dataCentres))
		s.store.put(platform.KindCatalogue, simDatabase(i)+"-orders", simEntry(i))
	}
	return s
}

func simDatabase(i int) string { return fmt.Sprintf("orders%d", i) }

func simVM(dc, i int) topology.VM {
	return topology.VM{
		ID: fmt.Sprintf("vm-%d-%d", dc, i), DataCentre: fmt.Sprintf("dc%d", dc), Region: fmt.Sprintf("r%d", dc%2),
		PeerAddr: "127.0.0.1:1", CallerAddr: "127.0.0.1:2", State: topology.VMLive,
	}
}

func simGroup(i, dataCentres int) topology.Group {
	g := topology.Group{Database: simDatabase(i), Term: 1}
	for r := range 3 {
		dc := (i + r) % dataCentres
		g.Servers = append(g.Servers, topology.Server{
			ID: fmt.Sprintf("%s-%d", g.Database, r), Addr: "127.0.0.1:5432", DataCentre: fmt.Sprintf("dc%d", dc),
			State: topology.ServerActive, Slots: 2, MaxConnections: 16,
		})
	}
	g.Primary = g.Servers[0].ID
	return g
}

func simEntry(i int) catalogue.Entry {
	return catalogue.Entry{
		Name: simDatabase(i) + "-orders", Kind: "orders", Owner: "shop", Database: simDatabase(i), Default: true,
		Rank: catalogue.RankOrders, Access: catalogue.AccessWrite, Deadline: 1000,
	}
}

// start starts or restarts a VM's process, without any earlier state.
func (s *sim) start(vm topology.VM) *node {
	old := s.nodes[vm.ID]
	n := &node{vm: vm, up: true, pendingFetches: map[uint64]func(control.FetchReply){}, highestInForce: map[string]uint64{}, cursors: map[string]uint64{}, kindEnds: map[string]time.Duration{}, answered: map[string]time.Duration{}, disturbedAt: s.now, starts: 1}
	if old != nil {
		n.starts = old.starts + 1
	} else {
		s.ids = append(s.ids, vm.ID)
	}
	n.machine = control.New(control.Config{
		Options: s.opts, Self: vm, Incarnation: n.starts * 1000, Seeds: s.seeds,
	})
	s.nodes[vm.ID] = n
	s.step(n, reducer.Tick{Now: s.now})
	return n
}

func (s *sim) startAll() {
	for _, vm := range s.store.vms {
		s.start(vm)
	}
}

// advance runs the simulation for a duration of virtual time.
func (s *sim) advance(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += simTick
		s.deliver()
		for _, id := range s.ids {
			n := s.nodes[id]
			if n.up && !n.paused {
				s.step(n, reducer.Tick{Now: s.now})
			}
		}
		s.deliver()
		s.pollWatches()
		if s.afterTick != nil {
			s.afterTick()
		}
	}
}

// deliver runs due deliveries in the order in which they were queued, until none is
// due.
func (s *sim) deliver() {
	for {
		var due, later []delivery
		for _, d := range s.queue {
			if d.at <= s.now {
				due = append(due, d)
			} else {
				later = append(later, d)
			}
		}
		if len(due) == 0 {
			return
		}
		s.queue = later
		for _, d := range due {
			d.run()
		}
	}
}

func (s *sim) schedule(d time.Duration, run func()) {
	s.queue = append(s.queue, delivery{s.now + d, run})
}

func (s *sim) reachable(a, b topology.VM) bool {
	return a.DataCentre == b.DataCentre || !s.partitioned[a.DataCentre] && !s.partitioned[b.DataCentre]
}

func (s *sim) storeReachable(n *node) bool {
	return !s.store.down && !s.partitioned[n.vm.DataCentre] && !s.refused[n.vm.ID]
}

// simCallTimeout bounds a call to a silent store.
const simCallTimeout = time.Second

// failureDelay is the time until a call to the store fails.
func (s *sim) failureDelay() time.Duration {
	if s.silent {
		return simCallTimeout
	}
	return simTick
}

func (s *sim) pollWatches() {
	for _, id := range s.ids {
		n := s.nodes[id]
		if !n.up || n.paused || n.watch == nil {
			continue
		}
		if !s.storeReachable(n) {
			if !s.silent || s.now >= n.watchEnd+simCallTimeout {
				s.endWatch(n, control.ObjectsWatched{Err: &platform.UnavailableError{Call: "watch"}})
			}
			continue
		}
		r, err := s.changes(n)
		switch {
		case err != nil:
			s.endWatch(n, control.ObjectsWatched{Err: err})
		case len(r.Objects) > 0 || len(r.Ranges) > 0 || !s.watchApart && s.now >= n.watchEnd:
			s.endWatch(n, control.ObjectsWatched{Response: r})
		}
	}
}

// changes returns the changes that the watch of a node reports now. Kinds that are watched
// apart are watched from the last list of the kind, and not at all before it. The failure of
// one kind is reported once the other one has no answer.
func (s *sim) changes(n *node) (platform.WatchResponse, error) {
	if !s.watchApart {
		return s.store.changesSince(n.watch.Since), nil
	}
	r := platform.WatchResponse{Ranges: map[string]platform.RevisionRange{}}
	var failure error
	for _, kind := range n.watch.Kinds {
		switch cursor, listed := n.cursors[kind]; {
		case !listed:
			failure = &platform.NotListedError{Kind: kind}
			continue
		case s.kindsDown[kind]:
			failure = &platform.UnavailableError{Call: "watch"}
			continue
		case cursor < s.store.compacted:
			failure = &platform.CompactedError{Since: cursor}
			delete(n.cursors, kind)
			continue
		}
		all := s.store.changesSince(n.cursors[kind])
		changed := slices.DeleteFunc(all.Objects, func(o platform.Object) bool { return o.Kind != kind })
		if len(changed) > 0 || s.now >= n.kindEnds[kind] {
			r.Objects = append(r.Objects, changed...)
			r.Ranges[kind] = platform.RevisionRange{Since: n.cursors[kind], Revision: all.Revision}
			n.cursors[kind] = all.Revision
			n.answered[kind] = s.now
			delete(n.kindEnds, kind)
		}
	}
	if len(r.Ranges) > 0 {
		return r, nil
	}
	return r, failure
}

func (s *sim) endWatch(n *node, e control.ObjectsWatched) {
	e.Kinds, e.Since = n.watch.Kinds, n.watch.Since
	n.watch = nil
	if e.Err != nil {
		clear(n.kindEnds)
	}
	s.post(n, e)
}

// post delivers an event to a node unless its process has ended or was restarted. A
// paused node receives it when it resumes.
func (s *sim) post(n *node, e reducer.Event) {
	switch {
	case !n.up || s.nodes[n.vm.ID] != n:
	case n.paused:
		n.pausedEvents = append(n.pausedEvents, e)
	default:
		s.step(n, e)
	}
}

func (s *sim) resume(n *node) {
	if !n.up {
		return
	}
	n.paused = false
	events := n.pausedEvents
	n.pausedEvents = nil
	for _, e := range events {
		s.step(n, e)
	}
}

func (s *sim) step(n *node, e reducer.Event) {
	for _, effect := range n.machine.Step(e) {
		s.execute(n, effect)
	}
}

func (s *sim) execute(n *node, effect reducer.Effect) {
	switch e := effect.(type) {
	case control.Notify:
		for _, to := range e.To {
			s.send(n, to, e)
		}
	case control.Publish:
		s.handlePublish(n, e)
	case control.ListObjects:
		s.storeCall(n, func(err error) reducer.Event {
			list := s.store.list(e.Kind)
			if s.kindsDown[e.Kind] {
				err = &platform.UnavailableError{Call: "list"}
			}
			if err == nil {
				n.cursors[e.Kind], n.answered[e.Kind] = list.Revision, s.now
			}
			return control.ObjectsListed{Kind: e.Kind, List: list, Err: err}
		})
	case control.ListVMs:
		s.storeCall(n, func(err error) reducer.Event {
			list := platform.VMList{Revision: s.store.vmsRev, VMs: slices.Clone(s.store.vms)}
			return control.VMsListed{List: list, Err: err}
		})
	case control.ProbeStore:
		s.storeCall(n, func(err error) reducer.Event { return control.StoreProbed{Err: err} })
	case control.WatchObjects:
		s.store.calls++
		n.watches++
		n.watch, n.watchEnd = &e, s.now+e.Wait
		for _, kind := range e.Kinds {
			if _, inFlight := n.kindEnds[kind]; !inFlight {
				n.kindEnds[kind] = s.now + e.Wait
			}
		}
	case control.CancelWatch:
		if n.watch != nil {
			s.endWatch(n, control.ObjectsWatched{Err: &platform.UnavailableError{Call: "watch"}})
		}
	case control.FetchCopy:
		s.fetch(n, e)
	case control.ReplyToFetch:
		if reply := n.pendingFetches[e.RequestID]; reply != nil {
			reply(e.Reply)
		}
	case control.WriteStatus:
		s.storeCall(n, func(err error) reducer.Event { return s.writeStatus(e, err) })
	case control.ObjectsState:
		n.objects = e
	case control.Log:
		if e.Alarm {
			if n.alarms == nil {
				n.alarms = map[string]int{}
			}
			n.alarms[e.Event]++
		}
		n.logs = append(n.logs, fmt.Sprintf("%v %s %v", s.now, e.Event, e.Fields))
	}
}

func (s *sim) writeStatus(e control.WriteStatus, err error) reducer.Event {
	if err != nil {
		return control.StatusWritten{Version: e.IfVersion, Err: err}
	}
	current := s.store.objects[platform.KindStatus+"/"+e.Status.DataCentre]
	if current.Version != e.IfVersion {
		return control.StatusWritten{Version: current.Version, Err: &platform.ConflictError{Current: current}}
	}
	return control.StatusWritten{Version: s.store.put(platform.KindStatus, e.Status.DataCentre, e.Status)}
}

// storeCall posts the result of a store call after one tick. The result is computed
// from the store's state at that time.
func (s *sim) storeCall(n *node, result func(err error) reducer.Event) {
	s.store.calls++
	if !s.storeReachable(n) {
		s.schedule(s.failureDelay(), func() { s.post(n, result(&platform.UnavailableError{Call: "sim"})) })
		return
	}
	s.schedule(simTick+s.storeDelay, func() {
		if uint64(s.store.calls)*2654435761%100 < s.lostAnswers {
			s.post(n, result(&platform.UnavailableError{Call: "lost"}))
			return
		}
		s.post(n, result(nil))
	})
}

func (s *sim) send(from *node, to string, e control.Notify) {
	s.messages++
	if uint64(s.messages)*2654435761%100 < s.lossPercent || s.muted[from.vm.ID] || s.deaf[to] {
		return
	}
	s.schedule(simTick/10, func() {
		target := s.nodes[to]
		if target == nil || !target.up || !s.reachable(from.vm, target.vm) {
			return
		}
		s.post(target, reducer.PeerMessage{From: from.vm.ID, Method: e.Method, Body: e.Body, Now: s.now})
	})
}

func (s *sim) fetch(n *node, e control.FetchCopy) {
	s.schedule(simTick, func() {
		target := s.nodes[e.From]
		if target == nil || !target.up || target.paused || !s.reachable(n.vm, target.vm) {
			s.post(n, control.PeerFetched{From: e.From, Err: &platform.UnavailableError{Call: "fetch"}})
			return
		}
		target.nextRequestID++
		target.pendingFetches[target.nextRequestID] = func(r control.FetchReply) {
			s.schedule(simTick, func() { s.post(n, control.PeerFetched{From: e.From, Request: e.Request, Reply: r}) })
		}
		s.post(target, control.FetchRequested{RequestID: target.nextRequestID, Request: e.Request})
	})
}

// handlePublish records a snapshot and checks that no version in force ever decreases on
// a running process.
func (s *sim) handlePublish(n *node, e control.Publish) {
	if e.Snapshot.Revision < n.revision {
		s.fail("%s: snapshot revision fell from %d to %d", n.vm.ID, n.revision, e.Snapshot.Revision)
	}
	n.revision = e.Snapshot.Revision
	n.snapshot = e.Snapshot
	n.ready = n.ready || e.Ready
	for _, o := range n.machine.Dump().Objects {
		if o.Object == "vms/list" {
			continue
		}
		if o.InForce < n.highestInForce[o.Object] && !o.Deleted {
			s.fail("%s: %s fell from %d to %d", n.vm.ID, o.Object, n.highestInForce[o.Object], o.InForce)
		}
		n.highestInForce[o.Object] = max(n.highestInForce[o.Object], o.InForce)
	}
}
