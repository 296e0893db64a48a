package node

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"sloerail/internal/node/downstream"
	"sloerail/internal/node/nodetest"
)

// writeText writes text to a connection.
func writeText(t *testing.T, conn io.Writer, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Error(err)
	}
}

// call sends one request to an admin server and returns the status and body of the response.
func call(t *testing.T, method, url string) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, body := do(t, req)
	return resp.StatusCode, body
}

// stats returns the values of all metrics at an admin address, by name with labels.
func stats(t *testing.T, adminAddr string) map[string]float64 {
	t.Helper()
	status, text := call(t, http.MethodGet, "http://"+adminAddr+statsPath)
	if status != http.StatusOK {
		t.Fatalf("call for the metrics: got status %d, want 200", status)
	}
	all := make(map[string]float64)
	for line := range strings.Lines(text) {
		name, figure, _ := strings.Cut(strings.TrimSpace(line), " ")
		v, err := strconv.ParseFloat(figure, 64)
		if err != nil {
			t.Fatalf("metrics line %q: %v", line, err)
		}
		all[name] = v
	}
	return all
}

// awaitStats waits until the metrics at an admin address have the wanted values.
func awaitStats(t *testing.T, adminAddr string, want map[string]float64) {
	t.Helper()
	var got map[string]float64
	for end := time.Now().Add(nodetest.Timeout / 3); ; time.Sleep(5 * time.Millisecond) {
		got = stats(t, adminAddr)
		mismatch := false
		for name, v := range want {
			if value, ok := got[name]; !ok || value != v {
				mismatch = true
			}
		}
		if !mismatch {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("metrics after a third of nodetest.Timeout: got %v, want %v", got, want)
		}
	}
}

// The metrics start at 0 and count the responses to clients and the attempts sent to servers.
func TestMetricsCountRequestsAndAttempts(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		hold, held := make(chan struct{}), make(chan struct{}, 1)
		server := nodetest.HTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
			switch r.Header.Get("X-Request-Id") {
			case "full":
				w.Header().Set("X-Not-Run", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			case "fault":
				w.WriteHeader(http.StatusInternalServerError)
			case "held":
				held <- struct{}{}
				<-hold
			}
		})
		listeners := Listeners{Clients: nodetest.Listener(t), Control: nodetest.Listener(t)}
		adminAddr := listeners.Control.Addr().String()
		node, _ := startNodeAt(t, testConfig(t, nodetest.KnownList(server)), listeners, nil)
		want := map[string]float64{"app_relayed_total": 0, "app_open_requests": 0, "app_registry_entries": 1,
			"app_out_of_rotation": 0, "app_cfg_accepted_total": 0, "app_cfg_invalid_total": 0}
		for _, class := range []string{"read", "pay", "undo"} {
			for _, figure := range []string{"fulfilled", "throttled", "faulted"} {
				want[fmt.Sprintf("app_%s_total{priority=%q}", figure, class)] = 0
			}
		}
		awaitStats(t, adminAddr, want)

		ask := func(class, id string, wantStatus int) {
			method := http.MethodPost
			if class == "read" {
				method = http.MethodGet
			}
			if resp, _ := do(t, clientRequest(t, node, method, class, id, "")); resp.StatusCode != wantStatus {
				t.Errorf("request %s: got status %d, want %d", id, resp.StatusCode, wantStatus)
			}
		}
		for i := range 3 {
			ask("read", fmt.Sprint("r", i), 200)
		}
		ask("pay", "full", 503)
		ask("pay", "fault", 502)
		ask("other", "unknown", 400)
		want[`app_fulfilled_total{priority="read"}`] = 3
		want[`app_throttled_total{priority="pay"}`] = 1
		want[`app_faulted_total{priority="pay"}`] = 1
		want["app_relayed_total"] = 5
		awaitStats(t, adminAddr, want)

		ctx, disconnect := context.WithCancel(t.Context())
		clientErr := make(chan error, 1)
		go func() {
			_, err := oneRequestClient(t).Do(clientRequest(t, node, "GET", "read", "held", "").WithContext(ctx))
			clientErr <- err
		}()
		nodetest.Receive(t, "the held request to reach the server", held)
		want["app_relayed_total"], want["app_open_requests"] = 6, 1
		awaitStats(t, adminAddr, want)
		disconnect()
		if err := nodetest.Receive(t, "the client's call to return", clientErr); !errors.Is(err, context.Canceled) {
			t.Errorf("disconnected client: got error %v, want context.Canceled", err)
		}
		want["app_open_requests"] = 0
		awaitStats(t, adminAddr, want)
		close(hold)
	})
}

// A draining server counts as listed and as out of rotation.
func TestMetricsFollowEndpointList(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		listeners := Listeners{Clients: nodetest.Listener(t), Control: nodetest.Listener(t)}
		known := strings.Replace(nodetest.KnownList("127.0.0.1:9", "127.0.0.1:9"), `"up"`, `"draining"`, 1)
		startNodeAt(t, testConfig(t, known), listeners, nil)
		awaitStats(t, listeners.Control.Addr().String(),
			map[string]float64{"app_registry_entries": 2, "app_out_of_rotation": 1})
	})
}

