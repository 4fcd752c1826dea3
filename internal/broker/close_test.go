package broker_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"egretroad/internal/broker"
	"egretroad/internal/eventlog"
	"egretroad/internal/metrics"
	"egretroad/internal/statement"
	"egretroad/internal/topology"
	"egretroad/platform"
)

// A server was removed while a statement of a transaction ran there. Until the statement had
// ended, no other server of the VM could be used.
func TestRemovedServerWithRunningStatementBlocksNoOtherServer(t *testing.T) {
	h := newHarness(t, 0)
	first := h.request("s1", "t1", "READ a")
	first.Begin, first.IdleTimeout = statement.BeginRead, time.Minute
	h.g.Expect(h.run(first).Outcome).To(Equal(broker.Ran))
	h.group.Server("s1").AddDelay("READ", 5*time.Second)
	second := h.request("s1", "t2", "READ a")
	second.InTransaction, second.Lane, second.StatementTimeout = true, first.Lane, 10*time.Second
	ended := make(chan broker.Result, 1)
	go func() { ended <- h.run(second) }()
	h.g.Eventually(h.group.Server("s1").Statements, "5s", "5ms").Should(ContainElement(HavePrefix("t2 ")))

	snapshot := *h.snapshot("s2")
	snapshot.Groups = map[string]*topology.Group{"orders": {Database: "orders", Primary: "s2", Servers: h.servers[1:]}}
	h.publisher.Publish(&snapshot)
	h.g.Eventually(func() broker.Outcome { return h.run(h.request("s1", "r1", "READ a")).Outcome }, "4s", "5ms").
		Should(Equal(broker.NotRun), "the server is gone")
	time.Sleep(2 * broker.DefaultOptions().MaintenanceInterval)
	h.g.Expect(h.run(h.request("s2", "r2", "READ a")).Outcome).To(Equal(broker.Ran))
	h.g.Expect(ended).NotTo(Receive(), "the statement at the removed server is still running")
	h.g.Eventually(ended, "10s").Should(Receive(HaveField("Outcome", broker.Ran)), "it runs to its end")
}

// The rollback of an expired transaction at a silent server takes a time-out each.
func TestExpiredTransactionsOfSilentServerBlockNoOtherServer(t *testing.T) {
	h := newHarness(t, 0)
	o := broker.DefaultOptions()
	o.ProbeTimeout = 20 * time.Second
	h.manager.Stop()
	h.manager = broker.New(o, h.publisher, platform.NewConnector(platform.Settings{VM: "vm", Address: "127.0.0.1"}), h.guard, eventlog.Discard(), metrics.NewRegistry())
	h.manager.Start()
	t.Cleanup(h.manager.Stop)
	first := h.request("s1", "t1", "READ a")
	first.Begin, first.IdleTimeout = statement.BeginRead, time.Millisecond
	h.g.Expect(h.run(first).Outcome).To(Equal(broker.Ran))
	h.group.Server("s1").AddDelay("ROLLBACK", 10*time.Second)
	h.g.Eventually(h.group.Server("s1").Statements, "10s", "1ms").Should(ContainElement(HaveSuffix(" ROLLBACK")))
	h.g.Expect(h.run(h.request("s2", "r1", "READ a")).Outcome).To(Equal(broker.Ran))
	h.g.Expect(h.group.Server("s1").OpenTransactions()).To(Equal(1), "the rollback has not ended yet")
}
