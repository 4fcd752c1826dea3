package failover_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"egretroad/internal/platform"
	"egretroad/internal/standin/objectapi"
	"egretroad/internal/topology"
)

// noFailoverWindow is the time during which a test checks that no promotion happens.
// It is longer than every threshold of failure detection.
const noFailoverWindow = 4 * time.Second

func TestFailedPrimaryIsReplaced(t *testing.T) {
	faults := map[string]func(b *testbed){
		"stopped":                          func(b *testbed) { b.env.Server("orders1-a").Stop() },
		"unresponsive":                     func(b *testbed) { b.env.Server("orders1-a").SilenceAll() },
		"partitioned with its data centre": func(b *testbed) { b.Expect(b.env.Fault("cut", "salish-a")).To(Succeed()) },
		"stopped together with its home":   func(b *testbed) { b.env.Server("orders1-a").Stop(); b.proxies[b.homeIndex("orders1-a")].Kill() },
		"stopped, platform loses responses": func(b *testbed) {
			b.env.Platform.DropResponses(6, objectapi.CallPut)
			b.env.Server("orders1-a").Stop()
		},
		"stopped, platform slow":   func(b *testbed) { b.env.Platform.SetDelay(150 * time.Millisecond); b.env.Server("orders1-a").Stop() },
		"stopped, replica lagging": func(b *testbed) { b.env.Server("orders1-b").SetLag(time.Hour); b.env.Server("orders1-a").Stop() },
		"partitioned, then the home of a replica dies": func(b *testbed) {
			b.Expect(b.env.Fault("cut", "salish-a")).To(Succeed())
			b.proxies[b.homeIndex("orders1-b")].Kill()
		},
		"stopped, data centre partitioned from the platform": func(b *testbed) {
			b.Expect(b.env.Network.CutPlatform("salish-a")).To(Succeed())
			b.env.Server("orders1-a").Stop()
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := startTestbed(t)
			fault(b)
			g := b.waitForPrimary(1)
			b.Expect(g.Primary).To(BeElementOf("orders1-b", "orders1-c"))
			b.env.Server("orders1-b").SetLag(0)
			b.checkInvariants()
		})
	}
}

func TestWorkingPrimaryIsNotReplaced(t *testing.T) {
	faults := map[string]func(b *testbed){
		"partitioned from the platform":      func(b *testbed) { b.Expect(b.env.Network.CutPlatform("salish-a")).To(Succeed()) },
		"partition between two data centres": func(b *testbed) { b.Expect(b.env.Network.CutPair("salish-a", "inland-a")).To(Succeed()) },
		"home dies":                          func(b *testbed) { b.proxies[b.homeIndex("orders1-a")].Kill() },
		"platform closes connections":        func(b *testbed) { b.env.Platform.Outage(true) },
		"platform hangs":                     func(b *testbed) { b.env.Platform.OutageWith(objectapi.OutageHang) },
		"server responds slowly":             func(b *testbed) { b.env.Server("orders1-a").SetResponseDelay(600 * time.Millisecond) },
		"open connections stop responding":   func(b *testbed) { b.env.Server("orders1-a").SilenceOpenConns() },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := startTestbed(t)
			fault(b)
			b.Consistently(func() uint64 { return b.groupObject().Term }, noFailoverWindow, pollInterval).Should(Equal(uint64(1)))
			b.env.Server("orders1-a").SetResponseDelay(0)
			b.checkInvariants()
		})
	}
}

func TestPromotionWaitsForThePlatform(t *testing.T) {
	t.Parallel()
	b := startTestbed(t)
	b.env.Platform.Outage(true)
	b.env.Server("orders1-a").Stop()
	b.Consistently(func() uint64 { return b.groupObject().Term }, noFailoverWindow, pollInterval).Should(Equal(uint64(1)))
	b.env.Platform.Outage(false)
	b.waitForPrimary(1)
	b.checkInvariants()
}

func TestPromotionCompletesAfterCoordinatorDies(t *testing.T) {
	t.Parallel()
	b := startTestbed(t)
	b.Expect(b.env.Fault("cut", "salish-a")).To(Succeed()) // the promotion must wait until the leases expire
	var coordinator string
	b.Eventually(func() bool {
		if p := b.groupObject().Promotion; p != nil {
			coordinator = p.Coordinator
		}
		return coordinator != ""
	}, waitTimeout, time.Millisecond).Should(BeTrue())
	for i, vm := range b.env.VMs {
		if vm.ID == coordinator {
			b.proxies[i].Kill()
		}
	}
	b.waitForPrimary(1)
	b.checkInvariants()
}

func TestPlannedPromotionLosesNoAcknowledgedWrite(t *testing.T) {
	t.Parallel()
	b := startTestbed(t)
	g := b.groupObject()
	g.Servers[0].State = topology.ServerLeaving
	b.Expect(g.Servers[0].ID).To(Equal("orders1-a"))
	_, err := b.env.Platform.Put(platform.KindGroup, database, g)
	b.Expect(err).NotTo(HaveOccurred())
	b.waitForPrimary(1)
	b.replicaAcked = append(b.replicaAcked, b.leaseAckedKeys()...) // a planned promotion loses no acknowledged write
	b.checkInvariants()
}

func (b *testbed) leaseAckedKeys() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.leaseAcked...)
}

// The old primary and its home return after a promotion. The home must not acknowledge
// writes of its own callers in the old term: they would be missing from the new primary.
func TestReturningPrimaryAcknowledgesNoWrite(t *testing.T) {
	t.Parallel()
	b := startTestbed(t)
	b.Expect(b.env.Fault("cut", "salish-a")).To(Succeed())
	b.waitForPrimary(1)
	addr := b.proxies[b.homeIndex("orders1-a")].CallerAddr()
	b.startWriter(addr, leaseConfirmedKind, "returning", &b.replicaAcked) // every write acknowledged from now on must survive
	b.Consistently(func() uint64 { return b.groupObject().Term }, time.Second, pollInterval).Should(Equal(uint64(2)))
	b.checkInvariants()
}
