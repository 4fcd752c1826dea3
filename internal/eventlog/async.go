package eventlog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// maxQueuedLines is the number of lines queued for a slow reader. At about 300 bytes per
// line the queue takes about half a megabyte.
const maxQueuedLines = 2048

// Async writes whole lines to a writer in the background. Write never blocks: lines that
// exceed the queue are dropped and counted, and a line reports their number once there
// is room again.
type Async struct {
	w       io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	done    sync.WaitGroup
}

// NewAsync returns an Async that writes to w until Close.
func NewAsync(w io.Writer) *Async {
	a := &Async{w: w, lines: make(chan []byte, maxQueuedLines)}
	a.done.Add(1)
	go a.run()
	return a
}

// Write queues a copy of one line. It implements io.Writer and never returns an error.
func (a *Async) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the total number of lines dropped.
func (a *Async) Dropped() uint64 { return a.dropped.Load() }

// run writes queued lines, batched into few writes.
func (a *Async) run() {
	defer a.done.Done()
	var batch []byte
	var reported uint64
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
		if n := a.dropped.Load() - reported; n > 0 {
			reported += n
			batch = fmt.Appendf(batch, "time=%s level=warn event=log_lines_dropped count=%d\n",
				time.Now().UTC().Format(timeFormat), n)
		}
		_, _ = a.w.Write(batch) // a failure to write the log cannot be reported anywhere
	}
}

// maxBatchBytes is the batch size from which no further lines are added to a write.
const maxBatchBytes = 32 << 10

// Close writes the queued lines and stops. Write must not be called after Close.
func (a *Async) Close() {
	close(a.lines)
	a.done.Wait()
}
