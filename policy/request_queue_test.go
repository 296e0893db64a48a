package policy

import (
	"slices"
	"testing"
)

func TestRequestQueueNeedsOnePollAtATime(t *testing.T) {
	var queue requestQueue
	first, second := new(request), new(request)
	if !queue.add(first) || queue.add(second) {
		t.Error("want a poll for the first request alone")
	}
	if got := queue.takeAll(); !slices.Equal(got, []*request{first, second}) || len(queue.requests) != 0 {
		t.Errorf("took %d requests in another order, or left %d", len(got), len(queue.requests))
	}
	if queue.add(first) {
		t.Error("a poll is due, and another one is wanted")
	}
}
