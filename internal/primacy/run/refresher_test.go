package run

import (
	"context"
	"errors"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"egretroad/internal/clock"
	"egretroad/internal/eventlog"
	"egretroad/internal/metrics"
	"egretroad/internal/peer"
	"egretroad/internal/peer/method"
	"egretroad/internal/platform"
	"egretroad/internal/primacy"
	"egretroad/internal/topology"
)

// fakeStore lists the given duties, or fails.
type fakeStore struct {
	platform.Store
	mu     sync.Mutex // guards the fields below
	duties map[string]string
	fail   bool
	lists  int
	vms    []string
}

func (s *fakeStore) VMs(context.Context) (platform.VMList, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fail {
		return platform.VMList{}, &platform.UnavailableError{Call: "vms"}
	}
	var l platform.VMList
	for _, id := range s.vms {
		l.VMs = append(l.VMs, topology.VM{ID: id})
	}
	return l, nil
}

func (s *fakeStore) List(context.Context, string) (platform.ObjectList, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	if s.fail {
		return platform.ObjectList{}, &platform.UnavailableError{Call: "list"}
	}
	var l platform.ObjectList
	for name, value := range s.duties {
		l.Objects = append(l.Objects, platform.Object{Kind: platform.KindDuty, Name: name, Version: 7, Value: []byte(value)})
	}
	return l, nil
}

// fakePeers answers requests for designations on behalf of the given VMs.
type fakePeers struct {
	handler peer.Handler
	mu      sync.Mutex // guards the fields below
	answers map[string]primacy.Evidence
	asked   map[string]int
}

func (p *fakePeers) Handle(name string, h peer.Handler) {
	if name == method.Designations {
		p.handler = h
	}
}

func (p *fakePeers) Notify(string, string, []byte) {}

func (p *fakePeers) Call(_ context.Context, vm, _ string, _ []byte) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked[vm]++
	e, known := p.answers[vm]
	if !known {
		return nil, &peer.UnreachableError{VM: vm, Cause: errors.New("cut off")}
	}
	return msgpack.Marshal(&e)
}

func newRefresher(self string) (*Refresher, *fakeStore, *fakePeers) {
	store, peers := &fakeStore{vms: []string{"a", "b", "c"}}, &fakePeers{answers: map[string]primacy.Evidence{}, asked: map[string]int{}}
	snapshot := &topology.Snapshot{Self: self, VMs: map[string]topology.VM{}, Listed: []string{"a", "b", "c"}}
	for _, id := range snapshot.Listed {
		snapshot.VMs[id] = topology.VM{ID: id, DataCentre: "x"}
	}
	r := New(Deps{
		Self: self, Store: store, Peers: peers, Source: topology.NewPublisher(snapshot),
		Log: eventlog.Discard(), Metrics: metrics.NewRegistry(),
	})
	return r, store, peers
}

// After a start, the VM that passes evidence on may be starting too.
func TestFirstEvidenceComesFromStore(t *testing.T) {
	g := NewWithT(t)
	r, store, peers := newRefresher("b")
	store.duties = map[string]string{"orders": `{"server":"s2","holder":"a"}`}
	g.Expect(r.Permit(context.Background(), "orders", "s1")).To(BeAssignableToTypeOf(&primacy.SupersededError{}))
	g.Expect(r.Permit(context.Background(), "orders", "s2")).To(Succeed())
	g.Expect(peers.asked).To(BeEmpty())
}

// Later evidence comes from the source, and from the store if the source fails.
func TestEvidenceComesFromSourceOrStore(t *testing.T) {
	g := NewWithT(t)
	r, store, peers := newRefresher("b")
	r.refresh(0)
	peers.answers["a"] = primacy.Evidence{HasFull: true}
	r.refresh(0)
	g.Expect(store.lists).To(Equal(1))
	g.Expect(peers.asked["a"]).To(Equal(1))
	delete(peers.answers, "a")
	r.refresh(0)
	g.Expect(store.lists).To(Equal(2))
	r.refresh(0)
	g.Expect(peers.asked["a"]).To(Equal(2), "a source that failed is avoided for a while")
	g.Expect(store.lists).To(Equal(3))
}

// During a store outage the statements of all VMs are full evidence.
func TestAllVMsReplaceStoreDuringOutage(t *testing.T) {
	g := NewWithT(t)
	r, store, peers := newRefresher("a")
	r.refresh(0)
	full := r.Ledger().Evidence(clock.Boottime(), primacy.Known{})
	store.fail = true
	designation := topology.Designation{Server: "s3", Holder: "c", Token: 9}
	peers.answers["b"] = primacy.Evidence{HasFull: true, Complete: true, FullAge: full.FullAge}
	peers.answers["c"] = primacy.Evidence{HasFull: true, Complete: true, FullAge: full.FullAge, Designations: map[string]topology.Designation{"orders": designation}}
	before := clock.Boottime()
	r.refresh(0)
	g.Expect(r.Ledger().ValidUntil()).To(BeNumerically(">=", before+primacy.Validity))
	g.Expect(r.Ledger().Designation("orders")).To(Equal(designation))
}

// A VM that has just restarted knows nothing of its own earlier claims, so it states
// nothing until it has had evidence itself.
func TestVMWithoutEvidenceStatesNothing(t *testing.T) {
	g := NewWithT(t)
	r, store, peers := newRefresher("a")
	store.fail = true
	for _, vm := range []string{"b", "c"} {
		peers.answers[vm] = primacy.Evidence{}
	}
	g.Expect(r.Permit(context.Background(), "orders", "s1")).To(BeAssignableToTypeOf(&primacy.ExpiredError{}))
}

// A record that cannot be read may designate any server, so it confirms the use of none.
func TestUnreadableRecordConfirmsNothing(t *testing.T) {
	g := NewWithT(t)
	r, store, _ := newRefresher("a")
	store.duties = map[string]string{"orders": `{"server":7}`}
	g.Expect(r.Permit(context.Background(), "orders", "s1")).To(HaveOccurred())
}

func TestMalformedRequestIsRefused(t *testing.T) {
	g := NewWithT(t)
	_, _, peers := newRefresher("a")
	_, err := peers.handler(context.Background(), "b", []byte{0xc1})
	g.Expect(err).To(HaveOccurred())
}
