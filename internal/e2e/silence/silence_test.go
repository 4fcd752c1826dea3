// Package silence_test plays connections that go silent for good on real processes of the
// users' platform. How long a change may take is measured by tools/measure.
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
)

func TestChangesReachProcessesWhoseConnectionsGoSilent(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	binary := filepath.Join(t.TempDir(), "egretroad")
	out, err := exec.Command("go", "build", "-o", binary, "egretroad/cmd/egretroad").CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(out))
	fleet, err := platformfleet.Start(context.Background(), binary, t.TempDir(), platformfleet.Options{VMsEach: vmsEach})
	defer fleet.Stop()
	g.Expect(err).NotTo(HaveOccurred())
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
	for _, v := range fleet.VMs {
		for _, host := range []string{"within-0", "after"} {
			g.Eventually(func() bool {
				accepted, _ := v.Serves(host)
				return accepted
			}, eventuallyTimeout, "100ms").Should(BeTrue(), "%s serves %s", v.Name, host)
		}
	}
}
