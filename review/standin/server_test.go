//go:build review

package standin

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// entry is one committed write in a server's log.
type entry struct {
	term uint64
	id   string // request ID of the write, or of the transaction's last write
	item string
	data string
}

// commitRecord is one write that a server committed.
type commitRecord struct {
	at         time.Time
	server, id string
	position   string
	replaced   bool // another server led a later term at that time
}

// runRecord is one statement of a client that a server ran.
type runRecord struct {
	server, id, text string
	shape            string // of a prepared statement
}

// group is a database service: one primary and its replicas. It follows the users' page
// on servers: a promotion takes effect after promoteDelay, the new primary leads the next
// term with what it had received, replicas that were ahead are rolled back, and the old
// primary goes on until it is told to step down or for oldPrimaryLimit.
type group struct {
	name         string
	replication  time.Duration // until a replica has received and applied a commit
	workTime     time.Duration // of a read, a write or a commit
	promoteDelay time.Duration
	report       func(s *server) // writes the server's entry to the store

	mu        sync.Mutex // guards the fields below and those of all servers
	term      uint64     // highest term that a server has led
	leader    *server    // the server promoted last
	servers   map[string]*server
	commits   []commitRecord
	runs      []runRecord
	island    map[string]bool   // servers on the far side of a partition
	islandIPs map[string]bool   // addresses of the VMs there
	arrived   map[string]string // server that a client's statement reached, by request ID
}

// oldPrimaryLimit is how long a replaced primary goes on when it can reach the new one.
const oldPrimaryLimit = time.Second

// server is one server of a group.
type server struct {
	id, zone string
	group    *group
	listener net.Listener
	slots    chan struct{}

	primary  bool
	draining bool
	term     uint64
	log      []entry
	conns    int
	open     map[net.Conn]bool
}

const (
	slotsPerServer = 2
	maxConns       = 16
)

func newGroup(name string) *group {
	return &group{
		name: name, replication: 20 * time.Millisecond, workTime: 5 * time.Millisecond,
		promoteDelay: 300 * time.Millisecond, term: 1, servers: map[string]*server{}, arrived: map[string]string{},
	}
}

// add starts a server with the log of the leader. The first server is the primary.
func (g *group) add(id, zone string) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	s := &server{id: id, zone: zone, group: g, listener: listener, slots: make(chan struct{}, slotsPerServer), term: g.term, open: map[net.Conn]bool{}}
	if g.leader == nil {
		g.leader, s.primary = s, true
	} else {
		s.log = append([]entry(nil), g.leader.log...)
	}
	g.servers[id] = s
	g.mu.Unlock()
	go s.accept()
	g.report(s)
	return s, nil
}

// remove stops a server and closes its connections.
func (s *server) remove() {
	_ = s.listener.Close()
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	delete(s.group.servers, s.id)
	for c := range s.open {
		_ = c.Close()
	}
}

// drain makes the server report that it leaves.
func (s *server) drain() {
	s.group.mu.Lock()
	s.draining = true
	s.group.mu.Unlock()
	s.group.report(s)
}

// promote makes a running server the primary of the next term after promoteDelay. It
// reports whether the server is running.
func (g *group) promote(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.servers[id]
	if s == nil {
		return false
	}
	if g.leader == s && s.primary {
		return true
	}
	time.AfterFunc(g.promoteDelay, func() { g.takeLead(s) })
	return true
}

func (g *group) takeLead(s *server) {
	g.mu.Lock()
	if g.servers[s.id] != s || g.leader == s && s.primary {
		g.mu.Unlock()
		return
	}
	old := g.leader
	g.term++
	g.leader, s.primary, s.term = s, true, g.term
	for _, other := range g.servers {
		if other != s && !other.primary && !g.separated(s, other) {
			other.follow(s)
		}
	}
	g.mu.Unlock()
	note("promotion of %s takes effect: it leads term %d with %d commits; %s was the primary", s.id, s.term, len(s.log), old.id)
	g.report(s)
	if old != s {
		time.AfterFunc(oldPrimaryLimit, func() { g.endOldPrimary(old) })
	}
}

// endOldPrimary makes a replaced primary step down, unless it cannot reach the new one.
func (g *group) endOldPrimary(old *server) {
	g.mu.Lock()
	apart := g.separated(old, g.leader)
	g.mu.Unlock()
	if !apart {
		old.stepDown(g.currentTerm())
	}
}

// separated reports whether a partition separates two servers. The group's mutex must be
// held.
func (g *group) separated(a, b *server) bool { return g.island[a.id] != g.island[b.id] }

// partition separates servers and addresses of VMs from all others; nil ends it.
func (g *group) partition(servers, ips map[string]bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.island, g.islandIPs = servers, ips
}

// unreachable reports whether a partition separates a server from an address.
func (s *server) unreachable(ip string) bool {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.group.island[s.id] != s.group.islandIPs[ip]
}

func (g *group) currentTerm() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.term
}

