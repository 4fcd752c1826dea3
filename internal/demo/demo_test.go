package demo_test

import (
	"bytes"
	"context"
	"database/sql"
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/lib/pq"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"egretroad/internal/demo"
	"egretroad/internal/eventlog"
	"egretroad/internal/standin/deployment"
)

func dsn(addr, database string) string {
	host, port, _ := net.SplitHostPort(addr)
	return fmt.Sprintf("host=%s port=%s dbname=%s user=shop sslmode=disable", host, port, database)
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

func TestDemo(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "demo")
}

var _ = ginkgo.Describe("A demonstration deployment", ginkgo.Ordered, func() {
	var d *demo.Demo

	ginkgo.BeforeAll(func() {
		o := deployment.DefaultOptions()
		o.Scale = 0
		var err error
		d, err = demo.Start(context.Background(), demo.Options{Deployment: o, Log: eventlog.Discard()})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.DeferCleanup(d.Stop)
	})

	ginkgo.It("writes the addresses of its proxies and platform and the database names", func() {
		var line bytes.Buffer
		gomega.Expect(d.WriteReady(&line)).To(gomega.Succeed())
		gomega.Expect(line.String()).To(gomega.MatchRegexp(
			`^event=ready proxies=127\.0\.0\.1:\d+,127\.0\.0\.1:\d+,127\.0\.0\.1:\d+ databases=orders1,orders2,orders3 platform=127\.0\.250\.1:\d+\n$`))
	})

	ginkgo.DescribeTable("serves unmodified client libraries through each proxy and database",
		func(proxy int, database string, check func(g gomega.Gomega, dsn, key string)) {
			key := fmt.Sprint(ginkgo.CurrentSpecReport().LeafNodeText, proxy)
			check(gomega.NewGomega(ginkgo.Fail), dsn(d.Proxies[proxy].CallerAddr(), database), key)
		},
		clientLibraryEntries(),
	)

	ginkgo.It("rejects unknown kinds of work, and writes by read-only kinds", func() { checkWorkKinds(gomega.NewGomega(ginkgo.Fail), d) })
})

// clientLibraryEntries returns a table entry for each combination of proxy, database
// and client library.
func clientLibraryEntries() []ginkgo.TableEntry {
	var entries []ginkgo.TableEntry
	for proxy := range deployment.DefaultOptions().Proxies {
		for _, database := range []string{"orders1", "orders2", "orders3"} {
			entries = append(entries,
				ginkgo.Entry(fmt.Sprintf("pgx, proxy %d, %s", proxy, database), proxy, database, checkPgx),
				ginkgo.Entry(fmt.Sprintf("lib/pq, proxy %d, %s", proxy, database), proxy, database, checkPq))
		}
	}
	return entries
}

// checkPgx checks pgx with its default settings: the extended protocol with named
// prepared statements.
func checkPgx(g gomega.Gomega, dsn, key string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	conn, err := pgx.Connect(ctx, dsn)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = conn.Close(ctx) }()
	insert := "INSERT INTO kv (key, value) VALUES ($1, $2)"
	_, err = conn.Exec(ctx, insert, key, "1")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = conn.Exec(ctx, insert, key, "1")
	g.Expect(sqlState(err)).To(gomega.Equal("23505"))

	tx, err := conn.Begin(ctx)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = tx.Exec(ctx, "UPDATE kv SET value = $1 WHERE key = $2", "2", key)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(tx.Rollback(ctx)).To(gomega.Succeed())
	var value string
	read := "SELECT value FROM kv WHERE key = $1"
	g.Expect(conn.QueryRow(ctx, read, key).Scan(&value)).To(gomega.Succeed())
	g.Expect(value).To(gomega.Equal("1"))
	g.Expect(pgx.BeginFunc(ctx, conn, func(tx pgx.Tx) error {
		_, err := tx.Exec(ctx, "UPDATE kv SET value = $1 WHERE key = $2", "3", key)
		return err
	})).To(gomega.Succeed())
	g.Expect(conn.QueryRow(ctx, read, key).Scan(&value)).To(gomega.Succeed())
	g.Expect(value).To(gomega.Equal("3"))

	batch := &pgx.Batch{}
	batch.Queue(read, key)
	batch.Queue("SELECT nonsense")
	results := conn.SendBatch(ctx, batch)
	_ = results.QueryRow().Scan(&value)
	g.Expect(sqlState(results.Close())).To(gomega.Equal("42601"))
	_, err = conn.CopyFrom(ctx, pgx.Identifier{"kv"}, []string{"key", "value"}, pgx.CopyFromRows([][]any{{"a", "b"}}))
	g.Expect(sqlState(err)).NotTo(gomega.BeEmpty(), "COPY is rejected with an SQLSTATE")
	g.Expect(conn.Ping(ctx)).To(gomega.Succeed())

	shortCtx, stop := context.WithTimeout(ctx, 100*time.Millisecond)
	defer stop()
	_, err = conn.Exec(shortCtx, "SELECT pg_sleep(30)")
	g.Expect(err).To(gomega.HaveOccurred())
}

// checkPq checks lib/pq through database/sql.
func checkPq(g gomega.Gomega, dsn, key string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	db, err := sql.Open("postgres", dsn)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = db.Close() }()
	db.SetMaxOpenConns(1)
	insert, err := db.PrepareContext(ctx, "INSERT INTO kv (key, value) VALUES ($1, $2)")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = insert.ExecContext(ctx, key, "1")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = insert.ExecContext(ctx, key, "1")
	g.Expect(sqlState(err)).To(gomega.Equal("23505"))
	tx, err := db.BeginTx(ctx, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = tx.ExecContext(ctx, "UPDATE kv SET value = $1 WHERE key = $2", "2", key)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(tx.Commit()).To(gomega.Succeed())
	var value string
	g.Expect(db.QueryRowContext(ctx, "SELECT value FROM kv WHERE key = $1", key).Scan(&value)).To(gomega.Succeed())
	g.Expect(value).To(gomega.Equal("2"))

	shortCtx, stop := context.WithTimeout(ctx, 100*time.Millisecond)
	defer stop()
	_, err = db.ExecContext(shortCtx, "SELECT pg_sleep(30)")
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(db.QueryRowContext(ctx, "SELECT value FROM kv WHERE key = $1", key).Scan(&value)).To(gomega.Succeed(),
		"the server no longer runs the cancelled statement")
}

// checkWorkKinds checks that a session can select and change its kind of work, and
// that the access of the kind is enforced.
func checkWorkKinds(g gomega.Gomega, d *demo.Demo) {
	ctx := context.Background()
	addr := d.Proxies[0].CallerAddr()
	_, err := pgx.Connect(ctx, dsn(addr, "orders1")+" egretroad.work=nonsense")
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(`kind of work "nonsense" is not in the catalogue of database "orders1"`)))
	_, err = pgx.Connect(ctx, dsn(addr, "nowhere"))
	g.Expect(err).To(gomega.HaveOccurred())
	conn, err := pgx.Connect(ctx, dsn(addr, "orders1")+" options='-c egretroad.work=reports'")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = conn.Close(ctx) }()
	_, err = conn.Exec(ctx, "INSERT INTO kv (key, value) VALUES ('x', 'y')")
	g.Expect(sqlState(err)).To(gomega.Equal("25006"))
	_, err = conn.Exec(ctx, "SET egretroad.work = 'orders'")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = conn.Exec(ctx, "INSERT INTO kv (key, value) VALUES ('x', 'y')")
	g.Expect(err).NotTo(gomega.HaveOccurred())
}
