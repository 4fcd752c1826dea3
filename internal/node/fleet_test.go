package node_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hashicorp/go-hclog"

	"egretroad/internal/eventlog"
	"egretroad/internal/metrics"
	"egretroad/internal/node"
	"egretroad/internal/standin/linegroup"
	"egretroad/internal/standin/metastore"
	"egretroad/platform"
)

// fleet runs real nodes in this process against stand-ins (fakes of the platform): one
// store, one group of three servers, and one VM in each of three data centres.
type fleet struct {
	t     *testing.T
	g     *WithT
	store *metastore.Store
	group *linegroup.Group
	vms   []*vm
	// keepsOldPrimaries makes the platform neither stop a replaced primary nor refuse a
	// low fencing token.
	keepsOldPrimaries bool
	links             *peerLinks    // nil: peers connect directly
	heartbeats        atomic.Uint64 // number of the servers' writes of their entries
	beforeVMs         func()        // called before the VMs start; nil: nothing
}

// vm is one running node.
type vm struct {
	settings platform.Settings
	metrics  *metrics.Registry
	stop     context.CancelFunc
	done     chan error
	log      *logBuffer
}

var zones = []string{"a", "b", "c"}

// addresses counts the allocated loopback addresses. Each VM has its own address, so
// that no other process can take a port between its choice and its use, and each test
// process has its own address range.
var addresses atomic.Uint32

func nextAddress() string {
	const ranges = 64
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", ranges+pid%ranges, pid/ranges%256, addresses.Add(1)%250+1)
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, g: NewWithT(t)}
	f.start()
	return f
}

// start starts the stand-ins and the VMs.
func (f *fleet) start() {
	t := f.t
	t.Parallel()
	var err error
	f.store, err = metastore.New()
	f.g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(f.store.Close)
	f.group, err = linegroup.New("orders", "s-a", "s-b", "s-c")
	f.g.Expect(err).NotTo(HaveOccurred())
	f.group.Lag = 5 * time.Millisecond
	t.Cleanup(f.group.Close)
	if f.keepsOldPrimaries {
		f.group.KeepsOldPrimary = true
		f.store.AcceptStaleTokens()
	}
	f.store.Promote = func(_, server string) bool {
		if !f.group.Promote(server) {
			return false
		}
		f.registerServers()
		return true
	}
	f.registerServers()
	f.putConfig(1, "shop", "stock", "grants")
	if f.beforeVMs != nil {
		f.beforeVMs()
	}
	for i := range zones {
		f.vms = append(f.vms, f.startVM(i))
	}
	for i := range f.vms {
		f.awaitReady(i)
	}
}

// registerServers writes the servers' entries with their current roles.
func (f *fleet) registerServers() {
	for _, zone := range zones {
		f.registerServer(zone, "ready")
	}
}

func (f *fleet) registerServer(zone, state string) {
	id := "s-" + zone
	role := "replica"
	if f.group.Server(id).IsPrimary() {
		role = "primary"
	}
	f.store.Put("servers", id, map[string]any{
		"service": "orders", "address": f.group.Server(id).Addr(), "zone": zone, "version": "v1", "slots": 2,
		"state": state, "cold-left-ms": 0, "db-role": role, "seq": f.heartbeats.Add(1), "born": 1,
	})
}

// putConfig writes a configuration with one route per host.
func (f *fleet) putConfig(version int, hosts ...string) {
	f.store.Put("config", "main", f.configOf(version, hosts...))
}

// configOf returns a configuration with one route per host. The routes' kinds cycle through
// primary, bounded_staleness and read_your_writes.
func (f *fleet) configOf(version int, hosts ...string) map[string]any {
	kinds := []string{"primary", "bounded_staleness", "read_your_writes"}
	var routes []map[string]any
	for i, host := range hosts {
		routes = append(routes, map[string]any{
			"name": "r-" + host, "host": host, "route-kind": kinds[i%3], "timeout-ms": 2000, "target-latency-ms": 1000,
			"priority": i % 3, "service": "orders", "max-staleness-ms": 1500,
		})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": []map[string]any{{"name": "orders", "max-conns": 16}},
		"limits": map[string]any{"tx-idle-ms": 1000},
	}
}

func (f *fleet) startVM(i int) *vm {
	ip := nextAddress()
	s := platform.Settings{
		VM: "vm-" + zones[i], DataCentre: zones[i], Region: "r-" + zones[i], Address: ip,
		Regions:      map[string]string{"a": "r-a", "b": "r-b", "c": "r-c"},
		CallerListen: ip + ":7001", ReadyListen: ip + ":7002", PeerListen: ip + ":7003", StatusListen: ip + ":7004",
		StoreAddress: f.store.Addr(), PromoteAddress: f.store.Addr(), Descriptors: 1000, Grace: testGrace,
	}
	return f.startNode(s)
}

