package primacy_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"egretroad/internal/primacy"
)

// tenureTest observes lists with the given entries and writes each record that is due.
type tenureTest struct {
	tenure  primacy.Tenure
	entries map[string]string // registrations by VM ID
	record  primacy.EstablishedRecord
	epoch   uint64
	now     time.Duration
}

func newTenureTest(entries map[string]string) *tenureTest {
	return &tenureTest{entries: entries, now: time.Hour}
}

func (t *tenureTest) list() primacy.List {
	l := primacy.List{Epoch: t.epoch, Registrations: t.entries, Record: t.record}
	for id := range t.entries {
		l.IDs = append(l.IDs, id)
	}
	return l
}

// after reads the list once more after a time, and returns whether the record was written.
func (t *tenureTest) after(d time.Duration) bool {
	t.now += d
	t.tenure.Observe(t.list(), t.now, t.now)
	next, changed := t.tenure.NextRecord(0)
	if changed {
		t.record = next
	}
	return changed
}

// A VM is established once its entry has been there for longer than ListWindow, whatever
// processes have been started since.
func TestVMIsEstablishedAfterWindow(t *testing.T) {
	g := NewWithT(t)
	c := newTenureTest(map[string]string{"a": "r1", "b": "r2", "earlier": ""})
	g.Expect(c.after(0)).To(BeFalse())
	g.Expect(c.after(primacy.ListWindow)).To(BeFalse())
	c.entries = map[string]string{"a": "r1", "b": "r2", "earlier": "", "joined": "r3"}
	g.Expect(c.after(time.Millisecond)).To(BeTrue())
	g.Expect(c.record.VMs).To(Equal(map[string]string{"a": "r1", "b": "r2"}))
	g.Expect(c.list().Established()).To(ConsistOf("a", "b"))
	g.Expect(c.after(time.Second)).To(BeFalse(), "nothing has changed")

	c.tenure = primacy.Tenure{} // the process restarts
	g.Expect(c.after(0)).To(BeFalse())
	g.Expect(c.after(primacy.ListWindow + 1)).To(BeTrue())
	g.Expect(c.list().Established()).To(ConsistOf("a", "b", "joined"))
}

// VMs that start together are recorded together; those that go on joining do not keep others
// out.
func TestVMsThatStartTogetherShareOneRecord(t *testing.T) {
	g := NewWithT(t)
	const batch = 5 * time.Second
	entries := map[string]string{"a": "r1"}
	c := newTenureTest(entries)
	isDue := func(after time.Duration) bool {
		c.now += after
		c.tenure.Observe(c.list(), c.now, c.now)
		_, due := c.tenure.NextRecord(batch)
		return due
	}
	g.Expect(isDue(0)).To(BeFalse())
	entries["b"] = "r2"
	g.Expect(isDue(batch - 2)).To(BeFalse())
	entries["c"] = "r3"
	g.Expect(isDue(batch - 2)).To(BeFalse())
	g.Expect(isDue(primacy.ListWindow-2*batch+5)).To(BeFalse(), "a is established, b will be soon")
	g.Expect(isDue(batch-1)).To(BeTrue(), "a has waited for long enough")
}

// The entry may have been created at any time until the list arrived.
func TestTimeInListCountsFromArrival(t *testing.T) {
	g := NewWithT(t)
	c := newTenureTest(map[string]string{"a": "r1"})
	c.tenure.Observe(c.list(), time.Hour, time.Hour+time.Second)
	c.tenure.Observe(c.list(), time.Hour+primacy.ListWindow+time.Second, time.Hour+primacy.ListWindow+2*time.Second)
	_, changed := c.tenure.NextRecord(0)
	g.Expect(changed).To(BeFalse())
	c.tenure.Observe(c.list(), time.Hour, time.Hour+time.Minute) // late
	c.tenure.Observe(c.list(), time.Hour+primacy.ListWindow+time.Second+1, time.Hour+primacy.ListWindow+2*time.Second)
	_, changed = c.tenure.NextRecord(0)
	g.Expect(changed).To(BeTrue())
}

// A VM that comes back under its name after its entry was removed has joined anew. Its earlier
// entry stays in the record as long as evidence that was counted from it may be valid.
func TestVMThatCameBackUnderItsNameIsNotEstablished(t *testing.T) {
	g := NewWithT(t)
	c := newTenureTest(map[string]string{"a": "r1", "b": "r2"})
	c.after(0)
	g.Expect(c.after(primacy.ListWindow + 1)).To(BeTrue())
	c.entries = map[string]string{"a": "r1", "b": "r3"}
	g.Expect(c.after(time.Second)).To(BeFalse())
	g.Expect(c.list().Established()).To(ConsistOf("a"))
	g.Expect(c.list().Departed()).To(ConsistOf("b"))
	g.Expect(c.after(primacy.ListWindow)).To(BeFalse())
	g.Expect(c.after(1)).To(BeTrue())
	g.Expect(c.list().Established()).To(ConsistOf("a", "b"))
	g.Expect(c.list().Departed()).To(BeEmpty())

	c.entries = map[string]string{"a": "r1"}
	g.Expect(c.after(time.Second)).To(BeFalse())
	g.Expect(c.list().Departed()).To(ConsistOf("b"))
	g.Expect(c.after(primacy.ListWindow + 1)).To(BeTrue())
	g.Expect(c.list().Departed()).To(BeEmpty())
}

// The older copy may have entries that had been removed, and lack some that were there.
func TestRecordDoesNotHoldAfterStoreReturnedFromOlderCopy(t *testing.T) {
	g := NewWithT(t)
	c := newTenureTest(map[string]string{"a": "r1", "b": "r2"})
	c.after(0)
	g.Expect(c.after(primacy.ListWindow + 1)).To(BeTrue())
	c.epoch++
	g.Expect(c.list().Established()).To(BeEmpty())
	g.Expect(c.list().Departed()).To(BeEmpty())
	g.Expect(c.after(time.Second)).To(BeFalse())
	g.Expect(c.after(primacy.ListWindow)).To(BeFalse())
	g.Expect(c.after(1)).To(BeTrue())
	g.Expect(c.record).To(Equal(primacy.EstablishedRecord{Epoch: 1, VMs: map[string]string{"a": "r1", "b": "r2"}}))
}

// A VM whose entry was removed before the store returned may still run. The record of before is
// all that tells of it.
func TestVMThatLeftBeforeReturnOfStoreCountsAsDeparted(t *testing.T) {
	g := NewWithT(t)
	c := newTenureTest(map[string]string{"a": "r1", "b": "r2"})
	c.after(0)
	g.Expect(c.after(primacy.ListWindow + 1)).To(BeTrue())
	c.epoch, c.entries = c.epoch+1, map[string]string{"a": "r1"}
	g.Expect(c.list().Established()).To(BeEmpty())
	g.Expect(c.list().Departed()).To(ConsistOf("b"))
	g.Expect(c.after(time.Second)).To(BeFalse())
	g.Expect(c.after(primacy.ListWindow + 1)).To(BeTrue())
	g.Expect(c.record).To(Equal(primacy.EstablishedRecord{Epoch: 1, VMs: map[string]string{"a": "r1"}}))
}
