package discovery

import (
	"time"

	"sloerail/policy"
)

const (
	// MaxNotificationDelay is the time after which the operators count a change as delivered to the node, from when the
	// list service had it and could be reached, whatever became of the calls meanwhile. The settings may name less.
	MaxNotificationDelay = 6 * time.Second
	// MaxQueueTime is the longest that the list service queues a call; it rejects what would wait for longer.
	MaxQueueTime = 2 * time.Second
	// minWatchTimeout is given to a watch however little the settings leave: a service that answers is not silent.
	minWatchTimeout = time.Second
	// fullListTimeout bounds a call for the whole list: the operators count what a changed address of the list service
	// brings as delivered 4 s after the signal.
	fullListTimeout = 2500 * time.Millisecond
)

// Timeouts bound the calls to the list service.
type Timeouts struct {
	Wait     time.Duration // for which a watch asks the list service to hold it
	Watch    time.Duration // for the answer to a watch
	FullList time.Duration // for the answer to a call for the whole list
}

// newTimeouts gives half of the time after which a change counts as delivered to a watch that times out, and the other half
// to the one that follows: watches of many nodes that time out together wait for their turns, and those that are
// rejected are repeated. The wait of a watch is short, so that MaxQueueTime and more is left beyond it wherever that
// fits: a watch that is answered within its wait costs the service next to nothing, a new one is work.
func newTimeouts(s policy.Settings) Timeouts {
	delay := MaxNotificationDelay
	if interval := s.Rules.PollInterval; interval > 0 {
		delay = min(delay, interval)
	}
	watch := max(minWatchTimeout, delay/2)
	return Timeouts{Wait: watch / 4, Watch: watch, FullList: min(fullListTimeout, watch)}
}
