package session

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"egretroad/internal/broker"
	"egretroad/internal/catalogue"
	"egretroad/internal/clock"
	"egretroad/internal/eventlog"
	"egretroad/internal/metrics"
	"egretroad/internal/outcome"
	"egretroad/internal/statement"
	"egretroad/internal/topology"
)

// fakeBroker answers requests by a script and records them.
type fakeBroker struct {
	mu       sync.Mutex // guards the fields below
	answer   func(r broker.Request) broker.Result
	position func(server string) (broker.Proof, error)
	requests []broker.Request
	released []broker.LaneID
}

func (b *fakeBroker) Run(_ context.Context, r broker.Request) broker.Result {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests = append(b.requests, r)
	result := b.answer(r)
	result.Via = "vm"
	return result
}

func (b *fakeBroker) Release(_, _ string, lane broker.LaneID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.released = append(b.released, lane)
}

func (b *fakeBroker) Position(_ context.Context, server string, _ time.Duration) (broker.Proof, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.position(server)
}

func (b *fakeBroker) Standing(context.Context, string) (broker.Standing, error) {
	return broker.Standing{}, nil
}

func (b *fakeBroker) sent(id string) int {
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

// fixture is an engine with one session, whose statements are handled directly.
type fixture struct {
	g   *WithT
	b   *fakeBroker
	e   *Engine
	s   *session
	pub *topology.Publisher
}

const primaryMark = 100

func entryOf(name string, f catalogue.Freshness) catalogue.Entry {
	e := catalogue.Entry{
		Name: name, Kind: name, Owner: name, Database: name, Default: true, Rank: catalogue.RankOrders,
		Access: catalogue.AccessWrite, Deadline: 300, Objective: 200, Group: "orders", Freshness: f,
	}
	if f != catalogue.FreshLatest {
		e.MaxAge = 1000
	}
	return e
}

func newFixture(t *testing.T, database string) *fixture {
	f := &fixture{g: NewWithT(t), b: &fakeBroker{}}
	f.b.answer = success
	f.b.position = func(string) (broker.Proof, error) {
		return broker.Proof{Mark: topology.Mark{Database: "orders", Term: 2, Position: primaryMark}}, nil
	}
	servers := []topology.Server{
		{ID: "near", DataCentre: "a", Region: "r", State: topology.ServerActive},
		{ID: "far", DataCentre: "b", Region: "s", State: topology.ServerActive},
		{ID: "lead", DataCentre: "c", Region: "t", State: topology.ServerActive},
	}
	f.pub = topology.NewPublisher(&topology.Snapshot{
		Self:      "vm",
		Catalogue: catalogue.New([]catalogue.Entry{entryOf("latest", catalogue.FreshLatest), entryOf("own", catalogue.FreshOwn), entryOf("aged", catalogue.FreshAge)}),
		Groups:    map[string]*topology.Group{"orders": {Database: "orders", Primary: "lead", Servers: servers}},
	})
	o := DefaultOptions()
	o.GapWait, o.RetryPause = 300*time.Millisecond, 5*time.Millisecond
	f.e = New(o, Deps{
		Self: topology.VM{ID: "vm", DataCentre: "a", Region: "r"}, Source: f.pub, Broker: f.b, Log: eventlog.Discard(),
		Metrics: metrics.NewRegistry(), Wire: func(net.Conn) Conn { return nil },
	})
	f.s = &session{e: f.e, id: 1, database: database}
	return f
}

// success answers as a server that runs everything.
func success(r broker.Request) broker.Result {
	result := broker.Result{Reply: statement.Reply{Signature: "sig." + r.Statement.ID, Mark: topology.Mark{Database: "orders", Term: 2, Position: primaryMark + 1}}}
	if r.Begin != 0 || r.Joined {
		result.Reply.State = statement.InTxn
	}
	if r.Statement.Verb == statement.Commit {
		result.Reply.State = statement.Idle
	}
	return result
}

func (f *fixture) do(id string, verb statement.Verb) statement.Reply {
	return f.s.handle(statement.Statement{ID: id, Verb: verb, Writes: verb == statement.Write}, clock.Boottime())
}

func notRun(reason outcome.Reason) broker.Result {
	return broker.Result{Outcome: broker.NotRun, Reason: reason}
}

func TestAWriteThatMayHaveRunIsNeitherRepeatedNorPromised(t *testing.T) {
	f := newFixture(t, "own")
	f.b.answer = func(broker.Request) broker.Result {
		return broker.Result{Outcome: broker.Lost, Reason: outcome.ReasonConnLost}
	}
	f.g.Expect(f.do("w1", statement.Write).Code).To(Equal(statement.InDoubt))
	f.g.Expect(f.b.sent("w1")).To(Equal(1))
}

func TestAWriteThatDidNotRunIsTriedAgain(t *testing.T) {
	f := newFixture(t, "own")
	tries := 0
	f.b.answer = func(r broker.Request) broker.Result {
		if tries++; tries == 1 {
			return notRun(outcome.ReasonConnect)
		}
		return success(r)
	}
	f.g.Expect(f.do("w1", statement.Write).OK()).To(BeTrue())
	f.g.Expect(f.b.sent("w1")).To(Equal(2))
}

func TestAReadThatMayHaveRunIsTriedElsewhere(t *testing.T) {
	f := newFixture(t, "aged")
	f.b.answer = func(r broker.Request) broker.Result {
		if r.Server == "near" {
			return broker.Result{Outcome: broker.Lost, Reason: outcome.ReasonHomeLost}
		}
		return success(r)
	}
	f.g.Expect(f.do("r1", statement.Read).OK()).To(BeTrue())
	f.g.Expect(f.b.requests[0].Server).To(Equal("near"))
	f.g.Expect(f.b.requests[1].Server).NotTo(Equal("near"))
}

// Nothing is kept of a transaction that was not asked to commit; of one that was,
// nobody can tell.
func TestOutcomesInsideATransaction(t *testing.T) {
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
			f.g.Expect(f.do("b", statement.Begin).State).To(Equal(statement.InTxn))
			f.g.Expect(f.do("1", c.verbs[0]).OK()).To(BeTrue())
			f.b.answer = func(broker.Request) broker.Result {
				return broker.Result{Outcome: broker.Lost, Reason: outcome.ReasonConnLost}
			}
			reply := f.do("2", c.verbs[1])
			f.g.Expect(reply.Code).To(Equal(c.want))
			f.g.Expect(reply.State).To(Equal(c.state))
			f.g.Expect(f.b.sent("2")).To(Equal(1))
		})
	}
}

