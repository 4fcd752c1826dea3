package workload

import (
	"strings"

	"egretroad/internal/e2e/history"
	"egretroad/internal/standin/pgserver"
)

// Audit checks the operations of the callers against the statements and commits
// that the servers of the group recorded, and returns all violations. Recording must
// have been on since before the workload started, all callers must have finished, and
// replication must have caught up. The atomicity check leaves out transactions of
// other runs, whose tags start with another name.
func (w *Workload) Audit(g *pgserver.Group) []history.Violation {
	ops := w.Operations()
	commits, transactions := convertCommits(g, history.TagPrefix+w.options.Name)
	index := history.NewCommitIndex(commits)
	violations := w.Violations()
	violations = append(violations, history.CheckReadPayloads(ops)...)
	violations = append(violations, history.CheckWrites(ops, index)...)
	violations = append(violations, history.CheckReadYourWrites(ops, index)...)
	violations = append(violations, history.CheckInterleaving(convertStatements(g))...)
	violations = append(violations, history.CheckSentOnce(convertStatements(g))...)
	return append(violations, history.CheckAtomicity(transactions, w.RowsPerTag())...)
}

// convertCommits returns the rows written by all commits of the group, and the
// transactions with a key that contains the tag prefix.
func convertCommits(g *pgserver.Group, tagPrefix string) ([]history.Commit, []history.Transaction) {
	var commits []history.Commit
	var transactions []history.Transaction
	for _, c := range g.AllCommits() {
		t := history.Transaction{Database: g.Database()}
		matchesTag := false
		for _, change := range c.Changes {
			t.Keys = append(t.Keys, change.Key)
			matchesTag = matchesTag || strings.Contains(change.Key, tagPrefix)
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
		if matchesTag {
			transactions = append(transactions, t)
		}
	}
	return commits, transactions
}

func convertStatements(g *pgserver.Group) []history.Statement {
	var all []history.Statement
	for _, e := range g.History() {
		all = append(all, history.Statement{Server: e.Server, Conn: e.Conn, SQL: e.SQL, Args: e.Args})
	}
	return all
}
