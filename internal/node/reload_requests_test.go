package node

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"sloerail/internal/node/nodetest"
)

// The class "charge" in the settings of these tests, by its retry safety.
const (
	unsafeCharge     = `{"name":"charge","aim":4000,"deadline":9000,"repeat":"single_shot"}`
	idempotentCharge = `{"name":"charge","aim":4000,"deadline":9000,"repeat":"free"}`
	keyedCharge      = `{"name":"charge","aim":4000,"deadline":9000,"repeat":"guarded","group":"all","window":4000}`
	keyedCellCharge  = `{"name":"charge","aim":4000,"deadline":9000,"repeat":"guarded","group":"cell","window":4000}`
)

const (
	// reloadInterval is the time between two changes of the configuration.
	reloadInterval = 300 * time.Millisecond
	// slowHeadTime is how long a slow head takes: longer than clients may go by a former configuration, and shorter than
	// the node waits for a head.
	slowHeadTime = 2 * time.Second
	// firstCell is the number of the first cell of servers.
	firstCell = 10
	// slowRunTime is how long servers run the request with the ID "slow".
	slowRunTime = 2 * time.Second
)

// reloadableNode is a node whose settings a test changes while requests are under way.
type reloadableNode struct {
	t       *testing.T
	addr    string
	changes chan<- Change
	reload  func(services string, maxAttempts int) Change
	ran     *atomic.Int32 // requests that servers ran; set by startReloadableNode
}

// startReloadableNode starts a node with the services, in the form of the settings file, and four servers that answer
// each request with 500, so that the node retries what it may retry. Each server is a cell of its own.
func startReloadableNode(t *testing.T, services string, maxAttempts int) *reloadableNode {
	t.Helper()
	var ran atomic.Int32
	var servers []string
	for range 4 {
		servers = append(servers, nodetest.HTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
			ran.Add(1)
			if r.Header.Get("X-Request-Id") == "slow" {
				time.Sleep(slowRunTime)
			}
			w.WriteHeader(http.StatusInternalServerError)
		}))
	}
	n := newReloadableNode(t, services, maxAttempts, servers, func(server int) (cell int) { return server })
	n.ran = &ran
	return n
}

// newReloadableNode starts a node with the services and the servers.
func newReloadableNode(
	t *testing.T, services string, maxAttempts int, servers []string, cellOf func(server int) int,
) *reloadableNode {
	t.Helper()
	known := nodetest.KnownList(servers...)
	for i := range servers {
		known = strings.Replace(known, `"cell":1,`, fmt.Sprintf(`"cell":%d,`, firstCell+cellOf(i)), 1)
	}
	fill := func(services string, maxAttempts int) string {
		settings := strings.NewReplacer("SERVICES", services, "ATTEMPTS", fmt.Sprint(maxAttempts)).Replace(
			`{"position":0,"groupSize":1,"zone":"a","services":[{"name":"read","deadline":9000,"repeat":"free"}SERVICES],
				"limits":{"maxAttempts":ATTEMPTS}}`)
		return nodetest.FillConfig(known, settings)
	}
	c, reload := loadFile(t, fill(services, maxAttempts))
	changes := make(chan Change)
	n := &reloadableNode{t: t, changes: changes}
	n.addr, _ = startNodeAt(t, c, Listeners{Clients: nodetest.Listener(t)}, changes)
	n.reload = func(services string, maxAttempts int) Change {
		next, err := reload(fill(services, maxAttempts))
		return Change{Config: next, Err: err}
	}
	return n
}

// settle waits until the node has handled all that it was sent: in a Bubble, time passes only then.
func settle() { time.Sleep(time.Nanosecond) }

// change reloads the configuration with the services, and waits until the node has applied it.
func (n *reloadableNode) change(services string, maxAttempts int) {
	n.t.Helper()
	c := n.reload(services, maxAttempts)
	if c.Err != nil {
		n.t.Fatal(c.Err)
	}
	n.changes <- c
	settle()
}