func TestAFailedTransactionOnlyEnds(t *testing.T) {
	f := newFixture(t, "own")
	f.do("b", statement.Begin)
	f.do("1", statement.Write)
	f.b.answer = func(broker.Request) broker.Result { return notRun(outcome.ReasonTxnAborted) }
	f.g.Expect(f.do("2", statement.Read).Code).To(Equal(statement.Aborted))
	f.g.Expect(f.do("3", statement.Read)).To(Equal(statement.Reply{Code: statement.Malformed, Detail: "the transaction has failed", State: statement.Failed}))
	f.g.Expect(f.do("4", statement.Commit).Code).To(Equal(statement.Aborted))
	f.g.Expect(f.b.sent("4")).To(BeZero(), "a failed transaction must not be committed")
	f.g.Expect(f.s.state).To(Equal(statement.Idle))
	f.b.answer = success
	f.g.Expect(f.do("5", statement.Write).OK()).To(BeTrue())
}

func TestRollbackReleasesTheLane(t *testing.T) {
	f := newFixture(t, "own")
	f.do("b", statement.Begin)
	f.do("1", statement.Write)
	f.g.Expect(f.do("2", statement.Rollback).OK()).To(BeTrue())
	f.g.Expect(f.b.released).To(HaveLen(1))
	f.g.Expect(f.b.sent("2")).To(BeZero())
}

func TestTheFirstStatementOfATransactionMayMove(t *testing.T) {
	f := newFixture(t, "own")
	f.b.answer = func(r broker.Request) broker.Result {
		if r.Server == "near" {
			return notRun(outcome.ReasonConnect)
		}
		return success(r)
	}
	f.do("b", statement.BeginRead)
	f.g.Expect(f.do("1", statement.Read).OK()).To(BeTrue())
	f.g.Expect(f.do("2", statement.Read).OK()).To(BeTrue())
	last := f.b.requests[len(f.b.requests)-1]
	f.g.Expect(last.Joined).To(BeTrue())
	f.g.Expect(last.Server).To(Equal(f.b.requests[1].Server))
	f.g.Expect(f.b.requests[0].Lane).NotTo(Equal(last.Lane), "a refused attempt's lane is not used again")
}

