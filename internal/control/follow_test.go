package control_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"egretroad/internal/control"
	"egretroad/internal/platform"
	"egretroad/internal/topology"
)

// followLimit is the default FollowLimit.
const followLimit = 5 * time.Second

// smallFleet and largeFleet are numbers of VMs in each of three data centres: every VM of the
// small fleet watches the store, and one of each data centre in the large one.
const (
	smallFleet, largeFleet = 3, 14
	maxVMsAllWatching      = 32
)

// newUsersSim returns a fleet whose store is that of the users' platform: each kind of
// object is watched apart, from its last list.
func newUsersSim(vmsEach int, fail func(string, ...any)) *sim {
	s := newSim(3, vmsEach, 5, fail)
	s.opts.MaxBackoff, s.opts.MaxVMsAllWatching = time.Second, maxVMsAllWatching
	s.watchApart = true
	s.seeds = []topology.VM{simVM(0, 0), simVM(0, 1), simVM(1, 0)}
	s.startAll()
	s.advance(5 * time.Second)
	return s
}

// restartAll restarts all VMs in turn, some at a time, each after half a second.
func (s *sim) restartAll(atATime int) {
	for i, id := range s.ids {
		s.nodes[id].up = false
		if (i+1)%atATime != 0 && i != len(s.ids)-1 {
			continue
		}
		s.advance(500 * time.Millisecond)
		for _, stopped := range s.ids {
			if !s.nodes[stopped].up {
				s.start(s.nodes[stopped].vm)
			}
		}
		s.advance(500 * time.Millisecond)
	}
}

// onUsersFleets runs a test on a small and a large fleet, with a store whose failing calls
// end at once and with one that does not respond to them.
func onUsersFleets(t *testing.T, test func(g *WithT, s *sim)) {
	for _, vmsEach := range []int{smallFleet, largeFleet} {
		for _, silent := range []bool{false, true} {
			t.Run(fmt.Sprintf("vms=%d silent=%v", 3*vmsEach, silent), func(t *testing.T) {
				s := newUsersSim(vmsEach, t.Fatalf)
				s.silent = silent
				test(NewWithT(t), s)
			})
		}
	}
}

func (n *node) logged(event string) bool {
	for _, line := range n.logs {
		if strings.Contains(line, " "+event+" ") {
			return true
		}
	}
	return false
}

// A VM whose configuration nobody confirms says so, again and again, and when it ends.
func TestVMThatNoWatchServesRaisesAlarm(t *testing.T) {
	onUsersFleets(t, func(g *WithT, s *sim) {
		s.store.down = true
		s.advance(2*followLimit + simCallTimeout)
		for _, id := range s.ids {
			g.Expect(s.nodes[id].logged("store_not_followed")).To(BeTrue(), id)
			g.Expect(s.nodes[id].logged("store_followed")).To(BeFalse(), id)
		}
		s.store.down = false
		s.advance(2 * followLimit)
		for _, id := range s.ids {
			g.Expect(s.nodes[id].logged("store_followed")).To(BeTrue(), id)
		}
	})
}

func TestVMWhoseStoreNeverAnsweredSaysNever(t *testing.T) {
	g := NewWithT(t)
	s := newUsersSim(smallFleet, t.Fatalf)
	s.store.down = true
	n := s.start(simVM(0, 2))
	s.advance(2 * followLimit)
	g.Expect(n.ready).To(BeTrue())
	g.Expect(strings.Join(n.logs, "\n")).To(ContainSubstring("contact_age never"))
	dump := n.machine.Dump()
	g.Expect(dump.WatchAgeMS).To(Equal(int64(-1)))
	g.Expect(dump.Listed).To(BeEmpty())
	g.Expect(dump.Answered).To(HaveKeyWithValue("catalogue", "never"))
}

// All VMs start while the store is away and become ready with copies of each other.
func TestChangeReachesFleetThatStartedInStoreOutage(t *testing.T) {
	onUsersFleets(t, func(g *WithT, s *sim) {
		s.store.down = true
		s.restartAll(len(s.ids) / 4)
		s.advance(2 * time.Second)
		s.store.down = false
		s.advance(followLimit)
		expectChangeInForce(s, g)
	})
}

// expectServerChangeInForce changes the group of a database and requires that it is in force
// on every running VM within maxChangeDelay.
func expectServerChangeInForce(s *sim, g *WithT) {
	group := simGroup(0, 3)
	group.Servers[0].Slots = int(s.store.revision) + 1
	want := s.store.put(platform.KindGroup, group.Database, group)
	s.advance(maxChangeDelay)
	for _, id := range s.ids {
		g.Expect(s.nodes[id].highestInForce["group/"+group.Database]).To(BeNumerically(">=", want), "on "+id)
	}
}

// All VMs list one kind at their start and become ready with copies before they have listed
// the other one.
func TestChangesReachFleetThatListedOneKindAtItsStart(t *testing.T) {
	for _, kind := range []string{platform.KindCatalogue, platform.KindGroup} {
		t.Run(kind, func(t *testing.T) {
			onUsersFleets(t, func(g *WithT, s *sim) {
				s.kindsDown[kind] = true
				s.restartAll(len(s.ids) / 4)
				s.advance(2 * time.Second)
				s.kindsDown[kind] = false
				s.advance(followLimit)
				expectChangeInForce(s, g)
				expectServerChangeInForce(s, g)
			})
		})
	}
}

// The store refuses the lists of one kind for good: changes of the other one still arrive.
func TestChangesOfOneKindReachFleetWhileStoreRefusesTheOther(t *testing.T) {
	for _, kind := range []string{platform.KindCatalogue, platform.KindGroup} {
		t.Run(kind, func(t *testing.T) {
			onUsersFleets(t, func(g *WithT, s *sim) {
				s.kindsDown[kind] = true
				s.restartAll(len(s.ids) / 4)
				s.advance(followLimit)
				if kind == platform.KindGroup {
					expectChangeInForce(s, g)
				} else {
					expectServerChangeInForce(s, g)
				}
			})
		})
	}
}

// A VM that started with a copy did not notice that the store had returned from an older copy
// of itself meanwhile: it had never listed it before.
func TestVMThatStartedWithCopyNoticesReturnOfStore(t *testing.T) {
	g := NewWithT(t)
	h := newHarnessWithoutCatalogue()
	h.listVMs()
	unavailable := &platform.UnavailableError{Call: "list"}
	h.post(control.ObjectsListed{Kind: platform.KindCatalogue, Err: unavailable})
	h.post(control.ObjectsListed{Kind: platform.KindServer, Err: unavailable})
	h.post(control.PeerFetched{From: "a2", Reply: control.FetchReply{
		Buckets:  1<<64 - 1, // all: the copy is whole
		Complete: control.Completeness{Catalogue: 3, Groups: platform.MakeVersion(1, 50)},
	}})
	h.tick(time.Second)
	h.effects = nil
	h.listObjects(platform.MakeVersion(2, 40))
	h.tick(time.Second)
	g.Expect(h.effects).To(ContainElement(HaveField("Event", "store_restored")))
	g.Expect(h.effects).To(ContainElement(control.ListVMs{}))
}
