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

// noise is n bytes that no two places share.
func noise(n int) []byte {
	b := make([]byte, n)
	_, _ = rand.NewChaCha8([32]byte{byte(n)}).Read(b)
	return b
}

// unsized hides the length of a body, so that it goes in chunks.
type unsized struct{ io.Reader }

// Bodies and answers of any size pass byte for byte, by length and by chunks, in whatever pieces.
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
		want := noise(size)
		for form, body := range map[string]io.Reader{
			"length": bytes.NewReader(want), "chunks": unsized{bytes.NewReader(want)},
			"halves": unsized{iotest.HalfReader(bytes.NewReader(want))},
		} {
			req := clientRequest(t, node, "POST", "pay", fmt.Sprint(form, size), "")
			req.Body = io.NopCloser(body)
			if req.ContentLength = -1; form == "length" {
				req.ContentLength = int64(size)
			}
			resp, got := do(t, req)
			if resp.StatusCode != http.StatusOK || sha256.Sum256([]byte(got)) != sha256.Sum256(want) {
				t.Errorf("%s of %d: status %d, %d bytes came back", form, size, resp.StatusCode, len(got))
			}
			if form == "length" && resp.ContentLength != int64(size) {
				t.Errorf("an answer of %d says %d", size, resp.ContentLength)
			}
		}
	}
}

// A small body or answer in single bytes is as good as one in a piece.
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
			t.Errorf("status %d, %q", resp.StatusCode, body)
		}
	})
}

// The first bytes of a long answer reach the client while the server still has others to give, and no
// deadline ends it from then on.
func TestLongAnswerPassesAsItComes(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		next := make(chan struct{})
		server := nodetest.HTTPServer(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", fmt.Sprint(upstream.StreamStartBytes+http1.MaxBufferedBodyBytes))
			_, _ = io.WriteString(w, strings.Repeat("a", upstream.StreamStartBytes))
			w.(http.Flusher).Flush()
			<-next
			_, _ = io.WriteString(w, strings.Repeat("b", http1.MaxBufferedBodyBytes))
		})
		node, _ := startNode(t, testConfig(t, nodetest.KnownList(server)))
		const wait = 300 * time.Millisecond
		resp, err := oneRequestClient(t).Do(clientRequest(t, node, "GET", "read", "r", "", "X-Deadline-Ms", fmt.Sprint(wait.Milliseconds())))
		if err != nil {
			t.Fatal(err)
		}
		defer nodetest.CloseOnce(t, resp.Body)
		first := make([]byte, upstream.StreamStartBytes)
		if _, err := io.ReadFull(resp.Body, first); err != nil || first[0] != 'a' {
			t.Fatalf("first bytes %q..., %v", first[:1], err)
		}
		time.AfterFunc(2*wait, func() { close(next) }) // beyond the time that the client would wait for a first byte
		rest, err := io.ReadAll(resp.Body)
		if err != nil || len(rest) != http1.MaxBufferedBodyBytes || rest[0] != 'b' {
			t.Errorf("%d bytes more, %v", len(rest), err)
		}
	})
}

// An answer that says it is long and breaks off at once was never begun: another server is tried.
func TestIncompleteResponseIsNotForwarded(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		spoilt := nodetest.RawServer(t, func(c net.Conn, r *bufio.Reader) {
			if nodetest.ReadRequest(r) {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nshort", 2*http1.MaxBufferedBodyBytes)
			}
		})
		good := nodetest.HTTPServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, "good") })
		node, _ := startNode(t, testConfig(t, nodetest.KnownList(spoilt, good)))
		if resp, body := do(t, clientRequest(t, node, "GET", "read", "r", "")); resp.StatusCode != http.StatusOK || body != "good" {
			t.Errorf("status %d, %d bytes", resp.StatusCode, len(body))
		}
	})
}

