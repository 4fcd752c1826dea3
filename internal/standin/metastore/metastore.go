// Package metastore is a stand-in (an in-process fake that speaks the real protocol)
// for the users' metadata store, with its published behaviour: a single revision
// counter, conditional updates, paginated lists and long-poll watches over a bounded
// history. Tests can make calls fail, lose responses, or replace the store by an older
// copy of itself. The Store also serves the failover endpoint and checks the fencing
// tokens of promotion calls.
package metastore

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Object is a stored object.
type Object struct {
	Meta struct {
		Name     string `json:"name"`
		Revision uint64 `json:"revision"`
	} `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

// encode returns the JSON encoding of the object. The spec is copied as it was written: the
// encoder of package json rejects one that is nested too deeply.
func (o Object) encode() json.RawMessage {
	raw, err := json.Marshal(o.Meta)
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return slices.Concat([]byte(`{"meta":`), raw, []byte(`,"spec":`), o.Spec, []byte(`}`))
}

// encodeList returns the JSON encoding of a list.
func encodeList(elements []json.RawMessage) json.RawMessage {
	return slices.Concat([]byte("["), bytes.Join(rawBytes(elements), []byte(",")), []byte("]"))
}

func rawBytes(elements []json.RawMessage) [][]byte {
	out := make([][]byte, 0, len(elements))
	for _, e := range elements {
		out = append(out, e)
	}
	return out
}

// change is an entry of the watch history.
type change struct {
	revision uint64
	kind     string
	object   Object
	deleted  bool
}

// Promotion records a promotion call that the store received.
type Promotion struct {
	Service, Server, Holder string
	Token                   uint64
	Refused                 bool
	Stale                   bool // a higher fencing token had been seen before
}

// Store is an in-memory metadata store. Promote, if set, performs the promotion calls
// whose token is accepted, and returns false if the server cannot be promoted. PageSize
// is the maximum number of objects in a list response. The methods are safe for
// concurrent use.
type Store struct {
	Promote  func(service, server string) bool
	PageSize int

	http     *http.Server
	listener net.Listener

	mu                sync.Mutex // guards the fields below
	era               uint64     // rises each time the store returns from an older copy
	noEraHeader       bool
	revision          uint64
	kinds             map[string]map[string]Object
	history           []change
	compactedRevision uint64 // the history holds the changes after this revision
	changed           chan struct{}
	forcedStatus      int             // response to every call; 0: normal operation
	refusedIPs        map[string]bool // source IPs whose calls get a 503
	refusedKinds      map[string]bool // kinds whose calls get a 503
	responsesToDrop   int             // remaining writes whose response is dropped
	calls             map[string]int  // by "METHOD kind"
	fenceTokens       map[string]uint64
	promotions        []Promotion
	unfenced          bool // stale fencing tokens are accepted
	latePromotions    int  // remaining promotion calls that are executed late
	latePromotionBy   time.Duration
}

// New starts a store that listens on a loopback port.
func New() (*Store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{
		PageSize: 3, listener: listener, era: 1, revision: 1, kinds: map[string]map[string]Object{},
		changed: make(chan struct{}), refusedIPs: map[string]bool{}, refusedKinds: map[string]bool{}, calls: map[string]int{}, fenceTokens: map[string]uint64{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{kind}", s.handleList)
	mux.HandleFunc("GET /objects/{kind}/{name}", s.handleGet)
	mux.HandleFunc("POST /objects/{kind}", s.handleCreate)
	mux.HandleFunc("PUT /objects/{kind}/{name}", s.handleReplace)
	mux.HandleFunc("DELETE /objects/{kind}/{name}", s.handleDelete)
	mux.HandleFunc("POST /failover", s.handleFailover)
	s.http = &http.Server{Handler: s.withFaults(mux), ReadHeaderTimeout: time.Second}
	go func() { _ = s.http.Serve(listener) }() // returns after Close
	return s, nil
}

// Addr returns the store's host:port address.
func (s *Store) Addr() string { return s.listener.Addr().String() }

// Close stops the store and closes its connections.
func (s *Store) Close() { _ = s.http.Close() } // the store is no longer used

// Put writes an object unconditionally, as the users' operator or a server does, and
// returns its revision. Writing an unchanged object keeps the revision.
func (s *Store) Put(kind, name string, spec any) uint64 {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err) // only tests call Put, with values that can be encoded
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(kind, name, raw).Meta.Revision
}

// PutRaw writes an object unconditionally with the given encoded spec.
func (s *Store) PutRaw(kind, name string, raw []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, raw)
}

// Delete removes an object unconditionally.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(kind, name)
}

// Has reports whether an object exists.
func (s *Store) Has(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, found := s.kinds[kind][name]
	return found
}

// AcceptStaleTokens makes the store perform promotion calls whatever their fencing token.
func (s *Store) AcceptStaleTokens() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unfenced = true
}

// ForceStatus makes every call fail with an HTTP status; 0 restores normal operation.
func (s *Store) ForceStatus(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forcedStatus = status
	s.notifyWatches()
}

// RefuseFrom starts or stops answering the calls from an IP address with status 503.
func (s *Store) RefuseFrom(ip string, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusedIPs[ip] = refused
	s.notifyWatches()
}

// RefuseKind starts or stops answering the calls for a kind with status 503, also the
// watches that wait.
func (s *Store) RefuseKind(kind string, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusedKinds[kind] = refused
	s.notifyWatches()
}

// DropResponses makes the next n creates or replaces take effect without a response.
func (s *Store) DropResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responsesToDrop = n
}

// ExecutePromotionsLate makes the next n promotion calls get no response. They are executed
// after a delay.
func (s *Store) ExecutePromotionsLate(n int, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latePromotions, s.latePromotionBy = n, delay
}

// Compact discards the history: watches from an older revision get status 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRevision = nil, s.revision
	s.notifyWatches()
}

// Copy is a copy of the store's objects and history.
type Copy struct {
	revision          uint64
	kinds             map[string]map[string]Object
	history           []change
	compactedRevision uint64
}

// Copy returns a copy of the store as it is now, for Restore.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Copy{revision: s.revision, kinds: map[string]map[string]Object{}, history: slices.Clone(s.history), compactedRevision: s.compactedRevision}
	for kind, objects := range s.kinds {
		c.kinds[kind] = maps.Clone(objects)
	}
	return c
}

// Forget removes an object from the copy, as if it had been made before the object.
func (c Copy) Forget(kind, name string) { delete(c.kinds[kind], name) }

// Restore replaces the store by an older copy of itself, as after a loss of its data: what
// it has acknowledged since is gone, and its revisions are given out again.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.kinds, s.history, s.compactedRevision = c.revision, c.kinds, c.history, c.compactedRevision
	s.notifyWatches()
}

// setEra sets the header that tells in which era of the store a call was executed. mu must
// be held.
func (s *Store) setEra(w http.ResponseWriter) {
	if !s.noEraHeader {
		w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	}
}

// OmitEra makes the store leave out the header with its era.
func (s *Store) OmitEra() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noEraHeader = true
}

// Calls returns the number of calls with an HTTP method on a kind.
func (s *Store) Calls(method, kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[method+" "+kind]
}

// Promotions returns the promotion calls received so far.
func (s *Store) Promotions() []Promotion {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Promotion(nil), s.promotions...)
}

// put stores an object and returns it; an unchanged object keeps its revision. mu
// must be held.
func (s *Store) put(kind, name string, raw []byte) Object {
	if old, exists := s.kinds[kind][name]; exists && string(old.Spec) == string(raw) {
		return old
	}
	s.revision++
	var o Object
	o.Meta.Name, o.Meta.Revision, o.Spec = name, s.revision, raw
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]Object{}
	}
	s.kinds[kind][name] = o
	s.history = append(s.history, change{revision: s.revision, kind: kind, object: o})
	s.notifyWatches()
	return o
}

// delete removes an object, if it exists. mu must be held.
func (s *Store) delete(kind, name string) {
	o, exists := s.kinds[kind][name]
	if !exists {
		return
	}
	delete(s.kinds[kind], name)
	s.revision++
	o.Meta.Revision = s.revision
	s.history = append(s.history, change{revision: s.revision, kind: kind, object: o, deleted: true})
	s.notifyWatches()
}

// notifyWatches wakes the waiting watches, which then check for changes, compaction
// and a forced status. mu must be held.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// withFaults counts calls and applies the statuses set by ForceStatus and RefuseFrom.
func (s *Store) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ip, _, err := net.SplitHostPort(r.RemoteAddr)
		s.mu.Lock()
		kind := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")[0]
		s.calls[r.Method+" "+kind]++
		status := s.forcedStatus
		if err == nil && s.refusedIPs[ip] || s.refusedKinds[kind] {
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

func (s *Store) handleList(w http.ResponseWriter, r *http.Request) {
	kind, query := r.PathValue("kind"), r.URL.Query()
	if query.Has("watch") {
		s.handleWatch(w, r, kind)
		return
	}
	s.mu.Lock()
	s.setEra(w)
	var names []string
	for name := range s.kinds[kind] {
		if name > query.Get("after") {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	var items []json.RawMessage
	for _, name := range names[:min(len(names), s.PageSize)] {
		items = append(items, s.kinds[kind][name].encode())
	}
	body := fmt.Appendf(nil, `{"items":%s,"has-more":%t,"store-revision":%d}`, encodeList(items), len(names) > s.PageSize, s.revision)
	s.mu.Unlock()
	writeRaw(w, http.StatusOK, body)
}

func (s *Store) handleWatch(w http.ResponseWriter, r *http.Request, kind string) {
	since, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	waitMS, errWait := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	if err != nil || errWait != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		s.mu.Lock()
		gone, changed, revision, status := since < s.compactedRevision || since > s.revision, s.changed, s.revision, s.forcedStatus
		if s.refusedKinds[kind] {
			status = http.StatusServiceUnavailable
		}
		s.setEra(w)
		var events []json.RawMessage
		for _, e := range s.history {
			if e.kind == kind && e.revision > since {
				events = append(events, fmt.Appendf(nil, `{"object":%s,"deleted":%t}`, e.object.encode(), e.deleted))
			}
		}
		body := fmt.Appendf(nil, `{"events":%s,"store-revision":%d}`, encodeList(events), revision)
		s.mu.Unlock()
		switch {
		case status != 0:
			w.WriteHeader(status)
			return
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0:
			writeRaw(w, http.StatusOK, body)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeRaw(w, http.StatusOK, body)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) handleGet(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.setEra(w)
	o, found := s.kinds[r.PathValue("kind")][r.PathValue("name")]
	s.mu.Unlock()
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeRaw(w, http.StatusOK, o.encode())
}

func (s *Store) handleCreate(w http.ResponseWriter, r *http.Request) {
	var o Object
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Meta.Name == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.writeIf(w, r.PathValue("kind"), o.Meta.Name, 0, false, o.Spec)
}

func (s *Store) handleReplace(w http.ResponseWriter, r *http.Request) {
	var o Object
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.writeIf(w, r.PathValue("kind"), r.PathValue("name"), o.Meta.Revision, true, o.Spec)
}

// writeIf creates an object, or replaces it if mustExist is set. Creating an existing
// object fails with status 409, replacing a missing one with 404. A replacement with a
// revision other than 0 also fails with 409 if the object has another revision.
func (s *Store) writeIf(w http.ResponseWriter, kind, name string, revision uint64, mustExist bool, raw []byte) {
	s.mu.Lock()
	s.setEra(w)
	old, found := s.kinds[kind][name]
	status, o := http.StatusOK, old
	switch {
	case mustExist && !found:
		status = http.StatusNotFound
	case found && !mustExist, mustExist && revision != 0 && revision != old.Meta.Revision:
		status = http.StatusConflict
	default:
		o = s.put(kind, name, raw)
	}
	dropResponse := s.responsesToDrop > 0
	if dropResponse {
		s.responsesToDrop--
	}
	s.mu.Unlock()
	if dropResponse {
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
	writeRaw(w, status, o.encode())
}

func (s *Store) handleDelete(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEra(w)
	kind, name := r.PathValue("kind"), r.PathValue("name")
	o, found := s.kinds[kind][name]
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if revision := r.URL.Query().Get("revision"); revision != "" && revision != strconv.FormatUint(o.Meta.Revision, 10) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.delete(kind, name)
	writeRaw(w, http.StatusOK, o.encode())
}

// handleFailover handles a promotion call. It rejects a fencing token lower than the
// highest one seen for the service.
func (s *Store) handleFailover(w http.ResponseWriter, r *http.Request) {
	var body struct{ Service, ID string }
	token, err := strconv.ParseUint(r.Header.Get("X-Egretroad-Fence-Token"), 10, 64)
	if json.NewDecoder(r.Body).Decode(&body) != nil || err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	late := s.latePromotions > 0
	if late {
		s.latePromotions--
		time.AfterFunc(s.latePromotionBy, func() { s.promote(body.Service, body.ID, r.Header.Get("X-Egretroad-Duty-Holder"), token) })
	}
	s.mu.Unlock()
	if late {
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
	if !s.promote(body.Service, body.ID, r.Header.Get("X-Egretroad-Duty-Holder"), token) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{})
}

// promote performs a promotion and reports whether it was accepted.
func (s *Store) promote(service, server, holder string, token uint64) bool {
	s.mu.Lock()
	stale := token < s.fenceTokens[service]
	refused := stale && !s.unfenced
	s.fenceTokens[service] = max(token, s.fenceTokens[service])
	promote := s.Promote
	s.mu.Unlock()
	if !refused && promote != nil {
		refused = !promote(service, server)
	}
	s.mu.Lock()
	s.promotions = append(s.promotions, Promotion{
		Service: service, Server: server, Holder: holder, Token: token, Refused: refused, Stale: stale,
	})
	s.mu.Unlock()
	return !refused
}

func writeRaw(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body) // the caller may have disconnected
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may have disconnected
}
