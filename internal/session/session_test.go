package session

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	"egretroad/internal/broker"
	"egretroad/internal/bytebudget"
	"egretroad/internal/catalogue"
	"egretroad/internal/clock"
	"egretroad/internal/eventlog"
	"egretroad/internal/metrics"
	"egretroad/internal/outcome"
	"egretroad/internal/statement"
	"egretroad/internal/topology"
)

// fakeBroker is a broker.Broker that calls the functions set by the test and records
// requests.
type fakeBroker struct {
	mu            sync.Mutex // guards the fields below
	run           func(r broker.Request) broker.Result
	provePosition func(server string) (broker.Proof, error)
	requests      []broker.Request
	released      []broker.LaneID
}

func (b *fakeBroker) Run(_ context.Context, r broker.Request) broker.Result {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests = append(b.requests, r)
	result := b.run(r)
	result.Via = "vm"
	return result
}

func (b *fakeBroker) Release(_, _ string, lane broker.LaneID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.released = append(b.released, lane)
}

func (b *fakeBroker) ProvePosition(_ context.Context, server string, _ time.Duration) (broker.Proof, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.provePosition(server)
}

func (b *fakeBroker) ReplicationStatus(context.Context, string) (broker.ReplicationStatus, error) {
	return broker.ReplicationStatus{}, nil
}

func (b *fakeBroker) requestCount(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, r := range b.requests {
		if r.Statement.ID == id {
			n++
		}
	}
	return n
}

// fixture is an engine with one session. Tests call the session's handle method
// directly instead of sending statements over a connection.
type fixture struct {
	g         *WithT
	broker    *fakeBroker
	engine    *Engine
	session   *session
	publisher *topology.Publisher
}

const primaryMark = 100

func newEntry(name string, f catalogue.Freshness) catalogue.Entry {
	e := catalogue.Entry{
		Name: name, Kind: name, Owner: name, Database: name, Default: true, Rank: catalogue.RankOrders,
		Access: catalogue.AccessWrite, Deadline: 300, LatencyObjective: 200, Group: "orders", Freshness: f,
	}
	if f != catalogue.FreshLatest {
		e.MaxAge = 1000
	}
	return e
}

func newFixture(t *testing.T, database string) *fixture {
	f := &fixture{g: NewWithT(t), broker: &fakeBroker{}}
	f.broker.run = success
	f.broker.provePosition = func(string) (broker.Proof, error) {
		return broker.Proof{Mark: topology.Mark{Database: "orders", Term: 2, Position: primaryMark}}, nil
	}
	servers := []topology.Server{
		{ID: "near", DataCentre: "a", Region: "r", State: topology.ServerActive},
		{ID: "far", DataCentre: "b", Region: "s", State: topology.ServerActive},
		{ID: "primary", DataCentre: "c", Region: "t", State: topology.ServerActive},
	}
	f.publisher = topology.NewPublisher(&topology.Snapshot{
		Self:      "vm",
		Catalogue: catalogue.New([]catalogue.Entry{newEntry("latest", catalogue.FreshLatest), newEntry("own", catalogue.FreshOwn), newEntry("aged", catalogue.FreshAge)}),
		Groups:    map[string]*topology.Group{"orders": {Database: "orders", Primary: "primary", Servers: servers}},
	})
	o := DefaultOptions()
	o.NoPrimaryWait, o.RetryBackoff = 300*time.Millisecond, 5*time.Millisecond
	f.engine = New(o, Deps{
		Self: topology.VM{ID: "vm", DataCentre: "a", Region: "r"}, Source: f.publisher, Broker: f.broker, Log: eventlog.Discard(),
		Metrics: metrics.NewRegistry(), NewConn: func(net.Conn, *bytebudget.Budget) Conn { return nil },
	})
	f.session = &session{engine: f.engine, id: 1, database: database}
	return f
}

// success returns the result of a server that runs every statement.
func success(r broker.Request) broker.Result {
	result := broker.Result{Reply: statement.Reply{Signature: "sig." + r.Statement.ID, Mark: topology.Mark{Database: "orders", Term: 2, Position: primaryMark + 1}}}
	if r.Begin != 0 || r.InTransaction {
		result.Reply.State = statement.InTxn
	}
	if r.Statement.Verb == statement.Commit {
		result.Reply.State = statement.Idle
	}
	return result
}

func (f *fixture) handle(id string, verb statement.Verb) statement.Reply {
	return f.session.handle(statement.Statement{ID: id, Verb: verb, Writes: verb == statement.Write}, clock.Boottime())
}

