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
	"egretroad/internal/topology"
	"egretroad/internal/txn"
)

// Options configure a Node.
type Options struct {
	Self           string // VM ID
	BindIP         string // source IP of outgoing connections
	FleetKey       []byte // proves membership of the fleet
	TLS            *tls.Config
	DialTimeout    time.Duration // connect and hello together
	WriteTimeout   time.Duration
	CheckInterval  time.Duration // between checks for silent and idle links
	PingAfter      time.Duration // silence with answers outstanding before a ping
	DoubtAfter     time.Duration // silence after which new transactions are held back
	SilenceTimeout time.Duration // silence after which a link is closed
	IdleTimeout    time.Duration // an unused outgoing link is closed after this time
	MaxLinks       int           // incoming links
	Now            func() time.Duration
}

// DefaultOptions returns options for a VM.
func DefaultOptions(self, bindIP string, fleetKey []byte) Options {
	return Options{
		Self: self, BindIP: bindIP, FleetKey: fleetKey,
		DialTimeout: time.Second, WriteTimeout: 2 * time.Second,
		CheckInterval: 50 * time.Millisecond, PingAfter: 150 * time.Millisecond,
		DoubtAfter: 250 * time.Millisecond, SilenceTimeout: 1200 * time.Millisecond,
		IdleTimeout: 2 * time.Minute, MaxLinks: 4096, Now: clock.Boottime,
	}
}

// readBufferBytes is the size of a link's read buffer; larger frames are read
// past it.
const readBufferBytes = 8 << 10

// UnknownVMError reports a VM that the snapshot in force does not contain.
type UnknownVMError struct{ VM string }

func (e *UnknownVMError) Error() string { return "VM " + e.VM + " is not in the list of live VMs" }

// BackoffError reports a VM to which connecting failed a moment ago.
type BackoffError struct{ Wait time.Duration }

func (e *BackoffError) Error() string {
	return "the last connection attempt failed; the next is in " + e.Wait.String()
}

// UnknownMethodError reports a method without a handler.
type UnknownMethodError struct{ Method string }

func (e *UnknownMethodError) Error() string { return "no handler for method " + e.Method }

// Node is the peer endpoint of one proxy.
type Node struct {
	opts    Options
	source  topology.Source
	log     hclog.Logger
	stats   *stats
	workers *workers // of incoming lanes

	handlers map[string]Handler // fixed before Start
	home     txn.Home           // fixed before Start; nil: lanes are refused

	mu       sync.Mutex // guards the fields below
	out      map[string]*outgoing
	in       map[*link]struct{}
	stopped  bool
	listener net.Listener

	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// NewNode returns a node that finds the addresses of VMs in source.
func NewNode(opts Options, source topology.Source, log hclog.Logger, m *metrics.Registry) *Node {
	ctx, cancel := context.WithCancel(context.Background())
	return &Node{
		opts: opts, source: source, log: log, stats: newStats(m), workers: newWorkers(),
		handlers: map[string]Handler{}, out: map[string]*outgoing{}, in: map[*link]struct{}{},
		ctx: ctx, cancel: cancel,
	}
}

// Handle implements Registrar.
func (n *Node) Handle(method string, h Handler) { n.handlers[method] = h }

// ServeLanes lets other proxies open lanes on home. Call it before Start.
func (n *Node) ServeLanes(home txn.Home) { n.home = home }

// Start accepts links from listener until Stop.
func (n *Node) Start(listener net.Listener) {
	n.mu.Lock()
	n.listener = listener
	n.mu.Unlock()
	n.done.Add(2)
	go n.acceptLoop(listener)
	go n.checkLoop()
}

// Stop closes every link. Lanes in progress break.
func (n *Node) Stop() {
	n.cancel()
	n.mu.Lock()
	n.stopped = true
	if n.listener != nil {
		_ = n.listener.Close() // closing twice is harmless
	}
	links := n.links()
	n.mu.Unlock()
	for _, l := range links {
		l.close(nil)
	}
	n.done.Wait()
}

// links returns every open link; n.mu is held.
func (n *Node) links() []*link {
	all := make([]*link, 0, len(n.in)+len(n.out))
	for l := range n.in {
		all = append(all, l)
	}
	for _, o := range n.out {
		if o.client != nil {
			all = append(all, o.client.link)
		}
	}
	return all
}

// checkLoop looks for silent and idle links.
func (n *Node) checkLoop() {
	defer n.done.Done()
	ticker := time.NewTicker(n.opts.CheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-ticker.C:
		}
		now := n.opts.Now()
		n.mu.Lock()
		n.dropIdle(now)
		links := n.links()
		n.mu.Unlock()
		for _, l := range links {
			l.checkSilence(now)
		}
	}
}