// follow rolls back what the leader's log lacks. The group's mutex must be held.
func (s *server) follow(leader *server) {
	common := 0
	for common < len(s.log) && common < len(leader.log) && s.log[common] == leader.log[common] {
		common++
	}
	if common < len(s.log) {
		note("%s rolls back %d commits of term %d", s.id, len(s.log)-common, s.term)
	}
	s.log, s.term = append([]entry(nil), leader.log...), leader.term
}

// stepDown makes a primary of a lower term a replica. While no other server has been
// promoted, the group has no primary then.
func (s *server) stepDown(term uint64) {
	g := s.group
	g.mu.Lock()
	changed := s.primary && s.term < term
	if changed {
		s.primary = false
		if g.leader != s && !g.separated(s, g.leader) {
			s.follow(g.leader)
		}
	}
	g.mu.Unlock()
	if changed {
		note("%s steps down", s.id)
		g.report(s)
	}
}

// commit appends a write to the log of a primary. The group's mutex must be held.
func (s *server) commit(id, item, data string) {
	g := s.group
	s.log = append(s.log, entry{term: s.term, id: id, item: item, data: data})
	replaced := g.leader != s
	g.commits = append(g.commits, commitRecord{at: time.Now(), server: s.id, id: id, position: s.position(), replaced: replaced})
	if replaced {
		return
	}
	n := len(s.log)
	term := s.term
	time.AfterFunc(g.replication, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.leader != s || s.term != term {
			return
		}
		for _, other := range g.servers {
			if other != s && !other.primary && !g.separated(s, other) && len(other.log) < n {
				other.log, other.term = append(other.log[:len(other.log):len(other.log)], s.log[len(other.log):n]...), term
			}
		}
	})
}

// position returns the log position. The group's mutex must be held.
func (s *server) position() string { return fmt.Sprintf("%d.%d", s.term, len(s.log)) }

// hasPosition reports whether the log has a position. The group's mutex must be held.
func (s *server) hasPosition(text string) bool {
	term, number, _ := strings.Cut(text, ".")
	t, errTerm := strconv.ParseUint(term, 10, 64)
	n, errNumber := strconv.Atoi(number)
	return errTerm == nil && errNumber == nil && t <= s.term && n <= len(s.log)
}

func (s *server) accept() {
	for {
		nc, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.group.mu.Lock()
		s.open[nc] = true
		s.group.mu.Unlock()
		go s.serve(nc)
	}
}

// heldUp waits while a partition separates the server from an address. It reports whether
// there was one: the connection, which the other end has given up, ends then.
func (s *server) heldUp(ip string) bool {
	held := false
	for s.unreachable(ip) {
		held = true
		time.Sleep(20 * time.Millisecond)
	}
	return held
}

// serverConn is one connection to a server.
type serverConn struct {
	server   *server
	out      bytes.Buffer
	inTxn    bool
	writable bool
	failed   bool
	writes   []entry
	prepared map[string]string
}

// readMessage reads one message, which ends with CR LF. A line feed without a carriage
// return before it is part of a field.
func readMessage(r *bufio.Reader) (string, error) {
	var line []byte
	for {
		chunk, err := r.ReadSlice('\n')
		line = append(line, chunk...)
		if err == bufio.ErrBufferFull {
			continue
		}
		if err != nil {
			return "", err
		}
		if bytes.HasSuffix(line, []byte("\r\n")) {
			return string(line[:len(line)-2]), nil
		}
	}
}

func (s *server) serve(nc net.Conn) {
	g := s.group
	defer func() {
		_ = nc.Close()
		g.mu.Lock()
		delete(s.open, nc)
		g.mu.Unlock()
	}()
	r := bufio.NewReaderSize(nc, 4<<10)
	ip, _, _ := net.SplitHostPort(nc.RemoteAddr().String())
	first, err := readMessage(r)
	if err != nil || s.heldUp(ip) {
		return
	}
	fields := strings.Fields(first)
	g.mu.Lock()
	refusal := ""
	switch {
	case len(fields) < 3 || fields[0] != "CONNECT" || fields[1] != g.name || len(fields) > 3 && fields[3] != s.id:
		refusal = "WRONGNODE"
	case s.conns >= maxConns:
		refusal = "MAXCONN"
	default:
		s.conns++
	}
	position := s.position()
	g.mu.Unlock()
	if refusal != "" {
		_, _ = fmt.Fprintf(nc, "ERROR %s %s\r\n", refusal, s.id)
		return
	}
	defer func() {
		g.mu.Lock()
		s.conns--
		g.mu.Unlock()
	}()
	if _, err := fmt.Fprintf(nc, "READY I %s\r\n", position); err != nil {
		return
	}
	c := &serverConn{server: s, prepared: map[string]string{}}
	for {
		line, err := readMessage(r)
		if err != nil || s.heldUp(ip) {
			return
		}
		word, rest, _ := strings.Cut(line, " ")
		if word != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		c.out.Reset()
		c.run(id, text)
		if _, err := nc.Write(c.out.Bytes()); err != nil {
			return
		}
	}
}

