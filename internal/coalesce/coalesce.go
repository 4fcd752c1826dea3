// Package coalesce lets callers that arrive together share one query, with the
// guarantee that the shared query began after each of them arrived.
package coalesce

import (
	"context"
	"sync"
)

// Group shares queries by key. The zero value is ready for use.
type Group[K comparable, V any] struct {
	mu   sync.Mutex // guards keys
	keys map[K]*queue[V]
}

// queue holds the query that runs and the one that begins after it.
type queue[V any] struct {
	running bool
	next    *call[V]
}

// call is one query and those that wait for it.
type call[V any] struct {
	done  chan struct{}
	value V
	err   error
}

// Do returns the result of a query that begins after Do was called. query runs
// in its own goroutine, not under ctx, since others may wait for it as well.
func (g *Group[K, V]) Do(ctx context.Context, key K, query func() (V, error)) (V, error) {
	c := g.join(key, query)
	select {
	case <-c.done:
		return c.value, c.err
	case <-ctx.Done():
		var zero V
		return zero, ctx.Err()
	}
}

// join returns the next query of the key, starting it when none runs.
func (g *Group[K, V]) join(key K, query func() (V, error)) *call[V] {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.keys == nil {
		g.keys = map[K]*queue[V]{}
	}
	q := g.keys[key]
	if q == nil {
		q = &queue[V]{}
		g.keys[key] = q
	}
	if q.next == nil {
		q.next = &call[V]{done: make(chan struct{})}
	}
	c := q.next
	if !q.running {
		q.running = true
		go g.run(key, q, query)
	}
	return c
}

// run makes queries until nobody waits.
func (g *Group[K, V]) run(key K, q *queue[V], query func() (V, error)) {
	for {
		g.mu.Lock()
		c := q.next
		q.next = nil
		if c == nil {
			q.running = false
			delete(g.keys, key)
			g.mu.Unlock()
			return
		}
		g.mu.Unlock()
		c.value, c.err = query()
		close(c.done)
	}
}
