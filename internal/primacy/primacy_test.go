package primacy_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"egretroad/internal/primacy"
	"egretroad/internal/topology"
)

// newLedger returns the ledger of VM a, which is listed.
func newLedger(startedAt time.Duration) *primacy.Ledger {
	l := primacy.NewLedger("a", startedAt)
	l.ConfirmList([]string{"a"}, 1)
	return l
}

func designate(server string, token uint64) map[string]topology.Designation {
	return map[string]topology.Designation{"orders": {Server: server, Holder: "a", Token: token}}
}

func TestNothingIsPermittedWithoutEvidence(t *testing.T) {
	g := NewWithT(t)
	l := newLedger(0)
	g.Expect(l.Check("orders", "s1", 0)).To(BeAssignableToTypeOf(&primacy.ExpiredError{}))
	l.ConfirmPartial(time.Second)
	g.Expect(l.Check("orders", "s1", time.Second)).To(HaveOccurred(), "partial evidence only extends full evidence")
	l.ConfirmFull(time.Second)
	g.Expect(l.Check("orders", "s1", time.Second)).To(Succeed())
}

func TestEvidenceExpires(t *testing.T) {
	g := NewWithT(t)
	l := newLedger(0)
	l.ConfirmFull(time.Minute)
	g.Expect(l.Check("orders", "s1", time.Minute+primacy.Validity-1)).To(Succeed())
	g.Expect(l.Check("orders", "s1", time.Minute+primacy.Validity)).To(MatchError(&primacy.ExpiredError{Age: primacy.Validity}))
	l.ConfirmFull(time.Second)
	g.Expect(l.ValidUntil()).To(Equal(time.Minute+primacy.Validity), "older evidence changes nothing")
}

func TestPartialEvidenceIsBoundedByFullEvidence(t *testing.T) {
	g := NewWithT(t)
	l := newLedger(0)
	l.ConfirmList([]string{"a"}, time.Minute)
	l.ConfirmFull(time.Minute)
	l.ConfirmPartial(time.Minute + 2*time.Second)
	g.Expect(l.ValidUntil()).To(Equal(time.Minute + 2*time.Second + primacy.Validity))
	l.ConfirmPartial(time.Minute + primacy.MinorityWait)
	g.Expect(l.ValidUntil()).To(Equal(time.Minute + primacy.MinorityWait))
}

// The newest designation counts, whatever the order in which they arrive. Late or
// malformed evidence never widens a permission.
func TestNewestDesignationCounts(t *testing.T) {
	g := NewWithT(t)
	l := newLedger(0)
	l.ConfirmFull(0)
	g.Expect(l.Merge(designate("s2", 5))).To(HaveLen(1))
	g.Expect(l.Merge(designate("s1", 4))).To(BeEmpty())
	g.Expect(l.Check("orders", "s1", 0)).To(BeAssignableToTypeOf(&primacy.SupersededError{}))
	g.Expect(l.Check("orders", "s2", 0)).To(Succeed())
	validUntil := l.ValidUntil()
	l.Adopt(primacy.Evidence{Designations: designate("s3", 3)}, time.Hour)
	l.Adopt(primacy.Evidence{HasFull: true, FullAge: -time.Hour}, time.Hour)
	g.Expect(l.Designation("orders").Server).To(Equal("s2"))
	g.Expect(l.ValidUntil()).To(Equal(validUntil))
}

// Records of earlier versions name no server: any registered primary may be used.
func TestDesignationWithoutServerPermitsRegisteredPrimary(t *testing.T) {
	g := NewWithT(t)
	l := newLedger(0)
	l.Merge(designate("", 5))
	l.ConfirmFull(0)
	g.Expect(l.Check("orders", "s1", 0)).To(Succeed())
}

func TestEvidenceOfAnotherVMKeepsItsAge(t *testing.T) {
	g := NewWithT(t)
	a, b := newLedger(0), newLedger(0)
	a.Merge(designate("s2", 5))
	a.ConfirmFull(10 * time.Second)
	e := a.Evidence(10*time.Second+300*time.Millisecond, b.Known())
	b.Adopt(e, time.Hour)
	g.Expect(b.ValidUntil()).To(Equal(time.Hour - 300*time.Millisecond + primacy.Validity))
	g.Expect(b.Designation("orders").Server).To(Equal("s2"))
}

