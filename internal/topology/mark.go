package topology

// Mark is a session consistency token: the log position of a database (primary term and
// LSN) that reads of the session must see. The zero Mark requires nothing.
type Mark struct {
	Database string `json:"database" msgpack:"d"`
	Term     uint64 `json:"term" msgpack:"t"`
	Position uint64 `json:"position" msgpack:"p"` // bytes of log, as a PostgreSQL LSN
}

// IsZero reports whether the mark requires nothing.
func (m Mark) IsZero() bool { return m.Term == 0 && m.Position == 0 }

// Less orders marks of one database by term, then by position.
func (m Mark) Less(o Mark) bool {
	if m.Term != o.Term {
		return m.Term < o.Term
	}
	return m.Position < o.Position
}

// Max returns the later of two marks of one database.
func Max(a, b Mark) Mark {
	if a.Less(b) {
		return b
	}
	return a
}
