package membership

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// memNetwork is an in-memory network for virtual time. Datagrams take memLatency and may be lost, streams may fail to
// connect, and members in different partitions can't reach each other.
type memNetwork struct {
	mu        sync.Mutex
	rng       *rand.Rand
	loss      float64
	nodes     map[string]*memTransport // by address
	partition map[string]int           // by address
}

const memLatency = time.Millisecond

func newMemNetwork(seed uint64) *memNetwork {
	return &memNetwork{rng: rand.New(rand.NewPCG(seed, 7)), nodes: make(map[string]*memTransport), partition: make(map[string]int)}
}

func memAddress(i int) string { return fmt.Sprintf("10.0.%d.%d:7946", i/250, 1+i%250) }

// route returns the transport at an address, or nil if the datagram or stream is lost or no transport is there.
func (n *memNetwork) route(from, to string) *memTransport {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.partition[from] != n.partition[to] || n.rng.Float64() < n.loss {
		return nil
	}
	return n.nodes[to]
}

// setLoss sets the fraction of datagrams and stream connects that are lost.
func (n *memNetwork) setLoss(loss float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss = loss
}

// setPartition moves members to a partition; no traffic passes between partitions.
func (n *memNetwork) setPartition(partition int, members ...int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, i := range members {
		n.partition[memAddress(i)] = partition
	}
}

func (n *memNetwork) add(t *memTransport) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[t.address] = t
}

// remove removes t unless another transport has taken over its address.
func (n *memNetwork) remove(t *memTransport) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.nodes[t.address] == t {
		delete(n.nodes, t.address)
	}
}

// memTransport is the transport of one member on a memNetwork.
type memTransport struct {
	network *memNetwork
	address string
	stats   *networkStats
	packets chan *memberlist.Packet
	streams chan net.Conn
	closing chan struct{}
	once    sync.Once
}

func (n *memNetwork) newTransport(address string, stats *networkStats) *memTransport {
	t := &memTransport{network: n, address: address, stats: stats, packets: make(chan *memberlist.Packet, 256),
		streams: make(chan net.Conn, 64), closing: make(chan struct{})}
	n.add(t)
	return t
}

func (t *memTransport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	ip, port, err := parseAddress(t.address)
	return ip.To4(), port, err
}

func (t *memTransport) WriteTo(b []byte, address string) (time.Time, error) {
	t.stats.probeLoss.send(b, func(b []byte) { t.write(b, address) })
	return time.Now(), nil
}

func (t *memTransport) write(b []byte, address string) {
	t.stats.sentBytes.Add(uint64(len(b)))
	to := t.network.route(t.address, address)
	if to == nil {
		return
	}
	from, _ := net.ResolveUDPAddr("udp", t.address) // no error: memAddress created the address
	p := &memberlist.Packet{Buf: append([]byte(nil), b...), From: from}
	time.AfterFunc(memLatency, func() {
		p.Timestamp = time.Now()
		select {
		case to.packets <- p:
		case <-to.closing:
		default: // the datagram is dropped, as by a full socket buffer
		}
	})
}

func (t *memTransport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return t.WriteTo(b, a.Addr)
}

func (t *memTransport) PacketCh() <-chan *memberlist.Packet { return t.packets }
func (t *memTransport) StreamCh() <-chan net.Conn           { return t.streams }

var errUnreachable = errors.New("address is unreachable")

func (t *memTransport) DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	to := t.network.route(t.address, address)
	if to == nil || t.network.route(address, t.address) == nil {
		time.Sleep(timeout)
		return nil, errUnreachable
	}
	select {
	case <-to.closing:
		return nil, errUnreachable
	default:
	}
	time.Sleep(2 * memLatency)
	near, far := net.Pipe()
	select {
	case to.streams <- countedConn{far, to.stats}:
		return countedConn{near, t.stats}, nil
	default:
		return nil, errUnreachable
	}
}

func (t *memTransport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(a.Addr, timeout)
}

func (t *memTransport) Shutdown() error {
	t.once.Do(func() {
		close(t.closing)
		t.network.remove(t)
	})
	return nil
}
