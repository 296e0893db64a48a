package policy

import (
	"testing"
	"time"
)

// A server that is busy and far slower than its kind recovers only while it gets no work, which probation requests
// of many nodes would undo. So none goes to a server that comes after one with capacity.
func TestOverloadedServerIsEjectedAndRests(t *testing.T) {
	b := startLargeFleet(t, 40, members(12))
	for _, s := range b.order() {
		reportLoad(b, s, 3, report(100, 0.5, 10))
	}
	first, last := b.order()[0], b.order()[11]
	reportLoad(b, first, 1, report(900, 1, 3))
	reportLoad(b, last, 1, report(900, 1, 3))
	if !first.outlier.ejected || !last.outlier.ejected {
		t.Fatal("overloaded servers are not ejected")
	}
	b.now += maxEjectionTime
	if s := b.pickProbation(&request{class: b.classes.ordered[0], usefulUntil: b.now + time.Second}); s != first {
		t.Errorf("the probation request goes to %+v, want the first server of the walk", s)
	}
	if s := b.pickProbation(&request{class: b.classes.ordered[0], usefulUntil: b.now + time.Second}); s != nil {
		t.Errorf("%s gets a probation request, though servers before it have capacity", s.ID)
	}
}

// Two failures in a row eject, a single one doesn't, and successes between them lower the score.
func TestFailureScore(t *testing.T) {
	const failure, silence, success = attemptFailureWeight, silenceWeight, 0.0
	for name, c := range map[string]struct {
		weights []float64
		ejects  bool
	}{
		"one failure":            {[]float64{failure}, false},
		"two in a row":           {[]float64{failure, failure}, true},
		"with successes between": {[]float64{failure, success, failure, success, success, failure}, false},
		"two silences":           {[]float64{silence, silence}, false},
		"five silences":          {[]float64{silence, silence, silence, silence, silence}, true},
	} {
		var state outlierState
		ejects := false
		for _, weight := range c.weights {
			if weight == success {
				state.addSuccess()
			} else {
				ejects = state.addFailure(weight)
			}
		}
		if ejects != c.ejects {
			t.Errorf("%s: ejects %v with a score of %v", name, ejects, state.failureScore)
		}
	}
}

// Ejections in a row take twice as long each, up to a bound.
func TestEjectionsTakeLongerInARow(t *testing.T) {
	var state outlierState
	for i, want := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 8 * time.Second} {
		if state.eject(time.Hour); state.ejectedUntil != time.Hour+want {
			t.Errorf("ejection %d takes %v, want %v", i+1, state.ejectedUntil-time.Hour, want)
		}
		if state.isDue(state.ejectedUntil-1) || !state.isDue(state.ejectedUntil) {
			t.Errorf("ejection %d: due for probation at another time than its end", i+1)
		}
	}
}

// The list of ejected servers follows their state, in any order.
func TestEjectedServersAreCounted(t *testing.T) {
	var d outlierDetector
	servers := make([]*server, 3)
	for i := range servers {
		servers[i] = &server{segment: &segment{}}
		servers[i].outlier.eject(0)
		if change := d.countEjected(servers[i]); change != 1 || d.countEjected(servers[i]) != 0 {
			t.Fatalf("server %d changes the count by %d, or again", i, change)
		}
	}
	servers[0].outlier = outlierState{}
	servers[1].segment = nil // it left service
	for _, s := range servers[:2] {
		if change := d.countEjected(s); change != -1 {
			t.Errorf("a server that came back changes the count by %d", change)
		}
	}
	if len(d.ejected) != 1 || d.ejected[0] != servers[2] {
		t.Errorf("ejected are %v, want the last server alone", d.ejected)
	}
}
