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

// TestEmptyRetryBudgetDelaysRequest checks that an empty retry budget does not
// fail a request before its deadline: the request waits for the budget to refill.
func TestEmptyRetryBudgetDelaysRequest(t *testing.T) {
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

// TestWaitingForPrimarySpendsNoRetries wakes a waiting request many times by
// publishing snapshots without a primary. Attempts that find no server must not
// use up the retry budget.
func TestWaitingForPrimarySpendsNoRetries(t *testing.T) {
	f := newFixture(t, func(o *Options) { o.RetryBurst, o.RetriesPerSecond = 1, 0 })
	conn := f.connect("")
	noPrimary := testSnapshot()
	noPrimary.Groups["orders1"].Primary = ""
	noPrimary.Groups["orders1"].Promotion = &topology.Promotion{From: "orders1-a"}
	f.source.Publish(noPrimary)
	done := make(chan error, 1)
	go func() {
		_, err := conn.Exec(f.context(), "INSERT INTO kv (key, value) VALUES ('a', '1')")
		done <- err
	}()
	for range 20 {
		f.Eventually(f.gateway.waiting.Load, "10s", time.Millisecond).Should(BeEquivalentTo(1))
		f.source.Publish(noPrimary)
	}
	f.source.Publish(testSnapshot())
	f.Eventually(done, "10s").Should(Receive(BeNil()))
}
