package node

import (
	"time"

	"sloerail/policy"
)

const (
	// toldWithin is how long after the list service had a change, and could be reached, that change counts as
	// told, whatever became of the calls meanwhile. The settings may name less.
	toldWithin = 6 * time.Second
	// queueTime is the longest that the service keeps a call waiting for its turn; it turns away what would
	// wait for longer.
	queueTime = 2 * time.Second
	// leastPatience is given to a call however little the settings leave: a service that answers is not silent.
	leastPatience = time.Second
	// wholeTime bounds a call for the whole list: after a move, what it brings counts as told 4 s after the signal.
	wholeTime = 2500 * time.Millisecond
)

// callTimes bounds the calls for the list of servers.
type callTimes struct {
	wait     time.Duration // that a watch asks the service to hold it for
	patience time.Duration // after which a watch has fallen silent
	whole    time.Duration // the same for a call that asks for no wait
}

// newCallTimes leaves half of the time in which a change counts as told to a call that falls silent, and the other
// half to the one in its place: many nodes whose watches fall silent together wait for their turns, and who is turned
// away asks again. A watch that is answered within its wait costs the service next to nothing; a new one is
// work. So the wait is short, and queueTime and more is left beyond it wherever that fits.
func newCallTimes(s policy.Settings) callTimes {
	within := toldWithin
	if ask := s.Rules.PollInterval; ask > 0 {
		within = min(within, ask)
	}
	patience := max(leastPatience, within/2)
	return callTimes{wait: patience / 4, patience: patience, whole: min(wholeTime, patience)}
}

// newTarget takes what a configuration says of the list service.
func newTarget(c Config) target {
	return target{addr: c.Discovery, subscribe: c.Settings.SubscribeList, times: newCallTimes(c.Settings), scope: c.Scope}
}
