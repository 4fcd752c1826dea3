package run_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"egretroad/internal/broker"
	"egretroad/internal/clock"
	"egretroad/internal/eventlog"
	"egretroad/internal/metrics"
	"egretroad/internal/peer"
	"egretroad/internal/peer/method"
	"egretroad/internal/primacy"
	primacyrun "egretroad/internal/primacy/run"
	"egretroad/internal/promotion"
	"egretroad/internal/promotion/run"
	"egretroad/internal/reducer"
	"egretroad/internal/standin/metastore"
	"egretroad/internal/topology"
	"egretroad/platform"
)

// stubPeers fails every call, except that the given VMs acknowledge designations, and that
// connected VMs handle each other's calls.
type stubPeers struct {
	acknowledging map[string]bool
	history       map[string]any          // that those VMs state
	handlers      map[string]peer.Handler // of this VM
	connected     map[string]*stubPeers
}

func (p *stubPeers) Handle(name string, h peer.Handler) { p.handlers[name] = h }

func (p *stubPeers) Call(ctx context.Context, vm, name string, body []byte) ([]byte, error) {
	if other := p.connected[vm]; other != nil && other.handlers[name] != nil {
		return other.handlers[name](ctx, "", body)
	}
	if name == method.Acknowledge && p.acknowledging[vm] {
		return msgpack.Marshal(map[string]any{"a": true, "h": p.history})
	}
	return nil, &peer.UnknownMethodError{}
}

func (*stubPeers) CallIfResponsive(context.Context, string, string, []byte) ([]byte, error) {
	return nil, &peer.UnknownMethodError{}
}

func (*stubPeers) Notify(string, string, []byte) {}

// testVM is the executor of one VM on a shared store, with the results of its effects.
type testVM struct {
	executor  *run.Executor
	results   chan reducer.Event
	primacy   *primacyrun.Refresher
	peers     *stubPeers
	publisher *topology.Publisher
	router    *stubRouter
}

// stubRouter reports the status of the servers that respond.
type stubRouter struct {
	broker.Broker
	statuses map[string]broker.ReplicationStatus
	position topology.Mark // of the primary
}

func (r *stubRouter) ProvePosition(_ context.Context, server string, _ time.Duration) (broker.Proof, error) {
	if r.position.IsZero() {
		return broker.Proof{}, &broker.ConnectError{Server: server}
	}
	return broker.Proof{Mark: r.position}, nil
}

func (r *stubRouter) ReplicationStatus(_ context.Context, server string) (broker.ReplicationStatus, error) {
	status, responds := r.statuses[server]
	if !responds {
		return status, &broker.ConnectError{Server: server}
	}
	return status, nil
}

func newVM(name string, store *metastore.Store) *testVM { return newVMAt("127.0.0.1", name, store) }

// newVMAt returns a VM that calls the store from an address of its own.
func newVMAt(address, name string, store *metastore.Store) *testVM {
	s := platform.Settings{VM: name, Address: address, StoreAddress: store.Addr(), PromoteAddress: store.Addr()}
	storeClient, registry := platform.NewStore(s, eventlog.Discard()), metrics.NewRegistry()
	v := &testVM{
		results: make(chan reducer.Event, 1), peers: &stubPeers{handlers: map[string]peer.Handler{}}, router: &stubRouter{},
		publisher: topology.NewPublisher(&topology.Snapshot{Self: name, Listed: []string{name}}),
	}
	v.primacy = primacyrun.New(primacyrun.Deps{
		Self: name, Store: storeClient, Peers: v.peers, Source: v.publisher, Log: eventlog.Discard(), Metrics: registry,
	})
	v.executor = run.New(run.Deps{
		Self: name, Incarnation: 1, Store: storeClient, Peers: v.peers, Primacy: v.primacy, Source: v.publisher, Router: v.router,
		Promoter: platform.NewPromoter(s), Log: eventlog.Discard(), Metrics: registry,
	})
	v.executor.Bind(func(e reducer.Event) { v.results <- e })
	list(store, name)
	return v
}

