package lab

import (
	"container/heap"
	"time"
)

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}

func (w *World) at(t time.Duration, do func()) {
	w.count++
	heap.Push(&w.todo, event{max(t, w.now), w.count, do})
}

func (w *World) in(d time.Duration, do func()) { w.at(w.now+d, do) }
