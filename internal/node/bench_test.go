package node

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"sloerail/internal/node/nodetest"
)

// The benchmark measures the path of a request through a whole node: accept, framing, parsing, event, decision, attempt
// and response. Clients and servers run in another process, so that cpu-ns/op and allocs/op cover the node alone.
//
//	go test -run '^$' -bench Request ./internal/node

const (
	benchPeersEnv = "SLOERAIL_BENCH_PEER" // set in the process that runs the clients and servers
	benchServers  = 10
	benchClients  = 8
	benchResponse = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Load: latency_ms=12.5,util=0.41,qps=33\r\n" +
		"Content-Length: 64\r\n\r\n0123456789012345678901234567890123456789012345678901234567890123"
)

func BenchmarkRequest(b *testing.B) {
	for _, c := range []struct {
		name      string
		keepAlive bool
	}{{"kept", true}, {"new", false}} {
		b.Run(c.name, func(b *testing.B) { benchRequests(b, c.keepAlive) })
	}
}

func benchRequests(b *testing.B, keepAlive bool) {
	peers := exec.Command(os.Args[0])
	peers.Env = append(os.Environ(), benchPeersEnv+"=1")
	peers.Stderr = os.Stderr
	in, err := peers.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	out, err := peers.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := peers.Start(); err != nil {
		b.Fatal(err)
	}
	defer func() {
		if err := in.Close(); err != nil {
			b.Error(err)
		}
		if err := peers.Wait(); err != nil {
			b.Error(err)
		}
	}()
	peerLines := bufio.NewScanner(out)
	peerLines.Scan()
	c := testConfig(b, nodetest.KnownList(strings.Fields(peerLines.Text())...))
	for i := range c.Settings.Tenants {
		c.Settings.Tenants[i].Quota = 1e6
	}
	ln, err := listenShared(b.Context(), c.Listen)
	if err != nil {
		b.Fatal(err)
	}
	addr, _ := startNodeAt(b, c, Listeners{Clients: ln}, nil)
	sendRequests := func(n int) {
		if _, err := fmt.Fprintln(in, addr, n, keepAlive); err != nil {
			b.Fatal(err)
		}
		if !peerLines.Scan() || peerLines.Text() != "done" {
			b.Fatalf("bench peers: got line %q, want done", peerLines.Text())
		}
	}
	sendRequests(200)
	b.ReportAllocs()
	b.ResetTimer()
	before := cpuTime(b)
	sendRequests(b.N)
	b.ReportMetric(float64(cpuTime(b)-before)/float64(b.N), "cpu-ns/op")
}

// cpuTime returns the CPU time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// runBenchPeers runs the other process. It writes its servers' addresses, and then sends the requests that each line of
// in asks for: node address, number of requests, and whether to keep connections alive. It answers each line with done.
func runBenchPeers(in io.Reader, out io.Writer) error {
	var addrs []string
	for range benchServers {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		defer func() { _ = ln.Close() }() // the process ends next, so an error doesn't matter
		addrs = append(addrs, ln.Addr().String())
		go nodetest.AcceptRaw(ln, func(c net.Conn, r *bufio.Reader) {
			for nodetest.ReadRequest(r) {
				if _, err := io.WriteString(c, benchResponse); err != nil {
					return
				}
			}
		})
	}
	if _, err := fmt.Fprintln(out, strings.Join(addrs, " ")); err != nil {
		return err
	}
	for lines := bufio.NewScanner(in); lines.Scan(); {
		var addr string
		var n int
		var keepAlive bool
		if _, err := fmt.Sscan(lines.Text(), &addr, &n, &keepAlive); err != nil {
			return err
		}
		if err := sendBenchRequests(addr, n, keepAlive); err != nil {
			return err
		}
		if _, err := fmt.Fprintln(out, "done"); err != nil {
			return err
		}
	}
	return nil
}

// sendBenchRequests sends n requests from a few clients, on kept or on new connections.
func sendBenchRequests(addr string, n int, keepAlive bool) error {
	var clients sync.WaitGroup
	failed := make(chan error, benchClients)
	for i := range benchClients {
		clients.Go(func() {
			var c *benchClient
			for k := i; k < n; k += benchClients {
				if c == nil || !keepAlive {
					conn, err := net.Dial("tcp", addr)
					if err != nil {
						failed <- err
						return
					}
					c = &benchClient{Conn: conn, r: bufio.NewReader(conn)}
				}
				if err := c.roundTrip(k, keepAlive); err != nil {
					failed <- err
					return
				}
				if !keepAlive {
					_ = c.Close() // a failure shows in the next request
				}
			}
			if c != nil {
				_ = c.Close() // already closed if not keepAlive
			}
		})
	}
	clients.Wait()
	close(failed)
	return <-failed
}

// benchClient is one client connection.
type benchClient struct {
	net.Conn
	r   *bufio.Reader
	out bytes.Buffer
}

// roundTrip sends the k-th request and reads its response. Requests alternate between reads and posts with an
// idempotency key.
func (c *benchClient) roundTrip(k int, keepAlive bool) error {
	c.out.Reset()
	class, method, body := "read", "GET", ""
	if k%2 == 1 {
		class, method, body = "undo", "POST", strings.Repeat("x", 200)
	}
	fmt.Fprintf(&c.out, "%s /api/x?q=1 HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: %d-%d\r\nX-Class: %s\r\n"+
		"X-Tenant: t\r\nX-Deadline-Ms: 8000\r\n", method, time.Now().UnixNano(), k, class)
	if body != "" {
		fmt.Fprintf(&c.out, "Idempotency-Key: key-%d\r\nContent-Length: %d\r\n", k, len(body))
	}
	if !keepAlive {
		c.out.WriteString("Connection: close\r\n")
	}
	fmt.Fprintf(&c.out, "\r\n%s", body)
	if _, err := c.Write(c.out.Bytes()); err != nil {
		return err
	}
	status, contentLength := "", -1
	for {
		line, err := c.r.ReadSlice('\n')
		if err != nil {
			return err
		}
		text := string(bytes.TrimRight(line, "\r\n"))
		if text == "" {
			break
		}
		if status == "" {
			status = text
		}
		if v, ok := strings.CutPrefix(text, "Content-Length: "); ok {
			if contentLength, err = strconv.Atoi(v); err != nil {
				return err
			}
		}
	}
	if !strings.HasPrefix(status, "HTTP/1.1 200") || contentLength != 64 {
		return fmt.Errorf("response: got status line %q, length %d, want status 200, length 64", status, contentLength)
	}
	_, err := c.r.Discard(contentLength)
	return err
}
