//go:build review

package standins2

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

// object is an object of the metadata store.
type object struct {
	Meta struct {
		Name       string   `json:"name"`
		Revision   uint64   `json:"revision"`
		Created    uint64   `json:"created"`
		Finalizers []string `json:"finalizers"`
		Deleting   bool     `json:"deleting"`
	} `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

// event is one entry of the store's history.
type event struct {
	revision uint64
	kind     string
	object   object
	deleted  bool
}

// failoverCall is a call that designates the server that takes over.
type failoverCall struct {
	Service string `json:"service"`
	ID      string `json:"id"`
	holder  string
	token   uint64
}

// store is the platform's metadata store, and its API for failovers.
type store struct {
	// onFailover answers a call: its status, or 0 to answer nothing.
	onFailover func(failoverCall) int
	// unfenced makes the platform accept any fencing token.
	unfenced bool
	// loses reports whether the answer to a write gets lost; nil: none does.
	loses func(kind string, spec json.RawMessage) bool

	mu       sync.Mutex // guards the fields below
	revision uint64
	kinds    map[string]map[string]object
	history  []event
	changed  chan struct{} // closed at the next change
	tokens   map[string]uint64
}

const pageItems = 500

func startStore(onFailover func(failoverCall) int) (*store, string, error) {
	s := &store{onFailover: onFailover, revision: 100, kinds: map[string]map[string]object{}, changed: make(chan struct{}), tokens: map[string]uint64{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	server := &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }() // until the process ends
	return s, listener.Addr().String(), nil
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/failover" {
		s.serveFailover(w, r)
		return
	}
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	switch {
	case r.Method == http.MethodGet && name != "":
		s.serveGet(w, kind, name)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.serveWatch(w, r, kind)
	case r.Method == http.MethodGet:
		s.serveList(w, r, kind)
	default:
		s.serveWrite(w, r, kind, name)
	}
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may be gone
}

func (s *store) serveGet(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, found := s.kinds[kind][name]
	s.mu.Unlock()
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	respond(w, http.StatusOK, o)
}

func (s *store) serveList(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	items := []object{}
	for name, o := range s.kinds[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Meta.Name < items[j].Meta.Name })
	more := len(items) > pageItems
	if more {
		items = items[:pageItems]
	}
	respond(w, http.StatusOK, map[string]any{"items": items, "has-more": more, "store-revision": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []map[string]any{}
		for _, e := range s.history {
			if e.kind == kind && e.revision > since {
				events = append(events, map[string]any{"object": e.object, "deleted": e.deleted})
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		ended := len(events) > 0
		if !ended {
			select {
			case <-changed:
			case <-deadline:
				ended = true
			case <-r.Context().Done():
				return
			}
		}
		if ended {
			respond(w, http.StatusOK, map[string]any{"events": events, "store-revision": revision})
			return
		}
	}
}

func (s *store) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o object
	if r.Method != http.MethodDelete {
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if r.Method == http.MethodPost {
		name = o.Meta.Name
	}
	condition := o.Meta.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		condition, _ = strconv.ParseUint(text, 10, 64)
	}
	status, body := s.change(r.Method, kind, name, condition, o.Spec)
	if status == http.StatusOK && s.loses != nil && s.loses(kind, o.Spec) {
		<-r.Context().Done()
		panic(http.ErrAbortHandler) // nothing is answered
	}
	respond(w, status, body)
}

// change executes a write and returns its status and body.
func (s *store) change(method, kind, name string, condition uint64, spec json.RawMessage) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, found := s.kinds[kind][name]
	switch {
	case method == http.MethodPost && found, found && condition != 0 && condition != current.Meta.Revision:
		return http.StatusConflict, current
	case method != http.MethodPost && !found:
		return http.StatusNotFound, struct{}{}
	case method == http.MethodDelete:
		s.remove(kind, name)
		return http.StatusOK, current
	default:
		return http.StatusOK, s.write(kind, name, spec)
	}
}

// write creates or replaces an object. The caller holds mu.
func (s *store) write(kind, name string, spec json.RawMessage) object {
	o, found := s.kinds[kind][name]
	if found && string(o.Spec) == string(spec) {
		return o
	}
	s.revision++
	if !found {
		o.Meta.Name, o.Meta.Created, o.Meta.Finalizers = name, s.revision, []string{}
	}
	o.Meta.Revision, o.Spec = s.revision, spec
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	s.kinds[kind][name] = o
	s.record(event{s.revision, kind, o, false})
	return o
}

// remove removes an object. The caller holds mu.
func (s *store) remove(kind, name string) {
	o, found := s.kinds[kind][name]
	if !found {
		return
	}
	delete(s.kinds[kind], name)
	s.revision++
	o.Meta.Revision = s.revision
	s.record(event{s.revision, kind, o, true})
}

func (s *store) record(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes an object as the operator or a server does.
func (s *store) put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err) // only maps, texts and numbers are written
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, raw)
}

// serveFailover checks the fencing token and passes the call on.
func (s *store) serveFailover(w http.ResponseWriter, r *http.Request) {
	var c failoverCall
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.holder = r.Header.Get("X-Egretroad-Duty-Holder")
	c.token, _ = strconv.ParseUint(r.Header.Get("X-Egretroad-Fence-Token"), 10, 64)
	s.mu.Lock()
	stale := c.token < s.tokens[c.Service] && !s.unfenced
	s.tokens[c.Service] = max(c.token, s.tokens[c.Service])
	s.mu.Unlock()
	if stale {
		w.WriteHeader(http.StatusConflict)
		return
	}
	status := s.onFailover(c)
	if status == 0 {
		<-r.Context().Done()
		panic(http.ErrAbortHandler) // nothing is answered
	}
	w.WriteHeader(status)
}
