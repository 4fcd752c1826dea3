package e2e_test

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"egretroad/internal/catalogue"
	"egretroad/internal/demo"
	"egretroad/internal/eventlog"
	"egretroad/internal/operate"
	"egretroad/internal/platform"
	"egretroad/internal/platform/objectclient"
	"egretroad/internal/proxy"
	"egretroad/internal/standin/deployment"
	"egretroad/internal/standin/objectapi"
)

// propagationTimeout limits how long tests wait until all proxies apply a change.
const propagationTimeout = 30 * time.Second

// controlFleetKey is the fleet key of proxies that a test starts one by one.
const controlFleetKey = "control-test-fleet-key"

func startDemo(t *testing.T, proxies int) *demo.Demo {
	t.Helper()
	o := deployment.DefaultOptions()
	o.Proxies, o.Scale = proxies, 0
	d, err := demo.Start(t.Context(), demo.Options{Deployment: o, Log: eventlog.Discard()})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(d.Stop)
	return d
}

func newClient(d *demo.Demo, name string) *operate.Client {
	return operate.New(objectclient.New(d.StandIns.Platform.URL(), objectclient.DefaultOptions()), name)
}

func entryWithLimit(limit int) operate.Input {
	return operate.Input{Entry: catalogue.Entry{
		Name: "measured", Kind: "measured", Owner: "test", Database: "orders1", Rank: catalogue.RankReports,
		Access: catalogue.AccessRead, Deadline: 1000, MaxConcurrent: limit,
	}}
}

// limitsInForce returns a function that returns the concurrency limit in force on each
// proxy, or 0 without a catalogue entry (the definition of a kind of work).
func limitsInForce(proxies []*proxy.Proxy) func() []int {
	return func() []int {
		limits := make([]int, 0, len(proxies))
		for _, p := range proxies {
			e, _ := p.Snapshot().Catalogue.Entry("measured")
			limits = append(limits, e.MaxConcurrent)
		}
		return limits
	}
}

func waitUntilInForce(t *testing.T, client *operate.Client, version uint64) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), propagationTimeout)
	defer cancel()
	NewWithT(t).Expect(client.Wait(ctx, platform.KindCatalogue, "measured", version, nil)).To(Succeed())
}

func TestConcurrentEditsWithLostResponses(t *testing.T) {
	g, ctx := NewWithT(t), context.Background()
	d := startDemo(t, 3)
	base, err := newClient(d, "ana").Apply(ctx, entryWithLimit(1))
	g.Expect(err).NotTo(HaveOccurred())
	d.StandIns.Platform.DropResponses(3, objectapi.CallPut)
	type outcome struct {
		limit int
		err   error
	}
	outcomes := make(chan outcome, 2)
	for _, limit := range []int{2, 3} {
		go func() {
			in := entryWithLimit(limit)
			in.Version = &base.Version
			_, err := newClient(d, "op").Apply(ctx, in)
			outcomes <- outcome{limit, err}
		}()
	}
	winner, conflicts := 0, 0
	for range 2 {
		o := <-outcomes
		var conflict *operate.ConflictError
		switch {
		case o.err == nil:
			winner = o.limit
		case errors.As(o.err, &conflict):
			conflicts++
		default:
			t.Fatalf("edit was neither accepted nor rejected as a conflict: %v", o.err)
		}
	}
	g.Expect(conflicts).To(Equal(1))
	g.Eventually(limitsInForce(d.Proxies), propagationTimeout).Should(HaveEach(winner))
}

func TestApplyWaitsForEveryProxy(t *testing.T) {
	g, ctx := NewWithT(t), context.Background()
	d := startDemo(t, 6)
	client := newClient(d, "ana")
	for limit := 1; limit <= 3; limit++ {
		result, err := client.Apply(ctx, entryWithLimit(limit))
		g.Expect(err).NotTo(HaveOccurred())
		waitUntilInForce(t, client, result.Version)
		g.Expect(limitsInForce(d.Proxies)()).To(HaveEach(limit), "all proxies apply the change when Wait returns")
	}
}

