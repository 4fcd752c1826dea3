// Package coalesce lets concurrent callers share one query, with the guarantee that the
// shared query starts after each of them called Do. Unlike single-flight suppression, a
// caller never joins a query that is already running, so its result is never stale.
package coalesce

import (
	"context"
	"sync"
)

// Group coalesces queries by key. The zero value is ready for use. It is safe for
// concurrent use.
type Group[K comparable, V any] struct {
	mu   sync.Mutex // guards keys
	keys map[K]*keyState[V]
}

// keyState holds whether a query of a key is running, and the query that starts next.
type keyState[V any] struct {
	running bool
	next    *call[V]
}

// call is one query and its result, which is valid once finished is closed.
type call[V any] struct {
	finished chan struct{}
	value    V
	err      error
}

// Do returns the result of a query that starts after Do was called, or ctx's error if
// ctx ends first. query runs in its own goroutine and independently of ctx, since other
// callers may wait for it too.
func (g *Group[K, V]) Do(ctx context.Context, key K, query func() (V, error)) (V, error) {
	c := g.join(key, query)
	select {
	case <-c.finished:
		return c.value, c.err
	case <-ctx.Done():
		var zero V
		return zero, ctx.Err()
	}
}

// join returns the key's next query and starts it if none is running.
func (g *Group[K, V]) join(key K, query func() (V, error)) *call[V] {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.keys == nil {
		g.keys = map[K]*keyState[V]{}
	}
	state := g.keys[key]
	if state == nil {
		state = &keyState[V]{}
		g.keys[key] = state
	}
	if state.next == nil {
		state.next = &call[V]{finished: make(chan struct{})}
	}
	c := state.next
	if !state.running {
		state.running = true
		go g.run(key, state, query)
	}
	return c
}

// run runs queries of a key until no caller waits for another.
func (g *Group[K, V]) run(key K, state *keyState[V], query func() (V, error)) {
	for {
		g.mu.Lock()
		c := state.next
		state.next = nil
		if c == nil {
			state.running = false
			delete(g.keys, key)
			g.mu.Unlock()
			return
		}
		g.mu.Unlock()
		c.value, c.err = query()
		close(c.finished)
	}
}
