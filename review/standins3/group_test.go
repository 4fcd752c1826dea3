//go:build review

package standins3

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"egretroad/internal/standin/metastore"
)

// Times of the servers and of the platform, as the pages give them for a small deployment.
const (
	heartbeat       = 1200 * time.Millisecond
	entryLifetime   = 3 * heartbeat          // "after three heartbeat intervals of silence"
	promotionDelay  = 300 * time.Millisecond // "300 ms a promote"
	nearLink        = time.Millisecond       // one way, within a region
	farLink         = 20 * time.Millisecond  // one way, between regions
	workTime        = 4 * time.Millisecond   // of one statement
	deadConnTimeout = 3 * time.Second        // a connection with an unreachable end is dropped
)

const serviceName = "orders"

// entry is one commit in a log.
type entry struct {
	term uint64
	id   string
}

// server is one database server. Its fields are guarded by the mutex of its group.
type server struct {
	id, zone, region string
	group            *group
	listener         net.Listener
	born             int64
	seq              uint64
	log              []entry
	term             uint64
	primary          bool
	down             bool
	deaf             bool // receives nothing from the primary
	conns            map[net.Conn]bool
	lastBeat         time.Time // last heartbeat that reached the store
	received         *sync.Cond
}

// group is a database group of one primary and two replicas that commits with one synchronous
// replica: a commit is acknowledged once one replica has received it.
type group struct {
	store  *metastore.Store
	record *record

	mu      sync.Mutex
	servers []*server
	term    uint64
	cut     bool    // region r1 is cut off from region r2 and from the platform
	zoneCut string  // zone that is cut off from the platform only
	sync    int     // replicas that must have received a commit
	leader  *server // promoted last
	// keepsOld makes a replaced primary go on until it is told to step down, or for a second after
	// it can reach the new one.
	keepsOld bool
	late     map[string]bool // commits at a replaced primary after the promotion
	stale    int             // of these, acknowledged to a client
	acked    map[string]bool
	lost     []string // acknowledged commits that a promoted server lacks
	wins     []string // servers promoted
}

const (
	regionOld = "r1" // the region that is cut off
	regionNew = "r2" // the region of the platform
)

func newGroup(store *metastore.Store, rec *record) (*group, error) {
	g := &group{store: store, record: rec, term: 1, sync: 1, acked: map[string]bool{}, late: map[string]bool{}}
	for i, place := range []struct{ id, zone, region string }{{"s-a", "a", regionOld}, {"s-b", "b", regionOld}, {"s-c", "c", regionNew}} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		s := &server{
			id: place.id, zone: place.zone, region: place.region, group: g, listener: listener, born: time.Now().UnixMilli(), term: 1,
			primary: i == 0, conns: map[net.Conn]bool{}, received: sync.NewCond(&g.mu),
		}
		g.servers = append(g.servers, s)
		go s.accept()
	}
	store.Promote = g.promote
	go g.beat()
	return g, nil
}

func (g *group) server(id string) *server {
	for _, s := range g.servers {
		if s.id == id {
			return s
		}
	}
	return nil
}

// fromPlatform reports whether a zone is cut off from the platform. The mutex is held.
func (g *group) fromPlatform(zone, region string) bool {
	return g.separated(region, regionNew) || g.zoneCut == zone
}

// separated reports whether two regions are cut off from each other. The mutex is held.
func (g *group) separated(a, b string) bool { return g.cut && a != b }

// beat writes the servers' entries and removes those of silent servers.
func (g *group) beat() {
	for {
		g.mu.Lock()
		for _, s := range g.servers {
			switch {
			case !s.down && !g.fromPlatform(s.zone, s.region):
				if time.Since(s.lastBeat) >= heartbeat {
					s.register()
				}
			case !s.lastBeat.IsZero() && time.Since(s.lastBeat) >= entryLifetime:
				s.lastBeat = time.Time{}
				g.store.Delete("servers", s.id)
				g.record.event("entry of %s expired", s.id)
			}
		}
		g.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
	}
}

