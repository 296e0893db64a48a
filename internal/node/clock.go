package node

import (
	"time"

	"sloerail/policy"
)

// timeOrigin is the policy.Time at which a clock starts. It is far above 0, so that servers that started up to a day
// before the node have start times above 0 too. A start time of 0 means long ago: a server that has it counts as warm,
// even if it is still warming up.
const timeOrigin = 24 * time.Hour

// clock converts between the machine's clocks and policy.Time. It reads the wall clock only once, at its start.
type clock struct{ start time.Time }

func (c clock) now() policy.Time { return timeOrigin + time.Since(c.start) }

func (c clock) at(t policy.Time) time.Time { return c.start.Add(t - timeOrigin) }

// fromUnixMilli converts a server's start time from Unix milliseconds. 0, which means long ago, stays 0. Times more than
// timeOrigin before the clock's start become 0, and times more than timeOrigin after it become 2*timeOrigin.
func (c clock) fromUnixMilli(ms int64) policy.Time {
	if ms == 0 {
		return 0
	}
	limit := timeOrigin.Milliseconds() // start times far in the future must not overflow
	ago := min(max(c.start.UnixMilli()-ms, -limit), limit)
	return timeOrigin - time.Duration(ago)*time.Millisecond
}
