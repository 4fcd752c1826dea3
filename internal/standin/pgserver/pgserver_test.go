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

const waitTimeout = 10 * time.Second

// newGroup starts a recording group of three servers, one in each data centre, the first
// one as primary. editSpec, if not nil, adjusts each server's specification.
func newGroup(t *testing.T, editSpec func(*pgserver.ServerSpec)) (*pgserver.Group, *network.Network) {
	t.Helper()
	simNet := network.New([]string{"a", "b", "c"})
	var specs []pgserver.ServerSpec
	for _, dc := range []string{"a", "b", "c"} {
		spec := pgserver.ServerSpec{
			ID:             "db-" + dc,
			DataCentre:     dc,
			Addr:           net.JoinHostPort(simNet.ServerAddr(dc, 0), "0"),
			Slots:          2,
			MaxConnections: 16,
		}
		if editSpec != nil {
			editSpec(&spec)
		}
		specs = append(specs, spec)
	}
	g, err := pgserver.NewGroup("db", specs, simNet, 1)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(g.Close)
	g.SetRecording(true)
	return g, simNet
}

func connURL(s *pgserver.Server) string {
	return "postgres://someone@" + s.Addr() + "/db?sslmode=disable"
}

func connect(t *testing.T, s *pgserver.Server) *pgx.Conn {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	c, err := pgx.Connect(ctx, connURL(s))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = c.PgConn().Conn().Close() })
	return c
}

// connectFrom connects from the given source address, which places the client in a data
// centre of the simulated network.
func connectFrom(t *testing.T, s *pgserver.Server, source string) *pgx.Conn {
	t.Helper()
	config, err := pgx.ParseConfig(connURL(s))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	dialer := &net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(netip.MustParseAddr(source), 0))}
	config.DialFunc = dialer.DialContext
	c, err := pgx.ConnectConfig(t.Context(), config)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = c.PgConn().Conn().Close() })
	return c
}

