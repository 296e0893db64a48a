package membership

import (
	"context"
	"flag"
	"net"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/memberlist"
)

var (
	fleetSize = flag.Int("members", 40, "members of the fleet in TestVirtualFleet")
	lossRate  = flag.Float64("loss", 0.1, "fraction of the datagrams and streams that is lost in TestVirtualFleet")
)

// cpuTime returns the CPU time used by this process so far.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func percentile(durations []time.Duration, p float64) time.Duration {
	slices.Sort(durations)
	return durations[min(len(durations)-1, int(p*float64(len(durations))))]
}

func (v *virtualFleet) sentBytes() (sum uint64) {
	for _, a := range v.agents {
		sum += a.Stats().SentBytes
	}
	return sum
}

// idleCost is the mean cost of a member while the fleet doesn't change.
type idleCost struct {
	bytesPerSecond float64
	cpuFraction    float64 // of one core
	heapMiB        float64
}

func (v *virtualFleet) measureIdle() idleCost {
	const duration = 30 * time.Second
	n := float64(len(v.agents))
	sentBefore, cpuBefore := v.sentBytes(), cpuTime()
	time.Sleep(duration)
	cost := idleCost{
		bytesPerSecond: float64(v.sentBytes()-sentBefore) / duration.Seconds() / n,
		cpuFraction:    (cpuTime() - cpuBefore).Seconds() / duration.Seconds() / n,
	}
	runtime.GC()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	cost.heapMiB = float64(mem.HeapAlloc) / n / (1 << 20)
	return cost
}

// A fleet in virtual time joins, sends little while idle, detects a death in time, and heals after a partition.
func TestVirtualFleet(t *testing.T) {
	n := *fleetSize
	synctest.Test(t, func(t *testing.T) {
		v := startFleet(n, 1)
		defer v.shutdown()
		joined := v.awaitPresent(t, time.Minute, n, indexes(n)...)
		v.network.setLoss(*lossRate)
		// waits until the exchanges that follow the joins are over
		time.Sleep(20*time.Second + 2*time.Duration(n)*exchangesAfterChange*exchangeIntervalPerMember)
		idle := v.measureIdle()
		for i := range v.agents {
			if deaths := v.deaths(i); len(deaths) > 0 {
				t.Errorf("member %d: views show deaths %v while all members are alive", i, deaths)
			}
		}

		victim := n - 1
		killed := time.Now()
		v.kill(victim)
		v.awaitPresent(t, 15*time.Second, n-1, indexes(n-1)...)
		var detection []time.Duration
		for i := range n - 1 {
			detection = append(detection, v.deaths(i)[nodeName(victim)].Sub(killed))
		}

		v.network.setPartition(1, indexes(n/2)...)
		v.awaitPresent(t, time.Minute, n/2, indexes(n/2)...)
		v.network.setPartition(0, indexes(n/2)...)
		healed := v.awaitPresent(t, 30*time.Second, n-1, indexes(n-1)...)

		p50, p99 := percentile(detection, 0.5), percentile(detection, 0.99)
		t.Logf("%d members, %.0f%% loss: joined in %v, death detected p50 %v p99 %v, partition healed in %v, "+
			"%.0f bytes/s, %.2f%% of a core and %.2f MiB per node", n, *lossRate*100, joined, p50, p99, healed,
			idle.bytesPerSecond, idle.cpuFraction*100, idle.heapMiB)
		if p99 > 4*time.Second || idle.bytesPerSecond > 4000 {
			t.Errorf("death detection p99: got %v, want at most 4 s; idle traffic per member: got %.0f bytes/s, want at most 4000",
				p99, idle.bytesPerSecond)
		}
	})
}

// A member that announces its leave is shown as left, not dead, and can rejoin as a later process. View revisions only
// increase.
func TestLeavingMemberIsLeftNotDead(t *testing.T) {
	withFleet(t, 7, func(t *testing.T, v *virtualFleet) {
		before := v.agents[0].View()
		v.stops[3]()
		v.awaitPresent(t, 10*time.Second, 6, 0, 1, 2, 4, 5, 6)
		time.Sleep(10 * time.Second)
		for _, i := range []int{0, 1, 2, 4, 5, 6} {
			if s := v.state(i, "n0003"); s != Left {
				t.Errorf("member %d: state of the leaving member: got %s, want left", i, s)
			}
		}
		v.start(3)
		v.awaitPresent(t, 10*time.Second, 7, indexes(7)...)
		if after := v.agents[0].View(); after.Revision <= before.Revision {
			t.Errorf("view revision after the rejoin: got %d, want above %d", after.Revision, before.Revision)
		}
	})
}

