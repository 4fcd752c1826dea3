package routing_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"egretroad/internal/catalogue"
	"egretroad/internal/outcome"
	"egretroad/internal/rapidseed"
	"egretroad/internal/routing"
	"egretroad/internal/topology"
)

func TestMain(m *testing.M) { rapidseed.Main(m) }

var self = topology.VM{ID: "vm1", DataCentre: "dc-a", Region: "r1"}

func group() *topology.Group {
	server := func(id, dc, region string) topology.Server {
		return topology.Server{ID: id, DataCentre: dc, Region: region, State: topology.ServerActive}
	}
	return &topology.Group{Database: "orders1", Term: 3, Primary: "far", Servers: []topology.Server{
		server("far", "dc-c", "r2"), server("near", "dc-b", "r1"), server("own", "dc-a", "r1"),
	}}
}

func read(mark uint64, markTime time.Duration) routing.Request {
	return routing.Request{Access: catalogue.AccessRead, Mark: topology.Mark{Database: "orders1", Term: 3, Position: mark}, MarkTime: markTime}
}

func status(server string, lag time.Duration, position uint64) topology.ServerStatus {
	return topology.ServerStatus{Server: server, Term: 3, Role: topology.RoleReplica, Lag: lag, Position: position, Reachable: true}
}

func TestChoose(t *testing.T) {
	const now = time.Hour
	cases := []struct {
		name  string
		setup func(*routing.Table, *topology.Group, *routing.Request)
		want  string
	}{
		{"the nearest server when no status is known", func(*routing.Table, *topology.Group, *routing.Request) {}, "own"},
		{"a write goes to the primary", func(_ *routing.Table, _ *topology.Group, r *routing.Request) { r.Access = catalogue.AccessWrite }, "far"},
		{"a replica that covers the mark is preferred to a nearer one that must catch up", func(table *routing.Table, _ *topology.Group, _ *routing.Request) {
			table.Learn(status("own", 200*time.Millisecond, 50), now)
			table.Learn(status("near", 200*time.Millisecond, 100), now)
		}, "near"},
		{"the primary when every replica needs longer to cover the mark", func(table *routing.Table, _ *topology.Group, _ *routing.Request) {
			table.Learn(status("own", 1900*time.Millisecond, 50), now)
			table.Learn(status("near", 1900*time.Millisecond, 50), now)
		}, "far"},
		{"a lagging replica serves a read that accepts its staleness", func(table *routing.Table, _ *topology.Group, r *routing.Request) {
			table.Learn(status("own", 1900*time.Millisecond, 50), now)
			r.MaxAge = 5 * time.Second
		}, "own"},
		{"a replica outside the rotation is skipped", func(table *routing.Table, _ *topology.Group, _ *routing.Request) {
			table.Learn(status("own", 10*time.Second, 500), now)
		}, "near"},
		{"a leaving replica gets no new reads", func(_ *routing.Table, g *topology.Group, _ *routing.Request) {
			g.Servers[2].State = topology.ServerLeaving
		}, "near"},
		{"a replica that refused is excluded for this request", func(_ *routing.Table, _ *topology.Group, r *routing.Request) {
			r.Excluded = []string{"own", "near"}
		}, "far"},
		{"an unreachable replica is avoided", func(table *routing.Table, _ *topology.Group, _ *routing.Request) {
			table.Refused("own", outcome.ReasonHomeLost, now)
		}, "near"},
		{"replicas serve reads while there is no primary", func(_ *routing.Table, g *topology.Group, _ *routing.Request) {
			g.Primary, g.Promotion = "", &topology.Promotion{From: "far"}
		}, "own"},
		{"no server for a write while there is no primary", func(_ *routing.Table, g *topology.Group, r *routing.Request) {
			g.Primary, g.Promotion = "", &topology.Promotion{From: "far"}
			r.Access = catalogue.AccessWrite
		}, ""},
		{"a lagging replica serves when it is the only one left", func(table *routing.Table, g *topology.Group, _ *routing.Request) {
			g.Primary, g.Promotion = "", &topology.Promotion{From: "far"}
			g.Servers[1].State = topology.ServerLeaving
			table.Learn(status("own", 10*time.Second, 500), now)
		}, "own"},
	}
	for _, c := range cases {
		g := NewWithT(t)
		table, grp, r := routing.NewTable(routing.DefaultOptions()), group(), read(100, now)
		c.setup(table, grp, &r)
		d, err := table.Choose(grp, self, r, now)
		if c.want == "" {
			var notRun *outcome.NotRunError
			g.Expect(err).To(BeAssignableToTypeOf(notRun), c.name)
			continue
		}
		g.Expect(err).NotTo(HaveOccurred(), c.name)
		g.Expect(d.Server.ID).To(Equal(c.want), c.name)
		g.Expect(d.Primary).To(Equal(c.want == grp.Primary), c.name)
	}
}

