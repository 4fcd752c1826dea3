package pool

import (
	"container/list"
	"time"

	"egretroad/internal/backend"
)

// Conn is a pooled connection with what the server remembers for it.
type Conn struct {
	*backend.Conn
	Statements *Statements
	settings   string
	answered   time.Time // answered for the last time
	lastWork   time.Time // given to work for the last time
}

func newConn(c *backend.Conn, maxStatements int) *Conn {
	now := time.Now()
	return &Conn{Conn: c, Statements: NewStatements(maxStatements), answered: now, lastWork: now}
}

// Settings returns the key of the session settings in force.
func (c *Conn) Settings() string { return c.settings }

// SetSettings notes the key of the session settings in force.
func (c *Conn) SetSettings(key string) { c.settings = key }

// Answered notes that the server has answered.
func (c *Conn) Answered() { c.answered = time.Now() }

// Statements holds the names of the prepared statements of one connection, the
// least recently used first to go.
type Statements struct {
	limit int
	order *list.List // of string, most recently used first
	names map[string]*list.Element
}

// NewStatements returns an empty list that is kept to a limit.
func NewStatements(limit int) *Statements {
	return &Statements{limit: limit, order: list.New(), names: make(map[string]*list.Element)}
}

// Use reports whether the connection has the statement, and marks it as used.
func (s *Statements) Use(name string) bool {
	e, known := s.names[name]
	if known {
		s.order.MoveToFront(e)
	}
	return known
}

// Add notes a statement that the server has parsed.
func (s *Statements) Add(name string) {
	if !s.Use(name) {
		s.names[name] = s.order.PushFront(name)
	}
}

// Remove forgets a statement.
func (s *Statements) Remove(name string) {
	if e, known := s.names[name]; known {
		s.order.Remove(e)
		delete(s.names, name)
	}
}

// Oldest returns the least recently used statements that are too many once
// added further ones have come.
func (s *Statements) Oldest(added int) []string {
	var names []string
	e := s.order.Back()
	for excess := s.order.Len() + added - s.limit; excess > 0 && e != nil; excess-- {
		names = append(names, e.Value.(string))
		e = e.Prev()
	}
	return names
}

// Len returns the number of statements.
func (s *Statements) Len() int { return s.order.Len() }
