package control_test

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"egretroad/internal/control"
	"egretroad/internal/peer/method"
	"egretroad/internal/platform"
	"egretroad/internal/reducer"
	"egretroad/internal/topology"
)

// harness runs a single control machine: tests post events and inspect its effects.
type harness struct {
	m       *control.Machine
	now     time.Duration
	effects []reducer.Effect
}

func harnessVM(id, dc string) topology.VM {
	return topology.VM{ID: id, DataCentre: dc, Region: "r-" + dc, PeerAddr: "127.0.0.1:1", State: topology.VMLive}
}

// newHarness returns the machine of VM a1, which knows VMs a2 and b1 and all objects
// up to a revision.
func newHarness(revision uint64, servers ...platform.Object) *harness {
	h := newHarnessWithoutCatalogue()
	h.listVMs()
	h.listObjects(revision, servers...)
	return h
}

// newHarnessWithoutCatalogue returns the machine of VM a1 as it is after its start.
func newHarnessWithoutCatalogue() *harness {
	o := control.DefaultOptions()
	o.SelfRegistration, o.MaxVMsAllWatching, o.DisableStatusReports, o.VMsRegister = true, 32, true, true
	h := &harness{m: control.New(control.Config{Options: o, Self: harnessVM("a1", "a"), Incarnation: 1}), now: time.Hour}
	h.tick(0)
	return h
}

func (h *harness) listVMs() {
	h.post(control.VMsListed{List: platform.VMList{Revision: 1, VMs: []topology.VM{harnessVM("a1", "a"), harnessVM("a2", "a"), harnessVM("b1", "b")}}})
}

func (h *harness) listObjects(revision uint64, servers ...platform.Object) {
	h.post(control.ObjectsListed{Kind: platform.KindCatalogue, List: platform.ObjectList{Revision: revision}})
	h.post(control.ObjectsListed{Kind: platform.KindServer, List: platform.ObjectList{Revision: revision, Objects: servers}})
}

func (h *harness) post(e reducer.Event) { h.effects = append(h.effects, h.m.Step(e)...) }

func (h *harness) tick(d time.Duration) {
	h.now += d
	h.post(reducer.Tick{Now: h.now})
}

// group returns group "orders" of the last published snapshot.
func (h *harness) group() *topology.Group {
	var g *topology.Group
	for _, e := range h.effects {
		if p, ok := e.(control.Publish); ok {
			g = p.Snapshot.Groups["orders"]
		}
	}
	return g
}

// relayedTo returns the object updates sent to a VM.
func (h *harness) relayedTo(g *WithT, vm string) []control.ObjectUpdate {
	var updates []control.ObjectUpdate
	for _, e := range h.effects {
		n, ok := e.(control.Notify)
		if !ok || n.Method != method.Objects {
			continue
		}
		for _, to := range n.To {
			if to == vm {
				var message control.ObjectUpdate
				g.Expect(msgpack.Unmarshal(n.Body, &message)).To(Succeed())
				updates = append(updates, message)
			}
		}
	}
	return updates
}

func registration(g *WithT, id string, version uint64, role topology.Role, state topology.ServerState) platform.Object {
	return registrationIn(g, "a", id, version, role, state)
}

func registrationIn(g *WithT, dc, id string, version uint64, role topology.Role, state topology.ServerState) platform.Object {
	value, err := json.Marshal(topology.Registration{
		Database: "orders", Role: role,
		Server: topology.Server{ID: id, Addr: "10.0.0.1:" + id, DataCentre: dc, Region: "r-" + dc, State: state, Slots: 2},
	})
	g.Expect(err).NotTo(HaveOccurred())
	return platform.Object{Kind: platform.KindServer, Name: id, Version: version, Value: value}
}

func deletedRegistration(id string, version uint64) platform.Object {
	return platform.Object{Kind: platform.KindServer, Name: id, Version: version, Deleted: true}
}

