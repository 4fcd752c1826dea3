package gateway

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	. "github.com/onsi/gomega"

	"egretroad/internal/catalogue"
	"egretroad/internal/outcome"
	"egretroad/internal/topology"
	"egretroad/internal/txn"
)

func TestKindsOfWork(t *testing.T) {
	f := newFixture(t)
	ctx := f.context()
	show := func(conn *pgx.Conn, name string) string {
		var v string
		f.Expect(conn.QueryRow(ctx, "SHOW "+name).Scan(&v)).To(Succeed())
		return v
	}
	f.Expect(show(f.connect(""), "egretroad.work")).To(Equal("orders"))
	f.Expect(show(f.connect("&egretroad.work=stock"), "egretroad.work")).To(Equal("stock"))
	f.Expect(show(f.connect("&options=-c%20egretroad.work%3Dreports"), "egretroad.work")).To(Equal("reports"))

	conn := f.connect("")
	_, err := conn.Exec(ctx, "SET egretroad.work = 'stock'")
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(show(conn, "egretroad.work")).To(Equal("stock"))
	_, err = conn.Exec(ctx, "SELECT value FROM kv WHERE key = 'a'")
	f.Expect(err).NotTo(HaveOccurred())
	lastRequest := f.home.requests()[len(f.home.requests())-1]
	f.Expect(lastRequest.Kind).To(Equal("stock"))
	f.Expect(lastRequest.Access).To(Equal(catalogue.AccessRead))
	f.Expect(lastRequest.Server).To(Equal("orders1-b"), "the replica in the VM's own data centre")
	f.Expect(lastRequest.Mark.Position).To(BeEquivalentTo(100), "the primary's position when the session started")
	f.Expect(show(conn, "egretroad.server")).To(Equal("orders1-b"))

	_, err = conn.Exec(ctx, "SET egretroad.work = 'nonsense'")
	f.Expect(sqlstate(err)).To(Equal("22023"))
	f.Expect(err.Error()).To(ContainSubstring("known kinds: orders, quick, reports, stock"))
	f.Expect(show(conn, "egretroad.work")).To(Equal("stock"))
	_, err = pgx.Connect(ctx, f.dsn("&egretroad.work=nonsense"))
	f.Expect(sqlstate(err)).To(Equal("22023"))
	_, err = conn.Exec(ctx, "SET egretroad.colour = 'red'")
	f.Expect(sqlstate(err)).To(Equal("42704"))

	_, err = conn.Exec(ctx, "INSERT INTO kv (key, value) VALUES ('a', '1')")
	f.Expect(sqlstate(err)).To(Equal("25006"))

	tx, err := conn.Begin(ctx)
	f.Expect(err).NotTo(HaveOccurred())
	_, err = tx.Exec(ctx, "SET LOCAL egretroad.work = 'orders'")
	f.Expect(err).NotTo(HaveOccurred())
	_, err = tx.Exec(ctx, "INSERT INTO kv (key, value) VALUES ('a', '1')")
	f.Expect(err).NotTo(HaveOccurred())
	_, err = tx.Exec(ctx, "SET LOCAL egretroad.work = 'reports'")
	f.Expect(sqlstate(err)).To(Equal("25001"))
	f.Expect(tx.Rollback(ctx)).To(Succeed())
	f.Expect(show(conn, "egretroad.work")).To(Equal("stock"))

	_, err = conn.Exec(ctx, "DISCARD ALL")
	f.Expect(err).NotTo(HaveOccurred())
	var work string
	f.Expect(conn.QueryRow(ctx, "SHOW egretroad.work", pgx.QueryExecModeSimpleProtocol).Scan(&work)).To(Succeed())
	f.Expect(work).To(Equal("orders"))
	f.Expect(sqlstate(conn.QueryRow(ctx, "SHOW egretroad.work").Scan(&work))).To(Equal("26000"), "DISCARD ALL drops prepared statements")
}