func notRun(reason outcome.Reason) broker.Result {
	return broker.Result{Outcome: broker.NotRun, Reason: reason}
}

func TestWriteWithLostReplyIsInDoubtAndNotRetried(t *testing.T) {
	f := newFixture(t, "own")
	f.broker.run = func(broker.Request) broker.Result {
		return broker.Result{Outcome: broker.OutcomeUnknown, Reason: outcome.ReasonConnLost}
	}
	f.g.Expect(f.handle("w1", statement.Write).Code).To(Equal(statement.InDoubt))
	f.g.Expect(f.broker.requestCount("w1")).To(Equal(1))
}

func TestWriteThatDidNotRunIsRetried(t *testing.T) {
	f := newFixture(t, "own")
	attempts := 0
	f.broker.run = func(r broker.Request) broker.Result {
		if attempts++; attempts == 1 {
			return notRun(outcome.ReasonConnect)
		}
		return success(r)
	}
	f.g.Expect(f.handle("w1", statement.Write).OK()).To(BeTrue())
	f.g.Expect(f.broker.requestCount("w1")).To(Equal(2))
}

func TestReadWithLostReplyIsRetriedOnAnotherServer(t *testing.T) {
	f := newFixture(t, "aged")
	f.broker.run = func(r broker.Request) broker.Result {
		if r.Server == "near" {
			return broker.Result{Outcome: broker.OutcomeUnknown, Reason: outcome.ReasonHomeLost}
		}
		return success(r)
	}
	f.g.Expect(f.handle("r1", statement.Read).OK()).To(BeTrue())
	f.g.Expect(f.broker.requests[0].Server).To(Equal("near"))
	f.g.Expect(f.broker.requests[1].Server).NotTo(Equal("near"))
}

// A transaction whose connection is lost before COMMIT is sent is known to be rolled
// back; after COMMIT was sent the outcome is in doubt, if the transaction wrote.
func TestLostReplyInsideTransaction(t *testing.T) {
	for name, c := range map[string]struct {
		verbs []statement.Verb // the last one is lost
		want  statement.Code
		state statement.State
	}{
		"a statement": {[]statement.Verb{statement.Write, statement.Read}, statement.Aborted, statement.Failed},
		"the commit":  {[]statement.Verb{statement.Write, statement.Commit}, statement.InDoubt, statement.Idle},
		"a commit of nothing": {
			[]statement.Verb{statement.Read, statement.Commit}, statement.Aborted, statement.Idle,
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, "own")
			f.g.Expect(f.handle("b", statement.Begin).State).To(Equal(statement.InTxn))
			f.g.Expect(f.handle("1", c.verbs[0]).OK()).To(BeTrue())
			f.broker.run = func(broker.Request) broker.Result {
				return broker.Result{Outcome: broker.OutcomeUnknown, Reason: outcome.ReasonConnLost}
			}
			reply := f.handle("2", c.verbs[1])
			f.g.Expect(reply.Code).To(Equal(c.want))
			f.g.Expect(reply.State).To(Equal(c.state))
			f.g.Expect(f.broker.requestCount("2")).To(Equal(1))
		})
	}
}

func TestFailedTransactionRejectsStatementsUntilItEnds(t *testing.T) {
	f := newFixture(t, "own")
	f.handle("b", statement.Begin)
	f.handle("1", statement.Write)
	f.broker.run = func(broker.Request) broker.Result { return notRun(outcome.ReasonTxnAborted) }
	f.g.Expect(f.handle("2", statement.Read).Code).To(Equal(statement.Aborted))
	f.g.Expect(f.handle("3", statement.Read)).To(Equal(statement.Reply{Code: statement.Malformed, Detail: "the transaction has failed", State: statement.Failed}))
	f.g.Expect(f.handle("4", statement.Commit).Code).To(Equal(statement.Aborted))
	f.g.Expect(f.broker.requestCount("4")).To(BeZero(), "a failed transaction must not be committed")
	f.g.Expect(f.session.state).To(Equal(statement.Idle))
	f.broker.run = success
	f.g.Expect(f.handle("5", statement.Write).OK()).To(BeTrue())
}

func TestRollbackReleasesTheLane(t *testing.T) {
	f := newFixture(t, "own")
	f.handle("b", statement.Begin)
	f.handle("1", statement.Write)
	f.g.Expect(f.handle("2", statement.Rollback).OK()).To(BeTrue())
	f.g.Expect(f.broker.released).To(HaveLen(1))
	f.g.Expect(f.broker.requestCount("2")).To(BeZero())
}

