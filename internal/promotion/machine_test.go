package promotion

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"egretroad/internal/catalogue"
	"egretroad/internal/reducer"
	"egretroad/internal/topology"
)

// trace feeds events to a machine and keeps its effects, but for log lines.
type trace struct {
	m        *Machine
	now      time.Duration
	snapshot *topology.Snapshot
	out      []reducer.Effect
}

func server(id string, state topology.ServerState) topology.Server {
	return topology.Server{ID: id, State: state, Slots: 2}
}

// newTrace returns the machine of VM a, the home of the primary s1 with replicas
// s2 and s3.
func newTrace() *trace {
	t := &trace{m: New(DefaultOptions(), "a"), now: time.Hour}
	t.snapshot = &topology.Snapshot{
		Self: "a",
		VMs:  map[string]topology.VM{"a": {ID: "a", DataCentre: "x"}, "b": {ID: "b", DataCentre: "x"}, "c": {ID: "c", DataCentre: "y"}},
		Groups: map[string]*topology.Group{"orders": {Database: "orders", Primary: "s1", Servers: []topology.Server{
			server("s1", topology.ServerActive), server("s2", topology.ServerActive), server("s3", topology.ServerActive),
		}}},
		Homes: map[string]string{"s1": "a", "s2": "b", "s3": "c"},
	}
	t.publish()
	t.post(Claimed{Database: "orders", Token: 1})
	t.answered()
	t.take()
	return t
}

func (t *trace) post(e reducer.Event) {
	for _, effect := range t.m.Step(e) {
		if _, line := effect.(Log); !line {
			t.out = append(t.out, effect)
		}
	}
}

func (t *trace) publish() { t.post(reducer.SnapshotPublished{Snapshot: t.snapshot}) }

// group changes the group in a new snapshot.
func (t *trace) group(change func(g *topology.Group)) {
	g := *t.snapshot.Groups["orders"]
	g.Servers = append([]topology.Server(nil), g.Servers...)
	change(&g)
	next := *t.snapshot
	next.Groups = map[string]*topology.Group{"orders": &g}
	t.snapshot = &next
	t.publish()
}

func (t *trace) tick(d time.Duration) {
	t.now += d
	t.post(reducer.Tick{Now: t.now})
}

// take returns the effects since the last call.
func (t *trace) take() []reducer.Effect {
	out := t.out
	t.out = nil
	return out
}

func (t *trace) silent(d time.Duration) {
	t.post(Probed{Database: "orders", Server: "s1", Silence: d})
}

func (t *trace) answered() { t.silent(0) }

func TestAnAnsweringPrimaryIsLeftAlone(t *testing.T) {
	g := NewWithT(t)
	tr := newTrace()
	for range 100 {
		tr.tick(50 * time.Millisecond)
		for _, e := range tr.take() {
			g.Expect(e).To(Equal(Probe{Database: "orders", Server: "s1"}))
			tr.answered()
		}
	}
}

// The duty is claimed before it is needed, so that a promotion needs no store.
func TestTheDutyIsClaimedAheadOfNeed(t *testing.T) {
	g := NewWithT(t)
	m := New(DefaultOptions(), "a")
	effects := m.Step(reducer.SnapshotPublished{Snapshot: newTrace().snapshot})
	g.Expect(effects).To(ContainElement(Claim{Database: "orders"}))
	// While the store is away the claim is tried again now and then, and a promotion
	// goes on with what the executor has.
	m.Step(Claimed{Database: "orders", Err: fmt.Errorf("away")})
	g.Expect(m.Step(reducer.Tick{Now: time.Second})).NotTo(ContainElement(Claim{Database: "orders"}))
	g.Expect(m.Step(reducer.Tick{Now: DefaultOptions().ClaimRetry})).To(ContainElement(Claim{Database: "orders"}))
}

