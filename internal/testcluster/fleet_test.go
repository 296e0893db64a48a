package testcluster

import (
	"bytes"
	"context"
	"encoding/base64"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"sloerail/internal/emulator"
)

// fleetHarness is a fleet with clients, and helpers that fail the test on an error.
type fleetHarness struct {
	*testing.T
	*Fleet
	env   *Environment
	ctx   context.Context
	loads []*LoadGenerator
}

// newFleetHarness starts a fleet of n nodes in two zones, with clients that send the given rate of requests per second.
// If the rate is 0, it starts no clients.
func newFleetHarness(t *testing.T, n int, spec FleetSpec, rate float64) *fleetHarness {
	t.Helper()
	spec.Nodes, spec.Zones = n, []string{"a", "b"}
	h := startFleetHarness(t, spec, serverSpecs(6, spec.Zones...))
	if rate > 0 {
		var nodes []*Node
		for _, name := range h.Names {
			nodes = append(nodes, h.Nodes[name])
		}
		h.loads = append(h.loads, h.env.StartClients("c", emulator.ClientSpec{Rate: rate, Classes: shortClasses(), Tenants: tenants,
			MaxRetries: 3, RetryDelay: 50 * time.Millisecond, TimeoutFraction: 0.6, Until: time.Hour}, nodes...))
	}
	return h
}

// startFleetHarness starts a fleet with the given servers and without clients.
func startFleetHarness(t *testing.T, spec FleetSpec, servers []emulator.ServerSpec) *fleetHarness {
	t.Helper()
	cluster, ctx := newCluster(t)
	env := cluster.NewEnvironment(*seed, servers...)
	spec.Classes, spec.Tenants = shortClasses(), tenants
	if spec.Quota == 0 {
		spec.Quota = 4000
	}
	f, err := env.NewFleet(spec)
	if err != nil {
		t.Fatal(err)
	}
	h := &fleetHarness{T: t, Fleet: f, env: env, ctx: ctx}
	if err := f.Start(withStepTimeout(t, ctx), f.Names...); err != nil {
		t.Fatal(err)
	}
	h.awaitMembership(f.Names...)
	return h
}

// awaitMembership waits until each named node sees exactly the named nodes as present members, and no member as
// suspect. It returns how long that took.
func (h *fleetHarness) awaitMembership(names ...string) time.Duration {
	h.Helper()
	took, err := h.AwaitMembership(withStepTimeout(h.T, h.ctx), names...)
	if err != nil {
		h.Fatal(err)
	}
	return took
}

// awaitState waits until all named nodes see a member in the given state, and returns how long that took for each.
func (h *fleetHarness) awaitState(member, state string, names ...string) []time.Duration {
	h.Helper()
	took, err := h.AwaitState(withStepTimeout(h.T, h.ctx), member, state, names...)
	if err != nil {
		h.Fatal(err)
	}
	return took
}

// finish stops the clients, waits for their last requests, and fails the test if rules were broken.
func (h *fleetHarness) finish() {
	h.Helper()
	for _, l := range h.loads {
		h.env.WithLock(func() { l.clients.StopArrivals() })
		if err := l.Wait(withStepTimeout(h.T, h.ctx)); err != nil {
			h.Fatal(err)
		}
		h.Logf("clients: %+v", l.Stats())
	}
	h.env.requireNoViolations(h.T)
}

func (h *fleetHarness) pause(name string, d time.Duration) { h.Nodes[name].Process().Pause(h.ctx, d) }

// restart starts a node that has ended, and waits until it is ready for clients.
func (h *fleetHarness) restart(name string) {
	h.Helper()
	if err := h.Start(withStepTimeout(h.T, h.ctx), name); err != nil {
		h.Fatal(err)
	}
}

