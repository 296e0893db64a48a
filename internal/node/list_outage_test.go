package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"sloerail/internal/node/nodetest"

	"sloerail/internal/node/discovery"

	"sloerail/internal/node/config"
)

// Handlers that end a call to the list service without a list.

func rejectCall(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }

func resetCall(w http.ResponseWriter, _ *http.Request) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if conn, ok := c.(*net.TCPConn); ok {
		_ = conn.SetLinger(0)
	}
	_ = c.Close() // SetLinger(0) makes it a reset
}

func hangCall(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

func sendPartialList(w http.ResponseWriter, r *http.Request) {
	_, _ = io.WriteString(w, `{"revision":8,"compl`)
	_ = http.NewResponseController(w).Flush()
	<-r.Context().Done()
}

// outage describes an outage of the list service, during which no call returns a list.
type outage struct {
	fail          http.HandlerFunc // serves the calls; nil refuses connections
	failedCalls   int              // number of calls that fail this way
	rejectedCalls int              // number of calls answered with 503 after the outage
	queueTime     time.Duration    // time for which the call after the rejected ones is queued
	pollInterval  time.Duration    // PollInterval of the settings; 0 if not set
}

// checkDrain runs the outage and lets a server begin to drain at its end, which is when the node's last failing call is
// made or refused. The drain grace begins when the change counts as delivered to the node: MaxNotificationDelay (6 s)
// after the end of the outage, or the PollInterval of the settings after it if that is shorter.
func (o outage) checkDrain(t *testing.T, subscribe bool) {
	refused := make(chan time.Time, 1000)
	reachable := make(chan struct{}) // closed when the service accepts connections
	d := newDrainTest(t, subscribe, func(c *config.Config) {
		c.Settings.Rules.PollInterval = o.pollInterval
		c.Dial = refuseUntil(c, reachable, refused)
		if o.fail != nil {
			close(reachable)
		}
	})
	var outageEnd time.Time
	for range o.failedCalls {
		if o.fail == nil {
			outageEnd = nodetest.Receive(t, "a refused connection", refused)
			continue
		}
		c := nodetest.Receive(t, "a call that fails", d.calls)
		outageEnd = c.receivedAt
		failed := make(chan struct{})
		c.respond <- func(w http.ResponseWriter, r *http.Request) { close(failed); o.fail(w, r) }
		nodetest.Receive(t, "the start of the failure", failed)
	}
	if o.fail == nil {
		close(reachable)
	}
	for range o.rejectedCalls {
		nodetest.Receive(t, "a call to answer with 503", d.calls).respond <- rejectCall
	}
	delay := discovery.MaxNotificationDelay
	if o.pollInterval > 0 {
		delay = min(delay, o.pollInterval)
	}
	nextCalls := d.calls
	if o.queueTime > 0 {
		queued, c := make(chan listCall, 1), nodetest.Receive(t, "a call to queue", d.calls)
		time.AfterFunc(o.queueTime, func() { queued <- c })
		nextCalls = queued
	}
	d.checkDrain(outageEnd.Add(delay), nextCalls, d.drainUpdate)
}

// refuseUntil returns c's dial function, except that connections to the list service are refused until reachable is
// closed. It sends the time of each refusal to refused.
func refuseUntil(c *config.Config, reachable <-chan struct{}, refused chan<- time.Time) config.DialFunc {
	dial, service := c.Dialer(time.Second), c.Discovery
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		if addr != service {
			return dial(ctx, network, addr)
		}
		select {
		case <-reachable:
			return dial(ctx, network, addr)
		default:
		}
		conn, err := dial(ctx, network, "127.0.0.1:9")
		refused <- time.Now()
		return conn, err
	}
}

// After an outage of the list service, the node learns of a change in time, however calls failed during the outage. The
// change counts as delivered 6 s after the service has it and is reachable, or sooner if the settings have a shorter
// PollInterval. From then on, the node has only the drain grace to stop sending requests to the server. The test uses
// the smallest drain grace of any site.
func TestChangesArriveInTimeAfterAnyOutage(t *testing.T) {
	for name, o := range map[string]outage{
		"refused":             {failedCalls: 5, rejectedCalls: 2},
		"reset":               {fail: resetCall, failedCalls: 5, rejectedCalls: 2},
		"calls rejected":      {fail: rejectCall, failedCalls: 5, rejectedCalls: 2},
		"silent":              {fail: hangCall, failedCalls: 2, rejectedCalls: 2},
		"silent, then queued": {fail: hangCall, failedCalls: 2, rejectedCalls: 1, queueTime: discovery.MaxQueueTime},
		"partial list":        {fail: sendPartialList, failedCalls: 2, rejectedCalls: 2},
		"silent, poll 2 s":    {fail: hangCall, failedCalls: 2, rejectedCalls: 1, pollInterval: 2 * time.Second},
		"refused, poll 2 s":   {failedCalls: 5, rejectedCalls: 1, pollInterval: 2 * time.Second},
	} {
		for _, subscribe := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/subscribe %v", name, subscribe), func(t *testing.T) {
				t.Parallel()
				o.checkDrain(t, subscribe)
			})
		}
	}
}

// After an outage of many minutes, the node learns of a change just as soon as after a short one: no pause between calls
// grows with the length of the outage.
func TestChangesArriveInTimeAfterLongOutage(t *testing.T) {
	for name, o := range map[string]outage{
		"refused": {failedCalls: 900, rejectedCalls: 2},
		"silent":  {fail: hangCall, failedCalls: 300, rejectedCalls: 2},
	} {
		for _, subscribe := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/subscribe %v", name, subscribe), func(t *testing.T) {
				nodetest.Bubble(t, func(t *testing.T) { o.checkDrain(t, subscribe) })
			})
		}
	}
}
