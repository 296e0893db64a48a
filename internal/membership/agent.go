// Package membership knows which nodes of a fleet are present, which have gone, and how. It gossips by memberlist
// (SWIM with Lifeguard's suspicion), which nobody outside of this package sees; what a view is worth to a
// request is decided in policy.
package membership

import (
	"cmp"
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

// What a fleet's figures of time follow from: a probe has to bear a round trip, a pause of a third of a second
// and lost datagrams, and a death is to be known within two seconds.
const (
	defaultProbe           = 200 * time.Millisecond // between probes by one node; half of it for a direct answer
	gossipInterval         = 100 * time.Millisecond // while there is something to tell
	gossipFanout           = 3                      // members at a time
	suspicionMultiplier    = 4                      // times log10 of the members, in probes: 0.95 s at 15 members
	suspicionMaxMultiplier = 5                      // times that, while nobody confirms
	retransmitMultiplier   = 6                      // times log10 of the members, each word is passed on
	pushPullInterval       = 2 * time.Minute        // between whole states, stretched where members are many: a backstop
	streamTimeout          = time.Second            // for a stream between two members
	gossipToDead           = time.Minute            // that the dead are told what is said of them
	reclaimAfter           = time.Second            // after a death, the name may turn up at another address

	rejoinInterval            = time.Second            // a call to one member that was lost, or to a seed; spread by half
	exchangesAfterChange      = 2                      // whole states are exchanged after the last change of the view:
	minExchangeInterval       = 2 * time.Second        // after so long each time,
	exchangeIntervalPerMember = 50 * time.Millisecond  // and so much for each member, for their size's sake;
	exchangeSlowdown          = 3                      // times that, again and again, while the path is bad
	bindRetry                 = 50 * time.Millisecond  // another process of this node may still be bound
	leaveTimeout              = 500 * time.Millisecond // for each of two last words

	keepLeft    = 5 * time.Minute // members that said they go
	keepDead    = time.Hour       // and those that fell silent
	maxMembers  = 4096            // in a view; more are not taken in
	logInterval = 10 * time.Second
)

// Config says who a node is in the fleet and how it is reached.
type Config struct {
	Name, Zone, Version string

	Bind          string        // host:port for datagrams and streams
	Advertise     string        // where others reach that; empty for Bind
	Join          []string      // host:port of some members; others are learned
	Label         string        // of the fleet; members of another are not heard
	KeyFile       string        // base64 keys of 16, 24 or 32 bytes, a line each, the first to write with; empty: in clear
	AllowedCIDRs  []string      // CIDRs that members may have; empty for any
	ProbeInterval time.Duration // between probes; 0 for the default

	OnProbe func(took time.Duration) // is told each round trip of a probe; nil for nobody

	transport func() (memberlist.NodeAwareTransport, error) // nil for sockets
	now       func() time.Time                              // nil for the machine's
}

// Equal tells whether two configurations ask for the same.
func (c Config) Equal(o Config) bool {
	return c.Name == o.Name && c.Zone == o.Zone && c.Bind == o.Bind && c.Advertise == o.Advertise &&
		slices.Equal(c.Join, o.Join) && c.Label == o.Label && c.KeyFile == o.KeyFile &&
		slices.Equal(c.AllowedCIDRs, o.AllowedCIDRs) && c.ProbeInterval == o.ProbeInterval
}

// ErrConfig is what each error of Check is.
var ErrConfig = errors.New("fleet")

func wrong(field, format string, args ...any) error {
	return fmt.Errorf("%w.%s: %s", ErrConfig, field, fmt.Sprintf(format, args...))
}

const maxLabel = 64 // bytes

func inLabel(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("._-", r)
}

// Validate says which field can't be used.
func (c Config) Validate() error {
	if c.Name == "" || len(c.Name) > 128 {
		return wrong("name", "want 1 to 128 bytes, got %d", len(c.Name))
	}
	addresses := map[string][]string{"bind": {c.Bind}, "join": c.Join}
	if c.Advertise != "" {
		addresses["advertise"] = []string{c.Advertise}
	}
	for _, field := range []string{"bind", "advertise", "join"} {
		for _, a := range addresses[field] {
			if _, _, err := splitAddress(a); err != nil {
				return wrong(field, "%v", err)
			}
		}
	}
	if host, _, _ := splitAddress(c.Bind); host.IsUnspecified() && c.Advertise == "" {
		return wrong("advertise", "missing, for bind names no single address")
	}
	if len(c.Label) > maxLabel || strings.ContainsFunc(c.Label, func(r rune) bool { return !inLabel(r) }) {
		return wrong("label", "want up to 64 letters, digits, dots, dashes and underlines, got %q", c.Label)
	}
	if _, err := memberlist.ParseCIDRs(c.AllowedCIDRs); err != nil {
		return wrong("allow", "%v", err)
	}
	if c.ProbeInterval != 0 && (c.ProbeInterval < 50*time.Millisecond || c.ProbeInterval > time.Minute) {
		return wrong("probe_ms", "want 50 ms to a minute, got %v", c.ProbeInterval)
	}
	_, err := c.keys()
	return err
}

func splitAddress(a string) (net.IP, int, error) {
	addr, err := net.ResolveUDPAddr("udp", a)
	if err != nil || addr.IP == nil || addr.Port == 0 || net.ParseIP(hostOf(a)) == nil {
		return nil, 0, fmt.Errorf("want an IP address and a port, got %q", a)
	}
	return addr.IP, addr.Port, nil
}

func hostOf(a string) string {
	host, _, _ := net.SplitHostPort(a)
	return host
}

// keys reads the key file; nil for none.
func (c Config) keys() (*memberlist.Keyring, error) {
	if c.KeyFile == "" {
		return nil, nil
	}
	raw, err := os.ReadFile(c.KeyFile)
	if err != nil {
		return nil, wrong("key_file", "%v", err)
	}
	var keys [][]byte
	for i, line := range strings.Split(strings.TrimSpace(string(raw)), "\n") {
		key, err := base64.StdEncoding.DecodeString(strings.TrimSpace(line))
		if err != nil || memberlist.ValidateKey(key) != nil {
			return nil, wrong("key_file", "%s:%d: want a base64 key of 16, 24 or 32 bytes", c.KeyFile, i+1)
		}
		keys = append(keys, key)
	}
	ring, err := memberlist.NewKeyring(keys, keys[0])
	if err != nil {
		return nil, wrong("key_file", "%v", err)
	}
	return ring, nil
}

// Agent is this node's part in the fleet. Make one with New, run it with Run; its other methods may be called
// from any goroutine, at any time.
type Agent struct {
	config   Config
	log      *logAdapter
	requests chan role // what this process is to be; the newest counts
	stats    stats

	mu            sync.Mutex
	list          *memberlist.Memberlist // nil while this process isn't the member
	incarnation   uint64
	leaving       bool
	superseded    bool // another process bears the name, and is later
	version       uint64
	members       map[string]*Member
	changedAt     time.Time // the members that are there
	exchangedAt   time.Time // whole states were last exchanged for that,
	exchangesLeft int       // and are to be so often more
	subscribers   []chan View
}

// role is what a process is to be.
type role uint8

const (
	roleMember  role = iota // the member
	roleStandby             // not the member, with no word: another process of the node is
	roleLeft                // not the member, and the others are told
)

// New makes a node's part in a fleet. Nothing is opened before Run.
func New(c Config) (*Agent, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	if c.now == nil {
		c.now = time.Now
	}
	f := &Agent{config: c, requests: make(chan role, 1), members: make(map[string]*Member)}
	f.log = newLogAdapter(slog.Default(), c.now, f.parseLogLine)
	f.incarnation = uint64(max(1, c.now().UnixMilli()))
	return f, nil
}

// Run takes part until ctx ends, and then says so to the others. Whatever is wrong with the fleet is told in
// the log, and tried again: service doesn't depend on it.
func (f *Agent) Run(ctx context.Context) {
	want := roleMember
	for ctx.Err() == nil {
		if want != roleMember {
			select {
			case want = <-f.requests:
			case <-ctx.Done():
			}
			continue
		}
		list, err := f.open()
		if err != nil {
			f.log.logLimited(slog.LevelWarn, "fleet: membership not started, retrying", "error", err)
			select {
			case want = <-f.requests:
			case <-time.After(bindRetry):
			case <-ctx.Done():
			}
			continue
		}
		want = f.participate(ctx, list)
	}
}

// participate is the member's life: it looks for the others until ctx ends, or this process is not to be the member
// any more. The later process of a name tells the earlier to go.
func (f *Agent) participate(ctx context.Context, list *memberlist.Memberlist) (want role) {
	f.set(list)
	defer func() {
		f.set(nil)
		if err := list.Shutdown(); err != nil {
			f.log.logLimited(slog.LevelWarn, "fleet: memberlist shutdown failed", "error", err)
		}
	}()
	slog.Info("fleet: membership started", "node", f.config.Name, "address", list.LocalNode().FullAddress().Addr, "label", f.config.Label)
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		select {
		case <-next.C:
			f.rejoin(list)
			next.Reset(rejoinInterval/2 + rand.N(rejoinInterval))
		case want := <-f.requests:
			switch want {
			case roleStandby:
				slog.Info("fleet: standing by for another process of this node", "node", f.config.Name)
				return want
			case roleLeft:
				f.leave(list)
				return want
			}
		case <-ctx.Done():
			f.leave(list)
			return roleLeft
		}
	}
}

