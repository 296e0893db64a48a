package policy

import (
	"time"
)

// Snapshot is what a process of a node leaves to the one that takes over. Its times are counted from
// the moment it was taken, for each process has a clock of its own; 0 stands for never.
type Snapshot struct {
	Buckets          []BucketSnapshot          `json:"Buckets"`
	Classes          map[string]ClassSnapshot  `json:"Classes"`
	Servers          map[string]ServerSnapshot `json:"Servers"`
	LoadByKind       map[string]LoadSnapshot   `json:"Kinds"`
	TypicalLoad      LoadSnapshot              `json:"Usual"`
	AcceptedAt       []Time                    `json:"Took"`
	RetriesAt        []Time                    `json:"Extra"`
	RateMultiplier   float64                   `json:"Pace"`
	WindowScale      float64                   `json:"Trust"`
	Utilization      float64                   `json:"Busy"`
	BadRatio         float64                   `json:"Bad"`
	CompletionRate   float64                   `json:"Done"`
	ReportedAt       Time                      `json:"HeardAt"`
	CompletionRateAt Time                      `json:"DoneAt"`
}

// BucketSnapshot is one bucket.
type BucketSnapshot struct {
	Tenant     string `json:"Tenant"`
	Class      string `json:"Class"`
	Tokens     int64  `json:"Tokens"`
	RefilledAt Time   `json:"Last"`
}

// ClassSnapshot is what was learned of a class.
type ClassSnapshot struct {
	TailLatency     time.Duration `json:"Tail"`
	FirstTryTimeout time.Duration `json:"FirstTry"`
}

// LoadSnapshot is what reports said of a kind of server.
type LoadSnapshot struct {
	Samples float64 `json:"N"`
	Rate    float64 `json:"Rate"`
	Latency float64 `json:"Latency"`
}

// ServerSnapshot is what was learned of a server, and what of its cold budget is left.
type ServerSnapshot struct {
	StartedAt        Time    `json:"OnlineSince"`
	ConcurrencyLimit float64 `json:"Threshold"`
	MeanLatency      float64 `json:"Latency"`
	ReportedLatency  float64 `json:"Reported"`
	ReportedRate     float64 `json:"Rate"`
	FailureScore     float64 `json:"Score"`
	WarmupTokens     float64 `json:"ColdTokens"`
	LimitReached     bool    `json:"Felt"`
	Ejected          bool    `json:"Out"`
	Ejections        int     `json:"Times"`
	BusyUntil        Time    `json:"BusyTo"`
	ReportedAt       Time    `json:"HeardAt"`
	LastSentAt       Time    `json:"LastSend"`
	LastResponseAt   Time    `json:"LastDone"`
	EjectedUntil     Time    `json:"OutUntil"`
	WarmupRefilledAt Time    `json:"ColdAt"`
}

// startTimeTolerance is how far two processes may differ on when a server started: each rounds its own clock.
const startTimeTolerance = 20 * time.Millisecond

// toSnapshotTime and at turn times of this process's clock into those of Knowledge, and back.
func (b *Balancer) toSnapshotTime(t Time) Time {
	switch t {
	case 0:
		return 0
	case b.now:
		return -1 // not never
	}
	return t - b.now
}

func (b *Balancer) fromSnapshotTime(t Time) Time {
	if t == 0 {
		return 0
	}
	return max(1, b.now+t)
}

func convertTimes(times []Time, by func(Time) Time) []Time {
	all := make([]Time, len(times))
	for i, t := range times {
		all[i] = by(t)
	}
	return all
}

