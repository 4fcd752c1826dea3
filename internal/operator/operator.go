// Package operator implements the HTTP server on a proxy's operator address. It
// serves metrics, the state dump, the readiness check and Go profiles. The address
// is on loopback unless configured otherwise, and is not meant for callers.
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

// URL paths of the operator address.
const (
	PathMetrics = "/debug/vars" // expvar variables as JSON
	PathText    = "/metrics"    // metrics in the text format that collectors scrape
	PathDump    = "/dump"       // state of every component as JSON
	PathReady   = "/ready"      // 200 if the proxy serves callers, else 503

	PathProfiles = "/debug/pprof/" // Go profiles
)

// readHeaderTimeout limits the time to read a request's header.
const readHeaderTimeout = 2 * time.Second

// Server is the HTTP server of the operator address. Its methods are safe for
// concurrent use.
type Server struct {
	httpServer *http.Server
	log        hclog.Logger
	mu         sync.Mutex // guards sections and ready
	sections   map[string]func() any
	ready      func() bool
}

// New returns a server with metrics handlers for PathMetrics and PathText. It is not
// ready until SetReady provides a readiness check.
func New(jsonMetrics, textMetrics http.Handler, log hclog.Logger) *Server {
	s := &Server{log: log, sections: map[string]func() any{}, ready: func() bool { return false }}
	mux := http.NewServeMux()
	mux.Handle("GET "+PathMetrics, jsonMetrics)
	mux.Handle("GET "+PathText, textMetrics)
	mux.HandleFunc("GET "+PathDump, s.serveDump)
	mux.HandleFunc("GET "+PathReady, s.serveReady)
	mux.HandleFunc("GET "+PathProfiles, pprof.Index)
	mux.HandleFunc("GET "+PathProfiles+"profile", pprof.Profile)
	s.httpServer = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	return s
}

// AddSection adds a component to the state dump. dump returns a value that
// encoding/json can encode, and is called on every request.
func (s *Server) AddSection(name string, dump func() any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sections[name] = dump
}

// SetReady sets the readiness check for PathReady.
func (s *Server) SetReady(ready func() bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ready = ready
}

// Start serves on listener in the background until Stop.
func (s *Server) Start(listener net.Listener) {
	go func() {
		if err := s.httpServer.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			s.log.Error("operator_server_failed", "error", err)
		}
	}()
}

// Stop shuts down gracefully: requests in progress may finish until ctx ends.
func (s *Server) Stop(ctx context.Context) error { return s.httpServer.Shutdown(ctx) }

// Dump returns the current state of every section.
func (s *Server) Dump() map[string]any {
	s.mu.Lock()
	sections := make(map[string]func() any, len(s.sections))
	for name, dump := range s.sections {
		sections[name] = dump
	}
	s.mu.Unlock()
	state := make(map[string]any, len(sections))
	for name, dump := range sections {
		state[name] = dump()
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
	_, _ = w.Write(append(raw, '\n')) // the client may have disconnected
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	ready := s.ready
	s.mu.Unlock()
	if !ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n")) // the client may have disconnected
}
