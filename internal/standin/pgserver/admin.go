package pgserver

import (
	"fmt"
	"strconv"
	"time"
)

// status answers group_status().
func (s *Server) status() [][]byte {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	now := time.Now()
	s.advance(now)
	var lag time.Duration
	if s.role != rolePrimary {
		lag = now.Sub(s.caughtUp)
	}
	lagMillis := (lag + time.Millisecond - 1).Milliseconds()
	return [][]byte{
		decimal(s.term),
		decimal(s.fence),
		[]byte(s.currentRole()),
		[]byte(lsn(s.position)),
		decimal(uint64(lagMillis)),
		decimal(uint64(s.spec.Slots)),
		decimal(uint64(s.spec.MaxConnections)),
	}
}

// raiseFence answers group_fence: the fence in force after it.
func (s *Server) raiseFence(term uint64) uint64 {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.advance(time.Now())
	if term > s.fence {
		s.fence = term
		s.endWriters()
	}
	return s.fence
}

// promote answers group_promote: the position at which the term begins.
func (s *Server) promote(term uint64) (string, error) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if s.fence != term {
		return "", &sqlError{
			code:    codeObjectState,
			message: fmt.Sprintf("the fence is %d, not %d", s.fence, term),
		}
	}
	if s.role == rolePrimary && s.term == term {
		return lsn(s.position), nil
	}
	s.term = term
	s.role = rolePrimary
	s.primary = nil
	s.group.promoted[term]++
	s.appendRecord(0, nil, time.Now())
	return lsn(s.position), nil
}

// follow answers group_follow: the bytes of divergent log dropped.
func (s *Server) follow(term uint64, addr string) (uint64, error) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if s.fence > term {
		return 0, &sqlError{
			code:    codeObjectState,
			message: fmt.Sprintf("the fence is %d, above %d", s.fence, term),
		}
	}
	p := s.group.serverAt(addr)
	if p == nil || p == s {
		return 0, &sqlError{code: codeObjectState, message: fmt.Sprintf("%q is not another server of the group", addr)}
	}
	if !p.running.Load() || s.group.net.Blocked(p.ip, s.ip) {
		return 0, &sqlError{code: codeCannotConnect, message: fmt.Sprintf("cannot connect to %q", addr)}
	}
	if p.role != rolePrimary || p.term != term {
		return 0, &sqlError{code: codeObjectState, message: fmt.Sprintf("%q is not the primary of term %d", addr, term)}
	}
	s.endWriters()
	bytes := s.dropTail(commonRecords(&s.storage, &p.storage))
	s.dropped += bytes
	s.term = term
	s.fence = max(s.fence, term)
	s.role = roleReplica
	s.primary = p
	s.shipping.Store(true)
	s.notifyReplication()
	return bytes, nil
}

// xactStatus answers pg_xact_status; nil means that the server no longer knows.
func (s *Server) xactStatus(xid uint64) ([]byte, error) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.advance(time.Now())
	if xid >= s.nextXID {
		return nil, &sqlError{code: codeInvalidValue, message: fmt.Sprintf("transaction ID %d is in the future", xid)}
	}
	if _, ok := s.active[xid]; ok {
		return []byte("in progress"), nil
	}
	if _, ok := s.committed[xid]; ok {
		return []byte("committed"), nil
	}
	if xid < s.xidFloor {
		return nil, nil
	}
	return []byte("aborted"), nil
}

// xactID answers pg_current_xact_id.
func (s *Server) xactID(t *transaction) ([]byte, error) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if t.doomed {
		return nil, errRoleChanged
	}
	if s.role != rolePrimary || s.fence > s.term {
		return nil, &sqlError{code: codeObjectState, message: "cannot assign transaction IDs during recovery"}
	}
	s.assignXID(t)
	return decimal(t.xid), nil
}

func decimal(n uint64) []byte { return strconv.AppendUint(nil, n, 10) }