// The admin server has its own paths, serves one request per connection, and answers malformed requests with 400.
func TestAdminServerPaths(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		listeners := Listeners{Clients: nodetest.Listener(t), Control: nodetest.Listener(t)}
		adminAddr := listeners.Control.Addr().String()
		node, _ := startNodeAt(t, testConfig(t, nodetest.KnownList("127.0.0.1:9")), listeners, nil)
		settle() // the health check succeeds once hotRestart.run has seen that the loop is ready
		for _, c := range []struct {
			method, url string
			want        int
		}{
			{"GET", adminAddr + healthPath, 200}, {"GET", adminAddr + statsPath, 200}, {"POST", adminAddr + statsPath, 405},
			{"PUT", adminAddr + healthPath, 405}, {"GET", adminAddr + "/nothing", 404}, {"GET", adminAddr + "/api/x", 404},
			{"GET", adminAddr + downstream.ReadyPath, 404}, {"GET", node + statsPath, 400}, {"GET", node + healthPath, 400},
		} {
			if got, _ := call(t, c.method, "http://"+c.url); got != c.want {
				t.Errorf("%s %s: got status %d, want %d", c.method, c.url, got, c.want)
			}
		}
		conn := nodetest.Dial(t, adminAddr)
		defer nodetest.Close(t, conn)
		writeText(t, conn, "rubbish\r\n\r\n")
		if line, _ := bufio.NewReader(conn).ReadString('\n'); !strings.Contains(line, " 400 ") {
			t.Errorf("malformed request: got status line %q, want 400", line)
		}
		conn = nodetest.Dial(t, adminAddr)
		defer nodetest.Close(t, conn)
		writeText(t, conn, "GET "+healthPath+" HTTP/1.1\r\nHost: x\r\n\r\n")
		if all, err := io.ReadAll(conn); err != nil || !strings.Contains(string(all), "200 OK") {
			t.Errorf("health check: got %q, error %v, want status 200 and the end of the connection", all, err)
		}
	})
}

// Connections to the admin server that send nothing, or an incomplete request, don't delay other operators.
func TestSilentAdminClientsDelayNobody(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		listeners := Listeners{Clients: nodetest.Listener(t), Control: nodetest.Listener(t)}
		adminAddr := listeners.Control.Addr().String()
		startNodeAt(t, testConfig(t, nodetest.KnownList("127.0.0.1:9")), listeners, nil)
		for i := range adminSockets - 4 {
			conn := nodetest.Dial(t, adminAddr)
			defer nodetest.Close(t, conn)
			if i%2 == 0 {
				writeText(t, conn, "GET /stats HTTP/1.1\r\nHo")
			}
		}
		client := oneRequestClient(t)
		client.Timeout = adminCallTimeout
		resp, err := client.Get("http://" + adminAddr + statsPath)
		if err != nil {
			t.Fatal(err)
		}
		nodetest.Close(t, resp.Body)
	})
}

// A stopping node fails its health check, though its admin server still runs.
func TestHealthCheckFailsOnceNodeStops(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		listeners := Listeners{Clients: nodetest.Listener(t), Control: nodetest.Listener(t)}
		adminAddr := listeners.Control.Addr().String()
		_, stop := startNodeAt(t, testConfig(t, nodetest.KnownList("127.0.0.1:9")), listeners, nil)
		stopped := make(chan error, 1)
		go func() { stopped <- stop() }()
		unhealthy := false
		nodetest.Await(t, "the health check to fail, or the node to end", func() bool {
			resp, err := oneRequestClient(t).Get("http://" + adminAddr + healthPath)
			if err != nil {
				return true // the node has ended
			}
			nodetest.Close(t, resp.Body)
			unhealthy = unhealthy || resp.StatusCode == http.StatusServiceUnavailable
			return unhealthy
		})
		if !unhealthy {
			t.Error("the node ended before its health check failed with 503")
		}
		if err := nodetest.Receive(t, "the node to end", stopped); err != nil {
			t.Error(err)
		}
	})
}

// Metrics are well-formed for any class name.
func TestMetricsEscapeClassNames(t *testing.T) {
	names := []string{`a"b`, `back\slash`, "two words", "brace}", "comma,equals=", "größe", "line\nbreak", "\x01"}
	f := newMetrics(nil)
	for _, name := range names {
		f.class(name).Count(http.StatusOK)
	}
	var text strings.Builder
	f.set.WritePrometheus(&text)
	if got := strings.Count(text.String(), "app_fulfilled_total{"); got != len(names) {
		t.Errorf("classes in the metrics: got %d, want %d, in\n%s", got, len(names), text.String())
	}
	for line := range strings.Lines(text.String()) {
		if i := strings.LastIndex(line, " "); i < 0 || len(strings.TrimSpace(line[i:])) == 0 {
			t.Errorf("metrics line %q has no value", line)
		}
	}
}
