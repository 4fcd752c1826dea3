package backend

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"egretroad/internal/topology"
)

func TestParseStatus(t *testing.T) {
	g := NewWithT(t)
	s, err := ParseStatus(Row{"3", "4", "replica", "1/16B3748", "250", "2", "16"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s).To(Equal(Status{
		Term: 3, Fence: 4, Role: topology.RoleReplica, Position: 1<<32 | 0x16B3748,
		Lag: 250 * time.Millisecond, Slots: 2, MaxConnections: 16,
	}))
	for _, row := range []Row{
		nil,
		{"3", "4", "replica", "1/16B3748", "250", "2"},
		{"x", "4", "replica", "1/16B3748", "250", "2", "16"},
		{"-3", "4", "replica", "1/16B3748", "250", "2", "16"},
		{"3", "4", "replica", "116B3748", "250", "2", "16"},
		{"3", "4", "replica", "1/100000000", "250", "2", "16"},
		{"3", "4", "replica", "1/16B3748", "", "2", "16"},
	} {
		_, err := ParseStatus(row)
		g.Expect(errors.As(err, new(*ProtocolError))).To(BeTrue(), "%v", row)
	}
}

// pipeConn returns a connection and the server's end of it, to which the test writes.
func pipeConn(t *testing.T) (*Conn, net.Conn) {
	client, server := net.Pipe()
	t.Cleanup(func() { client.Close(); server.Close() })
	return &Conn{addr: "test", nc: client, buf: make([]byte, readBufferBytes)}, server
}

func message(kind byte, size int) []byte {
	m := binary.BigEndian.AppendUint32([]byte{kind}, uint32(4+size))
	for i := range size {
		m = append(m, byte(i))
	}
	return m
}

// TestNextReassemblesMessages sends messages of different sizes in chunks that do not
// match the message boundaries.
func TestNextReassemblesMessages(t *testing.T) {
	g := NewWithT(t)
	c, server := pipeConn(t)
	sizes := []int{0, 1, 100, readBufferBytes - messageHeaderBytes, readBufferBytes, 5 * readBufferBytes, 3, 0}
	go func() {
		var all []byte
		for _, n := range sizes {
			all = append(all, message('D', n)...)
		}
		const chunkBytes = 777
		for len(all) > 0 {
			n := min(chunkBytes, len(all))
			_, _ = server.Write(all[:n])
			all = all[n:]
		}
	}()
	for _, n := range sizes {
		kind, m, err := c.Next()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(kind).To(Equal(byte('D')))
		g.Expect(m).To(Equal(message('D', n)))
	}
	g.Expect(c.Buffered()).To(BeFalse())
	g.Expect(len(c.buf)).To(BeNumerically("<=", readBufferBytes))
}

// TestReadTimeoutLosesNoBytes interrupts a read in the middle of a message and reads
// the rest afterwards.
func TestReadTimeoutLosesNoBytes(t *testing.T) {
	g := NewWithT(t)
	c, server := pipeConn(t)
	whole := message('D', 50)
	sent := make(chan struct{})
	go func() {
		_, _ = server.Write(whole[:20])
		c.Interrupt()
		close(sent)
	}()
	_, _, err := c.Next()
	g.Expect(CauseOf(err)).To(Equal(CauseTimeout))
	<-sent
	c.SetDeadline(time.Time{})
	go func() { _, _ = server.Write(whole[20:]) }()
	_, m, err := c.Next()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(m).To(Equal(whole))
}

func TestInvalidMessageLengthsAreRejected(t *testing.T) {
	for name, length := range map[string]uint32{"too short": 3, "zero": 0, "huge": maxMessageBytes, "negative": 1 << 31} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c, server := pipeConn(t)
			go func() { _, _ = server.Write(binary.BigEndian.AppendUint32([]byte{'D'}, length)) }()
			_, _, err := c.Next()
			g.Expect(CauseOf(err)).To(Equal(CauseProtocol))
			g.Expect(len(c.buf)).To(Equal(readBufferBytes))
		})
	}
}

func TestClosedConnection(t *testing.T) {
	g := NewWithT(t)
	c, server := pipeConn(t)
	server.Close()
	_, _, err := c.Next()
	g.Expect(errors.Is(err, io.EOF)).To(BeTrue())
	g.Expect(CauseOf(err)).To(Equal(CauseReset))
}
