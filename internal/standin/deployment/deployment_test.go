package deployment_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/gomega"

	"egretroad/internal/catalogue"
	"egretroad/internal/platform"
	"egretroad/internal/standin/deployment"
	"egretroad/internal/standin/network"
	"egretroad/internal/topology"
)

const eventuallyTimeout = 10 * time.Second

func startDeployment(t *testing.T, configure func(*deployment.Options)) *deployment.Deployment {
	t.Helper()
	o := deployment.DefaultOptions()
	o.Scale = 0
	if configure != nil {
		configure(&o)
	}
	d, err := deployment.Start(o)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(d.Close)
	return d
}

func TestDeploymentSizesAndCatalogue(t *testing.T) {
	for name, want := range map[string]struct {
		database, kind string
		kinds          []string
		slots          int
	}{
		deployment.BrightSpokes: {"orders1", "orders", []string{"grants", "orders", "reports", "stock"}, 2},
		deployment.CabraRonda:   {"ledger1", "tallies", []string{"reports", "routes", "tallies"}, 5},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			d := startDeployment(t, func(o *deployment.Options) {
				o.Name = name
				o.Proxies = 9
			})
			g.Expect(d.Databases()).To(HaveLen(3))
			g.Expect(d.VMs).To(HaveLen(9))
			object, ok := d.Platform.Get(platform.KindGroup, want.database)
			g.Expect(ok).To(BeTrue())
			var group topology.Group
			g.Expect(json.Unmarshal(object.Value, &group)).To(Succeed())
			g.Expect(group.Servers).To(HaveLen(3))
			g.Expect(group.Servers[0].Slots).To(Equal(want.slots))
			var entries []catalogue.Entry
			for _, kind := range want.kinds {
				object, ok := d.Platform.Get(platform.KindCatalogue, want.database+"."+kind)
				g.Expect(ok).To(BeTrue(), kind)
				var e catalogue.Entry
				g.Expect(json.Unmarshal(object.Value, &e)).To(Succeed())
				g.Expect(e.Check()).To(Succeed())
				entries = append(entries, e)
			}
			e, err := catalogue.New(entries).Resolve(want.database, "", "anyone")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(e.Kind).To(Equal(want.kind))
			g.Expect(e.Repeatable).To(BeFalse())
			g.Expect(e.Confirm).To(Equal(catalogue.ConfirmReplica))
		})
	}
	_, err := deployment.Start(deployment.Options{Name: "elsewhere"})
	var unknown *deployment.UnknownDeploymentError
	NewWithT(t).Expect(err).To(BeAssignableToTypeOf(unknown))
}