// send writes the parts of a request, and calls between after each part but the last. It returns the response's status,
// or 0 if there is none.
func (n *reloadableNode) send(parts []string, between func(part int)) (status int) {
	n.t.Helper()
	conn := nodetest.Dial(n.t, n.addr)
	for i, part := range parts {
		if _, err := conn.Write([]byte(part)); err != nil {
			n.t.Error(err)
			return 0
		}
		settle()
		if i < len(parts)-1 {
			between(i)
		}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		n.t.Error(err)
		return 0
	}
	nodetest.CloseIgnoringClosed(n.t, resp.Body)
	return resp.StatusCode
}

// chargeHead returns the head of a request of the class "charge" with a body of bodyBytes. headers are further lines.
func chargeHead(method, id string, bodyBytes int, headers ...string) string {
	lines := append([]string{method + " /api HTTP/1.1", "Host: origin.svc", "X-Request-Id: " + id, "X-Class: charge",
		"X-Tenant: t", "X-Deadline-Ms: 8000", fmt.Sprint("Content-Length: ", bodyBytes)}, headers...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n"
}

// Guards against a duplicate: a non-idempotent request whose body was arriving while the configuration changed twice was
// sent again under the class of the configuration in between, or of the last one.
func TestRequestKeepsItsClassThroughSeveralReloads(t *testing.T) {
	for name, changes := range map[string][]string{
		"idempotent in between":            {"," + idempotentCharge, "," + unsafeCharge},
		"dropped, then back as idempotent": {"", "," + idempotentCharge},
		"idempotent, then dropped":         {"," + idempotentCharge, ""},
		"idempotent after one more reload": {"," + unsafeCharge, "," + idempotentCharge},
		"idempotent in the second of four": {"," + keyedCharge, "," + idempotentCharge, "", "," + keyedCharge},
	} {
		t.Run(name, func(t *testing.T) {
			nodetest.Bubble(t, func(t *testing.T) {
				n := startReloadableNode(t, ","+unsafeCharge, 4)
				status := n.send([]string{chargeHead("POST", "c", 4), "pa", "id"}, func(part int) {
					if part == 0 {
						return
					}
					for _, services := range changes {
						n.change(services, 4)
						time.Sleep(50 * time.Millisecond)
					}
				})
				if ran := n.ran.Load(); ran != 1 || status != http.StatusBadGateway {
					t.Errorf("got %d runs and status %d, want 1 run, then 502", ran, status)
				}
			})
		})
	}
}

// Guards against attempts beyond the limit of the settings under which a request began to arrive.
func TestRequestKeepsItsAttemptsThroughReloads(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		n := startReloadableNode(t, ","+keyedCharge, 2)
		n.send([]string{chargeHead("POST", "c", 4, "Idempotency-Key: k"), "paid"}, func(int) { n.change(","+keyedCharge, 4) })
		if ran := n.ran.Load(); ran != 2 {
			t.Errorf("runs of a request that began under a limit of 2 attempts: got %d, want 2", ran)
		}
	})
}

// Guards against rejecting a client that goes by the configuration before the last but one, when two changes come within
// formerClassPeriod: each class is accepted in the form of every configuration that clients may still go by.
func TestEachFormIsAcceptedForAWhileAfterSeveralReloads(t *testing.T) {
	type form struct {
		method  string
		headers []string
	}
	unsafe, idempotent, keyed := form{"POST", nil}, form{"GET", nil}, form{"POST", []string{"Idempotency-Key: k"}}
	for _, c := range []struct {
		sinceSecond time.Duration // time since the second change
		form        form
		runs        int32
	}{
		{0, unsafe, 1}, {0, idempotent, 4}, {0, keyed, 4},
		{formerClassPeriod - reloadInterval - time.Millisecond, unsafe, 1},
		{formerClassPeriod - reloadInterval, unsafe, 0},
		{formerClassPeriod - reloadInterval, idempotent, 4},
		{formerClassPeriod, idempotent, 0},
		{formerClassPeriod, keyed, 4},
	} {
		nodetest.Bubble(t, func(t *testing.T) {
			n := startReloadableNode(t, ","+unsafeCharge, 4)
			n.change(","+idempotentCharge, 4)
			time.Sleep(reloadInterval)
			n.change(","+keyedCharge, 4)
			time.Sleep(c.sinceSecond)
			status := n.send([]string{chargeHead(c.form.method, "c", 0, c.form.headers...)}, nil)
			if ran := n.ran.Load(); ran != c.runs {
				t.Errorf("%v after the second change, %v: got status %d and %d runs, want %d runs", c.sinceSecond, c.form, status,
					ran, c.runs)
			}
		})
	}
}

