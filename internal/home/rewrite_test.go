package home

import (
	"fmt"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"egretroad/internal/catalogue"
	"egretroad/internal/pool"
	"egretroad/internal/rapidseed"
	"egretroad/internal/topology"
	"egretroad/internal/txn"
)

func TestMain(m *testing.M) { rapidseed.Main(m) }

// serverModel is a simple server: it answers messages and ignores them after an
// error up to a Sync. Statements named bad cannot be parsed.
type serverModel struct {
	prepared map[string]bool
	skipping bool
	parsed   int
}

func (s *serverModel) answer(t *rapid.T, messages []byte) string {
	types := ""
	for len(messages) > 0 {
		m, rest, err := cutMessage(messages)
		if err != nil {
			t.Fatalf("cut message sent to the server: %v", err)
		}
		messages = rest
		if s.skipping && m[0] != 'S' {
			continue
		}
		types += s.one(m)
	}
	return types
}

func (s *serverModel) one(m []byte) string {
	name := cString(m[messageHeaderBytes:])
	switch m[0] {
	case 'P':
		if name == "bad" || s.prepared[name] && name != "" {
			s.skipping = true
			return "E"
		}
		s.prepared[name] = true
		s.parsed++
		return "1"
	case 'B':
		statement := cString(m[messageHeaderBytes+1:])
		if !s.prepared[statement] {
			s.skipping = true
			return "E"
		}
		return "2"
	case 'C':
		delete(s.prepared, cString(m[messageHeaderBytes+1:]))
		return "3"
	case 'E':
		return "C"
	default:
		s.skipping = false
		return "Z"
	}
}

// deliver plays the home's part: it turns the server's answers into the caller's.
func deliver(t *rapid.T, types string, answers []expected, statements *pool.Statements) string {
	x := &exchange{expected: answers, l: &lane{}, conn: &pool.Conn{Statements: statements}}
	for i := 0; ; i++ {
		x.emitSynthetic()
		if len(x.expected) == 0 {
			if i != len(types) {
				t.Fatalf("answers %q left over at %d", types, i)
			}
			return (&collector{messages: x.answer.buffer}).types()
		}
		if i == len(types) {
			t.Fatalf("%d answers did not come; got %q", len(x.expected), types)
		}
		body := []byte{types[i], 0, 0, 0, 4}
		switch types[i] {
		case 'Z':
			body = []byte{'Z', 0, 0, 0, 5, 'I'}
		case 'C':
			body = []byte{'C', 0, 0, 0, 6, 'X', 0}
		case 'E':
			body = []byte{'E', 0, 0, 0, 5, 0}
		}
		if err := x.take(types[i], body); err != nil {
			t.Fatalf("%c: %v", types[i], err)
		}
	}
}

// TestRewrittenBatchesAnswerAlike compares a session whose batches run on any of
// several connections, with few statements each, with a session that has a
// connection of its own.
func TestRewrittenBatchesAnswerAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const connections, limit = 2, 3
		var servers [connections]*serverModel
		var caches [connections]*pool.Statements
		for i := range servers {
			servers[i], caches[i] = &serverModel{prepared: map[string]bool{}}, pool.NewStatements(limit)
		}
		oracle := &serverModel{prepared: map[string]bool{}}
		known := map[string]bool{} // prepared by an earlier batch of the session
		for range rapid.IntRange(1, 12).Draw(t, "batches") {
			b, plain, prepared := drawBatch(t, known)
			at := rapid.IntRange(0, connections-1).Draw(t, "connection")
			out, answers, err := rewriteBatch(nil, b, caches[at], false)
			if err != nil {
				t.Fatal(err)
			}
			got := deliver(t, servers[at].answer(t, out), answers, caches[at])
			want := oracle.answer(t, plain)
			if got+"Z" != want {
				t.Fatalf("caller got %q, a connection of its own gives %q", got, want)
			}
			for _, name := range prepared {
				known[name] = name != "" && oracle.prepared[name]
			}
			if len(servers[at].prepared) > limit+len(b.Statements)+len(prepared)+1 {
				t.Fatalf("%d statements on one connection", len(servers[at].prepared))
			}
		}
	})
}

