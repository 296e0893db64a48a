package policy

import (
	"time"
)

// Snapshot is the state that a process of a node hands over to its successor, as JSON. The processes have
// different clocks, so times are relative to the time of the snapshot; 0 means never. The keys are frozen,
// because processes of different versions read each other's snapshots.
type Snapshot struct {
	Buckets          []BucketSnapshot          `json:"Buckets"`
	Classes          map[string]ClassSnapshot  `json:"Classes"` // by name
	Servers          map[string]ServerSnapshot `json:"Servers"` // by ID
	LoadByKind       map[string]LoadSnapshot   `json:"Kinds"`   // by kind of server
	TypicalLoad      LoadSnapshot              `json:"Usual"`   // average over all kinds
	AcceptedAt       []Time                    `json:"Took"`    // when requests arrived, for the retry budget
	RetriesAt        []Time                    `json:"Extra"`   // when retries were sent, for the retry budget
	RateMultiplier   float64                   `json:"Pace"`
	WindowScale      float64                   `json:"Trust"`
	Utilization      float64                   `json:"Busy"`    // of the servers' cores, 0 to 1
	BadRatio         float64                   `json:"Bad"`     // fraction of slow or failed responses, 0 to 1
	CompletionRate   float64                   `json:"Done"`    // responses per second
	ReportedAt       Time                      `json:"HeardAt"` // time of the newest report in Utilization
	CompletionRateAt Time                      `json:"DoneAt"`
}

// BucketSnapshot is the state of a token bucket with the successor's half of the tokens.
type BucketSnapshot struct {
	Tenant     string `json:"Tenant"`
	Class      string `json:"Class"` // empty unless the class has its own limit
	Tokens     int64  `json:"Tokens"`
	RefilledAt Time   `json:"Last"`
}

// ClassSnapshot holds the measurements of a class.
type ClassSnapshot struct {
	TailLatency     time.Duration `json:"Tail"`
	FirstTryTimeout time.Duration `json:"FirstTry"`
}

// LoadSnapshot holds the averages of load reports of a kind of server, or of all kinds.
type LoadSnapshot struct {
	Samples float64 `json:"N"`       // reports in the averages
	Rate    float64 `json:"Rate"`    // attempts per second that a server can serve
	Latency float64 `json:"Latency"` // mean latency in seconds
}

// ServerSnapshot holds the state and measurements of a server. Latencies are in seconds.
type ServerSnapshot struct {
	StartedAt        Time    `json:"OnlineSince"`
	ConcurrencyLimit float64 `json:"Threshold"`
	MeanLatency      float64 `json:"Latency"`
	ReportedLatency  float64 `json:"Reported"`
	ReportedRate     float64 `json:"Rate"` // attempts per second
	FailureScore     float64 `json:"Score"`
	WarmupTokens     float64 `json:"ColdTokens"` // tokens in the server's warm-up budget
	LimitReached     bool    `json:"Felt"`
	Ejected          bool    `json:"Out"`
	Ejections        int     `json:"Times"` // in a row
	BusyUntil        Time    `json:"BusyTo"`
	ReportedAt       Time    `json:"HeardAt"`
	LastSentAt       Time    `json:"LastSend"`
	LastResponseAt   Time    `json:"LastDone"`
	EjectedUntil     Time    `json:"OutUntil"`
	WarmupRefilledAt Time    `json:"ColdAt"`
}

// startTimeTolerance is the maximum difference between a server's start times in two processes that is
// attributed to rounding, as each process rounds its own clock. If they differ by more, the server has
// restarted.
const startTimeTolerance = 20 * time.Millisecond

// snapshotClock converts times between this process's clock and a snapshot. now is the time on this process's
// clock at which the snapshot is taken or restored.
type snapshotClock struct{ now Time }

func (c snapshotClock) toSnapshot(t Time) Time {
	switch t {
	case 0:
		return 0
	case c.now:
		return -1 // 0 would mean never
	}
	return t - c.now
}

func (c snapshotClock) fromSnapshot(t Time) Time {
	if t == 0 {
		return 0
	}
	return max(1, c.now+t) // 0 would mean never
}

func convertTimes(times []Time, convert func(Time) Time) []Time {
	converted := make([]Time, len(times))
	for i, t := range times {
		converted[i] = convert(t)
	}
	return converted
}

// Snapshot returns the state that the successor of this process needs. It must be called before the
// HandedOver event: both halve the tokens, so in the other order a quarter of them would be lost. The
// snapshot lacks what the successor measures again, such as zone health, connection faults, the peak of the
// completion rate and the shortage of the highest priority. It also lacks the open requests, because this
// process finishes them.
func (b *Balancer) Snapshot(now Time) Snapshot {
	b.now = max(now, b.now)
	clock := snapshotClock{b.now}
	snapshot := Snapshot{
		Buckets: b.rateLimiter.snapshot(clock),
		Classes: make(map[string]ClassSnapshot), Servers: make(map[string]ServerSnapshot),
		LoadByKind:       make(map[string]LoadSnapshot),
		TypicalLoad:      b.loads.typicalLoad.snapshot(),
		AcceptedAt:       convertTimes(b.retryBudget.receivedAt, clock.toSnapshot),
		RetriesAt:        convertTimes(b.retryBudget.retriesAt, clock.toSnapshot),
		RateMultiplier:   b.rateMultiplier.value,
		WindowScale:      b.window.scale,
		Utilization:      b.window.utilization,
		BadRatio:         b.rateMultiplier.badRatio,
		CompletionRate:   b.completions.rate,
		ReportedAt:       clock.toSnapshot(b.window.reportedAt),
		CompletionRateAt: clock.toSnapshot(b.completions.rateAt),
	}
	for _, c := range b.classes.ordered {
		snapshot.Classes[c.Name] = ClassSnapshot{TailLatency: c.tailLatency, FirstTryTimeout: c.firstTryTimeout}
	}
	for kind, load := range b.loads.byKind {
		snapshot.LoadByKind[kind] = load.snapshot()
	}
	for id, s := range b.servers {
		snapshot.Servers[id] = s.snapshot(clock)
	}
	return snapshot
}