func TestASilentPrimaryIsReplaced(t *testing.T) {
	g := NewWithT(t)
	tr := newTrace()
	tr.tick(time.Second)
	g.Expect(tr.take()).To(Equal([]reducer.Effect{Probe{Database: "orders", Server: "s1"}}))
	tr.silent(time.Second)
	tr.tick(50 * time.Millisecond)
	// Witnesses of different data centres come first.
	g.Expect(tr.take()).To(Equal([]reducer.Effect{AskWitnesses{Database: "orders", Server: "s1", VMs: []string{"b", "c"}}}))
	tr.post(WitnessesAsked{Database: "orders", Server: "s1", Answered: 2})
	g.Expect(tr.take()).To(Equal([]reducer.Effect{Elect{Database: "orders", Candidates: []string{"s2", "s3"}}}))
	tr.post(Elected{Database: "orders", Server: "s3"})
	g.Expect(tr.take()).To(Equal([]reducer.Effect{Claim{Database: "orders"}}))
	tr.post(Claimed{Database: "orders", Token: 77})
	call := Call{Database: "orders", Server: "s3", Holder: "a", Token: 77}
	g.Expect(tr.take()).To(Equal([]reducer.Effect{Promote{Call: call}}))
	tr.post(Promoted{Call: call})
	g.Expect(tr.take()).To(Equal([]reducer.Effect{Announce{Database: "orders", Server: "s3"}}))
	// Until the group shows the new primary, nothing more is done.
	tr.tick(time.Second)
	for _, e := range tr.take() {
		g.Expect(e).To(BeAssignableToTypeOf(Probe{}))
	}
}

// A probe of a dead server ends with its time-out; the silence counts meanwhile.
func TestSilenceGrowsWhileAProbeIsOpen(t *testing.T) {
	g := NewWithT(t)
	tr := newTrace()
	tr.tick(time.Second)
	tr.take()
	tr.silent(500 * time.Millisecond)
	tr.tick(DefaultOptions().ProbeInterval)
	g.Expect(tr.take()).To(Equal([]reducer.Effect{Probe{Database: "orders", Server: "s1"}}))
	tr.tick(DefaultOptions().SilenceLimit - 500*time.Millisecond - DefaultOptions().ProbeInterval)
	g.Expect(tr.take()).To(Equal([]reducer.Effect{AskWitnesses{Database: "orders", Server: "s1", VMs: []string{"b", "c"}}}))
}

// A VM that cannot reach the primary, while others can, must not replace it; and
// one whom no witness answers may be cut off itself.
func TestNothingIsDoneWithoutWitnesses(t *testing.T) {
	for name, answer := range map[string]WitnessesAsked{
		"reached":   {Database: "orders", Server: "s1", Answered: 2, Reached: 1},
		"no answer": {Database: "orders", Server: "s1"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			tr := newTrace()
			tr.tick(time.Second)
			tr.silent(time.Second)
			tr.tick(50 * time.Millisecond)
			tr.take()
			tr.post(answer)
			g.Expect(tr.take()).To(BeEmpty())
		})
	}
}

func TestAPrimaryThatAnswersAgainIsKept(t *testing.T) {
	g := NewWithT(t)
	tr := newTrace()
	tr.tick(time.Second)
	tr.silent(time.Second)
	tr.tick(50 * time.Millisecond)
	tr.post(WitnessesAsked{Database: "orders", Server: "s1", Answered: 2})
	tr.take()
	tr.tick(300 * time.Millisecond)
	tr.answered()
	tr.take()
	tr.post(Elected{Database: "orders", Server: "s3"})
	for _, e := range tr.take() {
		g.Expect(e).NotTo(BeAssignableToTypeOf(Claim{}))
	}
}

func TestALeavingPrimaryHandsOver(t *testing.T) {
	g := NewWithT(t)
	tr := newTrace()
	tr.tick(time.Second)
	tr.take()
	tr.group(func(grp *topology.Group) { grp.Servers[0].State = topology.ServerLeaving })
	g.Expect(tr.take()).To(Equal([]reducer.Effect{Elect{Database: "orders", HandOver: "s1", Candidates: []string{"s2", "s3"}}}))
}

func TestAGroupWithoutPrimaryGetsOneAfterAWhile(t *testing.T) {
	g := NewWithT(t)
	tr := newTrace()
	tr.tick(time.Second)
	tr.take()
	tr.group(func(grp *topology.Group) { grp.Primary = "" })
	tr.tick(DefaultOptions().AbsenceLimit - 100*time.Millisecond)
	g.Expect(tr.take()).To(BeEmpty())
	tr.tick(200 * time.Millisecond)
	g.Expect(tr.take()).To(Equal([]reducer.Effect{Elect{Database: "orders", Candidates: []string{"s1", "s2", "s3"}}}))
}

