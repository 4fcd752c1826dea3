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

func TestCheckReadYourWrites(t *testing.T) {
	index := history.NewCommitIndex([]history.Commit{
		committed("k", "a", true), committed("k", "b", true), committed("k", "u", true), committed("k", "d", false),
	})
	a := write("k", "a", history.OK, 1, 2)
	b := write("k", "b", history.OK, 5, 6)
	unknown := write("k", "u", history.Unknown, 3, 4)
	dropped := write("k", "d", history.Unknown, 3, 4)
	neverCommitted := write("k", "n", history.Unknown, 3, 4)
	for name, c := range map[string]struct {
		ops  []history.Operation
		want []history.Rule
	}{
		"reads the latest write":                     {[]history.Operation{a, b, read("k", "b", 7, 8)}, nil},
		"reads an earlier write":                     {[]history.Operation{a, b, read("k", "a", 7, 8)}, []history.Rule{history.RuleReadYourWrites}},
		"reads no row":                               {[]history.Operation{a, read("k", "", 3, 4)}, []history.Rule{history.RuleReadYourWrites}},
		"read overlaps the write":                    {[]history.Operation{a, b, read("k", "a", 3, 6)}, nil},
		"unknown write takes effect late":            {[]history.Operation{a, unknown, read("k", "a", 5, 6), read("k", "u", 7, 8)}, nil},
		"older value is read after an unknown write": {[]history.Operation{a, unknown, read("k", "u", 5, 6), read("k", "a", 7, 8)}, []history.Rule{history.RuleReadYourWrites}},
		"dropped write is read and disappears": {
			[]history.Operation{a, dropped, read("k", "d", 5, 6), read("k", "a", 7, 8)}, nil,
		},
		"write that was never committed is read": {[]history.Operation{a, neverCommitted, read("k", "n", 5, 6)}, []history.Rule{history.RuleReadYourWrites}},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(rules(history.CheckReadYourWrites(c.ops, index))).To(ConsistOf(c.want))
		})
	}
}

// A write without a response may take effect at any later time, which multiplies the
// possible orders. The check must decide a key with many such writes as fast as a key
// without them.
func TestReadYourWritesWithManyUnansweredWrites(t *testing.T) {
	const n = 24
	var ops []history.Operation
	var commits []history.Commit
	for i := range n {
		dropped, surviving := fmt.Sprintf("lost-%d", i), fmt.Sprintf("kept-%d", i)
		ops = append(ops, write("k", dropped, history.Unknown, 1, 2), write("k", surviving, history.Unknown, 1, 2),
			read("k", surviving, time.Duration(10+4*i), time.Duration(11+4*i)), read("k", dropped, time.Duration(12+4*i), time.Duration(13+4*i)))
		commits = append(commits, committed("k", dropped, false), committed("k", surviving, true), committed("k", "unread-"+surviving, true))
		ops = append(ops, write("k", "unread-"+surviving, history.Unknown, 1, 2))
	}
	index := history.NewCommitIndex(commits)
	g := NewWithT(t)
	g.Expect(history.CheckReadYourWrites(ops, index)).To(BeEmpty())
	stale := append(ops, read("k", "kept-0", 1000, 1001))
	g.Expect(rules(history.CheckReadYourWrites(stale, index))).To(ConsistOf(history.RuleReadYourWrites))
	early := append(ops, write("k", "late", history.Unknown, 1002, 1003), read("k", "late", 1000, 1001))
	index = history.NewCommitIndex(append(commits, committed("k", "late", false)))
	g.Expect(rules(history.CheckReadYourWrites(early, index))).To(ConsistOf(history.RuleReadYourWrites))
}

