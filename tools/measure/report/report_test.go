package report_test

import (
	"bytes"
	"math"
	"testing"

	"github.com/onsi/gomega"

	"egretroad/tools/measure/report"
)

func TestOKRequiresBoundsAndNoViolations(t *testing.T) {
	for name, c := range map[string]struct {
		record func(*report.Report)
		ok     bool
	}{
		"within bounds": {func(r *report.Report) { r.AtMost("a", 1, 1); r.AtLeast("b", 1, 1); r.Exactly("c", 0, 0) }, true},
		"too high":      {func(r *report.Report) { r.AtMost("a", 1.1, 1) }, false},
		"too low":       {func(r *report.Report) { r.AtLeast("a", 0.9, 1) }, false},
		"not equal":     {func(r *report.Report) { r.Exactly("a", 1, 0) }, false},
		"no bounds":     {func(r *report.Report) { r.Set("a", 1) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r := report.New("x", 1)
			c.record(r)
			g.Expect(r.Write(&bytes.Buffer{})).To(gomega.Succeed())
			g.Expect(r.OK).To(gomega.Equal(c.ok))
		})
	}
}

func TestNaNViolatesBound(t *testing.T) {
	r := report.New("x", 1)
	r.AtMost("a", math.NaN(), 1)
	gomega.NewWithT(t).Expect(r.Violations()).To(gomega.HaveLen(1))
}
