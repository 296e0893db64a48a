package policy

import (
	"fmt"
	"math"
	"time"
)

const (
	// zoneProbeInterval is the minimum time between two probes of an evacuated zone.
	zoneProbeInterval = 100 * time.Millisecond
	// zoneProbesNeeded is the number of probes in a row that must succeed before a zone recovers.
	zoneProbesNeeded = 12
	// initialRecoveryShare is the traffic share at which a zone starts to recover, and the minimum while it
	// recovers.
	initialRecoveryShare = 0.05
	// failureShareFactor is the factor by which a failure reduces the traffic share of a recovering zone.
	failureShareFactor = 0.8
	// evacuationResetTime is the time after which a zone's evacuation count starts from 0 again. It is measured
	// from the end of the zone's last recovery, when the traffic share reached 1.
	evacuationResetTime = time.Minute
	// baseEvacuationTime is the mean time from an evacuation to the first probe. Each further evacuation
	// multiplies it by evacuationTimeFactor, up to maxEvacuationTime.
	baseEvacuationTime   = 2 * time.Second
	evacuationTimeFactor = 4
	maxEvacuationTime    = time.Minute
	// minEvacuationJitter and evacuationJitter spread the evacuation time among nodes by a factor of 0.8 to 1.2.
	minEvacuationJitter = 0.8
	evacuationJitter    = 0.4
	// baseGrowthTime is the time in which the traffic share of a recovering zone grows e-fold. Each further
	// evacuation doubles it, up to maxGrowthTime.
	baseGrowthTime = 2 * time.Second
	maxGrowthTime  = 16 * time.Second
	// maxGrowthDoublings keeps the shift in startRecovery from overflowing.
	maxGrowthDoublings = 8
)

// weighEvidence changes the state of a zone according to the evidence of its servers. If servers of several
// kinds gave evidence, the sum must remain positive when any one kind is left out; otherwise it counts as 0.
// If the newest outcome is a failure (failed), the traffic share of a recovering zone falls.
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

// suspect sends exploreFraction of the zone's requests to other zones. If zones aren't compared yet, their
// comparison starts.
func (f *zoneFailover) suspect(z *zoneHealth, now Time) {
	if !f.degraded {
		f.compareFrom = now
		for _, each := range f.all {
			each.responseCounts = responseCounts{decayedAt: now}
		}
	}
	z.trafficShare, f.degraded = 1-exploreFraction, true
}

// evacuate stops requests to the zone, with the exception in chooseZones. Probes start after evacuationTime.
func (f *zoneFailover) evacuate(z *zoneHealth, evidence float64, now Time) {
	if !z.recovering && now-z.fullShareSince > evacuationResetTime {
		z.evacuations = 0
	}
	z.trafficShare, z.recovering, z.probeSuccesses, f.degraded = 0, false, 0, true
	z.evacuatedUntil = now + f.evacuationTime(z)
	z.evacuations++
	others := f.compare(z, now)
	// The wording of the reason is frozen, because /places shows it. It uses the words of the operators' pages.
	z.evacuationReason = fmt.Sprintf("evidence %.1f, %.0f of %.0f answers ill, %.0f%% elsewhere (evidence %.1f)",
		evidence, z.failures, z.total, 100*others.failureRatio, others.evidence)
	f.logf("zone %s evacuated: %s; probes begin in %v, evacuations %d", z.name, z.evacuationReason,
		z.evacuatedUntil-now, z.evacuations)
}

// evacuationTime returns how long the zone isn't probed. It is spread among nodes at random.
func (f *zoneFailover) evacuationTime(z *zoneHealth) time.Duration {
	duration := min(maxEvacuationTime.Seconds(),
		baseEvacuationTime.Seconds()*math.Pow(evacuationTimeFactor, float64(z.evacuations)))
	return seconds(duration * (minEvacuationJitter + evacuationJitter*f.rng.Float64()))
}

// nextToProbe returns the server that a request of the class should probe, or nil. It takes the first
// evacuated zone that is due for a probe and has servers that mayBeProbedBy and refillBudget permit. Of these
// servers it returns the one whose last attempt was sent longest ago. It records that the zone is probed now.
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

// mayBeProbedBy reports whether a request of the class may be sent to the server as a probe of its zone. The
// class must be at least as safe to retry as any other class that may use the server. The server must have no
// attempts or probation requests in flight.
func (s *server) mayBeProbedBy(c *class) bool {
	return c.RetrySafety >= s.retrySafety && s.totalInFlight() == 0 && !s.outlier.probationInFlight
}

// recordProbe records the outcome of a probe of an evacuated zone, or of another attempt that ends while the
// zone is evacuated. After a failure, there is no probe for half of evacuationTime. As z.evacuations counts
// the current evacuation, that is half of the time that the next evacuation would take.
func (f *zoneFailover) recordProbe(z *zoneHealth, failed bool, now Time) {
	if z.probeSuccesses++; failed {
		z.probeSuccesses, z.evacuatedUntil = 0, max(z.evacuatedUntil, now+f.evacuationTime(z)/2)
	} else if z.probeSuccesses >= zoneProbesNeeded && now >= z.evacuatedUntil {
		f.startRecovery(z, now)
	}
}

// startRecovery lets a zone recover: its traffic share starts at initialRecoveryShare and then grows.
func (f *zoneFailover) startRecovery(z *zoneHealth, now Time) {
	z.evacuatedUntil, z.recovering, f.degraded = 0, true, true
	z.trafficShare, z.shareUpdatedAt = initialRecoveryShare, now
	z.growthTime = min(maxGrowthTime, baseGrowthTime<<min(max(0, z.evacuations-1), maxGrowthDoublings))
	f.clearEvidence(z, now)
	f.logf("zone %s recovers: its traffic share grows e-fold in %v", z.name, z.growthTime)
}

// growShare increases the traffic share of a recovering zone exponentially with time.
func (f *zoneFailover) growShare(z *zoneHealth, now Time) {
	if !z.recovering {
		return
	}
	z.trafficShare = min(1, z.trafficShare*math.Exp((now-z.shareUpdatedAt).Seconds()/z.growthTime.Seconds()))
	z.shareUpdatedAt = now
	if z.trafficShare >= 1 {
		z.recovering, z.fullShareSince = false, now
		f.logf("zone %s has its whole traffic share again", z.name)
	}
}

// chooseZones decides at random which zones a request may go to. A zone with a traffic share below 1 is open
// to that fraction of the first attempts, and closed to all retries. If all servers that the class may use
// are in closed zones, no zone is closed.
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

// chooseZones decides at random which zones a request may go to.
func (b *Balancer) chooseZones(r *request) { b.zones.chooseZones(r.class, len(r.attempts) > 0, b.now) }

// claimZoneProbe returns a server of an evacuated zone that the request should probe, and marks the zone as
// probed now. It returns nil for a retry, and if no zone that is due for a probe has a suitable server.
func (b *Balancer) claimZoneProbe(r *request) *server {
	if !b.zones.degraded || len(r.attempts) > 0 {
		return nil
	}
	s := b.zones.nextToProbe(r.class, b.now, b.refillWarmupBudget)
	if s != nil {
		// The zone probe of an ejected server is also its probation request.
		s.outlier.probationInFlight = s.outlier.ejected
	}
	return s
}
