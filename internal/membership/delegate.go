package membership

import (
	"log/slog"
	"time"

	"github.com/hashicorp/memberlist"
)

// delegate implements memberlist's callbacks. Several goroutines of memberlist call them, mostly with memberlist's lock
// held. The callbacks therefore don't block or call memberlist, but start a background goroutine for such work.
type delegate struct{ agent *Agent }

var (
	_ memberlist.Delegate         = delegate{}
	_ memberlist.EventDelegate    = delegate{}
	_ memberlist.AliveDelegate    = delegate{}
	_ memberlist.ConflictDelegate = delegate{}
	_ memberlist.PingDelegate     = delegate{}
)

// NodeMeta returns this node's metadata. memberlist calls it at startup and for each UpdateNode.
func (d delegate) NodeMeta(limit int) []byte {
	a := d.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	m := metadata{Zone: a.config.Zone, Version: a.config.Version, Incarnation: a.incarnation, Leaving: a.leaving}
	return m.encodeWithin(limit)
}

// NotifyJoin is called when a member joins or comes back, NotifyUpdate when its metadata changes, and NotifyLeave when it
// leaves or is declared dead.
func (d delegate) NotifyJoin(n *memberlist.Node)   { d.agent.updateMember(n, Alive) }
func (d delegate) NotifyUpdate(n *memberlist.Node) { d.agent.updateMember(n, Alive) }
func (d delegate) NotifyLeave(n *memberlist.Node)  { d.agent.updateMember(n, Dead) }

// NotifyPingComplete is called when a member answers a probe.
func (d delegate) NotifyPingComplete(n *memberlist.Node, roundTrip time.Duration, _ []byte) {
	a := d.agent
	if a.config.OnProbe != nil {
		a.config.OnProbe(roundTrip)
	}
	a.network.probeLoss.recordProbe(true)
	a.members.setSuspicion(n.Name, Suspect, Alive)
}

// NotifyMsg is called for each user message. Messages that are too short, of another version or of an
// unknown kind are ignored.
func (d delegate) NotifyMsg(raw []byte) {
	m, ok := decodeUserMessage(raw)
	if !ok {
		return
	}
	switch m.kind {
	case kindSuperseded:
		d.agent.supersede(m.incarnation)
	case kindLeaving:
		d.agent.members.announceLeave(m.name, m.incarnation)
	}
}

// This program adds no data to acknowledgements, gossip or push/pull states.
func (d delegate) AckPayload() []byte                { return nil }
func (d delegate) GetBroadcasts(_, _ int) [][]byte   { return nil }
func (d delegate) LocalState(bool) []byte            { return nil }
func (d delegate) MergeRemoteState(_ []byte, _ bool) {}

// updateMember stores a member reported by memberlist, even if its metadata can't be decoded.
func (a *Agent) updateMember(n *memberlist.Node, state State) {
	m, err := decodeMetadata(n.Meta)
	if err != nil {
		a.log.log(slog.LevelWarn, "fleet: cannot decode member metadata", "node", n.Name, "error", err)
	}
	if a.members.update(newMember(n, m, state)) {
		a.exchanges.membersChanged(a.config.now())
	}
}

// handleLogEvent handles an event that memberlist reports only in its log.
func (a *Agent) handleLogEvent(event logEvent, node string) {
	switch event {
	case memberSuspected:
		a.members.setSuspicion(node, Alive, Suspect)
	case probeUnanswered:
		a.network.probeLoss.recordProbe(false)
	case suspicionRefuted:
		a.refutedSuspicions.Add(1)
	}
}
