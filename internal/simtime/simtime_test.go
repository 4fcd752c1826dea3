package simtime_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"egretroad/internal/simtime"
)

func TestWhatIsDueComesInOrder(t *testing.T) {
	g := NewWithT(t)
	var q simtime.Queue[string]
	q.Add(3, "late")
	q.Add(1, "first")
	q.Add(1, "second")
	var got []string
	for at, what, found := q.Next(2); found; at, what, found = q.Next(2) {
		g.Expect(at).To(BeNumerically("==", 1))
		got = append(got, what)
	}
	g.Expect(got).To(Equal([]string{"first", "second"}))
	at, what, found := q.Next(3)
	g.Expect(found).To(BeTrue())
	g.Expect(at).To(BeNumerically("==", 3))
	g.Expect(what).To(Equal("late"))
	_, _, found = q.Next(100)
	g.Expect(found).To(BeFalse())
}
