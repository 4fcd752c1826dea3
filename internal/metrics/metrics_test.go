package metrics_test

import (
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"egretroad/internal/metrics"
)

func text(r *metrics.Registry) string {
	w := httptest.NewRecorder()
	r.Text().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	return w.Body.String()
}

func TestCountersAreServedInBothFormats(t *testing.T) {
	g := NewWithT(t)
	r := metrics.NewRegistry()
	r.Int("peer", "links").Add(3)
	g.Expect(r.String()).To(ContainSubstring(`"links": 3`))
	g.Expect(text(r)).To(ContainSubstring("egretroad_peer_links 3\n"))
}

// A component that is created twice in a process registers its counters twice.
func TestReregisteredCounterReplacesOlderOne(t *testing.T) {
	g := NewWithT(t)
	r := metrics.NewRegistry()
	r.Int("peer", "links").Add(3)
	r.Int("peer", "links").Add(1)
	g.Expect(text(r)).To(ContainSubstring("egretroad_peer_links 1\n"))
}

func TestHistogramsObserveSeconds(t *testing.T) {
	g := NewWithT(t)
	r := metrics.NewRegistry()
	r.Latency("wait_seconds", "Wait.", "kind").WithLabelValues("a").Observe(0.3)
	g.Expect(text(r)).To(And(
		ContainSubstring(`egretroad_wait_seconds_bucket{kind="a",le="0.25"} 0`),
		ContainSubstring(`egretroad_wait_seconds_bucket{kind="a",le="0.5"} 1`),
	))
	names, err := r.Names()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(names).To(ConsistOf("egretroad_wait_seconds"))
}
