package home

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"egretroad/internal/admission"
	"egretroad/internal/outcome"
	"egretroad/internal/pool"
	"egretroad/internal/topology"
)

// Range and precision of the histograms, in microseconds and digits.
const (
	histogramMinUS  = 1
	histogramMaxUS  = 60_000_000
	histogramDigits = 2
)

// kindStats counts one kind's work at one server. It is guarded by the gate's mutex.
type kindStats struct {
	offered  uint64
	admitted uint64
	refused  map[outcome.Reason]uint64
	wait     *hdrhistogram.Histogram // in the queue, new work
	latency  *hdrhistogram.Histogram // of a batch, from its arrival here
	batches  uint64
	failures uint64 // batches without an answer
}

func newKindStats() *kindStats {
	return &kindStats{
		refused: make(map[outcome.Reason]uint64),
		wait:    hdrhistogram.New(histogramMinUS, histogramMaxUS, histogramDigits),
		latency: hdrhistogram.New(histogramMinUS, histogramMaxUS, histogramDigits),
	}
}

func (k *kindStats) count(effect admission.Effect, isNew bool) {
	if effect.Type == admission.EffectRefuse {
		k.refused[effect.Reason]++
		return
	}
	if isNew {
		k.admitted++
		_ = k.wait.RecordValue(clampUS(effect.Wait))
	}
}

func clampUS(d time.Duration) int64 {
	return min(max(d.Microseconds(), histogramMinUS), histogramMaxUS)
}

// KindDump is one kind's counters at one server, for operators. Times are in
// milliseconds.
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

// ServerDump is one server's state, for operators.
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

// Dump returns a []ServerDump.
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
		Server: s.id, Database: s.database, Draining: s.refuse != "",
		Status: s.status.last(), Admission: s.gate.MachineLocked().Status(), Pool: s.pool.Stats(), Live: s.pool.Live(),
	}
	for kind, k := range s.kinds {
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
		WaitP50: float64(k.wait.ValueAtQuantile(50)) / usPerMS,
		WaitP99: float64(k.wait.ValueAtQuantile(99)) / usPerMS,
		P50:     float64(k.latency.ValueAtQuantile(50)) / usPerMS,
		P99:     float64(k.latency.ValueAtQuantile(99)) / usPerMS,
	}
}

// kindOf returns the counters of a kind. The caller holds the
// gate's mutex.
func (s *server) kindOf(kind string) *kindStats {
	k, known := s.kinds[kind]
	if !known {
		k = newKindStats()
		s.kinds[kind] = k
	}
	return k
}
