package node

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"sloerail/internal/node/http1"
	"sloerail/internal/node/nodetest"
)

// Guards against a long response that is cut off at its attempt's deadline, or of which something is held back, while its
// server pauses. The server sends each part only once the client has the whole part before.
func TestLongResponseIsPassedOnWhileItsServerPauses(t *testing.T) {
	t.Parallel()
	const chunked, sized, unsized = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n"
	type part struct {
		bytes  int    // of the body
		before string // sent before them
		after  string // sent after them
	}
	const start, middle, rest = 5000, 3000, 2 * http1.MaxBufferedBodyBytes
	for name, parts := range map[string][]part{
		"after a chunk": {{start, chunked + hexLine(start), "\r\n"}, {rest, hexLine(rest), "\r\n" + http1.LastChunk}},
		"in a chunk":    {{start, chunked + hexLine(start+middle+rest), ""}, {middle, "", ""}, {rest, "", "\r\n" + http1.LastChunk}},
		"in a chunk's size": {{start, chunked + hexLine(start), "\r\n" + hexLine(rest)[:1]}, {rest, hexLine(rest)[1:], "\r\n"},
			{middle, hexLine(middle), "\r\n0"}, {0, "\r\n\r\n", ""}},
		"after the head":     {{0, fmt.Sprintf(sized, middle+rest), ""}, {middle, "", ""}, {rest, "", ""}},
		"after a byte":       {{1, fmt.Sprintf(sized, 1+rest), ""}, {rest, "", ""}},
		"without any length": {{start, unsized, ""}, {middle, "", ""}, {rest, "", ""}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			received := make(chan struct{})
			body := randomBytes(start + middle + rest)
			server := nodetest.RawServer(t, func(c net.Conn, r *bufio.Reader) {
				if !nodetest.ReadRequest(r) {
					return
				}
				at := 0
				for _, p := range parts {
					_, _ = io.WriteString(c, p.before)
					_, _ = c.Write(body[at : at+p.bytes])
					_, _ = io.WriteString(c, p.after)
					at += p.bytes
					if _, ok := <-received; !ok {
						return
					}
				}
			})
			node, _ := startNode(t, testConfig(t, nodetest.KnownList(server)))
			defer close(received)
			c := newTestClient(t, node)
			c.send("POST", "pay", "r", "sum", "X-Deadline-Ms", "400")
			resp, err := http.ReadResponse(c.r, nil)
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Fatalf("got %v, error %v; want 200", resp, err)
			}
			at := 0
			for i, p := range parts {
				got := make([]byte, p.bytes)
				if n, err := io.ReadFull(resp.Body, got); err != nil || !bytes.Equal(got, body[at:at+p.bytes]) {
					t.Fatalf("part %d: got %d of %d bytes, error %v; want the server's bytes", i, n, p.bytes, err)
				}
				at += p.bytes
				received <- struct{}{}
			}
			if n, err := io.Copy(io.Discard, resp.Body); n != 0 || err != nil {
				t.Errorf("end of the response: got %d more bytes, error %v; want neither", n, err)
			}
		})
	}
}

// hexLine returns the line with the size of a chunk.
func hexLine(size int) string { return fmt.Sprintf("%x\r\n", size) }
