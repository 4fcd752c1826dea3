package failover_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"egretroad/internal/platform"
	"egretroad/internal/standin/objectapi"
	"egretroad/internal/topology"
)

// slowFaultTime is longer than every threshold of detection.
const noFailoverWindow = 4 * time.Second

func TestAFailedPrimaryIsReplaced(t *testing.T) {
	faults := map[string]func(b *testbed){
		"dead":                func(b *testbed) { b.standIns.Server("orders1-a").Stop() },
		"silent":              func(b *testbed) { b.standIns.Server("orders1-a").SilenceAll() },
		"cut with its centre": func(b *testbed) { b.Expect(b.standIns.Fault("cut", "salish-a")).To(Succeed()) },
		"dead with its home":  func(b *testbed) { b.standIns.Server("orders1-a").Stop(); b.proxies[b.homeIndex("orders1-a")].Kill() },
		"dead, store loses": func(b *testbed) {
			b.standIns.Platform.LoseAnswers(6, objectapi.CallPut)
			b.standIns.Server("orders1-a").Stop()
		},
		"dead, store slow": func(b *testbed) {
			b.standIns.Platform.Slow(150 * time.Millisecond)
			b.standIns.Server("orders1-a").Stop()
		},
		"dead, replica behind": func(b *testbed) {
			b.standIns.Server("orders1-b").SetLag(time.Hour)
			b.standIns.Server("orders1-a").Stop()
		},
		"cut, then a VM dies": func(b *testbed) {
			b.Expect(b.standIns.Fault("cut", "salish-a")).To(Succeed())
			b.proxies[b.homeIndex("orders1-b")].Kill()
		},
		"cut from platform, too": func(b *testbed) {
			b.Expect(b.standIns.Network.CutPlatform("salish-a")).To(Succeed())
			b.standIns.Server("orders1-a").Stop()
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := startTestbed(t)
			fault(b)
			g := b.waitForPrimary(1)
			b.Expect(g.Primary).To(BeElementOf("orders1-b", "orders1-c"))
			b.standIns.Server("orders1-b").SetLag(0)
			b.checkInvariants()
		})
	}
}

func TestAPrimaryThatServesIsKept(t *testing.T) {
	faults := map[string]func(b *testbed){
		"parted from the platform":  func(b *testbed) { b.Expect(b.standIns.Network.CutPlatform("salish-a")).To(Succeed()) },
		"cut between two centres":   func(b *testbed) { b.Expect(b.standIns.Network.CutPair("salish-a", "inland-a")).To(Succeed()) },
		"its home dies":             func(b *testbed) { b.proxies[b.homeIndex("orders1-a")].Kill() },
		"store down":                func(b *testbed) { b.standIns.Platform.Outage(true) },
		"store holds its answers":   func(b *testbed) { b.standIns.Platform.OutageWith(objectapi.OutageHang) },
		"answers late":              func(b *testbed) { b.standIns.Server("orders1-a").SetReplyDelay(600 * time.Millisecond) },
		"open connections go quiet": func(b *testbed) { b.standIns.Server("orders1-a").Silence() },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := startTestbed(t)
			fault(b)
			b.Consistently(func() uint64 { return b.groupObject().Term }, noFailoverWindow, pollInterval).Should(Equal(uint64(1)))
			b.standIns.Server("orders1-a").SetReplyDelay(0)
			b.checkInvariants()
		})
	}
}

func TestThePromotionWaitsForTheStore(t *testing.T) {
	t.Parallel()
	b := startTestbed(t)
	b.standIns.Platform.Outage(true)
	b.standIns.Server("orders1-a").Stop()
	b.Consistently(func() uint64 { return b.groupObject().Term }, noFailoverWindow, pollInterval).Should(Equal(uint64(1)))
	b.standIns.Platform.Outage(false)
	b.waitForPrimary(1)
	b.checkInvariants()
}

func TestACoordinatorThatDiesStrandsNothing(t *testing.T) {
	t.Parallel()
	b := startTestbed(t)
	b.Expect(b.standIns.Fault("cut", "salish-a")).To(Succeed()) // the leases are waited for
	var coordinator string
	b.Eventually(func() bool {
		if p := b.groupObject().Promotion; p != nil {
			coordinator = p.Coordinator
		}
		return coordinator != ""
	}, waitTimeout, time.Millisecond).Should(BeTrue())
	for i, vm := range b.standIns.VMs {
		if vm.ID == coordinator {
			b.proxies[i].Kill()
		}
	}
	b.waitForPrimary(1)
	b.checkInvariants()
}

func TestALeavingPrimaryHandsOver(t *testing.T) {
	t.Parallel()
	b := startTestbed(t)
	g := b.groupObject()
	g.Servers[0].State = topology.ServerLeaving
	b.Expect(g.Servers[0].ID).To(Equal("orders1-a"))
	_, err := b.standIns.Platform.Put(platform.KindGroup, database, g)
	b.Expect(err).NotTo(HaveOccurred())
	b.waitForPrimary(1)
	b.replicaAcked = append(b.replicaAcked, b.leaseAckedKeys()...) // a planned promotion loses nothing
	b.checkInvariants()
}

func (b *testbed) leaseAckedKeys() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.leaseAcked...)
}

// TestTheReturningPrimaryTakesNoWrite lets the old primary and its home come
// back after a promotion; the home's own writers get no acknowledgement of the
// old term.
func TestTheReturningPrimaryTakesNoWrite(t *testing.T) {
	t.Parallel()
	b := startTestbed(t)
	b.Expect(b.standIns.Fault("cut", "salish-a")).To(Succeed())
	b.waitForPrimary(1)
	addr := b.proxies[b.homeIndex("orders1-a")].CallerAddr()
	b.startWriter(addr, leaseConfirmedKind, "returning", &b.replicaAcked) // each one acknowledged from now on must be kept
	b.Consistently(func() uint64 { return b.groupObject().Term }, time.Second, pollInterval).Should(Equal(uint64(2)))
	b.checkInvariants()
}
