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
const slowFaultTime = 4 * time.Second

func TestAFailedPrimaryIsReplaced(t *testing.T) {
	faults := map[string]func(b *bench){
		"dead":                func(b *bench) { b.stands.Server("orders1-a").Stop() },
		"silent":              func(b *bench) { b.stands.Server("orders1-a").SilenceAll() },
		"cut with its centre": func(b *bench) { b.Expect(b.stands.Fault("cut", "salish-a")).To(Succeed()) },
		"dead with its home":  func(b *bench) { b.stands.Server("orders1-a").Stop(); b.proxies[b.home("orders1-a")].Kill() },
		"dead, store loses": func(b *bench) {
			b.stands.Platform.LoseAnswers(6, objectapi.CallPut)
			b.stands.Server("orders1-a").Stop()
		},
		"dead, store slow":     func(b *bench) { b.stands.Platform.Slow(150 * time.Millisecond); b.stands.Server("orders1-a").Stop() },
		"dead, replica behind": func(b *bench) { b.stands.Server("orders1-b").SetLag(time.Hour); b.stands.Server("orders1-a").Stop() },
		"cut, then a VM dies": func(b *bench) {
			b.Expect(b.stands.Fault("cut", "salish-a")).To(Succeed())
			b.proxies[b.home("orders1-b")].Kill()
		},
		"cut from platform, too": func(b *bench) {
			b.Expect(b.stands.Network.CutPlatform("salish-a")).To(Succeed())
			b.stands.Server("orders1-a").Stop()
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := start(t)
			fault(b)
			g := b.waitForPrimary(1)
			b.Expect(g.Primary).To(BeElementOf("orders1-b", "orders1-c"))
			b.stands.Server("orders1-b").SetLag(0)
			b.check()
		})
	}
}

func TestAPrimaryThatServesIsKept(t *testing.T) {
	faults := map[string]func(b *bench){
		"parted from the platform":  func(b *bench) { b.Expect(b.stands.Network.CutPlatform("salish-a")).To(Succeed()) },
		"cut between two centres":   func(b *bench) { b.Expect(b.stands.Network.CutPair("salish-a", "inland-a")).To(Succeed()) },
		"its home dies":             func(b *bench) { b.proxies[b.home("orders1-a")].Kill() },
		"store down":                func(b *bench) { b.stands.Platform.Outage(true) },
		"store holds its answers":   func(b *bench) { b.stands.Platform.OutageWith(objectapi.OutageHang) },
		"answers late":              func(b *bench) { b.stands.Server("orders1-a").SetReplyDelay(600 * time.Millisecond) },
		"open connections go quiet": func(b *bench) { b.stands.Server("orders1-a").Silence() },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := start(t)
			fault(b)
			b.Consistently(func() uint64 { return b.group().Term }, slowFaultTime, pollPeriod).Should(Equal(uint64(1)))
			b.stands.Server("orders1-a").SetReplyDelay(0)
			b.check()
		})
	}
}

func TestThePromotionWaitsForTheStore(t *testing.T) {
	t.Parallel()
	b := start(t)
	b.stands.Platform.Outage(true)
	b.stands.Server("orders1-a").Stop()
	b.Consistently(func() uint64 { return b.group().Term }, slowFaultTime, pollPeriod).Should(Equal(uint64(1)))
	b.stands.Platform.Outage(false)
	b.waitForPrimary(1)
	b.check()
}

func TestACoordinatorThatDiesStrandsNothing(t *testing.T) {
	t.Parallel()
	b := start(t)
	b.Expect(b.stands.Fault("cut", "salish-a")).To(Succeed()) // the leases are waited for
	var coordinator string
	b.Eventually(func() bool {
		if p := b.group().Promotion; p != nil {
			coordinator = p.Coordinator
		}
		return coordinator != ""
	}, waitLimit, time.Millisecond).Should(BeTrue())
	for i, vm := range b.stands.VMs {
		if vm.ID == coordinator {
			b.proxies[i].Kill()
		}
	}
	b.waitForPrimary(1)
	b.check()
}

func TestALeavingPrimaryHandsOver(t *testing.T) {
	t.Parallel()
	b := start(t)
	g := b.group()
	g.Servers[0].State = topology.ServerLeaving
	b.Expect(g.Servers[0].ID).To(Equal("orders1-a"))
	_, err := b.stands.Platform.Put(platform.KindGroup, database, g)
	b.Expect(err).NotTo(HaveOccurred())
	b.waitForPrimary(1)
	b.acked = append(b.acked, b.keysByLease()...) // a planned promotion loses nothing
	b.check()
}

func (b *bench) keysByLease() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.byLease...)
}

// TestTheReturningPrimaryTakesNoWrite lets the old primary and its home come
// back after a promotion; the home's own writers get no acknowledgement of the
// old term.
func TestTheReturningPrimaryTakesNoWrite(t *testing.T) {
	t.Parallel()
	b := start(t)
	b.Expect(b.stands.Fault("cut", "salish-a")).To(Succeed())
	b.waitForPrimary(1)
	addr := b.proxies[b.home("orders1-a")].CallerAddr()
	b.write(addr, leaseKind, "returning", &b.acked) // each one acknowledged from now on must be kept
	b.Consistently(func() uint64 { return b.group().Term }, time.Second, pollPeriod).Should(Equal(uint64(2)))
	b.check()
}
