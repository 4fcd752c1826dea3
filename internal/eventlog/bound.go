package eventlog

import (
	"sync"

	"golang.org/x/time/rate"
)

// Bound limits the lines of each event. Under load the decisions about requests
// would otherwise write more than collectors keep up with. It is safe for concurrent
// use.
type Bound struct {
	perSecond int

	mu     sync.Mutex // guards the fields below
	events map[string]*allowance
	untold int // events with lines left out that no line has told yet
	all    uint64
}

// allowance is what an event may still write.
type allowance struct {
	limiter *rate.Limiter
	leftOut uint64 // since the last line that told
}

// NewBound allows each event perSecond lines a second, and as many at once.
func NewBound(perSecond int) *Bound {
	return &Bound{perSecond: perSecond, events: map[string]*allowance{}}
}

// LeftOut returns the number of lines left out since the start.
func (b *Bound) LeftOut() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.all
}

// allow reports whether an event may write a line now. With it come the events of
// which lines were left out since the last call that allowed one.
func (b *Bound) allow(event string) (bool, map[string]uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.events[event]
	if a == nil {
		a = &allowance{limiter: rate.NewLimiter(rate.Limit(b.perSecond), b.perSecond)}
		b.events[event] = a
	}
	if !a.limiter.Allow() {
		if a.leftOut == 0 {
			b.untold++
		}
		a.leftOut++
		b.all++
		return false, nil
	}
	return true, b.tell()
}

// tell returns the events with lines left out, but for those that still exceed
// their allowance. The caller holds mu.
func (b *Bound) tell() map[string]uint64 {
	if b.untold == 0 {
		return nil
	}
	told := map[string]uint64{}
	for event, a := range b.events {
		if a.leftOut > 0 && a.limiter.Tokens() >= 1 {
			told[event] = a.leftOut
			a.leftOut = 0
			b.untold--
		}
	}
	return told
}
