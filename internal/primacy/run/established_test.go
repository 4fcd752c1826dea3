package run

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"egretroad/internal/clock"
	"egretroad/internal/platform"
	"egretroad/internal/primacy"
	"egretroad/internal/topology"
)

// recordStore is a store whose list of VMs has registrations and the record of the
// established VMs.
type recordStore struct {
	platform.Store
	established platform.Object
	writes      int
	fail        bool // writes take effect without a response
}

func (s *recordStore) VMs(context.Context) (platform.VMList, error) {
	return platform.VMList{
		VMs: []topology.VM{{ID: "a"}, {ID: "b"}}, Registrations: map[string]string{"a": "r1", "b": "r2"}, Established: s.established,
	}, nil
}

func (s *recordStore) Put(_ context.Context, kind, name string, ifVersion uint64, value []byte) (platform.Object, error) {
	s.writes++
	if kind != platform.KindVMs || name != platform.NameEstablished || ifVersion != s.established.Version {
		return platform.Object{}, &platform.ConflictError{Kind: kind, Name: name, IfVersion: ifVersion, Current: s.established}
	}
	s.established = platform.Object{Kind: kind, Name: name, Version: ifVersion + 1, Value: value}
	if s.fail {
		return platform.Object{}, &platform.UnavailableError{Call: "put"}
	}
	return s.established, nil
}

// readAfterWindow makes a refresher read the list as a process does that has run for longer
// than ListWindow.
func readAfterWindow(g *WithT, r *Refresher) primacy.List {
	list, err := r.ReadList()
	g.Expect(err).NotTo(HaveOccurred())
	now := clock.Boottime()
	r.tenure = primacy.Tenure{}
	r.tenure.Observe(list, now-2*primacy.ListWindow, now-2*primacy.ListWindow)
	list, err = r.ReadList()
	g.Expect(err).NotTo(HaveOccurred())
	return list
}

func newRecording() (*Refresher, *recordStore) {
	r, _, _ := newRefresher("a")
	store := &recordStore{}
	r.deps.Store = store
	return r, store
}

// One write suffices, also if its response is lost.
func TestEstablishedVMsAreRecordedOnce(t *testing.T) {
	for name, fail := range map[string]bool{"answered": false, "the response is lost": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r, store := newRecording()
			store.fail = fail
			g.Expect(readAfterWindow(g, r).Established()).To(BeEmpty())
			r.recordEstablished()
			g.Expect(readAfterWindow(g, r).Established()).To(ConsistOf("a", "b"))
			r.recordedAt -= recordInterval
			r.recordEstablished()
			g.Expect(store.writes).To(Equal(1))
		})
	}
}

// Another VM has written meanwhile, or the record cannot be read: the next list shows what to
// write.
func TestRecordOfEstablishedVMsIsWrittenAnew(t *testing.T) {
	g := NewWithT(t)
	r, store := newRecording()
	readAfterWindow(g, r)
	store.established = platform.Object{Version: 7, Value: []byte(`{"epoch":0,"vms":3}`)}
	r.recordEstablished()
	g.Expect(store.established.Version).To(Equal(uint64(7)), "the write conflicts")
	g.Expect(readAfterWindow(g, r).Established()).To(BeEmpty(), "the record cannot be read")
	r.recordEstablished()
	g.Expect(store.writes).To(Equal(1), "not again at once")
	r.recordedAt -= recordInterval
	r.recordEstablished()
	g.Expect(readAfterWindow(g, r).Established()).To(ConsistOf("a", "b"))
}

// A process that has not run for ListWindow has nothing to record.
func TestStartedVMRecordsNothing(t *testing.T) {
	g := NewWithT(t)
	r, store := newRecording()
	for range 2 {
		_, err := r.ReadList()
		g.Expect(err).NotTo(HaveOccurred())
		r.recordEstablished()
		time.Sleep(time.Millisecond)
	}
	g.Expect(store.writes).To(BeZero())
}