// list adds VMs to the list of VMs in the store.
func list(store *metastore.Store, names ...string) {
	for _, name := range names {
		store.Put("egretroad-vms", name, topology.VM{ID: name, DataCentre: "x", PeerAddr: "127.0.0.1:1"})
	}
}

func (v *testVM) claim(g *WithT) promotion.ClaimResult {
	g.Expect(v.executor.Execute(context.Background(), promotion.ClaimDuty{Database: "orders", Server: "s1"}, nil)).To(BeTrue())
	e, ok := (<-v.results).(promotion.ClaimResult)
	g.Expect(ok).To(BeTrue())
	return e
}

func (v *testVM) acknowledge(g *WithT, d topology.Designation) promotion.Acknowledged {
	g.Expect(v.executor.Execute(context.Background(), promotion.Acknowledge{Database: "orders", Designation: d}, nil)).To(BeTrue())
	e, ok := (<-v.results).(promotion.Acknowledged)
	g.Expect(ok).To(BeTrue())
	return e
}

func (v *testVM) promote(g *WithT, holder string, token uint64) error {
	call := promotion.Call{Database: "orders", Server: "s1", Holder: holder, Token: token}
	g.Expect(v.executor.Execute(context.Background(), promotion.Promote{Call: call}, nil)).To(BeTrue())
	e, ok := (<-v.results).(promotion.PromoteResult)
	g.Expect(ok).To(BeTrue())
	return e.Err
}

func newStore(t *testing.T) *metastore.Store {
	store, err := metastore.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	return store
}

// Tokens increase with each claim, whichever VM makes it.
func TestTokensRiseWithEachClaim(t *testing.T) {
	g := NewWithT(t)
	store := newStore(t)
	a, b := newVM("a", store), newVM("b", store)
	last := uint64(0)
	for range 5 {
		for _, x := range []*testVM{a, b} {
			e := x.claim(g)
			if e.Token == 0 {
				// The first attempt failed on a version conflict, which updated the known version.
				e = x.claim(g)
			}
			g.Expect(e.Token).To(BeNumerically(">", last))
			last = e.Token
		}
	}
}

func TestClaimWithLostResponseIsRecognized(t *testing.T) {
	g := NewWithT(t)
	store := newStore(t)
	x := newVM("a", store)
	store.DropResponses(1)
	first := x.claim(g)
	g.Expect(first.Err).NotTo(HaveOccurred())
	g.Expect(first.Token).NotTo(BeZero())
	g.Expect(x.primacy.Ledger().Designation("orders")).To(Equal(topology.Designation{Server: "s1", Holder: "a", Token: first.Token}))
}

// A token of an earlier claim may be lower than one that another VM has sent meanwhile:
// while the store is unavailable, no claim succeeds.
func TestEarlierTokenIsNotReusedDuringStoreOutage(t *testing.T) {
	g := NewWithT(t)
	store := newStore(t)
	x := newVM("a", store)
	g.Expect(x.claim(g).Token).NotTo(BeZero())
	store.ForceStatus(http.StatusServiceUnavailable)
	e := x.claim(g)
	g.Expect(e.Token).To(BeZero())
	g.Expect(e.Err).To(HaveOccurred())
}

// A VM whose claim has been superseded does not send its token, also on a platform that
// would accept it.
func TestSupersededTokenIsNotSent(t *testing.T) {
	g := NewWithT(t)
	store := newStore(t)
	store.AcceptStaleTokens()
	a, b := newVM("a", store), newVM("b", store)
	old := a.claim(g).Token
	b.claim(g)
	newer := b.claim(g)
	b.primacy.Ledger().ConfirmFull(clock.Boottime())
	g.Expect(b.promote(g, "b", newer.Token)).To(Succeed())
	a.primacy.Record("orders", b.primacy.Ledger().Designation("orders"))
	g.Expect(a.promote(g, "a", old)).To(BeAssignableToTypeOf(&promotion.SupersededError{}))
	g.Expect(store.Promotions()).To(HaveLen(1))
}

