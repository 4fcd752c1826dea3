package gateway

import (
	"fmt"
	"maps"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"egretroad/internal/outcome"
	"egretroad/internal/rapidseed"
	"egretroad/internal/txn"
)

func TestMain(m *testing.M) { rapidseed.Main(m) }

// sessionModel is a reference model of one session for property-based tests.
type sessionModel struct {
	txStatus      byte
	rows          map[string]string
	rowsAtBegin   map[string]string // rows at BEGIN
	work          string
	workAtBegin   string
	hasLane       bool // the transaction is open on a server
	loseNextBatch bool // the next batch sent to a server fails
}

// expectedResponse applies a statement to the model and returns the response
// without the transaction status.
func (m *sessionModel) expectedResponse(st step) []string {
	if m.txStatus == txFailed && st.kind != "commit" && st.kind != "rollback" && st.kind != "empty" {
		if m.hasLane && m.loseNextBatch && st.runsOnServer() {
			m.loseNextBatch, m.hasLane = false, false
			return []string{outcome.CodeNotRun}
		}
		return []string{"25P02"}
	}
	switch st.kind {
	case "empty":
		return nil
	case "begin":
		if m.txStatus == txIdle {
			m.txStatus, m.hasLane = txOpen, false
			m.rowsAtBegin, m.workAtBegin = maps.Clone(m.rows), m.work
		}
		return []string{"BEGIN"}
	case "commit":
		return m.endTransaction(m.txStatus != txFailed)
	case "rollback":
		return m.endTransaction(false)
	case "work":
		m.work = st.value
		return []string{"SET"}
	case "nonsense":
		return m.fail("22023")
	case "show":
		return []string{m.work, "SHOW"}
	case "copy":
		return m.fail("0A000")
	}
	return m.responseFromServer(st)
}

func (m *sessionModel) endTransaction(commit bool) []string {
	lost := m.hasLane && m.loseNextBatch
	if lost {
		m.loseNextBatch = false
	}
	m.hasLane = false
	switch {
	case m.txStatus == txIdle && commit:
		return []string{"COMMIT"}
	case m.txStatus == txIdle:
		return []string{"ROLLBACK"}
	case lost && commit:
		m.txStatus = txFailed
		return []string{outcome.CodeNotRun}
	case !commit:
		m.rows, m.work, m.txStatus = m.rowsAtBegin, m.workAtBegin, txIdle
		return []string{"ROLLBACK"}
	}
	m.txStatus = txIdle
	return []string{"COMMIT"}
}

func (m *sessionModel) responseFromServer(st step) []string {
	if m.loseNextBatch {
		m.loseNextBatch = false
		if m.hasLane {
			return m.fail(outcome.CodeNotRun)
		}
		// Nothing of the transaction has run yet, so the gateway retries it.
	}
	response, failed := m.execute(st)
	m.hasLane = m.txStatus != txIdle
	if failed && m.txStatus == txOpen {
		m.txStatus = txFailed
	}
	return response
}

func (m *sessionModel) execute(st step) (response []string, failed bool) {
	switch st.kind {
	case "insert":
		if _, exists := m.rows[st.key]; exists {
			return []string{"23505"}, true
		}
		m.rows[st.key] = st.value
		return []string{"INSERT 0 1"}, false
	case "select":
		if v, ok := m.rows[st.key]; ok {
			return []string{v, "SELECT 1"}, false
		}
		return []string{"SELECT 0"}, false
	}
	return []string{"42601"}, true
}

// fail models an error after which the transaction is not open on a server.
func (m *sessionModel) fail(code string) []string {
	m.hasLane = false
	if m.txStatus == txOpen {
		m.txStatus = txFailed
	}
	return []string{code}
}

// step is one statement that the caller sends.
type step struct{ kind, key, value string }

func (st step) runsOnServer() bool {
	return st.kind == "insert" || st.kind == "select" || st.kind == "bogus"
}

func (st step) sql() string {
	switch st.kind {
	case "empty":
		return " -- nothing"
	case "begin", "commit", "rollback":
		return st.kind
	case "work":
		return "SET egretroad.work = '" + st.value + "'"
	case "nonsense":
		return "SET egretroad.work TO nonsense"
	case "show":
		return "SHOW egretroad.work"
	case "copy":
		return "COPY kv TO STDOUT"
	case "insert":
		return fmt.Sprintf("INSERT INTO kv (key, value) VALUES ('%s', '%s')", st.key, st.value)
	case "select":
		return "SELECT value FROM kv WHERE key = '" + st.key + "'"
	}
	return "bogus"
}

var stepKinds = []string{"empty", "begin", "begin", "commit", "rollback", "work", "nonsense", "show", "copy", "insert", "insert", "select", "bogus"}

func drawStep(t *rapid.T) step {
	st := step{kind: rapid.SampledFrom(stepKinds).Draw(t, "kind")}
	switch st.kind {
	case "work":
		st.value = rapid.SampledFrom([]string{"orders", "quick"}).Draw(t, "work")
	case "insert", "select":
		st.key = rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
		st.value = "v" + st.key
	}
	return st
}

// extended runs a statement by the extended query protocol.
func (c *rawCaller) extended(sql, name string) []string {
	c.frontend.Send(&pgproto3.Parse{Name: name, Query: sql})
	c.frontend.Send(&pgproto3.Bind{PreparedStatement: name})
	c.frontend.Send(&pgproto3.Execute{})
	if name != "" {
		c.frontend.Send(&pgproto3.Close{ObjectType: 'S', Name: name})
	}
	c.frontend.Send(&pgproto3.Sync{})
	c.f.Expect(c.frontend.Flush()).To(Succeed())
	return c.untilReady()
}

// TestSessionsMatchModel runs random statements by both query protocols, with
// random connection failures, and compares every response with the model.
func TestSessionsMatchModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFixtureWithoutListener(t)
		caller, served := socketPair(f)
		defer caller.Close()
		go f.gateway.serveConn(served)
		c := &rawCaller{f: f, conn: caller, frontend: pgproto3.NewFrontend(caller, caller)}
		_, err := caller.Write(shopStartup)
		f.Expect(err).NotTo(HaveOccurred())
		c.untilReady()
		model := &sessionModel{txStatus: txIdle, rows: map[string]string{}, work: "orders"}
		for range rapid.IntRange(1, 25).Draw(rt, "steps") {
			st := drawStep(rt)
			if rapid.IntRange(0, 9).Draw(rt, "break") == 0 {
				f.home.loseNextBatch(model)
			}
			protocol := rapid.SampledFrom([]string{"simple", "unnamed", "named"}).Draw(rt, "protocol")
			var got []string
			switch protocol {
			case "simple":
				got = c.query(st.sql())
			case "unnamed":
				got = c.extended(st.sql(), "")
			default:
				got = c.extended(st.sql(), "s1")
			}
			want := append(model.expectedResponse(st), string(model.txStatus))
			if fmt.Sprint(got) != fmt.Sprint(want) {
				rt.Fatalf("%s by %s: got %v, want %v", st.sql(), protocol, got, want)
			}
		}
	})
}

// loseNextBatch makes the next batch sent to a server fail before it runs.
func (h *fakeHome) loseNextBatch(model *sessionModel) {
	model.loseNextBatch = true
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runError = func(txn.Request, txn.Batch) error {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.runError = nil
		return &outcome.NotRunError{Reason: outcome.ReasonConnLost, Detail: "cut"}
	}
}
