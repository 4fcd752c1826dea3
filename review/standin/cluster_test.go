//go:build review

package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"egretroad/internal/standin/metastore"
	"egretroad/internal/standin/network"
)

// zones are the data centres of the deployment, one entry per VM.
var zones = []string{"milano-est", "milano-est", "milano-est", "torino-nord", "torino-nord", "bologna-ovest"}

// The two sides of the network that a case may separate, and the side of each VM.
const (
	sideNear = "near"
	sideFar  = "far"
)

var sides = []string{sideNear, sideNear, sideFar, sideNear, sideFar, sideFar}

var dataCentres = []string{"milano-est", "torino-nord", "bologna-ovest"}

var regions = map[string]string{"milano-est": "lombardia", "torino-nord": "piemonte", "bologna-ovest": "emilia"}

// Names of the deployment.
const (
	serviceName  = "archivio"
	hostPrimary  = "esito"    // primary
	hostBounded  = "consulta" // bounded_staleness
	hostOwn      = "prenota"  // read_your_writes
	graceSeconds = 6          // grace-s
	memoryMB     = 284        // memory-mb
)

// cluster is a small deployment: the proxies as processes of their own, and stand-ins of
// the store, the cloud API, the servers and the clients in this process.
type cluster struct {
	dir     string
	store   *metastore.Store
	network *fleetNetwork
	cloud   *cloud
	group   *group
	vms     []*vm
	ports   ports
	seqMu   sync.Mutex
	seq     map[string]int
}

// ports are the ports of all VMs.
type ports struct{ front, ready, control, internal int }

// vm is one proxy process, which is started again when it ends.
type vm struct {
	cluster  *cluster
	name     string
	zone, ip string
	side     string

	mu       sync.Mutex // guards the fields below
	cmd      *exec.Cmd
	done     chan struct{} // closed when the process has ended
	starts   int
	stopping bool
}

