package node

import (
	"sloerail/internal/node/config"
	"sloerail/internal/node/downstream"
	"sloerail/internal/node/upstream"
)

// newTransport returns the transport for the node's connections to servers.
func newTransport(c config.Config, shared *upstream.Descriptors, metrics *nodeMetrics) *upstream.Transport {
	return upstream.NewTransport(transportConfig(c), shared, metrics.relayed)
}

// transportConfig returns the settings for connections to servers.
func transportConfig(c config.Config) upstream.TransportConfig {
	return upstream.TransportConfig{Dial: c.Dialer(c.ConnectTimeout), IdleTimeout: c.Settings.Allowed.IdleTimeout,
		LoadReportFields: c.Settings.ReportFields, RetainMissing: c.Settings.RetainMissing}
}

// attemptObserver sends the loop the events of an attempt.
type attemptObserver struct {
	loop    *loop
	request *request
	index   int // in request.attempts
}

// ClientDisconnected reports whether the client has disconnected.
func (o *attemptObserver) ClientDisconnected() bool { return o.request.CheckDisconnected() }

// NotSent tells the loop to end a request whose client has disconnected.
func (o *attemptObserver) NotSent() {
	o.loop.send(bodyEnded{o.request.Exchange, upstream.ErrClientDisconnected})
}

// ResponseStarted tells the loop to stream a response to the client.
func (o *attemptObserver) ResponseStarted(r upstream.Response) {
	o.loop.send(responseStarted{o.request, o.index, forwardedResponse(r)})
}

// forwardedResponse returns the parts of a server's response that are forwarded to the client.
func forwardedResponse(r upstream.Response) downstream.Response {
	return downstream.Response{Status: r.Status, ContentType: r.ContentType, Body: r.Body, Stream: r.Stream,
		Length: r.Length}
}
