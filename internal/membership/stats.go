package membership

import "sync/atomic"

// Stats holds the membership counters of one process since its start.
type Stats struct {
	SentBytes, ReceivedBytes uint64 // in datagrams and streams
	ViewChanges              uint64
	RefutedSuspicions        uint64 // suspicions of this node that it refuted
	NameConflicts            uint64 // times this process was superseded by a later one with its name
	SuppressedLogLines       uint64 // log lines and repeated superseded messages dropped by the rate limit
}

// Stats returns the current counters.
func (a *Agent) Stats() Stats {
	return Stats{
		SentBytes:          a.network.sentBytes.Load(),
		ReceivedBytes:      a.network.receivedBytes.Load(),
		ViewChanges:        a.members.revisionNumber(),
		RefutedSuspicions:  a.refutedSuspicions.Load(),
		NameConflicts:      a.nameConflicts.Load(),
		SuppressedLogLines: a.log.suppressedLines(),
	}
}

// networkStats holds the transport's byte counters and the probe loss that it adapts to. It outlives a transport, so a
// process that resumes its membership keeps its counts.
type networkStats struct {
	sentBytes, receivedBytes atomic.Uint64
	probeLoss                probeLoss
}
