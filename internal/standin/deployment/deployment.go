// Package deployment starts the stand-ins of one whole deployment on loopback:
// the platform, the database groups and the relays in front of the VMs.
package deployment

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"egretroad/internal/platform"
	"egretroad/internal/standin/network"
	"egretroad/internal/standin/objectapi"
	"egretroad/internal/standin/pgserver"
	"egretroad/internal/standin/relay"
	"egretroad/internal/topology"
)

// callerIP is the address that callers reach every proxy at.
const callerIP = "127.0.0.1"

// FirstServerSuffix names the servers of a database: a, b, c, by data centre.
const FirstServerSuffix = 'a'

// Options choose a deployment.
type Options struct {
	Name      string // BrightSpokes or CabraRonda
	Proxies   int    // entry VMs, spread over the data centres
	FirstPort int    // callers' port of the first proxy; 0 picks free ports
	Seed      uint64
	// Scale multiplies the connect delay, the replication lag, the latency
	// between VMs of different regions and the service time; 1 is the real
	// size, 0 is none.
	Scale float64
	// ServiceTime, when positive, replaces the scaled service time.
	ServiceTime time.Duration
	// VMLag is the time after which a change of the VM list is visible.
	VMLag time.Duration
	// NoRelays advertises the VMs' own peer listeners; between VMs there are
	// then no cuts and no latency.
	NoRelays bool
	// Record keeps every statement and commit for checkers.
	Record bool
}

// DefaultOptions returns three proxies of bright-spokes at real size.
func DefaultOptions() Options {
	return Options{Name: BrightSpokes, Proxies: 3, Seed: 1, Scale: 1, VMLag: objectapi.DefaultVMLag}
}

// VM is one entry VM for a proxy to run on.
type VM struct {
	topology.VM         // as advertised; PeerAddr is the relay's address
	BindIP       string // the VM's own address, also of outgoing connections
	PeerListen   string // address for the peer listener
	CallerListen string // address for the callers' listener
	relay        *relay.Relay
}

// Deployment is a set of running stand-ins.
type Deployment struct {
	Name     string
	Network  *network.Network
	Platform *objectapi.Server
	Groups   map[string]*pgserver.Group // by database
	VMs      []VM

	options Options
	plan    plan
}

// UnknownDeploymentError reports a name that no deployment has.
type UnknownDeploymentError struct{ Name string }

func (e *UnknownDeploymentError) Error() string {
	return fmt.Sprintf("unknown deployment %q, want %s or %s", e.Name, BrightSpokes, CabraRonda)
}

// PortError reports that no port could be had for a VM.
type PortError struct {
	Addr  string
	Cause error
}

func (e *PortError) Error() string { return fmt.Sprintf("no port at %s: %v", e.Addr, e.Cause) }

// Unwrap returns the cause.
func (e *PortError) Unwrap() error { return e.Cause }

