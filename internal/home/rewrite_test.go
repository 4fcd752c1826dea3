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

// serverModel is a simple model of a server: it responds to messages, and after an
// error ignores them up to a Sync. Parsing a statement named "bad" fails.
type serverModel struct {
	prepared map[string]bool
	skipping bool
	parsed   int
}

func (s *serverModel) respondAll(t *rapid.T, messages []byte) string {
	types := ""
	for len(messages) > 0 {
		m, rest, err := splitMessage(messages)
		if err != nil {
			t.Fatalf("malformed message sent to the server: %v", err)
		}
		messages = rest
		if s.skipping && m[0] != 'S' {
			continue
		}
		types += s.respond(m)
	}
	return types
}

func (s *serverModel) respond(m []byte) string {
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

// deliverResponses does the home's work on responses: it turns the types of the
// server's messages into those of the messages delivered to the caller.
func deliverResponses(t *rapid.T, types string, responses []expectedResponse, statements *pool.Statements) string {
	x := &exchange{expected: responses, lane: &lane{}, conn: &pool.Conn{Statements: statements}}
	for i := 0; ; i++ {
		x.addSyntheticResponses()
		if len(x.expected) == 0 {
			if i != len(types) {
				t.Fatalf("server messages %q: those from %d on were not expected", types, i)
			}
			return (&collector{messages: x.response.buffer}).types()
		}
		if i == len(types) {
			t.Fatalf("%d responses are missing; got %q", len(x.expected), types)
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
		if err := x.handleMessage(types[i], body); err != nil {
			t.Fatalf("%c: %v", types[i], err)
		}
	}
}

// TestRewrittenBatchesMatchDedicatedConnection is a property-based test: a session
// whose batches run on any of several connections, each with few prepared statements,
// gets the same responses as a session with a dedicated connection.
func TestRewrittenBatchesMatchDedicatedConnection(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const connections, limit = 2, 3
		var servers [connections]*serverModel
		var caches [connections]*pool.Statements
		for i := range servers {
			servers[i], caches[i] = &serverModel{prepared: map[string]bool{}}, pool.NewStatements(limit)
		}
		oracle := &serverModel{prepared: map[string]bool{}}
		preparedBefore := map[string]bool{} // prepared by an earlier batch of the session
		for range rapid.IntRange(1, 12).Draw(t, "batches") {
			b, unrewritten, prepared := drawBatch(t, preparedBefore)
			conn := rapid.IntRange(0, connections-1).Draw(t, "connection")
			out, responses, err := rewriteBatch(nil, b, caches[conn], false)
			if err != nil {
				t.Fatal(err)
			}
			got := deliverResponses(t, servers[conn].respondAll(t, out), responses, caches[conn])
			want := oracle.respondAll(t, unrewritten)
			if got+"Z" != want {
				t.Fatalf("caller got %q, a dedicated connection gives %q", got, want)
			}
			for _, name := range prepared {
				preparedBefore[name] = name != "" && oracle.prepared[name]
			}
			if len(servers[conn].prepared) > limit+len(b.Statements)+len(prepared)+1 {
				t.Fatalf("%d prepared statements on one connection", len(servers[conn].prepared))
			}
		}
	})
}

// drawBatch draws a pipeline that ends with Sync. unrewritten holds the messages that
// the session would send on a dedicated connection. As in the gateway, a batch uses the
// unnamed statement only together with its Parse.
func drawBatch(t *rapid.T, preparedBefore map[string]bool) (b txn.Batch, unrewritten []byte, prepared []string) {
	preparedInBatch := map[string]bool{}
	for range rapid.IntRange(0, 5).Draw(t, "messages") {
		name := rapid.SampledFrom([]string{"", "a", "b", "c", "d", "e", "bad"}).Draw(t, "name")
		switch {
		case rapid.Bool().Draw(t, "parse") || !preparedBefore[name] && !preparedInBatch[name]:
			if name != "" && (preparedBefore[name] || preparedInBatch[name]) {
				continue
			}
			parse := encode(&pgproto3.Parse{Name: name, Query: "q" + name})
			b.Messages = append(b.Messages, parse...)
			unrewritten = append(unrewritten, parse...)
			preparedInBatch[name] = true
			prepared = append(prepared, name)
		default:
			execute := encode(&pgproto3.Bind{PreparedStatement: name}, &pgproto3.Execute{})
			b.Messages = append(b.Messages, execute...)
			unrewritten = append(unrewritten, execute...)
			if name != "" && preparedBefore[name] {
				b.Statements = append(b.Statements, txn.Statement{Name: name, SQL: "q" + name})
			}
		}
	}
	sync := encode(&pgproto3.Sync{})
	b.Messages = append(b.Messages, sync...)
	return b, append(unrewritten, sync...), prepared
}

// TestRewriteAcceptsArbitraryBytes checks that arbitrary bytes do not cause a panic.
func TestRewriteAcceptsArbitraryBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := txn.Batch{Messages: rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(t, "bytes")}
		_, _, _ = rewriteBatch(nil, b, pool.NewStatements(2), rapid.Bool().Draw(t, "skipping"))
		_ = isSingleStatement(b)
		_ = hasCopyEnd(b.Messages)
	})
}

func TestSplitLimitsSumToTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total, count := rapid.IntRange(0, 100).Draw(t, "total"), rapid.IntRange(1, 9).Draw(t, "servers")
		g := &topology.Group{Database: "db", Primary: "s0"}
		for i := range count {
			g.Servers = append(g.Servers, topology.Server{ID: fmt.Sprint("s", i)})
		}
		sum := 0
		for _, s := range g.Servers {
			ec := entryConfig(catalogue.Entry{Access: catalogue.AccessRead, MaxConcurrent: total, RatePerSecond: 9}, serverView{group: g, spec: s})
			sum += ec.MaxConcurrent
			if s.ID == g.Primary && ec.MaxConcurrent > total/count {
				t.Fatalf("the primary got part of the remainder")
			}
		}
		if sum != total {
			t.Fatalf("shares of limit %d add up to %d", total, sum)
		}
	})
}

func TestSettingsAreQuoted(t *testing.T) {
	g := NewWithT(t)
	plan := planSettings(txn.Request{Access: catalogue.AccessWrite, Settings: []txn.Setting{
		{Name: "search_path", Value: `a, "b c"`}, {Name: "application_name", Value: "it's; DROP"},
	}})
	g.Expect(plan.sql).To(Equal(`RESET ALL; SET application_name = 'it''s; DROP'; SET search_path = "a", "b c"`))
	g.Expect(plan.proxyOnly).To(BeFalse())
}

func TestOnlyDataModificationIsWrapped(t *testing.T) {
	g := NewWithT(t)
	for sql, want := range map[string]bool{
		"INSERT INTO t VALUES (1);": true, " update t set a = 1": true, "DELETE FROM t": true,
		"SELECT f()": false, "BEGIN": false, "INSERT INTO t VALUES (1); COMMIT": false, "VACUUM": false, "": false,
	} {
		g.Expect(isSingleStatement(query(sql, true))).To(Equal(want), sql)
	}
}
