package pool

import (
	"container/list"
	"time"

	"egretroad/internal/backend"
)

// Conn is a pooled connection with the session state that the server holds for it:
// prepared statements and settings.
type Conn struct {
	*backend.Conn
	Statements *Statements
	settings   string
	lastAnswer time.Time // time of the last answer
	lastUse    time.Time // time when it was last taken from the pool
}

func newConn(c *backend.Conn, maxStatements int) *Conn {
	now := time.Now()
	return &Conn{Conn: c, Statements: NewStatements(maxStatements), lastAnswer: now, lastUse: now}
}

// Settings returns the key of the current session settings.
func (c *Conn) Settings() string { return c.settings }

// SetSettings records the key of the current session settings.
func (c *Conn) SetSettings(key string) { c.settings = key }

// Answered records that the server has just answered, which postpones the next probe.
func (c *Conn) Answered() { c.lastAnswer = time.Now() }

// Statements is an LRU list of the names of a connection's prepared statements. It does
// not evict by itself: Oldest returns the statements to close.
type Statements struct {
	limit   int
	recency *list.List // of string, most recently used first
	byName  map[string]*list.Element
}

// NewStatements returns an empty list for at most limit statements.
func NewStatements(limit int) *Statements {
	return &Statements{limit: limit, recency: list.New(), byName: make(map[string]*list.Element)}
}

// Use reports whether the connection has the statement, and makes it the most recently
// used one.
func (s *Statements) Use(name string) bool {
	e, ok := s.byName[name]
	if ok {
		s.recency.MoveToFront(e)
	}
	return ok
}

// Add records a statement that the server has parsed.
func (s *Statements) Add(name string) {
	if !s.Use(name) {
		s.byName[name] = s.recency.PushFront(name)
	}
}

// Remove deletes a statement from the list.
func (s *Statements) Remove(name string) {
	if e, ok := s.byName[name]; ok {
		s.recency.Remove(e)
		delete(s.byName, name)
	}
}

// Oldest returns the least recently used statements that must be closed to stay within
// the limit after adding the given number of statements.
func (s *Statements) Oldest(added int) []string {
	var names []string
	e := s.recency.Back()
	for excess := s.recency.Len() + added - s.limit; excess > 0 && e != nil; excess-- {
		names = append(names, e.Value.(string))
		e = e.Prev()
	}
	return names
}

// Len returns the number of statements.
func (s *Statements) Len() int { return s.recency.Len() }
