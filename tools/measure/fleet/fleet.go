// Package fleet runs real proxies as separate processes over the stand-ins (fake backend
// servers, platform and network) of one deployment. Fleet holds the deployment with its
// proxies; Proxy starts, signals and inspects one process. Measurements use it.
package fleet

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"egretroad/internal/config"
	"egretroad/internal/demo"
	"egretroad/internal/standin/deployment"
)

// FleetKey is the key with which measured proxies authenticate each other.
const FleetKey = "measurement-fleet-key"

// readyTimeout limits the time until a started proxy is ready.
const readyTimeout = 20 * time.Second

// ProcessError reports a failed operation on a proxy process or a failed build.
type ProcessError struct {
	VM     string
	Detail string
	Cause  error
}

func (e *ProcessError) Error() string {
	return fmt.Sprintf("proxy %s: %s: %v", e.VM, e.Detail, e.Cause)
}

// Unwrap returns the cause.
func (e *ProcessError) Unwrap() error { return e.Cause }

// Build compiles the egretroad program into a temporary directory. The caller must call
// remove, which deletes it.
func Build(ctx context.Context) (binary string, remove func(), err error) {
	dir, err := os.MkdirTemp("", "egretroad-measure-")
	if err != nil {
		return "", nil, err
	}
	remove = func() { _ = os.RemoveAll(dir) } // best effort: it is a temporary directory
	binary = filepath.Join(dir, "egretroad")
	cmd := exec.CommandContext(ctx, "go", "build", "-o", binary, "egretroad/cmd/egretroad")
	if out, err := cmd.CombinedOutput(); err != nil {
		remove()
		return "", nil, &ProcessError{VM: "build", Detail: string(out), Cause: err}
	}
	return binary, remove, nil
}

// Options configures a fleet.
type Options struct {
	Binary     string
	Deployment deployment.Options
	Cores      int                    // processor cores of each VM; 0: all
	Edit       func(*config.Settings) // changes each proxy's settings; may be nil
	LogLevel   string                 // of the proxies; empty: warn
	Log        io.Writer              // receives the proxies' logs; nil: standard error
}

// Fleet is a running deployment with its proxy processes.
type Fleet struct {
	*deployment.Deployment
	Proxies []*Proxy
	options Options
}

// Proxy is one proxy process.
type Proxy struct {
	VM           deployment.VM
	OperatorAddr string

	fleet *Fleet
	mu    sync.Mutex // guards cmd and done
	cmd   *exec.Cmd
	done  chan struct{} // closed when the process has exited
}

// Start starts the stand-ins and all proxies and waits until the proxies are ready. The
// caller must call Stop.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	d, err := deployment.Start(o.Deployment)
	if err != nil {
		return nil, err
	}
	f := &Fleet{Deployment: d, options: o}
	for _, vm := range d.VMs {
		f.Proxies = append(f.Proxies, &Proxy{VM: vm, fleet: f})
	}
	errs := make(chan error, len(f.Proxies))
	for _, p := range f.Proxies {
		go func() { errs <- p.Start(ctx) }()
	}
	for range f.Proxies {
		if e := <-errs; e != nil && err == nil {
			err = e
		}
	}
	if err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

// Stop kills all proxies and stops the stand-ins.
func (f *Fleet) Stop() {
	for _, p := range f.Proxies {
		p.Kill()
	}
	f.Close()
}

// settings returns the settings of a proxy that listens for operators on operatorAddr.
func (p *Proxy) settings(operatorAddr string) config.Settings {
	f := p.fleet
	s := demo.Settings(f.Deployment, p.VM, FleetKey)
	s.Operator.Listen = operatorAddr
	s.Log.Level = f.options.LogLevel
	if s.Log.Level == "" {
		s.Log.Level = "warn"
	}
	if f.options.Edit != nil {
		f.options.Edit(&s)
	}
	return s
}

// Start starts the process and waits until it is ready to serve callers.
func (p *Proxy) Start(ctx context.Context) error {
	if err := p.Launch(); err != nil {
		return err
	}
	return p.WaitReady(ctx)
}

