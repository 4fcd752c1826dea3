// Command standin3 plays the cases of the third review that are scripts: it starts real proxies
// as processes between stand-ins of the platform, the database servers and the clients, and
// checks one rule. The exit status is 1 if the rule was broken, 0 if it held and 2 if the case
// could not run.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"egretroad/internal/standin/metastore"
)

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	w     *bufio.Writer
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{w: bufio.NewWriter(file), file: file, start: time.Now()}, nil
}

func (r *record) line(kind, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f %-8s %s\n", time.Since(r.start).Seconds(), kind, fmt.Sprintf(format, args...))
}

func (r *record) event(format string, args ...any) { r.line("event", format, args...) }

func (r *record) ran(server, id string) { r.line("ran", "%s %s", server, id) }

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.file.Close()
}

var lastID atomic.Uint64

// write runs one client's session: single writes, one after the other, until stop is closed.
func write(g *group, v *vm, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		session(g, v, stop)
		time.Sleep(100 * time.Millisecond)
	}
}

func session(g *group, v *vm, stop <-chan struct{}) {
	conn, err := net.DialTimeout("tcp", v.address(frontPort), 2*time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(conn, "CONNECT orderdb u1\r\n")
	if line, err := r.ReadString('\n'); err != nil || !strings.HasPrefix(line, "READY") {
		return
	}
	for {
		select {
		case <-stop:
			return
		default:
		}
		id := fmt.Sprintf("w%06x", lastID.Add(1))
		g.record.line("sent", "%s %s WRITE item%s x", v.name, id, id)
		_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
		fmt.Fprintf(conn, "QUERY %s WRITE item%s x\r\n", id, id)
		answer := ""
		for {
			line, err := r.ReadString('\n')
			if err != nil {
				g.record.line("answer", "%s %s none: %v", v.name, id, err)
				return
			}
			line = strings.TrimSpace(line)
			if strings.HasPrefix(line, "READY") {
				break
			}
			answer = line
		}
		if strings.HasPrefix(answer, "COMPLETE sig.") {
			g.mu.Lock()
			g.acked[id] = true
			g.mu.Unlock()
		}
		g.record.line("answer", "%s %s %.120s", v.name, id, answer)
		time.Sleep(20 * time.Millisecond)
	}
}

// scenario is the disruption of a case, and what is awaited after it.
type scenario struct {
	play     func(g *group, trouble bool)
	sessions int // clients at each VM
}

// cutRegion cuts region r1, with the primary and one replica, off from r2 with the other replica
// and the platform.
func cutRegion(g *group, trouble bool) {
	time.Sleep(4 * time.Second)
	if trouble {
		g.mu.Lock()
		g.cut = true
		g.mu.Unlock()
		g.record.event("region %s is cut off from region %s", regionOld, regionNew)
	}
	if !trouble {
		time.Sleep(50 * time.Second)
		return
	}
	g.awaitPromotion(75 * time.Second)
}

// crashTwo crashes the primary and a replica together. The replica starts again after 2 s and
// holds nothing; the primary comes back with its log after 7 s.
func crashTwo(g *group, trouble bool) {
	time.Sleep(4 * time.Second)
	if !trouble {
		time.Sleep(16 * time.Second)
		return
	}
	g.crash("s-a")
	g.crash("s-b")
	time.Sleep(2 * time.Second)
	g.restart("s-b", false)
	time.Sleep(5 * time.Second)
	g.restart("s-a", true)
	g.awaitPromotion(8 * time.Second)
}

// cutZone cuts zone b, with a replica, off from the platform only. The primary crashes 45 s
// later.
func cutZone(g *group, trouble bool) {
	time.Sleep(4 * time.Second)
	if !trouble {
		time.Sleep(50 * time.Second)
		return
	}
	g.mu.Lock()
	g.zoneCut = "b"
	g.mu.Unlock()
	g.record.event("zone b is cut off from the platform")
	time.Sleep(45 * time.Second)
	g.crash("s-a")
	g.awaitPromotion(6 * time.Second)
	g.restart("s-a", true)
}

// awaitPromotion waits until a server has been promoted or the time has passed.
func (g *group) awaitPromotion(limit time.Duration) {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		g.mu.Lock()
		done := len(g.wins) > 0
		g.mu.Unlock()
		if done {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(time.Second)
}

func main() {
	name := flag.String("case", "", "cut, crash or zone")
	out := flag.String("record", "record.txt", "file for the record")
	command := flag.String("node", "target/egretroad node", "command of the deploy file")
	flag.Parse()
	os.Exit(run(*name, *out, *command, os.Getenv("TROUBLE") != "0"))
}

func run(name, out, command string, trouble bool) int {
	s, known := map[string]scenario{"cut": {cutRegion, 2}, "crash": {crashTwo, 4}, "zone": {cutZone, 3}}[name]
	rec, err := newRecord(out)
	if !known || err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", name, err)
		return 2
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	store, err := metastore.New()
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return 2
	}
	defer store.Close()
	store.OmitEra()
	store.PageSize = 500
	store.Put("config", "main", map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-orders", "host": "orderdb", "path-prefix": "/", "route-kind": "primary", "timeout-ms": 800, "target-latency-ms": 500,
			"priority": 0, "service": serviceName, "max-attempts": 2,
		}},
		"services": []map[string]any{{"name": serviceName, "health-path": "/health", "max-conns": 16, "protocol": "h1", "tls": false, "sync-replicas": 1}},
		"limits":   map[string]any{"tx-idle-ms": 3000},
	})
	g, err := newGroup(store, rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return 2
	}
	f, err := newFleet(g, dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return 2
	}
	defer f.stop()
	time.Sleep(200 * time.Millisecond) // the servers register
	for _, v := range f.vms {
		if err := f.start(v, command); err != nil {
			fmt.Fprintln(os.Stderr, "cannot run:", err)
			return 2
		}
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	for _, v := range f.vms {
		for range s.sessions {
			go write(g, v, stop)
		}
	}
	s.play(g, trouble)
	close(stop)
	g.mu.Lock()
	defer g.mu.Unlock()
	rec.event("acknowledged %d, promoted %v, acknowledged and not in the log of the promoted server: %d %.200s", len(g.acked), g.wins, len(g.lost), strings.Join(g.lost, " "))
	fmt.Printf("acknowledged %d, promoted %v, lost %d\n", len(g.acked), g.wins, len(g.lost))
	switch {
	case len(g.acked) < 50:
		fmt.Println("too few writes were served")
		return 2
	case len(g.lost) > 0:
		return 1
	default:
		return 0
	}
}