// A designation that the store may have lost is not acted on, also if its VM has read
// nothing of the new epoch itself. Its token would be lower than those of the new epoch.
func TestDesignationOfEarlierEpochIsNotActedOn(t *testing.T) {
	g := NewWithT(t)
	store := newStore(t)
	older := store.Copy()
	a, b := newVM("a", store), newVM("b", store)
	token := a.claim(g).Token
	store.Restore(older)
	newer := b.claim(g)
	g.Expect(newer.Err).NotTo(HaveOccurred())
	g.Expect(newer.Token).To(BeNumerically(">", token))
	a.primacy.Ledger().ConfirmEpoch(b.primacy.Ledger().Epoch())
	g.Expect(a.promote(g, "a", token)).To(BeAssignableToTypeOf(&promotion.SupersededError{}))
	g.Expect(store.Promotions()).To(BeEmpty())
}

// A VM without recent evidence might not know of a newer claim, so it sends nothing.
func TestTokenIsNotSentWithoutRecentEvidence(t *testing.T) {
	g := NewWithT(t)
	store := newStore(t)
	a, b := newVM("a", store), newVM("b", store)
	token := a.claim(g).Token // needs evidence, so a has it
	b.primacy.Record("orders", a.primacy.Ledger().Designation("orders"))
	store.ForceStatus(http.StatusServiceUnavailable)
	g.Expect(b.promote(g, "a", token)).To(BeAssignableToTypeOf(&primacy.ExpiredError{}))
	g.Expect(store.Promotions()).To(BeEmpty())
}

// The platform may refuse a token because it has seen a higher one.
func TestRefusalOfPromotionIsReported(t *testing.T) {
	g := NewWithT(t)
	store := newStore(t)
	a, b := newVM("a", store), newVM("b", store)
	old := a.claim(g).Token
	g.Expect(a.promote(g, "a", old)).To(Succeed())
	b.claim(g)
	newer := b.claim(g)
	for _, x := range []*testVM{a, b} {
		x.primacy.Ledger().ConfirmFull(clock.Boottime())
	}
	g.Expect(b.promote(g, "b", newer.Token)).To(Succeed())
	g.Expect(a.promote(g, "a", old)).To(BeAssignableToTypeOf(&promotion.RefusedError{}))
}

// The wait for silent VMs begins once more than half of the VMs have acknowledged.
func TestWaitForAcknowledgements(t *testing.T) {
	g := NewWithT(t)
	store := newStore(t)
	x := newVM("a", store)
	list(store, "b", "c")
	x.publisher.Publish(&topology.Snapshot{Self: "a", Listed: []string{"a", "b", "c"}})
	for _, age := range []time.Duration{primacy.ListWindow, 0} {
		x.primacy.Ledger().ConfirmList([]string{"a", "b", "c"}, clock.Boottime()-age)
	}
	acknowledge := func() promotion.Acknowledged {
		return x.acknowledge(g, topology.Designation{Server: "s2", Holder: "a", Token: 9})
	}
	began := clock.Boottime()
	e := acknowledge()
	g.Expect(e.Silent).To(Equal([]string{"b", "c"}))
	g.Expect(e.SafeAt).To(BeNumerically(">=", began+primacy.RevocationWait+primacy.MinorityWait))
	x.peers.acknowledging = map[string]bool{"b": true}
	e = acknowledge()
	g.Expect(e.Silent).To(Equal([]string{"c"}))
	g.Expect(e.SafeAt).To(BeNumerically("<", clock.Boottime()+primacy.RevocationWait+time.Millisecond))
	x.peers.acknowledging["c"] = true
	e = acknowledge()
	g.Expect(e.Silent).To(BeEmpty())
	g.Expect(e.SafeAt).To(BeZero(), "the call need not wait for the next tick")
}

