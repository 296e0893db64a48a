package node

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"sloerail/internal/node/downstream"
	"sloerail/internal/node/http1"
	"sloerail/internal/node/nodetest"
	"sloerail/internal/node/upstream"
)

// randomBytes returns n pseudo-random bytes, the same for each call with n.
func randomBytes(n int) []byte {
	b := make([]byte, n)
	_, _ = rand.NewChaCha8([32]byte{byte(n)}).Read(b)
	return b
}

// unsizedReader hides the length of a body, so that it is sent in chunks.
type unsizedReader struct{ io.Reader }

// Request and response bodies of any size pass unchanged, with Content-Length and chunked, in pieces of any size.
func TestLargeBodiesPassUnchanged(t *testing.T) {
	t.Parallel()
	server := nodetest.HTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		if r.Header.Get("X-Request-Id")[0] == 'l' {
			w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		}
		_, _ = w.Write(body)
	})
	node, _ := startNode(t, testConfig(t, nodetest.KnownList(server)))
	for _, size := range []int{0, 1, http1.MaxBufferedBodyBytes - 1, http1.MaxBufferedBodyBytes, http1.MaxBufferedBodyBytes + 1, 3 << 20} {
		want := randomBytes(size)
		for framing, body := range map[string]io.Reader{
			"length": bytes.NewReader(want), "chunks": unsizedReader{bytes.NewReader(want)},
			"halves": unsizedReader{iotest.HalfReader(bytes.NewReader(want))},
		} {
			req := clientRequest(t, node, "POST", "pay", fmt.Sprint(framing, size), "")
			req.Body = io.NopCloser(body)
			if req.ContentLength = -1; framing == "length" {
				req.ContentLength = int64(size)
			}
			resp, got := do(t, req)
			if resp.StatusCode != http.StatusOK || sha256.Sum256([]byte(got)) != sha256.Sum256(want) {
				t.Errorf("%s, %d bytes: status %d, want 200 and the same body; got %d bytes", framing, size, resp.StatusCode, len(got))
			}
			if framing == "length" && resp.ContentLength != int64(size) {
				t.Errorf("response of %d bytes: Content-Length %d, want its number of bytes", size, resp.ContentLength)
			}
		}
	}
}

// A small request body or response that arrives byte by byte is forwarded like one that arrives at once.
func TestSingleBytesPass(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		server := nodetest.RawServer(t, func(c net.Conn, r *bufio.Reader) {
			if !nodetest.ReadRequest(r) {
				return
			}
			for _, b := range []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\ny\r\n2\r\nes\r\n0\r\n\r\n") {
				_, _ = c.Write([]byte{b})
			}
		})
		node, _ := startNode(t, testConfig(t, nodetest.KnownList(server)))
		req := clientRequest(t, node, "POST", "pay", "r", "")
		req.Body, req.ContentLength = io.NopCloser(iotest.OneByteReader(strings.NewReader("sum"))), -1
		if resp, body := do(t, req); resp.StatusCode != http.StatusOK || body != "yes" {
			t.Errorf("got status %d, body %q; want 200, yes", resp.StatusCode, body)
		}
	})
}

// The first bytes of a long response reach the client while the server still sends, and the request's deadline no longer
// applies from then on.
func TestLongResponseIsStreamed(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		resume := make(chan struct{})
		server := nodetest.HTTPServer(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", fmt.Sprint(upstream.StreamStartBytes+http1.MaxBufferedBodyBytes))
			_, _ = io.WriteString(w, strings.Repeat("a", upstream.StreamStartBytes))
			w.(http.Flusher).Flush()
			<-resume
			_, _ = io.WriteString(w, strings.Repeat("b", http1.MaxBufferedBodyBytes))
		})
		node, _ := startNode(t, testConfig(t, nodetest.KnownList(server)))
		const deadline = 300 * time.Millisecond
		resp, err := oneRequestClient(t).Do(clientRequest(t, node, "GET", "read", "r", "", "X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds())))
		if err != nil {
			t.Fatal(err)
		}
		defer nodetest.CloseIgnoringClosed(t, resp.Body)
		first := make([]byte, upstream.StreamStartBytes)
		if _, err := io.ReadFull(resp.Body, first); err != nil || first[0] != 'a' {
			t.Fatalf("start of the response: got %q..., error %v; want the first part of the body", first[:1], err)
		}
		time.AfterFunc(2*deadline, func() { close(resume) }) // after the request's deadline
		rest, err := io.ReadAll(resp.Body)
		if err != nil || len(rest) != http1.MaxBufferedBodyBytes || rest[0] != 'b' {
			t.Errorf("rest of the response: got %d bytes, error %v; want the whole second part", len(rest), err)
		}
	})
}

