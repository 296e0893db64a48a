package membership

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/memberlist"
)

var size = flag.Int("members", 40, "members of the fleets in virtual time")
var loss = flag.Float64("loss", 0.1, "part of the datagrams and streams that is lost in TestVirtualFleet")

func TestMain(m *testing.M) {
	slog.SetLogLoggerLevel(slog.LevelError)
	slog.SetDefault(slog.New(slog.DiscardHandler))
	m.Run()
}

// virtual is a fleet in one process and virtual time.
type virtual struct {
	net   *memNet
	all   []*Agent
	stops []func()
	ends  sync.WaitGroup
	seen  []deaths
}

// deaths are what one member was told of the others.
type deaths struct {
	mu   sync.Mutex
	told map[string]time.Time
}

func startVirtual(n int, seed uint64) *virtual {
	v := &virtual{net: newMemNet(seed), seen: make([]deaths, n)}
	for i := range n {
		v.start(i)
	}
	return v
}

func (v *virtual) start(i int) *Agent {
	var f *Agent
	c := Config{Name: fmt.Sprintf("n%04d", i), Zone: fmt.Sprint("z", i%3), Version: "test", Bind: memAddress(i),
		Join: []string{memAddress(0), memAddress(1), memAddress(2)}}
	c.transport = func() (memberlist.NodeAwareTransport, error) {
		return v.net.transport(c.Bind, &f.stats), nil
	}
	f, err := New(c)
	if err != nil {
		panic(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	if i < len(v.all) {
		v.stops[i]() // the process before, which has left or yielded
		v.all[i], v.stops[i] = f, stop
	} else {
		v.all, v.stops = append(v.all, f), append(v.stops, stop)
	}
	d := &v.seen[i]
	d.mu.Lock()
	d.told = make(map[string]time.Time)
	d.mu.Unlock()
	views := f.Subscribe()
	v.ends.Go(func() { f.Run(ctx) })
	v.ends.Go(func() {
		for {
			select {
			case view := <-views:
				d.mu.Lock()
				for _, m := range view.Members {
					if _, known := d.told[m.Name]; m.State == Dead && !known {
						d.told[m.Name] = time.Now()
					}
				}
				d.mu.Unlock()
			case <-ctx.Done():
				return
			}
		}
	})
	return f
}

// told are the deaths that a member was told of, and when first.
func (v *virtual) told(i int) map[string]time.Time {
	v.seen[i].mu.Lock()
	defer v.seen[i].mu.Unlock()
	return maps.Clone(v.seen[i].told)
}

// kill ends a member with no word to anybody.
func (v *virtual) kill(i int) {
	v.net.set(func() { v.net.side[memAddress(i)] = -1 - i })
	v.all[i].Yield()
}

func (v *virtual) end() {
	for _, stop := range v.stops {
		stop()
	}
	v.ends.Wait()
	time.Sleep(time.Minute) // memberlist's own last timers
}

// heard counts the members that one hears.
func (v *virtual) heard(i int) int { return v.all[i].View().PresentCount() }

// agreed waits until all of these hear so many, and tells how long that took.
func (v *virtual) agreed(t *testing.T, most time.Duration, n int, who ...int) time.Duration {
	t.Helper()
	began := time.Now()
	for _, i := range who {
		for v.heard(i) != n {
			if time.Since(began) > most {
				t.Fatalf("member %d hears %d after %v, want %d: %+v", i, v.heard(i), most, n, v.all[i].View())
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return time.Since(began)
}

func upTo(n int) (all []int) {
	for i := range n {
		all = append(all, i)
	}
	return all
}

// cpuTime is what this process has used of processors.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func percentile(all []time.Duration, p float64) time.Duration {
	slices.Sort(all)
	return all[min(len(all)-1, int(p*float64(len(all))))]
}

// A fleet in virtual time: it finds itself, is quiet, knows a death in time, and a split heals.
func TestVirtualFleet(t *testing.T) {
	n := *size
	synctest.Test(t, func(t *testing.T) {
		v := startVirtual(n, 1)
		defer v.end()
		joined := v.agreed(t, time.Minute, n, upTo(n)...)
		v.net.set(func() { v.net.loss = *loss })
		time.Sleep(20*time.Second + 2*time.Duration(n)*exchangesAfterChange*exchangeIntervalPerMember) // what the start has to tell is over
		sent := func() (sum uint64) {
			for _, f := range v.all {
				sum += f.Stats().SentBytes
			}
			return sum
		}
		const quiet = 30 * time.Second
		before, used := sent(), cpuTime()
		time.Sleep(quiet)
		rate := float64(sent()-before) / quiet.Seconds() / float64(n)
		core := (cpuTime() - used).Seconds() / quiet.Seconds() / float64(n)
		runtime.GC()
		var mem runtime.MemStats
		runtime.ReadMemStats(&mem)
		heap := float64(mem.HeapAlloc) / float64(n) / (1 << 20)
		for i := range v.seen {
			if told := v.told(i); len(told) > 0 {
				t.Errorf("member %d was told of deaths while all lived: %v", i, told)
			}
		}
		victim := n - 1
		killed := time.Now()
		v.kill(victim)
		v.agreed(t, 15*time.Second, n-1, upTo(n-1)...)
		var took []time.Duration
		name := v.all[victim].config.Name
		for i := range n - 1 {
			took = append(took, v.told(i)[name].Sub(killed))
		}
		v.net.set(func() {
			for i := range n / 2 {
				v.net.side[memAddress(i)] = 1
			}
		})
		v.agreed(t, time.Minute, n/2, upTo(n/2)...)
		v.net.set(func() {
			for i := range n / 2 {
				v.net.side[memAddress(i)] = 0
			}
		})
		healed := v.agreed(t, 30*time.Second, n-1, upTo(n-1)...)
		p50, p99 := percentile(took, 0.5), percentile(took, 0.99)
		t.Logf("%d members, %.0f%% lost: joined %v, a death known p50 %v p99 %v, split healed %v, "+
			"%.0f bytes/s, %.2f%% of a core and %.2f MB a node", n, *loss*100, joined, p50, p99, healed, rate, core*100, heap)
		if p99 > 4*time.Second || rate > 4000 {
			t.Errorf("p99 %v, want under 4 s; %.0f bytes/s, want under 4000", p99, rate)
		}
	})
}

// withFleet runs do in virtual time with a fleet that has found itself.
func withFleet(t *testing.T, n int, do func(t *testing.T, v *virtual)) {
	synctest.Test(t, func(t *testing.T) {
		v := startVirtual(n, 3)
		defer v.end()
		v.agreed(t, time.Minute, n, upTo(n)...)
		do(t, v)
	})
}

func (v *virtual) state(at int, name string) State {
	for _, m := range v.all[at].View().Members {
		if m.Name == name {
			return m.State
		}
	}
	return ""
}

// Who says that it goes has left; it comes back as a later process. A view's number only grows.
func TestLeftIsNotDead(t *testing.T) {
	withFleet(t, 7, func(t *testing.T, v *virtual) {
		before := v.all[0].View()
		v.stops[3]()
		v.agreed(t, 10*time.Second, 6, 0, 1, 2, 4, 5, 6)
		time.Sleep(10 * time.Second)
		for _, i := range []int{0, 1, 2, 4, 5, 6} {
			if s := v.state(i, "n0003"); s != Left {
				t.Errorf("member %d holds it for %s", i, s)
			}
		}
		v.start(3)
		v.agreed(t, 10*time.Second, 7, upTo(7)...)
		if after := v.all[0].View(); after.Revision <= before.Revision {
			t.Errorf("view %d after view %d", after.Revision, before.Revision)
		}
	})
}

// Of two processes under one name the later is the member at all, and the other is told and is silent.
func TestLaterProcessOfANameIsTheMember(t *testing.T) {
	withFleet(t, 5, func(t *testing.T, v *virtual) {
		time.Sleep(time.Second)
		var later *Agent
		c := v.all[2].config
		c.Bind = memAddress(77)
		c.transport = func() (memberlist.NodeAwareTransport, error) {
			return v.net.transport(c.Bind, &later.stats), nil
		}
		later, err := New(c)
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		v.ends.Go(func() { later.Run(ctx) })
		time.Sleep(30 * time.Second)
		if !v.all[2].View().Superseded || v.all[2].Stats().NameConflicts != 1 {
			t.Errorf("the earlier process was not told: %+v", v.all[2].Stats())
		}
		if later.View().Superseded {
			t.Error("the later process is silent")
		}
		for _, i := range []int{0, 1, 3, 4} {
			view := v.all[i].View()
			at := slices.IndexFunc(view.Members, func(m Member) bool { return m.Name == "n0002" })
			if m := view.Members[at]; m.Address != c.Bind || m.State != Alive || m.Incarnation != later.incarnation {
				t.Errorf("member %d holds %+v", i, m)
			}
		}
		stop()
	})
}

// A process that takes the name over from another of its node is the same member, later, with no death.
func TestHandedOverNameIsOneMember(t *testing.T) {
	withFleet(t, 5, func(t *testing.T, v *virtual) {
		time.Sleep(time.Second)
		was := v.all[2]
		was.Yield()
		time.Sleep(100 * time.Millisecond)
		is := v.start(2)
		v.agreed(t, 10*time.Second, 5, upTo(5)...)
		time.Sleep(10 * time.Second)
		for i := range v.all {
			if told := v.told(i); len(told) > 0 {
				t.Errorf("member %d was told of deaths: %v", i, told)
			}
			for _, m := range v.all[i].View().Members {
				if m.Name == "n0002" && (m.Incarnation != is.incarnation || is.incarnation <= was.incarnation) {
					t.Errorf("member %d holds incarnation %d, and it is %d after %d", i, m.Incarnation, is.incarnation, was.incarnation)
				}
			}
		}
	})
}

// What can't be used is named by its field.
func TestConfigNamesTheField(t *testing.T) {
	good := Config{Name: "n", Bind: "10.0.0.1:7946", Join: []string{"10.0.0.2:7946"}, AllowedCIDRs: []string{"10.0.0.0/8"}}
	if err := good.Validate(); err != nil {
		t.Fatal(err)
	}
	key := t.TempDir() + "/keys"
	if err := os.WriteFile(key, []byte("MTIzNDU2Nzg5MDEyMzQ1Ng==\nshort\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for want, change := range map[string]func(*Config){
		"fleet.name":      func(c *Config) { c.Name = "" },
		"fleet.bind":      func(c *Config) { c.Bind = "10.0.0.1" },
		"fleet.join":      func(c *Config) { c.Join = []string{"seed:7946"} },
		"fleet.advertise": func(c *Config) { c.Bind = "0.0.0.0:7946" },
		"fleet.label":     func(c *Config) { c.Label = "a b" },
		"fleet.allow":     func(c *Config) { c.AllowedCIDRs = []string{"10.0.0.0"} },
		"fleet.probe_ms":  func(c *Config) { c.ProbeInterval = time.Millisecond },
		"keys:2":          func(c *Config) { c.KeyFile = key },
	} {
		c := good
		change(&c)
		if err := c.Validate(); !errors.Is(err, ErrConfig) || !strings.Contains(err.Error(), want) {
			t.Errorf("want %s, got %v", want, err)
		}
	}
}

// What a member of the next version says of itself, and words of it, are no news and no harm.
func TestOtherVersionsAreNotMisread(t *testing.T) {
	if _, err := decodeMetadata([]byte{metadataVersion + 1, 0xa0}); err == nil {
		t.Error("another version was read")
	}
	f, err := New(Config{Name: "n", Bind: "10.0.0.1:7946"})
	if err != nil {
		t.Fatal(err)
	}
	d := delegate{f}
	for _, b := range [][]byte{nil, {messageVersion}, {messageVersion + 1, kindSuperseded, 0xff, 0, 0, 0, 0, 0, 0, 0},
		{messageVersion, 'x', 0xff, 0, 0, 0, 0, 0, 0, 0}} {
		d.NotifyMsg(b)
	}
	ip := net.IPv4(10, 0, 0, 9)
	d.NotifyJoin(&memberlist.Node{Name: "next", Addr: ip, Port: 7946, Meta: []byte{metadataVersion + 1, 1, 2}})
	v := f.View()
	if v.Superseded || len(v.Members) != 1 || v.Members[0].State != Alive {
		t.Errorf("%+v", v)
	}
}

// A line is told once in a while, whatever names and numbers it bears.
func TestLogLinesAreBounded(t *testing.T) {
	var out strings.Builder
	now := time.Unix(0, 0)
	l := newLogAdapter(slog.New(slog.NewTextHandler(&out, nil)), func() time.Time { return now }, func(string) {})
	write := func(i int) {
		t.Helper()
		_, err := fmt.Fprintf(l,
			"[ERR] memberlist: Decrypt packet failed: No installed keys could decrypt the message from=10.0.0.%d:7946", i)
		if err != nil {
			t.Fatal(err)
		}
	}
	for i := range 1000 {
		write(i)
	}
	if n := strings.Count(out.String(), "\n"); n != 1 || l.suppressedCount() != 999 {
		t.Errorf("%d lines, %d quieted", n, l.suppressedCount())
	}
	now = now.Add(logInterval)
	write(1)
	if n := strings.Count(out.String(), "\n"); n != 2 {
		t.Errorf("%d lines after the span", n)
	}
}

// On-call pages and the tests with real processes search the log for this line's beginning.
func TestMemberStateChangeHasAStableLogLine(t *testing.T) {
	var out strings.Builder
	now := func() time.Time { return time.Unix(0, 0) }
	l := newLogAdapter(slog.New(slog.NewTextHandler(&out, nil)), now, func(string) {})
	l.member(&Member{Name: "n1", State: Suspect}, Member{Name: "n1", State: Dead, Zone: "a", Incarnation: 7})
	const want = `level=INFO msg="fleet: member state changed" state=dead node=n1 address="" zone=a previous_state=suspect incarnation=7`
	if !strings.Contains(out.String(), want) {
		t.Errorf("log line is %q, want %q in it", out.String(), want)
	}
}