// If two processes have the same name, all members see the later process. The earlier process learns that it is
// superseded.
func TestLaterProcessSupersedesEarlierOfSameName(t *testing.T) {
	withFleet(t, 5, func(t *testing.T, v *virtualFleet) {
		time.Sleep(time.Second)
		c := v.agents[2].config
		c.Bind = memAddress(77)
		later, err := v.newAgent(c)
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		v.running.Go(func() { later.Run(ctx) })
		time.Sleep(30 * time.Second)
		if !v.agents[2].View().Superseded || v.agents[2].Stats().NameConflicts != 1 {
			t.Errorf("earlier process: want it superseded with one name conflict, got stats %+v", v.agents[2].Stats())
		}
		if later.View().Superseded {
			t.Error("later process was superseded, want it to remain the member")
		}
		for _, i := range []int{0, 1, 3, 4} {
			view := v.agents[i].View()
			at := slices.IndexFunc(view.Members, func(m Member) bool { return m.Name == "n0002" })
			if m := view.Members[at]; m.Address != c.Bind || m.State != Alive || m.Incarnation != later.incarnation {
				t.Errorf("member %d: want the later process alive, got %+v", i, m)
			}
		}
		stop()
	})
}

// When a process takes over the name from another process of its node, members see a higher incarnation and no death.
func TestNameHandoverCausesNoDeath(t *testing.T) {
	withFleet(t, 5, func(t *testing.T, v *virtualFleet) {
		time.Sleep(time.Second)
		earlier := v.agents[2]
		earlier.Yield()
		time.Sleep(100 * time.Millisecond)
		later := v.start(2)
		v.awaitPresent(t, 10*time.Second, 5, indexes(5)...)
		time.Sleep(10 * time.Second)
		for i := range v.agents {
			if deaths := v.deaths(i); len(deaths) > 0 {
				t.Errorf("member %d: views show deaths %v during the hand-over", i, deaths)
			}
			for _, m := range v.agents[i].View().Members {
				if m.Name == "n0002" && (m.Incarnation != later.incarnation || later.incarnation <= earlier.incarnation) {
					t.Errorf("member %d: got incarnation %d, want the later process's %d, above the earlier process's %d",
						i, m.Incarnation, later.incarnation, earlier.incarnation)
				}
			}
		}
	})
}

// A process that yielded isn't a member until it resumes.
func TestResumeAfterYield(t *testing.T) {
	withFleet(t, 5, func(t *testing.T, v *virtualFleet) {
		v.agents[2].Yield()
		v.awaitPresent(t, 20*time.Second, 4, 0, 1, 3, 4)
		if s := v.state(0, "n0002"); s != Dead {
			t.Errorf("state of a process that yielded without a successor: got %s, want %s", s, Dead)
		}
		v.agents[2].Resume()
		v.awaitPresent(t, 20*time.Second, 5, indexes(5)...)
	})
}

// User messages that are empty, truncated, of an unknown kind or of the next version are ignored. A member with metadata
// of the next version is still present.
func TestMessagesOfOtherVersionsAreIgnored(t *testing.T) {
	if _, err := decodeMetadata([]byte{metadataVersion + 1, 0xa0}); err == nil {
		t.Error("decodeMetadata of another version succeeded, want an error")
	}
	a, err := New(Config{Name: "n", Bind: "10.0.0.1:7946"})
	if err != nil {
		t.Fatal(err)
	}
	d := delegate{a}
	for _, b := range [][]byte{nil, {messageVersion},
		{messageVersion + 1, byte(kindSuperseded), 0xff, 0, 0, 0, 0, 0, 0, 0},
		{messageVersion, 'x', 0xff, 0, 0, 0, 0, 0, 0, 0}} {
		d.NotifyMsg(b)
	}
	ip := net.IPv4(10, 0, 0, 9)
	d.NotifyJoin(&memberlist.Node{Name: "next", Addr: ip, Port: 7946, Meta: []byte{metadataVersion + 1, 1, 2}})
	v := a.View()
	if v.Superseded || len(v.Members) != 1 || v.Members[0].State != Alive {
		t.Errorf("view after unknown messages: got %+v, want one alive member and not superseded", v)
	}
}
