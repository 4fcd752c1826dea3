//go:build review

package standins2

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// group is a database: a primary and its replicas, which receive each commit after a delay.
type group struct {
	name      string
	replicate time.Duration // until a replica has received a commit
	service   time.Duration // time of a read, a write or a commit
	slots     int
	sync      int // replicas that have received a commit before it is acknowledged
	// keepsOld makes a replaced primary go on until STEPDOWN, or for stepsDownAfter.
	keepsOld bool
	rows     func(item string) []string // of a read
	onRun    func(server *server, id, text string)
	onCommit func(server *server, id string)

	mu       sync.Mutex // guards the fields below
	received *sync.Cond // signalled when a replica has received commits
	term     int
	primary  string
	next     string // named by a call that has not taken effect yet
	servers  map[string]*server
}

// server is a server of a group.
type server struct {
	id, zone string
	group    *group
	listener net.Listener
	slots    chan struct{}

	beatOffset time.Duration // of its heartbeats
	lastBeat   atomic.Int64  // in Unix nanoseconds

	// guarded by group.mu
	term  int
	log   []string // ids of the commits
	down  bool
	deaf  bool      // it receives nothing
	leads bool      // as it knows
	busy  time.Time // until then, after a part of its log was rolled back
	conns map[net.Conn]bool
}

func newGroup(name string) *group {
	g := &group{
		name: name, replicate: 20 * time.Millisecond, service: 5 * time.Millisecond, slots: 4, term: 1, servers: map[string]*server{},
		rows:  func(item string) []string { return []string{"row-of-" + item} },
		onRun: func(*server, string, string) {}, onCommit: func(*server, string) {},
	}
	g.received = sync.NewCond(&g.mu)
	return g
}

// add starts a server. The first one is the primary.
func (g *group) add(id, zone string) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s := &server{id: id, zone: zone, group: g, listener: listener, slots: make(chan struct{}, g.slots), term: g.term, conns: map[net.Conn]bool{}}
	if p := g.servers[g.primary]; p != nil {
		s.log = append(s.log, p.log...)
	} else {
		g.primary, s.leads = id, true
	}
	g.servers[id] = s
	go s.accept()
	return s, nil
}

// promoteAfter is how long after a call the server named leads, as in the deployments.
const promoteAfter = 300 * time.Millisecond

// callFailover makes a server the primary of the next term a little later, with what it has
// received by then, and reports whether it runs. onLead is called at that moment, with the
// group locked.
func (g *group) callFailover(id string, onLead func(*server)) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.servers[id]
	if s == nil || s.down {
		return false
	}
	if g.primary == id || g.next == id {
		return true // nothing changes, or it is on its way
	}
	g.next = id
	time.AfterFunc(promoteAfter, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.next != id || s.down {
			return
		}
		g.next = ""
		onLead(s)
		g.lead(s)
	})
	return true
}

// lead makes a server the primary of the next term. The caller holds mu.
func (g *group) lead(s *server) {
	g.term++
	g.primary = s.id
	s.term, s.leads = g.term, true
	for _, other := range g.servers {
		switch {
		case other == s:
		case g.keepsOld && other.leads && !other.down:
			time.AfterFunc(stepsDownAfter, func() {
				g.mu.Lock()
				defer g.mu.Unlock()
				other.follow()
			})
		default:
			other.follow()
		}
	}
}

// busyAfterRollback is how long a server is busy of which a part of the log was rolled back.
const busyAfterRollback = 200 * time.Millisecond

// stepsDownAfter is how long a replaced primary goes on that reaches the new one.
const stepsDownAfter = time.Second

// follow makes a server a replica of the present primary. The caller holds group.mu.
func (s *server) follow() {
	if p := s.group.servers[s.group.primary]; p != s && !s.down {
		if len(s.log) > len(p.log) {
			s.busy = time.Now().Add(busyAfterRollback)
		}
		s.leads, s.term, s.log = false, s.group.term, append([]string(nil), p.log...)
	}
}

// crash stops a server and closes its connections. It keeps its log.
func (s *server) crash() {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.down = true
	_ = s.listener.Close() // the server is gone
	for c := range s.conns {
		_ = c.Close() // likewise
	}
	s.group.received.Broadcast()
}