// synchronous makes the group acknowledge a commit once one replica has it.
func (t *trace) synchronous() {
	next := *t.snapshot
	next.Catalogue = catalogue.New([]catalogue.Entry{{Name: "orders", Database: "shop", Kind: "orders", Group: "orders", SyncReplicas: 1}})
	t.snapshot = &next
	t.publish()
}

// With one synchronous replica an acknowledged commit may be on any one of the
// replicas, a leaving one included: all must answer before one is promoted.
func TestEveryReplicaIsAskedWhereCommitsWaitForOne(t *testing.T) {
	g := NewWithT(t)
	tr := newTrace()
	tr.synchronous()
	tr.group(func(grp *topology.Group) { grp.Primary, grp.Servers[2].State = "", topology.ServerLeaving })
	tr.tick(time.Minute)
	tr.tick(DefaultOptions().AbsenceLimit)
	g.Expect(tr.take()).To(Equal([]reducer.Effect{Elect{
		Database: "orders", Candidates: []string{"s1", "s2"}, Reserve: []string{"s3"}, Required: 3,
	}}))
	tr.post(Elected{Database: "orders"})
	tr.tick(DefaultOptions().Retry)
	g.Expect(tr.take()).To(ContainElement(BeAssignableToTypeOf(Elect{})), "it is tried again")
}

// A primary and a replica stop together. Once the replica's registration ends, the
// other replica is the only one in sight, but it may lack a commit that only the two
// had: the replica is waited for, within bounds.
func TestAReplicaThatEndedWithItsPrimaryIsWaitedFor(t *testing.T) {
	g := NewWithT(t)
	lost := func() *trace {
		tr := newTrace()
		tr.synchronous()
		tr.tick(time.Second)
		tr.silent(5 * time.Second)
		tr.group(func(grp *topology.Group) { grp.Servers = grp.Servers[:2] })
		return tr
	}
	elections := func(tr *trace) []reducer.Effect {
		tr.post(WitnessesAsked{Database: "orders", Server: "s1", Answered: 2})
		tr.tick(DefaultOptions().Retry)
		tr.post(WitnessesAsked{Database: "orders", Server: "s1", Answered: 2})
		var all []reducer.Effect
		for _, e := range tr.take() {
			if _, elect := e.(Elect); elect {
				all = append(all, e)
			}
		}
		return all
	}
	tr := lost()
	g.Expect(elections(tr)).To(BeEmpty())
	tr.group(func(grp *topology.Group) { grp.Servers = append(grp.Servers, server("s3", topology.ServerActive)) })
	g.Expect(elections(tr)).To(ContainElement(Elect{Database: "orders", Candidates: []string{"s2", "s3"}, Required: 2}))
	tr = lost()
	tr.tick(DefaultOptions().ReturnLimit)
	tr.silent(time.Minute)
	tr.tick(time.Second)
	g.Expect(elections(tr)).To(ContainElement(Elect{Database: "orders", Candidates: []string{"s2"}, Required: 1}))
	// A replica that ended before the primary fell silent has nothing of its own.
	tr = newTrace()
	tr.synchronous()
	tr.group(func(grp *topology.Group) { grp.Servers = grp.Servers[:2] })
	tr.tick(10 * time.Second)
	tr.silent(5 * time.Second)
	tr.tick(time.Second)
	g.Expect(elections(tr)).To(ContainElement(Elect{Database: "orders", Candidates: []string{"s2"}, Required: 1}))
}

func TestARefusedReplicaIsMissedWhereCommitsWaitForOne(t *testing.T) {
	g := NewWithT(t)
	tr := newTrace()
	tr.synchronous()
	tr.group(func(grp *topology.Group) { grp.Servers[0].State = topology.ServerLeaving })
	tr.take()
	tr.post(Elected{Database: "orders", Server: "s3"})
	tr.post(Claimed{Database: "orders", Token: 5})
	call := Call{Database: "orders", Server: "s3", Holder: "a", Token: 5}
	tr.post(Promoted{Call: call, Err: &RefusedError{Call: call}})
	tr.take()
	tr.tick(DefaultOptions().Retry)
	for _, e := range tr.take() {
		g.Expect(e).NotTo(BeAssignableToTypeOf(Elect{}), "s2 alone may lack a commit that s3 has")
	}
}

