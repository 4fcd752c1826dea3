package gateway

import (
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"egretroad/internal/outcome"
	"egretroad/internal/topology"
	"egretroad/internal/txn"
)

// TestAnEmptyRetryBudgetDelaysARequest covers requests that wait for a primary:
// they must not fail while they have time left.
func TestAnEmptyRetryBudgetDelaysARequest(t *testing.T) {
	f := newFixture(t, func(o *Options) { o.RetryBurst, o.RetriesPerSecond = 1, 20 })
	conn := f.connect("")
	var refusals atomic.Int64
	f.home.openError = func(txn.Request) error {
		if refusals.Add(1) <= 4 {
			return &outcome.NotRunError{Reason: outcome.ReasonConnect}
		}
		return nil
	}
	_, err := conn.Exec(f.context(), "INSERT INTO kv (key, value) VALUES ('a', '1')")
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(f.gateway.counters.retriesRefused.Value()).To(BeNumerically(">", 0))
}

// TestWaitingForAPrimaryCostsNoRetries publishes many versions of a group
// without a primary.
func TestWaitingForAPrimaryCostsNoRetries(t *testing.T) {
	f := newFixture(t, func(o *Options) { o.RetryBurst, o.RetriesPerSecond = 1, 0 })
	conn := f.connect("")
	without := testSnapshot()
	without.Groups["orders1"].Primary = ""
	without.Groups["orders1"].Promotion = &topology.Promotion{From: "orders1-a"}
	f.source.Publish(without)
	done := make(chan error, 1)
	go func() {
		_, err := conn.Exec(f.context(), "INSERT INTO kv (key, value) VALUES ('a', '1')")
		done <- err
	}()
	for range 20 {
		f.Eventually(f.gateway.waiting.Load, "10s", time.Millisecond).Should(BeEquivalentTo(1))
		f.source.Publish(without)
	}
	f.source.Publish(testSnapshot())
	f.Eventually(done, "10s").Should(Receive(BeNil()))
}
