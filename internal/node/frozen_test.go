package node

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	gossip "sloerail/internal/membership"
	"sloerail/policy"
)

// The tests in this file pin forms that another version of the program reads, or an operator's tools. The
// golden files were written by the code of commit 4650eee; they are never written anew.

func golden(t *testing.T, name string) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// sameBytes fails where got is not want, and says from where on.
func sameBytes(t *testing.T, what string, got, want []byte) {
	t.Helper()
	if bytes.Equal(got, want) {
		return
	}
	n := 0
	for n < len(got) && n < len(want) && got[n] == want[n] {
		n++
	}
	t.Errorf("%s differs from byte %d on:\n got %s\nwant %s", what, n, got[n:min(n+80, len(got))], want[n:min(n+80, len(want))])
}

// What a process leaves to its successor, and what it says of its attempts and sockets later on, is
// read whole and written back byte for byte.
func TestHandoverMessagesKeepTheirForm(t *testing.T) {
	for _, name := range []string{"handover_state.json", "handover_progress.json"} {
		want := golden(t, name)
		strict := json.NewDecoder(bytes.NewReader(want))
		strict.DisallowUnknownFields()
		var in inheritance
		if err := strict.Decode(&in); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		var got []byte
		var err error
		if name == "handover_state.json" {
			got, err = json.Marshal(in)
			if a := in.Members; len(a) != 2 || a[0].Availability != policy.Draining || a[1].Availability != policy.Removed {
				t.Errorf("%s: members %+v", name, a)
			}
		} else {
			var out bytes.Buffer
			err = json.NewEncoder(&out).Encode(in)
			got = out.Bytes()
		}
		if err != nil {
			t.Fatal(err)
		}
		sameBytes(t, name, got, want)
	}
	// Members have a form of their own, whose keys the strict reading above can't see.
	var state struct{ Members []json.RawMessage }
	if err := json.Unmarshal(golden(t, "handover_state.json"), &state); err != nil {
		t.Fatal(err)
	}
	for _, raw := range state.Members {
		strict := json.NewDecoder(bytes.NewReader(raw))
		strict.DisallowUnknownFields()
		if err := strict.Decode(new(memberForm)); err != nil {
			t.Errorf("member %s: %v", raw, err)
		}
	}
}

// The socket at which a successor calls is where other versions look for it.
func TestHandoverSocketPath(t *testing.T) {
	for _, c := range []struct{ listen, scratch, want string }{
		{"127.0.0.1:8080", "/tmp/n0", "/tmp/n0/wayhold-127.0.0.1-8080.sock"},
		{":8080", "/tmp", "/tmp/wayhold--8080.sock"},
		{"[::1]:8080", "/tmp/", "/tmp/wayhold-[--1]-8080.sock"},
		{"server.svc:80", "relative", "relative/wayhold-server.svc-80.sock"},
		{"127.0.0.1:0", "/tmp", ""},
		{"127.0.0.1", "/tmp", ""},
		{"127.0.0.1:8080", "", ""},
	} {
		if got := handoverPath(Config{Listen: c.listen, Scratch: c.scratch}); got != c.want {
			t.Errorf("listen %q, folder %q: %q, want %q", c.listen, c.scratch, got, c.want)
		}
	}
}

// jsonShape is a JSON text's with its figures and words taken out: keys and their order stay, and of a list the
// first entry.
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

// A successor of any version meets the same sequence of messages, each of the same form.
func TestHandoverTranscriptOfThePredecessor(t *testing.T) {
	server := httpServer(t, func(http.ResponseWriter, *http.Request) {})
	c := replaceable(t, knownList(server))
	startProcess(t, c)
	if resp, _ := do(t, clientRequest(t, c.Listen, "GET", "read", "r", "")); resp.StatusCode != http.StatusOK {
		t.Fatalf("status %d", resp.StatusCode)
	}
	conn, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: handoverPath(c), Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(long)); err != nil {
		t.Fatal(err)
	}
	var log strings.Builder
	first, rights := make([]byte, 16), make([]byte, unix.CmsgSpace(16))
	n, rightsLen, _, _, err := conn.ReadMsgUnix(first, rights)
	if err != nil {
		t.Fatal(err)
	}
	l, err := listenerFrom(rights[:rightsLen])
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	fmt.Fprintf(&log, "predecessor: %q with the listening socket\n", first[:n])
	messages := json.NewDecoder(conn)
	next := func() {
		t.Helper()
		var raw json.RawMessage
		if err := messages.Decode(&raw); err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&log, "predecessor: %s\n", jsonShape(t, raw))
	}
	next()
	if _, err := conn.Write([]byte("S")); err != nil {
		t.Fatal(err)
	}
	log.WriteString("successor: \"S\"\n")
	next()
	if left, err := io.ReadAll(messages.Buffered()); err != nil || string(left) != "\n" {
		t.Errorf("behind the message: %q, %v", left, err)
	}
	sameBytes(t, "the transcript", []byte(log.String()), golden(t, "handover_transcript.txt"))
}

