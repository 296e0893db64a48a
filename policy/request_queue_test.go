package policy

import (
	"slices"
	"testing"
)

func TestRequestQueueNeedsOnePollAtATime(t *testing.T) {
	var queue requestQueue
	first, second := new(request), new(request)
	if !queue.add(first) || queue.add(second) {
		t.Error("add must ask for a poll for the first request only")
	}
	if got := queue.takeAll(); !slices.Equal(got, []*request{first, second}) || len(queue.requests) != 0 {
		t.Errorf("takeAll: got %d requests and %d left, want both requests in the order of arrival, none left",
			len(got), len(queue.requests))
	}
	if queue.add(first) {
		t.Error("add asks for a second poll while one is scheduled")
	}
}
