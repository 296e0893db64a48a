package simulation

import (
	"cmp"
	"fmt"
	"math"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"sloerail/internal/emulator"
)

// Measure is a figure of a run that something has to reach.
type Measure struct {
	Name     string
	Scenario string
	Min      float64 // to reach, at least,
	Max      float64 // and at most
	Of       func(r Run) float64
}

// Run is a scenario that was played.
type Run struct {
	Scenario
	*Outcome
	Baseline *Outcome // of another scenario with the same seed; nil where no measure asks for one
}

// The times of the shipped scenarios of zones.
const (
	faultAt  = 15 * time.Second
	faultEnd = 30 * time.Second
)

// ZoneMeasures are what is to be shown of zones; docs/zones.md has their figures.
func ZoneMeasures() []Measure {
	most := math.Inf(1)
	all := []Measure{
		{"zone lost: served from 2 s on, against before", "zone-lost", 0.98, most, Run.servedRatio},
		{"zone lost: requests that failed, less those under way, for each node and server", "zone-lost", -most, 1, func(r Run) float64 {
			return float64(r.Between(faultAt-2*time.Second, faultEnd).Failed-r.Interrupted) / float64(r.nodesAndServers())
		}},
		{"zone lost: crossing attempts against the least possible", "zone-lost", 0, 1.15, func(r Run) float64 {
			s := r.Between(20*time.Second, faultEnd)
			return float64(s.CrossZone) / float64(sum(s.AttemptsByZone["a"]))
		}},
		{"calm: attempts that cross", "calm", 0, 0, func(r Run) float64 {
			return float64(r.Between(0, r.Length.Duration).CrossZone)
		}},
		{"overflow: crossing attempts against what is beyond 0.8 of the own zone", "overflow", 0, 1.15, overflowRatio},
		{"return: growing took, against the law", "zone-lost", 0.8, 1.2, func(r Run) float64 { return r.growthRatio("a") }},
		{"return: from the zone's return to the last whole share, s", "zone-lost", 0, most, func(r Run) float64 {
			return r.lastLogged("zone a has its whole") - faultEnd.Seconds()
		}},
		{"return: requests that failed", "zone-lost", 0, 0.005, func(r Run) float64 { return r.failedFraction(faultEnd, faultEnd+15*time.Second) }},
		{"return cold: requests that failed", "zone-cold", 0, 0.005, func(r Run) float64 { return r.failedFraction(faultEnd, faultEnd+25*time.Second) }},
		{"flapping: times left by one node in a minute", "zone-flap", 0, 3, func(r Run) float64 { return float64(r.maxEvacuations()) }},
		{"flapping: served against a zone that stays away", "zone-flap", 0.95, most, func(r Run) float64 {
			return r.servedFraction(faultAt, 75*time.Second) / r.Baseline.Between(faultAt, 75*time.Second).ServedFraction()
		}},
		{"region lost, room for half: worth served against the greatest possible", "region-lost", 0.9, most, regionLostRatio},
		{"region lost: boxes elsewhere choked", "region-lost", 0, 0, func(r Run) float64 {
			return float64(r.Between(faultAt, 35*time.Second).Overloaded)
		}},
	}
	for _, name := range []string{"zone-errors", "zone-slow", "zone-silent", "zone-mute"} {
		all = append(all, stillSent(name, "a", 5*time.Second))
	}
	for _, name := range []string{"two-in-turn", "zone-apart", "zone-vanish", "zone-drain", "large-lost"} {
		all = append(all, Measure{name + ": served from 2 s on, against before", name, 0.98, most, Run.servedRatio})
	}
	all = append(all, Measure{"lost-and-load: served from 2 s on, against before, with 0.93 of what is left asked for", "lost-and-load", 0.9,
		most, Run.servedRatio})
	for i, name := range []string{"large-lost", "large-errors"} {
		from := time.Duration(i+1) * 5 * time.Second // each node hears 6 answers a second
		all = append(all, stillSent(name, "z00", from), Measure{name + ": attempts of the other zones that cross", name, 0, 0.02,
			func(r Run) float64 {
				s := r.Between(faultAt, faultEnd)
				return float64(s.CrossZone-sum(s.AttemptsByZone["z00"])+s.AttemptsByZone["z00"]["z00"]) / float64(s.Attempts)
			}})
	}
	for _, name := range []string{"all-slow", "all-errors", "one-bad"} {
		all = append(all, Measure{name + ": places left meanwhile", name, 0, 0, func(r Run) float64 {
			return float64(r.evacuations(faultAt, faultEnd))
		}})
	}
	return all
}

