package silence

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"egretroad/internal/standin/platformfleet"
)

const (
	maxCallers     = 24
	statementLimit = 5 * time.Second       // after which a caller gives up
	statementPause = 20 * time.Millisecond // between two statements of a caller
)

// callers write through sessions that they keep until the process at the other end has gone,
// and record what each write was answered.
type callers struct {
	fleet   *platformfleet.Fleet
	running sync.WaitGroup
	stop    context.CancelFunc

	mu      sync.Mutex        // guards answers
	answers map[string]string // by request ID: the code, "" for success; none: no answer
}

func startCallers(ctx context.Context, fleet *platformfleet.Fleet, seed uint64) *callers {
	ctx, stop := context.WithCancel(ctx)
	c := &callers{fleet: fleet, stop: stop, answers: map[string]string{}}
	for i := range min(len(fleet.VMs), maxCallers) {
		random := rand.New(rand.NewPCG(seed, uint64(100+i)))
		c.running.Go(func() { c.run(ctx, i, random) })
	}
	return c
}

// run writes on one session after the other until ctx ends.
func (c *callers) run(ctx context.Context, caller int, random *rand.Rand) {
	for session := 0; ctx.Err() == nil; session++ {
		s, err := c.fleet.VMs[random.IntN(len(c.fleet.VMs))].Open("first")
		if err != nil {
			time.Sleep(statementPause) // that VM accepts no callers at the moment
			continue
		}
		for n := 0; ctx.Err() == nil; n++ {
			id := fmt.Sprintf("c%d.%d.%d", caller, session, n)
			code, err := s.Run(id, "WRITE lamp "+id, statementLimit)
			if err != nil {
				break
			}
			c.record(id, code)
			time.Sleep(statementPause)
		}
		s.Close()
	}
}

func (c *callers) record(id, code string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers[id] = code
}

// outcome counts what the callers were told and what the servers have committed.
type outcome struct {
	acknowledged, promised int
	twice                  int // writes committed more than once
	keptAfterPromise       int // writes committed although nothing was to be kept
	lost                   int // acknowledged writes that no server has committed
}

// end ends the callers and compares their answers with the commits of the servers.
func (c *callers) end() outcome {
	c.stop()
	c.running.Wait()
	committed := map[string]int{}
	for _, commit := range c.fleet.Group().AllCommits() {
		committed[commit.ID]++
	}
	var o outcome
	for _, times := range committed {
		if times > 1 {
			o.twice++
		}
	}
	for id, code := range c.answers {
		switch {
		case code == "":
			o.acknowledged++
			if committed[id] == 0 {
				o.lost++
			}
		case platformfleet.PromisesNothingKept(code):
			o.promised++
			if committed[id] > 0 {
				o.keptAfterPromise++
			}
		}
	}
	return o
}
