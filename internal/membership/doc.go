// Package membership tracks which nodes of a fleet are alive, suspected or dead, or have left. Nodes gossip with the
// SWIM protocol and Lifeguard's suspicion timeouts, as implemented by hashicorp/memberlist; no other package uses that
// library. Package policy derives quotas from the views.
//
// An Agent takes part in the gossip for one process:
//
//	config.go             the node's identity and addresses; validation
//	agent.go              lifecycle: start, stand by for another process of the node, leave
//	protocol.go           memberlist's settings: intervals, timeouts, multipliers
//	join.go               joining seeds and dead members, push/pull exchanges after changes
//	delegate.go           memberlist's callbacks
//	name_conflict.go      two processes with the same node name
//	member_table.go       the known members and the subscribers to their changes
//	view.go               the immutable view that other packages read
//	wire.go               encoding of metadata and user messages
//	transport.go          datagrams and streams
//	probe_loss.go         probe loss estimate, and duplication of datagrams while it is high
//	logging.go            rate-limited log lines
//	memberlist_log.go     memberlist's log lines, and events parsed from them
//	stats.go              counters for operators
package membership
