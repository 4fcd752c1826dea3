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

// Intervals of the simulation, and its database.
const (
	simTickInterval    = 50 * time.Millisecond
	probeInterval      = 200 * time.Millisecond
	writeInterval      = 25 * time.Millisecond
	replicateInterval  = 20 * time.Millisecond
	pollInterval       = 700 * time.Millisecond
	membershipInterval = 900 * time.Millisecond
	testDatabase       = "orders"
)

// world simulates VMs, the platform and backend servers in simulated time. All
// random choices derive from one seed, so a run is reproducible.
type world struct {
	rng         *rand.Rand
	opts        Options
	now         time.Duration
	queue       simtime.Queue[func()]
	vms         []*simVM
	store       simStore
	servers     map[string]*simServer
	serverIDs   []string
	isolated    map[string]bool    // data centres isolated from all others and the platform
	partitioned map[[2]string]bool // pairs of data centres that cannot reach each other
	lossRate    float64            // fraction of messages lost
	serverDelay time.Duration      // additional delay of server responses

	nextWrite    uint64
	acknowledged []acknowledgedWrite
	violations   []string
	maxLeaseTerm uint64 // highest term with a write acknowledged under a lease
	promotions   int
	logs         []string
}

type acknowledgedWrite struct {
	id        uint64
	term      uint64
	byReplica bool
}

// newWorld creates three data centres with vmsPerDataCentre VMs and one server
// each.
func newWorld(seed uint64, opts Options, vmsPerDataCentre int) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 7)), opts: opts, now: time.Second,
		servers: map[string]*simServer{}, isolated: map[string]bool{}, partitioned: map[[2]string]bool{},
	}
	w.store.init(w)
	group := topology.Group{Database: testDatabase, Term: 1, Primary: "s-a"}
	for _, dc := range []string{"a", "b", "c"} {
		id := "s-" + dc
		w.serverIDs = append(w.serverIDs, id)
		w.servers[id] = newSimServer(w, id, dc)
		group.Servers = append(group.Servers, topology.Server{ID: id, Addr: id, DataCentre: dc, State: topology.ServerActive})
		for i := range vmsPerDataCentre {
			w.vms = append(w.vms, newSimVM(w, fmt.Sprintf("vm-%s%d", dc, i), dc))
		}
	}
	w.servers["s-a"].role = topology.RolePrimary
	w.store.set(platform.KindGroup, testDatabase, encodeJSON(group))
	for _, vm := range w.vms {
		vm.start()
	}
	w.every(writeInterval, w.writeThroughHomes)
	w.every(replicateInterval, w.replicate)
	w.every(membershipInterval, w.publishMembership)
	w.publishMembership()
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

// runFor advances simulated time by d, or until a safety violation is recorded.
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

func (w *world) recordViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
}

// connected reports whether messages pass between two data centres. The platform
// counts as a data centre of its own, named "".
func (w *world) connected(a, b string) bool {
	if a == b {
		return true
	}
	return !w.isolated[a] && !w.isolated[b] && !w.partitioned[[2]string{a, b}] && !w.partitioned[[2]string{b, a}]
}

// networkDelay returns a random one-way delay.
func (w *world) networkDelay() time.Duration {
	d := time.Duration(1+w.rng.IntN(20)) * time.Millisecond
	if w.rng.IntN(50) == 0 {
		d += time.Duration(w.rng.IntN(600)) * time.Millisecond
	}
	return d
}

func (w *world) loseMessage() bool { return w.rng.Float64() < w.lossRate }

func (w *world) vm(id string) *simVM {
	for _, vm := range w.vms {
		if vm.id == id {
			return vm
		}
	}
	return nil
}

// group returns the platform's current group object.
func (w *world) group() topology.Group {
	return decodeGroup(w.store.objects[platform.KindGroup+"/"+testDatabase])
}

// publishMembership sends each VM a snapshot of the live VMs and the homes after a
// random delay.
func (w *world) publishMembership() {
	live := map[string]topology.VM{}
	for _, vm := range w.vms {
		if vm.up {
			live[vm.id] = topology.VM{ID: vm.id, DataCentre: vm.dc, State: topology.VMLive}
		}
	}
	homes := map[string]string{}
	for _, id := range w.serverIDs {
		var ids []string
		for vm, v := range live {
			if v.DataCentre == w.servers[id].dc {
				ids = append(ids, vm)
			}
		}
		if len(ids) > 0 {
			homes[id] = rendezvousPick(ids, id)
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

// simStore simulates the platform's object API.
type simStore struct {
	w                *world
	revision         uint64
	objects          map[string]platform.Object
	down             bool
	responseLossRate float64 // fraction of responses lost after the call took effect
	calls            int
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

func (s *simStore) execute(e StoreCall) StoreResult {
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

// groupWritten checks a new group object and delivers it to the VMs' watches.
func (w *world) groupWritten(o platform.Object) {
	g := decodeGroup(o)
	if g.Promotion == nil && g.Term > 1 && len(g.TermStarts) > 0 {
		w.checkNewPrimary(g)
	}
	for _, vm := range w.vms {
		w.after(w.networkDelay(), func() {
			if !w.store.down && w.connected(vm.dc, "") {
				vm.deliver(reducer.ObjectChanged{Kind: o.Kind, Name: o.Name, Version: o.Version, Value: o.Value, From: "watch"})
			}
		})
	}
}

// checkNewPrimary checks that a newly published primary has its role and every write
// that replicas had confirmed.
func (w *world) checkNewPrimary(g topology.Group) {
	if g.TermStarts[len(g.TermStarts)-1].Term != g.Term {
		return
	}
	w.promotions++
	primary := w.servers[g.Primary]
	if primary.role != topology.RolePrimary || primary.term != g.Term {
		w.recordViolation("published primary %s has role %s in term %d, not primary in term %d", g.Primary, primary.role, primary.term, g.Term)
	}
	w.checkConfirmedWritesPresent(primary)
}

func (w *world) checkConfirmedWritesPresent(s *simServer) {
	present := map[uint64]bool{}
	for _, e := range s.log {
		present[e.id] = true
	}
	for _, a := range w.acknowledged {
		if a.byReplica && !present[a.id] {
			w.recordViolation("write %d of term %d was confirmed by a replica but is missing on %s in term %d", a.id, a.term, s.id, s.term)
			return
		}
	}
}
