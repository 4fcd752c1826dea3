package admission

import (
	"math"
	"time"

	"egretroad/internal/catalogue"
)

// entryLimit is this server's share of an entry's fleet-wide limits: a concurrency
// limit and a token bucket. It persists when the entry's kind or rank changes.
type entryLimit struct {
	limited  bool
	max      int
	running  int     // transactions
	rate     float64 // tokens per second; 0: no limit
	tokens   float64
	refilled time.Duration
	queues   []*entryQueue // the entry's queues, including replaced ones that still drain
}

// updateQueues updates the queues' eligibility after a transaction began or ended.
func (l *entryLimit) updateQueues() {
	for _, e := range l.queues {
		e.class.updateEligibility(e)
	}
}

// full reports whether the concurrency limit is reached.
func (l *entryLimit) full() bool { return l.limited && l.running >= l.max }

// burstSeconds is the capacity of the token bucket, in seconds at the rate limit.
const burstSeconds = 1.0

func (l *entryLimit) burst() float64 { return math.Max(1, l.rate*burstSeconds) }

// setRate changes the rate. A bucket that had no limit starts full.
func (l *entryLimit) setRate(rate float64, now time.Duration) {
	if rate == l.rate {
		return
	}
	l.refill(now)
	wasUnlimited := l.rate == 0
	l.rate = rate
	if wasUnlimited {
		l.tokens = l.burst()
	}
	l.tokens = math.Min(l.tokens, l.burst())
}

func (l *entryLimit) refill(now time.Duration) {
	l.tokens = math.Min(l.burst(), l.tokens+l.rate*(now-l.refilled).Seconds())
	l.refilled = now
}

// tokenWait returns the time until a token is available; 0 means now.
func (l *entryLimit) tokenWait(now time.Duration) time.Duration {
	if l.rate == 0 {
		return 0
	}
	l.refill(now)
	if l.tokens >= 1 {
		return 0
	}
	return toDuration((1 - l.tokens) / l.rate)
}

func (l *entryLimit) takeToken() {
	if l.rate != 0 {
		l.tokens--
	}
}

func toDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// rankCount is the size of arrays indexed by rank, one more than the highest rank.
const rankCount = int(catalogue.RankReports) + 1

// rankCounts holds one count for each rank.
type rankCounts [rankCount]int

// atOrBelow sums the counts of rank r and of less urgent ranks.
func (s *rankCounts) atOrBelow(r catalogue.Rank) int {
	sum := 0
	for i := int(r); i < rankCount; i++ {
		sum += s[i]
	}
	return sum
}

// serverSize is the configured capacity of the server.
type serverSize struct {
	slots           int
	connectionLimit int
	urgentRanks     [rankCount]int // number of more urgent ranks present, by rank
}

// maxSlotsFor returns how many slots rank r and less urgent ranks may hold together.
func (s *serverSize) maxSlotsFor(r catalogue.Rank) int {
	return s.slots - min(s.urgentRanks[r], max(0, s.slots-1))
}

// connectionsPerReserve sets the reserve of connections: one in this many (at least
// one) is reserved for each more urgent rank.
const connectionsPerReserve = 8

// maxConnectionsFor returns how many connections rank r and less urgent ranks may
// hold together.
func (s *serverSize) maxConnectionsFor(r catalogue.Rank) int {
	reserve := s.urgentRanks[r] * max(1, s.connectionLimit/connectionsPerReserve)
	return s.connectionLimit - min(reserve, max(0, s.connectionLimit-1))
}

// floorConnections returns how many connections are reserved for class c by its floor.
func (m *Machine) floorConnections(c *class) int {
	if c.floor.share <= 0 || m.serverSize.connectionLimit < 2*len(m.classes)+2 {
		return 0
	}
	return max(1, int(c.floor.share*float64(m.serverSize.connectionLimit)/2))
}

// canTakeConnection reports whether new work of class c may take a connection.
func (m *Machine) canTakeConnection(c *class) bool {
	if m.usedConnections >= min(m.connections, m.serverSize.connectionLimit) {
		return false
	}
	if m.options.Order != OrderFloorsThenRank {
		return true
	}
	if m.connectionsByRank.atOrBelow(c.rank) >= m.serverSize.maxConnectionsFor(c.rank) {
		return false
	}
	reserved := 0
	for _, o := range m.classes {
		if o != c {
			reserved += max(0, m.floorConnections(o)-o.connections)
		}
	}
	return m.serverSize.connectionLimit-m.usedConnections > reserved
}

// canTakeSlot reports whether a statement of class c may take a slot.
func (m *Machine) canTakeSlot(c *class) bool {
	if m.usedSlots >= m.serverSize.slots {
		return false
	}
	if m.options.Order != OrderFloorsThenRank {
		return true
	}
	if c.service.mean < m.options.ReserveAbove.Seconds() {
		// The statements are so short that urgent work can wait for them to end.
		return true
	}
	return m.slotsByRank.atOrBelow(c.rank) < m.serverSize.maxSlotsFor(c.rank)
}
