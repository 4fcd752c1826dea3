package coalesce_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/onsi/gomega"

	"egretroad/internal/coalesce"
)

// The query whose result a caller receives must start after the caller's call of Do.
func TestQueryBeginsAfterArrival(t *testing.T) {
	g := gomega.NewWithT(t)
	var group coalesce.Group[string, int64]
	var clock, queries atomic.Int64
	query := func() (int64, error) {
		queries.Add(1)
		return clock.Add(1), nil
	}
	var wg sync.WaitGroup
	var violations atomic.Int64
	for range 64 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range 50 {
				arrived := clock.Add(1)
				began, err := group.Do(context.Background(), "db", query)
				if err != nil || began <= arrived {
					violations.Add(1)
				}
			}
		}()
	}
	wg.Wait()
	g.Expect(violations.Load()).To(gomega.BeZero())
	g.Expect(queries.Load()).To(gomega.BeNumerically("<=", 64*50))
}

func TestCallersShareTheNextQuery(t *testing.T) {
	g := gomega.NewWithT(t)
	var group coalesce.Group[string, int]
	block, started := make(chan struct{}), make(chan struct{}, 10)
	var queries atomic.Int64
	query := func() (int, error) {
		started <- struct{}{}
		<-block
		return int(queries.Add(1)), nil
	}
	results := make(chan int, 11)
	callDo := func() {
		v, _ := group.Do(context.Background(), "db", query)
		results <- v
	}
	go callDo()
	<-started
	arrived := make(chan struct{}, 10)
	for range 10 {
		go func() { arrived <- struct{}{}; callDo() }()
	}
	for range 10 {
		<-arrived
	}
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := group.Do(cancelled, "db", query)
	g.Expect(err).To(gomega.MatchError(context.Canceled))
	close(block)
	for range 11 {
		g.Expect(<-results).To(gomega.BeNumerically("<=", 11))
	}
}