// A fleet of seven nodes under load recovers from a sequence of faults.
func TestFleetSurvivesFaults(t *testing.T) { //nolint:gocyclo // a table of short steps
	h := newFleetHarness(t, 7, FleetSpec{}, 120)
	others := h.Others("n03")
	for _, step := range []struct {
		name   string
		deaths int // maximum number of deaths that all nodes together may report
		do     func()
	}{
		{"a short pause causes no death", 0, func() {
			h.pause("n03", 500*time.Millisecond)
			h.awaitMembership(h.Names...)
		}},
		{"one of seven is killed and restarted", 6, func() {
			h.Nodes["n03"].Kill()
			h.Logf("death known after %v", h.awaitState("n03", "dead", others...))
			h.restart("n03")
			h.awaitMembership(h.Names...)
		}},
		{"a long pause: each node reports at most one death and reverts it", 12, func() {
			h.pause("n03", 3*time.Second)
			h.Logf("membership agreed %v after the pause", h.awaitMembership(h.Names...))
		}},
		{"four of seven are killed at once", 4 * 3, func() {
			killed := []string{"n02", "n03", "n04", "n05"}
			for _, name := range killed {
				h.Nodes[name].Kill()
			}
			remaining := h.Others(killed...)
			h.awaitMembership(remaining...)
			for _, name := range remaining {
				if v, err := h.View(h.ctx, name); err != nil || !v.Partitioned || v.QuotaNodes != 7 {
					h.Errorf("%s, in a minority of 3 of 7: partitioned: got %v, want true; quota nodes: got %d, want 7; error: %v",
						name, v.Partitioned, v.QuotaNodes, err)
				}
			}
			for _, name := range killed {
				h.restart(name)
			}
			h.awaitMembership(h.Names...)
		}},
		{"partition into 4 and 3, then 2, 2 and 3, then healed", 3 * 7 * 6, func() {
			a, b, c := h.Names[:2], h.Names[2:4], h.Names[4:]
			four := slices.Concat(a, b)
			h.Partition(four, c)
			h.awaitMembership(four...)
			h.awaitMembership(c...)
			for _, name := range h.Names {
				v, err := h.View(h.ctx, name)
				if cut := slices.Contains(c, name); err != nil || v.Partitioned != cut || v.QuotaNodes != 7 {
					h.Errorf("%s: partitioned: got %v, want true only in the minority of 3; quota nodes: got %d, want 7; error: %v",
						name, v.Partitioned, v.QuotaNodes, err)
				}
			}
			h.Partition(a, b, c)
			h.awaitMembership(a...)
			h.awaitMembership(b...)
			h.Partition()
			h.Logf("healed after %v", h.awaitMembership(h.Names...))
		}},
		{"a node that receives but cannot send", 2 * 7 * 6, func() {
			h.setOneWayCut("n03", true)
			h.awaitState("n03", "dead", others...)
			h.setOneWayCut("n03", false)
			h.Logf("healed after %v", h.awaitMembership(h.Names...))
		}},
		{"a node that reaches only one peer remains or rejoins", 7 * 6, func() {
			for _, name := range others {
				cut := Faults{Cut: name != "n00"}
				h.cluster.SetLinkFaults("n03", name, cut)
				h.cluster.SetLinkFaults(name, "n03", cut)
			}
			if err := sleep(h.ctx, 3*time.Second); err != nil { // longer than the detection of a death takes
				h.Fatal(err)
			}
			h.Partition()
			h.awaitMembership(h.Names...)
		}},
		{"full state exchange over a slow link", 0, func() {
			for _, name := range others {
				h.cluster.SetLinkFaults("n03", name, Faults{Latency: 20 * time.Millisecond, Jitter: 30 * time.Millisecond, Bandwidth: 40_000})
				h.cluster.SetLinkFaults(name, "n03", Faults{Reorder: 0.3, Duplicate: 0.3, Bandwidth: 40_000})
			}
			h.Nodes["n03"].Process().Signal(syscall.SIGTERM)
			if err := h.Nodes["n03"].Process().Wait(withStepTimeout(t, h.ctx)); err != nil {
				h.Error(err)
			}
			h.restart("n03")
			h.awaitMembership(h.Names...)
			h.Partition()
			for _, name := range others {
				h.cluster.SetLinkFaults("n03", name, Faults{})
				h.cluster.SetLinkFaults(name, "n03", Faults{})
			}
		}},
		{"rolling restart: all leave and none is declared dead", 0, func() {
			for _, name := range h.Names {
				p := h.Nodes[name].Process()
				p.Signal(syscall.SIGTERM)
				h.awaitState(name, "left", h.Others(name)...)
				if err := p.Wait(withStepTimeout(t, h.ctx)); err != nil {
					h.Error(err)
				}
				h.restart(name)
				h.awaitMembership(h.Names...)
			}
		}},
		{"rolling replacement: members remain, with later incarnations", 0, func() {
			for _, name := range h.Names {
				before := h.incarnation("n00", name)
				previous, err := h.Nodes[name].Replace(withStepTimeout(t, h.ctx))
				if err == nil {
					err = previous.Wait(withStepTimeout(t, h.ctx))
				}
				if err != nil {
					h.Fatal(err)
				}
				err = Await(withStepTimeout(t, h.ctx), "a later incarnation of "+name, func() bool {
					return h.incarnation("n01", name) > before && h.incarnation(name, name) > before
				})
				if err != nil {
					h.Fatal(err)
				}
				h.awaitMembership(h.Names...)
			}
		}},
	} {
		h.T = t
		t.Run(step.name, func(t *testing.T) {
			h.T = t
			before := h.DeathReports()
			step.do()
			if reported := h.DeathReports() - before; reported > step.deaths {
				t.Errorf("reported deaths: got %d, want at most %d", reported, step.deaths)
			}
		})
		if t.Failed() {
			return
		}
	}
	h.T = t
	h.finish()
}

