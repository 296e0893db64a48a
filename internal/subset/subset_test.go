package subset

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// drawFleet draws a service in the given zones; up to half of the slots are missing.
func drawFleet(t *rapid.T, zones layout) fleet {
	return newFleet(
		rapid.IntRange(1, 800).Draw(t, "servers"),
		rapid.IntRange(1, 300).Draw(t, "clients"),
		rapid.IntRange(1, 100).Draw(t, "size"),
		rapid.SampledFrom([]int{0, 0, 5, 50}).Draw(t, "missing percent"),
		zones,
		rapid.Uint64().Draw(t, "seed"))
}

func drawLayout(t *rapid.T) layout {
	return rapid.SampledFrom([]layout{
		inTurn(1), inTurn(3), inBlocks(20), atRandom(3), atRandom(20), uneven(5), mostIn(75), mostIn(90), mostIn(98),
		halfCircles(),
	}).Draw(t, "zones")
}

func ids(servers []Server) []string {
	var result []string
	for _, server := range servers {
		result = append(result, server.ID)
	}
	slices.Sort(result)
	return result
}

func TestChooseReturnsSortedSubsetForAnyInputOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t, drawLayout(t))
		client := Client{Position: rapid.IntRange(0, f.clients-1).Draw(t, "position"), Count: f.clients}
		chosen := Choose(f.servers, client, f.size)

		if want := min(f.size, len(f.servers)); len(chosen) != want {
			t.Fatalf("chosen servers: got %d, want %d", len(chosen), want)
		}
		known := ids(f.servers)
		for i, id := range chosen {
			if _, found := slices.BinarySearch(known, id); !found {
				t.Fatalf("chosen ID %q is not among the servers", id)
			}
			if i > 0 && chosen[i-1] >= id {
				t.Fatalf("chosen IDs are not in order: %q before %q", chosen[i-1], id)
			}
		}

		shuffled := slices.Clone(f.servers)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 0))
		random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		original := slices.Clone(shuffled)
		if again := Choose(shuffled, client, f.size); !slices.Equal(chosen, again) {
			t.Fatalf("choice from servers in another order: got %v, want %v", again, chosen)
		}
		if !slices.Equal(shuffled, original) {
			t.Fatal("Choose modified the caller's slice")
		}
	})
}

func TestChooseReturnsAllServersUpToSize(t *testing.T) {
	for _, servers := range []int{1, 9, 10} {
		f := newFleet(servers, 7, 10, 0, inTurn(3), 1)
		if chosen := Choose(f.servers, Client{Position: 3, Count: 7}, 10); !slices.Equal(chosen, ids(f.servers)) {
			t.Errorf("%d servers, size 10: got %v, want all servers", servers, chosen)
		}
	}
}

// TestChoiceIsStable pins one choice. It must be the same on every machine and in every version, since nodes and replicas
// of different versions must agree.
func TestChoiceIsStable(t *testing.T) {
	f := newFleet(300, 50, 5, 0, inTurn(3), 1)
	chosen := Choose(f.servers, Client{Position: 17, Count: 50}, f.size)
	want := []string{"server-00030", "server-00085", "server-00140", "server-00208", "server-00297"}
	if !slices.Equal(chosen, want) {
		t.Errorf("chosen servers: got %q, want %q", chosen, want)
	}
}

