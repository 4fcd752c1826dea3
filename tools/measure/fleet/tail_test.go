package fleet

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

func TestLogTailKeepsLastBytes(t *testing.T) {
	g := NewWithT(t)
	last := &logTail{}
	g.Expect(last.String()).To(Equal("nothing"))
	for range 10 {
		_, err := last.Write([]byte(strings.Repeat("x", logTailBytes/3)))
		g.Expect(err).NotTo(HaveOccurred())
	}
	_, err := last.Write([]byte("the end"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(last.String()).To(HaveSuffix("the end"))
	g.Expect(last.String()).To(HaveLen(logTailBytes))
}
