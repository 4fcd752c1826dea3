package pgserver_test

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	_ "github.com/lib/pq"
	. "github.com/onsi/gomega"

	"egretroad/internal/standin/network"
	"egretroad/internal/standin/pgserver"
)

const patience = 10 * time.Second

// newGroup starts a group of three servers, the first one as primary.
func newGroup(t *testing.T, edit func(*pgserver.ServerSpec)) (*pgserver.Group, *network.Network) {
	t.Helper()
	links := network.New([]string{"a", "b", "c"})
	var specs []pgserver.ServerSpec
	for _, dc := range []string{"a", "b", "c"} {
		spec := pgserver.ServerSpec{
			ID:             "db-" + dc,
			DataCentre:     dc,
			Addr:           net.JoinHostPort(links.ServerAddr(dc, 0), "0"),
			Slots:          2,
			MaxConnections: 16,
		}
		if edit != nil {
			edit(&spec)
		}
		specs = append(specs, spec)
	}
	g, err := pgserver.NewGroup("db", specs, links, 1)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(g.Close)
	g.SetRecording(true)
	return g, links
}

func url(s *pgserver.Server) string {
	return "postgres://someone@" + s.Addr() + "/db?sslmode=disable"
}

func connect(t *testing.T, s *pgserver.Server) *pgx.Conn {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	c, err := pgx.Connect(ctx, url(s))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = c.PgConn().Conn().Close() })
	return c
}

// connectFrom dials from a data centre's address.
func connectFrom(t *testing.T, s *pgserver.Server, source string) *pgx.Conn {
	t.Helper()
	config, err := pgx.ParseConfig(url(s))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	dialer := &net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(netip.MustParseAddr(source), 0))}
	config.DialFunc = dialer.DialContext
	c, err := pgx.ConnectConfig(t.Context(), config)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = c.PgConn().Conn().Close() })
	return c
}

func code(err error) string {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return pgErr.Code
	}
	return ""
}

func exec(c *pgx.Conn, sql string, args ...any) error {
	_, err := c.Exec(context.Background(), sql, args...)
	return err
}

func value(c *pgx.Conn, key string) (string, error) {
	var v string
	err := c.QueryRow(context.Background(), "SELECT value FROM kv WHERE key = $1", key).Scan(&v)
	return v, err
}

func TestPgxRunsTheFixedStatements(t *testing.T) {
	g := NewWithT(t)
	group, _ := newGroup(t, nil)
	c := connect(t, group.Primary())
	g.Expect(c.Ping(t.Context())).To(Succeed())
	g.Expect(exec(c, "INSERT INTO kv (key, value) VALUES ($1, $2)", "k", "it's")).To(Succeed())
	g.Expect(code(exec(c, "INSERT INTO kv (key, value) VALUES ('k', 'w')"))).To(Equal("23505"))
	g.Expect(exec(c, "INSERT INTO kv (key, value) VALUES ($1, $2) ON CONFLICT (key) DO UPDATE SET value = $2", "k", "x")).To(Succeed())
	g.Expect(exec(c, "UPDATE kv SET value = $1 WHERE key = $2", "y", "k")).To(Succeed())
	g.Expect(value(c, "k")).To(Equal("y"))
	var n int64
	g.Expect(c.QueryRow(t.Context(), "SELECT count(*) FROM kv").Scan(&n)).To(Succeed())
	g.Expect(n).To(Equal(int64(1)))
	rows, err := c.Query(t.Context(), "SELECT key, value FROM kv ORDER BY key")
	g.Expect(err).NotTo(HaveOccurred())
	pairs, err := pgx.CollectRows(rows, pgx.RowTo[string])
	g.Expect(err).To(HaveOccurred(), "two columns do not fit one string")
	g.Expect(pairs).To(BeEmpty())
	g.Expect(exec(c, "SELECT pg_sleep($1)", 0.001)).To(Succeed())
	g.Expect(exec(c, "DELETE FROM kv WHERE key = $1", "k")).To(Succeed())
	_, err = value(c, "k")
	g.Expect(err).To(MatchError(pgx.ErrNoRows))
	for _, sql := range []string{"SELECT 1", "COPY kv FROM STDIN", "DROP TABLE kv", "INSERT INTO kv VALUES (1)", "SELECT 'x"} {
		g.Expect(code(exec(c, sql))).To(Equal("42601"), sql)
	}
	g.Expect(exec(c, "SET egretroad.work = 'orders'")).To(Succeed())
	var work string
	g.Expect(c.QueryRow(t.Context(), "SHOW egretroad.work").Scan(&work)).To(Succeed())
	g.Expect(work).To(Equal("orders"))
	g.Expect(exec(c, "DISCARD ALL", pgx.QueryExecModeSimpleProtocol)).To(Succeed())
	g.Expect(code(exec(c, "SHOW egretroad.work", pgx.QueryExecModeSimpleProtocol))).To(Equal("42704"))
}