func TestWhereReadsGo(t *testing.T) {
	f := newFixture(t, "latest")
	f.do("r1", statement.Read)
	f.g.Expect(f.b.requests[0].Server).To(Equal("lead"))
	f.g.Expect(f.b.requests[0].Leading).To(BeTrue())
	f.s.database = "aged"
	f.do("r2", statement.Read)
	f.g.Expect(f.b.requests[1].Server).To(Equal("near"))
	f.g.Expect(f.b.requests[1].Leading).To(BeFalse())
	f.g.Expect(f.b.requests[1].After.Position).To(Equal(uint64(primaryMark)))
	// A transaction that may write needs the primary; a plain BEGIN proves the lead
	// for a route whose reads must see every commit.
	f.s.database = "latest"
	f.do("b", statement.BeginRead)
	f.do("r3", statement.Read)
	f.g.Expect(f.b.requests[2].Server).To(Equal("lead"))
	f.g.Expect(f.b.requests[2].Begin).To(Equal(statement.Begin))
}

func TestASessionsReadsSeeItsCommits(t *testing.T) {
	f := newFixture(t, "own")
	f.do("w1", statement.Write)
	f.do("r1", statement.Read)
	f.g.Expect(f.b.requests[1].After.Position).To(Equal(uint64(primaryMark + 1)))
	f.do("b", statement.Begin)
	f.do("w2", statement.Write)
	f.do("c", statement.Commit)
	f.g.Expect(f.s.mark.Position).To(Equal(uint64(primaryMark + 1)))
}

// A promotion may have rolled the session's commit back. What is proven of the new
// term covers all that is left of the old one, and must be enough.
func TestAMarkOfAnOldTermDoesNotBlock(t *testing.T) {
	f := newFixture(t, "own")
	f.s.mark = topology.Mark{Database: "orders", Term: 1, Position: 5000}
	f.do("r1", statement.Read)
	f.g.Expect(f.b.requests[0].After).To(Equal(topology.Mark{Database: "orders", Term: 2, Position: primaryMark}))
}

func TestReadsWithoutAProvenPositionAreRefusedAsNotRun(t *testing.T) {
	f := newFixture(t, "aged")
	f.b.position = func(string) (broker.Proof, error) { return broker.Proof{}, &NoPrimaryError{Database: "orders"} }
	f.g.Expect(f.do("r1", statement.Read).Code).To(Equal(statement.Behind))
	f.g.Expect(f.b.sent("r1")).To(BeZero())
}

// The registered primary may have lost the lead a moment ago; the others are asked
// before anything is given up.
func TestANewPrimaryIsFoundBeforeItRegisters(t *testing.T) {
	f := newFixture(t, "latest")
	f.b.answer = func(r broker.Request) broker.Result {
		if r.Server != "far" {
			return notRun(outcome.ReasonReplaced)
		}
		return success(r)
	}
	f.g.Expect(f.do("w1", statement.Write).OK()).To(BeTrue())
}

func TestAnOverloadedPrimaryRefusesAtOnce(t *testing.T) {
	f := newFixture(t, "own")
	f.b.answer = func(broker.Request) broker.Result {
		return broker.Result{Outcome: broker.NotRun, Reason: outcome.ReasonDeadline, RetryAfter: 40 * time.Millisecond}
	}
	began := clock.Boottime()
	reply := f.do("w1", statement.Write)
	f.g.Expect(reply.Code).To(Equal(statement.Busy))
	f.g.Expect(reply.Detail).To(ContainSubstring("come back in 40ms"))
	f.g.Expect(f.b.sent("w1")).To(Equal(1))
	f.g.Expect(clock.Boottime() - began).To(BeNumerically("<", f.e.options.GapWait))
}

// Load pattern: both replicas lack a position and the primary cannot be reached. Reads
// that wait must not add a round of tries to the load every few milliseconds.
func TestReadsThatWaitAskLessAndLess(t *testing.T) {
	f := newFixture(t, "own")
	f.b.answer = func(r broker.Request) broker.Result {
		if r.Server == "lead" {
			return notRun(outcome.ReasonConnect)
		}
		return broker.Result{Reply: statement.Reply{Code: statement.Behind}}
	}
	f.g.Expect(f.do("r1", statement.Read).OK()).To(BeFalse())
	// Pauses that grow by half from 5 ms, shortened by chance to half of that, pass
	// 300 ms within ten rounds; pauses of 5 ms make sixty.
	const rounds, servers = 15, 3
	f.g.Expect(f.b.sent("r1")).To(And(BeNumerically(">", servers), BeNumerically("<=", rounds*servers)))
}

