package discovery

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"sloerail/internal/node/nodetest"
	"sloerail/policy"
)

// runClient runs a client until the test ends or stop is called.
func runClient(t *testing.T, c ClientConfig) (client *Client, updates chan Update, stop func()) {
	t.Helper()
	updates = make(chan Update, 100)
	client = NewClient(c, func(u Update) { updates <- u })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { client.Run(ctx); close(done) }()
	stop = func() { cancel(); nodetest.Receive(t, "the end of Run", done) }
	t.Cleanup(stop)
	return client, updates, stop
}

// A watch fails at a replica that is unreachable, or whose list is older than the current list. It succeeds at the
// replica after that one. The test itself selects the replicas.
func TestWatchOfUnreachableOrStaleReplicaFails(t *testing.T) {
	replica := func(revision int, ids ...string) string {
		first := true
		return nodetest.HTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
			if !first {
				<-r.Context().Done()
				return
			}
			first = false
			var entries []string
			for _, id := range ids {
				entries = append(entries, nodetest.ListEntry(id, "up"))
			}
			w.Header().Set(epochHeader, "1")
			_, _ = io.WriteString(w, nodetest.ListChange(revision, entries...))
		})
	}
	current, stale, newer := replica(40, "a"), replica(30, "old"), replica(50, "b")
	c := testClientConfig(t, "127.0.0.1:9,"+current+","+stale+","+newer) // nothing listens at the first address
	c.Seed = 0
	client := NewClient(c, func(Update) {})
	for _, want := range []string{"", "a", "", "b"} {
		ctx, cancel := context.WithTimeout(context.Background(), nodetest.Timeout)
		list, err := client.watch(ctx)
		cancel()
		if want == "" {
			if err == nil {
				t.Errorf("watch of an unreachable or stale replica: got list %+v, want an error", list)
			}
		} else if err != nil || list.Endpoints[0].ID != want {
			t.Errorf("watch: got %+v, error %v; want a list with server %s", list, err, want)
		} else {
			client.Apply(list)
		}
		client.replica = (client.replica + 1) % len(client.addresses)
	}
}

// After a restart, the node uses the cached list unless the list in the configuration is newer.
func TestCachedListSurvivesARestart(t *testing.T) {
	responses := make(chan string, 2)
	responses <- nodetest.ListChange(41, nodetest.ListEntry("a", "up"), nodetest.ListEntry("b", "draining"))
	responses <- nodetest.ListChange(42, nodetest.ListEntry("a", "removed"))
	c := testClientConfig(t, nodetest.HTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		select {
		case response := <-responses:
			_, _ = io.WriteString(w, response)
		default:
			<-r.Context().Done()
		}
	}))
	c.CacheFile = filepath.Join(t.TempDir(), "list")
	_, updates, stop := runClient(t, c)
	nodetest.Receive(t, "the first change", updates)
	nodetest.Receive(t, "the second change", updates)
	// The second change came within minCacheInterval of the first. It is written later, but before the client stops.
	nodetest.Await(t, "the second change in the cache file", func() bool {
		list, err := readCachedList(c.CacheFile, time.Now())
		return err == nil && list.Revision == 42
	})
	stop()
	c.Known.Revision = 40
	got := RestoreList(c.CacheFile, c.Known)
	if got.Revision != 42 || !got.Complete || len(got.Endpoints) != 2 {
		t.Fatalf("restored list: got %+v, want a complete list of revision 42 with 2 endpoints, b and the known s0", got)
	}
	for _, endpoint := range got.Endpoints {
		if endpoint.ID == "b" && endpoint.Availability != policy.Draining || endpoint.ID == "a" {
			t.Errorf("restored endpoint: got %+v, want b to be draining and a to be missing", endpoint)
		}
	}
	c.Known.Revision = 43
	if got := RestoreList(c.CacheFile, c.Known); got.Revision != 43 {
		t.Errorf("restored list with revision 43 known: got %+v, want the known list", got)
	}
}

// A cached list that is truncated, corrupted, of another version, too old or from the future is rejected.
func TestInvalidCachedListsAreRejected(t *testing.T) {
	c := testClientConfig(t, "127.0.0.1:9")
	c.CacheFile = filepath.Join(t.TempDir(), "list")
	now := time.Now()
	valid := newListCache(c.CacheFile, c.Known).encode(now)
	write := func(raw []byte) {
		if err := os.WriteFile(c.CacheFile, raw, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(valid)
	if _, err := readCachedList(c.CacheFile, now); err != nil {
		t.Fatal(err)
	}
	for _, then := range []time.Time{now.Add(-time.Minute), now.Add(maxCacheAge + time.Minute)} {
		if _, err := readCachedList(c.CacheFile, then); err == nil {
			t.Errorf("list saved at %v and read at %v: got no error, want one", now, then)
		}
	}
	for i := range valid {
		write(valid[:i])
		if _, err := readCachedList(c.CacheFile, now); err == nil {
			t.Fatalf("list truncated to %d bytes: got no error, want one", i)
		}
		flipped := bytes.Clone(valid)
		flipped[i] ^= 1
		write(flipped)
		if _, err := readCachedList(c.CacheFile, now); err == nil {
			t.Fatalf("list with a bit flipped in byte %d: got no error, want one", i)
		}
	}
	write([]byte(fmt.Sprintf("%s0\n{}", cacheHeader)))
	if got := RestoreList(c.CacheFile, c.Known); got.Revision != c.Known.Revision {
		t.Errorf("list restored from a file with a wrong checksum: got %+v, want the known list", got)
	}
}

// The format of the cached list doesn't change: the golden file, written by commit 4650eee, is read and written back
// byte for byte.
func TestCachedListFormatIsUnchanged(t *testing.T) {
	saved := time.UnixMilli(1800000000456)
	c := testClientConfig(t, "127.0.0.1:9")
	c.CacheFile = filepath.Join("testdata", "list_file.txt")
	list, err := readCachedList(c.CacheFile, saved.Add(time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	if len(list.Endpoints) != 3 || list.Endpoints[0].Availability != policy.Running || list.Endpoints[1].Availability != policy.Draining {
		t.Errorf("golden list: got %+v, want 3 endpoints, the first running and the second draining", list)
	}
	cache := newListCache(c.CacheFile, c.Known)
	cache.apply(list)
	nodetest.AssertEqualBytes(t, "the cached list", cache.encode(saved), nodetest.ReadGolden(t, "list_file.txt"))
}
