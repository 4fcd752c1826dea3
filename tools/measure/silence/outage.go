package silence

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"egretroad/internal/standin/platformfleet"
)

// outagePlan is an outage of the store during the series, and starts of VMs within it.
type outagePlan struct {
	kind      platformfleet.OutageKind // "": none
	affected  []int                    // VMs for which the store fails, by index
	begin     time.Duration            // from the start of the series
	length    time.Duration
	restarted []int         // VMs, in this order, every second one by SIGTERM
	rollAt    time.Duration // first restart, from the start of the outage
	together  int           // VMs that are restarted at a time
	change    bool          // a route is added while the outage lasts
}

// drawOutage draws from a stream of its own, so that the other plan of a seed stays as it is.
func drawOutage(seed uint64, vms int) outagePlan {
	random := rand.New(rand.NewPCG(seed, 42))
	pick := func(values ...float64) float64 { return values[random.IntN(len(values))] }
	some := func(share float64) []int { return random.Perm(vms)[:int(share*float64(vms)+0.5)] }
	p := outagePlan{
		affected:  some(pick(0.5, 1, 1, 1)),
		begin:     time.Duration(random.IntN(2000)) * time.Millisecond,
		length:    time.Duration(6000+random.IntN(9000)) * time.Millisecond,
		restarted: some(pick(0.3, 1, 1, 1)),
		rollAt:    time.Duration(random.IntN(2000)-500) * time.Millisecond,
		together:  1 + vms/4 + random.IntN(vms/2+1),
		change:    random.IntN(2) == 0,
	}
	if random.IntN(6) > 0 {
		p.kind = platformfleet.OutageKinds[random.IntN(len(platformfleet.OutageKinds))]
	}
	return p
}

// playOutage plays the outage of the plan, beside the rest of the series.
func (r *run) playOutage(ctx context.Context) {
	p := r.outage
	if p.kind == "" {
		return
	}
	time.Sleep(p.begin + max(-p.rollAt, 0))
	var both sync.WaitGroup
	both.Go(func() {
		time.Sleep(max(p.rollAt, 0))
		r.roll(r.vmsAt(p.restarted))
	})
	time.Sleep(max(-p.rollAt, 0))
	r.fleet.BeginOutage(p.kind, r.vmsAt(p.affected))
	r.note("the store is %q for %d VMs", p.kind, len(p.affected))
	time.Sleep(p.length / 2)
	if p.change {
		r.change(ctx, "within-outage")
	}
	time.Sleep(p.length / 2)
	r.fleet.EndOutage()
	r.disrupted()
	r.note("the outage has ended")
	both.Wait()
}

func (r *run) vmsAt(indices []int) []*platformfleet.VM {
	var vms []*platformfleet.VM
	for _, i := range indices {
		vms = append(vms, r.fleet.VMs[i])
	}
	return vms
}

// roll restarts VMs in turn, some at a time.
func (r *run) roll(vms []*platformfleet.VM) {
	for len(vms) > 0 {
		some := vms[:min(r.outage.together, len(vms))]
		vms = vms[len(some):]
		var restarts sync.WaitGroup
		for _, v := range some {
			restarts.Go(func() { r.restart(v) })
		}
		restarts.Wait()
	}
}
