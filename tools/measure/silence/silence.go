// Package silence measures the time until a change of the configuration is in force on
// real proxy processes of the users' platform, around open connections between them and to
// the store that go silent for good, and outages of the store. The connections go silent in
// series, which overlap with a store that refuses some VMs, frozen and restarted VMs, an
// outage of the store in which some or all VMs are restarted, and changes. Callers write
// meanwhile on sessions that they keep; the measurement compares their answers with the
// servers' commits.
package silence

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"

	"egretroad/internal/standin/platformfleet"
	"egretroad/tools/measure/report"
)

// Times and bounds from the users' pages.
const (
	applyLimit   = 3 * time.Second // the smallest bound on the time until a change is in force
	stableWindow = 5 * time.Second // time without a disruption after which the bound holds
)

// Sizes and times of the measurement.
const (
	defaultVMsEach = 14 // more VMs than all watch the store
	seeds          = 3  // VMs that the settings of each VM name
	warmUp         = 6 * time.Second
	changesAfter   = 4 // changes after the last disruption
	probeInterval  = 150 * time.Millisecond
	probeLimit     = 20 * time.Second // after which a change counts as never in force
)

// plan is what happens in a run, drawn from its seed.
type plan struct {
	rounds        int           // times at which connections go silent
	interval      time.Duration // between them
	peerShare     float64       // of the open connections between VMs
	storeShare    float64       // of the VMs whose connections to the store go silent
	refusedShare  float64       // of the VMs that the store refuses during the series
	frozen        int           // VMs that are frozen for freezeTime, in turn
	restarted     int           // VMs that are restarted, every second one by SIGTERM
	changesWithin int           // changes during the series
	firstChange   time.Duration // from the last disruption to the first change after it
}

const freezeTime = 2500 * time.Millisecond

func drawPlan(random *rand.Rand, vms int) plan {
	pick := func(values ...float64) float64 { return values[random.IntN(len(values))] }
	return plan{
		rounds:        1 + random.IntN(7),
		interval:      time.Duration(1500+random.IntN(2500)) * time.Millisecond,
		peerShare:     pick(0.4, 0.7, 1, 1),
		storeShare:    pick(0, 0.5, 0.9, 1),
		refusedShare:  pick(0, 0, 0.5, 0.8),
		frozen:        random.IntN(1 + vms/6),
		restarted:     random.IntN(1 + vms/8),
		changesWithin: random.IntN(4),
		firstChange:   time.Duration(500+random.IntN(5500)) * time.Millisecond,
	}
}

// run is one run of the measurement.
type run struct {
	env    *report.Env
	fleet  *platformfleet.Fleet
	random *rand.Rand
	plan   plan
	outage outagePlan
	began  time.Time

	mu            sync.Mutex // guards the fields below
	lastDisrupted time.Time
	delays        []time.Duration // beyond the later of acknowledgement and stable fleet, by change and VM
	late          int             // of them, over applyLimit
	disturbed     time.Duration   // longest time from an acknowledgement to a refusal, disrupted or not
	unanswered    int             // probes without an answer

	probes sync.WaitGroup
}

// Run measures one fleet. The size is the number of VMs in each data centre. With the
// environment variable KEEP_LOGS the logs of the proxies stay in the folder that it names.
func Run(ctx context.Context, env *report.Env) (*report.Report, error) {
	vmsEach := env.Size
	if vmsEach == 0 {
		vmsEach = defaultVMsEach
	}
	dir := os.Getenv("KEEP_LOGS")
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "egretroad-silence-"); err != nil {
			return nil, err
		}
		defer func() { _ = os.RemoveAll(dir) }() // best effort: it is a temporary directory
	}
	fleet, err := platformfleet.Start(ctx, env.Binary, dir, platformfleet.Options{VMsEach: vmsEach, Seeds: seeds})
	defer fleet.Stop()
	if err != nil {
		return nil, err
	}
	time.Sleep(warmUp)
	random := rand.New(rand.NewPCG(env.Seed, 36))
	r := &run{env: env, fleet: fleet, random: random, plan: drawPlan(random, len(fleet.VMs)), outage: drawOutage(env.Seed, len(fleet.VMs)), began: time.Now()}
	r.note("%d VMs, plan %+v, outage %+v", len(fleet.VMs), r.plan, r.outage)
	callers := startCallers(ctx, fleet, env.Seed)
	direct, err := fleet.Bypassing()
	if err != nil {
		return nil, err
	}
	r.series(ctx)
	r.changeAfterSeries(ctx)
	r.probes.Wait()
	result := r.report(direct, callers.end())
	result.AtMost("vms_not_followed", float64(r.countNotFollowing(ctx)), 0)
	return result, ctx.Err()
}

