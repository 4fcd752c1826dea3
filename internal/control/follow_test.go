package control_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

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
