package policy

import (
	"iter"
	"slices"
	"time"
)

const (
	// attemptFailureWeight is the weight of a failed attempt in the failure score. Two failures in a row eject a
	// server, one doesn't.
	attemptFailureWeight = 0.3
	// silenceWeight is the weight of a slow attempt while the server doesn't respond to any request. It is lower
	// than attemptFailureWeight because the request may just be expensive.
	silenceWeight = 0.15
	// overloadedWeight is the weight of an Overloaded response. A server that keeps sending them is ejected, so
	// that it can drain its queue.
	overloadedWeight = 0.2
	// ejectionScore is the failure score above which a server is ejected.
	ejectionScore = 0.5
	// connectionFaultGain is the weight of one attempt in a server's connection fault ratio: the moving average
	// of the fraction of attempts that end with Reset or ConnectFailed.
	connectionFaultGain = 0.1
	// sharedFaultFactor bounds the connection faults that are attributed to the network. While a server's ratio
	// is at most sharedFaultFactor times the mean ratio of the other servers, its faults don't count against it.
	// Above that, they count in part.
	sharedFaultFactor = 2.0
	// baseEjectionTime is the duration of the first ejection. Each further ejection in a row lasts twice as
	// long, up to maxEjectionTime.
	baseEjectionTime = time.Second
	maxEjectionTime  = 8 * time.Second
	// maxEjectionDoublings keeps the shift in eject from overflowing.
	maxEjectionDoublings = 10
	// maxEjectedFraction is the maximum fraction of servers ejected at the same time. Beyond it, the cause is
	// more likely the node or the network than the servers, and more ejections would overload the rest.
	maxEjectedFraction = 0.4
	// probationSuccessesNeeded is the number of successes in a row that end an ejection. A server that fails
	// half of its requests rarely has that many.
	probationSuccessesNeeded = 3
)

// outlierState is the circuit breaker of one server. A server is ejected when its failure score rises above
// ejectionScore, or when its load report shows an overload (onLoadReport in load_reports.go). In both cases
// mayEject must permit it.
type outlierState struct {
	failureScore       float64 // 0 to 1; each failure raises it, each success lowers it
	ejected            bool    // the server gets no requests until ejectedUntil, then only probation requests
	ejectedUntil       Time
	ejections          int  // since probation last succeeded
	probationSuccesses int  // in a row
	probationInFlight  bool // whether a probation request, which tests the ejected server, is in flight
}

// eject ejects the server for a time that grows with each ejection in a row.
func (o *outlierState) eject(now Time) {
	duration := min(maxEjectionTime, baseEjectionTime<<min(o.ejections, maxEjectionDoublings))
	o.ejected, o.ejectedUntil, o.probationSuccesses = true, now+duration, 0
	o.ejections++
}

// addFailure raises the failure score. It reports whether the score is now high enough to eject the server
// and the server isn't ejected yet.
func (o *outlierState) addFailure(weight float64) bool {
	o.failureScore += weight * (1 - o.failureScore)
	return !o.ejected && o.failureScore > ejectionScore
}

// addSuccess lowers the failure score.
func (o *outlierState) addSuccess() { o.failureScore -= attemptFailureWeight * o.failureScore }

// isDue reports whether the server is ejected and may get a probation request now.
func (o *outlierState) isDue(now Time) bool {
	return o.ejected && !o.probationInFlight && now >= o.ejectedUntil
}

// outlierDetector holds the ejected servers in service and the connection faults of all servers in service.
type outlierDetector struct {
	ejected          []*server
	connectionFaults fixedPoint // sum of the servers' connection fault ratios
}

// outlierContribution is the part of outlierDetector's state that comes from one server.
type outlierContribution struct {
	counted          bool       // whether the server is in outlierDetector.ejected
	index            int        // in outlierDetector.ejected
	connectionFaults fixedPoint // counted in outlierDetector.connectionFaults
}

// reset clears the list of ejected servers and the sum of connection fault ratios.
func (d *outlierDetector) reset() { d.connectionFaults, d.ejected = 0, nil }

// add counts the connection faults of a server that enters service. The caller must then call updateEjected.
func (d *outlierDetector) add(s *server) {
	s.contribution.outlier.connectionFaults = toFixedPoint(s.connectionFaultRatio)
	d.connectionFaults += s.contribution.outlier.connectionFaults
}

