package proxy

import (
	"crypto/tls"
	"crypto/x509"
	"expvar"
	"os"

	"github.com/hashicorp/go-hclog"
	"go.uber.org/fx"

	authority "egretroad/internal/authority/run"
	"egretroad/internal/clock"
	"egretroad/internal/config"
	control "egretroad/internal/control/run"
	"egretroad/internal/dispatch"
	"egretroad/internal/gateway"
	"egretroad/internal/home"
	"egretroad/internal/metrics"
	"egretroad/internal/operator"
	"egretroad/internal/peer"
	"egretroad/internal/platform"
	"egretroad/internal/platform/objectclient"
	"egretroad/internal/reducer"
	"egretroad/internal/topology"
	"egretroad/internal/txn"
)

// componentProviders are the fx constructors of every component of a proxy.
var componentProviders = fx.Provide(
	metrics.NewRegistry,
	newListeners,
	newSelf,
	newPublisher,
	newNode,
	newStore,
	newDispatcher,
	newLeases,
	newControl,
	newHomes,
	newGateway,
	newOperator,
)

// leaseService is the authority service, which manages the data centre's lease.
type leaseService struct{ *authority.Service }

func newSelf(s config.Settings) topology.VM {
	vm := topology.VM{
		ID: s.VM.ID, DataCentre: s.VM.DataCentre, Region: s.VM.Region,
		PeerAddr: s.Peers.Advertise, CallerAddr: s.Callers.Advertise, State: topology.VMLive,
	}
	if vm.PeerAddr == "" {
		vm.PeerAddr = s.Peers.Listen
	}
	if vm.CallerAddr == "" {
		vm.CallerAddr = s.Callers.Listen
	}
	return vm
}

func newPublisher(self topology.VM) *topology.Publisher {
	return topology.NewPublisher(&topology.Snapshot{Self: self.ID})
}

func newNode(s config.Settings, p *topology.Publisher, log hclog.Logger, m *metrics.Registry) (*peer.Node, error) {
	o := peer.DefaultOptions(s.VM.ID, s.VM.Address, []byte(s.Peers.FleetKey))
	tlsConfig, err := loadTLS("peers.tls", s.Peers.TLS)
	if err != nil {
		return nil, err
	}
	o.TLS = tlsConfig
	return peer.NewNode(o, p, log.Named("peer"), m), nil
}

func newStore(s config.Settings, m *metrics.Registry) platform.Store {
	o := objectclient.DefaultOptions()
	o.BindIP = s.VM.Address
	o.CallTimeout = s.Platform.Timeout.D()
	o.ReadsPerSecond, o.WritesPerSecond = s.Platform.CallsPerSecond, s.Platform.CallsPerSecond
	c := objectclient.New(s.Platform.URL, o)
	m.Set("platform", "calls", expvar.Func(func() any { return c.Counts() }))
	return c
}

func newDispatcher(p *topology.Publisher, n *peer.Node) *dispatch.Dispatcher {
	return dispatch.New(p, n)
}

func newLeases(self topology.VM, store platform.Store, n *peer.Node, d *dispatch.Dispatcher, log hclog.Logger, m *metrics.Registry) *leaseService {
	return &leaseService{authority.New(authority.DefaultOptions(), authority.Deps{
		Self: self, Store: store, Peers: n, Registrar: n, Fleet: d, Now: clock.Boottime,
		Log: log.Named("authority"), Metrics: m,
	})}
}

func newControl(s config.Settings, self topology.VM, store platform.Store, n *peer.Node, p *topology.Publisher, l *leaseService, log hclog.Logger, m *metrics.Registry) *control.Control {
	o := control.DefaultOptions()
	for _, addr := range s.Peers.Seeds {
		o.Seeds = append(o.Seeds, topology.VM{ID: addr, PeerAddr: addr})
	}
	c := control.New(o, control.Deps{
		Self: self, Store: store, Peers: n, Registrar: n, Publisher: p,
		Machines: []reducer.Machine{l.Machine()}, Executors: []reducer.Executor{l.Executor()},
		Log: log.Named("control"), Metrics: m,
	})
	l.Bind(c.Post)
	return c
}