func TestFirstStatementOfTransactionIsRetriedOnAnotherServer(t *testing.T) {
	f := newFixture(t, "own")
	f.broker.run = func(r broker.Request) broker.Result {
		if r.Server == "near" {
			return notRun(outcome.ReasonConnect)
		}
		return success(r)
	}
	f.handle("b", statement.BeginRead)
	f.g.Expect(f.handle("1", statement.Read).OK()).To(BeTrue())
	f.g.Expect(f.handle("2", statement.Read).OK()).To(BeTrue())
	last := f.broker.requests[len(f.broker.requests)-1]
	f.g.Expect(last.InTransaction).To(BeTrue())
	f.g.Expect(last.Server).To(Equal(f.broker.requests[1].Server))
	f.g.Expect(f.broker.requests[0].Lane).NotTo(Equal(last.Lane), "the lane of a refused attempt is not reused")
}

func TestReadRouting(t *testing.T) {
	f := newFixture(t, "latest")
	f.handle("r1", statement.Read)
	f.g.Expect(f.broker.requests[0].Server).To(Equal("primary"))
	f.g.Expect(f.broker.requests[0].RequiresPrimary).To(BeTrue())
	f.session.database = "aged"
	f.handle("r2", statement.Read)
	f.g.Expect(f.broker.requests[1].Server).To(Equal("near"))
	f.g.Expect(f.broker.requests[1].RequiresPrimary).To(BeFalse())
	f.g.Expect(f.broker.requests[1].MinPosition.Position).To(Equal(uint64(primaryMark)))
	// A transaction that may write needs the primary. On a route whose reads must see
	// every commit, BEGIN READ is sent as BEGIN, which only the primary accepts.
	f.session.database = "latest"
	f.handle("b", statement.BeginRead)
	f.handle("r3", statement.Read)
	f.g.Expect(f.broker.requests[2].Server).To(Equal("primary"))
	f.g.Expect(f.broker.requests[2].Begin).To(Equal(statement.Begin))
}

func TestReadYourWrites(t *testing.T) {
	f := newFixture(t, "own")
	f.handle("w1", statement.Write)
	f.handle("r1", statement.Read)
	f.g.Expect(f.broker.requests[1].MinPosition.Position).To(Equal(uint64(primaryMark + 1)))
	f.handle("b", statement.Begin)
	f.handle("w2", statement.Write)
	f.handle("c", statement.Commit)
	f.g.Expect(f.session.marks["orders"].Position).To(Equal(uint64(primaryMark + 1)))
}

// A promotion may have rolled back the session's commit. A proven position of the new
// term covers everything retained of the old one, so reads must not wait for the old
// mark.
func TestMarkOfOldTermDoesNotBlockReads(t *testing.T) {
	f := newFixture(t, "own")
	f.session.record(topology.Mark{Database: "orders", Term: 1, Position: 5000})
	f.handle("r1", statement.Read)
	f.g.Expect(f.broker.requests[0].MinPosition).To(Equal(topology.Mark{Database: "orders", Term: 2, Position: primaryMark}))
}

// A route was moved to the servers of another group. Reads waited for the position of the
// session's commit in the log of the old group, which has nothing to do with the new one.
func TestCommitBeforeRouteMovedToOtherGroupDoesNotBlockReads(t *testing.T) {
	f := newFixture(t, "own")
	committed := topology.Mark{Database: "stock", Term: 9, Position: 5000}
	f.session.record(committed)
	f.handle("r1", statement.Read)
	f.g.Expect(f.broker.requests[0].MinPosition).To(Equal(topology.Mark{Database: "orders", Term: 2, Position: primaryMark}))
	f.handle("w1", statement.Write)
	f.handle("r2", statement.Read)
	f.g.Expect(f.broker.requests[2].MinPosition).To(Equal(topology.Mark{Database: "orders", Term: 2, Position: primaryMark + 1}))
	f.g.Expect(f.session.marks["stock"]).To(Equal(committed), "the route may move back")
}

func TestReadWithoutProvenPositionIsNotSent(t *testing.T) {
	f := newFixture(t, "aged")
	f.broker.provePosition = func(string) (broker.Proof, error) { return broker.Proof{}, &NoPrimaryError{Database: "orders"} }
	f.g.Expect(f.handle("r1", statement.Read).Code).To(Equal(statement.Lagging))
	f.g.Expect(f.broker.requestCount("r1")).To(BeZero())
}

