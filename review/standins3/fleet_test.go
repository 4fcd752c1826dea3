//go:build review

package standins3

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of a VM, which has a loopback address of its own.
const (
	frontPort   = 7001
	readyPort   = 7002
	controlPort = 7003
	statusPort  = 7004
)

// vm is an entry VM with its proxy process.
type vm struct {
	name, ip, zone, region string
	relay                  net.Listener // in front of its control port, for other VMs
	cmd                    *exec.Cmd
	log                    *os.File
}

func (v *vm) address(port int) string { return fmt.Sprintf("%s:%d", v.ip, port) }

// fleet is the proxies, their links to each other and the front of the platform.
type fleet struct {
	group   *group
	dir     string
	command string // of the deploy file
	facade  *http.Server
	front   net.Listener
	fenced  bool
	mu      sync.Mutex // guards vms
	vms     []*vm
}

var regions struct {
	sync.Mutex
	byIP map[string]string
}

// regionOfIP returns the region of the VM with an address.
func regionOfIP(ip string) string {
	regions.Lock()
	defer regions.Unlock()
	return regions.byIP[ip]
}

// cutFrom reports whether a VM at an IP address is cut off from a region.
func (f *fleet) cutFrom(ip, region string) bool {
	f.group.mu.Lock()
	defer f.group.mu.Unlock()
	return f.group.separated(regionOfIP(ip), region)
}

// cutFromPlatform reports whether the VM at an IP address is cut off from the platform.
func (f *fleet) cutFromPlatform(ip string) bool {
	f.group.mu.Lock()
	defer f.group.mu.Unlock()
	for _, v := range f.all() {
		if v.ip == ip {
			return f.group.fromPlatform(v.zone, v.region)
		}
	}
	return false
}

// add prepares another VM, which does not run yet.
func (f *fleet) add(zone string) (*vm, error) {
	region := regionOld
	if zone == "c" {
		region = regionNew
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	pid, n := os.Getpid(), len(f.vms)+1
	v := &vm{name: fmt.Sprintf("vm-%s-%d", zone, n), zone: zone, region: region, ip: fmt.Sprintf("127.%d.%d.%d", 100+pid%100, 1+pid/100%250, n)}
	regions.Lock()
	regions.byIP[v.ip] = v.region
	regions.Unlock()
	var err error
	if v.relay, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	go f.serveRelay(v)
	f.vms = append(f.vms, v)
	return v, nil
}

// all returns the VMs so far.
func (f *fleet) all() []*vm {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.vms)
}

// newFleet prepares a VM in each of the given zones. Their entries exist before they start, so that no VM
// learns the address of another one past its relay.
func newFleet(g *group, dir, command string, zones ...string) (*fleet, error) {
	f := &fleet{group: g, dir: dir, command: command, fenced: !g.keepsOld}
	regions.byIP = map[string]string{}
	for _, zone := range zones {
		v, err := f.add(zone)
		if err != nil {
			return nil, err
		}
		g.store.Put("egretroad-vms", v.name, map[string]any{
			"id": v.name, "dataCentre": v.zone, "region": v.region, "peerAddr": v.address(controlPort), "callerAddr": v.address(frontPort), "state": "live",
		})
	}
	var err error
	if f.front, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	f.facade = &http.Server{Handler: http.HandlerFunc(f.servePlatform), ReadHeaderTimeout: time.Second}
	go func() { _ = f.facade.Serve(f.front) }()
	return f, nil
}

// serveRelay forwards connections between VMs. While the cut separates the two ends, bytes are
// dropped.
func (f *fleet) serveRelay(v *vm) {
	for {
		in, err := v.relay.Accept()
		if err != nil {
			return
		}
		ip, _, _ := net.SplitHostPort(in.RemoteAddr().String())
		go func() {
			defer func() { _ = in.Close() }()
			out, err := net.Dial("tcp", v.address(controlPort))
			if err != nil {
				return
			}
			defer func() { _ = out.Close() }()
			go f.forward(in, out, ip, v.region)
			f.forward(out, in, ip, v.region)
		}()
	}
}

