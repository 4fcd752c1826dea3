package eventlog_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/hashicorp/go-hclog"

	"egretroad/internal/eventlog"
)

// stalledWriter is a writer that blocks until it is released, like a log whose reader stalls.
type stalledWriter struct {
	release chan struct{}
	mu      sync.Mutex // guards got
	got     bytes.Buffer
}

func (s *stalledWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

// A stalled reader of standard output must not delay requests: lines beyond the queue
// limit are dropped, and their number is logged once the reader resumes.
func TestStalledWriterDoesNotBlockLogging(t *testing.T) {
	g := NewWithT(t)
	w := &stalledWriter{release: make(chan struct{})}
	out := eventlog.NewAsync(w)
	log := eventlog.New(out, hclog.Info)
	const lines = 10_000
	for i := range lines {
		log.Info("statement", "id", i) // must not block
	}
	g.Expect(out.Dropped()).To(BeNumerically(">", 0))
	close(w.release)
	out.Close()
	written := strings.Count(w.got.String(), "event=statement")
	g.Expect(written).To(BeNumerically("<", lines))
	g.Expect(w.got.String()).To(ContainSubstring("event=log_lines_dropped count="))
	g.Expect(w.got.String()).To(HavePrefix("time="))
}