// drawBatch draws a pipeline that ends with Sync. plain is what the session would
// send on a connection of its own. The gateway sends the unnamed statement only
// together with its Parse.
func drawBatch(t *rapid.T, known map[string]bool) (b txn.Batch, plain []byte, prepared []string) {
	here := map[string]bool{}
	for range rapid.IntRange(0, 5).Draw(t, "messages") {
		name := rapid.SampledFrom([]string{"", "a", "b", "c", "d", "e", "bad"}).Draw(t, "name")
		switch {
		case rapid.Bool().Draw(t, "parse") || !known[name] && !here[name]:
			if name != "" && (known[name] || here[name]) {
				continue
			}
			parse := encode(&pgproto3.Parse{Name: name, Query: "q" + name})
			b.Messages = append(b.Messages, parse...)
			plain = append(plain, parse...)
			here[name] = true
			prepared = append(prepared, name)
		default:
			run := encode(&pgproto3.Bind{PreparedStatement: name}, &pgproto3.Execute{})
			b.Messages = append(b.Messages, run...)
			plain = append(plain, run...)
			if name != "" && known[name] {
				b.Statements = append(b.Statements, txn.Statement{Name: name, SQL: "q" + name})
			}
		}
	}
	end := encode(&pgproto3.Sync{})
	b.Messages = append(b.Messages, end...)
	return b, append(plain, end...), prepared
}

// TestRewriteTakesAnyBytes feeds nonsense: errors are typed and nothing panics.
func TestRewriteTakesAnyBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := txn.Batch{Messages: rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(t, "bytes")}
		_, _, _ = rewriteBatch(nil, b, pool.NewStatements(2), rapid.Bool().Draw(t, "skipping"))
		_ = isSingleStatement(b)
		_ = hasCopyEnd(b.Messages)
	})
}

func TestLimitsAreSplitWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total, count := rapid.IntRange(0, 100).Draw(t, "total"), rapid.IntRange(1, 9).Draw(t, "servers")
		g := &topology.Group{Database: "db", Primary: "s0"}
		for i := range count {
			g.Servers = append(g.Servers, topology.Server{ID: fmt.Sprint("s", i)})
		}
		sum := 0
		for _, s := range g.Servers {
			ec := entryConfig(catalogue.Entry{Access: catalogue.AccessRead, MaxConcurrent: total, RatePerSecond: 9}, view{group: g, spec: s})
			sum += ec.MaxConcurrent
			if s.ID == g.Primary && ec.MaxConcurrent > total/count {
				t.Fatalf("the remainder went to the primary")
			}
		}
		if sum != total {
			t.Fatalf("parts of %d add up to %d", total, sum)
		}
	})
}

func TestSettingsAreQuoted(t *testing.T) {
	g := NewWithT(t)
	plan := planSettings(txn.Request{Access: catalogue.AccessWrite, Settings: []txn.Setting{
		{Name: "search_path", Value: `a, "b c"`}, {Name: "application_name", Value: "it's; DROP"},
	}})
	g.Expect(plan.sql).To(Equal(`RESET ALL; SET application_name = 'it''s; DROP'; SET search_path = "a", "b c"`))
	g.Expect(plan.own).To(BeFalse())
}

func TestOnlyPlainStatementsAreWrapped(t *testing.T) {
	g := NewWithT(t)
	for sql, want := range map[string]bool{
		"INSERT INTO t VALUES (1);": true, " update t set a = 1": true, "DELETE FROM t": true,
		"SELECT f()": false, "BEGIN": false, "INSERT INTO t VALUES (1); COMMIT": false, "VACUUM": false, "": false,
	} {
		g.Expect(isSingleStatement(query(sql, true))).To(Equal(want), sql)
	}
}
