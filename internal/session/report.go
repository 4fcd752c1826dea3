package session

import (
	"expvar"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"egretroad/internal/broker"
	"egretroad/internal/clock"
	"egretroad/internal/metrics"
	"egretroad/internal/outcome"
	"egretroad/internal/statement"
)

// counts are the counters of answers by code, and the latencies by entry.
type counts struct {
	mu      sync.Mutex // guards the fields below
	codes   map[statement.Code]uint64
	latency map[string]*hdrhistogram.Histogram // of statements, by catalogue entry
	unsaid  uint64                             // successes without a log line
}

// leftOut counts a success without a log line.
func (c *counts) leftOut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unsaid++
}

// Bounds of the latency histograms.
const (
	maxLatencyUS   = int64(60_000_000)
	latencyDigits  = 2
	maxLatencyKeys = 64 // entries with a histogram of their own; the others share one
	otherEntries   = "other"
)

// observe records a statement's latency.
func (c *counts) observe(entry string, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.latency[entry]
	if h == nil {
		if len(c.latency) >= maxLatencyKeys {
			entry = otherEntries
		}
		if h = c.latency[entry]; h == nil {
			h = hdrhistogram.New(1, maxLatencyUS, latencyDigits)
			c.latency[entry] = h
		}
	}
	_ = h.RecordValue(min(max(took.Microseconds(), 1), maxLatencyUS)) // within the bounds
}

// latencies returns the histograms' figures in microseconds.
func (c *counts) latencies() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]map[string]int64, len(c.latency))
	for entry, h := range c.latency {
		out[entry] = map[string]int64{
			"count": h.TotalCount(), "p50": h.ValueAtQuantile(50), "p90": h.ValueAtQuantile(90),
			"p99": h.ValueAtQuantile(99), "max": h.Max(),
		}
	}
	return out
}

func (c *counts) register(m *metrics.Registry) {
	c.codes, c.latency = map[statement.Code]uint64{}, map[string]*hdrhistogram.Histogram{}
	m.Set("sessions", "successes_not_logged", expvar.Func(func() any {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.unsaid
	}))
	m.Set("sessions", "latency_us", expvar.Func(c.latencies))
	m.Set("sessions", "answers", expvar.Func(func() any {
		c.mu.Lock()
		defer c.mu.Unlock()
		out := make(map[string]uint64, len(c.codes))
		for code, n := range c.codes {
			out[code.String()] = n
		}
		return out
	}))
}

// count counts an answer.
func (e *Engine) count(code statement.Code) {
	e.counts.mu.Lock()
	defer e.counts.mu.Unlock()
	e.counts.codes[code]++
}

// name names the session for the queue's fairness and the log.
func (s *session) name() string { return s.e.self + "/" + strconv.FormatUint(s.id, 10) }

// log writes the line of a statement: of each one that did not succeed, and of those
// that did within the bound on their number.
func (w *work) log(result broker.Result, reply statement.Reply) {
	e := w.s.e
	took := clock.Boottime() - w.began
	e.count(reply.Code)
	e.counts.observe(w.entry.Name, took)
	if reply.OK() && !e.successLines.Allow() {
		e.counts.leftOut()
		return
	}
	e.log.Info("statement", "id", w.st.ID, "session", w.s.id, "database", w.s.database, "group", w.entry.GroupName(),
		"verb", w.st.Verb, "writes", w.st.Writes, "txn", w.s.txn != nil, "server", w.server, "via", result.Via,
		"attempts", w.attempts, "after", w.after.Position, "after_term", w.after.Term, "mark", result.Reply.Mark.Position,
		"queued", w.queued.Round(time.Microsecond), "ran", w.ran.Round(time.Microsecond),
		"total", took.Round(time.Microsecond), "revision", e.source.Snapshot().Revision,
		"outcome", result.Outcome, "code", reply.Code, "reason", result.Reason, "detail", reply.Detail)
}

// logAttempt writes the line of an attempt that leads to another one, or to a
// refusal.
func (w *work) logAttempt(result broker.Result, reason outcome.Reason) {
	w.s.e.log.Info("attempt_failed", "id", w.st.ID, "session", w.s.id, "server", w.server, "via", result.Via,
		"attempt", w.attempts, "outcome", result.Outcome, "reason", reason, "code", result.Code,
		"waited", result.Waited.Round(time.Microsecond), "ran", result.Ran.Round(time.Microsecond), "detail", result.Detail)
}