func TestLostMarks(t *testing.T) {
	g := NewWithT(t)
	grp := group()
	grp.TermStarts = []topology.TermStart{{Term: 2, Position: 50}, {Term: 3, Position: 80}}
	lost := func(term, position uint64) bool {
		return routing.Lost(grp, topology.Mark{Database: "orders1", Term: term, Position: position})
	}
	g.Expect(lost(1, 50)).To(BeFalse())
	g.Expect(lost(1, 51)).To(BeTrue())
	g.Expect(lost(2, 80)).To(BeFalse())
	g.Expect(lost(2, 81)).To(BeTrue())
	g.Expect(lost(3, 1000)).To(BeFalse())
}

// TestRotationMatchesHistory compares the incremental rotation state with one computed from the
// full history of lags.
func TestRotationMatchesHistory(t *testing.T) {
	o := routing.DefaultOptions()
	rapid.Check(t, func(t *rapid.T) {
		table := routing.NewTable(o)
		type sample struct{ at, lag time.Duration }
		var history []sample
		now := time.Hour
		wantOut := func() bool {
			lastExceeded := -1
			for i, s := range history {
				if s.lag > o.LeaveLag {
					lastExceeded = i
				}
			}
			if lastExceeded < 0 {
				return false
			}
			for i := lastExceeded + 1; i < len(history); i++ {
				for j := i; j < len(history) && history[j].lag <= o.ReturnLag; j++ {
					if history[j].at-history[i].at >= o.ReturnHold {
						return false
					}
				}
			}
			return true
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 1500).Draw(t, "pause")) * time.Millisecond
			lag := time.Duration(rapid.SampledFrom([]int{0, 100, 500, 501, 1500, 2000, 2001, 9000}).Draw(t, "lag")) * time.Millisecond
			history = append(history, sample{now, lag})
			table.Learn(status("own", lag, 1), now)
			if got := table.Servers()["own"].Out; got != wantOut() {
				t.Fatalf("Out = %v after %v", got, history)
			}
		}
	})
}

// TestDecisionInvariants generates group states, answers and refusals, and checks the
// invariants of every decision.
func TestDecisionInvariants(t *testing.T) {
	o := routing.DefaultOptions()
	rapid.Check(t, func(t *rapid.T) {
		table, grp, now := routing.NewTable(o), group(), time.Hour
		ids := []string{"far", "near", "own"}
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond
			id := rapid.SampledFrom(ids).Draw(t, "server")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				table.Learn(status(id, time.Duration(rapid.IntRange(0, 12_000).Draw(t, "lag"))*time.Millisecond, rapid.Uint64Range(0, 200).Draw(t, "position")), now)
			case 1:
				table.Refused(id, rapid.SampledFrom([]outcome.Reason{outcome.ReasonBehind, outcome.ReasonHomeLost, outcome.ReasonQueueFull}).Draw(t, "reason"), now)
			case 2:
				i := rapid.IntRange(0, 2).Draw(t, "index")
				grp.Servers[i].State = rapid.SampledFrom([]topology.ServerState{topology.ServerActive, topology.ServerJoining, topology.ServerLeaving}).Draw(t, "state")
			case 3:
				grp.Primary, grp.Promotion = id, nil
				if rapid.Bool().Draw(t, "promoting") {
					grp.Primary, grp.Promotion = "", &topology.Promotion{From: id}
				}
			}
			r := read(rapid.Uint64Range(0, 200).Draw(t, "mark"), now-time.Duration(rapid.IntRange(0, 3000).Draw(t, "age"))*time.Millisecond)
			r.Access = rapid.SampledFrom([]catalogue.Access{catalogue.AccessRead, catalogue.AccessWrite}).Draw(t, "access")
			r.Excluded = rapid.SliceOfDistinct(rapid.SampledFrom(ids), rapid.ID[string]).Draw(t, "excluded")
			serverLeft := routing.Left(grp, r)
			d, err := table.Choose(grp, self, r, now)
			if (err == nil) != serverLeft {
				t.Fatalf("decision %v, error %v, but a server is left: %v", d, err, serverLeft)
			}
			if err == nil {
				checkDecision(t, o, grp, r, d)
			}
		}
	})
}

