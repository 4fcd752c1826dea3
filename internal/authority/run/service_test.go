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

const eventuallyTimeout = 10 * time.Second

// fakeFleet is a txn.Home that answers WaitApplied from a map of statuses. A server
// without a status never responds.
type fakeFleet struct {
	txn.Home
	mu       sync.Mutex
	statuses map[string]topology.ServerStatus
	calls    map[string]int
}

func (f *fakeFleet) set(server string, s topology.ServerStatus) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.statuses[server] = s
}

func (f *fakeFleet) WaitApplied(ctx context.Context, server string, _ topology.Mark) (topology.ServerStatus, error) {
	f.mu.Lock()
	f.calls[server]++
	s, ok := f.statuses[server]
	f.mu.Unlock()
	if ok {
		return s, nil
	}
	<-ctx.Done()
	return topology.ServerStatus{}, ctx.Err()
}

// calledServers returns the servers that received a WaitApplied call.
func (f *fakeFleet) calledServers() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var servers []string
	for server := range f.calls {
		servers = append(servers, server)
	}
	return servers
}

func (f *fakeFleet) Admin(_ context.Context, r txn.AdminRequest) (topology.ServerStatus, error) {
	if r.Op == txn.AdminPromote {
		return topology.ServerStatus{}, &outcome.FailedError{Code: "55000", Message: "fence does not match the term"}
	}
	return topology.ServerStatus{Server: r.Server, Term: r.Term}, nil
}

// fakePeers runs peer handlers synchronously; every target VM is this VM.
type fakePeers struct{ handlers map[string]peer.Handler }

func (p *fakePeers) Handle(method string, h peer.Handler) { p.handlers[method] = h }

func (p *fakePeers) Call(ctx context.Context, _, method string, body []byte) ([]byte, error) {
	return p.handlers[method](ctx, "vm-a", body)
}

func (p *fakePeers) Notify(_, method string, body []byte) {
	_, _ = p.handlers[method](context.Background(), "vm-a", body)
}

// fakeStore is an in-memory store that can lose the response to a write.
type fakeStore struct {
	platform.Store
	mu               sync.Mutex
	objects          map[string]platform.Object
	loseNextResponse bool
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
	if s.loseNextResponse {
		s.loseNextResponse = false
		return platform.Object{}, &platform.UnavailableError{Call: "put", Cause: context.DeadlineExceeded}
	}
	return o, nil
}

// fixture is a Service with fake dependencies and a manual clock.
type fixture struct {
	service *Service
	fleet   *fakeFleet
	store   *fakeStore
	peers   *fakePeers
	mu      sync.Mutex
	now     time.Duration
}

func (f *fixture) clock() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

func (f *fixture) advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now += d
}

func newFixture() *fixture {
	f := &fixture{
		fleet: &fakeFleet{statuses: map[string]topology.ServerStatus{}, calls: map[string]int{}},
		store: &fakeStore{objects: map[string]platform.Object{}},
		peers: &fakePeers{handlers: map[string]peer.Handler{}},
		now:   time.Hour,
	}
	f.service = New(DefaultOptions(), Deps{
		Self: topology.VM{ID: "vm-a", DataCentre: "a"}, Store: f.store, Peers: f.peers, Registrar: f.peers,
		Fleet: f.fleet, Now: f.clock, Log: eventlog.Discard(), Metrics: metrics.NewRegistry(),
	})
	return f
}

// publish publishes a lease on database orders and its write quorum with primary
// s-a.
func (f *fixture) publish(term uint64, expiresAt time.Duration) {
	f.service.confirmer.publish(&authority.LeaseTable{
		Leases: map[string]authority.HeldLease{"orders": {Term: term, ExpiresAt: expiresAt}},
		Quorums: map[string]authority.WriteQuorum{"orders": {
			Term: term, Servers: []string{"s-a", "s-b", "s-c"}, Required: 1, PrimaryByTerm: map[uint64]string{term: "s-a"},
		}},
	})
}

func mark(term, position uint64) topology.Mark {
	return topology.Mark{Database: "orders", Term: term, Position: position}
}

func TestConfirmByLeaseQueriesNoReplica(t *testing.T) {
	g := NewWithT(t)
	f := newFixture()
	f.publish(3, f.clock()+time.Second)
	g.Expect(f.service.Authority().Confirm(context.Background(), mark(3, 10), catalogue.ConfirmAny)).To(Succeed())
	g.Expect(f.fleet.calledServers()).To(BeEmpty())
	g.Expect(f.service.Authority().Held("orders", 3)).To(BeTrue())
	g.Expect(f.service.Authority().Held("orders", 2)).To(BeFalse())
}

