package pgserver_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"egretroad/internal/rapidseed"
)

// TestMain runs the property-based tests with a fixed seed unless a flag sets another.
func TestMain(m *testing.M) {
	rapidseed.MainWith(m, map[string]string{"rapid.seed": "1"})
}

// tableModel is the reference model of kv as one session sees it: the committed rows and
// at most one open transaction.
type tableModel struct {
	committedRows map[string]string
	txnRows       map[string]string // rows as the open transaction sees them; nil without one
	txnFailed     bool
}

// visibleRows returns the rows that the next statement sees.
func (m *tableModel) visibleRows() map[string]string {
	if m.txnRows != nil {
		return m.txnRows
	}
	return m.committedRows
}

// recordError marks an open transaction as aborted and returns the expected SQLSTATE.
func (m *tableModel) recordError(code string) string {
	m.txnFailed = m.txnRows != nil
	return code
}

// Property-based test: random statements of one session must return the results that the
// model predicts, and every server of the group must end with the model's committed rows.
func TestSessionMatchesModel(t *testing.T) {
	group, _ := newGroup(t, nil)
	primary := group.Primary()
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		c, err := pgx.Connect(context.Background(), connURL(primary))
		g.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = c.Close(context.Background()) }()
		model := &tableModel{committedRows: primary.Data()}
		key := rapid.SampledFrom([]string{"a", "b", "c"})
		text := rapid.StringMatching(`[a-z']{0,4}`)
		run := func(sql string, args ...any) string { return sqlState(exec(c, sql, args...)) }
		// Inside an aborted transaction every statement but its end returns 25P02.
		inFailedTxn := func() bool { return model.txnRows != nil && model.txnFailed }
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				if model.txnRows != nil {
					t.Skip("a transaction is already open")
				}
				g.Expect(run("BEGIN")).To(BeEmpty())
				model.txnRows = maps.Clone(model.committedRows)
			},
			"commit": func(t *rapid.T) {
				g.Expect(run("COMMIT")).To(BeEmpty())
				if model.txnRows != nil && !model.txnFailed {
					model.committedRows = model.txnRows
				}
				model.txnRows, model.txnFailed = nil, false
			},
			"rollback": func(t *rapid.T) {
				g.Expect(run("ROLLBACK")).To(BeEmpty())
				model.txnRows, model.txnFailed = nil, false
			},
			"insert": func(t *rapid.T) {
				k, v := key.Draw(t, "key"), text.Draw(t, "value")
				want := ""
				if _, exists := model.visibleRows()[k]; inFailedTxn() {
					want = "25P02"
				} else if exists {
					want = model.recordError("23505")
				} else {
					model.visibleRows()[k] = v
				}
				g.Expect(run("INSERT INTO kv (key, value) VALUES ($1, $2)", k, v)).To(Equal(want))
			},
			"update": func(t *rapid.T) {
				k, v := key.Draw(t, "key"), text.Draw(t, "value")
				want := ""
				if _, exists := model.visibleRows()[k]; inFailedTxn() {
					want = "25P02"
				} else if exists {
					model.visibleRows()[k] = v
				}
				g.Expect(run("UPDATE kv SET value = $1 WHERE key = $2", v, k)).To(Equal(want))
			},
			"delete": func(t *rapid.T) {
				k := key.Draw(t, "key")
				want := "25P02"
				if !inFailedTxn() {
					want = ""
					delete(model.visibleRows(), k)
				}
				g.Expect(run("DELETE FROM kv WHERE key = $1", k)).To(Equal(want))
			},
			"bad": func(t *rapid.T) {
				if inFailedTxn() {
					t.Skip("every statement fails in an aborted transaction")
				}
				g.Expect(run("DROP TABLE kv")).To(Equal(model.recordError("42601")))
			},
			"list": func(t *rapid.T) {
				rows, err := c.Query(context.Background(), "SELECT key, value FROM kv ORDER BY key")
				var got []string
				for err == nil && rows.Next() {
					var k, v string
					g.Expect(rows.Scan(&k, &v)).To(Succeed())
					got = append(got, k+"="+v)
				}
				if err == nil {
					err = rows.Err()
				}
				if inFailedTxn() {
					g.Expect(sqlState(err)).To(Equal("25P02"))
					return
				}
				g.Expect(err).NotTo(HaveOccurred())
				var want []string
				for _, k := range slices.Sorted(maps.Keys(model.visibleRows())) {
					want = append(want, fmt.Sprintf("%s=%s", k, model.visibleRows()[k]))
				}
				g.Expect(got).To(Equal(want))
			},
		})
		for _, s := range group.Servers() {
			g.Eventually(s.Data, waitTimeout).Should(Equal(model.committedRows))
		}
	})
}
