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

// registrar takes handlers and makes no calls.
type registrar struct{}

func (registrar) Handle(string, peer.Handler) {}

func (registrar) Call(context.Context, string, string, []byte) ([]byte, error) {
	return nil, &peer.UnknownMethodError{}
}

func (registrar) CallAnswering(context.Context, string, string, []byte) ([]byte, error) {
	return nil, &peer.UnknownMethodError{}
}

func (registrar) Notify(string, string, []byte) {}

// vm is the executor of a VM over a store, with the results of its effects.
type vm struct {
	x       *run.Executor
	results chan reducer.Event
}

func newVM(name string, store *metastore.Store) *vm {
	s := platform.Settings{VM: name, Address: "127.0.0.1", StoreAddress: store.Addr(), PromoteAddress: store.Addr()}
	v := &vm{results: make(chan reducer.Event, 1), x: run.New(run.Deps{
		Self: name, Start: 1, Store: platform.NewStore(s, eventlog.Discard()), Peers: registrar{},
		Promoter: platform.NewPromoter(s), Log: eventlog.Discard(), Metrics: metrics.NewRegistry(),
	})}
	v.x.Bind(func(e reducer.Event) { v.results <- e })
	return v
}

func (v *vm) claim(g *WithT) promotion.Claimed {
	g.Expect(v.x.Execute(context.Background(), promotion.Claim{Database: "orders"}, nil)).To(BeTrue())
	e, ok := (<-v.results).(promotion.Claimed)
	g.Expect(ok).To(BeTrue())
	return e
}

func (v *vm) promote(g *WithT, holder string, token uint64) error {
	call := promotion.Call{Database: "orders", Server: "s1", Holder: holder, Token: token}
	g.Expect(v.x.Execute(context.Background(), promotion.Promote{Call: call}, nil)).To(BeTrue())
	e, ok := (<-v.results).(promotion.Promoted)
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

// Each claim has a token of its own, and tokens rise whoever claims.
func TestTokensRiseWithEachClaim(t *testing.T) {
	g := NewWithT(t)
	store := newStore(t)
	a, b := newVM("a", store), newVM("b", store)
	last := uint64(0)
	for range 5 {
		for _, x := range []*vm{a, b} {
			e := x.claim(g)
			if e.Token == 0 {
				// Another VM claimed since this one last looked; it has looked now.
				e = x.claim(g)
			}
			g.Expect(e.Token).To(BeNumerically(">", last))
			last = e.Token
		}
	}
}

func TestAClaimWhoseAnswerIsLostIsRecognized(t *testing.T) {
	g := NewWithT(t)
	store := newStore(t)
	x := newVM("a", store)
	store.LoseAnswers(1)
	first := x.claim(g)
	g.Expect(first.Err).NotTo(HaveOccurred())
	g.Expect(first.Token).NotTo(BeZero())
}

// While the store is away, a claim that this VM holds serves again.
func TestAHeldClaimServesWhileTheStoreIsAway(t *testing.T) {
	g := NewWithT(t)
	store := newStore(t)
	x := newVM("a", store)
	token := x.claim(g).Token
	store.Answer(http.StatusServiceUnavailable)
	g.Expect(x.claim(g).Token).To(Equal(token))
}

// A call with a token that another VM has passed is refused, and the token is given up.
func TestARefusedTokenIsNotUsedAgain(t *testing.T) {
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