// Snapshot returns what the process that takes over from this one has to know.
func (b *Balancer) Snapshot(now Time) Snapshot {
	b.now = max(now, b.now)
	k := Snapshot{
		Classes: make(map[string]ClassSnapshot), Servers: make(map[string]ServerSnapshot),
		LoadByKind: make(map[string]LoadSnapshot), TypicalLoad: LoadSnapshot{b.loads.typicalLoad.samples,
			b.loads.typicalLoad.rate, b.loads.typicalLoad.latency},
		AcceptedAt: convertTimes(b.acceptedAt, b.toSnapshotTime), RetriesAt: convertTimes(b.retriesAt,
			b.toSnapshotTime),
		RateMultiplier: b.rateMultiplier, WindowScale: b.window.scale, Utilization: b.window.utilization,
		BadRatio: b.badRatio, CompletionRate: b.completions.rate,
		ReportedAt:       b.toSnapshotTime(b.window.reportedAt),
		CompletionRateAt: b.toSnapshotTime(b.completions.at),
	}
	for key, v := range b.buckets {
		k.Buckets = append(k.Buckets, BucketSnapshot{key.tenant, key.class, v.tokens / 2,
			b.toSnapshotTime(v.refilledAt)})
	}
	for _, c := range b.classOrder {
		k.Classes[c.Name] = ClassSnapshot{c.tailLatency, c.firstTryTimeout}
	}
	for kind, l := range b.loads.byKind {
		k.LoadByKind[kind] = LoadSnapshot{l.samples, l.rate, l.latency}
	}
	for id, s := range b.servers {
		k.Servers[id] = ServerSnapshot{
			StartedAt: b.toSnapshotTime(s.StartedAt), ConcurrencyLimit: s.concurrencyLimit,
			MeanLatency: s.meanLatency, ReportedLatency: s.reportedLatency,
			ReportedRate: s.reportedRate, FailureScore: s.outlier.failureScore, WarmupTokens: s.warmupBudget.tokens,
			LimitReached: s.limitReached, Ejected: s.outlier.ejected,
			Ejections: s.outlier.ejections, BusyUntil: b.toSnapshotTime(s.busyUntil),
			ReportedAt: b.toSnapshotTime(s.reportedAt),
			LastSentAt: b.toSnapshotTime(s.lastSentAt), LastResponseAt: b.toSnapshotTime(s.lastResponseAt),
			EjectedUntil:     b.toSnapshotTime(s.outlier.ejectedUntil),
			WarmupRefilledAt: b.toSnapshotTime(s.warmupBudget.refilledAt),
		}
	}
	return k
}

// Restore takes over what another process of this node knew. The list of servers comes first.
func (b *Balancer) Restore(now Time, k Snapshot) {
	b.now = max(now, b.now)
	b.loads.typicalLoad = serverLoad{k.TypicalLoad.Samples, k.TypicalLoad.Rate, k.TypicalLoad.Latency}
	b.acceptedAt, b.retriesAt = convertTimes(k.AcceptedAt, b.fromSnapshotTime), convertTimes(k.RetriesAt,
		b.fromSnapshotTime)
	b.rateMultiplier, b.window.scale, b.window.utilization = k.RateMultiplier, k.WindowScale, k.Utilization
	b.badRatio, b.completions.rate = k.BadRatio, k.CompletionRate
	b.window.reportedAt = b.fromSnapshotTime(k.ReportedAt)
	b.completions.at = b.fromSnapshotTime(k.CompletionRateAt)
	for _, v := range k.Buckets {
		bucket := b.bucketOf(bucketKey{v.Tenant, v.Class}, 0)
		bucket.tokens, bucket.refilledAt = v.Tokens, b.fromSnapshotTime(v.RefilledAt)
	}
	for _, c := range b.classOrder {
		if known, ok := k.Classes[c.Name]; ok {
			c.tailLatency, c.firstTryTimeout = known.TailLatency, known.FirstTryTimeout
		}
	}
	for kind, l := range k.LoadByKind {
		b.loads.byKind[kind] = &serverLoad{l.Samples, l.Rate, l.Latency}
	}
	for id, v := range k.Servers {
		s := b.servers[id]
		if s == nil || (s.StartedAt-b.fromSnapshotTime(v.StartedAt)).Abs() > startTimeTolerance {
			continue // another process of it, or gone
		}
		s.concurrencyLimit, s.meanLatency, s.reportedLatency, s.reportedRate, s.limitReached = v.ConcurrencyLimit,
			v.MeanLatency, v.ReportedLatency, v.ReportedRate, v.LimitReached
		s.busyUntil, s.reportedAt = b.fromSnapshotTime(v.BusyUntil), b.fromSnapshotTime(v.ReportedAt)
		s.lastSentAt, s.lastResponseAt = b.fromSnapshotTime(v.LastSentAt), b.fromSnapshotTime(v.LastResponseAt)
		s.outlier = outlierState{failureScore: v.FailureScore, ejected: v.Ejected,
			ejectedUntil: b.fromSnapshotTime(v.EjectedUntil), ejections: v.Ejections}
		s.warmupBudget = warmupBudget{tokens: v.WarmupTokens, refilledAt: b.fromSnapshotTime(v.WarmupRefilledAt)}
	}
	b.rebuildOrder()
	b.packing.stale = true // a threshold that the other process had not set yet is set with the next list
}
