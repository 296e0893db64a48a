package registry

import (
	"cmp"
	"io"
	"log/slog"
	"net"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
)

const (
	replicaCallTimeout    = time.Second // for a call between replicas
	maxPooledReplicaConns = 3           // per replica
)

// streamLayer accepts and opens raft's connections. Those that it opens have the bound IP address as their source, unless
// that is unspecified, so that other replicas can tell which replica calls.
type streamLayer struct {
	net.Listener
	localIP   net.IP
	advertise net.Addr
}

func listenStreams(bind, advertise string) (*streamLayer, error) {
	advertised, err := net.ResolveTCPAddr("tcp", advertise)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", bind)
	if err != nil {
		return nil, err
	}
	return &streamLayer{Listener: listener, localIP: listener.Addr().(*net.TCPAddr).IP, advertise: advertised}, nil
}

// Addr returns the address at which other replicas reach this one.
func (s *streamLayer) Addr() net.Addr { return s.advertise }

// Dial opens a connection to another replica.
func (s *streamLayer) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout}
	if !s.localIP.IsUnspecified() {
		dialer.LocalAddr = &net.TCPAddr{IP: s.localIP}
	}
	return dialer.Dial("tcp", string(address))
}

// newTransport listens for connections from the other replicas.
func newTransport(c ReplicaConfig, logger hclog.Logger) (*raft.NetworkTransport, error) {
	streams, err := listenStreams(cmp.Or(c.RaftBindAddress, c.RaftAddress), c.RaftAddress)
	if err != nil {
		return nil, err
	}
	return raft.NewNetworkTransportWithLogger(streams, maxPooledReplicaConns, replicaCallTimeout, logger), nil
}

// newRaftLogger forwards raft's warnings and errors to the program's log.
func newRaftLogger() hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Output: raftLogWriter{}, Level: hclog.Warn, DisableTime: true})
}

type raftLogWriter struct{}

var _ io.Writer = raftLogWriter{}

// Write logs one line.
func (raftLogWriter) Write(line []byte) (int, error) {
	slog.Warn("registry: raft", "message", string(line[:max(0, len(line)-1)]))
	return len(line), nil
}
