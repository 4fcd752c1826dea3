package home

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/gomega"

	"egretroad/internal/backend"
	"egretroad/internal/catalogue"
	"egretroad/internal/eventlog"
	"egretroad/internal/outcome"
	"egretroad/internal/reducer"
	"egretroad/internal/standin/network"
	"egretroad/internal/standin/pgserver"
	"egretroad/internal/topology"
	"egretroad/internal/txn"
)

// testTimeout bounds waits in tests.
const testTimeout = 10 * time.Second

// fakeAuthority is a txn.Authority whose results the test sets.
type fakeAuthority struct {
	held          atomic.Bool
	refuseConfirm atomic.Bool
	confirmCalls  atomic.Int64
}

func (a *fakeAuthority) Held(string, uint64) bool { return a.held.Load() }

func (a *fakeAuthority) Confirm(context.Context, topology.Mark, catalogue.Confirm) error {
	a.confirmCalls.Add(1)
	if a.refuseConfirm.Load() {
		return &outcome.UnknownError{Reason: outcome.ReasonUnconfirmed, Detail: "refused by the test"}
	}
	return nil
}

// fixture is a database group of two stand-in servers, the primary db-a and the
// replica db-b, with one home.
type fixture struct {
	*WithT
	t         *testing.T
	group     *pgserver.Group
	manager   *Manager
	authority *fakeAuthority
	publisher *topology.Publisher
	observed  sync.Map // last reducer.ServerObserved by server
}

const (
	testSlots       = 2
	testConnections = 16
)

func newFixture(t *testing.T, configure func(*Options)) *fixture {
	specs := []pgserver.ServerSpec{
		{ID: "db-a", DataCentre: "dc1", Addr: "127.0.1.100:0", Slots: testSlots, MaxConnections: testConnections, ConnectDelay: 2 * time.Millisecond},
		{ID: "db-b", DataCentre: "dc1", Addr: "127.0.1.101:0", Slots: testSlots, MaxConnections: testConnections, Lag: 20 * time.Millisecond},
	}
	group, err := pgserver.NewGroup("db", specs, network.New([]string{"dc1"}), 1)
	if err != nil {
		t.Fatal(err)
	}
	group.SetRecording(true)
	f := &fixture{WithT: NewWithT(t), t: t, group: group, authority: &fakeAuthority{}}
	f.authority.held.Store(true)
	f.publisher = topology.NewPublisher(f.snapshot("self"))
	options := DefaultOptions()
	options.Pool.Backend.BindIP = "127.0.1.1"
	if configure != nil {
		configure(&options)
	}
	f.manager = New(options, Deps{
		Self: "self", Source: f.publisher, Authority: f.authority, Log: eventlog.Discard(),
		Observe: func(o reducer.ServerObserved) { f.observed.Store(o.Status.Server, o) },
	})
	f.manager.Start()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		f.manager.Stop(ctx)
		group.Close()
	})
	return f
}

func (f *fixture) snapshot(home string) *topology.Snapshot {
	g := &topology.Group{Database: "db", Term: pgserver.FirstTerm, Primary: "db-a"}
	homes := map[string]string{}
	for _, s := range f.group.Servers() {
		g.Servers = append(g.Servers, topology.Server{
			ID: s.ID(), Addr: s.Addr(), DataCentre: "dc1", State: topology.ServerActive,
			Slots: testSlots, MaxConnections: testConnections,
		})
		homes[s.ID()] = home
	}
	return &topology.Snapshot{
		Self: "self", Groups: map[string]*topology.Group{"db": g}, Homes: homes,
		Catalogue: catalogue.New([]catalogue.Entry{
			{Name: "orders", Kind: "orders", Owner: "o", Database: "db", Rank: catalogue.RankOrders, Access: catalogue.AccessWrite, Deadline: 5000},
			{Name: "stock", Kind: "stock", Owner: "o", Database: "db", Rank: catalogue.RankReads, Access: catalogue.AccessRead, Deadline: 5000},
		}),
	}
}

func write() txn.Request {
	return txn.Request{
		ID: "w", Database: "db", Server: "db-a", Term: pgserver.FirstTerm, Entry: "orders", Kind: "orders", Owner: "o", Caller: "c",
		Rank: catalogue.RankOrders, Access: catalogue.AccessWrite, Timeout: testTimeout,
	}
}

func read(server string) txn.Request {
	return txn.Request{
		ID: "r", Database: "db", Server: server, Term: pgserver.FirstTerm, Entry: "stock", Kind: "stock", Owner: "o", Caller: "c",
		Rank: catalogue.RankReads, Access: catalogue.AccessRead, Timeout: testTimeout, MarkWait: time.Second,
	}
}

// collector stores the messages delivered to a sink and decodes them.
type collector struct{ messages []byte }

func (c *collector) sink(m []byte) error {
	c.messages = append(c.messages, m...)
	return nil
}

// types returns the type bytes of the messages.
func (c *collector) types() string {
	types := ""
	for rest := c.messages; len(rest) > 0; {
		message, after, err := splitMessage(rest)
		if err != nil {
			return types + "?"
		}
		types += string(message[0])
		rest = after
	}
	return types
}

// value returns the first column of the first row.
func (c *collector) value() string {
	for rest := c.messages; len(rest) > 0; {
		message, after, err := splitMessage(rest)
		if err != nil {
			break
		}
		if message[0] == 'D' {
			row, _ := backend.DecodeRow(message)
			return row[0]
		}
		rest = after
	}
	return ""
}

func query(sql string, mayCommit bool) txn.Batch {
	return txn.Batch{Messages: backend.AppendQuery(nil, sql), MayCommit: mayCommit}
}

func encode(messages ...pgproto3.FrontendMessage) []byte {
	var out []byte
	for _, m := range messages {
		out, _ = m.Encode(out)
	}
	return out
}

func (f *fixture) open(r txn.Request) txn.Lane {
	f.t.Helper()
	var lane txn.Lane
	f.Eventually(func() (err error) {
		lane, err = f.manager.Open(context.Background(), r)
		return err
	}, testTimeout).Should(Succeed())
	return lane
}

// run opens a lane and runs one batch.
func (f *fixture) run(r txn.Request, b txn.Batch) (*collector, txn.Result, error) {
	f.t.Helper()
	lane := f.open(r)
	defer lane.Close()
	c := &collector{}
	result, err := lane.Run(context.Background(), b, c.sink)
	return c, result, err
}

func insert(key string) string {
	return fmt.Sprintf("INSERT INTO kv (key, value) VALUES ('%s', 'v')", key)
}

const selectA = "SELECT value FROM kv WHERE key = 'a'"
