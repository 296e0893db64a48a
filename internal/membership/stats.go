package membership

import "sync/atomic"

// Stats are counters of one process's membership since its start.
type Stats struct {
	SentBytes, ReceivedBytes uint64 // in datagrams and streams
	ViewChanges              uint64
	RefutedSuspicions        uint64 // suspicions of this node that it answered
	NameConflicts            uint64 // times that a later process had this node's name
	SuppressedLogLines       uint64 // counted and not written
}

// Stats returns the counters so far.
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

// networkStats is what the transport counts, and the loss that it adapts to. It outlives a transport: a process that
// resumes its membership goes on counting.
type networkStats struct {
	sentBytes, receivedBytes atomic.Uint64
	probeLoss                probeLoss
}
