//go:build review

package standins2

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net"
	"strings"
	"time"
)

// session is a client's session with a proxy.
type session struct {
	conn net.Conn
	r    *bufio.Reader
}

// answer is what a client got for a statement. lost: the connection ended before.
type answer struct {
	rows      int
	bytes     int
	signature string
	code      string
	state     string
	lost      bool
}

func (a answer) String() string {
	switch {
	case a.lost:
		return "no answer"
	case a.code != "":
		return "ERROR " + a.code
	default:
		return fmt.Sprintf("COMPLETE %s, %d rows of %d bytes in all", a.signature, a.rows, a.bytes)
	}
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // it never fails
	return hex.EncodeToString(b[:])
}

// connect opens a session.
func connect(address, database string) (*session, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	s := &session{conn: conn, r: bufio.NewReaderSize(conn, 64<<10)}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second)) // the read returns the error
	if _, err := fmt.Fprintf(conn, "CONNECT %s client\r\n", database); err != nil {
		s.close()
		return nil, err
	}
	line, err := readMessage(s.r)
	if err == nil && !strings.HasPrefix(line, "READY") {
		err = fmt.Errorf("answered %q", line)
	}
	if err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *session) close() { _ = s.conn.Close() } // the session is over

// query runs a statement and waits for its answer until the client's deadline.
func (s *session) query(id, text string, deadline time.Duration) answer {
	_ = s.conn.SetDeadline(time.Now().Add(deadline)) // the read returns the error
	if _, err := fmt.Fprintf(s.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return answer{lost: true}
	}
	var a answer
	for {
		line, err := readMessage(s.r)
		if err != nil {
			return answer{lost: true}
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "ROW":
			a.rows++
			a.bytes += len(rest)
		case "COMPLETE":
			a.signature = rest
		case "ERROR":
			a.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return a
		}
	}
}
