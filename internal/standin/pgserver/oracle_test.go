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

// TestMain fixes the seed of the stateful tests unless one is given.
func TestMain(m *testing.M) {
	rapidseed.MainWith(m, map[string]string{"rapid.seed": "1"})
}

// oracle is a table with one open transaction, as simple as can be.
type oracle struct {
	rows   map[string]string
	txn    map[string]string // rows as the transaction sees them; nil outside
	failed bool
}

// visible returns the rows that the next statement sees.
func (o *oracle) visible() map[string]string {
	if o.txn != nil {
		return o.txn
	}
	return o.rows
}

// fail applies an error to the transaction.
func (o *oracle) fail(code string) string {
	o.failed = o.txn != nil
	return code
}

// Statements of one session must answer as the oracle does, and what it has
// committed must be what every server of the group ends with.
func TestSessionAgainstOracle(t *testing.T) {
	group, _ := newGroup(t, nil)
	primary := group.Primary()
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		c, err := pgx.Connect(context.Background(), url(primary))
		g.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = c.Close(context.Background()) }()
		o := &oracle{rows: primary.Data()}
		key := rapid.SampledFrom([]string{"a", "b", "c"})
		text := rapid.StringMatching(`[a-z']{0,4}`)
		run := func(sql string, args ...any) string { return code(exec(c, sql, args...)) }
		// open returns the state that a statement meets, or the error of an
		// aborted transaction.
		blocked := func() bool { return o.txn != nil && o.failed }
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				if o.txn != nil {
					t.Skip("open")
				}
				g.Expect(run("BEGIN")).To(BeEmpty())
				o.txn = maps.Clone(o.rows)
			},
			"commit": func(t *rapid.T) {
				g.Expect(run("COMMIT")).To(BeEmpty())
				if o.txn != nil && !o.failed {
					o.rows = o.txn
				}
				o.txn, o.failed = nil, false
			},
			"rollback": func(t *rapid.T) {
				g.Expect(run("ROLLBACK")).To(BeEmpty())
				o.txn, o.failed = nil, false
			},
			"insert": func(t *rapid.T) {
				k, v := key.Draw(t, "key"), text.Draw(t, "value")
				want := ""
				if _, exists := o.visible()[k]; blocked() {
					want = "25P02"
				} else if exists {
					want = o.fail("23505")
				} else {
					o.visible()[k] = v
				}
				g.Expect(run("INSERT INTO kv (key, value) VALUES ($1, $2)", k, v)).To(Equal(want))
			},
			"update": func(t *rapid.T) {
				k, v := key.Draw(t, "key"), text.Draw(t, "value")
				want := ""
				if _, exists := o.visible()[k]; blocked() {
					want = "25P02"
				} else if exists {
					o.visible()[k] = v
				}
				g.Expect(run("UPDATE kv SET value = $1 WHERE key = $2", v, k)).To(Equal(want))
			},
			"delete": func(t *rapid.T) {
				k := key.Draw(t, "key")
				want := "25P02"
				if !blocked() {
					want = ""
					delete(o.visible(), k)
				}
				g.Expect(run("DELETE FROM kv WHERE key = $1", k)).To(Equal(want))
			},
			"bad": func(t *rapid.T) {
				if blocked() {
					t.Skip("any statement fails")
				}
				g.Expect(run("DROP TABLE kv")).To(Equal(o.fail("42601")))
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
				if blocked() {
					g.Expect(code(err)).To(Equal("25P02"))
					return
				}
				g.Expect(err).NotTo(HaveOccurred())
				var want []string
				for _, k := range slices.Sorted(maps.Keys(o.visible())) {
					want = append(want, fmt.Sprintf("%s=%s", k, o.visible()[k]))
				}
				g.Expect(got).To(Equal(want))
			},
		})
		for _, s := range group.Servers() {
			g.Eventually(s.Data, patience).Should(Equal(o.rows))
		}
	})
}
