package upstream

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"sloerail/internal/node/nodetest"
	"sloerail/policy"
)

const lateDialDelay = 200 * time.Millisecond

// lateServer starts a server whose connections come up late. It sends the X-Deadline-Ms of each request to told.
func lateServer(t *testing.T) (tr *Transport, told <-chan string) {
	t.Helper()
	timeouts := make(chan string, 10)
	addr := nodetest.RawServer(t, func(c net.Conn, r *bufio.Reader) {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		timeouts <- request.Header.Get(timeoutHeader)
		_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") // the transport may have closed it
	})
	tr = newTestTransport(t, addr)
	dial := tr.config.Dial
	config := tr.config
	config.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		time.Sleep(lateDialDelay)
		return dial(ctx, network, address)
	}
	tr.Configure(config)
	return tr, timeouts
}

// Guards against a repeat of a keyed request that is written after its window, because its connection came up late.
func TestAttemptIsNotWrittenAfterItsTime(t *testing.T) {
	tr, told := lateServer(t)
	attempt := Attempt{Request: newTestRequest(http.MethodPost, "r", ""), Timeout: nodetest.Timeout,
		Lifetime: NewLifetime(time.Now().Add(nodetest.Timeout)), Observer: connectedClient{t}, WriteBy: time.Now().Add(lateDialDelay / 2)}
	if result := tr.Do("s0", attempt); result.Code != policy.ConnectFailed || result.Sent {
		t.Errorf("attempt whose connection came up after its time: got code %v, sent %t, want %v and not sent", result.Code, result.Sent,
			policy.ConnectFailed)
	}
	attempt.Lifetime, attempt.WriteBy = NewLifetime(time.Now().Add(nodetest.Timeout)), time.Now().Add(nodetest.Timeout)
	if result := tr.Do("s0", attempt); result.Code != policy.OK || !result.Sent {
		t.Errorf("attempt in time: got code %v, sent %t, want %v and sent", result.Code, result.Sent, policy.OK)
	}
	if len(told) != 1 {
		t.Errorf("requests that reached the server: got %d, want 1", len(told))
	}
}

// Guards against a repeat of a keyed request whose last byte is written after its window, because its server doesn't read. The
// server reads on once the attempt has ended, or long after its time.
func TestAttemptIsNotWrittenOnAfterItsTime(t *testing.T) {
	const writeTime, bodyBytes = 100 * time.Millisecond, 32 << 20 // more than the kernel takes
	ended, complete := make(chan struct{}), make(chan bool, 1)
	addr := nodetest.RawServer(t, func(c net.Conn, r *bufio.Reader) {
		select {
		case <-ended:
		case <-time.After(5 * writeTime):
		}
		complete <- nodetest.ReadRequest(r)
	})
	tr := newTestTransport(t, addr)
	result := tr.Do("s0", Attempt{Request: newTestRequest(http.MethodPost, "r", strings.Repeat("b", bodyBytes)), Timeout: nodetest.Timeout,
		Lifetime: NewLifetime(time.Now().Add(nodetest.Timeout)), Observer: connectedClient{t}, WriteBy: time.Now().Add(writeTime)})
	close(ended)
	if got := nodetest.Receive(t, "the end of the server's read", complete); got || result.Code != policy.ConnectFailed {
		t.Errorf("attempt that could not be written in time: got code %v, whole request at the server %t; want %v and not whole",
			result.Code, got, policy.ConnectFailed)
	}
}

// Guards against a server that is told more time than its client has left, because its connection came up late.
func TestServerIsToldTheTimeLeftWhenTheRequestIsWritten(t *testing.T) {
	const timeout = time.Second
	tr, told := lateServer(t)
	attempt := Attempt{Request: newTestRequest(http.MethodPost, "r", ""), Timeout: timeout,
		Lifetime: NewLifetime(time.Now().Add(timeout)), Observer: connectedClient{t}}
	if result := tr.Do("s0", attempt); result.Code != policy.OK {
		t.Fatalf("attempt: got code %v, want %v", result.Code, policy.OK)
	}
	millis, err := strconv.Atoi(<-told)
	if want := timeout - lateDialDelay; err != nil || time.Duration(millis)*time.Millisecond > want {
		t.Errorf("timeout told to the server after a dial of %v: got %d ms, error %v, want at most %v", lateDialDelay, millis, err, want)
	}
}