func TestUnsupportedStatements(t *testing.T) {
	f := newFixture(t)
	conn := f.connect("")
	for _, sql := range []string{
		"COPY kv FROM STDIN", "LISTEN news", "SET ROLE admin", "SET SESSION AUTHORIZATION admin", "RESET ROLE",
		"CREATE TEMP TABLE t (a int)", "create local temporary table t (a int)", "PREPARE p AS SELECT 1", "EXECUTE p",
		"DEALLOCATE p", "DECLARE c CURSOR WITH HOLD FOR SELECT 1", "SELECT pg_advisory_lock(1)",
		"PREPARE TRANSACTION 'x'", "COMMIT PREPARED 'x'", "COMMIT AND CHAIN", "SELECT 1; COPY kv TO STDOUT",
		"SELECT 1; SET egretroad.work = 'stock'", "SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY",
	} {
		_, err := conn.Exec(f.context(), sql)
		f.Expect(sqlstate(err)).To(Equal("0A000"), sql)
		f.Expect(err.(*pgconn.PgError).Hint).NotTo(BeEmpty(), sql)
	}
	f.Expect(f.home.requests()).To(BeEmpty())
	_, err := conn.Exec(f.context(), "INSERT INTO kv (key, value) VALUES ('a', 'x; COPY y')")
	f.Expect(err).NotTo(HaveOccurred(), "keywords inside literals are ignored")
	_, err = conn.Exec(f.context(), "SELECT $1 FROM kv; COPY kv TO STDOUT", "x")
	f.Expect(err).To(HaveOccurred())
}

func TestSessionSettingsAreSentToServers(t *testing.T) {
	f := newFixture(t)
	conn := f.connect("&search_path=ledger&extra_float_digits=3")
	ctx := f.context()
	settings := func() []txn.Setting {
		_, err := conn.Exec(ctx, "SELECT value FROM kv WHERE key = 'a'")
		f.Expect(err).NotTo(HaveOccurred())
		requests := f.home.requests()
		return requests[len(requests)-1].Settings
	}
	f.Expect(settings()).To(Equal([]txn.Setting{{Name: "search_path", Value: "ledger"}}))
	exec := func(sql string) {
		_, err := conn.Exec(ctx, sql)
		f.Expect(err).NotTo(HaveOccurred(), sql)
	}
	exec("SET statement_timeout TO '5s'")
	exec("SET TIME ZONE 'UTC'")
	f.Expect(settings()).To(Equal([]txn.Setting{{Name: "search_path", Value: "ledger"}, {Name: "statement_timeout", Value: "5s"}, {Name: "timezone", Value: "UTC"}}))
	exec("BEGIN")
	exec("SET search_path = other")
	exec("ROLLBACK")
	f.Expect(settings()).To(ContainElement(txn.Setting{Name: "search_path", Value: "ledger"}))
	exec("BEGIN")
	exec("SET search_path = other")
	exec("COMMIT")
	f.Expect(settings()).To(ContainElement(txn.Setting{Name: "search_path", Value: "other"}))
	exec("RESET search_path")
	exec("SET timezone TO DEFAULT")
	f.Expect(settings()).To(Equal([]txn.Setting{{Name: "statement_timeout", Value: "5s"}}))
	exec("RESET ALL")
	f.Expect(settings()).To(BeEmpty())
	_, err := conn.Exec(ctx, "SET client_encoding = 'LATIN1'")
	f.Expect(sqlstate(err)).To(Equal("0A000"))
}

func TestMarkCarriesOverToAnotherConnection(t *testing.T) {
	f := newFixture(t)
	ctx := f.context()
	conn := f.connect("")
	_, err := conn.Exec(ctx, "INSERT INTO kv (key, value) VALUES ('a', '1')")
	f.Expect(err).NotTo(HaveOccurred())
	var encodedMark string
	f.Expect(conn.QueryRow(ctx, "SHOW egretroad.mark").Scan(&encodedMark)).To(Succeed())
	f.Expect(encodedMark).To(HavePrefix("1."))

	second := f.connect("&egretroad.work=stock&egretroad.mark=" + encodedMark)
	_, err = second.Exec(ctx, "SELECT value FROM kv WHERE key = 'a'")
	f.Expect(err).NotTo(HaveOccurred())
	requests := f.home.requests()
	f.Expect(requests[len(requests)-1].Mark).To(Equal(topology.Mark{Database: "orders1", Term: 1, Position: 101}))
	f.Expect(f.gateway.counters.positionQueries.Value()).To(BeZero(), "a mark passed by the caller saves the position query")

	for _, invalid := range []string{"hello", encodedMark[:len(encodedMark)-1] + "0", strings.Repeat("x", 300)} {
		_, err = pgx.Connect(ctx, f.dsn("&egretroad.mark="+invalid))
		f.Expect(sqlstate(err)).To(Equal("22023"), invalid)
	}
}

