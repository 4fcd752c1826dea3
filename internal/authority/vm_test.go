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

// simVM runs one machine and carries its effects out in the simulated world.
type simVM struct {
	w           *world
	id, dc      string
	up          bool
	paused      bool
	incarnation int
	offset      time.Duration // of its clock
	drift       float64       // rate of its clock less 1
	machine     *Machine
	table       *Table
	backlog     []func() // what arrived while paused
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

// clock reads the VM's CLOCK_BOOTTIME.
func (v *simVM) clock() time.Duration {
	return v.offset + v.w.now + time.Duration(float64(v.w.now)*v.drift)
}

func (v *simVM) start() {
	v.up = true
	v.incarnation++
	v.machine = NewMachine(v.w.opts, topology.VM{ID: v.id, DataCentre: v.dc}, fmt.Sprint(v.incarnation))
	v.table = &Table{}
	v.backlog = nil
	v.calls = map[uint64]func(LeaseReply){}
	v.loop(tickInterval, func() { v.step(reducer.Tick{Now: v.clock()}) })
	v.loop(probeInterval, v.probe)
	v.loop(pollInterval, v.pollGroups)
}

func (v *simVM) stop() {
	v.up, v.paused = false, false
	v.incarnation++
}

func (v *simVM) pause()  { v.paused = v.up }
func (v *simVM) resume() { v.paused = false; v.drain() }

// drain runs what arrived during a pause, oldest first.
func (v *simVM) drain() {
	backlog := v.backlog
	v.backlog = nil
	for _, run := range backlog {
		run()
	}
}

// loop repeats f while this incarnation lives; a paused VM skips its turns.
func (v *simVM) loop(d time.Duration, f func()) {
	incarnation := v.incarnation
	var turn func()
	turn = func() {
		if v.incarnation != incarnation {
			return
		}
		if !v.paused {
			f()
		}
		v.w.after(d+time.Duration(v.w.rng.IntN(10))*time.Millisecond, turn)
	}
	v.w.after(time.Duration(v.w.rng.Int64N(int64(d))), turn)
}

// whenRunning runs f on this incarnation after a delay, or at the end of a pause.
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

// probe observes the own servers, as a home does.
func (v *simVM) probe() {
	for _, id := range v.w.order {
		if !v.machine.isOwn(id) {
			continue
		}
		s := v.w.server[id]
		v.whenRunning(v.w.delay()+v.w.slow, func() {
			if !s.up {
				v.step(reducer.ServerObserved{Status: topology.ServerStatus{Server: id}, From: v.id, Now: v.clock(), Err: "refused"})
				return
			}
			v.step(reducer.ServerObserved{Status: s.status(), From: v.id, Now: v.clock()})
		})
	}
}

// pollGroups reads the group, as control does behind its watch.
func (v *simVM) pollGroups() {
	if v.w.store.down || !v.w.reaches(v.dc, "") {
		return
	}
	o := v.w.store.objects[platform.KindGroup+"/"+testDatabase]
	v.deliver(reducer.ObjectChanged{Kind: o.Kind, Name: o.Name, Version: o.Version, Value: o.Value, From: "store"})
}

func (v *simVM) execute(effect reducer.Effect) {
	switch e := effect.(type) {
	case StoreCall:
		v.callStore(e)
	case AskDelegate:
		v.askDelegate(e)
	case AnswerAsk:
		v.answer(e.Call, e.Reply)
	case AnswerRelease:
		v.answer(e.Call, LeaseReply{})
	case AskRelease:
		v.askRelease(e)
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

func (v *simVM) answer(call uint64, r LeaseReply) {
	if reply, ok := v.calls[call]; ok {
		delete(v.calls, call)
		reply(r)
	}
}

// send delivers to another VM unless the message is lost on the way.
func (v *simVM) send(to string, f func(*simVM)) {
	target := v.w.vm(to)
	if target == nil || v.w.lost() {
		return
	}
	v.w.after(v.w.delay(), func() {
		if target.up && v.w.reaches(v.dc, target.dc) {
			target.whenRunning(0, func() { f(target) })
		}
	})
}

// once returns a function that posts the first of an answer and the timeout.
func (v *simVM) once(timeout time.Duration, expired func() reducer.Event) func(func() reducer.Event) {
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
	finish := v.once(e.Timeout, func() reducer.Event {
		return StoreResult{Op: e.Op, Outcome: StoreUnknown, Error: "timeout", Now: v.clock()}
	})
	v.w.store.calls++
	v.w.after(v.w.delay(), func() {
		if v.w.store.down || !v.w.reaches(v.dc, "") {
			return
		}
		r := v.w.store.serve(e)
		if v.w.rng.Float64() < v.w.store.loseAns {
			return
		}
		v.whenRunning(v.w.delay(), func() {
			finish(func() reducer.Event {
				r.Now = v.clock()
				return r
			})
		})
	})
}

// call runs a peer call whose handler answers through answer.
func (v *simVM) call(to string, handle func(to *simVM, call uint64), done func(LeaseReply)) {
	v.send(to, func(target *simVM) {
		target.nextCall++
		target.calls[target.nextCall] = func(r LeaseReply) {
			target.send(v.id, func(*simVM) { done(r) })
		}
		handle(target, target.nextCall)
	})
}

func (v *simVM) askDelegate(e AskDelegate) {
	askedAt := v.clock()
	incarnation := v.incarnation
	finish := v.once(e.Timeout, func() reducer.Event {
		return AskAnswered{Op: e.Op, AskedAt: askedAt, Error: "timeout", Now: v.clock()}
	})
	handle := func(to *simVM, call uint64) {
		to.step(LeaseAsked{Call: call, From: v.id, Request: e.Request, Now: to.clock()})
	}
	v.call(e.Delegate, handle, func(r LeaseReply) {
		if v.incarnation != incarnation {
			return
		}
		finish(func() reducer.Event {
			return AskAnswered{Op: e.Op, AskedAt: askedAt, Granted: r.Granted, Now: v.clock()}
		})
	})
}

func (v *simVM) askRelease(e AskRelease) {
	incarnation := v.incarnation
	finish := v.once(e.Timeout, func() reducer.Event { return ReleaseAnswered{Op: e.Op, Now: v.clock()} })
	handle := func(to *simVM, call uint64) {
		to.step(ReleaseAsked{Call: call, From: v.id, Lease: e.Lease, Now: to.clock()})
	}
	v.call(e.Holder, handle, func(LeaseReply) {
		if v.incarnation != incarnation {
			return
		}
		finish(func() reducer.Event { return ReleaseAnswered{Op: e.Op, Released: true, Now: v.clock()} })
	})
}

// runAdmin reaches a server through a live VM of its data centre.
func (v *simVM) runAdmin(e RunAdmin) {
	s := v.w.server[e.Request.Server]
	finish := v.once(e.Timeout, func() reducer.Event {
		return AdminDone{Op: e.Op, Request: e.Request, Error: "timeout", Now: v.clock()}
	})
	v.w.after(v.w.delay()+v.w.slow, func() {
		if !s.up || !v.w.reaches(v.dc, s.dc) || !v.w.centreServes(s.dc) {
			return
		}
		request := e.Request
		status, refusal := s.admin(txn.AdminRequest{Server: request.Server, Op: request.Op, Term: request.Term, Primary: request.Primary})
		if v.w.lost() {
			return
		}
		v.whenRunning(v.w.delay(), func() {
			finish(func() reducer.Event {
				return AdminDone{Op: e.Op, Request: request, Status: status, Error: refusal, Now: v.clock()}
			})
		})
	})
}

// centreServes reports whether a data centre has a VM that runs.
func (w *world) centreServes(dc string) bool {
	for _, vm := range w.vms {
		if vm.dc == dc && vm.up && !vm.paused {
			return true
		}
	}
	return false
}
