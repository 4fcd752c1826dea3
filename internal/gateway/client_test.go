package gateway

import (
	"database/sql"
	"errors"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	_ "github.com/lib/pq"
	. "github.com/onsi/gomega"

	"egretroad/internal/catalogue"
	"egretroad/internal/txn"
)

func sqlstate(err error) string {
	var pg *pgconn.PgError
	if errors.As(err, &pg) {
		return pg.Code
	}
	return ""
}

func TestPgxDefaults(t *testing.T) {
	f := newFixture(t)
	conn := f.connect("")
	ctx := f.context()
	for i, key := range []string{"a", "b", "c"} {
		tag, err := conn.Exec(ctx, "INSERT INTO kv (key, value) VALUES ($1, $2)", key, "v"+key)
		f.Expect(err).NotTo(HaveOccurred(), "insert %d", i)
		f.Expect(tag.String()).To(Equal("INSERT 0 1"))
		var v string
		f.Expect(conn.QueryRow(ctx, "SELECT value FROM kv WHERE key = $1", key).Scan(&v)).To(Succeed())
		f.Expect(v).To(Equal("v" + key))
	}
	_, err := conn.Exec(ctx, "INSERT INTO kv (key, value) VALUES ($1, $2)", "a", "again")
	f.Expect(sqlstate(err)).To(Equal("23505"))
	_, err = conn.Exec(ctx, "bogus $1", "x")
	f.Expect(sqlstate(err)).To(Equal("42601"))
	_, err = conn.Exec(ctx, "bogus $1", "x")
	f.Expect(sqlstate(err)).To(Equal("42601"), "preparing the same statement again fails with the same error")
	f.Expect(conn.Ping(ctx)).To(Succeed())
}

func TestPgxTransactions(t *testing.T) {
	f := newFixture(t)
	conn := f.connect("")
	ctx := f.context()
	tx, err := conn.Begin(ctx)
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(f.home.requests()).To(BeEmpty(), "BEGIN alone opens no lane")
	_, err = tx.Exec(ctx, "INSERT INTO kv (key, value) VALUES ($1, $2)", "a", "1")
	f.Expect(err).NotTo(HaveOccurred())
	f.home.mu.Lock()
	f.Expect(f.home.batches[0].Begin).To(Equal(txn.BeginReadWrite), "BEGIN is sent with the first batch")
	f.home.mu.Unlock()
	_, err = tx.Exec(ctx, "INSERT INTO kv (key, value) VALUES ($1, $2)", "a", "2")
	f.Expect(sqlstate(err)).To(Equal("23505"))
	_, err = tx.Exec(ctx, "SELECT value FROM kv WHERE key = 'a'")
	f.Expect(sqlstate(err)).To(Equal("25P02"))
	f.Expect(tx.Commit(ctx)).To(MatchError(pgx.ErrTxCommitRollback))
	f.Expect(conn.QueryRow(ctx, "SELECT value FROM kv WHERE key = 'a'").Scan(new(string))).To(MatchError(pgx.ErrNoRows))

	tx, err = conn.Begin(ctx)
	f.Expect(err).NotTo(HaveOccurred())
	_, err = tx.Exec(ctx, "INSERT INTO kv (key, value) VALUES ($1, $2)", "a", "3")
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(tx.Commit(ctx)).To(Succeed())
	f.Expect(f.home.openLanes.Load()).To(BeZero())

	tx, err = conn.Begin(ctx)
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(tx.Rollback(ctx)).To(Succeed(), "an empty transaction is not sent to a server")
}

func TestPgxBatch(t *testing.T) {
	f := newFixture(t)
	conn := f.connect("")
	ctx := f.context()
	b := &pgx.Batch{}
	b.Queue("INSERT INTO kv (key, value) VALUES ($1, $2)", "a", "1")
	b.Queue("SHOW egretroad.work")
	b.Queue("SELECT value FROM kv WHERE key = $1", "a")
	results := conn.SendBatch(ctx, b)
	_, err := results.Exec()
	f.Expect(err).NotTo(HaveOccurred())
	var work, v string
	f.Expect(results.QueryRow().Scan(&work)).To(Succeed())
	f.Expect(work).To(Equal("orders"))
	f.Expect(results.QueryRow().Scan(&v)).To(Succeed())
	f.Expect(v).To(Equal("1"))
	f.Expect(results.Close()).To(Succeed())
}

