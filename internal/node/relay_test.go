package node_test

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"egretroad/internal/control"
	"egretroad/internal/eventlog"
	"egretroad/internal/peer/method"
	store "egretroad/internal/platform"
	"egretroad/internal/reducer"
	"egretroad/internal/standin/metastore"
	"egretroad/internal/topology"
	"egretroad/platform"
)

// controlVM is the control machine of a VM on the adapter of the platform's store. Tests
// carry its messages to other VMs, or lose them.
type controlVM struct {
	g       *WithT
	id      string
	store   *platform.Store
	machine *control.Machine
	now     time.Duration

	snapshot *topology.Snapshot
	updates  []reducer.PeerMessage // object updates sent to peers, oldest first
	reply    *control.FetchReply
}

// newControlVMs returns VMs that have read the store, which lists all of them.
func newControlVMs(g *WithT, backing *metastore.Store, ids ...string) []*controlVM {
	for _, id := range ids {
		backing.Put("egretroad-vms", id, controlVMEntry(id))
	}
	var vms []*controlVM
	for _, id := range ids {
		vms = append(vms, newControlVM(g, backing, id))
	}
	return vms
}

func controlVMEntry(id string) topology.VM {
	return topology.VM{ID: id, DataCentre: "a", Region: "r", PeerAddr: "127.0.0.1:1", CallerAddr: "127.0.0.1:2", State: topology.VMLive}
}

func newControlVM(g *WithT, backing *metastore.Store, id string) *controlVM {
	options := control.DefaultOptions()
	options.SelfRegistration, options.MaxVMsAllWatching, options.DisableStatusReports = true, 32, true
	options.CatalogueIsDocument = true
	v := &controlVM{
		g: g, id: id, now: time.Hour,
		store:   platform.NewStore(platform.Settings{Address: "127.0.0.1", StoreAddress: backing.Addr(), Regions: map[string]string{"a": "r"}}, eventlog.Discard()),
		machine: control.New(control.Config{Options: options, Self: controlVMEntry(id), Incarnation: 1}),
	}
	v.tick(0)
	return v
}

func (v *controlVM) tick(d time.Duration) {
	v.now += d
	v.step(reducer.Tick{Now: v.now})
}

// step processes an event and executes the calls to the store that follow from it, except
// for watches.
func (v *controlVM) step(e reducer.Event) {
	for _, effect := range v.machine.Step(e) {
		switch e := effect.(type) {
		case control.ListObjects:
			list, err := v.store.List(context.Background(), e.Kind)
			v.step(control.ObjectsListed{Kind: e.Kind, List: list, Err: err})
		case control.ListVMs:
			list, err := v.store.VMs(context.Background())
			v.step(control.VMsListed{List: list, Err: err})
		case control.Publish:
			v.snapshot = e.Snapshot
		case control.ReplyToFetch:
			v.reply = &e.Reply
		case control.Notify:
			if e.Method == method.Objects {
				v.updates = append(v.updates, reducer.PeerMessage{From: v.id, Method: e.Method, Body: e.Body, Now: v.now})
			}
		}
	}
}

// watchedKinds are the kinds that VMs watch.
var watchedKinds = []string{store.KindCatalogue, store.KindServer}

// watch waits until the store reports a change.
func (v *controlVM) watch() {
	for range 50 {
		response, err := v.store.Watch(context.Background(), watchedKinds, 0, time.Second)
		v.g.Expect(err).NotTo(HaveOccurred())
		v.step(control.ObjectsWatched{Response: response})
		if len(response.Objects) > 0 {
			v.tick(time.Second) // publishes the change
			return
		}
	}
	v.g.Expect("a change").To(BeEmpty(), "the store has reported none")
}

