package peer

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"egretroad/internal/eventlog"
	"egretroad/internal/metrics"
	"egretroad/internal/peer/method"
	"egretroad/internal/standin/silence"
	"egretroad/internal/topology"
)

// relayedPair is two nodes with a relay in front of the second one, which collects the
// one-way messages that it receives.
type relayedPair struct {
	a, b     *Node
	relay    *silence.Relay
	mu       sync.Mutex // guards received
	received map[string]int
}

func startRelayedPair(t *testing.T) *relayedPair {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	relay, err := silence.Start(listener.Addr().String(), false)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(relay.Close)
	p := &relayedPair{relay: relay, received: map[string]int{}}
	snapshot := &topology.Snapshot{VMs: map[string]topology.VM{"b": {ID: "b", PeerAddr: p.relay.Addr()}}}
	newNode := func(self string) *Node {
		return NewNode(DefaultOptions(self, "127.0.0.1", []byte("key")), topology.NewPublisher(snapshot), eventlog.Discard(), metrics.NewRegistry())
	}
	p.a = newNode("a")
	b := newNode("b")
	p.b = b
	for _, name := range []string{"tell", method.Objects} {
		b.Handle(name, func(_ context.Context, _ string, body []byte) ([]byte, error) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.received[string(body)]++
			return nil, nil
		})
	}
	b.Start(listener)
	local, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	p.a.Start(local)
	t.Cleanup(func() { p.a.Stop(); b.Stop() })
	return p
}

// times returns how often a message was received.
func (p *relayedPair) times(message string) func() int {
	return func() int {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.received[message]
	}
}

const eventuallyTimeout = "20s"

func TestOneWayMessagesArriveAfterTheirLinkHasGoneSilent(t *testing.T) {
	g := gomega.NewWithT(t)
	p := startRelayedPair(t)
	p.a.Notify("b", "tell", []byte("before"))
	g.Eventually(p.times("before"), eventuallyTimeout).Should(gomega.Equal(1))
	p.relay.SilenceAll()
	g.Eventually(func() int {
		p.a.Notify("b", "tell", []byte("after"))
		return p.times("after")()
	}, eventuallyTimeout, "100ms").Should(gomega.BeNumerically(">", 0))
}

// Each call ends before a silent link is closed for that call.
func TestShortCallsReplaceTheirSilentLink(t *testing.T) {
	g := gomega.NewWithT(t)
	p := startRelayedPair(t)
	call := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		_, err := p.a.Call(ctx, "b", "tell", []byte("x"))
		return err
	}
	g.Eventually(call, eventuallyTimeout).Should(gomega.Succeed())
	p.relay.SilenceAll()
	g.Eventually(call, eventuallyTimeout, "300ms").Should(gomega.Succeed())
}

// oneWayLink returns the link of the pair after a first message.
func (p *relayedPair) oneWayLink(g *gomega.WithT) *link {
	p.a.Notify("b", "tell", []byte("first"))
	g.Eventually(p.times("first"), eventuallyTimeout).Should(gomega.Equal(1))
	p.a.mu.Lock()
	defer p.a.mu.Unlock()
	return p.a.outgoingLinks["b"].client.link
}

// A link that was idle for long is not closed for the silence before its next use.
func TestSilenceOfIdleLinkDoesNotCount(t *testing.T) {
	g := gomega.NewWithT(t)
	l := startRelayedPair(t).oneWayLink(g)
	g.Eventually(func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.oneWay.unproven()
	}, eventuallyTimeout).Should(gomega.BeFalse())
	payload, err := encode(callBody{Method: "tell", Body: []byte("second")})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	l.conn.lastRead.Store(int64(l.opts.Now() - time.Minute))
	g.Expect(l.notify(payload, false)).To(gomega.BeTrue())
	l.addOutstanding()
	defer l.removeOutstanding()
	now := l.opts.Now()
	l.checkLiveness(now)
	l.checkLiveness(now)
	g.Expect(l.closeErr()).NotTo(gomega.HaveOccurred())
}

// A large message may take longer to arrive than a ping may remain without a response.
func TestLargeMessageHasTimeToArrive(t *testing.T) {
	g := gomega.NewWithT(t)
	o := oneWay{}
	o.add(10, 0)
	g.Expect(o.transferTime()).To(gomega.BeNumerically("<", time.Millisecond))
	o.add(2*minThroughput, 0)
	g.Expect(o.pingDue(100*time.Millisecond, 250*time.Millisecond)).To(gomega.BeFalse())
	g.Expect(o.pingDue(250*time.Millisecond, 250*time.Millisecond)).To(gomega.BeTrue())
	ping := o.recordPing()
	g.Expect(o.pingDue(time.Second, 250*time.Millisecond)).To(gomega.BeFalse(), "a ping is under way")
	o.add(10, time.Second)
	g.Expect(o.transferTime()).To(gomega.BeNumerically(">=", 2*time.Second))
	o.recordPong(ping, 2*time.Second)
	g.Expect(o.transferTime()).To(gomega.BeNumerically("<", time.Millisecond))
	g.Expect(o.unproven()).To(gomega.BeTrue(), "the third message was sent after the ping")
	o.recordPong(o.recordPing(), 3*time.Second)
	g.Expect(o.unproven()).To(gomega.BeFalse())
}