func (f *Agent) set(list *memberlist.Memberlist) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list, f.leaving = list, false
}

// open binds, and becomes a member that knows nobody.
func (f *Agent) open() (*memberlist.Memberlist, error) {
	keys, err := f.config.keys()
	if err != nil {
		return nil, err
	}
	allow, err := memberlist.ParseCIDRs(f.config.AllowedCIDRs)
	if err != nil {
		return nil, err
	}
	connect := f.config.transport
	if connect == nil {
		connect = func() (memberlist.NodeAwareTransport, error) { return listen(f.config, &f.stats) }
	}
	t, err := connect()
	if err != nil {
		return nil, err
	}
	c := memberlist.DefaultLANConfig()
	c.Name, c.Transport, c.Label, c.Keyring, c.CIDRsAllowed = f.config.Name, t, f.config.Label, keys, allow
	c.BindAddr, c.BindPort = hostOf(f.config.Bind), 0
	c.ProbeInterval = cmp.Or(f.config.ProbeInterval, defaultProbe)
	c.ProbeTimeout = c.ProbeInterval / 2
	c.SuspicionMult, c.SuspicionMaxTimeoutMult = suspicionMultiplier, suspicionMaxMultiplier
	c.GossipInterval, c.GossipNodes, c.RetransmitMult = gossipInterval, gossipFanout, retransmitMultiplier
	c.GossipToTheDeadTime, c.PushPullInterval, c.TCPTimeout = gossipToDead, pushPullInterval, streamTimeout
	c.DeadNodeReclaimTime = reclaimAfter
	c.EnableCompression = false // costs more CPU than what is saved is worth on a fleet's own network
	c.Logger = f.log.stdLogger()
	d := delegate{f}
	c.Delegate, c.Events, c.Alive, c.Conflict, c.Ping = d, d, d, d, d
	list, err := memberlist.Create(c)
	if err != nil {
		_ = t.Shutdown()
		return nil, err
	}
	return list, nil
}

