package authority

import (
	"fmt"
	"math/rand/v2"
	"time"

	"egretroad/internal/platform"
	"egretroad/internal/reducer"
	"egretroad/internal/simtime"
	"egretroad/internal/topology"
)

// Timings of the simulated world.
const (
	tickInterval      = 50 * time.Millisecond
	probeInterval     = 200 * time.Millisecond
	writeInterval     = 25 * time.Millisecond
	replicateInterval = 20 * time.Millisecond
	pollInterval      = 700 * time.Millisecond
	memberLag         = 900 * time.Millisecond
	testDatabase      = "orders"
)

// world is a small simulation of VMs, platform and servers in simulated time.
// Every random choice comes from one seed.
type world struct {
	rng    *rand.Rand
	opts   Options
	now    time.Duration
	queue  simtime.Queue[func()]
	vms    []*simVM
	store  simStore
	server map[string]*simServer
	order  []string
	cut    map[string]bool    // data centres cut off from everything
	cutAB  map[[2]string]bool // pairs of data centres cut from each other
	loss   float64            // share of messages lost
	slow   time.Duration      // extra delay of servers' answers

	nextWrite  uint64
	acked      []ackedWrite
	violations []string
	topLease   uint64 // highest term acknowledged under a lease
	promotions int
	logs       []string
}

type ackedWrite struct {
	id        uint64
	term      uint64
	byReplica bool
}

// newWorld builds three data centres with vmsPerCentre VMs and one server each.
func newWorld(seed uint64, opts Options, vmsPerCentre int) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 7)), opts: opts, now: time.Second,
		server: map[string]*simServer{}, cut: map[string]bool{}, cutAB: map[[2]string]bool{},
	}
	w.store.init(w)
	group := topology.Group{Database: testDatabase, Term: 1, Primary: "s-a"}
	for _, dc := range []string{"a", "b", "c"} {
		id := "s-" + dc
		w.order = append(w.order, id)
		w.server[id] = newSimServer(w, id, dc)
		group.Servers = append(group.Servers, topology.Server{ID: id, Addr: id, DataCentre: dc, State: topology.ServerActive})
		for i := range vmsPerCentre {
			w.vms = append(w.vms, newSimVM(w, fmt.Sprintf("vm-%s%d", dc, i), dc))
		}
	}
	w.server["s-a"].role = topology.RolePrimary
	w.store.set(platform.KindGroup, testDatabase, encodeJSON(group))
	for _, vm := range w.vms {
		vm.start()
	}
	w.every(writeInterval, w.writeSomewhere)
	w.every(replicateInterval, w.replicate)
	w.every(memberLag, w.publishMembers)
	w.publishMembers()
	return w
}

func (w *world) at(t time.Duration, run func()) { w.queue.Add(t, run) }

func (w *world) after(d time.Duration, run func()) { w.at(w.now+d, run) }

func (w *world) every(d time.Duration, run func()) {
	w.after(d, func() {
		run()
		w.every(d, run)
	})
}

// runFor lets simulated time pass.
func (w *world) runFor(d time.Duration) {
	end := w.now + d
	for len(w.violations) == 0 {
		at, run, due := w.queue.Next(end)
		if !due {
			break
		}
		w.now = at
		run()
	}
	w.now = max(w.now, end)
}

func (w *world) violate(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
}

// reaches reports whether a message passes between two data centres. The
// platform is its own place, named "".
func (w *world) reaches(a, b string) bool {
	if a == b {
		return true
	}
	return !w.cut[a] && !w.cut[b] && !w.cutAB[[2]string{a, b}] && !w.cutAB[[2]string{b, a}]
}

// delay is a random time on the network.
func (w *world) delay() time.Duration {
	d := time.Duration(1+w.rng.IntN(20)) * time.Millisecond
	if w.rng.IntN(50) == 0 {
		d += time.Duration(w.rng.IntN(600)) * time.Millisecond
	}
	return d
}

func (w *world) lost() bool { return w.rng.Float64() < w.loss }

