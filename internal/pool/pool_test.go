package pool

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"egretroad/internal/backend"
	"egretroad/internal/eventlog"
	"egretroad/internal/standin/network"
	"egretroad/internal/standin/pgserver"
)

const waitTimeout = 10 * time.Second

func newGroup(t *testing.T, spec pgserver.ServerSpec) (*pgserver.Group, *pgserver.Server) {
	spec.ID, spec.DataCentre, spec.Addr, spec.Slots = "s", "dc1", "127.0.1.100:0", 2
	g, err := pgserver.NewGroup("db", []pgserver.ServerSpec{spec}, network.New([]string{"dc1"}), 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	return g, g.Server("s")
}

func newPool(t *testing.T, s *pgserver.Server, limit, minimum int, setOptions func(*Options)) (*Pool, *atomic.Int64) {
	options := DefaultOptions()
	options.Backend.BindIP = "127.0.1.1"
	if setOptions != nil {
		setOptions(&options)
	}
	changeCount := &atomic.Int64{}
	p := New(options, s.Addr(), "db", limit, minimum, func() { changeCount.Add(1) }, eventlog.Discard())
	p.Start()
	t.Cleanup(p.Close)
	return p, changeCount
}

func TestOpensConnectionsForDemandUpToLimit(t *testing.T) {
	g := NewWithT(t)
	_, s := newGroup(t, pgserver.ServerSpec{MaxConnections: 16, ConnectDelay: 5 * time.Millisecond})
	p, changeCount := newPool(t, s, 6, 3, nil)
	g.Eventually(p.Live, waitTimeout).Should(Equal(3))
	p.SetDemand(3, 50)
	g.Eventually(p.Live, waitTimeout).Should(Equal(6))
	g.Consistently(p.Live, 300*time.Millisecond).Should(Equal(6))
	g.Expect(changeCount.Load()).To(BeNumerically(">=", 6))
	g.Expect(s.Stats().MaxConns).To(Equal(int64(6)))
}

// Two VMs that both believe to be the home of a server share its connection limit: the
// pool whose connects are refused must back off, and must grow once the other drains.
func TestTwoPoolsRespectServerLimit(t *testing.T) {
	g := NewWithT(t)
	_, s := newGroup(t, pgserver.ServerSpec{MaxConnections: 8})
	fastRetry := func(o *Options) { o.RaiseInterval, o.RetryMax = 20*time.Millisecond, 50*time.Millisecond }
	a, _ := newPool(t, s, 7, 5, fastRetry)
	g.Eventually(a.Live, waitTimeout).Should(Equal(5))
	b, _ := newPool(t, s, 7, 5, fastRetry)
	g.Eventually(func() uint64 { return b.Stats().Refused }, waitTimeout).Should(BeNumerically(">", 0))
	g.Expect(b.Live()).To(BeNumerically(">=", 1))
	g.Expect(a.Live() + b.Live()).To(BeNumerically("<=", 8))
	a.Drain()
	g.Eventually(b.Live, waitTimeout).Should(Equal(5))
	g.Expect(s.Stats().MaxConns).To(BeNumerically("<=", 9)) // the server counts an attempt until it has refused it
}

func TestRefusedConnectsBackOff(t *testing.T) {
	g := NewWithT(t)
	_, s := newGroup(t, pgserver.ServerSpec{MaxConnections: 8})
	s.Stop()
	p, _ := newPool(t, s, 6, 6, func(o *Options) { o.RetryMin, o.RetryMax = 200*time.Millisecond, time.Minute })
	g.Eventually(func() error { _, err := p.Down(); return err }, waitTimeout).Should(HaveOccurred())
	_, err := p.Down()
	g.Expect(backend.CauseOf(err)).To(Equal(backend.CauseRefused))
	g.Consistently(func() uint64 { return p.Stats().Refused }, 500*time.Millisecond).Should(BeNumerically("<=", 5))
	g.Expect(s.Restart()).To(Succeed())
	g.Eventually(p.Live, waitTimeout).Should(Equal(6))
	_, err = p.Down()
	g.Expect(err).NotTo(HaveOccurred())
}

func TestSilentIdleConnectionsAreReplaced(t *testing.T) {
	g := NewWithT(t)
	_, s := newGroup(t, pgserver.ServerSpec{MaxConnections: 16})
	p, _ := newPool(t, s, 4, 4, func(o *Options) { o.ProbeIdleTime, o.ProbeTimeout = 100*time.Millisecond, 50*time.Millisecond })
	g.Eventually(p.Live, waitTimeout).Should(Equal(4))
	s.Silence()
	g.Eventually(func() uint64 { return p.Stats().ProbeFailed }, waitTimeout).Should(BeNumerically(">=", 4))
	g.Eventually(p.Live, waitTimeout).Should(Equal(4))
	c, err := p.Take(context.Background(), "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Probe(time.Now().Add(waitTimeout))).To(Succeed())
	p.Put(c)
}

func TestTakeBlocksAndPrefersEqualSettings(t *testing.T) {
	g := NewWithT(t)
	_, s := newGroup(t, pgserver.ServerSpec{MaxConnections: 16})
	p, _ := newPool(t, s, 2, 2, nil)
	g.Eventually(p.Live, waitTimeout).Should(Equal(2))
	a, _ := p.Take(context.Background(), "")
	b, _ := p.Take(context.Background(), "")
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err := p.Take(ctx, "")
	g.Expect(err).To(MatchError(context.DeadlineExceeded))
	a.SetSettings("x")
	p.Put(a)
	p.Put(b)
	c, _ := p.Take(context.Background(), "x")
	g.Expect(c).To(BeIdenticalTo(a))
	p.Discard(c)
	g.Expect(p.Live()).To(Equal(1))
	p.Close()
	_, err = p.Take(context.Background(), "")
	var closed *ClosedError
	g.Expect(err).To(BeAssignableToTypeOf(closed))
}

func TestStatementsReturnLeastRecentlyUsed(t *testing.T) {
	g := NewWithT(t)
	s := NewStatements(3)
	for n := range 3 {
		s.Add(fmt.Sprint(n))
	}
	g.Expect(s.Oldest(0)).To(BeEmpty())
	g.Expect(s.Use("0")).To(BeTrue())
	g.Expect(s.Oldest(2)).To(Equal([]string{"1", "2"}))
	s.Remove("1")
	g.Expect(s.Use("1")).To(BeFalse())
	g.Expect(s.Len()).To(Equal(2))
}
