package broker_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"egretroad/internal/broker"
	"egretroad/internal/standin/silence"
)

// One statement after the other took another of the idle connections, all of which were
// silent.
func TestOneStatementIsLostAfterConnectionsToServerHaveGoneSilent(t *testing.T) {
	var relays []*silence.Relay
	h := newHarnessBehind(t, 0, func(addr string) string {
		relay, err := silence.Start(addr, false)
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		t.Cleanup(relay.Close)
		relays = append(relays, relay)
		return relay.Addr()
	})
	h.group.Server("s2").AddDelay("READ", 50*time.Millisecond)
	var running sync.WaitGroup
	for i := range 8 {
		running.Go(func() { h.run(h.request("s2", fmt.Sprintf("first%d", i), "READ a")) })
	}
	running.Wait()
	h.g.Expect(relays[1].SilenceAll()).To(BeNumerically(">=", 2), "idle connections")
	lost := 0
	for i := range 4 {
		r := h.request("s2", fmt.Sprintf("r%d", i), "READ a")
		r.StatementTimeout = time.Second
		if h.run(r).Outcome != broker.Ran {
			lost++
		}
	}
	h.g.Expect(lost).To(Equal(1))
}
