package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/hashicorp/go-hclog"

	"egretroad/internal/clock"
	"egretroad/internal/metrics"
	"egretroad/internal/peer/method"
	"egretroad/internal/topology"
	"egretroad/internal/txn"
)

// Options configure a Node.
type Options struct {
	Self              string // VM ID
	BindIP            string // source IP of outgoing connections
	FleetKey          []byte // proves membership of the fleet
	TLS               *tls.Config
	DialTimeout       time.Duration // total of connect and handshake
	WriteTimeout      time.Duration
	CheckInterval     time.Duration // between liveness and idle checks of links
	PingAfter         time.Duration // silence with responses outstanding before a ping is sent
	UnresponsiveAfter time.Duration // silence after which new transactions are held back
	SilenceTimeout    time.Duration // silence after which a link is closed
	ProofAfter        time.Duration // time after which the receipt of one-way messages is to be proven
	ProofTimeout      time.Duration // time without a proof after which a link with one-way messages only is closed
	IdleTimeout       time.Duration // unused time after which an outgoing link is closed
	MaxLinks          int           // maximum number of incoming links
	Now               func() time.Duration
}

// DefaultOptions returns the default options of a VM. An empty bindIP leaves the source
// address to the operating system.
func DefaultOptions(self, bindIP string, fleetKey []byte) Options {
	return Options{
		Self: self, BindIP: bindIP, FleetKey: fleetKey,
		DialTimeout: time.Second, WriteTimeout: 2 * time.Second,
		CheckInterval: 50 * time.Millisecond, PingAfter: 150 * time.Millisecond,
		UnresponsiveAfter: 250 * time.Millisecond, SilenceTimeout: 1200 * time.Millisecond,
		ProofAfter: 250 * time.Millisecond, ProofTimeout: 600 * time.Millisecond,
		IdleTimeout: 2 * time.Minute, MaxLinks: 4096, Now: clock.Boottime,
	}
}

// readBufferBytes is the size of a link's read buffer. Larger frames bypass it.
const readBufferBytes = 8 << 10

// UnknownVMError reports a VM that is not in the current snapshot.
type UnknownVMError struct{ VM string }

func (e *UnknownVMError) Error() string { return "VM " + e.VM + " is not in the list of live VMs" }

// BackoffError reports that a connection was not attempted because the last attempt
// failed and the back-off has not expired.
type BackoffError struct{ Wait time.Duration }

func (e *BackoffError) Error() string {
	return "the last connection attempt failed; the next is in " + e.Wait.String()
}

// UnknownMethodError reports a method without a handler.
type UnknownMethodError struct{ Method string }

func (e *UnknownMethodError) Error() string { return "no handler for method " + e.Method }

// Node is the peer endpoint of one proxy. It accepts links, dials links on demand and
// monitors their liveness. Its methods are safe for concurrent use after Start.
type Node struct {
	opts    Options
	source  topology.Source
	log     hclog.Logger
	stats   *stats
	workers *workerPool // run incoming lanes

	handlers map[string]Handler // fixed before Start
	home     txn.Home           // fixed before Start; if nil, lanes are refused

	mu            sync.Mutex // guards the fields below
	outgoingLinks map[string]*outgoingLink
	incomingLinks map[*link]struct{}
	stopped       bool
	listener      net.Listener

	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// NewNode returns a node that resolves VM addresses with the snapshots of source.
func NewNode(opts Options, source topology.Source, log hclog.Logger, m *metrics.Registry) *Node {
	ctx, cancel := context.WithCancel(context.Background())
	return &Node{
		opts: opts, source: source, log: log, stats: newStats(m), workers: newWorkerPool(),
		handlers: map[string]Handler{}, outgoingLinks: map[string]*outgoingLink{}, incomingLinks: map[*link]struct{}{},
		ctx: ctx, cancel: cancel,
	}
}

// Handle implements Registrar.
func (n *Node) Handle(method string, h Handler) { n.handlers[method] = h }

// ServeLanes serves the lanes of other proxies with home. It must be called before Start.
func (n *Node) ServeLanes(home txn.Home) { n.home = home }

// Start accepts links from listener, and monitors all links, until Stop.
func (n *Node) Start(listener net.Listener) {
	n.mu.Lock()
	n.listener = listener
	n.mu.Unlock()
	n.goroutines.Add(2)
	go n.acceptLoop(listener)
	go n.livenessLoop()
}

// Stop closes the listener and every link, and waits for all goroutines. Open lanes fail.
func (n *Node) Stop() {
	n.cancel()
	n.mu.Lock()
	n.stopped = true
	if n.listener != nil {
		_ = n.listener.Close() // closing twice is harmless
	}
	links := n.openLinks()
	n.mu.Unlock()
	for _, l := range links {
		l.close(nil)
	}
	n.goroutines.Wait()
}

// openLinks returns every open link; n.mu is held.
func (n *Node) openLinks() []*link {
	all := make([]*link, 0, len(n.incomingLinks)+len(n.outgoingLinks))
	for l := range n.incomingLinks {
		all = append(all, l)
	}
	for _, o := range n.outgoingLinks {
		if o.client != nil {
			all = append(all, o.client.link)
		}
	}
	return all
}

// livenessLoop periodically checks links for silence and idleness.
func (n *Node) livenessLoop() {
	defer n.goroutines.Done()
	ticker := time.NewTicker(n.opts.CheckInterval)
	defer ticker.Stop()
	lastCheck := n.opts.Now()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-ticker.C:
		}
		now := n.opts.Now()
		n.checkLinks(now, now-lastCheck > pauseLimit)
		lastCheck = now
	}
}

