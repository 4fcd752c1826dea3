package gateway

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/gomega"

	"egretroad/internal/catalogue"
	"egretroad/internal/clock"
	"egretroad/internal/eventlog"
	"egretroad/internal/metrics"
	"egretroad/internal/topology"
)

// fixture is a gateway that listens on loopback and uses a fake home.
type fixture struct {
	*GomegaWithT
	t       testing.TB
	home    *fakeHome
	gateway *Gateway
	source  *topology.Publisher
	port    int
}

func testSnapshot() *topology.Snapshot {
	servers := []topology.Server{
		{ID: "orders1-a", DataCentre: "salish-a", Region: "salish", State: topology.ServerActive},
		{ID: "orders1-b", DataCentre: "willamette-a", Region: "willamette", State: topology.ServerActive},
		{ID: "orders1-c", DataCentre: "inland-a", Region: "inland", State: topology.ServerActive},
	}
	entries := []catalogue.Entry{
		{Name: "orders", Kind: "orders", Owner: "shop", Database: "orders1", Default: true, Rank: 1, Access: catalogue.AccessWrite, Deadline: 5000},
		{Name: "stock", Kind: "stock", Owner: "shop", Database: "orders1", Rank: 2, Access: catalogue.AccessRead, Repeatable: true, Deadline: 5000},
		{Name: "reports", Kind: "reports", Owner: "shop", Database: "orders1", Rank: 3, Access: catalogue.AccessRead, MaxAge: 30_000, Deadline: 5000},
		{Name: "quick", Kind: "quick", Owner: "shop", Database: "orders1", Rank: 1, Access: catalogue.AccessWrite, Deadline: 100},
	}
	return &topology.Snapshot{
		Self: "vm1", Revision: 1, Catalogue: catalogue.New(entries),
		Groups: map[string]*topology.Group{"orders1": {Database: "orders1", Term: 1, Primary: "orders1-a", Servers: servers}},
		VMs:    map[string]topology.VM{"vm1": {ID: "vm1", DataCentre: "willamette-a", Region: "willamette"}},
	}
}

// newFixtureWithoutListener returns a fixture whose gateway does not listen. Tests
// pass connections to serveConn.
func newFixtureWithoutListener(t testing.TB, change ...func(*Options)) *fixture {
	f := &fixture{GomegaWithT: NewWithT(t), t: t, home: newFakeHome(), source: topology.NewPublisher(testSnapshot())}
	t.Cleanup(func() {
		if n := f.gateway.counters.panics.Value(); n != 0 {
			t.Errorf("%d sessions panicked", n)
		}
	})
	o := DefaultOptions()
	o.FleetKey = []byte("fleet key")
	for _, c := range change {
		c(&o)
	}
	f.gateway = New(o, Deps{
		Source: f.source, Home: f.home, Log: eventlog.New(os.Stderr, hclog.Error), Metrics: metrics.NewRegistry(), Now: clock.Boottime,
	})
	return f
}

func newFixture(t testing.TB, change ...func(*Options)) *fixture {
	f := newFixtureWithoutListener(t, change...)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	f.Expect(err).NotTo(HaveOccurred())
	f.port = l.Addr().(*net.TCPAddr).Port
	served := make(chan error, 1)
	go func() { served <- f.gateway.Serve(l) }()
	t.Cleanup(func() {
		f.gateway.Close()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return f
}

func (f *fixture) dsn(extra string) string {
	return fmt.Sprintf("postgres://shop@127.0.0.1:%d/orders1?sslmode=disable%s", f.port, extra)
}

func (f *fixture) connect(extra string) *pgx.Conn {
	f.t.Helper()
	conn, err := pgx.Connect(f.context(), f.dsn(extra))
	f.Expect(err).NotTo(HaveOccurred())
	f.t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

// context returns a context whose time-out is far longer than any step of a test.
func (f *fixture) context() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	f.t.Cleanup(cancel)
	return ctx
}

// rawCaller is a caller that uses the protocol without a client library.
type rawCaller struct {
	f        *fixture
	conn     net.Conn
	frontend *pgproto3.Frontend
}

func (f *fixture) dialRaw() *rawCaller {
	f.t.Helper()
	conn, err := net.Dial("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(f.port)))
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(conn.SetDeadline(time.Now().Add(time.Minute))).To(Succeed())
	c := &rawCaller{f: f, conn: conn, frontend: pgproto3.NewFrontend(conn, conn)}
	_, err = conn.Write(shopStartup)
	f.Expect(err).NotTo(HaveOccurred())
	c.untilReady()
	return c
}

// query runs a simple query and returns the result of untilReady.
func (c *rawCaller) query(sql string) []string {
	c.frontend.Send(&pgproto3.Query{String: sql})
	c.f.Expect(c.frontend.Flush()).To(Succeed())
	return c.untilReady()
}

// untilReady reads up to ReadyForQuery. It returns the first column of each row,
// the command tags and SQLSTATEs, and last the transaction status.
func (c *rawCaller) untilReady() []string {
	var seen []string
	for {
		m, err := c.frontend.Receive()
		c.f.Expect(err).NotTo(HaveOccurred())
		switch m := m.(type) {
		case *pgproto3.CommandComplete:
			seen = append(seen, string(m.CommandTag))
		case *pgproto3.ErrorResponse:
			seen = append(seen, m.Code)
		case *pgproto3.DataRow:
			seen = append(seen, string(m.Values[0]))
		case *pgproto3.ReadyForQuery:
			return append(seen, string(m.TxStatus))
		}
	}
}
