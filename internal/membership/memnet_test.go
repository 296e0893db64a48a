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

// memNet is a network in memory, for virtual time: datagrams take a while and may be lost, streams may not
// come up, and sides may be cut off from each other.
type memNet struct {
	mu    sync.Mutex
	rng   *rand.Rand
	loss  float64
	nodes map[string]*memTransport // by address
	side  map[string]int           // by address
}

const memLatency = time.Millisecond

func newMemNet(seed uint64) *memNet {
	return &memNet{rng: rand.New(rand.NewPCG(seed, 7)), nodes: make(map[string]*memTransport), side: make(map[string]int)}
}

func memAddress(i int) string { return fmt.Sprintf("10.0.%d.%d:7946", i/250, 1+i%250) }

// reaches tells whether something gets from one address to another.
func (n *memNet) reaches(from, to string) *memTransport {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.side[from] != n.side[to] || n.rng.Float64() < n.loss {
		return nil
	}
	return n.nodes[to]
}

func (n *memNet) set(do func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	do()
}

// memTransport is one member's end.
type memTransport struct {
	net     *memNet
	at      string
	stats   *stats
	packets chan *memberlist.Packet
	streams chan net.Conn
	ended   chan struct{}
	once    sync.Once
}

// transport makes the end at an address.
func (n *memNet) transport(at string, s *stats) *memTransport {
	t := &memTransport{net: n, at: at, stats: s, packets: make(chan *memberlist.Packet, 256),
		streams: make(chan net.Conn, 64), ended: make(chan struct{})}
	n.set(func() { n.nodes[at] = t })
	return t
}

func (t *memTransport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	ip, port, err := splitAddress(t.at)
	return ip.To4(), port, err
}

func (t *memTransport) WriteTo(b []byte, addr string) (time.Time, error) {
	t.stats.path.send(b, func(b []byte) { t.write(b, addr) })
	return time.Now(), nil
}

func (t *memTransport) write(b []byte, addr string) {
	t.stats.sent.Add(uint64(len(b)))
	to := t.net.reaches(t.at, addr)
	if to == nil {
		return
	}
	from, _ := net.ResolveUDPAddr("udp", t.at)
	p := &memberlist.Packet{Buf: append([]byte(nil), b...), From: from}
	time.AfterFunc(memLatency, func() {
		p.Timestamp = time.Now()
		select {
		case to.packets <- p:
		case <-to.ended:
		default: // a full socket buffer
		}
	})
}

func (t *memTransport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return t.WriteTo(b, a.Addr)
}

func (t *memTransport) PacketCh() <-chan *memberlist.Packet { return t.packets }
func (t *memTransport) StreamCh() <-chan net.Conn           { return t.streams }

var errNoWay = errors.New("no way there")

func (t *memTransport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	to := t.net.reaches(t.at, addr)
	if to == nil || t.net.reaches(addr, t.at) == nil {
		time.Sleep(timeout)
		return nil, errNoWay
	}
	select {
	case <-to.ended:
		return nil, errNoWay
	default:
	}
	time.Sleep(2 * memLatency)
	mine, theirs := net.Pipe()
	select {
	case to.streams <- countedConn{theirs, to.stats}:
		return countedConn{mine, t.stats}, nil
	default:
		return nil, errNoWay
	}
}

func (t *memTransport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(a.Addr, timeout)
}

func (t *memTransport) Shutdown() error {
	t.once.Do(func() {
		close(t.ended)
		t.net.set(func() {
			if t.net.nodes[t.at] == t {
				delete(t.net.nodes, t.at)
			}
		})
	})
	return nil
}