func TestChooseWithInvalidInput(t *testing.T) {
	f := newFleet(100, 8, 10, 0, inTurn(3), 1)
	choose := func(position, count, size int) []string {
		return Choose(f.servers, Client{Position: position, Count: count}, size)
	}
	for _, each := range []struct {
		name      string
		got, want []string
	}{
		{"size 0", choose(3, 8, 0), nil},
		{"size below 0", choose(3, 8, -1), nil},
		{"no servers", Choose(nil, Client{Position: 3, Count: 8}, 10), nil},
		{"position at the count", choose(8, 8, 10), choose(0, 8, 10)},
		{"position beyond the count", choose(27, 8, 10), choose(3, 8, 10)},
		{"position below 0", choose(-1, 8, 10), choose(7, 8, 10)},
		{"lowest position", choose(math.MinInt, 8, 10), choose(0, 8, 10)},
		{"count 0", choose(5, 0, 10), choose(0, 1, 10)},
		{"count below 0", choose(5, -8, 10), choose(0, 1, 10)},
		{"duplicate IDs", Choose(append(slices.Clone(f.servers), f.servers...), Client{Position: 3, Count: 8}, 10), choose(3, 8, 10)},
	} {
		if !slices.Equal(each.got, each.want) {
			t.Errorf("%s: got %v, want %v", each.name, each.got, each.want)
		}
	}
	if position, count := choose(0, math.MaxInt, 10), choose(math.MaxInt-1, math.MaxInt, 10); len(position) != 10 || len(count) != 10 {
		t.Errorf("highest Count at Position 0 and Count-1: got %d and %d servers, want 10 each", len(position), len(count))
	}
}

func TestChooseWithDuplicateAndExtremeSlots(t *testing.T) {
	var servers []Server
	for i := range 300 {
		servers = append(servers, Server{ID: fmt.Sprintf("same-%03d", i), Slot: 5})
		servers = append(servers, Server{ID: fmt.Sprintf("far-%03d", i), Slot: math.MinInt + i})
	}
	for position := range 20 {
		if chosen := Choose(servers, Client{Position: position, Count: 20}, 10); len(chosen) != 10 {
			t.Errorf("position %d: got %d servers, want 10", position, len(chosen))
		}
	}
}

// TestLoadIsEven checks that, if no zone dominates, no server has more than 1.1 times the even load, or fewer clients
// than 0.9 times the mean, rounded down.
func TestLoadIsEven(t *testing.T) {
	for _, each := range []struct{ servers, clients, size int }{
		{20, 20, 10}, {50, 100, 10}, {200, 100, 20}, {300, 1000, 10}, {500, 5100, 10}, {1000, 1000, 10},
		{1000, 5100, 20}, {5000, 1000, 100}, {5000, 5100, 10}, {20000, 5100, 50},
	} {
		for _, missing := range []int{0, 5} {
			for _, zones := range []layout{inTurn(3), inBlocks(20), atRandom(3), uneven(5)} {
				f := newFleet(each.servers, each.clients, each.size, missing, zones, 1)
				got := measure(f, ringAssignment(f))
				wantClients := 9 * each.clients * each.size / (10 * each.servers)
				if got.maxLoad > 1.1+1e-9 || got.minClients < wantClients {
					t.Errorf("%d servers, %d%% of slots missing, zones %s, %d clients, size %d: got loads of %.3f to %.3f times the even load, want at most 1.1, and for each server at least 0.9 times the mean number of clients, rounded down",
						each.servers, missing, zones.name, each.clients, each.size, got.minLoad, got.maxLoad)
				}
			}
		}
	}
}

// TestMinSubsetsPerServer checks that, for sizes of at least 10, each server is in at least 0.8 times the mean number of
// subsets, minus one for rounding.
func TestMinSubsetsPerServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t, rapid.SampledFrom([]layout{inTurn(3), atRandom(20), uneven(5), mostIn(90)}).Draw(t, "zones"))
		f.size = max(f.size, 10)
		got := measure(f, ringAssignment(f))
		mean := float64(f.clients*min(f.size, len(f.servers))) / float64(len(f.servers))
		if minSubsets := int(0.8*mean) - 1; got.minClients < minSubsets {
			t.Fatalf("minimum number of subsets with a server: got %d, want at least %d; the mean is %.2f",
				got.minClients, minSubsets, mean)
		}
	})
}