func TestUpdateSentOverSilentLinkArrives(t *testing.T) {
	g := gomega.NewWithT(t)
	p := startRelayedPair(t)
	p.a.Notify("b", "tell", []byte("before"))
	g.Eventually(p.times("before"), eventuallyTimeout).Should(gomega.Equal(1))
	p.relay.SilenceAll()
	p.a.Notify("b", method.Objects, []byte("update"))
	p.a.Notify("b", "tell", []byte("heartbeat"))
	g.Eventually(p.times("update"), eventuallyTimeout).Should(gomega.Equal(1))
	g.Expect(p.times("heartbeat")()).To(gomega.BeZero())
}

// A message is not sent again after its receipt was proven.
func TestProvenUpdateArrivesOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	p := startRelayedPair(t)
	l := p.oneWayLink(g)
	p.a.Notify("b", method.Objects, []byte("update"))
	g.Eventually(func() int {
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.oneWay.kept)
	}, eventuallyTimeout).Should(gomega.BeZero())
	l.close(&UnresponsiveError{})
	p.a.Notify("b", method.Objects, []byte("later"))
	g.Eventually(p.times("later"), eventuallyTimeout).Should(gomega.Equal(1))
	g.Expect(p.times("update")()).To(gomega.Equal(1))
}

// The acceptor of a link whose dialer is gone without a trace kept it for good.
func TestAcceptedLinkOfLostDialerIsClosed(t *testing.T) {
	g := gomega.NewWithT(t)
	p := startRelayedPair(t)
	p.oneWayLink(g)
	links := func() int {
		p.b.mu.Lock()
		defer p.b.mu.Unlock()
		return len(p.b.incomingLinks)
	}
	g.Expect(links()).To(gomega.Equal(1))
	p.relay.SilenceAll()
	p.a.Stop()
	p.b.mu.Lock()
	p.b.closeIdleLinks(p.b.opts.Now() + p.b.opts.IdleTimeout + time.Minute)
	p.b.mu.Unlock()
	g.Eventually(links, eventuallyTimeout).Should(gomega.BeZero())
}

// slowConn delivers what it reads in small pieces.
type slowConn struct{ net.Conn }

func (c slowConn) Read(b []byte) (int, error) {
	const pieceBytes, pause = 16 << 10, 20 * time.Millisecond
	time.Sleep(pause)
	return c.Conn.Read(b[:min(len(b), pieceBytes)])
}

// A response that takes longer to arrive than a link may be silent was lost: only complete
// messages counted as received.
func TestLargeResponseArrivesOverThinLink(t *testing.T) {
	g := gomega.NewWithT(t)
	here, there := net.Pipe()
	opts := DefaultOptions("a", "", nil)
	active := newActivityConn(slowConn{here}, opts.Now)
	c := newClientLink(newLink(active, bufio.NewReader(active), "b", &opts, newStats(metrics.NewRegistry())))
	go c.run()
	t.Cleanup(func() { c.link.close(nil) })
	large := make([]byte, 2<<20)
	payload, err := encode(responseBody{Body: large})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	raw, err := appendFrame(nil, frame{Type: frameResponse, Number: 1, Body: payload})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	go func() { _, _ = io.Copy(io.Discard, there) }() // the call and pings
	go func() { _, _ = there.Write(raw) }()           // fails if the link is closed
	done := make(chan struct{})
	go func() {
		defer close(done)
		for c.link.closeErr() == nil {
			c.link.checkLiveness(opts.Now())
			time.Sleep(opts.CheckInterval)
		}
	}()
	c.link.addOutstanding()
	response, err := c.call(context.Background(), "fetch", nil)
	c.link.removeOutstanding()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(response).To(gomega.HaveLen(len(large)))
	c.link.close(nil)
	<-done
}

// A process that was paused closed its links at once, before it had read what their other
// ends had sent.
func TestLinksOutliveAPauseOfThisProcess(t *testing.T) {
	g := gomega.NewWithT(t)
	p := startRelayedPair(t)
	l := p.oneWayLink(g)
	pause := 3 * time.Second
	l.conn.lastRead.Store(int64(l.opts.Now() - pause))
	l.expectProof()
	l.conn.lastRead.Store(int64(l.opts.Now() - pause))
	p.a.checkLinks(l.opts.Now(), true)
	p.a.checkLinks(l.opts.Now(), false)
	g.Expect(l.closeErr()).NotTo(gomega.HaveOccurred())
}
