// Package workload generates load on proxies with concurrent callers that move
// between the proxies. A Workload runs reads, writes, transactions and list queries
// on one database and records every operation. Audit checks the recorded operations
// against those of the backend servers with package history.
package workload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"egretroad/internal/e2e/history"
)

// Options configure a workload on one database.
type Options struct {
	Name      string // of the run; part of all keys written, to separate runs on one database
	Database  string
	WriteKind string // kind of work (egretroad.work) of writes
	ReadKind  string // kind of work of reads
	Callers   int
	// ReconnectEvery is the number of operations after which a caller reconnects to a
	// random proxy.
	ReconnectEvery int
	// One in WriteEvery operations is a write.
	WriteEvery int
	// One in ListEvery operations reads all rows; 0 disables them.
	ListEvery int
	// One in SharedEvery operations accesses a key shared by all callers, over a
	// new connection; 0 disables them.
	SharedEvery int
	Keys        int           // number of keys of each caller
	MaxPadding  int           // maximum bytes of padding in each value
	ThinkTime   time.Duration // between the operations of a caller
	OpTimeout   time.Duration // deadline of one operation
	Seed        uint64
	SeededKeys  []string // rows that every list query must return
}

// DefaultOptions returns the options of a small workload on database orders1 of the
// deployment bright-spokes.
func DefaultOptions() Options {
	return Options{
		Database:       "orders1",
		WriteKind:      "orders",
		ReadKind:       "stock",
		Callers:        8,
		ReconnectEvery: 5,
		WriteEvery:     3,
		ListEvery:      15,
		SharedEvery:    6,
		Keys:           3,
		MaxPadding:     100,
		OpTimeout:      20 * time.Second,
		Seed:           1,
	}
}

// sharedKeys is the number of keys shared by all callers.
const sharedKeys = 3

// Workload runs a set of callers and records their operations. Create it with New.
type Workload struct {
	options    Options
	proxyAddrs func() []string // addresses for callers of the proxies in use
	recorder   *history.Recorder

	mu         sync.Mutex // guards the fields below
	rowsPerTag map[string]int
	violations []history.Violation

	tagCounter atomic.Uint64
	counts     Counts
}

// Counts are numbers of operations by kind and by outcome. ConnectFailed counts
// failed connection attempts.
type Counts struct {
	Reads, Writes                              atomic.Int64
	OK, NotRun, Failed, Unknown, ConnectFailed atomic.Int64
}

// New returns a workload on the proxies whose addresses proxyAddrs returns. Callers
// call it, possibly concurrently, before each connection attempt.
func New(o Options, proxyAddrs func() []string) *Workload {
	return &Workload{options: o, proxyAddrs: proxyAddrs, recorder: history.NewRecorder(), rowsPerTag: map[string]int{}}
}

// Run runs all callers until the context ends, and waits for operations in progress.
func (w *Workload) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for i := range w.options.Callers {
		c := &caller{
			workload: w,
			id:       i,
			rng:      rand.New(rand.NewPCG(w.options.Seed, uint64(i))),
		}
		wg.Go(func() { c.run(ctx) })
	}
	wg.Wait()
}

// Operations returns the operations recorded so far.
func (w *Workload) Operations() []history.Operation { return w.recorder.Operations() }

// RowsPerTag returns the number of rows that each transaction writes, by its tag.
func (w *Workload) RowsPerTag() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	rows := make(map[string]int, len(w.rowsPerTag))
	for k, v := range w.rowsPerTag {
		rows[k] = v
	}
	return rows
}

// Violations returns the violations that callers found in responses to list queries.
func (w *Workload) Violations() []history.Violation {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]history.Violation(nil), w.violations...)
}

// Counts returns the counters, which are updated while the workload runs.
func (w *Workload) Counts() *Counts { return &w.counts }

func (w *Workload) addViolations(v []history.Violation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, v...)
}

// newTag returns a unique tag name for a transaction that writes the given number of
// rows.
func (w *Workload) newTag(caller, rows int) string {
	tag := fmt.Sprintf("%sc%d-%d", w.options.Name, caller, w.tagCounter.Add(1))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rowsPerTag[tag] = rows
	return tag
}

func (w *Workload) record(op history.Operation) {
	w.recorder.Add(op)
	switch op.Kind {
	case history.Read:
		w.counts.Reads.Add(1)
	case history.Write:
		w.counts.Writes.Add(1)
	}
	switch op.Outcome {
	case history.OK:
		w.counts.OK.Add(1)
	case history.NotRun:
		w.counts.NotRun.Add(1)
	case history.Failed:
		w.counts.Failed.Add(1)
	case history.Unknown:
		w.counts.Unknown.Add(1)
	}
}