// A fleet under load recovers from a random schedule of faults, which may overlap. The test prints the schedule if
// playing it fails or a rule is broken, but not if the fleet does not recover in time.
func TestFleetSurvivesRandomSchedule(t *testing.T) {
	t.Parallel()
	h := newFleetHarness(t, 5, FleetSpec{}, 60)
	s := RandomSchedule(*seed, 8, 8*time.Second, h.Names, Pause, Replace, Restart, Partition, OneWayPartition, PacketLoss)
	if err := h.cluster.PlaySchedule(withStepTimeout(t, h.ctx), s, h.Nodes); err != nil {
		t.Errorf("playing the schedule: %v\nschedule: %s", err, s)
	}
	h.awaitMembership(h.Names...)
	h.finish()
	if t.Failed() {
		t.Logf("schedule: %s", s)
	}
}

// ParseSchedule parses what String returns, and rejects invalid schedules.
func TestScheduleRoundTrip(t *testing.T) {
	s := RandomSchedule(7, 20, time.Minute, []string{"a", "b", "c"}, Kill, Partition, PacketLoss)
	parsed, err := ParseSchedule(s.String())
	if err != nil || parsed.String() != s.String() || RandomSchedule(7, 20, time.Minute, []string{"a", "b", "c"}, Kill, Partition, PacketLoss).String() != s.String() {
		t.Errorf("round trip of a random schedule: error %v, got %s, want the schedule that the seed draws", err, parsed)
	}
	for text, want := range map[string]string{
		`[{"Do":"burn","Whom":["a"]}]`: `step 0: unknown fault "burn"`, `[{"Do":"kill"}]`: "step 0: Whom is empty",
		`[{"Do":"kill","Whom":["a"],"Loss":2}]`: "step 0: At, For or Loss", `{`: "schedule: ",
	} {
		if _, err := ParseSchedule(text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("parsing %s: got error %v, want one that names what is invalid", text, err)
		}
	}
}

// incarnation returns a member's incarnation in the view of the observer, or 0 if the view is unavailable or lacks it.
func (h *fleetHarness) incarnation(observer, member string) uint64 {
	v, err := h.View(h.ctx, observer)
	if err != nil {
		return 0
	}
	for _, m := range v.Members {
		if m.Name == member {
			return m.Incarnation
		}
	}
	return 0
}

// setOneWayCut cuts or restores the paths from a node to all others.
func (h *fleetHarness) setOneWayCut(from string, cut bool) {
	for _, to := range h.Others(from) {
		h.cluster.SetLinkFaults(from, to, Faults{Cut: cut})
	}
}

