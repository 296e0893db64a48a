package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"

	"sloerail/internal/output"
	"sloerail/internal/registry"
)

// watchTimeout is how long a watch call waits for a change. After that, the next call starts.
const watchTimeout = 30 * time.Second

func newRegistry() *cobra.Command {
	var addresses []string
	root := &cobra.Command{Use: "registry", Short: "Run and manage the list service"}
	root.PersistentFlags().StringSliceVar(&addresses, "to", []string{registry.DefaultConfig().ListenAddress},
		"addresses of the replicas")
	client := func() *registry.Client { return registry.NewClient(addresses) }
	root.AddCommand(newServe(), newList(client), newWatch(client), newStatus(client), newAdd(client), newRemove(client))
	return root
}

func newServe() *cobra.Command {
	var file string
	var newEpoch bool
	cmd := &cobra.Command{
		Use: "serve", Short: "Run one replica until interrupted", Args: positionalArgs(cobra.NoArgs),
		Example: "  sloerail registry serve\n  sloerail registry serve --config r1.toml\n" +
			"  sloerail registry serve --config r1.toml --new-epoch",
		RunE: func(cmd *cobra.Command, _ []string) error {
			c := registry.DefaultConfig()
			if file != "" {
				var err error
				if c, err = registry.LoadConfig(file); err != nil {
					return err
				}
			}
			return registry.Serve(cmd.Context(), c, newEpoch)
		},
	}
	cmd.Flags().StringVar(&file, "config", "", "TOML configuration file; without it, run a single replica on this machine")
	cmd.Flags().BoolVar(&newEpoch, "new-epoch", false,
		"start a new epoch, so that watchers fetch the whole list again: needed if the data folder is an older copy")
	return cmd
}

func newList(client func() *registry.Client) *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use: "list", Short: "Show the servers in the list", Args: positionalArgs(cobra.NoArgs),
		Example: "  sloerail registry list --to 10.2.0.1:8500,10.2.0.2:8500",
		RunE: func(cmd *cobra.Command, _ []string) error {
			var l registry.EndpointList
			if err := client().Do(cmd.Context(), http.MethodGet, "/registry/instances", nil, &l, 0); err != nil {
				return err
			}
			return showList(cmd.OutOrStdout(), l, asJSON)
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print the response of the service as JSON")
	return cmd
}

func newWatch(client func() *registry.Client) *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use: "watch", Short: "Show the list, then each change, until interrupted", Args: positionalArgs(cobra.NoArgs),
		Example: "  sloerail registry watch --json",
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, revision := client(), int64(-1)
			for cmd.Context().Err() == nil {
				var l registry.EndpointList
				path := fmt.Sprintf("/registry/instances?index=%d&wait=%d", revision, watchTimeout.Milliseconds())
				if err := c.Watch(cmd.Context(), path, watchTimeout, &l); err != nil {
					if cmd.Context().Err() != nil {
						return nil
					}
					return err
				}
				if revision = l.Revision; l.Complete || len(l.Endpoints) > 0 {
					if err := showList(cmd.OutOrStdout(), l, asJSON); err != nil {
						return err
					}
				}
			}
			return nil
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print the responses of the service as JSON, one per line")
	return cmd
}

func showList(out io.Writer, l registry.EndpointList, asJSON bool) error {
	return output.Show(out, l, asJSON, func(p *output.Printer) {
		p.Printf("revision %d, complete: %v\n", l.Revision, l.Complete)
		t := newTable(p, "id", "address", "zone", "kind", "cell", "phase", "size")
		for _, e := range l.Endpoints {
			t.AppendRow(table.Row{e.ID, e.Address, e.Zone, e.Kind, e.Cell, e.Phase, e.Size})
		}
		t.Render()
	})
}

func newTable(out io.Writer, header ...any) table.Writer { return output.NewTable(out, header...) }

func newStatus(client func() *registry.Client) *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use: "status", Short: "Show the replicas, the leader, and the age of the list", Args: positionalArgs(cobra.NoArgs),
		Example: "  sloerail registry status --to 10.2.0.1:8500",
		RunE: func(cmd *cobra.Command, _ []string) error {
			var s registry.Status
			if err := client().Do(cmd.Context(), http.MethodGet, "/registry/status", nil, &s, 0); err != nil {
				return err
			}
			err := output.Show(cmd.OutOrStdout(), s, asJSON, func(p *output.Printer) { printStatus(p, s) })
			if err != nil || asJSON {
				return err
			}
			if s.Leader == "" || s.AgeMs < 0 {
				return fmt.Errorf("replica %s has no leader, or does not know the age of its list", s.ID)
			}
			return nil
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print the status as JSON")
	return cmd
}