// Launch starts the process and waits for its first line of output, which contains the
// operator address. It does not wait until the proxy is ready.
func (p *Proxy) Launch() error {
	settings, err := json.Marshal(p.settings("127.0.0.1:0"))
	if err != nil {
		return err
	}
	cmd := exec.Command(p.fleet.options.Binary, "serve", "--config", "-")
	cmd.Stdin = bytes.NewReader(settings)
	if p.fleet.options.Cores > 0 {
		cmd.Env = append(os.Environ(), fmt.Sprintf("GOMAXPROCS=%d", p.fleet.options.Cores))
	}
	var logOutput io.Writer = os.Stderr
	if p.fleet.options.Log != nil {
		logOutput = p.fleet.options.Log
	}
	stderrTail := &logTail{}
	cmd.Stderr = io.MultiWriter(logOutput, stderrTail)
	// The kernel kills the proxy when this process dies.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return &ProcessError{VM: p.VM.ID, Detail: "start", Cause: err}
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.done = cmd, done
	p.mu.Unlock()
	line, readErr := bufio.NewReader(out).ReadString('\n')
	go func() {
		_, _ = io.Copy(io.Discard, out) // until the process exits
		_ = cmd.Wait()                  // the exit code of a killed process has no meaning
		close(done)
	}()
	if readErr != nil {
		<-done
		return &ProcessError{
			VM: p.VM.ID, Cause: readErr,
			Detail: fmt.Sprintf("exited before its first line of output (%q), end of its log: %s", cmd.ProcessState, stderrTail),
		}
	}
	for _, field := range strings.Fields(line) {
		if addr, ok := strings.CutPrefix(field, "operator="); ok {
			p.OperatorAddr = addr
		}
	}
	return nil
}

// WaitReady polls the proxy until it is ready to serve callers, for at most readyTimeout.
func (p *Proxy) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		resp, err := p.httpGet(ctx, "/ready")
		if err == nil {
			_ = resp.Body.Close() // only the status code matters
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return &ProcessError{VM: p.VM.ID, Detail: "not ready", Cause: ctx.Err()}
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (p *Proxy) httpGet(ctx context.Context, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.OperatorAddr+path, nil)
	if err != nil {
		return nil, err
	}
	return http.DefaultClient.Do(req)
}

// JSON decodes a JSON document from the operator address, such as /dump or /debug/vars.
func (p *Proxy) JSON(ctx context.Context, path string, into any) error {
	resp, err := p.httpGet(ctx, path)
	if err != nil {
		return &ProcessError{VM: p.VM.ID, Detail: path, Cause: err}
	}
	defer func() { _ = resp.Body.Close() }() // close errors do not affect what was read
	return json.NewDecoder(resp.Body).Decode(into)
}

// Pid returns the process ID, or 0 before Launch and after Kill or Terminate.
func (p *Proxy) Pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Signal sends a signal to the process.
func (p *Proxy) Signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	return p.cmd.Process.Signal(s)
}

// Kill sends SIGKILL to the process and waits for its exit.
func (p *Proxy) Kill() {
	p.mu.Lock()
	cmd, done := p.cmd, p.done
	p.cmd = nil
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill() // it may have exited already
	<-done
}

// Terminate sends SIGTERM, which starts a graceful shutdown, and waits for the exit of
// the process. When ctx ends first, it kills the process and returns the error of ctx.
func (p *Proxy) Terminate(ctx context.Context) error {
	p.mu.Lock()
	cmd, done := p.cmd, p.done
	p.cmd = nil
	p.mu.Unlock()
	if cmd == nil {
		return nil
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		_ = cmd.Process.Kill() // it may have exited already
		return ctx.Err()
	}
}

// CPU returns the processor time that the process has used.
func (p *Proxy) CPU() (time.Duration, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Pid()))
	if err != nil {
		return 0, err
	}
	// The command name may contain spaces: split only the fields after it. utime and
	// stime are the 14th and 15th fields of the whole line.
	fields := strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+1:]))
	var user, system int64
	if _, err := fmt.Sscan(fields[11]+" "+fields[12], &user, &system); err != nil {
		return 0, err
	}
	return time.Duration(user+system) * time.Second / clockTicksPerSecond, nil
}

// clockTicksPerSecond is the resolution of processor times in /proc on Linux.
const clockTicksPerSecond = 100

// ResidentBytes returns the resident set size of the process.
func (p *Proxy) ResidentBytes() (int64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.Pid()))
	if err != nil {
		return 0, err
	}
	var size, resident int64
	if _, err := fmt.Sscan(string(raw), &size, &resident); err != nil {
		return 0, err
	}
	return resident * int64(os.Getpagesize()), nil
}

// DSN returns a connection string for a database through the proxy. An empty kind
// selects the database's default kind of work.
func (p *Proxy) DSN(database, kind string) string {
	return DSN(p.VM.CallerListen, database, kind)
}

// DSN returns a connection string for a database at an address, which may be that of a
// proxy or of a backend server.
func DSN(addr, database, kind string) string {
	host, port, _ := net.SplitHostPort(addr) // addresses come from listeners and are valid
	dsn := fmt.Sprintf("host=%s port=%s dbname=%s user=measure sslmode=disable", host, port, database)
	if kind != "" {
		dsn += " egretroad.work=" + kind
	}
	return dsn
}
