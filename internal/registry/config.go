package registry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pelletier/go-toml/v2"
)

// Config is a replica's file.
type Config struct {
	ID              string            `toml:"id"`
	ListenAddress   string            `toml:"listen"`  // for nodes, agents and operators
	RaftAddress     string            `toml:"raft"`    // for the other replicas, as they reach it
	RaftBindAddress string            `toml:"bind"`    // where that is bound; empty for raft
	AdminAddress    string            `toml:"control"` // health and figures; empty for none
	DataDir         string            `toml:"folder"`
	MaxWatches      int               `toml:"watches"` // held at a time; 0 for 4,096
	InitialReplicas map[string]string `toml:"peers"`   // id and raft of the first replicas; empty for one that is added later
}

// DefaultConfig is a single replica on this machine.
func DefaultConfig() Config {
	return Config{ID: "r0", ListenAddress: "127.0.0.1:8500", RaftAddress: "127.0.0.1:8501", AdminAddress: "127.0.0.1:8502",
		DataDir: "registry-r0", InitialReplicas: map[string]string{"r0": "127.0.0.1:8501"}}
}

// LoadConfig reads a file, strictly.
func LoadConfig(path string) (Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Config{}, err
	}
	var c Config
	d := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		var strict *toml.StrictMissingError
		var bad *toml.DecodeError
		switch {
		case errors.As(err, &strict) && len(strict.Errors) > 0:
			row, _ := strict.Errors[0].Position()
			return c, fmt.Errorf("%s:%d: unknown key %v", path, row, strict.Errors[0].Key())
		case errors.As(err, &bad):
			row, _ := bad.Position()
			return c, fmt.Errorf("%s:%d: %v: %w", path, row, bad.Key(), err)
		}
		return c, fmt.Errorf("%s: %w", path, err)
	}
	if err := c.Validate(); err != nil {
		return c, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// Validate says which key can't be used.
func (c Config) Validate() error {
	if c.ID == "" || len(c.ID) > maxFieldBytes {
		return errors.New("id: missing or too long")
	}
	if c.DataDir == "" {
		return errors.New("folder: missing")
	}
	if c.MaxWatches < 0 || c.MaxWatches > 100_000 {
		return fmt.Errorf("watches: want 0 to 100000, got %d", c.MaxWatches)
	}
	for key, addr := range map[string]string{"listen": c.ListenAddress, "raft": c.RaftAddress, "control": c.AdminAddress} {
		if _, _, err := net.SplitHostPort(addr); err != nil && (key != "control" || addr != "") {
			return fmt.Errorf("%s: want host:port, got %q", key, addr)
		}
	}
	if len(c.InitialReplicas) > 0 && c.InitialReplicas[c.ID] != c.RaftAddress {
		return fmt.Errorf("peers.%s: want this replica's raft, %q, got %q", c.ID, c.RaftAddress, c.InitialReplicas[c.ID])
	}
	if n := len(c.InitialReplicas); n > 0 && n%2 == 0 {
		return fmt.Errorf("peers: want an odd number, got %d", n)
	}
	return nil
}

// Serve runs a replica until ctx ends. A folder that is a copy of an older one begins a new epoch.
func Serve(ctx context.Context, c Config, newEpoch bool) error {
	r, err := Open(ReplicaConfig{ID: c.ID, RaftAddress: c.RaftAddress, RaftBindAddress: c.RaftBindAddress, APIAddress: c.ListenAddress, DataDir: c.DataDir, InitialReplicas: c.InitialReplicas, NewEpoch: newEpoch})
	if err != nil {
		return err
	}
	s := NewServer(r, ServerConfig{MaxWatches: c.MaxWatches})
	ctx, stop := context.WithCancel(ctx)
	failed := make(chan error, 2)
	running := 1
	go func() { failed <- Run(ctx, s.HTTP(), c.ListenAddress) }()
	if c.AdminAddress != "" {
		running++
		go func() {
			failed <- Run(ctx, &http.Server{Handler: s.control(), ReadHeaderTimeout: readTime}, c.AdminAddress)
		}()
	}
	slog.Info("registry: a replica", "id", c.ID, "listen", c.ListenAddress, "raft", c.RaftAddress, "folder", c.DataDir)
	first := <-failed // nil once ctx ends
	stop()
	for range running - 1 {
		<-failed
	}
	return errors.Join(first, r.Close())
}

// control answers operators: health, and the figures.
func (s *Server) control() http.Handler {
	set := metrics.NewSet()
	for name, of := range map[string]func(Status) float64{
		"registry_instances":                 func(v Status) float64 { return float64(v.Instances) },
		"registry_revision":                  func(v Status) float64 { return float64(v.Revision) },
		"registry_age_seconds":               func(v Status) float64 { return float64(v.AgeMs) / 1000 },
		"registry_watches":                   func(v Status) float64 { return float64(v.Watches) },
		"registry_lists_total":               func(v Status) float64 { return float64(v.Lists) },
		"registry_writes_total":              func(v Status) float64 { return float64(v.Writes) },
		"registry_calls_turned_away_total":   func(v Status) float64 { return float64(v.CallsRejected) },
		"registry_calls_refused_stale_total": func(v Status) float64 { return float64(v.CallsRejectedStale) },
		"registry_leases_held":               func(v Status) float64 { return truth(v.ExpirySuspended) },
		"registry_leader":                    func(v Status) float64 { return truth(v.Leader == v.ID) },
	} {
		set.NewGauge(name, func() float64 {
			v, _ := s.Status()
			return of(v)
		})
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthcheck", func(w http.ResponseWriter, _ *http.Request) {
		if age, ok := s.r.Age(); !ok || age > s.c.MaxAge {
			http.Error(w, "this replica can't tell that its list is fresh", http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		set.WritePrometheus(w)
	})
	return mux
}

func truth(v bool) float64 {
	if v {
		return 1
	}
	return 0
}
