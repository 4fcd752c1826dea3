package admission

import (
	"math"
	"time"
)

// smoothing is the weight of a new sample in moving averages.
const smoothing = 1.0 / 16

// serviceTime measures how long statements take and how often the class's
// waiting work is granted.
type serviceTime struct {
	mean      float64 // seconds of slot time
	gap       float64 // seconds between grants while the class is backlogged
	lastGrant time.Duration
	busy      bool // backlogged since lastGrant or since the queue began
	grants    int  // since the queue began
}

func (s *serviceTime) ended(seconds float64) {
	s.mean += (seconds - s.mean) * smoothing
}

// queued notes that the class has waiting work.
func (s *serviceTime) queued(now time.Duration) {
	if !s.busy {
		s.busy = true
		s.lastGrant = now
		s.gap = 0
		s.grants = 0
	}
}

// warmupGrants is the number of grants before their rate says something. The
// first ones hold the opening of connections, as after a change of home.
const warmupGrants = 8

// granted notes a grant of waiting work.
func (s *serviceTime) granted(now time.Duration, stillWaiting bool) {
	sample := (now - s.lastGrant).Seconds()
	if s.grants > 0 {
		weight := math.Max(1/float64(s.grants), smoothing)
		s.gap += (sample - s.gap) * weight
	}
	s.grants++
	s.lastGrant = now
	s.busy = stillWaiting
}

// interval returns the expected time between grants, in seconds.
func (s *serviceTime) interval(slots int) float64 {
	if slots < 1 {
		slots = 1
	}
	ideal := s.mean / float64(slots)
	if !s.busy || s.grants < warmupGrants {
		return ideal
	}
	return math.Max(ideal, s.gap)
}

// stall returns how much longer than expected the present grant takes, in
// seconds. It delays all waiting work once.
func (s *serviceTime) stall(now time.Duration, interval float64) float64 {
	if !s.busy {
		return 0
	}
	return math.Max(0, (now-s.lastGrant).Seconds()-interval)
}

// expectedWait estimates how long new work of the entry would wait. ahead is the
// number of transactions and statements that are likely granted before it.
func (m *Machine) expectedWait(e *entry, now time.Duration) (wait time.Duration, ahead int) {
	c := e.class
	ahead = c.waiting
	if share := (e.waiting + 1) * max(1, c.eligible.len()); share < ahead {
		ahead = share
	}
	interval := c.service.interval(m.size.slotsFor(c.rank))
	return seconds(float64(ahead+1)*interval + c.service.stall(now, interval)), ahead
}

// codel is the controlled-delay state of one class's queue.
type codel struct {
	above    time.Duration // time from which dropping may start; 0: below target
	dropping bool
	next     time.Duration
	count    int
}

// drop decides whether work that waited for the given time is dropped.
func (q *codel) drop(now, waited, target, interval time.Duration) bool {
	if waited < target {
		q.above, q.dropping = 0, false
		return false
	}
	if q.above == 0 {
		q.above = now + interval
		return false
	}
	if !q.dropping {
		if now < q.above {
			return false
		}
		q.dropping, q.count = true, 1
		q.next = now + interval
		return true
	}
	if now < q.next {
		return false
	}
	q.count++
	q.next += time.Duration(float64(interval) / math.Sqrt(float64(q.count)))
	return true
}