func TestLostMarkIsReportedOnce(t *testing.T) {
	f := newFixture(t)
	ctx := f.context()
	conn := f.connect("")
	_, err := conn.Exec(ctx, "INSERT INTO kv (key, value) VALUES ('a', '1')")
	f.Expect(err).NotTo(HaveOccurred())
	snap := testSnapshot()
	snap.Revision = 2
	snap.Groups["orders1"].Term = 2
	snap.Groups["orders1"].Primary = "orders1-b"
	snap.Groups["orders1"].TermStarts = []topology.TermStart{{Term: 2, Position: 100}}
	f.source.Publish(snap)
	_, err = conn.Exec(ctx, "SELECT value FROM kv WHERE key = 'a'")
	f.Expect(sqlstate(err)).To(Equal(outcome.CodeNotRun))
	f.Expect(err.(*pgconn.PgError).Detail).To(Equal("retry_safe=yes reason=mark_lost outcome=not_run"))
	_, err = conn.Exec(ctx, "SELECT value FROM kv WHERE key = 'a'")
	f.Expect(err).NotTo(HaveOccurred())
}

func TestRequestsThatDidNotRunAreRetried(t *testing.T) {
	f := newFixture(t)
	ctx := f.context()
	conn := f.connect("")
	var refusals atomic.Int64
	f.home.openError = func(txn.Request) error {
		if refusals.Add(1) <= 3 {
			return &outcome.NotRunError{Reason: outcome.ReasonNotHome}
		}
		return nil
	}
	_, err := conn.Exec(ctx, "INSERT INTO kv (key, value) VALUES ('a', '1')")
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(f.gateway.counters.retries.Value()).To(BeEquivalentTo(3))
}

func TestWriteWaitsForPrimary(t *testing.T) {
	f := newFixture(t)
	conn := f.connect("")
	snap := testSnapshot()
	snap.Revision = 2
	snap.Groups["orders1"].Primary = ""
	snap.Groups["orders1"].Promotion = &topology.Promotion{From: "orders1-a"}
	f.source.Publish(snap)
	done := make(chan error, 1)
	go func() {
		_, err := conn.Exec(f.context(), "INSERT INTO kv (key, value) VALUES ('a', '1')")
		done <- err
	}()
	f.Eventually(f.gateway.waiting.Load, "10s").Should(BeEquivalentTo(1))
	promoted := testSnapshot()
	promoted.Revision = 3
	promoted.Groups["orders1"].Primary = "orders1-b"
	f.source.Publish(promoted)
	f.Eventually(done, "10s").Should(Receive(BeNil()))
	f.Expect(f.home.requests()[0].Server).To(Equal("orders1-b"))
}

func TestDeadlineReportsLastRejection(t *testing.T) {
	f := newFixture(t)
	conn := f.connect("&egretroad.work=quick")
	f.home.openError = func(txn.Request) error {
		return &outcome.NotRunError{Reason: outcome.ReasonReplaced, Detail: "old term"}
	}
	_, err := conn.Exec(f.context(), "INSERT INTO kv (key, value) VALUES ('a', '1')")
	f.Expect(sqlstate(err)).To(Equal(outcome.CodeNotRun))
	f.Expect(err.(*pgconn.PgError).Detail).To(Equal("retry_safe=yes reason=primary_replaced outcome=not_run"))
}