// Guards against a duplicate and against rejecting a valid request: a request whose head was arriving while the
// configuration changed was checked against the configuration at the end of the head.
func TestRequestIsBoundByTheRulesOfItsFirstByte(t *testing.T) {
	for name, c := range map[string]struct {
		before, after string
		head          string
		runs          int32
	}{
		"cell, then all": {keyedCellCharge, keyedCharge, chargeHead("POST", "c", 0, "Idempotency-Key: k"), 1},
		"other form":     {unsafeCharge, idempotentCharge, chargeHead("POST", "c", 0), 1},
		"stricter form":  {idempotentCharge, unsafeCharge, chargeHead("GET", "c", 0), 4},
	} {
		t.Run(name, func(t *testing.T) {
			nodetest.Bubble(t, func(t *testing.T) {
				n := startReloadableNode(t, ","+c.before, 4)
				status := n.send([]string{c.head[:20], c.head[20:]}, func(int) {
					n.change(","+c.after, 4)
					time.Sleep(slowHeadTime)
				})
				if ran := n.ran.Load(); ran != c.runs {
					t.Errorf("got status %d and %d runs, want %d runs", status, ran, c.runs)
				}
			})
		})
	}
}

// Guards against rejecting or repeating a request that waited behind another one on its connection while the
// configuration changed.
func TestPipelinedRequestIsBoundByTheRulesOfItsArrival(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		n := startReloadableNode(t, ","+unsafeCharge, 4)
		conn := nodetest.Dial(t, n.addr)
		if _, err := conn.Write([]byte(chargeHead("POST", "slow", 0) + chargeHead("POST", "c", 0))); err != nil {
			t.Fatal(err)
		}
		settle()
		n.change(","+idempotentCharge, 4)
		r := bufio.NewReader(conn)
		for _, id := range []string{"slow", "c"} {
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatal(err)
			}
			nodetest.CloseIgnoringClosed(t, resp.Body)
			if resp.StatusCode != http.StatusBadGateway {
				t.Errorf("request %s: got status %d, want 502", id, resp.StatusCode)
			}
		}
		if ran := n.ran.Load(); ran != 2 {
			t.Errorf("runs of two non-idempotent requests: got %d, want 2", ran)
		}
	})
}

// Guards against a duplicate: just after a change, a keyed request was repeated by the wider of the two dedup scopes, or
// the higher of the two limits of attempts, though its client could go by either configuration.
func TestRequestIsBoundByBothConfigurationsAfterAChange(t *testing.T) {
	for name, c := range map[string]struct {
		before, after                 string
		attemptsBefore, attemptsAfter int
		wait                          time.Duration
		runs                          int32
	}{
		"all, then cell":          {keyedCharge, keyedCellCharge, 4, 4, formerClassPeriod - time.Millisecond, 1},
		"cell, then all":          {keyedCellCharge, keyedCharge, 4, 4, formerClassPeriod - time.Millisecond, 1},
		"cell, then all for long": {keyedCellCharge, keyedCharge, 4, 4, formerClassPeriod, 4},
		"more attempts":           {keyedCharge, keyedCharge, 2, 4, 0, 2},
		"more attempts for long":  {keyedCharge, keyedCharge, 2, 4, formerClassPeriod, 4},
		"fewer attempts":          {keyedCharge, keyedCharge, 4, 2, 0, 2},
	} {
		t.Run(name, func(t *testing.T) {
			nodetest.Bubble(t, func(t *testing.T) {
				n := startReloadableNode(t, ","+c.before, c.attemptsBefore)
				n.change(","+c.after, c.attemptsAfter)
				time.Sleep(c.wait)
				status := n.send([]string{chargeHead("POST", "c", 0, "Idempotency-Key: k")}, nil)
				if ran := n.ran.Load(); ran != c.runs {
					t.Errorf("got status %d and %d runs, want %d runs", status, ran, c.runs)
				}
			})
		})
	}
}