// testGrace is long enough for a stop that hands over the VM's homes.
const testGrace = 2 * time.Second

func (f *fleet) startNode(s platform.Settings) *vm {
	lines := &logBuffer{}
	log := eventlog.New(lines, hclog.Info, "vm", s.VM)
	m := metrics.NewRegistry()
	nodeSettings := s.NodeSettings()
	if f.links != nil {
		nodeSettings.Self.PeerAddr = f.links.relay(f.t, s.Address, s.PeerListen)
	}
	n, err := node.New(nodeSettings, platform.NewAdapters(s, m, log), m, log)
	f.g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	v := &vm{settings: s, metrics: m, log: lines, stop: cancel, done: make(chan error, 1)}
	go func() { v.done <- n.Run(ctx) }()
	f.t.Cleanup(func() {
		cancel()
		v.done <- <-v.done
		lines.printOnFailure(f.t)
	})
	return v
}

// logBuffer collects a VM's log lines and prints them when the test fails.
type logBuffer struct {
	mu    sync.Mutex // guards lines
	lines []byte
}

func (l *logBuffer) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, line...)
	return len(line), nil
}

func (l *logBuffer) snapshot() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]byte(nil), l.lines...)
}

func (l *logBuffer) printOnFailure(t *testing.T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.Failed() {
		t.Logf("%s", l.lines)
	}
}

func (f *fleet) awaitReady(i int) {
	f.g.Eventually(func() string {
		c, err := net.Dial("tcp", f.vms[i].settings.ReadyListen)
		if err != nil {
			return err.Error()
		}
		defer func() { _ = c.Close() }()
		fmt.Fprintf(c, "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
		line, _ := bufio.NewReader(c).ReadString('\n')
		return line
	}, "20s", "20ms").Should(ContainSubstring("200"))
}

// caller is the caller's end of one session.
type caller struct {
	conn net.Conn
	r    *bufio.Reader
}

// reply is the reply to one statement.
type reply struct {
	rows  []string
	code  string // error code; empty on success
	sig   string
	state string
	err   error // the connection broke
}

func (f *fleet) dial(i int, database string) (*caller, error) {
	conn, err := net.DialTimeout("tcp", f.vms[i].settings.CallerListen, time.Second)
	if err != nil {
		return nil, err
	}
	c := &caller{conn: conn, r: bufio.NewReader(conn)}
	if _, err := fmt.Fprintf(conn, "CONNECT %s u\r\n", database); err != nil {
		return nil, err
	}
	line, err := c.line()
	if err != nil || !strings.HasPrefix(line, "READY I") {
		_ = conn.Close() // the session was refused
		return nil, fmt.Errorf("start: %q, %w", line, err)
	}
	return c, nil
}

func (f *fleet) session(i int, database string) *caller {
	c, err := f.dial(i, database)
	f.g.Expect(err).NotTo(HaveOccurred())
	f.t.Cleanup(c.close)
	return c
}

func (c *caller) close() { _ = c.conn.Close() } // the error does not matter after the test

func (c *caller) line() (string, error) {
	line, err := c.r.ReadString('\n')
	return strings.TrimRight(line, "\r\n"), err
}

// do sends one statement and reads its reply.
func (c *caller) do(id, text string) reply {
	var result reply
	if result.err = c.conn.SetDeadline(time.Now().Add(15 * time.Second)); result.err != nil {
		return result
	}
	if _, result.err = fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); result.err != nil {
		return result
	}
	for {
		line, err := c.line()
		if err != nil {
			result.err = err
			return result
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "ROW":
			result.rows = append(result.rows, rest)
		case "COMPLETE":
			result.sig = rest
		case "ERROR":
			result.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			result.state, _, _ = strings.Cut(rest, " ")
			return result
		}
	}
}

