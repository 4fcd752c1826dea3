package run

import (
	"context"
	"encoding/json"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"egretroad/internal/platform"
	"egretroad/internal/primacy"
	"egretroad/internal/promotion"
	"egretroad/internal/topology"
)

// epochStore keeps objects in one epoch of a store.
type epochStore struct {
	platform.Store
	mu       sync.Mutex // guards the fields below
	epoch    uint64
	revision uint64
	objects  map[string]platform.Object
}

func newEpochStore(epoch uint64) *epochStore {
	return &epochStore{epoch: epoch, revision: 20, objects: map[string]platform.Object{}}
}

func (s *epochStore) List(_ context.Context, kind string) (platform.ObjectList, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := platform.ObjectList{Revision: platform.MakeVersion(s.epoch, s.revision)}
	for _, o := range s.objects {
		if o.Kind == kind {
			l.Objects = append(l.Objects, o)
		}
	}
	return l, nil
}

func (s *epochStore) VMs(context.Context) (platform.VMList, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := platform.VMList{Revision: platform.MakeVersion(s.epoch, s.revision)}
	for _, id := range []string{"a", "b", "c"} {
		l.VMs = append(l.VMs, topology.VM{ID: id})
	}
	return l, nil
}

func (s *epochStore) Get(_ context.Context, kind, name string) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, known := s.objects[kind+"/"+name]; known {
		return o, nil
	}
	return platform.Object{}, &platform.NotFoundError{Kind: kind, Name: name}
}

func (s *epochStore) Put(_ context.Context, kind, name string, ifVersion uint64, value []byte) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current := s.objects[kind+"/"+name]; current.Version != ifVersion {
		return platform.Object{}, &platform.ConflictError{Kind: kind, Name: name, IfVersion: ifVersion, Current: current}
	}
	s.revision++
	o := platform.Object{Kind: kind, Name: name, Version: platform.MakeVersion(s.epoch, s.revision), Value: value}
	s.objects[kind+"/"+name] = o
	return o, nil
}

// keep stores an object as the store has kept it from an earlier epoch.
func (s *epochStore) keep(kind, name string, revision uint64, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.objects[kind+"/"+name] = platform.Object{Kind: kind, Name: name, Version: platform.MakeVersion(s.epoch, revision), Value: raw}
}

// newSettling returns the refresher of VM a, which reads the store for the VMs a, b and c,
// on a store that has returned from an older copy. The copy has s1 as the primary.
func newSettling() (*Refresher, *epochStore, *fakePeers) {
	r, _, peers := newRefresher("a")
	store := newEpochStore(2)
	store.keep(platform.KindEpoch, nameSettledEpoch, 3, settledEpoch{Epoch: 1})
	store.keep(platform.KindDuty, "orders", 16, promotion.Duty{Server: "s1", Holder: "b", Epoch: 1})
	r.deps.Store = store
	return r, store, peers
}

var lost = topology.Designation{Server: "s2", Holder: "c", Token: platform.MakeVersion(1, 50)}

func knows(d topology.Designation) primacy.Evidence {
	return primacy.Evidence{HasFull: true, Complete: true, Digest: 1, Epoch: 1, Settled: 1, Designations: map[string]topology.Designation{"orders": d}}
}

// The older copy lacks the record of the last promotion. A VM that knew only the copy would
// use the replaced primary.
func TestReplacedPrimaryIsNotUsedAfterStoreReturnedFromOlderCopy(t *testing.T) {
	g := NewWithT(t)
	r, store, peers := newSettling()
	for _, vm := range []string{"b", "c"} {
		peers.answers[vm] = knows(lost)
	}
	g.Expect(r.Permit(context.Background(), "orders", "s1")).To(BeAssignableToTypeOf(&primacy.SupersededError{}))
	g.Expect(r.Permit(context.Background(), "orders", "s2")).To(Succeed())
	list, err := store.List(context.Background(), platform.KindDuty)
	g.Expect(err).NotTo(HaveOccurred())
	var duty promotion.Duty
	g.Expect(json.Unmarshal(list.Objects[0].Value, &duty)).To(Succeed())
	g.Expect(duty.Designation(list.Objects[0].Version)).To(Equal(lost), "the lost record is written again with its token")
	other, _, _ := newRefresher("a")
	other.deps.Store = store
	g.Expect(other.Permit(context.Background(), "orders", "s1")).To(BeAssignableToTypeOf(&primacy.SupersededError{}))
	g.Expect(other.Permit(context.Background(), "orders", "s2")).To(Succeed(), "the epoch is settled")
}

// While too few VMs have stated what they know, the copy's records confirm nothing.
func TestRecordsOfUnsettledEpochConfirmNothing(t *testing.T) {
	g := NewWithT(t)
	r, _, _ := newSettling()
	g.Expect(r.Permit(context.Background(), "orders", "s1")).To(BeAssignableToTypeOf(&primacy.ExpiredError{}))
	_, err := r.SettledEpoch(context.Background())
	g.Expect(err).To(BeAssignableToTypeOf(&UnsettledError{}), "no claim is made meanwhile")
}

// When every VM has started since the return, nobody knows more than the copy.
func TestEpochIsSettledWhenAllVMsHaveRestarted(t *testing.T) {
	g := NewWithT(t)
	r, _, peers := newSettling()
	for _, vm := range []string{"b", "c"} {
		peers.answers[vm] = primacy.Evidence{}
	}
	g.Expect(r.Permit(context.Background(), "orders", "s1")).To(Succeed())
	g.Expect(r.SettledEpoch(context.Background())).To(Equal(uint64(2)))
}

// A second return while the first is being settled starts a settlement of its own.
func TestSecondReturnIsSettledAgain(t *testing.T) {
	g := NewWithT(t)
	r, store, peers := newSettling()
	for _, vm := range []string{"b", "c"} {
		peers.answers[vm] = knows(lost)
	}
	g.Expect(r.Permit(context.Background(), "orders", "s2")).To(Succeed())
	again := newEpochStore(3)
	again.keep(platform.KindEpoch, nameSettledEpoch, 3, settledEpoch{Epoch: 1})
	r.deps.Store = again
	r.refresh(0)
	g.Expect(r.SettledEpoch(context.Background())).To(Equal(uint64(3)))
	g.Expect(again.objects).To(HaveKey("duty/orders"))
	g.Expect(store.objects).To(HaveKey("duty/orders"))
}