func TestCheckWrites(t *testing.T) {
	index := history.NewCommitIndex([]history.Commit{
		committed("once", "v", true), committed("twice", "v", true), committed("twice", "v", true), committed("lost", "v", false),
	})
	for name, c := range map[string]struct {
		op   history.Operation
		want []history.Rule
	}{
		"acknowledged and surviving":         {write("once", "v", history.OK, 1, 2), nil},
		"committed twice":                    {write("twice", "v", history.OK, 1, 2), []history.Rule{history.RuleAtMostOnce}},
		"acknowledged and lost":              {write("lost", "v", history.OK, 1, 2), []history.Rule{history.RuleNoLostWrite}},
		"acknowledged but not committed":     {write("none", "v", history.OK, 1, 2), []history.Rule{history.RuleNoLostWrite}},
		"reported as not run, but committed": {write("once", "v", history.NotRun, 1, 2), []history.Rule{history.RuleNotRun}},
		"reported as failed, but committed":  {write("once", "v", history.Failed, 1, 2), []history.Rule{history.RuleNotRun}},
		"reported as not run, not committed": {write("none", "v", history.NotRun, 1, 2), nil},
		"unknown and lost":                   {write("lost", "v", history.Unknown, 1, 2), nil},
	} {
		t.Run(name, func(t *testing.T) {
			found := history.CheckWrites([]history.Operation{c.op}, index)
			NewWithT(t).Expect(rules(found)).To(ConsistOf(c.want))
		})
	}
	duplicate := write("none", "v", history.Failed, 1, 2)
	duplicate.Code = "23505"
	found := history.CheckWrites([]history.Operation{duplicate}, index)
	NewWithT(t).Expect(rules(found)).To(ConsistOf(history.RuleAtMostOnce))
}

func TestCheckInterleavingAndAtomicity(t *testing.T) {
	g := NewWithT(t)
	statement := func(conn uint32, sql string) history.Statement {
		return history.Statement{Server: "s", Conn: conn, SQL: sql}
	}
	clean := []history.Statement{
		statement(1, "BEGIN"), statement(2, "BEGIN"), statement(1, "INSERT "+history.Tag("x")), statement(2, "INSERT "+history.Tag("y")),
		statement(1, "UPDATE "+history.Tag("x")), statement(1, "COMMIT"), statement(1, "INSERT "+history.Tag("z")), statement(2, "ROLLBACK"),
	}
	g.Expect(history.CheckInterleaving(clean)).To(BeEmpty())
	mixed := []history.Statement{statement(1, "BEGIN"), statement(1, "INSERT "+history.Tag("x")), statement(1, "INSERT "+history.Tag("y"))}
	g.Expect(rules(history.CheckInterleaving(mixed))).To(ConsistOf(history.RuleNoInterleaving))
	nested := []history.Statement{statement(1, "BEGIN"), statement(1, "INSERT "+history.Tag("x")), statement(1, "BEGIN")}
	g.Expect(rules(history.CheckInterleaving(nested))).To(ConsistOf(history.RuleNoInterleaving))
	x1, x2, y := history.Tag("x")+"1", history.Tag("x")+"2", history.Tag("y")+"1"
	rows := map[string]int{"x": 2, "y": 1}
	checkAtomicity := func(keys ...string) []history.Violation {
		return history.CheckAtomicity([]history.Transaction{{Keys: keys}}, rows)
	}
	g.Expect(checkAtomicity(x1, x2)).To(BeEmpty())
	g.Expect(checkAtomicity(x1)).NotTo(BeEmpty())
	g.Expect(checkAtomicity(x1, x2, y)).NotTo(BeEmpty())
}

func TestCheckSentOnce(t *testing.T) {
	g := NewWithT(t)
	statement := func(server, sql string, args ...string) history.Statement {
		return history.Statement{Server: server, SQL: sql, Args: args}
	}
	clean := []history.Statement{statement("a", "INSERT x", "1"), statement("a", "INSERT x", "2"), statement("a", "SELECT x", "1"), statement("b", "SELECT x", "1")}
	g.Expect(history.CheckSentOnce(clean)).To(BeEmpty())
	repeated := append(clean, statement("b", "INSERT x", "1"))
	g.Expect(rules(history.CheckSentOnce(repeated))).To(ConsistOf(history.RuleSentOnce))
}

func TestCheckPayloadAndListResponse(t *testing.T) {
	g := NewWithT(t)
	value := history.Payload("k", "1", 100)
	g.Expect(history.CheckPayload("k", value)).To(BeEmpty())
	g.Expect(history.CheckPayload("other", value)).NotTo(BeEmpty())
	g.Expect(history.CheckPayload("k", value[:50])).NotTo(BeEmpty())
	a := history.Row{Key: "a", Value: history.Payload("a", "1", 10)}
	b := history.Row{Key: "b", Value: history.Payload("b", "1", 10)}
	g.Expect(history.CheckListResponse([]history.Row{a, b}, 2, []string{"a", "b"})).To(BeEmpty())
	g.Expect(history.CheckListResponse([]history.Row{a}, 2, nil)).NotTo(BeEmpty())
	g.Expect(history.CheckListResponse([]history.Row{a}, 1, []string{"b"})).NotTo(BeEmpty())
	g.Expect(history.CheckListResponse([]history.Row{b, a}, 2, nil)).NotTo(BeEmpty())
}