// A predecessor of any version meets a successor that takes its messages and answers with one byte.
func TestHandoverTranscriptOfTheSuccessor(t *testing.T) {
	c := replaceable(t, knownList("127.0.0.1:9"))
	state := bytes.Replace(golden(t, "handover_state.json"), []byte(`"Listen":"127.0.0.1:8080"`), []byte(`"Listen":"`+c.Listen+`"`), 1)
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: handoverPath(c), Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	clients, err := net.Listen("tcp", c.Listen)
	if err != nil {
		t.Fatal(err)
	}
	defer clients.Close()
	wrote := make(chan error, 1)
	predecessor := make(chan *net.UnixConn, 1)
	go func() {
		conn, err := l.AcceptUnix()
		if err == nil {
			predecessor <- conn
			var f *os.File
			if f, err = clients.(*net.TCPListener).File(); err == nil {
				_, _, err = conn.WriteMsgUnix([]byte("\n"), unix.UnixRights(int(f.Fd())), nil)
				f.Close()
			}
		}
		if err == nil {
			_, err = conn.Write(state)
		}
		wrote <- err
	}()
	at, err := Listen(c)
	if err != nil || at.heir == nil {
		t.Fatalf("no hand-over: %v", err)
	}
	defer at.close()
	if err := receive(t, "the predecessor's messages", wrote); err != nil {
		t.Fatal(err)
	}
	got, err := json.Marshal(at.heir.inheritance)
	if err != nil {
		t.Fatal(err)
	}
	sameBytes(t, "what the successor took", got, state)
	if at.Clients.Addr().String() != c.Listen {
		t.Errorf("the listening socket is at %v", at.Clients.Addr())
	}

	conn := receive(t, "the connection", predecessor)
	defer conn.Close()
	shares := make(chan inheritance, 8)
	go at.heir.serve(func() {}, func(left inheritance, whole bool) {
		if whole {
			close(shares)
			return
		}
		shares <- left
	})
	word := make([]byte, 16)
	if n, err := conn.Read(word); err != nil || string(word[:n]) != "S" {
		t.Fatalf("the successor said %q, %v", word[:n], err)
	}
	progress := golden(t, "handover_progress.json")
	if _, err := conn.Write(progress); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := json.NewEncoder(&out).Encode(receive(t, "the progress", shares)); err != nil {
		t.Fatal(err)
	}
	sameBytes(t, "what the successor heard", out.Bytes(), progress)
	conn.Close()
	if left, more := <-shares; more {
		t.Errorf("after the predecessor's end: %+v", left)
	}
}

// The list kept on disk is read and written back byte for byte.
func TestListFileKeepsItsForm(t *testing.T) {
	saved := time.UnixMilli(1800000000456)
	c := testConfig(t, knownList("127.0.0.1:9"))
	c.ListFile = filepath.Join("testdata", "list_file.txt")
	l, err := readKept(c.ListFile, saved.Add(time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	if len(l.Members) != 3 || l.Members[0].Availability != policy.Running || l.Members[1].Availability != policy.Draining {
		t.Errorf("read %+v", l)
	}
	k := newKeeper(c)
	k.take(l)
	sameBytes(t, "the file", k.encode(saved), golden(t, "list_file.txt"))
}

// The names and labels of the figures at /stats, and the answers at /healthcheck, are what operators' tools
// know. Values are left out.
func TestOperatorsFormsStay(t *testing.T) {
	c := testConfig(t, knownList("127.0.0.1:9"))
	c.Fleet = &gossip.Config{Name: "n0", Zone: "a", Version: "1", Bind: replaceable(t, knownList("127.0.0.1:9")).Listen, Label: "l"}
	if err := c.Fleet.Validate(); err != nil {
		t.Fatal(err)
	}
	c.Settings.Topology = &policy.Topology{RegionOfZone: map[string]string{"a": "east", "b": "west"},
		SameRegionCost: sameRegionCost, OtherRegionCost: otherRegionCost}
	at := Listeners{Clients: listen(t), Control: listen(t)}
	ctl := at.Control.Addr().String()
	startNodeAt(t, c, at, nil)
	c.Fleet.OnProbe(time.Millisecond)
	await(t, "the figures of places", func() bool {
		_, there := stats(t, ctl)[`app_place_servers{zone="a"}`]
		return there
	})
	var got strings.Builder
	var names []string
	for name := range stats(t, ctl) {
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
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+ctl+path, nil)
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
	refusing := newControl(l, func() bool { return false }, nil)
	ln := listen(t)
	go func() { _ = refusing.http.Serve(ln) }()
	t.Cleanup(func() { refusing.http.Close() })
	ctl = ln.Addr().String()
	resp, body = get(healthPath)
	describe(resp, body)
	sameBytes(t, "the operators' forms", []byte(got.String()), golden(t, "operators.txt"))
}
