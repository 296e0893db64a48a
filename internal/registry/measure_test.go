package registry

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"sloerail/internal/subset"
)

var sizes = flag.String("sizes", "1000,2000,4000", "instances in the measurements, parted by commas")

const (
	smallService = 50 // instances of each service but the large one, which has a tenth of all
	measuredSeed = 7
)

// fleet is a list of n instances in a large service and many small ones.
type fleet struct {
	state *Store
	next  int
	rng   *rand.Rand
}

func newFleet(n int) *fleet {
	f := &fleet{state: NewStore(), rng: rand.New(rand.NewPCG(measuredSeed, uint64(n)))}
	for i := range n {
		service := "large"
		if i%10 != 0 {
			service = fmt.Sprint("service-", i/10*9/smallService)
		}
		f.add(service)
	}
	return f
}

func (f *fleet) add(service string) {
	f.next++
	id := fmt.Sprintf("s-%08x", uint32(f.next)*2654435761) // odd, so that no two are alike
	f.state.Apply(Command{Kind: RegisterInstance, TTL: DefaultTTL, Endpoint: Endpoint{ID: id, Address: fmt.Sprintf("10.%d.%d.%d:9000",
		f.next>>16, f.next>>8&255, f.next&255), Zone: fmt.Sprint("zone-", f.next%20), Kind: "m2", Cell: int64(f.next % 500),
		Phase: PhaseUp, Size: 1, StartTimeMs: 1_700_000_000_000, Service: service}})
}

// nodeScope is what the measured node needs: the large service and four others.
func nodeScope(size int) *Scope {
	return &Scope{Services: []string{"large", "service-0", "service-1", "service-2", "service-3"}, SubsetSize: size,
		Client: subset.Client{Position: 1234, Count: 5100, Zone: "zone-3"}}
}

// bytesOf is the length of a list as it is sent.
func bytesOf(t *testing.T, l EndpointList) int {
	t.Helper()
	raw, err := json.Marshal(l)
	if err != nil {
		t.Fatal(err)
	}
	return len(raw)
}

// scopedBytes is the length of what a scoped watcher is told, 0 if it isn't.
func scopedBytes(t *testing.T, s *Store, scope *Scope, since int64) int {
	t.Helper()
	view, err := s.scoped(scope, since)
	if err != nil {
		t.Fatal(err)
	}
	l, news := view.list()
	if !news {
		return 0
	}
	return bytesOf(t, l)
}

// replace drains a random instance, removes it, and puts another in its place. It returns the bytes that a watcher of
// the whole list and one of the scope are told by it.
func (f *fleet) replace(t *testing.T, scope *Scope, ids []string, at int) (whole, scoped int) {
	t.Helper()
	step := func(do func()) {
		before := f.state.revision
		do()
		l, _ := f.state.ChangesSince(before)
		whole += bytesOf(t, l)
		scoped += scopedBytes(t, f.state, scope, before)
	}
	id := ids[at]
	service := f.state.instances[id].Endpoint.Service
	step(func() { f.state.Apply(Command{Kind: SetInstancePhase, ID: id, Phase: PhaseDraining}) })
	step(func() { f.state.Apply(Command{Kind: DeregisterInstance, ID: id}) })
	step(func() { f.add(service) })
	return whole, scoped
}

func measuredSizes(t *testing.T) (all []int) {
	t.Helper()
	for text := range strings.SplitSeq(*sizes, ",") {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1000 || n > maxInstances {
			t.Fatalf("sizes: want whole numbers from 1000 to %d, got %q", maxInstances, text)
		}
		all = append(all, n)
	}
	return all
}

// What a node is sent follows its scope, and not the number of instances; with a subset the whole of a large service
// isn't sent either.
func TestMeasureScope(t *testing.T) {
	const replaced = 300
	var first int
	for _, n := range measuredSizes(t) {
		f, scope := newFleet(n), nodeScope(20)
		list, services, part := bytesOf(t, f.state.FullList()), scopedBytes(t, f.state, nodeScope(0), -1), scopedBytes(t, f.state, scope, -1)
		var ids []string
		for _, e := range f.state.FullList().Endpoints {
			ids = append(ids, e.ID)
		}
		var whole, scoped int
		for _, at := range f.rng.Perm(len(ids))[:replaced] {
			a, b := f.replace(t, scope, ids, at)
			whole, scoped = whole+a, scoped+b
		}
		t.Logf("%6d instances: whole list %9d bytes, its five services %8d, subsets of 20 %6d; a replacement %4d and %7.2f",
			n, list, services, part, whole/replaced, float64(scoped)/replaced)
		if first == 0 {
			first = part
		}
		if ratio := float64(part) / float64(first); ratio > 1.1 {
			t.Errorf("a scoped list of %d bytes at %d instances is %.2f times that at the first size", part, n, ratio)
		}
	}
}

// What the list costs a replica.
func TestMeasureState(t *testing.T) {
	timed := func(do func()) time.Duration {
		began := time.Now()
		do()
		return time.Since(began).Round(10 * time.Microsecond)
	}
	for _, n := range measuredSizes(t) {
		var f *fleet
		before := heldMemory()
		fill := timed(func() { f = newFleet(n) })
		memory := heldMemory() - before
		id := f.state.FullList().Endpoints[n/2].ID
		renew := timed(func() {
			for range 1000 {
				f.state.Apply(Command{Kind: RenewLease, ID: id})
			}
		}) / 1000
		tick := timed(func() { f.state.Apply(Command{Kind: AdvanceClock, Elapsed: tickInterval}) })
		lead := timed(func() { f.state.Apply(Command{Kind: RestartLeases}) })
		whole := timed(func() { bytesOf(t, f.state.FullList()) })
		view := timed(func() { scopedBytes(t, f.state, nodeScope(20), -1) })
		watchers := timed(func() { f.tellWatchers(t, 1000) })
		var snapshot bytes.Buffer
		write := timed(func() {
			if err := f.state.WriteSnapshot(&snapshot); err != nil {
				t.Fatal(err)
			}
		})
		length := snapshot.Len()
		read := timed(func() {
			if _, err := ReadSnapshot(&snapshot); err != nil {
				t.Fatal(err)
			}
		})
		t.Logf("%6d instances: %3d MB, registered in %v each, renewed in %v, tick %v, new leader %v, whole list %v, scoped list %v, a drain in the large service told to 1,000 watchers %v, snapshot %.1f MB written in %v, read in %v",
			n, memory>>20, (fill / time.Duration(n)).Round(10*time.Nanosecond), renew, tick, lead, whole, view, watchers, float64(length)/1e6, write, read)
	}
}

// tellWatchers makes what each of n nodes is told of a change of the large service.
func (f *fleet) tellWatchers(t *testing.T, n int) {
	before := f.state.revision
	f.state.Apply(Command{Kind: SetInstancePhase, ID: f.state.services["large"].slots.ids[0], Phase: PhaseDraining})
	scope := nodeScope(20)
	for position := range n {
		scope.Client.Position = position
		scopedBytes(t, f.state, scope, before)
	}
}

// heldMemory is what is held after a collection.
func heldMemory() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
