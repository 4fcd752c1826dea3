package silence_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"egretroad/internal/standin/platformfleet"
)

// restartSeed draws the times of the restarts.
const restartSeed = 57

// refusals counts the answers of VMs that do not know an acknowledged route.
type refusals struct {
	hosts   []string
	refused atomic.Int64
	served  atomic.Int64
}

// watch asks a VM for all hosts until it has served each of them, by new sessions and by BEGIN
// on them.
func (r *refusals) watch(v *platformfleet.VM, deadline time.Time) {
	missing := append([]string(nil), r.hosts...)
	for len(missing) > 0 && time.Now().Before(deadline) {
		accepted, known := v.Serves(missing[0])
		switch {
		case accepted && r.begins(v, missing[0]):
			r.served.Add(1)
			missing = missing[1:]
		case known && !accepted:
			r.refused.Add(1)
			missing = missing[1:]
		default:
			time.Sleep(5 * time.Millisecond) // the VM does not accept sessions yet
		}
	}
}

// begins reports whether a BEGIN gets an answer, and counts it if that refuses the route.
func (r *refusals) begins(v *platformfleet.VM, host string) bool {
	s, err := v.Open(host)
	if err != nil {
		return false
	}
	defer s.Close()
	code, err := s.Run("b."+v.Name+"."+host, "BEGIN READ", 2*time.Second)
	if code == "NODB" {
		r.refused.Add(1)
	}
	return err == nil
}

// All processes are killed shortly after a change was acknowledged, and start at once, also while
// the store is slow, loses answers or refuses some of them. None may accept callers with less than
// what was acknowledged before.
func TestAcknowledgedRoutesAreServedAfterAllProcessesStartAgain(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(seed, restartSeed))
	fleet := startFleet(t, platformfleet.Options{VMsEach: 3, Seeds: 3, WithoutConfiguration: true})
	kinds := []platformfleet.OutageKind{"", platformfleet.StoreSlow, platformfleet.ListsRefused, platformfleet.AnswersLost}
	r := &refusals{}
	for round := range len(kinds) {
		for i := range 1 + random.IntN(3) {
			r.hosts = append(r.hosts, fmt.Sprintf("host-%d-%d", round, i))
			fleet.AddRoute(r.hosts[len(r.hosts)-1])
			time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
		}
		for _, v := range fleet.VMs {
			v.Kill()
		}
		if kinds[round] != "" {
			fleet.BeginOutage(kinds[round], fleet.VMs[:len(fleet.VMs)/2])
		}
		for _, v := range fleet.VMs {
			g.Expect(v.Start()).To(Succeed())
		}
		deadline := time.Now().Add(eventuallyTimeout)
		var watches sync.WaitGroup
		for _, v := range fleet.VMs {
			watches.Go(func() { r.watch(v, deadline) })
		}
		watches.Wait()
		fleet.EndOutage()
		g.Expect(r.refused.Load()).To(BeZero(), "refused acknowledged routes, round %d (%q)", round, kinds[round])
		for _, v := range fleet.VMs {
			g.Expect(v.AwaitReady(context.Background())).To(Succeed())
		}
	}
	g.Expect(r.served.Load()).To(BeNumerically(">=", len(fleet.VMs)*len(r.hosts)))
}
