package topology

import (
	"sync"
	"sync/atomic"
)

// Publisher passes immutable snapshots from the control goroutine to concurrent readers.
// It implements Source. Use NewPublisher; the zero value is not usable.
type Publisher struct {
	current atomic.Pointer[Snapshot]
	mu      sync.Mutex // guards changed
	changed chan struct{}
}

// NewPublisher returns a publisher whose first snapshot is first.
func NewPublisher(first *Snapshot) *Publisher {
	p := &Publisher{changed: make(chan struct{})}
	p.current.Store(first)
	return p
}

// Publish replaces the snapshot and wakes the readers that wait on Changed.
func (p *Publisher) Publish(s *Snapshot) {
	p.current.Store(s)
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.changed)
	p.changed = make(chan struct{})
}

// Snapshot implements Source.
func (p *Publisher) Snapshot() *Snapshot { return p.current.Load() }

// Changed implements Source. Call Changed before Snapshot in order not to miss a change
// between the two calls.
func (p *Publisher) Changed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}
