// Package node assembles a proxy process for the users' platform with fx and controls
// its start, graceful shutdown and stop. Node is the process; Settings and Adapters are
// its inputs. Everything specific to the platform's protocols is behind Adapters, which
// package egretroad/platform provides. Package proxy is the counterpart for PostgreSQL.
package node

import (
	"context"
	"crypto/rand"
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
	"egretroad/internal/bytebudget"
	"egretroad/internal/clock"
	controlmachine "egretroad/internal/control"
	control "egretroad/internal/control/run"
	"egretroad/internal/metrics"
	"egretroad/internal/operator"
	"egretroad/internal/peer"
	"egretroad/internal/platform"
	primacy "egretroad/internal/primacy/run"
	"egretroad/internal/promotion"
	promote "egretroad/internal/promotion/run"
	"egretroad/internal/reducer"
	"egretroad/internal/session"
	"egretroad/internal/topology"
)

// Settings configure one process.
type Settings struct {
	Self         topology.VM
	BindIP       string
	CallerListen string
	PeerListen   string
	ReadyListen  string
	StatusListen string
	Seeds        []string // peer addresses from which to fetch a configuration while the store is unavailable
	FleetKey     []byte
	MemoryBytes  int64
	MaxSessions  int
	Grace        time.Duration // time between SIGTERM and SIGKILL
}

// Registrar publishes a VM's entry so that other VMs can discover it.
type Registrar interface {
	// RegisterVM creates or updates the entry and reports whether the VM was listed. An entry
	// that is created, or has no registration, gets the given one, which no other has.
	RegisterVM(ctx context.Context, vm topology.VM, registration string) (existed bool, err error)
}

// Adapters connect the process to the platform: store, backend servers and callers.
type Adapters struct {
	Store         platform.Store
	Registrar     Registrar
	Connector     broker.Connector
	Promoter      promotion.Promoter // nil: promotion is disabled
	NewCallerConn func(net.Conn, *bytebudget.Budget) session.Conn
	// ReadyHandler returns the handler of the readiness probe. It calls ready on
	// each probe.
	ReadyHandler func(ready func() bool) http.Handler
}

// Node is one proxy process.
type Node struct {
	app        *fx.App
	components components
	settings   Settings
	adapters   Adapters
	serving    atomic.Bool
	stopping   chan struct{}
	stopOnce   sync.Once

	refreshCtx  context.Context // ends with the process's last statement
	stopRefresh context.CancelFunc
}

// components are the parts that the lifecycle starts and stops.
type components struct {
	fx.In

	Listeners *listeners
	Peers     *peer.Node
	Primacy   *primacy.Refresher
	Control   *control.Control
	Homes     *broker.Manager
	Sessions  *session.Engine
	Status    *operator.Server
	Log       hclog.Logger
}

// Times reserved within the grace period of a stop.
const (
	// notReadyDelay gives the load balancer time to see that the process is not ready
	// before callers' connections are closed: it probes once a second and needs two
	// failed probes.
	notReadyDelay = 2300 * time.Millisecond
	// stopMargin is the end of the grace period, reserved for stopping the components.
	stopMargin = 300 * time.Millisecond
)

// sessionStateDivisor is the part of the memory limit that the sessions' values and prepared
// statements may take. The garbage collector may double it.
const sessionStateDivisor = 10

// messagesDivisor is the part of the memory limit that the callers' messages may take while
// they are received or run. A message that is sent on to another VM is encoded there and
// decoded here once more.
const messagesDivisor = 10

// heapFraction is the fraction of the memory limit that is the target for the Go heap.
// The rest is for stacks and socket buffers.
const heapFraction = 0.6

// New builds a process and opens its listeners. Nothing is served before Run.
func New(s Settings, a Adapters, m *metrics.Registry, log hclog.Logger) (*Node, error) {
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * heapFraction))
	}
	n := &Node{settings: s, adapters: a, stopping: make(chan struct{})}
	n.refreshCtx, n.stopRefresh = context.WithCancel(context.Background())
	n.app = fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(s.Grace),
		fx.Supply(s, a, m, incarnation(time.Now().UnixMilli())),
		fx.Provide(func() hclog.Logger { return log }),
		fx.Provide(newListeners, newPublisher, newPeers, newPrimacy, newHomes, newRouter, newPromotion, newControl, newSessions, newStatus),
		fx.Populate(&n.components),
		fx.Invoke(n.registerLifecycle),
	)
	if err := n.app.Err(); err != nil {
		return nil, dig.RootCause(err)
	}
	return n, nil
}

