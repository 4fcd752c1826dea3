package node_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
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
