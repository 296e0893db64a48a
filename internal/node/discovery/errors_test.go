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

// The error of a failed watch names the replica, and errors.Is finds the cause.
func TestWatchErrorNamesReplicaAndCause(t *testing.T) {
	respond := func(body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(epochHeader, "1")
			_, _ = io.WriteString(w, body)
		}
	}
	for name, c := range map[string]struct {
		serve http.HandlerFunc // nil if nothing listens
		want  error
	}{
		"refused":   {nil, syscall.ECONNREFUSED},
		"silent":    {func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, ErrTimeout},
		"stale":     {respond(nodetest.ListChange(6)), ErrStaleReplica},
		"malformed": {respond(`{"members":[]}`), ErrMalformedList},
		"too long":  {respond(strings.Repeat(" ", maxListBytes+1)), ErrListTooLong},
	} {
		t.Run(name, func(t *testing.T) {
			nodetest.Bubble(t, func(t *testing.T) {
				addr := "127.0.0.1:9"
				if c.serve != nil {
					addr = nodetest.HTTPServer(t, c.serve)
				}
				client := NewClient(testClientConfig(t, addr), func(Update) {})
				defer client.http.CloseIdleConnections()
				_, err := client.watch(context.Background())
				var watchErr *WatchError
				if !errors.Is(err, c.want) || !errors.As(err, &watchErr) || watchErr.Address != addr {
					t.Errorf("got error %v, want a WatchError of %s that wraps %v", err, addr, c.want)
				}
				if fieldErr := (*decode.FieldError)(nil); name == "malformed" && (!errors.As(err, &fieldErr) || fieldErr.Field != "revision") {
					t.Errorf("got error %v, want it to wrap a FieldError of revision", err)
				}
			})
		})
	}
}

// errors.Is finds why a cached list is rejected.
func TestRejectedCachedListsGiveTheCause(t *testing.T) {
	c := testClientConfig(t, "127.0.0.1:9")
	now := time.Now()
	valid := string(newListCache("any", c.Known).encode(now))
	for text, want := range map[string]error{
		"sloerail list 2 0\n{}": ErrCacheVersion,
		"":                      ErrCacheVersion,
		strings.Replace(valid, `"s0"`, `"s1"`, 1):                       ErrCacheChecksum,
		string(newListCache("any", c.Known).encode(now.Add(time.Hour))): ErrCacheAge,
	} {
		path := nodetest.WriteFile(t, text)
		if _, err := readCachedList(path, now); !errors.Is(err, want) {
			t.Errorf("cached list %.40q: got error %v, want %v", text, err, want)
		}
	}
}
