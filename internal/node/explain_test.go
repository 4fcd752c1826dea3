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

// explained returns the cause of a request's outcome from the logs of all VMs.
func (f *fleet) explained(id string) string {
	var logs []io.Reader
	for _, v := range f.vms {
		logs = append(logs, bytes.NewReader(v.lines.copy()))
	}
	lines, err := explain.Read(logs, id)
	f.g.Expect(err).NotTo(HaveOccurred())
	return explain.Cause(explain.Order(lines))
}

// failure is a request that failed, with what its caller was told.
type failure struct{ id, told string }

// load runs callers until each has done its operations, and returns what failed.
func (f *fleet) load(database string, callers, operations int, statement func(id string) string) []failure {
	var all sync.WaitGroup
	var mu sync.Mutex
	var failed []failure
	for n := range callers {
		all.Go(func() {
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
	all.Wait()
	return failed
}

func write(id string) string { return "WRITE lamp " + id }
func read(string) string     { return "READ lamp" }

// Each request that fails under a fault is explained from the logs alone, and the
// explanation fits the fault.
func TestFailuresAreExplained(t *testing.T) {
	for name, c := range map[string]struct {
		fault              func(f *fleet)
		database           string
		statement          func(id string) string
		callers, each      int
		causes             []string // one of these for each failure
		sureToFail, atMost int      // number of failures; atMost 0: any
	}{
		"answers are lost with their connections": {
			fault:    func(f *fleet) { f.group.Server("s-a").LoseAnswers(6) },
			database: "shop", statement: write, callers: 3, each: 10, sureToFail: 6, atMost: 6,
			causes: []string{"the connection to the server broke"},
		},
		"answers are left out": {
			fault:    func(f *fleet) { f.group.Server("s-a").MuteAnswers(4) },
			database: "shop", statement: write, callers: 3, each: 10, sureToFail: 4, atMost: 4,
			causes: []string{"the server did not answer within the statement's time"},
		},
		"a server that fails statements": {
			fault:    func(f *fleet) { f.group.Server("s-a").Refuse("WRITE", "FAILED", 5) },
			database: "shop", statement: write, callers: 3, each: 10, sureToFail: 5, atMost: 5,
			causes: []string{"the server answered failed"},
		},
		"a slow server under load": {
			fault:    func(f *fleet) { f.group.Server("s-a").Slow("WRITE", 400*time.Millisecond) },
			database: "shop", statement: write, callers: 24, each: 3, sureToFail: 1,
			causes: []string{"no slot of the server was free in time"},
		},
		"a primary that is gone and cannot be replaced": {
			fault: func(f *fleet) {
				f.store.Promote = func(string, string) bool { return false }
				f.group.Server("s-a").Crash()
			},
			database: "shop", statement: write, callers: 3, each: 2, sureToFail: 6,
			causes: []string{
				"the group had no primary that takes work", "no connection to the server was to be had",
				"the servers asked did not lead their group", "the connection to the server broke",
			},
		},
		"replicas behind and a primary that is gone": {
			fault: func(f *fleet) {
				f.group.Lag = time.Hour
				f.store.Promote = func(string, string) bool { return false }
				c := f.session(0, "shop")
				f.g.Expect(c.do("before", "WRITE lamp 1").code).To(BeEmpty())
				// Reads may miss what is younger than the route's age.
				time.Sleep(2 * time.Second)
				f.g.Expect(c.do("learn", "READ lamp").code).To(BeEmpty())
				f.group.Server("s-a").Crash()
			},
			database: "stock", statement: read, callers: 3, each: 2, sureToFail: 6,
			causes: []string{
				"the replicas lacked the log position", "no log position was proven young enough", "no connection to the server was to be had",
				"the group had no primary that takes work",
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			warm := f.session(1, c.database)
			f.g.Expect(warm.do("warm", c.statement("warm")).code).To(BeEmpty())
			c.fault(f)
			failed := f.load(c.database, c.callers, c.each, c.statement)
			f.g.Expect(len(failed)).To(BeNumerically(">=", c.sureToFail))
			if c.atMost > 0 {
				f.g.Expect(len(failed)).To(BeNumerically("<=", c.atMost))
			}
			for _, x := range failed {
				f.g.Expect(f.explained(x.id)).To(containAny(c.causes), "%s was told %s", x.id, x.told)
			}
		})
	}
}

// containAny matches a text that contains one of some texts.
func containAny(texts []string) types.GomegaMatcher {
	var any []types.GomegaMatcher
	for _, text := range texts {
		any = append(any, ContainSubstring(text))
	}
	return Or(any...)
}

// A caller that pauses too long in a transaction is told that it ended.
func TestAnIdleTransactionIsExplained(t *testing.T) {
	f := newFleet(t)
	c := f.session(1, "shop")
	f.g.Expect(c.do("b", "BEGIN").code).To(BeEmpty())
	f.g.Expect(c.do("w", "WRITE lamp 1").code).To(BeEmpty())
	f.g.Eventually(func() []byte { return f.vms[1].lines.copy() }, "10s", "20ms").Should(ContainSubstring("event=transaction_idle"))
	f.g.Expect(c.do("c", "COMMIT").code).To(Equal("ABORTED"))
	f.g.Expect(f.group.Commits()).To(BeEmpty())
}