func newCluster() (*cluster, error) {
	dir, err := os.MkdirTemp("", "egretroad-review-")
	if err != nil {
		return nil, err
	}
	c := &cluster{dir: dir, group: newGroup(serviceName), seq: map[string]int{}}
	c.group.report = c.report
	if c.store, err = metastore.New(); err != nil {
		return nil, err
	}
	c.store.PageSize = 500
	c.store.OmitEra()
	if c.network, err = newFleetNetwork(c.store.Addr(), []string{sideNear, sideFar}); err != nil {
		return nil, err
	}
	if c.cloud, err = newCloud(c.group); err != nil {
		return nil, err
	}
	for i, id := range []string{"i-01", "i-02", "i-03"} {
		if _, err := c.group.add(id, dataCentres[i]); err != nil {
			return nil, err
		}
	}
	c.putConfig(7)
	if c.ports, err = freePorts(c.network.cuts); err != nil {
		return nil, err
	}
	for i, zone := range zones {
		if _, err := c.addVM(zone, sides[i]); err != nil {
			return nil, err
		}
	}
	for _, v := range c.vms {
		if err := v.start(); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// addVM adds another VM, which does not run yet.
func (c *cluster) addVM(zone, side string) (*vm, error) {
	inZone, onSide := 1, 0
	for _, v := range c.vms {
		if v.zone == zone {
			inZone++
		}
		if v.side == side {
			onSide++
		}
	}
	v := &vm{cluster: c, name: fmt.Sprintf("front-%s-%d", zone, inZone), zone: zone, side: side, ip: c.network.cuts.VMAddr(side, onSide)}
	c.vms = append(c.vms, v)
	return v, c.network.add(v.name, v.address(c.ports.control))
}

// close ends all processes and stand-ins.
func (c *cluster) close() {
	for _, v := range c.vms {
		v.mu.Lock()
		v.stopping = true
		cmd, done := v.cmd, v.done
		v.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Kill()
			<-done
		}
	}
	c.store.Close()
	_ = os.RemoveAll(c.dir)
}

// vmsPerSide is the largest number of VMs on a side in any case.
const vmsPerSide = 4

// freePorts returns ports that are free on the addresses of all VMs.
func freePorts(addresses *network.Network) (ports, error) {
	var found []int
	for len(found) < 4 {
		probe, err := net.Listen("tcp", net.JoinHostPort(addresses.VMAddr(sideNear, 0), "0"))
		if err != nil {
			return ports{}, err
		}
		port := probe.Addr().(*net.TCPAddr).Port
		_ = probe.Close()
		free := true
		for _, side := range []string{sideNear, sideFar} {
			for i := range vmsPerSide {
				l, err := net.Listen("tcp", net.JoinHostPort(addresses.VMAddr(side, i), strconv.Itoa(port)))
				if err != nil {
					free = false
					continue
				}
				_ = l.Close()
			}
		}
		if free {
			found = append(found, port)
		}
	}
	return ports{found[0], found[1], found[2], found[3]}, nil
}

// putConfig writes the operator's configuration.
func (c *cluster) putConfig(version int) {
	route := func(name, host, kind string, timeout, objective, priority, age int) map[string]any {
		r := map[string]any{
			"name": name, "host": host, "path-prefix": "/", "route-kind": kind, "timeout-ms": timeout,
			"target-latency-ms": objective, "priority": priority, "service": serviceName, "max-attempts": 2,
		}
		if age > 0 {
			r["max-staleness-ms"] = age
		}
		return r
	}
	c.store.Put("config", "main", map[string]any{
		"version": version,
		"routes": []any{
			route("r-1", hostPrimary, "primary", 800, 400, 0, 0),
			route("r-2", hostBounded, "bounded_staleness", 1200, 600, 1, 1500),
			route("r-3", hostOwn, "read_your_writes", 800, 1500, 2, 2500),
		},
		"services": []any{map[string]any{
			"name": serviceName, "health-path": "/health", "max-conns": maxConns, "protocol": "h1", "tls": false, "sync-replicas": 0,
		}},
		"limits": map[string]any{
			"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000, "tx-idle-ms": 3000,
		},
	})
}

// report writes a server's entry to the store.
func (c *cluster) report(s *server) {
	c.seqMu.Lock()
	defer c.seqMu.Unlock()
	c.group.mu.Lock()
	c.seq[s.id]++
	role, state := "replica", "ready"
	if s.primary {
		role = "primary"
	}
	if s.draining {
		state = "draining"
	}
	entry := map[string]any{
		"service": serviceName, "address": s.listener.Addr().String(), "zone": s.zone, "version": "v1", "slots": slotsPerServer,
		"state": state, "cold-left-ms": 0, "db-role": role, "seq": c.seq[s.id],
	}
	c.group.mu.Unlock()
	c.store.Put("servers", s.id, entry)
}

// release replaces a server as planned: a new one starts first, then the old one reports
// that it is draining and ends drainTime later.
func (c *cluster) release(old, next string) error {
	c.group.mu.Lock()
	s := c.group.servers[old]
	c.group.mu.Unlock()
	if _, err := c.group.add(next, s.zone); err != nil {
		return err
	}
	note("release: %s starts in place of %s", next, old)
	time.Sleep(300 * time.Millisecond)
	s.drain()
	note("release: %s is draining", old)
	time.AfterFunc(drainTime, func() {
		s.remove()
		c.store.Delete("servers", old)
		note("release: %s has ended", old)
	})
	return nil
}

// drainTime is drain-ms and a little longer, as servers take.
const drainTime = 7500 * time.Millisecond

func (c *cluster) leader() string {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	return c.group.leader.id
}

func (v *vm) address(port int) string { return net.JoinHostPort(v.ip, strconv.Itoa(port)) }

func (v *vm) front() string { return v.address(v.cluster.ports.front) }

func (v *vm) settings() string {
	p := v.cluster.ports
	seed := func(i int) string { return v.cluster.network.relayOf(fmt.Sprintf("front-%s-1", dataCentres[i])) }
	var b strings.Builder
	fmt.Fprintf(&b, `node-name = %q
role = "proxy"
machine-class = "front"
serves = ["front","control"]
ip = %q
zone = %q
region = %q
internal-ports = [%d,%d]
seeds = [%q,%q,%q]
bootstrap = true
counts-as-loss = false
discovery = "platform"
entry = "virtual_ip"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","recover","sql","platform"]
[zones]
`, v.name, v.ip, v.zone, regions[v.zone], p.internal, p.internal+15, seed(0), seed(1), seed(2))
	for zone, region := range regions {
		fmt.Fprintf(&b, "%s = %q\n", zone, region)
	}
	fmt.Fprintf(&b, `[listen]
front = %q
ready = %q
control = %q
[limits]
cpu-share = 0.4
cores = 1
memory-mb = %d
max-fds = 4300
link-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seed-lag-s = 3
reuse-after-s = 2
stable-window-ms = 5000
ack-ms = 6000
catch-up-s = 4
drain-ms = 7000
grace-s = %d
loss-slack-ms = 200
config-apply-ms = 3000
revert-slack-ms = 250
skew-max-ms = 15000
recovery-s = 12
fencing-enabled = false
thaw-slack-ms = 300
[platform]
address = %q
form = "objects"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
ttl-min-ms = 1000
[cloud-api]
address = %q
rate-per-s = 50.0
duties = ["failover"]
duty-per-s = 50.0
`, v.address(p.front), v.address(p.ready), v.address(p.control), memoryMB, graceSeconds, v.cluster.network.listener.Addr().String(), v.cluster.cloud.addr())
	return b.String()
}

// command returns the command of the deploy file's only role.
func command() (*exec.Cmd, error) {
	raw, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(raw)) {
		if value, found := strings.CutPrefix(strings.TrimSpace(line), `run = "`); found {
			words := strings.Fields(strings.TrimSuffix(value, `"`))
			return exec.Command(words[0], words[1:]...), nil
		}
	}
	return nil, errors.New("deploy/system.toml has no run line")
}