func printStatus(p *output.Printer, s registry.Status) {
	p.Printf("%s: leader %q, epoch %d, revision %d, %d instances, %d watches, age %d ms\n", s.ID, s.Leader,
		s.Epoch, s.Revision, s.Instances, s.Watches, s.AgeMs)
	if s.ExpirySuspended {
		p.Println("LEASE EXPIRY SUSPENDED: too many leases expire at once, and no instance is removed")
	}
	t := newTable(p, "replica", "raft", "calls")
	for _, r := range s.Replicas {
		t.AppendRow(table.Row{r.ID, r.RaftAddress, r.APIAddress})
	}
	t.Render()
}

func newAdd(client func() *registry.Client) *cobra.Command {
	return &cobra.Command{
		Use: "add ID RAFT CALLS", Short: "Add a running replica, given its ID, its Raft address and its address for calls",
		Example: "  sloerail registry add r2 10.2.0.3:8501 10.2.0.3:8500", Args: positionalArgs(cobra.ExactArgs(3)),
		RunE: func(cmd *cobra.Command, args []string) error {
			body := map[string]string{"raft": args[1], "calls": args[2]}
			return client().Do(cmd.Context(), http.MethodPut, "/registry/replicas/"+args[0], body, nil, 0)
		},
	}
}

func newRemove(client func() *registry.Client) *cobra.Command {
	return &cobra.Command{
		Use: "remove ID", Short: "Remove a replica, such as a dead one", Args: positionalArgs(cobra.ExactArgs(1)),
		Example: "  sloerail registry remove r1 --to 10.2.0.1:8500",
		RunE: func(cmd *cobra.Command, args []string) error {
			return client().Do(cmd.Context(), http.MethodDelete, "/registry/replicas/"+args[0], nil, nil, 0)
		},
	}
}

func newRegister() *cobra.Command {
	var addresses []string
	var drain time.Duration
	agent := registry.Agent{Endpoint: registry.Endpoint{Phase: registry.PhaseUp}}
	cmd := &cobra.Command{
		Use:   "register ID HOST:PORT",
		Short: "Keep a server in the list: register it, renew its lease, and drain and deregister it on SIGTERM",
		Example: "  sloerail register s-17 10.1.0.18:9000 --zone a --kind big-box --cell 3 --to 10.2.0.1:8500,10.2.0.2:8500\n" +
			"  sloerail register s-17 10.1.0.18:9000 --lease 10s --drain 5s",
		Args: positionalArgs(cobra.ExactArgs(2)),
		RunE: func(cmd *cobra.Command, args []string) error {
			agent.Client = registry.NewClient(addresses)
			agent.Endpoint.ID, agent.Endpoint.Address, agent.Endpoint.StartTimeMs = args[0], args[1], time.Now().UnixMilli()
			if err := agent.Endpoint.Validate(); err != nil {
				return fmt.Errorf("%w: %w", errUsage, err)
			}
			if strings.Contains(agent.Endpoint.ID, "/") {
				return fmt.Errorf("%w: id: a slash is not allowed", errUsage)
			}
			return agent.Run(cmd.Context(), drain)
		},
	}
	f := cmd.Flags()
	f.StringSliceVar(&addresses, "to", []string{registry.DefaultConfig().ListenAddress},
		"addresses of the list service's replicas")
	f.StringVar(&agent.Endpoint.Zone, "zone", "", "zone of the server")
	f.StringVar(&agent.Endpoint.Kind, "kind", "", "kind of server")
	f.Int64Var(&agent.Endpoint.Cell, "cell", 0, "cell (rack) of the server")
	f.StringVar(&agent.Endpoint.Service, "service", "", "service that the server belongs to; empty if none")
	f.Float64Var(&agent.Endpoint.Size, "size", 1, "size of the server relative to others")
	f.DurationVar(&agent.TTL, "lease", registry.DefaultTTL, "how long the server stays in the list without a renewal")
	f.DurationVar(&drain, "drain", 5*time.Second, "how long the server drains after SIGTERM before it leaves the list")
	return cmd
}