// remove subtracts the connection faults of a server that has left service. The caller must then call
// updateEjected.
func (d *outlierDetector) remove(s *server) {
	d.connectionFaults -= s.contribution.outlier.connectionFaults
}

// updateEjected adds the server to the list of ejected servers or removes it, as its state requires. It
// returns the change of the list's length: 1, -1 or 0.
func (d *outlierDetector) updateEjected(s *server) (change int) {
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

// failureWeight updates the server's connection fault ratio with an outcome. It returns the fraction, 0 to 1,
// of a failure that is attributed to the server; the network accounts for the rest. Without this split, a
// network that resets connections to all servers would lower every server's concurrency limit and eject as
// many servers as maxEjectedFraction permits. Only connection faults (Reset and ConnectFailed) are split, and
// only if there are several servers. Otherwise the result is 1.
func (d *outlierDetector) failureWeight(s *server, code Code, servers int) float64 {
	fault := code == Reset || code == ConnectFailed
	others := d.trackConnectionFaults(s, fault)
	if !fault || servers < 2 {
		return 1
	}
	return max(0, 1-sharedFaultFactor*max(0, others)/float64(servers-1)/s.connectionFaultRatio)
}

// trackConnectionFaults updates the server's connection fault ratio and returns the sum of the ratios of the
// other servers.
func (d *outlierDetector) trackConnectionFaults(s *server, fault bool) (others float64) {
	updateRatio(&s.connectionFaultRatio, connectionFaultGain, fault)
	currentRatio := toFixedPoint(s.connectionFaultRatio)
	if c := &s.contribution.outlier; s.segment != nil {
		d.connectionFaults += currentRatio - c.connectionFaults
		c.connectionFaults = currentRatio
	}
	return (d.connectionFaults - currentRatio).float()
}

// dueFor returns the ejected servers that may get a probation request of the class, in packing order.
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

// mayEject reports whether the server may be ejected without exceeding maxEjectedFraction in any class that
// may use it. The bound holds for each class, so that the few servers of a restricted class aren't all
// ejected while most of the fleet is healthy.
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

// ejectionChanged updates the list and the counts of ejected servers, and the count of unavailable servers.
// It must be called after the server was ejected or passed probation, and after it entered or left service.
func (b *Balancer) ejectionChanged(s *server) {
	change := b.outliers.updateEjected(s)
	if change != 0 && s.segment != nil { // the pools no longer count a server that has left service
		b.packing.pool.ejected += change
		for _, c := range b.classes.ordered {
			if c.isRestricted() && c.permits(s) {
				c.eligible.ejected += change
			}
		}
	}
	b.countUnavailable(s)
}

// failureWeight calls outlierDetector.failureWeight with the number of servers in service.
func (b *Balancer) failureWeight(s *server, code Code) float64 {
	return b.outliers.failureWeight(s, code, b.packing.pool.length)
}

// recordFailure adds a failure or a silence (see silenceWeight) to the server's failure score. It ejects the
// server if the score is too high and mayEject permits it.
func (b *Balancer) recordFailure(s *server, weight float64) {
	if s.outlier.addFailure(weight) && b.mayEject(s) {
		b.eject(s)
	}
}

// updateOutlierState applies the outcome of an attempt. probationSuccessesNeeded successful probation
// requests in a row end an ejection and reset the concurrency limit. Any other outcome of a probation
// request, including Overloaded and Cancelled, ejects the server again (observeOutcome has left out
// NotAttempted). Other attempts change the failure score.
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
	case code != TimedOut || s.lastResponseAt < a.sentAt: // a timeout counts only if no response came meanwhile
		b.recordFailure(s, attemptFailureWeight*failureWeight)
	}
}

// claimProbation returns an ejected server that the request should test, and marks the probation request as
// in flight. It returns nil for a retry, and if it finds no suitable server. A suitable server is due, its
// zone isn't evacuated, its warm-up budget permits a request, and no class that may use it is safer to retry
// than the request's class. With load reports, no usable server with capacity may come before it in packing
// order (see probationCandidates).
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

// probationCandidates returns the servers that claimProbation considers. Without load reports, these are the
// ejected servers that are due. With load reports there are many nodes, and probation requests from all of
// them would keep an overloaded server from recovering. In that case, claimProbation walks all servers and
// stops at the first one with capacity.
func (b *Balancer) probationCandidates(c *class) iter.Seq[*server] {
	if b.usesLoadReports() {
		return c.eligible.all
	}
	return b.outliers.dueFor(c, b.now)
}
