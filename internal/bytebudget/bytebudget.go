// Package bytebudget bounds the memory that the messages of all callers take together.
package bytebudget

import "sync/atomic"

// Budget is a number of bytes that its users share. It is safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// TryReserve reserves n bytes. It returns false, and reserves nothing, if that would
// exceed the budget.
func (b *Budget) TryReserve(n int64) bool {
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

// Release returns n reserved bytes.
func (b *Budget) Release(n int64) { b.used.Add(-n) }

// Used returns the number of reserved bytes.
func (b *Budget) Used() int64 { return b.used.Load() }
