// Package silence simulates a network in which open connections go silent for good, while
// new ones work: something between the two ends has lost track of them. A Relay forwards TCP
// connections to a target and can make any of the open ones silent. Both ends then stay
// connected, and what they send is acknowledged and dropped.
package silence

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	bufferBytes = 32 << 10
	acceptRetry = 50 * time.Millisecond
)

// Relay forwards connections from its own address to a target. Safe for concurrent use.
type Relay struct {
	target     string
	keepSource bool
	listener   net.Listener

	mu   sync.Mutex // guards open
	open []*connection
}

// connection is one relayed connection.
type connection struct {
	source        string // IP address
	silent, ended atomic.Bool
}

// Start starts a relay to target, an IP address and port. With keepSource it connects from
// the address that a connection came from.
func Start(target string, keepSource bool) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{target: target, keepSource: keepSource, listener: listener}
	go r.accept()
	return r, nil
}

// Addr returns the relay's address.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Close ends the relay for new connections.
func (r *Relay) Close() { _ = r.listener.Close() } // may be closed already

// Silence makes the open connections silent that choose selects by the IP address of their
// source, and returns their number.
func (r *Relay) Silence(choose func(source string) bool) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	silenced := 0
	var open []*connection
	for _, c := range r.open {
		switch {
		case c.ended.Load():
		case choose(c.source):
			c.silent.Store(true)
			silenced++
		default:
			open = append(open, c)
		}
	}
	r.open = open
	return silenced
}

// SilenceAll makes all open connections silent and returns their number.
func (r *Relay) SilenceAll() int { return r.Silence(func(string) bool { return true }) }

func (r *Relay) accept() {
	for {
		in, err := r.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetry) // out of file descriptors
			continue
		}
		source := in.RemoteAddr().(*net.TCPAddr).IP
		dialer := net.Dialer{}
		if r.keepSource {
			dialer.LocalAddr = &net.TCPAddr{IP: source}
		}
		out, err := dialer.Dial("tcp", r.target)
		if err != nil {
			_ = in.Close() // as the target refused it
			continue
		}
		c := &connection{source: source.String()}
		r.mu.Lock()
		r.open = append(r.open, c)
		r.mu.Unlock()
		go c.forward(out, in)
		go c.forward(in, out)
	}
}

// forward copies bytes in one direction. The other end of a silent connection does not learn
// that this one has closed.
func (c *connection) forward(to, from net.Conn) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !c.silent.Load() {
			_, _ = to.Write(buffer[:n]) // the next read reports a closed connection
		}
		if err == nil {
			continue
		}
		c.ended.Store(true)
		_ = from.Close() // it has ended
		if !c.silent.Load() {
			_ = to.Close() // likewise
		}
		return
	}
}
