package pgserver

import "time"

// transaction is one open transaction of a connection. Its writes are buffered until
// commit. Its fields are guarded by Group.mu.
type transaction struct {
	xid                 uint64 // transaction ID; 0 until the first write
	readOnly            bool
	writes              map[string]*string
	writeOrder          []string // keys of writes, in the order of first write
	lockedKeys          []string
	waitsFor            *transaction
	finishedCh          chan struct{} // closed when the transaction ends; nil until another waits
	finished            bool
	abortedByRoleChange bool // aborted because the server was fenced or demoted
}

// readRow reads a row as the transaction sees it. Caller holds Group.mu.
func (s *Server) readRow(t *transaction, key string) (string, bool) {
	if w, ok := t.writes[key]; ok {
		if w == nil {
			return "", false
		}
		return *w, true
	}
	v, ok := s.rows[key]
	return v, ok
}

// bufferWrite buffers a write until commit; a nil value deletes the row. Caller holds
// Group.mu.
func (s *Server) bufferWrite(t *transaction, key string, value *string) {
	s.assignXID(t)
	if t.writes == nil {
		t.writes = map[string]*string{}
	}
	if _, exists := t.writes[key]; !exists {
		t.writeOrder = append(t.writeOrder, key)
	}
	t.writes[key] = value
}

func (s *Server) assignXID(t *transaction) {
	if t.xid != 0 {
		return
	}
	t.xid = s.nextXID
	s.nextXID++
	s.activeTxns[t.xid] = t
}

// checkWritable returns an error when the transaction is read-only or when the server is
// a replica or fenced.
func (s *Server) checkWritable(t *transaction, command string) error {
	if t.readOnly || s.role != rolePrimary || s.fence > s.term {
		return &sqlError{code: codeReadOnly, message: "cannot execute " + command + " in a read-only transaction"}
	}
	return nil
}

// lockRow acquires the row's lock for the transaction and waits while another transaction
// holds it.
func (s *Server) lockRow(c *conn, t *transaction, key string) error {
	for {
		holder, err := s.tryLock(t, key)
		if err != nil {
			return err
		}
		if holder == nil {
			return nil
		}
		err = c.waitClosed(holder)
		s.group.mu.Lock()
		t.waitsFor = nil
		s.group.mu.Unlock()
		if err != nil {
			return err
		}
	}
}

// tryLock acquires a row's lock. If another transaction holds it, tryLock returns a
// channel that is closed when that transaction ends, or a deadlock error if waiting would
// close a cycle.
func (s *Server) tryLock(t *transaction, key string) (<-chan struct{}, error) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if t.abortedByRoleChange {
		return nil, errRoleChanged
	}
	holder := s.rowLocks[key]
	if holder == nil {
		s.rowLocks[key] = t
		t.lockedKeys = append(t.lockedKeys, key)
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
	if holder.finishedCh == nil {
		holder.finishedCh = make(chan struct{})
	}
	return holder.finishedCh, nil
}

// finishTransaction releases the transaction's row locks and wakes the transactions that
// wait for it. Caller holds Group.mu.
func (s *Server) finishTransaction(t *transaction) {
	if t.finished {
		return
	}
	t.finished = true
	for _, key := range t.lockedKeys {
		delete(s.rowLocks, key)
	}
	delete(s.activeTxns, t.xid)
	if t.finishedCh != nil {
		close(t.finishedCh)
	}
}

// commit appends the transaction's writes to this server's log and wakes the replicas. It
// does not wait for them: replication is asynchronous.
func (s *Server) commit(t *transaction) error {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if t.abortedByRoleChange {
		return errRoleChanged
	}
	defer s.finishTransaction(t)
	if t.xid == 0 {
		return nil
	}
	if s.role != rolePrimary || s.fence > s.term {
		return &sqlError{code: codeReadOnly, message: "cannot commit: the server no longer accepts writes"}
	}
	changes := make([]change, 0, len(t.writeOrder))
	for _, key := range t.writeOrder {
		changes = append(changes, change{key: key, newValue: t.writes[key]})
	}
	r := s.appendRecord(t.xid, changes, time.Now())
	if s.group.recording.Load() {
		s.group.recordedCommits = append(s.group.recordedCommits, r)
	}
	s.wakeReplicas()
	s.stats.commits.Add(1)
	return nil
}

// rollback ends the transaction and discards its buffered writes.
func (s *Server) rollback(t *transaction) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.finishTransaction(t)
}

// abortWriters aborts every open transaction with a transaction ID because the server
// stops being the primary of its term. Caller holds Group.mu.
func (s *Server) abortWriters() {
	for _, t := range s.activeTxns {
		t.abortedByRoleChange = true
		s.finishTransaction(t)
	}
}
