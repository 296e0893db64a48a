package peertest

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// shortBodyBytes is the most that a body may have that is not long. Of a long one, the first bytes are timed.
	shortBodyBytes = 64 << 10
	// longStartBytes is how much must be given in time of a long body without a length: until then it may be a short one, which
	// has to fail in time.
	longStartBytes = 4 << 10
	// nodeDelay is how much later than by the pages' times a node may see or do something on a busy machine.
	nodeDelay = 250 * time.Millisecond
)

// Conduct is what Request.Violation must know beside the request and its result.
type Conduct struct {
	Attempts []Attempt // of the request
	Excused  bool      // the process that served it was killed, or had come to the end of its shutdown
	// GroupIsAll is whether the servers of all cells drop repeats of a keyed request, so that it may be refused once it may have run.
	GroupIsAll bool
}

// Violation returns which rule of the operators' pages the result of a request breaks, or "" for none.
func (r Request) Violation(got Result, c Conduct) string {
	inTime := got.SentAt.Add(r.Wait + finalAnswerSlack)
	switch {
	case got.Status == 0 && !got.Written:
		return "" // the node has not taken it
	case got.Status == 0 && !c.Excused:
		return "no final answer"
	case got.Status == 0:
		return ""
	case got.BeganAt.After(inTime):
		return "a late final answer"
	case isRefusal(got.Status) && !r.mayBeRefused(c):
		return "a refusal of a request that may have run"
	case got.Status == http.StatusOK && got.Whole:
		return r.wrongBody(got, inTime)
	case c.Excused:
		return ""
	}
	return r.cutOff(got, c)
}

// wrongBody returns what is wrong with a whole response, or "". The end of a short one is timed, but not that of a client that
// reads slowly.
func (r Request) wrongBody(got Result, inTime time.Time) string {
	switch {
	case got.Foreign, got.Bytes != int64(r.Behavior.Size):
		return "a response that no server made"
	case r.isShort() && r.ReadRate == 0 && got.EndedAt.After(inTime):
		return "a late end of a short response"
	}
	return ""
}

// isShort reports whether the end of a whole response is timed.
func (r Request) isShort() bool { return r.Behavior.Size <= shortBodyBytes }

func isRefusal(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// mayBeRefused reports whether the client may be told that it can send the request again.
func (r Request) mayBeRefused(c Conduct) bool {
	if r.Method == http.MethodGet || r.Key != "" && c.GroupIsAll {
		return true
	}
	for _, a := range c.Attempts {
		if a.Complete {
			return false
		}
	}
	return true
}

// cutOff returns how the node has cut a response off that its server still gave, or "".
func (r Request) cutOff(got Result, c Conduct) string {
	deadline := got.SentAt.Add(r.Wait - nodeDelay)
	for _, a := range c.Attempts {
		switch {
		case a.HeadAt.IsZero() || !a.BrokenAt.IsZero():
			continue
		case got.Status == http.StatusOK && r.isShort() && !a.EndAt.IsZero() && a.EndAt.Before(deadline):
			return fmt.Sprintf("a short response cut off after %d bytes, though it had come whole in time", got.Bytes)
		case got.Status == http.StatusOK && !r.isShort() && r.isGiving(a, got.EndedAt):
			return fmt.Sprintf("a response cut off after %d bytes", got.Bytes)
		case a.CutOffAt.IsZero() || r.isShort():
			continue
		case a.GivenBy(deadline) >= r.longStart():
			return fmt.Sprintf("status %d for a long response of which %d bytes had come in time", got.Status, a.GivenBy(deadline))
		case got.EndedAt.Before(deadline):
			return fmt.Sprintf("status %d before the client's time, for a long response whose head had come", got.Status)
		}
	}
	return ""
}

// longStart returns how many bytes of the body show that the response is long.
func (r Request) longStart() int {
	if r.Behavior.Framing == ContentLength {
		return 1
	}
	return longStartBytes
}

// isGiving reports whether the attempt's server had the request, and gave the response's body without a long pause, when the
// response ended at its client.
func (r Request) isGiving(a Attempt, at time.Time) bool {
	const longestPause = 4 * time.Second
	if !a.Complete || a.HeadAt.IsZero() {
		return false
	}
	last := a.HeadAt
	if n := len(a.Given); n > 0 {
		last = a.Given[n-1].At
	}
	return at.Sub(last) < longestPause
}
