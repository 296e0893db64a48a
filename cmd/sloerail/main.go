// Command sloerail is the operators' command line. Results go to standard output, errors to standard error. The exit code
// is 0 for success, 1 for a failure or a check that doesn't hold, and 2 for wrong use.
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

// errUsage is for wrong flags, arguments or input files: exit code 2.
var errUsage = errors.New("wrong use")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "sloerail",
		Short:         "Look after a fleet of request-routing nodes",
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
		Use: "version", Short: "Print the version of this build", Args: args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(cmd.OutOrStdout(), config.Version())
			return err
		},
	}
}

// args marks the errors of a check of arguments as errUsage.
func args(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, given []string) error {
		if err := check(cmd, given); err != nil {
			return fmt.Errorf("%w: %w", errUsage, err)
		}
		return nil
	}
}
