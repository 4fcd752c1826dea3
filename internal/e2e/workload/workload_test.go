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

// runTime is the minimum time of a run, runLimit its maximum on a machine that is slow.
const (
	runTime  = 400 * time.Millisecond
	runLimit = 30 * time.Second
)

// run runs a workload for runTime and until it has done enough.
func run(t *testing.T, g *pgserver.Group, enough func(*workload.Workload) bool, proxies ...string) (*workload.Workload, []history.Violation) {
	t.Helper()
	o := workload.DefaultOptions()
	o.SeededKeys = []string{"seed"}
	g.LoadRows(map[string]string{"seed": history.Payload("seed", "", 10)})
	w := workload.New(o, func() []string { return proxies })
	ctx, cancel := context.WithTimeout(t.Context(), runLimit)
	defer cancel()
	go func() {
		time.Sleep(runTime)
		for ctx.Err() == nil && !enough(w) {
			time.Sleep(10 * time.Millisecond)
		}
		cancel()
	}()
	w.Run(ctx)
	return w, w.Audit(g)
}

// didEnough reports whether a workload has done enough for its history to mean something.
func didEnough(w *workload.Workload) bool {
	return w.Counts().OK.Load() > 50 && w.Counts().Writes.Load() > 10
}

func TestCallersOfOneServerFindNoViolations(t *testing.T) {
	g := NewWithT(t)
	group := newGroup(t, 0)
	w, found := run(t, group, didEnough, group.Primary().Addr())
	g.Expect(found).To(BeEmpty())
	g.Expect(w.Counts().OK.Load()).To(BeNumerically(">", 50))
	g.Expect(w.Counts().Writes.Load()).To(BeNumerically(">", 10))
}

func TestStaleReadsFromLaggingReplicaAreFound(t *testing.T) {
	g := NewWithT(t)
	group := newGroup(t, time.Minute)                                                  // longer than the run, however slow the machine is
	manyReads := func(w *workload.Workload) bool { return w.Counts().OK.Load() > 500 } // a few of them follow a write of their caller
	_, found := run(t, group, manyReads, group.Servers()[0].Addr(), group.Servers()[1].Addr())
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
	w, found := run(t, group, func(w *workload.Workload) bool { return didEnough(w) && w.Counts().Unknown.Load() > 0 }, group.Primary().Addr())
	g.Expect(found).To(BeEmpty())
	g.Expect(w.Counts().Unknown.Load()).To(BeNumerically(">", 0))
}
