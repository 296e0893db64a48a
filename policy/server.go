package policy

// server is one listed server as this node sees it. It holds the state that the components keep for each
// server, and most fields have one writer. concurrencyLimit has several: packing_order.go sets the initial
// one, concurrency_limit.go and load_reports.go move it, outlier_detection.go resets it after an ejection.
// attempts.go updates meanLatency, and load_reports.go limitReached too. snapshot.go restores the state.
type server struct {
	Endpoint
	zone         *zoneHealth // nil where the settings name no topology
	segment      *segment    // of the packing order; nil while the server isn't in service
	retrySafety  RetrySafety // of the class that is safest to retry among those that may use the server
	missingSince Time        // since when the list lacks the server while it is retained; 0 while it is listed

	inFlight        int  // attempts of this process in flight
	siblingInFlight int  // and those of the node's other process, during a hot restart
	lastSentAt      Time // of the newest attempt
	lastResponseAt  Time // of any response, whatever its code

	// concurrencyLimit is how many attempts of this node may be in flight while the server has capacity; where
	// usesLoadReports, the part (0 to 1) of its fair limit.
	concurrencyLimit float64
	limitReached     bool    // the limit rests on an outcome or a report, not on the initial guess alone
	meanLatency      float64 // of its responses, in seconds
	busyUntil        Time    // until then it likely works on a timed-out attempt; set only while usesLoadReports

	reportedLatency float64 // of its newest load report, in seconds
	reportedAt      Time    // of that report; 0 before the first
	reportedRate    float64 // attempts a second that it can serve by its reports; 0 before the first

	outlier              outlierState
	connectionFaultRatio float64 // part of its recent responses that were broken connections
	zoneEvidence         float64 // that its zone has failed, in nats
	zoneEvidenceAt       Time    // when the evidence was last updated
	warmupBudget         warmupBudget
	contribution         contribution
}

// contribution is what a server in service adds to the sums of the components, so that exactly that is
// taken off again whatever has changed since.
type contribution struct {
	warmup      warmupContribution
	outlier     outlierContribution
	evidence    evidenceContribution
	unavailable bool // it counts among the listed servers that get no work
}

// totalInFlight is how many attempts both processes of this node have in flight at the server.
func (s *server) totalInFlight() int { return s.inFlight + s.siblingInFlight }
