package platformfleet

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"
)

// Session is a caller's session on a VM.
type Session struct {
	conn net.Conn
	r    *bufio.Reader
}

// Open opens a session of a database. The caller must close it.
func (v *VM) Open(host string) (*Session, error) {
	conn, err := net.DialTimeout("tcp", v.address(frontPort), probeTimeout)
	if err != nil {
		return nil, err
	}
	s := &Session{conn: conn, r: bufio.NewReader(conn)}
	if _, err = fmt.Fprintf(conn, "CONNECT %s caller\r\n", host); err == nil {
		var line string
		_ = conn.SetDeadline(time.Now().Add(probeTimeout)) // a closed connection fails the read
		if line, err = s.r.ReadString('\n'); err == nil && !strings.HasPrefix(line, "READY") {
			err = &VMError{VM: v.Name, Cause: fmt.Errorf("session refused: %s", strings.TrimSpace(line))}
		}
	}
	if err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// Close closes the session.
func (s *Session) Close() { _ = s.conn.Close() } // its callers are done with it

// PromisesNothingKept reports whether an error code promises that nothing of a statement is
// kept.
func PromisesNothingKept(code string) bool {
	return slices.Contains([]string{"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "MAXCONN"}, code)
}

// Run runs one statement. code is the error code of the reply; empty on success. An error
// means that there is no reply within the time limit.
func (s *Session) Run(id, text string, limit time.Duration) (code string, err error) {
	_ = s.conn.SetDeadline(time.Now().Add(limit)) // a closed connection fails the write
	if _, err := fmt.Fprintf(s.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return "", err
	}
	for {
		line, err := s.r.ReadString('\n')
		if err != nil {
			return "", err
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		switch word {
		case "ERROR":
			code, _, _ = strings.Cut(rest, " ")
		case "READY":
			return code, nil
		}
	}
}