func (w *world) vm(id string) *simVM {
	for _, vm := range w.vms {
		if vm.id == id {
			return vm
		}
	}
	return nil
}

// group returns the group as the platform holds it.
func (w *world) group() topology.Group {
	return decodeGroup(w.store.objects[platform.KindGroup+"/"+testDatabase])
}

// publishMembers gives each VM its view of the live VMs and the homes.
func (w *world) publishMembers() {
	live := map[string]topology.VM{}
	for _, vm := range w.vms {
		if vm.up {
			live[vm.id] = topology.VM{ID: vm.id, DataCentre: vm.dc, State: topology.VMLive}
		}
	}
	homes := map[string]string{}
	for _, id := range w.order {
		var ids []string
		for vm, v := range live {
			if v.DataCentre == w.server[id].dc {
				ids = append(ids, vm)
			}
		}
		if len(ids) > 0 {
			homes[id] = lookup(ids, id)
		}
	}
	for _, vm := range w.vms {
		snapshot := &topology.Snapshot{Self: vm.id, VMs: live, Homes: homes}
		incarnation := vm.incarnation
		w.after(time.Duration(w.rng.IntN(300))*time.Millisecond, func() {
			if vm.incarnation == incarnation {
				vm.deliver(reducer.SnapshotPublished{Snapshot: snapshot})
			}
		})
	}
}

// simStore is the platform's object API.
type simStore struct {
	w        *world
	revision uint64
	objects  map[string]platform.Object
	down     bool
	loseAns  float64 // share of answers lost after the call took effect
	calls    int
}

func (s *simStore) init(w *world) { s.w, s.objects = w, map[string]platform.Object{} }

func (s *simStore) set(kind, name string, value []byte) platform.Object {
	s.revision++
	o := platform.Object{Kind: kind, Name: name, Version: s.revision, Value: value}
	s.objects[kind+"/"+name] = o
	if kind == platform.KindGroup {
		s.w.groupWritten(o)
	}
	return o
}

func (s *simStore) serve(e StoreCall) StoreResult {
	key := e.Kind + "/" + e.Name
	o, exists := s.objects[key]
	if !e.Write {
		if !exists {
			return StoreResult{Op: e.Op, Outcome: StoreNotFound}
		}
		return StoreResult{Op: e.Op, Outcome: StoreOK, Object: o}
	}
	if o.Version != e.IfVersion {
		return StoreResult{Op: e.Op, Outcome: StoreConflict, Object: o}
	}
	return StoreResult{Op: e.Op, Outcome: StoreOK, Object: s.set(e.Kind, e.Name, e.Value)}
}

// groupWritten checks a new group object and sends it to the VMs that watch.
func (w *world) groupWritten(o platform.Object) {
	g := decodeGroup(o)
	if g.Promotion == nil && g.Term > 1 && len(g.TermStarts) > 0 {
		w.checkPublished(g)
	}
	for _, vm := range w.vms {
		w.after(w.delay(), func() {
			if !w.store.down && w.reaches(vm.dc, "") {
				vm.deliver(reducer.ObjectChanged{Kind: o.Kind, Name: o.Name, Version: o.Version, Value: o.Value, From: "watch"})
			}
		})
	}
}

// checkPublished checks that the new primary has every write that a replica
// had confirmed.
func (w *world) checkPublished(g topology.Group) {
	if g.TermStarts[len(g.TermStarts)-1].Term != g.Term {
		return
	}
	w.promotions++
	primary := w.server[g.Primary]
	if primary.role != topology.RolePrimary || primary.term != g.Term {
		w.violate("published primary %s is %s of term %d, not primary of term %d", g.Primary, primary.role, primary.term, g.Term)
	}
	w.checkKept(primary)
}

func (w *world) checkKept(s *simServer) {
	have := map[uint64]bool{}
	for _, e := range s.log {
		have[e.id] = true
	}
	for _, a := range w.acked {
		if a.byReplica && !have[a.id] {
			w.violate("write %d of term %d was confirmed by a replica and is lost on %s of term %d", a.id, a.term, s.id, s.term)
			return
		}
	}
}
