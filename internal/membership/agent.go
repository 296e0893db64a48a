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
	bindRetryDelay = 50 * time.Millisecond  // the other process of a hot restart may still be bound
	leaveTimeout   = 500 * time.Millisecond // for each of the two announcements
	updateTimeout  = 500 * time.Millisecond // bounds the goroutine that announces a new incarnation
)

// Agent is one process's part in the gossip of its fleet. Make it with New and run it with Run. The other methods may
// be called from any goroutine at any time, and don't wait for the network.
type Agent struct {
	config    Config
	log       *limitedLog
	members   *memberTable
	exchanges exchangeSchedule
	network   networkStats
	roles     chan role // holds the role that was requested last, until Run takes it

	refutedSuspicions, nameConflicts atomic.Uint64

	mu          sync.Mutex             // may be held while a lock of another field is taken, not the other way round
	list        *memberlist.Memberlist // nil unless this process is the node's member
	incarnation uint64
	leaving     bool
	background  sync.WaitGroup // goroutines that use list; none starts while list is nil
}

// role is what this process is for its node.
type role uint8

const (
	roleMember  role = iota // the node's member
	roleStandby             // not the member: another process of the node is, under the same name
	roleLeft                // not the member, and the node announced that it leaves
)

// New makes a process's part in its fleet. Nothing is bound before Run. The error is a *ConfigError.
func New(c Config) (*Agent, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	if c.now == nil {
		c.now = time.Now
	}
	a := &Agent{config: c, roles: make(chan role, 1)}
	if a.config.newTransport == nil {
		a.config.newTransport = func() (memberlist.NodeAwareTransport, error) { return listen(a.config, &a.network) }
	}
	a.log = newLimitedLog(slog.Default(), c.now)
	a.members = newMemberTable(c.Name, c.now, a.log.memberChanged)
	a.incarnation = uint64(max(1, c.now().UnixMilli())) // so that a restarted process is later than the one before
	return a, nil
}

// Run takes part in the gossip until ctx ends, and then announces that the node leaves. Failures are logged and
// retried: requests are served without membership too.
func (a *Agent) Run(ctx context.Context) {
	current := roleMember
	for ctx.Err() == nil {
		if current != roleMember {
			current = a.awaitRole(ctx, current, nil)
			continue
		}
		list, err := a.startMemberlist()
		if err != nil {
			a.log.log(slog.LevelWarn, "fleet: membership not started, retrying", "error", err)
			current = a.awaitRole(ctx, current, time.After(bindRetryDelay))
			continue
		}
		current = a.participate(ctx, list)
	}
}

// awaitRole returns the role that is requested next, or current once ctx ends or timeout fires.
func (a *Agent) awaitRole(ctx context.Context, current role, timeout <-chan time.Time) role {
	select {
	case requested := <-a.roles:
		return requested
	case <-timeout:
	case <-ctx.Done():
	}
	return current
}

// participate is the node's member until ctx ends or another role is requested, and returns the new role.
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
		case requested := <-a.roles:
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

// shutdown ends list and the goroutines that use it.
func (a *Agent) shutdown(list *memberlist.Memberlist) {
	a.setMemberlist(nil)
	if err := list.Shutdown(); err != nil {
		a.log.log(slog.LevelWarn, "fleet: memberlist shutdown failed", "error", err)
	}
	a.background.Wait()
}

// leave announces that this node leaves, so that the others don't take its end for a failure.
func (a *Agent) leave(list *memberlist.Memberlist) {
	a.mu.Lock()
	a.leaving = true
	announcement := userMessage{kindLeaving, a.incarnation, a.config.Name}.encode()
	a.mu.Unlock()
	if list.NumMembers() <= 1 {
		return
	}
	// Gossip misses a member now and then, so each one gets the announcement directly as well.
	for _, m := range list.Members() {
		if m.Name != a.config.Name {
			_ = list.SendBestEffort(m, announcement) // the gossip below repeats it
		}
	}
	if err := list.UpdateNode(leaveTimeout); err != nil {
		slog.Info("fleet: leave announcement may be incomplete", "node", a.config.Name, "error", err)
	}
	if err := list.Leave(leaveTimeout); err != nil {
		slog.Info("fleet: leave may be incomplete", "node", a.config.Name, "error", err)
	}
}

// Yield gives the node's membership up to another process of it, without an announcement. Resume takes it back.
func (a *Agent) Yield() { a.requestRole(roleStandby) }

// Resume makes this process the node's member again.
func (a *Agent) Resume() { a.requestRole(roleMember) }

// requestRole replaces a request that Run hasn't taken yet.
func (a *Agent) requestRole(requested role) {
	for {
		select {
		case a.roles <- requested:
			return
		default:
		}
		select {
		case <-a.roles:
		default:
		}
	}
}

// View returns the fleet as this node sees it now.
func (a *Agent) View() View { return a.members.view() }

// Subscribe returns a channel that holds the newest view after each change. A view that nobody has read is replaced
// by the next one; the gossip never waits for a reader.
func (a *Agent) Subscribe() <-chan View { return a.members.subscribe() }