// comeBack starts a crashed server again at its address. What it has beyond the log of the
// primary of a later term is rolled back.
func (s *server) comeBack() error {
	listener, err := net.Listen("tcp", s.listener.Addr().String())
	if err != nil {
		return err
	}
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.listener, s.down = listener, false
	if p := s.group.servers[s.group.primary]; !p.down {
		s.follow()
	}
	go s.accept()
	return nil
}

// setDeaf makes a replica receive nothing, or go on receiving.
func (s *server) setDeaf(deaf bool) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.deaf = deaf
	if p := s.group.servers[s.group.primary]; !deaf && p != s && !p.down {
		s.log = append([]string(nil), p.log...)
		s.group.received.Broadcast()
	}
}

func (s *server) isBusy() bool {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return time.Now().Before(s.busy)
}

func (s *server) role() string {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if s.leads {
		return "primary"
	}
	return "replica"
}

func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.group.mu.Lock()
		s.conns[c] = true
		s.group.mu.Unlock()
		go func() {
			s.serve(c)
			_ = c.Close() // may be closed already
			s.group.mu.Lock()
			delete(s.conns, c)
			s.group.mu.Unlock()
		}()
	}
}

// serverConn is the state of one connection.
type serverConn struct {
	server   *server
	w        *bufio.Writer
	state    string
	writable bool
	writes   []string // ids
	prepared map[string]string
}

func readMessage(r *bufio.Reader) (string, error) {
	var b strings.Builder
	for {
		part, err := r.ReadString('\n')
		if err != nil {
			return "", err
		}
		b.WriteString(part)
		if line, ended := strings.CutSuffix(b.String(), "\r\n"); ended {
			return line, nil
		}
	}
}

func (s *server) serve(nc net.Conn) {
	r, w := bufio.NewReader(nc), bufio.NewWriterSize(nc, 64<<10)
	line, err := readMessage(r)
	if err != nil {
		return
	}
	fields := strings.Fields(line)
	if len(fields) < 3 || fields[0] != "CONNECT" || fields[1] != s.group.name || len(fields) > 3 && fields[3] != s.id {
		_, _ = fmt.Fprintf(nc, "ERROR WRONGNODE %s\r\n", s.id) // the connection ends
		return
	}
	c := &serverConn{server: s, w: w, state: "I", prepared: map[string]string{}}
	c.ready()
	if w.Flush() != nil {
		return
	}
	for {
		line, err := readMessage(r)
		if err != nil {
			return
		}
		word, rest, _ := strings.Cut(line, " ")
		if word != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		c.run(id, text)
		if w.Flush() != nil {
			return
		}
	}
}

func (c *serverConn) position() string {
	s := c.server
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return fmt.Sprintf("%d.%d", s.term, len(s.log))
}

func (c *serverConn) ready() { _, _ = fmt.Fprintf(c.w, "READY %s %s\r\n", c.state, c.position()) }

func (c *serverConn) complete(signature string) {
	_, _ = fmt.Fprintf(c.w, "COMPLETE %s\r\n", signature)
	c.ready()
}

func (c *serverConn) fail(code string) {
	if c.state == "T" {
		c.state = "E"
	}
	_, _ = fmt.Fprintf(c.w, "ERROR %s %s\r\n", code, c.server.id)
	c.ready()
}

