// Package simtime provides a queue of events ordered by simulated time, for
// deterministic tests and replays. It keeps no clock: callers pass the time.
package simtime

import (
	"container/heap"
	"time"
)

// Queue is a priority queue of items by due time. Items with the same due time are
// returned in the order in which they were added. The zero value is an empty queue.
type Queue[T any] struct {
	pending      entryHeap[T]
	lastSequence uint64
}

// entry is a queued item. sequence breaks ties between equal due times.
type entry[T any] struct {
	at       time.Duration
	sequence uint64
	item     T
}

// Add queues an item that is due at the given time.
func (q *Queue[T]) Add(at time.Duration, item T) {
	q.lastSequence++
	heap.Push(&q.pending, entry[T]{at: at, sequence: q.lastSequence, item: item})
}

// Next removes and returns the earliest item and its due time. It returns found =
// false if the queue is empty or the earliest item is due after until.
func (q *Queue[T]) Next(until time.Duration) (at time.Duration, item T, found bool) {
	if len(q.pending) == 0 || q.pending[0].at > until {
		return 0, item, false
	}
	next := heap.Pop(&q.pending).(entry[T])
	return next.at, next.item, true
}

// entryHeap implements heap.Interface.
type entryHeap[T any] []entry[T]

func (e entryHeap[T]) Len() int      { return len(e) }
func (e entryHeap[T]) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e entryHeap[T]) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}

func (e *entryHeap[T]) Push(x any) { *e = append(*e, x.(entry[T])) }

func (e *entryHeap[T]) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}
