package home

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/gomega"

	"egretroad/internal/backend"
	"egretroad/internal/outcome"
	"egretroad/internal/reducer"
	"egretroad/internal/standin/pgserver"
	"egretroad/internal/txn"
)

func TestWriteThenReadOnReplica(t *testing.T) {
	f := newFixture(t, nil)
	c, result, err := f.run(write(), query(insert("a"), true))
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(c.types()).To(Equal("C"))
	f.Expect(result.TxStatus).To(Equal(byte('I')))
	f.Expect(result.Mark.Position).To(BeNumerically(">", 0))
	f.Expect(f.authority.confirmCalls.Load()).To(Equal(int64(1)))
	r := read("db-b")
	r.Mark = result.Mark
	c, _, err = f.run(r, query(selectA, true))
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(c.value()).To(Equal("v"))
}

func TestReadOnLaggingReplicaIsRefused(t *testing.T) {
	f := newFixture(t, nil)
	f.group.Server("db-b").SetLag(time.Minute)
	_, result, err := f.run(write(), query(insert("a"), true))
	f.Expect(err).NotTo(HaveOccurred())
	r := read("db-b")
	r.Mark, r.MarkWait = result.Mark, 20*time.Millisecond
	_, err = f.manager.Open(context.Background(), r)
	f.Expect(reasonOf(err)).To(Equal(outcome.ReasonBehind))
	r = read("db-b")
	r.MaxAge, r.MarkWait = time.Millisecond, 20*time.Millisecond
	_, err = f.manager.Open(context.Background(), r)
	f.Expect(reasonOf(err)).To(Equal(outcome.ReasonBehind))
}

func reasonOf(err error) outcome.Reason {
	var notRun *outcome.NotRunError
	var unknown *outcome.UnknownError
	switch {
	case errors.As(err, &notRun):
		return notRun.Reason
	case errors.As(err, &unknown):
		return "unknown:" + unknown.Reason
	}
	return ""
}

func TestPreparedStatementsWorkOnAnyConnection(t *testing.T) {
	f := newFixture(t, func(o *Options) { o.Pool.MaxStatements = 2 })
	for n := range 6 {
		st := txn.Statement{Name: fmt.Sprint("s", n%4), SQL: fmt.Sprintf("SELECT value FROM kv WHERE key = '%d'", n%4)}
		b := txn.Batch{Messages: encode(&pgproto3.Bind{PreparedStatement: st.Name}, &pgproto3.Execute{}, &pgproto3.Sync{}), Statements: []txn.Statement{st, st}}
		c, result, err := f.run(read("db-b"), b)
		f.Expect(err).NotTo(HaveOccurred())
		f.Expect(c.types()).To(Equal("2C"))
		f.Expect(result.Failed).To(BeFalse())
	}
	parse := encode(&pgproto3.Parse{Name: "p", Query: selectA}, &pgproto3.Describe{ObjectType: 'S', Name: "p"}, &pgproto3.Sync{})
	for range 3 {
		c, _, err := f.run(read("db-b"), txn.Batch{Messages: parse})
		f.Expect(err).NotTo(HaveOccurred())
		f.Expect(c.types()).To(Equal("1tT"))
	}
}

func TestErrorInPipelineSkipsToSync(t *testing.T) {
	f := newFixture(t, nil)
	batch := encode(&pgproto3.Parse{Query: "nonsense"}, &pgproto3.Bind{}, &pgproto3.Execute{},
		&pgproto3.Parse{Name: "never", Query: selectA}, &pgproto3.Sync{})
	c, result, err := f.run(read("db-b"), txn.Batch{Messages: batch})
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(c.types()).To(Equal("E"))
	f.Expect(result.Failed).To(BeTrue())
	after := encode(&pgproto3.Parse{Name: "never", Query: selectA}, &pgproto3.Close{ObjectType: 'S', Name: "never"}, &pgproto3.Sync{})
	c, _, err = f.run(read("db-b"), txn.Batch{Messages: after})
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(c.types()).To(Equal("13"))
}