func TestCoverageAndPromotionWait(t *testing.T) {
	listed := []string{"a", "b", "c", "d"}
	for name, c := range map[string]struct {
		vms      []string
		coverage primacy.Coverage
		wait     time.Duration
	}{
		"all":             {[]string{"a", "b", "c", "d"}, primacy.CoverageFull, 0},
		"more than half":  {[]string{"a", "b", "c"}, primacy.CoveragePartial, primacy.RevocationWait},
		"half":            {[]string{"a", "b"}, primacy.CoveragePartial, primacy.RevocationWait + primacy.MinorityWait},
		"less than half":  {[]string{"a"}, primacy.CoverageNone, primacy.RevocationWait + primacy.MinorityWait},
		"with a stranger": {[]string{"a", "x", "y"}, primacy.CoverageNone, primacy.RevocationWait + primacy.MinorityWait},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			set := map[string]bool{}
			for _, vm := range c.vms {
				set[vm] = true
			}
			g.Expect(primacy.Cover(listed, nil, set, set)).To(Equal(c.coverage))
			g.Expect(primacy.PromotionWait(primacy.Members{Listed: listed, Known: true}, set)).To(Equal(c.wait))
		})
	}
	g := NewWithT(t)
	g.Expect(primacy.Cover(nil, nil, map[string]bool{"a": true}, map[string]bool{"a": true})).To(Equal(primacy.CoverageNone), "an unknown list proves nothing")
	g.Expect(primacy.PromotionWait(primacy.Members{Known: true}, map[string]bool{"a": true})).To(BeNumerically(">", primacy.MinorityWait))
}

// A VM that was cut off before others joined counts half of the list that it knows.
func TestVMsThatJoinedOrLeftDoNotShortenPromotionWait(t *testing.T) {
	set := func(ids ...string) map[string]bool {
		m := map[string]bool{}
		for _, id := range ids {
			m[id] = true
		}
		return m
	}
	long := primacy.RevocationWait + primacy.MinorityWait
	for name, c := range map[string]struct {
		members primacy.Members
		acked   map[string]bool
		wait    time.Duration
	}{
		"one joined, half of the others acknowledged": {
			primacy.Members{Listed: []string{"a", "b", "c", "d", "x"}, Changed: set("x"), Known: true}, set("a", "b", "x"), long,
		},
		"one joined, most of the others acknowledged": {
			primacy.Members{Listed: []string{"a", "b", "c", "x"}, Changed: set("x"), Known: true}, set("a", "b", "x"), primacy.RevocationWait,
		},
		"one left, the others acknowledged": {
			primacy.Members{Listed: []string{"a", "b"}, Changed: set("x"), Known: true}, set("a", "b"), primacy.RevocationWait,
		},
		"as many left as acknowledged": {
			primacy.Members{Listed: []string{"a", "b"}, Changed: set("x", "y"), Known: true}, set("a", "b"), long,
		},
		"changes unknown": {
			primacy.Members{Listed: []string{"a", "b", "c"}}, set("a", "b"), long,
		},
		"changes unknown, those that acknowledged are established": {
			primacy.Members{Listed: []string{"a", "b", "c"}, Established: set("a", "b")}, set("a", "b"), primacy.RevocationWait,
		},
		"changes unknown, one that acknowledged may have joined": {
			primacy.Members{Listed: []string{"a", "b", "c"}, Established: set("a")}, set("a", "b"), long,
		},
		"established by the record, but joined by the knowledge of another": {
			primacy.Members{Listed: []string{"a", "b", "c"}, Changed: set("b"), Established: set("a", "b")}, set("a", "b"), long,
		},
		"changes unknown, an established VM has left": {
			primacy.Members{Listed: []string{"a", "b", "c"}, Established: set("a", "b"), Departed: set("d")}, set("a", "b"), long,
		},
		"changes known, the entry of one that acknowledged was created again": {
			primacy.Members{Listed: []string{"a", "b", "c", "d"}, Known: true, Established: set("a", "d"), Departed: set("b")}, set("a", "b", "d"), long,
		},
		"left by the record and by the knowledge of another": {
			primacy.Members{Listed: []string{"a", "b", "c"}, Known: true, Changed: set("d"), Departed: set("d")}, set("a", "b", "c"), primacy.RevocationWait,
		},
		"all acknowledged": {
			primacy.Members{Listed: []string{"a", "x"}, Changed: set("x")}, set("a", "x"), 0,
		},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(primacy.PromotionWait(c.members, c.acked)).To(Equal(c.wait))
		})
	}
}

