package nodetest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
)

// RawServer starts a server that calls serve for each connection, and returns its address. The server runs until the
// test ends.
func RawServer(t *testing.T, serve func(net.Conn, *bufio.Reader)) string {
	t.Helper()
	ln := Listener(t)
	go AcceptRaw(ln, serve)
	return ln.Addr().String()
}

// AcceptRaw calls serve for each connection accepted from ln, until ln is closed.
func AcceptRaw(ln net.Listener, serve func(net.Conn, *bufio.Reader)) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }() // serve may have closed it
			serve(c, bufio.NewReader(c))
		}()
	}
}

// ReadRequest reads and discards a request with its body, and reports whether it was complete.
func ReadRequest(r *bufio.Reader) bool {
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, req.Body)
	return err == nil
}

// HoldingServer starts a server that reads each request completely, sends the request's ID to received, and withholds
// the response until the test calls release.
func HoldingServer(t *testing.T) (addr string, received <-chan string, release func()) {
	t.Helper()
	ids, released := make(chan string, 100), make(chan struct{})
	release = sync.OnceFunc(func() { close(released) })
	addr = HTTPServer(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		ids <- r.Header.Get("X-Request-Id")
		select {
		case <-released:
		case <-r.Context().Done():
		}
	})
	t.Cleanup(release)
	return addr, ids, release
}
