package broker

import (
	"sync"
	"time"

	"egretroad/internal/admission"
	"egretroad/internal/clock"
)

// overdueWatch reclaims the slot of a statement whose response is overdue, once the
// server has responded to a later ping. Otherwise a lost response would block the slot
// until the statement's time-out. The slots of a server that does not respond at all
// stay occupied, so that no more work is sent to it.
type overdueWatch struct {
	server       *server
	id           admission.ID
	statementID  string
	overdueAfter time.Duration
	sentAt       time.Duration // when the statement was sent, on CLOCK_BOOTTIME

	mu      sync.Mutex // guards the fields below
	timer   *time.Timer
	stopped bool
}

// watchOverdue watches the running statement of a lane until stop is called.
func (s *server) watchOverdue(id admission.ID, statementID string) *overdueWatch {
	w := &overdueWatch{server: s, id: id, statementID: statementID, sentAt: clock.Boottime()}
	s.gate.Lock()
	overdueAfter, watched := s.gate.MachineLocked().OverdueAfter(id)
	s.gate.Unlock()
	if watched {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.overdueAfter = overdueAfter
		w.timer = time.AfterFunc(overdueAfter, w.checkServer)
	}
	return w
}

// stop ends the watch. The slot is not reclaimed afterwards.
func (w *overdueWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// checkServer pings the server and reclaims the slot if it responds; if not, it retries
// after the same delay.
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
		w.server.pool.verifyIdle(w.sentAt)
	}
}