func TestTransactionWithFlushCommits(t *testing.T) {
	f := newFixture(t, nil)
	lane := f.open(write())
	c := &collector{}
	for _, sql := range []string{"BEGIN", insert("a"), insert("b")} {
		result, err := lane.Run(context.Background(), query(sql, false), c.sink)
		f.Expect(err).NotTo(HaveOccurred())
		f.Expect(result.TxStatus).To(Equal(byte('T')))
	}
	flush := encode(&pgproto3.Parse{Query: selectA}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Flush{})
	result, err := lane.Run(context.Background(), txn.Batch{Messages: flush, Flush: true}, c.sink)
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(result.TxStatus).To(Equal(byte(0)))
	_, err = lane.Run(context.Background(), txn.Batch{Messages: encode(&pgproto3.Sync{})}, c.sink)
	f.Expect(err).NotTo(HaveOccurred())
	result, err = lane.Run(context.Background(), query("COMMIT", true), c.sink)
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(result.TxStatus).To(Equal(byte('I')))
	f.Expect(result.Mark.Term).To(Equal(uint64(pgserver.FirstTerm)))
	f.Expect(c.types()).To(Equal("CCC12DCC"))
	f.Expect(f.group.Server("db-a").Data()).To(HaveLen(2))
}

func TestClosedLaneRollsBack(t *testing.T) {
	f := newFixture(t, nil)
	lane := f.open(write())
	for _, sql := range []string{"BEGIN", insert("a")} {
		_, err := lane.Run(context.Background(), query(sql, false), (&collector{}).sink)
		f.Expect(err).NotTo(HaveOccurred())
	}
	lane.Close()
	lane.Close()
	f.Eventually(func() int { return f.group.Server("db-a").Stats().OpenWriters }, testTimeout).Should(BeZero())
	_, err := lane.Run(context.Background(), query("COMMIT", true), (&collector{}).sink)
	f.Expect(reasonOf(err)).To(Equal(outcome.ReasonCancelled))
	f.Expect(f.group.Server("db-a").Data()).To(BeEmpty())
}

func TestIdleTransactionTimesOut(t *testing.T) {
	f := newFixture(t, nil)
	r := write()
	r.IdleInTxn = 20 * time.Millisecond
	lane := f.open(r)
	_, err := lane.Run(context.Background(), query("BEGIN", false), (&collector{}).sink)
	f.Expect(err).NotTo(HaveOccurred())
	f.Eventually(func() outcome.Reason {
		l := lane.(*homeLane)
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.endReason
	}, testTimeout).Should(Equal(outcome.ReasonIdleInTxn))
	_, err = lane.Run(context.Background(), query("COMMIT", true), (&collector{}).sink)
	f.Expect(reasonOf(err)).To(Equal(outcome.ReasonIdleInTxn))
}

// homeLane is an alias for use where a variable shadows the type lane.
type homeLane = lane

func TestDeadlineCancelsAtServer(t *testing.T) {
	f := newFixture(t, nil)
	r := read("db-b")
	f.open(read("db-b")).Close()
	r.Timeout = 100 * time.Millisecond
	c, result, err := f.run(r, query("SELECT pg_sleep(30)", false))
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(result.Failed).To(BeTrue())
	f.Expect(c.types()).To(HaveSuffix("E"))
	f.Expect(f.group.Server("db-b").Stats().Cancels).To(Equal(int64(1)))
}

func TestCallerCancellationCancelsAtServer(t *testing.T) {
	f := newFixture(t, nil)
	lane := f.open(read("db-b"))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = lane.Run(ctx, query("SELECT pg_sleep(30)", false), (&collector{}).sink)
	}()
	f.Eventually(func() int { return f.group.Seen("pg_sleep") + int(f.group.Server("db-b").Stats().MaxConcurrent) }, testTimeout).Should(BeNumerically(">", 0))
	cancel()
	f.Eventually(done, testTimeout).Should(BeClosed())
	lane.Close()
}

func TestUnconfirmedWriteIsUnknown(t *testing.T) {
	f := newFixture(t, nil)
	f.authority.refuseConfirm.Store(true)
	c, _, err := f.run(write(), query(insert("a"), true))
	f.Expect(reasonOf(err)).To(Equal("unknown:" + outcome.ReasonUnconfirmed))
	f.Expect(c.types()).To(BeEmpty())
}

func TestSilentConnectionsAreReplaced(t *testing.T) {
	f := newFixture(t, func(o *Options) {
		o.Pool.ProbeTimeout, o.StatusTimeout = 100*time.Millisecond, 100*time.Millisecond
		o.CancelGrace = 100 * time.Millisecond
	})
	_, _, err := f.run(read("db-b"), query(selectA, false))
	f.Expect(err).NotTo(HaveOccurred())
	f.group.Server("db-b").Silence()
	f.Eventually(func() error {
		r := read("db-b")
		r.Timeout = 200 * time.Millisecond
		lane, err := f.manager.Open(context.Background(), r)
		if err != nil {
			return err
		}
		_, err = lane.Run(context.Background(), query(selectA, false), (&collector{}).sink)
		return err
	}, testTimeout).Should(Succeed())
}