// A refused call names another server next time, with a token of its own.
func TestARefusedServerIsPassedOver(t *testing.T) {
	g := NewWithT(t)
	tr := newTrace()
	tr.group(func(grp *topology.Group) { grp.Servers[0].State = topology.ServerLeaving })
	tr.take()
	tr.post(Elected{Database: "orders", Server: "s3"})
	tr.post(Claimed{Database: "orders", Token: 5})
	call := Call{Database: "orders", Server: "s3", Holder: "a", Token: 5}
	tr.take()
	tr.post(Promoted{Call: call, Err: &RefusedError{Call: call}})
	tr.tick(time.Second)
	g.Expect(tr.take()).To(ContainElement(Elect{Database: "orders", HandOver: "s1", Candidates: []string{"s2"}}))
}

func TestOnlyTheHomeOfThePrimaryActs(t *testing.T) {
	g := NewWithT(t)
	tr := newTrace()
	tr.snapshot.Homes = map[string]string{"s1": "b", "s2": "a", "s3": "c"}
	tr.take()
	tr.group(func(grp *topology.Group) { grp.Servers[0].State = topology.ServerLeaving })
	tr.tick(time.Minute)
	g.Expect(tr.take()).To(BeEmpty())
}

// Whatever the answers and their order: one step is outstanding at a time, every
// promotion follows a claim with a token, and a leaving or refused server is not
// promoted.
func TestStepsFollowEachOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := newTrace()
		var token uint64
		outstanding := map[string]bool{}
		handle := func() {
			for _, e := range tr.take() {
				name := e.EffectName()
				if outstanding[name] {
					t.Fatalf("%s is outstanding twice", name)
				}
				outstanding[name] = true
				if p, ok := e.(Promote); ok {
					if p.Call.Token == 0 || p.Call.Token != token || p.Call.Holder != "a" {
						t.Fatalf("promotion without its claim: %+v, last token %d", p.Call, token)
					}
					if s, ok := tr.snapshot.Groups["orders"].Server(p.Call.Server); !ok || s.State == topology.ServerLeaving {
						t.Logf("server %s left between the election and the call", p.Call.Server)
					}
				}
			}
		}
		answer := func(effect string, e reducer.Event) {
			if outstanding[effect] {
				delete(outstanding, effect)
				tr.post(e)
			}
		}
		ids := []string{"s1", "s2", "s3"}
		for step := range rapid.IntRange(1, 120).Draw(t, "steps") {
			id := rapid.SampledFrom(ids).Draw(t, "server")
			switch rapid.IntRange(0, 8).Draw(t, "event") {
			case 0, 1:
				tr.tick(time.Duration(rapid.IntRange(10, 900).Draw(t, "ms")) * time.Millisecond)
			case 2:
				answer("probe_primary", Probed{Database: "orders", Server: id, Silence: time.Duration(rapid.IntRange(0, 2000).Draw(t, "silence")) * time.Millisecond})
			case 3:
				answer("ask_witnesses", WitnessesAsked{Database: "orders", Server: id, Answered: rapid.IntRange(0, 2).Draw(t, "answered"), Reached: rapid.IntRange(0, 1).Draw(t, "reached")})
			case 4:
				answer("elect", Elected{Database: "orders", Server: rapid.SampledFrom([]string{"", "s2", "s3"}).Draw(t, "candidate")})
			case 5:
				token = uint64(step) * uint64(rapid.IntRange(0, 1).Draw(t, "claimed"))
				answer("claim_duty", Claimed{Database: "orders", Token: token})
			case 6:
				call := Call{Database: "orders", Server: id, Holder: "a", Token: token}
				var err error
				switch rapid.IntRange(0, 2).Draw(t, "call") {
				case 1:
					err = &RefusedError{Call: call}
				case 2:
					err = fmt.Errorf("no answer")
				}
				answer("promote", Promoted{Call: call, Err: err})
			case 7:
				tr.group(func(g *topology.Group) { g.Primary = rapid.SampledFrom([]string{"", "s1", "s2"}).Draw(t, "primary") })
			case 8:
				tr.group(func(g *topology.Group) {
					g.Servers[0].State = rapid.SampledFrom([]topology.ServerState{topology.ServerActive, topology.ServerLeaving}).Draw(t, "state")
				})
			}
			handle()
		}
	})
}
