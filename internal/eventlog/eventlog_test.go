package eventlog_test

import (
	"bytes"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/gomega"

	"egretroad/internal/eventlog"
)

func TestOneLinePerEvent(t *testing.T) {
	g := gomega.NewWithT(t)
	var out bytes.Buffer
	log := eventlog.New(&out, hclog.Info, "vm", "a1").Named("gateway")
	log.Info("session_opened", "user", "two words", "note", "line\nbreak")
	log.Debug("hidden")
	g.Expect(out.String()).To(gomega.MatchRegexp(
		`^time=\S+ level=info component=gateway event=session_opened vm=a1 user="two words" note="line\\nbreak"\n$`))
}