// rejoin calls one member that was lost, or one of those to join by that is not there yet: after a split, or
// where two parts of a fleet start apart, nobody else would bring them together. And it exchanges whole states
// after changes: some word of theirs may have reached all but a few.
func (f *Agent) rejoin(list *memberlist.Memberlist) {
	self := list.LocalNode().FullAddress().Addr
	there, lost := f.presentAndLost(self)
	for _, at := range f.config.Join {
		if at != self && !slices.Contains(there, at) && !slices.Contains(lost, at) {
			lost = append(lost, at)
		}
	}
	if len(there) > 0 && f.exchangeDue(len(there)) {
		_, _ = list.Join([]string{there[rand.IntN(len(there))]}) // the next change brings the next
	}
	if len(lost) == 0 {
		return
	}
	at := lost[rand.IntN(len(lost))]
	if _, err := list.Join([]string{at}); err != nil {
		f.log.logLimited(slog.LevelInfo, "fleet: join failed, retrying", "address", at, "error", err, "present", len(there)+1)
	}
}

// presentAndLost are the addresses of the others who are there, and of those who fell silent.
func (f *Agent) presentAndLost(self string) (there, lost []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		switch {
		case m.Address == self:
		case m.State == Alive || m.State == Suspect:
			there = append(there, m.Address)
		case m.State == Dead:
			lost = append(lost, m.Address)
		}
	}
	slices.Sort(there)
	slices.Sort(lost)
	return there, lost
}