// If a long response breaks off before StreamStartBytes, the client has received none of it, and the node tries another
// server.
func TestIncompleteResponseIsNotForwarded(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		incomplete := nodetest.RawServer(t, func(c net.Conn, r *bufio.Reader) {
			if nodetest.ReadRequest(r) {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nshort", 2*http1.MaxBufferedBodyBytes)
			}
		})
		complete := nodetest.HTTPServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, "good") })
		node, _ := startNode(t, testConfig(t, nodetest.KnownList(incomplete, complete)))
		if resp, body := do(t, clientRequest(t, node, "GET", "read", "r", "")); resp.StatusCode != http.StatusOK || body != "good" {
			t.Errorf("got status %d, body of %d bytes; want 200 and the body of the other server", resp.StatusCode, len(body))
		}
	})
}

// A client sees an error when a response breaks off, whatever its framing, over HTTP/1.0 and HTTP/1.1.
func TestClientSeesBrokenOffResponse(t *testing.T) {
	t.Parallel()
	partialBody := strings.Repeat("x", http1.MaxBufferedBodyBytes+9)
	for name, response := range map[string]string{
		"length": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", 2*len(partialBody), partialBody),
		"chunks": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(partialBody), partialBody),
	} {
		server := nodetest.RawServer(t, func(c net.Conn, r *bufio.Reader) {
			if nodetest.ReadRequest(r) {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s", response)
			}
		})
		at := Listeners{Clients: nodetest.Listener(t), Control: nodetest.Listener(t)}
		node, _ := startNodeAt(t, testConfig(t, nodetest.KnownList(server)), at, nil)
		for _, proto := range []string{"1.0", "1.1"} {
			conn, err := net.Dial("tcp", node)
			if err != nil {
				t.Fatal(err)
			}
			defer nodetest.CloseIgnoringClosed(t, conn)
			_, _ = fmt.Fprintf(conn, "GET /api HTTP/%s\r\nHost: a\r\nX-Request-Id: %s\r\nX-Class: read\r\nX-Tenant: t\r\n"+
				"X-Deadline-Ms: 8000\r\n\r\n", proto, name+proto)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadAll(resp.Body); err == nil {
				t.Errorf("%s, HTTP/%s: a broken-off response was read without error", name, proto)
			}
		}
		awaitStats(t, at.Control.Addr().String(), map[string]float64{
			`app_faulted_total{priority="read"}`: 2, `app_fulfilled_total{priority="read"}`: 0, "app_open_requests": 0})
	}
}

// A request whose streamed body was consumed, wholly or in part, is not tried again, since the consumed bytes can't be
// sent again. It is tried again if nothing of the body was consumed.
func TestConsumedBodyIsNotSentAgain(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		for _, c := range []struct {
			name                     string
			serve                    func(net.Conn, *bufio.Reader) // serves each connection
			wantStatus, wantAttempts int
		}{
			{"reset during the body", func(c net.Conn, r *bufio.Reader) {
				_, _ = io.CopyN(io.Discard, r, downstream.UploadStartBytes+http1.MaxBufferedBodyBytes)
			}, http.StatusServiceUnavailable, 1},
			{"rejected after the whole body", func(c net.Conn, r *bufio.Reader) {
				if nodetest.ReadRequest(r) {
					_, _ = fmt.Fprint(c, "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
				}
			}, http.StatusServiceUnavailable, 1},
		} {
			var conns atomic.Int32
			server := nodetest.RawServer(t, func(conn net.Conn, r *bufio.Reader) {
				conns.Add(1)
				c.serve(conn, r)
			})
			node, _ := startNode(t, testConfig(t, nodetest.KnownList(server, server)))
			resp, _ := do(t, clientRequest(t, node, "POST", "undo", "r", string(randomBytes(1<<20))))
			if resp.StatusCode != c.wantStatus || int(conns.Load()) != c.wantAttempts {
				t.Errorf("%s: status %d after %d attempts, want %d after %d", c.name, resp.StatusCode, conns.Load(),
					c.wantStatus, c.wantAttempts)
			}
		}
		closed, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		nodetest.CloseIgnoringClosed(t, closed)
		alive := nodetest.HTTPServer(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
		node, _ := startNode(t, testConfig(t, nodetest.KnownList(closed.Addr().String(), alive)))
		resp, _ := do(t, clientRequest(t, node, "POST", "undo", "again", string(randomBytes(1<<20))))
		if resp.StatusCode != http.StatusOK {
			t.Errorf("first server refuses the connection: status %d, want 200 from the other server", resp.StatusCode)
		}
	})
}

