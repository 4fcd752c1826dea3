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

// stalled is a reader that takes nothing until it is released.
type stalled struct {
	release chan struct{}
	mu      sync.Mutex // guards got
	got     bytes.Buffer
}

func (s *stalled) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

// A reader of standard output that stalls must slow no request down: lines beyond
// the bound are dropped, and told once the reader goes on.
func TestAStalledReaderBlocksNobody(t *testing.T) {
	g := NewWithT(t)
	w := &stalled{release: make(chan struct{})}
	out := eventlog.NewAsync(w)
	log := eventlog.New(out, hclog.Info)
	const lines = 10_000
	for i := range lines {
		log.Info("statement", "id", i) // returns although nobody reads
	}
	g.Expect(out.Dropped()).To(BeNumerically(">", 0))
	close(w.release)
	out.Close()
	written := strings.Count(w.got.String(), "event=statement")
	g.Expect(written).To(BeNumerically("<", lines))
	g.Expect(w.got.String()).To(ContainSubstring("event=log_lines_dropped count="))
	g.Expect(w.got.String()).To(HavePrefix("time="))
}
