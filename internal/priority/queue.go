// Package priority implements a typed priority queue on container/heap.
package priority

import "container/heap"

// Ordered is the constraint on items of a queue. Before reports whether an item is taken before another.
type Ordered[T any] interface{ Before(other T) bool }

// Queue holds items in heap order: index 0 holds the item that is taken next. The zero value is an empty queue.
type Queue[T Ordered[T]] []T

// Add puts an item into the queue.
func (q *Queue[T]) Add(item T) { heap.Push((*items[T])(q), item) }

// Take removes and returns the first item. The queue must not be empty.
func (q *Queue[T]) Take() T { return heap.Pop((*items[T])(q)).(T) }

// items implements heap.Interface.
type items[T Ordered[T]] []T

func (h items[T]) Len() int           { return len(h) }
func (h items[T]) Less(i, j int) bool { return h[i].Before(h[j]) }
func (h items[T]) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *items[T]) Push(x any)        { *h = append(*h, x.(T)) }

func (h *items[T]) Pop() any {
	var zero T
	n := len(*h) - 1
	x := (*h)[n]
	(*h)[n] = zero // lets the garbage collector free the item
	*h = (*h)[:n]
	return x
}
