package flood

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"egretroad/internal/outcome"
)

// offer is a flow with its arrival rate.
type offer struct {
	flow flow
	rate float64 // requests per second and target
}

// tally counts the outcomes of a flow's requests. Except for answeredInWindow it counts
// only requests that arrived after the warm-up.
type tally struct {
	mu               sync.Mutex
	offered          int
	answered         int // complete answers
	answeredInWindow int // complete answers received in the measured window, whenever requested
	refused          map[outcome.Reason]int
	other            int // failed, or with an unknown outcome
	latency          *hdrhistogram.Histogram
}

// Maximum of the latency histogram in microseconds, and its significant digits.
const (
	latencyMaxUS  = 60_000_000
	latencyDigits = 3
)

func newTally() *tally {
	return &tally{refused: map[outcome.Reason]int{}, latency: hdrhistogram.New(1, latencyMaxUS, latencyDigits)}
}

func (t *tally) record(latency time.Duration, failed bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.offered++
	var notRun *outcome.NotRunError
	switch {
	case errors.As(err, &notRun):
		t.refused[notRun.Reason]++
	case err != nil || failed:
		t.other++
	default:
		t.answered++
		_ = t.latency.RecordValue(min(max(latency.Microseconds(), 1), latencyMaxUS))
	}
}

// recordInWindow counts an answer received in the measured window.
func (t *tally) recordInWindow() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answeredInWindow++
}

// p99 returns the 99th percentile of the latency of complete answers, in milliseconds.
func (t *tally) p99() float64 {
	const usPerMS = 1000
	return float64(t.latency.ValueAtQuantile(99)) / usPerMS
}

// runResult holds the tallies of one run by catalogue entry.
type runResult struct {
	tallies map[string]*tally
	length  time.Duration
	slots   int // sum over all targets
}

// slotShare returns the share of the slot time that a flow's answers used. It counts
// answers by the time of receipt.
func (r *runResult) slotShare(f flow) float64 {
	t := r.tallies[f.entry.Name]
	return float64(t.answeredInWindow) * f.service.Seconds() / (r.length.Seconds() * float64(r.slots))
}

// answeredShare returns the share of an entry's requests that were answered.
func (r *runResult) answeredShare(entry string) float64 {
	t := r.tallies[entry]
	return float64(t.answered) / float64(max(1, t.offered))
}

// runner offers the same load to each of its targets.
type runner struct {
	targets []*target
	seed    uint64
	nextKey int // first key of the next run's writes; keeps keys unique

	mu     sync.Mutex
	notRun map[int]bool // keys of writes that were refused as not run
}

// warmUp is the initial part of each run whose arrivals are not counted.
const warmUp = 500 * time.Millisecond

// run offers load for the warm-up and the given length, and waits for all responses.
func (r *runner) run(offers []offer, length time.Duration) *runResult {
	res := &runResult{tallies: map[string]*tally{}, length: length, slots: len(r.targets) * r.targets[0].deployment.slots}
	for _, o := range offers {
		res.tallies[o.flow.entry.Name] = newTally()
	}
	var arrivals, requests sync.WaitGroup
	start := time.Now()
	for _, t := range r.targets {
		for _, o := range offers {
			r.seed++
			rng := rand.New(rand.NewPCG(r.seed, 0))
			firstKey := r.nextKey
			r.nextKey += 1_000_000
			arrivals.Add(1)
			go func() {
				defer arrivals.Done()
				r.issueRequests(t, o, res.tallies[o.flow.entry.Name], rng, firstKey, start, length, &requests)
			}()
		}
	}
	arrivals.Wait()
	requests.Wait()
	return res
}

// issueRequests starts requests at the arrivals of a Poisson process.
func (r *runner) issueRequests(t *target, o offer, flowTally *tally, rng *rand.Rand, key int, start time.Time, length time.Duration, requests *sync.WaitGroup) {
	at := time.Duration(0)
	for {
		at += time.Duration(rng.ExpFloat64() / o.rate * float64(time.Second))
		if at > warmUp+length {
			return
		}
		time.Sleep(time.Until(start.Add(at)))
		key++
		requestKey, due := key, start.Add(at)
		afterWarmUp := at > warmUp
		requests.Add(1)
		go func() {
			defer requests.Done()
			failed, err := r.send(t, o.flow, requestKey)
			if afterWarmUp {
				flowTally.record(time.Since(due), failed, err)
			}
			if after := time.Since(start) - warmUp; err == nil && !failed && after > 0 && after <= length {
				flowTally.recordInWindow()
			}
		}()
	}
}

func (r *runner) send(t *target, f flow, key int) (failed bool, err error) {
	defer func() { r.recordNotRun(f, key, err) }()
	lane, err := t.manager.Open(context.Background(), f.request())
	if err != nil {
		return false, err
	}
	defer lane.Close()
	result, err := lane.Run(context.Background(), f.batch(key), func([]byte) error { return nil })
	return result.Failed, err
}

// recordNotRun records the keys of writes that were refused as not run.
func (r *runner) recordNotRun(f flow, key int, err error) {
	var notRun *outcome.NotRunError
	if f.entry.Name != "orders" || !errors.As(err, &notRun) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notRun[key] = true
}

// countNotRunStored counts the writes that were refused as not run but are stored at a
// primary.
func (r *runner) countNotRunStored() int {
	stored := 0
	for _, t := range r.targets {
		data := t.group.Server(primaryID).Data()
		for key := range r.notRun {
			if _, found := data[strconv.Itoa(key)]; found {
				stored++
			}
		}
	}
	return stored
}
