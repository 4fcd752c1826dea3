package admission

import "container/heap"

// heapNode is an element that stores its index in an indexHeap.
type heapNode[T any] interface {
	comparable
	less(T) bool
	index() int
	setIndex(int)
}

// notInHeap is the index of an element that is in no heap.
const notInHeap = -1

// indexHeap is a binary heap whose elements can be moved and removed in O(log n).
type indexHeap[T heapNode[T]] struct{ nodes nodeSlice[T] }

// nodeSlice implements heap.Interface.
type nodeSlice[T heapNode[T]] []T

func (s nodeSlice[T]) Len() int           { return len(s) }
func (s nodeSlice[T]) Less(i, j int) bool { return s[i].less(s[j]) }
func (s nodeSlice[T]) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	s[i].setIndex(i)
	s[j].setIndex(j)
}

func (s *nodeSlice[T]) Push(x any) {
	node := x.(T)
	node.setIndex(len(*s))
	*s = append(*s, node)
}

func (s *nodeSlice[T]) Pop() any {
	old := *s
	last := len(old) - 1
	node := old[last]
	var zero T
	old[last] = zero
	*s = old[:last]
	node.setIndex(notInHeap)
	return node
}

func (h *indexHeap[T]) len() int { return len(h.nodes) }

// top returns the least element; the heap must not be empty.
func (h *indexHeap[T]) top() T { return h.nodes[0] }

func (h *indexHeap[T]) add(node T) {
	if node.index() == notInHeap {
		heap.Push(&h.nodes, node)
	}
}

func (h *indexHeap[T]) remove(node T) {
	if node.index() != notInHeap {
		heap.Remove(&h.nodes, node.index())
	}
}

// fix restores the order after node's key has changed.
func (h *indexHeap[T]) fix(node T) {
	if node.index() != notInHeap {
		heap.Fix(&h.nodes, node.index())
	}
}