// relist watches until the store reports that its history is gone, and lists again.
func (v *controlVM) relist() {
	for range 5 {
		response, err := v.store.Watch(context.Background(), watchedKinds, 0, time.Second)
		v.step(control.ObjectsWatched{Response: response, Err: err})
		var compacted *store.CompactedError
		if errors.As(err, &compacted) {
			v.tick(time.Second) // lists
			v.tick(time.Second) // publishes
			return
		}
	}
	v.g.Expect("a new list").To(BeEmpty(), "the watch went on")
}

// fetchFrom copies the objects that differ on another VM.
func (v *controlVM) fetchFrom(other *controlVM) {
	other.step(control.FetchRequested{RequestID: 1})
	v.step(control.PeerFetched{From: other.id, Reply: *other.reply})
	v.tick(time.Second)
}

func putRoutes(store *metastore.Store, version int, hosts ...string) {
	var routes []map[string]any
	for _, host := range hosts {
		routes = append(routes, map[string]any{
			"name": "r-" + host, "host": host, "route-kind": "read_your_writes", "timeout-ms": 800, "target-latency-ms": 2000,
			"priority": 2, "service": "orders", "max-staleness-ms": 2500,
		})
	}
	store.Put("config", "main", map[string]any{
		"version": version, "routes": routes, "services": []map[string]any{{"name": "orders", "max-conns": 16}},
		"limits": map[string]any{"tx-idle-ms": 3000},
	})
}

func putServer(store *metastore.Store, id string) { putServerState(store, id, "ready", 1) }

// putServerState writes a server's entry with the number of heartbeats that it has sent.
func putServerState(store *metastore.Store, id, state string, heartbeats int) {
	store.Put("servers", id, map[string]any{
		"service": "orders", "address": "10.1.0.1:" + id, "zone": "a", "version": "v1", "slots": 2, "state": state,
		"cold-left-ms": 0, "db-role": "replica", "seq": heartbeats, "born": 1700000000000,
	})
}

// A configuration is compared with what is in force here, which a peer may have sent, and
// not with the configuration that this VM read before it.
func TestRouteRemovedByPeerUpdateReturnsWithNextConfiguration(t *testing.T) {
	g := NewWithT(t)
	store := newMetastore(t)
	putServer(store, "1")
	putRoutes(store, 3, "shop", "stock")
	vm := newControlVMs(g, store, "a1")[0]
	vm.tick(time.Second)
	vm.step(reducer.ObjectChanged{Kind: "catalogue", Name: "r-stock", Version: 4, Deleted: true, From: "b1"})
	vm.tick(time.Second)
	g.Expect(vm.snapshot.Catalogue.Names()).To(ConsistOf("r-shop"))
	putRoutes(store, 5, "shop", "stock")
	vm.watch()
	g.Expect(vm.snapshot.Catalogue.Names()).To(ConsistOf("r-shop", "r-stock"))
	for _, o := range vm.machine.Dump().Objects {
		if o.Object == "catalogue/r-shop" {
			g.Expect(o.Newest).To(Equal(uint64(3)), "an unchanged route keeps its version")
		}
	}
}

// A route was added and then a server. A VM that received only the second update from its
// peer took the route for deleted, and so did the other VMs afterwards.
func TestAddedRouteIsServedAfterLostUpdate(t *testing.T) {
	g := NewWithT(t)
	store := newMetastore(t)
	putRoutes(store, 1, "shop")
	putServer(store, "1")
	vms := newControlVMs(g, store, "a1", "a2")
	sender, receiver := vms[0], vms[1]
	putRoutes(store, 2, "shop", "stock")
	sender.watch()
	sender.updates = nil // lost
	putServer(store, "2")
	sender.watch()
	g.Expect(sender.updates).NotTo(BeEmpty())
	for _, update := range sender.updates {
		receiver.step(update)
	}
	receiver.fetchFrom(sender)
	g.Expect(receiver.snapshot.Catalogue.Names()).To(ContainElement("r-stock"))
	sender.fetchFrom(receiver)
	g.Expect(sender.snapshot.Catalogue.Names()).To(ContainElement("r-stock"))
}
