package silence

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"egretroad/internal/standin/linegroup"
	"egretroad/internal/standin/metastore"
)

// kindVMs is the kind of the store under which VMs register.
const kindVMs = "egretroad-vms"

// Ports of each VM, which has a loopback address of its own.
const (
	frontPort   = 7001
	readyPort   = 7002
	controlPort = 7003
	statusPort  = 7004
)

const (
	dataCentres  = 3
	serviceName  = "orders"
	readyTimeout = 15 * time.Second
	graceTime    = 6 * time.Second
	probeTimeout = 2 * time.Second
)

// ProxyError reports a failed operation on a proxy process.
type ProxyError struct {
	VM    string
	Cause error
}

func (e *ProxyError) Error() string { return fmt.Sprintf("proxy %s: %v", e.VM, e.Cause) }

// Unwrap returns the cause.
func (e *ProxyError) Unwrap() error { return e.Cause }

// proxies is a fleet of real proxy processes on the users' platform, of which the store and
// the servers are stand-ins.
type proxies struct {
	binary string
	dir    string // settings and logs
	store  *metastore.Store
	facade *httptest.Server
	group  *linegroup.Group
	links  *links
	vms    []*proxy
	// storeAddress is that of the relay to the store.
	storeAddress string

	mu      sync.Mutex // guards the fields below
	version int
	hosts   []string
}

// proxy is one process.
type proxy struct {
	fleet *proxies
	index int
	name  string
	zone  int
	ip    string

	mu   sync.Mutex // guards the fields below
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
}

func zoneName(i int) string { return string(rune('a' + i)) }

// startProxies starts a fleet of vmsEach VMs in each data centre and waits until all are
// ready. The caller must call stop.
func startProxies(ctx context.Context, binary, dir string, vmsEach int) (*proxies, error) {
	f := &proxies{binary: binary, dir: dir, links: newLinks()}
	var err error
	if f.store, err = metastore.New(); err != nil {
		return f, err
	}
	f.store.PageSize = 500
	f.facade = httptest.NewServer(f.links.withRelays(f.store.Addr()))
	if f.storeAddress, err = f.links.addStore(f.facade.Listener.Addr().String()); err != nil {
		return f, err
	}
	if f.group, err = linegroup.New(serviceName, "s-a", "s-b", "s-c"); err != nil {
		return f, err
	}
	f.store.Promote = func(_, server string) bool { return f.group.Promote(server) && f.registerServers() }
	f.registerServers()
	f.addRoute("first")
	for i := range dataCentres * vmsEach {
		if err := f.add(i); err != nil {
			return f, err
		}
	}
	// A VM that hears of another one before it has read the list would bypass its relay.
	for _, v := range f.vms {
		if err := v.start(); err != nil {
			return f, err
		}
		if err := v.awaitReady(ctx); err != nil {
			return f, err
		}
	}
	return f, nil
}

// registerServers writes the servers' entries. It always reports true.
func (f *proxies) registerServers() bool {
	for i := range dataCentres {
		id, role := "s-"+zoneName(i), "replica"
		if f.group.Server(id).IsPrimary() {
			role = "primary"
		}
		f.store.Put("servers", id, map[string]any{
			"service": serviceName, "address": f.group.Server(id).Addr(), "zone": zoneName(i), "version": "v1", "slots": 2,
			"state": "ready", "cold-left-ms": 0, "db-role": role, "seq": 1, "born": 1,
		})
	}
	return true
}

// addRoute adds a route as the operator does and returns when the store acknowledged it.
func (f *proxies) addRoute(host string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.hosts = append(f.hosts, host)
	var routes []map[string]any
	for _, h := range f.hosts {
		routes = append(routes, map[string]any{
			"name": "r-" + h, "host": h, "route-kind": "primary", "timeout-ms": 2000, "target-latency-ms": 1000,
			"priority": 1, "service": serviceName, "max-staleness-ms": 1500,
		})
	}
	f.store.Put("config", "main", map[string]any{
		"version": f.version, "routes": routes, "services": []map[string]any{{"name": serviceName, "max-conns": 16}},
		"limits": map[string]any{"tx-idle-ms": 1000},
	})
	return time.Now()
}

// add adds a VM, which does not run yet. Its entry is written before, so that all VMs learn
// the addresses of the relays from their first list.
func (f *proxies) add(index int) error {
	zone := index % dataCentres
	v := &proxy{
		fleet: f, index: index, zone: zone, name: fmt.Sprintf("vm-%s-%d", zoneName(zone), index/dataCentres),
		ip: fmt.Sprintf("127.%d.%d.%d", 128+os.Getpid()%100, zone+1, index/dataCentres+1),
	}
	f.store.Put(kindVMs, v.name, map[string]any{
		"id": v.name, "dataCentre": zoneName(zone), "region": "r-" + zoneName(zone),
		"peerAddr": v.address(controlPort), "callerAddr": v.address(frontPort), "state": "live",
	})
	f.vms = append(f.vms, v)
	return f.links.addPeer(v.name, v.address(controlPort))
}

