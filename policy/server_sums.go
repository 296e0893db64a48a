package policy

// contribution is what a server adds to the sums.
type contribution struct {
	zone             *zoneHealth // under which it counts,
	kind             string      // and kind
	warm             bool
	queuedForWarm    bool // it is queued until it is warm
	ejected          bool
	ejectedIndex     int  // its index among the ejected
	unavailable      bool // it drains or is ejected
	connectionFaults fixedPoint
	evidence         fixedPoint
	hasEvidence      bool // its evidence is recent enough to count
	queuedForExpiry  bool // it is queued until that is too old
}

// evidenceSum sums what servers say of their place.
type evidenceSum struct {
	sum     fixedPoint
	servers int
}

// addToSums adds a server that has come into the order.
func (b *Balancer) addToSums(s *server) {
	s.contribution.zone, s.contribution.kind = s.zone, s.Kind
	s.contribution.connectionFaults = toFixedPoint(s.connectionFaultRatio)
	b.connectionFaults += s.contribution.connectionFaults
	b.countWarm(s)
	b.countEvidence(s)
	b.countEjected(s)
}

// removeFromSums takes off a server that has left the order.
func (b *Balancer) removeFromSums(s *server) {
	b.connectionFaults -= s.contribution.connectionFaults
	if s.contribution.warm {
		s.contribution.warm = false
		*b.warmCounter(s.contribution.zone)--
	}
	b.uncountEvidence(s)
	b.countEjected(s)
}

// resetSums empties all sums, and what servers add to them.
func (b *Balancer) resetSums(changed []*server) {
	for s := range b.all {
		s.segment, s.contribution = nil, contribution{}
	}
	for _, s := range changed {
		s.segment, s.contribution = nil, contribution{}
	}
	for _, s := range b.servers {
		s.contribution = contribution{}
	}
	for _, p := range b.zones {
		p.warmServers, p.evidence, p.evidenceByKind = 0, 0, nil
	}
	b.connectionFaults, b.unavailable, b.ejectedServers = 0, 0, nil
	b.warmUnmonitored, b.warmupQueue, b.evidenceQueue = [2]int{}, nil, nil
}

// warmCounter is the count of warm servers that those of a place belong to: its own, or one of all that
// aren't judged.
func (b *Balancer) warmCounter(p *zoneHealth) *int {
	switch {
	case p == nil:
		return &b.warmUnmonitored[0]
	case p.monitored:
		return &p.warmServers
	case p.crossingCost == 0:
		return &b.warmUnmonitored[1]
	}
	return &b.warmUnmonitored[0]
}

// countWarm counts a server of the order once it is warm.
func (b *Balancer) countWarm(s *server) {
	switch {
	case s.segment == nil || s.contribution.warm:
	case b.warmFraction(s) >= 1:
		s.contribution.warm = true
		*b.warmCounter(s.contribution.zone)++
	case !s.contribution.queuedForWarm:
		s.contribution.queuedForWarm = true
		b.warmupQueue.add(s.StartedAt+b.settings.Rules.SlowStartDuration, s)
	}
}

// promoteWarm counts those that have become warm by now.
func (b *Balancer) promoteWarm() {
	for len(b.warmupQueue) > 0 && b.warmupQueue[0].at <= b.now {
		s := b.warmupQueue.next()
		s.contribution.queuedForWarm = false
		b.countWarm(s)
	}
}

// warmServers counts the warm servers of the order.
func (b *Balancer) warmServers() int {
	b.promoteWarm()
	n := b.warmUnmonitored[0] + b.warmUnmonitored[1]
	for _, p := range b.zones {
		n += p.warmServers
	}
	return n
}

// warmWeight counts the warm servers of places that aren't left, by how many even parts of each this node
// has.
func (b *Balancer) warmWeight() float64 {
	b.promoteWarm()
	far, near := b.warmUnmonitored[0], b.warmUnmonitored[1]
	for _, p := range b.zones {
		switch {
		case p.evacuated():
		case p.crossingCost == 0:
			near += p.warmServers
		default:
			far += p.warmServers
		}
	}
	if near == 0 {
		return float64(far)
	}
	return float64(near)*b.nearbyParts() + float64(far)
}