// register writes the server's entry. The mutex is held.
func (s *server) register() {
	role := "replica"
	if s.primary {
		role = "primary"
	}
	if s.group.fromPlatform(s.zone, s.region) {
		return // it does not reach the store
	}
	s.seq++
	s.lastBeat = time.Now()
	s.group.store.Put("servers", s.id, map[string]any{
		"service": serviceName, "address": s.listener.Addr().String(), "zone": s.zone, "version": "v1", "slots": 4,
		"state": "ready", "cold-left-ms": 0, "db-role": role, "seq": s.seq, "born": s.born,
	})
}

// promote is the platform's promotion call. It takes effect some hundred milliseconds later.
func (g *group) promote(_, id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.server(id)
	if s == nil || s.down || g.fromPlatform(s.zone, s.region) {
		return false
	}
	g.record.event("promotion of %s called", id)
	time.AfterFunc(promotionDelay, func() { g.lead(s) })
	return true
}

// lead makes a server the primary of the next term with what it has received.
func (g *group) lead(s *server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.primary || s.down {
		return
	}
	g.term++
	s.term, s.primary, g.leader = g.term, true, s
	g.wins = append(g.wins, s.id)
	has := map[string]bool{}
	for _, e := range s.log {
		has[e.id] = true
	}
	for id := range g.acked {
		if g.sync > 0 && !has[id] {
			g.lost = append(g.lost, id)
		}
	}
	slices.Sort(g.lost)
	if g.sync == 0 {
		g.record.event("%s leads term %d with %d commits", s.id, g.term, len(s.log))
	} else {
		g.record.event("%s leads term %d with %d commits; acknowledged before: %d, of which it lacks %d", s.id, g.term, len(s.log), len(g.acked), len(g.lost))
	}
	for _, other := range g.servers {
		if other == s {
			continue
		}
		if other.primary && g.keepsOld {
			go g.stepDownOnceReachable(s, other)
			continue
		}
		other.primary = false // "The old primary loses leadership at that moment."
		go g.follow(s, other)
	}
	s.register()
}

// stepDownOnceReachable makes a replaced primary a replica a second after it can reach the new one.
func (g *group) stepDownOnceReachable(leader, old *server) {
	var reached time.Time
	for ; ; time.Sleep(20 * time.Millisecond) {
		g.mu.Lock()
		switch {
		case !old.primary:
			g.mu.Unlock()
			return
		case g.separated(leader.region, old.region):
			reached = time.Time{}
		case reached.IsZero():
			reached = time.Now()
		case time.Since(reached) >= time.Second:
			old.primary = false
			old.register()
			g.mu.Unlock()
			go g.follow(leader, old)
			return
		}
		g.mu.Unlock()
	}
}

