package subset

import (
	"cmp"
	"fmt"
	"math/bits"
	"math/rand/v2"
	"os"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/jedib0t/go-pretty/v6/table"
)

// algorithm is a way to choose subsets. All algorithms but this package's are implemented here from published
// descriptions, for the comparison alone.
type algorithm struct {
	name   string
	assign func(fleet) assignment
}

func algorithms() []algorithm {
	return []algorithm{
		{"this package", ringAssignment},
		{"shuffled rounds (SRE book)", shuffledRounds},
		{"rendezvous hashing", rendezvous},
		{"aperture (Twitter)", aperture},
		{"van der Corput ring (ACM Queue)", corputRing},
		{"shuffled ring a lot (ACM Queue)", lotRing},
	}
}

func hash(values ...int) uint64 {
	var buffer []byte
	for _, value := range values {
		buffer = fmt.Appendf(buffer, "%d,", value)
	}
	return xxhash.Sum64(buffer)
}

func slotsOf(f fleet) []int {
	slots := make([]int, len(f.servers))
	for i, server := range f.servers {
		slots[i] = server.Slot
	}
	slices.Sort(slots)
	return slots
}

// shuffledRounds shuffles the servers for each round of clients and cuts them into subsets. Servers that don't fill a
// subset are omitted in that round.
func shuffledRounds(f fleet) assignment {
	result := make(assignment, f.clients)
	subsets := len(f.servers) / f.size
	var order []int
	for position := range result {
		round, index := position/subsets, position%subsets
		if index == 0 {
			order = slotsOf(f)
			random := rand.New(rand.NewPCG(uint64(round), 0))
			random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
		}
		result[position] = order[index*f.size : (index+1)*f.size]
	}
	return result
}

