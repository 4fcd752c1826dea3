//go:build review

// Package standins2 plays the cases of an independent review: it starts the proxies of a
// small deployment as separate processes on loopback addresses, with stand-ins of the
// platform, the servers and the clients, and checks one rule on what these have seen.
// build-2.sh builds it as a program of its own.
//
// The program exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package standins2

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

// record is the file that says what was sent, answered and run.
type record struct {
	start time.Time

	mu   sync.Mutex // guards file
	file *os.File
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...)) // the verdict is the exit code
}

// verdict is the exit code of a case.
type verdict int

const (
	held    verdict = 0
	broken  verdict = 1
	failure verdict = 2
)

// cases are the cases by name. trouble is false for the same without the disruption.
var cases = map[string]func(f *fleet, trouble bool) (verdict, string){
	"large-answer":      largeAnswer,
	"replica-unheard":   replicaUnheard,
	"replica-forgotten": replicaForgotten,
	"late-call":         lateCall,
	"long-idle-limit":   longIdleLimit,
}

// playLimit ends a case that hangs.
const playLimit = 115 * time.Second

func TestMain(*testing.M) {
	time.AfterFunc(playLimit, func() {
		fmt.Fprintln(os.Stderr, "the case did not end in time")
		os.Exit(int(failure)) // the kernel kills the proxies
	})
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standins2 CASE PROXY-BINARY RECORD-FILE")
		os.Exit(int(failure))
	}
	run, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintf(os.Stderr, "no case %q\n", os.Args[1])
		os.Exit(int(failure))
	}
	v, text := play(run, os.Args[2], os.Args[3])
	fmt.Println(text)
	os.Exit(int(v))
}

func play(run func(*fleet, bool) (verdict, string), binary, recordFile string) (verdict, string) {
	file, err := os.Create(recordFile)
	if err != nil {
		return failure, err.Error()
	}
	defer func() { _ = file.Close() }() // the verdict is the exit code
	dir, err := os.MkdirTemp("", "review2")
	if err != nil {
		return failure, err.Error()
	}
	defer func() {
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(dir) // it is in the temporary folder
		}
	}()
	f := &fleet{binary: binary, dir: dir, record: &record{start: time.Now(), file: file}, stopping: make(chan struct{})}
	trouble := os.Getenv("TROUBLE") != "0"
	f.record.add("case %s, trouble %v", os.Args[1], trouble)
	defer f.stop()
	v, text := run(f, trouble)
	f.record.add("verdict %d: %s", v, text)
	return v, text
}

// startVMs starts the VMs of all zones and waits until they are ready.
func (f *fleet) startVMs(each int) error {
	for i := range each {
		for _, zone := range zones {
			if err := f.addVM(zone, i+1); err != nil {
				return err
			}
		}
	}
	for _, v := range f.vms {
		if err := v.start(); err != nil {
			return err
		}
		go v.supervise()
	}
	for _, v := range f.vms {
		if !v.awaitReady(20 * time.Second) {
			return fmt.Errorf("%s is not ready", v.name)
		}
	}
	return nil
}

// configure writes the operator's configuration.
func (f *fleet) configure(service string, syncReplicas int, routes ...map[string]any) {
	f.configureVersion(7, 3000, service, syncReplicas, routes...)
}

// configureVersion is configure with a version and the time after which idle transactions may
// be ended.
func (f *fleet) configureVersion(version, txIdleMS int, service string, syncReplicas int, routes ...map[string]any) {
	for _, r := range routes {
		r["service"], r["path-prefix"], r["max-attempts"] = service, "/", 2
	}
	f.store.put("config", "main", map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": service, "health-path": "/health", "max-conns": 55, "protocol": "h1", "tls": false, "sync-replicas": syncReplicas}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000, "tx-idle-ms": txIdleMS},
	})
}

// route returns a route without its service.
func route(host, kind string, timeoutMS, targetMS, staleMS int) map[string]any {
	return map[string]any{
		"name": "r-" + strings.ToLower(host), "host": host, "route-kind": kind, "timeout-ms": timeoutMS, "target-latency-ms": targetMS,
		"priority": 1, "max-staleness-ms": staleMS,
	}
}

// stateGone is the state of a server that has left as planned.
const stateGone = "gone"

// heartbeatMS and lostBeats say when the platform removes the entry of a silent server.
const (
	heartbeatMS = 1200
	lostBeats   = 3
)

// beat writes the entry of a server as its heartbeats do, until the fleet stops. state
// returns "" while the server is silent; then its entry expires.
func (f *fleet) beat(s *server, state func() string) {
	seq, last, listed, shown := 0, time.Time{}, false, ""
	time.Sleep(s.beatOffset)
	for {
		now := state() + s.role()
		switch {
		case state() == stateGone:
			f.record.add("%s has left", s.id)
			f.store.mu.Lock()
			f.store.remove("servers", s.id)
			f.store.mu.Unlock()
			return
		case state() == "":
			if listed && time.Since(last) >= lostBeats*heartbeatMS*time.Millisecond {
				f.record.add("platform: the entry of %s has expired", s.id)
				f.store.mu.Lock()
				f.store.remove("servers", s.id)
				f.store.mu.Unlock()
				listed = false
			}
		case !listed || now != shown || time.Since(last) >= heartbeatMS*time.Millisecond:
			seq++
			f.store.put("servers", s.id, entry(s, state(), seq))
			if now != shown || !listed {
				f.record.add("%s registers: %s %s", s.id, s.role(), state())
			}
			last, listed, shown = time.Now(), true, now
			s.lastBeat.Store(last.UnixNano())
		}
		select {
		case <-f.stopping:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// startPlatform starts the store and the API for failovers. onLead is called, with the group
// locked, when a server is about to lead.
func (f *fleet) startPlatform(g *group, onLead func(*server)) error {
	var err error
	f.store, f.storeAddr, err = startStore(func(c failoverCall) int {
		accepted := g.callFailover(c.ID, onLead)
		f.record.add("platform: %s with token %d calls for the failover of %s to %s: %v", c.holder, c.token, c.Service, c.ID, accepted)
		if accepted {
			return 200
		}
		return 409
	})
	return err
}

// leadsNow is an onLead that checks nothing.
func leadsNow(*server) {}
