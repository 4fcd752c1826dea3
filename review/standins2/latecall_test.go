//go:build review

package standins2

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// lateBy is when the platform carries out the call that it has not answered.
	lateBy = 7 * time.Second
	// shortCrash is how long the server is down that has taken over.
	shortCrash = 3 * time.Second
	drainFor   = 7 * time.Second // bound drain-ms
	// longer is how much longer a leaving server serves.
	longer = 700 * time.Millisecond
	// newFirst is how long a new server runs before the one that it replaces leaves.
	newFirst = time.Second
)

// leaving is the state of the servers of a group, by id.
type leaving struct {
	mu     sync.Mutex // guards states
	states map[string]string
}

func (l *leaving) state(id string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.states[id] == "" {
		return "ready"
	}
	return l.states[id]
}

func (l *leaving) set(id, state string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.states[id] = state
}

// lateCall replaces the primary as planned. The first call for the failover is not answered,
// and carried out late; the proxy repeats it. The server that has taken over crashes, and the
// answer of the store to the claim for the next one is lost.
func lateCall(f *fleet, trouble bool) (verdict, string) {
	g := newGroup("archivio1")
	g.keepsOld = true
	if err := f.startPlatform(g, leadsNow); err != nil {
		return failure, err.Error()
	}
	f.store.unfenced = true
	var afterPromote sync.Map // ids of commits of a server that had been replaced
	g.onCommit = func(s *server, id string) {
		if g.primary != s.id {
			afterPromote.Store(id, s.id)
			f.record.add("%s commits %s after %s has been promoted", s.id, id, g.primary)
		}
	}
	leaves, taken, down := &leaving{states: map[string]string{}}, make(chan string, 1), atomic.Bool{}
	var called atomic.Bool
	promote := f.store.onFailover
	f.store.onFailover = func(c failoverCall) int {
		if called.CompareAndSwap(false, true) {
			taken <- c.ID
			if trouble {
				f.record.add("platform: %s with token %d calls for the failover to %s; not answered", c.holder, c.token, c.ID)
				time.AfterFunc(lateBy, func() {
					f.record.add("platform carries out the first call, for %s, late: %v", c.ID, g.callFailover(c.ID, leadsNow))
				})
				return 0
			}
		}
		return promote(c)
	}
	ids := map[string]string{"mixco": "i-31a07c", "xela": "i-12e4b9", "zacapa": "i-53d81f"}
	start := func(id, zone string) error {
		s, err := g.add(id, zone)
		if err == nil {
			go f.beat(s, func() string {
				if s.id == ids["xela"] && down.Load() {
					return ""
				}
				return leaves.state(s.id)
			})
		}
		return err
	}
	for _, zone := range zones {
		if err := start(ids[zone], zone); err != nil {
			return failure, err.Error()
		}
	}
	f.configure(g.name, 0, route("payments", "primary", 800, 400, 0))
	if err := f.startVMs(2); err != nil {
		return failure, err.Error()
	}
	done := make(chan struct{})
	var writers sync.WaitGroup
	var acked acknowledged
	for n := range 8 {
		writers.Go(func() { f.writeUntil(done, n, &acked) })
	}
	time.Sleep(3 * time.Second)
	if err := start("i-90b27e", "mixco"); err != nil {
		return failure, err.Error()
	}
	time.Sleep(newFirst)
	leaves.set(ids["mixco"], "draining")
	f.record.add("%s leaves", ids["mixco"])
	next := g.servers[<-taken]
	calledAt := time.Now()
	time.AfterFunc(drainFor+longer, func() {
		leaves.set(ids["mixco"], stateGone)
		g.servers[ids["mixco"]].crash()
	})
	if trouble {
		time.Sleep(2200 * time.Millisecond)
		var lost atomic.Bool
		f.store.mu.Lock()
		f.store.loses = func(kind string, spec json.RawMessage) bool {
			isClaim := kind == "egretroad-duty" && !bytes.Contains(spec, []byte(next.id)) && lost.CompareAndSwap(false, true)
			if isClaim {
				f.record.add("store: the answer to the write %s gets lost", spec)
			}
			return isClaim
		}
		f.store.mu.Unlock()
		f.record.add("%s crashes", next.id)
		down.Store(true)
		next.crash()
		time.Sleep(shortCrash)
		if err := next.comeBack(); err != nil {
			return failure, err.Error()
		}
		down.Store(false)
		f.record.add("%s is back", next.id)
	}
	time.Sleep(time.Until(calledAt.Add(lateBy + 5*time.Second)))
	close(done)
	writers.Wait()
	wrong := 0
	for _, id := range acked.ids {
		if on, late := afterPromote.Load(id); late {
			wrong++
			f.record.add("ONE: commit %s of %s was acknowledged", id, on)
		}
	}
	text := fmt.Sprintf("%d commits acknowledged, %d of them made at a primary after another had been promoted", acked.count(), wrong)
	switch {
	case wrong > 0:
		return broken, text
	case acked.count() == 0:
		return failure, text
	default:
		return held, text
	}
}
