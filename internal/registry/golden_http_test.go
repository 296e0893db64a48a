package registry

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/raft"

	"sloerail/internal/golden"
)

// varyingParts matches the parts of responses that differ between runs.
var varyingParts = regexp.MustCompile(`"(age_ms|index)":[0-9]+|(?m)^(X-Registry-Age-Ms: |registry_age_seconds )[0-9.e+-]+$`)

// recordCall makes a call and writes it with its response: the status, all headers but Date and Content-Length, and the
// body.
func recordCall(t *testing.T, b *strings.Builder, method, url, path, body string, header map[string]string) {
	t.Helper()
	req, err := http.NewRequest(method, url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for key, value := range header {
		req.Header.Set(key, value)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(b, "> %s %s %s\n%d\n", method, path, body, resp.StatusCode)
	for _, key := range slices.Sorted(maps.Keys(resp.Header)) {
		if key != "Date" && key != "Content-Length" {
			fmt.Fprintf(b, "%s: %s\n", key, strings.Join(resp.Header[key], "|"))
		}
	}
	fmt.Fprintf(b, "%s\n\n", readBody(t, resp))
}

func maskVaryingParts(text string) string {
	return varyingParts.ReplaceAllStringFunc(text, func(part string) string {
		return strings.TrimRight(part, "0123456789.e+-") + "N"
	})
}

// TestGoldenResponses checks the responses to the calls of nodes, agents and operators, including invalid calls.
func TestGoldenResponses(t *testing.T) {
	r := openLeader(t, t.TempDir())
	server := NewServer(r, ServerConfig{})
	apiServer, adminServer := httptest.NewServer(server), httptest.NewServer(server.adminHandler())
	defer func() {
		apiServer.Close()
		adminServer.Close()
		if err := r.Close(); err != nil {
			t.Error(err)
		}
	}()
	var b strings.Builder
	for _, call := range []struct {
		method, path, body string
		header             map[string]string
	}{
		{method: "GET", path: "/registry/instances"},
		{method: "PUT", path: "/registry/instances/s0", header: map[string]string{"X-Request-Id": "q0"},
			body: `{"host_port":"10.1.0.18:9000","locality":"cairo-1","flavor":"big-box","cell":3,"phase":"up","size":1.5,"up_since_ms":1700000000123,"lease_ms":60000,"service":"pay"}`},
		{method: "PUT", path: "/registry/instances/s0", header: map[string]string{"X-Request-Id": "q0"}, body: `{"host_port":"10.1.0.18:9000"}`},
		{method: "PUT", path: "/registry/instances/s1", body: `{"host_port":"10.1.0.19:9000"}`},
		{method: "PUT", path: "/registry/instances/s2", body: `{"host_port":"10.1.0.20:9000","size":0,"service":"mail"}`},
		{method: "PUT", path: "/registry/instances/s0/lease"},
		{method: "PUT", path: "/registry/instances/s0/lease", header: map[string]string{"If-Match": `"7"`}},
		{method: "PUT", path: "/registry/instances/s0/phase", body: `{"phase":"draining"}`, header: map[string]string{"If-Match": `"4294967297"`}},
		{method: "PUT", path: "/registry/instances/s9/lease"},
		{method: "DELETE", path: "/registry/instances/s9"},
		{method: "DELETE", path: "/registry/instances/s2"},
		{method: "GET", path: "/registry/instances"},
		{method: "GET", path: "/registry/instances?index=4294967297&wait=1000"},
		{method: "GET", path: "/registry/instances?index=4294967300&wait=0"},
		{method: "GET", path: "/registry/instances?index=9000000000&wait=0"},
		{method: "GET", path: "/registry/instances?index=4294967300"},
		{method: "GET", path: "/registry/instances?service=pay"},
		{method: "GET", path: "/registry/instances?service=pay,none&subset=1&position=0&nodes=2&zone=cairo-1"},
		{method: "GET", path: "/registry/instances?service=pay&index=4294967297&wait=1000"},
		{method: "GET", path: "/registry/instances?service=mail&index=4294967299&wait=1000"},
		{method: "GET", path: "/registry/instances?service=pay&index=4294967301&wait=0"},
		{method: "GET", path: "/registry/instances?service=none"},
		{method: "GET", path: "/registry/instances?service="},
		{method: "GET", path: "/registry/instances?subset=3"},
		{method: "GET", path: "/registry/instances?service=pay&zone=z"},
		{method: "GET", path: "/registry/instances?service=pay&subset=0&position=0&nodes=1"},
		{method: "GET", path: "/registry/instances?index=x"},
		{method: "GET", path: "/registry/status"},
		{method: "GET", path: "/registry/fresh"},
		{method: "GET", path: "/registry/none"},
		{method: "POST", path: "/registry/instances"},
		{method: "POST", path: "/registry/instances/s0"},
		{method: "PUT", path: "/registry/instances/s0/other"},
		{method: "PUT", path: "/registry/instances/s0", body: `{"host_port":`},
		{method: "PUT", path: "/registry/instances/s0", body: `{"port":3}`},
		{method: "PUT", path: "/registry/instances/s0", body: `{"host_port":"here"}`},
		{method: "PUT", path: "/registry/instances/s0", body: `{"host_port":"a:1","phase":"removed"}`},
		{method: "PUT", path: "/registry/instances/s0", body: `{"host_port":"a:1","size":-1}`},
		{method: "PUT", path: "/registry/instances/s0", body: `{"host_port":"a:1","up_since_ms":-1}`},
		{method: "PUT", path: "/registry/instances/s0", body: `{"host_port":"a:1","service":"a b"}`},
		{method: "PUT", path: "/registry/instances/s0", body: `{"host_port":"a:1","lease_ms":999}`},
		{method: "PUT", path: "/registry/instances/s0", body: `{"host_port":"a:1","locality":"` + strings.Repeat("z", maxFieldBytes+1) + `"}`},
		{method: "PUT", path: "/registry/instances/", body: `{"host_port":"a:1"}`},
		{method: "PUT", path: "/registry/instances/s0/phase", body: `{"phase":"removed"}`},
		{method: "PUT", path: "/registry/instances/s0", header: map[string]string{"If-Match": "x"}},
		{method: "PUT", path: "/registry/instances/s0", header: map[string]string{"X-Request-Id": strings.Repeat("q", maxFieldBytes+1)}},
		{method: "PUT", path: "/registry/replicas/r1", body: `{"raft":"10.2.0.2:8501"}`},
		{method: "PUT", path: "/registry/replicas/r1", body: `{"raft":3}`},
		{method: "POST", path: "/registry/replicas/r1"},
		{method: "DELETE", path: "/registry/replicas/r9"},
	} {
		recordCall(t, &b, call.method, apiServer.URL, call.path, call.body, call.header)
	}
	recordCall(t, &b, "GET", adminServer.URL, "/healthcheck", "", nil)
	recordCall(t, &b, "GET", adminServer.URL, "/stats", "", nil)
	golden.Check(t, "answers.txt", []byte(maskVaryingParts(b.String())))
}

// TestGoldenRejections checks the responses of a replica that knows no leader, and of a replica whose
// watches and writes are at their limits.
func TestGoldenRejections(t *testing.T) {
	addr, transport := raft.NewInmemTransport("r0.raft")
	r, err := Open(ReplicaConfig{ID: "r0", RaftAddress: string(addr), DataDir: t.TempDir(), transport: transport})
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(r, ServerConfig{MaxWatches: 1})
	apiServer, adminServer := httptest.NewServer(server), httptest.NewServer(server.adminHandler())
	defer func() {
		apiServer.Close()
		adminServer.Close()
		if err := r.Close(); err != nil {
			t.Error(err)
		}
	}()
	var b strings.Builder
	for _, call := range [][2]string{{"GET", "/registry/instances"}, {"GET", "/registry/instances?service=a"},
		{"PUT", "/registry/instances/s0/lease"}, {"GET", "/registry/fresh"}, {"GET", "/registry/status"},
		{"DELETE", "/registry/replicas/r9"}} {
		recordCall(t, &b, call[0], apiServer.URL, call[1], "", nil)
	}
	recordCall(t, &b, "GET", adminServer.URL, "/healthcheck", "", nil)
	recordCall(t, &b, "GET", adminServer.URL, "/stats", "", nil)
	server.watches <- struct{}{}
	recordCall(t, &b, "GET", apiServer.URL, "/registry/instances?index=1&wait=1000", "", nil)
	for range cap(server.writes) {
		server.writes <- struct{}{}
	}
	recordCall(t, &b, "DELETE", apiServer.URL, "/registry/instances/s0", "", nil)
	for _, err := range []error{&NotLeaderError{LeaderAddress: "10.2.0.2:8500"}, &NotLeaderError{}, ErrNotCommitted} {
		b.WriteString(recordResponse(func(w http.ResponseWriter, req *http.Request) { server.respondWrite(w, req, "s0", Result{}, err) }))
	}
	for _, code := range []ResultCode{ResultNotFound, ResultVersionMismatch, ResultTooManyInstances, ResultUnknownCommand} {
		result := Result{Code: code, Instance: Instance{Version: 7}}
		b.WriteString(recordResponse(func(w http.ResponseWriter, req *http.Request) { server.respondWrite(w, req, "s0", result, code.Err()) }))
	}
	golden.Check(t, "refusals.txt", []byte(maskVaryingParts(b.String())))
}

// recordResponse returns a handler's response to a write.
func recordResponse(handle http.HandlerFunc) string {
	w := httptest.NewRecorder()
	handle(w, httptest.NewRequest("PUT", "/registry/instances/s0/lease?x=1", nil))
	var b strings.Builder
	fmt.Fprintln(&b, w.Code)
	for _, key := range slices.Sorted(maps.Keys(w.Header())) {
		fmt.Fprintf(&b, "%s: %s\n", key, strings.Join(w.Header()[key], "|"))
	}
	fmt.Fprintf(&b, "%s\n\n", w.Body)
	return b.String()
}

// TestGoldenAgentCalls checks the calls of an agent from registration to deregistration.
func TestGoldenAgentCalls(t *testing.T) {
	var mu sync.Mutex
	var b strings.Builder
	ctx, stop := context.WithCancel(t.Context())
	renewals := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		body, _ := io.ReadAll(req.Body)
		fmt.Fprintf(&b, "%s %s id:%v match:%q %s\n", req.Method, req.URL.RequestURI(), req.Header.Get("X-Request-Id") != "",
			req.Header.Get("If-Match"), body)
		if strings.HasSuffix(req.URL.Path, "/lease") {
			if renewals++; renewals == 1 {
				http.Error(w, "not found", http.StatusNotFound)
				return
			}
			stop()
		}
	}))
	defer server.Close()
	client := NewClient([]string{strings.TrimPrefix(server.URL, "http://")})
	agent := &Agent{Client: client, Endpoint: goldenEndpoint("s0", "pay"), TTL: 300 * time.Millisecond}
	if err := agent.Run(ctx, time.Millisecond); err != nil {
		t.Fatal(err)
	}
	if err := client.Do(t.Context(), http.MethodDelete, instancesPath+"/s0", nil, nil, 7); err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "agent-calls.txt", []byte(b.String()))
}

