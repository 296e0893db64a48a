package registry

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/raft"
)

// startServer starts a server for a single replica, and waits until the replica is the leader. url is the URL
// of the list.
func startServer(t *testing.T) (r *Replica, url string) {
	t.Helper()
	addr, transport := raft.NewInmemTransport("")
	r, err := Open(ReplicaConfig{ID: "r0", RaftAddress: string(addr), DataDir: t.TempDir(), InitialReplicas: map[string]string{"r0": string(addr)},
		transport: transport})
	if err != nil {
		t.Fatal(err)
	}
	for {
		if age, ok := r.Age(); ok && age < defaultMaxAge {
			break
		}
		time.Sleep(tickInterval / 10)
	}
	server := httptest.NewServer(NewServer(r, ServerConfig{}))
	t.Cleanup(func() {
		server.Close()
		if err := r.Close(); err != nil {
			t.Error(err)
		}
	})
	return r, server.URL + instancesPath
}

// mustPropose has the replica carry out commands, and returns the revision after the last one.
func mustPropose(t *testing.T, r *Replica, commands ...Command) (revision int64) {
	t.Helper()
	for _, c := range commands {
		result, err := r.Propose(c)
		if err != nil || result.Code != ResultOK {
			t.Fatal(err, result.Code)
		}
		revision = result.Revision
	}
	return revision
}

// response holds the response to a call.
type response struct {
	status int
	header http.Header
	body   string
}

func get(t *testing.T, url string) response {
	t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	return response{resp.StatusCode, resp.Header, readBody(t, resp)}
}

// readBody reads and closes the body of a response.
func readBody(t *testing.T, resp *http.Response) string {
	t.Helper()
	body, err := io.ReadAll(resp.Body)
	if err := errors.Join(err, resp.Body.Close()); err != nil {
		t.Fatal(err)
	}
	return string(body)
}

func (r response) list(t *testing.T) (l EndpointList) {
	t.Helper()
	if err := json.Unmarshal([]byte(r.body), &l); err != nil || r.status != http.StatusOK {
		t.Fatalf("response with a list: got status %d, body %s, decoding error %v; want status 200 and a list", r.status, r.body, err)
	}
	return l
}

// Without a scope and without services, the response has the platform's format, byte for byte.
func TestFullListFormat(t *testing.T) {
	r, url := startServer(t)
	revision := mustPropose(t, r, registerCommandFor("s0", DefaultTTL))
	got := get(t, url)
	want := fmt.Sprintf(`{"revision":%d,"complete":true,"members":[{"id":"s0","host_port":"10.0.0.1:9000","locality":"a",`+
		`"flavor":"","cell":0,"phase":"up","size":1,"up_since_ms":0}]}`, revision)
	if got.body != want || got.header.Get(scopedHeader) != "" {
		t.Errorf("full list: got %s\nwant %s, and no header for scoped lists", got.body, want)
	}
}

// A scoped watch ignores changes outside its scope, responds to changes inside it, and returns the latest revision
// when the watch times out.
func TestScopedWatchRespondsToChangesInItsScope(t *testing.T) {
	r, url := startServer(t)
	revision := mustPropose(t, r, registerInService("a0", "a"), registerInService("b0", "b"))
	full := get(t, url+"?service=a")
	if l := full.list(t); !l.Complete || l.Revision != revision || len(l.Endpoints) != 1 || l.Endpoints[0].Service != "a" {
		t.Errorf("list of service a: got %+v, want the complete list of a0 at the current revision", l)
	}
	if full.header.Get(scopedHeader) == "" || full.header.Get(unknownServicesHeader) != "" {
		t.Errorf("headers of the list of service a: got %v, want a header that marks the list as scoped, and no header for unknown services", full.header)
	}
	watch := func(wait time.Duration) chan response {
		received := make(chan response, 1)
		go func() {
			received <- get(t, fmt.Sprintf("%s?service=a&index=%d&wait=%d", url, revision, wait.Milliseconds()))
		}()
		return received
	}
	pending := watch(maxWatchWait)
	waitForWatcher(t, r, "a")
	notified := r.store.nextChange()
	outsideRevision := mustPropose(t, r, Command{Kind: SetInstancePhase, ID: "b0", Phase: PhaseDraining})
	<-notified
	scopeRevision := mustPropose(t, r, Command{Kind: SetInstancePhase, ID: "a0", Phase: PhaseDraining})
	checkChanges(t, <-pending, scopeRevision, "a0")
	revision = outsideRevision // before a0's change
	checkChanges(t, <-watch(maxWatchWait), scopeRevision, "a0")
	revision = scopeRevision
	outsideRevision = mustPropose(t, r, Command{Kind: SetInstancePhase, ID: "b0", Phase: PhaseUp})
	checkChanges(t, <-watch(0), outsideRevision) // the watch times out at once
}

