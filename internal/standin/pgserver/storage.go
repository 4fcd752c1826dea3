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

// Sizes of the log, in bytes.
const (
	firstPosition    = 0x1000000
	recordHeader     = 48
	changeHeader     = 16
	firstXID         = 1000
	trimEveryRecords = 20_000
)

// change is one row's new value; nil means that the row does not exist.
type change struct {
	key      string
	old, new *string
}

// record is one committed transaction in the log. Records are immutable and
// shared between the servers that have applied them.
type record struct {
	term    uint64
	xid     uint64 // 0 for the record of a promotion
	end     uint64
	at      time.Time
	changes []change
}

// storage is the state of one server, guarded by Group.mu.
type storage struct {
	data      map[string]string
	log       []*record
	trimmed   int // records dropped from the front of log
	position  uint64
	term      uint64
	fence     uint64
	role      role
	primary   *Server
	nextXID   uint64
	xidFloor  uint64 // transactions below are no longer known
	active    map[uint64]*transaction
	committed map[uint64]struct{}
	locks     map[string]*transaction
	caughtUp  time.Time // all commits up to here are applied
	dropped   uint64    // bytes of divergent log dropped by group_follow
}

func newStorage() storage {
	return storage{
		data:      map[string]string{},
		position:  firstPosition,
		term:      FirstTerm,
		fence:     FirstTerm,
		role:      roleReplica,
		nextXID:   firstXID,
		xidFloor:  firstXID,
		active:    map[uint64]*transaction{},
		committed: map[uint64]struct{}{},
		locks:     map[string]*transaction{},
		caughtUp:  time.Now(),
	}
}

// currentRole returns the role as group_status shows it.
func (st *storage) currentRole() role {
	if st.fence > st.term {
		return roleFenced
	}
	return st.role
}

func (st *storage) records() int { return st.trimmed + len(st.log) }

// recordAt returns the record of the given index in the whole log, or nil.
func (st *storage) recordAt(index int) *record {
	i := index - st.trimmed
	if i < 0 || i >= len(st.log) {
		return nil
	}
	return st.log[i]
}

// appendRecord adds a new record at the end of the log and applies it.
func (st *storage) appendRecord(xid uint64, changes []change, now time.Time) *record {
	size := uint64(recordHeader)
	for i := range changes {
		c := &changes[i]
		if v, ok := st.data[c.key]; ok {
			c.old = &v
		}
		size += changeHeader + uint64(len(c.key))
		if c.new != nil {
			size += uint64(len(*c.new))
		}
	}
	r := &record{term: st.term, xid: xid, end: st.position + size, at: now, changes: changes}
	st.apply(r)
	return r
}

// apply makes a record part of this server's log and data.
func (st *storage) apply(r *record) {
	st.log = append(st.log, r)
	st.position = r.end
	for _, c := range r.changes {
		st.set(c.key, c.new)
	}
	if r.xid == 0 {
		return
	}
	st.committed[r.xid] = struct{}{}
	if r.xid >= st.nextXID {
		st.nextXID = r.xid + 1
	}
}

// dropTail removes the records from the given index on and undoes their
// changes. It returns the bytes of log removed.
func (st *storage) dropTail(index int) uint64 {
	before := st.position
	for st.records() > index {
		last := len(st.log) - 1
		r := st.log[last]
		st.log = st.log[:last]
		for i := len(r.changes) - 1; i >= 0; i-- {
			st.set(r.changes[i].key, r.changes[i].old)
		}
		delete(st.committed, r.xid)
		st.position = firstPosition
		if last > 0 {
			st.position = st.log[last-1].end
		}
	}
	return before - st.position
}

// commonRecords returns the number of leading records that two servers share.
func commonRecords(a, b *storage) int {
	n := min(a.records(), b.records())
	for n > 0 {
		x, y := a.recordAt(n-1), b.recordAt(n-1)
		if x == nil || y == nil || x == y {
			return n
		}
		n--
	}
	return 0
}

// trim drops the records before the given index, which every server of the
// group shares.
func (st *storage) trim(index int) {
	n := index - st.trimmed
	if n <= 0 {
		return
	}
	for _, r := range st.log[:n] {
		delete(st.committed, r.xid)
		st.xidFloor = max(st.xidFloor, r.xid+1)
	}
	st.log = append([]*record(nil), st.log[n:]...)
	st.trimmed = index
}

func (st *storage) set(key string, value *string) {
	if value == nil {
		delete(st.data, key)
		return
	}
	st.data[key] = *value
}

// lsn formats a log position as PostgreSQL does.
func lsn(position uint64) string {
	return fmt.Sprintf("%X/%X", position>>32, uint32(position))
}
