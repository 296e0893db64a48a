// Package config reads and validates a node's configuration file, and determines what a reload may change.
//
// The file is JSON (file.go). The sections "fleet" (fleet.go), "places" (zones.go) and "scope" (internal/node/discovery)
// are parsed separately. Errors are one line and name the field as in the file.
package config

import (
	"context"
	"fmt"
	"net"
	"time"

	"sloerail/internal/membership"
	"sloerail/internal/node/decode"
	"sloerail/internal/node/discovery"
	"sloerail/policy"
)

// Config is the configuration of a node.
type Config struct {
	Name      string
	Listen    string // host:port of the clients' listener
	Discovery string // host:port of the list service's replicas, separated by commas
	ListFile  string // path of the cached endpoint list; empty for no cache
	Control   string // host:port of the operators' listener; empty for none
	SharedDir string // folder that all processes of the node share, for hot restarts; empty for none
	Seed      uint64
	Cores     float64 // processor time that the node may use, in cores
	MemoryMB  int64
	Sockets   int // file descriptors that the node's processes may hold together
	Known     discovery.List
	Settings  policy.Settings
	Scope     string             // the query that the section "scope" adds to calls of the list service; empty for no scope
	Fleet     *membership.Config // membership in a fleet; nil for none

	DebugLog       bool          // log at debug level what becomes of each request, attempt and client connection
	MaxOpen        int           // maximum number of requests without a response; 0 for no limit
	ConnectTimeout time.Duration // for a new connection to a server

	// Dial opens connections. If it is nil, a net.Dialer is used.
	Dial DialFunc

	keys any // the keys of the file, which a reload must keep
}

// WithoutList returns the configuration without the known list, which only the start of a process uses, and which may be large.
func (c Config) WithoutList() Config {
	c.Known = discovery.List{}
	return c
}

// DebugLogVariable is the environment variable that sets DebugLog unless it is empty.
const DebugLogVariable = "ROUTER_DEBUG_LOG"

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Dialer returns c.Dial or, if c.Dial is nil, the function of a net.Dialer with the timeout. TCP keep-alive of that
// Dialer is off, because nothing depends on it.
func (c Config) Dialer(timeout time.Duration) DialFunc {
	if c.Dial != nil {
		return c.Dial
	}
	return (&net.Dialer{Timeout: timeout, KeepAlive: -1}).DialContext
}

// Load reads the file that ROUTER_CONFIG names. The other environment variables override the file where they are set.
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
	c.DebugLog = getenv(DebugLogVariable) != ""
	if c.Fleet != nil {
		c.Fleet.Name = c.Name
	}
	if err := c.checkAddresses(); err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	return c, nil
}

func (c Config) checkAddresses() error {
	if err := decode.CheckAddress(c.Listen); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if err := decode.CheckAddresses(c.Discovery); err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	if c.Control == "" {
		return nil
	}
	if err := decode.CheckAddress(c.Control); err != nil {
		return fmt.Errorf("control: %w", err)
	}
	return nil
}
