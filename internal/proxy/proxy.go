// Package proxy wires the components of one proxy process with fx and orders
// their start and stop.
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

// startTimeout bounds the start of the listeners; control may take longer.
const startTimeout = 10 * time.Second

// Proxy is one running proxy.
type Proxy struct {
	app      *fx.App
	parts    parts
	settings config.Settings
	serving  atomic.Bool
	stopping chan struct{} // closed when the stop begins
	killed   atomic.Bool
	cut      atomic.Bool // the drain's time ended with requests in progress
}

// parts are the components that the lifecycle starts and stops.
type parts struct {
	fx.In

	Listeners *listeners
	Node      *peer.Node
	Control   *run.Control
	Leases    *leases
	Homes     *home.Manager
	Gateway   *gateway.Gateway
	Operator  *operator.Server
	Metrics   *metrics.Registry
	Publisher *topology.Publisher
	Log       hclog.Logger
}

// Hooks wrap parts of a proxy, so that tests can break a rule on purpose. The
// zero value wraps nothing.
type Hooks struct {
	Home      func(txn.Home) txn.Home           // as the gateway sees the fleet
	Authority func(txn.Authority) txn.Authority // as the homes see it
}

// New builds a proxy and opens its listeners.
func New(settings config.Settings, log hclog.Logger) (*Proxy, error) {
	return NewWithHooks(settings, log, Hooks{})
}

// NewWithHooks is New with wrapped parts, for tests.
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
		components,
		fx.Populate(&p.parts),
		fx.Invoke(p.registerLifecycle),
	)
	if err := p.app.Err(); err != nil {
		return nil, dig.RootCause(err)
	}
	return p, nil
}

// stopMargin is the time for a stop beyond the drain of requests in progress.
const stopMargin = 5 * time.Second

// Start starts every component. Callers are served once the catalogue and the
// groups are known; see Ready.
func (p *Proxy) Start(ctx context.Context) error { return p.app.Start(ctx) }

// Stop drains and stops the proxy: requests in progress end, homes and leases
// are handed over. When ctx ends first, what is left is cut.
func (p *Proxy) Stop(ctx context.Context) error { return p.app.Stop(ctx) }

// Kill ends the proxy at once, without a drain or a farewell, as a dead VM does.
func (p *Proxy) Kill() {
	p.killed.Store(true)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	c := &p.parts
	c.Node.Stop()
	c.Gateway.Close()
	_ = c.Control.Stop(ctx) // a killed proxy reports nothing
	c.Homes.Stop(ctx)
	_ = c.Operator.Stop(ctx) // as above
	c.Listeners.close()
}

// Ready reports whether the proxy serves callers.
func (p *Proxy) Ready() bool { return p.serving.Load() }

// CallerAddr returns the address of the callers' listener.
func (p *Proxy) CallerAddr() string { return p.parts.Listeners.callers.Addr().String() }

// OperatorAddr returns the operator address.
func (p *Proxy) OperatorAddr() string { return p.parts.Listeners.operator.Addr().String() }

// Snapshot returns the snapshot in force.
func (p *Proxy) Snapshot() *topology.Snapshot { return p.parts.Publisher.Snapshot() }

// Dump returns the state of every component.
func (p *Proxy) Dump() map[string]any { return p.parts.Operator.Dump() }

// listeners are the addresses that a proxy listens on.
type listeners struct {
	callers, peers, operator net.Listener
}

// ListenError reports an address that cannot be listened on.
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
			_ = listener.Close() // it may be closed by its server
		}
	}
}
