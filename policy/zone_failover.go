package policy

import (
	"fmt"
	"math"
	"time"
)

const (
	// zoneProbeInterval is the least time between two requests that probe an evacuated zone.
	zoneProbeInterval = 100 * time.Millisecond
	// zoneProbesNeeded is the number of probes that have to succeed in a row before a zone recovers.
	zoneProbesNeeded = 12
	// initialRecoveryShare is the share of its requests that a zone begins to recover with, and the least one.
	initialRecoveryShare = 0.05
	// failureShareFactor is the part of the share of a recovering zone that a failure leaves.
	failureShareFactor = 0.8
	// recoveryForgetTime is the time at its whole share after which a zone's evacuations are forgotten.
	recoveryForgetTime = time.Minute
	// baseEvacuationTime is how long an evacuated zone isn't probed. Each further evacuation multiplies it by
	// evacuationTimeFactor, up to maxEvacuationTime.
	baseEvacuationTime   = 2 * time.Second
	evacuationTimeFactor = 4
	maxEvacuationTime    = time.Minute
	// minEvacuationJitter and evacuationJitter spread the time among nodes: 0.8 to 1.2 times as long.
	minEvacuationJitter = 0.8
	evacuationJitter    = 0.4
	// baseGrowthTime is the time in which the share of a recovering zone grows e-fold. Each further evacuation
	// doubles it, up to maxGrowthTime.
	baseGrowthTime = 2 * time.Second
	maxGrowthTime  = 16 * time.Second
	// maxGrowthDoublings keeps the shift by the number of evacuations in range.
	maxGrowthDoublings = 8
)

// weighEvidence decides what the evidence of its servers means for a zone. Where it has servers of several
// kinds, the evidence has to suffice without any one of them too.
func (f *zoneFailover) weighEvidence(z *zoneHealth, failed bool, now Time) {
	f.expireEvidence(now)
	sum := z.evidence.float()
	for _, ofKind := range z.evidenceByKind {
		if len(z.evidenceByKind) > 1 && z.evidence <= ofKind.sum {
			sum = 0
		}
	}
	f.growShare(z, now)
	comparison := f.compare(z, now)
	switch {
	case sum >= evacuateEvidence && comparison.evidence >= betterZoneEvidence,
		z.recovering && sum >= suspectEvidence:
		f.evacuate(z, sum, now)
	case z.recovering && failed:
		z.trafficShare = max(initialRecoveryShare, failureShareFactor*z.trafficShare)
	case z.recovering:
	case sum >= suspectEvidence && len(f.all) > 1:
		f.suspect(z, now)
	default:
		z.trafficShare = 1
	}
}

// suspect lets a part of a zone's requests explore the others. The comparison of zones begins with the
// first one that is suspect.
func (f *zoneFailover) suspect(z *zoneHealth, now Time) {
	if !f.degraded {
		f.compareFrom = now
		for _, each := range f.all {
			each.responseCounts = responseCounts{decayedAt: now}
		}
	}
	z.trafficShare, f.degraded = 1-exploreFraction, true
}

// evacuate sends a zone no more than probes, from a time on that is spread among nodes.
func (f *zoneFailover) evacuate(z *zoneHealth, evidence float64, now Time) {
	if !z.recovering && now-z.fullShareSince > recoveryForgetTime {
		z.evacuations = 0
	}
	z.trafficShare, z.recovering, z.probeSuccesses, f.degraded = 0, false, 0, true
	z.evacuatedUntil = now + f.evacuationTime(z)
	z.evacuations++
	others := f.compare(z, now)
	// The form of the reason is frozen, with the words of the operators' pages: /places shows it.
	z.evacuationReason = fmt.Sprintf("evidence %.1f, %.0f of %.0f answers ill, %.0f%% elsewhere (evidence %.1f)",
		evidence, z.failures, z.total, 100*others.failureRatio, others.evidence)
	f.logf("zone %s evacuated: %s; probes begin in %v, evacuations %d", z.name, z.evacuationReason,
		z.evacuatedUntil-now, z.evacuations)
}

// evacuationTime is how long a zone isn't probed.
func (f *zoneFailover) evacuationTime(z *zoneHealth) time.Duration {
	duration := min(maxEvacuationTime.Seconds(),
		baseEvacuationTime.Seconds()*math.Pow(evacuationTimeFactor, float64(z.evacuations)))
	return seconds(duration * (minEvacuationJitter + evacuationJitter*f.rng.Float64()))
}

