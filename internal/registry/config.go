package registry

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"

	"github.com/pelletier/go-toml/v2"
)

// maxWatchesLimit is the upper bound of Config.MaxWatches.
const maxWatchesLimit = 100_000

// Config is the configuration file of a replica. The addresses are host:port.
type Config struct {
	ID              string            `toml:"id"`
	ListenAddress   string            `toml:"listen"`  // for nodes, agents and operators
	RaftAddress     string            `toml:"raft"`    // at which the other replicas reach this one
	RaftBindAddress string            `toml:"bind"`    // to listen on for the other replicas; if empty, RaftAddress is used
	AdminAddress    string            `toml:"control"` // for health and metrics; if empty, neither is served
	DataDir         string            `toml:"folder"`
	MaxWatches      int               `toml:"watches"` // maximum number of concurrent watches; 0 means 4,096
	InitialReplicas map[string]string `toml:"peers"`   // initial RaftAddresses by ID; empty if this replica is added later
}

// DefaultConfig returns the configuration of a single replica on this machine.
func DefaultConfig() Config {
	return Config{ID: "r0", ListenAddress: "127.0.0.1:8500", RaftAddress: "127.0.0.1:8501", AdminAddress: "127.0.0.1:8502",
		DataDir: "registry-r0", InitialReplicas: map[string]string{"r0": "127.0.0.1:8501"}}
}

// LoadConfig reads a TOML file and rejects unknown keys. Errors name the file and, where known, the line and the key.
func LoadConfig(path string) (Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Config{}, err
	}
	var c Config
	if err := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields().Decode(&c); err != nil {
		return c, decodeError(path, err)
	}
	if err := c.Validate(); err != nil {
		return c, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// decodeError adds the file, and the line and the key where they are known, to an error of the TOML decoder.
func decodeError(path string, err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		row, _ := unknown.Errors[0].Position()
		return fmt.Errorf("%s:%d: unknown key %v", path, row, unknown.Errors[0].Key())
	}
	var invalid *toml.DecodeError
	if errors.As(err, &invalid) {
		row, _ := invalid.Position()
		return fmt.Errorf("%s:%d: %v: %w", path, row, invalid.Key(), err)
	}
	return fmt.Errorf("%s: %w", path, err)
}

// Validate returns a *FieldError for the first key that is invalid.
func (c Config) Validate() error {
	if c.ID == "" || len(c.ID) > maxFieldBytes {
		return invalidField("id", "missing or too long")
	}
	if c.DataDir == "" {
		return invalidField("folder", "missing")
	}
	if c.MaxWatches < 0 || c.MaxWatches > maxWatchesLimit {
		return invalidField("watches", "want 0 to %d, got %d", maxWatchesLimit, c.MaxWatches)
	}
	for _, key := range []struct {
		name, address string
		optional      bool
	}{{"listen", c.ListenAddress, false}, {"raft", c.RaftAddress, false}, {"control", c.AdminAddress, true}} {
		if key.optional && key.address == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(key.address); err != nil {
			return invalidField(key.name, "want host:port, got %q", key.address)
		}
	}
	return c.validateInitialReplicas()
}

func (c Config) validateInitialReplicas() error {
	count := len(c.InitialReplicas)
	if count == 0 {
		return nil
	}
	if c.InitialReplicas[c.ID] != c.RaftAddress {
		return invalidField("peers."+c.ID, "want the address in raft, %q, got %q", c.RaftAddress, c.InitialReplicas[c.ID])
	}
	if count%2 == 0 {
		return invalidField("peers", "want an odd number of replicas, got %d", count)
	}
	return nil
}
