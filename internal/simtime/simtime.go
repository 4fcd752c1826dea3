// Package simtime orders what is due in simulated time, for tests and replays.
package simtime

import (
	"container/heap"
	"time"
)

// Queue holds what is due at a time. Of what is due at the same time, that comes
// first which was added first. The zero value is an empty queue.
type Queue[T any] struct {
	due   entries[T]
	added uint64
}

// entry is one thing that is due.
type entry[T any] struct {
	at    time.Duration
	order uint64
	what  T
}

// Add lets something be due at a time.
func (q *Queue[T]) Add(at time.Duration, what T) {
	q.added++
	heap.Push(&q.due, entry[T]{at: at, order: q.added, what: what})
}

// Next takes out what is due first, unless that is after until.
func (q *Queue[T]) Next(until time.Duration) (at time.Duration, what T, found bool) {
	if len(q.due) == 0 || q.due[0].at > until {
		return 0, what, false
	}
	next := heap.Pop(&q.due).(entry[T])
	return next.at, next.what, true
}

// entries implements heap.Interface.
type entries[T any] []entry[T]

func (e entries[T]) Len() int      { return len(e) }
func (e entries[T]) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e entries[T]) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].order < e[j].order
}

func (e *entries[T]) Push(x any) { *e = append(*e, x.(entry[T])) }

func (e *entries[T]) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}