// TestPositionQueriesBackOff runs a read while the position query to the
// primary fails. Retries of the query must back off.
func TestPositionQueriesBackOff(t *testing.T) {
	f := newFixture(t, func(o *Options) { o.MinRetryBackoff = 40 * time.Millisecond })
	snap := testSnapshot()
	entry, _ := snap.Catalogue.Entry("stock")
	entry.Deadline = 200
	snap.Catalogue = catalogue.New([]catalogue.Entry{entry})
	f.source.Publish(snap)
	f.home.positionError = &outcome.NotRunError{Reason: outcome.ReasonHomeLost}
	conn := f.connect("&egretroad.work=stock")
	_, err := conn.Exec(f.context(), "SELECT value FROM kv WHERE key = 'a'")
	f.Expect(sqlstate(err)).To(Equal(outcome.CodeNotRun))
	f.Expect(err.(*pgconn.PgError).Detail).To(ContainSubstring("reason=mark_unknown"))
	f.Expect(f.gateway.counters.positionQueries.Value()).To(BeNumerically("<=", 10))
}

// TestUnknownOutcomeIsNotRetried checks that a write or a COMMIT with unknown outcome is not
// retried.
func TestUnknownOutcomeIsNotRetried(t *testing.T) {
	f := newFixture(t)
	conn := f.connect("")
	ctx := f.context()
	var runs atomic.Int64
	f.home.runError = func(_ txn.Request, b txn.Batch) error {
		if !b.MayCommit {
			return nil
		}
		runs.Add(1)
		return &outcome.UnknownError{Reason: outcome.ReasonConnLost, Detail: "cut"}
	}
	_, err := conn.Exec(ctx, "INSERT INTO kv (key, value) VALUES ('a', '1')")
	f.Expect(sqlstate(err)).To(Equal(outcome.CodeUnknown))
	f.Expect(err.(*pgconn.PgError).Detail).To(Equal("retry_safe=no reason=connection_lost outcome=unknown"))
	f.Expect(runs.Load()).To(BeEquivalentTo(1))
	tx, err := conn.Begin(ctx)
	f.Expect(err).NotTo(HaveOccurred())
	_, err = tx.Exec(ctx, "INSERT INTO kv (key, value) VALUES ('b', '1')")
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(sqlstate(tx.Commit(ctx))).To(Equal(outcome.CodeUnknown))
	f.Expect(runs.Load()).To(BeEquivalentTo(2))
}

// TestSentWriteIsNotRetried checks that a write that is not repeatable is
// not retried once a byte of it may have been sent, even if its transaction is
// known to be rolled back. A write of which nothing was sent is retried.
func TestSentWriteIsNotRetried(t *testing.T) {
	f := newFixture(t)
	conn := f.connect("")
	var runs atomic.Int64
	sent := true
	f.home.runError = func(_ txn.Request, b txn.Batch) error {
		if !b.MayCommit || runs.Add(1) > 1 {
			return nil
		}
		return &outcome.NotRunError{Reason: outcome.ReasonConnLost, Detail: "cut", Sent: sent}
	}
	_, err := conn.Exec(f.context(), "INSERT INTO kv (key, value) VALUES ('a', '1')")
	f.Expect(sqlstate(err)).To(Equal(outcome.CodeNotRun))
	f.Expect(runs.Load()).To(BeEquivalentTo(1))
	sent = false
	runs.Store(0)
	_, err = conn.Exec(f.context(), "INSERT INTO kv (key, value) VALUES ('a', '1')")
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(runs.Load()).To(BeEquivalentTo(2))
}

func TestLostLaneFailsTransaction(t *testing.T) {
	f := newFixture(t)
	conn := f.connect("")
	ctx := f.context()
	tx, err := conn.Begin(ctx)
	f.Expect(err).NotTo(HaveOccurred())
	_, err = tx.Exec(ctx, "INSERT INTO kv (key, value) VALUES ('a', '1')")
	f.Expect(err).NotTo(HaveOccurred())
	f.home.runError = func(txn.Request, txn.Batch) error {
		return &outcome.NotRunError{Reason: outcome.ReasonConnLost, Detail: "cut"}
	}
	_, err = tx.Exec(ctx, "INSERT INTO kv (key, value) VALUES ('b', '1')")
	f.Expect(sqlstate(err)).To(Equal(outcome.CodeNotRun))
	_, err = tx.Exec(ctx, "INSERT INTO kv (key, value) VALUES ('c', '1')")
	f.Expect(sqlstate(err)).To(Equal("25P02"), "the rest of the transaction is rejected")
	f.Expect(tx.Rollback(ctx)).To(Succeed())
	f.home.runError = nil
	_, err = conn.Exec(ctx, "INSERT INTO kv (key, value) VALUES ('d', '1')")
	f.Expect(err).NotTo(HaveOccurred())
}

