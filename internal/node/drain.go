package node

import (
	"log/slog"
	"time"

	"sloerail/policy"
)

const (
	// minAcceptTime is the minimum time for which clients can still connect after the stop signal. A process that has a
	// successor stops accepting sooner, once it has no clients.
	minAcceptTime = 500 * time.Millisecond
	// maxDrainTime bounds how long a client waits for its response once the node is stopping.
	maxDrainTime = 3 * time.Second
	// drainPoll is the interval at which a process that has handed over checks whether it still has clients.
	drainPoll = 20 * time.Millisecond
	// finalAnswerTime is the time that responses have to reach the clients when the remaining requests fail at the end.
	finalAnswerTime = 100 * time.Millisecond
)

// drain shuts down gracefully. Clients still connect for a while after the stop signal, and their requests must be
// answered, so the listener stays open for that time. Existing connections stay open as long as a request on them can be
// answered before the node is killed: closing them earlier would only move their load to the other nodes.
func (s *server) drain(h *hotRestart) error {
	s.Stopping.Store(true)
	classes := s.loop.classes.Load()
	end := time.Now().Add(minAcceptTime + classes.longest(maxClientWait))
	acceptUntil := time.Now().Add(max(minAcceptTime, time.Until(end)-s.lastRequestTime(classes)))
	slog.Info("stopping", "serves", time.Until(acceptUntil).Round(time.Millisecond),
		"ends", time.Until(end).Round(time.Millisecond))
	for time.Now().Before(acceptUntil) && (!s.superseded.Load() || s.ClientConns().Count() > 0) {
		time.Sleep(min(drainPoll, time.Until(acceptUntil)))
	}
	s.Draining.Store(true)
	failTimer := time.AfterFunc(time.Until(end), func() { s.loop.send(failUnanswered{}) })
	defer failTimer.Stop()
	err := h.clients.Close()
	s.Shutdown(end.Add(finalAnswerTime))
	return err
}

// lastRequestTime returns how long before the end of the drain the node stops accepting connections: the recent latency
// of slow responses, at most maxUsefulLatency. Once the loop has ended, it returns maxUsefulLatency.
func (s *server) lastRequestTime(classes *classTable) time.Duration {
	longest := classes.longest(maxUsefulLatency)
	if tail, ok := query(s.loop, func(reply chan<- time.Duration) event { return tailRequest{reply} }); ok {
		return min(longest, tail)
	}
	return longest
}

// maxClientWait returns how long a client of a stopping node may wait: the longest deadline, at most maxDrainTime.
func maxClientWait(classes []policy.AcceptedClass) time.Duration {
	var longest time.Duration
	for _, class := range classes {
		longest = max(longest, class.Deadline)
	}
	return min(longest, maxDrainTime)
}

// maxUsefulLatency returns the longest latency at which a response is still of use to any class. For a class whose late
// responses have no weight, that is its latency objective, otherwise its deadline.
func maxUsefulLatency(classes []policy.AcceptedClass) time.Duration {
	var longest time.Duration
	for _, class := range classes {
		if class.LatencyObjective > 0 && class.LateWeight <= 0 {
			longest = max(longest, class.LatencyObjective)
		} else {
			longest = max(longest, class.Deadline)
		}
	}
	return longest
}
