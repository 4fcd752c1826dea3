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
	server       *server
	id           admission.ID
	statementID  string
	overdueAfter time.Duration

	mu      sync.Mutex // guards the fields below
	timer   *time.Timer
	stopped bool
}

// watchOverdue watches the running statement of a transaction until stop.
func (s *server) watchOverdue(id admission.ID, statementID string) *overdueWatch {
	w := &overdueWatch{server: s, id: id, statementID: statementID}
	s.gate.Lock()
	after, watched := s.gate.MachineLocked().OverdueAfter(id)
	s.gate.Unlock()
	if watched {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.overdueAfter = after
		w.timer = time.AfterFunc(after, w.checkServer)
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
func (w *overdueWatch) checkServer() {
	err := w.server.admin.ping(w.server.ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.stopped:
	case err != nil:
		w.server.log.Debug("overdue_unproven", "id", w.statementID, "after", w.overdueAfter, "error", err)
		w.timer.Reset(w.overdueAfter)
	default:
		w.server.log.Info("slot_written_off", "id", w.statementID, "after", w.overdueAfter)
		w.server.metrics.slotsWrittenOff.WithLabelValues().Inc()
		w.server.gate.Step(admission.Event{Type: admission.EventWriteOff, ID: w.id})
	}
}
