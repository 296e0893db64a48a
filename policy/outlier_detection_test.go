package policy

import (
	"testing"
	"time"
)

// A server that is busy and far slower than its kind recovers only while it gets no requests. Probation
// requests from many nodes would keep it from recovering. A node therefore sends no probation
// request to a server that comes after a server with capacity in packing order.
func TestOverloadedServerIsEjectedAndProbedInPackingOrder(t *testing.T) {
	b := startLargeFleet(t, 40, testEndpoints(12))
	for _, s := range b.order() {
		reportLoad(b, s, 3, report(100, 0.5, 10))
	}
	first, last := b.order()[0], b.order()[11]
	reportLoad(b, first, 1, report(900, 1, 3))
	reportLoad(b, last, 1, report(900, 1, 3))
	if !first.outlier.ejected || !last.outlier.ejected {
		t.Fatal("want the first and the last server ejected, as both reported an overload")
	}
	b.now += maxEjectionTime
	if s := b.claimProbation(&request{class: b.classes.ordered[0], usefulUntil: b.now + time.Second}); s != first {
		t.Errorf("first probation request: got server %+v, want the first server in packing order", s)
	}
	if s := b.claimProbation(&request{class: b.classes.ordered[0], usefulUntil: b.now + time.Second}); s != nil {
		t.Errorf("second probation request: got server %s, want none while earlier servers have capacity", s.ID)
	}
}

// Two failures in a row eject a server, a single failure doesn't, and successes in between lower the score.
// Silences weigh less than failures.
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
			t.Errorf("%s: ejected %v with a failure score of %v, want the opposite", name, ejects, state.failureScore)
		}
	}
}

// Each further ejection in a row takes twice as long, up to maxEjectionTime.
func TestEjectionTimeDoublesUpToTheMaximum(t *testing.T) {
	var state outlierState
	for i, want := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 8 * time.Second} {
		if state.eject(time.Hour); state.ejectedUntil != time.Hour+want {
			t.Errorf("ejection %d takes %v, want %v", i+1, state.ejectedUntil-time.Hour, want)
		}
		if state.isDue(state.ejectedUntil-1) || !state.isDue(state.ejectedUntil) {
			t.Errorf("ejection %d: want the server due for probation at the end of the ejection, and not before", i+1)
		}
	}
}

// updateEjected keeps the list of ejected servers correct when servers are removed from the start of the
// list.
func TestEjectedServersAreCounted(t *testing.T) {
	var d outlierDetector
	servers := make([]*server, 3)
	for i := range servers {
		servers[i] = &server{segment: &segment{}}
		servers[i].outlier.eject(0)
		if change := d.updateEjected(servers[i]); change != 1 || d.updateEjected(servers[i]) != 0 {
			t.Fatalf("server %d ejected: updateEjected returned %d, want 1 in the first call and 0 in the second",
				i, change)
		}
	}
	servers[0].outlier = outlierState{}
	servers[1].segment = nil // no longer in service
	for _, s := range servers[:2] {
		if change := d.updateEjected(s); change != -1 {
			t.Errorf("server no longer ejected or in service: updateEjected returned %d, want -1", change)
		}
	}
	if len(d.ejected) != 1 || d.ejected[0] != servers[2] {
		t.Errorf("ejected servers: got %v, want only the last server", d.ejected)
	}
}

// A cancelled probation request doesn't block later ones.
func TestCancelledProbationRequestIsFollowedByAnother(t *testing.T) {
	b := startBalancer(t, testSettings(1), testEndpoints(6))
	s := b.servers["s00"]
	b.eject(s)
	now := s.outlier.ejectedUntil
	if got := sentTo(t, b.Handle(now, newRequest("x", "free"))); got != "s00" {
		t.Fatalf("first probation request sent to %s, want s00", got)
	}
	b.Handle(now+100*ms, outcome("x", 0, "s00", Cancelled, 100*ms))
	if s.outlier.probationInFlight {
		t.Error("cancelled probation request still counts as in flight")
	}
	now = s.outlier.ejectedUntil
	if got := sentTo(t, b.Handle(now, newRequest("y", "free"))); got != "s00" {
		t.Errorf("probation request after a cancelled one sent to %s, want s00", got)
	}
}

