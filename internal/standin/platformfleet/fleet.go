// Package platformfleet runs real proxies as separate processes on the users' platform, of
// which the store and the servers are stand-ins. The connections between the proxies, and
// from them to the store, pass through relays, which can make them silent.
package platformfleet

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
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"egretroad/internal/standin/linegroup"
	"egretroad/internal/standin/metastore"
	"egretroad/internal/standin/silence"
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
	readyTimeout = time.Minute
	graceTime    = 6 * time.Second
	probeTimeout = 2 * time.Second
)

// VMError reports a failed operation on a proxy process.
type VMError struct {
	VM    string
	Cause error
}

func (e *VMError) Error() string { return fmt.Sprintf("proxy %s: %v", e.VM, e.Cause) }

// Unwrap returns the cause.
func (e *VMError) Unwrap() error { return e.Cause }

// Fleet is a running deployment with one group of three servers.
type Fleet struct {
	Links *Links
	VMs   []*VM

	binary string
	dir    string // settings and logs
	seeds  int    // number of VMs that the settings name as seeds
	store  *metastore.Store
	facade *httptest.Server
	group  *linegroup.Group
	writes atomic.Uint64 // number of the servers' writes of their entries

	mu      sync.Mutex // guards the fields below
	version int
	hosts   []string
}

// VM is an entry VM with its proxy process.
type VM struct {
	Index int
	Name  string
	IP    string

	fleet *Fleet
	zone  int

	mu   sync.Mutex // guards the fields below
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
}

func zoneName(i int) string { return string(rune('a' + i)) }

// Options describe a fleet.
type Options struct {
	VMsEach int // VMs in each of three data centres
	// Seeds is the number of VMs that the settings of each VM name as seeds.
	Seeds int
	// KeepsOldPrimary makes the platform neither stop a replaced primary nor refuse a low
	// fencing token.
	KeepsOldPrimary bool
	// WithoutConfiguration starts the VMs before the operator has written a configuration.
	WithoutConfiguration bool
}

// Start starts a fleet and waits until all VMs are ready. Settings and logs of the processes
// go to dir. The caller must call Stop, also after an error.
func Start(ctx context.Context, binary, dir string, o Options) (*Fleet, error) {
	f := &Fleet{binary: binary, dir: dir, seeds: o.Seeds, Links: newLinks()}
	var err error
	if f.store, err = metastore.New(); err != nil {
		return f, err
	}
	f.store.PageSize = 500
	f.facade = httptest.NewServer(f.Links.withRelays(f.store.Addr()))
	if f.Links.store, err = silence.Start(f.facade.Listener.Addr().String(), true); err != nil {
		return f, err
	}
	if f.group, err = linegroup.New(serviceName, "s-a", "s-b", "s-c"); err != nil {
		return f, err
	}
	if o.KeepsOldPrimary {
		f.group.KeepsOldPrimary = true
		f.store.AcceptStaleTokens()
	}
	f.store.Promote = func(_, server string) bool { return f.group.Promote(server) && f.registerServers() }
	f.registerServers()
	if !o.WithoutConfiguration {
		f.AddRoute("first")
	}
	for i := range dataCentres * o.VMsEach {
		if err := f.add(i); err != nil {
			return f, err
		}
	}
	// A VM that hears of another one before it has read the list would bypass its relay.
	for _, v := range f.VMs {
		if err := v.Start(); err != nil {
			return f, err
		}
		if err := v.AwaitReady(ctx); err != nil {
			return f, err
		}
	}
	return f, nil
}

// Group returns the group of servers.
func (f *Fleet) Group() *linegroup.Group { return f.group }

// registerServers writes the servers' entries. It always reports true.
func (f *Fleet) registerServers() bool {
	for i := range dataCentres {
		f.RegisterServer("s-"+zoneName(i), "ready")
	}
	return true
}

// RegisterServer writes a server's entry with its role and the given state.
func (f *Fleet) RegisterServer(id, state string) {
	role := "replica"
	if f.group.Server(id).IsPrimary() {
		role = "primary"
	}
	f.store.Put("servers", id, map[string]any{
		"service": serviceName, "address": f.group.Server(id).Addr(), "zone": strings.TrimPrefix(id, "s-"), "version": "v1", "slots": 2,
		"state": state, "cold-left-ms": 0, "db-role": role, "seq": f.writes.Add(1), "born": 1,
	})
}

