package session

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// failingListener fails the first calls of Accept as the kernel does when the process has no
// file descriptors left. Later calls wait until it is closed.
type failingListener struct {
	net.Listener
	failures int32
	accepts  atomic.Int32
	closed   chan struct{}
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.accepts.Add(1) <= l.failures {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	<-l.closed
	return nil, net.ErrClosed
}

// One failed accept ended the listener: the VM stayed ready and accepted no caller any more.
func TestCallersAreAcceptedAfterFailedAccept(t *testing.T) {
	f := newFixture(t, "latest")
	listener := &failingListener{failures: 3, closed: make(chan struct{})}
	served := make(chan error, 1)
	go func() { served <- f.engine.Serve(listener) }()
	f.g.Eventually(listener.accepts.Load, "10s", "5ms").Should(Equal(int32(4)))
	f.g.Consistently(served, 50*time.Millisecond).ShouldNot(Receive())
	close(listener.closed)
	var err error
	f.g.Eventually(served, "10s").Should(Receive(&err))
	f.g.Expect(errors.Is(err, net.ErrClosed)).To(BeTrue())
}
