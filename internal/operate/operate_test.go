package operate_test

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"egretroad/internal/catalogue"
	"egretroad/internal/control"
	"egretroad/internal/operate"
	"egretroad/internal/platform"
	"egretroad/internal/platform/objectclient"
	"egretroad/internal/standin/network"
	"egretroad/internal/standin/objectapi"
	"egretroad/internal/topology"
)

func startStore(t *testing.T) (*objectapi.Server, platform.Store) {
	t.Helper()
	links := network.New([]string{"a"})
	api, err := objectapi.Start(links.PlatformAddr()+":0", links)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(api.Close)
	return api, objectclient.New(api.URL(), objectclient.DefaultOptions())
}

func entryWithLimit(limit int) operate.Input {
	return operate.Input{Entry: catalogue.Entry{
		Name: "stock", Kind: "stock", Owner: "shop", Database: "orders1", Rank: catalogue.RankReads,
		Access: catalogue.AccessRead, Deadline: 500, MaxConcurrent: limit,
	}}
}

func withVersion(version uint64, in operate.Input) operate.Input {
	in.Version = &version
	return in
}

func TestApplyAndDeleteWithHistory(t *testing.T) {
	g, ctx := NewWithT(t), context.Background()
	_, store := startStore(t)
	o := operate.New(store, "ana")
	created, err := o.Apply(ctx, entryWithLimit(1))
	g.Expect(err).NotTo(HaveOccurred())
	changed, err := o.Apply(ctx, withVersion(created.Version, entryWithLimit(2)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(changed.Changes).To(ConsistOf(operate.FieldChange{Field: "maxConcurrent", From: "1", To: "2"}))
	same, err := o.Apply(ctx, entryWithLimit(2))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(same.Unchanged).To(BeTrue())
	g.Expect(same.Version).To(Equal(changed.Version))
	_, err = o.Delete(ctx, "stock", &changed.Version)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = o.Get(ctx, "stock")
	var missing *operate.NotFoundError
	g.Expect(errors.As(err, &missing)).To(BeTrue())
	changes, err := o.History(ctx, "stock")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(changes).To(HaveLen(3))
	for _, c := range changes {
		g.Expect(c.Outcome).To(Equal(operate.OutcomeApplied))
		g.Expect(c.By).To(Equal("ana"))
	}
}

func TestConflictReportsBothChanges(t *testing.T) {
	g, ctx := NewWithT(t), context.Background()
	_, store := startStore(t)
	ana, ben := operate.New(store, "ana"), operate.New(store, "ben")
	base, err := ana.Apply(ctx, entryWithLimit(1))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = ana.Apply(ctx, withVersion(base.Version, entryWithLimit(2)))
	g.Expect(err).NotTo(HaveOccurred())
	proposed := entryWithLimit(1)
	proposed.Deadline = 900
	_, err = ben.Apply(ctx, withVersion(base.Version, proposed))
	var conflict *operate.ConflictError
	g.Expect(errors.As(err, &conflict)).To(BeTrue())
	g.Expect(conflict.BaseKnown).To(BeTrue())
	g.Expect(conflict.StoredChanges).To(ConsistOf(operate.FieldChange{Field: "maxConcurrent", From: "1", To: "2"}))
	g.Expect(conflict.ProposedChanges).To(ConsistOf(operate.FieldChange{Field: "deadlineMs", From: "500", To: "900"}))
	g.Expect(conflict.Error()).To(And(ContainSubstring("changed by ana"), ContainSubstring("catalogue get stock")))
}

func TestConcurrentEditsOneSucceeds(t *testing.T) {
	g, ctx := NewWithT(t), context.Background()
	_, store := startStore(t)
	base, err := operate.New(store, "ana").Apply(ctx, entryWithLimit(1))
	g.Expect(err).NotTo(HaveOccurred())
	outcomes := make(chan error, 4)
	for i := range 4 {
		go func() {
			_, err := operate.New(store, "op").Apply(ctx, withVersion(base.Version, entryWithLimit(10+i)))
			outcomes <- err
		}()
	}
	succeeded := 0
	for range 4 {
		err := <-outcomes
		var conflict *operate.ConflictError
		if err == nil {
			succeeded++
		} else {
			g.Expect(errors.As(err, &conflict)).To(BeTrue(), "%v", err)
		}
	}
	g.Expect(succeeded).To(Equal(1))
}

func TestLostResponsesCauseNoConflict(t *testing.T) {
	g, ctx := NewWithT(t), context.Background()
	api, store := startStore(t)
	o := operate.New(store, "ana")
	api.LoseAnswers(3, objectapi.CallPut)
	first, err := o.Apply(ctx, entryWithLimit(1))
	g.Expect(err).NotTo(HaveOccurred())
	api.LoseAnswers(2, objectapi.CallPut)
	second, err := o.Apply(ctx, withVersion(first.Version, entryWithLimit(2)))
	g.Expect(err).NotTo(HaveOccurred())
	api.LoseAnswers(1, objectapi.CallDelete)
	_, err = o.Delete(ctx, "stock", &second.Version)
	g.Expect(err).NotTo(HaveOccurred())
	changes, err := o.History(ctx, "stock")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(changes).To(HaveLen(3))
}

// concurrentEditStore loses the response of the first successful catalogue write
// and runs concurrentEdit before the write can be retried.
type concurrentEditStore struct {
	platform.Store
	concurrentEdit func()
}

func (s *concurrentEditStore) Put(ctx context.Context, kind, name string, ifVersion uint64, value []byte) (platform.Object, error) {
	o, err := s.Store.Put(ctx, kind, name, ifVersion, value)
	if kind == platform.KindCatalogue && err == nil && s.concurrentEdit != nil {
		concurrentEdit := s.concurrentEdit
		s.concurrentEdit = nil
		concurrentEdit()
		return platform.Object{}, &platform.UnavailableError{Call: "put", Cause: context.DeadlineExceeded}
	}
	return o, err
}

func TestLostResponseBeforeConcurrentEditCausesNoConflict(t *testing.T) {
	g, ctx := NewWithT(t), context.Background()
	_, store := startStore(t)
	base, err := operate.New(store, "ana").Apply(ctx, entryWithLimit(1))
	g.Expect(err).NotTo(HaveOccurred())
	lossy := &concurrentEditStore{Store: store, concurrentEdit: func() {
		_, err := operate.New(store, "ben").Apply(ctx, entryWithLimit(3))
		g.Expect(err).NotTo(HaveOccurred())
	}}
	_, err = operate.New(lossy, "ana").Apply(ctx, withVersion(base.Version, entryWithLimit(2)))
	g.Expect(err).NotTo(HaveOccurred())
	item, err := operate.New(store, "ana").Get(ctx, "stock")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(item.MaxConcurrent).To(Equal(3), "the later change is kept")
}

func TestApplyReportsUnknownOutcome(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, store := startStore(t)
	lossy := &concurrentEditStore{Store: store, concurrentEdit: cancel}
	_, err := operate.New(lossy, "ana").Apply(ctx, entryWithLimit(1))
	var uncertain *operate.UnknownOutcomeError
	g.Expect(errors.As(err, &uncertain)).To(BeTrue(), "%v", err)
	changes, err := operate.New(store, "ana").History(context.Background(), "stock")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(changes[0].Outcome).To(Equal(operate.OutcomeApplied))
	g.Expect(changes[0].ID).To(Equal(uncertain.ChangeID))
}

func TestParseEntriesReportsPosition(t *testing.T) {
	g := NewWithT(t)
	valid := `{"name":"a","kind":"a","owner":"o","database":"d","rank":1,"access":"read","repeatable":true,"deadlineMs":5}`
	inputs, err := operate.ParseEntries([]byte("// two\n[" + valid + ",\n" + valid + ",]"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(inputs).To(HaveLen(2))
	for text, want := range map[string]string{
		"{\n  \"name\": \"a\",\n  \"rnk\": 1}": `line 3, column 3: unknown field "rnk"`,
		"{\n\"rank\": \"x\"}":                  `line 2, column 9: field "rank" is a string, want a`,
		"{\"name\":\"a\",\n\"name\":\"b\"}":    `line 2, column 1: duplicate field "name"`,
		"[3]":                                  "line 1, column 2: want an entry",
		"{\"name\": }":                         "line 1",
		"\n" + valid[:len(valid)-1] + `,"floorPercent":101}`: `line 2, column 1: catalogue entry "a": floorPercent is 101`,
	} {
		_, err := operate.ParseEntries([]byte(text))
		g.Expect(err).To(MatchError(ContainSubstring(want)), text)
	}
}

func server(id string) topology.Server {
	return topology.Server{ID: id, Addr: "127.0.1.1:5432", DataCentre: "a", State: topology.ServerActive, Slots: 2, MaxConnections: 16}
}

func TestServersJoinAndLeave(t *testing.T) {
	g, ctx := NewWithT(t), context.Background()
	api, store := startStore(t)
	_, err := api.Put(platform.KindGroup, "d", topology.Group{Database: "d", Term: 1, Primary: "d-a", Servers: []topology.Server{server("d-a"), server("d-b")}})
	g.Expect(err).NotTo(HaveOccurred())
	o := operate.New(store, "ana")
	api.LoseAnswers(1, objectapi.CallPut)
	leaving, err := o.Leave(ctx, "d-a")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(leaving.HandOver).To(BeTrue())
	again, err := o.Leave(ctx, "d-a")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again.Unchanged).To(BeTrue())
	var state *operate.StateError
	_, err = o.Leave(ctx, "d-b")
	g.Expect(errors.As(err, &state)).To(BeTrue())
	_, err = o.Remove(ctx, "d-a")
	g.Expect(errors.As(err, &state)).To(BeTrue(), "still the primary")
	_, err = o.Join(ctx, "d", server("d-c"))
	g.Expect(err).NotTo(HaveOccurred())
	var missing *operate.NotFoundError
	_, err = o.Join(ctx, "d", topology.Server{ID: "d-x"})
	g.Expect(errors.As(err, &missing)).To(BeTrue())
	_, err = o.Leave(ctx, "nope")
	g.Expect(errors.As(err, &missing)).To(BeTrue())
	items, err := o.Servers(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	states := map[string]topology.ServerState{}
	for _, item := range items {
		states[item.ID] = item.State
	}
	g.Expect(states).To(Equal(map[string]topology.ServerState{"d-a": "leaving", "d-b": "active", "d-c": "joining"}))
}

func TestGroupsWithUnknownFieldsAreNotRewritten(t *testing.T) {
	g, ctx := NewWithT(t), context.Background()
	api, store := startStore(t)
	_, err := api.Put(platform.KindGroup, "d", map[string]any{"database": "d", "future": 1, "servers": []topology.Server{server("d-a")}})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = operate.New(store, "ana").Join(ctx, "d", server("d-b"))
	var invalid *operate.InvalidObjectError
	g.Expect(errors.As(err, &invalid)).To(BeTrue())
}

func TestWaitReportsLaggards(t *testing.T) {
	g := NewWithT(t)
	api, store := startStore(t)
	api.SetVMs([]topology.VM{{ID: "v1", DataCentre: "a"}, {ID: "v2", DataCentre: "a"}, {ID: "w1", DataCentre: "b"}})
	report := func(revision uint64, invalid ...string) {
		_, err := api.Put(platform.KindStatus, "a", control.DataCentreStatus{DataCentre: "a", VMs: []control.VMStatus{
			{ID: "v1", Revision: 9}, {ID: "v2", Revision: revision, Invalid: invalid},
		}})
		g.Expect(err).NotTo(HaveOccurred())
	}
	wait := func() *operate.NotInForceError {
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		var notInForce *operate.NotInForceError
		err := operate.New(store, "ana").Wait(ctx, platform.KindCatalogue, "stock", 9, nil)
		if errors.As(err, &notInForce) {
			return notInForce
		}
		g.Expect(err).NotTo(HaveOccurred())
		return nil
	}
	report(8)
	notInForce := wait()
	g.Expect(notInForce.Lags).To(ConsistOf(operate.Laggard{VM: "v2", DataCentre: "a", Revision: 8}, operate.Laggard{DataCentre: "b"}))
	_, err := api.Put(platform.KindStatus, "b", control.DataCentreStatus{DataCentre: "b", VMs: []control.VMStatus{{ID: "w1", Revision: 10}}})
	g.Expect(err).NotTo(HaveOccurred())
	report(9, "catalogue/stock@9")
	g.Expect(wait().Lags).To(ConsistOf(operate.Laggard{VM: "v2", DataCentre: "a", Revision: 9, Refused: true}))
	report(9)
	g.Expect(wait()).To(BeNil())
}
