package node_test

import (
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"egretroad/internal/operator"
)

// loggedEvent finds the events of log calls, also of the machines' log effects.
var loggedEvent = regexp.MustCompile(`(?:[lL]og|alarm|Info|Warn|Error)\("([a-z_]+)"[,)]`)

// Every event that the platform's path logs stands in the operators' table.
func TestEveryEventIsDocumented(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	g.Expect(err).NotTo(HaveOccurred())
	found := 0
	for _, pattern := range []string{
		"../session/*.go", "../broker/*.go", "../promotion/*.go", "../promotion/run/*.go", "../node/*.go", "../../platform/*.go",
		"../cli/node.go", "../control/registrations.go",
	} {
		files, err := filepath.Glob(pattern)
		g.Expect(err).NotTo(HaveOccurred())
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			source, err := os.ReadFile(file)
			g.Expect(err).NotTo(HaveOccurred())
			for _, m := range loggedEvent.FindAllStringSubmatch(string(source), -1) {
				found++
				g.Expect(string(page)).To(ContainSubstring("`"+m[1]+"`"), "event of %s", file)
			}
		}
	}
	g.Expect(found).To(BeNumerically(">", 40), "the search found too few events")
}

// metricRow finds the metrics in the operators' tables.
var metricRow = regexp.MustCompile("`(egretroad_[a-z_]+)`")

// Every metric that VMs have after a promotion stands in the operators' table, and
// the table names no other; collectors read them as text.
func TestEveryMetricIsDocumented(t *testing.T) {
	f := newFleet(t)
	c := f.session(1, "shop")
	f.g.Expect(c.do("w1", "WRITE lamp 1").code).To(BeEmpty())
	f.group.Server("s-a").Crash()
	f.g.Eventually(func() string { return c.do("w2", "WRITE lamp 2").code }, "20s", "20ms").Should(BeEmpty())
	f.g.Expect(f.session(2, "grants").do("r1", "READ lamp").code).To(BeEmpty())
	f.session(0, "grants").do("w1", "WRITE lamp 3")
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	f.g.Expect(err).NotTo(HaveOccurred())
	documented := map[string]bool{}
	for _, m := range metricRow.FindAllStringSubmatch(string(page), -1) {
		documented[m[1]] = true
	}
	measured := map[string]bool{}
	for _, vm := range f.vms {
		names, err := vm.metrics.Names()
		f.g.Expect(err).NotTo(HaveOccurred())
		for _, name := range names {
			measured[name] = true
		}
		answer, err := http.Get("http://" + vm.settings.StatusListen + operator.PathText)
		f.g.Expect(err).NotTo(HaveOccurred())
		text, err := io.ReadAll(answer.Body)
		f.g.Expect(err).NotTo(HaveOccurred())
		f.g.Expect(answer.Body.Close()).To(Succeed())
		f.g.Expect(string(text)).To(ContainSubstring("# TYPE egretroad_statement_seconds histogram"))
	}
	for name := range measured {
		f.g.Expect(documented).To(HaveKey(name))
	}
	for name := range documented {
		if !onTrouble[name] {
			f.g.Expect(measured).To(HaveKey(name))
		}
	}
}

// onTrouble are the metrics that have a value only once something rare has happened.
var onTrouble = map[string]bool{
	"egretroad_successes_not_logged_total": true, "egretroad_slots_written_off_total": true, "egretroad_log_lines_dropped": true, "egretroad_log_lines_left_out": true,
	"egretroad_attempts_failed_total": true,
}
