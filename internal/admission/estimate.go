package admission

import (
	"math"
	"time"
)

// ewmaWeight is the weight of a new sample in the exponential moving averages.
const ewmaWeight = 1.0 / 16

// serviceStats measures the service time of a class's statements and the rate at
// which its queued work is granted.
type serviceStats struct {
	mean       float64 // service time, in seconds
	grantGap   float64 // seconds between grants while the class is backlogged
	lastGrant  time.Duration
	backlogged bool // work has been queued since lastGrant
	grants     int  // since the queue was last empty
}

// recordService adds the service time of a statement.
func (s *serviceStats) recordService(seconds float64) {
	s.mean += (seconds - s.mean) * ewmaWeight
}

// recordQueued starts a backlog period if the class had no queued work.
func (s *serviceStats) recordQueued(now time.Duration) {
	if !s.backlogged {
		s.backlogged = true
		s.lastGrant = now
		s.grantGap = 0
		s.grants = 0
	}
}

// warmupGrants is the number of grants after which their rate is usable. The first
// grants include the time to open connections, for example after a change of home.
const warmupGrants = 8

// recordGrant updates the time between grants after a grant of queued work.
func (s *serviceStats) recordGrant(now time.Duration, stillWaiting bool) {
	sample := (now - s.lastGrant).Seconds()
	if s.grants > 0 {
		weight := math.Max(1/float64(s.grants), ewmaWeight)
		s.grantGap += (sample - s.grantGap) * weight
	}
	s.grants++
	s.lastGrant = now
	s.backlogged = stillWaiting
}

// grantInterval returns the expected time between grants, in seconds.
func (s *serviceStats) grantInterval(slots int) float64 {
	if slots < 1 {
		slots = 1
	}
	ideal := s.mean / float64(slots)
	if !s.backlogged || s.grants < warmupGrants {
		return ideal
	}
	return math.Max(ideal, s.grantGap)
}

// stallSeconds returns by how much the time since the last grant exceeds the
// expected interval. A stall delays all queued work once, not once per grant.
func (s *serviceStats) stallSeconds(now time.Duration, interval float64) float64 {
	if !s.backlogged {
		return 0
	}
	return math.Max(0, (now-s.lastGrant).Seconds()-interval)
}

// expectedWait estimates the queueing delay of new work of the entry. ahead is the
// number of transactions and statements that are expected to be granted before it.
func (m *Machine) expectedWait(e *entryQueue, now time.Duration) (wait time.Duration, ahead int) {
	c := e.class
	ahead = c.waiting
	if share := (e.waiting + 1) * max(1, c.eligible.len()); share < ahead {
		ahead = share
	}
	interval := c.service.grantInterval(m.serverSize.maxSlotsFor(c.rank))
	return toDuration(float64(ahead+1)*interval + c.service.stallSeconds(now, interval)), ahead
}

// codel is the controlled-delay state of one class's queue.
type codel struct {
	dropFrom time.Duration // when dropping may start (CoDel's first_above_time); 0: delay below target
	dropping bool
	nextDrop time.Duration
	drops    int
}

// shouldDrop decides whether to drop work that has waited for the given time.
func (q *codel) shouldDrop(now, waited, target, interval time.Duration) bool {
	if waited < target {
		q.dropFrom, q.dropping = 0, false
		return false
	}
	if q.dropFrom == 0 {
		q.dropFrom = now + interval
		return false
	}
	if !q.dropping {
		if now < q.dropFrom {
			return false
		}
		q.dropping, q.drops = true, 1
		q.nextDrop = now + interval
		return true
	}
	if now < q.nextDrop {
		return false
	}
	q.drops++
	q.nextDrop += time.Duration(float64(interval) / math.Sqrt(float64(q.drops)))
	return true
}