// A hung server with a full queue rejects probation requests at once. Such a rejection delays the next
// probation request.
func TestOverloadedProbationRequestDelaysTheNext(t *testing.T) {
	b := startBalancer(t, testSettings(1), testEndpoints(6))
	s := b.servers["s00"]
	b.eject(s)
	now := s.outlier.ejectedUntil
	b.Handle(now, newRequest("x", "free"))
	b.Handle(now+ms, outcome("x", 0, "s00", Overloaded, ms))
	if got := sentTo(t, b.Handle(now+2*ms, newRequest("y", "free"))); got == "s00" {
		t.Error("request right after an Overloaded probation request sent to s00, want another server")
	}
}

// A timeout doesn't count as a failure if the server has responded to another request since the attempt.
func TestTimeoutAtARespondingServerIsNoFailure(t *testing.T) {
	b := startBalancer(t, testSettings(1), testEndpoints(6))
	s := b.servers["s00"]
	b.Handle(ms, newRequest("x", "once"))
	s.lastResponseAt = 100 * ms
	b.Handle(600*ms, outcome("x", 0, "s00", TimedOut, 600*ms))
	if s.outlier.failureScore != 0 {
		t.Errorf("failure score after the timeout: got %v, want 0", s.outlier.failureScore)
	}
}

// Connection faults that affect all servers equally hardly lower the limits, and eject at most one server. A
// server that fails far more often than the others is still ejected. A single fault has its full weight.
func TestFaultsAtAllServersEjectAtMostOne(t *testing.T) {
	simulate := func(faultRatio func(s *server) float64) *Balancer {
		b := startBalancer(t, testSettings(1), testEndpoints(10))
		for _, s := range b.order() {
			s.concurrencyLimit = 10
		}
		for i := range 2000 {
			s := b.order()[i%len(b.order())]
			b.now += ms
			code := OK
			if b.rng.Float64() < faultRatio(s) {
				code = Reset
			}
			s.inFlight = 9 // at its limit with this attempt
			weight := b.failureWeight(s, code)
			b.updateConcurrencyLimit(s, b.classes.ordered[0], code, ms, weight)
			b.updateOutlierState(&attempt{server: s, sentAt: b.now}, code, weight)
		}
		return b
	}
	for name, faultRatio := range map[string]float64{"few": 0.05, "many": 0.15} {
		b := simulate(func(*server) float64 { return faultRatio })
		if b.packing.pool.ejected > 1 {
			t.Errorf("%s resets at all servers: %d of 10 servers ejected, want at most 1", name,
				b.packing.pool.ejected)
		}
		for _, s := range b.order() {
			if s.concurrencyLimit < 8 {
				t.Errorf("%s resets at all servers: limit fell from 10 to %.1f, want at least 8", name,
					s.concurrencyLimit)
			}
		}
	}
	b := simulate(func(s *server) float64 {
		if s.ID == "s03" {
			return 0.9
		}
		return 0.05
	})
	if !b.servers["s03"].outlier.ejected {
		t.Error("server that resets 90% of its connections while others reset 5% is not ejected")
	}
	for _, code := range []Code{Reset, ConnectFailed, ServerError} {
		b := startBalancer(t, testSettings(1), testEndpoints(10))
		if got := b.failureWeight(b.order()[0], code); got != 1 {
			t.Errorf("failure weight of a single fault (code %v): got %v, want 1", code, got)
		}
	}
	if b := startBalancer(t, testSettings(1), testEndpoints(1)); b.failureWeight(b.order()[0], Reset) != 1 {
		t.Error("failure weight of a reset at the only server isn't 1")
	}
}
