package run

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"egretroad/internal/authority"
	"egretroad/internal/catalogue"
	"egretroad/internal/eventlog"
	"egretroad/internal/metrics"
	"egretroad/internal/outcome"
	"egretroad/internal/peer"
	"egretroad/internal/peer/method"
	"egretroad/internal/platform"
	"egretroad/internal/reducer"
	"egretroad/internal/topology"
	"egretroad/internal/txn"
)

const waitLimit = 10 * time.Second

// fakeFleet answers WaitApplied from a table of statuses; a server without one
// never answers.
type fakeFleet struct {
	txn.Home
	mu       sync.Mutex
	statuses map[string]topology.ServerStatus
	asked    map[string]int
}

func (f *fakeFleet) set(server string, s topology.ServerStatus) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.statuses[server] = s
}

func (f *fakeFleet) WaitApplied(ctx context.Context, server string, _ topology.Mark) (topology.ServerStatus, error) {
	f.mu.Lock()
	f.asked[server]++
	s, ok := f.statuses[server]
	f.mu.Unlock()
	if ok {
		return s, nil
	}
	<-ctx.Done()
	return topology.ServerStatus{}, ctx.Err()
}

// askedServers returns the servers that were asked.
func (f *fakeFleet) askedServers() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var servers []string
	for server := range f.asked {
		servers = append(servers, server)
	}
	return servers
}

func (f *fakeFleet) Admin(_ context.Context, r txn.AdminRequest) (topology.ServerStatus, error) {
	if r.Op == txn.AdminPromote {
		return topology.ServerStatus{}, &outcome.FailedError{Code: "55000", Message: "fence is not the term"}
	}
	return topology.ServerStatus{Server: r.Server, Term: r.Term}, nil
}

// fakePeers runs handlers in place; every VM is this one.
type fakePeers struct{ handlers map[string]peer.Handler }

func (p *fakePeers) Handle(method string, h peer.Handler) { p.handlers[method] = h }

func (p *fakePeers) Call(ctx context.Context, _, method string, body []byte) ([]byte, error) {
	return p.handlers[method](ctx, "vm-a", body)
}

func (p *fakePeers) Notify(_, method string, body []byte) {
	_, _ = p.handlers[method](context.Background(), "vm-a", body)
}

// fakeStore is a store of one object whose write answers can be lost.
type fakeStore struct {
	platform.Store
	mu      sync.Mutex
	objects map[string]platform.Object
	lose    bool
}

func (s *fakeStore) Get(_ context.Context, kind, name string) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[kind+name]; ok {
		return o, nil
	}
	return platform.Object{}, &platform.NotFoundError{Kind: kind, Name: name}
}

func (s *fakeStore) Put(_ context.Context, kind, name string, ifVersion uint64, value []byte) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.objects[kind+name]
	if current.Version != ifVersion {
		return platform.Object{}, &platform.ConflictError{Kind: kind, Name: name, IfVersion: ifVersion, Current: current}
	}
	o := platform.Object{Kind: kind, Name: name, Version: ifVersion + 1, Value: value}
	s.objects[kind+name] = o
	if s.lose {
		s.lose = false
		return platform.Object{}, &platform.UnavailableError{Call: "put", Cause: context.DeadlineExceeded}
	}
	return o, nil
}

// bench is one service over fakes.
type bench struct {
	service *Service
	fleet   *fakeFleet
	store   *fakeStore
	peers   *fakePeers
	mu      sync.Mutex
	now     time.Duration
}

func (b *bench) clock() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.now
}

func (b *bench) advance(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.now += d
}

func newBench() *bench {
	b := &bench{
		fleet: &fakeFleet{statuses: map[string]topology.ServerStatus{}, asked: map[string]int{}},
		store: &fakeStore{objects: map[string]platform.Object{}},
		peers: &fakePeers{handlers: map[string]peer.Handler{}},
		now:   time.Hour,
	}
	b.service = New(DefaultOptions(), Deps{
		Self: topology.VM{ID: "vm-a", DataCentre: "a"}, Store: b.store, Peers: b.peers, Registrar: b.peers,
		Fleet: b.fleet, Now: b.clock, Log: eventlog.Discard(), Metrics: metrics.NewRegistry(),
	})
	return b
}

