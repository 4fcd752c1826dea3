package topology

import (
	"sync"
	"sync/atomic"
)

// Publisher hands immutable snapshots from the control goroutine to others.
// The zero value is not ready; use NewPublisher.
type Publisher struct {
	current atomic.Pointer[Snapshot]
	mu      sync.Mutex // guards changed
	changed chan struct{}
}

// NewPublisher returns a publisher that starts with the given snapshot.
func NewPublisher(first *Snapshot) *Publisher {
	p := &Publisher{changed: make(chan struct{})}
	p.current.Store(first)
	return p
}

// Publish replaces the snapshot and wakes those that wait on Changed.
func (p *Publisher) Publish(s *Snapshot) {
	p.current.Store(s)
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.changed)
	p.changed = make(chan struct{})
}

// Snapshot implements Source.
func (p *Publisher) Snapshot() *Snapshot { return p.current.Load() }

// Changed implements Source. To miss no change, call Changed before Snapshot.
func (p *Publisher) Changed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}