// While all seed nodes are down, nodes start and serve alone. Garbage, replayed datagrams and nodes with another label or
// key change no view and don't flood the log. When the seed nodes start, all nodes of the fleet join.
func TestFleetWithoutSeedsIgnoresForeignMembers(t *testing.T) {
	t.Parallel()
	cluster, ctx := newCluster(t)
	env := cluster.NewEnvironment(*seed, serverSpecs(3, "a")...)
	writeKey := func(name, key string) string {
		path := filepath.Join(cluster.dir, name)
		if err := os.WriteFile(path, []byte(base64.StdEncoding.EncodeToString([]byte(key))+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	spec := FleetSpec{Nodes: 6, Zones: []string{"a"}, Classes: shortClasses(), Tenants: tenants, Quota: 4000, Label: "delta",
		KeyFile: writeKey("key", "sixteen bytes it")}
	f, err := env.NewFleet(spec)
	if err != nil {
		t.Fatal(err)
	}
	h := &fleetHarness{T: t, Fleet: f, env: env, ctx: ctx}
	f.Nodes["n04"].Spec.Fleet["label"] = "omega" // of another fleet, but with the same seeds
	f.Nodes["n05"].Spec.Fleet["key_file"] = writeKey("other", "another key, too")
	for _, a := range f.Names {
		for _, b := range f.Names {
			cluster.SetLinkFaults(a, b, Faults{Duplicate: 0.5, Replay: 1500 * time.Millisecond})
		}
	}
	seeds, rest := f.Names[:3], f.Names[3:]
	if err := f.Start(withStepTimeout(t, ctx), rest...); err != nil {
		t.Fatal(err)
	}
	load := env.StartClients("c", emulator.ClientSpec{Rate: 50, Classes: shortClasses(), Tenants: tenants, Until: time.Hour}, f.Nodes["n03"])
	h.loads = []*LoadGenerator{load}
	h.awaitMembership("n03")
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		sendGarbage(f.Nodes["n03"].GossipAddress(), *seed, stop)
	}()
	if err := f.Start(withStepTimeout(t, ctx), seeds...); err != nil {
		t.Fatal(err)
	}
	sameFleet := f.Others("n04", "n05")
	h.awaitMembership(sameFleet...)
	h.awaitMembership("n04")
	h.awaitMembership("n05")
	f.Nodes["n00"].Kill() // its replayed datagrams must not revive it
	h.awaitState("n00", "dead", f.Others("n00", "n04", "n05")...)
	h.restart("n00")
	h.awaitMembership(sameFleet...)
	close(stop)
	<-done
	p := f.Nodes["n03"].Process()
	if lines := bytes.Count([]byte(p.Log()), []byte("\n")); lines > 60 {
		t.Errorf("log lines of a node that receives garbage: got %d, want at most 60", lines)
	}
	v, err := f.View(ctx, "n03")
	if err != nil || v.LinesQuiet == 0 {
		t.Errorf("suppressed log lines: got %d, want more than 0; error: %v", v.LinesQuiet, err)
	}
	h.finish()
}

// sendGarbage sends random datagrams and streams to a member until stop is closed, at most 20,000 datagrams at 500 per
// second.
func sendGarbage(address string, seed uint64, stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(seed, 9))
	conn, err := net.Dial("udp", address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	tick := time.NewTicker(2 * time.Millisecond)
	defer tick.Stop()
	for n := 0; n < 20_000; n++ {
		select {
		case <-tick.C:
		case <-stop:
			return
		}
		b := make([]byte, 1+rng.IntN(600))
		for i := range b {
			b[i] = byte(rng.Uint32())
		}
		b[0] = byte(rng.IntN(16)) // valid and invalid message types
		_, _ = conn.Write(b)
		if n%100 == 0 {
			if s, err := net.DialTimeout("tcp", address, time.Second); err == nil {
				_, _ = s.Write(b)
				_ = s.Close()
			}
		}
	}
}
