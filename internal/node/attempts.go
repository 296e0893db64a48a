package node

import (
	"sloerail/internal/node/config"
	"sloerail/internal/node/downstream"
	"sloerail/internal/node/upstream"
)

// newTransport makes the node's connections to servers.
func newTransport(c config.Config, shared *upstream.Descriptors, fig *figures) *upstream.Transport {
	return upstream.NewTransport(transportConfig(c), shared, fig.relayed)
}

// transportConfig is the part of the configuration that is about connections to servers.
func transportConfig(c config.Config) upstream.TransportConfig {
	return upstream.TransportConfig{Dial: c.Dialer(c.ConnectTimeout), IdleTimeout: c.Settings.Allowed.IdleTimeout,
		LoadReportFields: c.Settings.ReportFields, RetainMissing: c.Settings.RetainMissing}
}

// attemptObserver hands the loop what happens during an attempt.
type attemptObserver struct {
	loop    *loop
	request *request
	attempt int // its number
}

// ClientDisconnected reports whether the client has left.
func (o *attemptObserver) ClientDisconnected() bool { return o.request.CheckDisconnected() }

// NotSent has the loop end a request whose client has left.
func (o *attemptObserver) NotSent() {
	o.loop.send(bodyEnded{o.request.Exchange, upstream.ErrClientDisconnected})
}

// ResponseStarted has the loop give the client a response that is still coming.
func (o *attemptObserver) ResponseStarted(r upstream.Response) {
	o.loop.send(answerBegun{o.request, o.attempt, forwardedResponse(r)})
}

// forwardedResponse is what a client gets of a server's response.
func forwardedResponse(r upstream.Response) downstream.Response {
	return downstream.Response{Status: r.Status, ContentType: r.ContentType, Body: r.Body, Stream: r.Stream, Length: r.Length}
}
