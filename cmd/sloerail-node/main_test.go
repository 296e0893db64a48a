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

// long is more than any step takes; nothing waits for it unless the test fails.
const long = 30 * time.Second

func await(t *testing.T, what string, from <-chan struct{}) {
	t.Helper()
	select {
	case <-from:
	case <-time.After(long):
		t.Fatalf("waited in vain for %s", what)
	}
}

// registry holds each call until the caller hangs up.
func registry(t *testing.T) (addr string, called <-chan struct{}) {
	t.Helper()
	calls := make(chan struct{}, 100)
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		calls <- struct{}{}
		<-r.Context().Done()
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), calls
}

// On SIGHUP the node takes discovery's address from the changed file, also where ROUTER_DISCOVERY
// named the old one; a file that makes no sense changes nothing, and neither ends the node.
func TestHangupMovesDiscovery(t *testing.T) {
	before, calledBefore := registry(t)
	after, calledAfter := registry(t)
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
	write(before)
	t.Setenv("ROUTER_CONFIG", path)
	t.Setenv("ROUTER_DISCOVERY", before)
	ended := make(chan struct{})
	var err error
	go func() { err = run(); close(ended) }()
	await(t, "a call to the first address", calledBefore)
	write("nowhere")
	hangup()
	write(after)
	hangup()
	await(t, "a call to the second address", calledAfter)
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if await(t, "the node's end", ended); err != nil {
		t.Error(err)
	}
}

// An address for operators that can't be had is a failed start, and says so in one line.
func TestControlAddressInUse(t *testing.T) {
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
			t.Errorf("%s: got %v", addr, err)
		}
	}
}