func newHomes(self topology.VM, p *topology.Publisher, l *leaseService, c *control.Control, d *dispatch.Dispatcher, n *peer.Node, s config.Settings, hooks Hooks, log hclog.Logger, m *metrics.Registry) *home.Manager {
	o := home.DefaultOptions()
	o.Pool.Backend.BindIP = s.VM.Address
	o.Pool.Backend.User, o.Pool.Backend.Password = s.Servers.User, s.Servers.Password
	leaseAuthority := l.Authority()
	if hooks.Authority != nil {
		leaseAuthority = hooks.Authority(leaseAuthority)
	}
	h := home.New(o, home.Deps{
		Self: self.ID, Source: p, Authority: leaseAuthority,
		Observe: func(e reducer.ServerObserved) { c.Post(e) },
		Log:     log.Named("home"), Metrics: m,
	})
	d.SetLocal(h)
	n.ServeLanes(h)
	return h
}

func newGateway(s config.Settings, p *topology.Publisher, d *dispatch.Dispatcher, _ *home.Manager, n *peer.Node, hooks Hooks, log hclog.Logger, m *metrics.Registry) (*gateway.Gateway, error) {
	o := gateway.DefaultOptions()
	o.FleetKey = []byte(s.Peers.FleetKey)
	o.MaxConnections, o.MaxMessageBytes = s.Callers.MaxConnections, s.Callers.MaxMessage
	o.Users = map[string]string{}
	for _, u := range s.Callers.Users {
		o.Users[u.Name] = u.Password
	}
	tlsConfig, err := loadTLS("callers.tls", s.Callers.TLS)
	if err != nil {
		return nil, err
	}
	o.TLS = tlsConfig
	var homes txn.Home = d
	if hooks.Home != nil {
		homes = hooks.Home(homes)
	}
	g := gateway.New(o, gateway.Deps{
		Source: p, Home: homes, Log: log.Named("gateway"), Metrics: m,
		Now: clock.Boottime, ForwardCancel: gateway.ForwardByPeer(n),
	})
	g.RegisterPeer(n)
	return g, nil
}

func newOperator(s config.Settings, m *metrics.Registry, c *control.Control, l *leaseService, h *home.Manager, g *gateway.Gateway, log hclog.Logger) *operator.Server {
	o := operator.New(m, m.Text(), log.Named("operator"))
	o.AddSection("vm", func() any { return s.VM })
	o.AddSection("control", c.Dump)
	o.AddSection("authority", func() (state any) {
		c.Inspect(func() { state = l.Dump() })
		return state
	})
	o.AddSection("homes", h.Dump)
	o.AddSection("gateway", g.Dump)
	return o
}

// TLSError reports a TLS setting whose certificate, key or CA file cannot be loaded.
type TLSError struct {
	Field string // the setting
	Cause error
}

func (e *TLSError) Error() string { return "setting " + e.Field + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *TLSError) Unwrap() error { return e.Cause }

// NoCertificateError reports a CA file without a PEM certificate.
type NoCertificateError struct{ File string }

func (e *NoCertificateError) Error() string { return e.File + " contains no PEM certificate" }

// loadTLS loads the files of a TLS setting and returns nil when none is set. With a CA
// file, client and server must both present a certificate signed by that CA (mutual TLS).
func loadTLS(field string, t config.TLS) (*tls.Config, error) {
	if !t.Set() {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(t.CertFile, t.KeyFile)
	if err != nil {
		return nil, &TLSError{Field: field, Cause: err}
	}
	tlsConfig := &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS13}
	if t.CAFile == "" {
		return tlsConfig, nil
	}
	raw, err := os.ReadFile(t.CAFile)
	if err != nil {
		return nil, &TLSError{Field: field, Cause: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return nil, &TLSError{Field: field, Cause: &NoCertificateError{File: t.CAFile}}
	}
	tlsConfig.ClientCAs, tlsConfig.RootCAs, tlsConfig.ClientAuth = pool, pool, tls.RequireAndVerifyClientCert
	return tlsConfig, nil
}
