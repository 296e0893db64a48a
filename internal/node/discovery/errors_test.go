package discovery

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"sloerail/internal/node/decode"
	"sloerail/internal/node/nodetest"
)

// A watch that brings no list names the replica, and its cause can be told apart.
func TestFailedWatchesNameTheReplicaAndTheCause(t *testing.T) {
	answer := func(body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(epochHeader, "1")
			_, _ = io.WriteString(w, body)
		}
	}
	for name, c := range map[string]struct {
		serve http.HandlerFunc // nil: nobody listens
		want  error
	}{
		"refused":   {nil, syscall.ECONNREFUSED},
		"silent":    {func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, ErrTimeout},
		"stale":     {answer(nodetest.ListChange(6)), ErrStaleReplica},
		"malformed": {answer(`{"members":[]}`), ErrMalformedList},
		"too long":  {answer(strings.Repeat(" ", maxListBytes+1)), ErrListTooLong},
	} {
		t.Run(name, func(t *testing.T) {
			nodetest.Bubble(t, func(t *testing.T) {
				addr := "127.0.0.1:9"
				if c.serve != nil {
					addr = nodetest.HTTPServer(t, c.serve)
				}
				d := NewClient(testClientConfig(t, addr), func(Update) {})
				defer d.http.CloseIdleConnections()
				_, err := d.watch(context.Background())
				var watch *WatchError
				if !errors.Is(err, c.want) || !errors.As(err, &watch) || watch.Address != addr {
					t.Errorf("got %v", err)
				}
				if field := (*decode.FieldError)(nil); name == "malformed" && (!errors.As(err, &field) || field.Field != "revision") {
					t.Errorf("%v doesn't give the field", err)
				}
			})
		})
	}
}

// Why a cached list is rejected can be told apart.
func TestRejectedCachedListsGiveTheCause(t *testing.T) {
	c := testClientConfig(t, "127.0.0.1:9")
	now := time.Now()
	whole := string(newListCache("any", c.Known).encode(now))
	for text, want := range map[string]error{
		"sloerail list 2 0\n{}": ErrCacheVersion,
		"":                      ErrCacheVersion,
		strings.Replace(whole, `"s0"`, `"s1"`, 1):                       ErrCacheChecksum,
		string(newListCache("any", c.Known).encode(now.Add(time.Hour))): ErrCacheAge,
	} {
		path := nodetest.WriteFile(t, text)
		if _, err := readCachedList(path, now); !errors.Is(err, want) {
			t.Errorf("%.40q: got %v, want %v", text, err, want)
		}
	}
}