// publish sets the lease and the group of database orders with primary s-a.
func (b *bench) publish(term uint64, until time.Duration) {
	b.service.writes.publish(&authority.Table{
		Leases: map[string]authority.Holding{"orders": {Term: term, Until: until}},
		Groups: map[string]authority.Electors{"orders": {
			Term: term, Servers: []string{"s-a", "s-b", "s-c"}, Needed: 1, Primaries: map[uint64]string{term: "s-a"},
		}},
	})
}

func mark(term, position uint64) topology.Mark {
	return topology.Mark{Database: "orders", Term: term, Position: position}
}

func TestConfirmByLeaseAsksNoReplica(t *testing.T) {
	g := NewWithT(t)
	b := newBench()
	b.publish(3, b.clock()+time.Second)
	g.Expect(b.service.Authority().Confirm(context.Background(), mark(3, 10), catalogue.ConfirmAny)).To(Succeed())
	g.Expect(b.fleet.askedServers()).To(BeEmpty())
	g.Expect(b.service.Authority().Held("orders", 3)).To(BeTrue())
	g.Expect(b.service.Authority().Held("orders", 2)).To(BeFalse())
}

func TestALeaseThatLapsedWhileTheHolderWasPausedConfirmsNothing(t *testing.T) {
	g := NewWithT(t)
	b := newBench()
	b.publish(3, b.clock()+time.Second)
	b.advance(time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	err := b.service.Authority().Confirm(ctx, mark(3, 10), catalogue.ConfirmAny)
	var unknown *outcome.UnknownError
	g.Expect(errors.As(err, &unknown)).To(BeTrue())
	g.Expect(unknown.Reason).To(Equal(outcome.ReasonUnconfirmed))
}

func TestConfirmReplicaNeedsAReplicaDespiteTheLease(t *testing.T) {
	g := NewWithT(t)
	b := newBench()
	b.publish(3, b.clock()+time.Hour)
	b.fleet.set("s-a", topology.ServerStatus{Server: "s-a", Term: 3, Position: 10})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	g.Expect(b.service.Authority().Confirm(ctx, mark(3, 10), catalogue.ConfirmReplica)).NotTo(Succeed(), "the primary is no replica")
	b.fleet.set("s-c", topology.ServerStatus{Server: "s-c", Term: 3, Position: 10})
	g.Expect(b.service.Authority().Confirm(context.Background(), mark(3, 10), catalogue.ConfirmReplica)).To(Succeed())
	g.Expect(b.fleet.askedServers()).NotTo(ContainElement("s-a"))
}

func TestAReplicaOfAnotherTermOrBehindConfirmsNothing(t *testing.T) {
	g := NewWithT(t)
	b := newBench()
	b.publish(3, 0)
	b.fleet.set("s-b", topology.ServerStatus{Server: "s-b", Term: 4, Position: 99})
	b.fleet.set("s-c", topology.ServerStatus{Server: "s-c", Term: 3, Position: 9})
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	g.Expect(b.service.Authority().Confirm(ctx, mark(3, 10), catalogue.ConfirmAny)).NotTo(Succeed())
}

func TestALeaseRenewedWhileWaitingConfirms(t *testing.T) {
	g := NewWithT(t)
	b := newBench()
	b.publish(3, 0)
	done := make(chan error, 1)
	go func() { done <- b.service.Authority().Confirm(context.Background(), mark(3, 10), catalogue.ConfirmAny) }()
	g.Consistently(done, 30*time.Millisecond).ShouldNot(Receive())
	b.publish(3, b.clock()+time.Second)
	g.Eventually(done, waitLimit).Should(Receive(BeNil()))
}

func TestAReplacedTermIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	b := newBench()
	b.publish(3, 0)
	b.fleet.set("s-b", topology.ServerStatus{Server: "s-b", Term: 4, Position: 99})
	b.fleet.set("s-c", topology.ServerStatus{Server: "s-c", Term: 4, Position: 99})
	table := &authority.Table{Groups: map[string]authority.Electors{"orders": {
		Term: 4, Servers: []string{"s-a", "s-b", "s-c"}, Needed: 1, Primaries: map[uint64]string{3: "s-a", 4: "s-b"},
	}}}
	b.service.writes.publish(table)
	err := b.service.Authority().Confirm(context.Background(), mark(3, 10), catalogue.ConfirmAny)
	var unknown *outcome.UnknownError
	g.Expect(errors.As(err, &unknown)).To(BeTrue())
	g.Expect(unknown.Reason).To(Equal(outcome.ReasonReplaced))
}

