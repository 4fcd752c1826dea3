package node_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"egretroad/internal/e2e/history"
)

// newPartitionedFleet returns a fleet whose VMs can be cut off from each other, on a
// platform that neither stops a replaced primary nor refuses a low fencing token.
func newPartitionedFleet(t *testing.T) *fleet {
	f := &fleet{t: t, g: NewWithT(t), keepsOldPrimaries: true, links: newPeerLinks()}
	f.start()
	return f
}

// cutOff cuts a VM off from the other VMs and from the store, but not from the servers.
func (f *fleet) cutOff(i int, cut bool) {
	ip := f.vms[i].settings.Address
	f.links.setCut(ip, cut)
	f.store.RefuseFrom(ip, cut)
}

// blockPrimary makes a server ignore all VMs but one.
func (f *fleet) blockServer(server string, except int) {
	for i, v := range f.vms {
		if i != except {
			f.group.Server(server).Block(v.settings.Address, true)
		}
	}
}

// write is one write of a test and what its caller was told.
type write struct {
	id, code string
	failed   bool
	vm       int
}

// runWriters writes through the given VMs until stop is closed and returns all writes.
func (f *fleet) runWriters(vms []int, database string, stop <-chan struct{}) func() []write {
	var mu sync.Mutex
	var writes []write
	var wg sync.WaitGroup
	for _, vm := range vms {
		wg.Go(func() {
			var c *caller
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				if c == nil {
					var err error
					if c, err = f.dial(vm, database); err != nil {
						time.Sleep(10 * time.Millisecond) // the VM does not accept callers at the moment
						continue
					}
				}
				id := fmt.Sprintf("%s%d.%d", database, vm, n)
				result := c.do(id, "WRITE lamp "+id)
				mu.Lock()
				writes = append(writes, write{id: id, code: result.code, failed: result.err != nil, vm: vm})
				mu.Unlock()
				if result.err != nil {
					c.close()
					c = nil
				}
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
	return func() []write {
		wg.Wait()
		mu.Lock()
		defer mu.Unlock()
		return writes
	}
}

// expectNoneAcknowledgedAfterPromotion checks that no write was acknowledged that an old
// primary committed after its replacement.
func (f *fleet) expectNoneAcknowledgedAfterPromotion(writes []write) {
	late := map[string]bool{}
	for _, c := range f.group.LateCommits() {
		late[c.ID] = true
	}
	for _, w := range writes {
		if !w.failed && w.code == "" && late[w.id] {
			f.t.Errorf("write %s of VM %d was acknowledged although the primary had been replaced", w.id, w.vm)
		}
	}
	f.t.Logf("%d writes, %d committed by a replaced primary", len(writes), len(late))
}

// expectTokensRise checks that no fencing token is lower than an earlier one.
func (f *fleet) expectTokensRise() {
	for _, p := range f.store.Promotions() {
		f.g.Expect(p.Stale).To(BeFalse(), "token %d of %s is lower than an earlier one", p.Token, p.Holder)
	}
}

// An old primary goes on behind a cut: one VM still reaches it, but neither the store nor
// the other VMs. The others promote a replica. No write through the old primary may be
// acknowledged from then on, while writes on the other side go on.
func TestOldPrimaryBehindCutAcknowledgesNothing(t *testing.T) {
	f := newPartitionedFleet(t)
	stop := make(chan struct{})
	writers := f.runWriters([]int{0, 1, 2}, "shop", stop)
	time.Sleep(200 * time.Millisecond)
	f.blockServer("s-a", 0)
	f.cutOff(0, true)
	f.g.Eventually(f.group.Primary, "20s", "20ms").ShouldNot(Equal("s-a"))
	f.g.Expect(f.group.Server("s-a").IsPrimary()).To(BeTrue(), "the platform does not stop it")
	c := f.session(1, "shop")
	f.g.Eventually(func() string { return c.do("after", "WRITE lamp after").code }, "10s", "20ms").Should(BeEmpty())
	time.Sleep(300 * time.Millisecond)
	close(stop)
	f.expectNoneAcknowledgedAfterPromotion(writers())
	f.expectTokensRise()
}

// The store returns from a copy that is older than the promotion. The VM that still reaches
// the old primary reads the copy, but reaches no VM that knows of the promotion.
func TestOldPrimaryAcknowledgesNothingAfterStoreReturnedFromOlderCopy(t *testing.T) {
	f := newPartitionedFleet(t)
	older := f.store.Copy()
	stop := make(chan struct{})
	writers := f.runWriters([]int{0, 1, 2}, "shop", stop)
	time.Sleep(200 * time.Millisecond)
	f.blockServer("s-a", 0)
	f.cutOff(0, true)
	f.g.Eventually(f.group.Primary, "20s", "20ms").ShouldNot(Equal("s-a"))
	f.store.Restore(older)
	f.store.RefuseFrom(f.vms[0].settings.Address, false)
	time.Sleep(time.Second)
	f.registerServers()
	c := f.session(1, "shop")
	f.g.Eventually(func() string { return c.do("after", "WRITE lamp after").code }, "10s", "20ms").Should(BeEmpty())
	time.Sleep(time.Second)
	f.cutOff(0, false)
	f.registerServer(zoneOf(f.group.Primary()), "draining") // a planned promotion in the new epoch
	replaced := f.group.Primary()
	f.g.Eventually(f.group.Primary, "20s", "20ms").ShouldNot(Equal(replaced))
	close(stop)
	f.expectNoneAcknowledgedAfterPromotion(writers())
	f.expectTokensRise()
}

// The older copy lacks the entry of a VM that registered after it was made.
func TestVMRegistersAgainAfterStoreReturnedFromOlderCopy(t *testing.T) {
	f := newFleet(t)
	older := f.store.Copy()
	older.Forget("egretroad-vms", "vm-c")
	created := f.store.Calls("POST", "egretroad-vms")
	f.store.Restore(older)
	f.g.Eventually(func() int { return f.store.Calls("POST", "egretroad-vms") }, "20s", "20ms").Should(BeNumerically(">", created))
	c := f.session(2, "shop")
	f.g.Expect(c.do("w1", "WRITE lamp 1").code).To(BeEmpty())
}

// The first promotion call gets no response and is executed seconds later, when the next
// primary is about to be replaced as planned: it must not replace the one after that.
func TestLatePromotionCallReplacesNoLaterPrimary(t *testing.T) {
	f := newPartitionedFleet(t)
	const late = 4 * time.Second
	f.store.ExecutePromotionsLate(1, late)
	executedAt := time.Now().Add(late)
	stop := make(chan struct{})
	writers := f.runWriters([]int{0, 1, 2}, "shop", stop)
	for range 2 {
		replaced := f.group.Primary()
		f.g.Eventually(func() string {
			f.registerServer(zoneOf(replaced), "draining") // a call that takes effect registers all servers as ready
			return f.group.Primary()
		}, "30s", "500ms").ShouldNot(Equal(replaced))
		f.registerServers()
	}
	last := f.group.Primary()
	time.Sleep(max(0, time.Until(executedAt)) + time.Second)
	f.g.Expect(f.group.Primary()).To(Equal(last))
	close(stop)
	f.expectNoneAcknowledgedAfterPromotion(writers())
}

// An operator, or a call later than any limit, makes the platform promote a server that no VM
// has designated. The designated one has become its replica.
func TestServerPromotedWithoutDesignationIsUsed(t *testing.T) {
	f := newFleet(t)
	replaced := f.group.Primary()
	f.registerServer(zoneOf(replaced), "draining")
	f.g.Eventually(f.group.Primary, "20s", "20ms").ShouldNot(Equal(replaced))
	f.registerServers()
	f.g.Expect(f.group.Promote(replaced)).To(BeTrue())
	f.registerServers()
	c := f.session(1, "shop")
	f.g.Eventually(func() string { return c.do("after", "WRITE lamp after").code }, "20s", "100ms").Should(BeEmpty())
}

// As above, after the promotion of the designated server has ended and all VMs know it.
func TestServerPromotedWithoutDesignationAfterAnnouncementIsUsed(t *testing.T) {
	f := newFleet(t)
	replaced := f.group.Primary()
	f.registerServer(zoneOf(replaced), "draining")
	f.g.Eventually(f.group.Primary, "20s", "20ms").ShouldNot(Equal(replaced))
	f.registerServers()
	for _, v := range f.vms {
		f.g.Eventually(v.log.snapshot, "20s", "20ms").Should(ContainSubstring("calls_ended=true"))
	}
	f.g.Expect(f.group.Promote(replaced)).To(BeTrue())
	f.registerServers()
	c := f.session(1, "shop")
	f.g.Eventually(func() string { return c.do("after", "WRITE lamp after").code }, "20s", "100ms").Should(BeEmpty())
}

// The home of the primary is cut off from the other VMs only: it goes on as the home, while
// another VM stands in for it. Meanwhile the primary is replaced as planned, by either of them.
func TestStandInBesideLivingHomeAcknowledgesNothingLate(t *testing.T) {
	f := newPartitionedFleet(t)
	stop := make(chan struct{})
	writers := f.runWriters([]int{0, 1, 2}, "shop", stop)
	time.Sleep(200 * time.Millisecond)
	f.links.setCut(f.vms[0].settings.Address, true)
	f.g.Eventually(func() []byte { return append(f.vms[1].log.snapshot(), f.vms[2].log.snapshot()...) }, "20s", "20ms").
		Should(ContainSubstring("event=server_taken vm=vm-b server=s-a"))
	for range 2 {
		replaced := f.group.Primary()
		f.registerServer(zoneOf(replaced), "draining")
		f.g.Eventually(f.group.Primary, "40s", "20ms").ShouldNot(Equal(replaced))
		f.registerServers()
	}
	for i := range f.vms {
		c := f.session(i, "shop")
		f.g.Eventually(func() string { return c.do("after", "WRITE lamp after").code }, "20s", "20ms").Should(BeEmpty())
	}
	f.links.setCut(f.vms[0].settings.Address, false)
	time.Sleep(300 * time.Millisecond)
	close(stop)
	f.expectNoneAcknowledgedAfterPromotion(writers())
	f.expectTokensRise()
}

func zoneOf(server string) string { return strings.TrimPrefix(server, "s-") }

// Where the VM behind the cut is connected to the others, it makes the old primary step
// down, and it serves its callers from the new one.
func TestOldPrimaryIsToldToStepDown(t *testing.T) {
	f := newPartitionedFleet(t)
	c := f.session(2, "shop")
	f.g.Expect(c.do("w1", "WRITE lamp 1").code).To(BeEmpty())
	stop := make(chan struct{})
	writers := f.runWriters([]int{0, 1, 2}, "shop", stop)
	f.registerServer("a", "draining")
	f.g.Eventually(f.group.Primary, "20s", "20ms").ShouldNot(Equal("s-a"))
	f.g.Eventually(f.group.Server("s-a").IsPrimary, "20s", "20ms").Should(BeFalse())
	close(stop)
	f.expectNoneAcknowledgedAfterPromotion(writers())
	f.expectTokensRise()
}

// A store outage alone costs no write: no VM can make a claim, and all VMs confirm that.
func TestStoreOutageCostsNoWrite(t *testing.T) {
	f := newPartitionedFleet(t)
	f.store.ForceStatus(503)
	stop := make(chan struct{})
	writers := f.runWriters([]int{0, 1, 2}, "shop", stop)
	time.Sleep(4 * time.Second)
	close(stop)
	writes := writers()
	f.g.Expect(len(writes)).To(BeNumerically(">", 50))
	for _, w := range writes {
		f.g.Expect(w.code).To(BeEmpty(), w.id)
	}
}

// Reads and writes of all VMs while the home of the primary is cut off with it, and again
// after the cut has healed, form a history that one database could have produced.
func TestHistoryAcrossCut(t *testing.T) {
	f := newPartitionedFleet(t)
	rec := history.NewRecorder()
	var wg sync.WaitGroup
	for id := range 6 {
		keys := []string{"a", "b", "c", "d", "e", "f"}
		wg.Go(func() { f.runCaller(rec, id, "shop", keys, 7) })
	}
	time.Sleep(200 * time.Millisecond)
	f.blockServer("s-a", 0)
	f.cutOff(0, true)
	f.g.Eventually(f.group.Primary, "20s", "20ms").ShouldNot(Equal("s-a"))
	time.Sleep(500 * time.Millisecond)
	f.cutOff(0, false)
	for _, v := range f.vms {
		f.group.Server("s-a").Block(v.settings.Address, false)
	}
	wg.Wait()
	f.expectTokensRise()
	f.checkHistory(rec)
}