func (r *run) note(format string, args ...any) {
	r.env.Logf("%s +%6.2f s %s", time.Now().UTC().Format("15:04:05.000"), time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// disrupted records a disruption, or the end of one.
func (r *run) disrupted() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastDisrupted = time.Now()
}

// series plays the disruptions of the plan.
func (r *run) series(ctx context.Context) {
	var others sync.WaitGroup
	refused := r.someVMs(r.plan.refusedShare)
	for _, v := range refused {
		r.fleet.Links.Refuse(v.IP, true)
	}
	others.Go(func() { r.playOutage(ctx) })
	for _, victims := range []struct {
		vms  []*platformfleet.VM
		play func(*platformfleet.VM)
	}{
		{r.someVMs(float64(r.plan.frozen) / float64(len(r.fleet.VMs))), r.freeze},
		{r.someVMs(float64(r.plan.restarted) / float64(len(r.fleet.VMs))), r.restart},
	} {
		others.Go(func() {
			for _, v := range victims.vms {
				victims.play(v)
			}
		})
	}
	for i := range r.plan.rounds {
		r.sever()
		if i < r.plan.changesWithin {
			r.change(ctx, fmt.Sprintf("within-%d", i))
		}
		if i < r.plan.rounds-1 {
			time.Sleep(r.plan.interval)
		}
	}
	others.Wait()
	for _, v := range refused {
		r.fleet.Links.Refuse(v.IP, false)
	}
	r.disrupted()
	r.note("the series has ended")
}

// someVMs draws a share of the VMs, rounded to the nearest number.
func (r *run) someVMs(share float64) []*platformfleet.VM {
	var chosen []*platformfleet.VM
	order := r.random.Perm(len(r.fleet.VMs))
	for _, i := range order[:int(share*float64(len(order))+0.5)] {
		chosen = append(chosen, r.fleet.VMs[i])
	}
	return chosen
}

// sever makes connections silent.
func (r *run) sever() {
	peers := r.fleet.Links.SilencePeers(r.random, r.plan.peerShare)
	stores := 0
	for _, v := range r.someVMs(r.plan.storeShare) {
		stores += r.fleet.Links.SilenceStore(v.IP)
	}
	r.disrupted()
	r.note("%d connections between VMs and %d to the store are silent", peers, stores)
}

func (r *run) freeze(v *platformfleet.VM) {
	v.Signal(syscall.SIGSTOP)
	time.Sleep(freezeTime)
	v.Signal(syscall.SIGCONT)
	r.disrupted()
	r.note("%s was frozen", v.Name)
}

func (r *run) restart(v *platformfleet.VM) {
	if v.Index%2 == 0 {
		v.Terminate()
	} else {
		v.Kill()
	}
	time.Sleep(500 * time.Millisecond)
	if err := v.Start(); err != nil {
		r.note("%s was not started again: %v", v.Name, err)
	}
	r.disrupted()
	r.note("%s was restarted", v.Name)
}

// changeAfterSeries makes changes while no more disruptions happen.
func (r *run) changeAfterSeries(ctx context.Context) {
	time.Sleep(r.plan.firstChange)
	for i := range changesAfter {
		r.change(ctx, fmt.Sprintf("after-%d", i))
		time.Sleep(time.Duration(1+r.random.IntN(3)) * time.Second)
	}
}

// change adds a route and probes it on all VMs until each serves it.
func (r *run) change(ctx context.Context, host string) {
	acknowledged := r.fleet.AddRoute(host)
	r.note("route %s is acknowledged", host)
	for _, v := range r.fleet.VMs {
		r.probes.Go(func() { r.probe(ctx, v, host, acknowledged) })
	}
}

// probe records the latest time at which a VM refused a route although the bound held.
func (r *run) probe(ctx context.Context, v *platformfleet.VM, host string, acknowledged time.Time) {
	var refusedAt time.Time
	for ctx.Err() == nil && time.Since(acknowledged) < probeLimit {
		sent := time.Now()
		accepted, known := v.Serves(host)
		if accepted {
			break
		}
		if known {
			refusedAt = sent
		}
		r.countProbe(known)
		time.Sleep(probeInterval)
	}
	r.recordDelay(v, host, acknowledged, refusedAt)
}

func (r *run) countProbe(known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !known {
		r.unanswered++
	}
}

// recordDelay records how long after its acknowledgement a change was last refused, unless
// the fleet had been disrupted within stableWindow before that.
func (r *run) recordDelay(v *platformfleet.VM, host string, acknowledged, refusedAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !refusedAt.IsZero() {
		r.disturbed = max(r.disturbed, refusedAt.Sub(acknowledged))
	}
	if refusedAt.IsZero() || refusedAt.Sub(r.lastDisrupted) < stableWindow {
		r.delays = append(r.delays, 0)
		return
	}
	delay := refusedAt.Sub(acknowledged)
	r.delays = append(r.delays, delay)
	if delay > applyLimit {
		r.late++
		r.note("LATE: %s refused %s %.2f s after its acknowledgement, %.2f s after the last disruption", v.Name, host, delay.Seconds(), refusedAt.Sub(r.lastDisrupted).Seconds())
	}
}

// countNotFollowing returns the number of VMs that no watch on the store has served since the
// last disruption. Their callers may be served by an old configuration, although changes reach
// them through others as long as these are served.
func (r *run) countNotFollowing(ctx context.Context) int {
	time.Sleep(stableWindow - time.Since(r.lastDisrupted))
	following := 0
	for _, v := range r.fleet.VMs {
		calm := time.Since(r.lastDisrupted)
		age, err := v.WatchAge(ctx)
		if err == nil && age < calm {
			following++
			continue
		}
		r.note("NOT FOLLOWING: %s was last served %v ago, the last disruption was %v ago: %v", v.Name, age, calm, err)
	}
	return len(r.fleet.VMs) - following
}

func (r *run) report(direct int, o outcome) *report.Report {
	result := report.New("silence", r.env.Seed)
	var longest time.Duration
	for _, d := range r.delays {
		longest = max(longest, d)
	}
	result.Set("vms", float64(len(r.fleet.VMs)))
	result.Set("unanswered_probes", float64(r.unanswered))
	result.Set("longest_delay_s", longest.Seconds())
	result.Set("longest_delay_disturbed_s", r.disturbed.Seconds())
	result.AtLeast("changes_by_vm", float64(len(r.delays)), float64(changesAfter*len(r.fleet.VMs)))
	result.AtMost("late", float64(r.late), 0)
	result.Set("promotions", float64(r.fleet.Promotions()))
	result.Set("acknowledged", float64(o.acknowledged))
	result.Set("promised_not_kept", float64(o.promised))
	result.AtMost("committed_twice", float64(o.twice), 0)
	result.AtMost("kept_after_promise", float64(o.keptAfterPromise), 0)
	result.AtMost("acknowledged_but_not_committed", float64(o.lost), 0)
	// A VM that hears of another one before it has read the list of VMs connects to it
	// directly. Such links never go silent, so a run with many of them proves less.
	result.Set("links_past_relays", float64(direct))
	return result
}