func TestBrokenCommitsAreResolved(t *testing.T) {
	f := newFixture(t, nil)
	f.group.SetCommitCuts(0.5)
	const writes = 60
	acknowledged, notRun, unknown := 0, 0, 0
	for n := range writes {
		key := fmt.Sprint("k", n)
		lane := f.open(write())
		c := &collector{}
		var err error
		if n%2 == 0 {
			_, err = lane.Run(context.Background(), query(insert(key), true), c.sink)
		} else {
			_, err = lane.Run(context.Background(), query("BEGIN", false), c.sink)
			f.Expect(err).NotTo(HaveOccurred())
			_, err = lane.Run(context.Background(), query(insert(key), false), c.sink)
			f.Expect(err).NotTo(HaveOccurred())
			_, err = lane.Run(context.Background(), query("COMMIT", true), c.sink)
		}
		lane.Close()
		_, stored := f.group.Server("db-a").Data()[key]
		switch {
		case err == nil:
			acknowledged++
			f.Expect(stored).To(BeTrue(), key)
			f.Expect(c.types()).To(HaveSuffix("C"))
		case errors.As(err, new(*outcome.NotRunError)):
			notRun++
			f.Expect(stored).To(BeFalse(), key)
		default:
			unknown++
		}
	}
	f.Expect(f.group.Server("db-a").Stats().CommitCuts).To(BeNumerically(">", 10))
	f.Expect(unknown).To(BeZero())
	f.Expect(notRun).To(BeNumerically(">", 0))
	f.Expect(acknowledged).To(BeNumerically(">", writes/2))
}

func TestPositionIsCoalesced(t *testing.T) {
	f := newFixture(t, nil)
	f.open(read("db-a")).Close()
	var done sync.WaitGroup
	for range 50 {
		done.Add(1)
		go func() {
			defer done.Done()
			_, err := f.manager.Position(context.Background(), "db-a")
			f.Expect(err).NotTo(HaveOccurred())
		}()
	}
	done.Wait()
	f.authority.held.Store(false)
	f.authority.refuseConfirm.Store(true)
	_, err := f.manager.Position(context.Background(), "db-a")
	f.Expect(reasonOf(err)).To(Equal(outcome.ReasonMarkUnknown))
	_, err = f.manager.Position(context.Background(), "db-b")
	f.Expect(reasonOf(err)).To(Equal(outcome.ReasonNoPrimary))
}

func TestFenceStopsWrites(t *testing.T) {
	f := newFixture(t, nil)
	f.open(write()).Close()
	status, err := f.manager.Admin(context.Background(), txn.AdminRequest{Server: "db-a", Op: txn.AdminFence, Term: 2})
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(status.Fence).To(Equal(uint64(2)))
	_, err = f.manager.Open(context.Background(), write())
	f.Expect(reasonOf(err)).To(Equal(outcome.ReasonReplaced))
	_, err = f.manager.Admin(context.Background(), txn.AdminRequest{Server: "db-b", Op: txn.AdminPromote, Term: 9})
	f.Expect(errors.As(err, new(*outcome.FailedError))).To(BeTrue())
}

func TestMovedHomeRefusesNewWorkAndDrains(t *testing.T) {
	f := newFixture(t, nil)
	lane := f.open(write())
	_, err := lane.Run(context.Background(), query("BEGIN", false), (&collector{}).sink)
	f.Expect(err).NotTo(HaveOccurred())
	f.publisher.Publish(f.snapshot("other"))
	f.Eventually(func() outcome.Reason {
		_, err := f.manager.Open(context.Background(), write())
		return reasonOf(err)
	}, testTimeout).Should(Equal(outcome.ReasonNotHome))
	for _, sql := range []string{insert("a"), "COMMIT"} {
		_, err = lane.Run(context.Background(), query(sql, sql == "COMMIT"), (&collector{}).sink)
		f.Expect(err).NotTo(HaveOccurred())
	}
	f.Eventually(func() int64 { return f.group.Server("db-a").Stats().OpenConns }, testTimeout).Should(BeZero())
}

// TestStopWaitsForTransactionsOfMovedServer guards against Stop cutting off a
// transaction on a server whose home has moved to another VM: Stop must wait for the
// drains that are in progress too.
func TestStopWaitsForTransactionsOfMovedServer(t *testing.T) {
	f := newFixture(t, nil)
	lane := f.open(write())
	_, err := lane.Run(context.Background(), query("BEGIN", false), (&collector{}).sink)
	f.Expect(err).NotTo(HaveOccurred())
	f.publisher.Publish(f.snapshot("other"))
	f.Eventually(func() error { _, err := f.manager.find("db-a"); return err }, testTimeout).Should(HaveOccurred())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		f.manager.Stop(ctx)
	}()
	f.Consistently(stopped, 50*time.Millisecond).ShouldNot(BeClosed())
	for _, sql := range []string{insert("a"), "COMMIT"} {
		_, err = lane.Run(context.Background(), query(sql, sql == "COMMIT"), (&collector{}).sink)
		f.Expect(err).NotTo(HaveOccurred())
	}
	f.Eventually(stopped, testTimeout).Should(BeClosed())
	f.Expect(f.group.Server("db-a").Data()).To(HaveLen(1))
}

