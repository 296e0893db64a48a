package policy

import (
	"math"
	"math/rand/v2"
	"testing"
)

// While the dearest class finds no room, what is worth less gives way before it takes any, the more the less it is
// worth; the dearest never does, and neither does any where reports tell of room.
func TestLowPrioritiesAreShedForTheHighest(t *testing.T) {
	set := site(1)
	set.Classes[0].PriorityWeight, set.Classes[1].PriorityWeight, set.Classes[2].PriorityWeight = 1, 5, 3
	b := start(t, set, members(4))
	refused := func(class string) (part float64) {
		const asked = 2000
		for range asked {
			if b.shouldShed(b.classes.byName[class]) {
				part += 1.0 / asked
			}
		}
		return part
	}
	if got := refused("free"); got != 0 {
		t.Errorf("%v of the cheapest are given up while the dearest find room", got)
	}
	b.loadShedder.highPriorityShortage = 0.15
	cheapest, middle, dearest := refused("free"), refused("all"), refused("once")
	if math.Abs(cheapest-0.48) > 0.05 || math.Abs(middle-0.24) > 0.05 || dearest != 0 {
		t.Errorf("%v of the cheapest, %v of the middle and %v of the dearest class are given up, want 0.48, 0.24 and 0",
			cheapest, middle, dearest)
	}
	b.loadShedder.highPriorityShortage = 1
	if got := refused("free"); math.Abs(got-maxShedProbability) > 0.05 {
		t.Errorf("%v of the cheapest are given up while no dear one finds room, want %v", got, maxShedProbability)
	}
	if acts := b.Handle(ms, ask("x", "once")); len(of(acts, Send)) != 1 {
		t.Errorf("the dearest class gives way: %+v", acts)
	}
	told := fleet(t, 40, members(4))
	told.loadShedder.highPriorityShortage, told.loadShedder.maxPriorityWeight = 1, 5
	if told.shouldShed(told.classes.byName["free"]) {
		t.Error("a class gives way though reports tell of room")
	}
}

func TestLoadShedderFollowsTheShortageOfTheHighestPriority(t *testing.T) {
	var shedder loadShedder
	shedder.configure([]Class{{PriorityWeight: 1}, {PriorityWeight: 4}})
	shedder.recordDispatch(1, false)
	if shedder.highPriorityShortage != 0 {
		t.Errorf("a low priority without a server makes a shortage of %v", shedder.highPriorityShortage)
	}
	shedder.recordDispatch(4, false)
	if shedder.highPriorityShortage != shortageGain {
		t.Errorf("one request without a server makes a shortage of %v, want %v", shedder.highPriorityShortage, shortageGain)
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for range 100 {
		if shedder.shouldShed(rng, 4) {
			t.Fatal("the highest priority is shed")
		}
	}
}