// The store says whether calls of the last designation may still take effect.
func TestClaimReportsPendingCallsOfLastDesignation(t *testing.T) {
	g := NewWithT(t)
	store := newStore(t)
	a, b := newVM("a", store), newVM("b", store)
	first := a.claim(g)
	g.Expect(first.PendingServers).To(BeEmpty())
	g.Expect(a.promote(g, "a", first.Token)).To(Succeed())
	second := b.claim(g)
	g.Expect(second.PendingServers).To(Equal([]string{"s1"}))
	g.Expect(b.promote(g, "b", second.Token)).To(Succeed())
	record := promotion.RecordCallsEnded{Database: "orders", Designation: b.primacy.Ledger().Designation("orders")}
	g.Expect(b.executor.Execute(context.Background(), record, nil)).To(BeTrue())
	g.Expect(<-b.results).To(Equal(promotion.CallsEndRecorded{Database: "orders", Token: second.Token}))
	third := b.claim(g)
	g.Expect(third.PendingServers).To(BeEmpty())
	g.Expect(third.Token).To(BeNumerically(">", second.Token))

	g.Expect(b.executor.Execute(context.Background(), record, nil)).To(BeTrue())
	<-b.results
	g.Expect(b.primacy.Ledger().Designation("orders").Token).To(Equal(third.Token), "a late record changes nothing")
	g.Expect(b.primacy.Ledger().Designation("orders").CallsEnded).To(BeFalse())
	g.Expect(b.promote(g, "b", third.Token)).To(Succeed())
	g.Expect(b.executor.Execute(context.Background(), promotion.ClaimDuty{Database: "orders", Server: "s1", EndedToken: third.Token}, nil)).To(BeTrue())
	g.Expect(<-b.results).To(HaveField("PendingServers", BeEmpty()), "this VM knows that they have ended")
}

// claimServer makes a claim for a server.
func (v *testVM) claimServer(g *WithT, server string) promotion.ClaimResult {
	e := execute[promotion.ClaimResult](g, v, promotion.ClaimDuty{Database: "orders", Server: server})
	g.Expect(e.Err).NotTo(HaveOccurred())
	return e
}

// The second claim makes no call, for example because its response is lost. Calls for the
// server of the first one may still take effect when the third one is made.
func TestClaimReportsPendingCallsOfDesignationBeforeLast(t *testing.T) {
	g := NewWithT(t)
	x := newVM("a", newStore(t))
	first := x.claimServer(g, "s1")
	g.Expect(x.promote(g, "a", first.Token)).To(Succeed())
	g.Expect(x.claimServer(g, "s2").PendingServers).To(Equal([]string{"s1"}))
	g.Expect(x.claimServer(g, "s2").PendingServers).To(Equal([]string{"s1"}), "s2 alone would need no wait")
	g.Expect(x.claimServer(g, "s3").PendingServers).To(Equal([]string{"s1"}), "no call was made for s2")
}

// A claim that is replaced before its first call makes none, so that nobody waits for it.
// Guards against waits of 8 s for designations that were given up.
func TestReplacedClaimMakesNoCall(t *testing.T) {
	g := NewWithT(t)
	store := newStore(t)
	a, b := newVM("a", store), newVM("b", store)
	given := a.claimServer(g, "s1")
	newer := b.claimServer(g, "s2")
	g.Expect(newer.PendingServers).To(BeEmpty())
	a.primacy.Ledger().ConfirmFull(clock.Boottime()) // a has not learned of it
	g.Expect(a.promote(g, "a", given.Token)).To(BeAssignableToTypeOf(&promotion.SupersededError{}))
	g.Expect(store.Promotions()).To(BeEmpty())
	g.Expect(a.primacy.Ledger().Designation("orders").Server).To(Equal("s2"))
}

// A candidate that leads may be the primary that another VM has promoted since: a VM whose
// evidence has expired meanwhile, as in a pause, must not make it step down.
func TestCandidateStepsDownOnlyUnderNewestDesignation(t *testing.T) {
	g := NewWithT(t)
	store := newStore(t)
	a, b := newVM("a", store), newVM("b", store)
	known := a.claimServer(g, "s1").Token
	newer := b.claimServer(g, "s2").Token
	woken := newVM("c", store) // without evidence, like one whose evidence has expired
	stepDown := promotion.StepDown{Database: "orders", Server: "s2", Term: 5, Candidate: true, Token: known}
	g.Expect(execute[promotion.SteppedDown](g, woken, stepDown).Done).To(BeFalse())
	g.Expect(woken.primacy.Ledger().Designation("orders").Token).To(Equal(newer))
	store.ForceStatus(http.StatusServiceUnavailable)
	stepDown.Token = 0
	g.Expect(execute[promotion.SteppedDown](g, newVM("d", store), stepDown).Done).To(BeFalse(), "it has no evidence")
}

