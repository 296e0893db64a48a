package lab

import (
	"container/heap"
	"time"
)

type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }

func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}

func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *eventQueue) Push(x any) { *e = append(*e, x.(event)) }

func (e *eventQueue) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}

func (w *World) at(t time.Duration, do func()) {
	w.sequence++
	heap.Push(&w.queue, event{max(t, w.now), w.sequence, do})
}

func (w *World) in(d time.Duration, do func()) { w.at(w.now+d, do) }
