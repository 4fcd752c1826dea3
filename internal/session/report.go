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

// statementMetrics are the metrics of callers' statements. Labels are limited to those
// with few values (freshness, code, reason), which excludes routes and servers.
type statementMetrics struct {
	statements      *prometheus.CounterVec
	latency         *prometheus.HistogramVec
	queueTime       *prometheus.HistogramVec
	positionAge     *prometheus.HistogramVec
	attempts        *prometheus.CounterVec
	suppressedLines *prometheus.CounterVec
}

// freshnessNone labels statements that were not routed.
const freshnessNone = "none"

func newStatementMetrics(m *metrics.Registry) statementMetrics {
	return statementMetrics{
		statements:      m.Counter("statements_total", "Answers to callers' statements.", "freshness", "code", "reason"),
		latency:         m.Latency("statement_seconds", "Time from a statement's arrival to its answer.", "freshness", "code"),
		queueTime:       m.Latency("statement_queue_seconds", "Time of a statement in the queues of homes, all attempts together.", "freshness"),
		positionAge:     m.Latency("read_position_age_seconds", "Age of the proven position that a read asked its server for."),
		attempts:        m.Counter("attempts_failed_total", "Attempts at a server that led to another one or to a refusal.", "reason"),
		suppressedLines: m.Counter("successes_not_logged_total", "Successes without a log line."),
	}
}

// countUnrouted counts the reply to a statement that was not routed.
func (e *Engine) countUnrouted(code statement.Code) {
	e.metrics.statements.WithLabelValues(freshnessNone, code.String(), "").Inc()
}

// recordUnrouted counts and logs the refusal of a session or statement whose database has no
// entry, with the configuration that was in force.
func (s *session) recordUnrouted(event string, fields ...any) {
	s.engine.countUnrouted(statement.UnknownDatabase)
	snapshot := s.engine.source.Snapshot()
	fields = append(fields, "session", s.id, "database", s.database, "revision", snapshot.Revision)
	s.engine.log.Info(event, append(fields, snapshot.Configuration.LogFields()...)...)
}

// observe records the metrics of a routed statement.
func (x *execution) observe(result broker.Result, reply statement.Reply, took time.Duration) {
	freshness := x.entry.Freshness
	if freshness == "" {
		freshness = catalogue.FreshOwn
	}
	c := &x.session.engine.metrics
	c.statements.WithLabelValues(string(freshness), reply.Code.String(), string(result.Reason)).Inc()
	c.latency.WithLabelValues(string(freshness), reply.Code.String()).Observe(took.Seconds())
	c.queueTime.WithLabelValues(string(freshness)).Observe(x.queueTime.Seconds())
}

// callerName identifies the session to the server queues, which are fair per caller.
func (s *session) callerName() string { return s.engine.self + "/" + strconv.FormatUint(s.id, 10) }

// logStatement records the metrics of a statement and writes its log line. Lines of
// successful statements are rate-limited.
func (x *execution) logStatement(result broker.Result, reply statement.Reply) {
	e := x.session.engine
	took := clock.Boottime() - x.startedAt
	x.observe(result, reply, took)
	if reply.OK() && !e.successLogLimiter.Allow() {
		e.metrics.suppressedLines.WithLabelValues().Inc()
		return
	}
	e.log.Info("statement", "id", x.statement.ID, "session", x.session.id, "database", x.session.database, "group", x.entry.GroupName(),
		"verb", x.statement.Verb, "writes", x.statement.Writes, "txn", x.session.txn != nil, "server", x.server, "via", result.Via,
		"attempts", x.attempts, "after", x.minPosition.Position, "after_term", x.minPosition.Term, "mark", result.Reply.Mark.Position,
		"queued", x.queueTime.Round(time.Microsecond), "ran", x.serverTime.Round(time.Microsecond),
		"total", took.Round(time.Microsecond), "revision", e.source.Snapshot().Revision,
		"outcome", result.Outcome, "code", reply.Code, "reason", result.Reason, "detail", reply.Detail)
}

// logAttempt counts and logs a failed attempt, whether it is retried or not.
func (x *execution) logAttempt(result broker.Result, reason outcome.Reason) {
	x.session.engine.metrics.attempts.WithLabelValues(string(reason)).Inc()
	x.session.engine.log.Info("attempt_failed", "id", x.statement.ID, "session", x.session.id, "server", x.server, "via", result.Via,
		"attempt", x.attempts, "outcome", result.Outcome, "reason", reason, "code", result.Code,
		"waited", result.Waited.Round(time.Microsecond), "ran", result.Ran.Round(time.Microsecond), "detail", result.Detail)
}
