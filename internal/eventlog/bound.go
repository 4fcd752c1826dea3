package eventlog

import (
	"sync"

	"golang.org/x/time/rate"
)

// Bound rate-limits the log lines of each event with a token bucket. Without it, the
// lines about individual requests exceed what log collectors can handle under load. It
// is safe for concurrent use.
type Bound struct {
	perSecond int

	mu              sync.Mutex // guards the fields below
	events          map[string]*eventLimit
	eventsToReport  int // events with suppressed lines not reported yet
	totalSuppressed uint64
}

// eventLimit is the rate limit and the suppressed lines of one event.
type eventLimit struct {
	limiter    *rate.Limiter
	suppressed uint64 // lines since the last report
}

// NewBound returns a Bound that allows each event perSecond lines per second, with
// bursts of the same size.
func NewBound(perSecond int) *Bound {
	return &Bound{perSecond: perSecond, events: map[string]*eventLimit{}}
}

// LeftOut returns the total number of lines suppressed.
func (b *Bound) LeftOut() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.totalSuppressed
}

// allow reports whether an event may write a line now. If so, it also returns the
// numbers of suppressed lines to report, by event.
func (b *Bound) allow(event string) (bool, map[string]uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := b.events[event]
	if limit == nil {
		limit = &eventLimit{limiter: rate.NewLimiter(rate.Limit(b.perSecond), b.perSecond)}
		b.events[event] = limit
	}
	if !limit.limiter.Allow() {
		if limit.suppressed == 0 {
			b.eventsToReport++
		}
		limit.suppressed++
		b.totalSuppressed++
		return false, nil
	}
	return true, b.reportable()
}

// reportable returns and resets the numbers of suppressed lines by event, except for
// events that still exceed their limit. The caller holds mu.
func (b *Bound) reportable() map[string]uint64 {
	if b.eventsToReport == 0 {
		return nil
	}
	suppressed := map[string]uint64{}
	for event, limit := range b.events {
		if limit.suppressed > 0 && limit.limiter.Tokens() >= 1 {
			suppressed[event] = limit.suppressed
			limit.suppressed = 0
			b.eventsToReport--
		}
	}
	return suppressed
}
