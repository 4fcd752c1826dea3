package broker_test

import (
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"egretroad/internal/broker"
)

// delayFirst forwards connections to addr and delays the responses on the first one.
func delayFirst(t *testing.T, addr string, delay time.Duration) string {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { l.Close() })
	go func() {
		for n := 0; ; n++ {
			client, err := l.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", addr)
			if err != nil {
				client.Close()
				continue
			}
			wait := delay
			if n > 0 {
				wait = 0
			}
			go forward(server, client, 0)
			go forward(client, server, wait)
		}
	}()
	return l.Addr().String()
}

func forward(to, from net.Conn, wait time.Duration) {
	time.Sleep(wait)
	io.Copy(to, from)
	to.Close()
	from.Close()
}

// The server accepted the first connection and refused the second one, whose refusal came
// first. The statement that waited was refused although a connection opened soon after.
func TestStatementWaitsForConnectionThatOpensWhenAnotherIsRefused(t *testing.T) {
	h := newHarnessBehind(t, 0, func(addr string) string { return delayFirst(t, addr, 300*time.Millisecond) })
	server := h.group.Server("s1")
	server.LimitConnections(1)
	h.g.Eventually(server.Connections, "5s", "1ms").Should(Equal(1), "the first connection is at the server")
	h.g.Expect(h.run(h.request("s1", "r1", "READ a")).Outcome).To(Equal(broker.Ran))
}
