package objectapi

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"egretroad/internal/platform"
)

// maxBodyBytes leaves room for the envelope around a value.
const maxBodyBytes = platform.MaxValueBytes + 4096

// maxWatchWait is the longest time that a watch is held.
const maxWatchWait = 5 * time.Minute

// answer is the outcome of one call.
type answer struct {
	status int
	body   any
}

func refusal(status int, message string) answer {
	return answer{status, map[string]string{"error": message}}
}

func (s *Server) routes() {
	objects := platform.PathObjects
	s.handle(CallList, "GET "+objects+"{kind}", s.list)
	s.handle(CallGet, "GET "+objects+"{kind}/{name}", s.get)
	s.handle(CallPut, "PUT "+objects+"{kind}/{name}", s.put)
	s.handle(CallDelete, "DELETE "+objects+"{kind}/{name}", s.delete)
	s.handle(CallWatch, "GET "+platform.PathWatch, s.watch)
	s.handle(CallVMs, "GET "+platform.PathVMs, func(*http.Request) answer {
		return answer{http.StatusOK, s.visibleVMs()}
	})
}

// handle registers a call with its counter and the injected faults.
func (s *Server) handle(call Call, pattern string, f func(*http.Request) answer) {
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		s.count(call)
		if !s.reached(r) || !s.delayed(r) {
			drop(w)
			return
		}
		a := f(r)
		if s.losesAnswer(call) || !s.reached(r) {
			drop(w)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(a.status)
		_ = json.NewEncoder(w).Encode(a.body)
	})
}

func (s *Server) count(call Call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[string(call)]++
}

// reached reports whether the call passes between its source and the API. A
// call that an outage or a cut holds returns false once that has ended.
func (s *Server) reached(r *http.Request) bool {
	s.mu.Lock()
	outage, mode, end := s.outage, s.outageMode, s.outageEnd
	s.mu.Unlock()
	if outage {
		if mode == OutageHang {
			s.hold(r, end)
		}
		return false
	}
	source, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return true
	}
	held := false
	for {
		changed := s.net.Changed()
		if !s.net.Blocked(source.Addr(), s.ip) {
			return !held
		}
		held = true
		if !s.hold(r, changed) {
			return false
		}
	}
}

// hold waits for a channel; it returns false when the call ends before.
func (s *Server) hold(r *http.Request, until <-chan struct{}) bool {
	select {
	case <-until:
		return true
	case <-r.Context().Done():
	case <-s.closed:
	}
	return false
}

// delayed applies Slow; it returns false when the call ends before.
func (s *Server) delayed(r *http.Request) bool {
	s.mu.Lock()
	d := s.slow
	s.mu.Unlock()
	if d == 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
	case <-s.closed:
	}
	return false
}

func (s *Server) losesAnswer(call Call) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lose[call] == 0 {
		return false
	}
	s.lose[call]--
	return true
}

// drop closes the connection without an answer.
func drop(w http.ResponseWriter) {
	nc, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := nc.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	nc.Close()
}

func (s *Server) list(r *http.Request) answer {
	return answer{http.StatusOK, s.store.list(r.PathValue("kind"))}
}

func (s *Server) get(r *http.Request) answer {
	o, ok := s.store.get(r.PathValue("kind"), r.PathValue("name"))
	if !ok {
		return refusal(http.StatusNotFound, "no such object")
	}
	return answer{http.StatusOK, o}
}

func (s *Server) put(r *http.Request) answer {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err != nil {
		return refusal(http.StatusBadRequest, "cannot read the body")
	}
	if len(body) > maxBodyBytes {
		return refusal(http.StatusRequestEntityTooLarge, "value is larger than 1 MiB")
	}
	var request platform.PutRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return refusal(http.StatusBadRequest, "body is not a PutRequest: "+err.Error())
	}
	switch {
	case len(request.Value) == 0:
		return refusal(http.StatusBadRequest, "value is missing")
	case len(request.Value) > platform.MaxValueBytes:
		return refusal(http.StatusRequestEntityTooLarge, "value is larger than 1 MiB")
	}
	return changed(s.store.put(r.PathValue("kind"), r.PathValue("name"), request.IfVersion, request.Value))
}

func (s *Server) delete(r *http.Request) answer {
	version, err := strconv.ParseUint(r.URL.Query().Get("ifVersion"), 10, 64)
	if err != nil {
		return refusal(http.StatusBadRequest, "ifVersion is not a number")
	}
	return changed(s.store.delete(r.PathValue("kind"), r.PathValue("name"), version))
}

func changed(o platform.Object, ok bool) answer {
	if !ok {
		return answer{http.StatusConflict, o}
	}
	return answer{http.StatusOK, o}
}

func (s *Server) watch(r *http.Request) answer {
	query := r.URL.Query()
	since, err := strconv.ParseUint(query.Get("since"), 10, 64)
	if err != nil {
		return refusal(http.StatusBadRequest, "since is not a number")
	}
	waitMS, err := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	if err != nil || waitMS < 0 {
		return refusal(http.StatusBadRequest, "waitMs is not a number of milliseconds")
	}
	var kinds []string
	if list := query.Get("kinds"); list != "" {
		kinds = strings.Split(list, ",")
	}
	timer := time.NewTimer(min(time.Duration(waitMS)*time.Millisecond, maxWatchWait))
	defer timer.Stop()
	for {
		reply, next, kept := s.store.since(since, kinds)
		if !kept {
			return refusal(http.StatusGone, "revision is no longer kept")
		}
		if len(reply.Objects) > 0 {
			return answer{http.StatusOK, reply}
		}
		select {
		case <-next:
		case <-timer.C:
			return answer{http.StatusOK, reply}
		case <-r.Context().Done():
			return refusal(http.StatusRequestTimeout, "caller is gone")
		case <-s.closed:
			return refusal(http.StatusServiceUnavailable, "closing")
		}
	}
}