// The registered primary may just have been replaced: the other servers are tried
// before the statement fails.
func TestUnregisteredNewPrimaryIsFound(t *testing.T) {
	f := newFixture(t, "latest")
	f.broker.run = func(r broker.Request) broker.Result {
		if r.Server != "far" {
			return notRun(outcome.ReasonReplaced)
		}
		return success(r)
	}
	f.g.Expect(f.handle("w1", statement.Write).OK()).To(BeTrue())
}

func TestOverloadedPrimaryFailsFast(t *testing.T) {
	f := newFixture(t, "own")
	f.broker.run = func(broker.Request) broker.Result {
		return broker.Result{Outcome: broker.NotRun, Reason: outcome.ReasonDeadline, RetryAfter: 40 * time.Millisecond}
	}
	began := clock.Boottime()
	reply := f.handle("w1", statement.Write)
	f.g.Expect(reply.Code).To(Equal(statement.Busy))
	f.g.Expect(reply.Detail).To(ContainSubstring("come back in 40ms"))
	f.g.Expect(f.broker.requestCount("w1")).To(Equal(1))
	f.g.Expect(clock.Boottime() - began).To(BeNumerically("<", f.engine.options.NoPrimaryWait))
}

// Both replicas lag and the primary is unreachable: waiting reads must back off instead
// of retrying all servers every few milliseconds.
func TestWaitingReadsBackOff(t *testing.T) {
	f := newFixture(t, "own")
	f.broker.run = func(r broker.Request) broker.Result {
		if r.Server == "primary" {
			return notRun(outcome.ReasonConnect)
		}
		return broker.Result{Reply: statement.Reply{Code: statement.Lagging}}
	}
	f.g.Expect(f.handle("r1", statement.Read).OK()).To(BeFalse())
	// A back-off that starts at 5 ms and grows by half, with jitter down to half of it,
	// exceeds 300 ms within ten rounds; constant pauses of 5 ms would make sixty.
	const rounds, servers = 15, 3
	f.g.Expect(f.broker.requestCount("r1")).To(And(BeNumerically(">", servers), BeNumerically("<=", rounds*servers)))
}

func TestPreparedStatementsAndSettingsBelongToTheSession(t *testing.T) {
	f := newFixture(t, "own")
	f.g.Expect(f.session.handle(statement.Statement{ID: "p", Verb: statement.Prepare, Name: "s1", Value: "q1", Writes: true}, 0).OK()).To(BeTrue())
	f.g.Expect(f.session.handle(statement.Statement{ID: "s", Verb: statement.Set, Name: "tz", Value: "north"}, 0).OK()).To(BeTrue())
	f.g.Expect(f.session.handle(statement.Statement{ID: "e", Verb: statement.Execute, Name: "s1", Value: "a b"}, clock.Boottime()).OK()).To(BeTrue())
	r := f.broker.requests[0]
	f.g.Expect(*r.Prepared).To(Equal(statement.Prepared{Writes: true, Text: "q1"}))
	f.g.Expect(r.Statement.Writes).To(BeTrue(), "executing a prepared write counts as a write")
	f.g.Expect(r.Server).To(Equal("primary"))
	f.g.Expect(r.Settings).To(Equal([]statement.Setting{{Name: "tz", Value: "north"}}))
	f.g.Expect(f.session.handle(statement.Statement{ID: "d", Verb: statement.Deallocate, Name: "s1"}, 0).OK()).To(BeTrue())
	f.g.Expect(f.session.handle(statement.Statement{ID: "e2", Verb: statement.Execute, Name: "s1"}, 0).Code).To(Equal(statement.UnknownPrepared))
}

func TestSessionMemoryIsBounded(t *testing.T) {
	f := newFixture(t, "own")
	refused := false
	for range 2 * maxSettingsBytes / 1000 {
		refused = refused || !f.session.handle(statement.Statement{Verb: statement.Set, Name: "a" + string(make([]byte, 1000)), Value: ""}, 0).OK()
	}
	f.g.Expect(refused).To(BeFalse(), "replacing a setting does not add to its memory")
	for i := range 2 * maxPrepared {
		reply := f.session.handle(statement.Statement{Verb: statement.Prepare, Name: string(rune(i + 1))}, 0)
		f.g.Expect(reply.OK()).To(Equal(i < maxPrepared))
	}
}

func TestUnknownDatabaseIsRefused(t *testing.T) {
	f := newFixture(t, "nowhere")
	f.g.Expect(f.handle("r1", statement.Read).Code).To(Equal(statement.UnknownDatabase))
	f.g.Expect(f.handle("b", statement.Begin).Code).To(Equal(statement.UnknownDatabase))
}