// run runs one statement.
func (c *serverConn) run(id, text string) {
	s := c.server
	verb, rest, _ := strings.Cut(text, " ")
	if verb == "WAITLSN" {
		var position string
		position, text, _ = strings.Cut(rest, " ")
		if !s.has(position) {
			c.fail("LAGGING")
			return
		}
		verb, rest, _ = strings.Cut(text, " ")
	}
	if c.state == "E" && verb != "ROLLBACK" && verb != "COMMIT" {
		c.fail("MALFORMED")
		return
	}
	primary := s.role() == "primary"
	switch verb {
	case "BEGIN":
		if rest == "" && !primary {
			c.fail("READONLY")
			return
		}
		c.state, c.writable = "T", rest == ""
		c.complete("-")
	case "ROLLBACK":
		c.state, c.writes = "I", nil
		c.complete("-")
	case "SET", "PARSE", "DISCARD", "DEALLOC":
		c.keep(verb, rest)
		c.complete("-")
	case "STATUS", "STEPDOWN", "PAUSE", "RESUME":
		s.slots <- struct{}{}
		defer func() { <-s.slots }()
		if s.isBusy() {
			c.fail("BUSY")
			return
		}
		s.group.mu.Lock()
		if below, err := strconv.Atoi(rest); verb == "STEPDOWN" && err == nil && s.leads && s.term < below {
			s.leads = false
			s.follow()
		}
		term, n, conns := s.term, len(s.log), len(s.conns)
		s.group.mu.Unlock()
		_, _ = fmt.Fprintf(c.w, "ROW %s %d %d.%d 0 0 0 %d\r\n", s.role(), term, term, n, conns)
		c.complete("-")
	case "READ", "WRITE", "EXECUTE", "COMMIT":
		s.slots <- struct{}{}
		time.Sleep(s.group.service)
		<-s.slots
		if s.isBusy() {
			c.fail("BUSY")
			return
		}
		c.work(id, text, verb, rest, primary)
	default:
		c.fail("MALFORMED")
	}
}

// keep applies a statement that changes the state of the connection only.
func (c *serverConn) keep(verb, rest string) {
	name, shape, _ := strings.Cut(rest, " ")
	switch verb {
	case "PARSE":
		c.prepared[name] = shape
	case "DISCARD":
		clear(c.prepared)
	}
}

// work runs a read, a write or a commit.
func (c *serverConn) work(id, text, verb, rest string, primary bool) {
	s := c.server
	writes := verb == "WRITE"
	if verb == "EXECUTE" {
		name, args, _ := strings.Cut(rest, " ")
		shape, known := c.prepared[name]
		if !known {
			c.fail("NOPREP")
			return
		}
		rest, writes = args, strings.HasPrefix(shape, "WRITE")
	}
	if verb == "COMMIT" {
		c.commit(id, primary)
		return
	}
	if !primary && (writes || c.state == "T" && c.writable) {
		c.fail("READONLY")
		return
	}
	s.group.onRun(s, id, text)
	if !writes {
		item, _, _ := strings.Cut(rest, " ")
		for _, row := range s.group.rows(item) {
			_, _ = c.w.WriteString("ROW " + row + "\r\n") // Flush returns the error
		}
	} else if c.state == "T" {
		c.writes = append(c.writes, id)
	} else if !s.commit([]string{id}) {
		return // the server crashed
	}
	c.complete("sig." + id)
}

func (c *serverConn) commit(id string, primary bool) {
	failed, writes := c.state == "E", c.writes
	c.state, c.writes = "I", nil
	switch {
	case failed:
		c.fail("ABORTED")
	case len(writes) > 0 && !primary:
		c.fail("READONLY")
	default:
		s := c.server
		s.group.onRun(s, id, "COMMIT")
		if s.commit(writes) {
			c.complete("sig." + id)
		}
	}
}

// commit appends commits to the log of the primary and waits until enough replicas have
// received them. It returns false if the server crashes or loses the lead meanwhile.
func (s *server) commit(ids []string) bool {
	g := s.group
	g.mu.Lock()
	defer g.mu.Unlock()
	s.log = append(s.log, ids...)
	for _, id := range ids {
		g.onCommit(s, id)
	}
	n, term := len(s.log), g.term
	time.AfterFunc(g.replicate, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		for _, r := range g.servers {
			if g.term == term && g.primary == s.id && r != s && !r.down && !r.deaf && len(r.log) < n {
				r.log = append(r.log, s.log[len(r.log):n]...)
			}
		}
		g.received.Broadcast()
	})
	for !s.down && g.term == term {
		have := 0
		for _, r := range g.servers {
			if r != s && len(r.log) >= n {
				have++
			}
		}
		if have >= g.sync {
			return true
		}
		g.received.Wait()
	}
	return false
}

func (s *server) has(position string) bool {
	term, number, _ := strings.Cut(position, ".")
	t, errTerm := strconv.Atoi(term)
	n, errNumber := strconv.Atoi(number)
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return errTerm == nil && errNumber == nil && t <= s.term && n <= len(s.log)
}
