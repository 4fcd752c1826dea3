package peer

import "time"

// workerIdleTimeout is the time after which an idle worker exits.
const workerIdleTimeout = 5 * time.Second

// workerPool runs functions in goroutines that are reused, so that the stack does not
// have to grow again for each transaction.
type workerPool struct {
	jobs chan func()
}

func newWorkerPool() *workerPool { return &workerPool{jobs: make(chan func())} }

// run starts job in an idle worker or a new one. It does not block.
func (w *workerPool) run(job func()) {
	select {
	case w.jobs <- job:
	default:
		go w.loop(job)
	}
}

// loop runs job and then further jobs until none arrives within the idle time-out.
func (w *workerPool) loop(job func()) {
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