// follow makes a replica take over the log of the primary, once it can reach it.
func (g *group) follow(primary, replica *server) {
	for {
		g.mu.Lock()
		if !primary.primary || replica.primary {
			g.mu.Unlock()
			return
		}
		if !primary.down && !replica.down && !replica.deaf && !g.separated(primary.region, replica.region) {
			replica.log, replica.term = slices.Clone(primary.log), primary.term
			replica.received.Broadcast()
			g.mu.Unlock()
			return
		}
		g.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
}

// link returns the one-way delay between two servers.
func link(a, b *server) time.Duration {
	if a.region == b.region {
		return nearLink
	}
	return farLink
}

// commit appends a write to the primary's log and waits until a replica has received it. It
// returns false if none does.
func (g *group) commit(s *server, id string) bool {
	g.mu.Lock()
	if !s.primary || s.down {
		g.mu.Unlock()
		return false
	}
	s.log = append(s.log, entry{term: s.term, id: id})
	if g.leader != nil && g.leader != s {
		g.late[id] = true
	}
	number, term := len(s.log), s.term
	copied := make(chan bool, len(g.servers))
	for _, r := range g.servers {
		if r != s {
			go func() { copied <- g.replicate(s, r, number, term) }()
		}
	}
	need := g.sync
	g.mu.Unlock()
	if need == 0 {
		return true
	}
	for range len(g.servers) - 1 {
		if <-copied {
			return true
		}
	}
	return false
}

// replicate sends one commit to a replica, which receives commits in their order. What is on its
// way when the primary crashes still arrives; a cut of the link loses it.
func (g *group) replicate(s, r *server, number int, term uint64) bool {
	time.Sleep(link(s, r))
	deadline := time.Now().Add(deadConnTimeout)
	for time.Now().Before(deadline) {
		g.mu.Lock()
		if r.down || r.deaf || r.primary || r.term > term || g.separated(s.region, r.region) {
			g.mu.Unlock()
			return false
		}
		if len(r.log) >= number {
			g.mu.Unlock()
			return true
		}
		if len(r.log) == number-1 {
			r.log, r.term = append(r.log, s.log[number-1]), term
			g.mu.Unlock()
			return true
		}
		g.mu.Unlock()
		time.Sleep(time.Millisecond) // an earlier commit is on its way
	}
	return false
}

// deafen makes a replica receive nothing for a while. Afterwards it catches up with the primary.
func (g *group) deafen(id string, period time.Duration) {
	g.mu.Lock()
	s := g.server(id)
	s.deaf = true
	g.record.event("%s receives nothing from now on, with %d commits", id, len(s.log))
	g.mu.Unlock()
	time.AfterFunc(period, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		s.deaf = false
		g.record.event("%s receives again", id)
		for _, other := range g.servers {
			if other != s && other.primary && !s.primary {
				go g.follow(other, s)
			}
		}
	})
}

// crash stops a server. Its connections end.
func (g *group) crash(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.server(id)
	s.down = true
	for c := range s.conns {
		_ = c.Close()
	}
	g.record.event("%s crashes with %d commits", id, len(s.log))
}

// restart starts a crashed server under its ID. Without its log it holds nothing of before.
func (g *group) restart(id string, withLog bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.server(id)
	s.down, s.born, s.seq = false, time.Now().UnixMilli(), 0
	if !withLog {
		s.log, s.term = nil, 0
	}
	var leader *server
	for _, other := range g.servers {
		if other != s && other.primary && (!s.primary || other.term > s.term) {
			leader = other
		}
	}
	if leader != nil {
		s.primary = false
		go g.follow(leader, s)
	}
	if s.primary {
		for _, other := range g.servers {
			if other != s && !other.primary {
				go g.follow(s, other)
			}
		}
	}
	s.register()
	g.record.event("%s is back with %d commits", id, len(s.log))
}

func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.group.mu.Lock()
		if s.down {
			s.group.mu.Unlock()
			_ = c.Close()
			continue
		}
		s.conns[c] = true
		s.group.mu.Unlock()
		go s.serve(c)
	}
}

// unreachable reports whether the cut separates the server from the VM at the other end.
func (s *server) unreachable(c net.Conn) bool {
	ip, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.group.separated(s.region, regionOfIP(ip))
}