// TestGoldenConfig checks that a replica's configuration file with all keys is read.
func TestGoldenConfig(t *testing.T) {
	got, err := LoadConfig(filepath.Join("testdata", "replica.toml"))
	want := Config{ID: "r1", ListenAddress: "10.2.0.2:8500", RaftAddress: "10.2.0.2:8501", RaftBindAddress: "0.0.0.0:8501", AdminAddress: "10.2.0.2:8502",
		DataDir: "/var/lib/sloerail", MaxWatches: 512,
		InitialReplicas: map[string]string{"r0": "10.2.0.1:8501", "r1": "10.2.0.2:8501", "r2": "10.2.0.3:8501"}}
	if diff := cmp.Diff(want, got); err != nil || diff != "" {
		t.Error(err, diff)
	}
}

// TestStoredFieldsHaveExplicitKeys checks that no stored or sent type takes a key from the name of a Go field.
func TestStoredFieldsHaveExplicitKeys(t *testing.T) {
	for tag, values := range map[string][]any{
		"cbor": {Command{}, snapshotImage{}, Instance{}, Endpoint{}, Result{}, change{}, Placement{}, cachedResponse{}},
		"json": {EndpointList{}, Endpoint{}, registration{}, WriteResponse{}, Status{}, ReplicaStatus{}, progressResponse{}},
		"toml": {Config{}},
	} {
		for _, value := range values {
			valueType := reflect.TypeOf(value)
			for field := range valueType.Fields() {
				if key, _, _ := strings.Cut(field.Tag.Get(tag), ","); key == "" {
					t.Errorf("field %s.%s has no explicit %s key", valueType, field.Name, tag)
				}
			}
		}
	}
}
