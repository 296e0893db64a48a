// Package membership tracks which nodes of a fleet are present, suspected, dead or have left. Nodes gossip by the
// SWIM protocol with Lifeguard's suspicion, as hashicorp/memberlist implements it; no other package sees that
// library. What a view means for quotas is decided in package policy.
//
// An Agent is one process's part in the gossip:
//
//	config.go             who the node is and how it is reached; validation
//	agent.go              lifecycle: start, stand by for another process of the node, leave
//	protocol.go           memberlist's settings: intervals, timeouts, multipliers
//	join.go               joining seeds and lost members, push/pull exchanges after changes
//	delegate.go           memberlist's callbacks
//	name_conflict.go      two processes under one node name
//	member_table.go       the members, owned here, and the subscribers to their changes
//	view.go               the immutable view that other packages read
//	wire.go               metadata and user messages as they are sent
//	transport.go          datagrams and streams
//	probe_loss.go         the loss of probes, and the duplication of datagrams while it is high
//	logging.go            rate-limited log lines
//	memberlist_log.go     memberlist's log lines, and the events that only they report
//	stats.go              counters for operators
package membership