// A body over 32 MiB is rejected with 413, and no server gets a complete request.
func TestTooLargeBodyIsRejected(t *testing.T) {
	t.Parallel()
	var complete atomic.Int32
	server := nodetest.HTTPServer(t, func(_ http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			complete.Add(1)
		}
	})
	node, _ := startNode(t, testConfig(t, nodetest.KnownList(server)))
	for _, length := range []int64{downstream.MaxBodyBytes + 1, -1} {
		req := clientRequest(t, node, "POST", "pay", fmt.Sprint("r", length), "")
		req.Body, req.ContentLength = io.NopCloser(io.LimitReader(zeroReader{}, downstream.MaxBodyBytes+1)), length
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatalf("Content-Length %d: %v", length, err)
		}
		nodetest.CloseIgnoringClosed(t, resp.Body)
		if resp.StatusCode != http.StatusRequestEntityTooLarge {
			t.Errorf("Content-Length %d: status %d, want 413", length, resp.StatusCode)
		}
	}
	if n := complete.Load(); n != 0 {
		t.Errorf("too large requests of which the server read the whole body: got %d, want 0", n)
	}
}

type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// A request whose body arrives at 64 kB/s is served, although that takes longer than the request's deadline. A request
// whose body stalls gets 408 within 3 s and is then no longer open.
func TestSlowBodyIsServedAndStalledBodyTimesOut(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		server := nodetest.HTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
			n, _ := io.Copy(io.Discard, r.Body)
			_, _ = fmt.Fprint(w, n)
		})
		at := Listeners{Clients: nodetest.Listener(t), Control: nodetest.Listener(t)}
		node, _ := startNodeAt(t, testConfig(t, nodetest.KnownList(server)), at, nil)
		const size, step = 192_000, 6_400
		var wg sync.WaitGroup
		wg.Go(func() {
			req := clientRequest(t, node, "POST", "pay", "slow", "", "X-Deadline-Ms", "1000")
			body, out := io.Pipe()
			req.Body, req.ContentLength = body, size
			go func() {
				tick := time.NewTicker(time.Second * step / 64_000)
				defer tick.Stop()
				for range size / step {
					<-tick.C
					if _, err := out.Write(make([]byte, step)); err != nil {
						return
					}
				}
				nodetest.CloseIgnoringClosed(t, out)
			}()
			if resp, got := do(t, req); resp.StatusCode != http.StatusOK || got != fmt.Sprint(size) {
				t.Errorf("slow body: got status %d, %q; want 200 and the length of the body", resp.StatusCode, got)
			}
		})
		wg.Go(func() {
			conn := nodetest.Dial(t, node)
			defer nodetest.CloseIgnoringClosed(t, conn)
			start := time.Now()
			_, _ = fmt.Fprintf(conn, "POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: silent\r\nX-Class: pay\r\nX-Tenant: t\r\n"+
				"X-Deadline-Ms: 8000\r\nContent-Length: %d\r\n\r\n%s", size, make([]byte, downstream.UploadStartBytes+1))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || resp.StatusCode != http.StatusRequestTimeout || time.Since(start) > 3*time.Second {
				t.Errorf("stalled body: got %v, error %v after %v; want 408 within 3s", resp, err, time.Since(start))
			}
		})
		wg.Wait()
		awaitStats(t, at.Control.Addr().String(), map[string]float64{"app_open_requests": 0})
	})
}

