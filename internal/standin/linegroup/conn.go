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

// conn is a connection to a server.
type conn struct {
	server        *Server
	w             *bufio.Writer
	inTransaction bool
	writable      bool // the transaction is read-write
	failed        bool // the transaction has failed: only COMMIT and ROLLBACK are accepted
	muted         bool // sends no more responses
	writes        []Commit
	settings      map[string]string
	prepared      map[string]string // statement text by name, from PARSE
}

// accept serves connections until the listener is closed.
func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.group.mu.Lock()
		refused := s.down
		newConn := &conn{server: s, w: bufio.NewWriter(c), settings: map[string]string{}, prepared: map[string]string{}}
		if !refused {
			s.conns[c] = newConn
		}
		s.group.mu.Unlock()
		if refused {
			_ = c.Close() // the server is down
			continue
		}
		go s.serve(newConn, c)
	}
}

func (s *Server) serve(c *conn, nc net.Conn) {
	defer func() {
		s.group.mu.Lock()
		delete(s.conns, nc)
		s.group.mu.Unlock()
		_ = nc.Close() // may be closed already
	}()
	r := bufio.NewReader(nc)
	for started := false; ; started = true {
		line, err := readLine(r)
		if err != nil {
			return
		}
		if s.ignores(nc) {
			select {} // never respond; the connection stays open until Crash or Close
		}
		if !started {
			if !c.connect(line) {
				return
			}
		} else if !c.handleStatement(line) {
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

// readLine reads one message, which only CR LF ends.
func readLine(r *bufio.Reader) (string, error) {
	var line strings.Builder
	for {
		part, err := r.ReadString('\n')
		if err != nil {
			return "", err
		}
		line.WriteString(part)
		if text, ended := strings.CutSuffix(line.String(), "\r\n"); ended {
			return text, nil
		}
	}
}

// ignores reports whether the server does not respond on a connection.
func (s *Server) ignores(nc net.Conn) bool {
	ip, _, _ := net.SplitHostPort(nc.RemoteAddr().String()) // an unknown address is not blocked
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.unresponsive || s.blocked[ip]
}

// connect handles CONNECT and reports whether the connection is accepted.
func (c *conn) connect(line string) bool {
	fields := strings.Fields(line)
	g := c.server.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(fields) < 3 || fields[0] != "CONNECT" || fields[1] != g.Name || len(fields) > 3 && fields[3] != c.server.ID {
		fmt.Fprintf(c.w, "ERROR WRONGNODE %s\r\n", c.server.ID)
		_ = c.w.Flush() // the connection ends
		return false
	}
	if len(c.server.conns) > c.server.maxConnections {
		fmt.Fprintf(c.w, "ERROR MAXCONN %s\r\n", c.server.ID)
		_ = c.w.Flush() // the connection ends
		return false
	}
	fmt.Fprintf(c.w, "READY I %s\r\n", c.server.position())
	return true
}

// handleStatement runs one QUERY with its delays and injected faults, and reports
// whether the connection stays open.
func (c *conn) handleStatement(line string) bool {
	command, rest, _ := strings.Cut(line, " ")
	if command != "QUERY" {
		return false
	}
	id, text, _ := strings.Cut(rest, " ")
	g := c.server.group
	g.mu.Lock()
	c.server.statements = append(c.server.statements, id+" "+text)
	verb, _, _ := strings.Cut(text, " ")
	serviceTime := c.server.extraDelay[verb]
	g.mu.Unlock()
	if usesSlot(verb) {
		serviceTime += g.ServiceTime
		g.mu.Lock()
		c.server.running++
		c.server.maxRunning = max(c.server.maxRunning, c.server.running)
		g.mu.Unlock()
	}
	time.Sleep(serviceTime)
	g.mu.Lock()
	defer g.mu.Unlock()
	if usesSlot(verb) {
		c.server.running--
	}
	if code := c.takeInjectedError(verb); code != "" {
		c.writeError(code)
		return true
	}
	c.execute(id, text)
	if c.server.responsesToSuppress > 0 && usesSlot(verb) {
		c.server.responsesToSuppress--
		c.muted = true
	}
	if c.server.responsesToDrop > 0 && usesSlot(verb) {
		c.server.responsesToDrop--
		return false
	}
	return true
}

// usesSlot reports whether a statement occupies a slot of the server.
func usesSlot(verb string) bool {
	return verb == "READ" || verb == "WRITE" || verb == "EXECUTE" || verb == "COMMIT" || verb == "WAITLSN"
}

// takeInjectedError consumes an error that InjectErrors set for the verb and returns its
// code, or "" if there is none. The group's mutex must be held.
func (c *conn) takeInjectedError(verb string) string {
	for key, n := range c.server.injectedErrors {
		injectedVerb, code, _ := strings.Cut(key, " ")
		if injectedVerb == verb && n > 0 {
			c.server.injectedErrors[key]--
			return code
		}
	}
	return ""
}

func (c *conn) writeError(code string) {
	c.failed = c.inTransaction
	fmt.Fprintf(c.w, "ERROR %s %s\r\n", code, c.server.ID)
	c.writeReady()
}

func (c *conn) writeReady() {
	state := "I"
	switch {
	case c.failed:
		state = "E"
	case c.inTransaction:
		state = "T"
	}
	fmt.Fprintf(c.w, "READY %s %s\r\n", state, c.server.position())
}

func (c *conn) writeComplete(signature string) {
	fmt.Fprintf(c.w, "COMPLETE %s\r\n", signature)
	c.writeReady()
}

// execute runs one statement and writes its response. The group's mutex must be
// held.
func (c *conn) execute(id, text string) {
	verb, rest, _ := strings.Cut(text, " ")
	if verb == "WAITLSN" {
		position, text, _ := strings.Cut(rest, " ")
		if !c.server.hasPosition(position) {
			c.writeError("LAGGING")
			return
		}
		verb, rest, _ = strings.Cut(text, " ")
	}
	if c.failed && verb != "ROLLBACK" && verb != "COMMIT" {
		c.writeError("MALFORMED")
		return
	}
	isPrimary := c.server.isPrimary
	switch verb {
	case "BEGIN":
		if rest == "" && !isPrimary {
			c.writeError("READONLY")
			return
		}
		c.inTransaction, c.writable = true, rest == ""
		c.writeComplete("-")
	case "ROLLBACK":
		c.inTransaction, c.failed, c.writes = false, false, nil
		c.writeComplete("-")
	case "COMMIT":
		c.commit(isPrimary)
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		c.settings[name] = value
		c.writeComplete("-")
	case "DISCARD":
		clear(c.settings)
		clear(c.prepared)
		c.writeComplete("-")
	case "PARSE":
		name, statement, _ := strings.Cut(rest, " ")
		c.prepared[name] = statement
		c.writeComplete("-")
	case "STATUS":
		c.writeStatus()
	case "STEPDOWN":
		term, err := strconv.ParseUint(rest, 10, 64)
		if err != nil {
			c.writeError("MALFORMED")
			return
		}
		c.server.stepDown(term)
		c.writeStatus()
	case "EXECUTE":
		name, args, _ := strings.Cut(rest, " ")
		statement, found := c.prepared[name]
		if !found {
			c.writeError("NOPREP")
			return
		}
		c.readOrWrite(id, text, strings.HasPrefix(statement, "WRITE"), args, isPrimary)
	case "READ", "WRITE":
		c.readOrWrite(id, text, verb == "WRITE", rest, isPrimary)
	default:
		c.writeError("MALFORMED")
	}
}

// readOrWrite runs a read or a write and records it in the group.
func (c *conn) readOrWrite(id, text string, isWrite bool, args string, isPrimary bool) {
	if !isPrimary && (isWrite || c.inTransaction && c.writable) {
		c.writeError("READONLY")
		return
	}
	g := c.server.group
	g.runs = append(g.runs, Run{Server: c.server.ID, ID: id, Text: text, Number: uint64(len(c.server.log))})
	item, data, _ := strings.Cut(args, " ")
	if !isWrite {
		fmt.Fprintf(c.w, "ROW %s\r\n", c.server.readItem(item))
		c.writeComplete("sig." + id)
		return
	}
	w := Commit{ID: id, Item: item, Data: data}
	if c.inTransaction {
		c.writes = append(c.writes, w)
	} else {
		g.commit(c.server, []Commit{w})
	}
	c.writeComplete("sig." + id)
}

func (c *conn) commit(isPrimary bool) {
	writes, failed := c.writes, c.failed
	c.inTransaction, c.failed, c.writes = false, false, nil
	switch {
	case failed:
		c.writeError("ABORTED")
		return
	case len(writes) > 0 && !isPrimary:
		c.writeError("READONLY")
		return
	case len(writes) > 0:
		c.server.group.commit(c.server, writes)
	}
	c.writeComplete("sig.commit")
}

func (c *conn) writeStatus() {
	role := "replica"
	if c.server.isPrimary {
		role = "primary"
	}
	fmt.Fprintf(c.w, "ROW %s %d %s %d 0 0 %d\r\n", role, c.server.term, c.server.position(), c.server.term, len(c.server.conns))
	c.writeComplete("-")
}

// hasPosition reports whether the server has applied the log up to a position
// (TERM.NUMBER). The group's mutex must be held.
func (s *Server) hasPosition(position string) bool {
	term, number, _ := strings.Cut(position, ".")
	t, errTerm := strconv.ParseUint(term, 10, 64)
	n, errNumber := strconv.ParseUint(number, 10, 64)
	return errTerm == nil && errNumber == nil && t <= s.term && n <= uint64(len(s.log))
}

// readItem returns the last value written to an item, or "-" if there is none. The
// group's mutex must be held.
func (s *Server) readItem(item string) string {
	for i := len(s.log) - 1; i >= 0; i-- {
		if s.log[i].Item == item {
			return s.log[i].Data
		}
	}
	return "-"
}
