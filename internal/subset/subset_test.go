package subset

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// drawFleet draws a service with slots that are consecutive but for a few, in the given zones.
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

func TestChooseIsABoundedSetOfServersInAnyOrderOfInput(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t, drawLayout(t))
		client := Client{Position: rapid.IntRange(0, f.clients-1).Draw(t, "position"), Count: f.clients}
		chosen := Choose(f.servers, client, f.size)

		if want := min(f.size, len(f.servers)); len(chosen) != want {
			t.Fatalf("%d chosen, want %d", len(chosen), want)
		}
		known := ids(f.servers)
		for i, id := range chosen {
			if _, found := slices.BinarySearch(known, id); !found {
				t.Fatalf("%q isn't a server", id)
			}
			if i > 0 && chosen[i-1] >= id {
				t.Fatalf("%q before %q", chosen[i-1], id)
			}
		}

		shuffled := slices.Clone(f.servers)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 0))
		random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		given := slices.Clone(shuffled)
		if again := Choose(shuffled, client, f.size); !slices.Equal(chosen, again) {
			t.Fatalf("another order of the servers gives %v, not %v", again, chosen)
		}
		if !slices.Equal(shuffled, given) {
			t.Fatal("the caller's slice was changed")
		}
	})
}

func TestAllServersAreChosenUpToTheSize(t *testing.T) {
	for _, servers := range []int{1, 9, 10} {
		f := newFleet(servers, 7, 10, 0, inTurn(3), 1)
		if chosen := Choose(f.servers, Client{Position: 3, Count: 7}, 10); !slices.Equal(chosen, ids(f.servers)) {
			t.Errorf("%d servers: chosen %v", servers, chosen)
		}
	}
}

// TestChoiceIsTheSameOnEveryMachine holds one choice as it must come out everywhere, now and later: nodes and replicas
// of different versions have to agree.
func TestChoiceIsTheSameOnEveryMachine(t *testing.T) {
	f := newFleet(300, 50, 5, 0, inTurn(3), 1)
	chosen := Choose(f.servers, Client{Position: 17, Count: 50}, f.size)
	want := []string{"server-00030", "server-00085", "server-00140", "server-00208", "server-00297"}
	if !slices.Equal(chosen, want) {
		t.Errorf("chosen %q, want %q", chosen, want)
	}
}

func TestBadInput(t *testing.T) {
	f := newFleet(100, 8, 10, 0, inTurn(3), 1)
	at := func(position, count, size int) []string {
		return Choose(f.servers, Client{Position: position, Count: count}, size)
	}
	for _, each := range []struct {
		name      string
		got, want []string
	}{
		{"size 0", at(3, 8, 0), nil},
		{"size below 0", at(3, 8, -1), nil},
		{"no servers", Choose(nil, Client{Position: 3, Count: 8}, 10), nil},
		{"position at the count", at(8, 8, 10), at(0, 8, 10)},
		{"position beyond the count", at(27, 8, 10), at(3, 8, 10)},
		{"position below 0", at(-1, 8, 10), at(7, 8, 10)},
		{"lowest position", at(math.MinInt, 8, 10), at(0, 8, 10)},
		{"count 0", at(5, 0, 10), at(0, 1, 10)},
		{"count below 0", at(5, -8, 10), at(0, 1, 10)},
		{"an ID twice", Choose(append(slices.Clone(f.servers), f.servers...), Client{Position: 3, Count: 8}, 10), at(3, 8, 10)},
	} {
		if !slices.Equal(each.got, each.want) {
			t.Errorf("%s: chosen %v, want %v", each.name, each.got, each.want)
		}
	}
	if position, count := at(0, math.MaxInt, 10), at(math.MaxInt-1, math.MaxInt, 10); len(position) != 10 || len(count) != 10 {
		t.Errorf("the highest count: %d and %d servers chosen, want 10", len(position), len(count))
	}
}

func TestServersOfOneSlotAndFarSlots(t *testing.T) {
	var servers []Server
	for i := range 300 {
		servers = append(servers, Server{ID: fmt.Sprintf("same-%03d", i), Slot: 5})
		servers = append(servers, Server{ID: fmt.Sprintf("far-%03d", i), Slot: math.MinInt + i})
	}
	for position := range 20 {
		if chosen := Choose(servers, Client{Position: position, Count: 20}, 10); len(chosen) != 10 {
			t.Errorf("position %d: %d chosen, want 10", position, len(chosen))
		}
	}
}

// TestLoadIsEven holds 1.1 of even, and nine tenths rounded down to a whole number of clients, for zones of which none
// dominates.
func TestLoadIsEven(t *testing.T) {
	for _, each := range []struct{ servers, clients, size int }{
		{20, 20, 10}, {50, 100, 10}, {200, 100, 20}, {300, 1000, 10}, {500, 5100, 10}, {1000, 1000, 10},
		{1000, 5100, 20}, {5000, 1000, 100}, {5000, 5100, 10}, {20000, 5100, 50},
	} {
		for _, missing := range []int{0, 5} {
			for _, zones := range []layout{inTurn(3), inBlocks(20), atRandom(3), uneven(5)} {
				f := newFleet(each.servers, each.clients, each.size, missing, zones, 1)
				got := measure(f, ringAssignment(f))
				fewest := 9 * each.clients * each.size / (10 * each.servers)
				if got.most > 1.1+1e-9 || got.fewestClients < fewest {
					t.Errorf("%d servers, %d%% of slots missing, zones %s, %d clients, size %d: load %.3f to %.3f of even",
						each.servers, missing, zones.name, each.clients, each.size, got.least, got.most)
				}
			}
		}
	}
}

