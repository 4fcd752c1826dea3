package admission

import (
	"math"
	"time"
)

// floor tracks the slot time that a kind is owed of its guaranteed share.
//
// While the kind has work, credit accrues at its share of the slots. A statement
// granted by the floor consumes credit while it runs and may make it negative. The
// kind's other statements consume credit down to zero only, so that service received
// while slots were free causes no debt. Over any period in which the kind has work,
// it therefore receives at least its share, less one statement.
type floor struct {
	share  float64 // fraction of the server's slots
	credit float64 // slot seconds
}

// owedSeconds returns how long the kind has been owed its share, in seconds.
func (f *floor) owedSeconds(slots int) float64 {
	if f.share <= 0 || f.credit <= 0 {
		return 0
	}
	return f.credit / (f.share * float64(slots))
}

// accrueFloorCredit updates the floor's credit for elapsed time.
func (c *class) accrueFloorCredit(elapsed time.Duration, slots int, window time.Duration) {
	f := &c.floor
	if f.share <= 0 {
		return
	}
	rate := f.share * float64(slots)
	dt := elapsed.Seconds()
	gained := rate * dt
	if !c.active() {
		f.credit = math.Min(0, f.credit+gained)
		return
	}
	f.credit += gained - float64(c.floorRunning)*dt
	if other := float64(c.running-c.floorRunning) * dt; f.credit > 0 {
		f.credit = math.Max(0, f.credit-other)
	}
	f.credit = math.Min(f.credit, rate*window.Seconds())
}
