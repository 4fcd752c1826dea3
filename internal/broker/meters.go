package broker

import (
	"github.com/prometheus/client_golang/prometheus"

	"egretroad/internal/clock"
	"egretroad/internal/metrics"
	"egretroad/internal/statement"
)

// homeMetrics are the metrics of the servers that this VM serves.
type homeMetrics struct {
	results         *prometheus.CounterVec
	queueTime       *prometheus.HistogramVec
	runTime         *prometheus.HistogramVec
	connects        *prometheus.CounterVec
	slotsWrittenOff *prometheus.CounterVec
}

func newHomeMetrics(m *metrics.Registry) *homeMetrics {
	return &homeMetrics{
		results:         m.Counter("home_statements_total", "Statements at the servers that this VM serves.", "outcome", "code", "reason"),
		queueTime:       m.Latency("home_queue_seconds", "Time of a statement in a server's queue."),
		runTime:         m.Latency("home_run_seconds", "Time from sending a statement to its server to the answer."),
		connects:        m.Counter("server_connects_total", "Connections opened to servers, by the servers' answer.", "result"),
		slotsWrittenOff: m.Counter("slots_written_off_total", "Slots given to others as an answer was overdue."),
	}
}

// observeResult records the result of a statement.
func (m *homeMetrics) observeResult(r Result) {
	m.results.WithLabelValues(r.Outcome.String(), max(r.Code, r.Reply.Code).String(), string(r.Reason)).Inc()
	m.queueTime.WithLabelValues().Observe(r.Waited.Seconds())
	if r.Ran > 0 {
		m.runTime.WithLabelValues().Observe(r.Ran.Seconds())
	}
}

// observeConnect counts an attempt to connect, labelled with its outcome.
func (m *homeMetrics) observeConnect(err error) {
	switch code := connectRefusalCode(err); {
	case err == nil:
		m.connects.WithLabelValues("ok").Inc()
	case code != statement.NoError:
		m.connects.WithLabelValues(code.String()).Inc()
	default:
		m.connects.WithLabelValues("no_answer").Inc()
	}
}

// Gauges of the servers that this VM serves.
var (
	descWaiting      = metrics.Desc("home_waiting", "Statements and transactions that wait for a slot.", "server")
	descSlots        = metrics.Desc("home_slots_used", "Slots in use.", "server")
	descConnections  = metrics.Desc("home_connections", "Connections open for work.", "server")
	descTransactions = metrics.Desc("home_transactions", "Open transactions.", "server")
	descUnresponsive = metrics.Desc("server_silence_seconds", "Time since the first question that the server left open; 0: it answers.", "server")
	descProofAge     = metrics.Desc("server_proof_age_seconds", "Age of the last proof that the server leads.", "server")
)

// collector reads the gauges at each scrape, so that a server no longer served has none.
type collector struct{ manager *Manager }

// Describe implements prometheus.Collector.
func (c *collector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{descWaiting, descSlots, descConnections, descTransactions, descUnresponsive, descProofAge} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(out chan<- prometheus.Metric) {
	c.manager.mu.Lock()
	servers := make([]*server, 0, len(c.manager.servers))
	for _, s := range c.manager.servers {
		servers = append(servers, s)
	}
	c.manager.mu.Unlock()
	for _, s := range servers {
		s.collect(out)
	}
}

func (s *server) collect(out chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, value float64) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, s.spec.ID)
	}
	now := clock.Boottime()
	unresponsive, _ := s.health.unresponsiveFor(now)
	gauge(descUnresponsive, unresponsive.Seconds())
	if proof, known := s.health.lastProof(now); known {
		gauge(descProofAge, proof.Age.Seconds())
	}
	s.gate.Lock()
	status, transactions := s.gate.MachineLocked().Status(), len(s.lanes)
	s.gate.Unlock()
	gauge(descWaiting, float64(status.Waiting))
	gauge(descSlots, float64(status.UsedSlots))
	gauge(descConnections, float64(status.Connections))
	gauge(descTransactions, float64(transactions))
}
