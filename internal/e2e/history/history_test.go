package history_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"egretroad/internal/e2e/history"
)

func write(key, value string, outcome history.Outcome, call, end time.Duration) history.Operation {
	return history.Operation{Kind: history.Write, Key: key, Value: value, Outcome: outcome, Call: call, Return: end}
}

func read(key, value string, call, end time.Duration) history.Operation {
	return history.Operation{Kind: history.Read, Key: key, Value: value, Found: value != "", Call: call, Return: end}
}

func committed(key, value string, surviving bool) history.Commit {
	return history.Commit{Key: key, Value: value, Surviving: surviving}
}

func rules(found []history.Violation) []history.Rule {
	all := []history.Rule{}
	for _, v := range found {
		all = append(all, v.Rule)
	}
	return all
}

func TestReadYourWrites(t *testing.T) {
	ledger := history.NewLedger([]history.Commit{
		committed("k", "a", true), committed("k", "b", true), committed("k", "u", true), committed("k", "d", false),
	})
	a := write("k", "a", history.OK, 1, 2)
	b := write("k", "b", history.OK, 5, 6)
	unknown := write("k", "u", history.Unknown, 3, 4)
	dropped := write("k", "d", history.Unknown, 3, 4)
	never := write("k", "n", history.Unknown, 3, 4)
	for name, c := range map[string]struct {
		ops  []history.Operation
		want []history.Rule
	}{
		"sees the latest write":         {[]history.Operation{a, b, read("k", "b", 7, 8)}, nil},
		"sees an earlier write":         {[]history.Operation{a, b, read("k", "a", 7, 8)}, []history.Rule{history.RuleReadYourWrites}},
		"sees nothing":                  {[]history.Operation{a, read("k", "", 3, 4)}, []history.Rule{history.RuleReadYourWrites}},
		"overlaps the write":            {[]history.Operation{a, b, read("k", "a", 3, 6)}, nil},
		"unknown write lands late":      {[]history.Operation{a, unknown, read("k", "a", 5, 6), read("k", "u", 7, 8)}, nil},
		"unknown write lands and stays": {[]history.Operation{a, unknown, read("k", "u", 5, 6), read("k", "a", 7, 8)}, []history.Rule{history.RuleReadYourWrites}},
		"dropped write is seen and vanishes": {
			[]history.Operation{a, dropped, read("k", "d", 5, 6), read("k", "a", 7, 8)}, nil,
		},
		"write that never ran is seen": {[]history.Operation{a, never, read("k", "n", 5, 6)}, []history.Rule{history.RuleReadYourWrites}},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(rules(history.CheckReadYourWrites(c.ops, ledger))).To(ConsistOf(c.want))
		})
	}
}

// Writes without an answer may take their place at any later time. A key with many
// of them must be decided as fast as one without.
func TestManyUnansweredWritesAreDecided(t *testing.T) {
	const n = 24
	var ops []history.Operation
	var commits []history.Commit
	for i := range n {
		lost, kept := fmt.Sprintf("lost-%d", i), fmt.Sprintf("kept-%d", i)
		ops = append(ops, write("k", lost, history.Unknown, 1, 2), write("k", kept, history.Unknown, 1, 2),
			read("k", kept, time.Duration(10+4*i), time.Duration(11+4*i)), read("k", lost, time.Duration(12+4*i), time.Duration(13+4*i)))
		commits = append(commits, committed("k", lost, false), committed("k", kept, true), committed("k", "unread-"+kept, true))
		ops = append(ops, write("k", "unread-"+kept, history.Unknown, 1, 2))
	}
	ledger := history.NewLedger(commits)
	g := NewWithT(t)
	g.Expect(history.CheckReadYourWrites(ops, ledger)).To(BeEmpty())
	stale := append(ops, read("k", "kept-0", 1000, 1001))
	g.Expect(rules(history.CheckReadYourWrites(stale, ledger))).To(ConsistOf(history.RuleReadYourWrites))
	early := append(ops, write("k", "late", history.Unknown, 1002, 1003), read("k", "late", 1000, 1001))
	ledger = history.NewLedger(append(commits, committed("k", "late", false)))
	g.Expect(rules(history.CheckReadYourWrites(early, ledger))).To(ConsistOf(history.RuleReadYourWrites))
}

