package membership

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/memberlist"
)

func TestMain(m *testing.M) {
	slog.SetLogLoggerLevel(slog.LevelError)
	slog.SetDefault(slog.New(slog.DiscardHandler))
	m.Run()
}

// virtualFleet is a fleet that runs in one process and in virtual time.
type virtualFleet struct {
	network   *memNetwork
	agents    []*Agent
	stops     []func()
	running   sync.WaitGroup
	observers []observer
}

// observer records the deaths and suspicions in the views of one member.
type observer struct {
	mu         sync.Mutex
	deaths     map[string]time.Time // when first seen, by name
	suspicions map[string]bool      // names seen as suspect before they were seen as dead
}

func startFleet(n int, seed uint64) *virtualFleet {
	v := &virtualFleet{network: newMemNetwork(seed), observers: make([]observer, n)}
	for i := range n {
		v.start(i)
	}
	return v
}

func nodeName(i int) string { return fmt.Sprintf("n%04d", i) }

// start starts a process for member i, in place of the member's earlier process if there is one.
func (v *virtualFleet) start(i int) *Agent {
	c := Config{Name: nodeName(i), Zone: fmt.Sprint("z", i%3), Version: "test", Bind: memAddress(i),
		Join: []string{memAddress(0), memAddress(1), memAddress(2)}}
	a, err := v.newAgent(c)
	if err != nil {
		panic(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	if i < len(v.agents) {
		v.stops[i]()
		v.agents[i], v.stops[i] = a, stop
	} else {
		v.agents, v.stops = append(v.agents, a), append(v.stops, stop)
	}
	views := a.Subscribe()
	v.observers[i].reset()
	v.running.Go(func() { a.Run(ctx) })
	v.running.Go(func() { v.observers[i].watch(ctx, views) })
	return a
}

// newAgent creates an agent on the in-memory network.
func (v *virtualFleet) newAgent(c Config) (*Agent, error) {
	var a *Agent
	c.newTransport = func() (memberlist.NodeAwareTransport, error) {
		return v.network.newTransport(c.Bind, &a.network), nil
	}
	a, err := New(c)
	return a, err
}

func (o *observer) reset() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.deaths, o.suspicions = make(map[string]time.Time), make(map[string]bool)
}

func (o *observer) watch(ctx context.Context, views <-chan View) {
	for {
		select {
		case view := <-views:
			o.observe(view)
		case <-ctx.Done():
			return
		}
	}
}

func (o *observer) observe(view View) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, m := range view.Members {
		_, known := o.deaths[m.Name]
		switch {
		case m.State == Dead && !known:
			o.deaths[m.Name] = time.Now()
		case m.State == Suspect && !known:
			o.suspicions[m.Name] = true
		}
	}
}

// deaths returns the times when the views of member i first showed other members as dead, by name.
func (v *virtualFleet) deaths(i int) map[string]time.Time {
	v.observers[i].mu.Lock()
	defer v.observers[i].mu.Unlock()
	return maps.Clone(v.observers[i].deaths)
}

// suspected reports whether the views of member i showed another member as suspect before they showed it as dead.
func (v *virtualFleet) suspected(i int, name string) bool {
	v.observers[i].mu.Lock()
	defer v.observers[i].mu.Unlock()
	return v.observers[i].suspicions[name]
}

// kill isolates and stops member i, without a leave announcement.
func (v *virtualFleet) kill(i int) {
	v.network.setPartition(-1-i, i)
	v.agents[i].Yield()
}

func (v *virtualFleet) shutdown() {
	for _, stop := range v.stops {
		stop()
	}
	v.running.Wait()
	time.Sleep(time.Minute) // lets memberlist's remaining timers expire
}

func (v *virtualFleet) presentCount(i int) int { return v.agents[i].View().PresentCount() }

// awaitPresent waits until each of the given members sees count members present, and returns how long that took.
func (v *virtualFleet) awaitPresent(t *testing.T, timeout time.Duration, count int, members ...int) time.Duration {
	t.Helper()
	start := time.Now()
	for _, i := range members {
		for v.presentCount(i) != count {
			if time.Since(start) > timeout {
				t.Fatalf("member %d: got %d members present after %v, want %d: %+v",
					i, v.presentCount(i), timeout, count, v.agents[i].View())
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return time.Since(start)
}

// state returns a member's state in the observer's view, or "" if it isn't in the view.
func (v *virtualFleet) state(observer int, name string) State {
	for _, m := range v.agents[observer].View().Members {
		if m.Name == name {
			return m.State
		}
	}
	return ""
}

// indexes returns 0 to n-1.
func indexes(n int) (all []int) {
	for i := range n {
		all = append(all, i)
	}
	return all
}

// withFleet runs a test in virtual time with a fleet of n members that all see each other.
func withFleet(t *testing.T, n int, test func(t *testing.T, v *virtualFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		v := startFleet(n, 3)
		defer v.shutdown()
		v.awaitPresent(t, time.Minute, n, indexes(n)...)
		test(t, v)
	})
}
