// Package node wires one proxy process for statement sessions with fx, and
// orders its start and stop. What speaks to the outside comes in as Adapters.
package node

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/hashicorp/go-hclog"
	"go.uber.org/dig"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"egretroad/internal/broker"
	"egretroad/internal/clock"
	control "egretroad/internal/control/run"
	"egretroad/internal/metrics"
	"egretroad/internal/operator"
	"egretroad/internal/peer"
	"egretroad/internal/platform"
	"egretroad/internal/promotion"
	promote "egretroad/internal/promotion/run"
	"egretroad/internal/reducer"
	"egretroad/internal/session"
	"egretroad/internal/topology"
)

// Settings are the settings of one process.
type Settings struct {
	Self         topology.VM
	BindIP       string
	CallerListen string
	PeerListen   string
	ReadyListen  string
	StatusListen string
	Seeds        []string // peer addresses to ask for a copy while the store is away
	FleetKey     []byte
	MemoryBytes  int64
	MaxSessions  int
	Grace        time.Duration // between the signal to stop and the kill
}

// Registrar lets a VM be found by the others.
type Registrar interface {
	RegisterVM(ctx context.Context, vm topology.VM) error
}

// Adapters speak to the outside.
type Adapters struct {
	Store     platform.Store
	Registrar Registrar
	Connector broker.Connector
	Promoter  promotion.Promoter // nil: this deployment lets nobody promote
	Wire      func(net.Conn) session.Conn
	// ReadyHandler serves the readiness probe.
	ReadyHandler func(ready func() bool) http.Handler
}

// Node is one running process.
type Node struct {
	app      *fx.App
	parts    parts
	settings Settings
	adapters Adapters
	serving  atomic.Bool
	stopping chan struct{}
	stopOnce sync.Once
}

// parts are the components that the lifecycle starts and stops.
type parts struct {
	fx.In

	Listeners *listeners
	Peers     *peer.Node
	Control   *control.Control
	Homes     *broker.Manager
	Sessions  *session.Engine
	Status    *operator.Server
	Log       hclog.Logger
}

// Times of a stop, as parts of the grace.
const (
	// leaveDelay lets the balancer notice that the process is not ready before
	// callers' connections are closed: it probes once a second and wants two misses.
	leaveDelay = 2300 * time.Millisecond
	// stopMargin is kept at the end of the grace for closing.
	stopMargin = 300 * time.Millisecond
)

// memoryShare is the part of the memory limit that the runtime's heap aims at;
// the rest is for stacks and socket buffers.
const memoryShare = 0.6

// New builds a process and opens its listeners.
func New(s Settings, a Adapters, m *metrics.Registry, log hclog.Logger) (*Node, error) {
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * memoryShare))
	}
	n := &Node{settings: s, adapters: a, stopping: make(chan struct{})}
	n.app = fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(s.Grace),
		fx.Supply(s, a, m, incarnation(time.Now().UnixMilli())),
		fx.Provide(func() hclog.Logger { return log }),
		fx.Provide(newListeners, newPublisher, newPeers, newHomes, newFleet, newPromotion, newControl, newSessions, newStatus),
		fx.Populate(&n.parts),
		fx.Invoke(n.registerLifecycle),
	)
	if err := n.app.Err(); err != nil {
		return nil, dig.RootCause(err)
	}
	return n, nil
}

// incarnation tells the starts of a VM apart.
type incarnation uint64

// Run serves until ctx ends, then drains and stops.
func (n *Node) Run(ctx context.Context) error {
	log := n.parts.Log
	if err := n.app.Start(ctx); err != nil {
		return err
	}
	log.Info("started", "callers", n.settings.CallerListen, "peers", n.settings.PeerListen, "status", n.settings.StatusListen)
	<-ctx.Done()
	log.Info("stopping", "grace", n.settings.Grace, "sessions", n.parts.Sessions.Sessions())
	stopCtx, cancel := context.WithTimeout(context.Background(), n.settings.Grace)
	defer cancel()
	err := n.app.Stop(stopCtx)
	log.Info("stopped", "sessions", n.parts.Sessions.Sessions(), "error", err)
	return err
}

// Ready reports whether the process serves callers and takes new ones.
func (n *Node) Ready() bool { return n.serving.Load() }

