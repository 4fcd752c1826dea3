package authority

import (
	"fmt"
	"strings"
	"time"

	"egretroad/internal/platform"
	"egretroad/internal/reducer"
	"egretroad/internal/topology"
	"egretroad/internal/txn"
)

// simVM runs one machine and executes its effects in the simulated world.
type simVM struct {
	w           *world
	id, dc      string
	up          bool
	paused      bool
	incarnation int
	offset      time.Duration // of its clock from simulated time
	drift       float64       // relative rate error of its clock
	machine     *Machine
	table       *LeaseTable
	backlog     []func() // deliveries received while paused
	nextCall    uint64
	calls       map[uint64]func(LeaseReply)
}

func newSimVM(w *world, id, dc string) *simVM {
	return &simVM{
		w: w, id: id, dc: dc,
		offset: time.Duration(w.rng.IntN(100_000)) * time.Millisecond,
		drift:  (w.rng.Float64() - 0.5) / 500,
	}
}

// clock returns the VM's simulated CLOCK_BOOTTIME.
func (v *simVM) clock() time.Duration {
	return v.offset + v.w.now + time.Duration(float64(v.w.now)*v.drift)
}

func (v *simVM) start() {
	v.up = true
	v.incarnation++
	v.machine = NewMachine(v.w.opts, topology.VM{ID: v.id, DataCentre: v.dc}, fmt.Sprint(v.incarnation))
	v.table = &LeaseTable{}
	v.backlog = nil
	v.calls = map[uint64]func(LeaseReply){}
	v.repeat(simTickInterval, func() { v.step(reducer.Tick{Now: v.clock()}) })
	v.repeat(probeInterval, v.probe)
	v.repeat(pollInterval, v.pollGroups)
}

func (v *simVM) stop() {
	v.up, v.paused = false, false
	v.incarnation++
}

func (v *simVM) pause()  { v.paused = v.up }
func (v *simVM) resume() { v.paused = false; v.drain() }

// drain runs the deliveries received during a pause, oldest first.
func (v *simVM) drain() {
	backlog := v.backlog
	v.backlog = nil
	for _, run := range backlog {
		run()
	}
}

// repeat runs f at jittered intervals until the VM stops or restarts. A paused VM
// skips iterations.
func (v *simVM) repeat(d time.Duration, f func()) {
	incarnation := v.incarnation
	var iterate func()
	iterate = func() {
		if v.incarnation != incarnation {
			return
		}
		if !v.paused {
			f()
		}
		v.w.after(d+time.Duration(v.w.rng.IntN(10))*time.Millisecond, iterate)
	}
	v.w.after(time.Duration(v.w.rng.Int64N(int64(d))), iterate)
}

// whenRunning runs f after a delay, or at the end of a pause, unless the VM has
// stopped or restarted meanwhile.
func (v *simVM) whenRunning(d time.Duration, f func()) {
	incarnation := v.incarnation
	guarded := func() {
		if v.incarnation == incarnation {
			f()
		}
	}
	v.w.after(d, func() {
		if v.paused && v.incarnation == incarnation {
			v.backlog = append(v.backlog, guarded)
			return
		}
		guarded()
	})
}

func (v *simVM) deliver(e reducer.Event) { v.whenRunning(0, func() { v.step(e) }) }

func (v *simVM) step(e reducer.Event) {
	for _, effect := range v.machine.Step(e) {
		v.execute(effect)
	}
}

// probe probes the servers whose home is this VM.
func (v *simVM) probe() {
	for _, id := range v.w.serverIDs {
		if !v.machine.isHomeOf(id) {
			continue
		}
		s := v.w.servers[id]
		v.whenRunning(v.w.networkDelay()+v.w.serverDelay, func() {
			if !s.up {
				v.step(reducer.ServerObserved{Status: topology.ServerStatus{Server: id}, From: v.id, Now: v.clock(), Err: "refused"})
				return
			}
			v.step(reducer.ServerObserved{Status: s.status(), From: v.id, Now: v.clock()})
		})
	}
}

// pollGroups reads the group from the store. Package control does so in addition to
// its watch.
func (v *simVM) pollGroups() {
	if v.w.store.down || !v.w.connected(v.dc, "") {
		return
	}
	o := v.w.store.objects[platform.KindGroup+"/"+testDatabase]
	v.deliver(reducer.ObjectChanged{Kind: o.Kind, Name: o.Name, Version: o.Version, Value: o.Value, From: "store"})
}

func (v *simVM) execute(effect reducer.Effect) {
	switch e := effect.(type) {
	case StoreCall:
		v.callStore(e)
	case RequestLeases:
		v.requestLeases(e)
	case ReplyLeases:
		v.reply(e.Call, e.Reply)
	case ReplyReleased:
		v.reply(e.Call, LeaseReply{})
	case RequestRelease:
		v.requestRelease(e)
	case SendEvidence:
		v.send(e.To, func(to *simVM) { to.step(EvidenceReceived{From: v.id, Items: e.Items, Now: to.clock()}) })
	case RunAdmin:
		v.runAdmin(e)
	case PublishTable:
		v.table = e.Table
	case LogEvent:
		v.log(e)
	}
}

