package policy

import (
	"math"
	"time"
)

// Each server gives evidence for or against its zone: a log likelihood ratio of failures there against
// those that other zones have at the same time. It is bounded, so that no single server or kind of servers
// suffices to evacuate a zone. zone_failover.go decides by it; docs/zones.md has the alternatives.

const (
	// baseFailureRatio is the part of failures that any zone may have.
	baseFailureRatio = 0.05
	// excessFailureRatio is the additional part of failures in a zone that has failed.
	excessFailureRatio = 0.3
	// maxServerEvidence and maxContraryEvidence bound the evidence, in nats, that a server gives against its
	// zone and for it.
	maxServerEvidence   = 4.0
	maxContraryEvidence = 1.0
	// evidenceTTL is how long evidence of a server counts that gives no more.
	evidenceTTL = 10 * time.Second
	// evacuateEvidence is the evidence, in nats, at which a zone is evacuated: that of two servers at least.
	evacuateEvidence = 2 * maxServerEvidence
	// suspectEvidence is the evidence, in nats, at which a zone is suspect. One server can give as much.
	suspectEvidence = evacuateEvidence / 2
	// exploreFraction is the part of a suspect zone's requests that goes to others.
	exploreFraction = 0.5
	// minComparedResponses is how many responses of other zones count as enough for their failure ratio.
	minComparedResponses = 4.0
	// priorResponses is the weight, in responses, of the sought failure ratio against a zone's own responses.
	priorResponses = 12.0
	// betterZoneEvidence is the evidence, in nats, that other zones are better; it is required before a zone is
	// evacuated.
	betterZoneEvidence = 7.0
	// slowResponseFactor is the multiple of the typical latency from which a response counts as a failure.
	slowResponseFactor = 3.0
	// typicalLoadGain is the weight of one response in the typical latency, after the first ones.
	typicalLoadGain = 0.005
	// minTypicalSamples is how many responses a typical latency rests on before it is used.
	minTypicalSamples = 10
)

// failureLevel is how far an outcome is evidence that the server's zone has failed, in multiples of that of a
// plain failure.
type failureLevel float64

const (
	noFailure      failureLevel = 0
	plainFailure   failureLevel = 1
	connectFailure failureLevel = 2 // no connection came up, which hardly happens by chance
)

// evidenceSum sums the evidence of several servers.
type evidenceSum struct {
	sum     fixedPoint
	servers int
}

// evidenceContribution is what a server in service adds to the evidence of its zone.
type evidenceContribution struct {
	zone     *zoneHealth // against which it counts
	kind     string      // of servers, under which it counts
	evidence fixedPoint
	counted  bool // it is recent enough to count
	queued   bool // for its expiry
}

// failureLevel classifies an outcome. A response that is far slower than is typical of the class and the
// kind of servers counts as a failure; the typical latency follows slowly, so that a fleet that became slow
// as a whole becomes typical. The latency is in seconds.
func (c *classStats) failureLevel(kind string, code Code, latency float64) failureLevel {
	if code == ConnectFailed {
		return connectFailure
	} else if code != OK {
		return plainFailure
	}
	typical, level := c.typicalLoad(kind), noFailure
	limit := slowResponseFactor * typical.latency
	if typical.samples >= minTypicalSamples && latency > limit {
		level, latency = plainFailure, limit
	}
	typical.samples++
	typical.latency += max(typicalLoadGain, 1/typical.samples) * (latency - typical.latency)
	return level
}

// typicalLoad is what responses of a class typically take from a kind of servers.
func (c *classStats) typicalLoad(kind string) *serverLoad {
	typical := c.typicalByKind[kind]
	if typical == nil {
		if c.typicalByKind == nil {
			c.typicalByKind = make(map[string]*serverLoad)
		}
		if typical = new(serverLoad); len(c.typicalByKind) < maxKinds {
			c.typicalByKind[kind] = typical
		}
	}
	return typical
}

// recordEvidence takes the outcome of an attempt, or that there is none for long, as evidence on the zone
// of its server.
func (b *Balancer) recordEvidence(a *attempt, level failureLevel) {
	b.zones.record(a, level, b.now)
}

// record updates the evidence of an attempt's server, and what follows for its zone. While zones are
// compared, attempts that were sent before that don't count, since not all zones had a part of the requests
// then.
func (f *zoneFailover) record(a *attempt, level failureLevel, now Time) {
	s, z := a.server, a.server.zone
	if z == nil || f.degraded && a.sentAt < f.compareFrom {
		return
	}
	expected := baseFailureRatio
	if f.degraded {
		ratio := f.compare(z, now).failureRatio
		expected = min(1-excessFailureRatio-baseFailureRatio, max(baseFailureRatio, ratio))
		z.record(level != noFailure)
	}
	if now-s.zoneEvidenceAt > evidenceTTL {
		s.zoneEvidence = 0
	}
	evidence := s.zoneEvidence + evidenceOf(level, expected)
	s.zoneEvidence, s.zoneEvidenceAt = max(-maxContraryEvidence, min(maxServerEvidence, evidence)), now
	f.countEvidence(s, now)
	if z.isEvacuated() {
		f.recordProbe(z, level != noFailure, now)
	} else if level != noFailure || z.trafficShare < 1 {
		f.weighEvidence(z, level != noFailure, now)
	}
}

