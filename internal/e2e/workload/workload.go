// Package workload drives proxies with callers that roam between them, and
// records what the callers saw for the checkers of package history.
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

// Options describe a workload on one database.
type Options struct {
	Name      string // of the run; part of all keys, so that runs on one database keep apart
	Database  string
	WriteKind string // kind of work of writes
	ReadKind  string // kind of work of reads
	Callers   int
	// RoamEvery is the number of operations after which a caller connects to
	// another proxy; WriteEvery is the number of operations of which one writes.
	RoamEvery  int
	WriteEvery int
	// ListEvery is the number of operations of which one reads all rows; 0: none.
	ListEvery int
	// SharedEvery is the number of operations of which one is on a key shared
	// by all callers, over a connection of its own; 0: none.
	SharedEvery int
	Keys        int           // keys of each caller
	Padding     int           // bytes of padding in each value
	Pause       time.Duration // between the operations of a caller
	OpTimeout   time.Duration // longest time for one operation
	Seed        uint64
	SeededKeys  []string // rows that every list must hold
}

// DefaultOptions returns a small workload on a database of bright-spokes.
func DefaultOptions() Options {
	return Options{
		Database:    "orders1",
		WriteKind:   "orders",
		ReadKind:    "stock",
		Callers:     8,
		RoamEvery:   5,
		WriteEvery:  3,
		ListEvery:   15,
		SharedEvery: 6,
		Keys:        3,
		Padding:     100,
		OpTimeout:   20 * time.Second,
		Seed:        1,
	}
}

// sharedKeys is the number of keys that all callers write.
const sharedKeys = 3

// Workload is a set of callers. Create it with New.
type Workload struct {
	options  Options
	proxies  func() []string // callers' addresses of the proxies in use
	recorder *history.Recorder

	mu         sync.Mutex // guards the fields below
	rows       map[string]int
	violations []history.Violation

	sequence atomic.Uint64
	counts   Counts
}

// Counts are totals of operations by outcome.
type Counts struct {
	Reads, Writes                              atomic.Int64
	OK, NotRun, Failed, Unknown, ConnectFailed atomic.Int64
}

// New returns a workload on the proxies that the function lists at any time.
func New(o Options, proxies func() []string) *Workload {
	return &Workload{options: o, proxies: proxies, recorder: history.NewRecorder(), rows: map[string]int{}}
}

// Run runs all callers until the context ends; operations in progress finish.
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

// Operations returns what the callers recorded.
func (w *Workload) Operations() []history.Operation { return w.recorder.Operations() }

// Rows returns the number of rows that each transaction wrote, by tag.
func (w *Workload) Rows() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	rows := make(map[string]int, len(w.rows))
	for k, v := range w.rows {
		rows[k] = v
	}
	return rows
}

// Violations returns what the callers found in answers on their own.
func (w *Workload) Violations() []history.Violation {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]history.Violation(nil), w.violations...)
}

// Counts returns the running totals.
func (w *Workload) Counts() *Counts { return &w.counts }

func (w *Workload) found(v []history.Violation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, v...)
}

// newTag returns a unique name for a transaction of the given number of rows.
func (w *Workload) newTag(caller, rows int) string {
	tag := fmt.Sprintf("%sc%d-%d", w.options.Name, caller, w.sequence.Add(1))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rows[tag] = rows
	return tag
}

func (w *Workload) add(op history.Operation) {
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