func TestPgxPipelineWithSeveralSyncs(t *testing.T) {
	f := newFixture(t)
	conn := f.connect("")
	p := conn.PgConn().StartPipeline(f.context())
	for _, key := range []string{"a", "b", "a", "c"} {
		p.SendQueryParams("INSERT INTO kv (key, value) VALUES ($1, $2)", [][]byte{[]byte(key), []byte("1")}, nil, nil, nil)
		f.Expect(p.Sync()).To(Succeed())
	}
	var codes []string
	for range 4 {
		results, err := p.GetResults()
		if err == nil {
			_, err = results.(*pgconn.ResultReader).Close()
		}
		codes = append(codes, sqlstate(err))
		_, err = p.GetResults() // the Sync
		f.Expect(err).NotTo(HaveOccurred())
	}
	f.Expect(codes).To(Equal([]string{"", "", "23505", ""}))
	f.Expect(p.Close()).To(Succeed())
}

func TestLibPQ(t *testing.T) {
	f := newFixture(t)
	db, err := sql.Open("postgres", f.dsn(""))
	f.Expect(err).NotTo(HaveOccurred())
	defer db.Close()
	_, err = db.Exec("INSERT INTO kv (key, value) VALUES ($1, $2)", "a", "1")
	f.Expect(err).NotTo(HaveOccurred())
	var v string
	f.Expect(db.QueryRow("SELECT value FROM kv WHERE key = $1", "a").Scan(&v)).To(Succeed())
	f.Expect(v).To(Equal("1"))
	stmt, err := db.Prepare("SELECT value FROM kv WHERE key = $1")
	f.Expect(err).NotTo(HaveOccurred())
	for range 3 {
		f.Expect(stmt.QueryRow("a").Scan(&v)).To(Succeed())
	}
	f.Expect(stmt.Close()).To(Succeed())
	tx, err := db.Begin()
	f.Expect(err).NotTo(HaveOccurred())
	_, err = tx.Exec("INSERT INTO kv (key, value) VALUES ($1, $2)", "b", "2")
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(tx.Rollback()).To(Succeed())
	f.Expect(db.QueryRow("SELECT value FROM kv WHERE key = $1", "b").Scan(&v)).To(MatchError(sql.ErrNoRows))
	f.Expect(db.Ping()).To(Succeed())
}

func TestCancel(t *testing.T) {
	f := newFixture(t)
	conn := f.connect("")
	done := make(chan error, 1)
	go func() {
		_, err := conn.Exec(f.context(), "SELECT pg_sleep(60)")
		done <- err
	}()
	f.Eventually(f.home.openLanes.Load, "10s").Should(BeEquivalentTo(1))
	f.Eventually(func() string {
		f.Expect(conn.PgConn().CancelRequest(f.context())).To(Succeed())
		select {
		case err := <-done:
			return sqlstate(err)
		default:
			return ""
		}
	}, "10s").Should(Equal("57014"))
}

func TestPlainBegin(t *testing.T) {
	g := NewWithT(t)
	for sql, want := range map[string]txn.Begin{
		"BEGIN": txn.BeginReadWrite, "begin work": txn.BeginReadWrite, "START TRANSACTION": txn.BeginReadWrite,
		"BEGIN READ ONLY": txn.BeginNone, "BEGIN ISOLATION LEVEL SERIALIZABLE": txn.BeginNone, "": txn.BeginNone,
	} {
		g.Expect(plainBegin(sql, catalogue.AccessWrite)).To(Equal(want), sql)
	}
	g.Expect(plainBegin("BEGIN", catalogue.AccessRead)).To(Equal(txn.BeginReadOnly))
}
