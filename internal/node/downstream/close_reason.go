package downstream

import (
	"errors"
	"io"
	"log/slog"
	"os"
	"time"

	"sloerail/internal/node/http1"
)

// closeReason says in the log why a client's connection ended.
type closeReason string

// The reasons. Errors have a reason of their own (closeReasonOf).
const (
	closedByClient      closeReason = "the client has closed it"
	closedLastResponse  closeReason = "the last response was written"
	closedIncomplete    closeReason = "the response could not be written whole"
	closedInvalid       closeReason = "invalid request"
	closedRejected      closeReason = "rejected request"
	closedOverLimit     closeReason = "too many connections"
	closedBodyUnread    closeReason = "responded before the end of the request's body"
	closedIdle          closeReason = "idle, evicted or shutting down"
	closedHeadTimeout   closeReason = "no whole head in time"
	closedHeadTruncated closeReason = "ended within a head"
)

// closeReasonOf returns the reason of a connection that ended because a head could not be read.
func closeReasonOf(err error) closeReason {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return closedHeadTimeout
	case errors.Is(err, http1.ErrMalformedHead), errors.Is(err, http1.ErrHeadTooLong), errors.Is(err, http1.ErrTooManyFields),
		errors.Is(err, http1.ErrNoMemory):
		return closeReason("unreadable head: " + err.Error())
	case errors.Is(err, io.EOF):
		return closedByClient
	}
	return closedHeadTruncated
}

// end records why the connection ends, unless a reason is known, and returns false: there is no next request. It may be
// called from any goroutine.
func (c *clientConn) end(reason closeReason) bool {
	c.endedBy.CompareAndSwap(nil, &reason)
	return false
}

// logClose logs at debug level why the connection ended.
func (c *clientConn) logClose() {
	if !c.server.DebugLog {
		return
	}
	reason := closedByClient
	if r := c.endedBy.Load(); r != nil {
		reason = *r
	}
	slog.Debug("client connection closed", "address", c.RemoteAddr(), "reason", reason, "request", c.lastID,
		"open", time.Since(c.openedAt))
}
