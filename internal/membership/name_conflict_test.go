package membership

import (
	"net"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"
)

// aliveNode returns the node of an alive message with the name and address of agent i and the given incarnation.
func (v *virtualFleet) aliveNode(t *testing.T, i int, incarnation uint64) *memberlist.Node {
	t.Helper()
	ip, port, err := parseAddress(memAddress(i))
	if err != nil {
		t.Fatal(err)
	}
	return &memberlist.Node{Name: nodeName(i), Addr: ip.To4(), Port: uint16(port), Meta: metadata{Incarnation: incarnation}.encode()}
}

func (a *Agent) currentIncarnation() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.incarnation
}

// A process whose predecessor's clock was ahead takes an incarnation above the predecessor's and announces it.
func TestIncarnationExceedsPredecessor(t *testing.T) {
	withFleet(t, 5, func(t *testing.T, v *virtualFleet) {
		ahead := v.agents[2].currentIncarnation() + 1000
		if err := (delegate{v.agents[2]}).NotifyAlive(v.aliveNode(t, 2, ahead)); err != nil {
			t.Fatal(err)
		}
		if got := v.agents[2].currentIncarnation(); got != ahead+1 {
			t.Errorf("incarnation after the predecessor's alive message: got %d, want %d", got, ahead+1)
		}
		time.Sleep(5 * time.Second)
		for i := range v.agents {
			for _, m := range v.agents[i].View().Members {
				if m.Name == nodeName(2) && m.Incarnation != ahead+1 {
					t.Errorf("member %d: incarnation in its view: got %d, want %d", i, m.Incarnation, ahead+1)
				}
			}
		}
	})
}

// Alive messages that don't call for a new incarnation are ignored.
func TestIncarnationIsUnchanged(t *testing.T) {
	withFleet(t, 3, func(t *testing.T, v *virtualFleet) {
		before := v.agents[2].currentIncarnation()
		for name, change := range map[string]func(*memberlist.Node){
			"another name":      func(n *memberlist.Node) { n.Name = nodeName(1) },
			"another address":   func(n *memberlist.Node) { n.Addr = net.IPv4(10, 9, 9, 9) },
			"unreadable":        func(n *memberlist.Node) { n.Meta = nil },
			"lower incarnation": func(n *memberlist.Node) { n.Meta = metadata{Incarnation: 1}.encode() },
		} {
			n := v.aliveNode(t, 2, before+1000)
			change(n)
			if err := (delegate{v.agents[2]}).NotifyAlive(n); err != nil {
				t.Errorf("%s: NotifyAlive: %v", name, err)
			}
			if got := v.agents[2].currentIncarnation(); got != before {
				t.Errorf("%s: incarnation: got %d, want %d", name, got, before)
			}
		}
	})
}

// The goroutine that announces a new incarnation ends when the process stops being a member. synctest fails the test if a
// goroutine is left.
func TestShutdownEndsBackgroundGoroutines(t *testing.T) {
	withFleet(t, 5, func(t *testing.T, v *virtualFleet) {
		ahead := v.agents[2].currentIncarnation() + 1000
		v.network.setPartition(1, 2)
		if err := (delegate{v.agents[2]}).NotifyAlive(v.aliveNode(t, 2, ahead)); err != nil {
			t.Fatal(err)
		}
		v.agents[2].Yield()
		time.Sleep(time.Second)
	})
}
