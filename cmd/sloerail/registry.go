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

// watchWait bounds one watch call, after which the next follows.
const watchWait = 30 * time.Second

func newRegistry() *cobra.Command {
	var to []string
	root := &cobra.Command{Use: "registry", Short: "Run the list service, and look after it"}
	root.PersistentFlags().StringSliceVar(&to, "to", []string{registry.DefaultConfig().ListenAddress}, "addresses of the replicas")
	client := func() *registry.Client { return registry.NewClient(to) }
	root.AddCommand(newServe(), newList(client), newWatch(client), newStatus(client), newAdd(client), newRemove(client))
	return root
}

func newServe() *cobra.Command {
	var file string
	var newEpoch bool
	cmd := &cobra.Command{
		Use: "serve", Short: "Run one replica until it is told to stop", Args: args(cobra.NoArgs),
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
	cmd.Flags().StringVar(&file, "config", "", "a TOML file; without it, a single replica on this machine")
	cmd.Flags().BoolVar(&newEpoch, "new-epoch", false, "the folder is a copy of an older one: watchers take the whole list anew")
	return cmd
}

func newList(client func() *registry.Client) *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use: "list", Short: "Show the servers that are in the list", Args: args(cobra.NoArgs),
		Example: "  sloerail registry list --to 10.2.0.1:8500,10.2.0.2:8500",
		RunE: func(cmd *cobra.Command, _ []string) error {
			var l registry.EndpointList
			if err := client().Do(cmd.Context(), http.MethodGet, "/registry/instances", nil, &l, 0); err != nil {
				return err
			}
			return showList(cmd.OutOrStdout(), l, asJSON)
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print it as the service gives it")
	return cmd
}

func newWatch(client func() *registry.Client) *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use: "watch", Short: "Show the list, and each change as it comes, until interrupted", Args: args(cobra.NoArgs),
		Example: "  sloerail registry watch --json",
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, at := client(), int64(-1)
			for cmd.Context().Err() == nil {
				var l registry.EndpointList
				path := fmt.Sprintf("/registry/instances?index=%d&wait=%d", at, watchWait.Milliseconds())
				if err := c.Watch(cmd.Context(), path, watchWait, &l); err != nil {
					if cmd.Context().Err() != nil {
						return nil
					}
					return err
				}
				if at = l.Revision; l.Complete || len(l.Endpoints) > 0 {
					if err := showList(cmd.OutOrStdout(), l, asJSON); err != nil {
						return err
					}
				}
			}
			return nil
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print answers as the service gives them, one a line")
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
		Use: "status", Short: "Show the replicas, who leads, and how old the list may be", Args: args(cobra.NoArgs),
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
				return fmt.Errorf("%s can't tell that its list is fresh", s.ID)
			}
			return nil
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print it as JSON")
	return cmd
}

func printStatus(p *output.Printer, s registry.Status) {
	p.Printf("%s: leader %q, epoch %d, revision %d, %d instances, %d watches, age %d ms\n", s.ID, s.Leader,
		s.Epoch, s.Revision, s.Instances, s.Watches, s.AgeMs)
	if s.ExpirySuspended {
		p.Println("LEASES RUN OUT IN A MASS: nobody is removed")
	}
	t := newTable(p, "replica", "raft", "calls")
	for _, r := range s.Replicas {
		t.AppendRow(table.Row{r.ID, r.RaftAddress, r.APIAddress})
	}
	t.Render()
}

func newAdd(client func() *registry.Client) *cobra.Command {
	return &cobra.Command{
		Use: "add ID RAFT CALLS", Short: "Make a replica that runs one of those that keep the list",
		Example: "  sloerail registry add r2 10.2.0.3:8501 10.2.0.3:8500", Args: args(cobra.ExactArgs(3)),
		RunE: func(cmd *cobra.Command, a []string) error {
			in := map[string]string{"raft": a[1], "calls": a[2]}
			return client().Do(cmd.Context(), http.MethodPut, "/registry/replicas/"+a[0], in, nil, 0)
		},
	}
}

func newRemove(client func() *registry.Client) *cobra.Command {
	return &cobra.Command{
		Use: "remove ID", Short: "Take a replica out, a dead one say", Args: args(cobra.ExactArgs(1)),
		Example: "  sloerail registry remove r1 --to 10.2.0.1:8500",
		RunE: func(cmd *cobra.Command, a []string) error {
			return client().Do(cmd.Context(), http.MethodDelete, "/registry/replicas/"+a[0], nil, nil, 0)
		},
	}
}

func newRegister() *cobra.Command {
	var to []string
	var drain time.Duration
	a := registry.Agent{Endpoint: registry.Endpoint{Phase: registry.PhaseUp}}
	cmd := &cobra.Command{
		Use:   "register ID HOST:PORT",
		Short: "Keep a server in the list: register, renew, and at SIGTERM drain and take out",
		Example: "  sloerail register s-17 10.1.0.18:9000 --zone a --kind big-box --cell 3 --to 10.2.0.1:8500,10.2.0.2:8500\n" +
			"  sloerail register s-17 10.1.0.18:9000 --lease 10s --drain 5s",
		Args: args(cobra.ExactArgs(2)),
		RunE: func(cmd *cobra.Command, given []string) error {
			a.Client = registry.NewClient(to)
			a.Endpoint.ID, a.Endpoint.Address, a.Endpoint.StartTimeMs = given[0], given[1], time.Now().UnixMilli()
			if err := a.Endpoint.Validate(); err != nil {
				return fmt.Errorf("%w: %w", errUsage, err)
			}
			if strings.Contains(a.Endpoint.ID, "/") {
				return fmt.Errorf("%w: id: want no slash", errUsage)
			}
			return a.Run(cmd.Context(), drain)
		},
	}
	f := cmd.Flags()
	f.StringSliceVar(&to, "to", []string{registry.DefaultConfig().ListenAddress}, "addresses of the list service's replicas")
	f.StringVar(&a.Endpoint.Zone, "zone", "", "zone that the server is in")
	f.StringVar(&a.Endpoint.Kind, "kind", "", "kind of server")
	f.Int64Var(&a.Endpoint.Cell, "cell", 0, "cell (rack) that the server is in")
	f.StringVar(&a.Endpoint.Service, "service", "", "service that the server belongs to; empty for none")
	f.Float64Var(&a.Endpoint.Size, "size", 1, "size of the server beside others")
	f.DurationVar(&a.TTL, "lease", registry.DefaultTTL, "without a word for so long, the server leaves the list")
	f.DurationVar(&drain, "drain", 5*time.Second, "from the drain at SIGTERM to the end")
	return cmd
}