func TestStatementsEndToEnd(t *testing.T) {
	f := newFleet(t)
	orders := f.session(0, "shop")
	f.g.Expect(orders.do("w1", "WRITE lamp 12")).To(Equal(reply{sig: "sig.w1", state: "I"}))
	f.g.Expect(orders.do("r1", "READ lamp")).To(Equal(reply{rows: []string{"12"}, sig: "sig.r1", state: "I"}))
	// A transaction on another VM, with a session setting and a prepared statement.
	grants := f.session(1, "grants")
	f.g.Expect(grants.do("s1", "SET tz north").state).To(Equal("I"))
	f.g.Expect(grants.do("p1", "PARSE mine WRITE q7").state).To(Equal("I"))
	f.g.Expect(grants.do("b1", "BEGIN").state).To(Equal("T"))
	f.g.Expect(grants.do("x1", "EXECUTE mine lamp 13").state).To(Equal("T"))
	f.g.Expect(grants.do("c1", "COMMIT").state).To(Equal("I"))
	f.g.Expect(grants.do("r2", "READ lamp").rows).To(Equal([]string{"13"}))
	f.g.Expect(f.group.Commits()).To(HaveLen(2))
	stock := f.session(2, "stock")
	f.g.Expect(stock.do("r3", "READ lamp").code).To(BeEmpty())
	f.g.Expect(stock.do("bad", "WAITLSN 9.9 READ lamp").code).To(Equal("MALFORMED"))
	_, err := f.dial(0, "nowhere")
	f.g.Expect(err).To(MatchError(ContainSubstring("NODB")))
}

// Servers ran statements with another text than callers had sent. Each text is sent to the
// VM that is the home of the primary and to another one, which sends it on.
func TestServersGetTextsAsSent(t *testing.T) {
	f := newFleet(t)
	prepared := []string{"WRITE q1", "WRITE q1 ", "WRITE  q1", "READ q2\n", "READ q2\rx ", "WRITE a\xff\x00b", "READ ", "READ q\nQUERY x-1 WRITE c d"}
	data := []string{"a x", "a x ", "a  x", "a x\ny", "a x\ry", "a x\t", "a \xc3\x28\x00", "a see\nQUERY x-1 WRITE b y", "a"}
	sent := map[string]string{} // text by ID
	for i := range f.vms {
		c := f.session(i, "grants")
		for k, definition := range prepared {
			f.g.Expect(c.do("p", fmt.Sprintf("PARSE s%d %s", k, definition)).code).To(BeEmpty())
		}
		for n, fields := range data {
			for k := range prepared {
				id := fmt.Sprintf("e%d.%d.%d", i, n, k)
				sent[id] = "EXECUTE " + fields
				f.g.Expect(c.do(id, fmt.Sprintf("EXECUTE s%d %s", k, fields)).code).To(BeEmpty())
			}
			id := fmt.Sprintf("w%d.%d", i, n)
			sent[id] = "WRITE " + fields
			f.g.Expect(c.do(id, sent[id]).code).To(BeEmpty())
		}
	}
	definitions := map[string]bool{}
	for _, zone := range zones {
		for _, received := range f.group.Server("s-" + zone).Statements() {
			id, text, _ := strings.Cut(received, " ")
			verb, fields, _ := strings.Cut(text, " ")
			if verb == "WAITLSN" {
				_, text, _ = strings.Cut(fields, " ")
				verb, fields, _ = strings.Cut(text, " ")
			}
			_, afterName, _ := strings.Cut(fields, " ")
			switch {
			case id == "-" && verb == "PARSE":
				definitions[afterName] = true
			case verb == "EXECUTE":
				f.g.Expect("EXECUTE " + afterName).To(Equal(sent[id]))
			case id != "-":
				f.g.Expect(text).To(Equal(sent[id]), "id %s", id)
			}
		}
	}
	f.g.Expect(definitions).To(HaveLen(len(prepared)))
	for _, definition := range prepared {
		f.g.Expect(definitions).To(HaveKey(definition))
	}
}

func TestCrashedPrimaryIsReplacedOnce(t *testing.T) {
	f := newFleet(t)
	c := f.session(1, "shop")
	f.g.Expect(c.do("w1", "WRITE lamp 1").code).To(BeEmpty())
	f.group.Server("s-a").Crash()
	f.g.Eventually(func() string {
		result := c.do("w2", "WRITE lamp 2")
		return result.code
	}, "20s", "20ms").Should(BeEmpty())
	f.g.Expect(f.group.Primary()).NotTo(Equal("s-a"))
	tokens := map[uint64]string{}
	for _, p := range f.store.Promotions() {
		f.g.Expect(tokens[p.Token]).To(Or(BeEmpty(), Equal(p.Holder)))
		tokens[p.Token] = p.Holder
		f.g.Expect(p.Refused).To(BeFalse())
	}
	f.g.Expect(c.do("r1", "READ lamp").rows).To(Equal([]string{"2"}))
}

