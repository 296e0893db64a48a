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

// fleetHarness is a fleet under load, with the checks of its steps.
type fleetHarness struct {
	*testing.T
	*Fleet
	w     *Environment
	ctx   context.Context
	loads []*LoadGenerator
}

func newFleetHarness(t *testing.T, n int, spec FleetSpec, rate float64) *fleetHarness {
	t.Helper()
	spec.Nodes, spec.Zones = n, []string{"a", "b"}
	x := startFleetHarness(t, spec, serverSpecs(6, spec.Zones...))
	if rate > 0 {
		var all []*Node
		for _, name := range x.Names {
			all = append(all, x.Nodes[name])
		}
		x.loads = append(x.loads, x.w.StartClients("c", emulator.ClientSpec{Rate: rate, Classes: shortClasses(), Tenants: tenants,
			MaxRetries: 3, RetryDelay: 50 * time.Millisecond, TimeoutFraction: 0.6, Until: time.Hour}, all...))
	}
	return x
}

// startFleetHarness starts a fleet with these servers, and no clients yet.
func startFleetHarness(t *testing.T, spec FleetSpec, servers []emulator.ServerSpec) *fleetHarness {
	t.Helper()
	r, ctx := newCluster(t)
	w := r.NewEnvironment(*seed, servers...)
	spec.Classes, spec.Tenants = shortClasses(), tenants
	if spec.Quota == 0 {
		spec.Quota = 4000
	}
	f, err := w.NewFleet(spec)
	if err != nil {
		t.Fatal(err)
	}
	x := &fleetHarness{T: t, Fleet: f, w: w, ctx: ctx}
	if err := f.Start(within(t, ctx), f.Names...); err != nil {
		t.Fatal(err)
	}
	x.awaitMembership(f.Names...)
	return x
}

// awaitMembership waits until these nodes have each other as members, and nobody else.
func (x *fleetHarness) awaitMembership(names ...string) time.Duration {
	x.Helper()
	took, err := x.AwaitMembership(within(x.T, x.ctx), names...)
	if err != nil {
		x.Fatal(err)
	}
	return took
}

// awaitState waits until these nodes have a member in a state.
func (x *fleetHarness) awaitState(member, state string, names ...string) []time.Duration {
	x.Helper()
	took, err := x.AwaitState(within(x.T, x.ctx), member, state, names...)
	if err != nil {
		x.Fatal(err)
	}
	return took
}

// finish ends the load, and requires that no rule was broken.
func (x *fleetHarness) finish() {
	x.Helper()
	for _, l := range x.loads {
		x.w.WithLock(func() { l.clients.StopArrivals() })
		if err := l.Wait(within(x.T, x.ctx)); err != nil {
			x.Fatal(err)
		}
		x.Logf("clients: %+v", l.Stats())
	}
	x.w.requireNoViolations(x.T)
}

func (x *fleetHarness) pause(name string, d time.Duration) { x.Nodes[name].Process().Pause(x.ctx, d) }

func (x *fleetHarness) restart(name string) {
	x.Helper()
	if err := x.Start(within(x.T, x.ctx), name); err != nil {
		x.Fatal(err)
	}
}