// Restore applies the snapshot of another process of this node. It must be called after the list of servers
// has been received.
func (b *Balancer) Restore(now Time, snapshot Snapshot) {
	b.now = max(now, b.now)
	clock := snapshotClock{b.now}
	b.rateLimiter.restore(clock, snapshot.Buckets)
	b.retryBudget.receivedAt = convertTimes(snapshot.AcceptedAt, clock.fromSnapshot)
	b.retryBudget.retriesAt = convertTimes(snapshot.RetriesAt, clock.fromSnapshot)
	b.rateMultiplier.value, b.rateMultiplier.badRatio = snapshot.RateMultiplier, snapshot.BadRatio
	b.loads.typicalLoad = snapshot.TypicalLoad.restore()
	b.window.scale, b.window.utilization = snapshot.WindowScale, snapshot.Utilization
	b.window.reportedAt = clock.fromSnapshot(snapshot.ReportedAt)
	b.completions.rate = snapshot.CompletionRate
	b.completions.rateAt = clock.fromSnapshot(snapshot.CompletionRateAt)
	for _, c := range b.classes.ordered {
		if known, found := snapshot.Classes[c.Name]; found {
			c.tailLatency, c.firstTryTimeout = known.TailLatency, known.FirstTryTimeout
		}
	}
	for kind, load := range snapshot.LoadByKind {
		restored := load.restore()
		b.loads.byKind[kind] = &restored
	}
	for id, known := range snapshot.Servers {
		if s := b.servers[id]; s != nil {
			s.restore(clock, known)
		}
	}
	b.rebuildOrder()
	b.packing.stale = true // with the next list, servers without a limit get one
}

// snapshot returns the state of each bucket with the successor's half of the tokens.
func (l *rateLimiter) snapshot(clock snapshotClock) (buckets []BucketSnapshot) {
	for key, bucket := range l.buckets.byKey {
		buckets = append(buckets, BucketSnapshot{Tenant: key.tenant, Class: key.class,
			Tokens: bucket.tokens / 2, RefilledAt: clock.toSnapshot(bucket.refilledAt)})
	}
	return buckets
}

func (l *rateLimiter) restore(clock snapshotClock, buckets []BucketSnapshot) {
	for _, known := range buckets {
		bucket := l.bucket(clock.now, bucketKey{known.Tenant, known.Class}, 0)
		bucket.tokens, bucket.refilledAt = known.Tokens, clock.fromSnapshot(known.RefilledAt)
	}
}

func (l serverLoad) snapshot() LoadSnapshot {
	return LoadSnapshot{Samples: l.samples, Rate: l.rate, Latency: l.latency}
}

func (l LoadSnapshot) restore() serverLoad {
	return serverLoad{samples: l.Samples, rate: l.Rate, latency: l.Latency}
}

func (s *server) snapshot(clock snapshotClock) ServerSnapshot {
	return ServerSnapshot{
		StartedAt:        clock.toSnapshot(s.StartedAt),
		ConcurrencyLimit: s.concurrencyLimit,
		MeanLatency:      s.meanLatency,
		ReportedLatency:  s.reportedLatency,
		ReportedRate:     s.reportedRate,
		FailureScore:     s.outlier.failureScore,
		WarmupTokens:     s.warmupBudget.tokens,
		LimitReached:     s.limitObserved,
		Ejected:          s.outlier.ejected,
		Ejections:        s.outlier.ejections,
		BusyUntil:        clock.toSnapshot(s.busyUntil),
		ReportedAt:       clock.toSnapshot(s.reportedAt),
		LastSentAt:       clock.toSnapshot(s.lastSentAt),
		LastResponseAt:   clock.toSnapshot(s.lastResponseAt),
		EjectedUntil:     clock.toSnapshot(s.outlier.ejectedUntil),
		WarmupRefilledAt: clock.toSnapshot(s.warmupBudget.refilledAt),
	}
}

// restore applies the state of the server, unless the server has restarted since the snapshot.
func (s *server) restore(clock snapshotClock, known ServerSnapshot) {
	if (s.StartedAt - clock.fromSnapshot(known.StartedAt)).Abs() > startTimeTolerance {
		return
	}
	s.concurrencyLimit, s.limitObserved = known.ConcurrencyLimit, known.LimitReached
	s.meanLatency, s.busyUntil = known.MeanLatency, clock.fromSnapshot(known.BusyUntil)
	s.reportedLatency, s.reportedRate = known.ReportedLatency, known.ReportedRate
	s.reportedAt = clock.fromSnapshot(known.ReportedAt)
	s.lastSentAt = clock.fromSnapshot(known.LastSentAt)
	s.lastResponseAt = clock.fromSnapshot(known.LastResponseAt)
	s.outlier = outlierState{failureScore: known.FailureScore, ejected: known.Ejected,
		ejectedUntil: clock.fromSnapshot(known.EjectedUntil), ejections: known.Ejections}
	s.warmupBudget = warmupBudget{tokens: known.WarmupTokens,
		refilledAt: clock.fromSnapshot(known.WarmupRefilledAt)}
}
