package registry

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// All versions that run at the same time must write the same commands into the raft log.
func TestWritesProduceExpectedCommands(t *testing.T) {
	endpoint := testEndpoint("s0")
	for _, test := range []struct {
		method, path, body string
		want               Command
	}{
		{"PUT", "s0", `{"host_port":"10.0.0.1:9000","locality":"a"}`,
			Command{Kind: RegisterInstance, RequestID: "q1", ID: "s0", IfMatch: 7, Endpoint: endpoint, TTL: DefaultTTL}},
		{"PUT", "s0", `{"host_port":"10.0.0.1:9000","locality":"a","phase":"up","size":1,"lease_ms":1500}`,
			Command{Kind: RegisterInstance, RequestID: "q1", ID: "s0", IfMatch: 7, Endpoint: endpoint, TTL: 1500 * time.Millisecond}},
		{"PUT", "s0/lease", "", Command{Kind: RenewLease, ID: "s0", IfMatch: 7}},
		{"PUT", "s0/phase", `{"phase":"draining"}`,
			Command{Kind: SetInstancePhase, RequestID: "q1", ID: "s0", IfMatch: 7, Phase: PhaseDraining}},
		{"DELETE", "s0", "", Command{Kind: DeregisterInstance, RequestID: "q1", ID: "s0", IfMatch: 7}},
	} {
		req := httptest.NewRequest(test.method, instancesPath+"/"+test.path, strings.NewReader(test.body))
		req.Header.Set(requestIDHeader, "q1")
		req.Header.Set("If-Match", `"7"`)
		id, resource, _ := strings.Cut(test.path, "/")
		if got, err := instanceCommand(req, id, resource); err != nil || got != test.want {
			t.Errorf("command for %s %s %s: got %+v, error %v; want %+v", test.method, test.path, test.body, got, err, test.want)
		}
	}
}
