//go:build review

package standin

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// client is one session of a client.
type client struct {
	conn net.Conn
	r    *bufio.Reader
}

// answer is the complete answer to one statement.
type answer struct {
	rows            []string
	code, signature string
	state           string
}

func (a answer) ok() bool { return a.code == "" }

func (a answer) String() string {
	if a.code != "" {
		return "ERROR " + a.code
	}
	return strings.TrimSpace(strings.Join(a.rows, ",") + " COMPLETE " + a.signature)
}

// connect opens a session.
func connect(address, database string) (*client, error) {
	nc, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn: nc, r: bufio.NewReader(nc)}
	_ = nc.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(nc, "CONNECT %s u1\r\n", database); err != nil {
		_ = nc.Close()
		return nil, err
	}
	line, err := readMessage(c.r)
	if err == nil && !strings.HasPrefix(line, "READY ") {
		err = fmt.Errorf("not accepted: %s", line)
	}
	if err != nil {
		_ = nc.Close()
		return nil, err
	}
	return c, nil
}

func (c *client) close() { _ = c.conn.Close() }

// do sends a statement and reads its complete answer.
func (c *client) do(id, text string, limit time.Duration) (answer, error) {
	_ = c.conn.SetDeadline(time.Now().Add(limit))
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return answer{}, err
	}
	return c.read()
}

func (c *client) read() (answer, error) {
	var a answer
	for {
		line, err := readMessage(c.r)
		if err != nil {
			return a, err
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "ROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.signature = rest
		case "ERROR":
			a.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return a, nil
		default:
			return a, fmt.Errorf("unexpected message %q", line)
		}
	}
}