func TestSubsetsSpanZones(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t, drawLayout(t))
		if f.size < 2 || len(f.servers) <= f.size {
			return
		}
		counts := make(map[string]int)
		for _, server := range f.servers {
			counts[server.Zone]++
		}
		for position, slots := range ringAssignment(f) {
			inside := make(map[string]int)
			for _, server := range f.servers {
				if slices.Contains(slots, server.Slot) {
					inside[server.Zone]++
				}
			}
			for zone, count := range counts {
				outside := len(f.servers) - count
				if maxSpanLoad*f.size*outside < len(f.servers) {
					continue // too few servers outside of the zone for every subset to contain one
				}
				want := min(max(1, f.size*outside/(outsideDivisor*len(f.servers))), f.size/2)
				if got := f.size - inside[zone]; got < want {
					t.Fatalf("position %d: got %d servers outside of %s, want at least %d", position, got, zone, want)
				}
			}
		}
	})
}

func TestLoadOfSmallZoneIsLimited(t *testing.T) {
	f := newFleet(1000, 500, 10, 0, inTurn(1), 1)
	for i := range 2 {
		f.servers[i].Zone = "small"
	}
	got := measure(f, ringAssignment(f))
	if got.maxLoad > maxSpanLoad*1.1 {
		t.Errorf("maximum load in a fleet with a zone of two servers: got %.2f times the even load, want at most 1.1*maxSpanLoad",
			got.maxLoad)
	}
	if got.singleZoneClients == f.clients {
		t.Error("no subset contains a server of the small zone, want at least one")
	}
}

// TestChangeMovesFewPairs limits the client-server pairs moved by one change while the slots in use are consecutive. The
// minimum possible is one pair for each client of an added or removed server, and one subset for an added or removed
// client. The limit is maxMoveRatio times the minimum for servers, and for clients one subset more. A cell that is split
// or merged adds up to a quarter of its pairs and a subset; a change of clientCellSize adds up to a quarter of all pairs.
func TestChangeMovesFewPairs(t *testing.T) {
	const maxMoveRatio = 5
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(
			rapid.IntRange(2, 800).Draw(t, "servers"),
			rapid.IntRange(1, 300).Draw(t, "clients"),
			rapid.IntRange(10, 100).Draw(t, "size"), 0,
			rapid.SampledFrom([]layout{inTurn(1), inTurn(3), inBlocks(5), atRandom(3)}).Draw(t, "zones"),
			rapid.Uint64().Draw(t, "seed"))
		f.size = min(f.size, len(f.servers)-1)
		before := ringAssignment(f)
		mean := f.clients*f.size/len(f.servers) + 1
		cellPairs := mean * max(minCellLimit, maxSubsetsPerCell*f.size)
		index := rapid.IntRange(0, len(f.servers)-1).Draw(t, "index")

		cellSize := func(f fleet) uint64 { return clientCellSize(f.clients, len(f.servers), f.size) }
		check := func(name string, after fleet, maxPairs int) {
			if cellSize(after) != cellSize(f) {
				maxPairs += f.clients * f.size / 4
			}
			if got := movedPairs(before, ringAssignment(after)); got > maxPairs {
				t.Fatalf("pairs moved by %s: got %d, want at most %d", name, got, maxPairs)
			}
		}
		check("an added server", f.withServer(f.servers[index].Zone), maxMoveRatio*mean+cellPairs/4+f.size)
		check("a removed server", f.withoutServer(index), maxMoveRatio*mean+cellPairs/4+f.size)
		check("an added client", f.withClients(f.clients+1), (maxMoveRatio+1)*f.size)
		check("a removed client", f.withClients(f.clients-1), (maxMoveRatio+1)*f.size)

		replaced := f
		replaced.servers = slices.Clone(f.servers)
		replaced.servers[index].ID = "replacement"
		if got := movedPairs(before, ringAssignment(replaced)); got != 0 {
			t.Fatalf("client-slot pairs moved by a replaced server: got %d, want 0", got)
		}
	})
}

