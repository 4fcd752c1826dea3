package eventlog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// queueLines is the number of lines that wait for a slow reader. At some 300
// bytes a line it bounds the memory to about half a megabyte.
const queueLines = 2048

// Async passes whole lines on to a writer in the background. It never blocks:
// lines that find the queue full are dropped and counted, and a line tells how
// many once there is room again.
type Async struct {
	w       io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	done    sync.WaitGroup
}

// NewAsync starts to write lines to w.
func NewAsync(w io.Writer) *Async {
	a := &Async{w: w, lines: make(chan []byte, queueLines)}
	a.done.Add(1)
	go a.run()
	return a
}

// Write implements io.Writer for one line.
func (a *Async) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start.
func (a *Async) Dropped() uint64 { return a.dropped.Load() }

// run writes the lines that wait, many in one write.
func (a *Async) run() {
	defer a.done.Done()
	var batch []byte
	var told uint64
	for line := range a.lines {
		batch = append(batch[:0], line...)
		for more := true; more; {
			select {
			case next, open := <-a.lines:
				batch = append(batch, next...)
				more = open && len(batch) < maxBatchBytes
			default:
				more = false
			}
		}
		if n := a.dropped.Load() - told; n > 0 {
			told += n
			batch = fmt.Appendf(batch, "time=%s level=warn event=log_lines_dropped count=%d\n",
				time.Now().UTC().Format(timeFormat), n)
		}
		_, _ = a.w.Write(batch) // there is nowhere to report a log that cannot be written
	}
}

// maxBatchBytes bounds one write.
const maxBatchBytes = 32 << 10

// Close writes what waits and ends. Write must not be called after it.
func (a *Async) Close() {
	close(a.lines)
	a.done.Wait()
}
