//go:build review

package standins2

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Limits of the disruptions: how long a replica receives nothing, and servers are down.
const (
	deafFor  = 6500 * time.Millisecond
	crashFor = 7 * time.Second
)

// replicaUnheard makes one replica receive nothing for a while, and the primary and the other
// replica crash meanwhile and come back. Commits are acknowledged once one replica has received
// them. The entry of the other replica expires a moment before that of the primary.
func replicaUnheard(f *fleet, trouble bool) (verdict, string) {
	return f.playCrash(trouble, crashTimes{
		deafAt: 2 * time.Second, crashAt: 5 * time.Second, end: 22 * time.Second,
		primaryOffset: 150 * time.Millisecond, beatAge: 600 * time.Millisecond,
	})
}

// replicaForgotten is the same, but the entry of the primary expires first, and all VMs are
// restarted in turn meanwhile, as planned.
func replicaForgotten(f *fleet, trouble bool) (verdict, string) {
	return f.playCrash(trouble, crashTimes{
		deafAt: 2 * time.Second, crashAt: 4500 * time.Millisecond, end: 25 * time.Second, restartPause: 2 * time.Second,
		otherOffset: 150 * time.Millisecond,
	})
}

// crashTimes are the times of a case, counted from its start, when all VMs serve.
type crashTimes struct {
	deafAt, crashAt, end time.Duration
	restartPause         time.Duration // between the planned stops of two VMs; 0: none is stopped
	primaryOffset        time.Duration // of the primary's heartbeats
	otherOffset          time.Duration // of those of the other replica that crashes
	beatAge              time.Duration // of the primary's last heartbeat at the crash; 0: any
}

func (f *fleet) playCrash(trouble bool, t crashTimes) (verdict, string) {
	g := newGroup("leche1")
	g.sync = 1
	g.onCommit = func(s *server, id string) { f.record.add("server %s commits %s", s.id, id) }
	var lost atomic.Int64
	var acked acknowledged
	if err := f.startPlatform(g, func(s *server) { f.checkPromotion(s, &acked, &lost) }); err != nil {
		return failure, err.Error()
	}
	var crashed atomic.Bool
	for _, zone := range zones {
		s, err := g.add("i-"+zone, zone)
		if err != nil {
			return failure, err.Error()
		}
		switch zone {
		case "mixco":
			s.beatOffset = t.primaryOffset
		case "xela":
			s.beatOffset = t.otherOffset
		}
		go f.beat(s, func() string {
			if zone != "zacapa" && crashed.Load() {
				return ""
			}
			return "ready"
		})
	}
	primary, other, deaf := g.servers["i-mixco"], g.servers["i-xela"], g.servers["i-zacapa"]
	f.configure(g.name, g.sync, route("payments", "primary", 1000, 800, 0))
	if err := f.startVMs(1); err != nil {
		return failure, err.Error()
	}
	done := make(chan struct{})
	var writers sync.WaitGroup
	for n := range 6 {
		writers.Go(func() { f.writeUntil(done, n, &acked) })
	}
	time.Sleep(3 * time.Second)
	start := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(start.Add(d))) }
	var restarts sync.WaitGroup
	for i, v := range f.vms {
		if t.restartPause != 0 {
			restarts.Go(func() {
				at(time.Duration(i) * t.restartPause)
				f.record.add("platform sends SIGTERM to %s", v.name)
				v.terminate()
			})
		}
	}
	if trouble {
		at(t.deafAt)
		f.record.add("%s receives nothing from now on", deaf.id)
		deaf.setDeaf(true)
		at(t.crashAt)
		for t.beatAge != 0 && time.Since(time.Unix(0, primary.lastBeat.Load())).Truncate(20*time.Millisecond) != t.beatAge {
			time.Sleep(5 * time.Millisecond)
		}
		crashedAt := time.Now()
		f.record.add("%s and %s crash", primary.id, other.id)
		crashed.Store(true)
		primary.crash()
		other.crash()
		at(t.deafAt + deafFor)
		f.record.add("%s receives again", deaf.id)
		deaf.setDeaf(false)
		time.Sleep(time.Until(crashedAt.Add(crashFor)))
		f.record.add("%s and %s are back", primary.id, other.id)
		for _, s := range []*server{primary, other} {
			if err := s.comeBack(); err != nil {
				return failure, err.Error()
			}
		}
		crashed.Store(false)
	}
	at(t.end)
	close(done)
	writers.Wait()
	restarts.Wait()
	text := fmt.Sprintf("%d commits acknowledged, %d of them not in the log of a server at its promotion", acked.count(), lost.Load())
	switch {
	case lost.Load() > 0:
		return broken, text
	case acked.count() == 0:
		return failure, text
	default:
		return held, text
	}
}

// acknowledged are the writes that clients know to be committed.
type acknowledged struct {
	mu  sync.Mutex // guards ids
	ids []string
}

func (a *acknowledged) add(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ids = append(a.ids, id)
}

func (a *acknowledged) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.ids)
}

// checkPromotion checks, when a server is about to lead, which acknowledged commits it lacks.
// The caller holds the group's mutex.
func (f *fleet) checkPromotion(s *server, acked *acknowledged, lost *atomic.Int64) {
	has := map[string]bool{}
	for _, id := range s.log {
		has[id] = true
	}
	f.record.add("platform: %s leads from now on", s.id)
	acked.mu.Lock()
	defer acked.mu.Unlock()
	for _, id := range acked.ids {
		if !has[id] {
			lost.Add(1)
			f.record.add("LOST: commit %s was acknowledged and is not in the log of %s, which is promoted", id, s.id)
		}
	}
}

// writeUntil sends single writes, one after the other, through changing proxies.
func (f *fleet) writeUntil(done chan struct{}, n int, acked *acknowledged) {
	var s *session
	next := n
	for {
		select {
		case <-done:
			if s != nil {
				s.close()
			}
			return
		case <-time.After(40 * time.Millisecond):
		}
		if s == nil {
			next++
			v := f.vms[next%len(f.vms)]
			if !v.isReady() {
				continue
			}
			var err error
			if s, err = connect(v.address(v.front), "payments"); err != nil {
				f.record.add("client %d cannot connect to %s: %v", n, v.name, err)
				s = nil
				continue
			}
		}
		id := newID()
		f.record.add("client %d sends %s WRITE k%d", n, id, n)
		a := s.query(id, fmt.Sprintf("WRITE k%d %s", n, id), 5*time.Second)
		f.record.add("client %d: %s answered with %s", n, id, a)
		if a.code == "" && !a.lost {
			acked.add(id)
		}
		if a.lost || a.state != "I" {
			s.close()
			s = nil
		}
	}
}

// terminate stops the process as the platform does. It is started again.
func (v *vm) terminate() {
	v.mu.Lock()
	cmd, done := v.cmd, v.done
	v.mu.Unlock()
	_ = cmd.Process.Signal(syscall.SIGTERM) // it may have ended
	select {
	case <-done:
	case <-time.After(graceSeconds * time.Second):
		_ = cmd.Process.Kill() // it may have ended
	}
}
