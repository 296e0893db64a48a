package policy

import "slices"

// Names of the values in load reports that the decisions use.
const (
	reportLatency = "latency_ms" // mean latency of the server's requests, in milliseconds
	reportUtil    = "util"       // utilization of the server's cores, 1 if all are busy
	reportRate    = "qps"        // requests per second that the server served
)

const millisPerSecond = 1000

const (
	// reportGain is the weight of one report in the averages of its server.
	reportGain = 0.5
	// kindLoadGain is the weight of one report in the average over the warmed-up servers of its kind.
	kindLoadGain = 0.05
	// minInformativeUtilization is the utilization below which a report says little about the server's capacity.
	minInformativeUtilization = 0.3
	// maxInformativeUtilization is the utilization above which a report shows queueing rather than capacity.
	maxInformativeUtilization = 0.8
	// maxPlausibleUtilization and maxPlausibleRate (requests per second) bound the values of valid reports.
	maxPlausibleUtilization = 1.5
	maxPlausibleRate        = 1e6
	// maxKinds is the maximum number of kinds of servers with an average of their own. Servers of other kinds
	// get the average of all kinds.
	maxKinds = 64
	// maxKindRateFactor bounds the service rate of a server, as a multiple of the service rate of its kind.
	maxKindRateFactor = 1.5
	// overloadSlope is the fraction of its limit that a server loses per unit of utilization above
	// targetUtilization.
	overloadSlope = 4.0
	// minLimitScale is the least fraction of its limit that an overloaded or failing server keeps.
	minLimitScale = 0.1
	// slowLatencyFactor is the multiple of its kind's latency above which a server's limit is reduced.
	slowLatencyFactor = 2.0
	// ejectLatencyFactor is the multiple of its kind's latency above which a server is ejected if its
	// utilization is also above targetUtilization. Its queue drains only if it gets no requests for a while.
	ejectLatencyFactor = 4.0
)

// loadReport is the load that a server reports in a response.
type loadReport struct {
	latency     float64 // mean latency of the server's requests, in seconds
	utilization float64 // utilization of the server's cores, 1 if all are busy
	rate        float64 // requests per second
}

// serverLoad is an average of load reports or, without a rate, of response latencies (zone_evidence.go). The
// rate is the attempts per second that a server can serve. The latency is in seconds.
type serverLoad struct{ samples, rate, latency float64 }

// add adds a sample to the average. The average is the arithmetic mean of the first samples, and a moving
// average with kindLoadGain afterwards.
func (l *serverLoad) add(sample serverLoad) {
	l.samples++
	gain := max(kindLoadGain, 1/l.samples)
	l.rate += gain * (sample.rate - l.rate)
	l.latency += gain * (sample.latency - l.latency)
}

// loadReports parses load reports and averages them by kind of server.
type loadReports struct {
	fields      int                    // number of values in a report
	columns     reportColumns          // where the values that decisions use are in a report
	byKind      map[string]*serverLoad // average of the warmed-up servers of each kind
	typicalLoad serverLoad             // average of all warmed-up servers
}

// reportColumns holds the index of each value in a report, -1 if reports don't contain it.
type reportColumns struct{ latency, utilization, rate int }

// configure sets the names of the values in reports, in their order.
func (l *loadReports) configure(fields []string) {
	l.fields = len(fields)
	l.columns = reportColumns{latency: slices.Index(fields, reportLatency),
		utilization: slices.Index(fields, reportUtil), rate: slices.Index(fields, reportRate)}
}

// hasRequiredFields reports whether reports contain all values that decisions need.
func (l *loadReports) hasRequiredFields() bool {
	return min(l.columns.latency, l.columns.utilization, l.columns.rate) >= 0
}

// parse parses a report. A report is invalid if values are missing or implausible, or if the server is idle.
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

// record stores the reported latency of a server and, if the utilization is informative, its service rate.
func (l *loadReports) record(s *server, report loadReport, warmedUp bool, now Time) {
	if report.utilization >= minInformativeUtilization && report.utilization <= maxInformativeUtilization {
		sample := serverLoad{rate: report.rate / report.utilization, latency: report.latency}
		l.recordServiceRate(s, sample, warmedUp)
	}
	s.reportedLatency, s.reportedAt, s.limitObserved = report.latency, now, true
}

// recordServiceRate updates the service rate of a server. Only samples of warmed-up servers count in the
// averages of their kind and of all servers.
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
	if s.reportedRate == 0 { // its first informative report
		s.reportedRate = sample.rate
	}
	s.reportedRate += reportGain * (sample.rate - s.reportedRate)
}

// serviceRate returns the attempts per second that a server can serve. It is based on the server's own
// reports, but is at most maxKindRateFactor times the average of its kind. Without own reports, it is
// warmFraction of that average. A kind without an average gets that of all kinds.
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

// limitScale returns the fraction of its fair limit that a server gets. It is below 1 while the server's
// utilization is above targetUtilization or its latency is above slowLatencyFactor times that of its kind.
func (l *serverLoad) limitScale(report loadReport) float64 {
	return max(minLimitScale, min(1, slowLatencyFactor*l.latency/report.latency,
		1-overloadSlope*(report.utilization-targetUtilization)))
}

// isOverloaded reports whether a server is so busy and slow that its queue drains only without new requests.
func (l *serverLoad) isOverloaded(report loadReport) bool {
	return report.utilization > targetUtilization && report.latency > ejectLatencyFactor*l.latency
}

// usesLoadReports reports whether limits are based on load reports: in a large fleet whose reports contain
// all values that decisions need. In a large fleet, each node sees too few responses of a server to derive
// its limit from them. A load report shows the server's capacity, whichever nodes use it.
func (b *Balancer) usesLoadReports() bool { return b.isLargeFleet() && b.loads.hasRequiredFields() }

// onLoadReport handles the load report in a response; row is nil without one. If limits are based on load
// reports, it updates the server's limit, ejects the server if it is overloaded and mayEject permits it, and
// adjusts the node's concurrency window to the utilization.
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
		return // the report says nothing about the load of other servers
	}
	b.window.observe(report.utilization, b.now, b.settings.NodeCount)
}
