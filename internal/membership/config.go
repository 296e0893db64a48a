package membership

import (
	"encoding/base64"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	maxNameBytes  = 128
	maxLabelBytes = 64

	defaultProbeInterval = 200 * time.Millisecond
	minProbeInterval     = 50 * time.Millisecond
	maxProbeInterval     = time.Minute
)

// Config holds a node's identity in its fleet, its addresses and its gossip settings. The file at KeyFile holds one key
// of 16, 24 or 32 bytes per line, in base64: the first encrypts, and all can decrypt.
type Config struct {
	Name, Zone, Version string

	Bind          string        // host:port for datagrams and streams; the host is an IP address
	Advertise     string        // host:port under which others reach this node; if empty, Bind is used
	Join          []string      // host:port of the seeds, from which this node learns of the other members
	Label         string        // name of the fleet; packets with another label are dropped
	KeyFile       string        // path of a file with keys; if empty, packets are not encrypted
	AllowedCIDRs  []string      // networks that members must be in; if empty, any are allowed
	ProbeInterval time.Duration // between two probes sent by this node; 0 means 200 ms

	// OnProbe is called with the round-trip time of each answered probe, from memberlist's probe goroutine, and must not
	// block. It may be nil.
	OnProbe func(roundTrip time.Duration)

	newTransport func() (memberlist.NodeAwareTransport, error) // if nil, UDP and TCP sockets are used
	now          func() time.Time                              // if nil, time.Now is used
}

// Equal reports whether a node can keep its running membership if its configuration changes from c to o. It ignores
// OnProbe, and Version, because a running program's version doesn't change.
func (c Config) Equal(o Config) bool {
	return c.Name == o.Name && c.Zone == o.Zone && c.Bind == o.Bind && c.Advertise == o.Advertise &&
		slices.Equal(c.Join, o.Join) && c.Label == o.Label && c.KeyFile == o.KeyFile &&
		slices.Equal(c.AllowedCIDRs, o.AllowedCIDRs) && c.ProbeInterval == o.ProbeInterval
}

// ConfigError is the error of Config.Validate.
type ConfigError struct {
	Field string // key in the "fleet" section of the node's configuration file
	Err   error  // why the value is invalid
}

// Error returns the field's path in the configuration file and the reason.
func (e *ConfigError) Error() string { return "fleet." + e.Field + ": " + e.Err.Error() }

// Unwrap returns the reason.
func (e *ConfigError) Unwrap() error { return e.Err }

func configErrorf(field, format string, args ...any) error {
	return &ConfigError{Field: field, Err: fmt.Errorf(format, args...)}
}

// Validate returns a *ConfigError for the first field with an invalid value. It reads the key file.
func (c Config) Validate() error {
	if c.Name == "" || len(c.Name) > maxNameBytes {
		return configErrorf("name", "want 1 to %d bytes, got %d", maxNameBytes, len(c.Name))
	}
	if err := c.validateAddresses(); err != nil {
		return err
	}
	if len(c.Label) > maxLabelBytes || strings.ContainsFunc(c.Label, isInvalidLabelRune) {
		return configErrorf("label", "want up to %d letters, digits, dots, dashes and underscores, got %q",
			maxLabelBytes, c.Label)
	}
	if _, err := memberlist.ParseCIDRs(c.AllowedCIDRs); err != nil {
		return configErrorf("allow", "%w", err)
	}
	if c.ProbeInterval != 0 && (c.ProbeInterval < minProbeInterval || c.ProbeInterval > maxProbeInterval) {
		return configErrorf("probe_ms", "want 50 ms to a minute, got %v", c.ProbeInterval)
	}
	_, err := c.keyring()
	return err
}

func (c Config) validateAddresses() error {
	bindIP, _, err := parseAddress(c.Bind)
	if err != nil {
		return configErrorf("bind", "%w", err)
	}
	if c.Advertise != "" {
		if _, _, err := parseAddress(c.Advertise); err != nil {
			return configErrorf("advertise", "%w", err)
		}
	}
	for _, seed := range c.Join {
		if _, _, err := parseAddress(seed); err != nil {
			return configErrorf("join", "%w", err)
		}
	}
	if bindIP.IsUnspecified() && c.Advertise == "" {
		return configErrorf("advertise", "required when bind is an unspecified address")
	}
	return nil
}

func isInvalidLabelRune(r rune) bool {
	isLetterOrDigit := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
	return !isLetterOrDigit && !strings.ContainsRune("._-", r)
}

// parseAddress parses "IP:port". It rejects host names, because gossip must not depend on DNS. Even so,
// net.ResolveUDPAddr looks a host name up before it is rejected.
func parseAddress(address string) (net.IP, int, error) {
	addr, err := net.ResolveUDPAddr("udp", address)
	if err != nil || addr.IP == nil || addr.Port == 0 || net.ParseIP(hostOf(address)) == nil {
		return nil, 0, fmt.Errorf("want an IP address and a port, got %q", address)
	}
	return addr.IP, addr.Port, nil
}

// hostOf returns the host of "host:port", or "" if address has another form.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return ""
	}
	return host
}

var errBadKey = errors.New("want a base64 key of 16, 24 or 32 bytes")

// keyring returns the keys of the key file, or nil if none is configured.
func (c Config) keyring() (*memberlist.Keyring, error) {
	if c.KeyFile == "" {
		return nil, nil
	}
	raw, err := os.ReadFile(c.KeyFile)
	if err != nil {
		return nil, configErrorf("key_file", "%w", err)
	}
	var keys [][]byte
	for i, line := range strings.Split(strings.TrimSpace(string(raw)), "\n") {
		key, err := base64.StdEncoding.DecodeString(strings.TrimSpace(line))
		if err != nil || memberlist.ValidateKey(key) != nil {
			return nil, configErrorf("key_file", "%s:%d: %w", c.KeyFile, i+1, errBadKey)
		}
		keys = append(keys, key)
	}
	ring, err := memberlist.NewKeyring(keys, keys[0])
	if err != nil {
		return nil, configErrorf("key_file", "%w", err)
	}
	return ring, nil
}
