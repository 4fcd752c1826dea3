package linegroup

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// conn is one connection to a server.
type conn struct {
	s        *Server
	w        *bufio.Writer
	txn      bool
	plain    bool // the transaction may write
	failed   bool
	muted    bool // answers nothing any more
	writes   []Commit
	values   map[string]string
	prepared map[string]string // what follows the name in PARSE
}

// accept takes connections until the listener is closed.
func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.group.mu.Lock()
		refused := s.down
		open := &conn{s: s, w: bufio.NewWriter(c), values: map[string]string{}, prepared: map[string]string{}}
		if !refused {
			s.conns[c] = open
		}
		s.group.mu.Unlock()
		if refused {
			_ = c.Close() // the server is down
			continue
		}
		go s.serve(open, c)
	}
}

func (s *Server) serve(c *conn, nc net.Conn) {
	defer func() {
		s.group.mu.Lock()
		delete(s.conns, nc)
		s.group.mu.Unlock()
		_ = nc.Close() // it may be closed already
	}()
	r := bufio.NewReader(nc)
	for started := false; ; started = true {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		line = strings.TrimRight(line, "\r\n")
		if s.isDark() {
			select {} // a dark server never answers; its connection is closed by Close
		}
		if !started {
			if !c.start(line) {
				return
			}
		} else if !c.handle(line) {
			return
		}
		if c.muted {
			c.w.Reset(io.Discard)
		}
		if c.w.Flush() != nil {
			return
		}
	}
}

func (s *Server) isDark() bool {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.dark
}

// start answers CONNECT.
func (c *conn) start(line string) bool {
	fields := strings.Fields(line)
	g := c.s.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(fields) < 3 || fields[0] != "CONNECT" || fields[1] != g.Name || len(fields) > 3 && fields[3] != c.s.ID {
		fmt.Fprintf(c.w, "ERROR WRONGNODE %s\r\n", c.s.ID)
		_ = c.w.Flush() // the connection ends
		return false
	}
	if len(c.s.conns) > c.s.max {
		fmt.Fprintf(c.w, "ERROR MAXCONN %s\r\n", c.s.ID)
		_ = c.w.Flush() // the connection ends
		return false
	}
	fmt.Fprintf(c.w, "READY I %s\r\n", c.s.position())
	return true
}

// handle answers one statement and reports whether the connection goes on.
func (c *conn) handle(line string) bool {
	word, rest, _ := strings.Cut(line, " ")
	if word != "QUERY" {
		return false
	}
	id, text, _ := strings.Cut(rest, " ")
	g := c.s.group
	g.mu.Lock()
	c.s.texts = append(c.s.texts, id+" "+text)
	verb, _, _ := strings.Cut(text, " ")
	pause := c.s.delay[verb]
	g.mu.Unlock()
	if runs(verb) {
		pause += g.Pause
		g.mu.Lock()
		c.s.running++
		c.s.most = max(c.s.most, c.s.running)
		g.mu.Unlock()
	}
	time.Sleep(pause)
	g.mu.Lock()
	defer g.mu.Unlock()
	if runs(verb) {
		c.s.running--
	}
	if code := c.refusal(verb); code != "" {
		c.fail(code)
		return true
	}
	c.statement(id, text)
	if c.s.mute > 0 && runs(verb) {
		c.s.mute--
		c.muted = true
	}
	if c.s.lose > 0 && runs(verb) {
		c.s.lose--
		return false
	}
	return true
}

func runs(verb string) bool {
	return verb == "READ" || verb == "WRITE" || verb == "EXECUTE" || verb == "COMMIT" || verb == "WAITLSN"
}

// refusal returns a code that was ordered for the statement. The caller holds mu.
func (c *conn) refusal(verb string) string {
	for key, n := range c.s.refuse {
		word, code, _ := strings.Cut(key, " ")
		if word == verb && n > 0 {
			c.s.refuse[key]--
			return code
		}
	}
	return ""
}

func (c *conn) fail(code string) {
	c.failed = c.txn
	fmt.Fprintf(c.w, "ERROR %s %s\r\n", code, c.s.ID)
	c.ready()
}

