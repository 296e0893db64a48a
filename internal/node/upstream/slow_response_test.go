package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"sloerail/internal/node/nodetest"
	"sloerail/policy"
)

// Guards against a response that is cut off at the attempt's deadline though it has begun by then and its client still waits,
// wherever in it the server pauses. One that never begins ends there, and one that never ends at the client's deadline.
func TestResponseThatHasBegunLastsUntilTheClientsDeadline(t *testing.T) {
	const attemptTime, clientTime = 100 * time.Millisecond, 400 * time.Millisecond
	for name, parts := range map[string][2]string{
		"status line":     {"HTTP/1.1 2", "00 OK\r\nContent-Length: 2\r\n\r\nok"},
		"fields":          {"HTTP/1.1 200 OK\r\nContent-", "Length: 2\r\n\r\nok"},
		"body":            {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no", "k"},
		"chunk":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\no", "k\r\n0\r\n\r\n"},
		"last chunk":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", "0\r\n\r\n"},
		"after a 103":     {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n", "Content-Length: 2\r\n\r\nok"},
		"close-delimited": {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\no", "k"},
	} {
		for _, ends := range []bool{true, false} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				addr := nodetest.RawServer(t, func(c net.Conn, r *bufio.Reader) {
					if nodetest.ReadRequest(r) {
						_, _ = io.WriteString(c, parts[0])
						time.Sleep((attemptTime + clientTime) / 2)
						if ends {
							_, _ = io.WriteString(c, parts[1])
							return
						}
						_, _ = io.Copy(io.Discard, c) // until the close
					}
				})
				l := NewLifetime(time.Now().Add(clientTime))
				l.SetAttemptDeadline(time.Now().Add(attemptTime))
				begin := time.Now()
				result := newTestTransport(t, addr).Do("s0", Attempt{Request: newTestRequest(http.MethodGet, "r", ""), Timeout: clientTime,
					Lifetime: l, Observer: connectedClient{t}})
				want := policy.OK
				if !ends {
					want = policy.TimedOut
				}
				if result.Code != want || ends && string(result.Response.Body) != "ok" {
					t.Errorf("server that pauses in the response beyond the attempt's deadline, then goes on %t: got code %v, body %q after %v, want code %v",
						ends, result.Code, result.Response.Body, time.Since(begin), want)
				}
			})
		}
	}
}
