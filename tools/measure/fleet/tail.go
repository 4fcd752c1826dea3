package fleet

import "sync"

// logTailBytes is the length of the log tail that is kept for error reports.
const logTailBytes = 2 << 10

// logTail is a writer that keeps the last logTailBytes written to it. It is safe for
// concurrent use.
type logTail struct {
	mu   sync.Mutex // guards last
	last []byte
}

// Write implements io.Writer. It never fails.
func (t *logTail) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.last = append(t.last, p...)
	t.last = append([]byte(nil), t.last[max(0, len(t.last)-logTailBytes):]...)
	return len(p), nil
}

func (t *logTail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.last) == 0 {
		return "nothing"
	}
	return string(t.last)
}