func (n *Node) registerLifecycle(lc fx.Lifecycle) {
	p := &n.parts
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			p.Status.SetReady(n.Ready)
			p.Status.Start(p.Listeners.status)
			p.Peers.Start(p.Listeners.peers)
			go n.serveReady()
			n.registerFirst()
			p.Control.Start()
			p.Homes.Start()
			go n.serveCallers()
			return nil
		},
		OnStop: n.stop,
	})
}

// registerFirst writes this VM's entry and waits a moment for it: of two VMs that
// start together, the one that registers later then finds the other in the list.
func (n *Node) registerFirst() {
	registered := make(chan struct{})
	go func() {
		n.register()
		close(registered)
	}()
	select {
	case <-registered:
	case <-time.After(registerWait):
	}
}

// register writes this VM's entry until the store has taken it.
func (n *Node) register() {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval, pauses.MaxInterval = registerFirst, registerMax
	pauses.Multiplier, pauses.RandomizationFactor = 2, 0
	for {
		ctx, cancel := context.WithTimeout(context.Background(), registerTimeout)
		err := n.adapters.Registrar.RegisterVM(ctx, n.settings.Self)
		cancel()
		if err == nil {
			n.parts.Log.Info("vm_registered", "peer_addr", n.settings.Self.PeerAddr)
			return
		}
		pause := pauses.NextBackOff()
		n.parts.Log.Warn("vm_not_registered", "error", err, "retry_in", pause)
		select {
		case <-n.stopping:
			return
		case <-time.After(pause):
		}
	}
}

// Times of the registration: it must survive a store that is slow or away.
const (
	registerWait    = 500 * time.Millisecond
	registerTimeout = 3 * time.Second
	registerFirst   = 200 * time.Millisecond
	registerMax     = 2 * time.Second
)

// serveReady answers the readiness probe.
func (n *Node) serveReady() {
	server := &http.Server{Handler: n.adapters.ReadyHandler(n.Ready), ReadHeaderTimeout: time.Second}
	if err := server.Serve(n.parts.Listeners.ready); !n.stops() {
		n.parts.Log.Error("ready_listener_failed", "error", err)
	}
}

// stops reports whether the process has begun to stop.
func (n *Node) stops() bool {
	select {
	case <-n.stopping:
		return true
	default:
		return false
	}
}

// serveCallers accepts callers once control knows the catalogue and the servers.
func (n *Node) serveCallers() {
	select {
	case <-n.parts.Control.Ready():
	case <-n.stopping:
		return
	}
	n.serving.Store(true)
	n.parts.Log.Info("ready")
	if err := n.parts.Sessions.Serve(n.parts.Listeners.callers); !n.stops() {
		n.parts.Log.Error("caller_listener_failed", "error", err)
	}
}

// stop hands over and drains: the process reports itself not ready at once and
// goes on serving, other VMs take its homes, then sessions end between their
// operations. Transactions that wait for their caller have half of the grace.
func (n *Node) stop(ctx context.Context) error {
	began := clock.Boottime()
	n.stopOnce.Do(func() { close(n.stopping) })
	n.serving.Store(false)
	n.parts.Control.Leave()
	time.Sleep(min(leaveDelay, n.settings.Grace/2))
	half := time.AfterFunc(n.settings.Grace/2-(clock.Boottime()-began), n.parts.Sessions.RollBackOpen)
	defer half.Stop()
	_ = n.parts.Listeners.callers.Close() // it may be closed already
	drainCtx, cancel := context.WithTimeout(ctx, n.settings.Grace-(clock.Boottime()-began)-stopMargin)
	defer cancel()
	if err := n.parts.Sessions.Drain(drainCtx); err != nil {
		n.parts.Log.Warn("sessions_cut", "sessions", n.parts.Sessions.Sessions(), "error", err)
	}
	n.parts.Homes.Drain(drainCtx)
	n.parts.Listeners.close()
	stopCtx, cancelStop := context.WithTimeout(ctx, stopMargin)
	defer cancelStop()
	if err := n.parts.Control.Stop(stopCtx); err != nil {
		n.parts.Log.Warn("control_cut", "error", err)
	}
	n.parts.Homes.Stop()
	n.parts.Peers.Stop()
	return nil
}

// listeners are the addresses that a process listens on.
type listeners struct {
	callers, peers, ready, status net.Listener
}

