// Package objectapi is a stand-in (an in-process fake that speaks the real protocol)
// for the platform's object API: versioned objects, conditional updates, long-poll
// watches and the list of VMs, whose changes become visible after a lag. Tests inject
// outages, delays and lost responses into a Server, which also counts all calls.
// Objects live in memory only.
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

// DefaultVMLag is the time until a change of the VM list becomes visible.
const DefaultVMLag = 2 * time.Second

// Call names an API operation.
type Call string

// API operations.
const (
	CallGet    Call = "get"
	CallList   Call = "list"
	CallPut    Call = "put"
	CallDelete Call = "delete"
	CallWatch  Call = "watch"
	CallVMs    Call = "vms"
)

// OutageMode selects how calls fail during an outage.
type OutageMode int

// Outage modes.
const (
	OutageClose OutageMode = iota // connections are closed without a response
	OutageHang                    // calls hang until the outage ends, then fail
)

// Server serves the object API over HTTP. Safe for concurrent use.
type Server struct {
	partitions *network.Network
	listener   net.Listener
	http       *http.Server
	ip         netip.Addr
	store      *store
	mux        *http.ServeMux
	closed     chan struct{}

	mu              sync.Mutex // guards the fields below
	outage          bool
	outageMode      OutageMode
	outageEnd       chan struct{} // closed when the outage ends
	callDelay       time.Duration
	responsesToDrop map[Call]int
	callCounts      map[string]int64
	vmLag           time.Duration
	vmLists         []scheduledVMList // oldest first; callers see the newest visible one
}

// scheduledVMList is a VM list and the time at which it becomes visible.
type scheduledVMList struct {
	visible time.Time
	list    platform.VMList
}

// ListenError reports that the server could not listen on an address.
type ListenError struct {
	Addr  string
	Cause error
}

func (e *ListenError) Error() string { return fmt.Sprintf("cannot listen on %s: %v", e.Addr, e.Cause) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// Start serves the API on an IP:port address; port 0 picks a free port. Cuts in
// partitions block calls by their source IP address.
func Start(addr string, partitions *network.Network) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, &ListenError{Addr: addr, Cause: err}
	}
	s := &Server{
		partitions:      partitions,
		listener:        l,
		ip:              l.Addr().(*net.TCPAddr).AddrPort().Addr().Unmap(),
		store:           newStore(),
		mux:             http.NewServeMux(),
		closed:          make(chan struct{}),
		responsesToDrop: map[Call]int{},
		callCounts:      map[string]int64{},
		vmLag:           DefaultVMLag,
	}
	s.routes()
	s.http = &http.Server{Handler: s.mux}
	go func() { _ = s.http.Serve(l) }()
	return s, nil
}

// Addr returns the address that the API listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// URL returns the base URL of the API.
func (s *Server) URL() string { return "http://" + s.Addr() }

// Handle adds an endpoint outside the API. The injected faults do not affect it.
func (s *Server) Handle(pattern string, h http.Handler) { s.mux.Handle(pattern, h) }

// Close stops the server and ends all waiting calls.
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

// SetVMLag sets the lag of subsequent changes of the VM list.
func (s *Server) SetVMLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vmLag = lag
}

// SetVMs changes the VM list. The first list is visible at once, later ones after
// the lag.
func (s *Server) SetVMs(vms []topology.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	visible := time.Now()
	if len(s.vmLists) > 0 {
		visible = visible.Add(s.vmLag)
	}
	list := platform.VMList{Revision: uint64(len(s.vmLists) + 1), VMs: append([]topology.VM{}, vms...)}
	if n := len(s.vmLists); n > 0 {
		list.Revision = s.vmLists[n-1].list.Revision + 1
	}
	s.vmLists = append(s.vmLists, scheduledVMList{visible: visible, list: list})
}

// visibleVMs returns the newest visible list and discards older ones.
func (s *Server) visibleVMs() platform.VMList {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for len(s.vmLists) > 1 && !s.vmLists[1].visible.After(now) {
		s.vmLists = s.vmLists[1:]
	}
	if len(s.vmLists) == 0 {
		return platform.VMList{VMs: []topology.VM{}}
	}
	return s.vmLists[0].list
}

// Outage starts an outage with mode OutageClose, or ends any outage.
func (s *Server) Outage(on bool) { s.setOutage(on, OutageClose) }

// OutageWith starts an outage with the given mode.
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
	s.callDelay = d
}

// LoseAnswers makes the next n calls of an operation take effect without a response.
func (s *Server) LoseAnswers(n int, call Call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responsesToDrop[call] = n
}

// Counts returns the number of calls received so far by operation, including calls
// during outages.
func (s *Server) Counts() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[string]int64, len(s.callCounts))
	for k, v := range s.callCounts {
		counts[k] = v
	}
	return counts
}

// Compact discards the change history: watches from an older revision get status
// 410.
func (s *Server) Compact() {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	if n := len(s.store.changes); n > 0 {
		s.store.compact(n)
	}
}

// Put writes an object unconditionally. It is not counted as a call.
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

// Get reads an object. It is not counted as a call.
func (s *Server) Get(kind, name string) (platform.Object, bool) { return s.store.get(kind, name) }

// EncodeError reports a value that cannot be encoded as JSON.
type EncodeError struct {
	Kind, Name string
	Cause      error
}

func (e *EncodeError) Error() string {
	return fmt.Sprintf("cannot encode object %s/%s: %v", e.Kind, e.Name, e.Cause)
}

// Unwrap returns the cause.
func (e *EncodeError) Unwrap() error { return e.Cause }