// pauseLimit is the time between two checks after which this process is taken to have been
// paused. What its peers have sent meanwhile may not be read yet.
const pauseLimit = 500 * time.Millisecond

// checkLinks checks all links. After a pause of this process it restarts their measurement
// of silence instead.
func (n *Node) checkLinks(now time.Duration, paused bool) {
	n.mu.Lock()
	if !paused {
		n.closeIdleLinks(now)
	}
	links := n.openLinks()
	n.mu.Unlock()
	for _, l := range links {
		if paused {
			l.conn.restart()
		} else {
			l.checkLiveness(now)
		}
	}
}

// closeIdleLinks closes links that exceed the idle time-out; n.mu is held. The dialer of a
// link closes it first; if the acceptor does not learn of that, it closes it a little later.
func (n *Node) closeIdleLinks(now time.Duration) {
	for _, o := range n.outgoingLinks {
		if o.client != nil && o.client.link.idle(now, n.opts.IdleTimeout) {
			o.client.link.close(nil)
			o.client = nil
		}
	}
	for l := range n.incomingLinks {
		if l.idle(now, n.opts.IdleTimeout+idleMargin) {
			l.close(nil)
		}
	}
}

// idleMargin is the time after which the acceptor of an idle link closes it if its dialer
// has not.
const idleMargin = 10 * time.Second

