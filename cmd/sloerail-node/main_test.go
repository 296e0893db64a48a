package main

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"sloerail/internal/node/nodetest"
)

// testTimeout is longer than any step of a test takes, and is reached only if the test fails.
const testTimeout = 30 * time.Second

func await(t *testing.T, what string, ch <-chan struct{}) {
	t.Helper()
	select {
	case <-ch:
	case <-time.After(testTimeout):
		t.Fatalf("timed out waiting for %s", what)
	}
}

// newBlockingRegistry starts a registry that holds each call until the caller disconnects. The channel called gets a value
// for each call.
func newBlockingRegistry(t *testing.T) (addr string, called <-chan struct{}) {
	t.Helper()
	calls := make(chan struct{}, 100)
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		calls <- struct{}{}
		<-r.Context().Done()
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), calls
}

// On SIGHUP the node takes the discovery address from the changed file, even if ROUTER_DISCOVERY names the old one. An
// invalid file changes nothing. The node keeps running after both reloads.
func TestHangupChangesDiscoveryAddress(t *testing.T) {
	oldAddr, oldCalled := newBlockingRegistry(t)
	newAddr, newCalled := newBlockingRegistry(t)
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(discovery string) {
		text := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"1f",
			"limits":{"cores":1,"memory_mb":64,"sockets":256},
			"known":{"revision":7,"complete":true,"members":[]},
			"settings":{"position":0,"groupSize":1,"services":[{"name":"x","deadline":600,"repeat":"free"}]}}`, discovery)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	hangup := func() {
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	write(oldAddr)
	t.Setenv("ROUTER_CONFIG", path)
	t.Setenv("ROUTER_DISCOVERY", oldAddr)
	done := make(chan struct{})
	var err error
	go func() { err = run(); close(done) }()
	await(t, "a call to the old discovery address", oldCalled)
	write("nowhere")
	hangup()
	write(newAddr)
	hangup()
	await(t, "a call to the new discovery address", newCalled)
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if await(t, "the node to stop", done); err != nil {
		t.Error(err)
	}
}

// If the control address can't be bound, the node doesn't start, and the error has one line.
func TestUnusableControlAddressFailsStart(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer nodetest.Close(t, taken)
	path := filepath.Join(t.TempDir(), "config.json")
	text := `{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"1f",
		"limits":{"cores":1,"memory_mb":64,"sockets":256},"known":{"revision":7,"complete":true,"members":[]},
		"settings":{"position":0,"groupSize":1,"services":[{"name":"x","deadline":600,"repeat":"free"}]}}`
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("ROUTER_CONFIG", path)
	for _, addr := range []string{taken.Addr().String(), "nowhere"} {
		t.Setenv("ROUTER_CONTROL", addr)
		if err := run(); err == nil || !strings.Contains(err.Error(), "control: ") || strings.Contains(err.Error(), "\n") {
			t.Errorf("control address %s: got error %v, want one line that contains 'control: '", addr, err)
		}
	}
}