// An on-call engineer must be able to tell what a VM had in force when it refused a request.
func TestRefusalLogsConfigurationInForce(t *testing.T) {
	f := newFixture(t, "missing")
	log := &bytes.Buffer{}
	f.engine.log = eventlog.New(log, hclog.Info)
	next := *f.publisher.Snapshot()
	next.Revision, next.Configuration = 11, topology.Configuration{Complete: 7, From: "list of the store", Entries: 3, Later: 1}
	f.publisher.Publish(&next)
	for id, verb := range map[string]statement.Verb{"r1": statement.Read, "b1": statement.Begin} {
		log.Reset()
		f.handle(id, verb)
		f.g.Expect(log.String()).To(ContainSubstring(`event=statement_refused id=` + id))
		f.g.Expect(log.String()).To(ContainSubstring(`database=missing revision=11 complete=7 complete_from="list of the store" entries=3 later_entries=1`))
	}
}

// scriptConn is a Conn that reads a fixed list of statements.
type scriptConn struct {
	Conn
	mu          sync.Mutex // guards replies and closed
	script      []statement.Statement
	unblock     chan struct{} // Read blocks on it after the last statement
	unblockOnce sync.Once     // closes unblock
	replies     []statement.Reply
	closed      bool
	database    string // "": own
}

func (c *scriptConn) ReadStartup() (string, error) {
	if c.database == "" {
		return "own", nil
	}
	return c.database, nil
}

func (c *scriptConn) AcceptSession() error { return nil }
func (c *scriptConn) Buffered() bool       { return len(c.script) > 0 }

func (c *scriptConn) Read() (statement.Statement, error) {
	if len(c.script) == 0 {
		<-c.unblock
		return statement.Statement{}, io.EOF
	}
	st := c.script[0]
	c.script = c.script[1:]
	return st, nil
}

func (c *scriptConn) Reply(r statement.Reply) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replies = append(c.replies, r)
	return nil
}

// SetReadDeadline unblocks a waiting Read at the deadline.
func (c *scriptConn) SetReadDeadline(at time.Time) error {
	if !at.IsZero() {
		time.AfterFunc(time.Until(at), func() { c.unblockOnce.Do(func() { close(c.unblock) }) })
	}
	return nil
}

func (c *scriptConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	return nil
}

// Draining must reply to every statement already read, and end idle sessions.
func TestDrainRepliesToStatementsAlreadyRead(t *testing.T) {
	f := newFixture(t, "own")
	release := make(chan struct{})
	f.broker.run = func(r broker.Request) broker.Result {
		<-release
		return success(r)
	}
	busy := &scriptConn{script: []statement.Statement{{ID: "w1", Verb: statement.Write, Writes: true}}, unblock: make(chan struct{})}
	idle := &scriptConn{unblock: make(chan struct{})}
	for _, c := range []*scriptConn{busy, idle} {
		s := &session{engine: f.engine, id: f.engine.lastSessionID.Add(1), conn: c}
		f.g.Expect(f.engine.register(s)).To(BeTrue())
		go s.serve()
	}
	f.g.Eventually(func() int { return len(idle.script) + f.engine.Sessions() }).Should(Equal(2))
	drained := make(chan error, 1)
	go func() { drained <- f.engine.Drain(context.Background()) }()
	f.g.Consistently(drained, "50ms").ShouldNot(Receive())
	close(release)
	f.g.Eventually(drained).Should(Receive(BeNil()))
	f.g.Expect(busy.replies).To(HaveLen(1))
	f.g.Expect(busy.replies[0].OK()).To(BeTrue())
	f.g.Expect(idle.closed).To(BeTrue())
}

// pipeConn is a Conn over one end of net.Pipe, which has read deadlines. Each byte received
// stands for the next statement of the script.
type pipeConn struct {
	scriptConn
	net.Conn
}

func (c *pipeConn) Buffered() bool                     { return false }
func (c *pipeConn) SetReadDeadline(at time.Time) error { return c.Conn.SetReadDeadline(at) }
func (c *pipeConn) Close() error                       { return c.Conn.Close() }

func (c *pipeConn) Read() (statement.Statement, error) {
	if _, err := c.Conn.Read(make([]byte, 1)); err != nil {
		return statement.Statement{}, err
	}
	return c.scriptConn.Read()
}

func (c *pipeConn) lastReply() statement.Reply {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.replies) == 0 {
		return statement.Reply{}
	}
	return c.replies[len(c.replies)-1]
}