func (v *simVM) log(e LogEvent) {
	if strings.HasPrefix(e.Name, "lease_") && e.Name != "lease_released" {
		return
	}
	v.w.logs = append(v.w.logs, fmt.Sprintf("%v %s %s %v", v.w.now, v.id, e.Name, e.Fields))
}

func (v *simVM) reply(call uint64, r LeaseReply) {
	if respond, ok := v.calls[call]; ok {
		delete(v.calls, call)
		respond(r)
	}
}

// send runs f on another VM after a network delay, unless the message is lost.
func (v *simVM) send(to string, f func(*simVM)) {
	target := v.w.vm(to)
	if target == nil || v.w.loseMessage() {
		return
	}
	v.w.after(v.w.networkDelay(), func() {
		if target.up && v.w.connected(v.dc, target.dc) {
			target.whenRunning(0, func() { f(target) })
		}
	})
}

// firstOf returns a function that delivers a response as an event. Whichever comes
// first, the response or the timeout, suppresses the other.
func (v *simVM) firstOf(timeout time.Duration, expired func() reducer.Event) func(func() reducer.Event) {
	done := false
	finish := func(event func() reducer.Event) {
		if !done {
			done = true
			v.step(event())
		}
	}
	v.whenRunning(timeout, func() { finish(expired) })
	return finish
}

func (v *simVM) callStore(e StoreCall) {
	finish := v.firstOf(e.Timeout, func() reducer.Event {
		return StoreResult{Op: e.Op, Outcome: StoreUnknown, Error: "timeout", Now: v.clock()}
	})
	v.w.store.calls++
	v.w.after(v.w.networkDelay(), func() {
		if v.w.store.down || !v.w.connected(v.dc, "") {
			return
		}
		r := v.w.store.execute(e)
		if v.w.rng.Float64() < v.w.store.responseLossRate {
			return
		}
		v.whenRunning(v.w.networkDelay(), func() {
			finish(func() reducer.Event {
				r.Now = v.clock()
				return r
			})
		})
	})
}

// call simulates a peer call. The handler replies through the target's reply
// method.
func (v *simVM) call(to string, handle func(to *simVM, call uint64), done func(LeaseReply)) {
	v.send(to, func(target *simVM) {
		target.nextCall++
		target.calls[target.nextCall] = func(r LeaseReply) {
			target.send(v.id, func(*simVM) { done(r) })
		}
		handle(target, target.nextCall)
	})
}

func (v *simVM) requestLeases(e RequestLeases) {
	requestedAt := v.clock()
	incarnation := v.incarnation
	finish := v.firstOf(e.Timeout, func() reducer.Event {
		return LeaseRequestDone{Op: e.Op, RequestedAt: requestedAt, Error: "timeout", Now: v.clock()}
	})
	handle := func(to *simVM, call uint64) {
		to.step(LeaseRequestReceived{Call: call, From: v.id, Request: e.Request, Now: to.clock()})
	}
	v.call(e.Delegate, handle, func(r LeaseReply) {
		if v.incarnation != incarnation {
			return
		}
		finish(func() reducer.Event {
			return LeaseRequestDone{Op: e.Op, RequestedAt: requestedAt, Granted: r.Granted, Now: v.clock()}
		})
	})
}

func (v *simVM) requestRelease(e RequestRelease) {
	incarnation := v.incarnation
	finish := v.firstOf(e.Timeout, func() reducer.Event { return ReleaseRequestDone{Op: e.Op, Now: v.clock()} })
	handle := func(to *simVM, call uint64) {
		to.step(ReleaseRequestReceived{Call: call, From: v.id, Lease: e.Lease, Now: to.clock()})
	}
	v.call(e.Holder, handle, func(LeaseReply) {
		if v.incarnation != incarnation {
			return
		}
		finish(func() reducer.Event { return ReleaseRequestDone{Op: e.Op, Released: true, Now: v.clock()} })
	})
}

// runAdmin runs an administrative step on a server. It needs a running VM in the
// server's data centre, and times out otherwise.
func (v *simVM) runAdmin(e RunAdmin) {
	s := v.w.servers[e.Request.Server]
	finish := v.firstOf(e.Timeout, func() reducer.Event {
		return AdminDone{Op: e.Op, Request: e.Request, Error: "timeout", Now: v.clock()}
	})
	v.w.after(v.w.networkDelay()+v.w.serverDelay, func() {
		if !s.up || !v.w.connected(v.dc, s.dc) || !v.w.hasRunningVM(s.dc) {
			return
		}
		request := e.Request
		status, rejection := s.admin(txn.AdminRequest{Server: request.Server, Op: request.Op, Term: request.Term, Primary: request.Primary})
		if v.w.loseMessage() {
			return
		}
		v.whenRunning(v.w.networkDelay(), func() {
			finish(func() reducer.Event {
				return AdminDone{Op: e.Op, Request: request, Status: status, Error: rejection, Now: v.clock()}
			})
		})
	})
}

// hasRunningVM reports whether a data centre has a VM that is up and not paused.
func (w *world) hasRunningVM(dc string) bool {
	for _, vm := range w.vms {
		if vm.dc == dc && vm.up && !vm.paused {
			return true
		}
	}
	return false
}