// stillSent is the part of a zone's requests that is sent there from so long after the fault on.
func stillSent(scenario, zone string, after time.Duration) Measure {
	return Measure{fmt.Sprintf("%s: share of the zone's requests still sent there from %v on", scenario, after), scenario, 0, 0.05,
		func(r Run) float64 {
			to := r.Between(faultAt+after, faultEnd).AttemptsByZone[zone]
			return float64(to[zone]) / float64(sum(to))
		}}
}

// servedRatio is what is served from 2 s after the fault on, against before.
func (r Run) servedRatio() float64 {
	return r.servedFraction(faultAt+2*time.Second, faultEnd) / r.servedFraction(5*time.Second, faultAt-time.Second)
}

// BaselineOf names the scenario that the measures of another need beside it; empty for none.
func BaselineOf(scenario string) string {
	if scenario == "zone-flap" {
		return "zone-away"
	}
	return ""
}

func sum(to map[string]int) (n int) {
	for _, k := range to {
		n += k
	}
	return n
}

func (r Run) servedFraction(from, to time.Duration) float64 {
	return r.Between(from, to).ServedFraction()
}

func (r Run) failedFraction(from, to time.Duration) float64 {
	s := r.Between(from, to)
	return float64(s.Failed) / float64(max(1, s.Requests))
}

// nodesAndServers is how many nodes there are and servers are affected, in all.
func (r Run) nodesAndServers() (n int) {
	for _, z := range r.Zones {
		n += z.Nodes
	}
	return n + r.Zones[0].Servers
}

// lastLogged is when a node last said something that begins so, in seconds.
func (r Run) lastLogged(prefix string) (at float64) {
	for _, m := range r.Timeline {
		if strings.HasPrefix(m.Text, prefix) {
			at = m.At
		}
	}
	return at
}

// evacuations counts how often zones were evacuated between two times.
func (r Run) evacuations(from, to time.Duration) (n int) {
	for _, m := range r.Timeline {
		if m.At >= from.Seconds() && m.At < to.Seconds() && strings.Contains(m.Text, " evacuated: ") {
			n++
		}
	}
	return n
}

// maxEvacuations is how often the node that evacuated zones most often did so.
func (r Run) maxEvacuations() (most int) {
	by := make(map[string]int)
	for _, m := range r.Timeline {
		if strings.Contains(m.Text, " evacuated: ") {
			by[m.Node]++
			most = max(most, by[m.Node])
		}
	}
	return most
}

// growthRatio is how long shares grew on average, as a part of what the law says: from a twentieth to the whole,
// e-fold in 2 s.
func (r Run) growthRatio(zone string) float64 {
	began, took, n := make(map[string]float64), 0.0, 0
	for _, m := range r.Timeline {
		switch {
		case strings.HasPrefix(m.Text, "zone "+zone+" recovers"):
			began[m.Node] = m.At
		case strings.HasPrefix(m.Text, "zone "+zone+" has its whole") && began[m.Node] > 0:
			took, n = took+m.At-began[m.Node], n+1
		}
	}
	return took / float64(max(1, n)) / (2 * math.Log(20))
}

// overflowRatio sets what crossed against what the own zone has no room for, at 0.8 of its cores.
func overflowRatio(r Run) float64 {
	s := r.Between(20*time.Second, 35*time.Second)
	asked := 0.0
	for _, work := range s.Work["a"] {
		asked += work
	}
	room := 0.8 * r.Cores["a"] * 15
	least := max(0, 1-room/asked) * float64(sum(s.AttemptsByZone["a"]))
	return float64(s.CrossZone) / least
}