func TestListHistoryIsKeptForTheWindow(t *testing.T) {
	g := NewWithT(t)
	at := func(d time.Duration) time.Duration { return time.Hour + d }
	l := primacy.NewLedger("a", 0)
	g.Expect(l.ListHistory(at(0), 0).Complete).To(BeFalse(), "there is no list")
	l.ConfirmList([]string{"b", "a"}, at(0))
	l.ConfirmList([]string{"a", "c"}, at(time.Second))
	l.ConfirmList([]string{"a"}, at(time.Millisecond)) // late
	g.Expect(l.Listed()).To(Equal([]string{"a", "c"}))
	g.Expect(l.ListHistory(at(2*time.Second), 0)).To(HaveField("Changed", ConsistOf("b", "c")))
	g.Expect(l.ListHistory(at(2*time.Second), 0).Complete).To(BeFalse())
	l.ConfirmList([]string{"a", "c"}, at(primacy.ListWindow))
	g.Expect(l.ListHistory(at(primacy.ListWindow), 0).Complete).To(BeTrue())
	g.Expect(l.ListHistory(at(primacy.ListWindow+2*time.Second), 0).Changed).To(BeEmpty())
	g.Expect(l.ListHistory(at(primacy.ListWindow+primacy.ListMaxAge+1), 0).Complete).To(BeFalse(), "the list is old")

	m := l.Members(primacy.FreshList{IDs: []string{"a", "d"}}, []string{"a", "e"}, at(primacy.ListWindow))
	g.Expect(m.Listed).To(Equal([]string{"a", "d", "e"}))
	g.Expect(m.Changed).To(Equal(map[string]bool{"b": true, "c": true, "d": true, "e": true}))
	m.Include(primacy.ListHistory{Listed: []string{"f"}})
	g.Expect(m.Changed).To(And(HaveKey("a"), HaveKey("f")), "the list of another VM differs")
	g.Expect(l.Members(primacy.FreshList{}, []string{"a"}, at(primacy.ListWindow)).Listed).To(BeEmpty())
}

// A process remembers nothing of before its start. That its entry was there does not show for
// how long; the store's record does.
func TestRestartedVMCountsIfItIsEstablished(t *testing.T) {
	g := NewWithT(t)
	list := primacy.List{
		IDs: []string{"a", "b", "c"}, Registrations: map[string]string{"a": "r1", "b": "r2", "c": "r3"},
		Record: primacy.EstablishedRecord{VMs: map[string]string{"a": "r1", "b": "r2"}},
	}
	wait := func(l *primacy.Ledger, acked ...string) time.Duration {
		m := l.Members(list.Fresh(), nil, time.Hour)
		all := map[string]bool{}
		for _, id := range acked {
			all[id] = true
		}
		return primacy.PromotionWait(m, all)
	}
	l := primacy.NewLedger("a", time.Hour)
	g.Expect(wait(l, "a", "b")).To(Equal(primacy.RevocationWait))
	g.Expect(wait(l, "a", "c")).To(Equal(primacy.RevocationWait+primacy.MinorityWait), "c is not established")
	l.RecordJoin(time.Hour) // the store lost its entry
	g.Expect(wait(l, "a", "b")).To(Equal(primacy.RevocationWait + primacy.MinorityWait))
	list.Record.Epoch = 1
	g.Expect(wait(primacy.NewLedger("a", time.Hour), "a", "b")).To(Equal(primacy.RevocationWait+primacy.MinorityWait), "the record is of another epoch")
}

// A VM whose entry this process has created states so, also where others have seen it before
// and after and know of no change.
func TestVMStatesThatItHasJoined(t *testing.T) {
	g := NewWithT(t)
	l := primacy.NewLedger("a", time.Hour)
	l.ConfirmList([]string{"a", "b"}, time.Hour)
	g.Expect(l.ListHistory(time.Hour, 0).Changed).To(BeEmpty())
	l.RecordJoin(time.Hour)
	for _, after := range []time.Duration{0, primacy.ListWindow} {
		g.Expect(l.ListHistory(time.Hour+after, 0).Changed).To(ConsistOf("a"))
	}
	g.Expect(l.ListHistory(time.Hour+primacy.ListWindow+1, 0).Changed).To(BeEmpty())
}

// A VM of an earlier build does not know the mark. If its digest differed for good, each of
// its requests would lead to a read of the store.
func TestMarkOfEndedCallsIsPassedOnWithoutChangingDigest(t *testing.T) {
	g := NewWithT(t)
	a, b := newLedger(0), newLedger(0)
	a.Merge(designate("s2", 5))
	b.Adopt(a.Evidence(0, b.Known()), 0)
	ended := designate("s2", 5)
	d := ended["orders"]
	d.CallsEnded = true
	ended["orders"] = d
	g.Expect(a.Merge(ended)).To(HaveLen(1))
	g.Expect(a.Digest()).To(Equal(b.Digest()))
	b.Adopt(a.Evidence(0, b.Known()), 0)
	g.Expect(b.Designation("orders").CallsEnded).To(BeTrue())
	g.Expect(a.Evidence(0, b.Known()).Designations).To(BeEmpty())
	g.Expect(b.Merge(designate("s2", 5))).To(BeEmpty(), "the mark stays")
	b.Merge(designate("s3", 6))
	g.Expect(b.Known().Ended).To(BeZero())
}