// run executes one statement and writes its response to out.
func (c *serverConn) run(id, text string) {
	s, g := c.server, c.server.group
	verb, rest, _ := strings.Cut(text, " ")
	if id != "-" {
		g.mu.Lock()
		g.arrived[id] = s.id
		g.mu.Unlock()
	}
	if verb == "WAITLSN" {
		position, after, _ := strings.Cut(rest, " ")
		g.mu.Lock()
		has := s.hasPosition(position)
		if !has {
			c.fail("LAGGING")
		}
		g.mu.Unlock()
		if !has {
			return
		}
		text = after
		verb, rest, _ = strings.Cut(text, " ")
	}
	switch verb {
	case "READ", "WRITE", "EXECUTE", "COMMIT", "STATUS":
		s.slots <- struct{}{}
		defer func() { <-s.slots }()
		if verb != "STATUS" {
			time.Sleep(g.workTime)
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.failed && verb != "ROLLBACK" && verb != "COMMIT" {
		c.fail("MALFORMED")
		return
	}
	switch verb {
	case "BEGIN":
		if rest == "" && !s.primary {
			c.fail("READONLY")
			return
		}
		c.inTxn, c.writable = true, rest == ""
		c.complete("-")
	case "ROLLBACK":
		c.inTxn, c.failed, c.writes = false, false, nil
		c.complete("-")
	case "COMMIT":
		c.commit()
	case "SET":
		c.complete("-")
	case "DISCARD":
		clear(c.prepared)
		c.complete("-")
	case "PARSE":
		name, shape, _ := strings.Cut(rest, " ")
		c.prepared[name] = shape
		c.complete("-")
	case "STATUS":
		c.status()
	case "STEPDOWN":
		term, err := strconv.ParseUint(rest, 10, 64)
		if err != nil {
			c.fail("MALFORMED")
			return
		}
		g.mu.Unlock()
		s.stepDown(term)
		g.mu.Lock()
		c.status()
	case "EXECUTE":
		name, args, _ := strings.Cut(rest, " ")
		shape, known := c.prepared[name]
		if !known {
			c.fail("NOPREP")
			return
		}
		c.readOrWrite(runRecord{server: s.id, id: id, text: text, shape: shape}, strings.HasPrefix(shape, "WRITE"), args)
	case "READ", "WRITE":
		c.readOrWrite(runRecord{server: s.id, id: id, text: text}, verb == "WRITE", rest)
	default:
		c.fail("MALFORMED")
	}
}

func (c *serverConn) readOrWrite(r runRecord, writes bool, args string) {
	s, g := c.server, c.server.group
	if !s.primary && (writes || c.inTxn && c.writable) {
		c.fail("READONLY")
		return
	}
	g.runs = append(g.runs, r)
	item, data, _ := strings.Cut(args, " ")
	if !writes {
		fmt.Fprintf(&c.out, "ROW %s\r\n", s.read(item))
		c.complete("sig." + s.id + "." + r.id)
		return
	}
	if c.inTxn {
		c.writes = append(c.writes, entry{id: r.id, item: item, data: data})
	} else {
		s.commit(r.id, item, data)
	}
	c.complete("sig." + s.id + "." + r.id)
}

func (c *serverConn) commit() {
	writes, failed := c.writes, c.failed
	c.inTxn, c.failed, c.writes = false, false, nil
	switch {
	case failed:
		c.fail("ABORTED")
		return
	case len(writes) > 0 && !c.server.primary:
		c.fail("READONLY")
		return
	}
	for _, w := range writes {
		c.server.commit(w.id, w.item, w.data)
	}
	c.complete("sig." + c.server.id + ".commit")
}

// read returns the newest value of an item. The group's mutex must be held.
func (s *server) read(item string) string {
	for i := len(s.log) - 1; i >= 0; i-- {
		if s.log[i].item == item {
			return s.log[i].data
		}
	}
	return "none"
}

func (c *serverConn) status() {
	s := c.server
	role := "replica"
	if s.primary {
		role = "primary"
	}
	fmt.Fprintf(&c.out, "ROW %s %d %s 0 0 0 %d\r\n", role, s.term, s.position(), s.conns)
	c.complete("-")
}

func (c *serverConn) fail(code string) {
	c.failed = c.inTxn
	fmt.Fprintf(&c.out, "ERROR %s %s\r\n", code, c.server.id)
	c.ready()
}

func (c *serverConn) complete(signature string) {
	fmt.Fprintf(&c.out, "COMPLETE %s\r\n", signature)
	c.ready()
}

func (c *serverConn) ready() {
	state := "I"
	switch {
	case c.failed:
		state = "E"
	case c.inTxn:
		state = "T"
	}
	fmt.Fprintf(&c.out, "READY %s %s\r\n", state, c.server.position())
}
