package session

import (
	"expvar"
	"strconv"
	"sync"
	"time"

	"egretroad/internal/broker"
	"egretroad/internal/clock"
	"egretroad/internal/metrics"
	"egretroad/internal/outcome"
	"egretroad/internal/statement"
)

// counts are the counters of answers by code.
type counts struct {
	mu    sync.Mutex // guards codes
	codes map[statement.Code]uint64
}

func (c *counts) register(m *metrics.Registry) {
	c.codes = map[statement.Code]uint64{}
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

// log writes the line of a statement: every one that did not succeed, and some of
// those that did.
func (w *work) log(result broker.Result, reply statement.Reply) {
	e := w.s.e
	e.count(reply.Code)
	if reply.OK() && e.successes.Add(1)%e.options.LogEvery != 0 {
		return
	}
	e.log.Info("statement", "id", w.st.ID, "session", w.s.id, "database", w.s.database, "group", w.entry.GroupName(),
		"verb", w.st.Verb, "writes", w.st.Writes, "txn", w.s.txn != nil, "server", w.server, "via", result.Via,
		"attempts", w.attempts, "after", w.after.Position, "after_term", w.after.Term, "mark", result.Reply.Mark.Position,
		"queued", w.queued.Round(time.Microsecond), "ran", w.ran.Round(time.Microsecond),
		"total", (clock.Boottime() - w.began).Round(time.Microsecond), "revision", e.source.Snapshot().Revision,
		"outcome", result.Outcome, "code", reply.Code, "reason", result.Reason, "detail", reply.Detail)
}

// logAttempt writes the line of an attempt that leads to another one, or to a
// refusal.
func (w *work) logAttempt(result broker.Result, reason outcome.Reason) {
	w.s.e.log.Info("attempt_failed", "id", w.st.ID, "session", w.s.id, "server", w.server, "via", result.Via,
		"attempt", w.attempts, "outcome", result.Outcome, "reason", reason, "code", result.Code,
		"waited", result.Waited.Round(time.Microsecond), "ran", result.Ran.Round(time.Microsecond), "detail", result.Detail)
}
