// Package relay stands between the VMs of a test deployment: it forwards TCP
// connections, and while the network between two VMs is cut it holds their
// bytes and leaves new connections without an answer.
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
	// maxInFlight is the number of chunks that a delayed direction holds.
	maxInFlight = 1024
)

// Delay returns the one-way latency between a source and the target.
type Delay func(source netip.Addr) time.Duration

// Relay forwards connections from its own address to a target. The source VM
// is known by the address that it dials from. Safe for concurrent use.
type Relay struct {
	net      *network.Network
	listener net.Listener
	target   netip.AddrPort
	delay    Delay
	closed   chan struct{}

	mu    sync.Mutex // guards conns
	conns map[net.Conn]struct{}
	once  sync.Once
}

// ListenError reports an address that the relay could not listen on.
type ListenError struct {
	Addr  string
	Cause error
}

func (e *ListenError) Error() string { return fmt.Sprintf("cannot listen on %s: %v", e.Addr, e.Cause) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// Start listens on addr (port 0 picks a free one) and forwards to target; a nil
// delay adds no latency.
func Start(addr string, target netip.AddrPort, links *network.Network, delay Delay) (*Relay, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, &ListenError{Addr: addr, Cause: err}
	}
	r := &Relay{
		net:      links,
		listener: l,
		target:   target,
		delay:    delay,
		closed:   make(chan struct{}),
		conns:    map[net.Conn]struct{}{},
	}
	go r.accept()
	return r, nil
}

// Addr returns the address that the relay listens on.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Close ends the relay and its connections.
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

func (r *Relay) drop(c net.Conn) {
	c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

func (r *Relay) serve(in net.Conn) {
	defer r.drop(in)
	source := in.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
	if !r.pass(source) {
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
	defer r.drop(out)
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.forward(out, in, source)
	}()
	r.forward(in, out, source)
	<-done
}

// forward copies bytes until one side ends; a cut holds them back.
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
		if !r.pass(source) {
			return
		}
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// chunk is a run of bytes that may leave at a time.
type chunk struct {
	due  time.Time
	data []byte
}

// forwardDelayed copies bytes, each after the given latency.
func (r *Relay) forwardDelayed(to, from net.Conn, source netip.Addr, latency time.Duration) {
	line := make(chan chunk, maxInFlight)
	written := make(chan struct{})
	go func() {
		defer close(written)
		r.writeChunks(to, line, source)
		from.Close()
	}()
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			c := chunk{due: time.Now().Add(latency), data: append([]byte(nil), buffer[:n]...)}
			select {
			case line <- c:
			case <-written:
				return
			}
		}
		if err != nil {
			break
		}
	}
	close(line)
	<-written
}

// writeChunks writes each chunk when it is due.
func (r *Relay) writeChunks(to net.Conn, line <-chan chunk, source netip.Addr) {
	for c := range line {
		time.Sleep(time.Until(c.due))
		if !r.pass(source) {
			return
		}
		if _, err := to.Write(c.data); err != nil {
			return
		}
	}
}

// pass waits until source and target reach each other; it returns false when
// the relay ends.
func (r *Relay) pass(source netip.Addr) bool {
	for {
		changed := r.net.Changed()
		if !r.net.Blocked(source, r.target.Addr()) {
			return true
		}
		select {
		case <-changed:
		case <-r.closed:
			return false
		}
	}
}
