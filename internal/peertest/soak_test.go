package peertest_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"sloerail/internal/peertest"
	"sloerail/internal/testcluster"
)

var (
	seed      = flag.Uint64("seed", 1, "seed of the first run of TestPressureSoak")
	soakSeeds = flag.Int("soak-seeds", 3, "number of runs of TestPressureSoak")
	soakTime  = flag.Duration("soak-for", 12*time.Second, "how long each run of TestPressureSoak sends requests")
)

const (
	soakClients     = 12
	soakThinkTime   = 100 * time.Millisecond // at most, between two requests of a client
	repeatedSignals = 3                      // in a series
	// floodSeedDivisor divides the seeds of the runs with a flood.
	floodSeedDivisor = 3
	// killDelay is when SIGKILL may come after SIGTERM at the earliest: the longest deadline, 3 s at most, and 0.7 s.
	killDelay = 3700 * time.Millisecond
	// lastAnswers is how long before the kill a process answers what it can no longer serve.
	lastAnswers = 300 * time.Millisecond
	// throttleSlice is the time of which a throttled process gets its part.
	throttleSlice = 20 * time.Millisecond
)

// soak is one run: clients, a crowd and orders for the node, all drawn from a seed.
type soak struct {
	*pressureRig
	seed uint64
	ctx  context.Context // ends with the run

	groupIsAll bool // all servers drop repeats of a keyed request
	throttled  bool // the node's processes get a part of a core

	mu     sync.Mutex
	kills  []time.Time
	orders []string // what was done to the node, with its time
	start  time.Time
	broken []string
	asked  int
	served int
}

// Guards against any of the incident's failures in mixtures: memory over the limit, responses late, cut off or missing, and
// charges that run twice, beside replacements, planned restarts, reloads and series of signals.
func TestPressureSoak(t *testing.T) {
	for i := range *soakSeeds {
		seed := *seed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runSoak(t, seed) })
	}
}

func runSoak(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	spec := testcluster.NodeSpec{Cores: pressureCores, MemoryMB: []int{32, 48, 64}[random.IntN(3)], Sockets: []int{256, 384, 1024}[random.IntN(3)],
		Env: []string{"ROUTER_DEBUG_LOG=1"}, Settings: pressureSettings()}
	atSite := random.IntN(3) > 0
	if atSite {
		spec.Settings = siteSettings()
	}
	s := &soak{pressureRig: newPressureRig(t, spec, 8, random.IntN(2)), seed: seed, start: time.Now(), groupIsAll: !atSite,
		throttled: random.IntN(2) == 0}
	s.order("the operators' classes: %t, a part of a core: %t", atSite, s.throttled)
	s.throttle()
	ctx, stop := context.WithTimeout(s.pressureRig.ctx, *soakTime)
	defer stop()
	s.ctx = ctx
	var running sync.WaitGroup
	for i := range soakClients {
		clientRandom := rand.New(rand.NewPCG(seed, uint64(100+i)))
		running.Go(func() { s.client(clientRandom) })
	}
	if crowd := []int{0, 100, 300}[random.IntN(3)]; crowd > 0 {
		s.order("a crowd of %d", crowd)
		for i := range crowd {
			crowdRandom := rand.New(rand.NewPCG(seed, uint64(1000+i)))
			running.Go(func() { s.crowdClient(crowdRandom) })
		}
	}
	if seed%floodSeedDivisor == 0 {
		s.order("a flood on one connection")
		running.Go(func() { floodConnection(s.ctx, s.node.Listen, s.floodRequest) })
	}
	for s.ctx.Err() == nil {
		s.orderNode(random)
	}
	running.Wait()
	s.finish()
}

func (s *soak) order(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders = append(s.orders, fmt.Sprintf("%.3f s %s", time.Since(s.start).Seconds(), fmt.Sprintf(format, args...)))
}

// throttle gives the newest process a part of a core if the run wants that.
func (s *soak) throttle() {
	if s.throttled {
		s.t.Cleanup(s.node.Process().ThrottleCPU(pressureCores, throttleSlice))
	}
}

// orderNode waits for a while, and then replaces, restarts, reloads or signals the node.
func (s *soak) orderNode(random *rand.Rand) {
	select {
	case <-time.After(time.Duration(500+random.IntN(1500)) * time.Millisecond):
	case <-s.ctx.Done():
		return
	}
	switch random.IntN(3) {
	case 0:
		s.order("reloads")
		for range 1 + random.IntN(repeatedSignals) {
			s.node.Spec.Settings["limits"].(map[string]any)["maxAttempts"] = 1 + random.IntN(6)
			if err := s.node.Reload(); err != nil {
				s.t.Error(err)
			}
			time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
		}
	default:
		s.replace(random)
	}
}

