package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"sloerail/internal/testcluster"
)

func newDemo() *cobra.Command {
	d := testcluster.DemoSpec{Duration: 20 * time.Second, Nodes: 3, Seed: 1}
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Play a fleet through the death of a node on this machine, with nothing else needed",
		Long: "Start stand-in app boxes, list and clients and real nodes on loopback, kill a node and bring it back, and\n" +
			"show what came of the requests. It takes the Go tool chain and this source tree, for it builds the node.",
		Example: "  go run ./cmd/sloerail demo\n  sloerail demo --for 60s --nodes 6 --seed 7",
		Args:    args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := d.Check(); err != nil {
				return fmt.Errorf("%w: %w", errUsage, err)
			}
			return testcluster.Demo(cmd.Context(), cmd.OutOrStdout(), d)
		},
	}
	f := cmd.Flags()
	f.DurationVar(&d.Duration, "for", d.Duration, "how long clients come")
	f.IntVar(&d.Nodes, "nodes", d.Nodes, "nodes of the fleet")
	f.Uint64Var(&d.Seed, "seed", d.Seed, "of what is drawn")
	return cmd
}
