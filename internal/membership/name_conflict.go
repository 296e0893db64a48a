package membership

import (
	"log/slog"

	"github.com/hashicorp/memberlist"
)

// Of two processes under one node name, the one with the higher incarnation is the member. The other learns it from
// the gossip itself, or by a user message from a member that sees both, and leaves.

// NotifyAlive is called for each alive message about a member. One with this node's name and address and a higher
// incarnation comes from an earlier process whose clock was ahead, or, where a hot restart was taken back, from the
// successor that is gone: this process takes an incarnation above it.
func (d delegate) NotifyAlive(n *memberlist.Node) error {
	a := d.agent
	if n.Name != a.config.Name {
		return nil
	}
	m, err := decodeMetadata(n.Meta)
	if err != nil {
		return nil // an error here would make memberlist drop the message
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.list == nil || m.Incarnation <= a.incarnation || a.members.address(n.Name) != n.Address() {
		return nil
	}
	a.incarnation = m.Incarnation + 1
	list := a.list
	a.background.Go(func() {
		_ = list.UpdateNode(updateTimeout) // the timeout ends only the wait: memberlist goes on sending the update
	})
	return nil
}

// NotifyConflict is called when another address uses a member's name.
func (d delegate) NotifyConflict(existing, other *memberlist.Node) {
	a := d.agent
	known, err := decodeMetadata(existing.Meta)
	if err != nil {
		return
	}
	claimed, err := decodeMetadata(other.Meta)
	if err != nil || claimed.Incarnation <= known.Incarnation {
		return
	}
	if existing.Name == a.config.Name {
		a.supersede(claimed.Incarnation)
		return
	}
	a.sendSuperseded(*existing, claimed.Incarnation)
}

// sendSuperseded lets the earlier of two processes know of the later one, as often as a log line may be written.
func (a *Agent) sendSuperseded(earlier memberlist.Node, laterIncarnation uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := a.list
	if list == nil || !a.log.allow("superseded/"+earlier.Name) {
		return
	}
	message := userMessage{kindSuperseded, laterIncarnation, earlier.Name}.encode()
	a.background.Go(func() {
		_ = list.SendBestEffort(&earlier, message) // the next conflict repeats it
	})
}

// supersede makes this process leave for a later one with its name.
func (a *Agent) supersede(laterIncarnation uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.list == nil || laterIncarnation <= a.incarnation || !a.members.supersede() {
		return
	}
	a.nameConflicts.Add(1)
	slog.Error("fleet: superseded by a later process with this node's name, leaving",
		"node", a.config.Name, "incarnation", a.incarnation, "later_incarnation", laterIncarnation)
	a.requestRole(roleLeft) // so that the name is free for the other process
}