func (f *fleet) forward(to, from net.Conn, ip, region string) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			_ = to.Close()
			return
		}
		if f.cutFrom(ip, region) {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// servePlatform is the platform's address: the store and the promotion call. It does not
// respond to a VM that is cut off from it.
func (f *fleet) servePlatform(w http.ResponseWriter, r *http.Request) {
	ip, _, _ := net.SplitHostPort(r.RemoteAddr)
	silent := func() {
		if f.cutFromPlatform(ip) {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	silent()
	body, _ := io.ReadAll(r.Body)
	forwarded, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+f.group.store.Addr()+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	forwarded.Header = r.Header.Clone()
	response, err := http.DefaultTransport.RoundTrip(forwarded)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	raw, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	silent()
	if r.Method == http.MethodGet && r.URL.Path == "/objects/egretroad-vms" {
		raw = f.withRelays(raw)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(response.StatusCode)
	_, _ = w.Write(raw)
}

// withRelays replaces the addresses of the VMs in their list by those of the relays.
func (f *fleet) withRelays(raw []byte) []byte {
	var list map[string]any
	if json.Unmarshal(raw, &list) != nil {
		return raw
	}
	items, _ := list["items"].([]any)
	for _, item := range items {
		o, _ := item.(map[string]any)
		spec, _ := o["spec"].(map[string]any)
		for _, v := range f.all() {
			if spec != nil && spec["id"] == v.name {
				spec["peerAddr"] = v.relay.Addr().String()
			}
		}
	}
	rewritten, err := json.Marshal(list)
	if err != nil {
		return raw
	}
	return rewritten
}

func (f *fleet) settings(v *vm) string {
	return fmt.Sprintf(`node-name = %q
role = "proxy"
machine-class = "front"
serves = ["front","control"]
ip = %q
zone = %q
region = %q
internal-ports = [%d,%d]
seeds = []
bootstrap = true
discovery = "platform"
entry = "virtual_ip"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","recover","sql","platform"]
[zones]
a = %q
b = %q
c = %q
[listen]
front = %q
ready = %q
control = %q
[limits]
cpu-share = 0.4
cores = 1
memory-mb = 284
max-fds = 4300
link-mbps = 1000.0
disk-mb = 0
[bounds]
stable-window-ms = 5000
drain-ms = 7000
grace-s = 6
fencing-enabled = %t
[platform]
address = %q
form = "objects"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
[cloud-api]
address = %q
rate-per-s = 50.0
duties = ["failover"]
duty-per-s = 50.0
`, v.name, v.ip, v.zone, v.region, statusPort, statusPort+10, regionOld, regionOld, regionNew,
		v.address(frontPort), v.address(readyPort), v.address(controlPort), f.fenced, f.front.Addr(), f.front.Addr())
}

// start starts a VM's proxy and waits until it is ready.
func (f *fleet) start(v *vm) error {
	if err := f.launch(v, f.command); err != nil {
		return err
	}
	for range 400 {
		client := http.Client{Timeout: time.Second}
		response, err := client.Get("http://" + v.address(readyPort) + "/ready")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready", v.name)
}

// launch starts a VM's proxy with the command of the deploy file.
func (f *fleet) launch(v *vm, command string) error {
	file := filepath.Join(f.dir, v.name+".toml")
	if err := os.WriteFile(file, []byte(f.settings(v)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	words := strings.Fields(command)
	v.log, v.cmd = log, exec.Command(words[0], words[1:]...)
	v.cmd.Env = append(os.Environ(), "EGRETROAD_NODE_FILE="+file)
	v.cmd.Stdout, v.cmd.Stderr = log, log
	v.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return v.cmd.Start()
}

// kill ends the VM's process, if there is one.
func (v *vm) kill() {
	if v.cmd != nil && v.cmd.Process != nil {
		_ = v.cmd.Process.Kill()
		_ = v.cmd.Wait()
		_ = v.log.Close()
		v.cmd = nil
	}
}

// stop ends all processes.
func (f *fleet) stop() {
	for _, v := range f.all() {
		v.kill()
	}
}
