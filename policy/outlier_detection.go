package policy

import (
	"iter"
	"slices"
	"time"
)

const (
	// of one failure in the score: two in a row eject, a lone one doesn't
	attemptFailureWeight = 0.3
	// of an attempt out for long at a silent server: it may just be heavy
	silenceWeight       = 0.15
	overloadedWeight    = 0.2             // of a full answer: a server that keeps giving those needs a rest
	ejectionScore       = 0.5             // score that ejects
	connectionFaultGain = 0.1             // weight of one answer in the part of a server's that are faults
	sharedFaultFactor   = 2.0             // times that part at the others, one says nothing of its server
	baseEjectionTime    = time.Second     // first ejection, doubled each time
	maxEjectionTime     = 8 * time.Second // up to this
	// part of the fleet; when more seems broken, the cause isn't the servers
	maxEjectedFraction = 0.4
	// good trials in a row: half of them pass at a server that fails half
	probationSuccessesNeeded = 3
)

// outlierState is the state of one server's circuit breaker.
type outlierState struct {
	failureScore       float64
	ejected            bool // ejected, or half-open once until has passed
	ejectedUntil       Time
	ejections          int // ejections in a row
	probationSuccesses int // good trials in a row
	probationInFlight  bool
}

// failureWeight is how far a failure is its server's own: connections that break at all servers alike, as
// where the network resets them, would leave no server a threshold and eject as many as may be.
func (b *Balancer) failureWeight(s *server, code Code) float64 {
	fault := code == Reset || code == ConnectFailed // an error is a server's own
	others := b.trackConnectionFaults(s, fault)
	if !fault || b.length < 2 {
		return 1
	}
	return max(0, 1-sharedFaultFactor*max(0, others)/float64(b.length-1)/s.connectionFaultRatio)
}

// updateOutlierState moves the breaker of an attempt's server by its outcome.
func (b *Balancer) updateOutlierState(a *attempt, code Code, blame float64) {
	s, h := a.server, &a.server.outlier
	switch {
	case h.ejected && a.probation && code == OK:
		if h.probationSuccesses++; h.probationSuccesses >= probationSuccessesNeeded {
			*h, s.concurrencyLimit = outlierState{}, b.initialLimit()
			b.countEjected(s)
		}
	case h.ejected && a.probation: // full too: a hung server turns away what it has no room for
		b.eject(s)
	case code == OK:
		h.failureScore -= attemptFailureWeight * h.failureScore
	case code == Overloaded:
		b.recordFailure(s, overloadedWeight)
	case code != TimedOut || s.lastResponseAt < a.sentAt: // a server that answers others isn't hung
		b.recordFailure(s, attemptFailureWeight*blame)
	}
}

// recordFailure counts a failure, or a silence, against a server.
func (b *Balancer) recordFailure(s *server, weight float64) {
	h := &s.outlier
	h.failureScore += weight * (1 - h.failureScore)
	if !h.ejected && h.failureScore > ejectionScore && b.mayEject(s) {
		b.eject(s)
	}
}

// mayEject keeps the cap on ejections for each class by itself: the few servers that one may be bound
// to are not all taken out while the fleet as a whole looks well.
func (b *Balancer) mayEject(s *server) bool {
	for _, c := range b.classes.ordered {
		if c.permits(s) && float64(c.eligible.ejected+1) > maxEjectedFraction*float64(c.eligible.length) {
			return false
		}
	}
	return true
}

func (b *Balancer) eject(s *server) {
	h := &s.outlier
	span := min(maxEjectionTime, baseEjectionTime<<min(h.ejections, 10))
	h.ejected, h.ejectedUntil, h.probationSuccesses, h.ejections = true, b.now+span, 0, h.ejections+1
	b.countEjected(s)
}

// pickProbation returns an ejected server whose time is up, if r can safely try it out: of the classes that
// the server is open to, one that may be repeated most freely.
func (b *Balancer) pickProbation(r *request) *server {
	if r.class.eligible.ejected == 0 || len(r.attempts) > 0 {
		return nil
	}
	for s := range b.probationCandidates(r.class) {
		h := &s.outlier
		if h.ejected && !h.probationInFlight && b.now >= h.ejectedUntil && !s.zone.evacuated() &&
			r.class.RetrySafety >= s.retrySafety &&
			b.hasWarmupBudget(s) {
			h.probationInFlight = true
			return s
		}
		if b.usesLoadReports() && b.isUsable(r, s) && b.hasCapacity(s) {
			return nil // the walk ends here: trials by all nodes would keep a choked server from its rest
		}
	}
	return nil
}

// probationCandidates walks the servers among which a trial is sought, in packing order. Where reports tell
// of room that is all of them, for the first with room ends the walk; else it is those that are ejected.
func (b *Balancer) probationCandidates(c *class) iter.Seq[*server] {
	if b.usesLoadReports() {
		return c.eligible.all
	}
	var due []*server
	for _, s := range b.ejectedServers {
		if !s.outlier.probationInFlight && b.now >= s.outlier.ejectedUntil && c.permits(s) {
			due = append(due, s)
		}
	}
	slices.SortFunc(due, func(s, o *server) int {
		if s.isBefore(o) {
			return -1
		}
		return 1
	})
	return slices.Values(due)
}
