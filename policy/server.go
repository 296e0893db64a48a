package policy

// server holds the state of one server, listed or retained, as this node sees it. Most fields are written by
// one mechanism, and restored by snapshot.go. But concurrencyLimit is initialized by packing_order.go,
// adjusted by concurrency_limit.go and load_reports.go, and reset after an ejection by outlier_detection.go.
// limitObserved is set by concurrency_limit.go and load_reports.go. attempts.go updates meanLatency.
type server struct {
	Endpoint
	zone         *zoneHealth // nil if the settings name no topology
	segment      *segment    // its segment in the packing order; nil while the server isn't in service
	retrySafety  RetrySafety // highest among the classes that may use the server
	missingSince Time        // when a retained server left the list; 0 while it is listed

	inFlight        int  // attempts of this process in flight
	siblingInFlight int  // attempts of the node's other process in flight, during a hot restart
	lastSentAt      Time // when the newest attempt was sent
	lastResponseAt  Time // when the newest response arrived, whatever its code

	// concurrencyLimit is how many attempts this node may have in flight at the server before the server is
	// overcommitted. If usesLoadReports, it is the fraction (0 to 1) of the fair limit instead.
	concurrencyLimit float64
	limitObserved    bool    // a failure, a slow response or a load report has adjusted the initial limit
	meanLatency      float64 // moving average of the latency of OK and timed-out attempts, in seconds
	busyUntil        Time    // when it has likely ended a timed-out attempt; set only if usesLoadReports

	reportedLatency float64 // latency in its newest load report, in seconds
	reportedAt      Time    // time of that report; 0 before the first
	reportedRate    float64 // attempts per second that it can serve, by its reports; 0 until a report shows it

	outlier              outlierState
	connectionFaultRatio float64 // fraction of recent attempts that ended with Reset or ConnectFailed
	zoneEvidence         float64 // evidence that its zone has failed, in nats
	zoneEvidenceAt       Time    // when the evidence was last updated
	warmupBudget         warmupBudget
	contribution         contribution
}

// contribution records what a server has added to the sums of the mechanisms. Exactly this is subtracted
// later, even if the server's state has changed by then.
type contribution struct {
	warmup      warmupContribution
	outlier     outlierContribution
	evidence    evidenceContribution
	unavailable bool // it is counted in endpointList.unavailable
}

// totalInFlight returns how many attempts both processes of this node have in flight at the server.
func (s *server) totalInFlight() int { return s.inFlight + s.siblingInFlight }