// TestEveryServerIsInSubsets holds the least number of subsets that a server is in, for sizes of 10 and more: eight
// tenths of the mean, less one for its rounding.
func TestEveryServerIsInSubsets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t, rapid.SampledFrom([]layout{inTurn(3), atRandom(20), uneven(5), mostIn(90)}).Draw(t, "zones"))
		f.size = max(f.size, 10)
		got := measure(f, ringAssignment(f))
		mean := float64(f.clients*min(f.size, len(f.servers))) / float64(len(f.servers))
		if least := int(0.8*mean) - 1; got.fewestClients < least {
			t.Fatalf("a server is in %d subsets, want %d at least; the mean is %.2f", got.fewestClients, least, mean)
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
					continue // too few for every subset to hold one
				}
				want := min(max(1, f.size*outside/(outsideShare*len(f.servers))), f.size/2)
				if got := f.size - inside[zone]; got < want {
					t.Fatalf("position %d has %d servers outside of %s, want %d at least", position, got, zone, want)
				}
			}
		}
	})
}

func TestFewOutsideServersAreSparedTheLoadOfAll(t *testing.T) {
	f := newFleet(1000, 500, 10, 0, inTurn(1), 1)
	for i := range 2 {
		f.servers[i].Zone = "small"
	}
	got := measure(f, ringAssignment(f))
	if got.most > maxSpanLoad*1.1 {
		t.Errorf("the two servers of the small zone have up to %.2f times the even load", got.most)
	}
	if got.singleZone == f.clients {
		t.Error("no client holds a server of the small zone")
	}
}

// TestChangesMoveFew bounds the moved pairs of client and server at one change, where the slots in use are consecutive.
// The least possible is one pair for each client of a server that comes or goes, and a whole subset for a client. A
// cell that is divided or joined adds up to a quarter of its pairs and a subset;
// another bound on the clients of a stretch adds up to a quarter of all pairs.
func TestChangesMoveFew(t *testing.T) {
	const times = 5
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
		cellPairs := mean * max(evenCellServers, subsetsPerCell*f.size)
		index := rapid.IntRange(0, len(f.servers)-1).Draw(t, "index")

		cellOf := func(f fleet) uint64 { return clientCell(f.clients, len(f.servers), f.size) }
		check := func(name string, after fleet, most int) {
			if cellOf(after) != cellOf(f) {
				most += f.clients * f.size / 4
			}
			if got := moved(before, ringAssignment(after)); got > most {
				t.Fatalf("%s moves %d pairs, want %d at most", name, got, most)
			}
		}
		check("an added server", f.with(f.servers[index].Zone), times*mean+cellPairs/4+f.size)
		check("a removed server", f.without(index), times*mean+cellPairs/4+f.size)
		check("an added client", f.withClients(f.clients+1), (times+1)*f.size)
		check("a removed client", f.withClients(f.clients-1), (times+1)*f.size)

		replaced := f
		replaced.servers = slices.Clone(f.servers)
		replaced.servers[index].ID = "replacement"
		if got := moved(before, ringAssignment(replaced)); got != 0 {
			t.Fatalf("%d pairs of client and slot move for a replaced server, want none", got)
		}
	})
}

// TestGrowthMovesFewOnTheWhole holds the mean over many changes, divisions of cells among them, to four times the least.
func TestGrowthMovesFewOnTheWhole(t *testing.T) {
	const times, changes = 4, 64
	for _, zones := range []layout{inTurn(1), inTurn(3), atRandom(3)} {
		f := newFleet(800, 300, 20, 0, zones, 1)
		before, total, least := ringAssignment(f), 0, 0
		for range changes {
			f = f.with(f.servers[len(f.servers)-3].Zone)
			f.servers[len(f.servers)-1].ID = fmt.Sprintf("server-%05d", len(f.servers)-1)
			after := ringAssignment(f)
			total += moved(before, after)
			least += f.clients * f.size / len(f.servers)
			before = after
		}
		if total > times*least {
			t.Errorf("zones %s: %d added servers move %d pairs, %d are the least", zones.name, changes, total, least)
		}

		g := newFleet(800, 300, 20, 0, zones, 1)
		before, total = ringAssignment(g), 0
		for range changes {
			g = g.withClients(g.clients + 1)
			after := ringAssignment(g)
			total += moved(before, after)
			before = after
		}
		if least := changes * g.size; total > times*least {
			t.Errorf("zones %s: %d added clients move %d pairs, %d are the least", zones.name, changes, total, least)
		}
	}
}

// TestLostZone holds what remains after the loss of one of three zones: even loads again, and no subset that had lost
// more than its stated part.
func TestLostZone(t *testing.T) {
	for _, zones := range []layout{inTurn(3), inBlocks(3), atRandom(3)} {
		f := newFleet(900, 600, 20, 0, zones, 1)
		before := ringAssignment(f)
		if got := measure(f, before); got.leastOutside < 1.0/outsideShare*2/3 {
			t.Errorf("zones %s: a subset loses all but %.2f of its servers", zones.name, got.leastOutside)
		}
		rest := f
		rest.servers = slices.DeleteFunc(slices.Clone(f.servers), func(s Server) bool { return s.Zone == zoneName(1) })
		after := ringAssignment(rest)
		if got := measure(rest, after); got.most > 1.1+1e-9 {
			t.Errorf("zones %s: load up to %.3f of even after the loss", zones.name, got.most)
		}
		lost := 0
		for _, slots := range before {
			for _, slot := range slots {
				if !slices.ContainsFunc(rest.servers, func(s Server) bool { return s.Slot == slot }) {
					lost++
				}
			}
		}
		pairs := moved(before, after)
		t.Logf("zones %s: %d pairs moved, %d lost", zones.name, pairs, lost)
		if pairs > 2*lost {
			t.Errorf("zones %s: %d pairs move for %d that were lost", zones.name, pairs, lost)
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