func sqlState(err error) string {
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

func readValue(c *pgx.Conn, key string) (string, error) {
	var v string
	err := c.QueryRow(context.Background(), "SELECT value FROM kv WHERE key = $1", key).Scan(&v)
	return v, err
}

func TestPgxStatements(t *testing.T) {
	g := NewWithT(t)
	group, _ := newGroup(t, nil)
	c := connect(t, group.Primary())
	g.Expect(c.Ping(t.Context())).To(Succeed())
	g.Expect(exec(c, "INSERT INTO kv (key, value) VALUES ($1, $2)", "k", "it's")).To(Succeed())
	g.Expect(sqlState(exec(c, "INSERT INTO kv (key, value) VALUES ('k', 'w')"))).To(Equal("23505"))
	g.Expect(exec(c, "INSERT INTO kv (key, value) VALUES ($1, $2) ON CONFLICT (key) DO UPDATE SET value = $2", "k", "x")).To(Succeed())
	g.Expect(exec(c, "UPDATE kv SET value = $1 WHERE key = $2", "y", "k")).To(Succeed())
	g.Expect(readValue(c, "k")).To(Equal("y"))
	var n int64
	g.Expect(c.QueryRow(t.Context(), "SELECT count(*) FROM kv").Scan(&n)).To(Succeed())
	g.Expect(n).To(Equal(int64(1)))
	rows, err := c.Query(t.Context(), "SELECT key, value FROM kv ORDER BY key")
	g.Expect(err).NotTo(HaveOccurred())
	pairs, err := pgx.CollectRows(rows, pgx.RowTo[string])
	g.Expect(err).To(HaveOccurred(), "RowTo[string] must reject rows of two columns")
	g.Expect(pairs).To(BeEmpty())
	g.Expect(exec(c, "SELECT pg_sleep($1)", 0.001)).To(Succeed())
	g.Expect(exec(c, "DELETE FROM kv WHERE key = $1", "k")).To(Succeed())
	_, err = readValue(c, "k")
	g.Expect(err).To(MatchError(pgx.ErrNoRows))
	for _, sql := range []string{"SELECT 1", "COPY kv FROM STDIN", "DROP TABLE kv", "INSERT INTO kv VALUES (1)", "SELECT 'x"} {
		g.Expect(sqlState(exec(c, sql))).To(Equal("42601"), sql)
	}
	g.Expect(exec(c, "SET egretroad.work = 'orders'")).To(Succeed())
	var work string
	g.Expect(c.QueryRow(t.Context(), "SHOW egretroad.work").Scan(&work)).To(Succeed())
	g.Expect(work).To(Equal("orders"))
	g.Expect(exec(c, "DISCARD ALL", pgx.QueryExecModeSimpleProtocol)).To(Succeed())
	g.Expect(sqlState(exec(c, "SHOW egretroad.work", pgx.QueryExecModeSimpleProtocol))).To(Equal("42704"))
}

func TestTransactionVisibilityAndAbort(t *testing.T) {
	g := NewWithT(t)
	group, _ := newGroup(t, nil)
	c, other := connect(t, group.Primary()), connect(t, group.Primary())
	tx, err := c.Begin(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	_, err = tx.Exec(t.Context(), "INSERT INTO kv (key, value) VALUES ('k', '1')")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(readValue(c, "k")).To(Equal("1"))
	_, err = readValue(other, "k")
	g.Expect(err).To(MatchError(pgx.ErrNoRows), "uncommitted writes must not be visible to other sessions")
	_, err = tx.Exec(t.Context(), "INSERT INTO kv (key, value) VALUES ('k', '2')")
	g.Expect(sqlState(err)).To(Equal("23505"))
	_, err = tx.Exec(t.Context(), "SELECT count(*) FROM kv")
	g.Expect(sqlState(err)).To(Equal("25P02"))
	g.Expect(tx.Commit(t.Context())).To(MatchError(pgx.ErrTxCommitRollback))
	_, err = readValue(c, "k")
	g.Expect(err).To(MatchError(pgx.ErrNoRows))
	tx, err = c.BeginTx(t.Context(), pgx.TxOptions{AccessMode: pgx.ReadOnly})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = tx.Exec(t.Context(), "DELETE FROM kv WHERE key = 'k'")
	g.Expect(sqlState(err)).To(Equal("25006"))
	g.Expect(tx.Rollback(t.Context())).To(Succeed())
	_, err = c.PgConn().Exec(t.Context(), "INSERT INTO kv (key, value) VALUES ('s', '1'); INSERT INTO kv (key, value) VALUES ('s', '2')").ReadAll()
	g.Expect(sqlState(err)).To(Equal("23505"))
	_, err = readValue(c, "s")
	g.Expect(err).To(MatchError(pgx.ErrNoRows), "all statements of a simple query form one transaction")
}

func TestPipelineErrorSkipsToSyncAndRollsBack(t *testing.T) {
	g := NewWithT(t)
	group, _ := newGroup(t, nil)
	c := connect(t, group.Primary())
	batch := &pgx.Batch{}
	batch.Queue("INSERT INTO kv (key, value) VALUES ('p', '1')")
	batch.Queue("INSERT INTO kv (key, value) VALUES ('p', '2')")
	batch.Queue("INSERT INTO kv (key, value) VALUES ('q', '3')")
	g.Expect(sqlState(c.SendBatch(t.Context(), batch).Close())).To(Equal("23505"))
	g.Expect(group.Primary().Data()).To(BeEmpty())
	g.Expect(c.Ping(t.Context())).To(Succeed())
}

func TestRowLockBlocksConcurrentWriter(t *testing.T) {
	g := NewWithT(t)
	group, _ := newGroup(t, nil)
	a, b := connect(t, group.Primary()), connect(t, group.Primary())
	g.Expect(exec(a, "BEGIN")).To(Succeed())
	g.Expect(exec(a, "INSERT INTO kv (key, value) VALUES ('k', 'a')")).To(Succeed())
	secondInsert := make(chan error, 1)
	go func() { secondInsert <- exec(b, "INSERT INTO kv (key, value) VALUES ('k', 'b')") }()
	g.Consistently(secondInsert, 50*time.Millisecond).ShouldNot(Receive())
	g.Expect(exec(a, "COMMIT")).To(Succeed())
	var err error
	g.Eventually(secondInsert, waitTimeout).Should(Receive(&err))
	g.Expect(sqlState(err)).To(Equal("23505"))
}

func TestDeadlockDetection(t *testing.T) {
	g := NewWithT(t)
	group, _ := newGroup(t, nil)
	group.LoadRows(map[string]string{"x": "0", "y": "0"})
	a, b := connect(t, group.Primary()), connect(t, group.Primary())
	g.Expect(exec(a, "BEGIN")).To(Succeed())
	g.Expect(exec(b, "BEGIN")).To(Succeed())
	g.Expect(exec(a, "UPDATE kv SET value = 'a' WHERE key = 'x'")).To(Succeed())
	g.Expect(exec(b, "UPDATE kv SET value = 'b' WHERE key = 'y'")).To(Succeed())
	errs := make(chan error, 2)
	go func() { errs <- exec(a, "UPDATE kv SET value = 'a' WHERE key = 'y'") }()
	go func() { errs <- exec(b, "UPDATE kv SET value = 'b' WHERE key = 'x'") }()
	var firstErr, secondErr error
	g.Eventually(errs, waitTimeout).Should(Receive(&firstErr))
	g.Eventually(errs, waitTimeout).Should(Receive(&secondErr))
	g.Expect([]string{sqlState(firstErr), sqlState(secondErr)}).To(ConsistOf("40P01", ""))
}

func TestLibPQStatements(t *testing.T) {
	g := NewWithT(t)
	group, _ := newGroup(t, nil)
	db, err := sql.Open("postgres", connURL(group.Primary()))
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

func TestCancelRequestAndStatementTimeout(t *testing.T) {
	g := NewWithT(t)
	group, _ := newGroup(t, nil)
	c := connect(t, group.Primary())
	done := make(chan error, 1)
	go func() { done <- exec(c, "SELECT pg_sleep(60)") }()
	g.Eventually(func() int64 { return group.Primary().Stats().PeakInFlight }, waitTimeout).Should(Equal(int64(1)))
	g.Expect(group.CountMatches("pg_sleep")).To(Equal(1), "statements are recorded when they start")
	g.Expect(c.PgConn().CancelRequest(t.Context())).To(Succeed())
	var err error
	g.Eventually(done, waitTimeout).Should(Receive(&err))
	g.Expect(sqlState(err)).To(Equal("57014"))
	g.Expect(exec(c, "SET statement_timeout = 5")).To(Succeed())
	g.Expect(sqlState(exec(c, "SELECT pg_sleep(60)"))).To(Equal("57014"))
}

func TestSlotAndConnectionLimits(t *testing.T) {
	g := NewWithT(t)
	group, _ := newGroup(t, func(s *pgserver.ServerSpec) {
		s.MaxConnections = 4
		s.ServiceTime = 20 * time.Millisecond
	})
	p := group.Primary()
	var wg sync.WaitGroup
	for range 4 {
		c := connect(t, p)
		wg.Go(func() { _, _ = readValue(c, "k") })
	}
	_, err := pgx.Connect(t.Context(), connURL(p))
	g.Expect(sqlState(err)).To(Equal("53300"))
	wg.Wait()
	stats := p.Stats()
	g.Expect(stats.PeakConns).To(Equal(int64(5)), "the refused connection counts as well")
	g.Expect(stats.RefusedConns).To(Equal(int64(1)))
	g.Expect(stats.PeakInFlight).To(BeNumerically(">=", 3))
	g.Expect(stats.QueuedForSlot).To(BeNumerically(">=", 1))
}

func TestReplicaAppliesCommitsAfterLag(t *testing.T) {
	g := NewWithT(t)
	group, simNet := newGroup(t, nil)
	replica := group.Server("db-b")
	replica.SetLag(time.Hour)
	c := connect(t, group.Primary())
	g.Expect(exec(c, "INSERT INTO kv (key, value) VALUES ('k', 'v')")).To(Succeed())
	g.Eventually(group.Server("db-c").Data, waitTimeout).Should(HaveKey("k"))
	g.Expect(replica.Data()).NotTo(HaveKey("k"))
	g.Expect(sqlState(exec(connect(t, replica), "DELETE FROM kv WHERE key = 'k'"))).To(Equal("25006"))
	g.Expect(simNet.Cut("b")).To(Succeed())
	replica.SetLag(0)
	g.Consistently(replica.Data, 50*time.Millisecond).ShouldNot(HaveKey("k"))
	simNet.Heal()
	g.Eventually(replica.Data, waitTimeout).Should(HaveKey("k"))
}

func queryAdminRow(c *pgx.Conn, sql string) (string, error) {
	results, err := c.PgConn().Exec(context.Background(), sql).ReadAll()
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%s", results[0].Rows[0]), nil
}

// A network cut separates the primary, which goes on committing, while another server is
// promoted. When the old primary rejoins, it must drop those commits and follow the new one.
func TestPromotionTruncatesDivergentLog(t *testing.T) {
	g := NewWithT(t)
	group, simNet := newGroup(t, nil)
	old, next, third := group.Server("db-a"), group.Server("db-b"), group.Server("db-c")
	oldConn, nextConn, thirdConn := connect(t, old), connect(t, next), connect(t, third)
	g.Expect(exec(oldConn, "INSERT INTO kv (key, value) VALUES ('kept', '1')")).To(Succeed())
	g.Eventually(next.Data, waitTimeout).Should(HaveKey("kept"))
	g.Expect(simNet.Cut("a")).To(Succeed())
	g.Expect(exec(oldConn, "INSERT INTO kv (key, value) VALUES ('lost', '1')")).To(Succeed())
	g.Expect(exec(oldConn, "BEGIN; UPDATE kv SET value = '2' WHERE key = 'kept'", pgx.QueryExecModeSimpleProtocol)).To(Succeed())
	xid, err := queryAdminRow(oldConn, "SELECT pg_current_xact_id()")
	g.Expect(err).NotTo(HaveOccurred())

	_, err = queryAdminRow(nextConn, "SELECT group_promote(2)")
	g.Expect(sqlState(err)).To(Equal("55000"), "the server is not fenced for term 2")
	for _, c := range []*pgx.Conn{nextConn, thirdConn, nextConn} {
		g.Expect(queryAdminRow(c, "SELECT group_fence(2)")).To(Equal("[2]"))
	}
	g.Expect(queryAdminRow(nextConn, "SELECT term, fence, role, position, lag_ms, slots, max_connections FROM group_status()")).To(ContainSubstring("fenced"))
	g.Expect(sqlState(exec(nextConn, "INSERT INTO kv (key, value) VALUES ('early', '1')"))).To(Equal("25006"))
	_, err = queryAdminRow(nextConn, "SELECT group_promote(2)")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(queryAdminRow(thirdConn, fmt.Sprintf("SELECT group_follow(2, '%s')", next.Addr()))).To(Equal("[0]"))
	g.Expect(exec(nextConn, "INSERT INTO kv (key, value) VALUES ('new', '1')")).To(Succeed())
	g.Eventually(third.Data, waitTimeout).Should(HaveKey("new"))
	g.Expect(group.Primary()).To(BeIdenticalTo(next))

	_, err = queryAdminRow(connect(t, old), fmt.Sprintf("SELECT group_follow(2, '%s')", next.Addr()))
	g.Expect(sqlState(err)).To(Equal("08001"), "the new primary is unreachable during the network cut")
	simNet.Heal()
	g.Expect(queryAdminRow(connect(t, old), "SELECT group_fence(2)")).To(Equal("[2]"))
	g.Expect(sqlState(exec(oldConn, "COMMIT"))).To(Equal("40001"), "raising the fence must abort the open write transaction")
	g.Expect(queryAdminRow(connect(t, old), "SELECT pg_xact_status('"+xid[1:len(xid)-1]+"')")).To(Equal("[aborted]"))
	dropped, err := queryAdminRow(connect(t, old), fmt.Sprintf("SELECT group_follow(2, '%s')", next.Addr()))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(dropped).NotTo(Equal("[0]"))
	g.Eventually(old.Data, waitTimeout).Should(Equal(map[string]string{"kept": "1", "new": "1"}))
	g.Expect(group.DoublePromotions()).To(BeZero())
}

// A client whose connection drops during COMMIT must be able to find out the outcome with
// pg_xact_status, whether or not the commit was applied.
func TestTransactionStatusAfterCommitCut(t *testing.T) {
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
		xid, err := queryAdminRow(c, "SELECT pg_current_xact_id()")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(exec(c, "COMMIT")).NotTo(Succeed())
		statusConn := connect(t, p)
		status := ""
		g.Eventually(func() string {
			status, _ = queryAdminRow(statusConn, "SELECT pg_xact_status('"+xid[1:len(xid)-1]+"')")
			return status
		}, waitTimeout).Should(Or(Equal("[committed]"), Equal("[aborted]")))
		_, present := p.Data()[key]
		g.Expect(present).To(Equal(status == "[committed]"))
		g.Expect(statusConn.Close(t.Context())).To(Succeed())
		if present {
			applied++
		}
	}
	g.Expect(applied).To(And(BeNumerically(">", 0), BeNumerically("<", 20)))
	g.Expect(p.Stats().CommitCuts).To(Equal(int64(20)))
	g.Expect(group.CountMatches("k19")).To(Equal(1))
}

func TestSilenceAffectsOnlyOpenConnections(t *testing.T) {
	g := NewWithT(t)
	group, _ := newGroup(t, nil)
	p := group.Primary()
	c := connect(t, p)
	p.SilenceOpenConns()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := c.Exec(ctx, "INSERT INTO kv (key, value) VALUES ('k', 'v')")
	g.Expect(err).To(HaveOccurred())
	g.Expect(connect(t, p).Ping(t.Context())).To(Succeed())
	g.Expect(p.Data()).To(BeEmpty(), "statements sent on a silent connection must not run")
}

func TestNetworkCutStallsRemoteConnections(t *testing.T) {
	g := NewWithT(t)
	group, simNet := newGroup(t, nil)
	p := group.Primary()
	localConn := connectFrom(t, p, simNet.VMAddr("a", 0))
	remoteConn := connectFrom(t, p, simNet.VMAddr("b", 0))
	g.Expect(simNet.Cut("a")).To(Succeed())
	g.Expect(localConn.Ping(t.Context())).To(Succeed())
	remotePing := make(chan error, 1)
	go func() { remotePing <- remoteConn.Ping(context.Background()) }()
	g.Consistently(remotePing, 50*time.Millisecond).ShouldNot(Receive())
	simNet.Heal()
	var err error
	g.Eventually(remotePing, waitTimeout).Should(Receive(&err))
	g.Expect(err).NotTo(HaveOccurred())
}

func TestStopAndRestart(t *testing.T) {
	g := NewWithT(t)
	group, _ := newGroup(t, nil)
	p := group.Primary()
	c := connect(t, p)
	p.Stop()
	g.Expect(c.Ping(t.Context())).NotTo(Succeed())
	_, err := pgx.Connect(t.Context(), connURL(p))
	g.Expect(err).To(HaveOccurred())
	g.Expect(p.Restart()).To(Succeed())
	g.Expect(connect(t, p).Ping(t.Context())).To(Succeed())
}

func TestIdleInTransactionTimeout(t *testing.T) {
	g := NewWithT(t)
	group, _ := newGroup(t, nil)
	p := group.Primary()
	c := connect(t, p)
	g.Expect(exec(c, "SET idle_in_transaction_session_timeout = 20")).To(Succeed())
	g.Expect(exec(c, "BEGIN")).To(Succeed())
	g.Expect(exec(c, "INSERT INTO kv (key, value) VALUES ('k', 'v')")).To(Succeed())
	g.Expect(p.Stats().OpenWriters).To(Equal(1))
	g.Eventually(func() int { return p.Stats().OpenWriters }, waitTimeout).Should(BeZero())
}
