package pgserver

import (
	"fmt"
	"time"
)

type role string

const (
	rolePrimary role = "primary"
	roleReplica role = "replica"
	roleFenced  role = "fenced"
)

// Layout of the simulated log. Positions and header sizes are in bytes; trimLogs drops
// shared records in batches of at least trimEveryRecords.
const (
	firstPosition    = 0x1000000
	recordHeaderSize = 48
	changeHeaderSize = 16
	firstXID         = 1000
	trimEveryRecords = 20_000
)

// change is the change of one row; nil means that the row does not exist. The old value
// lets truncateLog undo it.
type change struct {
	key                string
	oldValue, newValue *string
}

// logRecord is one committed transaction in the log. Records are immutable; the servers
// that have applied one share it, so equal pointers mean equal log history.
type logRecord struct {
	term        uint64
	xid         uint64 // 0 for the record that a promotion writes
	endPosition uint64
	committedAt time.Time
	changes     []change
}

// storage is the replicated state of one server: rows, log, term, fence and role. It is
// guarded by Group.mu.
type storage struct {
	rows           map[string]string
	records        []*logRecord
	trimmedRecords int // number of records trimmed from the front of the log
	position       uint64
	term           uint64
	fence          uint64
	role           role
	primary        *Server
	nextXID        uint64
	oldestKnownXID uint64 // the outcome of transactions below it is no longer stored
	activeTxns     map[uint64]*transaction
	committedXIDs  map[uint64]struct{}
	rowLocks       map[string]*transaction
	appliedThrough time.Time // all of the primary's commits up to this time are applied
	droppedBytes   uint64    // bytes of divergent log truncated by group_follow
}

func newStorage() storage {
	return storage{
		rows:           map[string]string{},
		position:       firstPosition,
		term:           FirstTerm,
		fence:          FirstTerm,
		role:           roleReplica,
		nextXID:        firstXID,
		oldestKnownXID: firstXID,
		activeTxns:     map[uint64]*transaction{},
		committedXIDs:  map[uint64]struct{}{},
		rowLocks:       map[string]*transaction{},
		appliedThrough: time.Now(),
	}
}

// reportedRole returns the role that group_status reports: fenced while the fence is
// above the server's term.
func (st *storage) reportedRole() role {
	if st.fence > st.term {
		return roleFenced
	}
	return st.role
}

func (st *storage) recordCount() int { return st.trimmedRecords + len(st.records) }

// recordAt returns the record with the given index, counted from the start of the
// untrimmed log. It returns nil if that is trimmed or not yet written.
func (st *storage) recordAt(index int) *logRecord {
	i := index - st.trimmedRecords
	if i < 0 || i >= len(st.records) {
		return nil
	}
	return st.records[i]
}

// appendRecord creates a record with the given changes, fills in their old values, and
// appends and applies it.
func (st *storage) appendRecord(xid uint64, changes []change, now time.Time) *logRecord {
	size := uint64(recordHeaderSize)
	for i := range changes {
		c := &changes[i]
		if v, ok := st.rows[c.key]; ok {
			c.oldValue = &v
		}
		size += changeHeaderSize + uint64(len(c.key))
		if c.newValue != nil {
			size += uint64(len(*c.newValue))
		}
	}
	r := &logRecord{term: st.term, xid: xid, endPosition: st.position + size, committedAt: now, changes: changes}
	st.applyRecord(r)
	return r
}

// applyRecord appends an existing record to this server's log and applies its changes.
func (st *storage) applyRecord(r *logRecord) {
	st.records = append(st.records, r)
	st.position = r.endPosition
	for _, c := range r.changes {
		st.setRow(c.key, c.newValue)
	}
	if r.xid == 0 {
		return
	}
	st.committedXIDs[r.xid] = struct{}{}
	if r.xid >= st.nextXID {
		st.nextXID = r.xid + 1
	}
}

// truncateLog removes the records from the given index on and undoes their changes, last
// first. It returns the number of bytes of log removed.
func (st *storage) truncateLog(index int) uint64 {
	before := st.position
	for st.recordCount() > index {
		last := len(st.records) - 1
		r := st.records[last]
		st.records = st.records[:last]
		for i := len(r.changes) - 1; i >= 0; i-- {
			st.setRow(r.changes[i].key, r.changes[i].oldValue)
		}
		delete(st.committedXIDs, r.xid)
		st.position = firstPosition
		if last > 0 {
			st.position = st.records[last-1].endPosition
		}
	}
	return before - st.position
}

// commonPrefixLen returns the length, in records, of the log prefix that two servers
// share. Trimmed records count as shared.
func commonPrefixLen(a, b *storage) int {
	n := min(a.recordCount(), b.recordCount())
	for n > 0 {
		x, y := a.recordAt(n-1), b.recordAt(n-1)
		if x == nil || y == nil || x == y {
			return n
		}
		n--
	}
	return 0
}

// trimLog drops the records before the given index. Every server of the group must have
// them. The outcomes of their transactions are forgotten.
func (st *storage) trimLog(index int) {
	n := index - st.trimmedRecords
	if n <= 0 {
		return
	}
	for _, r := range st.records[:n] {
		delete(st.committedXIDs, r.xid)
		st.oldestKnownXID = max(st.oldestKnownXID, r.xid+1)
	}
	st.records = append([]*logRecord(nil), st.records[n:]...)
	st.trimmedRecords = index
}

func (st *storage) setRow(key string, value *string) {
	if value == nil {
		delete(st.rows, key)
		return
	}
	st.rows[key] = *value
}

// formatLSN formats a log position as PostgreSQL's pg_lsn, for example 0/1000000.
func formatLSN(position uint64) string {
	return fmt.Sprintf("%X/%X", position>>32, uint32(position))
}