// nextToProbe returns a server of an evacuated zone that is due for a probe, or nil: the one without
// attempts in flight that was longest sent nothing, of those that are no safer to retry than the request's
// class. The zone counts as probed now.
func (f *zoneFailover) nextToProbe(c *class, now Time, refillBudget func(*server) bool) *server {
	for _, z := range f.all {
		if !z.isEvacuated() || now < max(z.evacuatedUntil, z.lastProbeAt+zoneProbeInterval) {
			continue
		}
		var next *server
		for s := range c.eligible.all {
			if s.zone == z && s.mayBeProbedBy(c) && refillBudget(s) &&
				(next == nil || s.lastSentAt < next.lastSentAt) {
				next = s
			}
		}
		if next != nil {
			z.lastProbeAt = now
			return next
		}
	}
	return nil
}

// mayBeProbedBy reports whether a request of a class may probe the server's zone by going to that server.
func (s *server) mayBeProbedBy(c *class) bool {
	return c.RetrySafety >= s.retrySafety && s.totalInFlight() == 0 && !s.outlier.probationInFlight
}

// recordProbe follows the probes of an evacuated zone. A failed one postpones the next by half of what a
// further evacuation would take, for that one counts already.
func (f *zoneFailover) recordProbe(z *zoneHealth, failed bool, now Time) {
	if z.probeSuccesses++; failed {
		z.probeSuccesses, z.evacuatedUntil = 0, max(z.evacuatedUntil, now+f.evacuationTime(z)/2)
	} else if z.probeSuccesses >= zoneProbesNeeded && now >= z.evacuatedUntil {
		f.startRecovery(z, now)
	}
}

// startRecovery gives a zone a small share, which grows.
func (f *zoneFailover) startRecovery(z *zoneHealth, now Time) {
	z.evacuatedUntil, z.recovering, f.degraded = 0, true, true
	z.trafficShare, z.shareUpdatedAt = initialRecoveryShare, now
	z.growthTime = min(maxGrowthTime, baseGrowthTime<<min(max(0, z.evacuations-1), maxGrowthDoublings))
	f.clearEvidence(z, now)
	f.logf("zone %s recovers: its share grows e-fold in %v", z.name, z.growthTime)
}

// growShare lets the share of a recovering zone grow exponentially with time.
func (f *zoneFailover) growShare(z *zoneHealth, now Time) {
	if !z.recovering {
		return
	}
	z.trafficShare = min(1, z.trafficShare*math.Exp((now-z.shareUpdatedAt).Seconds()/z.growthTime.Seconds()))
	z.shareUpdatedAt = now
	if z.trafficShare >= 1 {
		z.recovering, z.fullShareSince = false, now
		f.logf("zone %s has its whole share again", z.name)
	}
}

// chooseZones draws which zones a request may go to now: a zone with less than its whole share is closed to
// the rest of the requests, and to all retries. If all servers that the class may use are in closed zones,
// none is closed.
func (f *zoneFailover) chooseZones(c *class, isRetry bool, now Time) {
	if !f.degraded {
		return
	}
	f.degraded = false
	for _, z := range f.all {
		f.growShare(z, now)
		z.closed = z.trafficShare < 1 && (isRetry || f.rng.Float64() >= z.trafficShare)
		f.degraded = f.degraded || z.trafficShare < 1
	}
	if !c.eligible.contains(func(s *server) bool { return !s.zone.closed }) {
		for _, z := range f.all {
			z.closed = false
		}
	}
}

// chooseZones draws which zones a request may go to now.
func (b *Balancer) chooseZones(r *request) { b.zones.chooseZones(r.class, len(r.attempts) > 0, b.now) }

// claimZoneProbe returns a server of an evacuated zone that a request should probe, and marks the zone as
// probed now; nil if there is none.
func (b *Balancer) claimZoneProbe(r *request) *server {
	if !b.zones.degraded || len(r.attempts) > 0 {
		return nil
	}
	s := b.zones.nextToProbe(r.class, b.now, b.refillWarmupBudget)
	if s != nil {
		s.outlier.probationInFlight = s.outlier.ejected // it counts for the server's probation too
	}
	return s
}
