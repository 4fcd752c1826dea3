package gateway

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/gomega"
)

// startupBytes encodes a startup message.
func startupBytes(parameters map[string]string) []byte {
	m := &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: parameters}
	b, _ := m.Encode(nil)
	return b
}

var shopStartup = startupBytes(map[string]string{"user": "shop", "database": "orders1"})

// frame encodes one message with the given length field, which may be wrong.
func frame(kind byte, length uint32, body ...byte) []byte {
	b := append([]byte{kind}, binary.BigEndian.AppendUint32(nil, length)...)
	return append(b, body...)
}

// exchange sends bytes, closes the sending side, and returns the SQLSTATEs of the
// errors in the response. It fails the test if the gateway does not close the
// connection.
func (f *fixture) exchange(b []byte) []string {
	conn, err := net.Dial("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(f.port)))
	f.Expect(err).NotTo(HaveOccurred())
	return f.exchangeOn(conn, b)
}

func (f *fixture) exchangeOn(conn net.Conn, b []byte) []string {
	defer conn.Close()
	f.Expect(conn.SetDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
	_, _ = conn.Write(b)
	_ = conn.(interface{ CloseWrite() error }).CloseWrite()
	response, err := io.ReadAll(conn)
	f.Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(BeFalse(), "the gateway must close the connection")
	return sqlstatesIn(response)
}

func sqlstatesIn(response []byte) []string {
	var codes []string
	for len(response) >= frameHeaderBytes {
		length := int(binary.BigEndian.Uint32(response[1:]))
		if length < 4 || len(response) < 1+length {
			break
		}
		if response[0] == 'E' {
			var e pgproto3.ErrorResponse
			if e.Decode(response[frameHeaderBytes:1+length]) == nil {
				codes = append(codes, e.Code)
			}
		}
		response = response[1+length:]
	}
	return codes
}

// malformedInputs lists invalid, truncated and oversized inputs with the SQLSTATEs
// of the expected errors.
var malformedInputs = []struct {
	name  string
	bytes []byte
	codes []string
}{
	{"nothing", nil, nil},
	{"truncated length", []byte{0, 0}, nil},
	{"length zero", []byte{0, 0, 0, 0, 0, 0, 0, 0}, []string{"08P01"}},
	{"negative length", []byte{0xff, 0xff, 0xff, 0xff, 0, 3, 0, 0}, []string{"08P01"}},
	{"oversized startup", []byte{0x7f, 0xff, 0xff, 0xff, 0, 3, 0, 0}, []string{"54000"}},
	{"protocol 2", []byte{0, 0, 0, 8, 0, 2, 0, 0}, []string{"08P01"}},
	{"http", []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), []string{"54000"}},
	{"unterminated startup", []byte{0, 0, 0, 12, 0, 3, 0, 0, 'u', 's', 'e', 'r'}, []string{"08P01"}},
	{"startup without user", startupBytes(map[string]string{"database": "orders1"}), []string{"28000"}},
	{"unknown database", startupBytes(map[string]string{"user": "shop", "database": "none"}), []string{"3D000"}},
	{"replication", startupBytes(map[string]string{"user": "shop", "database": "orders1", "replication": "database"}), []string{"0A000"}},
	{"unsupported option", startupBytes(map[string]string{"user": "shop", "database": "orders1", "options": "-x"}), []string{"22023"}},
	{"option without value", startupBytes(map[string]string{"user": "shop", "database": "orders1", "options": "-c name"}), []string{"22023"}},
	{"latin1", startupBytes(map[string]string{"user": "shop", "database": "orders1", "client_encoding": "LATIN1"}), []string{"0A000"}},
	{"forged mark", startupBytes(map[string]string{"user": "shop", "database": "orders1", "egretroad.mark": "1.AAAA.BBBB"}), []string{"22023"}},
	{"short cancel", []byte{0, 0, 0, 8, 4, 210, 22, 46}, []string{"08P01"}},
	{"too many TLS requests", []byte{0, 0, 0, 8, 4, 210, 22, 47, 0, 0, 0, 8, 4, 210, 22, 47, 0, 0, 0, 8, 4, 210, 22, 47, 0, 0, 0, 8, 4, 210, 22, 47}, nil},
	{"unknown type", append(bytes.Clone(shopStartup), frame('z', 4)...), []string{"08P01"}},
	{"length below four", append(bytes.Clone(shopStartup), frame('Q', 3)...), []string{"08P01"}},
	{"negative body", append(bytes.Clone(shopStartup), frame('Q', 0x80000000)...), []string{"08P01"}},
	{"oversized query", append(bytes.Clone(shopStartup), frame('Q', 0x7fffffff)...), []string{"54000"}},
	{"unterminated query", append(bytes.Clone(shopStartup), frame('Q', 7, 'a', 'b', 'c')...), []string{"08P01"}},
	{"truncated query", append(bytes.Clone(shopStartup), frame('Q', 100, 'a')...), nil},
	{"truncated parse", append(bytes.Clone(shopStartup), frame('P', 5, 'a')...), []string{"08P01"}},
	{"bind with huge counts", append(bytes.Clone(shopStartup), frame('B', 8, 0, 0, 0xff, 0xff)...), []string{"08P01"}},
	{"truncated execute", append(bytes.Clone(shopStartup), frame('E', 5, 0)...), []string{"08P01"}},
	{"function call", append(bytes.Clone(shopStartup), frame('F', 14, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0)...), []string{"0A000"}},
	{"unexpected password", append(bytes.Clone(shopStartup), frame('p', 6, 'x', 0)...), []string{"08P01"}},
	{"repeated startup", append(bytes.Clone(shopStartup), shopStartup...), []string{"08P01"}},
	{"empty query", append(bytes.Clone(shopStartup), frame('Q', 5, 0)...), nil},
	{"stray copy data", append(bytes.Clone(shopStartup), frame('d', 5, 0)...), nil},
	{"bind of an unknown statement", append(bytes.Clone(shopStartup), append(frame('B', 13, 0, 'x', 0, 0, 0, 0, 0, 0, 0), frame('S', 4)...)...), []string{"26000"}},
	{"terminate", append(bytes.Clone(shopStartup), frame('X', 4)...), nil},
}

func TestMalformedInput(t *testing.T) {
	f := newFixture(t)
	for _, input := range malformedInputs {
		f.Expect(f.exchange(input.bytes)).To(Equal(input.codes), input.name)
	}
	f.Eventually(f.gateway.sessionCount, "10s").Should(BeZero())
	f.Expect(f.gateway.memory.Used()).To(BeZero())
}

func TestBatchLimit(t *testing.T) {
	f := newFixture(t, func(o *Options) { o.MaxBatchBytes = 64 << 10 })
	b := bytes.Clone(shopStartup)
	for range 100 {
		b = append(b, frame('D', 6, 'P', 0)...)
		p, _ := (&pgproto3.Parse{Query: longSQL}).Encode(nil)
		b = append(b, p...)
	}
	f.Expect(f.exchange(b)).To(Equal([]string{"54000"}))
}

var longSQL = "SELECT '" + strings.Repeat("x", 1<<10) + "'"

func TestMemoryLimit(t *testing.T) {
	f := newFixture(t, func(o *Options) { o.MaxBufferedBytes = 1 << 20 })
	f.Expect(f.exchange(append(bytes.Clone(shopStartup), frame('Q', 2<<20)...))).To(Equal([]string{"53200"}))
	f.Expect(f.gateway.memory.Used()).To(BeZero())
}

func TestConnectionLimit(t *testing.T) {
	f := newFixture(t, func(o *Options) { o.MaxConnections = 1 })
	f.connect("")
	f.Expect(f.exchange(shopStartup)).To(Equal([]string{"53300"}))
}

// FuzzConnection sends arbitrary bytes, with or without a valid startup message
// before them. The gateway must close the connection without a panic and release
// its sessions, memory and lanes.
func FuzzConnection(f *testing.F) {
	for _, h := range malformedInputs {
		f.Add(h.bytes, true)
		f.Add(h.bytes, false)
	}
	f.Fuzz(func(t *testing.T, input []byte, withStartup bool) {
		fx := newFixtureWithoutListener(t, func(o *Options) { o.MaxMessageBytes = 1 << 20 })
		if withStartup {
			input = append(bytes.Clone(shopStartup), input...)
		}
		caller, served := socketPair(fx)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			fx.gateway.serveConn(served)
		}()
		fx.exchangeOn(caller, input)
		<-ended
		fx.Expect(fx.gateway.sessionCount()).To(BeZero())
		fx.Expect(fx.gateway.memory.Used()).To(BeZero())
		fx.Expect(fx.home.openLanes.Load()).To(BeZero())
	})
}