// TestExpiredLeaseDoesNotConfirm covers a lease that expires while its holder is
// paused: the holder checks it again when it resumes.
func TestExpiredLeaseDoesNotConfirm(t *testing.T) {
	g := NewWithT(t)
	f := newFixture()
	f.publish(3, f.clock()+time.Second)
	f.advance(time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	err := f.service.Authority().Confirm(ctx, mark(3, 10), catalogue.ConfirmAny)
	var unknown *outcome.UnknownError
	g.Expect(errors.As(err, &unknown)).To(BeTrue())
	g.Expect(unknown.Reason).To(Equal(outcome.ReasonUnconfirmed))
}

func TestConfirmReplicaRequiresReplicaDespiteLease(t *testing.T) {
	g := NewWithT(t)
	f := newFixture()
	f.publish(3, f.clock()+time.Hour)
	f.fleet.set("s-a", topology.ServerStatus{Server: "s-a", Term: 3, Position: 10})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	g.Expect(f.service.Authority().Confirm(ctx, mark(3, 10), catalogue.ConfirmReplica)).NotTo(Succeed(), "the primary does not count as a replica")
	f.fleet.set("s-c", topology.ServerStatus{Server: "s-c", Term: 3, Position: 10})
	g.Expect(f.service.Authority().Confirm(context.Background(), mark(3, 10), catalogue.ConfirmReplica)).To(Succeed())
	g.Expect(f.fleet.calledServers()).NotTo(ContainElement("s-a"))
}

func TestReplicaOfOtherTermOrBehindDoesNotConfirm(t *testing.T) {
	g := NewWithT(t)
	f := newFixture()
	f.publish(3, 0)
	f.fleet.set("s-b", topology.ServerStatus{Server: "s-b", Term: 4, Position: 99})
	f.fleet.set("s-c", topology.ServerStatus{Server: "s-c", Term: 3, Position: 9})
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	g.Expect(f.service.Authority().Confirm(ctx, mark(3, 10), catalogue.ConfirmAny)).NotTo(Succeed())
}

func TestLeaseRenewedDuringConfirmConfirms(t *testing.T) {
	g := NewWithT(t)
	f := newFixture()
	f.publish(3, 0)
	done := make(chan error, 1)
	go func() { done <- f.service.Authority().Confirm(context.Background(), mark(3, 10), catalogue.ConfirmAny) }()
	g.Consistently(done, 30*time.Millisecond).ShouldNot(Receive())
	f.publish(3, f.clock()+time.Second)
	g.Eventually(done, eventuallyTimeout).Should(Receive(BeNil()))
}

func TestReplacedTermFailsImmediately(t *testing.T) {
	g := NewWithT(t)
	f := newFixture()
	f.publish(3, 0)
	f.fleet.set("s-b", topology.ServerStatus{Server: "s-b", Term: 4, Position: 99})
	f.fleet.set("s-c", topology.ServerStatus{Server: "s-c", Term: 4, Position: 99})
	table := &authority.LeaseTable{Quorums: map[string]authority.WriteQuorum{"orders": {
		Term: 4, Servers: []string{"s-a", "s-b", "s-c"}, Required: 1, PrimaryByTerm: map[uint64]string{3: "s-a", 4: "s-b"},
	}}}
	f.service.confirmer.publish(table)
	err := f.service.Authority().Confirm(context.Background(), mark(3, 10), catalogue.ConfirmAny)
	var unknown *outcome.UnknownError
	g.Expect(errors.As(err, &unknown)).To(BeTrue())
	g.Expect(unknown.Reason).To(Equal(outcome.ReasonReplaced))
}

// start runs the service's machine with a group whose primary has this VM as its
// home.
func (f *fixture) start() *reducer.Runtime {
	r := reducer.NewRuntime([]reducer.Machine{f.service.Machine()}, []reducer.Executor{f.service.Executor()},
		f.clock, 10*time.Millisecond, eventlog.Discard())
	f.service.Bind(r.Post)
	r.Start()
	vm := topology.VM{ID: "vm-a", DataCentre: "a"}
	r.Post(reducer.SnapshotPublished{Snapshot: &topology.Snapshot{
		Self: "vm-a", VMs: map[string]topology.VM{"vm-a": vm}, Homes: map[string]string{"s-a": "vm-a"},
	}})
	value := []byte(`{"database":"orders","term":3,"primary":"s-a","servers":[{"id":"s-a","dataCentre":"a","state":"active"}]}`)
	r.Post(reducer.ObjectChanged{Kind: platform.KindGroup, Name: "orders", Version: 1, Value: value})
	return r
}

func TestLeaseIsAcquiredAndReleasedOnRequest(t *testing.T) {
	g := NewWithT(t)
	f := newFixture()
	f.store.loseNextResponse = true // the first write takes effect but its response is lost
	r := f.start()
	defer r.Stop()
	tick := func() bool {
		f.advance(20 * time.Millisecond)
		return f.service.Authority().Held("orders", 3)
	}
	g.Eventually(tick, eventuallyTimeout, 5*time.Millisecond).Should(BeTrue())
	body := mustEncode(authority.ReleaseRequest{Lease: authority.Lease{Database: "orders", Term: 3}})
	_, err := f.peers.Call(context.Background(), "vm-a", method.Release, body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(f.service.Authority().Held("orders", 3)).To(BeFalse())
	for range 20 {
		f.advance(100 * time.Millisecond)
		time.Sleep(time.Millisecond)
		g.Expect(f.service.Authority().Held("orders", 3)).To(BeFalse(), "a released term must not be held again")
	}
}

func TestMalformedMessagesAreRejected(t *testing.T) {
	g := NewWithT(t)
	f := newFixture()
	for method, handler := range f.peers.handlers {
		_, err := handler(context.Background(), "vm-b", []byte{0xc1})
		var decode *DecodeError
		g.Expect(errors.As(err, &decode)).To(BeTrue(), method)
	}
}

func TestStoreResultMapsOutcomes(t *testing.T) {
	g := NewWithT(t)
	current := platform.Object{Version: 9}
	g.Expect(storeResult(current, nil).Outcome).To(Equal(authority.StoreOK))
	g.Expect(storeResult(platform.Object{}, &platform.ConflictError{Current: current}).Object.Version).To(Equal(uint64(9)))
	g.Expect(storeResult(platform.Object{}, &platform.NotFoundError{}).Outcome).To(Equal(authority.StoreNotFound))
	g.Expect(storeResult(platform.Object{}, &platform.UnavailableError{Cause: context.Canceled}).Outcome).To(Equal(authority.StoreUnknown))
	g.Expect(storeResult(platform.Object{}, &platform.RejectedError{Status: 400}).Outcome).To(Equal(authority.StoreUnknown))
}
