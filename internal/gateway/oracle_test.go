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
func (o *sessionModel) expectedResponse(st step) []string {
	if o.txStatus == txFailed && st.kind != "commit" && st.kind != "rollback" && st.kind != "empty" {
		if o.hasLane && o.loseNextBatch && st.runsOnServer() {
			o.loseNextBatch, o.hasLane = false, false
			return []string{outcome.CodeNotRun}
		}
		return []string{"25P02"}
	}
	switch st.kind {
	case "empty":
		return nil
	case "begin":
		if o.txStatus == txIdle {
			o.txStatus, o.hasLane = txOpen, false
			o.rowsAtBegin, o.workAtBegin = maps.Clone(o.rows), o.work
		}
		return []string{"BEGIN"}
	case "commit":
		return o.endTransaction(o.txStatus != txFailed)
	case "rollback":
		return o.endTransaction(false)
	case "work":
		o.work = st.value
		return []string{"SET"}
	case "nonsense":
		return o.fail("22023")
	case "show":
		return []string{o.work, "SHOW"}
	case "copy":
		return o.fail("0A000")
	}
	return o.responseFromServer(st)
}

func (o *sessionModel) endTransaction(commit bool) []string {
	lost := o.hasLane && o.loseNextBatch
	if lost {
		o.loseNextBatch = false
	}
	o.hasLane = false
	switch {
	case o.txStatus == txIdle && commit:
		return []string{"COMMIT"}
	case o.txStatus == txIdle:
		return []string{"ROLLBACK"}
	case lost && commit:
		o.txStatus = txFailed
		return []string{outcome.CodeNotRun}
	case !commit:
		o.rows, o.work, o.txStatus = o.rowsAtBegin, o.workAtBegin, txIdle
		return []string{"ROLLBACK"}
	}
	o.txStatus = txIdle
	return []string{"COMMIT"}
}

func (o *sessionModel) responseFromServer(st step) []string {
	if o.loseNextBatch {
		o.loseNextBatch = false
		if o.hasLane {
			return o.fail(outcome.CodeNotRun)
		}
		// Nothing of the transaction has run yet, so the gateway retries it.
	}
	response, failed := o.execute(st)
	o.hasLane = o.txStatus != txIdle
	if failed && o.txStatus == txOpen {
		o.txStatus = txFailed
	}
	return response
}

func (o *sessionModel) execute(st step) (response []string, failed bool) {
	switch st.kind {
	case "insert":
		if _, exists := o.rows[st.key]; exists {
			return []string{"23505"}, true
		}
		o.rows[st.key] = st.value
		return []string{"INSERT 0 1"}, false
	case "select":
		if v, ok := o.rows[st.key]; ok {
			return []string{v, "SELECT 1"}, false
		}
		return []string{"SELECT 0"}, false
	}
	return []string{"42601"}, true
}

// fail models an error after which the transaction is not open on a server.
func (o *sessionModel) fail(code string) []string {
	o.hasLane = false
	if o.txStatus == txOpen {
		o.txStatus = txFailed
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