// TestGrowthMovesFewPairs checks that many additions, which also split cells, move on average at most four times the
// minimum number of pairs.
func TestGrowthMovesFewPairs(t *testing.T) {
	const maxMoveRatio, changes = 4, 64
	for _, zones := range []layout{inTurn(1), inTurn(3), atRandom(3)} {
		f := newFleet(800, 300, 20, 0, zones, 1)
		before, total, minPairs := ringAssignment(f), 0, 0
		for range changes {
			f = f.withServer(f.servers[len(f.servers)-3].Zone)
			f.servers[len(f.servers)-1].ID = fmt.Sprintf("server-%05d", len(f.servers)-1)
			after := ringAssignment(f)
			total += movedPairs(before, after)
			minPairs += f.clients * f.size / len(f.servers)
			before = after
		}
		if total > maxMoveRatio*minPairs {
			t.Errorf("zones %s: %d added servers move %d pairs, want at most 4 times the minimum of %d",
				zones.name, changes, total, minPairs)
		}

		g := newFleet(800, 300, 20, 0, zones, 1)
		before, total = ringAssignment(g), 0
		for range changes {
			g = g.withClients(g.clients + 1)
			after := ringAssignment(g)
			total += movedPairs(before, after)
			before = after
		}
		if minPairs := changes * g.size; total > maxMoveRatio*minPairs {
			t.Errorf("zones %s: %d added clients move %d pairs, want at most 4 times the minimum of %d",
				zones.name, changes, total, minPairs)
		}
	}
}

// TestLostZone simulates the loss of one of three zones. Each subset keeps at least 2/(3*outsideDivisor) of its servers
// whichever zone is lost, loads are even after the loss, and at most twice as many pairs move as are lost.
func TestLostZone(t *testing.T) {
	for _, zones := range []layout{inTurn(3), inBlocks(3), atRandom(3)} {
		f := newFleet(900, 600, 20, 0, zones, 1)
		before := ringAssignment(f)
		if got := measure(f, before); got.minOutsideShare < 1.0/outsideDivisor*2/3 {
			t.Errorf("zones %s: a subset keeps only a fraction of %.2f of its servers, want at least 2/(3*outsideDivisor)",
				zones.name, got.minOutsideShare)
		}
		remaining := f
		remaining.servers = slices.DeleteFunc(slices.Clone(f.servers), func(s Server) bool { return s.Zone == zoneName(1) })
		after := ringAssignment(remaining)
		if got := measure(remaining, after); got.maxLoad > 1.1+1e-9 {
			t.Errorf("zones %s: maximum load after the loss: got %.3f times the even load, want at most 1.1",
				zones.name, got.maxLoad)
		}
		lost := 0
		for _, slots := range before {
			for _, slot := range slots {
				if !slices.ContainsFunc(remaining.servers, func(s Server) bool { return s.Slot == slot }) {
					lost++
				}
			}
		}
		pairs := movedPairs(before, after)
		t.Logf("zones %s: %d pairs moved, %d lost", zones.name, pairs, lost)
		if pairs > 2*lost {
			t.Errorf("zones %s: %d pairs move for %d lost pairs, want at most twice the lost pairs", zones.name, pairs, lost)
		}
	}
}

func BenchmarkNewRing(b *testing.B) {
	for _, servers := range []int{100, 1000, 20000} {
		f := newFleet(servers, 5100, 20, 0, inTurn(3), 1)
		b.Run(fmt.Sprintf("%d servers", servers), func(b *testing.B) {
			for b.Loop() {
				NewRing(f.servers, f.size)
			}
		})
	}
}

func BenchmarkRingChoose(b *testing.B) {
	for _, servers := range []int{100, 1000, 20000} {
		f := newFleet(servers, 5100, 20, 0, inTurn(3), 1)
		ring := NewRing(f.servers, f.size)
		b.Run(fmt.Sprintf("%d servers", servers), func(b *testing.B) {
			position := 0
			for b.Loop() {
				ring.Choose(Client{Position: position % f.clients, Count: f.clients})
				position++
			}
		})
	}
}
