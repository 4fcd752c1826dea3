package e2e_test

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/lib/pq"
	. "github.com/onsi/gomega"

	"egretroad/internal/e2e/workload"
	"egretroad/internal/proxy"
	"egretroad/internal/standin/deployment"
)

// dsn returns the connection string of a database through the proxy at addr.
func dsn(addr, database, work string) string {
	host, port, _ := net.SplitHostPort(addr)
	return fmt.Sprintf("host=%s port=%s dbname=%s user=shop sslmode=disable connect_timeout=10 egretroad.work=%s", host, port, database, work)
}

// stepContext returns a context whose time-out is far longer than any step of a test.
func stepContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	return ctx
}

func sqlState(err error) string {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return pgErr.Code
	}
	var pqErr *pq.Error
	if errors.As(err, &pqErr) {
		return string(pqErr.Code)
	}
	return ""
}

// Unmodified client libraries must work through every proxy.
func TestClientLibraries(t *testing.T) {
	f := startFleet(t, 1, proxy.Hooks{}, nil)
	for i, addr := range f.callerAddrs() {
		t.Run(fmt.Sprintf("pgx %d", i), func(t *testing.T) { pgxClient(t, addr, f.callerAddrs()) })
		t.Run(fmt.Sprintf("lib/pq %d", i), func(t *testing.T) { pqClient(t, addr) })
	}
}

// pgxClient runs every kind of request with pgx in its default mode, which uses the
// extended protocol and named prepared statements.
func pgxClient(t *testing.T, addr string, proxyAddrs []string) {
	g := NewWithT(t)
	ctx := stepContext(t)
	conn, err := pgx.Connect(ctx, dsn(addr, "orders1", "orders"))
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close(ctx) }()
	const insert = "INSERT INTO kv (key, value) VALUES ($1, $2)"
	const read = "SELECT value FROM kv WHERE key = $1"
	key := "pgx " + addr
	for i := range 3 {
		_, err = conn.Exec(ctx, insert, fmt.Sprint(key, i), "1")
		g.Expect(err).NotTo(HaveOccurred())
		var v string
		g.Expect(conn.QueryRow(ctx, read, fmt.Sprint(key, i)).Scan(&v)).To(Succeed())
		g.Expect(v).To(Equal("1"))
	}
	_, err = conn.Exec(ctx, insert, key+"0", "2")
	g.Expect(sqlState(err)).To(Equal("23505"))
	_, err = conn.Exec(ctx, "nonsense")
	g.Expect(sqlState(err)).To(Equal("42601"))
	_, err = conn.Exec(ctx, "COPY kv TO STDOUT")
	g.Expect(sqlState(err)).To(Equal("0A000"))

	pgxTransactions(ctx, g, conn, key)
	pgxBatch(ctx, g, conn, key)
	pgxCancel(ctx, g, conn, proxyAddrs)

	otherConn, err := pgx.Connect(ctx, dsn(proxyAddrs[len(proxyAddrs)-1], "orders1", "stock"))
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = otherConn.Close(ctx) }()
	var v string
	g.Expect(otherConn.QueryRow(ctx, read, key+"0").Scan(&v)).To(Succeed(), "a read through another proxy returns the write")
	_, err = otherConn.Exec(ctx, insert, key+"x", "1")
	g.Expect(sqlState(err)).To(Equal("25006"))
}

