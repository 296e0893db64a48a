package node

import (
	"container/heap"
	"net/http"

	"sloerail/policy"
)

// timer is a timer of the balancer, or the backstop of a request: it fails the request if the balancer has not answered
// in time.
type timer struct {
	due        policy.Time
	token      uint64
	backstopOf *request // nil for a timer of the balancer
	index      int      // in timers; -1 once removed
}

// timers is a heap of timers, ordered by due time.
type timers []*timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].due < t[j].due }

func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].index, t[j].index = i, j
}

func (t *timers) Push(x any) {
	x.(*timer).index = len(*t)
	*t = append(*t, x.(*timer))
}

func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	x.index, (*t)[last] = -1, nil
	*t = (*t)[:last]
	return x
}

// fireTimers handles the timers that are due.
func (l *loop) fireTimers() {
	for now := l.clock.now(); len(l.timers) > 0 && l.timers[0].due <= now; {
		t := heap.Pop(&l.timers).(*timer)
		switch r := t.backstopOf; {
		case r == nil:
			l.decide(policy.Timer{Token: t.token})
		case r.hasResponse(): // its start is due, and will come from the attempt
			t.due = now + answerMargin
			heap.Push(&l.timers, t)
		default:
			l.fail(r, http.StatusGatewayTimeout, "the balancer has not answered in time")
		}
	}
}
