// Package nodetest helps the tests of a node: servers, waiting, and a network in memory for tests in virtual time.
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

// Timeout is more than any step of a test takes; nothing waits for it unless the test fails.
const Timeout = 30 * time.Second

// HTTPServer serves on the test's network until the test ends, and returns its address.
func HTTPServer(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	ln := Listener(t)
	s := &http.Server{Handler: h, ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug)}
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { CloseOnce(t, s) })
	return ln.Addr().String()
}

// Listener listens on the test's network until the test ends.
func Listener(t testing.TB) net.Listener {
	t.Helper()
	if n, ok := memNets.Load(t); ok {
		ln := n.(*memNet).listen()
		t.Cleanup(func() { CloseOnce(t, ln) })
		return ln
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { CloseOnce(t, ln) })
	return ln
}

// CloseAtEnd closes what the test uses when it ends, also where the test closed it before.
func CloseAtEnd(t testing.TB, all ...io.Closer) {
	t.Helper()
	for _, c := range all {
		t.Cleanup(func() { CloseOnce(t, c) })
	}
}

// CloseOnce closes c, which the test may have closed before.
func CloseOnce(t testing.TB, c io.Closer) {
	t.Helper()
	if err := c.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		t.Error(err)
	}
}

// Await polls until ok holds, and fails the test if it doesn't within Timeout.
func Await(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(Timeout); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain for %s", what)
		}
	}
}

// Receive waits for a value, and fails the test if none comes within Timeout.
func Receive[T any](t *testing.T, what string, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(Timeout):
		t.Fatalf("waited in vain for %s", what)
		panic("unreachable")
	}
}

// Close closes c, which has to be open.
func Close(t testing.TB, c io.Closer) {
	t.Helper()
	if err := c.Close(); err != nil {
		t.Error(err)
	}
}