// regionLostRatio sets the value that was served against the greatest possible: the most valuable classes first, up to all
// cores of the zone that is left.
func regionLostRatio(r Run) float64 {
	from, to := faultAt+3*time.Second, 35*time.Second
	s := r.Between(from, to)
	room, best := r.Cores["c"]*(to-from).Seconds(), 0.0
	classes := emulator.Classes()
	slices.SortFunc(classes, func(a, b emulator.Class) int { return int(b.PriorityWeight - a.PriorityWeight) })
	for _, c := range classes {
		asked := 0.0
		for _, by := range s.Work {
			asked += by[c.Name]
		}
		fits := min(asked, room)
		room -= fits
		best += fits * c.PriorityWeight
	}
	return s.ServedValue / best
}

// Row is a measure over several seeds, with places judged and with servers judged one by one.
type Row struct {
	Measure
	WithTopology, WithoutTopology []float64 // by seed
	Broken                        int       // rules, over all runs with places
}

// Reached tells whether the mean is where it has to be, and no rule was broken.
func (r Row) Reached() bool {
	m, _, _ := MeanMinMax(r.WithTopology)
	return m >= r.Min && m <= r.Max && r.Broken == 0
}

// MeanMinMax is the mean, the least and the most of some figures.
func MeanMinMax(all []float64) (mean, least, most float64) {
	for _, v := range all {
		mean += v / float64(len(all))
	}
	return mean, slices.Min(all), slices.Max(all)
}

// MeasureZones plays all scenarios that the measures need, once for each seed with places judged, and, where that is
// asked for, with servers judged alone; on all cores.
func MeasureZones(measures []Measure, seeds []uint64, alone bool) ([]Row, error) {
	ways := []bool{true, false}
	if !alone {
		ways = ways[:1]
	}
	type key struct {
		name   string
		seed   uint64
		places bool
	}
	at := make(map[key]int) // in keys
	var keys []key
	for _, m := range measures {
		for _, name := range []string{m.Scenario, BaselineOf(m.Scenario)} {
			for _, seed := range seeds {
				for _, places := range ways {
					k := key{name, seed, places}
					if _, known := at[k]; !known && name != "" {
						at[k], keys = len(keys), append(keys, k)
					}
				}
			}
		}
	}
	runs := make([]Run, len(keys))
	err := onAllCores(len(keys), func(i int) (err error) {
		runs[i], err = playOnce(keys[i].name, keys[i].seed, keys[i].places)
		return err
	})
	if err != nil {
		return nil, err
	}
	var rows []Row
	for _, m := range measures {
		row := Row{Measure: m}
		for _, seed := range seeds {
			for _, places := range ways {
				r := runs[at[key{m.Scenario, seed, places}]]
				if held, ok := at[key{BaselineOf(m.Scenario), seed, places}]; ok {
					r.Baseline = runs[held].Outcome
				}
				if v := m.Of(r); places {
					row.WithTopology, row.Broken = append(row.WithTopology, v), row.Broken+r.Broken
				} else {
					row.WithoutTopology = append(row.WithoutTopology, v)
				}
			}
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// onAllCores does n things, as many at a time as there are cores, and returns the first error; none begins after it.
func onAllCores(n int, do func(i int) error) error {
	var mu sync.Mutex
	var failed error
	next := 0
	take := func() (i int, ok bool) {
		mu.Lock()
		defer mu.Unlock()
		if failed != nil || next >= n {
			return 0, false
		}
		next++
		return next - 1, true
	}
	var work sync.WaitGroup
	for range min(n, runtime.GOMAXPROCS(0)) {
		work.Go(func() {
			for i, ok := take(); ok; i, ok = take() {
				if err := do(i); err != nil {
					mu.Lock()
					failed = cmp.Or(failed, err)
					mu.Unlock()
				}
			}
		})
	}
	work.Wait()
	return failed
}

func playOnce(name string, seed uint64, places bool) (Run, error) {
	s, err := Read(name)
	if err != nil {
		return Run{}, err
	}
	s.Topology = places
	w, err := New(s, seed)
	if err != nil {
		return Run{}, fmt.Errorf("scenario %q: %w", name, err)
	}
	return Run{Scenario: s, Outcome: w.Run()}, nil
}
