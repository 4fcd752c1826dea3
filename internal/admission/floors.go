package admission

import (
	"math"
	"time"
)

// floor keeps what a kind is owed of its guaranteed share, in slot seconds.
//
// While the kind has work, credit grows with its share of the slots. A statement
// granted by the floor uses credit for as long as it runs, into debt if need be;
// other statements of the kind use up credit but cause no debt. So over any
// stretch in which the kind has work it receives at least its share, less one
// statement, and service that it got while slots were free is not held against it.
type floor struct {
	share  float64 // of the server's slots
	credit float64
}

// owedFor returns for how many seconds the kind has waited for its share.
func (f *floor) owedFor(slots int) float64 {
	if f.share <= 0 || f.credit <= 0 {
		return 0
	}
	return f.credit / (f.share * float64(slots))
}

// advance accounts for a stretch of time.
func (c *class) advance(elapsed time.Duration, slots int, window time.Duration) {
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