// start starts the process, and again after a short delay whenever it ends.
func (v *vm) start() error {
	file := filepath.Join(v.cluster.dir, v.name+".toml")
	if err := os.WriteFile(file, []byte(v.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(v.cluster.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd, err := command()
	if err != nil {
		return err
	}
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "EGRETROAD_NODE_FILE=" + file}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	v.mu.Lock()
	v.cmd, v.done = cmd, done
	v.starts++
	v.mu.Unlock()
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		close(done)
		v.mu.Lock()
		stopping := v.stopping
		v.mu.Unlock()
		if stopping {
			return
		}
		note("process %s has ended: %v", v.name, err)
		time.Sleep(500 * time.Millisecond)
		v.mu.Lock()
		stopping = v.stopping
		v.mu.Unlock()
		if stopping {
			return
		}
		if err := v.start(); err != nil {
			note("process %s cannot be started: %v", v.name, err)
		}
	}()
	return nil
}

// signal sends a signal to the process.
func (v *vm) signal(sig syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	note("%s gets %s", v.name, sig)
	_ = v.cmd.Process.Signal(sig)
}

// isReady asks the ready address as the platform does.
func (v *vm) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + v.address(v.cluster.ports.ready) + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all VMs report themselves ready.
func (c *cluster) awaitReady() error {
	deadline := time.Now().Add(15 * time.Second)
	for _, v := range c.vms {
		for !v.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", v.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// failover is one call of the platform's promotion API.
type failover struct {
	server, holder string
	token          uint64
}

// cloud is the stand-in of the platform's cloud API. It does not check fencing tokens.
type cloud struct {
	listener net.Listener
	group    *group

	mu    sync.Mutex // guards the fields below
	calls []failover
	// unanswered, if set, decides whether a call gets no answer and is executed after the
	// returned time.
	unanswered func(n int, call failover) (time.Duration, bool)
}

func newCloud(g *group) (*cloud, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &cloud{listener: listener, group: g}
	go func() { _ = http.Serve(listener, http.HandlerFunc(c.serve)) }()
	return c, nil
}

func (c *cloud) addr() string { return c.listener.Addr().String() }

func (c *cloud) serve(w http.ResponseWriter, r *http.Request) {
	var body struct{ Service, ID string }
	token, err := strconv.ParseUint(r.Header.Get("X-Egretroad-Fence-Token"), 10, 64)
	if r.Method != http.MethodPost || r.URL.Path != "/failover" || err != nil || json.NewDecoder(r.Body).Decode(&body) != nil || body.Service != serviceName {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	call := failover{server: body.ID, holder: r.Header.Get("X-Egretroad-Duty-Holder"), token: token}
	c.mu.Lock()
	c.calls = append(c.calls, call)
	n := len(c.calls)
	unanswered := c.unanswered
	c.mu.Unlock()
	if unanswered != nil {
		if delay, lost := unanswered(n, call); lost {
			note("POST /failover %d: %s by %s with token %d gets no answer and is executed %s later", n, call.server, call.holder, call.token, delay)
			time.AfterFunc(delay, func() {
				note("POST /failover %d: %s with token %d is executed now: running %t", n, call.server, call.token, c.group.promote(call.server))
			})
			panic(http.ErrAbortHandler) // the connection ends without a response
		}
	}
	running := c.group.promote(call.server)
	note("POST /failover %d: %s by %s with token %d: running %t", n, call.server, call.holder, call.token, running)
	w.Header().Set("Content-Type", "application/json")
	if !running {
		w.WriteHeader(http.StatusConflict)
	}
	_, _ = w.Write([]byte("{}"))
}
