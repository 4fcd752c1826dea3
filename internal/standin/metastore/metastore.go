// Package metastore is a stand-in of the users' metadata store, with its
// published behaviour: one revision counter, conditional updates, lists in pages,
// watches with a bounded history, calls refused or left without an answer. It also
// takes promotion calls and checks their tokens.
package metastore

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Object is one stored object.
type Object struct {
	Meta struct {
		Name     string `json:"name"`
		Revision uint64 `json:"revision"`
	} `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

// event is one change.
type event struct {
	revision uint64
	kind     string
	object   Object
	deleted  bool
}

// Promotion is one promotion call that came.
type Promotion struct {
	Service, Server, Holder string
	Token                   uint64
	Refused                 bool
}

// Store is the stand-in. Promote, if set, carries out accepted promotion calls
// and reports whether the server runs.
type Store struct {
	Promote  func(service, server string) bool
	PageSize int

	http     *http.Server
	listener net.Listener

	mu         sync.Mutex // guards the fields below
	revision   uint64
	kinds      map[string]map[string]Object
	history    []event
	oldest     uint64 // history after this revision is kept
	changed    chan struct{}
	status     int             // given to every call; 0: none
	refused    map[string]bool // remote IPs that are refused
	lose       int             // writes still to be done without an answer
	calls      map[string]int  // by method and kind
	tokens     map[string]uint64
	promotions []Promotion
}

// New returns a store that listens on a loopback address.
func New() (*Store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{
		PageSize: 3, listener: listener, revision: 1, kinds: map[string]map[string]Object{},
		changed: make(chan struct{}), refused: map[string]bool{}, calls: map[string]int{}, tokens: map[string]uint64{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{kind}", s.list)
	mux.HandleFunc("GET /objects/{kind}/{name}", s.get)
	mux.HandleFunc("POST /objects/{kind}", s.create)
	mux.HandleFunc("PUT /objects/{kind}/{name}", s.replace)
	mux.HandleFunc("DELETE /objects/{kind}/{name}", s.remove)
	mux.HandleFunc("POST /failover", s.failover)
	s.http = &http.Server{Handler: s.guard(mux), ReadHeaderTimeout: time.Second}
	go func() { _ = s.http.Serve(listener) }() // it ends with Close
	return s, nil
}

// Addr returns the store's address.
func (s *Store) Addr() string { return s.listener.Addr().String() }

// Close ends the store.
func (s *Store) Close() { _ = s.http.Close() } // nothing is left to report to

// Put writes an object as the operator or a server does.
func (s *Store) Put(kind, name string, spec any) uint64 {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err) // the callers are tests, with values that can be encoded
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(kind, name, raw).Meta.Revision
}

// PutRaw writes an object with the given bytes.
func (s *Store) PutRaw(kind, name string, raw []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, raw)
}

// Delete removes an object.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(kind, name)
}

// Answer lets every call be answered with a status; 0 ends that.
func (s *Store) Answer(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status = status
	s.wake()
}

// RefuseFrom lets the calls of an IP be answered with 503.
func (s *Store) RefuseFrom(ip string, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[ip] = refused
	s.wake()
}

// LoseAnswers lets the next n writes take effect without an answer.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = n
}

// Compact forgets the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.oldest = nil, s.revision
	s.wake()
}

// Calls returns how often a method was called on a kind.
func (s *Store) Calls(method, kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[method+" "+kind]
}

// Promotions returns the promotion calls so far.
func (s *Store) Promotions() []Promotion {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Promotion(nil), s.promotions...)
}

// put stores an object. The caller holds mu.
func (s *Store) put(kind, name string, raw []byte) Object {
	if old, known := s.kinds[kind][name]; known && string(old.Spec) == string(raw) {
		return old
	}
	s.revision++
	var o Object
	o.Meta.Name, o.Meta.Revision, o.Spec = name, s.revision, raw
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]Object{}
	}
	s.kinds[kind][name] = o
	s.history = append(s.history, event{revision: s.revision, kind: kind, object: o})
	s.wake()
	return o
}

// delete removes an object. The caller holds mu.
func (s *Store) delete(kind, name string) {
	o, known := s.kinds[kind][name]
	if !known {
		return
	}
	delete(s.kinds[kind], name)
	s.revision++
	s.history = append(s.history, event{revision: s.revision, kind: kind, object: o, deleted: true})
	s.wake()
}

// wake lets waiting watches look again. The caller holds mu.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// guard counts calls and carries out the ordered outages.
func (s *Store) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ip, _, err := net.SplitHostPort(r.RemoteAddr)
		s.mu.Lock()
		s.calls[r.Method+" "+strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")[0]]++
		status := s.status
		if err == nil && s.refused[ip] {
			status = http.StatusServiceUnavailable
		}
		s.mu.Unlock()
		if status != 0 {
			w.WriteHeader(status)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	kind, query := r.PathValue("kind"), r.URL.Query()
	if query.Has("watch") {
		s.watch(w, r, kind)
		return
	}
	s.mu.Lock()
	var names []string
	for name := range s.kinds[kind] {
		if name > query.Get("after") {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	items := []Object{}
	for _, name := range names[:min(len(names), s.PageSize)] {
		items = append(items, s.kinds[kind][name])
	}
	reply := map[string]any{"items": items, "has-more": len(names) > s.PageSize, "store-revision": s.revision}
	s.mu.Unlock()
	write(w, http.StatusOK, reply)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, errWait := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	if err != nil || errWait != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		gone, changed, revision, status := since < s.oldest, s.changed, s.revision, s.status
		events := []map[string]any{}
		for _, e := range s.history {
			if e.kind == kind && e.revision > since {
				events = append(events, map[string]any{"object": e.object, "deleted": e.deleted})
			}
		}
		s.mu.Unlock()
		switch {
		case status != 0:
			w.WriteHeader(status)
			return
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0:
			write(w, http.StatusOK, map[string]any{"events": events, "store-revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			write(w, http.StatusOK, map[string]any{"events": events, "store-revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	o, known := s.kinds[r.PathValue("kind")][r.PathValue("name")]
	s.mu.Unlock()
	if !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	write(w, http.StatusOK, o)
}

func (s *Store) create(w http.ResponseWriter, r *http.Request) {
	var o Object
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Meta.Name == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.change(w, r.PathValue("kind"), o.Meta.Name, 0, false, o.Spec)
}

func (s *Store) replace(w http.ResponseWriter, r *http.Request) {
	var o Object
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.change(w, r.PathValue("kind"), r.PathValue("name"), o.Meta.Revision, true, o.Spec)
}

// change writes an object on its condition.
func (s *Store) change(w http.ResponseWriter, kind, name string, revision uint64, exists bool, raw []byte) {
	s.mu.Lock()
	old, known := s.kinds[kind][name]
	status, o := http.StatusOK, old
	switch {
	case exists && !known:
		status = http.StatusNotFound
	case known && !exists, exists && revision != 0 && revision != old.Meta.Revision:
		status = http.StatusConflict
	default:
		o = s.put(kind, name, raw)
	}
	lost := s.lose > 0
	if lost {
		s.lose--
	}
	s.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler) // the connection ends without an answer
	}
	write(w, status, o)
}

func (s *Store) remove(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kind, name := r.PathValue("kind"), r.PathValue("name")
	o, known := s.kinds[kind][name]
	if !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if revision := r.URL.Query().Get("revision"); revision != "" && revision != strconv.FormatUint(o.Meta.Revision, 10) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.delete(kind, name)
	write(w, http.StatusOK, o)
}

// failover takes a promotion call: its token must not be lower than one seen for
// the service.
func (s *Store) failover(w http.ResponseWriter, r *http.Request) {
	var body struct{ Service, ID string }
	token, err := strconv.ParseUint(r.Header.Get("X-Egretroad-Fence-Token"), 10, 64)
	if json.NewDecoder(r.Body).Decode(&body) != nil || err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	refused := token < s.tokens[body.Service]
	if !refused {
		s.tokens[body.Service] = token
	}
	promote := s.Promote
	s.mu.Unlock()
	if !refused && promote != nil {
		refused = !promote(body.Service, body.ID)
	}
	s.mu.Lock()
	s.promotions = append(s.promotions, Promotion{
		Service: body.Service, Server: body.ID, Holder: r.Header.Get("X-Egretroad-Duty-Holder"), Token: token, Refused: refused,
	})
	s.mu.Unlock()
	if refused {
		w.WriteHeader(http.StatusConflict)
		return
	}
	write(w, http.StatusOK, map[string]any{})
}

func write(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may have gone
}