// A relayed update must not cover a larger revision range than its objects do. A
// receiver that wrongly considers itself complete treats unknown objects as deleted:
// a measurement lost an added route on seven of nine VMs this way
// (brightspokes-pool scale-1, seed 512147424027).
func TestRelayedUpdateKeepsItsRevisionRange(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(22)
	h.effects = nil
	server := registration(g, "1", 26, topology.RolePrimary, topology.ServerActive)
	body, err := msgpack.Marshal(control.ObjectUpdate{
		Kind: platform.KindServer, Since: 24, Revision: 27, Objects: []control.ObjectRecord{{Kind: server.Kind, Name: server.Name, Version: server.Version, Value: server.Value}},
	})
	g.Expect(err).NotTo(HaveOccurred())
	h.post(reducer.PeerMessage{From: "b1", Method: method.Objects, Body: body, Now: h.now})
	updates := h.relayedTo(g, "a2")
	g.Expect(updates).To(HaveLen(1))
	g.Expect(updates[0].Since).To(BeNumerically(">=", 24))
}

// The result of a watch is relayed in full, including objects that this VM already
// received from a peer, because a receiver may lack them.
func TestWatchReplyIsRelayedInFull(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(22)
	first := registration(g, "1", 24, topology.RolePrimary, topology.ServerActive)
	h.post(reducer.ObjectChanged{Kind: first.Kind, Name: first.Name, Version: first.Version, Value: first.Value, From: "b1"})
	h.effects = nil
	second := registration(g, "2", 26, topology.RoleReplica, topology.ServerActive)
	h.post(control.ObjectsWatched{Since: 22, Response: platform.WatchResponse{Revision: 27, Objects: []platform.Object{first, second}}})
	updates := h.relayedTo(g, "a2")
	g.Expect(updates).To(HaveLen(1))
	g.Expect(updates[0].Objects).To(HaveLen(2))
}

func TestGroupsAreBuiltFromRegistrations(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(5, registration(g, "1", 3, topology.RolePrimary, topology.ServerActive), registration(g, "2", 4, topology.RoleReplica, topology.ServerActive))
	g.Expect(h.group().Primary).To(Equal("1"))
	g.Expect(h.group().Servers).To(HaveLen(2))
	// The server with the latest registration as primary wins.
	h.tick(time.Second)
	h.post(control.ObjectsWatched{Since: 5, Response: platform.WatchResponse{Revision: 9, Objects: []platform.Object{
		registration(g, "2", 8, topology.RolePrimary, topology.ServerActive),
	}}})
	g.Expect(h.group().Primary).To(Equal("2"))
}

// Registrations lapse during a store outage and reappear within about two seconds
// after it. A server must not disappear from its group in between.
func TestLapsedRegistrationIsKeptUntilTTL(t *testing.T) {
	g := NewWithT(t)
	ttl := control.DefaultOptions().LapsedRegistrationTTL
	h := newHarness(5, registration(g, "1", 3, topology.RolePrimary, topology.ServerActive))
	h.post(control.ObjectsWatched{Since: 5, Response: platform.WatchResponse{Revision: 9, Objects: []platform.Object{deletedRegistration("1", 9)}}})
	h.tick(ttl - 100*time.Millisecond)
	g.Expect(h.group()).NotTo(BeNil())
	h.post(control.ObjectsWatched{Since: 9, Response: platform.WatchResponse{Revision: 10, Objects: []platform.Object{
		registration(g, "1", 10, topology.RolePrimary, topology.ServerActive),
	}}})
	h.tick(ttl)
	g.Expect(h.group()).NotTo(BeNil())
	h.post(control.ObjectsWatched{Since: 10, Response: platform.WatchResponse{Revision: 11, Objects: []platform.Object{deletedRegistration("1", 11)}}})
	h.tick(ttl)
	h.tick(100 * time.Millisecond)
	g.Expect(h.group()).To(BeNil())
}

func TestLeavingServerIsDroppedAtDeregistration(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(5, registration(g, "1", 3, topology.RoleReplica, topology.ServerLeaving), registration(g, "2", 4, topology.RolePrimary, topology.ServerActive))
	h.tick(time.Second)
	h.post(control.ObjectsWatched{Since: 5, Response: platform.WatchResponse{Revision: 9, Objects: []platform.Object{deletedRegistration("1", 9)}}})
	g.Expect(h.group().Servers).To(HaveLen(1))
}

// heartbeat delivers a heartbeat from a VM that carries no digests or records.
func (h *harness) heartbeat(g *WithT, from string) {
	body, err := msgpack.Marshal(control.Heartbeat{Incarnation: 1})
	g.Expect(err).NotTo(HaveOccurred())
	h.post(reducer.PeerMessage{From: from, Method: method.Heartbeat, Body: body, Now: h.now})
}