// incarnation distinguishes successive starts of a VM. It is the start time in Unix
// milliseconds.
type incarnation uint64

// Run serves until ctx ends, then shuts down gracefully within the grace period.
func (n *Node) Run(ctx context.Context) error {
	log := n.components.Log
	if err := n.app.Start(ctx); err != nil {
		return err
	}
	log.Info("started", "callers", n.settings.CallerListen, "peers", n.settings.PeerListen, "status", n.settings.StatusListen)
	<-ctx.Done()
	log.Info("stopping", "grace", n.settings.Grace, "sessions", n.components.Sessions.Sessions())
	stopCtx, cancel := context.WithTimeout(context.Background(), n.settings.Grace)
	defer cancel()
	err := n.app.Stop(stopCtx)
	log.Info("stopped", "sessions", n.components.Sessions.Sessions(), "error", err)
	return err
}

// Ready reports whether the process accepts new callers.
func (n *Node) Ready() bool { return n.serving.Load() }

func (n *Node) registerLifecycle(lc fx.Lifecycle) {
	c := &n.components
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			c.Status.SetReady(n.Ready)
			c.Status.Start(c.Listeners.status)
			c.Peers.Start(c.Listeners.peers)
			go n.serveReady()
			n.registerAndWait()
			c.Control.Start()
			if n.adapters.Promoter != nil {
				go c.Primacy.Run(n.refreshCtx)
			}
			c.Homes.Start()
			go n.serveCallers()
			return nil
		},
		OnStop: n.stop,
	})
}