// AddRoute adds a route as the operator does and returns when the store acknowledged it.
func (f *Fleet) AddRoute(host string) time.Time {
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
func (f *Fleet) add(index int) error {
	zone := index % dataCentres
	v := &VM{
		fleet: f, Index: index, zone: zone, Name: fmt.Sprintf("vm-%s-%d", zoneName(zone), index/dataCentres),
		IP: vmAddress(os.Getpid(), zone, index/dataCentres),
	}
	if err := v.checkAddressFree(); err != nil {
		return err
	}
	f.store.Put(kindVMs, v.Name, map[string]any{
		"id": v.Name, "dataCentre": zoneName(zone), "region": "r-" + zoneName(zone),
		"peerAddr": v.address(controlPort), "callerAddr": v.address(frontPort), "state": "live",
	})
	f.VMs = append(f.VMs, v)
	return f.Links.addPeer(v.Name, v.address(controlPort))
}

// vmAddress returns the loopback address of a VM. Fleets of different processes that run at
// the same time have different addresses.
func vmAddress(pid, zone, index int) string {
	const ranges, subranges = 100, 250 / (dataCentres + 1)
	return fmt.Sprintf("127.%d.%d.%d", 128+pid%ranges, pid/ranges%subranges*(dataCentres+1)+zone+1, index+1)
}

// checkAddressFree returns an error if another process listens on the VM's address.
func (v *VM) checkAddressFree() error {
	for _, port := range []int{frontPort, readyPort, controlPort, statusPort} {
		listener, err := net.Listen("tcp", v.address(port))
		if err != nil {
			return &VMError{VM: v.Name, Cause: err}
		}
		_ = listener.Close() // it was only opened to see that it can be
	}
	return nil
}

// AwaitReady waits until the VM reports itself ready.
func (v *VM) AwaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !v.isReady(ctx) {
		select {
		case <-ctx.Done():
			return &VMError{VM: v.Name, Cause: ctx.Err()}
		case <-time.After(20 * time.Millisecond):
		}
	}
	return nil
}

// Bypassing returns the number of connections between VMs that bypass the relays.
func (f *Fleet) Bypassing() (int, error) {
	addresses := map[netip.AddrPort]bool{}
	for _, v := range f.VMs {
		addresses[netip.MustParseAddrPort(v.address(controlPort))] = true
	}
	return countDirectLinks(addresses)
}

// Stop ends all processes and stand-ins.
func (f *Fleet) Stop() {
	for _, v := range f.VMs {
		v.Signal(syscall.SIGCONT)
		v.Kill()
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

// Zone returns the VM's data centre.
func (v *VM) Zone() string { return zoneName(v.zone) }

func (v *VM) address(port int) string { return net.JoinHostPort(v.IP, fmt.Sprint(port)) }

// seedList returns the addresses of the relays of the seeds as a list in TOML.
func (f *Fleet) seedList() string {
	addresses := []string{}
	for _, v := range f.VMs[:min(f.seeds, len(f.VMs))] {
		addresses = append(addresses, strconv.Quote(f.Links.peers[v.Name].Addr()))
	}
	return "[" + strings.Join(addresses, ",") + "]"
}

// Promotions returns the number of promotion calls so far.
func (f *Fleet) Promotions() int { return len(f.store.Promotions()) }

// settings returns the platform's settings file.
func (v *VM) settings() string {
	zones := ""
	for i := range dataCentres {
		zones += fmt.Sprintf("%s = \"r-%s\"\n", zoneName(i), zoneName(i))
	}
	return fmt.Sprintf(`node-name = %q
ip = %q
zone = %q
region = "r-%s"
internal-ports = [%d,%d]
seeds = %s
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
`, v.Name, v.IP, zoneName(v.zone), zoneName(v.zone), statusPort, statusPort+10, v.fleet.seedList(), zones,
		v.address(frontPort), v.address(readyPort), v.address(controlPort),
		int(graceTime.Seconds()), v.fleet.Links.store.Addr(), v.fleet.store.Addr())
}

// Start starts the process.
func (v *VM) Start() error {
	file := filepath.Join(v.fleet.dir, v.Name+".toml")
	if err := os.WriteFile(file, []byte(v.settings()), 0o600); err != nil {
		return &VMError{VM: v.Name, Cause: err}
	}
	log, err := os.OpenFile(filepath.Join(v.fleet.dir, v.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return &VMError{VM: v.Name, Cause: err}
	}
	cmd := exec.Command(v.fleet.binary, "node")
	cmd.Env = append(os.Environ(), "EGRETROAD_NODE_FILE="+file, "GOMAXPROCS=1")
	cmd.Stdout, cmd.Stderr = log, log
	// The kernel kills the proxy when this process dies.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = log.Close() // the error of the start is returned
		return &VMError{VM: v.Name, Cause: err}
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

// Signal sends a signal to the process, if it runs.
func (v *VM) Signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd != nil {
		_ = v.cmd.Process.Signal(s) // it may have ended already
	}
}

// Kill kills the process and waits for its end.
func (v *VM) Kill() {
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

// Terminate stops the process as the platform does and waits for its end.
func (v *VM) Terminate() {
	v.mu.Lock()
	done := v.done
	v.mu.Unlock()
	v.Signal(syscall.SIGTERM)
	select {
	case <-done:
	case <-time.After(graceTime):
	}
	v.Kill()
}

func (v *VM) isReady(ctx context.Context) bool {
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

// Serves reports whether the VM accepts sessions of a database. known is false if it gave no
// answer.
func (v *VM) Serves(host string) (accepted, known bool) {
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