func TestPreparedStatementsAndValuesStayWithTheSession(t *testing.T) {
	f := newFixture(t, "own")
	f.g.Expect(f.s.handle(statement.Statement{ID: "p", Verb: statement.Prepare, Name: "s1", Value: "q1", Writes: true}, 0).OK()).To(BeTrue())
	f.g.Expect(f.s.handle(statement.Statement{ID: "s", Verb: statement.Set, Name: "tz", Value: "north"}, 0).OK()).To(BeTrue())
	f.g.Expect(f.s.handle(statement.Statement{ID: "e", Verb: statement.Execute, Name: "s1", Value: "a b"}, clock.Boottime()).OK()).To(BeTrue())
	r := f.b.requests[0]
	f.g.Expect(*r.Prepared).To(Equal(statement.Prepared{Writes: true, Shape: "q1"}))
	f.g.Expect(r.Statement.Writes).To(BeTrue(), "the execution of a writing statement writes")
	f.g.Expect(r.Server).To(Equal("lead"))
	f.g.Expect(r.Settings).To(Equal([]statement.Setting{{Name: "tz", Value: "north"}}))
	f.g.Expect(f.s.handle(statement.Statement{ID: "d", Verb: statement.Deallocate, Name: "s1"}, 0).OK()).To(BeTrue())
	f.g.Expect(f.s.handle(statement.Statement{ID: "e2", Verb: statement.Execute, Name: "s1"}, 0).Code).To(Equal(statement.UnknownPrepared))
}

func TestMemoryOfASessionIsBounded(t *testing.T) {
	f := newFixture(t, "own")
	refused := false
	for range 2 * maxSettingsBytes / 1000 {
		refused = refused || !f.s.handle(statement.Statement{Verb: statement.Set, Name: "a" + string(make([]byte, 1000)), Value: ""}, 0).OK()
	}
	f.g.Expect(refused).To(BeFalse(), "the same name takes its memory once")
	for i := range 2 * maxPrepared {
		reply := f.s.handle(statement.Statement{Verb: statement.Prepare, Name: string(rune(i + 1))}, 0)
		f.g.Expect(reply.OK()).To(Equal(i < maxPrepared))
	}
}

func TestAnUnknownDatabaseIsRefused(t *testing.T) {
	f := newFixture(t, "nowhere")
	f.g.Expect(f.do("r1", statement.Read).Code).To(Equal(statement.UnknownDatabase))
	f.g.Expect(f.do("b", statement.Begin).Code).To(Equal(statement.UnknownDatabase))
}

// scriptConn is a caller whose statements are a script.
type scriptConn struct {
	Conn
	mu      sync.Mutex // guards replies and closed
	script  []statement.Statement
	block   chan struct{} // Read waits for it once the script has ended
	once    sync.Once     // closes block
	replies []statement.Reply
	closed  bool
}

func (c *scriptConn) ReadStart() (string, error) { return "own", nil }
func (c *scriptConn) Started() error             { return nil }
func (c *scriptConn) Buffered() bool             { return len(c.script) > 0 }

func (c *scriptConn) Read() (statement.Statement, error) {
	if len(c.script) == 0 {
		<-c.block
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

// SetReadDeadline ends a Read that waits at the deadline.
func (c *scriptConn) SetReadDeadline(at time.Time) error {
	if !at.IsZero() {
		time.AfterFunc(time.Until(at), func() { c.once.Do(func() { close(c.block) }) })
	}
	return nil
}

func (c *scriptConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	return nil
}

// A process that stops answers every statement that it has read, and ends idle
// sessions.
func TestDrainAnswersWhatWasRead(t *testing.T) {
	f := newFixture(t, "own")
	release := make(chan struct{})
	f.b.answer = func(r broker.Request) broker.Result {
		<-release
		return success(r)
	}
	busy := &scriptConn{script: []statement.Statement{{ID: "w1", Verb: statement.Write, Writes: true}}, block: make(chan struct{})}
	idle := &scriptConn{block: make(chan struct{})}
	for _, c := range []*scriptConn{busy, idle} {
		s := &session{e: f.e, id: f.e.ids.Add(1), conn: c}
		f.g.Expect(f.e.begun(s)).To(BeTrue())
		go s.serve()
	}
	f.g.Eventually(func() int { return len(idle.script) + f.e.Sessions() }).Should(Equal(2))
	drained := make(chan error, 1)
	go func() { drained <- f.e.Drain(context.Background()) }()
	f.g.Consistently(drained, "50ms").ShouldNot(Receive())
	close(release)
	f.g.Eventually(drained).Should(Receive(BeNil()))
	f.g.Expect(busy.replies).To(HaveLen(1))
	f.g.Expect(busy.replies[0].OK()).To(BeTrue())
	f.g.Expect(idle.closed).To(BeTrue())
}
