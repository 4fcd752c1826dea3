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

// maxPositions is the number of positions cached per group: enough to reach back the
// largest configured staleness at one position per minPositionSpacing.
const maxPositions = 32

// minPositionSpacing is the minimum time between two cached positions.
const minPositionSpacing = 100 * time.Millisecond

// refreshDivisor sets when a newer position is fetched in the background: once the
// newest one is older than the read's maximum staleness divided by refreshDivisor.
const refreshDivisor = 3

// provenPosition is a log position that covers every commit acknowledged before asOf.
type provenPosition struct {
	mark topology.Mark
	asOf time.Duration // on CLOCK_BOOTTIME
}

// positionCache holds the proven log positions that this VM has received, per group,
// oldest first. Reads use them as the minimum position that a replica must have
// replayed, which bounds the staleness of the read.
type positionCache struct {
	engine  *Engine
	queries coalesce.Group[string, broker.Proof]

	mu         sync.Mutex // guards the fields below
	groups     map[string][]provenPosition
	refreshing map[string]bool
}

func newPositionCache(e *Engine) *positionCache {
	return &positionCache{engine: e, groups: map[string][]provenPosition{}, refreshing: map[string]bool{}}
}

// record adds a position that was proven by a request sent at or after asOf.
func (c *positionCache) record(mark topology.Mark, asOf time.Duration) {
	if mark.IsZero() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.groups[mark.Database] = insertPosition(c.groups[mark.Database], provenPosition{mark: mark, asOf: asOf})
}

// insertPosition appends a position and keeps the list sorted by time. It ignores a
// position lower than an earlier one: that comes from a server that has lost the lead.
func insertPosition(positions []provenPosition, p provenPosition) []provenPosition {
	if n := len(positions); n > 0 {
		last := positions[n-1]
		if p.asOf <= last.asOf || p.mark.Less(last.mark) {
			return positions
		}
		if p.mark.Term > last.mark.Term {
			// Servers rolled back by the promotion never reach positions of the old term.
			return append(positions[:0], p)
		}
		if n > 1 && p.asOf-positions[n-2].asOf < minPositionSpacing {
			positions[n-1] = p
			return positions
		}
	}
	if len(positions) >= maxPositions {
		positions = append(positions[:0], positions[1:]...)
	}
	return append(positions, p)
}

// oldestSince returns the oldest position that covers every commit acknowledged before
// since: the one that replicas are most likely to have replayed.
func oldestSince(positions []provenPosition, since time.Duration) (provenPosition, bool) {
	for _, p := range positions {
		if p.asOf >= since {
			return p, true
		}
	}
	return provenPosition{}, false
}

// requiredPosition returns a position that covers every commit acknowledged earlier
// than maxAge before a read arrived, fetching one when none is cached.
func (c *positionCache) requiredPosition(ctx context.Context, database string, arrived, maxAge time.Duration) (topology.Mark, error) {
	since := arrived - maxAge + c.engine.options.StalenessMargin
	c.mu.Lock()
	p, found := oldestSince(c.groups[database], since)
	var newest time.Duration
	if positions := c.groups[database]; len(positions) > 0 {
		newest = positions[len(positions)-1].asOf
	}
	c.mu.Unlock()
	if found {
		now := clock.Boottime()
		c.engine.metrics.positionAge.WithLabelValues().Observe((now - p.asOf).Seconds())
		if now-newest > maxAge/refreshDivisor {
			c.refresh(database, maxAge/refreshDivisor)
		}
		return p.mark, nil
	}
	return c.fetch(ctx, database, maxAge/refreshDivisor)
}

// refresh fetches a newer position in the background.
func (c *positionCache) refresh(database string, maxAge time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refreshing[database] {
		return
	}
	c.refreshing[database] = true
	go func() {
		_, err := c.fetch(context.Background(), database, maxAge)
		if err != nil {
			c.engine.log.Warn("proof_not_refreshed", "database", database, "error", err)
		}
		c.mu.Lock()
		delete(c.refreshing, database)
		c.mu.Unlock()
	}()
}

// fetch requests a proven position from the primary's home. Concurrent calls for a
// group share one request.
func (c *positionCache) fetch(ctx context.Context, database string, maxAge time.Duration) (topology.Mark, error) {
	p, err := c.queries.Do(ctx, database, func() (broker.Proof, error) {
		g := c.engine.source.Snapshot().Groups[database]
		if g == nil || g.Primary == "" {
			return broker.Proof{}, &NoPrimaryError{Database: database}
		}
		p, err := c.engine.broker.Position(context.Background(), g.Primary, maxAge)
		if err == nil {
			c.record(p.Mark, clock.Boottime()-p.Age)
		}
		return p, err
	})
	return p.Mark, err
}

func (c *positionCache) dump() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	ages := map[string]string{}
	now := clock.Boottime()
	for database, positions := range c.groups {
		if n := len(positions); n > 0 {
			ages[database] = (now - positions[n-1].asOf).String()
		}
	}
	return ages
}

// NoPrimaryError reports a database group that has no primary at the moment.
type NoPrimaryError struct{ Database string }

func (e *NoPrimaryError) Error() string {
	return "database group " + e.Database + " has no primary now"
}