// TestStopReturnsWhileCallerBlocksDelivery guards against Stop hanging on a caller
// that never returns from its sink.
func TestStopReturnsWhileCallerBlocksDelivery(t *testing.T) {
	f := newFixture(t, func(o *Options) { o.CancelGrace, o.RollbackTimeout = 50*time.Millisecond, 50*time.Millisecond })
	lane := f.open(read("db-b"))
	blocked, release := make(chan struct{}), make(chan struct{})
	defer close(release)
	go func() {
		_, _ = lane.Run(context.Background(), query(selectA, false), func([]byte) error {
			close(blocked)
			<-release
			return nil
		})
	}()
	f.Eventually(blocked, testTimeout).Should(BeClosed())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		f.manager.Stop(ctx)
	}()
	f.Eventually(stopped, testTimeout).Should(BeClosed())
}

func TestStoppedServerRefusesQuicklyAndRecovers(t *testing.T) {
	f := newFixture(t, nil)
	f.open(read("db-b")).Close()
	f.group.Server("db-b").Stop()
	f.Eventually(func() outcome.Reason {
		lane, err := f.manager.Open(context.Background(), read("db-b"))
		if err == nil {
			lane.Close()
		}
		return reasonOf(err)
	}, testTimeout).Should(Equal(outcome.ReasonConnect))
	f.Eventually(func() string {
		o, _ := f.observed.Load("db-b")
		return o.(reducer.ServerObserved).Err
	}, testTimeout).Should(Equal(backend.CauseRefused))
	f.Expect(f.group.Server("db-b").Restart()).To(Succeed())
	f.open(read("db-b")).Close()
}

// TestConcurrentTransactionsAreIsolated runs many concurrent transactions over few
// connections and checks that each one reads its own write.
func TestConcurrentTransactionsAreIsolated(t *testing.T) {
	f := newFixture(t, nil)
	f.open(write()).Close()
	const callers, rounds = 40, 5
	var done sync.WaitGroup
	for n := range callers {
		done.Add(1)
		go func() {
			defer done.Done()
			for round := range rounds {
				f.transaction(fmt.Sprintf("key-%d-%d", n, round))
			}
		}()
	}
	done.Wait()
	f.Expect(f.group.Server("db-a").Data()).To(HaveLen(callers * rounds))
	stats := f.group.Server("db-a").Stats()
	f.Expect(stats.MaxConns).To(BeNumerically("<=", testConnections))
	f.Expect(stats.RefusedConns).To(BeZero())
}

func (f *fixture) transaction(key string) {
	lane := f.open(write())
	defer lane.Close()
	for _, sql := range []string{"BEGIN", insert(key), "SELECT value FROM kv WHERE key = '" + key + "'", "COMMIT"} {
		c := &collector{}
		_, err := lane.Run(context.Background(), query(sql, sql == "COMMIT"), c.sink)
		f.Expect(err).NotTo(HaveOccurred())
		if sql[0] == 'S' {
			f.Expect(c.value()).To(Equal("v"))
		}
	}
}

func TestTruncatedFrontendMessageIsRejected(t *testing.T) {
	f := newFixture(t, nil)
	message := binary.BigEndian.AppendUint32([]byte{'Q'}, 100)
	_, _, err := f.run(read("db-b"), txn.Batch{Messages: message})
	f.Expect(errors.As(err, new(*backend.ProtocolError))).To(BeTrue())
}

// A non-repeatable request must not get a connection that the server has closed: it
// would fail as not run, although a new connection would work.
func TestClosedConnectionsAreNotUsedForWrites(t *testing.T) {
	f := newFixture(t, func(o *Options) { o.StatusInterval = time.Hour })
	_, _, err := f.run(write(), query(insert("before"), true))
	f.Expect(err).NotTo(HaveOccurred())
	for i := range 5 {
		f.group.Server("db-a").DropConnections()
		key := fmt.Sprint("after", i)
		_, _, err := f.run(write(), query(insert(key), true))
		f.Expect(err).NotTo(HaveOccurred())
		f.Expect(f.group.Seen(key)).To(Equal(1))
	}
}
