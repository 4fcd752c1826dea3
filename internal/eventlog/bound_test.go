package eventlog_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	"egretroad/internal/eventlog"
)

// A burst of one event must not suppress lines of others, and the number of suppressed
// lines is reported afterwards.
func TestRateLimitIsPerEvent(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	bound := eventlog.NewBound(100)
	log := eventlog.NewBounded(&out, hclog.Info, bound)
	const lines = 10_000
	for i := range lines {
		log.Info("attempt_failed", "id", i)
	}
	log.Info("member_dead")
	written := strings.Count(out.String(), "event=attempt_failed")
	g.Expect(written).To(And(BeNumerically(">=", 100), BeNumerically("<", lines)))
	g.Expect(out.String()).To(ContainSubstring("event=member_dead"))
	g.Expect(bound.LeftOut()).To(Equal(uint64(lines - written)))
	g.Eventually(func() string {
		log.Info("member_alive")
		return out.String()
	}, 5*time.Second, 20*time.Millisecond).Should(ContainSubstring("event=log_lines_left_out of=attempt_failed count="))
}