// evidenceOf is the log likelihood ratio of an outcome, in nats: of a zone with excessFailureRatio more
// failures than the expected ratio against one with that ratio.
func evidenceOf(level failureLevel, expectedRatio float64) float64 {
	if level == noFailure {
		return math.Log((1 - expectedRatio - excessFailureRatio) / (1 - expectedRatio))
	}
	return float64(level) * math.Log((expectedRatio+excessFailureRatio)/expectedRatio)
}

// zoneComparison is what other zones show in comparison with one.
type zoneComparison struct {
	evidence     float64 // that they are better, in nats
	failureRatio float64 // of their responses
}

// compare compares a zone with the others that have their whole share of the requests.
func (f *zoneFailover) compare(z *zoneHealth, now Time) zoneComparison {
	ownFailureRatio := max(baseFailureRatio+excessFailureRatio,
		(z.failures+priorResponses*(baseFailureRatio+excessFailureRatio))/(z.total+priorResponses))
	failures, total := 0.0, 0.0
	for _, other := range f.all {
		other.decay(now)
		if other != z && other.trafficShare == 1 {
			failures, total = failures+other.failures, total+other.total
		}
	}
	return zoneComparison{
		evidence: (total-failures)*math.Log((1-baseFailureRatio)/(1-ownFailureRatio)) -
			failures*math.Log(ownFailureRatio/baseFailureRatio),
		failureRatio: failures / max(minComparedResponses, total),
	}
}

// resetEvidence empties the sums of evidence of all zones.
func (f *zoneFailover) resetEvidence() {
	for _, z := range f.all {
		z.evidence, z.evidenceByKind = 0, nil
	}
	f.evidenceQueue = nil
}

// addEvidence counts the evidence of a server that has come into service.
func (f *zoneFailover) addEvidence(s *server, now Time) {
	s.contribution.evidence.zone, s.contribution.evidence.kind = s.zone, s.Kind
	f.countEvidence(s, now)
}

// countEvidence counts the evidence of a server in service while it is recent.
func (f *zoneFailover) countEvidence(s *server, now Time) {
	f.removeEvidence(s)
	c := &s.contribution.evidence
	if s.segment == nil || c.zone == nil || now-s.zoneEvidenceAt > evidenceTTL {
		return
	}
	c.counted, c.evidence = true, toFixedPoint(s.zoneEvidence)
	c.zone.addEvidence(c.kind, c.evidence)
	if !c.queued {
		c.queued = true
		f.evidenceQueue.add(s.zoneEvidenceAt, s)
	}
}

// removeEvidence takes the evidence of a server off that of its zone.
func (f *zoneFailover) removeEvidence(s *server) {
	if c := &s.contribution.evidence; c.counted {
		c.counted = false
		c.zone.removeEvidence(c.kind, c.evidence)
	}
}

// expireEvidence takes off evidence that is too old.
func (f *zoneFailover) expireEvidence(now Time) {
	for len(f.evidenceQueue) > 0 && now-f.evidenceQueue[0].dueAt > evidenceTTL {
		s := f.evidenceQueue.next()
		s.contribution.evidence.queued = false
		if s.contribution.evidence.counted {
			f.countEvidence(s, now)
		}
	}
}

// clearEvidence drops what the servers of a zone say against it.
func (f *zoneFailover) clearEvidence(z *zoneHealth, now Time) {
	for s := range f.servers.all {
		if s.zone != z {
			continue
		}
		s.zoneEvidence = min(s.zoneEvidence, 0)
		if s.contribution.evidence.counted {
			f.countEvidence(s, now)
		}
	}
}

// addEvidence adds that of one server of a kind.
func (z *zoneHealth) addEvidence(kind string, evidence fixedPoint) {
	z.evidence += evidence
	if z.evidenceByKind == nil {
		z.evidenceByKind = make(map[string]*evidenceSum)
	}
	ofKind := z.evidenceByKind[kind]
	if ofKind == nil {
		ofKind = new(evidenceSum)
		z.evidenceByKind[kind] = ofKind
	}
	ofKind.sum += evidence
	ofKind.servers++
}

// removeEvidence subtracts that of one server of a kind.
func (z *zoneHealth) removeEvidence(kind string, evidence fixedPoint) {
	z.evidence -= evidence
	ofKind := z.evidenceByKind[kind]
	ofKind.sum -= evidence
	if ofKind.servers--; ofKind.servers == 0 {
		delete(z.evidenceByKind, kind)
	}
}