// The list travels with the evidence, once.
func TestListOfVMsIsPassedOnWithItsAge(t *testing.T) {
	g := NewWithT(t)
	a, b := newLedger(0), newLedger(0)
	a.ConfirmList([]string{"a", "b"}, 10*time.Second)
	a.ConfirmFull(10 * time.Second)
	b.Adopt(a.Evidence(11*time.Second, b.Known()), time.Hour)
	g.Expect(b.Listed()).To(Equal([]string{"a", "b"}))
	g.Expect(b.ListedAt()).To(Equal(time.Hour - time.Second))
	a.ConfirmList([]string{"a", "b"}, 12*time.Second)
	e := a.Evidence(12*time.Second, b.Known())
	g.Expect(e.Listed).To(BeEmpty())
	b.Adopt(e, time.Hour+time.Second)
	g.Expect(b.ListedAt()).To(Equal(time.Hour + time.Second))
}

// Partial evidence that is counted from an old list may miss VMs that have joined since.
func TestPartialEvidenceIsBoundedByListOfVMs(t *testing.T) {
	g := NewWithT(t)
	l := newLedger(0)
	l.ConfirmFull(time.Minute)
	l.ConfirmPartial(time.Minute + 9*time.Second)
	g.Expect(l.ValidUntil()).To(Equal(time.Minute+primacy.Validity), "no list is known")
	l.ConfirmList([]string{"a"}, time.Minute-primacy.ListMaxAge-5*time.Second)
	g.Expect(l.ValidUntil()).To(Equal(time.Minute + primacy.MinorityWait - 5*time.Second))
	l.ConfirmList([]string{"a"}, time.Minute-primacy.ListMaxAge)
	g.Expect(l.ValidUntil()).To(Equal(time.Minute + primacy.MinorityWait))
}

// A VM that was removed from the list still gets evidence from others, but promotions do not
// ask it.
func TestUnlistedVMMayNotUsePrimaries(t *testing.T) {
	g := NewWithT(t)
	a, other := newLedger(0), primacy.NewLedger("b", 0)
	a.ConfirmFull(time.Minute)
	g.Expect(a.Check("orders", "s1", time.Minute)).To(Succeed())
	other.ConfirmList([]string{"b"}, time.Minute)
	other.ConfirmFull(time.Minute)
	a.Adopt(other.Evidence(time.Minute, a.Known()), time.Minute)
	g.Expect(a.Check("orders", "s1", time.Minute)).To(MatchError(&primacy.UnlistedError{VM: "a"}))
	g.Expect(a.ValidUntil()).To(BeZero())
}

// A VM that joined after the list was read takes part in promotions.
func TestAnnouncedVMMustRespondForFullEvidence(t *testing.T) {
	g := NewWithT(t)
	responded := map[string]bool{"a": true, "b": true}
	g.Expect(primacy.Cover([]string{"a", "b"}, []string{"a", "b", "x"}, responded, responded)).To(Equal(primacy.CoveragePartial))
	responded["x"] = true
	g.Expect(primacy.Cover([]string{"a", "b"}, []string{"a", "b", "x"}, responded, responded)).To(Equal(primacy.CoverageFull))
}

// When all VMs respond, a minority of them may have started too recently to know anything.
func TestRestartedMinorityDoesNotEndFullEvidence(t *testing.T) {
	g := NewWithT(t)
	listed := []string{"a", "b", "c", "d"}
	all := map[string]bool{"a": true, "b": true, "c": true, "d": true}
	g.Expect(primacy.Cover(listed, nil, map[string]bool{"a": true, "b": true, "c": true}, all)).To(Equal(primacy.CoverageFull))
	g.Expect(primacy.Cover(listed, nil, map[string]bool{"a": true, "b": true}, all)).To(Equal(primacy.CoveragePartial))
}