// checkChanges fails unless a watch got the changes of the given endpoints and the given revision.
func checkChanges(t *testing.T, got response, revision int64, ids ...string) {
	t.Helper()
	list := got.list(t)
	var changed []string
	for _, endpoint := range list.Endpoints {
		changed = append(changed, endpoint.ID)
	}
	if list.Complete || list.Revision != revision || !slices.Equal(changed, ids) {
		t.Errorf("response to a watch: got %+v, want the changes of %v at revision %d", list, ids, revision)
	}
}

// waitForWatcher blocks until a watch of a service is registered.
func waitForWatcher(t *testing.T, r *Replica, service string) {
	t.Helper()
	for deadline := time.Now().Add(maxWatchWait); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		r.store.mu.Lock()
		waiting := len(r.store.scoped.byService[service])
		r.store.mu.Unlock()
		if waiting > 0 {
			return
		}
	}
	t.Fatal("timed out waiting for a watch to be registered")
}

// A change notifies only the watches of its services. A new epoch notifies all watches.
func TestOnlyWatchesOfChangedServicesAreNotified(t *testing.T) {
	r, _ := startServer(t)
	notified := func(changes <-chan struct{}) bool {
		select {
		case <-changes:
			return true
		default:
			return false
		}
	}
	a, cancelA := r.store.watchServices([]string{"a"})
	b, cancelB := r.store.watchServices([]string{"b", "c"})
	mustPropose(t, r, registerInService("a0", "a"))
	<-a
	if notified(b) {
		t.Error("a change of service a notified a watch of b and c")
	}
	mustPropose(t, r, registerInService("a0", "c")) // moves from service a to service c
	<-a
	<-b
	mustPropose(t, r, Command{Kind: BeginEpoch})
	<-a
	<-b
	cancelA()
	cancelB()
	if len(r.store.scoped.byService) != 0 {
		t.Errorf("services that still have watches after all were cancelled: got %d, want 0", len(r.store.scoped.byService))
	}
}

// A call for unknown services alone gets 404, unlike a call for services without servers. If some of the services are
// known, a header names the others.
func TestUnknownServicesAreReported(t *testing.T) {
	r, url := startServer(t)
	if got := get(t, url+"?service=a,b"); got.status != http.StatusNotFound || got.body != "service: unknown: a, b\n" {
		t.Errorf("list of unknown services: got status %d, body %q, want 404 and both names", got.status, got.body)
	}
	revision := mustPropose(t, r, registerInService("a0", "a"))
	partial := get(t, url+"?service=b&service=a")
	if l := partial.list(t); len(l.Endpoints) != 1 || partial.header.Get(unknownServicesHeader) != "b" {
		t.Errorf("list of services a and b: got %+v with headers %v, want a0 and b named as unknown", l, partial.header)
	}
	if got := get(t, fmt.Sprintf("%s?service=b&index=%d&wait=1000", url, revision)); got.status != http.StatusNotFound {
		t.Errorf("watch of an unknown service: got status %d, want 404", got.status)
	}
	mustPropose(t, r, Command{Kind: DeregisterInstance, ID: "a0"})
	if l := get(t, url+"?service=a").list(t); !l.Complete || len(l.Endpoints) != 0 {
		t.Errorf("list of a service after its last server was removed: got %+v, want a complete, empty list", l)
	}
}

func TestInvalidCallsReturnOneLineError(t *testing.T) {
	_, url := startServer(t)
	for _, query := range []string{"service=", "service=a&subset=0", "service=a&subset=2&position=3&nodes=3", "subset=3",
		"service=a&index=x"} {
		if got := get(t, url+"?"+query); got.status != http.StatusBadRequest || strings.Count(got.body, "\n") != 1 {
			t.Errorf("query %s: got status %d, body %q, want 400 and one line", query, got.status, got.body)
		}
	}
	req, err := http.NewRequest(http.MethodPut, url+"/s0", strings.NewReader(`{"host_port":"10.0.0.1:9000","service":"a b"}`))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	if body := readBody(t, resp); resp.StatusCode != http.StatusBadRequest || !strings.HasPrefix(body, "service: ") {
		t.Errorf("registration with an invalid service: got status %d, body %q, want 400 and an error that begins with the field, service", resp.StatusCode, body)
	}
}
