package membership

import (
	"cmp"
	"errors"
	"time"

	"github.com/hashicorp/memberlist"
)

// Parameters of SWIM and Lifeguard. Together they let probes tolerate a round trip, a pause of a third of a second and
// lost datagrams. A failure is known within two seconds.
const (
	directProbeDivisor = 2 // a direct probe times out after probe interval / this; indirect probes use the rest

	gossipInterval     = 100 * time.Millisecond // between gossip rounds while there are updates to send
	gossipFanout       = 3                      // members that receive the updates in each round
	gossipToDeadPeriod = time.Minute            // how long a dead member still receives updates, to refute its death

	suspicionMultiplier           = 4 // minimum timeout: this * max(1, log10(members)) probe intervals
	suspicionMaxTimeoutMultiplier = 5 // maximum timeout, while no member confirms: this * the minimum
	retransmitMultiplier          = 6 // an update is sent this * log10(members+1) times, the logarithm rounded up

	pushPullInterval    = 2 * time.Minute // longer in large fleets; exchangeSchedule adds exchanges after changes
	streamTimeout       = time.Second     // for connecting, and for sending or receiving a message
	deadNodeReclaimTime = time.Second     // after a death, before another address may use the name
)

// startMemberlist binds the addresses and starts memberlist, which doesn't know any other member yet.
func (a *Agent) startMemberlist() (*memberlist.Memberlist, error) {
	config, err := a.memberlistConfig()
	if err != nil {
		return nil, err
	}
	transport, err := a.config.newTransport()
	if err != nil {
		return nil, err
	}
	config.Transport = transport
	list, err := memberlist.Create(config)
	if err != nil {
		return nil, errors.Join(err, transport.Shutdown())
	}
	return list, nil
}

// memberlistConfig returns memberlist's configuration without a transport.
func (a *Agent) memberlistConfig() (*memberlist.Config, error) {
	keyring, err := a.config.keyring()
	if err != nil {
		return nil, err
	}
	allowed, err := memberlist.ParseCIDRs(a.config.AllowedCIDRs)
	if err != nil {
		return nil, configErrorf("allow", "%w", err)
	}
	c := memberlist.DefaultLANConfig()
	c.Name = a.config.Name
	c.Label = a.config.Label
	c.Keyring = keyring
	c.CIDRsAllowed = allowed
	c.BindAddr, c.BindPort = hostOf(a.config.Bind), 0 // the transport binds

	c.ProbeInterval = cmp.Or(a.config.ProbeInterval, defaultProbeInterval)
	c.ProbeTimeout = c.ProbeInterval / directProbeDivisor
	c.SuspicionMult = suspicionMultiplier
	c.SuspicionMaxTimeoutMult = suspicionMaxTimeoutMultiplier
	c.GossipInterval = gossipInterval
	c.GossipNodes = gossipFanout
	c.GossipToTheDeadTime = gossipToDeadPeriod
	c.RetransmitMult = retransmitMultiplier
	c.PushPullInterval = pushPullInterval
	c.TCPTimeout = streamTimeout
	c.DeadNodeReclaimTime = deadNodeReclaimTime
	c.EnableCompression = false // its CPU time costs more than the bytes it saves on the fleet's network

	c.Logger = (&memberlistLog{limited: a.log, onEvent: a.handleLogEvent}).logger()
	d := delegate{a}
	c.Delegate, c.Events, c.Alive, c.Conflict, c.Ping = d, d, d, d, d
	return c, nil
}