// socketPair returns two connected sockets.
func socketPair(f *fixture) (caller, served net.Conn) {
	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	f.Expect(err).NotTo(HaveOccurred())
	var conns [2]net.Conn
	for i, fd := range fds {
		file := os.NewFile(uintptr(fd), "pair")
		conns[i], err = net.FileConn(file)
		f.Expect(err).NotTo(HaveOccurred())
		f.Expect(file.Close()).To(Succeed())
	}
	return conns[0], conns[1]
}

// FuzzStatements checks that splitting and classifying statements terminates and
// that the parts are no longer than the input.
func FuzzStatements(f *testing.F) {
	for _, sql := range []string{"", ";", "SELECT 1; SELECT 2", "SELECT ';'", `E'\';'`, "$$;$$", "/* ; /* */ */ x", "--;\nx", "SET a = 'b'", "SET a TO 'b', 'c'", "$a$ $b$"} {
		f.Add(sql)
	}
	f.Fuzz(func(t *testing.T, sql string) {
		totalBytes := 0
		for _, part := range splitStatements(sql) {
			totalBytes += len(part)
			st := classify(part)
			st.isLocal()
		}
		if totalBytes > len(sql) {
			t.Fatalf("parts of %q have %d bytes of %d", sql, totalBytes, len(sql))
		}
	})
}
