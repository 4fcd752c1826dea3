package run_test

import (
	"context"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"egretroad/internal/eventlog"
	"egretroad/internal/metrics"
	"egretroad/internal/peer"
	"egretroad/internal/promotion"
	"egretroad/internal/promotion/run"
	"egretroad/internal/reducer"
	"egretroad/internal/standin/metastore"
	"egretroad/platform"
)

// stubPeers ignores handlers and fails every call.
type stubPeers struct{}

func (stubPeers) Handle(string, peer.Handler) {}

func (stubPeers) Call(context.Context, string, string, []byte) ([]byte, error) {
	return nil, &peer.UnknownMethodError{}
}

func (stubPeers) CallAnswering(context.Context, string, string, []byte) ([]byte, error) {
	return nil, &peer.UnknownMethodError{}
}

func (stubPeers) Notify(string, string, []byte) {}

// testVM is the executor of one VM on a shared store, with the results of its effects.
type testVM struct {
	executor *run.Executor
	results  chan reducer.Event
}

func newVM(name string, store *metastore.Store) *testVM {
	s := platform.Settings{VM: name, Address: "127.0.0.1", StoreAddress: store.Addr(), PromoteAddress: store.Addr()}
	v := &testVM{results: make(chan reducer.Event, 1), executor: run.New(run.Deps{
		Self: name, Start: 1, Store: platform.NewStore(s, eventlog.Discard()), Peers: stubPeers{},
		Promoter: platform.NewPromoter(s), Log: eventlog.Discard(), Metrics: metrics.NewRegistry(),
	})}
	v.executor.Bind(func(e reducer.Event) { v.results <- e })
	return v
}

func (v *testVM) claim(g *WithT) promotion.ClaimResult {
	g.Expect(v.executor.Execute(context.Background(), promotion.ClaimDuty{Database: "orders"}, nil)).To(BeTrue())
	e, ok := (<-v.results).(promotion.ClaimResult)
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
	store.LoseAnswers(1)
	first := x.claim(g)
	g.Expect(first.Err).NotTo(HaveOccurred())
	g.Expect(first.Token).NotTo(BeZero())
}

// While the store is unavailable, a VM reuses the token of its last claim.
func TestHeldClaimIsReusedDuringStoreOutage(t *testing.T) {
	g := NewWithT(t)
	store := newStore(t)
	x := newVM("a", store)
	token := x.claim(g).Token
	store.Answer(http.StatusServiceUnavailable)
	g.Expect(x.claim(g).Token).To(Equal(token))
}

// The platform refuses a call whose token is lower than one that another VM has used,
// and the executor discards that token.
func TestRefusedTokenIsNotReused(t *testing.T) {
	g := NewWithT(t)
	store := newStore(t)
	a, b := newVM("a", store), newVM("b", store)
	old := a.claim(g).Token
	b.claim(g)
	late := b.claim(g)
	g.Expect(b.promote(g, "b", late.Token)).To(Succeed())
	g.Expect(a.promote(g, "a", old)).To(BeAssignableToTypeOf(&promotion.RefusedError{}))
	store.Answer(http.StatusServiceUnavailable)
	g.Expect(a.claim(g).Token).To(BeZero())
}