func (s *server) serve(c net.Conn) {
	defer func() {
		s.group.mu.Lock()
		delete(s.conns, c)
		s.group.mu.Unlock()
		_ = c.Close()
	}()
	r := bufio.NewReader(c)
	started, inTxn, writable := false, false, false
	var writes []string
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		if s.unreachable(c) {
			time.Sleep(deadConnTimeout)
			return
		}
		line = strings.TrimSuffix(line, "\r\n")
		var out strings.Builder
		ready := func() {
			state := "I"
			if inTxn {
				state = "T"
			}
			s.group.mu.Lock()
			fmt.Fprintf(&out, "READY %s %s\r\n", state, s.position())
			s.group.mu.Unlock()
		}
		fail := func(code string) { fmt.Fprintf(&out, "ERROR %s %s\r\n", code, s.id); ready() }
		complete := func(signature string) { fmt.Fprintf(&out, "COMPLETE %s\r\n", signature); ready() }
		if !started {
			f := strings.Fields(line)
			if len(f) < 3 || f[0] != "CONNECT" || f[1] != serviceName || len(f) > 3 && f[3] != s.id {
				fmt.Fprintf(c, "ERROR WRONGNODE %s\r\n", s.id)
				return
			}
			started = true
			ready()
			if _, err := c.Write([]byte(out.String())); err != nil {
				return
			}
			continue
		}
		rest, isQuery := strings.CutPrefix(line, "QUERY ")
		id, text, _ := strings.Cut(rest, " ")
		if !isQuery {
			return
		}
		verb, args, _ := strings.Cut(text, " ")
		if verb == "WAITLSN" {
			position, after, _ := strings.Cut(args, " ")
			verb, args, _ = strings.Cut(after, " ")
			if !s.hasPosition(position) {
				fail("LAGGING")
				verb = ""
			}
		}
		s.group.mu.Lock()
		primary := s.primary
		s.group.mu.Unlock()
		switch verb {
		case "":
		case "BEGIN":
			if args == "" && !primary {
				fail("READONLY")
				break
			}
			inTxn, writable, writes = true, args == "", nil
			complete("-")
		case "ROLLBACK":
			inTxn, writes = false, nil
			complete("-")
		case "COMMIT":
			inTxn = false
			ok := true
			for _, w := range writes {
				ok = ok && s.group.commit(s, w)
			}
			writes = nil
			if !ok {
				time.Sleep(deadConnTimeout)
				return
			}
			complete("sig." + id)
		case "SET", "PARSE", "DISCARD":
			complete("-")
		case "READ":
			if inTxn && writable && !primary {
				fail("READONLY")
				break
			}
			time.Sleep(workTime)
			fmt.Fprintf(&out, "ROW %s\r\n", s.lastID())
			complete("sig." + id)
		case "WRITE":
			time.Sleep(workTime)
			switch {
			case !primary:
				fail("READONLY")
			case inTxn:
				writes = append(writes, id)
				complete("sig." + id)
			case s.group.commit(s, id):
				s.group.record.ran(s.id, id)
				complete("sig." + id)
			default:
				time.Sleep(deadConnTimeout) // no replica has received it: no response
				return
			}
		case "STATUS", "STEPDOWN":
			if verb == "STEPDOWN" {
				s.stepDown(args)
			}
			s.group.mu.Lock()
			role := "replica"
			if s.primary {
				role = "primary"
			}
			fmt.Fprintf(&out, "ROW %s %d %s 0 0 0 %d\r\n", role, s.term, s.position(), len(s.conns))
			s.group.mu.Unlock()
			complete("-")
		default:
			fail("MALFORMED")
		}
		if s.unreachable(c) {
			time.Sleep(deadConnTimeout)
			return
		}
		if _, err := c.Write([]byte(out.String())); err != nil {
			return
		}
	}
}

func (s *server) stepDown(args string) {
	term, _ := strconv.ParseUint(args, 10, 64)
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if s.primary && s.term < term {
		s.primary = false
		s.register()
	}
}

// position returns TERM.NUMBER, or "-" for an empty log. The mutex is held.
func (s *server) position() string {
	if len(s.log) == 0 {
		return "-"
	}
	return fmt.Sprintf("%d.%d", s.term, len(s.log))
}

func (s *server) hasPosition(position string) bool {
	term, number, _ := strings.Cut(position, ".")
	t, _ := strconv.ParseUint(term, 10, 64)
	n, _ := strconv.ParseUint(number, 10, 64)
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.term > t || s.term == t && uint64(len(s.log)) >= n
}

func (s *server) lastID() string {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if len(s.log) == 0 {
		return "-"
	}
	return s.log[len(s.log)-1].id
}