func checkDecision(t *rapid.T, o routing.Options, grp *topology.Group, r routing.Request, d routing.Decision) {
	for _, x := range r.Excluded {
		if x == d.Server.ID {
			t.Fatalf("chose excluded server %s", x)
		}
	}
	if d.Primary != (d.Server.ID == grp.Primary && grp.Promotion == nil) {
		t.Fatalf("server %s, primary %v", d.Server.ID, d.Primary)
	}
	if r.Access == catalogue.AccessWrite && !d.Primary {
		t.Fatalf("write sent to replica %s", d.Server.ID)
	}
	if d.Server.State == topology.ServerLeaving && !d.Primary {
		t.Fatalf("leaving replica %s was chosen", d.Server.ID)
	}
	if d.MarkWait > o.MaxMarkWait {
		t.Fatalf("mark wait of %v exceeds the limit", d.MarkWait)
	}
}

func TestJoiningServerRampsUp(t *testing.T) {
	o := routing.DefaultOptions()
	rapid.Check(t, func(t *rapid.T) {
		table, grp := routing.NewTable(o), group()
		grp.Servers[2].State = topology.ServerJoining
		start := time.Hour
		now, taken, offered := start, 0, 0
		for now < start+o.JoinRampUp {
			d, err := table.Choose(grp, self, read(0, now), now)
			if err != nil {
				t.Fatal(err)
			}
			offered++
			if d.Server.ID == "own" {
				taken++
			}
			share := float64(now-start) / float64(o.JoinRampUp)
			if float64(taken) > share*float64(offered)+1 {
				t.Fatalf("joining server took %d of %d reads after %v", taken, offered, now-start)
			}
			now += time.Duration(rapid.IntRange(1, 400).Draw(t, "pause")) * time.Millisecond
		}
		d, err := table.Choose(grp, self, read(0, now), now)
		if err != nil || d.Server.ID != "own" {
			t.Fatalf("joining server does not take all reads after %v: %v, %v", now-start, d, err)
		}
	})
}

func TestStepAfterRefusal(t *testing.T) {
	g := NewWithT(t)
	g.Expect(routing.After(catalogue.AccessRead, outcome.ReasonBehind, true)).To(Equal(routing.TryOther))
	g.Expect(routing.After(catalogue.AccessRead, outcome.ReasonBehind, false)).To(Equal(routing.WaitAndRetry))
	g.Expect(routing.After(catalogue.AccessRead, outcome.ReasonQueueFull, true)).To(Equal(routing.TryOther))
	g.Expect(routing.After(catalogue.AccessWrite, outcome.ReasonQueueFull, true)).To(Equal(routing.ReturnError))
	g.Expect(routing.After(catalogue.AccessWrite, outcome.ReasonReplaced, false)).To(Equal(routing.WaitAndRetry))
	g.Expect(routing.After(catalogue.AccessRead, outcome.ReasonConnect, true)).To(Equal(routing.TryOther))
	for _, final := range []outcome.Reason{outcome.ReasonDeadline, outcome.ReasonRateLimit, outcome.ReasonCancelled, outcome.ReasonMarkLost} {
		g.Expect(routing.After(catalogue.AccessRead, final, true)).To(Equal(routing.ReturnError), string(final))
	}
}
