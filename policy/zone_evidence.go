package policy

import (
	"math"
	"time"
)

// Each server gives evidence that its zone has failed or that the zone works: the log likelihood ratio of the
// outcomes of its attempts. It compares two failure ratios: the expected one, and one that is
// excessFailureRatio higher. The expected ratio is baseFailureRatio or, while zones are compared, the current
// ratio of the other zones if that is higher. The evidence of a server is bounded, so that no single server
// suffices to evacuate a zone, unless the zone is recovering. In a zone with several kinds of servers, no
// single kind suffices either (weighEvidence). zone_failover.go decides by the evidence; docs/zones.md
// describes the alternatives.

const (
	// baseFailureRatio is the failure ratio of a healthy zone.
	baseFailureRatio = 0.05
	// excessFailureRatio is how much higher the failure ratio is expected to be in a zone that has failed.
	excessFailureRatio = 0.3
	// maxServerEvidence is the maximum evidence, in nats, that one server gives for a failure of its zone.
	// maxContraryEvidence is the maximum that it gives against a failure.
	maxServerEvidence   = 4.0
	maxContraryEvidence = 1.0
	// evidenceTTL is how long a server's evidence counts after its last update.
	evidenceTTL = 10 * time.Second
	// evacuateEvidence is the evidence, in nats, at which a zone is evacuated, unless the zone is recovering. At
	// least two servers must give evidence to reach it.
	evacuateEvidence = 2 * maxServerEvidence
	// suspectEvidence is the evidence, in nats, at which a zone becomes suspect, and at which a recovering zone
	// is evacuated again. One server can give it.
	suspectEvidence = evacuateEvidence / 2
	// exploreFraction is the fraction of a suspect zone's requests that goes to other zones.
	exploreFraction = 0.5
	// minComparedResponses is the least number of responses that the failures of the other zones are divided by
	// to get their failure ratio. If those zones sent fewer responses, the ratio is lower than measured.
	minComparedResponses = 4.0
	// priorResponses is the weight, in responses, of the prior of a zone's failure ratio. The prior is the ratio
	// expected in a failed zone; it is averaged with the measured ratio.
	priorResponses = 12.0
	// betterZoneEvidence is the minimum evidence, in nats, that other zones are better. The evacuation of a zone
	// requires it unless the zone is recovering.
	betterZoneEvidence = 7.0
	// slowResponseFactor is the multiple of the typical latency above which a response counts as a failure.
	slowResponseFactor = 3.0
	// typicalLoadGain is the weight of one response in the typical latency. The typical latency of the first
	// responses is their mean, until the weight in the mean falls below typicalLoadGain.
	typicalLoadGain = 0.005
	// minTypicalSamples is the number of responses after which a typical latency is used.
	minTypicalSamples = 10
)

// failureLevel is the weight of an outcome as evidence that the server's zone has failed. A plain failure has
// a weight of 1.
type failureLevel float64

const (
	noFailure      failureLevel = 0
	plainFailure   failureLevel = 1
	connectFailure failureLevel = 2 // no connection could be opened, which rarely happens by chance
)

// evidenceSum sums the evidence of several servers.
type evidenceSum struct {
	sum     fixedPoint
	servers int
}

// evidenceContribution is the part of a zone's evidence that comes from one server in service.
type evidenceContribution struct {
	zone     *zoneHealth // zone that counts the evidence
	kind     string      // kind of server under which the zone counts the evidence
	evidence fixedPoint
	counted  bool // whether the zone counts the evidence; it stops when the evidence expires
	queued   bool // whether the server is in zoneFailover.evidenceQueue
}

// failureLevel classifies an outcome. A response that is far slower than typical for the class and the kind
// of server counts as a failure. The typical latency adapts slowly. If the whole fleet stays slow, the higher
// latency becomes typical. The latency is in seconds.
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

// typicalLoad returns the typical latency of the class's responses from a kind of server, with the number of
// samples. If the class already has maxKinds kinds, another kind gets an empty result in each call.
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

// recordEvidence records the outcome of an attempt, or a long silence, as evidence about the zone of its
// server.
func (b *Balancer) recordEvidence(a *attempt, level failureLevel) {
	b.zones.record(a, level, b.now)
}

// record updates the evidence of an attempt's server and then the state of its zone. Without a topology, it
// does nothing. While zones are compared, it ignores attempts sent before the comparison began, because
// some zones may have got no requests until then.
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

// evidenceOf returns the log likelihood ratio of an outcome, in nats. It compares a zone whose failure ratio
// is excessFailureRatio above the expected ratio with a zone that has the expected ratio. For a failure, the
// log likelihood ratio is multiplied by the level.
func evidenceOf(level failureLevel, expectedRatio float64) float64 {
	if level == noFailure {
		return math.Log((1 - expectedRatio - excessFailureRatio) / (1 - expectedRatio))
	}
	return float64(level) * math.Log((expectedRatio+excessFailureRatio)/expectedRatio)
}

// zoneComparison compares the other zones with one zone.
type zoneComparison struct {
	evidence     float64 // evidence, in nats, that the other zones are better
	failureRatio float64 // failure ratio of the other zones' responses
}

// compare compares a zone with the other zones that have a traffic share of 1.
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

// resetEvidence clears the evidence sums of all zones and the expiry queue.
func (f *zoneFailover) resetEvidence() {
	for _, z := range f.all {
		z.evidence, z.evidenceByKind = 0, nil
	}
	f.evidenceQueue = nil
}

// addEvidence counts the evidence of a server that enters service.
func (f *zoneFailover) addEvidence(s *server, now Time) {
	s.contribution.evidence.zone, s.contribution.evidence.kind = s.zone, s.Kind
	f.countEvidence(s, now)
}

// countEvidence updates the server's part of its zone's evidence. A server that isn't in service or whose
// evidence has expired contributes nothing.
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

// removeEvidence subtracts the server's evidence from the sum of its zone, if it is counted there.
func (f *zoneFailover) removeEvidence(s *server) {
	if c := &s.contribution.evidence; c.counted {
		c.counted = false
		c.zone.removeEvidence(c.kind, c.evidence)
	}
}

// expireEvidence removes evidence that is older than evidenceTTL.
func (f *zoneFailover) expireEvidence(now Time) {
	for len(f.evidenceQueue) > 0 && now-f.evidenceQueue[0].dueAt > evidenceTTL {
		s := f.evidenceQueue.next()
		s.contribution.evidence.queued = false
		if s.contribution.evidence.counted {
			f.countEvidence(s, now)
		}
	}
}

// clearEvidence drops a zone's evidence that the zone has failed. It keeps the evidence that the zone works.
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

// addEvidence adds the evidence of one server of the kind.
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

// removeEvidence subtracts the evidence of one server of the kind.
func (z *zoneHealth) removeEvidence(kind string, evidence fixedPoint) {
	z.evidence -= evidence
	ofKind := z.evidenceByKind[kind]
	ofKind.sum -= evidence
	if ofKind.servers--; ofKind.servers == 0 {
		delete(z.evidenceByKind, kind)
	}
}