// The node doesn't accept all responses in full while their clients don't read, and serves other clients meanwhile.
func TestStalledReadersHoldLittleMemory(t *testing.T) {
	t.Parallel()
	const responses = 40
	large := randomBytes(4 << 20)
	var written atomic.Int64
	server := nodetest.HTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Request-Id") == "small" {
			return
		}
		w.Header().Set("Content-Length", fmt.Sprint(len(large)))
		for at := 0; at < len(large); at += http1.CopyBufferBytes {
			if _, err := w.Write(large[at : at+http1.CopyBufferBytes]); err != nil {
				return
			}
			written.Add(http1.CopyBufferBytes)
		}
	})
	node, _ := startNode(t, testConfig(t, nodetest.KnownList(server)))
	for i := range responses {
		conn, err := net.Dial("tcp", node)
		if err != nil {
			t.Fatal(err)
		}
		defer nodetest.CloseIgnoringClosed(t, conn)
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		if err := clientRequest(t, node, "GET", "read", fmt.Sprint("r", i), "").Write(conn); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(conn, make([]byte, 9)); err != nil {
			t.Fatal(err)
		}
	}
	resp, _ := do(t, clientRequest(t, node, "GET", "read", "small", ""))
	if resp.StatusCode != http.StatusOK {
		t.Errorf("another client: status %d, want 200", resp.StatusCode)
	}
	if total := int64(responses * len(large)); written.Load() >= total {
		t.Error("the node took all bytes of the responses, though no client reads them")
	}
}

// A response without a length, which ends when the server closes the connection, is forwarded whole, short or long.
func TestResponseEndingWithItsConnectionPasses(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		for _, size := range []int{5, 3 * http1.MaxBufferedBodyBytes} {
			want := randomBytes(size)
			server := nodetest.RawServer(t, func(c net.Conn, r *bufio.Reader) {
				if nodetest.ReadRequest(r) {
					_, _ = io.WriteString(c, "HTTP/1.0 200 OK\r\n\r\n")
					_, _ = c.Write(want)
				}
			})
			node, _ := startNode(t, testConfig(t, nodetest.KnownList(server)))
			for i := range 2 { // the second request needs a new connection
				resp, got := do(t, clientRequest(t, node, "GET", "read", fmt.Sprint("r", i), ""))
				if resp.StatusCode != http.StatusOK || got != string(want) {
					t.Errorf("response of %d bytes: status %d, want 200 and the same body; got %d bytes", size, resp.StatusCode, len(got))
				}
			}
		}
	})
}

// A client that sends Expect: 100-continue gets 100 only if its request is accepted, else the final status.
func TestContinueIsSentOnlyForAcceptedRequests(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		server := nodetest.HTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
			n, _ := io.Copy(io.Discard, r.Body)
			_, _ = fmt.Fprint(w, n)
		})
		node, _ := startNode(t, testConfig(t, nodetest.KnownList(server)))
		for _, c := range []struct{ class, length, wantStatus string }{
			{"pay", "3", " 100 "}, {"pay", fmt.Sprint(downstream.MaxBodyBytes + 1), " 413 "}, {"unknown", "3", " 400 "},
		} {
			conn := nodetest.Dial(t, node)
			defer nodetest.CloseIgnoringClosed(t, conn)
			_, _ = fmt.Fprintf(conn, "POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: e%s%s\r\nX-Class: %s\r\nX-Tenant: t\r\nX-Deadline-Ms: 8000\r\n"+
				"Expect: 100-continue\r\nContent-Length: %s\r\n\r\n", c.class, c.length, c.class, c.length)
			r := bufio.NewReader(conn)
			statusLine, err := r.ReadString('\n')
			if err != nil || !strings.Contains(statusLine, c.wantStatus) {
				t.Errorf("class %s, Content-Length %s: got %q, error %v; want status%s", c.class, c.length,
					statusLine, err, c.wantStatus)
			}
			if c.wantStatus != " 100 " {
				continue
			}
			_, _ = io.WriteString(conn, "sum")
			_, _ = r.ReadString('\n')
			resp, err := http.ReadResponse(r, nil)
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Errorf("response after the body: got %v, error %v; want 200", resp, err)
			}
		}
	})
}
