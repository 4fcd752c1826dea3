package fleet

import "sync"

// tailBytes is how much of a process's log is kept for the report of its end.
const logTailBytes = 2 << 10

// tail keeps the last bytes that were written to it.
type logTail struct {
	mu   sync.Mutex // guards last
	last []byte
}

// Write implements io.Writer.
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