// dropIdle closes outgoing links that nobody uses; n.mu is held.
func (n *Node) dropIdle(now time.Duration) {
	for _, o := range n.out {
		if o.client != nil && o.client.link.idle(now, n.opts.IdleTimeout) {
			o.client.link.close(nil)
			o.client = nil
		}
	}
}

func (n *Node) acceptLoop(listener net.Listener) {
	defer n.done.Done()
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
		n.done.Add(1)
		go n.serveConn(conn)
	}
}

// acceptRetryDelay is the pause after a failed accept, for example when file
// descriptors have run out.
const acceptRetryDelay = 20 * time.Millisecond

// serveConn serves one incoming link until it ends.
func (n *Node) serveConn(conn net.Conn) {
	defer n.done.Done()
	if n.opts.TLS != nil {
		conn = tls.Server(conn, n.opts.TLS)
	}
	r := bufio.NewReaderSize(conn, readBufferBytes)
	vm, err := acceptHello(conn, r, n.opts.Self, n.opts.FleetKey, n.opts.DialTimeout)
	if err != nil {
		n.log.Warn("peer_refused", "remote", conn.RemoteAddr(), "error", err)
		_ = conn.Close() // the peer was refused
		return
	}
	l := newLink(conn, r, vm, &n.opts, n.stats)
	if !n.addIncoming(l) {
		l.close(nil)
		return
	}
	n.stats.links.Add(1)
	s := newServerLink(n, l)
	err = s.run()
	l.close(err)
	s.closeLanes()
	n.stats.links.Add(-1)
	n.mu.Lock()
	delete(n.in, l)
	n.mu.Unlock()
}

func (n *Node) addIncoming(l *link) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopped || len(n.in) >= n.opts.MaxLinks {
		return false
	}
	n.in[l] = struct{}{}
	return true
}

// outgoing is the link to one VM, dialed on demand. Its fields are guarded by Node.mu.
type outgoing struct {
	client  *clientLink
	dialing chan struct{} // closed when the dial in progress ends
	err     error         // of the last dial
	retryAt time.Duration
	policy  *backoff.ExponentialBackOff
}

// Dial back-off.
const (
	dialBackoffFirst = 50 * time.Millisecond
	dialBackoffMax   = time.Second
)

func newOutgoing() *outgoing {
	p := backoff.NewExponentialBackOff()
	p.InitialInterval, p.MaxInterval = dialBackoffFirst, dialBackoffMax
	return &outgoing{policy: p}
}

