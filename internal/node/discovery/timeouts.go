package discovery

import (
	"time"

	"sloerail/policy"
)

const (
	// MaxNotificationDelay is the time after which operators count a change as delivered to the node. It starts when the
	// list service has the change and is reachable, whether or not calls fail after that. The settings may set less.
	MaxNotificationDelay = 6 * time.Second
	// MaxQueueTime is the longest time for which the list service queues a call; it rejects calls that would wait longer.
	MaxQueueTime = 2 * time.Second
	// minWatchTimeout is the minimum timeout of a watch, whatever the settings: a list service that answers normally must
	// not time out.
	minWatchTimeout = time.Second
	// fullListTimeout bounds a call for the full list: when the address of the list service changes, operators count the
	// list from the new address as delivered 4 s after the signal.
	fullListTimeout = 2500 * time.Millisecond
)

// Timeouts bound the calls to the list service.
type Timeouts struct {
	Wait     time.Duration // how long a watch asks the list service to hold it
	Watch    time.Duration // until a watch is answered
	FullList time.Duration // until a call for the full list is answered
}

// newTimeouts returns the timeouts for the settings. Half of the notification delay is for a watch that times out, and
// half for the next one: when the watches of many nodes time out together, the list service queues the next ones, and
// those that it rejects are repeated. Wait is short, so that more than MaxQueueTime remains after it where that fits: a
// watch that is answered within its wait costs the list service almost nothing, whereas a new watch is work.
func newTimeouts(s policy.Settings) Timeouts {
	delay := MaxNotificationDelay
	if interval := s.Rules.PollInterval; interval > 0 {
		delay = min(delay, interval)
	}
	watch := max(minWatchTimeout, delay/2)
	return Timeouts{Wait: watch / 4, Watch: watch, FullList: min(fullListTimeout, watch)}
}
