package node

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	gossip "sloerail/internal/membership"
	"sloerail/internal/node/nodetest"
	"sloerail/policy"
)

// The tests in this file pin formats that another version of the program, or operators' tools, read. The golden files
// were written by the code of commit 4650eee and are never regenerated.

// jsonShape returns a JSON text with its values replaced by their types. Keys and their order stay, and each list is cut
// to its first entry.
func jsonShape(t *testing.T, raw []byte) string {
	t.Helper()
	d := json.NewDecoder(bytes.NewReader(raw))
	var out strings.Builder
	var value func()
	value = func() {
		token, err := d.Token()
		if err != nil {
			t.Fatal(err)
		}
		switch v := token.(type) {
		case json.Delim:
			out.WriteString(v.String())
			for n := 0; d.More(); n++ {
				if v == '{' {
					key, err := d.Token()
					if err != nil {
						t.Fatal(err)
					}
					fmt.Fprintf(&out, "%s%q:", strings.Repeat(",", min(n, 1)), key)
					value()
				} else if n == 0 {
					value()
				} else if err := d.Decode(new(json.RawMessage)); err != nil {
					t.Fatal(err)
				}
			}
			end, err := d.Token()
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprint(&out, end)
		case nil:
			out.WriteString("null")
		default:
			fmt.Fprintf(&out, "%T", v)
		}
	}
	value()
	return out.String()
}

// The predecessor's messages to a successor keep their order and format, so that processes of different versions can
// hand over.
func TestPredecessorHandOverTranscript(t *testing.T) {
	server := nodetest.HTTPServer(t, func(http.ResponseWriter, *http.Request) {})
	c := restartableConfig(t, nodetest.KnownList(server))
	startProcess(t, c)
	if resp, _ := do(t, clientRequest(t, c.Listen, "GET", "read", "r", "")); resp.StatusCode != http.StatusOK {
		t.Fatalf("request to the predecessor: got status %d, want 200", resp.StatusCode)
	}
	conn, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: identityOf(c).SocketPath(), Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	defer nodetest.Close(t, conn)
	if err := conn.SetDeadline(time.Now().Add(nodetest.Timeout)); err != nil {
		t.Fatal(err)
	}
	var transcript strings.Builder
	first, oob := make([]byte, 16), make([]byte, unix.CmsgSpace(16))
	n, oobLen, _, _, err := conn.ReadMsgUnix(first, oob)
	if err != nil {
		t.Fatal(err)
	}
	messages, err := unix.ParseSocketControlMessage(oob[:oobLen])
	if err != nil || len(messages) != 1 {
		t.Fatalf("control messages with the first bytes: got %d, error %v, want 1", len(messages), err)
	}
	fds, err := unix.ParseUnixRights(&messages[0])
	if err != nil || len(fds) != 1 {
		t.Fatalf("descriptors in the control message: got %d, error %v, want 1", len(fds), err)
	}
	f := os.NewFile(uintptr(fds[0]), "clients")
	defer nodetest.Close(t, f)
	l, err := net.FileListener(f)
	if err != nil {
		t.Fatal(err)
	}
	defer nodetest.Close(t, l)
	fmt.Fprintf(&transcript, "predecessor: %q with the listening socket\n", first[:n])
	decoder := json.NewDecoder(conn)
	next := func() {
		t.Helper()
		var raw json.RawMessage
		if err := decoder.Decode(&raw); err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&transcript, "predecessor: %s\n", jsonShape(t, raw))
	}
	next()
	if _, err := conn.Write([]byte("S")); err != nil {
		t.Fatal(err)
	}
	transcript.WriteString("successor: \"S\"\n")
	next()
	if left, err := io.ReadAll(decoder.Buffered()); err != nil || string(left) != "\n" {
		t.Errorf("bytes after the last message: got %q, error %v, want a newline", left, err)
	}
	nodetest.AssertEqualBytes(t, "the hand-over transcript", []byte(transcript.String()),
		nodetest.ReadGolden(t, "handover_transcript.txt"))
}

// Operators' tools depend on the names and labels of the metrics at /stats and on the responses at /healthcheck. The
// metrics' values are not compared.
func TestAdminFormat(t *testing.T) {
	c := testConfig(t, nodetest.KnownList("127.0.0.1:9"))
	c.Fleet = &gossip.Config{Name: "n0", Zone: "a", Version: "1",
		Bind: restartableConfig(t, nodetest.KnownList("127.0.0.1:9")).Listen, Label: "l"}
	if err := c.Fleet.Validate(); err != nil {
		t.Fatal(err)
	}
	c.Settings.Topology = &policy.Topology{RegionOfZone: map[string]string{"a": "east", "b": "west"},
		SameRegionCost: 1, OtherRegionCost: 3}
	listeners := Listeners{Clients: nodetest.Listener(t), Control: nodetest.Listener(t)}
	adminAddr := listeners.Control.Addr().String()
	startNodeAt(t, c, listeners, nil)
	c.Fleet.OnProbe(time.Millisecond)
	nodetest.Await(t, "the metrics of zone a", func() bool {
		_, there := stats(t, adminAddr)[`app_place_servers{zone="a"}`]
		return there
	})
	var got strings.Builder
	var names []string
	for name := range stats(t, adminAddr) {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintln(&got, name)
	}
	describe := func(resp *http.Response, body string) {
		fmt.Fprintf(&got, "%s: %d, %s %q\n", resp.Request.URL.Path, resp.StatusCode, resp.Header.Get("Content-Type"), body)
	}
	get := func(path string) (*http.Response, string) {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+adminAddr+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		return do(t, req)
	}
	resp, body := get(healthPath)
	describe(resp, body)
	resp, _ = get(statsPath)
	describe(resp, "")

	l, _ := startLoop(t, "127.0.0.1:9", func(policy.Time, policy.Event) []policy.Action { return nil })
	unready := newAdminServer(l, func() bool { return false }, nil)
	ln := nodetest.Listener(t)
	go func() { _ = unready.http.Serve(ln) }()
	t.Cleanup(func() { nodetest.Close(t, &unready.http) })
	adminAddr = ln.Addr().String()
	resp, body = get(healthPath)
	describe(resp, body)
	nodetest.AssertEqualBytes(t, "the admin server's responses", []byte(got.String()), nodetest.ReadGolden(t, "operators.txt"))
}