// start runs the service's machine with a group whose primary this VM is home of.
func (b *bench) start() *reducer.Runtime {
	r := reducer.NewRuntime([]reducer.Machine{b.service.Machine()}, []reducer.Executor{b.service.Executor()},
		b.clock, 10*time.Millisecond, eventlog.Discard())
	b.service.Bind(r.Post)
	r.Start()
	vm := topology.VM{ID: "vm-a", DataCentre: "a"}
	r.Post(reducer.SnapshotPublished{Snapshot: &topology.Snapshot{
		Self: "vm-a", VMs: map[string]topology.VM{"vm-a": vm}, Homes: map[string]string{"s-a": "vm-a"},
	}})
	value := []byte(`{"database":"orders","term":3,"primary":"s-a","servers":[{"id":"s-a","dataCentre":"a","state":"active"}]}`)
	r.Post(reducer.ObjectChanged{Kind: platform.KindGroup, Name: "orders", Version: 1, Value: value})
	return r
}

func TestALeaseIsAskedForAndReleasedOnRequest(t *testing.T) {
	g := NewWithT(t)
	b := newBench()
	b.store.lose = true // the first write takes effect, its answer is lost
	r := b.start()
	defer r.Stop()
	tick := func() bool {
		b.advance(20 * time.Millisecond)
		return b.service.Authority().Held("orders", 3)
	}
	g.Eventually(tick, waitLimit, 5*time.Millisecond).Should(BeTrue())
	body := encode(authority.ReleaseRequest{Lease: authority.Lease{Database: "orders", Term: 3}})
	_, err := b.peers.Call(context.Background(), "vm-a", method.Release, body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(b.service.Authority().Held("orders", 3)).To(BeFalse())
	for range 20 {
		b.advance(100 * time.Millisecond)
		time.Sleep(time.Millisecond)
		g.Expect(b.service.Authority().Held("orders", 3)).To(BeFalse(), "a released term is never held again")
	}
}

func TestMessagesThatCannotBeParsedAreRefused(t *testing.T) {
	g := NewWithT(t)
	b := newBench()
	for method, handler := range b.peers.handlers {
		_, err := handler(context.Background(), "vm-b", []byte{0xc1})
		var decode *DecodeError
		g.Expect(errors.As(err, &decode)).To(BeTrue(), method)
	}
}

func TestStoreAnswersKeepTheirMeaning(t *testing.T) {
	g := NewWithT(t)
	current := platform.Object{Version: 9}
	g.Expect(storeResult(current, nil).Outcome).To(Equal(authority.StoreOK))
	g.Expect(storeResult(platform.Object{}, &platform.ConflictError{Current: current}).Object.Version).To(Equal(uint64(9)))
	g.Expect(storeResult(platform.Object{}, &platform.NotFoundError{}).Outcome).To(Equal(authority.StoreNotFound))
	g.Expect(storeResult(platform.Object{}, &platform.UnavailableError{Cause: context.Canceled}).Outcome).To(Equal(authority.StoreUnknown))
	g.Expect(storeResult(platform.Object{}, &platform.RejectedError{Status: 400}).Outcome).To(Equal(authority.StoreUnknown))
}