func TestReadFallsBackFromLaggingReplica(t *testing.T) {
	f := newFixture(t)
	conn := f.connect("&egretroad.work=stock")
	f.home.openError = func(r txn.Request) error {
		if r.Server != "orders1-a" {
			return &outcome.NotRunError{Reason: outcome.ReasonBehind}
		}
		return nil
	}
	_, err := conn.Exec(f.context(), "SELECT value FROM kv WHERE key = 'a'")
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(f.gateway.counters.forEntry("stock").stats().ReadsPrimary).To(BeEquivalentTo(1))
}

func TestDrain(t *testing.T) {
	f := newFixture(t)
	ctx := f.context()
	idle := f.connect("")
	busy := f.connect("")
	open := f.connect("")
	tx, err := open.Begin(ctx)
	f.Expect(err).NotTo(HaveOccurred())
	_, err = tx.Exec(ctx, "INSERT INTO kv (key, value) VALUES ('b', '1')")
	f.Expect(err).NotTo(HaveOccurred())
	gate := make(chan struct{})
	f.home.mu.Lock()
	f.home.runGate = gate
	f.home.mu.Unlock()
	done := make(chan error, 1)
	go func() {
		_, err := busy.Exec(ctx, "INSERT INTO kv (key, value) VALUES ('a', '1')")
		done <- err
	}()
	f.Eventually(f.gateway.inProgressCount, "10s").Should(Equal(1))

	drained := make(chan error, 1)
	go func() { drained <- f.gateway.Drain(ctx) }()
	f.Eventually(f.gateway.draining.Load, "10s").Should(BeTrue())
	f.Expect(idle.PgConn().Conn().SetDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
	response, err := io.ReadAll(idle.PgConn().Conn())
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(sqlstatesIn(response)).To(Equal([]string{"57P01"}), "an idle session is told to reconnect to another proxy")
	f.Expect(string(response)).To(ContainSubstring("another proxy"))
	close(gate)
	f.Eventually(done, "10s").Should(Receive(BeNil()), "the request in progress completes")
	f.Expect(drained).NotTo(Receive(), "an open transaction delays the end of the drain")
	_, err = pgx.Connect(ctx, f.dsn(""))
	f.Expect(sqlstate(err)).To(Equal("57P03"))
	_, err = tx.Exec(ctx, "INSERT INTO kv (key, value) VALUES ('c', '1')")
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(tx.Commit(ctx)).To(Succeed())
	f.Eventually(drained, "10s").Should(Receive(BeNil()))
	f.Expect(f.home.openLanes.Load()).To(BeZero())
}

func TestDrainDeadline(t *testing.T) {
	f := newFixture(t)
	open := f.connect("")
	tx, err := open.Begin(f.context())
	f.Expect(err).NotTo(HaveOccurred())
	_, err = tx.Exec(f.context(), "INSERT INTO kv (key, value) VALUES ('a', '1')")
	f.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	err = f.gateway.Drain(ctx)
	var drainErr *DrainError
	f.Expect(err).To(BeAssignableToTypeOf(drainErr))
	f.Expect(err.(*DrainError).Sessions).To(Equal(1))
}

func TestDrainEndsTransactionsNotYetSent(t *testing.T) {
	f := newFixture(t)
	open := f.connect("")
	_, err := open.Exec(f.context(), "BEGIN")
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(f.gateway.Drain(f.context())).To(Succeed())
}

func TestDrainEndsIdleTransactions(t *testing.T) {
	f := newFixture(t, func(o *Options) { o.DefaultIdleInTxn = 50 * time.Millisecond })
	open := f.connect("")
	tx, err := open.Begin(f.context())
	f.Expect(err).NotTo(HaveOccurred())
	_, err = tx.Exec(f.context(), "INSERT INTO kv (key, value) VALUES ('a', '1')")
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(f.gateway.Drain(f.context())).To(Succeed())
	f.Expect(f.home.openLanes.Load()).To(BeZero(), "the transaction is rolled back")
}

// An open transaction that ran a statement during a drain had no idle limit any more. Its caller
// kept it open until the end of the drain, which cut the connection without an error.
func TestDrainEndsTransactionsThatBecomeIdleAgain(t *testing.T) {
	f := newFixture(t, func(o *Options) { o.DefaultIdleInTxn = 2 * time.Second })
	c := f.dialRaw()
	c.query("BEGIN")
	c.query("INSERT INTO kv (key, value) VALUES ('a', '1')")
	drained := make(chan error, 1)
	go func() { drained <- f.gateway.Drain(f.context()) }()
	f.Eventually(f.gateway.draining.Load, "10s").Should(BeTrue())
	c.query("INSERT INTO kv (key, value) VALUES ('b', '1')")
	f.Expect(c.conn.SetDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
	response, err := io.ReadAll(c.conn)
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(sqlstatesIn(response)).To(Equal([]string{"57P01"}))
	f.Eventually(drained, "10s").Should(Receive(BeNil()))
	f.Expect(f.home.openLanes.Load()).To(BeZero(), "the transaction is rolled back")
}

// A transaction that was open at the end of a drain's time-out ended with its connection,
// without an error.
func TestDrainTimeoutIsReportedToOpenTransactions(t *testing.T) {
	f := newFixture(t)
	c := f.dialRaw()
	c.query("BEGIN")
	c.query("INSERT INTO kv (key, value) VALUES ('a', '1')")
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	f.Expect(f.gateway.Drain(ctx)).To(BeAssignableToTypeOf(&DrainError{}))
	f.gateway.Close()
	f.Expect(c.conn.SetDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
	response := make([]byte, 1<<10)
	n, err := c.conn.Read(response)
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(sqlstatesIn(response[:n])).To(Equal([]string{"57P01"}))
	f.Eventually(f.home.openLanes.Load, "10s").Should(BeZero(), "the transaction is rolled back")
}

// TestHomeReportsOutcomeAfterDeadline has the home respond shortly after the deadline. The
// gateway must wait for the outcome that the home reports instead of reporting the
// request as unknown.
func TestHomeReportsOutcomeAfterDeadline(t *testing.T) {
	f := newFixture(t)
	conn := f.connect("&egretroad.work=quick")
	f.home.runError = func(r txn.Request, _ txn.Batch) error {
		time.Sleep(r.Timeout + 50*time.Millisecond)
		return &outcome.NotRunError{Reason: outcome.ReasonDeadline, Detail: "refused in the queue"}
	}
	_, err := conn.Exec(f.context(), "INSERT INTO kv (key, value) VALUES ('a', '1')")
	f.Expect(sqlstate(err)).To(Equal(outcome.CodeNotRun))
	f.Expect(f.home.requests()).To(HaveLen(1))
}

func TestPassword(t *testing.T) {
	f := newFixture(t, func(o *Options) { o.Users = map[string]string{"shop": "lamp"} })
	connect := func(user, password string) error {
		conn, err := pgx.Connect(f.context(), fmt.Sprintf("postgres://%s:%s@127.0.0.1:%d/orders1?sslmode=disable", user, password, f.port))
		if err == nil {
			_ = conn.Close(f.context())
		}
		return err
	}
	f.Expect(connect("shop", "lamp")).To(Succeed())
	f.Expect(sqlstate(connect("shop", "wrong"))).To(Equal("28P01"))
	f.Expect(sqlstate(connect("stranger", "lamp"))).To(Equal("28P01"))
}

func TestConcurrentSessionsGetOwnResponses(t *testing.T) {
	f := newFixture(t)
	const callers, rounds = 50, 20
	errs := make(chan error, callers)
	for c := range callers {
		conn := f.connect("")
		go func() {
			errs <- func() error {
				for i := range rounds {
					key := fmt.Sprintf("k%d-%d", c, i)
					if _, err := conn.Exec(f.context(), "INSERT INTO kv (key, value) VALUES ($1, $2)", key, key); err != nil {
						return err
					}
					var v string
					if err := conn.QueryRow(f.context(), "SELECT value FROM kv WHERE key = $1", key).Scan(&v); err != nil {
						return err
					}
					if v != key {
						return fmt.Errorf("got %q, want %q", v, key)
					}
				}
				return nil
			}()
		}()
	}
	for range callers {
		f.Expect(<-errs).To(Succeed())
	}
}
