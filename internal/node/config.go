// Package node puts the decision module on real sockets. It decides nothing: events go in to a
// policy.Balancer, and the actions that come out are carried out.
package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"strconv"
	"time"

	gossip "sloerail/internal/membership"
	"sloerail/internal/node/decode"
	"sloerail/internal/node/discovery"
	"sloerail/internal/simwire"
	"sloerail/policy"
)

// Config is all that a node is told at its start.
type Config struct {
	Name      string
	Listen    string // the only address to listen on
	Discovery string // of the list service; commas part the addresses of its replicas
	ListFile  string // where the list is kept for a start with no list service; empty for none
	Control   string // the operators' address; empty for none
	SharedDir string // a folder that all processes of this node share; empty for none
	Seed      uint64
	Cores     float64
	MemoryMB  int64
	Sockets   int
	Known     discovery.List // the servers as this node last had them, perhaps stale
	Settings  policy.Settings
	Scope     string         // what the section "scope" adds to calls for the list; empty for the whole list
	Fleet     *gossip.Config // this node's part in a fleet; nil for none

	// Figures of the settings that bind the node and not the module.
	MaxOpen        int           // unanswered requests; 0: no limit
	ConnectTimeout time.Duration // for a new connection to a server

	keys any      // the keys of the file
	Dial DialFunc // nil for the machine's network
}

type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Dialer opens connections that come up within a time. TCP's own keep-alive notices nothing here.
func (c Config) Dialer(timeout time.Duration) DialFunc {
	if c.Dial != nil {
		return c.Dial
	}
	return (&net.Dialer{Timeout: timeout, KeepAlive: -1}).DialContext
}

// discoveryTarget is what the configuration says of the list service.
func (c Config) discoveryTarget() discovery.Target {
	return discovery.NewTarget(c.Discovery, c.Scope, c.Settings)
}

// discoveryConfig is that of the client of the list service.
func (c Config) discoveryConfig() discovery.ClientConfig {
	return discovery.ClientConfig{Target: c.discoveryTarget(), CacheFile: c.ListFile, Known: c.Known, Seed: c.Seed,
		Dial: c.Dialer(discovery.MaxQueueTime)}
}

// MinSockets is what a node can work with at all: a few for itself, and some for each side.
const MinSockets = 64

// defaultConnectTimeout stands in where the settings name none.
const defaultConnectTimeout = 250 * time.Millisecond

// Load reads the file that ROUTER_CONFIG names. The other variables, where set, go before what
// the file says. Errors name the field.
func Load(getenv func(string) string) (Config, error) {
	c, err := readFile(getenv, nil)
	if err != nil {
		return Config{}, err
	}
	for name, field := range map[string]*string{
		"ROUTER_NAME": &c.Name, "ROUTER_LISTEN": &c.Listen, "ROUTER_DISCOVERY": &c.Discovery,
		"ROUTER_CONTROL": &c.Control, "TMPDIR": &c.SharedDir,
	} {
		if v := getenv(name); v != "" {
			*field = v
		}
	}
	if c.Fleet != nil {
		c.Fleet.Name = c.Name
	}
	if err := decode.CheckAddress(c.Listen); err != nil {
		return Config{}, fmt.Errorf("configuration: listen: %w", err)
	}
	if err := decode.CheckAddresses(c.Discovery); err != nil {
		return Config{}, fmt.Errorf("configuration: discovery: %w", err)
	}
	if c.Control != "" {
		if err := decode.CheckAddress(c.Control); err != nil {
			return Config{}, fmt.Errorf("configuration: control: %w", err)
		}
	}
	return c, nil
}

// readFile reads the file that ROUTER_CONFIG names. It has to have the keys that the one before had.
func readFile(getenv func(string) string, before any) (Config, error) {
	path := getenv("ROUTER_CONFIG")
	if path == "" {
		return Config{}, errors.New("ROUTER_CONFIG: not set")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("ROUTER_CONFIG: %w", err)
	}
	keys, err := keysOf(raw)
	if err == nil {
		err = checkKeys("", before, keys)
	}
	if err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	c, err := Parse(raw)
	if err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	c.keys = keys
	return c, nil
}

