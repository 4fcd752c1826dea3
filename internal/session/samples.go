package session

import (
	"context"
	"sync"
	"time"

	"egretroad/internal/broker"
	"egretroad/internal/clock"
	"egretroad/internal/coalesce"
	"egretroad/internal/topology"
)

// maxSamples bounds the positions kept for a group: those of the largest stated
// age at the pace of sampleSpacing.
const maxSamples = 32

// sampleSpacing is the least time between two positions that are kept.
const sampleSpacing = 100 * time.Millisecond

// refreshShare is the part of a read's stated age after which a younger position
// is asked for in the background.
const refreshShare = 3

// sample is a position that covers every commit acknowledged before a time.
type sample struct {
	mark topology.Mark
	at   time.Duration // on CLOCK_BOOTTIME
}

// samples holds the proven positions of each group that this VM has learned,
// oldest first.
type samples struct {
	e       *Engine
	queries coalesce.Group[string, broker.Proof]

	mu     sync.Mutex // guards the fields below
	groups map[string][]sample
	asking map[string]bool
}

func newSamples(e *Engine) *samples {
	return &samples{e: e, groups: map[string][]sample{}, asking: map[string]bool{}}
}

// learn adds a position that was proven by a question asked at or after a time.
func (t *samples) learn(mark topology.Mark, at time.Duration) {
	if mark.IsZero() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.groups[mark.Database] = addSample(t.groups[mark.Database], sample{mark: mark, at: at})
}

// addSample keeps the samples sorted by time. A position that is lower than an
// earlier one belongs to a leader that lost the lead meanwhile; it is not kept.
func addSample(known []sample, s sample) []sample {
	if n := len(known); n > 0 {
		last := known[n-1]
		if s.at <= last.at || s.mark.Less(last.mark) {
			return known
		}
		if s.mark.Term > last.mark.Term {
			// Servers that a promotion rolled back lack positions of the old term.
			return append(known[:0], s)
		}
		if n > 1 && s.at-known[n-2].at < sampleSpacing {
			known[n-1] = s
			return known
		}
	}
	if len(known) >= maxSamples {
		known = append(known[:0], known[1:]...)
	}
	return append(known, s)
}

// oldestAfter returns the oldest position that covers every commit acknowledged
// before since: the one that replicas are most likely to have.
func oldestAfter(known []sample, since time.Duration) (sample, bool) {
	for _, s := range known {
		if s.at >= since {
			return s, true
		}
	}
	return sample{}, false
}

// covering returns a position that covers every commit acknowledged maxAge before
// a read arrived, asking for one when none is known.
func (t *samples) covering(ctx context.Context, database string, arrived, maxAge time.Duration) (topology.Mark, error) {
	since := arrived - maxAge + t.e.options.SampleMargin
	t.mu.Lock()
	s, found := oldestAfter(t.groups[database], since)
	var newest time.Duration
	if known := t.groups[database]; len(known) > 0 {
		newest = known[len(known)-1].at
	}
	t.mu.Unlock()
	if found {
		now := clock.Boottime()
		t.e.counts.positionAge.WithLabelValues().Observe((now - s.at).Seconds())
		if now-newest > maxAge/refreshShare {
			t.refresh(database, maxAge/refreshShare)
		}
		return s.mark, nil
	}
	return t.ask(ctx, database, maxAge/refreshShare)
}

// refresh asks for a younger position in the background.
func (t *samples) refresh(database string, maxAge time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.asking[database] {
		return
	}
	t.asking[database] = true
	go func() {
		_, err := t.ask(context.Background(), database, maxAge)
		if err != nil {
			t.e.log.Warn("proof_not_refreshed", "database", database, "error", err)
		}
		t.mu.Lock()
		delete(t.asking, database)
		t.mu.Unlock()
	}()
}

// ask asks the primary's home for a proven position.
func (t *samples) ask(ctx context.Context, database string, maxAge time.Duration) (topology.Mark, error) {
	p, err := t.queries.Do(ctx, database, func() (broker.Proof, error) {
		g := t.e.source.Snapshot().Groups[database]
		if g == nil || g.Primary == "" {
			return broker.Proof{}, &NoPrimaryError{Database: database}
		}
		p, err := t.e.broker.Position(context.Background(), g.Primary, maxAge)
		if err == nil {
			t.learn(p.Mark, clock.Boottime()-p.Age)
		}
		return p, err
	})
	return p.Mark, err
}

func (t *samples) dump() any {
	t.mu.Lock()
	defer t.mu.Unlock()
	ages := map[string]string{}
	now := clock.Boottime()
	for database, known := range t.groups {
		if n := len(known); n > 0 {
			ages[database] = (now - known[n-1].at).String()
		}
	}
	return ages
}

// NoPrimaryError reports a group without a primary.
type NoPrimaryError struct{ Database string }

func (e *NoPrimaryError) Error() string {
	return "database group " + e.Database + " has no primary now"
}
