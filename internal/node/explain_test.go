package node_test

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"

	"egretroad/internal/explain"
)

// explainCause derives the cause of a request's outcome from the logs of all VMs.
func (f *fleet) explainCause(id string) string {
	var logs []io.Reader
	for _, v := range f.vms {
		logs = append(logs, bytes.NewReader(v.log.snapshot()))
	}
	lines, err := explain.Read(logs, id)
	f.g.Expect(err).NotTo(HaveOccurred())
	return explain.Cause(explain.Order(lines))
}

// failure is a failed request and the code or error that its caller received.
type failure struct{ id, response string }

// runLoad runs concurrent callers, each with a number of operations, and returns the
// failed requests.
func (f *fleet) runLoad(database string, callers, operations int, statement func(id string) string) []failure {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var failed []failure
	for n := range callers {
		wg.Go(func() {
			var c *caller
			for i := range operations {
				id := fmt.Sprintf("%s%d.%d", database, n, i)
				if c == nil {
					var err error
					if c, err = f.dial(n%len(f.vms), database); err != nil {
						continue
					}
				}
				if a := c.do(id, statement(id)); a.err != nil || a.code != "" {
					mu.Lock()
					failed = append(failed, failure{id, fmt.Sprint(a.code, a.err)})
					mu.Unlock()
					c.close()
					c = nil
				}
			}
		})
	}
	wg.Wait()
	return failed
}

func writeStatement(id string) string { return "WRITE lamp " + id }
func readStatement(string) string     { return "READ lamp" }

// Every request that fails under an injected fault must be explainable from the logs
// alone, with a cause that matches the fault.
func TestFailuresAreExplained(t *testing.T) {
	for name, c := range map[string]struct {
		fault                    func(f *fleet)
		database                 string
		statement                func(id string) string
		callers, operations      int
		causes                   []string // accepted causes of each failure
		minFailures, maxFailures int      // bounds on the number of failures; maxFailures 0: unbounded
	}{
		"replies lost with their connections": {
			fault:    func(f *fleet) { f.group.Server("s-a").LoseAnswers(6) },
			database: "shop", statement: writeStatement, callers: 3, operations: 10, minFailures: 6, maxFailures: 6,
			causes: []string{"the connection to the server broke"},
		},
		"replies dropped on open connections": {
			fault:    func(f *fleet) { f.group.Server("s-a").MuteAnswers(4) },
			database: "shop", statement: writeStatement, callers: 3, operations: 10, minFailures: 4, maxFailures: 4,
			causes: []string{"the server did not answer within the statement's time"},
		},
		"a server that fails statements": {
			fault:    func(f *fleet) { f.group.Server("s-a").Refuse("WRITE", "FAILED", 5) },
			database: "shop", statement: writeStatement, callers: 3, operations: 10, minFailures: 5, maxFailures: 5,
			causes: []string{"the server answered failed"},
		},
		"a slow server under load": {
			fault:    func(f *fleet) { f.group.Server("s-a").Slow("WRITE", 400*time.Millisecond) },
			database: "shop", statement: writeStatement, callers: 24, operations: 3, minFailures: 1,
			causes: []string{"no slot of the server was free in time"},
		},
		"a crashed primary that cannot be replaced": {
			fault: func(f *fleet) {
				f.store.Promote = func(string, string) bool { return false }
				f.group.Server("s-a").Crash()
			},
			database: "shop", statement: writeStatement, callers: 3, operations: 2, minFailures: 6,
			causes: []string{
				"the group had no primary that takes work", "no connection to the server was to be had",
				"the servers asked did not lead their group", "the connection to the server broke",
			},
		},
		"lagging replicas and a crashed primary": {
			fault: func(f *fleet) {
				f.group.Lag = time.Hour
				f.store.Promote = func(string, string) bool { return false }
				c := f.session(0, "shop")
				f.g.Expect(c.do("before", "WRITE lamp 1").code).To(BeEmpty())
				// Wait until the write is older than the staleness that the route allows.
				time.Sleep(2 * time.Second)
				f.g.Expect(c.do("learn", "READ lamp").code).To(BeEmpty())
				f.group.Server("s-a").Crash()
			},
			database: "stock", statement: readStatement, callers: 3, operations: 2, minFailures: 6,
			causes: []string{
				"the replicas lacked the log position", "no log position was proven young enough", "no connection to the server was to be had",
				"the group had no primary that takes work",
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			warmUp := f.session(1, c.database)
			f.g.Expect(warmUp.do("warm", c.statement("warm")).code).To(BeEmpty())
			c.fault(f)
			failed := f.runLoad(c.database, c.callers, c.operations, c.statement)
			f.g.Expect(len(failed)).To(BeNumerically(">=", c.minFailures))
			if c.maxFailures > 0 {
				f.g.Expect(len(failed)).To(BeNumerically("<=", c.maxFailures))
			}
			for _, x := range failed {
				f.g.Expect(f.explainCause(x.id)).To(containAny(c.causes), "%s got %s", x.id, x.response)
			}
		})
	}
}

// containAny matches a text that contains at least one of the given texts.
func containAny(texts []string) types.GomegaMatcher {
	var matchers []types.GomegaMatcher
	for _, text := range texts {
		matchers = append(matchers, ContainSubstring(text))
	}
	return Or(matchers...)
}

// A transaction that stays idle too long is rolled back and logged; its COMMIT fails with
// ABORTED.
func TestIdleTransactionIsExplained(t *testing.T) {
	f := newFleet(t)
	c := f.session(1, "shop")
	f.g.Expect(c.do("b", "BEGIN").code).To(BeEmpty())
	f.g.Expect(c.do("w", "WRITE lamp 1").code).To(BeEmpty())
	f.g.Eventually(func() []byte { return f.vms[1].log.snapshot() }, "10s", "20ms").Should(ContainSubstring("event=transaction_idle"))
	f.g.Expect(c.do("c", "COMMIT").code).To(Equal("ABORTED"))
	f.g.Expect(f.group.Commits()).To(BeEmpty())
}
