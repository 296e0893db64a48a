package node

import (
	"sloerail/internal/node/downstream"
	"sloerail/internal/node/upstream"
)

// newTransport makes the node's connections to servers.
func newTransport(c Config, shared *upstream.Descriptors, fig *figures) *upstream.Transport {
	return upstream.NewTransport(c.transportConfig(), shared, fig.relayed)
}

// transportConfig is the part of the configuration that is about connections to servers.
func (c Config) transportConfig() upstream.TransportConfig {
	return upstream.TransportConfig{Dial: c.dialer(c.ConnectTimeout), IdleTimeout: c.Settings.Allowed.IdleTimeout,
		LoadReportFields: c.Settings.ReportFields, RetainMissing: c.Settings.RetainMissing}
}

// attemptObserver hands the loop what happens during an attempt.
type attemptObserver struct {
	loop    *loop
	request *request
	attempt int // its number
}

// ClientGone reports whether the client has left.
func (o *attemptObserver) ClientGone() bool { return o.request.ClientGone() }

// NotSent has the loop end a request whose client has left.
func (o *attemptObserver) NotSent() {
	o.loop.send(uploaded{o.request.Exchange, upstream.ErrClientGone})
}

// ResponseStarted has the loop give the client a response that is still coming.
func (o *attemptObserver) ResponseStarted(r upstream.Response) {
	o.loop.send(begun{o.request, o.attempt, forwardedAnswer(r)})
}

// forwardedAnswer is what a client gets of a server's response.
func forwardedAnswer(r upstream.Response) downstream.Answer {
	return downstream.Answer{Status: r.Status, ContentType: r.ContentType, Body: r.Body, Stream: r.Stream, Length: r.Length}
}