// replace starts another process, ends the former one by a series of signals, and kills it at the earliest time.
func (s *soak) replace(random *rand.Rand) {
	s.order("a replacement")
	previous, err := s.node.Replace(withStepTimeout(s.t, s.pressureRig.ctx))
	if err != nil {
		s.t.Error(err)
		return
	}
	terminated := time.Now()
	s.throttle()
	for range random.IntN(repeatedSignals) {
		time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
		previous.Signal([]syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}[random.IntN(2)])
	}
	time.Sleep(time.Until(terminated.Add(killDelay)))
	s.mu.Lock()
	s.kills = append(s.kills, time.Now())
	s.mu.Unlock()
	s.order("the kill of the former process, ended already: %t", previous.Ended())
	previous.Kill()
}

// client sends requests until the run ends, and uses its connection for as long as it stays open.
func (s *soak) client(random *rand.Rand) {
	var c net.Conn
	for s.ctx.Err() == nil {
		q := s.draw(random)
		if q.BufferSize > 0 && c != nil { // its buffers are those of the connection
			_ = c.Close() // nothing is owed on it
			c = nil
		}
		var got peertest.Result
		for attempt := 0; ; attempt++ {
			reused := c != nil
			if c == nil {
				var err error
				if c, err = peertest.Connect(s.pressureRig.ctx, s.node.Listen, q.BufferSize); err != nil {
					s.breakRule(q, "connecting: %v", err)
					return
				}
			}
			got = q.DoOn(s.pressureRig.ctx, c)
			if !got.KeepAlive || q.BufferSize > 0 {
				_ = c.Close() // the node may have closed it
				c = nil
			}
			if got.Status != 0 || !reused || attempt > 0 { // otherwise the close may have crossed the request
				break
			}
		}
		s.check(q, got)
		time.Sleep(time.Duration(random.Int64N(int64(soakThinkTime))))
	}
	if c != nil {
		_ = c.Close() // as above
	}
}

// draw returns a random request.
func (s *soak) draw(random *rand.Rand) peertest.Request {
	q := []func() peertest.Request{s.read, s.pressureRig.order, s.charge}[random.IntN(3)]()
	if q.Wait = []time.Duration{q.Wait, 750 * time.Millisecond, 2500 * time.Millisecond}[random.IntN(3)]; !s.groupIsAll && random.IntN(2) == 0 {
		q.Wait = siteOrderWait
	}
	q.Behavior = drawResponse(random)
	if random.IntN(5) == 0 {
		q.BufferSize, q.ReadRate = 4096, 30_000+random.IntN(100_000)
	}
	if q.Method != http.MethodPost {
		return q
	}
	q.Chunked = random.IntN(2) == 0
	q.BodySize = random.IntN(2000)
	switch random.IntN(6) {
	case 0:
		q.BodySize = 60_000 + random.IntN(2_000_000)
	case 1:
		q.BodySize, q.Behavior.ReadRate = 60_000+random.IntN(2_000_000), 50_000+random.IntN(500_000)
	case 2:
		q.BodySize, q.Behavior.StopReading = 60_000+random.IntN(2_000_000), 1+random.IntN(20_000)
	case 3:
		q.BodySize, q.WriteRate = 20_000+random.IntN(300_000), 64_000+random.IntN(100_000)
		q.WritePiece = random.IntN(2) * (1 + random.IntN(32_000))
	}
	return q
}

// drawResponse returns a random form of a response.
func drawResponse(random *rand.Rand) (b peertest.ServerBehavior) {
	b.Delay = time.Duration(random.IntN(60)) * time.Millisecond
	b.Size, b.Framing = random.IntN(5000), peertest.Framing(random.IntN(3))
	switch random.IntN(4) {
	case 0:
		b.Size = 70_000 + random.IntN(200_000)
	case 1:
		b.Size = 5000 + random.IntN(1_000_000)
	}
	switch random.IntN(4) {
	case 0: // a steady server
		b.WriteRate = 64_000 + random.IntN(200_000)
	case 1: // pieces with gaps
		b.WriteRate, b.WritePiece = 64_000+random.IntN(100_000), 1000+random.IntN(64_000)
	}
	if random.IntN(3) == 0 {
		b.BodyDelay = time.Duration(random.IntN(2000)) * time.Millisecond
	}
	if random.IntN(4) == 0 {
		b.EarlyHead, b.EarlyBody = true, random.IntN(2)*random.IntN(b.Size+1)
	}
	if random.IntN(8) == 0 {
		b.BreakAfter = 1 + random.IntN(b.Size+1)
	}
	return b
}

// check records whether a request was answered as the operators' pages want it.
func (s *soak) check(q peertest.Request, got peertest.Result) {
	s.mu.Lock()
	s.asked++
	if got.Status == http.StatusOK && got.Whole {
		s.served++
	}
	s.mu.Unlock()
	conduct := peertest.Conduct{Attempts: s.servers.Attempts(q.ID), GroupIsAll: s.groupIsAll,
		Excused: got.Status != 0 && s.isEndOfProcess(q, got)}
	if violation := q.Violation(got, conduct); violation != "" {
		text := fmt.Sprintf("%s: %v", violation, got)
		for _, a := range conduct.Attempts {
			text += "\n" + a.Describe(s.start)
		}
		s.breakRule(q, "%s", text)
	}
}