// A fleet of seven under load recovers from one fault after the other.
func TestFleetSurvivesFaults(t *testing.T) { //nolint:gocyclo // a table of steps, each of which is a short function
	x := newFleetHarness(t, 7, FleetSpec{}, 120)
	others := x.Others("n03")
	for _, step := range []struct {
		name   string
		deaths int // told in all, at most
		do     func()
	}{
		{"a short pause is no death", 0, func() {
			x.pause("n03", 500*time.Millisecond)
			x.awaitMembership(x.Names...)
		}},
		{"one of seven killed, and back", 6, func() {
			x.Nodes["n03"].Kill()
			x.Logf("known dead after %v", x.awaitState("n03", "dead", others...))
			x.restart("n03")
			x.awaitMembership(x.Names...)
		}},
		{"a long pause: each tells one death at most, and takes it back", 12, func() {
			x.pause("n03", 3*time.Second)
			x.Logf("agreed %v after the pause", x.awaitMembership(x.Names...))
		}},
		{"four of seven killed at once", 4 * 3, func() {
			gone := []string{"n02", "n03", "n04", "n05"}
			for _, name := range gone {
				x.Nodes[name].Kill()
			}
			left := x.Others(gone...)
			x.awaitMembership(left...)
			for _, name := range left {
				if v, err := x.View(x.ctx, name); err != nil || !v.Partitioned || v.QuotaNodes != 7 {
					x.Errorf("%s, one of three of seven: cut off %v, quotas by %d, %v", name, v.Partitioned, v.QuotaNodes, err)
				}
			}
			for _, name := range gone {
				x.restart(name)
			}
			x.awaitMembership(x.Names...)
		}},
		{"split 4 and 3, then 2, 2 and 3, then healed", 3 * 7 * 6, func() {
			a, b, c := x.Names[:2], x.Names[2:4], x.Names[4:]
			four := slices.Concat(a, b)
			x.Partition(four, c)
			x.awaitMembership(four...)
			x.awaitMembership(c...)
			for _, name := range x.Names {
				v, err := x.View(x.ctx, name)
				if cut := slices.Contains(c, name); err != nil || v.Partitioned != cut || v.QuotaNodes != 7 {
					x.Errorf("%s: cut off %v, quotas by %d, %v", name, v.Partitioned, v.QuotaNodes, err)
				}
			}
			x.Partition(a, b, c)
			x.awaitMembership(a...)
			x.awaitMembership(b...)
			x.Partition()
			x.Logf("healed after %v", x.awaitMembership(x.Names...))
		}},
		{"one that can hear and not send", 2 * 7 * 6, func() {
			x.setOneWayCut("n03", true)
			x.awaitState("n03", "dead", others...)
			x.setOneWayCut("n03", false)
			x.Logf("healed after %v", x.awaitMembership(x.Names...))
		}},
		{"one that reaches one peer alone stays, or comes back", 7 * 6, func() {
			for _, name := range others {
				cut := Faults{Cut: name != "n00"}
				x.cluster.SetLinkFaults("n03", name, cut)
				x.cluster.SetLinkFaults(name, "n03", cut)
			}
			if err := sleep(x.ctx, 3*time.Second); err != nil { // as long as a death would take, and more
				x.Fatal(err)
			}
			x.Partition()
			x.awaitMembership(x.Names...)
		}},
		{"whole states in pieces over a slow link", 0, func() {
			for _, name := range others {
				x.cluster.SetLinkFaults("n03", name, Faults{Latency: 20 * time.Millisecond, Jitter: 30 * time.Millisecond, Bandwidth: 40_000})
				x.cluster.SetLinkFaults(name, "n03", Faults{Reorder: 0.3, Duplicate: 0.3, Bandwidth: 40_000})
			}
			x.Nodes["n03"].Process().Signal(syscall.SIGTERM)
			if err := x.Nodes["n03"].Process().Wait(within(t, x.ctx)); err != nil {
				x.Error(err)
			}
			x.restart("n03")
			x.awaitMembership(x.Names...)
			x.Partition()
			for _, name := range others {
				x.cluster.SetLinkFaults("n03", name, Faults{})
				x.cluster.SetLinkFaults(name, "n03", Faults{})
			}
		}},
		{"rolling restart: all leave, and none dies", 0, func() {
			for _, name := range x.Names {
				p := x.Nodes[name].Process()
				p.Signal(syscall.SIGTERM)
				x.awaitState(name, "left", x.Others(name)...)
				if err := p.Wait(within(t, x.ctx)); err != nil {
					x.Error(err)
				}
				x.restart(name)
				x.awaitMembership(x.Names...)
			}
		}},
		{"rolling replacement: one member throughout, with a later incarnation", 0, func() {
			for _, name := range x.Names {
				before := x.incarnation("n00", name)
				old, err := x.Nodes[name].Replace(within(t, x.ctx))
				if err == nil {
					err = old.Wait(within(t, x.ctx))
				}
				if err != nil {
					x.Fatal(err)
				}
				err = Await(within(t, x.ctx), "a later incarnation of "+name, func() bool {
					return x.incarnation("n01", name) > before && x.incarnation(name, name) > before
				})
				if err != nil {
					x.Fatal(err)
				}
				x.awaitMembership(x.Names...)
			}
		}},
	} {
		x.T = t
		t.Run(step.name, func(t *testing.T) {
			x.T = t
			before := x.DeathReports()
			step.do()
			if reported := x.DeathReports() - before; reported > step.deaths {
				t.Errorf("%d deaths were reported, want %d at most", reported, step.deaths)
			}
		})
		if t.Failed() {
			return
		}
	}
	x.T = t
	x.finish()
}

// A fleet under load recovers from a random schedule of faults, which may overlap. A failure prints the schedule.
func TestFleetSurvivesRandomSchedule(t *testing.T) {
	t.Parallel()
	x := newFleetHarness(t, 5, FleetSpec{}, 60)
	s := RandomSchedule(*seed, 8, 8*time.Second, x.Names, Pause, Replace, Restart, Partition, OneWayPartition, PacketLoss)
	if err := x.cluster.PlaySchedule(within(t, x.ctx), s, x.Nodes); err != nil {
		t.Errorf("%v\nschedule: %s", err, s)
	}
	x.awaitMembership(x.Names...)
	x.finish()
	if t.Failed() {
		t.Logf("schedule: %s", s)
	}
}