func TestPartitionedDataCentreIsReportedAndConverges(t *testing.T) {
	g, ctx := NewWithT(t), context.Background()
	d := startDemo(t, 6)
	client := newClient(d, "ana")
	first, err := client.Apply(ctx, entryWithLimit(1))
	g.Expect(err).NotTo(HaveOccurred())
	waitUntilInForce(t, client, first.Version)
	partitionedDataCentre := d.StandIns.DataCentres()[1]
	g.Expect(d.StandIns.Network.Cut(partitionedDataCentre)).To(Succeed())
	second, err := client.Apply(ctx, entryWithLimit(2))
	g.Expect(err).NotTo(HaveOccurred())
	shortCtx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	var notInForce *operate.NotInForceError
	g.Expect(errors.As(client.Wait(shortCtx, platform.KindCatalogue, "measured", second.Version, nil), &notInForce)).To(BeTrue())
	for _, laggard := range notInForce.Laggards {
		g.Expect(laggard.DataCentre).To(Equal(partitionedDataCentre))
	}
	g.Expect(notInForce.Laggards).NotTo(BeEmpty())
	for i, p := range d.Proxies {
		snapshot := p.Snapshot()
		if d.StandIns.VMs[i].DataCentre == partitionedDataCentre {
			g.Expect(snapshot.Homes).NotTo(BeEmpty(), "proxies in the partitioned data centre keep their table of homes")
		}
	}
	d.StandIns.Network.Heal()
	waitUntilInForce(t, client, second.Version)
	g.Expect(limitsInForce(d.Proxies)()).To(HaveEach(2))
}

func TestPlatformOutageDuringAndAfterChange(t *testing.T) {
	g, ctx := NewWithT(t), context.Background()
	d := startDemo(t, 3)
	client := newClient(d, "ana")
	first, err := client.Apply(ctx, entryWithLimit(1))
	g.Expect(err).NotTo(HaveOccurred())
	waitUntilInForce(t, client, first.Version)

	d.StandIns.Platform.Outage(true)
	shortCtx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	_, err = client.Apply(shortCtx, entryWithLimit(2))
	g.Expect(err).To(HaveOccurred(), "no change is accepted during the outage")
	g.Expect(limitsInForce(d.Proxies)()).To(HaveEach(1), "the previous limit stays in force")
	d.StandIns.Platform.Outage(false)

	// The platform goes down as soon as it accepted a change and at least one proxy
	// applied it. That proxy relays the change to the others, which would otherwise
	// get it only after the outage.
	_, err = d.StandIns.Platform.Put(platform.KindCatalogue, "measured", entryWithLimit(3).Entry)
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(limitsInForce(d.Proxies), propagationTimeout).Should(ContainElement(3))
	d.StandIns.Platform.Outage(true)
	g.Eventually(limitsInForce(d.Proxies), propagationTimeout).Should(HaveEach(3), "the change propagates while the platform is down")
	d.StandIns.Platform.Outage(false)
}

func TestProxyStartsFromPeersDuringPlatformOutage(t *testing.T) {
	g := NewWithT(t)
	o := deployment.DefaultOptions()
	o.Proxies, o.Scale = 3, 0
	standIns, err := deployment.Start(o)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(standIns.Close)
	var proxies []*proxy.Proxy
	start := func(i int) *proxy.Proxy {
		p, err := proxy.New(demo.Settings(standIns, standIns.VMs[i], controlFleetKey), eventlog.Discard())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(p.Start(t.Context())).To(Succeed())
		t.Cleanup(p.Kill)
		proxies = append(proxies, p)
		return p
	}
	first := start(0)
	g.Eventually(first.Ready, propagationTimeout).Should(BeTrue())
	standIns.Platform.Outage(true)
	second := start(1)
	g.Eventually(second.Ready, propagationTimeout).Should(BeTrue(), "the copy of a peer suffices for readiness")
	g.Expect(second.Snapshot().Groups).To(HaveLen(len(standIns.Databases())))
	standIns.Platform.Outage(false)
	third := start(2)
	g.Eventually(third.Ready, propagationTimeout).Should(BeTrue())
	g.Eventually(func() bool {
		for _, p := range proxies {
			if len(p.Snapshot().VMs) != 3 {
				return false
			}
		}
		return true
	}, propagationTimeout).Should(BeTrue(), "all proxies know all VMs")
}