// A transaction whose statement was running at half of the grace period went on until the
// process ended, which cut its statements off.
func TestStopEndsTransactionAfterItsRunningStatement(t *testing.T) {
	f := newFixture(t, "own")
	f.engine.options.IdleInTxn = time.Hour
	running, release := make(chan struct{}), make(chan struct{})
	f.broker.run = func(r broker.Request) broker.Result {
		close(running)
		<-release
		result := success(r)
		result.Reply.State = statement.InTxn
		return result
	}
	here, there := net.Pipe()
	c := &pipeConn{Conn: there, scriptConn: scriptConn{script: []statement.Statement{
		{ID: "b", Verb: statement.BeginRead}, {ID: "r", Text: "READ 1", Verb: statement.Read}, {ID: "c", Verb: statement.Commit},
	}}}
	sendNext := func() {
		_, err := here.Write([]byte{0})
		f.g.Expect(err).NotTo(HaveOccurred())
	}
	s := &session{engine: f.engine, id: 1, conn: c, database: "own"}
	f.g.Expect(f.engine.register(s)).To(BeTrue())
	go s.serve()
	sendNext()
	sendNext()
	<-running
	drained := make(chan error, 1)
	go func() { drained <- f.engine.Drain(context.Background()) }()
	f.g.Eventually(f.engine.draining).Should(BeTrue())
	f.engine.EndTransactions()
	close(release)
	f.g.Eventually(func() int { f.broker.mu.Lock(); defer f.broker.mu.Unlock(); return len(f.broker.released) }, "20s").Should(Equal(1), "rolled back")
	f.g.Expect(c.lastReply().OK()).To(BeTrue(), "the running statement was answered")
	sendNext()
	f.g.Eventually(drained, "20s").Should(Receive(BeNil()))
	f.g.Expect(c.lastReply().Code).To(Equal(statement.Aborted))
}

// A caller whose transaction was rolled back while it waited for its next statement was told
// that this statement is malformed, although it could not know of the rollback; it may
// retry only after a promise that nothing was kept.
func TestCallerLearnsOfRollbackBetweenItsStatements(t *testing.T) {
	next := map[string]statement.Statement{
		"read": {Verb: statement.Read}, "write": {Verb: statement.Write, Writes: true}, "set": {Verb: statement.Set, Name: "a", Value: "b"},
		"prepare": {Verb: statement.Prepare, Name: "a", Value: "b"}, "execute": {Verb: statement.Execute, Name: "a"},
		"deallocate": {Verb: statement.Deallocate, Name: "a"}, "commit": {Verb: statement.Commit},
	}
	for name, st := range next {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, "own")
			f.handle("b", statement.Begin)
			f.g.Expect(f.handle("1", statement.Write).OK()).To(BeTrue())
			f.session.conn = &pipeConn{Conn: discardConn{}}
			f.g.Expect(f.session.handleReadError(os.ErrDeadlineExceeded)).To(BeTrue(), "the session goes on")
			reply := f.session.handle(st, clock.Boottime())
			f.g.Expect(reply.Code).To(Equal(statement.Aborted))
			if st.Verb == statement.Commit {
				f.g.Expect(reply.State).To(Equal(statement.Idle))
				return
			}
			f.g.Expect(reply.State).To(Equal(statement.Failed))
			f.g.Expect(f.session.handle(st, clock.Boottime()).Code).To(Equal(statement.Malformed), "the caller knows of the failure now")
			f.g.Expect(f.handle("3", statement.Rollback).State).To(Equal(statement.Idle))
			f.g.Expect(f.handle("4", statement.Read).OK()).To(BeTrue())
		})
	}
}

// discardConn is a net.Conn whose deadlines have no effect.
type discardConn struct{ net.Conn }

func (discardConn) SetReadDeadline(time.Time) error { return nil }

// Statements that a caller had sent ahead went on after half of the grace period, until the
// end of the process cut them off. A COMMIT ends the transaction in any case.
func TestStopEndsTransactionOfCallerThatSendsAhead(t *testing.T) {
	for verb, want := range map[statement.Verb]statement.Code{
		statement.Read: statement.Aborted, statement.Write: statement.Aborted, statement.Commit: statement.NoError,
	} {
		t.Run(verb.String(), func(t *testing.T) {
			f := newFixture(t, "own")
			f.handle("b", statement.Begin)
			f.g.Expect(f.handle("1", statement.Write).OK()).To(BeTrue())
			f.engine.EndTransactions()
			f.g.Expect(f.handle("2", verb).Code).To(Equal(want))
			f.g.Expect(f.session.txn).To(BeNil())
		})
	}
}