func TestScheduleReadsBackAsPrinted(t *testing.T) {
	s := RandomSchedule(7, 20, time.Minute, []string{"a", "b", "c"}, Kill, Partition, PacketLoss)
	back, err := ParseSchedule(s.String())
	if err != nil || back.String() != s.String() || RandomSchedule(7, 20, time.Minute, []string{"a", "b", "c"}, Kill, Partition, PacketLoss).String() != s.String() {
		t.Errorf("%v: %s", err, back)
	}
	for text, want := range map[string]string{
		`[{"Do":"burn","Whom":["a"]}]`: `step 0: unknown fault "burn"`, `[{"Do":"kill"}]`: "step 0: whom",
		`[{"Do":"kill","Whom":["a"],"Loss":2}]`: "step 0: a figure", `{`: "schedule: ",
	} {
		if _, err := ParseSchedule(text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", text, err)
		}
	}
}

// incarnation returns a member's incarnation in a node's view.
func (x *fleetHarness) incarnation(at, member string) uint64 {
	v, err := x.View(x.ctx, at)
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

func (x *fleetHarness) setOneWayCut(from string, cut bool) {
	for _, to := range x.Others(from) {
		x.cluster.SetLinkFaults(from, to, Faults{Cut: cut})
	}
}

// With all seeds dead, nodes start and serve alone; garbage, old datagrams and members with another label or key change
// nothing and fill no log; the first seed that is back joins all.
func TestFleetWithoutSeedsAmongStrangers(t *testing.T) {
	t.Parallel()
	r, ctx := newCluster(t)
	w := r.NewEnvironment(*seed, serverSpecs(3, "a")...)
	keys := func(name, key string) string {
		path := filepath.Join(r.dir, name)
		if err := os.WriteFile(path, []byte(base64.StdEncoding.EncodeToString([]byte(key))+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	spec := FleetSpec{Nodes: 6, Zones: []string{"a"}, Classes: shortClasses(), Tenants: tenants, Quota: 4000, Label: "delta",
		KeyFile: keys("key", "sixteen bytes it")}
	f, err := w.NewFleet(spec)
	if err != nil {
		t.Fatal(err)
	}
	x := &fleetHarness{T: t, Fleet: f, w: w, ctx: ctx}
	f.Nodes["n04"].Spec.Fleet["label"] = "omega" // strangers who call the same members
	f.Nodes["n05"].Spec.Fleet["key_file"] = keys("other", "another key, too")
	for _, a := range f.Names {
		for _, b := range f.Names {
			r.SetLinkFaults(a, b, Faults{Duplicate: 0.5, Replay: 1500 * time.Millisecond})
		}
	}
	seeds, rest := f.Names[:3], f.Names[3:]
	if err := f.Start(within(t, ctx), rest...); err != nil {
		t.Fatal(err)
	}
	load := w.StartClients("c", emulator.ClientSpec{Rate: 50, Classes: shortClasses(), Tenants: tenants, Until: time.Hour}, f.Nodes["n03"])
	x.loads = []*LoadGenerator{load}
	x.awaitMembership("n03")
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		sendGarbage(f.Nodes["n03"].Gossip(), *seed, stop)
	}()
	if err := f.Start(within(t, ctx), seeds...); err != nil {
		t.Fatal(err)
	}
	fleet := f.Others("n04", "n05")
	x.awaitMembership(fleet...)
	x.awaitMembership("n04")
	x.awaitMembership("n05")
	f.Nodes["n00"].Kill() // what it said while it lived comes again, and brings nobody back to life
	x.awaitState("n00", "dead", f.Others("n00", "n04", "n05")...)
	x.restart("n00")
	x.awaitMembership(fleet...)
	close(stop)
	<-done
	p := f.Nodes["n03"].Process()
	if lines := bytes.Count([]byte(p.Log()), []byte("\n")); lines > 60 {
		t.Errorf("%d lines in the log of a node that is sent garbage", lines)
	}
	v, err := f.View(ctx, "n03")
	if err != nil || v.LinesQuiet == 0 {
		t.Errorf("%d lines were counted and not written, %v", v.LinesQuiet, err)
	}
	x.finish()
}

// sendGarbage sends random datagrams and streams to a member, at a bounded rate until stop.
func sendGarbage(at string, seed uint64, stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(seed, 9))
	conn, err := net.Dial("udp", at)
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
		b[0] = byte(rng.IntN(16)) // kinds of messages that there are, and some that aren't
		_, _ = conn.Write(b)
		if n%100 == 0 {
			if s, err := net.DialTimeout("tcp", at, time.Second); err == nil {
				_, _ = s.Write(b)
				_ = s.Close()
			}
		}
	}
}
