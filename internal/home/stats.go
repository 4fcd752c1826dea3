package home

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"egretroad/internal/admission"
	"egretroad/internal/outcome"
	"egretroad/internal/pool"
	"egretroad/internal/topology"
)

// Range of the histograms, in microseconds, and number of significant digits.
const (
	histogramMinUS  = 1
	histogramMaxUS  = 60_000_000
	histogramDigits = 2
)

// kindStats holds the counters and latency histograms of one request kind on one
// server. It is guarded by the gate's mutex.
type kindStats struct {
	offered   uint64
	admitted  uint64
	refused   map[outcome.Reason]uint64
	queueWait *hdrhistogram.Histogram // time of new requests in the queue
	latency   *hdrhistogram.Histogram // of a batch, from its arrival at this home
	batches   uint64
	failures  uint64 // batches that returned an error
}

func newKindStats() *kindStats {
	return &kindStats{
		refused:   make(map[outcome.Reason]uint64),
		queueWait: hdrhistogram.New(histogramMinUS, histogramMaxUS, histogramDigits),
		latency:   hdrhistogram.New(histogramMinUS, histogramMaxUS, histogramDigits),
	}
}

func (k *kindStats) recordEffect(effect admission.Effect, isNew bool) {
	if effect.Type == admission.EffectRefuse {
		k.refused[effect.Reason]++
		return
	}
	if isNew {
		k.admitted++
		_ = k.queueWait.RecordValue(clampUS(effect.Wait))
	}
}

func clampUS(d time.Duration) int64 {
	return min(max(d.Microseconds(), histogramMinUS), histogramMaxUS)
}

// KindDump is the exported form of one kind's statistics on one server, for
// operators. Times are in milliseconds.
type KindDump struct {
	Kind     string                    `json:"kind"`
	Offered  uint64                    `json:"offered"`
	Admitted uint64                    `json:"admitted"`
	Refused  map[outcome.Reason]uint64 `json:"refused"`
	Batches  uint64                    `json:"batches"`
	Failures uint64                    `json:"failures"`
	WaitP50  float64                   `json:"waitP50Ms"`
	WaitP99  float64                   `json:"waitP99Ms"`
	P50      float64                   `json:"p50Ms"`
	P99      float64                   `json:"p99Ms"`
}

// ServerDump is the exported state of one server, for operators.
type ServerDump struct {
	Server    string                `json:"server"`
	Database  string                `json:"database"`
	Draining  bool                  `json:"draining,omitempty"`
	Status    topology.ServerStatus `json:"status"`
	Admission admission.Status      `json:"admission"`
	Pool      pool.Stats            `json:"pool"`
	Live      int                   `json:"liveConnections"`
	Kinds     []KindDump            `json:"kinds"`
}

// Dump returns the state of all servers, including draining ones, as a []ServerDump.
func (m *Manager) Dump() any {
	m.mu.RLock()
	servers := make([]*server, 0, len(m.servers)+len(m.draining))
	for _, s := range m.servers {
		servers = append(servers, s)
	}
	for s := range m.draining {
		servers = append(servers, s)
	}
	m.mu.RUnlock()
	dumps := make([]ServerDump, 0, len(servers))
	for _, s := range servers {
		dumps = append(dumps, s.dump())
	}
	return dumps
}

func (s *server) dump() ServerDump {
	s.gate.Lock()
	defer s.gate.Unlock()
	d := ServerDump{
		Server: s.id, Database: s.database, Draining: s.drainReason != "",
		Status: s.status.latest(), Admission: s.gate.MachineLocked().Status(), Pool: s.pool.Stats(), Live: s.pool.Live(),
	}
	for kind, k := range s.statsByKind {
		d.Kinds = append(d.Kinds, k.dump(kind))
	}
	return d
}

func (k *kindStats) dump(kind string) KindDump {
	const usPerMS = 1000
	refused := make(map[outcome.Reason]uint64, len(k.refused))
	for reason, n := range k.refused {
		refused[reason] = n
	}
	return KindDump{
		Kind: kind, Offered: k.offered, Admitted: k.admitted, Refused: refused,
		Batches: k.batches, Failures: k.failures,
		WaitP50: float64(k.queueWait.ValueAtQuantile(50)) / usPerMS,
		WaitP99: float64(k.queueWait.ValueAtQuantile(99)) / usPerMS,
		P50:     float64(k.latency.ValueAtQuantile(50)) / usPerMS,
		P99:     float64(k.latency.ValueAtQuantile(99)) / usPerMS,
	}
}

// statsFor returns the statistics of a kind, which it creates on first use. The
// caller holds the gate's mutex.
func (s *server) statsFor(kind string) *kindStats {
	k, known := s.statsByKind[kind]
	if !known {
		k = newKindStats()
		s.statsByKind[kind] = k
	}
	return k
}