func newListeners(s Settings) (*listeners, error) {
	l := &listeners{}
	for _, open := range []struct {
		addr string
		into *net.Listener
	}{
		{s.CallerListen, &l.callers}, {s.PeerListen, &l.peers}, {s.ReadyListen, &l.ready}, {s.StatusListen, &l.status},
	} {
		listener, err := net.Listen("tcp", open.addr)
		if err != nil {
			l.close()
			return nil, err
		}
		*open.into = listener
	}
	return l, nil
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.peers, l.ready, l.status} {
		if listener != nil {
			_ = listener.Close() // it may be closed by its server
		}
	}
}

func newPublisher(s Settings, m *metrics.Registry) *topology.Publisher {
	p := topology.NewPublisher(&topology.Snapshot{Self: s.Self.ID})
	m.Gauge("configuration_revision", "Store revision of the configuration in force.", func() float64 { return float64(p.Snapshot().Revision) })
	return p
}

func newPeers(s Settings, p *topology.Publisher, log hclog.Logger, m *metrics.Registry) *peer.Node {
	return peer.NewNode(peer.DefaultOptions(s.Self.ID, s.BindIP, s.FleetKey), p, log.Named("peer"), m)
}

func newHomes(p *topology.Publisher, a Adapters, log hclog.Logger, m *metrics.Registry) *broker.Manager {
	return broker.New(broker.DefaultOptions(), p, a.Connector, log.Named("home"), m)
}

func newFleet(h *broker.Manager, p *topology.Publisher, n *peer.Node) *broker.Fleet {
	return broker.NewFleet(h, p, n)
}

func newPromotion(s Settings, a Adapters, start incarnation, h *broker.Manager, f *broker.Fleet, n *peer.Node, log hclog.Logger, m *metrics.Registry) *promote.Executor {
	return promote.New(promote.Deps{
		Self: s.Self.ID, Start: uint64(start), Store: a.Store, Peers: n, Local: h, Fleet: f, Promoter: a.Promoter,
		Log: log.Named("promotion"), Metrics: m,
	})
}

func newControl(s Settings, a Adapters, start incarnation, n *peer.Node, p *topology.Publisher, x *promote.Executor, log hclog.Logger, m *metrics.Registry) *control.Control {
	o := control.DefaultOptions()
	o.Incarnation = uint64(start)
	o.Machine.Registrations, o.Machine.WatchAllUpTo, o.Machine.NoReports = true, watchAllUpTo, true
	o.Machine.RetryMax = storeRetryMax
	o.Machine.VMsInterval = vmsInterval
	for _, addr := range s.Seeds {
		o.Seeds = append(o.Seeds, topology.VM{ID: addr, PeerAddr: addr})
	}
	deps := control.Deps{
		Self: s.Self, Store: a.Store, Peers: n, Registrar: n, Publisher: p,
		Log: log.Named("control"), Metrics: m,
	}
	if a.Promoter != nil {
		deps.Machines = []reducer.Machine{promotion.New(promotion.DefaultOptions(), s.Self.ID)}
		deps.Executors = []reducer.Executor{x}
	}
	c := control.New(o, deps)
	x.Bind(c.Post)
	return c
}

const (
	// watchAllUpTo keeps the watches of a fleet, two a VM every two seconds, within
	// a tenth of a store that takes some hundred reads a second.
	watchAllUpTo = 32
	// storeRetryMax is the longest pause before the store is asked again: a quarter
	// of the time within which a configuration must be in force.
	storeRetryMax = time.Second
	// vmsInterval is the time between two reads of the list of VMs; members that
	// are new announce themselves to the others as well.
	vmsInterval = 5 * time.Second
)

func newSessions(s Settings, a Adapters, start incarnation, p *topology.Publisher, f *broker.Fleet, log hclog.Logger, m *metrics.Registry) *session.Engine {
	o := session.DefaultOptions()
	if s.MaxSessions > 0 {
		o.MaxSessions = s.MaxSessions
	}
	return session.New(o, session.Deps{
		Self: s.Self, Start: uint64(start), Source: p, Broker: f, Wire: a.Wire, Log: log.Named("session"), Metrics: m,
	})
}

func newStatus(s Settings, m *metrics.Registry, c *control.Control, e *session.Engine, h *broker.Manager, log hclog.Logger) *operator.Server {
	o := operator.New(m, m.Text(), log.Named("status"))
	o.AddSection("vm", func() any { return s.Self })
	o.AddSection("control", c.Dump)
	o.AddSection("sessions", e.Dump)
	o.AddSection("homes", h.Dump)
	return o
}
