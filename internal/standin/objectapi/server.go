// Package objectapi is a stand-in of the platform's object API: versioned
// objects, conditional updates, long-poll watches and the lagging list of VMs,
// with outages, slowness and lost answers on command. Every call is counted.
package objectapi

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"egretroad/internal/platform"
	"egretroad/internal/standin/network"
	"egretroad/internal/topology"
)

// DefaultVMLag is the time after which a change of the VM list is visible.
const DefaultVMLag = 2 * time.Second

// Call is a kind of call.
type Call string

// Kinds of calls.
const (
	CallGet    Call = "get"
	CallList   Call = "list"
	CallPut    Call = "put"
	CallDelete Call = "delete"
	CallWatch  Call = "watch"
	CallVMs    Call = "vms"
)

// OutageMode says how calls fail during an outage.
type OutageMode int

// Modes of an outage.
const (
	OutageClose OutageMode = iota // connections are closed without an answer
	OutageHang                    // calls wait until the outage ends, then fail
)

// Server is the stand-in of the object API. Safe for concurrent use.
type Server struct {
	net      *network.Network
	listener net.Listener
	http     *http.Server
	ip       netip.Addr
	store    *store
	mux      *http.ServeMux
	closed   chan struct{}

	mu         sync.Mutex // guards the fields below
	outage     bool
	outageMode OutageMode
	outageEnd  chan struct{} // closed when the outage ends
	slow       time.Duration
	lose       map[Call]int
	counts     map[string]int64
	vmLag      time.Duration
	vms        []vmListing // oldest first; the last visible one is answered
}

// vmListing is a VM list that becomes visible at a time.
type vmListing struct {
	visible time.Time
	list    platform.VMList
}

// ListenError reports an address that the platform could not listen on.
type ListenError struct {
	Addr  string
	Cause error
}

func (e *ListenError) Error() string { return fmt.Sprintf("cannot listen on %s: %v", e.Addr, e.Cause) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// Start serves the API on an IP:port address; port 0 picks a free one.
func Start(addr string, links *network.Network) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, &ListenError{Addr: addr, Cause: err}
	}
	s := &Server{
		net:      links,
		listener: l,
		ip:       l.Addr().(*net.TCPAddr).AddrPort().Addr().Unmap(),
		store:    newStore(),
		mux:      http.NewServeMux(),
		closed:   make(chan struct{}),
		lose:     map[Call]int{},
		counts:   map[string]int64{},
		vmLag:    DefaultVMLag,
	}
	s.routes()
	s.http = &http.Server{Handler: s.mux}
	go func() { _ = s.http.Serve(l) }()
	return s, nil
}

// Addr returns the address that the API listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// URL returns the API's base URL.
func (s *Server) URL() string { return "http://" + s.Addr() }

// Handle adds an endpoint beside the API. It stays reachable in outages.
func (s *Server) Handle(pattern string, h http.Handler) { s.mux.Handle(pattern, h) }

// Close ends the server and every waiting call.
func (s *Server) Close() {
	s.mu.Lock()
	select {
	case <-s.closed:
	default:
		close(s.closed)
	}
	s.mu.Unlock()
	_ = s.http.Close()
}

// SetVMLag sets the time after which later changes of the VM list are visible.
func (s *Server) SetVMLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vmLag = lag
}

// SetVMs changes the list of VMs; the first call is visible at once, later
// ones after the lag.
func (s *Server) SetVMs(vms []topology.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	visible := time.Now()
	if len(s.vms) > 0 {
		visible = visible.Add(s.vmLag)
	}
	list := platform.VMList{Revision: uint64(len(s.vms) + 1), VMs: append([]topology.VM{}, vms...)}
	if n := len(s.vms); n > 0 {
		list.Revision = s.vms[n-1].list.Revision + 1
	}
	s.vms = append(s.vms, vmListing{visible: visible, list: list})
}

// visibleVMs returns the list that callers see now and forgets older ones.
func (s *Server) visibleVMs() platform.VMList {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for len(s.vms) > 1 && !s.vms[1].visible.After(now) {
		s.vms = s.vms[1:]
	}
	if len(s.vms) == 0 {
		return platform.VMList{VMs: []topology.VM{}}
	}
	return s.vms[0].list
}

// Outage starts or ends an outage in the mode OutageClose.
func (s *Server) Outage(on bool) { s.setOutage(on, OutageClose) }

// OutageWith starts an outage in the given mode.
func (s *Server) OutageWith(mode OutageMode) { s.setOutage(true, mode) }

func (s *Server) setOutage(on bool, mode OutageMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outageMode = mode
	if on == s.outage {
		return
	}
	s.outage = on
	if on {
		s.outageEnd = make(chan struct{})
		return
	}
	close(s.outageEnd)
}

// Slow delays every call by the given time.
func (s *Server) Slow(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = d
}

// LoseAnswers makes the next n calls of a kind take effect without an answer.
func (s *Server) LoseAnswers(n int, call Call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose[call] = n
}

// Counts returns the calls received so far by kind, those in outages included.
func (s *Server) Counts() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[string]int64, len(s.counts))
	for k, v := range s.counts {
		counts[k] = v
	}
	return counts
}

// Compact forgets all changes so far, so that watches from below are refused.
func (s *Server) Compact() {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	if n := len(s.store.changes); n > 0 {
		s.store.compact(n)
	}
}

// Put writes an object without a condition and without a counted call.
func (s *Server) Put(kind, name string, value any) (platform.Object, error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return platform.Object{}, &EncodeError{Kind: kind, Name: name, Cause: err}
	}
	for {
		current, _ := s.store.get(kind, name)
		if o, ok := s.store.put(kind, name, current.Version, encoded); ok {
			return o, nil
		}
	}
}

// Get reads an object without a counted call.
func (s *Server) Get(kind, name string) (platform.Object, bool) { return s.store.get(kind, name) }

// EncodeError reports a value that has no JSON form.
type EncodeError struct {
	Kind, Name string
	Cause      error
}

func (e *EncodeError) Error() string {
	return fmt.Sprintf("cannot encode object %s/%s: %v", e.Kind, e.Name, e.Cause)
}

// Unwrap returns the cause.
func (e *EncodeError) Unwrap() error { return e.Cause }