// registerAndWait starts the registration of this VM and waits up to registerWait for
// it. Of two VMs that start together, the one that registers later then finds the other
// in the VM list.
func (n *Node) registerAndWait() {
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

// register retries with exponential back-off until the store accepts this VM's entry or
// the process stops.
func (n *Node) register() {
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval, retryBackoff.MaxInterval = registerRetryInitial, registerRetryMax
	retryBackoff.Multiplier, retryBackoff.RandomizationFactor = 2, 0
	for attempt := 1; ; attempt++ {
		ctx, cancel := context.WithTimeout(context.Background(), registerTimeout)
		existed, err := n.adapters.Registrar.RegisterVM(ctx, n.settings.Self, newRegistration())
		cancel()
		if err == nil {
			if !existed || attempt > 1 { // a failed attempt may have created the entry
				n.components.Primacy.Ledger().RecordJoin(clock.Boottime())
			}
			n.components.Log.Info("vm_registered", "peer_addr", n.settings.Self.PeerAddr, "existed", existed, "attempts", attempt)
			return
		}
		delay := retryBackoff.NextBackOff()
		n.components.Log.Warn("vm_not_registered", "error", err, "retry_in", delay)
		select {
		case <-n.stopping:
			return
		case <-time.After(delay):
		}
	}
}

// newRegistration returns what identifies the creation of an entry. Clocks may be wrong, so
// it does not contain a time.
func newRegistration() string { return rand.Text() }

// Time-outs and back-off of the registration, which must tolerate a slow or unavailable
// store.
const (
	registerWait         = 500 * time.Millisecond
	registerTimeout      = 3 * time.Second
	registerRetryInitial = 200 * time.Millisecond
	registerRetryMax     = 2 * time.Second
)

// serveReady serves the readiness probe until the process stops.
func (n *Node) serveReady() {
	server := &http.Server{Handler: n.adapters.ReadyHandler(n.Ready), ReadHeaderTimeout: time.Second}
	if err := server.Serve(n.components.Listeners.ready); !n.isStopping() {
		n.components.Log.Error("ready_listener_failed", "error", err)
	}
}

// isStopping reports whether the shutdown has begun.
func (n *Node) isStopping() bool {
	select {
	case <-n.stopping:
		return true
	default:
		return false
	}
}

// serveCallers accepts callers once control has loaded the catalogue and the servers, and
// this VM may use primaries.
func (n *Node) serveCallers() {
	select {
	case <-n.components.Control.Ready():
	case <-n.stopping:
		return
	}
	n.awaitEvidence()
	n.serving.Store(true)
	n.components.Log.Info("ready")
	if err := n.components.Sessions.Serve(n.components.Listeners.callers); !n.isStopping() {
		n.components.Log.Error("caller_listener_failed", "error", err)
	}
}

// evidenceWait is how long a VM that could serve waits for the permission to use primaries.
// Without it, reads of a stated age can be served.
const evidenceWait = time.Second

// awaitEvidence waits until this VM may use primaries, at most for evidenceWait.
func (n *Node) awaitEvidence() {
	if n.adapters.Promoter == nil {
		return
	}
	select {
	case <-n.components.Primacy.Confirmed():
	case <-n.stopping:
	case <-time.After(evidenceWait):
		n.components.Log.Warn("primaries_not_confirmed", "waited", evidenceWait)
	}
}

// stop shuts down gracefully. The process reports itself not ready at once but keeps
// serving while other VMs take over its homes (the home of a backend server is the VM that
// owns the connections to it). Sessions then end between their operations. Transactions
// idle on the caller are rolled back after half of the grace period.
func (n *Node) stop(ctx context.Context) error {
	stopStart := clock.Boottime()
	n.stopOnce.Do(func() { close(n.stopping) })
	n.serving.Store(false)
	n.components.Control.Leave()
	time.Sleep(min(notReadyDelay, n.settings.Grace/2))
	rollbackTimer := time.AfterFunc(n.settings.Grace/2-(clock.Boottime()-stopStart), n.components.Sessions.EndTransactions)
	defer rollbackTimer.Stop()
	_ = n.components.Listeners.callers.Close() // may be closed already
	drainCtx, cancel := context.WithTimeout(ctx, n.settings.Grace-(clock.Boottime()-stopStart)-stopMargin)
	defer cancel()
	if err := n.components.Sessions.Drain(drainCtx); err != nil {
		n.components.Log.Warn("sessions_cut", "sessions", n.components.Sessions.Sessions(), "error", err)
	}
	n.components.Homes.Drain(drainCtx)
	n.components.Listeners.close()
	stopCtx, cancelStop := context.WithTimeout(ctx, stopMargin)
	defer cancelStop()
	if err := n.components.Control.Stop(stopCtx); err != nil {
		n.components.Log.Warn("control_cut", "error", err)
	}
	n.stopRefresh()
	n.components.Homes.Stop()
	n.components.Peers.Stop()
	return nil
}

// listeners are the open listeners of a process.
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
			_ = listener.Close() // may be closed by its server
		}
	}
}

func newPublisher(s Settings, m *metrics.Registry) *topology.Publisher {
	p := topology.NewPublisher(&topology.Snapshot{Self: s.Self.ID})
	m.Gauge("configuration_revision", "Store revision of the configuration in force.", func() float64 { return float64(p.Snapshot().Revision) })
	m.Gauge("configuration_complete", "Version of the configuration up to which every change is in force.", func() float64 { return float64(p.Snapshot().Configuration.Complete) })
	m.Gauge("configuration_later_entries", "Entries in force that belong to later configurations.", func() float64 { return float64(p.Snapshot().Configuration.Later) })
	return p
}

func newPeers(s Settings, p *topology.Publisher, log hclog.Logger, m *metrics.Registry) *peer.Node {
	return peer.NewNode(peer.DefaultOptions(s.Self.ID, s.BindIP, s.FleetKey), p, log.Named("peer"), m)
}

func newPrimacy(s Settings, a Adapters, p *topology.Publisher, n *peer.Node, log hclog.Logger, m *metrics.Registry) *primacy.Refresher {
	return primacy.New(primacy.Deps{Self: s.Self.ID, Store: a.Store, Peers: n, Source: p, Log: log.Named("primacy"), Metrics: m})
}

