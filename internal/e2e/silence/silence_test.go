// Package silence_test plays connections that go silent for good, and starts in outages of the
// store, on real processes of the users' platform. How long a change may take is measured by tools/measure.
package silence_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"egretroad/internal/standin/platformfleet"
)

const (
	seed              = 36
	vmsEach           = 11 // more VMs than all watch the store
	rounds            = 4
	pauseBetween      = time.Second
	eventuallyTimeout = 90 * time.Second
	longestWatch      = 4 * time.Second // of the store, with the time for its answer
)

// startFleet builds the program and starts a fleet. Fleets of one process share their
// addresses, so that the tests do not run in parallel.
func startFleet(t *testing.T, o platformfleet.Options) *platformfleet.Fleet {
	g := NewWithT(t)
	binary := filepath.Join(t.TempDir(), "egretroad")
	out, err := exec.Command("go", "build", "-o", binary, "egretroad/cmd/egretroad").CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(out))
	fleet, err := platformfleet.Start(context.Background(), binary, t.TempDir(), o)
	t.Cleanup(fleet.Stop)
	g.Expect(err).NotTo(HaveOccurred())
	return fleet
}

// expectServed waits until all VMs serve a route.
func expectServed(g *WithT, fleet *platformfleet.Fleet, host string) {
	expectServedBy(g, fleet.VMs, host)
}

// expectServedBy waits until the given VMs serve a route.
func expectServedBy(g *WithT, vms []*platformfleet.VM, host string) {
	for _, v := range vms {
		g.Eventually(func() bool {
			accepted, _ := v.Serves(host)
			return accepted
		}, eventuallyTimeout, "100ms").Should(BeTrue(), "%s serves %s", v.Name, host)
	}
}

// All processes are restarted while the store fails, and become ready with copies of each
// other. Each must follow the store afterwards, also where others would tell it of changes.
func TestProcessesThatStartInStoreOutageFollowTheStore(t *testing.T) {
	for _, kind := range []platformfleet.OutageKind{platformfleet.StoreSilent, platformfleet.ListsRefused, platformfleet.ServersRefused, platformfleet.ConfigRefused} {
		t.Run(string(kind), func(t *testing.T) {
			g := NewWithT(t)
			fleet := startFleet(t, platformfleet.Options{VMsEach: 1, Seeds: 3})
			fleet.BeginOutage(kind, fleet.VMs)
			for _, v := range fleet.VMs {
				v.Kill()
				g.Expect(v.Start()).To(Succeed())
				g.Expect(v.AwaitReady(context.Background())).To(Succeed())
			}
			fleet.EndOutage()
			ended := time.Now()
			for _, v := range fleet.VMs {
				g.Eventually(func() bool {
					age, err := v.WatchAge(context.Background())
					return err == nil && age < time.Since(ended)
				}, eventuallyTimeout, "50ms").Should(BeTrue(), "%s follows the store", v.Name)
			}
			fleet.AddRoute("after")
			expectServed(g, fleet, "after")
		})
	}
}

func TestChangesReachProcessesWhoseConnectionsGoSilent(t *testing.T) {
	g := NewWithT(t)
	fleet := startFleet(t, platformfleet.Options{VMsEach: vmsEach})
	random := rand.New(rand.NewPCG(seed, 0))
	for i := range rounds {
		silent := fleet.Links.SilencePeers(random, 0.7)
		g.Expect(silent).To(BeNumerically(">", 0), "open connections between VMs")
		for _, v := range fleet.VMs {
			if random.Float64() < 0.9 {
				fleet.Links.SilenceStore(v.IP)
			}
		}
		frozen := fleet.VMs[random.IntN(len(fleet.VMs))]
		frozen.Signal(syscall.SIGSTOP)
		fleet.AddRoute(fmt.Sprintf("within-%d", i))
		time.Sleep(pauseBetween)
		frozen.Signal(syscall.SIGCONT)
	}
	fleet.AddRoute("after")
	expectServed(g, fleet, "within-0")
	expectServed(g, fleet, "after")
}