// A client can tell that an answer broke off, whatever the framing and however old its HTTP.
func TestClientCanTellABrokenAnswer(t *testing.T) {
	t.Parallel()
	part := strings.Repeat("x", http1.MaxBufferedBodyBytes+9)
	for name, head := range map[string]string{
		"length": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", 2*len(part), part),
		"chunks": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(part), part),
	} {
		server := nodetest.RawServer(t, func(c net.Conn, r *bufio.Reader) {
			if nodetest.ReadRequest(r) {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s", head)
			}
		})
		at := Listeners{Clients: nodetest.Listener(t), Control: nodetest.Listener(t)}
		node, _ := startNodeAt(t, testConfig(t, nodetest.KnownList(server)), at, nil)
		for _, proto := range []string{"1.0", "1.1"} {
			conn, err := net.Dial("tcp", node)
			if err != nil {
				t.Fatal(err)
			}
			defer nodetest.CloseOnce(t, conn)
			_, _ = fmt.Fprintf(conn, "GET /api HTTP/%s\r\nHost: a\r\nX-Request-Id: %s\r\nX-Class: read\r\nX-Tenant: t\r\n"+
				"X-Deadline-Ms: 8000\r\n\r\n", proto, name+proto)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadAll(resp.Body); err == nil {
				t.Errorf("%s, HTTP/%s: looks whole", name, proto)
			}
		}
		awaitStats(t, at.Control.Addr().String(), map[string]float64{
			`app_faulted_total{priority="read"}`: 2, `app_fulfilled_total{priority="read"}`: 0, "app_open_requests": 0})
	}
}

// An attempt that took part of what can't be written again is the last one; one that took nothing isn't.
func TestConsumedBodyIsNotSentAgain(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		for _, c := range []struct {
			name      string
			first     func(net.Conn, *bufio.Reader) // what the first connection does
			want, all int
		}{
			{"reset while it comes", func(c net.Conn, r *bufio.Reader) {
				_, _ = io.CopyN(io.Discard, r, downstream.UploadStartBytes+http1.MaxBufferedBodyBytes)
			}, http.StatusServiceUnavailable, 1},
			{"full after the last byte", func(c net.Conn, r *bufio.Reader) {
				if nodetest.ReadRequest(r) {
					_, _ = fmt.Fprint(c, "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
				}
			}, http.StatusServiceUnavailable, 1},
		} {
			var conns atomic.Int32
			server := nodetest.RawServer(t, func(conn net.Conn, r *bufio.Reader) {
				conns.Add(1)
				c.first(conn, r)
			})
			node, _ := startNode(t, testConfig(t, nodetest.KnownList(server, server)))
			resp, _ := do(t, clientRequest(t, node, "POST", "undo", "r", string(noise(1<<20))))
			if resp.StatusCode != c.want || int(conns.Load()) != c.all {
				t.Errorf("%s: status %d after %d attempts, want %d after %d", c.name, resp.StatusCode, conns.Load(), c.want, c.all)
			}
		}
		dead, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		nodetest.CloseOnce(t, dead)
		alive := nodetest.HTTPServer(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
		node, _ := startNode(t, testConfig(t, nodetest.KnownList(dead.Addr().String(), alive)))
		resp, _ := do(t, clientRequest(t, node, "POST", "undo", "again", string(noise(1<<20))))
		if resp.StatusCode != http.StatusOK {
			t.Errorf("nothing had left the node, and no other server was tried: status %d", resp.StatusCode)
		}
	})
}

// Over 32 MiB there is no server asked, or none that gets a whole request.
func TestTooLargeBodyIsRejected(t *testing.T) {
	t.Parallel()
	var whole atomic.Int32
	server := nodetest.HTTPServer(t, func(_ http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			whole.Add(1)
		}
	})
	node, _ := startNode(t, testConfig(t, nodetest.KnownList(server)))
	for _, length := range []int64{downstream.MaxBodyBytes + 1, -1} {
		req := clientRequest(t, node, "POST", "pay", fmt.Sprint("r", length), "")
		req.Body, req.ContentLength = io.NopCloser(io.LimitReader(zeros{}, downstream.MaxBodyBytes+1)), length
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatalf("length %d: %v", length, err)
		}
		nodetest.CloseOnce(t, resp.Body)
		if resp.StatusCode != http.StatusRequestEntityTooLarge {
			t.Errorf("length %d: status %d", length, resp.StatusCode)
		}
	}
	if n := whole.Load(); n != 0 {
		t.Errorf("%d reached the server whole", n)
	}
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// A body at 64 kB a second is served, though it takes longer than its client's deadline; one that stops
// ends, and its server hears of it.
func TestSlowBodyIsServedAndASilentOneTimesOut(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		server := nodetest.HTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
			n, _ := io.Copy(io.Discard, r.Body)
			_, _ = fmt.Fprint(w, n)
		})
		at := Listeners{Clients: nodetest.Listener(t), Control: nodetest.Listener(t)}
		node, _ := startNodeAt(t, testConfig(t, nodetest.KnownList(server)), at, nil)
		const size, step = 192_000, 6_400
		var both sync.WaitGroup
		both.Go(func() {
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
				nodetest.CloseOnce(t, out)
			}()
			if resp, got := do(t, req); resp.StatusCode != http.StatusOK || got != fmt.Sprint(size) {
				t.Errorf("slow: status %d, %q", resp.StatusCode, got)
			}
		})
		both.Go(func() {
			conn := nodetest.Dial(t, node)
			defer nodetest.CloseOnce(t, conn)
			began := time.Now()
			_, _ = fmt.Fprintf(conn, "POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: silent\r\nX-Class: pay\r\nX-Tenant: t\r\n"+
				"X-Deadline-Ms: 8000\r\nContent-Length: %d\r\n\r\n%s", size, make([]byte, downstream.UploadStartBytes+1))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || resp.StatusCode != http.StatusRequestTimeout || time.Since(began) > 3*time.Second {
				t.Errorf("silent: %v, %v after %v", resp, err, time.Since(began))
			}
		})
		both.Wait()
		awaitStats(t, at.Control.Addr().String(), map[string]float64{"app_open_requests": 0})
	})
}

