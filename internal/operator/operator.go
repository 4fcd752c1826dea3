// Package operator serves the operator address of a proxy over HTTP: metrics,
// the state dump and readiness. It is bound to loopback unless the settings say
// otherwise, and callers never reach it.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/pprof"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Paths of the operator address.
const (
	PathMetrics = "/debug/vars" // expvar variables as JSON
	PathText    = "/metrics"    // metrics in the collectors' text format
	PathDump    = "/dump"       // state of every component as JSON
	PathReady   = "/ready"      // 200 once the proxy serves callers, else 503

	PathProfiles = "/debug/pprof/" // Go profiles
)

// readHeaderTimeout bounds the wait for a request's header.
const readHeaderTimeout = 2 * time.Second

// Server is the HTTP server of the operator address.
type Server struct {
	http    *http.Server
	log     hclog.Logger
	mu      sync.Mutex // guards sections and ready
	section map[string]func() any
	ready   func() bool
}

// New returns a server that serves metrics at PathMetrics and, as text, at PathText.
func New(metrics, text http.Handler, log hclog.Logger) *Server {
	s := &Server{log: log, section: map[string]func() any{}, ready: func() bool { return false }}
	mux := http.NewServeMux()
	mux.Handle("GET "+PathMetrics, metrics)
	mux.Handle("GET "+PathText, text)
	mux.HandleFunc("GET "+PathDump, s.serveDump)
	mux.HandleFunc("GET "+PathReady, s.serveReady)
	mux.HandleFunc("GET "+PathProfiles, pprof.Index)
	mux.HandleFunc("GET "+PathProfiles+"profile", pprof.Profile)
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	return s
}

// AddSection adds a component to the state dump. dump returns a value that
// encoding/json can write.
func (s *Server) AddSection(name string, dump func() any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.section[name] = dump
}

// SetReady sets the function that PathReady asks.
func (s *Server) SetReady(ready func() bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ready = ready
}

// Start serves on listener until Stop.
func (s *Server) Start(listener net.Listener) {
	go func() {
		if err := s.http.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			s.log.Error("operator_server_failed", "error", err)
		}
	}()
}

// Stop ends the server; requests in progress have until ctx ends.
func (s *Server) Stop(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Dump returns every section's state.
func (s *Server) Dump() map[string]any {
	s.mu.Lock()
	sections := make(map[string]func() any, len(s.section))
	for name, f := range s.section {
		sections[name] = f
	}
	s.mu.Unlock()
	state := make(map[string]any, len(sections))
	for name, f := range sections {
		state[name] = f()
	}
	return state
}

func (s *Server) serveDump(w http.ResponseWriter, _ *http.Request) {
	raw, err := json.MarshalIndent(s.Dump(), "", "  ")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = w.Write(append(raw, '\n')) // the client may have gone
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	ready := s.ready
	s.mu.Unlock()
	if !ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n")) // the client may have gone
}
