// Package relay simulates the network between the VMs of a test deployment. A Relay
// forwards TCP connections to one VM and adds latency. While the network to the source
// VM is cut, it holds back the bytes of open connections and does not yet forward new
// ones.
package relay

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"egretroad/internal/standin/network"
)

const (
	bufferBytes = 32 << 10
	dialTimeout = 5 * time.Second
	// maxInFlight is the number of chunks that one direction buffers while they
	// are delayed.
	maxInFlight = 1024
)

// Delay returns the one-way latency between a source and the target.
type Delay func(source netip.Addr) time.Duration

// Relay forwards connections from its own address to a target. It identifies the
// source VM by its IP address. Safe for concurrent use.
type Relay struct {
	partitions *network.Network
	listener   net.Listener
	target     netip.AddrPort
	delay      Delay
	closed     chan struct{}

	mu    sync.Mutex // guards conns
	conns map[net.Conn]struct{}
	once  sync.Once
}

// ListenError reports that the relay could not listen on an address.
type ListenError struct {
	Addr  string
	Cause error
}

func (e *ListenError) Error() string { return fmt.Sprintf("cannot listen on %s: %v", e.Addr, e.Cause) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// Start listens on addr (port 0 picks a free port) and forwards to target while
// partitions does not block the source. A nil delay adds no latency.
func Start(addr string, target netip.AddrPort, partitions *network.Network, delay Delay) (*Relay, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, &ListenError{Addr: addr, Cause: err}
	}
	r := &Relay{
		partitions: partitions,
		listener:   l,
		target:     target,
		delay:      delay,
		closed:     make(chan struct{}),
		conns:      map[net.Conn]struct{}{},
	}
	go r.accept()
	return r, nil
}

// Addr returns the address that the relay listens on.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Close stops the relay and closes its connections.
func (r *Relay) Close() {
	r.once.Do(func() { close(r.closed) })
	r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.Close()
	}
}

func (r *Relay) accept() {
	for {
		c, err := r.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil && r.track(c) {
			go r.serve(c)
		}
	}
}

// track registers a connection for Close. If the relay is already closed, it closes
// the connection and returns false.
func (r *Relay) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.closed:
		c.Close()
		return false
	default:
	}
	r.conns[c] = struct{}{}
	return true
}

func (r *Relay) closeAndUntrack(c net.Conn) {
	c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

func (r *Relay) serve(in net.Conn) {
	defer r.closeAndUntrack(in)
	source := in.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
	if !r.waitUntilReachable(source) {
		return
	}
	dialer := net.Dialer{
		Timeout:   dialTimeout,
		LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0)),
	}
	out, err := dialer.Dial("tcp", r.target.String())
	if err != nil || !r.track(out) {
		return
	}
	defer r.closeAndUntrack(out)
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.forward(out, in, source)
	}()
	r.forward(in, out, source)
	<-done
}

// forward copies bytes in one direction until either side closes. A cut holds the
// bytes back.
func (r *Relay) forward(to, from net.Conn, source netip.Addr) {
	defer to.Close()
	defer from.Close()
	var latency time.Duration
	if r.delay != nil {
		latency = r.delay(source)
	}
	if latency > 0 {
		r.forwardDelayed(to, from, source, latency)
		return
	}
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if !r.waitUntilReachable(source) {
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// chunk is a block of bytes and the time at which it is delivered.
type chunk struct {
	due  time.Time
	data []byte
}

// forwardDelayed copies bytes in one direction, delayed by the given latency.
func (r *Relay) forwardDelayed(to, from net.Conn, source netip.Addr, latency time.Duration) {
	queue := make(chan chunk, maxInFlight)
	written := make(chan struct{})
	go func() {
		defer close(written)
		r.writeChunks(to, queue, source)
		from.Close()
	}()
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			c := chunk{due: time.Now().Add(latency), data: append([]byte(nil), buffer[:n]...)}
			select {
			case queue <- c:
			case <-written:
				return
			}
		}
		if err != nil {
			break
		}
	}
	close(queue)
	<-written
}

// writeChunks writes each chunk at its due time, or later if a cut holds it back.
func (r *Relay) writeChunks(to net.Conn, queue <-chan chunk, source netip.Addr) {
	for c := range queue {
		time.Sleep(time.Until(c.due))
		if !r.waitUntilReachable(source) {
			return
		}
		if _, err := to.Write(c.data); err != nil {
			return
		}
	}
}

// waitUntilReachable waits until no cut separates source and target. It returns false
// if the relay is closed first.
func (r *Relay) waitUntilReachable(source netip.Addr) bool {
	for {
		changed := r.partitions.Changed()
		if !r.partitions.Blocked(source, r.target.Addr()) {
			return true
		}
		select {
		case <-changed:
		case <-r.closed:
			return false
		}
	}
}
