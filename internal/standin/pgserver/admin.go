package pgserver

import (
	"fmt"
	"strconv"
	"time"
)

// statusRow returns the row of group_status(). The lag is rounded up to milliseconds.
func (s *Server) statusRow() [][]byte {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	now := time.Now()
	s.applyDueRecords(now)
	var lag time.Duration
	if s.role != rolePrimary {
		lag = now.Sub(s.appliedThrough)
	}
	lagMillis := (lag + time.Millisecond - 1).Milliseconds()
	return [][]byte{
		formatUint(s.term),
		formatUint(s.fence),
		[]byte(s.reportedRole()),
		[]byte(formatLSN(s.position)),
		formatUint(uint64(lagMillis)),
		formatUint(uint64(s.spec.Slots)),
		formatUint(uint64(s.spec.MaxConnections)),
	}
}

// raiseFence implements group_fence. It raises the fence to the term, which makes a
// primary of a lower term read-only and aborts its writers, and returns the resulting
// fence. The fence never decreases.
func (s *Server) raiseFence(term uint64) uint64 {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.applyDueRecords(time.Now())
	if term > s.fence {
		s.fence = term
		s.abortWriters()
	}
	return s.fence
}

// promote implements group_promote: it makes the server the primary of the term, which
// must equal its fence. It returns the log position at which the term starts. Repeating
// the call in the same term changes nothing and returns the current position.
func (s *Server) promote(term uint64) (string, error) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if s.fence != term {
		return "", &sqlError{
			code:    codeInvalidState,
			message: fmt.Sprintf("the fence is %d, not %d", s.fence, term),
		}
	}
	if s.role == rolePrimary && s.term == term {
		return formatLSN(s.position), nil
	}
	s.term = term
	s.role = rolePrimary
	s.primary = nil
	s.group.promotionsByTerm[term]++
	s.appendRecord(0, nil, time.Now())
	return formatLSN(s.position), nil
}

// follow implements group_follow: it makes the server a replica of the term's primary at
// addr. It truncates the part of the log that the primary does not share and returns the
// number of bytes removed.
func (s *Server) follow(term uint64, addr string) (uint64, error) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if s.fence > term {
		return 0, &sqlError{
			code:    codeInvalidState,
			message: fmt.Sprintf("the fence is %d, above %d", s.fence, term),
		}
	}
	p := s.group.serverByAddr(addr)
	if p == nil || p == s {
		return 0, &sqlError{code: codeInvalidState, message: fmt.Sprintf("%q is not another server of the group", addr)}
	}
	if !p.running.Load() || s.group.net.Blocked(p.ip, s.ip) {
		return 0, &sqlError{code: codeCannotConnect, message: fmt.Sprintf("cannot connect to %q", addr)}
	}
	if p.role != rolePrimary || p.term != term {
		return 0, &sqlError{code: codeInvalidState, message: fmt.Sprintf("%q is not the primary of term %d", addr, term)}
	}
	s.abortWriters()
	bytesDropped := s.truncateLog(commonPrefixLen(&s.storage, &p.storage))
	s.droppedBytes += bytesDropped
	s.term = term
	s.fence = max(s.fence, term)
	s.role = roleReplica
	s.primary = p
	s.replicationScheduled.Store(true)
	s.signalReplication()
	return bytesDropped, nil
}

// xactStatus implements pg_xact_status. It returns nil (SQL NULL) when the outcome is no
// longer stored.
func (s *Server) xactStatus(xid uint64) ([]byte, error) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.applyDueRecords(time.Now())
	if xid >= s.nextXID {
		return nil, &sqlError{code: codeInvalidValue, message: fmt.Sprintf("transaction ID %d is in the future", xid)}
	}
	if _, ok := s.activeTxns[xid]; ok {
		return []byte("in progress"), nil
	}
	if _, ok := s.committedXIDs[xid]; ok {
		return []byte("committed"), nil
	}
	if xid < s.oldestKnownXID {
		return nil, nil
	}
	return []byte("aborted"), nil
}

// currentXID implements pg_current_xact_id: it returns the transaction's ID and assigns
// one if it has none.
func (s *Server) currentXID(t *transaction) ([]byte, error) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if t.abortedByRoleChange {
		return nil, errRoleChanged
	}
	if s.role != rolePrimary || s.fence > s.term {
		return nil, &sqlError{code: codeInvalidState, message: "cannot assign transaction IDs during recovery"}
	}
	s.assignXID(t)
	return formatUint(t.xid), nil
}

func formatUint(n uint64) []byte { return strconv.AppendUint(nil, n, 10) }
