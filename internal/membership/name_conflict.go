package membership

import (
	"log/slog"

	"github.com/hashicorp/memberlist"
)

// Of two processes with the same node name, the one with the higher incarnation is the member. The other leaves when it
// learns of the conflict, either from the gossip or from a user message of a member that sees both.

// NotifyAlive is called for each alive message about a member. A message with this node's name and address and a higher
// incarnation comes from an earlier process whose clock was ahead or, after a cancelled hot restart, from the successor
// that has exited. This process then takes an incarnation above the message's.
func (d delegate) NotifyAlive(n *memberlist.Node) error {
	a := d.agent
	if n.Name != a.config.Name {
		return nil
	}
	m, err := decodeMetadata(n.Meta)
	if err != nil {
		return nil // if NotifyAlive returned an error, memberlist would drop the message
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.list == nil || m.Incarnation <= a.incarnation || a.members.address(n.Name) != n.Address() {
		return nil
	}
	a.incarnation = m.Incarnation + 1
	list := a.list
	a.background.Go(func() {
		_ = list.UpdateNode(updateTimeout) // the timeout ends only the wait; memberlist continues to send the update
	})
	return nil
}

// NotifyConflict is called when a second address claims the name of a member. If the second process has the higher
// incarnation, NotifyConflict informs the earlier one. If that is this process, this process leaves the fleet.
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

// sendSuperseded tells the earlier of two processes about the later one, at most once per logInterval for each name.
func (a *Agent) sendSuperseded(earlier memberlist.Node, laterIncarnation uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := a.list
	if list == nil || !a.log.allow("superseded/"+earlier.Name) {
		return
	}
	message := userMessage{kindSuperseded, laterIncarnation, earlier.Name}.encode()
	a.background.Go(func() {
		_ = list.SendBestEffort(&earlier, message) // repeated at the next conflict
	})
}

// supersede makes this process leave the fleet in favor of a later process with the same name.
func (a *Agent) supersede(laterIncarnation uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.list == nil || laterIncarnation <= a.incarnation || !a.members.supersede() {
		return
	}
	a.nameConflicts.Add(1)
	slog.Error("fleet: superseded by a later process with this node's name, leaving",
		"node", a.config.Name, "incarnation", a.incarnation, "later_incarnation", laterIncarnation)
	a.requestRole(roleLeft) // frees the name for the other process
}
