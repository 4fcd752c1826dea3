package explain_test

import (
	"io"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"egretroad/internal/explain"
)

const gateway = `time=T1 level=info component=session event=attempt_failed vm=v1 id=abc session=7 server=s1 via=v2 attempt=1 outcome=not_run reason=connect_failed detail="no way"
time=T1 level=info component=session event=attempt_failed vm=v1 id=abc session=7 server=s2 via=v1 attempt=2 outcome=not_run reason=deadline_missed
time=T1 level=info component=session event=statement vm=v1 id=other session=7 code=ok
time=T0 level=info component=session event=statement vm=v1 id=abc session=7 server=s2 via=v1 attempts=2 total=300ms queued=290ms ran=0s code=busy reason=deadline detail="x = y"
`

// home is the log of the home VM, whose clock is ahead of the gateway's.
const home = `  12.1 v2 time=T9 level=info component=home event=home_statement vm=v2 server=s1 id=abc outcome=not_run waiting=3 reason=connect_failed
`

func TestOrderAndCauseOfRequest(t *testing.T) {
	g := NewWithT(t)
	lines, err := explain.Read([]io.Reader{strings.NewReader(home), strings.NewReader(gateway)}, "abc")
	g.Expect(err).NotTo(HaveOccurred())
	lines = explain.Order(lines)
	var events []string
	for _, l := range lines {
		events = append(events, l.Fields["event"]+" "+l.Fields["server"])
	}
	g.Expect(events).To(Equal([]string{"home_statement s1", "attempt_failed s1", "attempt_failed s2", "statement s2"}))
	g.Expect(explain.Cause(lines)).To(Equal("request abc ended with busy after 300ms and 2 attempts: " +
		"no slot of the server was free in time: the server is overloaded, or slow (server s2 by VM v1, queued 290ms, at the server 0s)."))
}

func TestCauseOfStatementWithoutRoute(t *testing.T) {
	g := NewWithT(t)
	const log = `time=T1 level=info component=session event=statement_refused vm=v1 id=abc verb=read session=7 database=orders revision=11 complete=7 complete_from="list of the store" entries=3 later_entries=1`
	lines, err := explain.Read([]io.Reader{strings.NewReader(log)}, "abc")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(explain.Cause(lines)).To(Equal("request abc was refused by VM v1: it holds no route of database orders; " +
		"it holds every route up to configuration 7 (list of the store), and 1 of later ones."))
}

func TestParse(t *testing.T) {
	g := NewWithT(t)
	g.Expect(explain.Parse(`noise a=1 b="two words" c= d="quo\"te"`)).To(Equal(map[string]string{"a": "1", "b": "two words", "c": "", "d": `quo"te`}))
}

func TestReadBySessionAndServer(t *testing.T) {
	g := NewWithT(t)
	for id, want := range map[string]int{"7": 4, "s1": 1, "nothing": 0} {
		lines, err := explain.Read([]io.Reader{strings.NewReader(gateway)}, id)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(lines).To(HaveLen(want))
	}
}
