package broker

import (
	"sync"
	"time"

	"egretroad/internal/admission"
)

// overdueWatch waits for a statement whose answer is late, and gives its slot to
// others once the server has answered a question asked since: a lost answer would
// keep the slot from them until the statement's time is over. A server that answers
// nothing keeps its slots, so that no more work is sent to it.
type overdueWatch struct {
	s         *server
	id        admission.ID
	statement string
	after     time.Duration

	mu      sync.Mutex // guards the fields below
	timer   *time.Timer
	stopped bool
}

// watchOverdue watches the running statement of a transaction until stop.
func (s *server) watchOverdue(id admission.ID, statement string) *overdueWatch {
	w := &overdueWatch{s: s, id: id, statement: statement}
	s.gate.Lock()
	after, watched := s.gate.MachineLocked().OverdueAfter(id)
	s.gate.Unlock()
	if watched {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.after = after
		w.timer = time.AfterFunc(after, w.check)
	}
	return w
}

// stop ends the watch; the slot is not written off after it.
func (w *overdueWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// check asks the server for an answer, and tries again later if none comes.
func (w *overdueWatch) check() {
	err := w.s.admin.ping(w.s.ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.stopped:
	case err != nil:
		w.s.log.Debug("overdue_unproven", "id", w.statement, "after", w.after, "error", err)
		w.timer.Reset(w.after)
	default:
		w.s.log.Info("slot_written_off", "id", w.statement, "after", w.after)
		w.s.meters.writtenOff.WithLabelValues().Inc()
		w.s.gate.Step(admission.Event{Type: admission.EventWriteOff, ID: w.id})
	}
}