// home returns the home of server "1" in the last published snapshot.
func (h *harness) home() string {
	return h.homes()["1"]
}

// When all VMs of a data centre fail at once, no monitor is left to report them.
// Without the silence limit for data centres, their servers kept dead homes and a
// primary among them was never replaced.
func TestSilentDataCentreLosesItsHomes(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(5, registrationIn(g, "b", "1", 3, topology.RolePrimary, topology.ServerActive))
	h.heartbeat(g, "b1")
	h.heartbeat(g, "a2")
	g.Expect(h.home()).To(Equal("b1"))
	for range 40 {
		h.tick(100 * time.Millisecond)
		h.heartbeat(g, "a2")
	}
	g.Expect(h.home()).To(HavePrefix("a"))
	h.heartbeat(g, "b1")
	h.tick(100 * time.Millisecond)
	g.Expect(h.home()).To(Equal("b1"))
	// An isolated VM may be partitioned itself and must not move homes.
	for range 60 {
		h.tick(100 * time.Millisecond)
	}
	g.Expect(h.home()).To(Equal("b1"))
}

// During a store outage a promoted server cannot register its new role. The VM that
// promoted it sends a primary claim to the others.
func TestPrimaryClaimHoldsUntilLaterRegistration(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(5, registration(g, "1", 3, topology.RolePrimary, topology.ServerActive), registration(g, "2", 4, topology.RoleReplica, topology.ServerActive))
	h.tick(time.Second)
	h.effects = nil
	h.post(control.PrimaryFound{Database: "orders", Server: "2"})
	g.Expect(h.group().Primary).To(Equal("2"))
	notified := map[string]bool{}
	for _, e := range h.effects {
		if n, ok := e.(control.Notify); ok && n.Method == method.PrimaryClaim {
			for _, to := range n.To {
				notified[to] = true
			}
		}
	}
	g.Expect(notified).To(Equal(map[string]bool{"a2": true, "b1": true}))
	// An older claim does not override it, a later registration does.
	stale, err := msgpack.Marshal(control.PrimaryClaim{Database: "orders", Server: "1", Version: 3})
	g.Expect(err).NotTo(HaveOccurred())
	h.post(reducer.PeerMessage{From: "b1", Method: method.PrimaryClaim, Body: stale, Now: h.now})
	h.tick(time.Second)
	g.Expect(h.group().Primary).To(Equal("2"))
	h.post(control.ObjectsWatched{Since: 5, Response: platform.WatchResponse{Revision: 9, Objects: []platform.Object{
		registration(g, "2", 8, topology.RoleReplica, topology.ServerActive), registration(g, "1", 9, topology.RolePrimary, topology.ServerActive),
	}}})
	h.tick(time.Second)
	g.Expect(h.group().Primary).To(Equal("1"))
}

// A group had no usable primary for good when the platform replaced a promoted server without
// a designation: the claim for the server held, although it had registered as a replica.
func TestPrimaryClaimEndsWhenItsServerRegistersAsReplica(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(5, registration(g, "1", 3, topology.RolePrimary, topology.ServerActive), registration(g, "2", 4, topology.RoleReplica, topology.ServerActive))
	h.tick(time.Second)
	h.post(control.PrimaryDesignated{Database: "orders", Designation: topology.Designation{Server: "2", Holder: "a1", Token: 6}})
	h.post(control.PrimaryFound{Database: "orders", Server: "2"})
	watched := func(since, revision uint64, registrations ...platform.Object) {
		h.post(control.ObjectsWatched{Since: since, Response: platform.WatchResponse{Revision: revision, Objects: registrations}})
	}
	// Its promotion may not have taken effect yet.
	watched(5, 8, registration(g, "2", 8, topology.RoleReplica, topology.ServerActive))
	h.tick(control.DefaultOptions().PrimaryClaimGrace / 2)
	g.Expect(h.group().Primary).To(Equal("2"))
	watched(8, 9, registration(g, "2", 9, topology.RolePrimary, topology.ServerActive))
	h.tick(control.DefaultOptions().PrimaryClaimGrace)
	g.Expect(h.group().Primary).To(Equal("2"))
	// Another server is promoted that no VM has designated.
	watched(9, 11, registration(g, "1", 10, topology.RolePrimary, topology.ServerActive), registration(g, "2", 11, topology.RoleReplica, topology.ServerActive))
	h.tick(time.Second)
	g.Expect(h.group().Primary).To(BeEmpty(), "so that the designated server is promoted again")
	// It is, and a later claim counts.
	h.post(control.PrimaryFound{Database: "orders", Server: "2"})
	h.tick(time.Second)
	g.Expect(h.group().Primary).To(Equal("2"))
}

