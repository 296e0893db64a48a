package policy

import "container/heap"

// serverQueue is a heap of servers, ordered by the time at which each is due.
type serverQueue []serverQueueEntry

type serverQueueEntry struct {
	dueAt  Time
	server *server
}

func (q serverQueue) Len() int { return len(q) }

func (q serverQueue) Less(i, j int) bool { return q[i].dueAt < q[j].dueAt }

func (q serverQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface; use add.
func (q *serverQueue) Push(entry any) { *q = append(*q, entry.(serverQueueEntry)) }

// Pop implements heap.Interface; use next.
func (q *serverQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = serverQueueEntry{}
	*q = old[:len(old)-1]
	return last
}

func (q *serverQueue) add(at Time, s *server) { heap.Push(q, serverQueueEntry{at, s}) }

// next removes and returns the server that is due first.
func (q *serverQueue) next() *server { return heap.Pop(q).(serverQueueEntry).server }
