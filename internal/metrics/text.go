package metrics

import (
	"expvar"
	"net/http"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// namespace is the prefix of every metric name in the text format.
const namespace = "egretroad"

// Buckets are the upper bounds of latency histograms, in seconds. They range from a
// statement that does not wait to the longest deadline.
var Buckets = []float64{0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10}

// newProm returns a Prometheus registry with the metrics of the Go runtime.
func newProm() *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector())
	return r
}

// Collect registers collectors in the text format. It panics if a name is registered twice.
func (r *Registry) Collect(cs ...prometheus.Collector) { r.prom.MustRegister(cs...) }

// Counter registers a counter with the given labels in the text format.
func (r *Registry) Counter(name, help string, labels ...string) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	r.Collect(c)
	return c
}

// Latency registers a histogram of seconds with the given labels in the text format.
func (r *Registry) Latency(name, help string, labels ...string) *prometheus.HistogramVec {
	h := prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: Buckets}, labels)
	r.Collect(h)
	return h
}

// Gauge registers a gauge in the text format. value is called at each collection.
func (r *Registry) Gauge(name, help string, value func() float64) {
	r.Collect(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, value))
}

// Desc returns the description of a metric for a custom prometheus.Collector.
func Desc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, labels, nil)
}

// Text returns a handler that serves all metrics in the Prometheus text format.
func (r *Registry) Text() http.Handler { return promhttp.HandlerFor(r.prom, promhttp.HandlerOpts{}) }

// Names returns the names of all metrics with the namespace prefix that have values.
func (r *Registry) Names() ([]string, error) {
	families, err := r.prom.Gather()
	if err != nil {
		return nil, err
	}
	var names []string
	for _, f := range families {
		if strings.HasPrefix(f.GetName(), namespace) {
			names = append(names, f.GetName())
		}
	}
	return names, nil
}

// exportInt also serves an expvar counter in the text format.
func (r *Registry) exportInt(group, name string, v *expvar.Int) {
	f := prometheus.NewUntypedFunc(prometheus.UntypedOpts{
		Namespace: namespace, Subsystem: group, Name: name, Help: group + ": " + strings.ReplaceAll(name, "_", " "),
	}, func() float64 { return float64(v.Value()) })
	r.prom.Unregister(f) // the latest counter of a name replaces earlier ones
	r.Collect(f)
}
