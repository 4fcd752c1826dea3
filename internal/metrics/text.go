package metrics

import (
	"expvar"
	"net/http"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// namespace begins the name of every metric in the text format.
const namespace = "egretroad"

// Buckets are the upper bounds of latency histograms, in seconds: from a statement
// without a wait to the longest deadline.
var Buckets = []float64{0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10}

// newText returns a registry of the text format with the runtime's own metrics.
func newText() *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector())
	return r
}

// Collect adds collectors to the text format. Each name may be added once.
func (r *Registry) Collect(all ...prometheus.Collector) { r.text.MustRegister(all...) }

// Counter returns a counter in the text format with the given labels.
func (r *Registry) Counter(name, help string, labels ...string) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	r.Collect(c)
	return c
}

// Latency returns a histogram of seconds in the text format with the given labels.
func (r *Registry) Latency(name, help string, labels ...string) *prometheus.HistogramVec {
	h := prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: Buckets}, labels)
	r.Collect(h)
	return h
}

// Gauge adds a value that is read at each collection.
func (r *Registry) Gauge(name, help string, value func() float64) {
	r.Collect(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, value))
}

// Desc describes a metric of a collector of its own.
func Desc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, labels, nil)
}

// Text serves all metrics in the collectors' text format.
func (r *Registry) Text() http.Handler { return promhttp.HandlerFor(r.text, promhttp.HandlerOpts{}) }

// Names returns the names of all metrics of the product that have values.
func (r *Registry) Names() ([]string, error) {
	families, err := r.text.Gather()
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

// exportInt shows an expvar counter in the text format as well.
func (r *Registry) exportInt(group, name string, v *expvar.Int) {
	f := prometheus.NewUntypedFunc(prometheus.UntypedOpts{
		Namespace: namespace, Subsystem: group, Name: name, Help: group + ": " + strings.ReplaceAll(name, "_", " "),
	}, func() float64 { return float64(v.Value()) })
	r.text.Unregister(f) // the newer of two of a name counts
	r.Collect(f)
}
