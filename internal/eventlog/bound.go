package eventlog

import (
	"sync"

	"golang.org/x/time/rate"
)

// RateLimit limits the log lines of each event with a token bucket. Without it, the
// lines about individual requests exceed what log collectors can handle under load. It
// is safe for concurrent use.
type RateLimit struct {
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

// NewRateLimit returns a RateLimit that allows each event perSecond lines per second,
// with bursts of the same size.
func NewRateLimit(perSecond int) *RateLimit {
	return &RateLimit{perSecond: perSecond, events: map[string]*eventLimit{}}
}

// Suppressed returns the total number of lines suppressed.
func (r *RateLimit) Suppressed() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.totalSuppressed
}

// allow reports whether an event may write a line now. If so, it also returns the
// numbers of suppressed lines to report, by event.
func (r *RateLimit) allow(event string) (bool, map[string]uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	limit := r.events[event]
	if limit == nil {
		limit = &eventLimit{limiter: rate.NewLimiter(rate.Limit(r.perSecond), r.perSecond)}
		r.events[event] = limit
	}
	if !limit.limiter.Allow() {
		if limit.suppressed == 0 {
			r.eventsToReport++
		}
		limit.suppressed++
		r.totalSuppressed++
		return false, nil
	}
	return true, r.reportable()
}

// reportable returns and resets the numbers of suppressed lines by event, except for
// events that still exceed their limit. The caller holds mu.
func (r *RateLimit) reportable() map[string]uint64 {
	if r.eventsToReport == 0 {
		return nil
	}
	suppressed := map[string]uint64{}
	for event, limit := range r.events {
		if limit.suppressed > 0 && limit.limiter.Tokens() >= 1 {
			suppressed[event] = limit.suppressed
			limit.suppressed = 0
			r.eventsToReport--
		}
	}
	return suppressed
}
