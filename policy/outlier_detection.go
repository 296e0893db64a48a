package policy

import (
	"iter"
	"slices"
	"time"
)

const (
	// attemptFailureWeight is the weight of a failed attempt in the failure score: two in a row eject, one
	// doesn't.
	attemptFailureWeight = 0.3
	// silenceWeight is that of a slow attempt at a server that answers nothing: the request may just be heavy.
	silenceWeight = 0.15
	// overloadedWeight is that of an Overloaded response: a server that keeps giving those has to drain its
	// queue first.
	overloadedWeight = 0.2
	// ejectionScore is the failure score beyond which a server is ejected.
	ejectionScore = 0.5
	// connectionFaultGain is the weight of one response in a server's connection fault ratio.
	connectionFaultGain = 0.1
	// sharedFaultFactor is the multiple of the fault ratio of the other servers up to which that of a server
	// says nothing of it: the cause is likely the network.
	sharedFaultFactor = 2.0
	// baseEjectionTime is the time of the first ejection. Each further one in a row takes twice as long, up to
	// maxEjectionTime.
	baseEjectionTime = time.Second
	maxEjectionTime  = 8 * time.Second
	// maxEjectionDoublings keeps the shift by the number of ejections in range.
	maxEjectionDoublings = 10
	// maxEjectedFraction bounds how many servers may be ejected at once: past it, the cause is more likely the
	// node or the network than the servers, and ejecting more would overload the rest.
	maxEjectedFraction = 0.4
	// probationSuccessesNeeded is the number of successes in a row that end an ejection. A server that fails
	// half of its requests rarely has so many.
	probationSuccessesNeeded = 3
)

// outlierState is the circuit breaker of one server. Besides failures, a load report that shows an overload
// ejects (onLoadReport in load_reports.go).
type outlierState struct {
	failureScore       float64 // 0 to 1, a decaying weight of recent failures
	ejected            bool    // it gets no requests, or after ejectedUntil only those of its probation
	ejectedUntil       Time
	ejections          int // in a row
	probationSuccesses int // in a row
	probationInFlight  bool
}

// eject takes a server out of use for a time that grows with each ejection in a row.
func (o *outlierState) eject(now Time) {
	duration := min(maxEjectionTime, baseEjectionTime<<min(o.ejections, maxEjectionDoublings))
	o.ejected, o.ejectedUntil, o.probationSuccesses = true, now+duration, 0
	o.ejections++
}

// addFailure raises the failure score, and reports whether it is beyond the score that ejects.
func (o *outlierState) addFailure(weight float64) bool {
	o.failureScore += weight * (1 - o.failureScore)
	return !o.ejected && o.failureScore > ejectionScore
}

// addSuccess lowers the failure score.
func (o *outlierState) addSuccess() { o.failureScore -= attemptFailureWeight * o.failureScore }

// isDue reports whether the server may get a request of its probation.
func (o *outlierState) isDue(now Time) bool {
	return o.ejected && !o.probationInFlight && now >= o.ejectedUntil
}

// outlierDetector owns what is known of the outliers among the servers in service.
type outlierDetector struct {
	ejected          []*server
	connectionFaults fixedPoint // sum of the connection fault ratios
}

// outlierContribution is what a server in service adds to the sums of outlierDetector.
type outlierContribution struct {
	counted          bool // among the ejected
	index            int  // there
	connectionFaults fixedPoint
}

// reset empties the sums.
func (d *outlierDetector) reset() { d.connectionFaults, d.ejected = 0, nil }

// add takes up a server that has come into service; countEjected follows.
func (d *outlierDetector) add(s *server) {
	s.contribution.outlier.connectionFaults = toFixedPoint(s.connectionFaultRatio)
	d.connectionFaults += s.contribution.outlier.connectionFaults
}

// remove takes off a server that has left service; countEjected follows.
func (d *outlierDetector) remove(s *server) {
	d.connectionFaults -= s.contribution.outlier.connectionFaults
}

// countEjected brings the list of ejected servers in line with a server's state. It returns by how many the
// number of them changed.
func (d *outlierDetector) countEjected(s *server) (change int) {
	c := &s.contribution.outlier
	switch ejected := s.segment != nil && s.outlier.ejected; {
	case ejected && !c.counted:
		c.counted, c.index = true, len(d.ejected)
		d.ejected = append(d.ejected, s)
		return 1
	case !ejected && c.counted:
		c.counted = false
		last := d.ejected[len(d.ejected)-1]
		d.ejected[c.index], last.contribution.outlier.index = last, c.index
		d.ejected = d.ejected[:len(d.ejected)-1]
		return -1
	}
	return 0
}