// A statement that was still retried or running when the process ended got no answer, and its
// caller only the end of the connection.
func TestStatementsAreAnsweredBeforeDrainEnds(t *testing.T) {
	ends := map[string]func(broker.Request) broker.Result{
		"retried": func(broker.Request) broker.Result { return notRun(outcome.ReasonNoPrimary) },
		"running": func(r broker.Request) broker.Result {
			time.Sleep(min(r.StatementTimeout, 50*time.Millisecond)) // retried after a lost response
			return broker.Result{Outcome: broker.OutcomeUnknown, Reason: outcome.ReasonStatementTimeout}
		},
	}
	for name, run := range ends {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, "own")
			f.engine.options.NoPrimaryWait = time.Hour
			f.broker.run = run
			c := &scriptConn{script: []statement.Statement{{ID: "r1", Verb: statement.Read}}, unblock: make(chan struct{})}
			s := &session{engine: f.engine, id: 1, conn: c}
			f.g.Expect(f.engine.register(s)).To(BeTrue())
			go s.serve()
			f.g.Eventually(func() int { return f.broker.requestCount("r1") }, "20s", "1ms").Should(BeNumerically(">", 0))
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			f.g.Expect(f.engine.Drain(ctx)).To(Succeed())
			f.g.Expect(c.replies).To(HaveLen(1))
			f.g.Expect(c.replies[0].Code).To(BeElementOf(statement.Busy, statement.Aborted))
		})
	}
}

// Statements that a stopping VM sends to a server end before the process does.
func TestStopBoundsTimeOfStatements(t *testing.T) {
	f := newFixture(t, "own")
	f.g.Expect(f.handle("w1", statement.Write).OK()).To(BeTrue())
	f.g.Expect(f.broker.requests[0].StatementTimeout).To(Equal(newEntry("own", catalogue.FreshOwn).Deadline.Duration()))
	f.engine.stopAt.Store(int64(clock.Boottime() + 50*time.Millisecond))
	f.handle("b", statement.Begin)
	f.handle("w2", statement.Write)
	f.handle("c", statement.Commit)
	for _, r := range f.broker.requests[1:] {
		f.g.Expect(r.StatementTimeout).To(BeNumerically("<=", 50*time.Millisecond))
		f.g.Expect(r.QueueTimeout).To(BeNumerically("<=", 50*time.Millisecond))
	}
}

// deadlineConn records the read deadline; a part of a message has been received.
type deadlineConn struct {
	Conn
	deadline time.Time
}

func (c *deadlineConn) Buffered() bool                     { return true }
func (c *deadlineConn) SetReadDeadline(at time.Time) error { c.deadline = at; return nil }

// A stopping VM waited to the end of its grace period for the rest of a message that a caller
// had begun when its transaction was rolled back.
func TestStopDoesNotWaitForRestOfMessageAfterRollback(t *testing.T) {
	f := newFixture(t, "own")
	c := &deadlineConn{}
	f.session.conn = c
	f.handle("b", statement.Begin)
	f.engine.drainStarted.Store(true)
	f.engine.EndTransactions()
	f.session.abort()
	f.g.Expect(f.session.prepareRead()).To(BeTrue())
	f.g.Expect(c.deadline.IsZero()).To(BeFalse())
}

// stuckConn is a scriptConn whose caller reads no reply until it is released.
type stuckConn struct {
	scriptConn
	stuck   *atomic.Int32 // number of replies that wait
	release chan struct{}
}

func (c *stuckConn) Reply(r statement.Reply) error {
	c.stuck.Add(1)
	<-c.release
	return c.scriptConn.Reply(r)
}

