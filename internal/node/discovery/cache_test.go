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

// runClient runs discovery by a configuration until the test ends, or stop is called.
func runClient(t *testing.T, c ClientConfig) (updates chan Update, stop func()) {
	t.Helper()
	updates = make(chan Update, 100)
	d := NewClient(c, func(u Update) { updates <- u })
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { d.Run(ctx); close(ended) }()
	stop = func() { cancel(); nodetest.Receive(t, "the end of discovery", ended) }
	t.Cleanup(stop)
	return updates, stop
}

// A replica that fails, and one that lags behind the list held, give way to the next one.
func TestFailedReplicaGivesWayToTheNext(t *testing.T) {
	replica := func(revision int, ids ...string) string {
		first := true
		return nodetest.HTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
			if !first {
				<-r.Context().Done()
				return
			}
			first = false
			var all []string
			for _, id := range ids {
				all = append(all, nodetest.ListEntry(id, "up"))
			}
			w.Header().Set(epochHeader, "1")
			_, _ = io.WriteString(w, nodetest.ListChange(revision, all...))
		})
	}
	good, stale, best := replica(40, "a"), replica(30, "old"), replica(50, "b")
	c := testClientConfig(t, "127.0.0.1:9,"+good+","+stale+","+best) // nobody is at the first
	c.Seed = 0
	d := NewClient(c, func(Update) {})
	for _, want := range []string{"", "a", "", "b"} {
		ctx, cancel := context.WithTimeout(context.Background(), nodetest.Timeout)
		l, err := d.watch(ctx)
		cancel()
		if want == "" {
			if err == nil {
				t.Errorf("took %+v", l)
			}
		} else if err != nil || l.Endpoints[0].ID != want {
			t.Errorf("got %+v, %v; want %s", l, err, want)
		} else {
			d.Apply(l)
		}
		d.replica = (d.replica + 1) % len(d.addresses)
	}
}

// The list is cached over the node's end, and used by the next start if it is newer than that of the configuration.
func TestCachedListSurvivesARestart(t *testing.T) {
	calls := make(chan string, 2)
	calls <- nodetest.ListChange(41, nodetest.ListEntry("a", "up"), nodetest.ListEntry("b", "draining"))
	calls <- nodetest.ListChange(42, nodetest.ListEntry("a", "removed"))
	c := testClientConfig(t, nodetest.HTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		select {
		case a := <-calls:
			_, _ = io.WriteString(w, a)
		default:
			<-r.Context().Done()
		}
	}))
	c.CacheFile = filepath.Join(t.TempDir(), "list")
	updates, stop := runClient(t, c)
	nodetest.Receive(t, "the first change", updates)
	nodetest.Receive(t, "the second", updates)
	// Both came within a second, and the watch goes on: the second is cached all the same, with no end of the node.
	nodetest.Await(t, "the second change in the file", func() bool {
		l, err := readCachedList(c.CacheFile, time.Now())
		return err == nil && l.Revision == 42
	})
	stop()
	c.Known.Revision = 40
	got := RestoreList(c.CacheFile, c.Known)
	if got.Revision != 42 || !got.Complete || len(got.Endpoints) != 2 {
		t.Fatalf("cached %+v", got)
	}
	for _, m := range got.Endpoints {
		if m.ID == "b" && m.Availability != policy.Draining || m.ID == "a" {
			t.Errorf("cached %+v", m)
		}
	}
	c.Known.Revision = 43
	if got := RestoreList(c.CacheFile, c.Known); got.Revision != 43 {
		t.Errorf("an older list was used: %+v", got)
	}
}

// A cached list that is cut, flipped, of another version, too old or from the future is rejected.
func TestDamagedCachedListsAreRejected(t *testing.T) {
	c := testClientConfig(t, "127.0.0.1:9")
	c.CacheFile = filepath.Join(t.TempDir(), "list")
	now := time.Now()
	good := newListCache(c.CacheFile, c.Known).encode(now)
	write := func(raw []byte) {
		if err := os.WriteFile(c.CacheFile, raw, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(good)
	if _, err := readCachedList(c.CacheFile, now); err != nil {
		t.Fatal(err)
	}
	for _, then := range []time.Time{now.Add(-time.Minute), now.Add(maxCacheAge + time.Minute)} {
		if _, err := readCachedList(c.CacheFile, then); err == nil {
			t.Errorf("a list of %v was read at %v", now, then)
		}
	}
	for i := range good {
		write(good[:i])
		if _, err := readCachedList(c.CacheFile, now); err == nil {
			t.Fatalf("cut at byte %d, and read", i)
		}
		flipped := bytes.Clone(good)
		flipped[i] ^= 1
		write(flipped)
		if _, err := readCachedList(c.CacheFile, now); err == nil {
			t.Fatalf("byte %d flipped, and read", i)
		}
	}
	write([]byte(fmt.Sprintf("%s0\n{}", cacheHeader)))
	if got := RestoreList(c.CacheFile, c.Known); got.Revision != c.Known.Revision {
		t.Errorf("started with %+v", got)
	}
}

// The cached list is read and written back byte for byte. Commit 4650eee wrote the golden file.
func TestCachedListKeepsItsForm(t *testing.T) {
	saved := time.UnixMilli(1800000000456)
	c := testClientConfig(t, "127.0.0.1:9")
	c.CacheFile = filepath.Join("testdata", "list_file.txt")
	l, err := readCachedList(c.CacheFile, saved.Add(time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	if len(l.Endpoints) != 3 || l.Endpoints[0].Availability != policy.Running || l.Endpoints[1].Availability != policy.Draining {
		t.Errorf("read %+v", l)
	}
	k := newListCache(c.CacheFile, c.Known)
	k.apply(l)
	nodetest.SameBytes(t, "the file", k.encode(saved), nodetest.Golden(t, "list_file.txt"))
}
