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

// maxBodyBytes allows for the JSON envelope around a value.
const maxBodyBytes = platform.MaxValueBytes + 4096

// maxWatchWait limits the wait of a long-poll watch.
const maxWatchWait = 5 * time.Minute

// response is the HTTP status and JSON body of a call.
type response struct {
	status int
	body   any
}

func errorResponse(status int, message string) response {
	return response{status, map[string]string{"error": message}}
}

func (s *Server) routes() {
	objects := platform.PathObjects
	s.handle(CallList, "GET "+objects+"{kind}", s.list)
	s.handle(CallGet, "GET "+objects+"{kind}/{name}", s.get)
	s.handle(CallPut, "PUT "+objects+"{kind}/{name}", s.put)
	s.handle(CallDelete, "DELETE "+objects+"{kind}/{name}", s.delete)
	s.handle(CallWatch, "GET "+platform.PathWatch, s.watch)
	s.handle(CallVMs, "GET "+platform.PathVMs, func(*http.Request) response {
		return response{http.StatusOK, s.visibleVMs()}
	})
}

// handle registers the handler of a call, wrapped with the call counter and the
// injected faults.
func (s *Server) handle(call Call, pattern string, f func(*http.Request) response) {
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		s.countCall(call)
		if !s.waitUntilReachable(r) || !s.applyDelay(r) {
			abortConnection(w)
			return
		}
		a := f(r)
		if s.takeDroppedResponse(call) || !s.waitUntilReachable(r) {
			abortConnection(w)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(a.status)
		_ = json.NewEncoder(w).Encode(a.body)
	})
}

func (s *Server) countCall(call Call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callCounts[string(call)]++
}

// waitUntilReachable reports whether outages and cuts let the call pass between its
// source and the API. A call that a cut or a hanging outage blocks waits until the
// fault ends and then fails with false.
func (s *Server) waitUntilReachable(r *http.Request) bool {
	s.mu.Lock()
	outage, mode, end := s.outage, s.outageMode, s.outageEnd
	s.mu.Unlock()
	if outage {
		if mode == OutageHang {
			s.waitFor(r, end)
		}
		return false
	}
	source, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return true
	}
	blocked := false
	for {
		changed := s.partitions.Changed()
		if !s.partitions.Blocked(source.Addr(), s.ip) {
			return !blocked
		}
		blocked = true
		if !s.waitFor(r, changed) {
			return false
		}
	}
}

// waitFor waits until a channel is closed. It returns false if the call or the server
// ends first.
func (s *Server) waitFor(r *http.Request, until <-chan struct{}) bool {
	select {
	case <-until:
		return true
	case <-r.Context().Done():
	case <-s.closed:
	}
	return false
}

// applyDelay waits for the delay set by Slow. It returns false if the call or the
// server ends first.
func (s *Server) applyDelay(r *http.Request) bool {
	s.mu.Lock()
	d := s.callDelay
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

// takeDroppedResponse reports whether the response to the call is to be dropped, and
// counts it against the number set by LoseAnswers.
func (s *Server) takeDroppedResponse(call Call) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.responsesToDrop[call] == 0 {
		return false
	}
	s.responsesToDrop[call]--
	return true
}

// abortConnection resets the connection without a response.
func abortConnection(w http.ResponseWriter) {
	nc, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := nc.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	nc.Close()
}

func (s *Server) list(r *http.Request) response {
	return response{http.StatusOK, s.store.list(r.PathValue("kind"))}
}

func (s *Server) get(r *http.Request) response {
	o, ok := s.store.get(r.PathValue("kind"), r.PathValue("name"))
	if !ok {
		return errorResponse(http.StatusNotFound, "no such object")
	}
	return response{http.StatusOK, o}
}

func (s *Server) put(r *http.Request) response {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err != nil {
		return errorResponse(http.StatusBadRequest, "cannot read the body")
	}
	if len(body) > maxBodyBytes {
		return errorResponse(http.StatusRequestEntityTooLarge, "value is larger than 1 MiB")
	}
	var request platform.PutRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return errorResponse(http.StatusBadRequest, "body is not a PutRequest: "+err.Error())
	}
	switch {
	case len(request.Value) == 0:
		return errorResponse(http.StatusBadRequest, "value is missing")
	case len(request.Value) > platform.MaxValueBytes:
		return errorResponse(http.StatusRequestEntityTooLarge, "value is larger than 1 MiB")
	}
	return conditionalResponse(s.store.put(r.PathValue("kind"), r.PathValue("name"), request.IfVersion, request.Value))
}

func (s *Server) delete(r *http.Request) response {
	version, err := strconv.ParseUint(r.URL.Query().Get("ifVersion"), 10, 64)
	if err != nil {
		return errorResponse(http.StatusBadRequest, "ifVersion is not a number")
	}
	return conditionalResponse(s.store.delete(r.PathValue("kind"), r.PathValue("name"), version))
}

// conditionalResponse returns the response to a conditional update: status 409 and the
// current object if the version did not match.
func conditionalResponse(o platform.Object, ok bool) response {
	if !ok {
		return response{http.StatusConflict, o}
	}
	return response{http.StatusOK, o}
}

func (s *Server) watch(r *http.Request) response {
	query := r.URL.Query()
	since, err := strconv.ParseUint(query.Get("since"), 10, 64)
	if err != nil {
		return errorResponse(http.StatusBadRequest, "since is not a number")
	}
	waitMS, err := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	if err != nil || waitMS < 0 {
		return errorResponse(http.StatusBadRequest, "waitMs is not a number of milliseconds")
	}
	var kinds []string
	if list := query.Get("kinds"); list != "" {
		kinds = strings.Split(list, ",")
	}
	timer := time.NewTimer(min(time.Duration(waitMS)*time.Millisecond, maxWatchWait))
	defer timer.Stop()
	for {
		reply, next, retained := s.store.since(since, kinds)
		if !retained {
			return errorResponse(http.StatusGone, "revision is no longer kept")
		}
		if len(reply.Objects) > 0 {
			return response{http.StatusOK, reply}
		}
		select {
		case <-next:
		case <-timer.C:
			return response{http.StatusOK, reply}
		case <-r.Context().Done():
			return errorResponse(http.StatusRequestTimeout, "caller is gone")
		case <-s.closed:
			return errorResponse(http.StatusServiceUnavailable, "closing")
		}
	}
}