func (c *conn) ready() {
	state := "I"
	switch {
	case c.failed:
		state = "E"
	case c.txn:
		state = "T"
	}
	fmt.Fprintf(c.w, "READY %s %s\r\n", state, c.s.position())
}

func (c *conn) done(signature string) {
	fmt.Fprintf(c.w, "COMPLETE %s\r\n", signature)
	c.ready()
}

// statement runs one statement. The caller holds mu.
func (c *conn) statement(id, text string) {
	verb, rest, _ := strings.Cut(text, " ")
	if verb == "WAITLSN" {
		position, text, _ := strings.Cut(rest, " ")
		if !c.s.has(position) {
			c.fail("LAGGING")
			return
		}
		verb, rest, _ = strings.Cut(text, " ")
	}
	if c.failed && verb != "ROLLBACK" && verb != "COMMIT" {
		c.fail("MALFORMED")
		return
	}
	leads := c.s.group.primary == c.s.ID
	switch verb {
	case "BEGIN":
		if rest == "" && !leads {
			c.fail("READONLY")
			return
		}
		c.txn, c.plain = true, rest == ""
		c.done("-")
	case "ROLLBACK":
		c.txn, c.failed, c.writes = false, false, nil
		c.done("-")
	case "COMMIT":
		c.commit(leads)
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		c.values[name] = value
		c.done("-")
	case "DISCARD":
		clear(c.values)
		clear(c.prepared)
		c.done("-")
	case "PARSE":
		name, what, _ := strings.Cut(rest, " ")
		c.prepared[name] = what
		c.done("-")
	case "STATUS":
		c.status(leads)
	case "EXECUTE":
		name, args, _ := strings.Cut(rest, " ")
		what, known := c.prepared[name]
		if !known {
			c.fail("NOPREP")
			return
		}
		c.run(id, text, strings.HasPrefix(what, "WRITE"), args, leads)
	case "READ", "WRITE":
		c.run(id, text, verb == "WRITE", rest, leads)
	default:
		c.fail("MALFORMED")
	}
}

// run runs a read or a write.
func (c *conn) run(id, text string, writes bool, args string, leads bool) {
	if !leads && (writes || c.txn && c.plain) {
		c.fail("READONLY")
		return
	}
	g := c.s.group
	g.runs = append(g.runs, Run{Server: c.s.ID, ID: id, Text: text, Number: uint64(len(c.s.log))})
	item, data, _ := strings.Cut(args, " ")
	if !writes {
		fmt.Fprintf(c.w, "ROW %s\r\n", c.s.read(item))
		c.done("sig." + id)
		return
	}
	w := Commit{ID: id, Item: item, Data: data}
	if c.txn {
		c.writes = append(c.writes, w)
	} else {
		g.commit(c.s, []Commit{w})
	}
	c.done("sig." + id)
}

func (c *conn) commit(leads bool) {
	writes, failed := c.writes, c.failed
	c.txn, c.failed, c.writes = false, false, nil
	switch {
	case failed:
		c.fail("ABORTED")
		return
	case len(writes) > 0 && !leads:
		c.fail("READONLY")
		return
	case len(writes) > 0:
		c.s.group.commit(c.s, writes)
	}
	c.done("sig.commit")
}

func (c *conn) status(leads bool) {
	role := "replica"
	if leads {
		role = "primary"
	}
	fmt.Fprintf(c.w, "ROW %s %d %s %d 0 0 %d\r\n", role, c.s.term, c.s.position(), c.s.term, len(c.s.conns))
	c.done("-")
}

// has reports whether the log has a position. The caller holds mu.
func (s *Server) has(position string) bool {
	term, number, _ := strings.Cut(position, ".")
	t, errTerm := strconv.ParseUint(term, 10, 64)
	n, errNumber := strconv.ParseUint(number, 10, 64)
	return errTerm == nil && errNumber == nil && t <= s.term && n <= uint64(len(s.log))
}

// read returns the last value of an item. The caller holds mu.
func (s *Server) read(item string) string {
	for i := len(s.log) - 1; i >= 0; i-- {
		if s.log[i].Item == item {
			return s.log[i].Data
		}
	}
	return "-"
}
