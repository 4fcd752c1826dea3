// Package metrics provides a Registry of metrics per proxy instance, so that several
// proxies can run in one process without name conflicts. Metrics are served as expvar
// JSON and in the Prometheus text format.
package metrics

import (
	"expvar"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
)

// Registry holds the metrics of one proxy.
type Registry struct {
	vars *expvar.Map
	prom *prometheus.Registry
}

// NewRegistry returns a registry that holds only the metrics of the Go runtime.
func NewRegistry() *Registry { return &Registry{vars: new(expvar.Map).Init(), prom: newProm()} }

// Int returns a new counter under group and name, served in both formats. A counter
// registered earlier under the same name is no longer served.
func (r *Registry) Int(group, name string) *expvar.Int {
	v := new(expvar.Int)
	r.Set(group, name, v)
	r.exportInt(group, name, v)
	return v
}

// Set registers a variable under group and name in the JSON format only.
func (r *Registry) Set(group, name string, v expvar.Var) {
	m, ok := r.vars.Get(group).(*expvar.Map)
	if !ok {
		m = new(expvar.Map).Init()
		r.vars.Set(group, m)
	}
	m.Set(name, v)
}

// String returns all variables as JSON.
func (r *Registry) String() string { return r.vars.String() }

// ServeHTTP writes all variables as JSON.
func (r *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = w.Write([]byte(r.String()))
}
