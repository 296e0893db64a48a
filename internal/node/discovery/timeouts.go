package discovery

import (
	"time"

	"sloerail/policy"
)

const (
	// MaxNotificationDelay is how long after the list service had a change, and could be reached, that change counts as
	// told, whatever became of the calls meanwhile. The settings may name less.
	MaxNotificationDelay = 6 * time.Second
	// MaxQueueTime is the longest that the service keeps a call waiting for its turn; it turns away what would
	// wait for longer.
	MaxQueueTime = 2 * time.Second
	// minWatchTimeout is given to a call however little the settings leave: a service that answers is not silent.
	minWatchTimeout = time.Second
	// fullListTimeout bounds a call for the whole list: after a move, what it brings counts as told 4 s after the signal.
	fullListTimeout = 2500 * time.Millisecond
)

// Timeouts bounds the calls for the list of servers.
type Timeouts struct {
	Wait     time.Duration // that a watch asks the service to hold it for
	Watch    time.Duration // after which a watch has fallen silent
	FullList time.Duration // the same for a call that asks for no wait
}

// newTimeouts leaves half of the time in which a change counts as told to a call that falls silent, and the other
// half to the one in its place: many nodes whose watches fall silent together wait for their turns, and who is turned
// away asks again. A watch that is answered within its wait costs the service next to nothing; a new one is
// work. So the wait is short, and queueTime and more is left beyond it wherever that fits.
func newTimeouts(s policy.Settings) Timeouts {
	within := MaxNotificationDelay
	if ask := s.Rules.PollInterval; ask > 0 {
		within = min(within, ask)
	}
	patience := max(minWatchTimeout, within/2)
	return Timeouts{Wait: patience / 4, Watch: patience, FullList: min(fullListTimeout, patience)}
}

// NewTarget is for the list service at the addresses, which commas separate; scope is the query that ParseScope made,
// or empty.
func NewTarget(addresses, scope string, settings policy.Settings) Target {
	return Target{Addresses: addresses, Subscribe: settings.SubscribeList, Timeouts: newTimeouts(settings), Scope: scope}
}