func TestFaultEndpoint(t *testing.T) {
	g := NewWithT(t)
	d := startDeployment(t, nil)
	post := func(action string, args ...string) string {
		body, _ := json.Marshal(deployment.FaultRequest{Action: action, Args: args})
		response, err := http.Post(d.Platform.URL()+deployment.PathFault, "application/json", bytes.NewReader(body))
		g.Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		var reply deployment.FaultReply
		g.Expect(json.NewDecoder(response.Body).Decode(&reply)).To(Succeed())
		return reply.Error
	}
	listVMs := func() error {
		response, err := http.Get(d.Platform.URL() + platform.PathVMs)
		if err == nil {
			response.Body.Close()
		}
		return err
	}
	primary := d.Groups["orders1"].Primary()
	g.Expect(post("stop-primary", "orders1")).To(BeEmpty())
	g.Expect(primary.Running()).To(BeFalse())
	g.Expect(post("cut", "salish-a")).To(BeEmpty())
	g.Expect(d.Network.Blocked(netip.MustParseAddr("127.0.1.1"), netip.MustParseAddr("127.0.2.1"))).To(BeTrue())
	g.Expect(post("platform-down")).To(BeEmpty())
	g.Expect(listVMs()).NotTo(Succeed())
	g.Expect(post("platform-up")).To(BeEmpty())
	g.Expect(listVMs()).To(Succeed())
	g.Expect(post("platform-slow", "1")).To(BeEmpty())
	g.Expect(post("heal")).To(BeEmpty())
	g.Expect(primary.Running()).To(BeTrue())
	g.Expect(d.Network.Blocked(netip.MustParseAddr("127.0.1.1"), netip.MustParseAddr("127.0.2.1"))).To(BeFalse())

	g.Expect(post("lag", "orders2", "3600000")).To(BeEmpty())
	c, err := pgx.Connect(t.Context(), "postgres://u@"+d.Groups["orders2"].Primary().Addr()+"/orders2?sslmode=disable")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = c.Exec(t.Context(), "INSERT INTO kv (key, value) VALUES ('k', 'v')")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(d.Server("orders2-a").Data()).To(BeEmpty())
	g.Expect(post("silence", d.Groups["orders2"].Primary().ID())).To(BeEmpty())
	ping := make(chan error, 1)
	go func() { ping <- c.Ping(t.Context()) }()
	g.Consistently(ping, 50*time.Millisecond).ShouldNot(Receive())

	for want, call := range map[string][]string{
		"unknown fault":       {"explode"},
		"takes DB":            {"stop-primary"},
		"unknown database":    {"stop-primary", "orders9"},
		"unknown data centre": {"cut", "nowhere"},
		"unknown server":      {"silence", "orders9-a"},
		"takes MS":            {"platform-slow", "-1"},
		"takes DB MS":         {"lag", "orders1", "soon"},
		"takes no arguments":  {"heal", "all"},
	} {
		g.Expect(post(call[0], call[1:]...)).To(ContainSubstring(want))
	}
}

func TestRelayHoldsBytesDuringCut(t *testing.T) {
	for name, scale := range map[string]float64{"without latency": 0, "with latency": 0.1} {
		t.Run(name, func(t *testing.T) { testRelay(t, scale) })
	}
}

func testRelay(t *testing.T, scale float64) {
	g := NewWithT(t)
	d := startDeployment(t, func(o *deployment.Options) { o.Scale = scale })
	target := d.VMs[1]
	l, err := net.Listen("tcp", target.PeerListen)
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	sources := make(chan string, 8)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
			sources <- host
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	dial := func() net.Conn {
		local := net.TCPAddrFromAddrPort(netip.AddrPortFrom(netip.MustParseAddr(d.VMs[0].BindIP), 0))
		c, err := (&net.Dialer{LocalAddr: local}).Dial("tcp", target.PeerAddr)
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { c.Close() })
		return c
	}
	echo := func(c net.Conn) <-chan error {
		done := make(chan error, 1)
		go func() {
			_, err := c.Write([]byte("x"))
			if err == nil {
				_, err = io.ReadFull(c, make([]byte, 1))
			}
			done <- err
		}()
		return done
	}
	established := dial()
	g.Eventually(echo(established), eventuallyTimeout).Should(Receive(BeNil()))
	g.Expect(<-sources).To(Equal(d.VMs[0].BindIP))
	g.Expect(d.Network.Cut(d.VMs[1].DataCentre)).To(Succeed())
	echoOnEstablished, echoOnNew := echo(established), echo(dial())
	g.Consistently(echoOnEstablished, 50*time.Millisecond).ShouldNot(Receive())
	g.Expect(echoOnNew).NotTo(Receive())
	d.Network.Heal()
	g.Eventually(echoOnEstablished, eventuallyTimeout).Should(Receive(BeNil()))
	g.Eventually(echoOnNew, eventuallyTimeout).Should(Receive(BeNil()))
}

func TestUnknownVMAndDataCentreAreRejected(t *testing.T) {
	g := NewWithT(t)
	d := startDeployment(t, func(o *deployment.Options) { o.VMLag = 0 })
	g.Expect(d.SetVMState(d.VMs[0].ID, topology.VMLeaving)).To(Succeed())
	g.Expect(d.SetVMState("none", topology.VMLeaving)).To(MatchError(ContainSubstring("unknown VM")))
	var unknown *network.UnknownDataCentreError
	g.Expect(d.Fault("cut", "nowhere")).To(BeAssignableToTypeOf(unknown))
}
