// Package nodetest has helpers for the tests of a node: servers, waiting, and an in-memory network for tests in virtual
// time.
package nodetest

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"
)

// Timeout bounds each wait of a test. It is longer than any step takes, so only a failing test reaches it.
const Timeout = 30 * time.Second

// HTTPServer starts an HTTP server on the test's network and returns its address. The server runs until the test ends.
func HTTPServer(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	ln := Listener(t)
	s := &http.Server{Handler: h, ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug)}
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { CloseIgnoringClosed(t, s) })
	return ln.Addr().String()
}

// Listener returns a listener on the in-memory network in a Bubble, on a loopback port otherwise. The listener is closed
// when the test ends.
func Listener(t testing.TB) net.Listener {
	t.Helper()
	if n, ok := memNets.Load(t); ok {
		ln := n.(*memNet).listen()
		t.Cleanup(func() { CloseIgnoringClosed(t, ln) })
		return ln
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { CloseIgnoringClosed(t, ln) })
	return ln
}

// CloseOnCleanup closes closers when the test ends. The test may close them earlier.
func CloseOnCleanup(t testing.TB, closers ...io.Closer) {
	t.Helper()
	for _, c := range closers {
		t.Cleanup(func() { CloseIgnoringClosed(t, c) })
	}
}

// CloseIgnoringClosed closes c, and ignores the error if c is already closed.
func CloseIgnoringClosed(t testing.TB, c io.Closer) {
	t.Helper()
	if err := c.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		t.Error(err)
	}
}

// Await polls until condition holds, and fails the test if it doesn't within Timeout.
func Await(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(Timeout); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// Receive returns the next value of ch, and fails the test if none arrives within Timeout.
func Receive[T any](t *testing.T, what string, ch <-chan T) T {
	t.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(Timeout):
		t.Fatalf("timed out waiting for %s", what)
		panic("unreachable")
	}
}

// Close closes c, and fails the test on any error, also if c is already closed.
func Close(t testing.TB, c io.Closer) {
	t.Helper()
	if err := c.Close(); err != nil {
		t.Error(err)
	}
}
