//go:build review

package standin

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// lateBy is the time after which the unanswered promotion call is executed.
const lateBy = 4 * time.Second

// write is a write of a client and its answer.
type write struct {
	id     string
	via    string // VM
	answer string
	acked  bool
	at     time.Time // of the answer
}

// writers write new items through all VMs until stop is closed.
type writers struct {
	stop   chan struct{}
	wg     sync.WaitGroup
	lastID atomic.Uint64
	mu     sync.Mutex // guards writes
	writes []write
}

func startWriters(c *cluster, perVM int, pause time.Duration) *writers {
	w := &writers{stop: make(chan struct{})}
	for _, v := range c.vms {
		for range perVM {
			w.wg.Go(func() { w.run(v, pause) })
		}
	}
	return w
}

func (w *writers) run(v *vm, pause time.Duration) {
	var session *client
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(pause):
		}
		if session == nil {
			var err error
			if session, err = connect(v.front(), hostPrimary); err != nil {
				session = nil
				continue
			}
		}
		id := fmt.Sprintf("w%06d", w.lastID.Add(1))
		a, err := session.do(id, "WRITE item-"+id+" data-"+id, 6*time.Second)
		result := write{id: id, via: v.name, answer: a.String(), acked: err == nil && a.ok(), at: time.Now()}
		if err != nil {
			result.answer = "no answer: " + err.Error()
			session.close()
			session = nil
		}
		w.mu.Lock()
		w.writes = append(w.writes, result)
		w.mu.Unlock()
	}
}

func (w *writers) finish() []write {
	close(w.stop)
	w.wg.Wait()
	return w.writes
}

// awaitLeader waits until a server other than old leads.
func (c *cluster) awaitLeader(old string) (string, error) {
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if id := c.leader(); id != old {
			return id, nil
		}
	}
	return "", errors.New(old + " has not been replaced")
}

// playLateCall replaces the servers of the service one after the other, the primary each
// time. The first promotion call gets no answer and is executed seconds later, after that
// of the next replacement.
func playLateCall(c *cluster, trouble bool) ([]string, error) {
	if trouble {
		c.cloud.unanswered = func(n int, _ failover) (time.Duration, bool) { return lateBy, n == 1 }
	}
	w := startWriters(c, 2, 20*time.Millisecond)
	time.Sleep(time.Second)
	first := c.leader()
	if err := c.release(first, "i-04"); err != nil {
		return nil, err
	}
	second, err := c.awaitLeader(first)
	if err != nil {
		return nil, err
	}
	time.Sleep(500 * time.Millisecond)
	if err := c.release(second, "i-05"); err != nil {
		return nil, err
	}
	if _, err := c.awaitLeader(second); err != nil {
		return nil, err
	}
	time.Sleep(lateBy + 4*time.Second)
	writes := w.finish()
	time.Sleep(500 * time.Millisecond)
	return c.checkOnePrimary(writes), nil
}

// checkOnePrimary returns the writes that a server committed after another one had been
// promoted and that were acknowledged to the client.
func (c *cluster) checkOnePrimary(writes []write) []string {
	acked := map[string]bool{}
	answers := map[string]int{}
	for _, w := range writes {
		acked[w.id] = w.acked
		answers[w.answer[:min(len(w.answer), 14)]]++
		note("client: %s sent through %s, answer %s", w.id, w.via, w.answer)
	}
	for text, n := range answers {
		note("answers %q: %d", text, n)
	}
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	kept := map[string]bool{}
	for _, e := range c.group.leader.log {
		kept[e.id] = true
	}
	var violations []string
	lost := 0
	for _, r := range c.group.commits {
		if acked[r.id] && !kept[r.id] {
			lost++
		}
		note("server %s committed %s at %s, replaced %t", r.server, r.id, r.position, r.replaced)
		if r.replaced && acked[r.id] {
			violations = append(violations, fmt.Sprintf("write %s was committed at %s (position %s) after another server had been promoted, and acknowledged; in the primary's log at the end: %t", r.id, r.server, r.position, kept[r.id]))
		}
	}
	note("writes: %d, commits: %d, acknowledged and not in the primary's log at the end: %d", len(writes), len(c.group.commits), lost)
	return violations
}
