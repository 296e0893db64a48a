// Package config reads a node's configuration file, checks it, and says what a reload of it may change.
//
// The file is JSON (file.go). Sections of their own are those of the fleet (fleet.go), of zones (zones.go) and of the
// list service's scope (internal/node/discovery). Errors are one line and name the field as the file does.
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

// Config is what a node starts with, or goes over to at a reload.
type Config struct {
	Name      string
	Listen    string // host:port of the clients' listener
	Discovery string // host:port of the list service's replicas, which commas separate
	ListFile  string // where the endpoint list is cached on disk; empty for nowhere
	Control   string // host:port of the operators' listener; empty for none
	SharedDir string // a folder that all processes of the node share, for hot restarts; empty for none
	Seed      uint64
	Cores     float64 // processor time that the node may use, in cores
	MemoryMB  int64
	Sockets   int // file descriptors that the node's processes may hold together
	Known     discovery.List
	Settings  policy.Settings
	Scope     string             // the query that the section "scope" adds to calls; empty for the whole list
	Fleet     *membership.Config // the node's part in a fleet; nil for none

	MaxOpen        int           // requests without their answer; 0 for no limit
	ConnectTimeout time.Duration // for a new connection to a server

	// Dial opens connections; nil for the machine's network.
	Dial DialFunc

	keys any // the keys of the file, which the next one has to have too
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Dialer opens connections that come up within the timeout. TCP's keep-alive is off: nothing here depends on it.
func (c Config) Dialer(timeout time.Duration) DialFunc {
	if c.Dial != nil {
		return c.Dial
	}
	return (&net.Dialer{Timeout: timeout, KeepAlive: -1}).DialContext
}

// Load reads the file that ROUTER_CONFIG names. The other variables, where set, override the file.
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
