// Package deployment starts the stand-ins (in-process fakes that speak the real
// protocols) of a whole deployment on loopback: the platform API, the database
// groups and the TCP relays in front of the entry VMs. It also injects faults, by
// Fault or over HTTP. It starts no proxies: callers run them on the addresses in
// Deployment.VMs.
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

// callerIP is the address on which every proxy listens for callers.
const callerIP = "127.0.0.1"

// FirstServerSuffix is the ID suffix of the server in the first data centre; the
// servers in the next data centres have b, c and so on.
const FirstServerSuffix = 'a'

// Options configures a deployment.
type Options struct {
	Name      string // BrightSpokes or CabraRonda
	Proxies   int    // entry VMs, spread over the data centres
	FirstPort int    // caller port of the first proxy, the others follow; 0 picks free ports
	Seed      uint64
	// Scale multiplies the connect delay, the replication lag, the latency
	// between VMs of different regions and the service time. 1 means realistic
	// delays, 0 no delays.
	Scale float64
	// ServiceTime, if positive, overrides the scaled service time.
	ServiceTime time.Duration
	// VMLag is the time until a change of the VM list becomes visible.
	VMLag time.Duration
	// NoRelays advertises the VMs' own peer listeners. Traffic between VMs then
	// has no latency, and cuts do not affect it.
	NoRelays bool
	// Record makes the database groups keep every statement and commit, for
	// consistency checkers.
	Record bool
}

// DefaultOptions returns options for bright-spokes with three proxies and
// realistic delays.
func DefaultOptions() Options {
	return Options{Name: BrightSpokes, Proxies: 3, Seed: 1, Scale: 1, VMLag: objectapi.DefaultVMLag}
}

// VM is an entry VM, on which one proxy runs.
type VM struct {
	topology.VM         // as advertised; PeerAddr is the relay's address, unless NoRelays is set
	BindIP       string // the VM's own address, also the source of outgoing connections
	PeerListen   string // address for the peer listener
	CallerListen string // address for the caller listener
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

// UnknownDeploymentError reports a name for which no deployment is defined.
type UnknownDeploymentError struct{ Name string }

func (e *UnknownDeploymentError) Error() string {
	return fmt.Sprintf("unknown deployment %q, want %s or %s", e.Name, BrightSpokes, CabraRonda)
}

// PortError reports that no free port was found for a VM.
type PortError struct {
	Addr  string
	Cause error
}

func (e *PortError) Error() string { return fmt.Sprintf("no free port on %s: %v", e.Addr, e.Cause) }

// Unwrap returns the error of the last attempt to listen, or nil.
func (e *PortError) Unwrap() error { return e.Cause }

// Start starts all stand-ins and writes the group objects, catalogue entries and
// VM list to the platform. On error it closes what was started.
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

// startGroup starts one server in each data centre. Group number index has its
// primary in data centre number index, so that the primaries are spread.
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
	service := d.scale(d.plan.serviceTime)
	if d.options.ServiceTime > 0 {
		service = d.options.ServiceTime
	}
	return pgserver.ServerSpec{
		ID:             database + "-" + string(rune(FirstServerSuffix+dc)),
		DataCentre:     name,
		Addr:           net.JoinHostPort(d.Network.ServerAddr(name, index), "0"),
		Slots:          d.plan.slots,
		MaxConnections: d.plan.maxConnections,
		ConnectDelay:   d.scale(d.plan.connectDelay),
		ServiceTime:    service,
		Lag:            d.scale(d.plan.regionRTT),
	}
}

func (d *Deployment) scale(t time.Duration) time.Duration {
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
	for _, e := range d.plan.catalogueEntries(g.Database()) {
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

// startVMs chooses the VMs' addresses, starts their relays and publishes the VM
// list.
func (d *Deployment) startVMs() error {
	for i := range d.options.Proxies {
		vm, err := d.newVM(i)
		if err != nil {
			return err
		}
		d.VMs = append(d.VMs, vm)
	}
	d.Platform.SetVMs(d.advertisedVMs())
	return nil
}

func (d *Deployment) advertisedVMs() []topology.VM {
	vms := make([]topology.VM, 0, len(d.VMs))
	for _, vm := range d.VMs {
		vms = append(vms, vm.VM)
	}
	return vms
}

// SetVMState changes the state of a VM in the platform's VM list. An empty state
// removes the VM from the list.
func (d *Deployment) SetVMState(id string, state topology.VMState) error {
	var listed []topology.VM
	found := false
	for i := range d.VMs {
		if d.VMs[i].ID == id {
			d.VMs[i].State = state
			found = true
		}
		if d.VMs[i].State != "" {
			listed = append(listed, d.VMs[i].VM)
		}
	}
	if !found {
		return &UnknownVMError{ID: id}
	}
	d.Platform.SetVMs(listed)
	return nil
}

// UnknownVMError reports a VM ID that does not exist in the deployment.
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

// latencyTo returns a function for the one-way latency from a source to target.
// Latency exists between data centres only: each of them is a region of its own.
func (d *Deployment) latencyTo(target netip.Addr) relay.Delay {
	oneWay := d.scale(d.plan.regionRTT) / 2
	return func(source netip.Addr) time.Duration {
		if network.SameDataCentre(source, target) {
			return 0
		}
		return oneWay
	}
}

// Port range for listeners that are opened later. It lies below the kernel's
// ephemeral port range, so that no outgoing connection takes such a port first.
const (
	firstListenPort = 10_000
	lastListenPort  = 32_000
	portAttempts    = 200
)

// freePort returns an IP:port address that has no listener and lies outside the
// kernel's ephemeral port range.
func freePort(ip string) (string, error) {
	var err error
	for range portAttempts {
		port := firstListenPort + rand.IntN(lastListenPort-firstListenPort)
		if !reservePort(port) {
			continue
		}
		var l net.Listener
		if l, err = net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port))); err == nil {
			return l.Addr().String(), l.Close()
		}
	}
	return "", &PortError{Addr: ip, Cause: err}
}

// reservationIP is the loopback address on which the ports are reserved that freePort has
// returned. Nothing else listens there.
const reservationIP = "127.255.255.253"

// reservations keeps the listeners that reserve ports open until the process ends.
var reservations sync.Map // port -> net.Listener

// reservePort reserves a port among all test processes of the machine and reports whether
// it was unreserved before. A port returned twice would fail only later, when the second
// proxy starts to listen.
func reservePort(port int) bool {
	l, err := net.Listen("tcp", net.JoinHostPort(reservationIP, strconv.Itoa(port)))
	if err != nil {
		return false
	}
	reservations.Store(port, l)
	return true
}

// Databases returns the database names in the order of the plan.
func (d *Deployment) Databases() []string { return d.plan.databases }

// DataCentres returns the data centre names in the order of the plan.
func (d *Deployment) DataCentres() []string {
	var names []string
	for _, dc := range d.plan.dataCentres {
		names = append(names, dc.name)
	}
	return names
}

// Server returns the backend server with the given ID, or nil if there is none.
func (d *Deployment) Server(id string) *pgserver.Server {
	for _, g := range d.Groups {
		if s := g.Server(id); s != nil {
			return s
		}
	}
	return nil
}

// Close stops all stand-ins.
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
