package workload

import (
	"strings"

	"egretroad/internal/e2e/history"
	"egretroad/internal/standin/pgserver"
)

// Audit checks what the callers saw against what the group's servers recorded.
// The group must have been recording since before the workload, all callers
// must have ended, and replication must have caught up. Transactions of other
// runs, whose tags have other names, are left out.
func (w *Workload) Audit(g *pgserver.Group) []history.Violation {
	ops := w.Operations()
	commits, transactions := account(g, history.TagMark+w.options.Name)
	ledger := history.NewLedger(commits)
	found := w.Violations()
	found = append(found, history.CheckReads(ops)...)
	found = append(found, history.CheckWrites(ops, ledger)...)
	found = append(found, history.CheckReadYourWrites(ops, ledger)...)
	found = append(found, history.CheckMixing(statements(g))...)
	found = append(found, history.CheckSentOnce(statements(g))...)
	return append(found, history.CheckWholeTransactions(transactions, w.Rows())...)
}

// account converts the group's commits and keeps the transactions with the tag.
func account(g *pgserver.Group, tag string) ([]history.Commit, []history.Transaction) {
	var commits []history.Commit
	var transactions []history.Transaction
	for _, c := range g.AllCommits() {
		t := history.Transaction{Database: g.Database()}
		ours := false
		for _, change := range c.Changes {
			t.Keys = append(t.Keys, change.Key)
			ours = ours || strings.Contains(change.Key, tag)
			if change.Value == nil {
				continue
			}
			commits = append(commits, history.Commit{
				Database:  g.Database(),
				Key:       change.Key,
				Value:     *change.Value,
				Surviving: c.Surviving,
			})
		}
		if ours {
			transactions = append(transactions, t)
		}
	}
	return commits, transactions
}

func statements(g *pgserver.Group) []history.Statement {
	var all []history.Statement
	for _, e := range g.History() {
		all = append(all, history.Statement{Server: e.Server, Conn: e.Conn, SQL: e.SQL, Args: e.Args})
	}
	return all
}