// awaitReady waits until the VM reports itself ready.
func (v *proxy) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !v.isReady(ctx) {
		select {
		case <-ctx.Done():
			return &ProxyError{VM: v.name, Cause: ctx.Err()}
		case <-time.After(20 * time.Millisecond):
		}
	}
	return nil
}

// bypassing returns the number of connections between VMs that bypass the relays.
func (f *proxies) bypassing() (int, error) {
	addresses := map[netip.AddrPort]bool{}
	for _, v := range f.vms {
		addresses[netip.MustParseAddrPort(v.address(controlPort))] = true
	}
	return directLinks(addresses)
}

// stop ends all processes and stand-ins.
func (f *proxies) stop() {
	for _, v := range f.vms {
		v.signal(syscall.SIGCONT)
		v.kill()
	}
	if f.facade != nil {
		f.facade.CloseClientConnections()
		f.facade.Config.SetKeepAlivesEnabled(false)
		_ = f.facade.Listener.Close() // Close would wait for calls on silent connections
	}
	if f.store != nil {
		f.store.Close()
	}
	if f.group != nil {
		f.group.Close()
	}
}

func (v *proxy) address(port int) string { return net.JoinHostPort(v.ip, fmt.Sprint(port)) }

// settings returns the platform's settings file.
func (v *proxy) settings() string {
	zones := ""
	for i := range dataCentres {
		zones += fmt.Sprintf("%s = \"r-%s\"\n", zoneName(i), zoneName(i))
	}
	return fmt.Sprintf(`node-name = %q
ip = %q
zone = %q
region = "r-%s"
internal-ports = [%d,%d]
seeds = []
heartbeat-ms = 1200
[zones]
%s[listen]
front = %q
ready = %q
control = %q
[limits]
memory-mb = 200
max-fds = 4200
[bounds]
drain-ms = 7000
grace-s = %d
[platform]
address = %q
[cloud-api]
address = %q
duties = ["failover"]
`, v.name, v.ip, zoneName(v.zone), zoneName(v.zone), statusPort, statusPort+10, zones,
		v.address(frontPort), v.address(readyPort), v.address(controlPort),
		int(graceTime.Seconds()), v.fleet.storeAddress, v.fleet.store.Addr())
}

// start starts the process.
func (v *proxy) start() error {
	file := filepath.Join(v.fleet.dir, v.name+".toml")
	if err := os.WriteFile(file, []byte(v.settings()), 0o600); err != nil {
		return &ProxyError{VM: v.name, Cause: err}
	}
	log, err := os.OpenFile(filepath.Join(v.fleet.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return &ProxyError{VM: v.name, Cause: err}
	}
	cmd := exec.Command(v.fleet.binary, "node")
	cmd.Env = append(os.Environ(), "EGRETROAD_NODE_FILE="+file, "GOMAXPROCS=1")
	cmd.Stdout, cmd.Stderr = log, log
	// The kernel kills the proxy when this process dies.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = log.Close() // the error of the start is returned
		return &ProxyError{VM: v.name, Cause: err}
	}
	done := make(chan struct{})
	v.mu.Lock()
	v.cmd, v.done = cmd, done
	v.mu.Unlock()
	go func() {
		_ = cmd.Wait()  // the exit code of a killed process has no meaning
		_ = log.Close() // complete when the process has ended
		close(done)
	}()
	return nil
}

func (v *proxy) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd != nil {
		_ = v.cmd.Process.Signal(s) // it may have ended already
	}
}

// kill kills the process and waits for its end.
func (v *proxy) kill() {
	v.mu.Lock()
	cmd, done := v.cmd, v.done
	v.cmd = nil
	v.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill() // it may have ended already
	<-done
}

// terminate stops the process as the platform does and waits for its end.
func (v *proxy) terminate() {
	v.mu.Lock()
	done := v.done
	v.mu.Unlock()
	v.signal(syscall.SIGTERM)
	select {
	case <-done:
	case <-time.After(graceTime):
	}
	v.kill()
}

func (v *proxy) isReady(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.address(readyPort)+"/ready", nil)
	if err != nil {
		return false
	}
	client := http.Client{Timeout: time.Second}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close() // only the status matters
	return response.StatusCode == http.StatusOK
}

// serves reports whether the VM accepts sessions of a database. known is false if it gave no
// answer.
func (v *proxy) serves(host string) (accepted, known bool) {
	conn, err := net.DialTimeout("tcp", v.address(frontPort), probeTimeout)
	if err != nil {
		return false, false
	}
	defer func() { _ = conn.Close() }() // the answer has been read
	if conn.SetDeadline(time.Now().Add(probeTimeout)) != nil {
		return false, false
	}
	if _, err := fmt.Fprintf(conn, "CONNECT %s probe\r\n", host); err != nil {
		return false, false
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	switch {
	case err != nil:
		return false, false
	case strings.HasPrefix(line, "READY"):
		return true, true
	default:
		return false, strings.HasPrefix(line, "ERROR NODB")
	}
}