func pgxTransactions(ctx context.Context, g *WithT, conn *pgx.Conn, key string) {
	const insert = "INSERT INTO kv (key, value) VALUES ($1, $2)"
	tx, err := conn.Begin(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = tx.Exec(ctx, insert, key+"t", "1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(tx.Rollback(ctx)).To(Succeed())
	tx, err = conn.Begin(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = tx.Exec(ctx, insert, key+"t", "2")
	g.Expect(err).NotTo(HaveOccurred(), "the rolled-back transaction had no effect")
	_, err = tx.Exec(ctx, insert, key+"t", "3")
	g.Expect(sqlState(err)).To(Equal("23505"))
	_, err = tx.Exec(ctx, insert, key+"u", "3")
	g.Expect(sqlState(err)).To(Equal("25P02"))
	g.Expect(tx.Rollback(ctx)).To(Succeed())
}

func pgxBatch(ctx context.Context, g *WithT, conn *pgx.Conn, key string) {
	b := &pgx.Batch{}
	b.Queue("INSERT INTO kv (key, value) VALUES ($1, $2)", key+"b", "1")
	b.Queue("SELECT value FROM kv WHERE key = $1", key+"b")
	b.Queue("SHOW egretroad.work")
	results := conn.SendBatch(ctx, b)
	_, err := results.Exec()
	g.Expect(err).NotTo(HaveOccurred())
	var v, work string
	g.Expect(results.QueryRow().Scan(&v)).To(Succeed())
	g.Expect(results.QueryRow().Scan(&work)).To(Succeed())
	g.Expect([]string{v, work}).To(Equal([]string{"1", "orders"}))
	g.Expect(results.Close()).To(Succeed())
}

// pgxCancel sends cancel requests through every proxy until the running statement ends.
func pgxCancel(ctx context.Context, g *WithT, conn *pgx.Conn, proxyAddrs []string) {
	done := make(chan error, 1)
	go func() {
		_, err := conn.Exec(ctx, "SELECT pg_sleep(4)")
		done <- err
	}()
	var execErr error
	g.Eventually(func() bool {
		for _, addr := range proxyAddrs {
			sendCancelRequest(g, addr, conn.PgConn())
		}
		select {
		case execErr = <-done:
			return true
		default:
			return false
		}
	}, stepTimeout).Should(BeTrue())
	g.Expect(sqlState(execErr)).To(Equal("57014"))
}

// sendCancelRequest sends a cancel request through any proxy, not necessarily the one
// that the session is connected to.
func sendCancelRequest(g *WithT, addr string, conn *pgconn.PgConn) {
	request, err := (&pgproto3.CancelRequest{ProcessID: conn.PID(), SecretKey: conn.SecretKey()}).Encode(nil)
	g.Expect(err).NotTo(HaveOccurred())
	c, err := net.Dial("tcp", addr)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close() }()
	_, err = c.Write(request)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.SetReadDeadline(time.Now().Add(stepTimeout))).To(Succeed())
	_, _ = c.Read(make([]byte, 1)) // the proxy closes the connection after handling the request
}

func pqClient(t *testing.T, addr string) {
	g := NewWithT(t)
	db, err := sql.Open("postgres", dsn(addr, "orders2", "orders"))
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = db.Close() }()
	key := "pq " + addr
	_, err = db.Exec("INSERT INTO kv (key, value) VALUES ($1, $2)", key, "1")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = db.Exec("INSERT INTO kv (key, value) VALUES ($1, $2)", key, "2")
	g.Expect(sqlState(err)).To(Equal("23505"))
	stmt, err := db.Prepare("SELECT value FROM kv WHERE key = $1")
	g.Expect(err).NotTo(HaveOccurred())
	var v string
	for range 3 {
		g.Expect(stmt.QueryRow(key).Scan(&v)).To(Succeed())
		g.Expect(v).To(Equal("1"))
	}
	g.Expect(stmt.Close()).To(Succeed())
	tx, err := db.Begin()
	g.Expect(err).NotTo(HaveOccurred())
	_, err = tx.Exec("UPDATE kv SET value = $1 WHERE key = $2", "3", key)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(tx.Commit()).To(Succeed())
	g.Expect(db.QueryRow("SELECT value FROM kv WHERE key = $1", key).Scan(&v)).To(Succeed())
	g.Expect(v).To(Equal("3"))
	ctx, cancel := context.WithCancel(stepContext(t))
	cancelTimer := time.AfterFunc(200*time.Millisecond, cancel)
	defer cancelTimer.Stop()
	_, err = db.ExecContext(ctx, "SELECT pg_sleep(4)")
	g.Expect(err).To(HaveOccurred(), "lib/pq cancels by a cancel request")
	_, err = db.Exec("COPY kv FROM STDIN")
	g.Expect(sqlState(err)).To(Equal("0A000"))
}

// Concurrent transactions of 200 callers share the connections of a pool and must
// never be interleaved on one of them.
func TestTransactionsOf200CallersAreNotInterleaved(t *testing.T) {
	g := NewWithT(t)
	f := startFleet(t, 1, proxy.Hooks{}, func(o *deployment.Options) { o.Scale = 0.05 })
	const callers, operationsPerCaller = 200, 4
	group := f.Groups["orders1"]
	o := workload.DefaultOptions()
	o.SeededKeys = insertSeedRows(group)
	o.Callers, o.WriteEvery, o.ListEvery, o.SharedEvery, o.ReconnectEvery = callers, 1, 0, 0, 5
	w := workload.New(o, f.callerAddrs)
	ctx, cancel := context.WithTimeout(context.Background(), maxWorkloadTime)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() {
		for ctx.Err() == nil && w.Counts().OK.Load() < callers*operationsPerCaller {
			time.Sleep(10 * time.Millisecond)
		}
		cancel()
	})
	w.Run(ctx)
	wg.Wait()
	f.healFaults(group)
	violations := w.Audit(group)
	logViolations(t, violations)
	g.Expect(brokenRules(violations)).To(BeEmpty())
	g.Expect(w.Counts().OK.Load()).To(BeNumerically(">=", callers*operationsPerCaller))
}
