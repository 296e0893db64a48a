package node

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"sloerail/internal/node/downstream"
	"sloerail/internal/node/http1"
	"sloerail/internal/node/nodetest"
)

// lastWriteConn is a connection to a server. The write of a request's last part, which ends with suffix, returns only when
// the node closes the connection: the node has read the end of the connection before.
type lastWriteConn struct {
	net.Conn
	suffix     string
	writeFirst bool          // the last part is written before the wait, not after it
	began      chan<- string // receives a value when the last part is to be written
	closing    chan struct{} // closed by Close

	mu        sync.Mutex // held during the last write
	closeOnce sync.Once
}

func (c *lastWriteConn) Write(p []byte) (int, error) {
	if !bytes.HasSuffix(p, []byte(c.suffix)) {
		return c.Conn.Write(p)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeFirst {
		defer func() { <-c.closing }()
		return c.Conn.Write(p)
	}
	c.began <- c.suffix
	<-c.closing
	return c.Conn.Write(p)
}

func (c *lastWriteConn) Close() error {
	c.closeOnce.Do(func() { close(c.closing) })
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Conn.Close()
}

// Guards against a request that has run and is refused as safe to repeat, because the end of its connection was noticed
// before the write of its last byte had returned. Framed with a length and with chunks, the connection is reset once the
// server has begun the request, or the server stops sending while the last byte is still being written.
func TestRequestWhoseLastByteWasWrittenIsNotRefused(t *testing.T) {
	t.Parallel()
	const bodyEnd = "the end"
	body := strings.Repeat("b", downstream.UploadStartBytes+http1.MaxBufferedBodyBytes) + bodyEnd
	for _, chunked := range []bool{false, true} {
		for _, writeFirst := range []bool{false, true} {
			name := fmt.Sprintf("chunked %v, written before the end is noticed %v", chunked, writeFirst)
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				began := make(chan string, 1)
				var run atomic.Int32
				server := nodetest.RawServer(t, func(c net.Conn, r *bufio.Reader) {
					if !writeFirst {
						go func() {
							<-began
							_ = c.(*net.TCPConn).CloseWrite() // fails only on a closed connection
						}()
					}
					if nodetest.ReadRequest(r) {
						run.Add(1)
						_ = c.(*net.TCPConn).SetLinger(0) // the close resets the connection
					}
				})
				config := testConfig(t, nodetest.KnownList(server))
				config.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
					c, err := new(net.Dialer).DialContext(ctx, network, address)
					if err != nil || address != server {
						return c, err
					}
					last := &lastWriteConn{Conn: c, suffix: bodyEnd, writeFirst: writeFirst, began: began, closing: make(chan struct{})}
					if chunked {
						last.suffix = http1.LastChunk
					}
					return last, nil
				}
				node, _ := startNode(t, config)
				req := clientRequest(t, node, "POST", "pay", "r", body)
				if chunked {
					req.Body, req.ContentLength = io.NopCloser(unsizedReader{strings.NewReader(body)}), -1
				}
				resp, _ := do(t, req)
				nodetest.Await(t, "the server to run the request", func() bool { return run.Load() > 0 })
				if resp.StatusCode != http.StatusBadGateway || run.Load() != 1 {
					t.Errorf("a request that ran %d times: got status %d, want 502 for one that ran once", run.Load(), resp.StatusCode)
				}
			})
		}
	}
}
