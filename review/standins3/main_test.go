//go:build review

// Package standins3 plays the cases of the third review that are scripts: it starts real proxies
// as processes between stand-ins of the platform, the database servers and the clients, and
// checks one rule. The exit status is 1 if the rule was broken, 0 if it held and 2 if the case
// could not run.
package standins3

import (
	"bufio"
	"flag"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
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
			if g.late[id] {
				g.stale++
			}
			g.mu.Unlock()
		}
		g.record.line("answer", "%s %s %.120s", v.name, id, answer)
		time.Sleep(20 * time.Millisecond)
	}
}

// scenario is the disruption of a case, and what is awaited after it.
type scenario struct {
	play     func(g *group, f *fleet, trouble bool)
	sessions int // clients at each VM
	// unsynced is set for a group without synchronous replicas, on a platform that neither checks
	// fences nor stops a replaced primary.
	unsynced bool
	zones    []string // of the VMs
}

// cutRegion cuts region r1, with the primary and one replica, off from r2 with the other replica
// and the platform.
func cutRegion(g *group, _ *fleet, trouble bool) {
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

// deafTime is how long a replica receives nothing.
const deafTime = 6500 * time.Millisecond

// crashTwo crashes the primary and a replica together while the other one receives nothing. The replica starts again after 2 s and
// holds nothing; the primary comes back with its log after 7 s.
func crashTwo(g *group, _ *fleet, trouble bool) {
	time.Sleep(4 * time.Second)
	if !trouble {
		time.Sleep(19 * time.Second)
		return
	}
	g.deafen("s-c", deafTime)
	time.Sleep(3 * time.Second)
	g.crash("s-a")
	g.crash("s-b")
	time.Sleep(2 * time.Second)
	g.restart("s-b", false)
	time.Sleep(5 * time.Second)
	g.restart("s-a", true)
	g.awaitPromotion(8 * time.Second)
}

// cutZone cuts zone b, with a replica, off from the platform only. 42 s later the
// other replica receives nothing for a while, and the primary crashes meanwhile.
func cutZone(g *group, _ *fleet, trouble bool) {
	time.Sleep(4 * time.Second)
	if !trouble {
		time.Sleep(50 * time.Second)
		return
	}
	g.mu.Lock()
	g.zoneCut = "b"
	g.mu.Unlock()
	g.record.event("zone b is cut off from the platform")
	time.Sleep(42 * time.Second)
	g.deafen("s-c", deafTime)
	time.Sleep(3 * time.Second)
	g.crash("s-a")
	g.awaitPromotion(6 * time.Second)
	g.restart("s-a", true)
}

// joinAndRestart cuts the two regions off from each other. A VM is added in the region of the
// platform, and then the three VMs there are killed together and start again.
func joinAndRestart(g *group, f *fleet, trouble bool) {
	time.Sleep(16 * time.Second) // all VMs have been listed for longer than any list that they know
	if trouble {
		g.mu.Lock()
		g.cut = true
		g.mu.Unlock()
		g.record.event("region %s is cut off from region %s", regionOld, regionNew)
	}
	time.Sleep(300 * time.Millisecond)
	v, err := f.add("c")
	if err == nil {
		err = f.launch(v, f.command)
	}
	if err != nil {
		g.record.event("no VM can be added: %v", err)
		return
	}
	g.record.event("VM %s is added", v.name)
	if !trouble {
		time.Sleep(18 * time.Second)
		return
	}
	time.Sleep(2900 * time.Millisecond)
	for _, v := range f.all() {
		if v.region == regionNew {
			v.kill()
		}
	}
	g.record.event("the VMs of region %s are killed", regionNew)
	time.Sleep(time.Second)
	for _, v := range f.all() {
		if v.region == regionNew {
			if err := f.launch(v, f.command); err != nil {
				g.record.event("cannot start %s: %v", v.name, err)
			}
		}
	}
	g.record.event("they are started")
	g.awaitPromotion(16 * time.Second)
	time.Sleep(4 * time.Second)
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

// TestMain plays a case instead of tests, if one is named.
func TestMain(m *testing.M) {
	name := flag.String("case", "", "cut, join, zone or crash")
	out := flag.String("record", "record.txt", "file for the record")
	command := flag.String("node", "target/egretroad node", "command of the deploy file")
	flag.Parse()
	if *name == "" {
		os.Exit(m.Run())
	}
	os.Exit(run(*name, *out, *command, os.Getenv("TROUBLE") != "0"))
}

func run(name, out, command string, trouble bool) int {
	s, known := map[string]scenario{
		"cut": {play: cutRegion, sessions: 2}, "crash": {play: crashTwo, sessions: 4}, "zone": {play: cutZone, sessions: 3},
		"join": {play: joinAndRestart, sessions: 2, unsynced: true, zones: []string{"a", "b", "c", "c"}},
	}[name]
	if s.zones == nil {
		s.zones = []string{"a", "b", "c"}
	}
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
	synced := 1
	if s.unsynced {
		synced = 0
		store.AcceptStaleTokens()
	}
	store.Put("config", "main", map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-orders", "host": "orderdb", "path-prefix": "/", "route-kind": "primary", "timeout-ms": 800, "target-latency-ms": 500,
			"priority": 0, "service": serviceName, "max-attempts": 2,
		}},
		"services": []map[string]any{{"name": serviceName, "health-path": "/health", "max-conns": 16, "protocol": "h1", "tls": false, "sync-replicas": synced}},
		"limits":   map[string]any{"tx-idle-ms": 3000},
	})
	g, err := newGroup(store, rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return 2
	}
	g.sync, g.keepsOld = synced, s.unsynced
	f, err := newFleet(g, dir, command, s.zones...)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return 2
	}
	defer f.stop()
	time.Sleep(200 * time.Millisecond) // the servers register
	for _, v := range f.all() {
		if err := f.start(v); err != nil {
			fmt.Fprintln(os.Stderr, "cannot run:", err)
			return 2
		}
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	for _, v := range f.all() {
		for range s.sessions {
			go write(g, v, stop)
		}
	}
	s.play(g, f, trouble)
	close(stop)
	g.mu.Lock()
	defer g.mu.Unlock()
	rec.event("acknowledged %d, promoted %v, acknowledged and not in the log of the promoted server: %d %.200s", len(g.acked), g.wins, len(g.lost), strings.Join(g.lost, " "))
	rec.event("acknowledged commits of a replaced primary after the promotion: %d", g.stale)
	fmt.Printf("acknowledged %d, promoted %v, lost %d, committed at a replaced primary and acknowledged %d\n", len(g.acked), g.wins, len(g.lost), g.stale)
	switch {
	case len(g.acked) < 50:
		fmt.Println("too few writes were served")
		return 2
	case len(g.lost) > 0 || g.stale > 0:
		return 1
	default:
		return 0
	}
}
