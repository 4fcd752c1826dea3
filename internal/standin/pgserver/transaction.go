package pgserver

import "time"

// transaction is one open transaction of a connection. Its fields are guarded
// by Group.mu.
type transaction struct {
	xid      uint64 // 0 until the first write
	readOnly bool
	writes   map[string]*string
	order    []string // keys of writes in order
	locks    []string
	waitsFor *transaction
	done     chan struct{} // closed at the end, made when another waits
	ended    bool
	doomed   bool // ended by a change of the server's role
}

// get reads a row as the transaction sees it. Caller holds Group.mu.
func (s *Server) get(t *transaction, key string) (string, bool) {
	if w, ok := t.writes[key]; ok {
		if w == nil {
			return "", false
		}
		return *w, true
	}
	v, ok := s.data[key]
	return v, ok
}

// put records a write; nil deletes. Caller holds Group.mu.
func (s *Server) put(t *transaction, key string, value *string) {
	s.assignXID(t)
	if t.writes == nil {
		t.writes = map[string]*string{}
	}
	if _, again := t.writes[key]; !again {
		t.order = append(t.order, key)
	}
	t.writes[key] = value
}

func (s *Server) assignXID(t *transaction) {
	if t.xid != 0 {
		return
	}
	t.xid = s.nextXID
	s.nextXID++
	s.active[t.xid] = t
}

// writable returns nil when the server takes writes of the transaction.
func (s *Server) writable(t *transaction, command string) error {
	if t.readOnly || s.role != rolePrimary || s.fence > s.term {
		return &sqlError{code: codeReadOnly, message: "cannot execute " + command + " in a read-only transaction"}
	}
	return nil
}

// lockRow takes the row's lock for the transaction, waiting for its holder.
func (s *Server) lockRow(c *conn, t *transaction, key string) error {
	for {
		holder, err := s.tryLock(t, key)
		if err != nil {
			return err
		}
		if holder == nil {
			return nil
		}
		err = c.waitFor(holder)
		s.group.mu.Lock()
		t.waitsFor = nil
		s.group.mu.Unlock()
		if err != nil {
			return err
		}
	}
}

// tryLock takes a row's lock, or returns the channel of the holder's end.
func (s *Server) tryLock(t *transaction, key string) (<-chan struct{}, error) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if t.doomed {
		return nil, errRoleChanged
	}
	holder := s.locks[key]
	if holder == nil {
		s.locks[key] = t
		t.locks = append(t.locks, key)
		return nil, nil
	}
	if holder == t {
		return nil, nil
	}
	for h := holder; h != nil; h = h.waitsFor {
		if h == t {
			return nil, &sqlError{code: codeDeadlock, message: "deadlock detected"}
		}
	}
	t.waitsFor = holder
	if holder.done == nil {
		holder.done = make(chan struct{})
	}
	return holder.done, nil
}

// end releases everything that the transaction holds. Caller holds Group.mu.
func (s *Server) end(t *transaction) {
	if t.ended {
		return
	}
	t.ended = true
	for _, key := range t.locks {
		delete(s.locks, key)
	}
	delete(s.active, t.xid)
	if t.done != nil {
		close(t.done)
	}
}

// commit makes the transaction's writes durable on this server.
func (s *Server) commit(t *transaction) error {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if t.doomed {
		return errRoleChanged
	}
	defer s.end(t)
	if t.xid == 0 {
		return nil
	}
	if s.role != rolePrimary || s.fence > s.term {
		return &sqlError{code: codeReadOnly, message: "cannot commit: the server no longer accepts writes"}
	}
	changes := make([]change, 0, len(t.order))
	for _, key := range t.order {
		changes = append(changes, change{key: key, new: t.writes[key]})
	}
	r := s.appendRecord(t.xid, changes, time.Now())
	if s.group.recording.Load() {
		s.group.commits = append(s.group.commits, r)
	}
	s.wakeFollowers()
	s.stats.commits.Add(1)
	return nil
}

// rollback drops the transaction's writes.
func (s *Server) rollback(t *transaction) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.end(t)
}

// endWriters ends every open writing transaction, because the server ceases
// to be the primary of its term. Caller holds Group.mu.
func (s *Server) endWriters() {
	for _, t := range s.active {
		t.doomed = true
		s.end(t)
	}
}