// The call waits until its record is written: a VM that takes over must know of it.
func TestPromotionIsNotCalledBeforeItIsRecorded(t *testing.T) {
	g := NewWithT(t)
	store := newStore(t)
	x := newVM("a", store)
	token := x.claim(g).Token
	x.primacy.Ledger().ConfirmFull(clock.Boottime())
	store.RefuseKind("egretroad-duty", true)
	g.Expect(x.promote(g, "a", token)).To(HaveOccurred())
	g.Expect(store.Promotions()).To(BeEmpty())
	store.RefuseKind("egretroad-duty", false)
	g.Expect(x.promote(g, "a", token)).To(Succeed())
	g.Expect(store.Promotions()).To(HaveLen(1))
}

// The record that the calls begin may have been written although no response came.
func TestRecordOfCallsWithLostResponseIsRecognized(t *testing.T) {
	g := NewWithT(t)
	store := newStore(t)
	x := newVM("a", store)
	token := x.claim(g).Token
	x.primacy.Ledger().ConfirmFull(clock.Boottime())
	for range 6 {
		store.DropResponses(2)
		if x.promote(g, "a", token) == nil {
			break
		}
	}
	g.Expect(store.Promotions()).NotTo(BeEmpty())
}

// Records of earlier versions do not tell whether calls were made.
func TestClaimAfterRecordOfEarlierVersionReportsItsServer(t *testing.T) {
	g := NewWithT(t)
	store := newStore(t)
	store.Put("egretroad-duty", "orders", map[string]any{"server": "s1", "holder": "b", "start": 1, "claim": 1, "epoch": 1, "received": map[string]any{}})
	x := newVM("a", store)
	g.Expect(x.claimServer(g, "s2").PendingServers).To(Equal([]string{"s1"}))
}

// All VMs learn that the calls have ended, although the token stays the same.
func TestEndOfCallsReachesOtherVMs(t *testing.T) {
	g := NewWithT(t)
	store := newStore(t)
	a, b := newVM("a", store), newVM("b", store)
	a.claim(g)
	g.Expect(b.primacy.Permit(context.Background(), "orders", "s1")).To(Succeed())
	g.Expect(a.executor.Execute(context.Background(), promotion.RecordCallsEnded{Database: "orders", Designation: a.primacy.Ledger().Designation("orders")}, nil)).To(BeTrue())
	<-a.results
	g.Eventually(func() bool {
		_ = b.primacy.Permit(context.Background(), "orders", "s1") // refreshes expired evidence
		return b.primacy.Ledger().Designation("orders").CallsEnded
	}, "10s", "50ms").Should(BeTrue())
	g.Expect(b.primacy.Ledger().Designation("orders").Same(a.primacy.Ledger().Designation("orders"))).To(BeTrue())
}

// A VM that joined on this side of a cut does not make up a majority: VMs on the other side
// do not know it.
func TestWaitForAcknowledgementsAfterVMJoined(t *testing.T) {
	g := NewWithT(t)
	store := newStore(t)
	x := newVM("a", store)
	list(store, "b", "c", "d", "joined")
	x.publisher.Publish(&topology.Snapshot{Self: "a", Listed: []string{"a", "b", "c", "d"}})
	for _, age := range []time.Duration{primacy.ListWindow, 0} {
		x.primacy.Ledger().ConfirmList([]string{"a", "b", "c", "d"}, clock.Boottime()-age)
	}
	x.peers.acknowledging = map[string]bool{"b": true, "joined": true}
	began := clock.Boottime()
	e := x.acknowledge(g, topology.Designation{Server: "s2", Holder: "a", Token: 9})
	g.Expect(e.Silent).To(Equal([]string{"c", "d"}), "the VM that joined was asked")
	g.Expect(e.SafeAt).To(BeNumerically(">=", began+primacy.RevocationWait+primacy.MinorityWait))
}

