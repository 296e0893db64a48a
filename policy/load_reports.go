package policy

import "slices"

// Names of the values in load reports that the decisions use.
const (
	reportLatency = "latency_ms" // mean latency of the server's requests, in milliseconds
	reportUtil    = "util"       // busy part of its cores
	reportRate    = "qps"        // requests a second that it served
)

const millisPerSecond = 1000

const (
	// reportGain is the weight of one report in what is known of its server.
	reportGain = 0.5
	// kindLoadGain is the weight of one report in the average of the warmed-up servers of its kind.
	kindLoadGain = 0.05
	// minInformativeUtilization is the utilization below which a report says little of what its server can
	// serve.
	minInformativeUtilization = 0.3
	// maxInformativeUtilization is the utilization above which a report shows queueing rather than the server.
	maxInformativeUtilization = 0.8
	// maxPlausibleUtilization and maxPlausibleRate (requests a second) bound the values of reports that are
	// taken as valid.
	maxPlausibleUtilization = 1.5
	maxPlausibleRate        = 1e6
	// maxKinds bounds how many kinds of servers are distinguished; servers of others count as typical ones.
	maxKinds = 64
	// maxKindRateFactor bounds the service rate of a server, in multiples of that of its kind.
	maxKindRateFactor = 1.5
	// overloadSlope is the part of its limit that a server loses for each unit of utilization beyond the target.
	overloadSlope = 4.0
	// minLimitScale is the part of its limit that an overloaded or failing server keeps.
	minLimitScale = 0.1
	// slowLatencyFactor is the multiple of the latency of its kind from which a server's limit is reduced.
	slowLatencyFactor = 2.0
	// ejectLatencyFactor is the multiple of the latency of its kind from which an overloaded server is ejected:
	// its queue drains only if it gets no work for a while.
	ejectLatencyFactor = 4.0
)

// loadReport is what a server says of itself in a response.
type loadReport struct {
	latency     float64 // mean of its requests, in seconds
	utilization float64 // busy part of its cores
	rate        float64 // requests a second
}

// serverLoad is an average over reports: how many attempts a second servers can serve, and in how many
// seconds each.
type serverLoad struct{ samples, rate, latency float64 }

// add moves the average; it is the plain mean of the first samples.
func (l *serverLoad) add(sample serverLoad) {
	l.samples++
	gain := max(kindLoadGain, 1/l.samples)
	l.rate += gain * (sample.rate - l.rate)
	l.latency += gain * (sample.latency - l.latency)
}

// loadReports owns what load reports say of the kinds of servers.
type loadReports struct {
	fields      int                    // values in a report
	columns     reportColumns          // of the values that decisions use
	byKind      map[string]*serverLoad // average of the warmed-up servers of each kind
	typicalLoad serverLoad             // average of all warmed-up servers
}

// reportColumns are the indexes of values in a report; -1 where reports have none.
type reportColumns struct{ latency, utilization, rate int }

// configure takes over the names of the values in reports, in their order.
func (l *loadReports) configure(fields []string) {
	l.fields = len(fields)
	l.columns = reportColumns{latency: slices.Index(fields, reportLatency),
		utilization: slices.Index(fields, reportUtil), rate: slices.Index(fields, reportRate)}
}

// areComplete reports whether reports have all values that decisions need.
func (l *loadReports) areComplete() bool {
	return min(l.columns.latency, l.columns.utilization, l.columns.rate) >= 0
}

// parse reads a report. It isn't valid if values are missing, not plausible, or those of an idle server.
func (l *loadReports) parse(row []float64) (report loadReport, valid bool) {
	if len(row) < l.fields {
		return loadReport{}, false
	}
	report = loadReport{latency: row[l.columns.latency] / millisPerSecond,
		utilization: row[l.columns.utilization], rate: row[l.columns.rate]}
	valid = report.latency > 0 && report.utilization > 0 && report.utilization <= maxPlausibleUtilization &&
		report.rate > 0 && report.rate < maxPlausibleRate
	return report, valid
}

// record takes over the latency that a server reports and, where the report shows it, its service rate.
func (l *loadReports) record(s *server, report loadReport, warmedUp bool, now Time) {
	if report.utilization >= minInformativeUtilization && report.utilization <= maxInformativeUtilization {
		sample := serverLoad{rate: report.rate / report.utilization, latency: report.latency}
		l.recordServiceRate(s, sample, warmedUp)
	}
	s.reportedLatency, s.reportedAt, s.limitReached = report.latency, now, true
}

// recordServiceRate takes over what a server can serve. Only warmed-up servers count for the others of
// their kind.
func (l *loadReports) recordServiceRate(s *server, sample serverLoad, warmedUp bool) {
	if warmedUp {
		if l.byKind[s.Kind] == nil && len(l.byKind) < maxKinds {
			l.byKind[s.Kind] = &serverLoad{}
		}
		if kind := l.byKind[s.Kind]; kind != nil {
			kind.add(sample)
		}
		l.typicalLoad.add(sample)
	}
	if s.reportedRate == 0 { // its first report
		s.reportedRate = sample.rate
	}
	s.reportedRate += reportGain * (sample.rate - s.reportedRate)
}

// serviceRate is how many attempts a second a server can serve: by its own reports, or as others of its kind.
func (l *loadReports) serviceRate(s *server, warmFraction float64) float64 {
	kind := l.byKind[s.Kind]
	if kind == nil {
		kind = &l.typicalLoad
	}
	if s.reportedRate > 0 {
		return min(maxKindRateFactor*kind.rate, s.reportedRate)
	}
	return kind.rate * warmFraction
}

// limitScale is the part of its fair limit that a server gets by a report: less while it is busier than the
// target or slower than its kind.
func (l *serverLoad) limitScale(report loadReport) float64 {
	return max(minLimitScale, min(1, slowLatencyFactor*l.latency/report.latency,
		1-overloadSlope*(report.utilization-targetUtilization)))
}

// isOverloaded reports whether a report shows a server so busy and slow that its queue drains only without
// new requests.
func (l *serverLoad) isOverloaded(report loadReport) bool {
	return report.utilization > targetUtilization && report.latency > ejectLatencyFactor*l.latency
}

// usesLoadReports reports whether limits rest on load reports. Each of many nodes sees too few responses of
// a server to derive its limit from, while a report shows what it can serve, whichever nodes use it.
func (b *Balancer) usesLoadReports() bool { return b.isLargeFleet() && b.loads.areComplete() }

// onLoadReport updates the limit of a server by the report in its OK response, ejects it if it is
// overloaded, and moves the node's window by how busy the servers are.
func (b *Balancer) onLoadReport(s *server, row []float64) {
	if !b.usesLoadReports() {
		return
	}
	report, valid := b.loads.parse(row)
	if !valid {
		return
	}
	warmedUp := b.warmFraction(s) >= 1
	b.loads.record(s, report, warmedUp, b.now)
	kind, scale := b.loads.byKind[s.Kind], 1.0
	if kind != nil {
		scale = kind.limitScale(report)
		if kind.isOverloaded(report) && !s.outlier.ejected && b.mayEject(s) {
			b.eject(s)
		}
	}
	s.concurrencyLimit += reportGain * (scale - s.concurrencyLimit)
	if kind == nil || !warmedUp || report.latency > ejectLatencyFactor*kind.latency {
		return // such a server says nothing of the load of the others
	}
	b.window.observe(report.utilization, b.now, b.settings.NodeCount)
}