func Parse(raw []byte) (Config, error) {
	var f struct {
		Name      string `json:"name"`
		Listen    string `json:"listen"`
		Discovery string `json:"discovery"`
		ListFile  string `json:"list_file"`
		Control   string `json:"control"`
		Seed      string `json:"seed"`
		Limits    struct {
			Cores    float64 `json:"cores"`
			MemoryMB float64 `json:"memory_mb"`
			Sockets  int     `json:"sockets"`
		} `json:"limits"`
		Known    json.RawMessage `json:"known"`
		Settings json.RawMessage `json:"settings"`
		Fleet    json.RawMessage `json:"fleet"`
		Places   json.RawMessage `json:"places"`
		Scope    json.RawMessage `json:"scope"`
		Ease     bool            `json:"ease_lists"`
	}
	if err := decode.JSON(raw, &f); err != nil {
		return Config{}, err
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return Config{}, fmt.Errorf("seed: want up to 16 hexadecimal digits, got %q", f.Seed)
	}
	switch l := f.Limits; {
	case !(l.Cores > 0) || l.Cores > 1024:
		return Config{}, fmt.Errorf("limits.cores: want more than 0, got %v", l.Cores)
	case !(l.MemoryMB >= 1) || l.MemoryMB > math.MaxInt32:
		return Config{}, fmt.Errorf("limits.memory_mb: want 1 or more, got %v", l.MemoryMB)
	case l.Sockets < MinSockets:
		return Config{}, fmt.Errorf("limits.sockets: want %d or more, got %d", MinSockets, l.Sockets)
	}
	c := Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, ListFile: f.ListFile, Control: f.Control, Seed: seed,
		Cores: f.Limits.Cores, MemoryMB: int64(f.Limits.MemoryMB), Sockets: f.Limits.Sockets}
	for name, field := range map[string]json.RawMessage{"known": f.Known, "settings": f.Settings} {
		if len(field) == 0 {
			return Config{}, fmt.Errorf("%s: missing", name)
		}
	}
	if c.Known, err = discovery.ParseList(f.Known); err != nil {
		return Config{}, fmt.Errorf("known: %w", err)
	}
	if c.Settings, err = simwire.ParseSettings(f.Settings); err != nil {
		return Config{}, fmt.Errorf("settings.%w", err)
	}
	c.Settings.RetainMissing = f.Ease
	if len(f.Places) > 0 {
		if err := parseZones(f.Places, &c.Settings); err != nil {
			return Config{}, err
		}
	}
	if _, err := policy.New(c.Settings, 0, 0); err != nil { // the module checks what it is given
		return Config{}, fmt.Errorf("settings: %w", err)
	}
	if err := nodeLimits(f.Settings, &c); err != nil {
		return Config{}, err
	}
	if len(f.Scope) > 0 {
		if c.Scope, err = discovery.ParseScope(f.Scope, c.Settings); err != nil {
			return Config{}, err
		}
	}
	if len(f.Fleet) > 0 {
		c.Fleet, err = parseFleet(f.Fleet, c)
	}
	return c, err
}

// nodeLimits reads those settings that the module leaves to its host.
func nodeLimits(settings []byte, c *Config) error {
	var s struct {
		Limits struct {
			MaxOpen        float64 `json:"maxOpen"`
			ConnectTimeout float64 `json:"connectTimeout"`
		} `json:"limits"`
	}
	if err := decode.JSON(settings, &s); err != nil {
		return fmt.Errorf("settings.%w", err)
	}
	switch l := s.Limits; {
	case l.MaxOpen < 0 || l.MaxOpen > math.MaxInt32:
		return fmt.Errorf("settings.limits.maxOpen: want 0 or more, got %v", l.MaxOpen)
	case l.ConnectTimeout < 0 || l.ConnectTimeout > math.MaxInt32:
		return fmt.Errorf("settings.limits.connectTimeout: want 0 or more, got %v", l.ConnectTimeout)
	}
	c.MaxOpen, c.ConnectTimeout = int(s.Limits.MaxOpen), millis(s.Limits.ConnectTimeout)
	if c.ConnectTimeout == 0 {
		c.ConnectTimeout = defaultConnectTimeout
	}
	return nil
}

// ownSockets is how many descriptors belong to neither side.
func (c Config) ownSockets() int {
	n := ownSockets
	if c.Control != "" {
		n += controlSockets
	}
	if c.Fleet != nil {
		n += gossip.MaxDescriptors
	}
	return n
}

// ownSocketsShared is the same for each of two processes that share the node's descriptors for a while. What is set
// aside for moments when counts are off, and for many callers at the second address, is set aside once.
func (c Config) ownSocketsShared() int {
	n := ownSocketsWhileShared
	if c.Control != "" {
		n += controlSockets / 2
	}
	if c.Fleet != nil { // one of the two is the member
		n += gossip.MaxDescriptors / 2
	}
	return n
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
