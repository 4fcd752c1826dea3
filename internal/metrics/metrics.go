// Package metrics groups metrics by process instance, so that several proxies can
// run in one process without sharing names. They are served as expvar variables and
// in the text format of the usual collectors.
package metrics

import (
	"expvar"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
)

// Registry holds the metrics of one proxy.
type Registry struct {
	root *expvar.Map
	text *prometheus.Registry
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{root: new(expvar.Map).Init(), text: newText()} }

// Int returns a new counter under group and name.
func (r *Registry) Int(group, name string) *expvar.Int {
	v := new(expvar.Int)
	r.Set(group, name, v)
	r.exportInt(group, name, v)
	return v
}

// Set registers a variable under group and name.
func (r *Registry) Set(group, name string, v expvar.Var) {
	m, ok := r.root.Get(group).(*expvar.Map)
	if !ok {
		m = new(expvar.Map).Init()
		r.root.Set(group, m)
	}
	m.Set(name, v)
}

// String returns all variables as JSON.
func (r *Registry) String() string { return r.root.String() }

// ServeHTTP writes all variables as JSON.
func (r *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = w.Write([]byte(r.String()))
}
