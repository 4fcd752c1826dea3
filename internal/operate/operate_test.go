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

func start(t *testing.T) (*objectapi.Server, platform.Store) {
	t.Helper()
	links := network.New([]string{"a"})
	api, err := objectapi.Start(links.PlatformAddr()+":0", links)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(api.Close)
	return api, objectclient.New(api.URL(), objectclient.DefaultOptions())
}

func entry(limit int) operate.Input {
	return operate.Input{Entry: catalogue.Entry{
		Name: "stock", Kind: "stock", Owner: "shop", Database: "orders1", Rank: catalogue.RankReads,
		Access: catalogue.AccessRead, Deadline: 500, MaxConcurrent: limit,
	}}
}

func at(version uint64, in operate.Input) operate.Input {
	in.Version = &version
	return in
}

func TestApplyCreatesChangesAndDeletes(t *testing.T) {
	g, ctx := NewWithT(t), context.Background()
	_, store := start(t)
	o := operate.New(store, "ana")
	created, err := o.Apply(ctx, entry(1))
	g.Expect(err).NotTo(HaveOccurred())
	changed, err := o.Apply(ctx, at(created.Version, entry(2)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(changed.Changes).To(ConsistOf(operate.FieldChange{Field: "maxConcurrent", From: "1", To: "2"}))
	same, err := o.Apply(ctx, entry(2))
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

func TestConflictShowsBothChanges(t *testing.T) {
	g, ctx := NewWithT(t), context.Background()
	_, store := start(t)
	ana, ben := operate.New(store, "ana"), operate.New(store, "ben")
	base, err := ana.Apply(ctx, entry(1))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = ana.Apply(ctx, at(base.Version, entry(2)))
	g.Expect(err).NotTo(HaveOccurred())
	mine := entry(1)
	mine.Deadline = 900
	_, err = ben.Apply(ctx, at(base.Version, mine))
	var conflict *operate.ConflictError
	g.Expect(errors.As(err, &conflict)).To(BeTrue())
	g.Expect(conflict.BaseKnown).To(BeTrue())
	g.Expect(conflict.Theirs).To(ConsistOf(operate.FieldChange{Field: "maxConcurrent", From: "1", To: "2"}))
	g.Expect(conflict.Mine).To(ConsistOf(operate.FieldChange{Field: "deadlineMs", From: "500", To: "900"}))
	g.Expect(conflict.Error()).To(And(ContainSubstring("changed by ana"), ContainSubstring("catalogue get stock")))
}

func TestSimultaneousEditsOneWins(t *testing.T) {
	g, ctx := NewWithT(t), context.Background()
	_, store := start(t)
	base, err := operate.New(store, "ana").Apply(ctx, entry(1))
	g.Expect(err).NotTo(HaveOccurred())
	outcomes := make(chan error, 4)
	for i := range 4 {
		go func() {
			_, err := operate.New(store, "op").Apply(ctx, at(base.Version, entry(10+i)))
			outcomes <- err
		}()
	}
	won := 0
	for range 4 {
		err := <-outcomes
		var conflict *operate.ConflictError
		if err == nil {
			won++
		} else {
			g.Expect(errors.As(err, &conflict)).To(BeTrue(), "%v", err)
		}
	}
	g.Expect(won).To(Equal(1))
}

func TestLostAnswersAreNoConflict(t *testing.T) {
	g, ctx := NewWithT(t), context.Background()
	api, store := start(t)
	o := operate.New(store, "ana")
	api.LoseAnswers(3, objectapi.CallPut)
	first, err := o.Apply(ctx, entry(1))
	g.Expect(err).NotTo(HaveOccurred())
	api.LoseAnswers(2, objectapi.CallPut)
	second, err := o.Apply(ctx, at(first.Version, entry(2)))
	g.Expect(err).NotTo(HaveOccurred())
	api.LoseAnswers(1, objectapi.CallDelete)
	_, err = o.Delete(ctx, "stock", &second.Version)
	g.Expect(err).NotTo(HaveOccurred())
	changes, err := o.History(ctx, "stock")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(changes).To(HaveLen(3))
}

// overtaker lets somebody else change the entry between the effect of a lost
// write and its repetition.
type overtaker struct {
	platform.Store
	overtake func()
}

func (s *overtaker) Put(ctx context.Context, kind, name string, ifVersion uint64, value []byte) (platform.Object, error) {
	o, err := s.Store.Put(ctx, kind, name, ifVersion, value)
	if kind == platform.KindCatalogue && err == nil && s.overtake != nil {
		overtake := s.overtake
		s.overtake = nil
		overtake()
		return platform.Object{}, &platform.UnavailableError{Call: "put", Cause: context.DeadlineExceeded}
	}
	return o, err
}

func TestLostAnswerThenOvertakenIsNoConflict(t *testing.T) {
	g, ctx := NewWithT(t), context.Background()
	_, store := start(t)
	base, err := operate.New(store, "ana").Apply(ctx, entry(1))
	g.Expect(err).NotTo(HaveOccurred())
	lossy := &overtaker{Store: store, overtake: func() {
		_, err := operate.New(store, "ben").Apply(ctx, entry(3))
		g.Expect(err).NotTo(HaveOccurred())
	}}
	_, err = operate.New(lossy, "ana").Apply(ctx, at(base.Version, entry(2)))
	g.Expect(err).NotTo(HaveOccurred())
	item, err := operate.New(store, "ana").Get(ctx, "stock")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(item.MaxConcurrent).To(Equal(3), "the later change stays")
}

func TestUncertainOutcomeIsSaid(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, store := start(t)
	lossy := &overtaker{Store: store, overtake: cancel}
	_, err := operate.New(lossy, "ana").Apply(ctx, entry(1))
	var uncertain *operate.UncertainError
	g.Expect(errors.As(err, &uncertain)).To(BeTrue(), "%v", err)
	changes, err := operate.New(store, "ana").History(context.Background(), "stock")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(changes[0].Outcome).To(Equal(operate.OutcomeApplied))
	g.Expect(changes[0].ID).To(Equal(uncertain.Edit))
}

func TestParseEntriesSaysWhere(t *testing.T) {
	g := NewWithT(t)
	valid := `{"name":"a","kind":"a","owner":"o","database":"d","rank":1,"access":"read","repeatable":true,"deadlineMs":5}`
	inputs, err := operate.ParseEntries([]byte("// two\n[" + valid + ",\n" + valid + ",]"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(inputs).To(HaveLen(2))
	for text, want := range map[string]string{
		"{\n  \"name\": \"a\",\n  \"rnk\": 1}": `line 3, column 3: unknown field "rnk"`,
		"{\n\"rank\": \"x\"}":                  `line 2, column 9: field "rank" is a string, want a`,
		"{\"name\":\"a\",\n\"name\":\"b\"}":    `line 2, column 1: field "name" is given twice`,
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
	api, store := start(t)
	_, err := api.Put(platform.KindGroup, "d", topology.Group{Database: "d", Term: 1, Primary: "d-a", Servers: []topology.Server{server("d-a"), server("d-b")}})
	g.Expect(err).NotTo(HaveOccurred())
	o := operate.New(store, "ana")
	api.LoseAnswers(1, objectapi.CallPut)
	left, err := o.Leave(ctx, "d-a")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(left.HandOver).To(BeTrue())
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

func TestGroupsOfNewerVersionsAreNotRewritten(t *testing.T) {
	g, ctx := NewWithT(t), context.Background()
	api, store := start(t)
	_, err := api.Put(platform.KindGroup, "d", map[string]any{"database": "d", "future": 1, "servers": []topology.Server{server("d-a")}})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = operate.New(store, "ana").Join(ctx, "d", server("d-b"))
	var invalid *operate.InvalidObjectError
	g.Expect(errors.As(err, &invalid)).To(BeTrue())
}

func TestWaitNamesThoseThatLag(t *testing.T) {
	g := NewWithT(t)
	api, store := start(t)
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
		var late *operate.NotInForceError
		err := operate.New(store, "ana").Wait(ctx, platform.KindCatalogue, "stock", 9, nil)
		if errors.As(err, &late) {
			return late
		}
		g.Expect(err).NotTo(HaveOccurred())
		return nil
	}
	report(8)
	late := wait()
	g.Expect(late.Lags).To(ConsistOf(operate.Lag{VM: "v2", DataCentre: "a", Revision: 8}, operate.Lag{DataCentre: "b"}))
	_, err := api.Put(platform.KindStatus, "b", control.DataCentreStatus{DataCentre: "b", VMs: []control.VMStatus{{ID: "w1", Revision: 10}}})
	g.Expect(err).NotTo(HaveOccurred())
	report(9, "catalogue/stock@9")
	g.Expect(wait().Lags).To(ConsistOf(operate.Lag{VM: "v2", DataCentre: "a", Revision: 9, Refused: true}))
	report(9)
	g.Expect(wait()).To(BeNil())
}
