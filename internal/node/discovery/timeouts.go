package discovery

import (
	"time"

	"sloerail/policy"
)

const (
	// MaxNotificationDelay is how long a change may take to reach the node: operators assume that the node has it by then.
	// The time starts when the list service has the change and is reachable, even if calls fail after that. The settings
	// may set less.
	MaxNotificationDelay = 6 * time.Second
	// MaxQueueTime is the longest time for which the list service queues a call; it rejects calls that would wait longer.
	MaxQueueTime = 2 * time.Second
	// minWatchTimeout is the minimum timeout of a watch, whatever the settings: a list service that responds normally must
	// not time out.
	minWatchTimeout = time.Second
	// fullListTimeout bounds a call for the full list. When the address of the list service changes, operators assume that
	// the node has the list from the new address 4 s after the signal to reload.
	fullListTimeout = 2500 * time.Millisecond
)

// Timeouts bound the calls to the list service.
type Timeouts struct {
	Wait     time.Duration // how long the list service may hold a watch; sent with the watch
	Watch    time.Duration // timeout of a watch
	FullList time.Duration // timeout of a call for the full list
}

// newTimeouts returns the timeouts for the settings.
//
// Half of the notification delay is for a watch that times out, and half for the next one. The next one needs time:
// when the watches of many nodes time out together, the list service queues the next ones, and those that it rejects
// are repeated.
//
// Wait is short, so that more than MaxQueueTime remains between its end and the timeout if the settings allow that.
// This avoids timeouts: a watch that the list service answers within its wait costs it almost nothing, whereas a new
// watch is work for it.
func newTimeouts(s policy.Settings) Timeouts {
	delay := MaxNotificationDelay
	if interval := s.Rules.PollInterval; interval > 0 {
		delay = min(delay, interval)
	}
	watch := max(minWatchTimeout, delay/2)
	return Timeouts{Wait: watch / 4, Watch: watch, FullList: min(fullListTimeout, watch)}
}
