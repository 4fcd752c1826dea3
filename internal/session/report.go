package session

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"egretroad/internal/broker"
	"egretroad/internal/catalogue"
	"egretroad/internal/clock"
	"egretroad/internal/metrics"
	"egretroad/internal/outcome"
	"egretroad/internal/statement"
)

// counts are the metrics of callers' statements. Their labels have few values:
// freshness, codes and reasons, not routes or servers.
type counts struct {
	statements  *prometheus.CounterVec
	latency     *prometheus.HistogramVec
	queued      *prometheus.HistogramVec
	positionAge *prometheus.HistogramVec
	attempts    *prometheus.CounterVec
	leftOut     *prometheus.CounterVec
}

// freshnessNone labels statements that reached no route.
const freshnessNone = "none"

func newCounts(m *metrics.Registry) counts {
	return counts{
		statements:  m.Counter("statements_total", "Answers to callers' statements.", "freshness", "code", "reason"),
		latency:     m.Latency("statement_seconds", "Time from a statement's arrival to its answer.", "freshness", "code"),
		queued:      m.Latency("statement_queue_seconds", "Time of a statement in the queues of homes, all attempts together.", "freshness"),
		positionAge: m.Latency("read_position_age_seconds", "Age of the proven position that a read asked its server for."),
		attempts:    m.Counter("attempts_failed_total", "Attempts at a server that led to another one or to a refusal.", "reason"),
		leftOut:     m.Counter("successes_not_logged_total", "Successes without a log line."),
	}
}

// count counts an answer to a statement without a route.
func (e *Engine) count(code statement.Code) {
	e.counts.statements.WithLabelValues(freshnessNone, code.String(), "").Inc()
}

// observe counts a statement's answer.
func (w *work) observe(result broker.Result, reply statement.Reply, took time.Duration) {
	freshness := w.entry.Freshness
	if freshness == "" {
		freshness = catalogue.FreshOwn
	}
	c := &w.s.e.counts
	c.statements.WithLabelValues(string(freshness), reply.Code.String(), string(result.Reason)).Inc()
	c.latency.WithLabelValues(string(freshness), reply.Code.String()).Observe(took.Seconds())
	c.queued.WithLabelValues(string(freshness)).Observe(w.queued.Seconds())
}

// name names the session for the queue's fairness and the log.
func (s *session) name() string { return s.e.self + "/" + strconv.FormatUint(s.id, 10) }

// log writes the line of a statement: of each one that did not succeed, and of those
// that did within the bound on their number.
func (w *work) log(result broker.Result, reply statement.Reply) {
	e := w.s.e
	took := clock.Boottime() - w.began
	w.observe(result, reply, took)
	if reply.OK() && !e.successLines.Allow() {
		e.counts.leftOut.WithLabelValues().Inc()
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
	w.s.e.counts.attempts.WithLabelValues(string(reason)).Inc()
	w.s.e.log.Info("attempt_failed", "id", w.st.ID, "session", w.s.id, "server", w.server, "via", result.Via,
		"attempt", w.attempts, "outcome", result.Outcome, "reason", reason, "code", result.Code,
		"waited", result.Waited.Round(time.Microsecond), "ran", result.Ran.Round(time.Microsecond), "detail", result.Detail)
}
