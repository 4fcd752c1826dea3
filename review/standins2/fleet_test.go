//go:build review

package standins2

import (
	"bytes"
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
)

// memoryMB is the memory limit of a VM, as in the settings of a small deployment.
const memoryMB = 284

const graceSeconds = 6

var zones = []string{"mixco", "xela", "zacapa"}

// vm is an entry VM with its proxy process.
type vm struct {
	name, zone, ip             string
	front, ready, control, own int
	fleet                      *fleet

	mu     sync.Mutex // guards the fields below
	cmd    *exec.Cmd
	done   chan struct{}
	dark   bool // it is not started again
	peakMB int
	overs  int // ends for too much memory
}

// fleet is a deployment: the platform's store and API, servers and VMs.
type fleet struct {
	binary, dir string
	store       *store
	storeAddr   string
	vms         []*vm
	record      *record
	stopping    chan struct{}
}

// freePort returns a port that nobody listens on at an address.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }() // it was only opened to find the port
	return l.Addr().(*net.TCPAddr).Port, nil
}

// addVM adds a VM at a loopback address of its own. It does not run yet.
func (f *fleet) addVM(zone string, number int) error {
	index := len(f.vms)
	v := &vm{
		name: fmt.Sprintf("front-%s-%d", zone, number), zone: zone, fleet: f,
		ip: fmt.Sprintf("127.%d.%d.%d", 130+os.Getpid()%100, os.Getpid()/100%250+1, index+1),
	}
	for _, port := range []*int{&v.front, &v.ready, &v.control, &v.own} {
		var err error
		if *port, err = freePort(v.ip); err != nil {
			return err
		}
	}
	f.vms = append(f.vms, v)
	return nil
}

func (v *vm) address(port int) string { return net.JoinHostPort(v.ip, strconv.Itoa(port)) }

// settings returns the settings file, as the platform writes it.
func (v *vm) settings() string {
	var seeds, regions []string
	for _, other := range v.fleet.vms[:min(3, len(v.fleet.vms))] {
		seeds = append(seeds, strconv.Quote(other.address(other.control)))
	}
	for _, z := range zones {
		regions = append(regions, fmt.Sprintf("%s = \"r-%s\"", z, z))
	}
	return fmt.Sprintf(`node-name = %q
role = "proxy"
machine-class = "front"
serves = ["front","control"]
ip = %q
zone = %q
region = "r-%s"
internal-ports = [%d,%d]
seeds = [%s]
bootstrap = true
counts-as-loss = false
discovery = "platform"
entry = "virtual_ip"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","recover","sql","platform"]
[zones]
%s
[listen]
front = %q
ready = %q
control = %q
[limits]
cpu-share = 0.4
cores = 1
memory-mb = %d
max-fds = 4200
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
config-apply-ms = 4000
revert-slack-ms = 250
skew-max-ms = 15000
recovery-s = 12
fencing-enabled = %v
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
`, v.name, v.ip, v.zone, v.zone, v.own, v.own, strings.Join(seeds, ","), strings.Join(regions, "\n"),
		v.address(v.front), v.address(v.ready), v.address(v.control), memoryMB, graceSeconds, !v.fleet.store.unfenced, v.fleet.storeAddr, v.fleet.storeAddr)
}

// start starts the process with the command of the deploy file.
func (v *vm) start() error {
	file := filepath.Join(v.fleet.dir, v.name+".toml")
	if err := os.WriteFile(file, []byte(v.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(v.fleet.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	cmd := exec.Command(v.fleet.binary, "node")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + v.fleet.dir, "EGRETROAD_NODE_FILE=" + file}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	v.mu.Lock()
	v.cmd, v.done = cmd, done
	v.mu.Unlock()
	go func() {
		_ = cmd.Wait() // the end itself matters
		close(done)
	}()
	return nil
}

// supervise plays the platform: it kills a process that exceeds the memory limit, and starts
// one again that has ended.
func (v *vm) supervise() {
	for {
		select {
		case <-v.fleet.stopping:
			return
		case <-time.After(5 * time.Millisecond):
		}
		v.mu.Lock()
		cmd, done, dark := v.cmd, v.done, v.dark
		v.mu.Unlock()
		select {
		case <-done:
			if !dark {
				select {
				case <-v.fleet.stopping:
					return
				case <-time.After(time.Second):
				}
				v.fleet.record.add("platform starts %s again", v.name)
				if err := v.start(); err != nil {
					v.fleet.record.add("%s does not start: %v", v.name, err)
				}
			}
			continue
		default:
		}
		mb := residentMB(cmd.Process.Pid)
		v.mu.Lock()
		v.peakMB = max(v.peakMB, mb)
		over := mb > memoryMB
		if over {
			v.overs++
		}
		v.mu.Unlock()
		if over {
			v.fleet.record.add("platform kills %s: it has %d MB in memory, limit %d MB", v.name, mb, memoryMB)
			_ = cmd.Process.Kill() // it may have ended
			<-done
		}
	}
}

// residentMB returns the resident memory of a process; 0 if it has ended.
func residentMB(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := bytes.Cut(raw, []byte("VmRSS:"))
	fields := bytes.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kb, _ := strconv.Atoi(string(fields[0]))
	return kb >> 10
}

// kill kills the process. A dark VM is not started again.
func (v *vm) kill(dark bool) {
	v.mu.Lock()
	cmd, done := v.cmd, v.done
	v.dark = dark
	v.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill() // it may have ended
		<-done
	}
}

func (v *vm) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + v.address(v.ready) + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close() // only the status matters
	return response.StatusCode == http.StatusOK
}

func (v *vm) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if v.isReady() {
			return true
		}
	}
	return false
}

// stop ends all processes.
func (f *fleet) stop() {
	close(f.stopping)
	for _, v := range f.vms {
		v.kill(true)
	}
}

// entry returns the entry of a server in the store.
func entry(s *server, state string, seq int) map[string]any {
	return map[string]any{
		"service": s.group.name, "address": s.listener.Addr().String(), "zone": s.zone, "version": "v1", "slots": s.group.slots,
		"state": state, "cold-left-ms": 0, "db-role": s.role(), "seq": seq, "born": bornMS,
	}
}

// bornMS is when the servers started, in Unix milliseconds.
var bornMS = time.Now().UnixMilli()