// homes returns the homes of the last published snapshot.
func (h *harness) homes() map[string]string {
	var homes map[string]string
	for _, e := range h.effects {
		if p, ok := e.(control.Publish); ok {
			homes = p.Snapshot.Homes
		}
	}
	return homes
}

// When all VMs start at the same time, the first one to read the servers must not
// consider itself the home of all of them: it would open connections to all of them
// and close them again.
func TestServersGetHomesAfterVMList(t *testing.T) {
	start := func(g *WithT) *harness {
		o := control.DefaultOptions()
		o.SelfRegistration, o.MaxVMsAllWatching, o.DisableStatusReports = true, 32, true
		h := &harness{m: control.New(control.Config{Options: o, Self: harnessVM("a1", "a"), Incarnation: 1}), now: time.Hour}
		h.tick(0)
		h.listObjects(9,
			registrationIn(g, "a", "s1", 1, topology.RolePrimary, topology.ServerActive),
			registrationIn(g, "b", "s2", 2, topology.RoleReplica, topology.ServerActive),
			registrationIn(g, "c", "s3", 3, topology.RoleReplica, topology.ServerActive))
		g.Expect(h.group().Servers).To(HaveLen(3))
		g.Expect(h.homes()).To(BeEmpty())
		return h
	}
	g := NewWithT(t)
	h := start(g)
	h.listVMs()
	h.tick(time.Second)
	g.Expect(h.homes()).To(And(HaveLen(3), HaveKeyWithValue("s2", "b1")))
	// Homes must be assigned after the time-out even if the store does not respond.
	h = start(g)
	h.tick(control.DefaultOptions().VMListTimeout)
	h.tick(time.Second)
	g.Expect(h.homes()).To(Equal(map[string]string{"s1": "a1", "s2": "a1", "s3": "a1"}))
}

// A VM registers, and the store refuses it before it has read the list of VMs. The others
// find it in their list. It is the only VM of its data centre, and knows none of them.
func TestUnannouncedVMIsProbedFromOtherDataCentres(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(5)
	listed := []topology.VM{harnessVM("a1", "a"), harnessVM("a2", "a"), harnessVM("b1", "b"), harnessVM("c1", "c")}
	h.post(control.VMsListed{List: platform.VMList{Revision: 6, VMs: listed}})
	var probe *control.Heartbeat
	for range 100 {
		h.tick(50 * time.Millisecond)
		for _, e := range h.effects {
			n, ok := e.(control.Notify)
			if !ok || n.Method != method.Heartbeat || len(n.To) != 1 || n.To[0] != "c1" {
				continue
			}
			probe = &control.Heartbeat{}
			g.Expect(msgpack.Unmarshal(n.Body, probe)).To(Succeed())
		}
	}
	g.Expect(probe).NotTo(BeNil())
	// The VM learns the sender's address from the probe, answers it and catches up.
	o := control.DefaultOptions()
	o.SelfRegistration = true
	refused := &harness{now: time.Hour, m: control.New(control.Config{Options: o, Self: harnessVM("c1", "c"), Incarnation: 3})}
	refused.tick(0)
	refused.listObjects(4)
	refused.effects = nil
	body, err := msgpack.Marshal(probe)
	g.Expect(err).NotTo(HaveOccurred())
	refused.post(reducer.PeerMessage{From: "a1", Method: method.Heartbeat, Body: body, Now: refused.now})
	var answered bool
	for _, e := range refused.effects {
		n, ok := e.(control.Notify)
		answered = answered || ok && n.Method == method.Heartbeat && len(n.To) == 1 && n.To[0] == "a1"
	}
	g.Expect(answered).To(BeTrue())
}

