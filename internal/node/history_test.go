package node_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"egretroad/internal/e2e/history"
)

// outcomeByCode maps error codes to outcomes. The codes that map to NotRun promise that
// the operation had no effect; codes not listed here mean an unknown outcome.
var outcomeByCode = map[string]history.Outcome{
	"": history.OK, "BUSY": history.NotRun, "ABORTED": history.NotRun, "LAGGING": history.NotRun, "READONLY": history.NotRun,
	"MAXCONN": history.NotRun, "WRONGNODE": history.NotRun,
}

func outcomeOf(a reply) history.Outcome {
	if a.err != nil {
		return history.Unknown
	}
	if o, known := outcomeByCode[a.code]; known {
		return o
	}
	return history.Unknown
}

// faultInjectors returns the faults to choose from; r supplies their parameters.
func (f *fleet) faultInjectors(r *rand.Rand) []func() {
	primary := func() string { return f.group.Primary() }
	return []func(){
		func() { f.group.Server(primary()).LoseAnswers(1 + r.IntN(4)) },
		func() { f.group.Server(primary()).Refuse("COMMIT", "BUSY", 2) },
		func() { f.group.Server("s-c").Slow("READ", 30*time.Millisecond) },
		func() { f.store.Answer(503) },
		func() { f.store.Answer(0) },
		func() { f.store.Compact() },
		func() {
			old := primary()
			f.group.Server(old).Crash()
			time.AfterFunc(3*time.Second, f.group.Server(old).Start)
		},
		func() { f.store.Promote("orders", randomServer(r)) }, // a promotion that no VM requested
	}
}

func randomServer(r *rand.Rand) string { return "s-" + zones[r.IntN(len(zones))] }

// sharedKeys are written and read by several callers. There are enough of them that the
// checker can order the operations on each key, including those of unknown outcome.
var sharedKeys = []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"}

const (
	operationsPerCaller = 120                   // operations of each caller
	faultInterval       = 60 * time.Millisecond // interval between faults
)

// runCaller runs and records one caller's operations: single reads, single writes and
// writes in transactions. Every written value is unique.
func (f *fleet) runCaller(rec *history.Recorder, id int, database string, keys []string, seed uint64) {
	r := rand.New(rand.NewPCG(seed, uint64(id)))
	var c *caller
	for n := range operationsPerCaller {
		if c == nil {
			var err error
			if c, err = f.dial(r.IntN(len(f.vms)), database); err != nil {
				time.Sleep(20 * time.Millisecond) // the VM does not accept callers at the moment
				continue
			}
		}
		op := history.Operation{Caller: id, Database: database, Key: keys[r.IntN(len(keys))], Call: rec.Now()}
		var a reply
		request := fmt.Sprintf("q%d.%d", id, n)
		switch r.IntN(3) {
		case 0:
			op.Kind = history.Read
			a = c.do(request, "READ "+op.Key)
			if len(a.rows) == 1 && a.rows[0] != "-" {
				op.Found, op.Value = true, a.rows[0]
			}
		case 1:
			op.Kind, op.Value = history.Write, request
			a = c.do(request, "WRITE "+op.Key+" "+op.Value)
		default:
			op.Kind, op.Value = history.Write, request
			a = c.transaction(request, op.Key, op.Value)
		}
		op.Return, op.Outcome, op.Code = rec.Now(), outcomeOf(a), a.code
		rec.Add(op)
		if a.err != nil || a.state != "I" {
			c.close()
			c = nil
		}
	}
	if c != nil {
		c.close()
	}
}

// transaction writes one row in a transaction and returns the reply that determines its
// outcome.
func (c *caller) transaction(request, key, value string) reply {
	if a := c.do(request+".b", "BEGIN"); a.err != nil || a.code != "" {
		return a
	}
	if a := c.do(request, "WRITE "+key+" "+value); a.err != nil || a.code != "" {
		// COMMIT was never sent, so the write has no effect, whatever the code.
		if a.err == nil {
			a.code = "ABORTED"
		}
		end := c.do(request+".r", "ROLLBACK")
		a.state, a.err = end.state, end.err
		return a
	}
	return c.do(request+".c", "COMMIT")
}

// Checks callers' histories under seeded faults: a write takes effect at most once, an
// operation reported as not run has no effect, reads of a primary route see every commit,
// and a session reads its own writes. Commits dropped by a promotion may be lost, because
// the group replicates asynchronously.
func TestHistories(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			f := newFleet(t)
			f.group.Pause = 4 * time.Millisecond // so that faults hit operations in progress
			rec := history.NewRecorder()
			var wg sync.WaitGroup
			for id := range 4 {
				wg.Go(func() { f.runCaller(rec, id, "shop", sharedKeys, seed) })
			}
			for id := 4; id < 8; id++ {
				wg.Go(func() { f.runCaller(rec, id, "shop", []string{fmt.Sprint("own", id)}, seed) })
			}
			r := rand.New(rand.NewPCG(seed, 99))
			faultsInjected := 0
			stop, ended := make(chan struct{}), make(chan struct{})
			go func() {
				defer close(ended)
				choices := f.faultInjectors(r)
				for {
					select {
					case <-stop:
						return
					case <-time.After(faultInterval):
						choices[r.IntN(len(choices))]()
						faultsInjected++
					}
				}
			}()
			wg.Wait()
			close(stop)
			<-ended
			f.g.Expect(faultsInjected).To(BeNumerically(">", 10), "too few faults were injected")
			f.checkHistory(rec)
		})
	}
}

// checkHistory checks the recorded history against the commits of the servers.
func (f *fleet) checkHistory(rec *history.Recorder) {
	surviving := map[string]bool{}
	for _, c := range f.group.Commits() {
		surviving[c.ID] = true
	}
	var commits []history.Commit
	for _, c := range f.group.AllCommits() {
		commits = append(commits, history.Commit{Database: "shop", Key: c.Item, Value: c.Data, Surviving: surviving[c.ID]})
	}
	ledger := history.NewLedger(commits)
	ops := rec.Operations()
	succeeded := 0
	for i, op := range ops {
		if op.Outcome == history.OK {
			succeeded++
		}
		if op.Kind == history.Write && op.Outcome == history.OK && !surviving[op.Value] {
			ops[i].Outcome = history.Unknown
		}
	}
	f.g.Expect(succeeded).To(BeNumerically(">", len(ops)/4), "too few operations succeeded to check the history")
	f.g.Expect(history.CheckWrites(ops, ledger)).To(BeEmpty())
	f.g.Expect(history.CheckReadYourWrites(ops, ledger)).To(BeEmpty())
}