const (
	// killNoticeTime is how long after a kill a client notices the end of its connection.
	killNoticeTime = 200 * time.Millisecond
	// bufferedBytes is what the buffers of sockets hold at most of a response that its client reads slowly. The client has it
	// still to read after a kill.
	bufferedBytes = 192 << 10
)

// isEndOfProcess reports whether a response ended as it did because a process came to the end of its shutdown: no page has the
// node finish by the kill a long response that began late.
func (s *soak) isEndOfProcess(q peertest.Request, got peertest.Result) bool {
	notice := killNoticeTime
	if q.ReadRate > 0 && got.Bytes > 0 {
		notice += time.Duration(bufferedBytes * int64(got.EndedAt.Sub(got.BeganAt)) / got.Bytes)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, killed := range s.kills {
		if got.BeganAt.Before(killed) && got.EndedAt.After(killed.Add(-lastAnswers)) && got.EndedAt.Before(killed.Add(notice)) {
			return true
		}
	}
	return false
}

func (s *soak) breakRule(q peertest.Request, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = append(s.broken, fmt.Sprintf("%.3f s %s of %d bytes at %d a second, wait %v, reads %d a second, %+v: %s",
		time.Since(s.start).Seconds(), q.ID, q.BodySize, q.WriteRate, q.Wait, q.ReadRate, q.Behavior, fmt.Sprintf(format, args...)))
}

// crowdClient behaves badly in one of the incident's ways until the run ends.
func (s *soak) crowdClient(random *rand.Rand) {
	for s.ctx.Err() == nil {
		q := s.draw(random)
		q.ID, q.Behavior = "crowd-"+q.ID, peertest.ServerBehavior{Size: 100_000}
		ctx, cancel := context.WithTimeout(s.ctx, time.Duration(500+random.IntN(3000))*time.Millisecond)
		switch random.IntN(5) {
		case 0:
			q.BodySize, q.WriteRate = 100_000, 20_000
			q.Do(ctx, s.node.Listen)
		case 1:
			q.BodySize = 300_000
			s.send(q.Head()+strings.Repeat("b", random.IntN(100_000)), 2*time.Second)
		case 2:
			s.send(strings.TrimSuffix(q.Head(), "\r\n")+strings.Repeat("a:\r\n", 3000), 2*time.Second)
		case 3:
			q.BufferSize, q.ReadRate = 4096, 20_000
			q.Do(ctx, s.node.Listen)
		case 4: // comes again after it has left
			s.leaveEarly(q, time.Duration(random.IntN(100))*time.Millisecond)
			q.Do(ctx, s.node.Listen)
		}
		cancel()
		time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
	}
}

// floodRequest returns one of the small requests of a flood: sound, with ever new tenants, or unsound.
func (s *soak) floodRequest(i int) string {
	class := "meter-read"
	if i%50 == 0 {
		class = fmt.Sprint("class-", i)
	}
	return fmt.Sprintf("GET /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: flood-%d\r\nX-Class: %s\r\nX-Tenant: tenant-%d\r\n"+
		"X-Deadline-Ms: 500\r\n\r\n", i, class, i)
}

// leaveEarly sends a request's head and closes the connection.
func (s *soak) leaveEarly(q peertest.Request, after time.Duration) {
	c, err := peertest.Connect(s.ctx, s.node.Listen, 0)
	if err != nil {
		return // the run ends, or the listener's queue is full
	}
	_, _ = c.Write([]byte(q.Head())) // the node may refuse it
	time.Sleep(after)
	_ = c.Close() // nothing is owed to the node
}

// finish fails the test if a rule was broken, and then prints the seed, the orders and the log's lines on the requests.
func (s *soak) finish() {
	s.requireMemory()
	for id, runs := range s.servers.Runs() {
		if runs > 1 && strings.Contains(id, "charge") {
			s.broken = append(s.broken, fmt.Sprintf("%s ran %d times", id, runs))
		}
	}
	s.t.Logf("seed %d: %d MB, %d descriptors, %d requests, %d served", s.seed, s.node.Spec.MemoryMB, s.node.Spec.Sockets, s.asked, s.served)
	if len(s.broken) == 0 {
		return
	}
	s.t.Errorf("rules broken with seed %d: got %d, want 0; orders:\n%s", s.seed, len(s.broken), strings.Join(s.orders, "\n"))
	for _, broken := range s.broken[:min(len(s.broken), 10)] {
		s.t.Errorf("%s\n%s", broken, s.logLines(broken))
	}
}

// logLines returns the lines of the processes' logs that name the request whose ID is in text.
func (s *soak) logLines(text string) string {
	var found []string
	for _, word := range strings.Fields(text) {
		if !strings.Contains(word, "-") {
			continue
		}
		for _, p := range s.node.Processes() {
			log, err := os.ReadFile(p.LogPath())
			if err != nil {
				return err.Error()
			}
			for line := range strings.Lines(string(log)) {
				if strings.Contains(line, "request="+word+" ") {
					found = append(found, fmt.Sprint(p.PID(), " ", line))
				}
			}
		}
		break
	}
	return strings.Join(found, "")
}