// Callers that asked for large rows and did not read the replies took the process over its
// memory limit.
func TestUnreadRepliesAreBounded(t *testing.T) {
	const sessions, size, limit = 30, 1 << 20, 4 << 20
	f := newFixture(t, "own")
	f.engine.options.MaxReplyBytes = limit
	row := strings.Repeat("x", size)
	f.broker.run = func(r broker.Request) broker.Result {
		result := success(r)
		result.Reply.Rows = []string{row}
		return result
	}
	release := make(chan struct{})
	var stuck atomic.Int32
	var conns []*stuckConn
	for i := range sessions {
		c := &stuckConn{stuck: &stuck, release: release, scriptConn: scriptConn{script: []statement.Statement{{ID: "r", Verb: statement.Read}}, unblock: make(chan struct{})}}
		conns = append(conns, c)
		s := &session{engine: f.engine, id: uint64(i), conn: c}
		f.g.Expect(f.engine.register(s)).To(BeTrue())
		go s.serve()
		f.g.Eventually(stuck.Load, "20s", "1ms").Should(BeEquivalentTo(i + 1))
	}
	close(release)
	busy := 0
	for _, c := range conns {
		f.g.Eventually(func() int { c.mu.Lock(); defer c.mu.Unlock(); return len(c.replies) }, "20s", "1ms").Should(Equal(1))
		if c.replies[0].Code == statement.Busy {
			busy++
		}
	}
	f.g.Expect(f.broker.requestCount("r")).To(Equal(limit/size + 1))
	f.g.Expect(busy).To(Equal(sessions - (limit/size + 1)))
	f.g.Eventually(f.engine.replyBytes.Load, "20s", "1ms").Should(BeZero())
	f.g.Expect(f.handle("r2", statement.Read).OK()).To(BeTrue(), "statements run again")
}

// faultyConn panics when the first statement is read.
type faultyConn struct{ Conn }

func (faultyConn) ReadStartup() (string, error)       { return "latest", nil }
func (faultyConn) AcceptSession() error               { return nil }
func (faultyConn) SetReadDeadline(time.Time) error    { return nil }
func (faultyConn) Buffered() bool                     { return false }
func (faultyConn) Read() (statement.Statement, error) { panic("unexpected input") }
func (faultyConn) Close() error                       { return nil }

// A fault in one session must not end the process and with it all other sessions.
func TestPanicEndsOneSession(t *testing.T) {
	f := newFixture(t, "latest")
	s := &session{engine: f.engine, id: 99, conn: faultyConn{}}
	f.g.Expect(f.engine.register(s)).To(BeTrue())
	before := f.engine.Sessions()
	s.serve()
	f.g.Expect(f.engine.Sessions()).To(Equal(before - 1))
}

// Prepared statements and values of a VM's sessions are bounded in bytes, each session's
// and all together, and what a session ends or replaces is free again.
func TestSessionStateIsBounded(t *testing.T) {
	f := newFixture(t, "latest")
	f.engine.options.MaxStateBytes = 3 << 20
	sessions := make([]*session, 4)
	for i := range sessions {
		sessions[i] = &session{engine: f.engine, id: uint64(i), database: "latest", state: statement.Idle}
	}
	prepare := func(s *session, name string, size int) statement.Code {
		return s.handlePrepare(statement.Statement{Verb: statement.Prepare, Name: name, Value: strings.Repeat("x", size)}).Code
	}
	const large = 1 << 20
	f.g.Expect(prepare(sessions[0], "a", large)).To(Equal(statement.NoError))
	f.g.Expect(prepare(sessions[0], "a", large)).To(Equal(statement.NoError), "replaces the first")
	f.g.Expect(prepare(sessions[0], "b", large)).To(Equal(statement.TooLarge))
	f.g.Expect(prepare(sessions[1], "a", large)).To(Equal(statement.NoError))
	f.g.Expect(prepare(sessions[2], "a", large)).To(Equal(statement.Busy))
	f.g.Expect(prepare(sessions[2], "a", 200)).To(Equal(statement.NoError), "ordinary statements go on")
	f.g.Expect(sessions[1].handleLocal(statement.Statement{Verb: statement.Deallocate, Name: "a"}).Code).To(Equal(statement.NoError))
	f.g.Expect(prepare(sessions[3], "a", large)).To(Equal(statement.NoError))
	f.g.Expect(f.engine.stateBytes.Load()).To(BeEquivalentTo(2*(large+1) + 200 + 1))
}

// The name of the database kept the whole first message of its session in memory.
func TestSessionDoesNotKeepItsFirstMessage(t *testing.T) {
	const size = 1 << 20
	f := newFixture(t, "own")
	before := liveHeap()
	sessions := make([]*session, 20)
	for i := range sessions {
		c := &scriptConn{unblock: make(chan struct{}), database: ("own" + strings.Repeat("x", size))[:3]}
		close(c.unblock)
		sessions[i] = &session{engine: f.engine, id: uint64(i), conn: c}
		f.g.Expect(f.engine.register(sessions[i])).To(BeTrue())
		sessions[i].serve()
		c.database = ""
	}
	f.g.Expect(liveHeap() - before).To(BeNumerically("<", size))
	runtime.KeepAlive(sessions)
}

// liveHeap returns the size of the heap after a garbage collection.
func liveHeap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