// All VMs on this side of a cut have restarted, also one that joined lately. None remembers
// the change, and VMs of earlier versions state that they have been listed for long, since
// their entries were there at their start. Only the store's record shows for which that holds.
func TestWaitForAcknowledgementsAfterVMJoinedAndAllRestarted(t *testing.T) {
	g := NewWithT(t)
	store := newStore(t)
	x := newVM("a", store)
	listed := []string{"a", "b", "c", "d", "e", "joined"}
	list(store, listed...)
	x.publisher.Publish(&topology.Snapshot{Self: "a", Listed: listed})
	x.peers.acknowledging = map[string]bool{"b": true, "e": true, "joined": true}
	x.peers.history = map[string]any{"s": true}
	wait := func() time.Duration {
		e := x.acknowledge(g, topology.Designation{Server: "s2", Holder: "a", Token: 9})
		g.Expect(e.Silent).To(Equal([]string{"c", "d"}))
		return e.SafeAt - clock.Boottime()
	}
	long := primacy.RevocationWait + primacy.MinorityWait - time.Second
	g.Expect(wait()).To(BeNumerically(">", long), "there is no record")
	for _, id := range listed {
		store.Put("egretroad-vms", id, map[string]any{"id": id, "dataCentre": "x", "peerAddr": "127.0.0.1:1", "registration": "r" + id})
	}
	established := map[string]string{"a": "ra", "b": "rb", "c": "rc", "d": "rd", "e": "of an earlier entry"}
	store.Put("egretroad-vms", "established-vms", map[string]any{"epoch": 1, "vms": established})
	g.Expect(wait()).To(BeNumerically(">", long), "two VMs that acknowledged are established")
	established["e"] = "re"
	store.Put("egretroad-vms", "established-vms", map[string]any{"epoch": 1, "vms": established})
	g.Expect(wait()).To(BeNumerically("<", primacy.RevocationWait+time.Millisecond))
}

// Without the list of VMs, acknowledgements of all known ones prove nothing.
func TestWaitForAcknowledgementsWithoutList(t *testing.T) {
	g := NewWithT(t)
	store := newStore(t)
	x := newVM("a", store)
	store.ForceStatus(http.StatusServiceUnavailable)
	began := clock.Boottime()
	e := x.acknowledge(g, topology.Designation{Server: "s2", Holder: "a", Token: 9})
	g.Expect(e.Silent).To(BeEmpty())
	g.Expect(e.SafeAt).To(BeNumerically(">=", began+primacy.RevocationWait+primacy.MinorityWait))
}

// s2 was promoted with the log up to 1.97, while s1 had acknowledged commits up to 1.125. VMs
// that did not reach s2 elected s1 again: commits of the new term were lost, and those that
// reads on s2 had missed were back.
func TestReplacedPrimaryIsNotElectedWithCommitsThatWereRolledBack(t *testing.T) {
	g := NewWithT(t)
	x := newVM("a", newStore(t))
	received := func(term, position uint64) broker.ReplicationStatus {
		return broker.ReplicationStatus{Term: 2, Received: topology.Mark{Term: term, Position: position}}
	}
	elect := func(statuses map[string]broker.ReplicationStatus) string {
		x.router.statuses = statuses
		effect := promotion.Elect{Database: "orders", Candidates: []string{"s1", "s2", "s3"}, Preferred: "s2", Designation: topology.Designation{
			Server: "s2", Holder: "b", Token: 9, Term: 2, Received: topology.Mark{Term: 1, Position: 97},
		}}
		g.Expect(x.executor.Execute(context.Background(), effect, nil)).To(BeTrue())
		e, ok := (<-x.results).(promotion.ElectionResult)
		g.Expect(ok).To(BeTrue())
		return e.Server
	}
	g.Expect(elect(map[string]broker.ReplicationStatus{"s1": received(1, 125)})).To(BeEmpty())
	g.Expect(elect(map[string]broker.ReplicationStatus{"s1": received(1, 125), "s3": received(1, 90)})).To(Equal("s3"))
	g.Expect(elect(map[string]broker.ReplicationStatus{"s1": received(1, 97)})).To(Equal("s1"), "nothing of its log was rolled back")
	g.Expect(elect(map[string]broker.ReplicationStatus{"s1": received(2, 130)})).To(Equal("s1"), "it follows the new term")
	g.Expect(elect(map[string]broker.ReplicationStatus{"s1": received(1, 125), "s2": received(1, 97)})).To(Equal("s2"))
}

