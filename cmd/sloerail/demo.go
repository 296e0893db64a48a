package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"sloerail/internal/testcluster"
)

func newDemo() *cobra.Command {
	spec := testcluster.DemoSpec{Duration: 20 * time.Second, Nodes: 3, Seed: 1}
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a demo fleet on this machine, and kill and restart one of its nodes",
		Long: "Start real nodes and emulated servers, clients and list service on loopback, kill and restart a node, and\n" +
			"show the outcome of the requests. The command needs the Go toolchain and this source tree, to build the node.",
		Example: "  go run ./cmd/sloerail demo\n  sloerail demo --for 60s --nodes 6 --seed 7",
		Args:    positionalArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := spec.Check(); err != nil {
				return fmt.Errorf("%w: %w", errUsage, err)
			}
			return testcluster.Demo(cmd.Context(), cmd.OutOrStdout(), spec)
		},
	}
	f := cmd.Flags()
	f.DurationVar(&spec.Duration, "for", spec.Duration, "how long the clients send requests")
	f.IntVar(&spec.Nodes, "nodes", spec.Nodes, "number of nodes in the fleet")
	f.Uint64Var(&spec.Seed, "seed", spec.Seed, "seed of the random choices")
	return cmd
}
