package peer

import "time"

// workerIdleTimeout is the time after which an idle worker ends.
const workerIdleTimeout = 5 * time.Second

// workers runs functions in goroutines that are kept for reuse, so that the
// stack of a transaction need not grow anew each time.
type workers struct {
	jobs chan func()
}

func newWorkers() *workers { return &workers{jobs: make(chan func())} }

// run runs job in an idle worker or a new one. It does not block.
func (w *workers) run(job func()) {
	select {
	case w.jobs <- job:
	default:
		go w.work(job)
	}
}

// work runs jobs until none comes for the idle timeout.
func (w *workers) work(job func()) {
	idle := time.NewTimer(workerIdleTimeout)
	defer idle.Stop()
	for {
		job()
		idle.Reset(workerIdleTimeout)
		select {
		case job = <-w.jobs:
		case <-idle.C:
			return
		}
	}
}
