// Package priority has a typed priority queue over container/heap.
package priority

import "container/heap"

// Ordered is what a queue can hold: Before tells whether an item is to be taken before another.
type Ordered[T any] interface{ Before(other T) bool }

// Queue holds items, the first to be taken at index 0; the others are in heap order. The zero value is empty.
type Queue[T Ordered[T]] []T

// Add puts an item into the queue.
func (q *Queue[T]) Add(item T) { heap.Push((*items[T])(q), item) }

// Take removes and returns the first item. The queue must not be empty.
func (q *Queue[T]) Take() T { return heap.Pop((*items[T])(q)).(T) }

// items implements heap.Interface.
type items[T Ordered[T]] []T

func (s items[T]) Len() int           { return len(s) }
func (s items[T]) Less(i, j int) bool { return s[i].Before(s[j]) }
func (s items[T]) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *items[T]) Push(x any)        { *s = append(*s, x.(T)) }

func (s *items[T]) Pop() any {
	var none T
	last := len(*s) - 1
	x := (*s)[last]
	(*s)[last] = none // so that it can be collected
	*s = (*s)[:last]
	return x
}