// All VMs start, and this one reads the list of VMs before the others have registered. If
// it is cut off before it reads the list again, it must not take its own statement for
// that of all VMs.
func TestAnnouncedVMCountsAsListed(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(5)
	vm := harnessVM("c1", "c")
	heartbeat := control.Heartbeat{Incarnation: 9, Records: []control.Record{{ID: "c1", Incarnation: 9, VM: &vm}}}
	body, err := msgpack.Marshal(heartbeat)
	g.Expect(err).NotTo(HaveOccurred())
	h.post(reducer.PeerMessage{From: "c1", Method: method.Heartbeat, Body: body, Now: h.now})
	h.tick(time.Second)
	var listed []string
	for _, e := range h.effects {
		if p, ok := e.(control.Publish); ok {
			listed = p.Snapshot.Listed
		}
	}
	g.Expect(listed).To(ConsistOf("a1", "a2", "b1", "c1"))
}

// The list of VMs arrived before the catalogue, and no VM changed afterwards: the snapshot
// never named the listed VMs, and this VM promoted nothing.
func TestVMsListedBeforeCatalogueAreInSnapshot(t *testing.T) {
	g := NewWithT(t)
	h := newHarnessWithoutCatalogue()
	h.listVMs()
	h.tick(50 * time.Millisecond)
	h.listObjects(5, registration(g, "1", 3, topology.RolePrimary, topology.ServerActive))
	h.tick(50 * time.Millisecond)
	var snapshot *topology.Snapshot
	for _, e := range h.effects {
		if p, ok := e.(control.Publish); ok && p.Ready {
			snapshot = p.Snapshot
		}
	}
	g.Expect(snapshot).NotTo(BeNil())
	g.Expect(snapshot.Listed).To(ConsistOf("a1", "a2", "b1"))
}

// The older copy of the store lacked VMs that had registered since. They were declared dead,
// although they ran, and their servers got other homes.
func TestVMsMissingInOlderCopyStayListedUntilTheyRegisterAgain(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(platform.MakeVersion(1, 22))
	list := func(revision uint64, ids ...string) {
		var vms []topology.VM
		for _, id := range ids {
			vms = append(vms, harnessVM(id, id[:1]))
		}
		h.post(control.VMsListed{List: platform.VMList{Revision: platform.MakeVersion(2, revision), VMs: vms}})
		h.tick(100 * time.Millisecond)
	}
	listed := func() []string {
		var last []string
		for _, e := range h.effects {
			if p, ok := e.(control.Publish); ok {
				last = p.Snapshot.Listed
			}
		}
		return last
	}
	h.effects = nil
	list(12, "a2")
	g.Expect(h.effects).To(ContainElement(control.RegisterSelf{}))
	g.Expect(listed()).To(Or(BeNil(), ConsistOf("a1", "a2", "b1")), "nil: the snapshot is unchanged")
	list(14, "a1", "a2")
	h.tick(4 * time.Second)
	g.Expect(listed()).To(Or(BeNil(), ConsistOf("a1", "a2", "b1")))
	h.tick(2 * time.Second)
	h.tick(100 * time.Millisecond)
	g.Expect(listed()).To(ConsistOf("a1", "a2"), "b1 has not registered again")
}

// A VM that takes an unknown object for a deleted one logs on which claim that is based.
func TestInferredDeletionIsLoggedWithItsClaim(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(22)
	stale := registration(g, "1", 20, topology.RoleReplica, topology.ServerActive)
	h.post(control.PeerFetched{From: "b1", Reply: control.FetchReply{Objects: []control.ObjectRecord{
		{Kind: stale.Kind, Name: stale.Name, Version: stale.Version, Value: stale.Value},
	}}})
	g.Expect(h.effects).To(ContainElement(control.Log{Event: "deletion_inferred", Fields: []any{
		"object", "server/1", "from", "b1", "version", uint64(20), "complete", uint64(22), "complete_from", "list of the store",
	}}))
}

// The dump shared a map with the machine, which changed it while the dump was encoded.
func TestDumpDoesNotChangeAfterwards(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(22)
	d := h.m.Dump()
	h.post(control.ObjectsWatched{Since: 22, Response: platform.WatchResponse{Revision: 27}})
	g.Expect(d.CompleteBy).To(Equal(map[string]string{platform.KindCatalogue: "list of the store", platform.KindServer: "list of the store"}))
	g.Expect(h.m.Dump().CompleteBy).NotTo(Equal(d.CompleteBy))
}