// Many long answers to clients that don't read leave the node its memory and its other clients.
func TestStalledReadersHoldLittleMemory(t *testing.T) {
	t.Parallel()
	const answers = 40
	long := noise(4 << 20)
	var given atomic.Int64
	server := nodetest.HTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Request-Id") == "small" {
			return
		}
		w.Header().Set("Content-Length", fmt.Sprint(len(long)))
		for at := 0; at < len(long); at += http1.CopyBufferBytes {
			if _, err := w.Write(long[at : at+http1.CopyBufferBytes]); err != nil {
				return
			}
			given.Add(http1.CopyBufferBytes)
		}
	})
	node, _ := startNode(t, testConfig(t, nodetest.KnownList(server)))
	for i := range answers {
		conn, err := net.Dial("tcp", node)
		if err != nil {
			t.Fatal(err)
		}
		defer nodetest.CloseOnce(t, conn)
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
		t.Errorf("another client got %d", resp.StatusCode)
	}
	if all := int64(answers * len(long)); given.Load() >= all {
		t.Error("the answers were taken whole, though nobody reads them")
	}
}

// An answer that ends with its connection is whole, short or long.
func TestResponseEndingWithItsConnectionPasses(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		for _, size := range []int{5, 3 * http1.MaxBufferedBodyBytes} {
			want := noise(size)
			server := nodetest.RawServer(t, func(c net.Conn, r *bufio.Reader) {
				if nodetest.ReadRequest(r) {
					_, _ = io.WriteString(c, "HTTP/1.0 200 OK\r\n\r\n")
					_, _ = c.Write(want)
				}
			})
			node, _ := startNode(t, testConfig(t, nodetest.KnownList(server)))
			for i := range 2 { // the connection is of no further use
				resp, got := do(t, clientRequest(t, node, "GET", "read", fmt.Sprint("r", i), ""))
				if resp.StatusCode != http.StatusOK || got != string(want) {
					t.Errorf("%d bytes: status %d, %d bytes came back", size, resp.StatusCode, len(got))
				}
			}
		}
	})
}

// A client that waits to be told to send its body is told so only if the body is wanted.
func TestExpectedContinueComesOnlyWhereWanted(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		server := nodetest.HTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
			n, _ := io.Copy(io.Discard, r.Body)
			_, _ = fmt.Fprint(w, n)
		})
		node, _ := startNode(t, testConfig(t, nodetest.KnownList(server)))
		for _, c := range []struct{ class, length, first string }{
			{"pay", "3", " 100 "}, {"pay", fmt.Sprint(downstream.MaxBodyBytes + 1), " 413 "}, {"unknown", "3", " 400 "},
		} {
			conn := nodetest.Dial(t, node)
			defer nodetest.CloseOnce(t, conn)
			_, _ = fmt.Fprintf(conn, "POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: e%s%s\r\nX-Class: %s\r\nX-Tenant: t\r\nX-Deadline-Ms: 8000\r\n"+
				"Expect: 100-continue\r\nContent-Length: %s\r\n\r\n", c.class, c.length, c.class, c.length)
			r := bufio.NewReader(conn)
			first, err := r.ReadString('\n')
			if err != nil || !strings.Contains(first, c.first) {
				t.Errorf("%s, length %s: got %q, %v", c.class, c.length, first, err)
			}
			if c.first != " 100 " {
				continue
			}
			_, _ = io.WriteString(conn, "sum")
			_, _ = r.ReadString('\n')
			resp, err := http.ReadResponse(r, nil)
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Errorf("after the body: %v, %v", resp, err)
			}
		}
	})
}