// rendezvous gives each client the servers with the highest hashes of the client-server pair.
func rendezvous(f fleet) assignment {
	type scored struct {
		slot  int
		score uint64
	}
	result := make(assignment, f.clients)
	scores := make([]scored, len(f.servers))
	for position := range result {
		seed := hash(position)
		for i, server := range f.servers {
			scores[i] = scored{server.Slot, mix(seed ^ uint64(server.Slot)*goldenRatioStep)}
		}
		slices.SortFunc(scores, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
		for _, each := range scores[:f.size] {
			result[position] = append(result[position], each.slot)
		}
	}
	return result
}

// mix is the finalizer of splitmix64.
func mix(value uint64) uint64 {
	value = (value ^ value>>30) * 0xBF58476D1CE4E5B9
	value = (value ^ value>>27) * 0x94D049BB133111EB
	return value ^ value>>31
}

// aperture spaces clients and servers evenly on a ring; a client takes the servers that follow its point. The published
// version weights the first and the last server by the part of it that the client's arc covers; here each counts 1/size.
func aperture(f fleet) assignment {
	slots := slotsOf(f)
	slices.SortFunc(slots, func(a, b int) int { return cmp.Compare(hash(a), hash(b)) })
	return assignRuns(f, slots, func(position int) int { return position * len(slots) / f.clients })
}

// corputRing places clients and servers by the van der Corput sequence; a client takes the servers that follow its point.
func corputRing(f fleet) assignment {
	slots := slotsOf(f)
	slices.SortFunc(slots, func(a, b int) int {
		return cmp.Compare(bits.Reverse64(uint64(a)), bits.Reverse64(uint64(b)))
	})
	return assignRuns(f, slots, func(position int) int {
		first, _ := slices.BinarySearchFunc(slots, bits.Reverse64(uint64(position)), func(slot int, point uint64) int {
			return cmp.Compare(bits.Reverse64(uint64(slot)), point)
		})
		return first
	})
}

// lotRing divides clients into lots of clientsPerLot. Each lot has its own ring of hashed servers, on which its clients
// are spaced evenly.
func lotRing(f fleet) assignment {
	const clientsPerLot = 10
	result := make(assignment, f.clients)
	type point struct {
		slot int
		at   uint64
	}
	ring := make([]point, len(f.servers))
	for position := range result {
		lot, index := position/clientsPerLot, position%clientsPerLot
		if index == 0 {
			seed := hash(lot)
			for i, server := range f.servers {
				ring[i] = point{server.Slot, mix(seed ^ uint64(server.Slot)*goldenRatioStep)}
			}
			slices.SortFunc(ring, func(a, b point) int { return cmp.Compare(a.at, b.at) })
		}
		start := ^uint64(0) / clientsPerLot * uint64(index)
		first, _ := slices.BinarySearchFunc(ring, start, func(p point, start uint64) int { return cmp.Compare(p.at, start) })
		for i := range f.size {
			result[position] = append(result[position], ring[(first+i)%len(ring)].slot)
		}
	}
	return result
}

// assignRuns gives each client consecutive servers in the order of slots, starting at index firstOf(position).
func assignRuns(f fleet, slots []int, firstOf func(position int) int) assignment {
	result := make(assignment, f.clients)
	for position := range result {
		first := firstOf(position)
		for i := range f.size {
			result[position] = append(result[position], slots[(first+i)%len(slots)])
		}
	}
	return result
}

// moveRatios holds, for each kind of change, the number of moved client-server pairs divided by the minimum possible.
type moveRatios struct {
	added, removed, replaced, client float64
}

func (t moveRatios) all() []float64 {
	return []float64{t.added, t.removed, t.replaced, t.client}
}

// measureChanges applies each kind of change to the same fleet and returns the ratios of moved pairs. Changes of servers
// are tried for several servers; their ratio is the sum of the moved pairs divided by the sum of the minimums.
func measureChanges(assign func(fleet) assignment, f fleet) moveRatios {
	const trials = 3
	random := rand.New(rand.NewPCG(1, 1))
	before := assign(f)
	var addedPairs, removedPairs, replacedPairs, minAddedPairs, minRemovedPairs int
	for range trials {
		index := random.IntN(len(f.servers))
		slot := f.servers[index].Slot
		serverPairs := 0
		for _, slots := range before {
			if slices.Contains(slots, slot) {
				serverPairs++
			}
		}
		minRemovedPairs += serverPairs
		removedPairs += movedPairs(before, assign(f.withoutServer(index)))
		minAddedPairs += f.clients * f.size / (len(f.servers) + 1)
		addedPairs += movedPairs(before, assign(f.withServer(f.servers[index].Zone)))

		replaced := f
		replaced.servers = slices.Clone(f.servers)
		replaced.servers[index].ID = "replacement"
		replaced.servers[index].Zone = f.servers[random.IntN(len(f.servers))].Zone
		replacedPairs += serverPairs + movedPairs(before, assign(replaced))
	}
	ratio := func(pairs, least int) float64 { return float64(pairs) / float64(max(least, 1)) }
	return moveRatios{
		added:    ratio(addedPairs, minAddedPairs),
		removed:  ratio(removedPairs, minRemovedPairs),
		replaced: ratio(replacedPairs, minRemovedPairs),
		client:   ratio(movedPairs(before, assign(f.withClients(f.clients+1))), f.size),
	}
}

// TestCompare checks the comparison in docs/subsetting.md: if a server has at least ten clients and no zone dominates,
// only this package keeps loads within 1.1 times the even load, moves at most maxMoveRatio times the minimum at each
// change, and leaves no subset in a single zone where there are several zones. With -v it prints the table of that page,
// which also has rows that are not checked.
func TestCompare(t *testing.T) {
	const maxMoveRatio = 20
	checkedRows := []fleetRow{
		{20, 100, 10, 0, inTurn(1)},
		{250, 1000, 20, 0, inTurn(3)},
		{1000, 500, 20, 0, inTurn(3)},
		{1000, 500, 20, 5, uneven(5)},
		{1000, 500, 20, 50, atRandom(20)},
	}
	rows := slices.Clone(checkedRows)
	if testing.Verbose() {
		rows = append(rows, fleetRow{100, 10, 20, 0, inTurn(3)}, fleetRow{1000, 500, 20, 0, mostIn(90)},
			fleetRow{2000, 2000, 100, 0, inBlocks(20)}, fleetRow{20000, 5100, 50, 0, inTurn(20)})
	}
	printed := table.NewWriter()
	printed.AppendHeader(table.Row{"servers, clients, size", "slots missing; zones", "algorithm", "load", "fewest clients",
		"least outside", "in one zone", "add", "remove", "replace", "client"})
	rowsMet := make(map[string]int)
	for number, row := range rows {
		f := newFleet(row.servers, row.clients, row.size, row.missing, row.zones, 1)
		for _, each := range algorithms() {
			got := measure(f, each.assign(f))
			cells := table.Row{fmt.Sprintf("%d, %d, %d", row.servers, row.clients, row.size),
				fmt.Sprintf("%d%%; %s", row.missing, row.zones.name), each.name,
				fmt.Sprintf("%.2f to %.2f", got.minLoad, got.maxLoad), got.minClients,
				fmt.Sprintf("%.2f", got.minOutsideShare), got.singleZoneClients}
			if row.servers > 2000 {
				printed.AppendRow(append(cells, "-", "-", "-", "-"))
				continue
			}
			changes := measureChanges(each.assign, f)
			for _, times := range changes.all() {
				cells = append(cells, fmt.Sprintf("%.1f", times))
			}
			printed.AppendRow(cells)
			spans := got.singleZoneClients == 0 || row.zones.name == inTurn(1).name
			if number < len(checkedRows) && got.maxLoad <= 1.1+1e-9 && spans && slices.Max(changes.all()) <= maxMoveRatio {
				rowsMet[each.name]++
			}
		}
	}
	if testing.Verbose() {
		printed.SetOutputMirror(os.Stdout)
		printed.RenderMarkdown()
	}
	for _, each := range algorithms() {
		if chosen := each.name == "this package"; chosen != (rowsMet[each.name] == len(checkedRows)) {
			t.Errorf("%s meets all criteria in %d of %d rows; only this package should meet them in all rows",
				each.name, rowsMet[each.name], len(checkedRows))
		}
	}
}

// fleetRow holds the parameters of a row of the comparison.
type fleetRow struct {
	servers, clients, size, missing int
	zones                           layout
}

// TestCompareSizes checks the maximum load over a grid of sizes where a server has at least ten clients and no zone
// dominates. The limit is 1.1 times the even load, or 1.2 times if half of the slots are missing. With -v the test
// prints the second table of docs/subsetting.md, over the whole grid.
func TestCompareSizes(t *testing.T) {
	servers, clients := []int{50, 200, 1000}, []int{100, 1000}
	if testing.Verbose() {
		servers, clients = append(servers, 20, 5000, 20000), append(clients, 10, 5100)
	}
	even := []layout{inTurn(1), inTurn(3), atRandom(3), inBlocks(20), uneven(5)}
	printed := table.NewWriter()
	printed.AppendHeader(table.Row{"slots missing; zones", "fleets", "over 1.1", "highest load", "fewest clients/mean",
		"least outside", "in one zone"})
	for _, missing := range []int{0, 5, 50} {
		for number, zones := range append(slices.Clone(even), mostIn(75), mostIn(90), mostIn(97)) {
			total := measureGrid(servers, clients, missing, zones)
			loadLimit := 1.1
			if missing >= 50 {
				loadLimit = 1.2
			}
			if number < len(even) && total.maxLoad > loadLimit+1e-9 {
				t.Errorf("%d%% of slots missing, zones %s: maximum load: got %.3f times the even load, want at most 1.1 (1.2 if 50%% are missing)",
					missing, zones.name, total.maxLoad)
			}
			printed.AppendRow(table.Row{fmt.Sprintf("%d%%; %s", missing, zones.name), total.fleets, total.overloaded,
				fmt.Sprintf("%.2f", total.maxLoad), fmt.Sprintf("%.2f", total.minClientsRatio),
				fmt.Sprintf("%.2f", total.minOutside), total.singleZoneClients})
		}
	}
	if testing.Verbose() {
		printed.SetOutputMirror(os.Stdout)
		printed.RenderMarkdown()
	}
}

// gridTotal holds the worst value of each measure over the fleets of a grid, and counts of fleets and clients.
type gridTotal struct {
	fleets, overloaded, singleZoneClients int
	maxLoad, minClientsRatio, minOutside  float64
}

func measureGrid(servers, clients []int, missing int, zones layout) gridTotal {
	total := gridTotal{minClientsRatio: 1, minOutside: 1}
	for _, n := range servers {
		for _, c := range clients {
			for _, size := range []int{10, 20, 50, 100} {
				if size >= n || c*size < 10*n {
					continue
				}
				f := newFleet(n, c, size, missing, zones, 2)
				got := measure(f, ringAssignment(f))
				total.fleets++
				if got.maxLoad > 1.1+1e-9 {
					total.overloaded++
				}
				total.maxLoad = max(total.maxLoad, got.maxLoad)
				total.minClientsRatio = min(total.minClientsRatio, float64(got.minClients*n)/float64(c*size))
				total.minOutside = min(total.minOutside, got.minOutsideShare)
				total.singleZoneClients += got.singleZoneClients
			}
		}
	}
	return total
}