func TestDrainingPrimaryIsReplacedWithoutLoss(t *testing.T) {
	f := newFleet(t)
	c := f.session(2, "grants")
	f.g.Expect(c.do("w1", "WRITE lamp 1").code).To(BeEmpty())
	f.registerServer("a", "draining")
	f.g.Eventually(f.group.Primary, "20s", "20ms").ShouldNot(Equal("s-a"))
	f.g.Eventually(func() []string { return c.do("r1", "READ lamp").rows }, "20s", "20ms").Should(Equal([]string{"1"}))
	f.g.Expect(c.do("w2", "WRITE lamp 2").code).To(BeEmpty())
	f.g.Expect(f.group.Commits()).To(HaveLen(2))
}

func TestConfigurationReachesVMRefusedByStore(t *testing.T) {
	f := newFleet(t)
	f.store.RefuseFrom(f.vms[2].settings.Address, true)
	f.putConfig(2, "shop", "stock", "grants", "returns")
	for i := range f.vms {
		f.g.Eventually(func() error {
			c, err := f.dial(i, "returns")
			if err == nil {
				c.close()
			}
			return err
		}, "20s", "20ms").Should(Succeed())
	}
	f.store.RefuseFrom(f.vms[2].settings.Address, false)
	f.store.Compact()
	f.putConfig(3, "shop", "stock", "grants")
	for i := range f.vms {
		f.g.Eventually(func() error { _, err := f.dial(i, "returns"); return err }, "20s", "20ms").Should(MatchError(ContainSubstring("NODB")))
	}
}

// A VM that starts while the store is unavailable fetches its configuration from a peer.
func TestVMStartsFromPeerWithoutStore(t *testing.T) {
	f := newFleet(t)
	f.vms[2].stop()
	f.vms[2].done <- <-f.vms[2].done
	f.store.ForceStatus(503)
	s := f.vms[2].settings
	s.Seeds = []string{f.vms[0].settings.PeerListen, f.vms[1].settings.PeerListen}
	f.vms[2] = f.startNode(s)
	f.awaitReady(2)
	c := f.session(2, "shop")
	f.g.Expect(c.do("w1", "WRITE lamp 1").code).To(BeEmpty())
}

// restart stops a VM and starts it again, with the other VMs as seeds.
func (f *fleet) restart(i int) {
	f.vms[i].stop()
	f.vms[i].done <- <-f.vms[i].done
	s := f.vms[i].settings
	s.Seeds = nil
	for k, v := range f.vms {
		if k != i {
			s.Seeds = append(s.Seeds, v.settings.PeerListen)
		}
	}
	f.vms[i] = f.startNode(s)
	f.awaitReady(i)
}

// expectRouteServed requires that all VMs serve the route of a host, within the users' bound.
func (f *fleet) expectRouteServed(host string) {
	for i := range f.vms {
		f.g.Eventually(func() error {
			c, err := f.dial(i, host)
			if err == nil {
				c.close()
			}
			return err
		}, "4s", "20ms").Should(Succeed(), f.vms[i].settings.VM)
	}
}

// All VMs start while the store is unavailable, with copies of each other, and followed it
// never again.
func TestChangeReachesVMsThatStartedInStoreOutage(t *testing.T) {
	f := newFleet(t)
	f.store.ForceStatus(503)
	for i := range f.vms {
		f.restart(i)
	}
	f.store.ForceStatus(0)
	time.Sleep(followTime)
	f.putConfig(2, "shop", "stock", "grants", "returns")
	f.expectRouteServed("returns")
}

// restartAllWithoutStore makes the store unavailable and restarts all VMs, which become ready with copies.
func (f *fleet) restartAllWithoutStore() {
	f.store.ForceStatus(503)
	for i := range f.vms {
		f.restart(i)
	}
}

// An idle limit above an hour made every route invalid. Running VMs went on with what they had, and
// those that started served no database.
func TestStartedVMsServeConfigurationBeyondLimits(t *testing.T) {
	f := newFleet(t)
	for version, change := range []func(config, route map[string]any){
		func(config, _ map[string]any) { config["limits"] = map[string]any{"tx-idle-ms": 2 * 60 * 60 * 1000} },
		func(_, route map[string]any) {
			route["timeout-ms"], route["target-latency-ms"] = int64(math.MaxInt64), json.Number("1e19")
		},
		func(_, route map[string]any) { route["max-staleness-ms"] = 9_300_000_000_000 },
		func(_, route map[string]any) {
			route["name"], route["host"] = "R Shop", strings.Repeat("S", 100)
		},
	} {
		config := f.configOf(2+version, "shop", "stock")
		for _, route := range config["routes"].([]map[string]any) {
			if route["host"] == "stock" {
				change(config, route)
			}
		}
		f.store.Put("config", "main", config)
		for i := range f.vms {
			f.restart(i)
		}
		for _, route := range config["routes"].([]map[string]any) {
			c := f.session(version%len(f.vms), route["host"].(string))
			f.g.Expect(c.do("w1", "WRITE lamp 1").code).To(BeEmpty())
			f.g.Expect(c.do("r1", "READ lamp").code).To(BeEmpty())
		}
	}
}

