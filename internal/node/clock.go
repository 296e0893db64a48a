package node

import (
	"time"

	"sloerail/policy"
)

// timeOrigin is the time of a clock at its start. It is far above 0 so that servers that started before the node have
// times above 0 too: 0 means long ago, and a server that is still warming up would count as warm.
const timeOrigin = 24 * time.Hour

// clock converts between the machine's clocks and policy.Time. It reads the wall clock only once, at its start.
type clock struct{ start time.Time }

func (c clock) now() policy.Time { return timeOrigin + time.Since(c.start) }

func (c clock) at(t policy.Time) time.Time { return c.start.Add(t - timeOrigin) }

// fromUnixMilli converts a server's start time from Unix milliseconds. 0, which means long ago, stays 0, and times
// before the origin become 0.
func (c clock) fromUnixMilli(ms int64) policy.Time {
	if ms == 0 {
		return 0
	}
	limit := timeOrigin.Milliseconds() // start times far in the future must not overflow
	ago := min(max(c.start.UnixMilli()-ms, -limit), limit)
	return timeOrigin - time.Duration(ago)*time.Millisecond
}
