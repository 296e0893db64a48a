package node

import (
	"log/slog"

	"sloerail/internal/node/downstream"
	"sloerail/policy"
)

// The lines of this file are logged at debug level, with config.Config.DebugLog: what became of each request, and of each
// attempt at a server.

func (l *loop) traceRequest(r *request) {
	if l.tracing {
		slog.Debug("request received", "request", r.Request.ID, "class", r.Request.Class, "timeout", r.Timeout,
			"incomplete", r.Request.Incomplete)
	}
}

func (l *loop) traceRejection(x *downstream.Exchange, status int) {
	if l.tracing {
		slog.Debug("request rejected by the node", "request", x.Request.ID, "status", status, "unanswered", l.unanswered,
			"stopping", l.rejectAll)
	}
}

func (l *loop) traceAnswer(r *request, status int, reason string) {
	if l.tracing {
		slog.Debug("request answered", "request", r.Request.ID, "status", status, "reason", reason, "attempts", len(r.attempts),
			"left", r.deadline-l.clock.now())
	}
}

func (l *loop) traceDisconnect(r *request) {
	if l.tracing {
		slog.Debug("client disconnected", "request", r.Request.ID, "attempts", len(r.attempts))
	}
}

func (l *loop) traceSend(r *request, a policy.Action) {
	if l.tracing {
		slog.Debug("attempt begins", "request", r.Request.ID, "attempt", len(r.attempts), "server", a.Server,
			"left", r.deadline-l.clock.now())
	}
}

func (l *loop) traceAttemptEnd(e attemptEnded) {
	if l.tracing {
		a := e.r.attempts[e.index]
		slog.Debug("attempt ended", "request", e.r.Request.ID, "attempt", e.index, "server", a.server, "outcome", e.Code,
			"phase", e.Phase, "error", e.Err, "sent", e.Sent, "took", l.clock.now()-a.sentAt)
	}
}
