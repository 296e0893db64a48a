// Command sloerail is the command-line tool for operators. Results go to standard output, errors to standard error. The
// exit code is 0 for success, 1 for a failure or a failed check, and 2 for invalid usage.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"sloerail/internal/node/config"
)

// errUsage marks invalid flags, arguments or input files: exit code 2.
var errUsage = errors.New("invalid usage")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "sloerail",
		Short:         "Operate a fleet of request-routing nodes",
		Version:       config.Version(),
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return fmt.Errorf("%w: %w", errUsage, err) })
	root.AddCommand(newDemo(), newExperiment(), newMembers(), newZones(), newRegister(), newRegistry(), newScale(),
		newSimulate(), newVersion())
	return root
}

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print the version of this build", Args: positionalArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(cmd.OutOrStdout(), config.Version())
			return err
		},
	}
}

// positionalArgs wraps a check of positional arguments, so that its errors count as errUsage.
func positionalArgs(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := check(cmd, args); err != nil {
			return fmt.Errorf("%w: %w", errUsage, err)
		}
		return nil
	}
}