func TestWrites(t *testing.T) {
	ledger := history.NewLedger([]history.Commit{
		committed("once", "v", true), committed("twice", "v", true), committed("twice", "v", true), committed("lost", "v", false),
	})
	for name, c := range map[string]struct {
		op   history.Operation
		want []history.Rule
	}{
		"acknowledged and kept":      {write("once", "v", history.OK, 1, 2), nil},
		"committed twice":            {write("twice", "v", history.OK, 1, 2), []history.Rule{history.RuleAtMostOnce}},
		"acknowledged and lost":      {write("lost", "v", history.OK, 1, 2), []history.Rule{history.RuleNoLostWrite}},
		"acknowledged and never ran": {write("none", "v", history.OK, 1, 2), []history.Rule{history.RuleNoLostWrite}},
		"not run, but it ran":        {write("once", "v", history.NotRun, 1, 2), []history.Rule{history.RuleNotRun}},
		"failed, but it ran":         {write("once", "v", history.Failed, 1, 2), []history.Rule{history.RuleNotRun}},
		"not run":                    {write("none", "v", history.NotRun, 1, 2), nil},
		"unknown and lost":           {write("lost", "v", history.Unknown, 1, 2), nil},
	} {
		t.Run(name, func(t *testing.T) {
			found := history.CheckWrites([]history.Operation{c.op}, ledger)
			NewWithT(t).Expect(rules(found)).To(ConsistOf(c.want))
		})
	}
	duplicate := write("none", "v", history.Failed, 1, 2)
	duplicate.Code = "23505"
	found := history.CheckWrites([]history.Operation{duplicate}, ledger)
	NewWithT(t).Expect(rules(found)).To(ConsistOf(history.RuleAtMostOnce))
}

func TestMixing(t *testing.T) {
	g := NewWithT(t)
	on := func(conn uint32, sql string) history.Statement {
		return history.Statement{Server: "s", Conn: conn, SQL: sql}
	}
	clean := []history.Statement{
		on(1, "BEGIN"), on(2, "BEGIN"), on(1, "INSERT "+history.Tag("x")), on(2, "INSERT "+history.Tag("y")),
		on(1, "UPDATE "+history.Tag("x")), on(1, "COMMIT"), on(1, "INSERT "+history.Tag("z")), on(2, "ROLLBACK"),
	}
	g.Expect(history.CheckMixing(clean)).To(BeEmpty())
	mixed := []history.Statement{on(1, "BEGIN"), on(1, "INSERT "+history.Tag("x")), on(1, "INSERT "+history.Tag("y"))}
	g.Expect(rules(history.CheckMixing(mixed))).To(ConsistOf(history.RuleNoMixing))
	nested := []history.Statement{on(1, "BEGIN"), on(1, "INSERT "+history.Tag("x")), on(1, "BEGIN")}
	g.Expect(rules(history.CheckMixing(nested))).To(ConsistOf(history.RuleNoMixing))
	x1, x2, y := history.Tag("x")+"1", history.Tag("x")+"2", history.Tag("y")+"1"
	rows := map[string]int{"x": 2, "y": 1}
	whole := func(keys ...string) []history.Violation {
		return history.CheckWholeTransactions([]history.Transaction{{Keys: keys}}, rows)
	}
	g.Expect(whole(x1, x2)).To(BeEmpty())
	g.Expect(whole(x1)).NotTo(BeEmpty())
	g.Expect(whole(x1, x2, y)).NotTo(BeEmpty())
}

func TestSentOnce(t *testing.T) {
	g := NewWithT(t)
	on := func(server, sql string, args ...string) history.Statement {
		return history.Statement{Server: server, SQL: sql, Args: args}
	}
	clean := []history.Statement{on("a", "INSERT x", "1"), on("a", "INSERT x", "2"), on("a", "SELECT x", "1"), on("b", "SELECT x", "1")}
	g.Expect(history.CheckSentOnce(clean)).To(BeEmpty())
	again := append(clean, on("b", "INSERT x", "1"))
	g.Expect(rules(history.CheckSentOnce(again))).To(ConsistOf(history.RuleSentOnce))
}

func TestWholeness(t *testing.T) {
	g := NewWithT(t)
	value := history.Payload("k", "1", 100)
	g.Expect(history.CheckPayload("k", value)).To(BeEmpty())
	g.Expect(history.CheckPayload("other", value)).NotTo(BeEmpty())
	g.Expect(history.CheckPayload("k", value[:50])).NotTo(BeEmpty())
	a := history.Row{Key: "a", Value: history.Payload("a", "1", 10)}
	b := history.Row{Key: "b", Value: history.Payload("b", "1", 10)}
	g.Expect(history.CheckList([]history.Row{a, b}, 2, []string{"a", "b"})).To(BeEmpty())
	g.Expect(history.CheckList([]history.Row{a}, 2, nil)).NotTo(BeEmpty())
	g.Expect(history.CheckList([]history.Row{a}, 1, []string{"b"})).NotTo(BeEmpty())
	g.Expect(history.CheckList([]history.Row{b, a}, 2, nil)).NotTo(BeEmpty())
}