func newHomes(p *topology.Publisher, a Adapters, refresher *primacy.Refresher, log hclog.Logger, m *metrics.Registry) *broker.Manager {
	var guard broker.Guard = refresher
	if a.Promoter == nil {
		guard = broker.Unguarded{}
	}
	return broker.New(broker.DefaultOptions(), p, a.Connector, guard, log.Named("home"), m)
}

func newRouter(h *broker.Manager, p *topology.Publisher, n *peer.Node) *broker.Router {
	return broker.NewRouter(h, p, n)
}

func newPromotion(s Settings, a Adapters, start incarnation, p *topology.Publisher, refresher *primacy.Refresher, h *broker.Manager, r *broker.Router, n *peer.Node, log hclog.Logger, m *metrics.Registry) *promote.Executor {
	return promote.New(promote.Deps{
		Self: s.Self.ID, Incarnation: uint64(start), Store: a.Store, Peers: n, Local: h, Router: r, Promoter: a.Promoter,
		Primacy: refresher, Source: p,
		Log: log.Named("promotion"), Metrics: m,
	})
}

func newControl(s Settings, a Adapters, start incarnation, n *peer.Node, p *topology.Publisher, refresher *primacy.Refresher, executor *promote.Executor, log hclog.Logger, m *metrics.Registry) *control.Control {
	o := control.DefaultOptions()
	o.Incarnation = uint64(start)
	o.Machine.SelfRegistration, o.Machine.MaxVMsAllWatching, o.Machine.DisableStatusReports = true, maxVMsAllWatching, true
	o.Machine.MaxBackoff = storeMaxBackoff
	o.Machine.WatcherVMsInterval = watcherVMsInterval
	o.Machine.VMsRegister, o.Machine.CatalogueIsDocument = true, true
	for _, addr := range s.Seeds {
		o.Seeds = append(o.Seeds, topology.VM{ID: addr, PeerAddr: addr})
	}
	deps := control.Deps{
		Self: s.Self, Store: refresher.ObserveLists(a.Store), Peers: n, Registrar: n, Publisher: p,
		RegisterSelf: func(ctx context.Context) error {
			_, err := a.Registrar.RegisterVM(ctx, s.Self, newRegistration())
			// The list lacked this VM, so it joins anew.
			refresher.Ledger().RecordJoin(clock.Boottime())
			return err
		},
		Log: log.Named("control"), Metrics: m,
	}
	if a.Promoter != nil {
		deps.Machines = []reducer.Machine{promotion.New(promotion.DefaultOptions(), s.Self.ID)}
		deps.Executors = []reducer.Executor{executor}
	}
	c := control.New(o, deps)
	executor.Bind(c.Post)
	refresher.OnLearned(func(database string, d topology.Designation) {
		c.Post(controlmachine.PrimaryDesignated{Database: database, Designation: d})
	})
	return c
}

const (
	// maxVMsAllWatching is the number of VMs up to which every VM watches the store. It
	// keeps the fleet's watches, two per VM every two seconds, within a tenth of the
	// capacity of a store that serves a few hundred reads a second.
	maxVMsAllWatching = 32
	// storeMaxBackoff is the maximum back-off of calls to the store: a quarter of the
	// time within which a new configuration must be in force.
	storeMaxBackoff = time.Second
	// watcherVMsInterval is the interval between reads of the VM list. New members also
	// announce themselves to the others.
	watcherVMsInterval = 5 * time.Second
)

func newSessions(s Settings, a Adapters, start incarnation, p *topology.Publisher, r *broker.Router, log hclog.Logger, m *metrics.Registry) *session.Engine {
	o := session.DefaultOptions()
	if s.MaxSessions > 0 {
		o.MaxSessions = s.MaxSessions
	}
	if s.MemoryBytes > 0 {
		o.MaxStateBytes = s.MemoryBytes / sessionStateDivisor
		o.MaxMessageBytes = s.MemoryBytes / messagesDivisor
		o.MaxReplyBytes = s.MemoryBytes / messagesDivisor
	}
	return session.New(o, session.Deps{
		Self: s.Self, Incarnation: uint64(start), Source: p, Broker: r, NewConn: a.NewCallerConn, Log: log.Named("session"), Metrics: m,
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