// failureWeight is how far a failure is the server's own, 0 to 1. Connections that break at all servers
// alike, as where the network resets them, would otherwise cut all limits and eject as many servers as may
// be.
func (d *outlierDetector) failureWeight(s *server, code Code, servers int) float64 {
	fault := code == Reset || code == ConnectFailed
	others := d.trackConnectionFaults(s, fault)
	if !fault || servers < 2 {
		return 1
	}
	return max(0, 1-sharedFaultFactor*max(0, others)/float64(servers-1)/s.connectionFaultRatio)
}

// trackConnectionFaults updates the connection fault ratio of a server, and returns the sum of those of the
// others.
func (d *outlierDetector) trackConnectionFaults(s *server, fault bool) (others float64) {
	updateRatio(&s.connectionFaultRatio, connectionFaultGain, fault)
	currentRatio := toFixedPoint(s.connectionFaultRatio)
	if c := &s.contribution.outlier; s.segment != nil {
		d.connectionFaults += currentRatio - c.connectionFaults
		c.connectionFaults = currentRatio
	}
	return (d.connectionFaults - currentRatio).float()
}

// dueFor returns the ejected servers that may get a request of a class for their probation, in packing order.
func (d *outlierDetector) dueFor(c *class, now Time) iter.Seq[*server] {
	var due []*server
	for _, s := range d.ejected {
		if s.outlier.isDue(now) && c.permits(s) {
			due = append(due, s)
		}
	}
	slices.SortFunc(due, comparePackingOrder)
	return slices.Values(due)
}

// mayEject reports whether one more of the servers that each class may use can be ejected. The bound holds
// for each class, so that the few servers of a restricted one aren't all ejected while the fleet as a whole
// looks well.
func (b *Balancer) mayEject(s *server) bool {
	for _, c := range b.classes.ordered {
		if c.permits(s) && float64(c.eligible.ejected+1) > maxEjectedFraction*float64(c.eligible.length) {
			return false
		}
	}
	return true
}

func (b *Balancer) eject(s *server) {
	s.outlier.eject(b.now)
	b.ejectionChanged(s)
}

// ejectionChanged updates the counts of ejected servers for one whose state may have changed.
func (b *Balancer) ejectionChanged(s *server) {
	change := b.outliers.countEjected(s)
	if change != 0 && s.segment != nil { // one that left service has been taken off the pools' counts
		b.packing.pool.ejected += change
		for _, c := range b.classes.ordered {
			if c.isRestricted() && c.permits(s) {
				c.eligible.ejected += change
			}
		}
	}
	b.countUnavailable(s)
}

// failureWeight is how far a failure is the server's own.
func (b *Balancer) failureWeight(s *server, code Code) float64 {
	return b.outliers.failureWeight(s, code, b.packing.pool.length)
}

// recordFailure counts a failure, or a silence, against a server.
func (b *Balancer) recordFailure(s *server, weight float64) {
	if s.outlier.addFailure(weight) && b.mayEject(s) {
		b.eject(s)
	}
}

// updateOutlierState follows the outcome of an attempt. An ejected server comes back by a row of successes
// in its probation; any failure there, an Overloaded too, ejects it again.
func (b *Balancer) updateOutlierState(a *attempt, code Code, failureWeight float64) {
	s, state := a.server, &a.server.outlier
	switch {
	case state.ejected && a.isProbe && code == OK:
		if state.probationSuccesses++; state.probationSuccesses >= probationSuccessesNeeded {
			*state, s.concurrencyLimit = outlierState{}, b.initialLimit()
			b.ejectionChanged(s)
		}
	case state.ejected && a.isProbe:
		b.eject(s)
	case code == OK:
		state.addSuccess()
	case code == Overloaded:
		b.recordFailure(s, overloadedWeight)
	case code != TimedOut || s.lastResponseAt < a.sentAt: // a server that answers others doesn't hang
		b.recordFailure(s, attemptFailureWeight*failureWeight)
	}
}

// claimProbation returns an ejected server that is due for a request of its probation, and marks that one
// as in flight; nil if there is none. The request has to be of a class that is as safe to retry as any that
// may use the server.
func (b *Balancer) claimProbation(r *request) *server {
	if r.class.eligible.ejected == 0 || len(r.attempts) > 0 {
		return nil
	}
	for s := range b.probationCandidates(r.class) {
		if s.outlier.isDue(b.now) && !s.zone.isEvacuated() && r.class.RetrySafety >= s.retrySafety &&
			b.refillWarmupBudget(s) {
			s.outlier.probationInFlight = true
			return s
		}
		if b.usesLoadReports() && b.isUsable(r, s) && b.hasCapacity(s) {
			return nil
		}
	}
	return nil
}

// probationCandidates are the servers among which claimProbation looks. Where limits rest on load reports,
// nodes are many, and probation by all of them would keep an overloaded server from recovering: there the
// whole walk counts, which ends at the first server with capacity.
func (b *Balancer) probationCandidates(c *class) iter.Seq[*server] {
	if b.usesLoadReports() {
		return c.eligible.all
	}
	return b.outliers.dueFor(c, b.now)
}
