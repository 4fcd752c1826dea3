package workload_test

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"egretroad/internal/e2e/history"
	"egretroad/internal/e2e/workload"
	"egretroad/internal/standin/network"
	"egretroad/internal/standin/pgserver"
)

// newGroup starts a primary and a replica with the given replication lag.
func newGroup(t *testing.T, lag time.Duration) *pgserver.Group {
	t.Helper()
	simNet := network.New([]string{"a", "b"})
	var specs []pgserver.ServerSpec
	for _, dc := range []string{"a", "b"} {
		specs = append(specs, pgserver.ServerSpec{
			ID:             "orders1-" + dc,
			DataCentre:     dc,
			Addr:           net.JoinHostPort(simNet.ServerAddr(dc, 0), "0"),
			Slots:          4,
			MaxConnections: 100,
			Lag:            lag,
		})
	}
	g, err := pgserver.NewGroup("orders1", specs, simNet, 1)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(g.Close)
	g.SetRecording(true)
	return g
}

func run(t *testing.T, g *pgserver.Group, proxies ...string) (*workload.Workload, []history.Violation) {
	t.Helper()
	o := workload.DefaultOptions()
	o.SeededKeys = []string{"seed"}
	g.LoadRows(map[string]string{"seed": history.Payload("seed", "", 10)})
	w := workload.New(o, func() []string { return proxies })
	ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
	defer cancel()
	w.Run(ctx)
	return w, w.Audit(g)
}

func TestCallersOfOneServerFindNoViolations(t *testing.T) {
	g := NewWithT(t)
	group := newGroup(t, 0)
	w, found := run(t, group, group.Primary().Addr())
	g.Expect(found).To(BeEmpty())
	g.Expect(w.Counts().OK.Load()).To(BeNumerically(">", 50))
	g.Expect(w.Counts().Writes.Load()).To(BeNumerically(">", 10))
}

func TestStaleReadsFromLaggingReplicaAreFound(t *testing.T) {
	g := NewWithT(t)
	group := newGroup(t, 100*time.Millisecond)
	_, found := run(t, group, group.Servers()[0].Addr(), group.Servers()[1].Addr())
	rules := map[history.Rule]bool{}
	for _, v := range found {
		rules[v.Rule] = true
	}
	g.Expect(rules).To(HaveKey(history.RuleReadYourWrites))
	g.Expect(rules).To(HaveLen(1), "stale reads violate only one rule: %v", found)
}

func TestConnectionLossAtCommitIsUnknownWithoutViolations(t *testing.T) {
	g := NewWithT(t)
	group := newGroup(t, 0)
	group.SetCommitCuts(0.3)
	w, found := run(t, group, group.Primary().Addr())
	g.Expect(found).To(BeEmpty())
	g.Expect(w.Counts().Unknown.Load()).To(BeNumerically(">", 0))
}