// A VM that is started for the first time in an outage of the store registers after it.
func TestVMThatStartedInStoreOutageRegistersAfterIt(t *testing.T) {
	f := newFleet(t)
	f.vms[2].stop()
	f.vms[2].done <- <-f.vms[2].done
	f.store.Delete("egretroad-vms", f.vms[2].settings.VM)
	f.store.ForceStatus(503)
	f.restart(2)
	f.store.ForceStatus(0)
	f.g.Eventually(func() bool { return f.store.Has("egretroad-vms", f.vms[2].settings.VM) }, "20s", "20ms").Should(BeTrue())
}

// The record of the established VMs costs no write of a VM that starts or restarts: the fleet
// writes it once, when its VMs have been listed for long.
func TestEstablishedVMsAreRecordedOnceForFleet(t *testing.T) {
	f := newFleet(t)
	writes := func() int {
		return f.store.Calls("POST", "egretroad-vms") + f.store.Calls("PUT", "egretroad-vms")
	}
	f.g.Expect(writes()).To(Equal(len(f.vms)), "one entry each")
	f.g.Eventually(func() bool { return f.store.Has("egretroad-vms", "established-vms") }, "60s", "100ms").Should(BeTrue())
	for i := range f.vms {
		f.restart(i)
	}
	for i := range f.vms {
		f.g.Expect(f.vms[i].log.snapshot()).To(ContainSubstring("event=vm_registered"))
		f.g.Expect(f.vms[i].log.snapshot()).To(ContainSubstring("existed=true"))
	}
	f.g.Expect(writes()).To(Equal(len(f.vms) + 1))
}

// VMs that have only copies replace a primary that crashed while the store was unavailable.
func TestPrimaryThatCrashedInStoreOutageIsReplacedAfterStarts(t *testing.T) {
	f := newFleet(t)
	f.restartAllWithoutStore()
	f.group.Server("s-a").Crash()
	time.Sleep(followTime)
	f.store.ForceStatus(0)
	f.g.Eventually(f.group.Primary, "30s", "20ms").ShouldNot(Equal("s-a"))
	c := f.session(1, "shop")
	f.g.Eventually(func() string { return c.do("w1", "WRITE lamp 1").code }, "20s", "20ms").Should(BeEmpty())
}

// A server that left while the store was unavailable is in the copies only.
func TestServerThatLeftInStoreOutageIsDroppedAfterStarts(t *testing.T) {
	f := newFleet(t)
	f.restartAllWithoutStore()
	f.store.Delete("servers", "s-c")
	f.store.ForceStatus(0)
	for i := range f.vms {
		f.g.Eventually(func() string { return string(f.vms[i].log.snapshot()) }, "20s", "50ms").Should(ContainSubstring("event=server_gone vm=" + f.vms[i].settings.VM + " server=s-c"))
	}
}

// followTime is more than the longest back-off of calls to the store, after which a VM follows
// it again.
const followTime = 2 * time.Second

// A VM that shuts down replies to every statement that it has read and hands over its
// homes: no write may run without a reply to its caller.
func TestStopRepliesToEveryStatementRead(t *testing.T) {
	f := newFleet(t)
	f.group.ServiceTime = 20 * time.Millisecond
	var mu sync.Mutex
	var unanswered []string
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for i := range 6 {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				c, err := f.dial(i%2, "grants")
				if err != nil {
					time.Sleep(time.Millisecond) // the VM accepts no more callers
					continue
				}
				id := fmt.Sprintf("w%d.%d", i, n)
				result := c.do(id, "WRITE lamp x")
				c.close()
				if result.err != nil || result.code == "INDOUBT" {
					mu.Lock()
					unanswered = append(unanswered, id)
					mu.Unlock()
				}
			}
		})
	}
	f.vms[0].stop()
	f.vms[0].done <- <-f.vms[0].done
	close(stop)
	wg.Wait()
	for _, run := range f.group.Runs() {
		f.g.Expect(unanswered).NotTo(ContainElement(run.ID), "a write ran but its caller got no reply")
	}
}
