package simtime_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"egretroad/internal/simtime"
)

func TestQueueReturnsItemsInDueOrder(t *testing.T) {
	g := NewWithT(t)
	var q simtime.Queue[string]
	q.Add(3, "late")
	q.Add(1, "first")
	q.Add(1, "second")
	var got []string
	for at, item, found := q.Next(2); found; at, item, found = q.Next(2) {
		g.Expect(at).To(BeNumerically("==", 1))
		got = append(got, item)
	}
	g.Expect(got).To(Equal([]string{"first", "second"}))
	at, item, found := q.Next(3)
	g.Expect(found).To(BeTrue())
	g.Expect(at).To(BeNumerically("==", 3))
	g.Expect(item).To(Equal("late"))
	_, _, found = q.Next(100)
	g.Expect(found).To(BeFalse())
}
