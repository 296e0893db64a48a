package node

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	gossip "sloerail/internal/membership"

	"sloerail/internal/node/config"
)

const fleetPath = "/fleet"

// fleetState is the balancer's view of the fleet.
type fleetState struct {
	quotaNodes, reachable int
	partitioned           bool
}

// followFleet sends the loop two counts of each view until ctx ends: the nodes present, and those of them in this node's
// zone.
func (l *loop) followFleet(ctx context.Context, views <-chan gossip.View) {
	for {
		select {
		case v := <-views:
			l.send(fleetSizeChanged{v.PresentCount(), v.PresentInZone()})
		case <-ctx.Done():
			return
		}
	}
}

// membership is this process's membership in the fleet. It also reports the fleet's state to operators. A node that is
// in no fleet has no membership.
type membership struct {
	*gossip.Agent
	loop *loop
}

// runAsMember runs the gossip agent until ctx ends. During a hot restart, the predecessor is the member while it accepts
// clients, so runAsMember first waits for soleListener: this process alone then accepts clients. If runCtx ends before
// that, the agent is not run.
func (m *membership) runAsMember(ctx, runCtx context.Context, soleListener <-chan struct{}) {
	select {
	case <-soleListener:
		m.Run(ctx)
	case <-runCtx.Done():
	}
}

// FleetView is the response at /fleet: one node's view of the fleet. QuotaNodes and Partitioned come from its balancer.
type FleetView struct {
	Node        string        `json:"node"`
	View        uint64        `json:"view"`
	QuotaNodes  int           `json:"agreed"` // nodes that quotas are divided by
	Reachable   int           `json:"heard"`
	Partitioned bool          `json:"cut_off"`
	Superseded  bool          `json:"superseded"`
	SentBytes   uint64        `json:"sent_bytes"`
	HeardBytes  uint64        `json:"received_bytes"`
	Refuted     uint64        `json:"suspicions_refuted"`
	Conflicts   uint64        `json:"conflicts"`
	LinesQuiet  uint64        `json:"log_lines_quieted"`
	Members     []FleetMember `json:"members"`
	GeneratedAt time.Time     `json:"at"`
}

// FleetMember is a node in a FleetView.
type FleetMember struct {
	Name        string       `json:"name"`
	Address     string       `json:"address"`
	Zone        string       `json:"zone"`
	Version     string       `json:"version"`
	Incarnation uint64       `json:"incarnation"`
	State       gossip.State `json:"state"`
	SinceMs     int64        `json:"since_ms"` // time in this state
}

// serve writes the node's FleetView.
func (m membership) serve(w http.ResponseWriter, _ *http.Request) {
	view, stats, now := m.View(), m.Stats(), time.Now()
	state, _ := query(m.loop, func(reply chan<- fleetState) event { return fleetStateRequest{reply} })
	out := FleetView{Node: view.Self, View: view.Revision, QuotaNodes: state.quotaNodes, Reachable: view.PresentCount(),
		Partitioned: state.partitioned, Superseded: view.Superseded, SentBytes: stats.SentBytes,
		HeardBytes: stats.ReceivedBytes, Refuted: stats.RefutedSuspicions, Conflicts: stats.NameConflicts,
		LinesQuiet: stats.SuppressedLogLines, Members: []FleetMember{}, GeneratedAt: now}
	for _, member := range view.Members {
		out.Members = append(out.Members, FleetMember{member.Name, member.Address, member.Zone, member.Version,
			member.Incarnation, member.State, now.Sub(member.Since).Milliseconds()})
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(out); err != nil {
		slog.Debug("writing the response at "+fleetPath+" failed", "error", err)
	}
}

// registerMetrics adds the fleet's metrics to the node's.
func (m membership) registerMetrics(f *nodeMetrics) {
	for _, s := range []gossip.State{gossip.Alive, gossip.Suspect, gossip.Left, gossip.Dead} {
		f.set.NewGauge(fmt.Sprintf("app_fleet_members{state=%q}", s), func() float64 {
			n := 0
			for _, member := range m.View().Members {
				if member.State == s {
					n++
				}
			}
			return float64(n)
		})
	}
	for name, value := range map[string]func(gossip.Stats) uint64{
		"app_fleet_sent_bytes_total":         func(s gossip.Stats) uint64 { return s.SentBytes },
		"app_fleet_received_bytes_total":     func(s gossip.Stats) uint64 { return s.ReceivedBytes },
		"app_fleet_view_changes_total":       func(s gossip.Stats) uint64 { return s.ViewChanges },
		"app_fleet_suspicions_refuted_total": func(s gossip.Stats) uint64 { return s.RefutedSuspicions },
		"app_fleet_name_conflicts_total":     func(s gossip.Stats) uint64 { return s.NameConflicts },
		"app_fleet_log_lines_quieted_total":  func(s gossip.Stats) uint64 { return s.SuppressedLogLines },
	} {
		f.set.NewGauge(name, func() float64 { return float64(value(m.Stats())) })
	}
	for name, value := range map[string]func(fleetState) float64{
		"app_fleet_agreed": func(s fleetState) float64 { return float64(s.quotaNodes) },
		"app_fleet_cut_off": func(s fleetState) float64 {
			if s.partitioned {
				return 1
			}
			return 0
		},
	} {
		f.set.NewGauge(name, func() float64 {
			s, _ := query(m.loop, func(reply chan<- fleetState) event { return fleetStateRequest{reply} })
			return value(s)
		})
	}
}

// joinFleet creates the node's membership in its fleet. It returns nil if the configuration has no fleet.
func (l *loop) joinFleet(c config.Config) (*membership, error) {
	if c.Fleet == nil {
		return nil, nil
	}
	probeTimes := l.metrics.set.NewHistogram("app_fleet_probe_seconds")
	c.Fleet.OnProbe = func(took time.Duration) { probeTimes.Update(took.Seconds()) }
	agent, err := gossip.New(*c.Fleet)
	if err != nil {
		return nil, err
	}
	m := &membership{agent, l}
	m.registerMetrics(l.metrics)
	return m, nil
}

// Present returns the names of the alive and suspect members, in the order of Members.
func (v FleetView) Present() (names []string) {
	for _, m := range v.Members {
		if m.State == gossip.Alive || m.State == gossip.Suspect {
			names = append(names, m.Name)
		}
	}
	return names
}
