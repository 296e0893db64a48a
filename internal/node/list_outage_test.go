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

// The ways in which a call to the list service ends without a list.

func rejectCall(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }

func resetCall(w http.ResponseWriter, _ *http.Request) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if conn, ok := c.(*net.TCPConn); ok {
		_ = conn.SetLinger(0)
	}
	_ = c.Close() // a reset
}

func staySilent(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

func answerHalf(w http.ResponseWriter, r *http.Request) {
	_, _ = io.WriteString(w, `{"revision":8,"compl`)
	_ = http.NewResponseController(w).Flush()
	<-r.Context().Done()
}

// outage is a time in which no call to the list service brings a list.
type outage struct {
	fails  http.HandlerFunc // nil: connections are refused
	calls  int              // that fail so
	busy   int              // calls that the service turns away once it is back
	queued time.Duration    // for which it keeps the next one waiting for its turn
	within time.Duration    // the settings' bound on asking; 0 for none
}

// keepsDrains has a server begin to drain at the end of an outage, which is the moment at which the node can last have
// learned that its last call has failed, or is out in vain. Six seconds later that counts as told, or sooner where the
// settings bound that.
func (o outage) keepsDrains(t *testing.T, subscribe bool) {
	refused := make(chan time.Time, 1000)
	down := make(chan struct{}) // closed once the service takes connections
	l := newLeavingTest(t, subscribe, func(c *config.Config) {
		c.Settings.Rules.PollInterval = o.within
		c.Dial = refuseUntil(c, down, refused)
		if o.fails != nil {
			close(down)
		}
	})
	var back time.Time
	for range o.calls {
		if o.fails == nil {
			back = nodetest.Receive(t, "a refused connection", refused)
			continue
		}
		c := nodetest.Receive(t, "a call that fails", l.calls)
		back = c.at
		failed := make(chan struct{})
		c.serve <- func(w http.ResponseWriter, r *http.Request) { close(failed); o.fails(w, r) }
		nodetest.Receive(t, "the failure", failed)
	}
	if o.fails == nil {
		close(down)
	}
	for range o.busy {
		nodetest.Receive(t, "a call that is turned away", l.calls).serve <- rejectCall
	}
	told := discovery.MaxNotificationDelay
	if o.within > 0 {
		told = min(told, o.within)
	}
	further := l.calls
	if o.queued > 0 {
		turn, c := make(chan listCall, 1), nodetest.Receive(t, "a call that waits for its turn", l.calls)
		time.AfterFunc(o.queued, func() { turn <- c })
		further = turn
	}
	l.drains(back.Add(told), further, l.change)
}

// refuseUntil dials as c does, and for the list service to where nobody listens until up is closed.
func refuseUntil(c *config.Config, up <-chan struct{}, refused chan<- time.Time) config.DialFunc {
	dial, service := c.Dialer(time.Second), c.Discovery
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		if addr != service {
			return dial(ctx, network, addr)
		}
		select {
		case <-up:
			return dial(ctx, network, addr)
		default:
		}
		conn, err := dial(ctx, network, "127.0.0.1:9")
		refused <- time.Now()
		return conn, err
	}
}

// Whatever became of the calls meanwhile, a change counts as told 6 s after the list service had it and could be
// reached, sooner where the settings bound that. Only the least grace of any site is left beyond.
func TestChangesArriveInTimeAfterAnyOutage(t *testing.T) {
	for name, o := range map[string]outage{
		"refused":            {calls: 5, busy: 2},
		"reset":              {fails: resetCall, calls: 5, busy: 2},
		"turned away":        {fails: rejectCall, calls: 5, busy: 2},
		"silent":             {fails: staySilent, calls: 2, busy: 2},
		"silent, then busy":  {fails: staySilent, calls: 2, busy: 1, queued: discovery.MaxQueueTime},
		"half answered":      {fails: answerHalf, calls: 2, busy: 2},
		"silent, bound 2 s":  {fails: staySilent, calls: 2, busy: 1, within: 2 * time.Second},
		"refused, bound 2 s": {calls: 5, busy: 1, within: 2 * time.Second},
	} {
		for _, subscribe := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/asked %v", name, subscribe), func(t *testing.T) {
				t.Parallel()
				o.keepsDrains(t, subscribe)
			})
		}
	}
}

// The same holds when the service was away for many minutes: no pause grows with them.
func TestChangesArriveInTimeAfterLongOutage(t *testing.T) {
	for name, o := range map[string]outage{
		"refused": {calls: 900, busy: 2},
		"silent":  {fails: staySilent, calls: 300, busy: 2},
	} {
		for _, subscribe := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/asked %v", name, subscribe), func(t *testing.T) {
				nodetest.Bubble(t, func(t *testing.T) { o.keepsDrains(t, subscribe) })
			})
		}
	}
}
