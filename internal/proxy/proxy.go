// Package proxy assembles the components of a proxy process for PostgreSQL callers with
// fx and controls their start, drain and stop. Proxy is the process; Serve runs it until
// its context ends. Package node is the counterpart for the users' platform.
package proxy

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.uber.org/dig"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"egretroad/internal/config"
	"egretroad/internal/control/run"
	"egretroad/internal/gateway"
	"egretroad/internal/home"
	"egretroad/internal/metrics"
	"egretroad/internal/operator"
	"egretroad/internal/peer"
	"egretroad/internal/topology"
	"egretroad/internal/txn"
)

// startTimeout bounds the start hooks. Loading the configuration may take longer; see
// Ready.
const startTimeout = 10 * time.Second

// Proxy is one proxy process.
type Proxy struct {
	app        *fx.App
	components components
	settings   config.Settings
	serving    atomic.Bool
	stopping   chan struct{} // closed when the shutdown begins
	killed     atomic.Bool
	drainCut   atomic.Bool // the drain timed out with requests in progress
}

// components are the parts that the lifecycle starts and stops.
type components struct {
	fx.In

	Listeners *listeners
	Node      *peer.Node
	Control   *run.Control
	Leases    *leaseService
	Homes     *home.Manager
	Gateway   *gateway.Gateway
	Operator  *operator.Server
	Metrics   *metrics.Registry
	Publisher *topology.Publisher
	Log       hclog.Logger
}

// Hooks wrap components of a proxy for fault injection in tests. The zero value wraps
// nothing.
type Hooks struct {
	Home      func(txn.Home) txn.Home           // wraps the fleet's homes as used by the gateway
	Authority func(txn.Authority) txn.Authority // wraps the lease authority as used by the homes
}

// New validates the settings, builds a proxy and opens its listeners. Errors include
// *ListenError and *TLSError.
func New(settings config.Settings, log hclog.Logger) (*Proxy, error) {
	return NewWithHooks(settings, log, Hooks{})
}

// NewWithHooks is New with wrapped components, for tests.
func NewWithHooks(settings config.Settings, log hclog.Logger, hooks Hooks) (*Proxy, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	p := &Proxy{settings: settings, stopping: make(chan struct{})}
	p.app = fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(settings.Shutdown.DrainTimeout.D()+stopMargin),
		fx.Supply(settings, hooks),
		fx.Provide(func() hclog.Logger { return log }),
		componentProviders,
		fx.Populate(&p.components),
		fx.Invoke(p.registerLifecycle),
	)
	if err := p.app.Err(); err != nil {
		return nil, dig.RootCause(err)
	}
	return p, nil
}

// stopMargin is the time allowed to stop the components after the drain time-out.
const stopMargin = 5 * time.Second

// Start starts every component. Callers are served once the catalogue and the groups
// are loaded; see Ready.
func (p *Proxy) Start(ctx context.Context) error { return p.app.Start(ctx) }

// Stop shuts the proxy down gracefully: it waits for requests in progress and hands over
// homes and leases. When ctx ends first, remaining requests are cut off.
func (p *Proxy) Stop(ctx context.Context) error { return p.app.Stop(ctx) }

// Kill stops the proxy at once, without a drain or a leave announcement, to simulate the
// crash of a VM.
func (p *Proxy) Kill() {
	p.killed.Store(true)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	c := &p.components
	c.Node.Stop()
	c.Gateway.Close()
	_ = c.Control.Stop(ctx) // a killed proxy reports nothing
	c.Homes.Stop(ctx)
	_ = c.Operator.Stop(ctx) // as above
	c.Listeners.close()
}

// Ready reports whether the proxy accepts callers.
func (p *Proxy) Ready() bool { return p.serving.Load() }

// CallerAddr returns the address of the callers' listener.
func (p *Proxy) CallerAddr() string { return p.components.Listeners.callers.Addr().String() }

// OperatorAddr returns the address of the operator listener.
func (p *Proxy) OperatorAddr() string { return p.components.Listeners.operator.Addr().String() }

// Snapshot returns the topology snapshot in force.
func (p *Proxy) Snapshot() *topology.Snapshot { return p.components.Publisher.Snapshot() }

// Dump returns the state of every component for diagnostics.
func (p *Proxy) Dump() map[string]any { return p.components.Operator.Dump() }

// listeners are the open listeners of a proxy.
type listeners struct {
	callers, peers, operator net.Listener
}

// ListenError reports a listen address that cannot be opened.
type ListenError struct {
	Field string // the setting
	Addr  string
	Cause error
}

func (e *ListenError) Error() string {
	return "setting " + e.Field + ": cannot listen on " + e.Addr + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

func newListeners(s config.Settings) (*listeners, error) {
	l := &listeners{}
	for _, open := range []struct {
		field, addr string
		into        *net.Listener
	}{
		{"callers.listen", s.Callers.Listen, &l.callers},
		{"peers.listen", s.Peers.Listen, &l.peers},
		{"operator.listen", s.Operator.Listen, &l.operator},
	} {
		listener, err := net.Listen("tcp", open.addr)
		if err != nil {
			l.close()
			return nil, &ListenError{Field: open.field, Addr: open.addr, Cause: err}
		}
		*open.into = listener
	}
	return l, nil
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.peers, l.operator} {
		if listener != nil {
			_ = listener.Close() // may be closed by its server
		}
	}
}
