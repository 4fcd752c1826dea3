package gateway

import (
	"errors"
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"egretroad/internal/metrics"
	"egretroad/internal/outcome"
)

// Bounds of the latency histograms.
const (
	maxLatencyMicros  = int64(time.Hour / time.Microsecond)
	latencyPrecision  = 2 // significant digits
	metricsGroup      = "gateway"
	percentileMedian  = 50
	percentileHigh    = 99
	percentileHighest = 99.9
)

// counters holds the metrics of a gateway.
type counters struct {
	protocolErrors  *expvar.Int
	panics          *expvar.Int
	marksLost       *expvar.Int // errors that reported a write dropped by a failover
	positionQueries *expvar.Int // log position queries for new sessions without a mark
	retries         *expvar.Int
	retriesRefused  *expvar.Int // retries refused because the retry budget was empty
	kinds           sync.Map    // entry name -> *kindCounters
}

// kindCounters counts the requests of one catalogue entry by outcome.
type kindCounters struct {
	offered  atomic.Int64
	answered atomic.Int64 // a server responded, with a result or an error
	unknown  atomic.Int64
	refused  atomic.Int64 // rejected by the gateway itself
	primary  atomic.Int64 // reads served by the primary
	replica  atomic.Int64 // reads served by a replica

	mu      sync.Mutex // guards the fields below
	notRun  map[outcome.Reason]int64
	latency *hdrhistogram.Histogram // microseconds, of answered requests
}

// KindStats is a snapshot of the counters of one catalogue entry. Latencies are in
// microseconds.
type KindStats struct {
	Offered       int64                    `json:"offered"`
	Answered      int64                    `json:"answered"`
	Unknown       int64                    `json:"unknown"`
	Refused       int64                    `json:"refused"`
	NotRun        map[outcome.Reason]int64 `json:"notRun"`
	ReadsPrimary  int64                    `json:"readsPrimary"`
	ReadsReplica  int64                    `json:"readsReplica"`
	LatencyP50us  int64                    `json:"latencyP50Us"`
	LatencyP99us  int64                    `json:"latencyP99Us"`
	LatencyP999us int64                    `json:"latencyP999Us"`
}

func newCounters(r *metrics.Registry, g *Gateway) *counters {
	c := &counters{
		protocolErrors:  r.Int(metricsGroup, "protocol_errors"),
		panics:          r.Int(metricsGroup, "session_panics"),
		marksLost:       r.Int(metricsGroup, "marks_lost"),
		positionQueries: r.Int(metricsGroup, "position_queries"),
		retries:         r.Int(metricsGroup, "retries"),
		retriesRefused:  r.Int(metricsGroup, "retries_refused_by_budget"),
	}
	gauge := func(name string, f func() any) { r.Set(metricsGroup, name, expvar.Func(f)) }
	gauge("sessions", func() any { return g.sessionCount() })
	gauge("waiting", func() any { return g.waiting.Load() })
	gauge("buffered_bytes", func() any { return g.memory.Used() })
	gauge("kinds", func() any { return c.stats() })
	return c
}

func (c *counters) forEntry(entry string) *kindCounters {
	if k, ok := c.kinds.Load(entry); ok {
		return k.(*kindCounters)
	}
	k, _ := c.kinds.LoadOrStore(entry, &kindCounters{
		notRun:  map[outcome.Reason]int64{},
		latency: hdrhistogram.New(1, maxLatencyMicros, latencyPrecision),
	})
	return k.(*kindCounters)
}

// stats returns a snapshot of the counters by entry name.
func (c *counters) stats() map[string]KindStats {
	all := map[string]KindStats{}
	c.kinds.Range(func(name, k any) bool {
		all[name.(string)] = k.(*kindCounters).stats()
		return true
	})
	return all
}

func (k *kindCounters) stats() KindStats {
	k.mu.Lock()
	defer k.mu.Unlock()
	notRun := make(map[outcome.Reason]int64, len(k.notRun))
	for reason, n := range k.notRun {
		notRun[reason] = n
	}
	return KindStats{
		Offered: k.offered.Load(), Answered: k.answered.Load(), Unknown: k.unknown.Load(), Refused: k.refused.Load(),
		NotRun: notRun, ReadsPrimary: k.primary.Load(), ReadsReplica: k.replica.Load(),
		LatencyP50us:  k.latency.ValueAtPercentile(percentileMedian),
		LatencyP99us:  k.latency.ValueAtPercentile(percentileHigh),
		LatencyP999us: k.latency.ValueAtPercentile(percentileHighest),
	}
}

// countOutcome counts a finished request by its outcome.
func (s *session) countOutcome(r *request, err error) {
	k := s.gateway.counters.forEntry(r.entry.Name)
	k.offered.Add(1)
	var notRun *outcome.NotRunError
	var unknown *outcome.UnknownError
	switch {
	case err == nil:
		k.recordAnswered(r)
	case errors.As(err, &notRun):
		k.mu.Lock()
		k.notRun[notRun.Reason]++
		k.mu.Unlock()
	case errors.As(err, &unknown):
		k.unknown.Add(1)
	default:
		k.refused.Add(1)
	}
}

func (k *kindCounters) recordAnswered(r *request) {
	k.answered.Add(1)
	if r.entry.Access == "read" && r.lastServer != "" {
		if r.toPrimary {
			k.primary.Add(1)
		} else {
			k.replica.Add(1)
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	// Values above the histogram's maximum are dropped; deadlines are shorter than that.
	_ = k.latency.RecordValue(time.Since(r.startedAt).Microseconds())
}

// Dump is a snapshot of the gateway's state for operators.
type Dump struct {
	Sessions      int                   `json:"sessions"`
	InProgress    int                   `json:"inProgress"` // sessions with a request in progress
	Draining      bool                  `json:"draining"`
	Waiting       int64                 `json:"waiting"`
	BufferedBytes int64                 `json:"bufferedBytes"`
	Kinds         map[string]KindStats  `json:"kinds"`
	Servers       map[string]ServerDump `json:"servers"`
}

// ServerDump is the gateway's latest status of one server.
type ServerDump struct {
	Role       string  `json:"role"`
	Term       uint64  `json:"term"`
	Position   uint64  `json:"position"`
	LagMS      float64 `json:"lagMs"`
	AgeMS      float64 `json:"ageMs"` // age of the status
	InRotation bool    `json:"inRotation"`
	Refusals   int     `json:"refusals"`
}

// Dump returns a Dump, to be encoded as JSON.
func (g *Gateway) Dump() any {
	return Dump{
		Sessions: g.sessionCount(), InProgress: g.inProgressCount(), Draining: g.draining.Load(),
		Waiting: g.waiting.Load(), BufferedBytes: g.memory.Used(),
		Kinds: g.counters.stats(), Servers: g.dumpServers(),
	}
}

func (g *Gateway) inProgressCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	inProgress := 0
	for _, s := range g.sessions {
		s.mu.Lock()
		if s.inProgress {
			inProgress++
		}
		s.mu.Unlock()
	}
	return inProgress
}

func (g *Gateway) dumpServers() map[string]ServerDump {
	g.routesMu.Lock()
	defer g.routesMu.Unlock()
	now := g.deps.Now()
	servers := map[string]ServerDump{}
	for id, s := range g.routingTable.Servers() {
		servers[id] = ServerDump{
			Role: string(s.Status.Role), Term: s.Status.Term, Position: s.Status.Position,
			LagMS: millis(s.Status.Lag), AgeMS: millis(now - s.StatusAt), InRotation: !s.OutOfRotation, Refusals: s.BehindRefusals,
		}
	}
	return servers
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
