package membership

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	bindRetryDelay = 50 * time.Millisecond  // after a failed start: in a hot restart, the other process may hold the sockets
	leaveTimeout   = 500 * time.Millisecond // for each of the two announcements by gossip
	updateTimeout  = 500 * time.Millisecond // bounds the goroutine that announces a new incarnation
)

// Agent takes part in the gossip of a fleet for one process. Create it with New and run it with Run. The other methods
// may be called from any goroutine at any time and don't wait for the network.
type Agent struct {
	config       Config
	log          *limitedLog
	members      *memberTable
	exchanges    exchangeSchedule
	network      networkStats
	roleRequests chan role // holds the last requested role until Run takes it

	refutedSuspicions, nameConflicts atomic.Uint64

	mu          sync.Mutex             // must be taken before the locks of other fields
	list        *memberlist.Memberlist // nil unless this process is the member for its node
	incarnation uint64
	leaving     bool
	background  sync.WaitGroup // goroutines that use list; none may start while list is nil
}

// role says whether this process is the fleet member for its node.
type role uint8

const (
	roleMember  role = iota // this process is the member
	roleStandby             // another process of the node is the member, under the same name
	roleLeft                // the node announced its leave and is not a member
)

// New creates an Agent. It binds no sockets; Run does. The error is a *ConfigError.
func New(c Config) (*Agent, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	if c.now == nil {
		c.now = time.Now
	}
	a := &Agent{config: c, roleRequests: make(chan role, 1)}
	if a.config.newTransport == nil {
		a.config.newTransport = func() (memberlist.NodeAwareTransport, error) { return listen(a.config, &a.network) }
	}
	a.log = newLimitedLog(slog.Default(), c.now)
	a.members = newMemberTable(c.Name, c.now, a.log.memberChanged)
	a.incarnation = uint64(max(1, c.now().UnixMilli())) // above that of an earlier process, unless the clock was set back
	return a, nil
}

// Run takes part in the gossip until ctx ends. If this process is then the member for its node, Run announces that the
// node leaves. A failed start is logged and retried, as a node serves requests even without membership.
func (a *Agent) Run(ctx context.Context) {
	current := roleMember
	for ctx.Err() == nil {
		if current != roleMember {
			current = a.awaitRole(ctx, current, nil)
			continue
		}
		list, err := a.startMemberlist()
		if err != nil {
			a.log.log(slog.LevelWarn, "fleet: cannot start membership, retrying", "error", err)
			current = a.awaitRole(ctx, current, time.After(bindRetryDelay))
			continue
		}
		current = a.participate(ctx, list)
	}
}

// awaitRole waits for a requested role and returns it, or returns current when ctx ends or timeout fires.
func (a *Agent) awaitRole(ctx context.Context, current role, timeout <-chan time.Time) role {
	select {
	case requested := <-a.roleRequests:
		return requested
	case <-timeout:
	case <-ctx.Done():
	}
	return current
}

// participate acts as the member for the node until ctx ends or another role is requested, and returns the new role.
func (a *Agent) participate(ctx context.Context, list *memberlist.Memberlist) role {
	a.setMemberlist(list)
	defer a.shutdown(list)
	slog.Info("fleet: membership started",
		"node", a.config.Name, "address", list.LocalNode().FullAddress().Addr, "label", a.config.Label)
	joinTimer := time.NewTimer(0)
	defer joinTimer.Stop()
	for {
		select {
		case <-joinTimer.C:
			a.joinAndExchange(list)
			joinTimer.Reset(joinInterval/2 + rand.N(joinInterval))
		case requested := <-a.roleRequests:
			switch requested {
			case roleStandby:
				slog.Info("fleet: standing by for another process of this node", "node", a.config.Name)
				return requested
			case roleLeft:
				a.leave(list)
				return requested
			}
		case <-ctx.Done():
			a.leave(list)
			return roleLeft
		}
	}
}

func (a *Agent) setMemberlist(list *memberlist.Memberlist) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list, a.leaving = list, false
}

// shutdown stops list and waits for the goroutines that use it.
func (a *Agent) shutdown(list *memberlist.Memberlist) {
	a.setMemberlist(nil)
	if err := list.Shutdown(); err != nil {
		a.log.log(slog.LevelWarn, "fleet: memberlist shutdown failed", "error", err)
	}
	a.background.Wait()
}

// leave announces that this node leaves, so that other members don't treat its exit as a failure.
func (a *Agent) leave(list *memberlist.Memberlist) {
	a.mu.Lock()
	a.leaving = true
	announcement := userMessage{kindLeaving, a.incarnation, a.config.Name}.encode()
	a.mu.Unlock()
	if list.NumMembers() <= 1 {
		return
	}
	// Gossip occasionally misses a member, so each member also receives the announcement directly.
	for _, m := range list.Members() {
		if m.Name != a.config.Name {
			_ = list.SendBestEffort(m, announcement) // the gossip below repeats the announcement
		}
	}
	if err := list.UpdateNode(leaveTimeout); err != nil {
		slog.Info("fleet: leave announcement may be incomplete", "node", a.config.Name, "error", err)
	}
	if err := list.Leave(leaveTimeout); err != nil {
		slog.Info("fleet: leave may be incomplete", "node", a.config.Name, "error", err)
	}
}

// Yield hands the node's membership over to another process of the node, without announcing a leave. Resume takes it
// back.
func (a *Agent) Yield() { a.requestRole(roleStandby) }

// Resume makes this process the member for its node again.
func (a *Agent) Resume() { a.requestRole(roleMember) }

// requestRole requests a role from Run, in place of a request that Run hasn't taken yet.
func (a *Agent) requestRole(requested role) {
	for {
		select {
		case a.roleRequests <- requested:
			return
		default:
		}
		select {
		case <-a.roleRequests:
		default:
		}
	}
}

// View returns the current view of the fleet.
func (a *Agent) View() View { return a.members.view() }

// Subscribe returns a channel that receives the current view, if there was any change yet, and the newest view after each
// change. A newer view replaces one that hasn't been read; the gossip never waits for a reader.
func (a *Agent) Subscribe() <-chan View { return a.members.subscribe() }
