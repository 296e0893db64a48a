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

var sizes = flag.String("sizes", "1000,2000,4000", "numbers of instances to measure, separated by commas")

const (
	smallService = 50 // approximate number of instances of each small service; the large service has a tenth of all instances
	measuredSeed = 7
)

// fleet is a store with instances in one large service and many small ones.
type fleet struct {
	store *Store
	next  int
	rng   *rand.Rand
}

func newFleet(n int) *fleet {
	f := &fleet{store: NewStore(), rng: rand.New(rand.NewPCG(measuredSeed, uint64(n)))}
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
	id := fmt.Sprintf("s-%08x", uint32(f.next)*2654435761) // the factor is odd, so that IDs are unique
	f.store.Apply(Command{Kind: RegisterInstance, TTL: DefaultTTL, Endpoint: Endpoint{ID: id, Address: fmt.Sprintf("10.%d.%d.%d:9000",
		f.next>>16, f.next>>8&255, f.next&255), Zone: fmt.Sprint("zone-", f.next%20), Kind: "m2", Cell: int64(f.next % 500),
		Phase: PhaseUp, Size: 1, StartTimeMs: 1_700_000_000_000, Service: service}})
}

// nodeScope returns the scope of the measured node: the large service and four others.
func nodeScope(size int) *Scope {
	return &Scope{Services: []string{"large", "service-0", "service-1", "service-2", "service-3"}, SubsetSize: size,
		Client: subset.Client{Position: 1234, Count: 5100, Zone: "zone-3"}}
}

// encodedBytes returns the length of an encoded list.
func encodedBytes(t *testing.T, l EndpointList) int {
	t.Helper()
	raw, err := json.Marshal(l)
	if err != nil {
		t.Fatal(err)
	}
	return len(raw)
}

// scopedBytes returns the length of the list that a scoped watcher gets, 0 for no response.
func scopedBytes(t *testing.T, s *Store, scope *Scope, since int64) int {
	t.Helper()
	view, err := s.newScopedView(scope, since)
	if err != nil {
		t.Fatal(err)
	}
	l, changed := view.list()
	if !changed {
		return 0
	}
	return encodedBytes(t, l)
}

// replace drains an instance, deregisters it, and registers a replacement. It returns how many bytes of changes a
// watcher of the full list and a watcher of the scope get.
func (f *fleet) replace(t *testing.T, scope *Scope, id string) (full, scoped int) {
	t.Helper()
	step := func(do func()) {
		before := f.store.revision
		do()
		l, _ := f.store.ChangesSince(before)
		full += encodedBytes(t, l)
		scoped += scopedBytes(t, f.store, scope, before)
	}
	service := f.store.instances[id].Endpoint.Service
	step(func() { f.store.Apply(Command{Kind: SetInstancePhase, ID: id, Phase: PhaseDraining}) })
	step(func() { f.store.Apply(Command{Kind: DeregisterInstance, ID: id}) })
	step(func() { f.add(service) })
	return full, scoped
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

// With subsets, the length of the list for a node doesn't grow with the number of instances, even if one of the
// node's services is large. The test also logs the lengths of other lists and of changes.
func TestMeasureScope(t *testing.T) {
	const replaced = 300
	var firstBytes int
	for _, n := range measuredSizes(t) {
		f, scope := newFleet(n), nodeScope(20)
		fullListBytes, servicesBytes, subsetsBytes := encodedBytes(t, f.store.FullList()), scopedBytes(t, f.store, nodeScope(0), -1), scopedBytes(t, f.store, scope, -1)
		var ids []string
		for _, e := range f.store.FullList().Endpoints {
			ids = append(ids, e.ID)
		}
		var fullTotal, scopedTotal int
		for _, i := range f.rng.Perm(len(ids))[:replaced] {
			full, scoped := f.replace(t, scope, ids[i])
			fullTotal, scopedTotal = fullTotal+full, scopedTotal+scoped
		}
		t.Logf("%6d instances: full list of %9d bytes, list of five services %8d bytes, list with subsets of 20 servers %6d bytes; changes per replaced instance: %4d bytes of the full list, %7.2f bytes of the list with subsets",
			n, fullListBytes, servicesBytes, subsetsBytes, fullTotal/replaced, float64(scopedTotal)/replaced)
		if firstBytes == 0 {
			firstBytes = subsetsBytes
		}
		if ratio := float64(subsetsBytes) / float64(firstBytes); ratio > 1.1 {
			t.Errorf("scoped list of %d bytes at %d instances: got %.2f times the length at the first number of instances, want at most 1.1", subsetsBytes, n, ratio)
		}
	}
}

// TestMeasureStore logs the time and memory that a replica spends on the list.
func TestMeasureStore(t *testing.T) {
	measure := func(do func()) time.Duration {
		start := time.Now()
		do()
		return time.Since(start).Round(10 * time.Microsecond)
	}
	for _, n := range measuredSizes(t) {
		var f *fleet
		before := heapBytes()
		registerAll := measure(func() { f = newFleet(n) })
		memory := heapBytes() - before
		id := f.store.FullList().Endpoints[n/2].ID
		renew := measure(func() {
			for range 1000 {
				f.store.Apply(Command{Kind: RenewLease, ID: id})
			}
		}) / 1000
		tick := measure(func() { f.store.Apply(Command{Kind: AdvanceClock, Elapsed: tickInterval}) })
		restart := measure(func() { f.store.Apply(Command{Kind: RestartLeases}) })
		full := measure(func() { encodedBytes(t, f.store.FullList()) })
		view := measure(func() { scopedBytes(t, f.store, nodeScope(20), -1) })
		watchers := measure(func() { f.notifyWatchers(t, 1000) })
		var snapshot bytes.Buffer
		write := measure(func() {
			if err := f.store.WriteSnapshot(&snapshot); err != nil {
				t.Fatal(err)
			}
		})
		length := snapshot.Len()
		read := measure(func() {
			if _, err := ReadSnapshot(&snapshot); err != nil {
				t.Fatal(err)
			}
		})
		t.Logf("%6d instances: heap of %3d MiB; times: registration of an instance %v, renewal of a lease %v, tick %v, restart of the leases for a new leader %v, encoding of the full list %v and of a scoped list %v, changes for 1,000 watchers after a drain in the large service %v; snapshot of %.1f MB written in %v, read in %v",
			n, memory>>20, (registerAll / time.Duration(n)).Round(10*time.Nanosecond), renew, tick, restart, full, view, watchers, float64(length)/1e6, write, read)
	}
}

// notifyWatchers computes the changes that each of n nodes gets after a change in the large service.
func (f *fleet) notifyWatchers(t *testing.T, n int) {
	before := f.store.revision
	f.store.Apply(Command{Kind: SetInstancePhase, ID: f.store.services["large"].slots.ids[0], Phase: PhaseDraining})
	scope := nodeScope(20)
	for position := range n {
		scope.Client.Position = position
		scopedBytes(t, f.store, scope, before)
	}
}

// heapBytes returns the size of the heap after a garbage collection.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
