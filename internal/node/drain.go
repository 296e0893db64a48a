package node

import (
	"log/slog"
	"time"

	"sloerail/policy"
)

const (
	// minAcceptTime is how long clients can connect at least after the signal to stop.
	minAcceptTime = 500 * time.Millisecond
	// maxDrainTime bounds how long a client waits for its answer once the node is stopping.
	maxDrainTime = 3 * time.Second
	// drainPoll is the time between looks at whether a process that has handed over has clients left.
	drainPoll = 20 * time.Millisecond
	// finalAnswerTime is for the answers to what is failed at the end to reach their clients.
	finalAnswerTime = 100 * time.Millisecond
)

// drain shuts down gracefully. Clients connect for a while after the signal, and what they have sent counts as accepted,
// so the listener stays open until then. Clients go on using the connections that they have for as long as a request can
// be answered before the node is killed: to end them earlier would only move their load to the other nodes.
func (s *server) drain(h *hotRestart) error {
	s.Stopping.Store(true)
	terms := s.loop.terms.Load()
	end := time.Now().Add(minAcceptTime + terms.longestOf(longestWait))
	last := time.Now().Add(max(minAcceptTime, time.Until(end)-s.lastAnswerTime(terms)))
	slog.Info("stopping", "serves", time.Until(last).Round(time.Millisecond), "ends", time.Until(end).Round(time.Millisecond))
	for time.Now().Before(last) && (!s.superseded.Load() || s.ClientConns().Count() > 0) {
		time.Sleep(min(drainPoll, time.Until(last)))
	}
	s.Draining.Store(true)
	late := time.AfterFunc(time.Until(end), func() { s.loop.send(failUnanswered{}) })
	defer late.Stop()
	err := h.clients.Close()
	s.Shutdown(end.Add(finalAnswerTime))
	return err
}

// lastAnswerTime is what the last request is given: the time that slow answers took lately, and no more than an answer is
// useful for.
func (s *server) lastAnswerTime(terms *terms) time.Duration {
	longest := terms.longestOf(longestAnswer)
	if tail, ok := query(s.loop, func(reply chan<- time.Duration) event { return tailRequest{reply} }); ok {
		return min(longest, tail)
	}
	return longest
}

// longestWait is how long a client of a stopping node may wait.
func longestWait(classes []policy.Class) time.Duration {
	var longest time.Duration
	for _, class := range classes {
		longest = max(longest, class.Deadline)
	}
	return min(longest, maxDrainTime)
}

// longestAnswer is how late an answer can be and still have a weight.
func longestAnswer(classes []policy.Class) time.Duration {
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
