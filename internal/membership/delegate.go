package membership

import (
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"
)

// metadata is what a member says of itself, beside its name and address. Its first byte is the version; fields
// are only ever added.
type metadata struct {
	Zone        string `cbor:"1,keyasint,omitempty"`
	Version     string `cbor:"2,keyasint,omitempty"`
	Incarnation uint64 `cbor:"3,keyasint"`
	Leaving     bool   `cbor:"4,keyasint,omitempty"`
}

const metadataVersion = 1

func (a metadata) encode() []byte {
	raw, err := cbor.Marshal(a)
	if err != nil { // plain fields always can be written
		panic(err)
	}
	return append([]byte{metadataVersion}, raw...)
}

func decodeMetadata(meta []byte) (a metadata, err error) {
	switch {
	case len(meta) == 0:
		return a, errors.New("nothing is said")
	case meta[0] != metadataVersion:
		return a, fmt.Errorf("version %d, and this node reads %d", meta[0], metadataVersion)
	}
	return a, cbor.Unmarshal(meta[1:], &a)
}

// delegate is what memberlist calls, mostly with its own lock held: nothing here waits or calls back.
type delegate struct{ f *Agent }

// NodeMeta tells what this node says of itself.
func (d delegate) NodeMeta(limit int) []byte {
	d.f.mu.Lock()
	defer d.f.mu.Unlock()
	a := metadata{Zone: d.f.config.Zone, Version: d.f.config.Version, Incarnation: d.f.incarnation, Leaving: d.f.leaving}
	if b := a.encode(); len(b) <= limit {
		return b
	}
	a.Zone, a.Version = "", ""
	return a.encode()
}

func (d delegate) NotifyJoin(n *memberlist.Node)   { d.f.update(n, Alive) }
func (d delegate) NotifyUpdate(n *memberlist.Node) { d.f.update(n, Alive) }
func (d delegate) NotifyLeave(n *memberlist.Node)  { d.f.update(n, Dead) }

// NotifyPingComplete hears that a member answers a probe.
func (d delegate) NotifyPingComplete(n *memberlist.Node, took time.Duration, _ []byte) {
	if d.f.config.OnProbe != nil {
		d.f.config.OnProbe(took)
	}
	d.f.stats.path.probed(true)
	d.f.changeState(n.Name, Suspect, Alive)
}

func (d delegate) AckPayload() []byte                { return nil }
func (d delegate) GetBroadcasts(_, _ int) [][]byte   { return nil }
func (d delegate) LocalState(bool) []byte            { return nil }
func (d delegate) MergeRemoteState(_ []byte, _ bool) {}

// NotifyAlive hears each word on a member that is there. One on this node's name with a later process, at
// this node's address, is what is left of a process whose clock was ahead: this one goes beyond it.
func (d delegate) NotifyAlive(n *memberlist.Node) error {
	f := d.f
	if n.Name != f.config.Name {
		return nil
	}
	a, err := decodeMetadata(n.Meta)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil || f.list == nil || a.Incarnation <= f.incarnation {
		return nil
	}
	if me := f.members[n.Name]; me == nil || me.Address != n.Address() {
		return nil
	}
	f.incarnation = a.Incarnation + 1
	list := f.list
	go func() { _ = list.UpdateNode(0) }()
	return nil
}

// NotifyConflict hears of two processes under one name. The later incarnation is the member: where this
// node's own name is meant and the other is later, this process is silent from then on; where it is others',
// the earlier is told.
func (d delegate) NotifyConflict(existing, other *memberlist.Node) {
	f := d.f
	ours, err1 := decodeMetadata(existing.Meta)
	theirs, err2 := decodeMetadata(other.Meta)
	if err1 != nil || err2 != nil || theirs.Incarnation <= ours.Incarnation {
		return
	}
	if existing.Name == f.config.Name {
		f.supersede(theirs.Incarnation)
		return
	}
	f.mu.Lock()
	list := f.list
	f.mu.Unlock()
	if list == nil || !f.log.allow("superseded/"+existing.Name) {
		return
	}
	to := *existing
	go func() {
		_ = list.SendBestEffort(&to, directMessage{kindSuperseded, theirs.Incarnation, existing.Name}.encode())
	}()
}

// directMessage is what one member tells another directly: that a later process bears its name, or that the sender
// goes. The first byte is the version.
type directMessage struct {
	kind        byte
	incarnation uint64
	name        string
}

const (
	messageVersion = 1
	kindSuperseded = 'S'
	kindLeaving    = 'G'
	messageHeader  = 10
)

func (w directMessage) encode() []byte {
	return append(binary.BigEndian.AppendUint64([]byte{messageVersion, w.kind}, w.incarnation), w.name...)
}

// NotifyMsg hears a word. One of a version or kind to come is none.
func (d delegate) NotifyMsg(b []byte) {
	if len(b) < messageHeader || b[0] != messageVersion {
		return
	}
	w := directMessage{b[1], binary.BigEndian.Uint64(b[2:messageHeader]), string(b[messageHeader:])}
	switch w.kind {
	case kindSuperseded:
		d.f.supersede(w.incarnation)
	case kindLeaving:
		d.f.markLeaving(w.name, w.incarnation)
	}
}

// markLeaving hears that a member's process goes, which may come after its end is known.
func (f *Agent) markLeaving(name string, incarnation uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[name]
	if m == nil || m.Incarnation != incarnation {
		return
	}
	m.leaving = true
	if m.State == Dead {
		m.State = Left
		f.publish()
	}
}

// supersede makes way for a later process of this name.
func (f *Agent) supersede(incarnation uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.superseded || f.list == nil || incarnation <= f.incarnation {
		return
	}
	f.superseded = true
	f.stats.conflicts.Add(1)
	f.publish()
	slog.Error("fleet: superseded by a later process with this node's name, leaving",
		"node", f.config.Name, "incarnation", f.incarnation, "later_incarnation", incarnation)
	f.request(roleLeft) // so that the name is free for the other
}

// parseLogLine takes in what memberlist tells in its log alone.
func (f *Agent) parseLogLine(line string) {
	if name, ok := between(line, "Suspect ", " has failed, no acks received"); ok {
		f.changeState(name, Alive, Suspect)
	}
	if _, ok := between(line, "Failed UDP ping: ", " (timeout reached)"); ok {
		f.stats.path.probed(false)
	}
	if _, ok := between(line, "Refuting a suspect message", ""); ok {
		f.stats.refuted.Add(1)
	}
}
