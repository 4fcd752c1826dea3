package silence_test

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"egretroad/internal/standin/platformfleet"
)

// The operator writes the first configuration when all VMs have listed an empty one. VMs that
// got it from another one before the store told them took its routes for deleted ones.
func TestFirstConfigurationIsServedByAllVMs(t *testing.T) {
	g := NewWithT(t)
	fleet := startFleet(t, platformfleet.Options{VMsEach: 3, Seeds: 3, WithoutConfiguration: true})
	fleet.AddRoute("first")
	expectServed(g, fleet, "first")
}

// The VMs of a data centre get the first configuration from copies only: the store refuses them,
// and the VM to which others send updates has just been killed. One VM relays its copy to the
// next, which took the routes for deleted ones and refused them for good.
func TestFirstConfigurationIsServedByVMsThatStoreRefuses(t *testing.T) {
	g := NewWithT(t)
	fleet := startFleet(t, platformfleet.Options{VMsEach: 3, Seeds: 3, WithoutConfiguration: true})
	var refused []*platformfleet.VM
	for _, v := range fleet.VMs {
		if v.Zone() == fleet.VMs[0].Zone() {
			refused = append(refused, v)
		}
	}
	fleet.BeginOutage(platformfleet.StoreRefuses, refused)
	for _, v := range refused {
		g.Eventually(func() bool {
			age, err := v.WatchAge(context.Background())
			return err == nil && age > longestWatch
		}, eventuallyTimeout, "50ms").Should(BeTrue(), "watches of %s have ended", v.Name)
	}
	watcher, err := refused[0].Watcher(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	var serving []*platformfleet.VM
	for _, v := range fleet.VMs {
		if v.Name == watcher {
			v.Kill()
		} else {
			serving = append(serving, v)
		}
	}
	fleet.AddRoute("first")
	expectServedBy(g, serving, "first")
	fleet.EndOutage()
	fleet.AddRoute("second")
	expectServedBy(g, serving, "second")
}