func TestTransactions(t *testing.T) {
	g := NewWithT(t)
	group, _ := newGroup(t, nil)
	c, other := connect(t, group.Primary()), connect(t, group.Primary())
	tx, err := c.Begin(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	_, err = tx.Exec(t.Context(), "INSERT INTO kv (key, value) VALUES ('k', '1')")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(value(c, "k")).To(Equal("1"))
	_, err = value(other, "k")
	g.Expect(err).To(MatchError(pgx.ErrNoRows), "an open transaction is not visible")
	_, err = tx.Exec(t.Context(), "INSERT INTO kv (key, value) VALUES ('k', '2')")
	g.Expect(code(err)).To(Equal("23505"))
	_, err = tx.Exec(t.Context(), "SELECT count(*) FROM kv")
	g.Expect(code(err)).To(Equal("25P02"))
	g.Expect(tx.Commit(t.Context())).To(MatchError(pgx.ErrTxCommitRollback))
	_, err = value(c, "k")
	g.Expect(err).To(MatchError(pgx.ErrNoRows))
	tx, err = c.BeginTx(t.Context(), pgx.TxOptions{AccessMode: pgx.ReadOnly})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = tx.Exec(t.Context(), "DELETE FROM kv WHERE key = 'k'")
	g.Expect(code(err)).To(Equal("25006"))
	g.Expect(tx.Rollback(t.Context())).To(Succeed())
	_, err = c.PgConn().Exec(t.Context(), "INSERT INTO kv (key, value) VALUES ('s', '1'); INSERT INTO kv (key, value) VALUES ('s', '2')").ReadAll()
	g.Expect(code(err)).To(Equal("23505"))
	_, err = value(c, "s")
	g.Expect(err).To(MatchError(pgx.ErrNoRows), "a simple query is one transaction")
}

func TestPipelineSkipsUpToSyncAndRollsBack(t *testing.T) {
	g := NewWithT(t)
	group, _ := newGroup(t, nil)
	c := connect(t, group.Primary())
	batch := &pgx.Batch{}
	batch.Queue("INSERT INTO kv (key, value) VALUES ('p', '1')")
	batch.Queue("INSERT INTO kv (key, value) VALUES ('p', '2')")
	batch.Queue("INSERT INTO kv (key, value) VALUES ('q', '3')")
	g.Expect(code(c.SendBatch(t.Context(), batch).Close())).To(Equal("23505"))
	g.Expect(group.Primary().Data()).To(BeEmpty())
	g.Expect(c.Ping(t.Context())).To(Succeed())
}

func TestRowLocksMakeWritersWait(t *testing.T) {
	g := NewWithT(t)
	group, _ := newGroup(t, nil)
	a, b := connect(t, group.Primary()), connect(t, group.Primary())
	g.Expect(exec(a, "BEGIN")).To(Succeed())
	g.Expect(exec(a, "INSERT INTO kv (key, value) VALUES ('k', 'a')")).To(Succeed())
	second := make(chan error, 1)
	go func() { second <- exec(b, "INSERT INTO kv (key, value) VALUES ('k', 'b')") }()
	g.Consistently(second, 50*time.Millisecond).ShouldNot(Receive())
	g.Expect(exec(a, "COMMIT")).To(Succeed())
	var err error
	g.Eventually(second, patience).Should(Receive(&err))
	g.Expect(code(err)).To(Equal("23505"))
}

func TestDeadlockIsDetected(t *testing.T) {
	g := NewWithT(t)
	group, _ := newGroup(t, nil)
	group.Seed(map[string]string{"x": "0", "y": "0"})
	a, b := connect(t, group.Primary()), connect(t, group.Primary())
	g.Expect(exec(a, "BEGIN")).To(Succeed())
	g.Expect(exec(b, "BEGIN")).To(Succeed())
	g.Expect(exec(a, "UPDATE kv SET value = 'a' WHERE key = 'x'")).To(Succeed())
	g.Expect(exec(b, "UPDATE kv SET value = 'b' WHERE key = 'y'")).To(Succeed())
	errs := make(chan error, 2)
	go func() { errs <- exec(a, "UPDATE kv SET value = 'a' WHERE key = 'y'") }()
	go func() { errs <- exec(b, "UPDATE kv SET value = 'b' WHERE key = 'x'") }()
	var first, second error
	g.Eventually(errs, patience).Should(Receive(&first))
	g.Eventually(errs, patience).Should(Receive(&second))
	g.Expect([]string{code(first), code(second)}).To(ConsistOf("40P01", ""))
}

func TestLibPQ(t *testing.T) {
	g := NewWithT(t)
	group, _ := newGroup(t, nil)
	db, err := sql.Open("postgres", url(group.Primary()))
	g.Expect(err).NotTo(HaveOccurred())
	defer db.Close()
	g.Expect(db.Ping()).To(Succeed())
	tx, err := db.Begin()
	g.Expect(err).NotTo(HaveOccurred())
	_, err = tx.Exec("INSERT INTO kv (key, value) VALUES ($1, $2)", "k", "v")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(tx.Commit()).To(Succeed())
	prepared, err := db.Prepare("SELECT value FROM kv WHERE key = $1")
	g.Expect(err).NotTo(HaveOccurred())
	var v string
	g.Expect(prepared.QueryRow("k").Scan(&v)).To(Succeed())
	g.Expect(v).To(Equal("v"))
	var n int
	g.Expect(db.QueryRow("SELECT count(*) FROM kv").Scan(&n)).To(Succeed())
	g.Expect(n).To(Equal(1))
}

func TestCancelInterruptsTheRunningStatement(t *testing.T) {
	g := NewWithT(t)
	group, _ := newGroup(t, nil)
	c := connect(t, group.Primary())
	done := make(chan error, 1)
	go func() { done <- exec(c, "SELECT pg_sleep(60)") }()
	g.Eventually(func() int64 { return group.Primary().Stats().MaxConcurrent }, patience).Should(Equal(int64(1)))
	g.Expect(group.Seen("pg_sleep")).To(Equal(1), "a statement is recorded as it starts")
	g.Expect(c.PgConn().CancelRequest(t.Context())).To(Succeed())
	var err error
	g.Eventually(done, patience).Should(Receive(&err))
	g.Expect(code(err)).To(Equal("57014"))
	g.Expect(exec(c, "SET statement_timeout = 5")).To(Succeed())
	g.Expect(code(exec(c, "SELECT pg_sleep(60)"))).To(Equal("57014"))
}

func TestSlotsAndConnectionsAreBounded(t *testing.T) {
	g := NewWithT(t)
	group, _ := newGroup(t, func(s *pgserver.ServerSpec) {
		s.MaxConnections = 4
		s.ServiceTime = 20 * time.Millisecond
	})
	p := group.Primary()
	var wg sync.WaitGroup
	for range 4 {
		c := connect(t, p)
		wg.Go(func() { _, _ = value(c, "k") })
	}
	_, err := pgx.Connect(t.Context(), url(p))
	g.Expect(code(err)).To(Equal("53300"))
	wg.Wait()
	stats := p.Stats()
	g.Expect(stats.MaxConns).To(Equal(int64(5)), "the refused one is counted")
	g.Expect(stats.RefusedConns).To(Equal(int64(1)))
	g.Expect(stats.MaxConcurrent).To(BeNumerically(">=", 3))
	g.Expect(stats.OverSlot).To(BeNumerically(">=", 1))
}

func TestReplicasApplyAfterTheLag(t *testing.T) {
	g := NewWithT(t)
	group, links := newGroup(t, nil)
	replica := group.Server("db-b")
	replica.SetLag(time.Hour)
	c := connect(t, group.Primary())
	g.Expect(exec(c, "INSERT INTO kv (key, value) VALUES ('k', 'v')")).To(Succeed())
	g.Eventually(group.Server("db-c").Data, patience).Should(HaveKey("k"))
	g.Expect(replica.Data()).NotTo(HaveKey("k"))
	g.Expect(code(exec(connect(t, replica), "DELETE FROM kv WHERE key = 'k'"))).To(Equal("25006"))
	g.Expect(links.Cut("b")).To(Succeed())
	replica.SetLag(0)
	g.Consistently(replica.Data, 50*time.Millisecond).ShouldNot(HaveKey("k"))
	links.Heal()
	g.Eventually(replica.Data, patience).Should(HaveKey("k"))
}

func adminRow(c *pgx.Conn, sql string) (string, error) {
	results, err := c.PgConn().Exec(context.Background(), sql).ReadAll()
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%s", results[0].Rows[0]), nil
}

func TestPromotionDropsTheDivergentTail(t *testing.T) {
	g := NewWithT(t)
	group, links := newGroup(t, nil)
	old, next, third := group.Server("db-a"), group.Server("db-b"), group.Server("db-c")
	oldConn, nextConn, thirdConn := connect(t, old), connect(t, next), connect(t, third)
	g.Expect(exec(oldConn, "INSERT INTO kv (key, value) VALUES ('kept', '1')")).To(Succeed())
	g.Eventually(next.Data, patience).Should(HaveKey("kept"))
	g.Expect(links.Cut("a")).To(Succeed())
	g.Expect(exec(oldConn, "INSERT INTO kv (key, value) VALUES ('lost', '1')")).To(Succeed())
	g.Expect(exec(oldConn, "BEGIN; UPDATE kv SET value = '2' WHERE key = 'kept'", pgx.QueryExecModeSimpleProtocol)).To(Succeed())
	xid, err := adminRow(oldConn, "SELECT pg_current_xact_id()")
	g.Expect(err).NotTo(HaveOccurred())

	_, err = adminRow(nextConn, "SELECT group_promote(2)")
	g.Expect(code(err)).To(Equal("55000"), "not fenced")
	for _, c := range []*pgx.Conn{nextConn, thirdConn, nextConn} {
		g.Expect(adminRow(c, "SELECT group_fence(2)")).To(Equal("[2]"))
	}
	g.Expect(adminRow(nextConn, "SELECT term, fence, role, position, lag_ms, slots, max_connections FROM group_status()")).To(ContainSubstring("fenced"))
	g.Expect(code(exec(nextConn, "INSERT INTO kv (key, value) VALUES ('early', '1')"))).To(Equal("25006"))
	_, err = adminRow(nextConn, "SELECT group_promote(2)")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(adminRow(thirdConn, fmt.Sprintf("SELECT group_follow(2, '%s')", next.Addr()))).To(Equal("[0]"))
	g.Expect(exec(nextConn, "INSERT INTO kv (key, value) VALUES ('new', '1')")).To(Succeed())
	g.Eventually(third.Data, patience).Should(HaveKey("new"))
	g.Expect(group.Primary()).To(BeIdenticalTo(next))

	_, err = adminRow(connect(t, old), fmt.Sprintf("SELECT group_follow(2, '%s')", next.Addr()))
	g.Expect(code(err)).To(Equal("08001"), "cut off")
	links.Heal()
	g.Expect(adminRow(connect(t, old), "SELECT group_fence(2)")).To(Equal("[2]"))
	g.Expect(code(exec(oldConn, "COMMIT"))).To(Equal("40001"), "the fence ended the open writer")
	g.Expect(adminRow(connect(t, old), "SELECT pg_xact_status('"+xid[1:len(xid)-1]+"')")).To(Equal("[aborted]"))
	dropped, err := adminRow(connect(t, old), fmt.Sprintf("SELECT group_follow(2, '%s')", next.Addr()))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(dropped).NotTo(Equal("[0]"))
	g.Eventually(old.Data, patience).Should(Equal(map[string]string{"kept": "1", "new": "1"}))
	g.Expect(group.DoublePromotions()).To(BeZero())
}

func TestCommitCutsLeaveAnOutcomeThatTheServerKnows(t *testing.T) {
	g := NewWithT(t)
	group, _ := newGroup(t, nil)
	p := group.Primary()
	group.SetCommitCuts(1)
	applied := 0
	for i := range 20 {
		c := connect(t, p)
		key := fmt.Sprintf("k%d", i)
		_, err := c.PgConn().Exec(t.Context(), "BEGIN; INSERT INTO kv (key, value) VALUES ('"+key+"', 'v')").ReadAll()
		g.Expect(err).NotTo(HaveOccurred())
		xid, err := adminRow(c, "SELECT pg_current_xact_id()")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(exec(c, "COMMIT")).NotTo(Succeed())
		ask := connect(t, p)
		status := ""
		g.Eventually(func() string {
			status, _ = adminRow(ask, "SELECT pg_xact_status('"+xid[1:len(xid)-1]+"')")
			return status
		}, patience).Should(Or(Equal("[committed]"), Equal("[aborted]")))
		_, present := p.Data()[key]
		g.Expect(present).To(Equal(status == "[committed]"))
		g.Expect(ask.Close(t.Context())).To(Succeed())
		if present {
			applied++
		}
	}
	g.Expect(applied).To(And(BeNumerically(">", 0), BeNumerically("<", 20)))
	g.Expect(p.Stats().CommitCuts).To(Equal(int64(20)))
	g.Expect(group.Seen("k19")).To(Equal(1))
}

func TestSilentConnectionsStaySilentWhileNewOnesWork(t *testing.T) {
	g := NewWithT(t)
	group, _ := newGroup(t, nil)
	p := group.Primary()
	c := connect(t, p)
	p.Silence()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := c.Exec(ctx, "INSERT INTO kv (key, value) VALUES ('k', 'v')")
	g.Expect(err).To(HaveOccurred())
	g.Expect(connect(t, p).Ping(t.Context())).To(Succeed())
	g.Expect(p.Data()).To(BeEmpty(), "what was sent into the silence did not arrive")
}

func TestCutHoldsConnectionsOfTheDataCentre(t *testing.T) {
	g := NewWithT(t)
	group, links := newGroup(t, nil)
	p := group.Primary()
	near := connectFrom(t, p, links.VMAddr("a", 0))
	far := connectFrom(t, p, links.VMAddr("b", 0))
	g.Expect(links.Cut("a")).To(Succeed())
	g.Expect(near.Ping(t.Context())).To(Succeed())
	answer := make(chan error, 1)
	go func() { answer <- far.Ping(context.Background()) }()
	g.Consistently(answer, 50*time.Millisecond).ShouldNot(Receive())
	links.Heal()
	var err error
	g.Eventually(answer, patience).Should(Receive(&err))
	g.Expect(err).NotTo(HaveOccurred())
}

func TestStopAndRestart(t *testing.T) {
	g := NewWithT(t)
	group, _ := newGroup(t, nil)
	p := group.Primary()
	c := connect(t, p)
	p.Stop()
	g.Expect(c.Ping(t.Context())).NotTo(Succeed())
	_, err := pgx.Connect(t.Context(), url(p))
	g.Expect(err).To(HaveOccurred())
	g.Expect(p.Restart()).To(Succeed())
	g.Expect(connect(t, p).Ping(t.Context())).To(Succeed())
}

func TestIdleTransactionIsEnded(t *testing.T) {
	g := NewWithT(t)
	group, _ := newGroup(t, nil)
	p := group.Primary()
	c := connect(t, p)
	g.Expect(exec(c, "SET idle_in_transaction_session_timeout = 20")).To(Succeed())
	g.Expect(exec(c, "BEGIN")).To(Succeed())
	g.Expect(exec(c, "INSERT INTO kv (key, value) VALUES ('k', 'v')")).To(Succeed())
	g.Expect(p.Stats().OpenWriters).To(Equal(1))
	g.Eventually(func() int { return p.Stats().OpenWriters }, patience).Should(BeZero())
}