// Start starts all stand-ins and seeds the platform's objects.
func Start(o Options) (*Deployment, error) {
	p, ok := plans[o.Name]
	if !ok {
		return nil, &UnknownDeploymentError{Name: o.Name}
	}
	names := make([]string, 0, len(p.dataCentres))
	for _, dc := range p.dataCentres {
		names = append(names, dc.name)
	}
	d := &Deployment{
		Name:    o.Name,
		Network: network.New(names),
		Groups:  map[string]*pgserver.Group{},
		options: o,
		plan:    p,
	}
	if err := d.start(); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start() error {
	api, err := objectapi.Start(net.JoinHostPort(d.Network.PlatformAddr(), "0"), d.Network)
	if err != nil {
		return err
	}
	d.Platform = api
	api.SetVMLag(d.options.VMLag)
	api.Handle("POST "+PathFault, d.faultHandler())
	for i, database := range d.plan.databases {
		if err := d.startGroup(i, database); err != nil {
			return err
		}
	}
	return d.startVMs()
}

// startGroup starts one server in each data centre; the primaries are spread.
func (d *Deployment) startGroup(index int, database string) error {
	var specs []pgserver.ServerSpec
	for k := range d.plan.dataCentres {
		dc := (index + k) % len(d.plan.dataCentres)
		specs = append(specs, d.serverSpec(index, database, dc))
	}
	g, err := pgserver.NewGroup(database, specs, d.Network, d.options.Seed+uint64(index))
	if err != nil {
		return err
	}
	g.SetRecording(d.options.Record)
	d.Groups[database] = g
	return d.seedGroup(g)
}

func (d *Deployment) serverSpec(index int, database string, dc int) pgserver.ServerSpec {
	name := d.plan.dataCentres[dc].name
	service := d.scaled(d.plan.serviceTime)
	if d.options.ServiceTime > 0 {
		service = d.options.ServiceTime
	}
	return pgserver.ServerSpec{
		ID:             database + "-" + string(rune(FirstServerSuffix+dc)),
		DataCentre:     name,
		Addr:           net.JoinHostPort(d.Network.ServerAddr(name, index), "0"),
		Slots:          d.plan.slots,
		MaxConnections: d.plan.maxConnections,
		ConnectDelay:   d.scaled(d.plan.connectDelay),
		ServiceTime:    service,
		Lag:            d.scaled(d.plan.regionLatency),
	}
}

func (d *Deployment) scaled(t time.Duration) time.Duration {
	return time.Duration(float64(t) * d.options.Scale)
}

// seedGroup writes a group's object and its catalogue entries.
func (d *Deployment) seedGroup(g *pgserver.Group) error {
	primary := g.Primary()
	object := topology.Group{Database: g.Database(), Term: pgserver.FirstTerm, Primary: primary.ID()}
	for _, s := range g.Servers() {
		spec := s.Spec()
		object.Servers = append(object.Servers, topology.Server{
			ID:             spec.ID,
			Addr:           s.Addr(),
			DataCentre:     spec.DataCentre,
			Region:         d.region(spec.DataCentre),
			State:          topology.ServerActive,
			Slots:          spec.Slots,
			MaxConnections: spec.MaxConnections,
		})
	}
	if _, err := d.Platform.Put(platform.KindGroup, g.Database(), object); err != nil {
		return err
	}
	for _, e := range d.plan.entries(g.Database()) {
		if err := e.Check(); err != nil {
			return err
		}
		if _, err := d.Platform.Put(platform.KindCatalogue, e.Name, e); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) region(dataCentre string) string {
	for _, dc := range d.plan.dataCentres {
		if dc.name == dataCentre {
			return dc.region
		}
	}
	return ""
}

// startVMs picks the VMs' addresses, starts their relays and lists them.
func (d *Deployment) startVMs() error {
	for i := range d.options.Proxies {
		vm, err := d.newVM(i)
		if err != nil {
			return err
		}
		d.VMs = append(d.VMs, vm)
	}
	d.Platform.SetVMs(d.advertised())
	return nil
}

func (d *Deployment) advertised() []topology.VM {
	all := make([]topology.VM, 0, len(d.VMs))
	for _, vm := range d.VMs {
		all = append(all, vm.VM)
	}
	return all
}

// SetVMState changes the state of a VM in the platform's list; an empty state
// removes the VM from it.
func (d *Deployment) SetVMState(id string, state topology.VMState) error {
	var list []topology.VM
	found := false
	for i := range d.VMs {
		if d.VMs[i].ID == id {
			d.VMs[i].State = state
			found = true
		}
		if d.VMs[i].State != "" {
			list = append(list, d.VMs[i].VM)
		}
	}
	if !found {
		return &UnknownVMError{ID: id}
	}
	d.Platform.SetVMs(list)
	return nil
}

// UnknownVMError reports a VM that the deployment lacks.
type UnknownVMError struct{ ID string }

func (e *UnknownVMError) Error() string { return fmt.Sprintf("unknown VM %q", e.ID) }

func (d *Deployment) newVM(i int) (VM, error) {
	dc := d.plan.dataCentres[i%len(d.plan.dataCentres)]
	ip := d.Network.VMAddr(dc.name, i/len(d.plan.dataCentres))
	peerListen, err := freePort(ip)
	if err != nil {
		return VM{}, err
	}
	callerListen := net.JoinHostPort(callerIP, strconv.Itoa(d.options.FirstPort+i))
	if d.options.FirstPort == 0 {
		if callerListen, err = freePort(callerIP); err != nil {
			return VM{}, err
		}
	}
	vm := VM{
		VM: topology.VM{
			ID:         fmt.Sprintf("%s-%d", dc.name, 1+i/len(d.plan.dataCentres)),
			DataCentre: dc.name,
			Region:     dc.region,
			PeerAddr:   peerListen,
			CallerAddr: callerListen,
			State:      topology.VMLive,
		},
		BindIP:       ip,
		PeerListen:   peerListen,
		CallerListen: callerListen,
	}
	if d.options.NoRelays {
		return vm, nil
	}
	target := netip.MustParseAddrPort(peerListen)
	vm.relay, err = relay.Start(net.JoinHostPort(ip, "0"), target, d.Network, d.latencyTo(target.Addr()))
	if err != nil {
		return VM{}, err
	}
	vm.PeerAddr = vm.relay.Addr()
	return vm, nil
}

// latencyTo returns the one-way latency to an address: each data centre of
// these deployments is a region of its own.
func (d *Deployment) latencyTo(target netip.Addr) relay.Delay {
	oneWay := d.scaled(d.plan.regionLatency) / 2
	return func(source netip.Addr) time.Duration {
		if network.SameDataCentre(source, target) {
			return 0
		}
		return oneWay
	}
}

// Ports for listeners that are opened later, below the ports that the kernel
// gives to outgoing connections.
const (
	firstListenPort = 10_000
	lastListenPort  = 32_000
	portAttempts    = 200
)

// freePort returns an IP:port that nothing listens on and that no outgoing
// connection is given by the kernel.
func freePort(ip string) (string, error) {
	var err error
	for range portAttempts {
		port := firstListenPort + rand.IntN(lastListenPort-firstListenPort)
		if !take(port) {
			continue
		}
		var l net.Listener
		if l, err = net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port))); err == nil {
			return l.Addr().String(), l.Close()
		}
	}
	return "", &PortError{Addr: ip, Cause: err}
}

// taken are the ports given out by this process: a second choice of one would
// only show when its proxy starts.
var taken sync.Map // of struct{} by port

// take reports whether a port has not been given out before, and takes it.
func take(port int) bool {
	_, given := taken.LoadOrStore(port, struct{}{})
	return !given
}

// Databases returns the databases' names in order.
func (d *Deployment) Databases() []string { return d.plan.databases }

// DataCentres returns the data centres' names in order.
func (d *Deployment) DataCentres() []string {
	var names []string
	for _, dc := range d.plan.dataCentres {
		names = append(names, dc.name)
	}
	return names
}

// Server returns the backend server with the given ID, or nil.
func (d *Deployment) Server(id string) *pgserver.Server {
	for _, g := range d.Groups {
		if s := g.Server(id); s != nil {
			return s
		}
	}
	return nil
}

// Close ends all stand-ins.
func (d *Deployment) Close() {
	for _, vm := range d.VMs {
		if vm.relay != nil {
			vm.relay.Close()
		}
	}
	for _, g := range d.Groups {
		g.Close()
	}
	if d.Platform != nil {
		d.Platform.Close()
	}
}
