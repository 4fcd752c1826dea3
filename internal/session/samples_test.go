package session

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"egretroad/internal/broker"
	"egretroad/internal/clock"
	"egretroad/internal/topology"
)

// ageBroker proves positions that are as old as the request allows. The first request waits
// until released.
type ageBroker struct {
	broker.Broker
	mu      sync.Mutex // guards asked
	asked   []time.Duration
	release chan struct{}
}

func (b *ageBroker) ProvePosition(_ context.Context, _ string, maxAge time.Duration) (broker.Proof, error) {
	b.mu.Lock()
	b.asked = append(b.asked, maxAge)
	first := len(b.asked) == 1
	b.mu.Unlock()
	if first {
		<-b.release
	}
	return broker.Proof{Mark: topology.Mark{Database: "orders", Term: 1, Position: uint64(maxAge)}, Age: maxAge}, nil
}

func (b *ageBroker) requests() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.asked)
}

// Reads of two routes of a group share a request for a position. One may be ten times as old as
// the other.
func TestReadDoesNotGetPositionThatIsOlderThanItsRouteAllows(t *testing.T) {
	g := NewWithT(t)
	b := &ageBroker{release: make(chan struct{})}
	snapshot := &topology.Snapshot{Groups: map[string]*topology.Group{"orders": {Database: "orders", Primary: "s1"}}}
	c := newPositionCache(&Engine{broker: b, source: topology.NewPublisher(snapshot)})
	type result struct {
		maxAge time.Duration
		err    error
		age    time.Duration
	}
	results := make(chan result, 3)
	read := func(maxAge time.Duration) {
		arrived := clock.Boottime()
		mark, err := c.requiredPosition(context.Background(), "orders", arrived, maxAge)
		results <- result{maxAge, err, time.Duration(mark.Position)}
	}
	go read(10 * time.Second)
	g.Eventually(b.requests, "5s", "1ms").Should(Equal(1))
	go read(10 * time.Second) // the next request is that of this read
	time.Sleep(20 * time.Millisecond)
	go read(time.Second)
	time.Sleep(20 * time.Millisecond)
	close(b.release)
	for range 3 {
		r := <-results
		g.Expect(r.err).NotTo(HaveOccurred())
		g.Expect(r.age).To(BeNumerically("<", r.maxAge))
	}
}
