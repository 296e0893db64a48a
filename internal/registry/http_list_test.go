package registry

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/raft"
)

// serveAlone serves the list of a single replica, which leads.
func serveAlone(t *testing.T) (r *Replica, url string) {
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

// apply has the replica carry out commands, and returns its revision after them.
func apply(t *testing.T, r *Replica, commands ...Command) (revision int64) {
	t.Helper()
	for _, c := range commands {
		res, err := r.Propose(c)
		if err != nil || res.Code != ResultOK {
			t.Fatal(err, res.Code)
		}
		revision = res.Revision
	}
	return revision
}

// answer is what came of a call.
type answer struct {
	status int
	header http.Header
	body   string
}

func get(t *testing.T, url string) answer {
	t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return answer{resp.StatusCode, resp.Header, string(body)}
}

func (a answer) list(t *testing.T) (l EndpointList) {
	t.Helper()
	if err := json.Unmarshal([]byte(a.body), &l); err != nil || a.status != http.StatusOK {
		t.Fatalf("%d %s: %v", a.status, a.body, err)
	}
	return l
}

// Without a scope and without services, answers are in the platform's form, byte for byte.
func TestWholeListHasThePlatformsForm(t *testing.T) {
	r, url := serveAlone(t)
	revision := apply(t, r, registers("s0", DefaultTTL))
	got := get(t, url)
	want := fmt.Sprintf(`{"revision":%d,"complete":true,"members":[{"id":"s0","host_port":"10.0.0.1:9000","locality":"a",`+
		`"flavor":"","cell":0,"phase":"up","size":1,"up_since_ms":0}]}`, revision)
	if got.body != want || got.header.Get(scopedHeader) != "" {
		t.Errorf("got %s\nwant %s", got.body, want)
	}
}

// A scoped watch sleeps through changes outside its scope, brings those within, and at its end the newest revision.
func TestScopedWatch(t *testing.T) {
	r, url := serveAlone(t)
	at := apply(t, r, serves("a0", "a"), serves("b0", "b"))
	whole := get(t, url+"?service=a")
	if l := whole.list(t); !l.Complete || l.Revision != at || len(l.Endpoints) != 1 || l.Endpoints[0].Service != "a" {
		t.Errorf("the list of a is %+v", l)
	}
	if whole.header.Get(scopedHeader) == "" || whole.header.Get(unknownServicesHeader) != "" {
		t.Errorf("headers %v", whole.header)
	}
	watch := func(wait time.Duration) chan answer {
		told := make(chan answer, 1)
		go func() { told <- get(t, fmt.Sprintf("%s?service=a&index=%d&wait=%d", url, at, wait.Milliseconds())) }()
		return told
	}
	told := watch(maxWatchWait)
	held(t, r, "a")
	gathered := r.store.nextChange()
	outside := apply(t, r, Command{Kind: SetInstancePhase, ID: "b0", Phase: PhaseDraining})
	<-gathered
	within := apply(t, r, Command{Kind: SetInstancePhase, ID: "a0", Phase: PhaseDraining})
	if l := (<-told).list(t); l.Complete || l.Revision != within || len(l.Endpoints) != 1 || l.Endpoints[0].ID != "a0" {
		t.Errorf("told %+v, want the change of a0 at revision %d", l, within)
	}
	at = outside // a0's change is news for it at once
	if l := (<-watch(maxWatchWait)).list(t); l.Revision != within || len(l.Endpoints) != 1 {
		t.Errorf("told %+v", l)
	}
	at = within
	outside = apply(t, r, Command{Kind: SetInstancePhase, ID: "b0", Phase: PhaseUp})
	if l := (<-watch(0)).list(t); l.Complete || l.Revision != outside || len(l.Endpoints) != 0 {
		t.Errorf("at its end, with nothing new in its scope, told %+v, want revision %d alone", l, outside)
	}
}

// held waits until a watch of a service is held.
func held(t *testing.T, r *Replica, service string) {
	t.Helper()
	for until := time.Now().Add(maxWatchWait); time.Now().Before(until); time.Sleep(time.Millisecond) {
		r.store.mu.Lock()
		n := len(r.store.scoped.byService[service])
		r.store.mu.Unlock()
		if n > 0 {
			return
		}
	}
	t.Fatal("no watch is held")
}

// Only watches whose services change are woken, and all are where the state is another as a whole.
func TestSubscriptions(t *testing.T) {
	r, _ := serveAlone(t)
	woken := func(news <-chan struct{}) bool {
		select {
		case <-news:
			return true
		default:
			return false
		}
	}
	a, cancelA := r.store.watchServices([]string{"a"})
	b, cancelB := r.store.watchServices([]string{"b", "c"})
	apply(t, r, serves("a0", "a"))
	<-a
	if woken(b) {
		t.Error("a change of service a woke a watch of b and c")
	}
	apply(t, r, serves("a0", "c")) // it leaves one service for another
	<-a
	<-b
	apply(t, r, Command{Kind: BeginEpoch})
	<-a
	<-b
	cancelA()
	cancelB()
	if len(r.store.scoped.byService) != 0 {
		t.Errorf("%d services are watched by nobody", len(r.store.scoped.byService))
	}
}

// Nothing is made of services that nobody knows: 404 if all are unknown, else the header names them.
func TestUnknownServices(t *testing.T) {
	r, url := serveAlone(t)
	if a := get(t, url+"?service=a,b"); a.status != http.StatusNotFound || a.body != "service: unknown: a, b\n" {
		t.Errorf("an empty replica answers %d %q", a.status, a.body)
	}
	at := apply(t, r, serves("a0", "a"))
	some := get(t, url+"?service=b&service=a")
	if l := some.list(t); len(l.Endpoints) != 1 || some.header.Get(unknownServicesHeader) != "b" {
		t.Errorf("told %+v with %v", l, some.header)
	}
	if a := get(t, fmt.Sprintf("%s?service=b&index=%d&wait=1000", url, at)); a.status != http.StatusNotFound {
		t.Errorf("a watch of an unknown service is answered %d", a.status)
	}
	apply(t, r, Command{Kind: DeregisterInstance, ID: "a0"})
	if l := get(t, url+"?service=a").list(t); !l.Complete || len(l.Endpoints) != 0 {
		t.Errorf("a service whose last server was removed is told as %+v", l)
	}
}

func TestBadCallsAreAnsweredWithOneLine(t *testing.T) {
	_, url := serveAlone(t)
	for _, query := range []string{"service=", "service=a&subset=0", "service=a&subset=2&position=3&nodes=3", "subset=3",
		"service=a&index=x"} {
		if a := get(t, url+"?"+query); a.status != http.StatusBadRequest || strings.Count(a.body, "\n") != 1 {
			t.Errorf("%s: %d %q", query, a.status, a.body)
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
	defer resp.Body.Close()
	if body, _ := io.ReadAll(resp.Body); resp.StatusCode != http.StatusBadRequest || !strings.HasPrefix(string(body), "service: ") {
		t.Errorf("a bad service's name is answered %d %q", resp.StatusCode, body)
	}
}