// trackConnectionFaults follows the broken connections of s, and returns the sum of those parts over the
// other servers.
func (b *Balancer) trackConnectionFaults(s *server, fault bool) (others float64) {
	updateRatio(&s.connectionFaultRatio, connectionFaultGain, fault)
	now := toFixedPoint(s.connectionFaultRatio)
	if s.segment != nil {
		b.connectionFaults += now - s.contribution.connectionFaults
		s.contribution.connectionFaults = now
	}
	return (b.connectionFaults - now).float()
}

// setEvidence takes over what s says of its place now.
func (b *Balancer) setEvidence(s *server, doubt float64) {
	s.zoneEvidence, s.zoneEvidenceAt = doubt, b.now
	b.countEvidence(s)
}

// clearEvidence drops what the servers of p say against it.
func (b *Balancer) clearEvidence(p *zoneHealth) {
	for s := range b.all {
		if s.zone != p {
			continue
		}
		s.zoneEvidence = min(s.zoneEvidence, 0)
		if s.contribution.hasEvidence {
			b.countEvidence(s)
		}
	}
}

// countEvidence counts what a server says of its place while that is recent.
func (b *Balancer) countEvidence(s *server) {
	b.uncountEvidence(s)
	p := s.contribution.zone
	if s.segment == nil || p == nil || b.now-s.zoneEvidenceAt > evidenceTTL {
		return
	}
	s.contribution.hasEvidence, s.contribution.evidence = true, toFixedPoint(s.zoneEvidence)
	p.evidence += s.contribution.evidence
	if p.evidenceByKind == nil {
		p.evidenceByKind = make(map[string]*evidenceSum)
	}
	of := p.evidenceByKind[s.contribution.kind]
	if of == nil {
		of = new(evidenceSum)
		p.evidenceByKind[s.contribution.kind] = of
	}
	of.sum += s.contribution.evidence
	of.servers++
	if !s.contribution.queuedForExpiry {
		s.contribution.queuedForExpiry = true
		b.evidenceQueue.add(s.zoneEvidenceAt, s)
	}
}

func (b *Balancer) uncountEvidence(s *server) {
	if !s.contribution.hasEvidence {
		return
	}
	s.contribution.hasEvidence = false
	p := s.contribution.zone
	p.evidence -= s.contribution.evidence
	of := p.evidenceByKind[s.contribution.kind]
	of.sum -= s.contribution.evidence
	if of.servers--; of.servers == 0 {
		delete(p.evidenceByKind, s.contribution.kind)
	}
}

// expireEvidence takes off what was said too long ago.
func (b *Balancer) expireEvidence() {
	for len(b.evidenceQueue) > 0 && b.now-b.evidenceQueue[0].at > evidenceTTL {
		s := b.evidenceQueue.next()
		s.contribution.queuedForExpiry = false
		if s.contribution.hasEvidence {
			b.countEvidence(s)
		}
	}
}

// countEjected follows whether a server is ejected.
func (b *Balancer) countEjected(s *server) {
	switch ejected := s.segment != nil && s.outlier.ejected; {
	case ejected && !s.contribution.ejected:
		s.contribution.ejected, s.contribution.ejectedIndex = true, len(b.ejectedServers)
		b.ejectedServers = append(b.ejectedServers, s)
		b.countInPools(s, 1)
	case !ejected && s.contribution.ejected:
		s.contribution.ejected = false
		last := b.ejectedServers[len(b.ejectedServers)-1]
		b.ejectedServers[s.contribution.ejectedIndex], last.contribution.ejectedIndex = last,
			s.contribution.ejectedIndex
		b.ejectedServers = b.ejectedServers[:len(b.ejectedServers)-1]
		b.countInPools(s, -1)
	}
	b.countUnavailable(s)
}

// countInPools moves the count of the ejected servers in the pools that s is in.
func (b *Balancer) countInPools(s *server, by int) {
	if s.segment == nil { // it has been taken out of them, and off their counts
		return
	}
	b.ejected += by
	for _, c := range b.classes.ordered {
		if c.isRestricted() && c.permits(s) {
			c.eligible.ejected += by
		}
	}
}

// countUnavailable follows whether a listed server gets no work.
func (b *Balancer) countUnavailable(s *server) {
	avoided := b.servers[s.ID] == s && (s.outlier.ejected || s.Availability != Running)
	switch {
	case avoided && !s.contribution.unavailable:
		b.unavailable++
	case !avoided && s.contribution.unavailable:
		b.unavailable--
	}
	s.contribution.unavailable = avoided
}
