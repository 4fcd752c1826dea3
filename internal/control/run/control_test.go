package run_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"egretroad/internal/catalogue"
	"egretroad/internal/control"
	"egretroad/internal/control/run"
	"egretroad/internal/eventlog"
	"egretroad/internal/metrics"
	"egretroad/internal/peer"
	"egretroad/internal/platform"
	"egretroad/internal/platform/objectclient"
	"egretroad/internal/standin/network"
	"egretroad/internal/standin/objectapi"
	"egretroad/internal/topology"
)

const eventuallyTimeout = 20 * time.Second

// mesh is an in-memory peer network between the VMs of a test.
type mesh struct {
	mu       sync.Mutex
	handlers map[string]map[string]peer.Handler
}

// meshNode is one VM's endpoint in the mesh. It implements peer.Caller and
// peer.Registrar.
type meshNode struct {
	mesh *mesh
	id   string
}

func (n meshNode) Handle(method string, h peer.Handler) {
	n.mesh.mu.Lock()
	defer n.mesh.mu.Unlock()
	if n.mesh.handlers[n.id] == nil {
		n.mesh.handlers[n.id] = map[string]peer.Handler{}
	}
	n.mesh.handlers[n.id][method] = h
}

func (n meshNode) handler(vm, method string) peer.Handler {
	n.mesh.mu.Lock()
	defer n.mesh.mu.Unlock()
	return n.mesh.handlers[vm][method]
}

func (n meshNode) Call(ctx context.Context, vm, method string, body []byte) ([]byte, error) {
	h := n.handler(vm, method)
	if h == nil {
		return nil, &peer.UnreachableError{VM: vm, Method: method, Cause: context.Canceled}
	}
	return h(ctx, n.id, body)
}

func (n meshNode) Notify(vm, method string, body []byte) {
	if h := n.handler(vm, method); h != nil {
		go func() { _, _ = h(context.Background(), n.id, body) }()
	}
}

func (m *mesh) remove(vm string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.handlers, vm)
}

type fleet struct {
	*mesh
	t          *testing.T
	api        *objectapi.Server
	vms        []topology.VM
	controls   map[string]*run.Control
	publishers map[string]*topology.Publisher
}

func newFleet(t *testing.T, vms int) *fleet {
	g := NewWithT(t)
	links := network.New([]string{"a"})
	api, err := objectapi.Start(links.PlatformAddr()+":0", links)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(api.Close)
	f := &fleet{
		mesh: &mesh{handlers: map[string]map[string]peer.Handler{}}, t: t, api: api,
		controls: map[string]*run.Control{}, publishers: map[string]*topology.Publisher{},
	}
	for i := range vms {
		f.vms = append(f.vms, topology.VM{ID: fmt.Sprintf("vm%d", i), DataCentre: "a", State: topology.VMLive})
	}
	api.SetVMs(f.vms)
	_, err = api.Put(platform.KindGroup, "orders1", topology.Group{
		Database: "orders1", Term: 1, Primary: "orders1-a",
		Servers: []topology.Server{{ID: "orders1-a", Addr: "127.0.1.100:1", DataCentre: "a", State: topology.ServerActive, Slots: 2, MaxConnections: 16}},
	})
	g.Expect(err).NotTo(HaveOccurred())
	return f
}

func (f *fleet) start(vm topology.VM, seeds ...topology.VM) *run.Control {
	publisher := topology.NewPublisher(&topology.Snapshot{Self: vm.ID, Catalogue: catalogue.New(nil)})
	options := run.DefaultOptions()
	options.Seeds = seeds
	c := run.New(options, run.Deps{
		Self: vm, Store: objectclient.New(f.api.URL(), objectclient.DefaultOptions()),
		Peers: meshNode{f.mesh, vm.ID}, Registrar: meshNode{f.mesh, vm.ID},
		Publisher: publisher, Log: eventlog.Discard(), Metrics: metrics.NewRegistry(),
	})
	c.Start()
	f.controls[vm.ID], f.publishers[vm.ID] = c, publisher
	f.t.Cleanup(func() { f.stop(vm.ID) })
	return c
}

func (f *fleet) stop(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
	defer cancel()
	NewWithT(f.t).Expect(f.controls[id].Stop(ctx)).To(Succeed())
	f.remove(id)
}

func entry(name string) catalogue.Entry {
	return catalogue.Entry{
		Name: name, Kind: name, Owner: "shop", Database: "orders1",
		Rank: catalogue.RankOrders, Access: catalogue.AccessWrite, Deadline: 1000,
	}
}

func (f *fleet) names(id string) func() []string {
	return func() []string { return f.publishers[id].Snapshot().Catalogue.Names() }
}

func TestFleetFollowsTheStore(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, 3)
	for _, vm := range f.vms {
		f.start(vm)
	}
	for _, vm := range f.vms {
		g.Eventually(f.controls[vm.ID].Ready(), eventuallyTimeout).Should(BeClosed())
	}
	_, err := f.api.Put(platform.KindCatalogue, "orders", entry("orders"))
	g.Expect(err).NotTo(HaveOccurred())
	for _, vm := range f.vms {
		g.Eventually(f.names(vm.ID), eventuallyTimeout).Should(Equal([]string{"orders"}))
	}
	home := func(id string) func() string {
		return func() string { return f.publishers[id].Snapshot().Homes["orders1-a"] }
	}
	first := home("vm0")()
	f.stop(first)
	for _, vm := range f.vms {
		if vm.ID != first {
			g.Eventually(home(vm.ID), eventuallyTimeout).ShouldNot(BeElementOf("", first))
		}
	}
	for _, vm := range f.vms {
		if vm.ID == first {
			continue
		}
		dump, isDump := f.controls[vm.ID].Dump().(control.Dump)
		g.Expect(isDump).To(BeTrue())
		g.Expect(dump.Self).To(Equal(vm.ID))
		g.Expect(dump.Homes).To(HaveKey("orders1-a"))
	}
}

func TestStartsFromPeerWhileStoreIsDown(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, 2)
	f.start(f.vms[0])
	g.Eventually(f.controls["vm0"].Ready(), eventuallyTimeout).Should(BeClosed())
	f.api.Outage(true)
	f.start(f.vms[1], f.vms[0])
	g.Eventually(f.controls["vm1"].Ready(), eventuallyTimeout).Should(BeClosed())
	g.Expect(f.publishers["vm1"].Snapshot().Groups).To(HaveKey("orders1"))
}