func (n *Node) acceptLoop(listener net.Listener) {
	defer n.goroutines.Done()
	for {
		conn, err := listener.Accept()
		if err != nil {
			if n.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			n.log.Warn("accept_failed", "error", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		n.goroutines.Add(1)
		go n.serveConn(conn)
	}
}

// acceptRetryDelay is the pause after a failed accept, which happens for example when
// the process runs out of file descriptors.
const acceptRetryDelay = 20 * time.Millisecond

// serveConn authenticates one incoming connection and serves it until it closes.
func (n *Node) serveConn(conn net.Conn) {
	defer n.goroutines.Done()
	if n.opts.TLS != nil {
		conn = tls.Server(conn, n.opts.TLS)
	}
	active := newActivityConn(conn, n.opts.Now)
	r := bufio.NewReaderSize(active, readBufferBytes)
	vm, err := acceptHello(active, r, n.opts.Self, n.opts.FleetKey, n.opts.DialTimeout)
	if err != nil {
		n.log.Warn("peer_refused", "remote", conn.RemoteAddr(), "error", err)
		_ = conn.Close() // the peer was refused
		return
	}
	l := newLink(active, r, vm, &n.opts, n.stats)
	if !n.addIncoming(l) {
		l.close(nil)
		return
	}
	n.stats.links.Add(1)
	s := newServerLink(n, l)
	err = s.run()
	l.close(err)
	n.reportUnresponsive(l, "accepted")
	s.closeLanes()
	n.stats.links.Add(-1)
	n.mu.Lock()
	delete(n.incomingLinks, l)
	n.mu.Unlock()
}

// reportUnresponsive logs and counts a closed link whose peer did not respond.
func (n *Node) reportUnresponsive(l *link, side string) {
	var unresponsive *UnresponsiveError
	if !errors.As(l.closeErr(), &unresponsive) {
		return
	}
	n.stats.linksUnresponsive.Add(1)
	n.log.Info("peer_link_unresponsive", "peer", l.vm, "side", side, "silence", unresponsive.Silence)
}

func (n *Node) addIncoming(l *link) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopped || len(n.incomingLinks) >= n.opts.MaxLinks {
		return false
	}
	n.incomingLinks[l] = struct{}{}
	return true
}

// outgoingLink is the link to one VM, dialed on demand. Its fields are guarded by Node.mu.
type outgoingLink struct {
	client   *clientLink
	dialing  chan struct{} // closed when the dial in progress ends
	dialedAt time.Duration // when it began
	dialErr  error         // of the latest dial
	retryAt  time.Duration
	backoff  *backoff.ExponentialBackOff
}

// Dial back-off.
const (
	dialBackoffInitial = 50 * time.Millisecond
	dialBackoffMax     = time.Second
)

func newOutgoingLink() *outgoingLink {
	p := backoff.NewExponentialBackOff()
	p.InitialInterval, p.MaxInterval = dialBackoffInitial, dialBackoffMax
	return &outgoingLink{backoff: p}
}

// acquireClient returns an open link to a VM, dialing if needed, and counts one
// outstanding response on it, which the caller must remove. Concurrent callers share one
// dial.
func (n *Node) acquireClient(ctx context.Context, vm string) (*clientLink, error) {
	for {
		n.mu.Lock()
		if n.stopped {
			n.mu.Unlock()
			return nil, &LinkClosedError{Remote: vm}
		}
		o := n.outgoingLinks[vm]
		if o == nil {
			o = newOutgoingLink()
			n.outgoingLinks[vm] = o
		}
		if o.client != nil && o.client.link.closeErr() == nil {
			o.client.link.addOutstanding()
			c := o.client
			n.mu.Unlock()
			return c, nil
		}
		dialed, err := n.startDial(o, vm)
		n.mu.Unlock()
		if err != nil {
			return nil, err
		}
		select {
		case <-dialed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		n.mu.Lock()
		err = o.dialErr
		n.mu.Unlock()
		if err != nil {
			return nil, err
		}
	}
}

// startDial returns a channel that is closed when the dial in progress ends, starting a
// dial if the back-off allows; n.mu is held.
func (n *Node) startDial(o *outgoingLink, vm string) (<-chan struct{}, error) {
	if o.dialing != nil {
		return o.dialing, nil
	}
	if now := n.opts.Now(); now < o.retryAt {
		return nil, &BackoffError{Wait: o.retryAt - now}
	}
	addr, err := n.address(vm)
	if err != nil {
		return nil, err
	}
	o.dialing, o.dialedAt = make(chan struct{}), n.opts.Now()
	n.goroutines.Add(1)
	go func() {
		defer n.goroutines.Done()
		c, err := n.dial(vm, addr)
		n.finishDial(o, c, err)
	}()
	return o.dialing, nil
}

func (n *Node) finishDial(o *outgoingLink, c *clientLink, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err == nil && n.stopped {
		c.link.close(nil)
		err = &LinkClosedError{Remote: c.link.vm}
	}
	o.dialErr = err
	if err == nil {
		o.client = c
		o.backoff.Reset()
	} else {
		o.client = nil
		o.retryAt = n.opts.Now() + o.backoff.NextBackOff()
	}
	close(o.dialing)
	o.dialing = nil
}

// address returns the peer address of a VM. A vm of the form IP:port is used as the
// address itself; seeds are contacted this way before a snapshot exists.
func (n *Node) address(vm string) (string, error) {
	snapshot := n.source.Snapshot()
	if v, ok := snapshot.VMs[vm]; ok {
		return v.PeerAddr, nil
	}
	if v, ok := snapshot.Dead[vm]; ok {
		return v.PeerAddr, nil // a VM considered dead is probed too
	}
	if _, err := netip.ParseAddrPort(vm); err == nil {
		return vm, nil
	}
	return "", &UnknownVMError{VM: vm}
}

func (n *Node) dial(vm, addr string) (*clientLink, error) {
	d := net.Dialer{Timeout: n.opts.DialTimeout}
	if n.opts.BindIP != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(n.opts.BindIP)}
	}
	conn, err := d.DialContext(n.ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	if n.opts.TLS != nil {
		conn = tls.Client(conn, n.clientTLS(addr))
	}
	active := newActivityConn(conn, n.opts.Now)
	r := bufio.NewReaderSize(active, readBufferBytes)
	if err := dialHello(active, r, n.opts.Self, n.opts.FleetKey, n.opts.DialTimeout); err != nil {
		_ = conn.Close() // the dial error is returned
		return nil, err
	}
	c := newClientLink(newLink(active, r, vm, &n.opts, n.stats))
	n.goroutines.Add(1)
	go func() {
		defer n.goroutines.Done()
		c.run()
		n.reportUnresponsive(c.link, "dialed")
		n.resendUnproven(c.link)
	}()
	return c, nil
}

// clientTLS returns a TLS configuration that verifies the certificate for addr.
func (n *Node) clientTLS(addr string) *tls.Config {
	conf := n.opts.TLS.Clone()
	conf.ServerName, _, _ = net.SplitHostPort(addr) // valid, since the dial to addr succeeded
	return conf
}

// Call implements Caller.
func (n *Node) Call(ctx context.Context, vm, method string, body []byte) ([]byte, error) {
	if vm == n.opts.Self {
		return n.callLocal(ctx, method, body)
	}
	c, err := n.acquireClient(ctx, vm)
	if err != nil {
		return nil, &UnreachableError{VM: vm, Method: method, Unsent: true, Cause: err}
	}
	defer c.link.removeOutstanding()
	return c.call(ctx, method, body)
}

// CallIfResponsive is Call for requests that can be sent to another VM instead: while the
// link is unresponsive it fails immediately without sending the request.
func (n *Node) CallIfResponsive(ctx context.Context, vm, method string, body []byte) ([]byte, error) {
	dialCtx, cancel := context.WithTimeout(ctx, n.dialPatience(vm))
	defer cancel()
	c, err := n.acquireClient(dialCtx, vm)
	if err != nil {
		return nil, &UnreachableError{VM: vm, Method: method, Unsent: true, Cause: err}
	}
	defer c.link.removeOutstanding()
	if c.link.unresponsive.Load() {
		return nil, &UnreachableError{VM: vm, Method: method, Unsent: true, Cause: &UnresponsiveError{Silence: n.opts.UnresponsiveAfter}}
	}
	return c.call(ctx, method, body)
}

// dialPatience returns how long CallIfResponsive may wait for a link to a VM: until a
// dial has taken as long as the silence after which a link is unresponsive.
func (n *Node) dialPatience(vm string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	o := n.outgoingLinks[vm]
	if o == nil || o.dialing == nil {
		return n.opts.UnresponsiveAfter
	}
	return o.dialedAt + n.opts.UnresponsiveAfter - n.opts.Now()
}

func (n *Node) callLocal(ctx context.Context, method string, body []byte) ([]byte, error) {
	h, ok := n.handlers[method]
	if !ok {
		return nil, &UnknownMethodError{Method: method}
	}
	response, err := h(ctx, n.opts.Self, body)
	if err != nil {
		return nil, &RemoteError{VM: n.opts.Self, Method: method, Message: err.Error()}
	}
	return response, nil
}

// Notify implements Caller.
func (n *Node) Notify(vm, name string, body []byte) {
	if vm == n.opts.Self {
		if h, ok := n.handlers[name]; ok {
			_, _ = h(n.ctx, n.opts.Self, body) // one-way messages have no response
		}
		return
	}
	payload, err := encode(callBody{Method: name, Body: body})
	if err != nil {
		n.stats.notificationsDropped.Add(1)
		return
	}
	keep := method.MayRepeat(name)
	if l := n.currentLink(vm); l != nil && l.notify(payload, keep) {
		return
	}
	go n.dialAndNotify(vm, [][]byte{payload}, keep)
}

// currentLink returns the dialed link to a VM, which may be closed; nil if there is none.
func (n *Node) currentLink(vm string) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	if o := n.outgoingLinks[vm]; o != nil && o.client != nil {
		return o.client.link
	}
	return nil
}