// client returns an open link to a VM with one outstanding answer counted. One
// dial serves all that wait.
func (n *Node) client(ctx context.Context, vm string) (*clientLink, error) {
	for {
		n.mu.Lock()
		if n.stopped {
			n.mu.Unlock()
			return nil, &LinkClosedError{Remote: vm}
		}
		o := n.out[vm]
		if o == nil {
			o = newOutgoing()
			n.out[vm] = o
		}
		if o.client != nil && o.client.link.closeErr() == nil {
			o.client.link.begin()
			c := o.client
			n.mu.Unlock()
			return c, nil
		}
		wait, err := n.startDial(o, vm)
		n.mu.Unlock()
		if err != nil {
			return nil, err
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		n.mu.Lock()
		err = o.err
		n.mu.Unlock()
		if err != nil {
			return nil, err
		}
	}
}

// startDial returns the dial in progress, starting one if back-off allows; n.mu is held.
func (n *Node) startDial(o *outgoing, vm string) (<-chan struct{}, error) {
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
	o.dialing = make(chan struct{})
	n.done.Add(1)
	go func() {
		defer n.done.Done()
		c, err := n.dial(vm, addr)
		n.finishDial(o, c, err)
	}()
	return o.dialing, nil
}

func (n *Node) finishDial(o *outgoing, c *clientLink, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err == nil && n.stopped {
		c.link.close(nil)
		err = &LinkClosedError{Remote: c.link.vm}
	}
	o.err = err
	if err == nil {
		o.client = c
		o.policy.Reset()
	} else {
		o.client = nil
		o.retryAt = n.opts.Now() + o.policy.NextBackOff()
	}
	close(o.dialing)
	o.dialing = nil
}

// address returns the peer address of a VM. A vm of the form IP:port is its own
// address, for seeds that are contacted before a snapshot exists.
func (n *Node) address(vm string) (string, error) {
	if v, ok := n.source.Snapshot().VMs[vm]; ok {
		return v.PeerAddr, nil
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
	r := bufio.NewReaderSize(conn, readBufferBytes)
	if err := dialHello(conn, r, n.opts.Self, n.opts.FleetKey, n.opts.DialTimeout); err != nil {
		_ = conn.Close() // the dial error is returned
		return nil, err
	}
	c := newClientLink(newLink(conn, r, vm, &n.opts, n.stats))
	n.done.Add(1)
	go func() {
		defer n.done.Done()
		c.run()
	}()
	return c, nil
}

// clientTLS returns the TLS configuration that checks the certificate of addr.
func (n *Node) clientTLS(addr string) *tls.Config {
	conf := n.opts.TLS.Clone()
	conf.ServerName, _, _ = net.SplitHostPort(addr) // the dial to addr has succeeded
	return conf
}

// Call implements Caller.
func (n *Node) Call(ctx context.Context, vm, method string, body []byte) ([]byte, error) {
	if vm == n.opts.Self {
		return n.callSelf(ctx, method, body)
	}
	c, err := n.client(ctx, vm)
	if err != nil {
		return nil, &UnreachableError{VM: vm, Method: method, Unsent: true, Cause: err}
	}
	defer c.link.end()
	return c.call(ctx, method, body)
}

// CallAnswering is Call for work that may be sent to another VM instead: it fails
// at once, unsent, while the link is in doubt.
func (n *Node) CallAnswering(ctx context.Context, vm, method string, body []byte) ([]byte, error) {
	c, err := n.client(ctx, vm)
	if err != nil {
		return nil, &UnreachableError{VM: vm, Method: method, Unsent: true, Cause: err}
	}
	defer c.link.end()
	if c.link.doubted.Load() {
		return nil, &UnreachableError{VM: vm, Method: method, Unsent: true, Cause: &SilentError{Silence: n.opts.DoubtAfter}}
	}
	return c.call(ctx, method, body)
}

func (n *Node) callSelf(ctx context.Context, method string, body []byte) ([]byte, error) {
	h, ok := n.handlers[method]
	if !ok {
		return nil, &UnknownMethodError{Method: method}
	}
	reply, err := h(ctx, n.opts.Self, body)
	if err != nil {
		return nil, &RemoteError{VM: n.opts.Self, Method: method, Message: err.Error()}
	}
	return reply, nil
}

// Notify implements Caller.
func (n *Node) Notify(vm, method string, body []byte) {
	if vm == n.opts.Self {
		if h, ok := n.handlers[method]; ok {
			_, _ = h(n.ctx, n.opts.Self, body) // one-way messages have no answer
		}
		return
	}
	payload, err := encode(callBody{Method: method, Body: body})
	if err != nil {
		n.stats.dropped.Add(1)
		return
	}
	n.mu.Lock()
	o := n.out[vm]
	open := o != nil && o.client != nil && o.client.link.closeErr() == nil
	n.mu.Unlock()
	if open {
		n.notifyOn(o.client.link, payload)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(n.ctx, n.opts.DialTimeout)
		defer cancel()
		c, err := n.client(ctx, vm)
		if err != nil {
			n.stats.dropped.Add(1)
			return
		}
		defer c.link.end()
		n.notifyOn(c.link, payload)
	}()
}

func (n *Node) notifyOn(l *link, payload []byte) {
	if !l.sendLater(frame{Type: frameNotify, Body: payload}) {
		n.stats.dropped.Add(1)
	}
}

// OpenLane returns a lane to a server whose home is vm. The request is sent
// together with the first batch, so the errors of admission come from the first Run.
func (n *Node) OpenLane(vm string, r txn.Request) txn.Lane {
	n.stats.lanes.Add(1)
	return &clientLane{node: n, vm: vm, request: r}
}
