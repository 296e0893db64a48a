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

// fleetState is what the balancer makes of the fleet.
type fleetState struct {
	quotaNodes, reachable int
	partitioned           bool
}

// followFleet passes on what the fleet looks like, until ctx ends.
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

// membership is this process's part in the fleet, for operators. The zero value is a node of no fleet.
type membership struct {
	*gossip.Agent
	loop *loop
}

// runAsMember takes part in the fleet until ctx ends, from when this process is the only one of the node that accepts
// clients: until then another one is the member.
func (m *membership) runAsMember(ctx, running context.Context, soleListener <-chan struct{}) {
	select {
	case <-soleListener:
		m.Run(ctx)
	case <-running.Done():
	}
}

// FleetView is the answer at /fleet: the fleet as one node sees it, and what that node makes of it.
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

// FleetMember is one node in a view.
type FleetMember struct {
	Name        string       `json:"name"`
	Address     string       `json:"address"`
	Zone        string       `json:"zone"`
	Version     string       `json:"version"`
	Incarnation uint64       `json:"incarnation"`
	State       gossip.State `json:"state"`
	SinceMs     int64        `json:"since_ms"` // how long ago that began
}

// serve answers with the view of this node.
func (m membership) serve(w http.ResponseWriter, _ *http.Request) {
	v, s, now := m.View(), m.Stats(), time.Now()
	f, _ := query(m.loop, func(reply chan<- fleetState) event { return fleetStateRequest{reply} })
	out := FleetView{Node: v.Self, View: v.Revision, QuotaNodes: f.quotaNodes, Reachable: v.PresentCount(), Partitioned: f.partitioned,
		Superseded: v.Superseded, SentBytes: s.SentBytes, HeardBytes: s.ReceivedBytes, Refuted: s.RefutedSuspicions,
		Conflicts: s.NameConflicts, LinesQuiet: s.SuppressedLogLines, Members: []FleetMember{}, GeneratedAt: now}
	for _, one := range v.Members {
		out.Members = append(out.Members, FleetMember{one.Name, one.Address, one.Zone, one.Version, one.Incarnation,
			one.State, now.Sub(one.Since).Milliseconds()})
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(out); err != nil {
		slog.Debug("answering "+fleetPath+" failed", "error", err)
	}
}

// register adds the fleet's figures to the node's.
func (m membership) register(f *figures) {
	for _, s := range []gossip.State{gossip.Alive, gossip.Suspect, gossip.Left, gossip.Dead} {
		f.set.NewGauge(fmt.Sprintf("app_fleet_members{state=%q}", s), func() float64 {
			n := 0
			for _, one := range m.View().Members {
				if one.State == s {
					n++
				}
			}
			return float64(n)
		})
	}
	for name, of := range map[string]func(gossip.Stats) uint64{
		"app_fleet_sent_bytes_total":         func(s gossip.Stats) uint64 { return s.SentBytes },
		"app_fleet_received_bytes_total":     func(s gossip.Stats) uint64 { return s.ReceivedBytes },
		"app_fleet_view_changes_total":       func(s gossip.Stats) uint64 { return s.ViewChanges },
		"app_fleet_suspicions_refuted_total": func(s gossip.Stats) uint64 { return s.RefutedSuspicions },
		"app_fleet_name_conflicts_total":     func(s gossip.Stats) uint64 { return s.NameConflicts },
		"app_fleet_log_lines_quieted_total":  func(s gossip.Stats) uint64 { return s.SuppressedLogLines },
	} {
		f.set.NewGauge(name, func() float64 { return float64(of(m.Stats())) })
	}
	for name, of := range map[string]func(fleetState) float64{
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
			return of(s)
		})
	}
}

// join makes the node a member where its configuration says so; nil where it doesn't.
func (l *loop) join(c config.Config) (*membership, error) {
	if c.Fleet == nil {
		return nil, nil
	}
	trips := l.fig.set.NewHistogram("app_fleet_probe_seconds")
	c.Fleet.OnProbe = func(took time.Duration) { trips.Update(took.Seconds()) }
	f, err := gossip.New(*c.Fleet)
	if err != nil {
		return nil, err
	}
	m := &membership{f, l}
	m.register(l.fig)
	return m, nil
}

// Present are the names of the members that are there, in order.
func (v FleetView) Present() (all []string) {
	for _, m := range v.Members {
		if m.State == gossip.Alive || m.State == gossip.Suspect {
			all = append(all, m.Name)
		}
	}
	return all
}