// dialAndNotify sends one-way messages over a link that may have to be dialed first.
func (n *Node) dialAndNotify(vm string, payloads [][]byte, keep bool) {
	ctx, cancel := context.WithTimeout(n.ctx, n.opts.DialTimeout)
	defer cancel()
	c, err := n.acquireClient(ctx, vm)
	if err != nil {
		n.stats.notificationsDropped.Add(int64(len(payloads)))
		return
	}
	defer c.link.removeOutstanding()
	for _, payload := range payloads {
		if !c.link.notify(payload, keep) {
			n.stats.notificationsDropped.Add(1)
		}
	}
}

// resendUnproven sends the one-way messages of a lost link again that may not have arrived.
// They are sent again only once.
func (n *Node) resendUnproven(l *link) {
	if payloads := l.takeUnproven(); len(payloads) > 0 && n.ctx.Err() == nil {
		n.stats.notificationsResent.Add(int64(len(payloads)))
		n.dialAndNotify(l.vm, payloads, false)
	}
}

// OpenLane returns a lane to a server whose home is vm. The request is sent with the
// first batch, so the first Run returns the errors of admission.
func (n *Node) OpenLane(vm string, r txn.Request) txn.Lane {
	n.stats.lanesOpened.Add(1)
	return &clientLane{node: n, vm: vm, request: r}
}