// A VM that had acknowledged a designation restarted, got evidence from before its start
// from a VM that was cut off, and stated with it that it knew no designation: together they
// were half of the four VMs, so the replaced primary was used.
func TestRestartedVMDoesNotStateEvidenceFromBeforeItsStart(t *testing.T) {
	g := NewWithT(t)
	cutOff, restarted := newLedger(0), newLedger(5*time.Second)
	cutOff.ConfirmFull(4 * time.Second)
	restarted.Adopt(cutOff.Evidence(6*time.Second, primacy.Known{}), 6*time.Second)
	g.Expect(restarted.Evidence(6*time.Second, primacy.Known{}).HasFull).To(BeTrue())
	g.Expect(restarted.Evidence(6*time.Second, primacy.Known{}).Complete).To(BeFalse())
	cutOff.ConfirmFull(7 * time.Second)
	restarted.Adopt(cutOff.Evidence(7500*time.Millisecond, primacy.Known{}), 7600*time.Millisecond)
	g.Expect(restarted.Complete()).To(BeTrue())
}

// One VM of the fleet consults the store, one of each data centre asks that one, and the
// others ask the one of their data centre.
func TestSourcesFormTree(t *testing.T) {
	g := NewWithT(t)
	vms := map[string]topology.VM{}
	for _, id := range []string{"a1", "a2", "b1", "b2", "c1"} {
		vms[id] = topology.VM{ID: id, DataCentre: id[:1]}
	}
	none := func(string) bool { return false }
	g.Expect(primacy.Source("a1", vms, none)).To(BeEmpty())
	g.Expect(primacy.Source("a2", vms, none)).To(Equal("a1"))
	g.Expect(primacy.Source("b1", vms, none)).To(Equal("a1"))
	g.Expect(primacy.Source("b2", vms, none)).To(Equal("b1"))
	g.Expect(primacy.Source("c1", vms, none)).To(Equal("a1"))
	g.Expect(primacy.Source("b2", vms, func(vm string) bool { return vm == "b1" })).To(Equal("a1"))
	vms["a1"] = topology.VM{ID: "a1", DataCentre: "a", State: topology.VMLeaving}
	g.Expect(primacy.Source("b1", vms, none)).To(Equal("a2"))
}

// Evidence carries designations only for a VM that does not know the same ones. One that a
// VM has learned out of order does not hide an older one.
func TestEvidenceOmitsKnownDesignations(t *testing.T) {
	g := NewWithT(t)
	a, b := newLedger(0), newLedger(0)
	for database, token := range map[string]uint64{"orders": 5, "stock": 7, "grants": 9} {
		a.Merge(map[string]topology.Designation{database: {Server: database, Token: token}})
	}
	a.ConfirmFull(0)
	b.Merge(map[string]topology.Designation{"grants": {Server: "grants", Token: 9}})
	b.Adopt(a.Evidence(0, b.Known()), 0)
	g.Expect(b.Designation("orders").Token).To(Equal(uint64(5)))
	g.Expect(b.Designation("stock").Token).To(Equal(uint64(7)))
	g.Expect(b.Digest()).To(Equal(a.Digest()))
	g.Expect(a.Evidence(0, b.Known()).Designations).To(BeEmpty())
	b.Merge(map[string]topology.Designation{"stock": {Server: "other", Token: 11}})
	g.Expect(a.Evidence(0, b.Known()).Designations).To(HaveLen(3))
}

// An epoch is settled once more than half of the VMs, or all that are listed, have stated
// what they know; after a while with fewer.
func TestSettlementNeedsStatements(t *testing.T) {
	g := NewWithT(t)
	listed := []string{"a", "b", "c", "d"}
	set := func(ids ...string) map[string]bool {
		s := map[string]bool{}
		for _, id := range ids {
			s[id] = true
		}
		return s
	}
	g.Expect(primacy.MaySettle(nil, set("a"), set("a"), time.Hour)).To(BeFalse(), "the list of VMs is unknown")
	g.Expect(primacy.MaySettle(listed, set("a", "b", "c"), set("a", "b", "c"), 0)).To(BeTrue())
	g.Expect(primacy.MaySettle(listed, set("a", "b"), set("a", "b", "c"), 0)).To(BeFalse())
	g.Expect(primacy.MaySettle(listed, set("a", "b"), set("a", "b", "c"), primacy.SettleWait)).To(BeTrue())
	g.Expect(primacy.MaySettle(listed, set(), set("a", "b", "c", "d"), 0)).To(BeTrue(), "all VMs have started since")
	g.Expect(primacy.MaySettle(listed, set("a", "b"), set("a", "b"), primacy.SettleWait)).To(BeFalse())
	g.Expect(primacy.MaySettle(listed, set("x", "y", "z"), set("x", "y", "z"), primacy.SettleWait)).To(BeFalse(), "VMs outside the list count for nothing")
	g.Expect(primacy.MaySettle(listed, set(), set("a"), primacy.SettleWait+primacy.RevocationWait+primacy.MinorityWait)).To(BeTrue())
}
