package node

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"sloerail/internal/node/http1"
	"sloerail/internal/node/nodetest"
	"sloerail/internal/node/upstream"
)

// Guards against a short response without a length whose end comes long after its client's time and is passed on as if it were
// in time. A long response, of which the first bytes are timed, passes.
func TestLateEndOfAShortResponseIsNotPassedOn(t *testing.T) {
	const deadline = 300 * time.Millisecond
	for name, c := range map[string]struct {
		size      int
		pause     time.Duration // before the last byte
		wantWhole bool
	}{
		"short, in time":               {2 * upstream.StreamStartBytes, deadline / 2, true},
		"short, late by less than 0.4": {2 * upstream.StreamStartBytes, deadline + 200*time.Millisecond, true},
		"short, late":                  {2 * upstream.StreamStartBytes, deadline + 700*time.Millisecond, false},
		"longest short one, late":      {http1.MaxBufferedBodyBytes, deadline + 700*time.Millisecond, false},
		"long, late":                   {http1.MaxBufferedBodyBytes + 1, deadline + 700*time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			nodetest.Bubble(t, func(t *testing.T) {
				body := randomBytes(c.size)
				server := nodetest.RawServer(t, func(conn net.Conn, r *bufio.Reader) {
					if nodetest.ReadRequest(r) {
						_, _ = io.WriteString(conn, "HTTP/1.0 200 OK\r\n\r\n")
						_, _ = conn.Write(body[:c.size-1])
						time.Sleep(c.pause)
						_, _ = conn.Write(body[c.size-1:])
					}
				})
				node, _ := startNode(t, testConfig(t, nodetest.KnownList(server)))
				resp, err := oneRequestClient(t).Do(clientRequest(t, node, "GET", "read", "r", "", "X-Deadline-Ms", "300"))
				if err != nil || resp.StatusCode != http.StatusOK {
					t.Fatalf("got %v, error %v; want 200", resp, err)
				}
				defer nodetest.CloseIgnoringClosed(t, resp.Body)
				got, err := io.ReadAll(resp.Body)
				if isWhole := err == nil && bytes.Equal(got, body); isWhole != c.wantWhole {
					t.Errorf("%d bytes of which the last comes after %v, for a client that waits %v: got %d bytes, error %v; want whole %t",
						c.size, c.pause, deadline, len(got), err, c.wantWhole)
				}
			})
		})
	}
}

// Guards against a long response that is cut off at its client's time, whatever came of it with the first read.
func TestLongResponseOutlastsItsClientsTime(t *testing.T) {
	const deadline, size = 300 * time.Millisecond, 2 * http1.MaxBufferedBodyBytes
	for name, c := range map[string]struct {
		head  string
		start int // bytes of the body that come in time
	}{
		"length, a byte":              {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size), 1},
		"length, the start of stream": {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size), upstream.StreamStartBytes},
		"length, more":                {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size), 2 * upstream.StreamStartBytes},
		"no length":                   {"HTTP/1.0 200 OK\r\n\r\n", upstream.StreamStartBytes},
		"no length, more":             {"HTTP/1.0 200 OK\r\n\r\n", 2 * upstream.StreamStartBytes},
	} {
		t.Run(name, func(t *testing.T) {
			nodetest.Bubble(t, func(t *testing.T) {
				body := randomBytes(size)
				server := nodetest.RawServer(t, func(conn net.Conn, r *bufio.Reader) {
					if nodetest.ReadRequest(r) {
						_, _ = io.WriteString(conn, c.head)
						time.Sleep(deadline / 3) // so that the body comes with a read of its own
						_, _ = conn.Write(body[:c.start])
						time.Sleep(2 * deadline)
						_, _ = conn.Write(body[c.start:])
					}
				})
				node, _ := startNode(t, testConfig(t, nodetest.KnownList(server)))
				resp, got := do(t, clientRequest(t, node, "GET", "read", "r", "", "X-Deadline-Ms", "300"))
				if resp.StatusCode != http.StatusOK || got != string(body) {
					t.Errorf("long response of which %d bytes come in time: got status %d and %d bytes, want 200 and the whole body",
						c.start, resp.StatusCode, len(got))
				}
			})
		})
	}
}

// Guards against a long response without a length that is cut off at its client's time because its body came so late that little
// of it had been given by then.
func TestLateStartOfALongResponseIsNotCutOff(t *testing.T) {
	const deadline, size, piece, interval = 2 * time.Second, 2 * http1.MaxBufferedBodyBytes, 500, 20 * time.Millisecond
	for name, ends := range map[string]bool{"goes on": false, "stops": true} {
		t.Run(name, func(t *testing.T) {
			nodetest.Bubble(t, func(t *testing.T) {
				body := randomBytes(size)
				server := nodetest.RawServer(t, func(conn net.Conn, r *bufio.Reader) {
					if !nodetest.ReadRequest(r) {
						return
					}
					_, _ = io.WriteString(conn, "HTTP/1.0 200 OK\r\n\r\n")
					time.Sleep(deadline - 100*time.Millisecond)
					for at := 0; at < size; at += piece {
						if _, err := conn.Write(body[at:min(at+piece, size)]); err != nil {
							return
						}
						time.Sleep(interval)
						if ends && at > upstream.StreamStartBytes/4 {
							_, _ = io.Copy(io.Discard, r) // until the close
							return
						}
					}
				})
				node, _ := startNode(t, testConfig(t, nodetest.KnownList(server)))
				begin := time.Now()
				resp, err := oneRequestClient(t).Do(clientRequest(t, node, "GET", "read", "r", "", "X-Deadline-Ms", "2000"))
				if err != nil || resp.StatusCode != http.StatusOK {
					t.Fatalf("got %v, error %v; want 200", resp, err)
				}
				defer nodetest.CloseIgnoringClosed(t, resp.Body)
				got, err := io.ReadAll(resp.Body)
				if !ends && (err != nil || !bytes.Equal(got, body)) {
					t.Errorf("server that goes on: got %d bytes, error %v; want all of %d", len(got), err, size)
				}
				if took := time.Since(begin); ends && (err == nil || took > deadline+500*time.Millisecond) {
					t.Errorf("server that stops: got %d bytes, error %v after %v; want an error within half a second of %v", len(got), err, took, deadline)
				}
			})
		})
	}
}