// Where commits are acknowledged with replicas, the designated server may have been overtaken
// before the call for it. Guards against its election all the same.
func TestDesignatedServerIsNotPreferredWithFewerCommits(t *testing.T) {
	g := NewWithT(t)
	x := newVM("a", newStore(t))
	received := func(position uint64) broker.ReplicationStatus {
		return broker.ReplicationStatus{Term: 1, Received: topology.Mark{Term: 1, Position: position}}
	}
	elect := promotion.Elect{Database: "orders", Candidates: []string{"s2", "s3"}, Preferred: "s2", PreferredOnly: true, Quorum: 2, Designation: topology.Designation{
		Server: "s2", Holder: "b", Token: 9, Term: 2, Received: topology.Mark{Term: 1, Position: 97},
	}}
	x.router.statuses = map[string]broker.ReplicationStatus{"s2": received(97), "s3": received(98)}
	g.Expect(execute[promotion.ElectionResult](g, x, elect).Server).To(Equal("s3"))
	x.router.statuses["s2"] = received(98)
	g.Expect(execute[promotion.ElectionResult](g, x, elect).Server).To(Equal("s2"))
	delete(x.router.statuses, "s2")
	g.Expect(execute[promotion.ElectionResult](g, x, elect).Server).To(BeEmpty(), "other VMs reach it")
}

// The server to promote must still have received as much as all others.
func TestConfirmationComparesPositions(t *testing.T) {
	g := NewWithT(t)
	x := newVM("a", newStore(t))
	received := func(position uint64) broker.ReplicationStatus {
		return broker.ReplicationStatus{Term: 1, Received: topology.Mark{Term: 1, Position: position}}
	}
	confirm := func(e promotion.Elect, statuses map[string]broker.ReplicationStatus) bool {
		x.router.statuses = statuses
		e.Database, e.Candidates = "orders", []string{"s2", "s3"}
		return execute[promotion.CandidateConfirmed](g, x, promotion.ConfirmCandidate{Elect: e, Server: "s2"}).Complete
	}
	failover := promotion.Elect{Quorum: 2, QuorumWithPosition: 1}
	g.Expect(confirm(failover, map[string]broker.ReplicationStatus{"s2": received(98), "s3": received(98)})).To(BeTrue())
	g.Expect(confirm(failover, map[string]broker.ReplicationStatus{"s2": received(97), "s3": received(98)})).To(BeFalse())
	g.Expect(confirm(failover, map[string]broker.ReplicationStatus{"s2": received(98)})).To(BeFalse(), "s3 may have more")
	handOver := promotion.Elect{OutgoingPrimary: "s1", Quorum: 2, QuorumWithPosition: 1}
	g.Expect(confirm(handOver, map[string]broker.ReplicationStatus{"s1": received(98), "s2": received(98)})).To(BeTrue())
	g.Expect(confirm(handOver, map[string]broker.ReplicationStatus{"s1": received(99), "s2": received(98)})).To(BeFalse())
	g.Expect(confirm(handOver, map[string]broker.ReplicationStatus{"s2": received(98)})).To(BeFalse(), "the position of the primary is unknown")
}

// The bound of an election is part of the claim, so that all VMs know it.
func TestClaimRecordsTermAndLogOfTheElectedServer(t *testing.T) {
	g := NewWithT(t)
	store := newStore(t)
	a, b := newVM("a", store), newVM("b", store)
	received := topology.Mark{Database: "orders", Term: 1, Position: 97}
	g.Expect(a.executor.Execute(context.Background(), promotion.ClaimDuty{Database: "orders", Server: "s1", Term: 2, Received: received}, nil)).To(BeTrue())
	<-a.results
	d := a.primacy.Ledger().Designation("orders")
	g.Expect(d.Term).To(Equal(uint64(2)))
	g.Expect(d.Received).To(Equal(received))
	g.Expect(b.primacy.Permit(context.Background(), "orders", "s1")).To(Succeed())
	g.Expect(b.primacy.Ledger().Designation("orders")).To(Equal(d))
}