// exchangeDue tells whether an exchange is due after changes, and books it.
func (f *Agent) exchangeDue(others int) bool {
	span := minExchangeInterval + time.Duration(others)*exchangeIntervalPerMember
	span = span/2 + rand.N(span)
	now := f.config.now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.exchangesLeft == 0 && f.stats.path.bad() {
		f.exchangesLeft, span = 1, exchangeSlowdown*span
	}
	if f.exchangesLeft == 0 || now.Sub(f.changedAt) < span || now.Sub(f.exchangedAt) < span {
		return false
	}
	f.exchangesLeft--
	f.exchangedAt = now
	return true
}

// leave says that this node goes, which is not the same as to fall silent.
func (f *Agent) leave(list *memberlist.Memberlist) {
	f.mu.Lock()
	f.leaving = true
	bye := directMessage{kindLeaving, f.incarnation, f.config.Name}.encode()
	f.mu.Unlock()
	if list.NumMembers() <= 1 {
		return
	}
	// Gossip alone leaves out one member now and then, which would take the end for a death.
	for _, m := range list.Members() {
		if m.Name != f.config.Name {
			_ = list.SendBestEffort(m, bye)
		}
	}
	if err := list.UpdateNode(leaveTimeout); err != nil {
		slog.Info("fleet: leave announcement may be incomplete", "node", f.config.Name, "error", err)
	}
	if err := list.Leave(leaveTimeout); err != nil {
		slog.Info("fleet: leave may be incomplete", "node", f.config.Name, "error", err)
	}
}

// Yield leaves the name to another process of this node, with no word to the others. Resume takes it back.
func (f *Agent) Yield() { f.request(roleStandby) }

// Resume makes this process the member again.
func (f *Agent) Resume() { f.request(roleMember) }

func (f *Agent) request(w role) {
	for {
		select {
		case f.requests <- w:
			return
		default:
		}
		select {
		case <-f.requests: // an older one that was not heard yet
		default:
		}
	}
}

// Stats are the figures of this process's membership.
type Stats struct {
	SentBytes, ReceivedBytes uint64 // bytes of datagrams and streams
	ViewChanges              uint64 // changes of the view
	RefutedSuspicions        uint64 // suspicions of this node that it answered
	NameConflicts            uint64 // times that another process bore this node's name
	SuppressedLogLines       uint64 // log lines that were counted and not written
}

type stats struct {
	sent, received, refuted, conflicts atomic.Uint64
	path                               path
}

// Stats returns the figures so far.
func (f *Agent) Stats() Stats {
	f.mu.Lock()
	views := f.version
	f.mu.Unlock()
	return Stats{SentBytes: f.stats.sent.Load(), ReceivedBytes: f.stats.received.Load(), ViewChanges: views,
		RefutedSuspicions: f.stats.refuted.Load(), NameConflicts: f.stats.conflicts.Load(), SuppressedLogLines: f.log.suppressedCount()}
}
